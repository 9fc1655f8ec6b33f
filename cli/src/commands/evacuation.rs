//! `lagoonctl evacuation`: waits until every host has applied a zone's evacuation, or its end.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use lagoonproxy::ids::ZoneName;
use lagoonproxy::result_code::ResultCode;
use lagoonproxy::unit_text::format_duration;
use lagoonproxy_packet::packet_status::EvacuationStatus;
use lagoonproxy_packet::packet_status::PacketStatus;
use serde_json::json;

use crate::admin_client::HostReply;
use crate::command_error::CommandError;
use crate::command_report::CommandReport;
use crate::command_report::format_table;
use crate::commands::watch::parse_wait;
use crate::commands::watch::wait_for_hosts;

const HEADER: [&str; 6] = ["host", "address", "evacuated", "revision", "for", "flows"];

/// Wait until no host places new flows in a zone, and show the flows that are still open there.
#[derive(FromArgs)]
#[argh(subcommand, name = "evacuation")]
pub struct EvacuationArgs {
    /// address of a host's metrics; may be repeated
    #[argh(option)]
    pub host: Vec<SocketAddr>,
    /// the availability zone
    #[argh(option)]
    pub zone: ZoneName,
    /// wait for the end of the evacuation instead
    #[argh(switch)]
    pub restored: bool,
    /// wait until no flow is open in the zone as well
    #[argh(switch)]
    pub empty: bool,
    /// maximum time to wait, such as 30s
    #[argh(option, default = "Duration::from_secs(30)", from_str_fn(parse_wait))]
    pub wait: Duration,
}

/// Polls the hosts until all have applied the change or the time is over. Prints progress to
/// standard error.
pub async fn cmd_evacuation(args: &EvacuationArgs) -> Result<CommandReport, CommandError> {
    wait_for_hosts(
        &args.host,
        args.wait,
        "are done",
        |reply| is_done(args, reply),
        |replies| evacuation_report(&args.zone, replies),
    )
    .await
}

fn is_done(args: &EvacuationArgs, reply: &HostReply<PacketStatus>) -> bool {
    let Ok(status) = &reply.status else {
        return false;
    };
    match zone_status(status, &args.zone) {
        Some(evacuation) => !args.restored && (!args.empty || evacuation.flows == 0),
        None => args.restored,
    }
}

fn zone_status<'a>(status: &'a PacketStatus, zone: &ZoneName) -> Option<&'a EvacuationStatus> {
    let mut zones = status.evacuated.iter();
    zones.find(|evacuation| evacuation.zone == *zone)
}

/// Builds a report with a row per host. [`wait_for_hosts`] replaces its result code.
fn evacuation_report(zone: &ZoneName, replies: &[HostReply<PacketStatus>]) -> CommandReport {
    let mut rows = vec![HEADER.map(str::to_owned).to_vec()];
    rows.extend(replies.iter().map(|reply| host_row(zone, reply)));
    let hosts: Vec<_> = replies.iter().map(HostReply::to_json).collect();
    CommandReport {
        code: ResultCode::Success,
        lines: format_table(&rows),
        json: json!({"zone": zone, "hosts": hosts}),
    }
}

fn host_row(zone: &ZoneName, reply: &HostReply<PacketStatus>) -> Vec<String> {
    let address = reply.address.to_string();
    let status = match &reply.status {
        Ok(status) => status,
        Err(error) => return vec!["-".to_owned(), address, error.to_string()],
    };
    let host = status.host.to_string();
    match zone_status(status, zone) {
        Some(evacuation) => vec![
            host,
            address,
            "yes".to_owned(),
            evacuation.revision.to_string(),
            format_duration(evacuation.applied_ago),
            evacuation.flows.to_string(),
        ],
        None => vec![host, address, "no".to_owned()],
    }
}
