//! Test rig of flows with requests in progress, on one host or on a zone of hosts.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use lagoonproxy_packet::load::load_tracker::AddressedDatagram;
use lagoonproxy_packet::packet_action::PacketOutput;
use lagoonproxy_packet::packet_head::PacketHead;
use lagoonproxy_packet::peers::peer_heartbeat::PeerHeartbeat;
use lagoonproxy_packet::state::store_position::StorePosition;
use lagoonproxy_packet::upstreams::upstream_entry::UpstreamEntry;

use crate::core_rig::*;
use crate::fleet_rig::*;

/// Time from a request to its response, and from the response to the next request.
pub const HALF_CYCLE_MS: u64 = 20;

/// Lengths of a usual response and of a short error.
pub const RESPONSE_BYTES: u32 = 500;
pub const ERROR_BYTES: u32 = 20;

/// A flow that sends one request after the other, so that half a request is in progress on average.
#[derive(Clone, Copy, Debug)]
pub struct LoadFlow {
    pub number: u16,
    pub upstream: u8,
    /// The host that carries the flow, in a fleet.
    pub host: HostIndex,
    seq: u32,
    ack: u32,
}

impl LoadFlow {
    pub fn new(number: u16, upstream: u8, host: HostIndex) -> Self {
        Self {
            number,
            upstream,
            host,
            seq: 0,
            ack: 1,
        }
    }

    /// Returns the packet of the next request.
    pub fn request(&mut self) -> PacketHead {
        let head = established_head(self.number, self.upstream, self.seq, self.ack, 100);
        self.seq += 100;
        head
    }

    /// Returns the acknowledgement of a response of `bytes` bytes.
    pub fn response(&mut self, bytes: u32) -> PacketHead {
        self.ack += bytes;
        established_head(self.number, self.upstream, self.seq, self.ack, 0)
    }
}

/// Creates `counts[i]` flows to the upstream with number `i + 1`.
pub fn flows_to(counts: &[u16]) -> Vec<LoadFlow> {
    let upstreams = counts.iter().zip(1_u8..);
    let each = upstreams.flat_map(|(count, upstream)| (0..*count).map(move |_flow| upstream));
    each.zip(0..)
        .map(|(upstream, number)| LoadFlow::new(number, upstream, 0))
        .collect()
}

/// Sends requests and responses of the flows through one host for `millis`.
pub fn run_flows(rig: &mut CoreRig, flows: &mut [LoadFlow], millis: u64) {
    run_flows_with(rig, flows, millis, HALF_CYCLE_MS, RESPONSE_BYTES);
}

/// Like [`run_flows`], with another response time and another length of responses.
pub fn run_flows_with(
    rig: &mut CoreRig,
    flows: &mut [LoadFlow],
    millis: u64,
    response_ms: u64,
    bytes: u32,
) {
    for _cycle in 0..millis / (response_ms + HALF_CYCLE_MS) {
        for flow in flows.iter_mut() {
            rig.packet(&flow.request());
        }
        rig.advance_time(response_ms);
        for flow in flows.iter_mut() {
            rig.packet(&flow.response(bytes));
        }
        rig.advance_time(HALF_CYCLE_MS);
    }
}

/// Delivers heartbeats of `count` other hosts of the zone, which have less capacity than this one.
pub fn receive_heartbeats(rig: &mut CoreRig, count: u8) {
    for number in 0..count {
        receive_heartbeat(rig, number, 100);
    }
}

/// Delivers a heartbeat of another host of the zone, with its capacity in thousandths of a core.
pub fn receive_heartbeat(rig: &mut CoreRig, number: u8, capacity: u32) {
    let heartbeat = PeerHeartbeat {
        zone: ZONE.into(),
        reads: false,
        confirmation: None,
        capacity,
        ready: true,
        seeks: false,
        through: StorePosition::UNREAD,
        version: None,
        reader: None,
        named: Vec::new(),
        others: Vec::new(),
        reports: None,
    };
    rig.core
        .handle_heartbeat(rig.now, peer(number), heartbeat, false);
}

/// Returns the address of another host of the zone.
pub fn peer(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 1, number), 7720)
}

