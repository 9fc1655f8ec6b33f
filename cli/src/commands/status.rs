//! `lagoonctl status`: shows the version in force and the load of each host.

use std::net::SocketAddr;

use argh::FromArgs;
use lagoonproxy::host_status::HostStatus;
use lagoonproxy::key_version::format_version;
use lagoonproxy::result_code::ResultCode;
use lagoonproxy::unit_text::format_duration;
use serde_json::json;

use crate::admin_client::HostReply;
use crate::admin_client::read_hosts;
use crate::command_error::CommandError;
use crate::command_report::CommandReport;
use crate::command_report::format_table;

const HEADER: [&str; 9] = [
    "host", "address", "version", "in force", "list", "alive", "flows", "requests", "state",
];

/// Show the version in force, flows, requests and drain state of each host.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// admin address of a host; may be repeated
    #[argh(option)]
    pub host: Vec<SocketAddr>,
}

/// Reads the status of all hosts and returns it as a table.
pub async fn cmd_status(args: &StatusArgs) -> Result<CommandReport, CommandError> {
    let replies = read_hosts(&args.host).await?;
    Ok(status_report(&replies))
}

/// Builds the report of all replies. If a host is unreachable, its row shows the error and the
/// result code is `SourceUnreachable`.
pub fn status_report(replies: &[HostReply<HostStatus>]) -> CommandReport {
    let mut rows = vec![HEADER.map(str::to_owned).to_vec()];
    rows.extend(replies.iter().map(status_row));
    let hosts: Vec<_> = replies.iter().map(HostReply::to_json).collect();
    let unreachable = replies.iter().any(|reply| reply.status.is_err());
    let code = if unreachable {
        ResultCode::SourceUnreachable
    } else {
        ResultCode::Success
    };
    CommandReport {
        code,
        lines: format_table(&rows),
        json: json!({"hosts": hosts}),
    }
}

fn status_row(reply: &HostReply<HostStatus>) -> Vec<String> {
    let address = reply.address.to_string();
    let status = match &reply.status {
        Ok(status) => status,
        Err(error) => return vec!["-".to_owned(), address, error.to_string()],
    };
    vec![
        status.host.to_string(),
        address,
        status.config_version.map_or("-".to_owned(), format_version),
        status.config_age.map_or("-".to_owned(), format_duration),
        format_version(status.host_list_version),
        status.hosts_alive.to_string(),
        status.flows.to_string(),
        status.requests.to_string(),
        state_text(status).to_owned(),
    ]
}

fn state_text(status: &HostStatus) -> &'static str {
    match status.unready_reason() {
        Some(reason) => reason,
        None if status.holds_claim => "ready",
        None => "ready, without a claim",
    }
}
