//! Errors that end a command without a report.

use std::net::SocketAddr;
use std::path::PathBuf;

use lagoonproxy::result_code::ResultCode;
use snafu::Snafu;

/// An error that ends a command without a report. Each error has a result code, which becomes the
/// exit code.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CommandError {
    /// A file could not be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A file does not hold a valid published configuration.
    #[snafu(display("{}: {source}", path.display()))]
    ParseFile {
        /// Path of the file.
        path: PathBuf,
        /// The parse error, with line and field.
        source: serde_norway::Error,
    },
    /// A request to the platform failed.
    #[snafu(display("cannot read {url}: {source}"))]
    Platform {
        /// The requested URL.
        url: String,
        /// Error of the HTTP client.
        source: reqwest::Error,
    },
    /// A value on the platform does not have the expected structure.
    #[snafu(display("platform key {key}: {source}"))]
    PlatformValue {
        /// Key of the value.
        key: String,
        /// The parse error.
        source: serde_json::Error,
    },
    /// Neither `--config` nor `--platform` was given.
    #[snafu(display("no configuration given: use --config FILE or --platform ADDRESS"))]
    NoSource,
    /// No `--host` was given.
    #[snafu(display("no host given: use --host ADDRESS with the admin address of each host"))]
    NoHost,
    /// The configuration has no service or upstream of this name.
    #[snafu(display("no {kind} is named {name}; there are: {}", known.join(", ")))]
    UnknownName {
        /// `service` or `upstream`.
        kind: &'static str,
        /// The requested name.
        name: String,
        /// All names of this kind in the configuration.
        known: Vec<String>,
    },
    /// A request to a host failed.
    #[snafu(display("host {address} does not answer: {source}"))]
    Host {
        /// Admin address of the host.
        address: SocketAddr,
        /// Error of the HTTP client.
        source: reqwest::Error,
    },
}

impl CommandError {
    /// Returns the result code.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::ParseFile { .. } | Self::PlatformValue { .. } => ResultCode::ConfigInvalid,
            Self::ReadFile { .. } | Self::Platform { .. } | Self::Host { .. } => {
                ResultCode::SourceUnreachable
            }
            Self::NoSource | Self::NoHost | Self::UnknownName { .. } => ResultCode::UsageWrong,
        }
    }
}
