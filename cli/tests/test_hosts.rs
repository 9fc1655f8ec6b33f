//! Tests of the commands that read the status of hosts: their output, and when they end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use argh::FromArgs;
use lagoonctl::command_report::CommandReport;
use lagoonctl::commands::CtlArgs;
use lagoonctl::commands::run;
use lagoonproxy::host_status::HostStatus;
use lagoonproxy::result_code::ResultCode;
use lagoonproxy_daemon::admin_server::AdminSource;
use lagoonproxy_daemon::admin_server::bind_admin;
use lagoonproxy_daemon::admin_server::serve_admin;
use lagoonproxy_packet::packet_status::ClassStatus;
use lagoonproxy_packet::packet_status::EvacuationStatus;
use lagoonproxy_packet::packet_status::PacketStatus;
use lagoonproxy_packet::packet_status::RouteStatus;
use lagoonproxy_packet::packet_status::ServiceStatus;
use lagoonproxy_packet::packet_status::UpstreamStatus;
use lagoonproxy_packet::routes::route_config::RequestKind;
use lagoonproxy_packet::routes::route_config::ServiceShare;
use serde_json::Value;
use tokio::net::TcpSocket;

/// A host that runs lagoon-packet and has ejected one upstream.
struct ForwardingHost;

impl AdminSource for ForwardingHost {
    fn metrics_text(&self) -> String {
        String::new()
    }

    fn unready_reason(&self) -> Option<String> {
        None
    }

    fn status(&self) -> Value {
        let upstream = UpstreamStatus {
            name: "i-7f".into(),
            service: "ledger".into(),
            zone: "a".into(),
            address: "10.0.0.1:80".parse().unwrap(),
            registration: "ready".into(),
            avoided: true,
            failing: true,
            flows: 3,
            waiting: 2,
            heard_ago: Some(Duration::from_millis(1500)),
        };
        let share = |service: &str, weight| ServiceShare {
            service: service.into(),
            weight,
        };
        let route = RouteStatus {
            address: "198.18.0.1:8443".parse().unwrap(),
            priority: Some(2),
            kind: RequestKind::Idempotent,
            timeout: Some(Duration::from_millis(1500)),
            target: Some(Duration::from_millis(250)),
            services: vec![share("huvo11a", 90), share("wuno96b", 10)],
        };
        let plain_route = RouteStatus {
            address: "198.18.0.2:80".parse().unwrap(),
            priority: None,
            kind: RequestKind::Unknown,
            timeout: None,
            target: None,
            services: vec![share("wuno96b", 1)],
        };
        let class = |rank, priorities: &[Option<u32>]| ClassStatus {
            rank,
            priorities: priorities.to_vec(),
        };
        let service = ServiceStatus {
            name: "huvo11a".into(),
            contended: true,
            pressure: 2750,
            measured_ago: Some(Duration::from_millis(340)),
            classes: vec![class(0, &[Some(2)]), class(1, &[Some(3), None])],
        };
        let uncontended_service = ServiceStatus {
            name: "wuno96b".into(),
            contended: false,
            pressure: 0,
            measured_ago: None,
            classes: vec![class(0, &[None])],
        };
        let status = PacketStatus {
            host: "entry-1".into(),
            zone: "a".into(),
            ready: true,
            version: Some(7),
            through: 41,
            reader: Some("10.0.0.7:7720".parse().unwrap()),
            evacuated: vec![EvacuationStatus {
                zone: "b".into(),
                revision: 40,
                applied_ago: Duration::from_millis(2500),
                flows: 3,
            }],
            routes: vec![route, plain_route],
            services: vec![service, uncontended_service],
            upstreams: vec![upstream],
            ..PacketStatus::default()
        };
        serde_json::to_value(status).unwrap()
    }
}

/// A host whose configuration version increases by one with each status request.
#[derive(Default)]
struct AdvancingHost {
    status: Mutex<HostStatus>,
}

impl AdminSource for AdvancingHost {
    fn metrics_text(&self) -> String {
        String::new()
    }

