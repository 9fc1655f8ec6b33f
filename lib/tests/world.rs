//! Builders that the tests share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use lagoonproxy::config_snapshot::HostEntry;
use lagoonproxy::config_snapshot::HostView;
use lagoonproxy::config_snapshot::UpstreamState;
use lagoonproxy::flow_hash::FlowHasher;
use lagoonproxy::host_core::CoreSettings;
use lagoonproxy::host_core::HostCore;
use lagoonproxy::host_core::TICK;
use lagoonproxy::host_event::HostEvent;
use lagoonproxy::ids::FlowDigest;
use lagoonproxy::ids::HostId;
use lagoonproxy::ids::ServiceAddress;
use lagoonproxy::least_busy_policy::LeastBusyPolicy;
use lagoonproxy::load_policy::LoadPolicy;
use lagoonproxy::published_config::PublishedConfig;
use lagoonproxy::published_config::ServiceDoc;
use lagoonproxy::published_config::UpstreamDoc;
use lagoonproxy::wire_frame::CallerBody;
use lagoonproxy::wire_frame::CallerFrame;
use lagoonproxy::wire_frame::RequestBody;

/// Uptime of [`lone_core`], longer than a new host stays on standby.
const LONE_UPTIME: Duration = Duration::from_secs(10);

/// Address of the service that the tests call.
pub fn ledger_address() -> ServiceAddress {
    ([10, 0, 0, 1], 700).into()
}

/// Address of a caller.
pub fn caller_address() -> SocketAddr {
    ([127, 0, 0, 1], 9_000).into()
}

/// Address of an upstream.
pub fn upstream_address(id: u32) -> SocketAddr {
    ([127, 0, 1, 1], 5_000 + id as u16).into()
}

/// A configuration of one service with `upstreams` upstreams.
pub fn ledger_config(version: u64, upstreams: u32) -> PublishedConfig {
    PublishedConfig {
        version,
        services: vec![ServiceDoc {
            id: 1,
            name: "ledger".into(),
            address: ledger_address(),
            selector: "service=ledger".to_owned(),
        }],
        upstreams: (0..upstreams).map(ledger_upstream).collect(),
    }
}

fn ledger_upstream(id: u32) -> UpstreamDoc {
    UpstreamDoc {
        id,
        name: format!("ledger-{id}").into(),
        address: upstream_address(id),
        zone: "zig-a".into(),
        health_address: None,
        incarnation: 0,
        labels: [("service".into(), "ledger".into())].into(),
        state: UpstreamState::Active,
        slots: 2,
        connections: 2_000,
    }
}

/// A host list in which all of `hosts` are alive.
pub fn host_view(hosts: &[HostId]) -> Arc<HostView> {
    let entry = |id: &HostId| HostEntry {
        id: *id,
        zone: "zig-a".into(),
        cell: 0,
        peer_address: ([127, 0, 2, 1], 6_000 + *id as u16).into(),
        control_address: ([127, 0, 2, 1], 7_000 + *id as u16).into(),
        leaving: false,
    };
    Arc::new(HostView {
        version: 1,
        published: hosts.iter().map(entry).collect(),
        alive: hosts.to_vec(),
    })
}

/// A host without configuration that starts now.
pub fn host_core(host: HostId) -> HostCore {
    host_core_at(Instant::now(), host)
}

/// A host without configuration that starts at `now`.
pub fn host_core_at(now: Instant, host: HostId) -> HostCore {
    host_core_with(now, host, Box::<LeastBusyPolicy>::default())
}

/// A host without configuration that starts at `now`, with the given load policy.
pub fn host_core_with(now: Instant, host: HostId, policy: Box<dyn LoadPolicy>) -> HostCore {
    let settings = CoreSettings {
        host,
        incarnation: 1,
        started: now,
        flow_key: [7; 16],
        flow_idle: Duration::from_secs(3_600),
        max_datagram_age: Duration::from_secs(1),
    };
    HostCore::new(settings, policy)
}

/// The only host of its ownership group, which holds its lease at `now`.
pub fn lone_core(now: Instant, upstreams: u32) -> HostCore {
    lone_core_with(now, upstreams, Box::<LeastBusyPolicy>::default())
}

/// The only host of its ownership group, which holds its lease at `now`, with the given load
/// policy.
pub fn lone_core_with(now: Instant, upstreams: u32, policy: Box<dyn LoadPolicy>) -> HostCore {
    let mut time = now
        .checked_sub(LONE_UPTIME)
        .expect("the machine has been up long enough");
    let mut core = host_core_with(time, 1, policy);
    let config = ledger_config(1, upstreams).compile().unwrap();
    let mut actions = Vec::new();
    core.handle(time, HostEvent::Config(Arc::new(config)), &mut actions);
    core.handle(time, HostEvent::Hosts(host_view(&[1])), &mut actions);
    while time < now {
        time += TICK;
        core.handle(time, HostEvent::Tick, &mut actions);
    }
    core
}

/// A caller's frame of flow 1.
pub fn ledger_frame(body: CallerBody) -> CallerFrame {
    CallerFrame {
        service: ledger_address(),
        flow: 1,
        body,
    }
}

/// A non-idempotent request with a timeout of one second.
pub fn transfer(request: u64) -> RequestBody {
    RequestBody {
        request,
        age: Duration::ZERO,
        remaining: Duration::from_secs(1),
        idempotent: false,
        established: false,
        payload: Bytes::from_static(b"lot 7"),
    }
}

/// The digest of a flow; different flow numbers give independent digests.
pub fn flow_digest(flow: u64) -> FlowDigest {
    FlowHasher::new([7; 16]).digest(ledger_address(), caller_address(), flow)
}
