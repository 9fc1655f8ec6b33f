//! Reads the status of hosts from their admin addresses.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;
use snafu::ResultExt;

use crate::command_error::CommandError;
use crate::command_error::HostSnafu;
use crate::command_error::NoHostSnafu;

/// A host that does not answer for this long counts as unreachable.
const HOST_TIMEOUT: Duration = Duration::from_secs(2);

/// What one host said, or why it did not answer.
pub struct HostReply<S> {
    /// Its admin address.
    pub address: SocketAddr,
    /// Its status.
    pub status: Result<S, CommandError>,
}

impl<S: Serialize> HostReply<S> {
    /// The reply for programs.
    pub fn to_json(&self) -> Value {
        let address = self.address.to_string();
        match &self.status {
            Ok(status) => json!({"address": address, "status": status}),
            Err(error) => json!({"address": address, "error": error.to_string()}),
        }
    }
}

/// Asks every host at once; the replies are in the order of `hosts`.
pub async fn read_hosts<S: DeserializeOwned + Send + 'static>(
    hosts: &[SocketAddr],
) -> Result<Vec<HostReply<S>>, CommandError> {
    if hosts.is_empty() {
        return NoHostSnafu.fail();
    }
    let client = reqwest::Client::new();
    let asked: Vec<_> = hosts
        .iter()
        .map(|address| tokio::spawn(read_host(client.clone(), *address)))
        .collect();
    let mut replies = Vec::new();
    for reading in asked {
        if let Ok(reply) = reading.await {
            replies.push(reply);
        }
    }
    Ok(replies)
}

async fn read_host<S: DeserializeOwned>(
    client: reqwest::Client,
    address: SocketAddr,
) -> HostReply<S> {
    let url = format!("http://{address}/v1/status");
    let response = client.get(url).timeout(HOST_TIMEOUT).send().await;
    let status = match response.and_then(reqwest::Response::error_for_status) {
        Ok(response) => response.json().await,
        Err(error) => Err(error),
    };
    HostReply {
        address,
        status: status.context(HostSnafu { address }),
    }
}