    fn unready_reason(&self) -> Option<String> {
        None
    }

    fn status(&self) -> Value {
        let mut status = self.status.lock().unwrap();
        status.config_version = Some(status.config_version.unwrap_or(0) + 1);
        serde_json::to_value(&*status).unwrap()
    }
}

async fn start_host(status: HostStatus) -> SocketAddr {
    let listener = bind_admin("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let host = AdvancingHost {
        status: Mutex::new(status),
    };
    tokio::spawn(serve_admin(listener, Arc::new(host)));
    address
}

/// Returns an address that refuses connections. The socket is bound but does not listen, so that no
/// other test can use the address.
fn unreachable_address() -> (TcpSocket, String) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap().to_string();
    (socket, address)
}

async fn ctl(arguments: &[&str]) -> CommandReport {
    let args = CtlArgs::from_args(&["lagoonctl"], arguments).unwrap();
    run(args.command).await.unwrap()
}

#[tokio::test]
async fn test_status_shows_unreachable_host() {
    let alive = start_host(HostStatus {
        host: 4,
        hosts_alive: 8,
        holds_claim: true,
        ..HostStatus::default()
    });
    let alive = alive.await.to_string();
    let (_bound, unreachable) = unreachable_address();
    let report = ctl(&["status", "--host", &alive, "--host", &unreachable]).await;
    assert_eq!(report.code, ResultCode::SourceUnreachable);
    assert_eq!(report.json["hosts"][0]["status"]["config_version"], 1);
    assert!(report.lines[1].ends_with("ready"), "{:?}", report.lines);
    assert!(
        report.lines[2].contains("does not answer"),
        "{:?}",
        report.lines
    );
}

