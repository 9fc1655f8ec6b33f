//! `lagoonctl status`: what is in force where.

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
use crate::command_report::layout_table;

const HEAD: [&str; 9] = [
    "host", "address", "version", "in force", "list", "alive", "flows", "requests", "state",
];

/// Show version in force, flows, requests and drain of each host.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// admin address of a host; may stand several times
    #[argh(option)]
    pub host: Vec<SocketAddr>,
}

/// Asks every host and lays out what they say.
pub async fn cmd_status(args: &StatusArgs) -> Result<CommandReport, CommandError> {
    let replies = read_hosts(&args.host).await?;
    Ok(status_report(&replies))
}

/// A report of all replies; hosts that did not answer are named and decide the code.
pub fn status_report(replies: &[HostReply<HostStatus>]) -> CommandReport {
    let mut rows = vec![HEAD.map(str::to_owned).to_vec()];
    rows.extend(replies.iter().map(status_row));
    let hosts: Vec<_> = replies.iter().map(HostReply::to_json).collect();
    let silent = replies.iter().any(|reply| reply.status.is_err());
    let code = if silent {
        ResultCode::SourceUnreachable
    } else {
        ResultCode::Success
    };
    CommandReport {
        code,
        lines: layout_table(&rows),
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
