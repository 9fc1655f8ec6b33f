//! `lagoonctl forwarders`: shows the state of hosts that run lagoon-packet.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use lagoonproxy::result_code::ResultCode;
use lagoonproxy::unit_text::format_duration;
use lagoonproxy_packet::packet_status::ClassStatus;
use lagoonproxy_packet::packet_status::PacketStatus;
use lagoonproxy_packet::packet_status::RouteStatus;
use lagoonproxy_packet::packet_status::ServiceStatus;
use lagoonproxy_packet::packet_status::UpstreamStatus;
use lagoonproxy_packet::routes::route_config::RequestKind;
use serde_json::json;

use crate::admin_client::HostReply;
use crate::admin_client::read_hosts;
use crate::command_error::CommandError;
use crate::command_report::CommandReport;
use crate::command_report::format_table;

const HOST_HEADER: [&str; 10] = [
    "host",
    "address",
    "zone",
    "version",
    "through",
    "peers",
    "reader",
    "flows",
    "evacuated",
    "state",
];

const UPSTREAM_HEADER: [&str; 8] = [
    "host",
    "upstream",
    "service",
    "zone",
    "registration",
    "flows",
    "waiting",
    "heard",
];

const ROUTE_HEADER: [&str; 7] = [
    "host",
    "address",
    "priority",
    "kind",
    "timeout",
    "objective",
    "services",
];

const SERVICE_HEADER: [&str; 6] = ["host", "service", "contended", "pressure", "age", "classes"];

/// Show the state of hosts that run lagoon-packet, and their view of upstreams.
#[derive(FromArgs)]
#[argh(subcommand, name = "forwarders")]
pub struct ForwardersArgs {
    /// address of a host's metrics; may be repeated
    #[argh(option)]
    pub host: Vec<SocketAddr>,
    /// show each host's upstreams as well
    #[argh(switch)]
    pub upstreams: bool,
    /// show each host's routes as well
    #[argh(switch)]
    pub routes: bool,
    /// show each host's services as well, with their contention and priority classes
    #[argh(switch)]
    pub services: bool,
}

/// Reads the status of all hosts and returns it as tables.
pub async fn cmd_forwarders(args: &ForwardersArgs) -> Result<CommandReport, CommandError> {
    let replies = read_hosts::<PacketStatus>(&args.host).await?;
    Ok(forwarders_report(&replies, args))
}

/// Builds the report of all replies. If a host is unreachable, its row shows the error and the
/// result code is `SourceUnreachable`.
pub fn forwarders_report(
    replies: &[HostReply<PacketStatus>],
    args: &ForwardersArgs,
) -> CommandReport {
    let mut rows = vec![HOST_HEADER.map(str::to_owned).to_vec()];
    rows.extend(replies.iter().map(host_row));
    let mut lines = format_table(&rows);
    if args.upstreams {
        lines.extend(host_table(replies, &UPSTREAM_HEADER, |status| {
            let upstreams = status.upstreams.iter();
            let rows = upstreams.map(|upstream| upstream_row(status, upstream));
            rows.collect()
        }));
    }
    if args.routes {
        lines.extend(host_table(replies, &ROUTE_HEADER, |status| {
            let routes = status.routes.iter();
            routes.map(|route| route_row(status, route)).collect()
        }));
    }
    if args.services {
        lines.extend(host_table(replies, &SERVICE_HEADER, |status| {
            let services = status.services.iter();
            let rows = services.map(|service| service_row(status, service));
            rows.collect()
        }));
    }
    let unreachable = replies.iter().any(|reply| reply.status.is_err());
    let code = if unreachable {
        ResultCode::SourceUnreachable
    } else {
        ResultCode::Success
    };
    let hosts: Vec<_> = replies.iter().map(HostReply::to_json).collect();
    CommandReport {
        code,
        lines,
        json: json!({"hosts": hosts}),
    }
}

