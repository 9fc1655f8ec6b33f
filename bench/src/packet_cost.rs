//! Measures the cost of decisions on the packet path, alone and compared with a plain relay of the
//! same packets.

use std::hint::black_box;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy_packet::flows::flow_cost::FlowCosts;
use lagoonproxy_packet::host_settings::HostSettings;
use lagoonproxy_packet::load::load_state::ContentionState;
use lagoonproxy_packet::load::load_state::UpstreamLoad;
use lagoonproxy_packet::packet_action::PacketAction;
use lagoonproxy_packet::packet_action::PacketOutput;
use lagoonproxy_packet::packet_core::PacketCore;
use lagoonproxy_packet::packet_head::PacketHead;
use lagoonproxy_packet::packet_head::PacketKind;
use lagoonproxy_packet::policy_config::PolicyConfig;
use lagoonproxy_packet::routes::route_config::RequestKind;
use lagoonproxy_packet::routes::route_config::RequestPriority;
use lagoonproxy_packet::routes::route_config::RouteConfig;
use lagoonproxy_packet::routes::route_config::ServiceRoute;
use lagoonproxy_packet::routes::route_config::ServiceShare;
use lagoonproxy_packet::selection::upstream_selection::SelectionQuery;
use lagoonproxy_packet::selection::upstream_selection::select_upstream;
use lagoonproxy_packet::state::state_snapshot::ItemContent;
use lagoonproxy_packet::state::state_snapshot::ItemKey;
use lagoonproxy_packet::state::state_snapshot::PublishedItem;
use lagoonproxy_packet::state::state_snapshot::StateUpdate;
use lagoonproxy_packet::state::store_position::StorePosition;
use lagoonproxy_packet::upstreams::upstream_entry::EntryState;
use lagoonproxy_packet::upstreams::upstream_entry::UpstreamEntry;
use lagoonproxy_packet::upstreams::upstream_table::UpstreamTable;
use lagoonproxy_packet::upstreams::upstream_table::flow_tag;

/// Bytes of a relayed datagram: a request of 900 bytes and its header.
const DATAGRAM_BYTES: usize = 931;

/// Datagrams that are sent before any is read; they must fit into the socket's buffer.
const WINDOW_DATAGRAMS: usize = 32;

/// Store position of all published items.
const FIRST_POSITION: StorePosition = StorePosition {
    era: 0,
    revision: 1,
};

/// Address of the measured service.
const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// A packet core with upstreams and open flows.
pub struct PacketBench {
    core: PacketCore,
    now: Instant,
    output: PacketOutput,
}

impl PacketBench {
    /// Returns a core with `upstreams` upstreams of one service in one zone, all at `address`.
    pub fn new(upstreams: u32, address: SocketAddrV4) -> Self {
        let mut bench = Self {
            core: PacketCore::new(&settings(), PolicyConfig::default()),
            now: Instant::now(),
            output: PacketOutput::default(),
        };
        let mut items = vec![routes_item()];
        items.extend((0..upstreams).map(|number| upstream_item(number, address)));
        let update = StateUpdate {
            items,
            through: FIRST_POSITION,
            whole: true,
            after: StorePosition::UNREAD,
            until: StorePosition::UNREAD,
        };
        bench.core.merge(bench.now, &update, &mut bench.output);
        bench
    }

    /// Opens `flows` flows and sends a first request on each.
    pub fn open(&mut self, flows: u32) {
        for flow in 0..flows {
            self.open_one(flow);
        }
    }

    /// Returns the mean processing time of a packet on an open flow.
    pub fn known_packet(&mut self, flows: u32, packets: u32) -> Duration {
        let started = Instant::now();
        for packet in 0..packets {
            let head = request_head(packet % flows, packet / flows + 1);
            self.process_packet(&head);
        }
        started.elapsed() / packets
    }

