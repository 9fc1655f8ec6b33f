//! Settings of the daemons, in YAML.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use lagoonproxy::ids::HostId;
use lagoonproxy::ids::ZoneName;
use lagoonproxy::load_settings::LoadSettings;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;

/// Settings of `lagoon-entry`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The host's number in the published list.
    pub host: HostId,
    /// The availability zone it is in.
    pub zone: ZoneName,
    /// Where callers' datagrams arrive.
    pub caller_address: SocketAddr,
    /// Where peers' datagrams arrive.
    pub peer_address: SocketAddr,
    /// Where upstreams' datagrams arrive.
    pub upstream_address: SocketAddr,
    /// The control daemon of the same host.
    pub control_address: SocketAddr,
    /// Key that the user's hosts share, 32 hexadecimal digits.
    pub shared_key: String,
    /// Decisions under load; the defaults are measured.
    #[serde(default)]
    pub load: LoadSettings,
}

/// Settings of `lagoon-control`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// The host's number in the published list.
    pub host: HostId,
    /// Where the entry daemon of the same host connects.
    pub control_address: SocketAddr,
    /// The platform's configuration service.
    pub platform_address: SocketAddr,
}

/// Why settings are refused.
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
    /// The file is not valid.
    #[snafu(display("settings {}: {source}", path.display()))]
    Parse {
        /// The file.
        path: PathBuf,
        /// What is wrong, with line and field.
        source: serde_norway::Error,
    },
    /// The shared key is not 32 hexadecimal digits.
    #[snafu(display("shared_key: expected 32 hexadecimal digits"))]
    SharedKey,
}

/// Reads settings from a YAML file.
pub fn read_settings<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    serde_norway::from_str(&text).context(ParseSnafu { path })
}

impl EntrySettings {
    /// The shared key as bytes.
    pub fn key_bytes(&self) -> Result<[u8; 16], SettingsError> {
        let number = u128::from_str_radix(&self.shared_key, 16);
        match number {
            Ok(number) if self.shared_key.len() == 32 => Ok(number.to_be_bytes()),
            _ => SharedKeySnafu.fail(),
        }
    }
}