#[tokio::test]
async fn test_forwarders_show_hosts_and_upstreams() {
    let listener = bind_admin("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(serve_admin(listener, Arc::new(ForwardingHost)));
    let (_bound, unreachable) = unreachable_address();
    let arguments = [
        "forwarders",
        "--host",
        &address,
        "--host",
        &unreachable,
        "--upstreams",
    ];
    let report = ctl(&arguments).await;
    assert_eq!(report.code, ResultCode::SourceUnreachable);
    assert!(report.lines[1].starts_with("entry-1"), "{:?}", report.lines);
    assert!(report.lines[1].ends_with("ready"), "{:?}", report.lines);
    assert!(report.lines[1].contains(" 10.0.0.7 "), "the reader");
    assert!(report.lines[1].contains(" b "), "the evacuated zone");
    assert!(
        report.lines[2].contains("does not answer"),
        "{:?}",
        report.lines
    );
    let upstream = report.lines.last().unwrap();
    assert!(upstream.contains("ready, avoided"), "{upstream}");
    assert!(upstream.ends_with("1500ms ago"), "{upstream}");
}

/// Splits a table line into its cells.
fn cells(line: &str) -> Vec<&str> {
    line.split_whitespace().collect()
}

#[tokio::test]
async fn test_forwarders_show_routes() {
    let listener = bind_admin("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(serve_admin(listener, Arc::new(ForwardingHost)));
    let report = ctl(&["forwarders", "--host", &address, "--routes"]).await;
    assert_eq!(report.code, ResultCode::Success);
    let lines: Vec<Vec<&str>> = report.lines.iter().map(|line| cells(line)).collect();
    let expected = [
        vec![
            "entry-1",
            "198.18.0.1:8443",
            "2",
            "idempotent",
            "1500ms",
            "250ms",
            "huvo11a=90,wuno96b=10",
        ],
        vec!["entry-1", "198.18.0.2:80", "-", "-", "-", "-", "wuno96b=1"],
    ];
    assert_eq!(lines[lines.len() - 2..], expected);
}

#[tokio::test]
async fn test_forwarders_show_contended_services() {
    let listener = bind_admin("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(serve_admin(listener, Arc::new(ForwardingHost)));
    let (_bound, unreachable) = unreachable_address();
    let arguments = [
        "forwarders",
        "--host",
        &address,
        "--host",
        &unreachable,
        "--services",
    ];
    let report = ctl(&arguments).await;
    assert_eq!(report.code, ResultCode::SourceUnreachable);
    let lines: Vec<Vec<&str>> = report.lines.iter().map(|line| cells(line)).collect();
    let expected = [
        ["entry-1", "huvo11a", "yes", "2750", "340ms", "0:2", "1:3,-"].to_vec(),
        ["entry-1", "wuno96b", "no", "-", "-", "0:-"].to_vec(),
    ];
    assert_eq!(lines[lines.len() - 2..], expected);
}

#[tokio::test]
async fn test_evacuation_ends_when_all_hosts_applied_it() {
    struct Case {
        name: &'static str,
        arguments: &'static [&'static str],
        with_unreachable: bool,
        code: ResultCode,
        cell: &'static str,
    }
    let cases = [
        Case {
            name: "evacuated",
            arguments: &["--zone", "b"],
            with_unreachable: false,
            code: ResultCode::Success,
            cell: "2500ms",
        },
        Case {
            name: "flows are left",
            arguments: &["--zone", "b", "--empty"],
            with_unreachable: false,
            code: ResultCode::NotConverged,
            cell: "yes",
        },
        Case {
            name: "not restored",
            arguments: &["--zone", "b", "--restored"],
            with_unreachable: false,
            code: ResultCode::NotConverged,
            cell: "yes",
        },
        Case {
            name: "another zone",
            arguments: &["--zone", "c"],
            with_unreachable: false,
            code: ResultCode::NotConverged,
            cell: "no",
        },
        Case {
            name: "another zone is restored",
            arguments: &["--zone", "c", "--restored"],
            with_unreachable: false,
            code: ResultCode::Success,
            cell: "no",
        },
        Case {
            name: "a host does not answer",
            arguments: &["--zone", "b"],
            with_unreachable: true,
            code: ResultCode::NotConverged,
            cell: "yes",
        },
    ];
    let listener = bind_admin("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(serve_admin(listener, Arc::new(ForwardingHost)));
    let (_bound, unreachable) = unreachable_address();
    for case in cases {
        let mut arguments = vec!["evacuation", "--wait", "1ms", "--host", &address];
        if case.with_unreachable {
            arguments.extend(["--host", &unreachable]);
        }
        arguments.extend(case.arguments);
        let report = ctl(&arguments).await;
        assert_eq!(report.code, case.code, "{}", case.name);
        let line = &report.lines[1];
        assert!(line.contains(case.cell), "{}: {line}", case.name);
    }
}

#[tokio::test]
async fn test_watch_ends_when_version_is_in_force() {
    let host = start_host(HostStatus::default()).await.to_string();
    let report = ctl(&["watch", "--host", &host, "--version", "3"]).await;
    assert_eq!(report.code, ResultCode::Success);
    assert_eq!(report.json["hosts"][0]["status"]["config_version"], 3);
}

#[tokio::test]
async fn test_watch_ends_at_timeout() {
    let host = start_host(HostStatus::default()).await.to_string();
    let arguments = [
        "watch",
        "--host",
        &host,
        "--version",
        "900",
        "--wait",
        "1ms",
    ];
    let report = ctl(&arguments).await;
    assert_eq!(report.code, ResultCode::NotConverged);
}

#[tokio::test]
async fn test_drain_ends_when_hosts_are_drained_or_stopped() {
    let draining = start_host(HostStatus {
        draining: true,
        ..HostStatus::default()
    });
    let draining = draining.await.to_string();
    let (_bound, stopped) = unreachable_address();
    let report = ctl(&["drain", "--host", &draining, "--host", &stopped]).await;
    assert_eq!(report.code, ResultCode::Success);
    let busy = start_host(HostStatus {
        draining: true,
        requests: 1,
        ..HostStatus::default()
    });
    let busy = busy.await.to_string();
    let report = ctl(&["drain", "--host", &busy, "--wait", "1ms"]).await;
    assert_eq!(report.code, ResultCode::NotConverged);
}
