//! Reading of a daemon's settings file.

use std::path::Path;
use std::path::PathBuf;

use lagoonproxy::result_code::ResultCode;
use lagoonproxy::settings_reader::SettingsFaults;
use snafu::ResultExt;
use snafu::Snafu;

use crate::daemon_exit::DaemonError;

/// Why a settings file is rejected.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read settings {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file contains errors.
    #[snafu(display("invalid settings in {}: {source}", path.display()))]
    Faulty {
        /// The file.
        path: PathBuf,
        /// All errors in the file.
        source: SettingsFaults,
    },
}

impl DaemonError for SettingsError {
    fn code(&self) -> ResultCode {
        match self {
            Self::Read { .. } => ResultCode::SourceUnreachable,
            Self::Faulty { .. } => ResultCode::SettingsInvalid,
        }
    }
}

/// Reads a settings file and parses it.
pub fn read_settings<T>(
    path: &Path,
    parse: impl FnOnce(&str) -> Result<T, SettingsFaults>,
) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    parse(&text).context(FaultySnafu { path })
}