    /// Returns the mean time to place a new flow.
    pub fn new_flow(&mut self, first: u32, flows: u32) -> Duration {
        let started = Instant::now();
        for flow in first..first + flows {
            self.process_packet(&open_head(flow));
        }
        started.elapsed() / flows
    }

    /// Processes one packet. Returns the address to which it is forwarded, if any.
    pub fn process_packet(&mut self, head: &PacketHead) -> Option<SocketAddrV4> {
        self.output.clear();
        self.now += Duration::from_micros(10);
        self.core.handle_packet(self.now, head, &mut self.output);
        match black_box(&self.output).actions.first() {
            Some(PacketAction::Forward { address, .. }) => Some(*address),
            _ => None,
        }
    }

    fn open_one(&mut self, flow: u32) {
        self.process_packet(&open_head(flow));
        self.process_packet(&request_head(flow, 0));
    }
}

/// The upstreams of one service, with loads as a load digest reports them.
pub struct SelectionBench {
    table: UpstreamTable,
    now: Instant,
    contention: ContentionState,
}

impl SelectionBench {
    /// Returns a service with `upstreams` upstreams in the host's zone.
    pub fn new(upstreams: u32, is_contended: bool) -> Self {
        let now = Instant::now();
        let age = Duration::from_secs(60);
        let mut table = UpstreamTable::new("a".into(), age, PolicyConfig::default());
        for round in 0..2 {
            for number in 0..upstreams {
                let entry = upstream_entry(number, SERVICE);
                let index = match round {
                    0 => table.register(now, &entry),
                    _ => table.by_name(&entry.name).unwrap_or_default(),
                };
                table.get_mut(index).load = UpstreamLoad {
                    in_progress: 1000 + number % 3000,
                    response_time: Duration::from_millis(20),
                    shed_rate: 0,
                    updated_at: Some(now + Duration::from_millis(round)),
                };
            }
            table.update_weights(&FlowCosts::default());
        }
        let contention = ContentionState {
            pressure: 900,
            is_contended,
            updated_at: Some(now),
        };
        Self {
            table,
            now,
            contention,
        }
    }

    /// Returns the mean time of a selection in the fastest of `rounds` rounds, because other
    /// processes slow down the rest.
    pub fn select(&self, rounds: u32, flows: u32) -> Duration {
        let times = (0..rounds).map(|_round| self.select_round(flows));
        times.min().unwrap_or_default()
    }

    fn select_round(&self, flows: u32) -> Duration {
        let started = Instant::now();
        for flow in 0..flows {
            let flow_hash = u64::from(flow).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let query = SelectionQuery {
                now: self.now,
                service: 0,
                flow_hash,
                local_hosts: 30,
                tried: &[],
                contention: self.contention,
                spill_zone: None,
            };
            black_box(select_upstream(&self.table, query));
        }
        started.elapsed() / flows
    }
}

/// Datagrams per second that one thread relayed in one round.
#[derive(Clone, Copy, Debug)]
pub struct RelayPair {
    /// Datagrams read and forwarded without a decision.
    pub bare: f64,
    /// Datagrams read and forwarded after a decision of the core.
    pub decided: f64,
}

/// Relays datagrams over loopback, first without and then with the decision of the core.
///
/// Returns an error if a socket cannot be bound, read or written.
pub fn relay_round(
    bench: &mut PacketBench,
    flows: u32,
    windows: u32,
    target: &UdpSocket,
) -> std::io::Result<RelayPair> {
    let bare = relay_rate(windows, target, |_number| None)?;
    let decided = relay_rate(windows, target, |number| {
        bench.process_packet(&request_head(number % flows, number / flows + 1))
    })?;
    Ok(RelayPair { bare, decided })
}

