//! Why a command cannot give a report.

use std::net::SocketAddr;
use std::path::PathBuf;

use lagoonproxy::result_code::ResultCode;
use snafu::Snafu;

/// Why a command ends without a report. Each has a numbered result, the exit code.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CommandError {
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// A file is not a published configuration.
    #[snafu(display("{}: {source}", path.display()))]
    ParseFile {
        /// The file.
        path: PathBuf,
        /// What is wrong, with line and field.
        source: serde_norway::Error,
    },
    /// The platform does not answer.
    #[snafu(display("cannot read {url}: {source}"))]
    Platform {
        /// What was asked.
        url: String,
        /// The client's error.
        source: reqwest::Error,
    },
    /// A value on the platform is not of the shape it should have.
    #[snafu(display("platform key {key}: {source}"))]
    PlatformValue {
        /// The key.
        key: String,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// Neither a file nor the platform was named.
    #[snafu(display("name the configuration with --config FILE or --platform ADDRESS"))]
    NoSource,
    /// No host was named.
    #[snafu(display("name at least one host's admin address with --host ADDRESS"))]
    NoHost,
    /// A name is not in the configuration.
    #[snafu(display("no {kind} is named {name}; there are: {}", known.join(", ")))]
    UnknownName {
        /// `service` or `upstream`.
        kind: &'static str,
        /// The name asked for.
        name: String,
        /// The names there are.
        known: Vec<String>,
    },
    /// A host does not answer.
    #[snafu(display("host {address} does not answer: {source}"))]
    Host {
        /// Its admin address.
        address: SocketAddr,
        /// The client's error.
        source: reqwest::Error,
    },
}

impl CommandError {
    /// The numbered result.
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