/// Returns the lines of a table with the rows of all reachable hosts, after an empty line.
fn host_table(
    replies: &[HostReply<PacketStatus>],
    header: &[&str],
    rows_of: impl Fn(&PacketStatus) -> Vec<Vec<String>>,
) -> Vec<String> {
    let header = header.iter().map(|cell| (*cell).to_owned());
    let mut rows = vec![header.collect()];
    let statuses = replies
        .iter()
        .filter_map(|reply| reply.status.as_ref().ok());
    rows.extend(statuses.flat_map(rows_of));
    let mut lines = vec![String::new()];
    lines.extend(format_table(&rows));
    lines
}

fn host_row(reply: &HostReply<PacketStatus>) -> Vec<String> {
    let address = reply.address.to_string();
    let status = match &reply.status {
        Ok(status) => status,
        Err(error) => return vec!["-".to_owned(), address, error.to_string()],
    };
    let state = match (status.stopping, status.ready) {
        (true, _) => "stopping",
        (false, true) => "ready",
        (false, false) => "nothing read yet",
    };
    vec![
        status.host.to_string(),
        address,
        status.zone.to_string(),
        status
            .version
            .map_or("-".to_owned(), |version| version.to_string()),
        status.position().to_string(),
        status.peers.to_string(),
        reader_text(status),
        status.flows.to_string(),
        evacuated_text(status),
        state.to_owned(),
    ]
}

/// Returns the host that reads the store for this host's zone, as far as this host knows.
fn reader_text(status: &PacketStatus) -> String {
    match (status.reads, status.reader) {
        (true, _) => "itself".to_owned(),
        (false, Some(reader)) => reader.ip().to_string(),
        (false, None) => "-".to_owned(),
    }
}

/// Returns the evacuated zones, in which the host places no new flows.
fn evacuated_text(status: &PacketStatus) -> String {
    let zones: Vec<&str> = status
        .evacuated
        .iter()
        .map(|evacuation| evacuation.zone.as_str())
        .collect();
    if zones.is_empty() {
        "-".to_owned()
    } else {
        zones.join(",")
    }
}

fn upstream_row(status: &PacketStatus, upstream: &UpstreamStatus) -> Vec<String> {
    let mut registration = upstream.registration.to_string();
    if upstream.avoided {
        registration += ", avoided";
    }
    if upstream.failing {
        registration += ", failing";
    }
    vec![
        status.host.to_string(),
        upstream.name.to_string(),
        upstream.service.to_string(),
        upstream.zone.to_string(),
        registration,
        upstream.flows.to_string(),
        upstream.waiting.to_string(),
        upstream.heard_ago.map_or("never".to_owned(), |ago| {
            format!("{} ago", format_duration(ago))
        }),
    ]
}

fn route_row(status: &PacketStatus, route: &RouteStatus) -> Vec<String> {
    let kind = match route.kind {
        RequestKind::Unknown => "-",
        RequestKind::Idempotent => "idempotent",
        RequestKind::Download => "download",
        RequestKind::NonIdempotent => "non-idempotent",
    };
    let services = route.services.iter();
    let services: Vec<String> = services
        .map(|share| format!("{}={}", share.service, share.weight))
        .collect();
    vec![
        status.host.to_string(),
        route.address.to_string(),
        priority_text(route.priority),
        kind.to_owned(),
        duration_text(route.timeout),
        duration_text(route.target),
        services.join(","),
    ]
}

fn service_row(status: &PacketStatus, service: &ServiceStatus) -> Vec<String> {
    let measured = service.measured_ago;
    let pressure = measured.map_or("-".to_owned(), |_ago| service.pressure.to_string());
    let classes: Vec<String> = service.classes.iter().map(class_text).collect();
    vec![
        status.host.to_string(),
        service.name.to_string(),
        if service.contended { "yes" } else { "no" }.to_owned(),
        pressure,
        duration_text(measured),
        classes.join(" "),
    ]
}

/// Formats a priority class as its rank and its priorities, such as `1:3,4`.
fn class_text(class: &ClassStatus) -> String {
    let priorities = class.priorities.iter().copied().map(priority_text);
    let priorities: Vec<String> = priorities.collect();
    format!("{}:{}", class.rank, priorities.join(","))
}

fn priority_text(priority: Option<u32>) -> String {
    priority.map_or("-".to_owned(), |priority| priority.to_string())
}

fn duration_text(duration: Option<Duration>) -> String {
    duration.map_or("-".to_owned(), format_duration)
}