fn relay_rate(
    windows: u32,
    target: &UdpSocket,
    mut decide: impl FnMut(u32) -> Option<SocketAddrV4>,
) -> std::io::Result<f64> {
    let caller = UdpSocket::bind("127.0.0.1:0")?;
    let relay = UdpSocket::bind("127.0.0.1:0")?;
    let target_address = target.local_addr()?;
    let relay_address = relay.local_addr()?;
    let mut buffer = [0; 2048];
    let mut spent = Duration::ZERO;
    let mut number = 0;
    for _window in 0..windows {
        for _datagram in 0..WINDOW_DATAGRAMS {
            caller.send_to(&buffer[..DATAGRAM_BYTES], relay_address)?;
        }
        let started = Instant::now();
        for _datagram in 0..WINDOW_DATAGRAMS {
            let (length, _source) = relay.recv_from(&mut buffer)?;
            let decided = decide(number).map(SocketAddr::V4);
            number += 1;
            relay.send_to(&buffer[..length], decided.unwrap_or(target_address))?;
        }
        spent += started.elapsed();
        for _datagram in 0..WINDOW_DATAGRAMS {
            target.recv_from(&mut buffer)?;
        }
    }
    Ok(f64::from(number) / spent.as_secs_f64())
}

fn settings() -> HostSettings {
    let own = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
    HostSettings {
        host: "bench".into(),
        zone: "a".into(),
        zones: vec!["a".into()],
        capacity: 250,
        packet_address: own,
        ready_address: own,
        peer_address: own,
        seed_peers: Vec::new(),
        store_address: own,
        warmup_tolerance: None,
        stop_grace: Duration::from_secs(6),
        max_flow_age: Duration::from_secs(60),
    }
}

fn upstream_name(number: u32) -> String {
    format!("i-{number:08x}")
}

fn routes_item() -> PublishedItem {
    let share = ServiceShare {
        service: "service".into(),
        weight: 1,
    };
    let route = ServiceRoute {
        address: SERVICE,
        shares: vec![share],
        target: None,
        priority: RequestPriority::LEAST_URGENT,
        kind: RequestKind::default(),
        timeout: None,
    };
    let config = RouteConfig {
        version: 1,
        routes: vec![route],
        flow_idle: Duration::from_secs(15),
        warmups: Vec::new(),
        connection_limits: Vec::new(),
        field_faults: Vec::new(),
    };
    PublishedItem {
        key: ItemKey::Routes,
        position: FIRST_POSITION,
        content: ItemContent::Routes(Arc::new(config)),
    }
}

fn upstream_entry(number: u32, address: SocketAddrV4) -> UpstreamEntry {
    UpstreamEntry {
        name: upstream_name(number).into(),
        number: u64::from(number),
        service: "service".into(),
        address,
        zone: "a".into(),
        slots: 2,
        state: EntryState::Ready,
        warmup_left: Duration::ZERO,
        born: None,
        write_count: 1,
    }
}

fn upstream_item(number: u32, address: SocketAddrV4) -> PublishedItem {
    let entry = upstream_entry(number, address);
    PublishedItem {
        key: ItemKey::Upstream(entry.name.clone()),
        position: FIRST_POSITION,
        content: ItemContent::Upstream(Arc::new(entry)),
    }
}

fn caller(flow: u32) -> SocketAddrV4 {
    SocketAddrV4::new(
        Ipv4Addr::from(0x6440_0000 + (flow >> 14)),
        1024 + (flow & 0x3fff) as u16,
    )
}

fn open_head(flow: u32) -> PacketHead {
    PacketHead {
        kind: PacketKind::Open,
        caller: caller(flow),
        service: SERVICE,
        tag: 0,
        seq: 0,
        ack: 0,
        data_len: 0,
        last: false,
    }
}

/// Returns the header of a request on a flow. The tag of every flow names the first upstream, so
/// that no random number is drawn while the time is measured.
fn request_head(flow: u32, turn: u32) -> PacketHead {
    PacketHead {
        kind: PacketKind::Established,
        caller: caller(flow),
        service: SERVICE,
        tag: flow_tag(&upstream_name(0).into()),
        seq: 1 + turn * 900,
        ack: 1 + turn * 600,
        data_len: 900,
        last: false,
    }
}
