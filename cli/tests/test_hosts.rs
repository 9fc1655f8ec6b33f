//! Tests of the commands that ask hosts: what is shown, and when they end.

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

/// A host that forwards packets and believes one upstream to be silent.
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
        let calm_service = ServiceStatus {
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
            services: vec![service, calm_service],
            upstreams: vec![upstream],
            ..PacketStatus::default()
        };
        serde_json::to_value(status).unwrap()
    }
}

/// A host whose configuration moves on by one version each time it is asked.
#[derive(Default)]
struct MovingHost {
    status: Mutex<HostStatus>,
}

impl AdminSource for MovingHost {
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
    let host = MovingHost {
        status: Mutex::new(status),
    };
    tokio::spawn(serve_admin(listener, Arc::new(host)));
    address
}

/// An address that refuses connections; it is bound, so that no other test can take it.
fn silent_address() -> (TcpSocket, String) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap().to_string();
    (socket, address)
}

async fn ctl(words: &[&str]) -> CommandReport {
    let args = CtlArgs::from_args(&["lagoonctl"], words).unwrap();
    run(args.command).await.unwrap()
}

#[tokio::test]
async fn test_status_names_silent_host() {
    let alive = start_host(HostStatus {
        host: 4,
        hosts_alive: 8,
        holds_claim: true,
        ..HostStatus::default()
    });
    let alive = alive.await.to_string();
    let (_bound, silent) = silent_address();
    let report = ctl(&["status", "--host", &alive, "--host", &silent]).await;
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
async fn test_forwarders_show_what_they_believe() {
    let listener = bind_admin("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(serve_admin(listener, Arc::new(ForwardingHost)));
    let (_bound, silent) = silent_address();
    let words = [
        "forwarders",
        "--host",
        &address,
        "--host",
        &silent,
        "--upstreams",
    ];
    let report = ctl(&words).await;
    assert_eq!(report.code, ResultCode::SourceUnreachable);
    assert!(report.lines[1].starts_with("entry-1"), "{:?}", report.lines);
    assert!(report.lines[1].ends_with("ready"), "{:?}", report.lines);
    assert!(report.lines[1].contains(" 10.0.0.7 "), "its reader");
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

/// A line of a table, by its cells.
fn cells(line: &str) -> Vec<&str> {
    line.split_whitespace().collect()
}

#[tokio::test]
async fn test_forwarders_show_the_routes_that_they_hold() {
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
async fn test_forwarders_show_which_services_are_contended() {
    let listener = bind_admin("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(serve_admin(listener, Arc::new(ForwardingHost)));
    let (_bound, silent) = silent_address();
    let words = [
        "forwarders",
        "--host",
        &address,
        "--host",
        &silent,
        "--services",
    ];
    let report = ctl(&words).await;
    assert_eq!(report.code, ResultCode::SourceUnreachable);
    let lines: Vec<Vec<&str>> = report.lines.iter().map(|line| cells(line)).collect();
    let expected = [
        ["entry-1", "huvo11a", "yes", "2750", "340ms", "0:2", "1:3,-"].to_vec(),
        ["entry-1", "wuno96b", "no", "-", "-", "0:-"].to_vec(),
    ];
    assert_eq!(lines[lines.len() - 2..], expected);
}

#[tokio::test]
async fn test_evacuation_ends_when_every_host_is_done() {
    struct Case {
        name: &'static str,
        words: &'static [&'static str],
        with_silent: bool,
        code: ResultCode,
        cell: &'static str,
    }
    let cases = [
        Case {
            name: "evacuated",
            words: &["--zone", "b"],
            with_silent: false,
            code: ResultCode::Success,
            cell: "2500ms",
        },
        Case {
            name: "flows are left",
            words: &["--zone", "b", "--empty"],
            with_silent: false,
            code: ResultCode::NotConverged,
            cell: "yes",
        },
        Case {
            name: "not restored",
            words: &["--zone", "b", "--restored"],
            with_silent: false,
            code: ResultCode::NotConverged,
            cell: "yes",
        },
        Case {
            name: "another zone",
            words: &["--zone", "c"],
            with_silent: false,
            code: ResultCode::NotConverged,
            cell: "no",
        },
        Case {
            name: "another zone is restored",
            words: &["--zone", "c", "--restored"],
            with_silent: false,
            code: ResultCode::Success,
            cell: "no",
        },
        Case {
            name: "a host does not answer",
            words: &["--zone", "b"],
            with_silent: true,
            code: ResultCode::NotConverged,
            cell: "yes",
        },
    ];
    let listener = bind_admin("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(serve_admin(listener, Arc::new(ForwardingHost)));
    let (_bound, silent) = silent_address();
    for case in cases {
        let mut words = vec!["evacuation", "--wait", "1ms", "--host", &address];
        if case.with_silent {
            words.extend(["--host", &silent]);
        }
        words.extend(case.words);
        let report = ctl(&words).await;
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
async fn test_watch_gives_up_when_time_is_over() {
    let host = start_host(HostStatus::default()).await.to_string();
    let words = [
        "watch",
        "--host",
        &host,
        "--version",
        "900",
        "--wait",
        "1ms",
    ];
    let report = ctl(&words).await;
    assert_eq!(report.code, ResultCode::NotConverged);
}

#[tokio::test]
async fn test_drain_ends_when_hosts_are_done_or_gone() {
    let draining = start_host(HostStatus {
        draining: true,
        ..HostStatus::default()
    });
    let draining = draining.await.to_string();
    let (_bound, gone) = silent_address();
    let report = ctl(&["drain", "--host", &draining, "--host", &gone]).await;
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
