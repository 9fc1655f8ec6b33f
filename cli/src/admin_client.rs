//! HTTP client for the status page of hosts.

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

/// Timeout of a status request, after which the host counts as unreachable.
const HOST_TIMEOUT: Duration = Duration::from_secs(2);

/// The status of one host, or the error of the request.
pub struct HostReply<S> {
    /// Admin address of the host.
    pub address: SocketAddr,
    /// Status of the host, or why it cannot be read.
    pub status: Result<S, CommandError>,
}

impl<S: Serialize> HostReply<S> {
    /// Returns the JSON object for `--json`: the address with either `status` or `error`.
    pub fn to_json(&self) -> Value {
        let address = self.address.to_string();
        match &self.status {
            Ok(status) => json!({"address": address, "status": status}),
            Err(error) => json!({"address": address, "error": error.to_string()}),
        }
    }
}

/// Reads the status of all hosts concurrently. The replies are in the order of `hosts`.
///
/// Fails if `hosts` is empty. A host that cannot be reached is an error in its own reply only.
pub async fn read_hosts<S: DeserializeOwned + Send + 'static>(
    hosts: &[SocketAddr],
) -> Result<Vec<HostReply<S>>, CommandError> {
    if hosts.is_empty() {
        return NoHostSnafu.fail();
    }
    let client = reqwest::Client::new();
    let tasks: Vec<_> = hosts
        .iter()
        .map(|address| tokio::spawn(read_host(client.clone(), *address)))
        .collect();
    let mut replies = Vec::new();
    for task in tasks {
        if let Ok(reply) = task.await {
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
