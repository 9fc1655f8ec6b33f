//! Reads the published configuration from a file or from the platform.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use lagoonproxy::ids::Version;
use lagoonproxy::published_config::PublishedConfig;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use snafu::ResultExt;

use crate::command_error::CommandError;
use crate::command_error::NoSourceSnafu;
use crate::command_error::ParseFileSnafu;
use crate::command_error::PlatformSnafu;
use crate::command_error::PlatformValueSnafu;
use crate::command_error::ReadFileSnafu;

/// Response of the platform to a list of keys.
#[derive(Deserialize)]
struct KeyList {
    revision: Version,
    keys: Vec<KeyEntry>,
}

#[derive(Deserialize)]
struct KeyEntry {
    key: String,
}

/// Response of the platform to the read of a value.
#[derive(Deserialize)]
struct KeyValue {
    value: Value,
}

/// Reads the configuration from the file if one is given, otherwise from the platform.
///
/// Fails if neither is given, or if the source cannot be read or parsed.
pub async fn load_config(
    file: Option<&PathBuf>,
    platform: Option<SocketAddr>,
) -> Result<PublishedConfig, CommandError> {
    match (file, platform) {
        (Some(file), _) => read_config_file(file),
        (None, Some(platform)) => read_platform(platform).await,
        (None, None) => NoSourceSnafu.fail(),
    }
}

/// Reads a YAML or JSON file with `services` and `upstreams`.
pub fn read_config_file(path: &Path) -> Result<PublishedConfig, CommandError> {
    let text = std::fs::read_to_string(path).context(ReadFileSnafu { path })?;
    serde_norway::from_str(&text).context(ParseFileSnafu { path })
}

async fn read_platform(platform: SocketAddr) -> Result<PublishedConfig, CommandError> {
    let client = reqwest::Client::new();
    let mut config = PublishedConfig::default();
    for prefix in ["services/", "upstreams/"] {
        let url = format!("http://{platform}/v1/keys?prefix={prefix}");
        let list: KeyList = fetch(&client, url).await?;
        config.version = config.version.max(list.revision);
        for entry in list.keys {
            let url = format!("http://{platform}/v1/values/{}", entry.key);
            let read: KeyValue = fetch(&client, url).await?;
            add_documents(&mut config, entry.key, read.value)?;
        }
    }
    Ok(config)
}

fn add_documents(
    config: &mut PublishedConfig,
    key: String,
    value: Value,
) -> Result<(), CommandError> {
    if key.starts_with("services/") {
        let docs = serde_json::from_value(value).context(PlatformValueSnafu { key })?;
        config.services.extend::<Vec<_>>(docs);
    } else {
        let docs = serde_json::from_value(value).context(PlatformValueSnafu { key })?;
        config.upstreams.extend::<Vec<_>>(docs);
    }
    Ok(())
}

async fn fetch<T: DeserializeOwned>(
    client: &reqwest::Client,
    url: String,
) -> Result<T, CommandError> {
    let response = client.get(&url).send().await;
    let answer = match response.and_then(reqwest::Response::error_for_status) {
        Ok(response) => response.json().await,
        Err(error) => Err(error),
    };
    answer.context(PlatformSnafu { url })
}
