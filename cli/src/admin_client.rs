//! Reads the status of hosts from their admin addresses.

use std::net::SocketAddr;
use std::time::Duration;

use lagoonproxy::host_status::HostStatus;
use snafu::ResultExt;

use crate::command_error::CommandError;
use crate::command_error::HostSnafu;
use crate::command_error::NoHostSnafu;

/// A host that does not answer for this long counts as unreachable.
const HOST_TIMEOUT: Duration = Duration::from_secs(2);

/// What one host said, or why it did not answer.
pub struct HostReply {
    /// Its admin address.
    pub address: SocketAddr,
    /// Its status.
    pub status: Result<HostStatus, CommandError>,
}

/// Asks every host at once; the replies are in the order of `hosts`.
pub async fn read_hosts(hosts: &[SocketAddr]) -> Result<Vec<HostReply>, CommandError> {
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

async fn read_host(client: reqwest::Client, address: SocketAddr) -> HostReply {
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