/// Returns the load reports and digests that a host sends within `millis`.
pub fn datagrams_sent_within(rig: &mut CoreRig, millis: u64) -> Vec<AddressedDatagram> {
    let mut sent = Vec::new();
    for _poll in 0..millis / 100 {
        rig.advance_time(100);
        sent.extend(rig.core.due_load_datagrams(rig.now));
    }
    sent
}

/// Returns whether a host regards the `ledger` service as contended.
pub fn is_contended(rig: &CoreRig) -> bool {
    rig.core.load().contention(rig.now, 0).is_contended
}

/// A zone of hosts. The upstreams of the `ledger` service have two slots each.
pub struct LoadFleet {
    pub rig: FleetRig,
    pub flows: Vec<LoadFlow>,
}

impl LoadFleet {
    /// Starts hosts that know each other, with flows to each upstream spread over the hosts.
    pub fn new(hosts: u16, counts: &[u16]) -> Self {
        Self::with_zones(1, hosts, counts)
    }

    /// Like [`Self::new`], with additional zones that have no upstreams and no flows.
    pub fn with_zones(zones: u8, hosts: u16, counts: &[u16]) -> Self {
        let plan = FleetPlan {
            zones,
            hosts_per_zone: 1,
            large_hosts_per_zone: 2,
            seed: 11,
        };
        let mut rig = FleetRig::with_hosts(&plan, hosts);
        let upstreams = (1..).take(counts.len());
        let entries = upstreams.map(|number| UpstreamEntry {
            zone: "zone-1".into(),
            ..entry(number, "ledger")
        });
        rig.items = std::iter::once(routes_item(1, default_routes(1)))
            .chain(entries.map(|entry| upstream_item(2, entry)))
            .collect();
        rig.start_all();
        rig.advance_time(4000);
        let mut flows = flows_to(counts);
        for flow in &mut flows {
            flow.host = usize::from(flow.number) * 7919 % usize::from(hosts);
        }
        Self { rig, flows }
    }

    /// Sends requests and responses of the flows for `millis`. Flows of dead or frozen hosts pause.
    pub fn run_flows(&mut self, millis: u64) {
        for _cycle in 0..millis / (2 * HALF_CYCLE_MS) {
            for is_request in [true, false] {
                for flow in &mut self.flows {
                    let head = match is_request {
                        true => flow.request(),
                        false => flow.response(RESPONSE_BYTES),
                    };
                    let host = &mut self.rig.hosts[flow.host];
                    let frozen = self.rig.now < host.frozen_until.unwrap_or(self.rig.now);
                    if host.alive && !frozen {
                        let mut output = PacketOutput::default();
                        host.core.handle_packet(self.rig.now, &head, &mut output);
                    }
                }
                self.rig.advance_time(HALF_CYCLE_MS);
            }
        }
    }

    /// Returns the number of live hosts that regard the `ledger` service as contended.
    pub fn contended_hosts(&self) -> usize {
        let now = self.rig.now;
        let hosts = self.rig.hosts.iter().filter(|host| host.alive);
        let states = hosts.map(|host| host.core.load().contention(now, 0));
        states.filter(|state| state.is_contended).count()
    }

    /// Returns the load of each upstream as known to a host, in thousandths of a request.
    pub fn loads(&self, host: HostIndex) -> Vec<u32> {
        let upstreams = self.rig.hosts[host].core.upstreams();
        let members = upstreams.pool(0).local.iter();
        let mut records: Vec<_> = members.map(|index| upstreams.get(*index)).collect();
        records.sort_by_key(|record| record.number);
        records
            .iter()
            .map(|record| record.load.in_progress)
            .collect()
    }

    /// Returns the number of hosts whose counts a host's load of the service is based on, and its
    /// age.
    pub fn load_status(&self, host: HostIndex) -> (u32, Duration) {
        let load = self.rig.hosts[host].core.load();
        let status = load.status(self.rig.now, 0).expect("the ledger is known");
        (status.reporters, status.age.unwrap_or(Duration::MAX))
    }

    /// Returns the hosts that aggregate load reports.
    pub fn aggregators(&self) -> Vec<HostIndex> {
        let hosts = self.rig.hosts.iter().enumerate();
        let aggregating = hosts.filter(|(_place, host)| host.core.load().is_aggregator());
        aggregating.map(|(place, _host)| place).collect()
    }
}
