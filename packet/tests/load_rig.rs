//! Callers with requests in progress, for tests of load.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use lagoonproxy_packet::load::load_view::AddressedDatagram;
use lagoonproxy_packet::packet_action::PacketOutput;
use lagoonproxy_packet::packet_head::PacketHead;
use lagoonproxy_packet::peers::peer_heartbeat::PeerHeartbeat;
use lagoonproxy_packet::state::store_position::StorePosition;
use lagoonproxy_packet::upstreams::upstream_entry::UpstreamEntry;

use crate::core_rig::*;
use crate::fleet_rig::*;

/// Time from a request to its response, and from there to the next request.
pub const HALF_TURN: u64 = 20;

/// Bytes of a usual response, and of an error.
pub const USUAL_BYTES: u32 = 500;
pub const ERROR_BYTES: u32 = 20;

/// A flow with one request after the other: half a request in progress.
#[derive(Clone, Copy, Debug)]
pub struct LoadFlow {
    pub number: u16,
    pub upstream: u8,
    /// The host that carries it, in a fleet.
    pub host: HostPlace,
    seq: u32,
    ack: u32,
}

impl LoadFlow {
    pub fn new(number: u16, upstream: u8, host: HostPlace) -> Self {
        Self {
            number,
            upstream,
            host,
            seq: 0,
            ack: 1,
        }
    }

    /// The packet of its next request.
    pub fn request(&mut self) -> PacketHead {
        let head = carry_head(self.number, self.upstream, self.seq, self.ack, 100);
        self.seq += 100;
        head
    }

    /// The acknowledgement of a response of so many bytes.
    pub fn response(&mut self, bytes: u32) -> PacketHead {
        self.ack += bytes;
        carry_head(self.number, self.upstream, self.seq, self.ack, 0)
    }
}

/// So many flows to each upstream, numbered from 1.
pub fn flows_to(counts: &[u16]) -> Vec<LoadFlow> {
    let upstreams = counts.iter().zip(1_u8..);
    let each = upstreams.flat_map(|(count, upstream)| (0..*count).map(move |_flow| upstream));
    each.zip(0..)
        .map(|(upstream, number)| LoadFlow::new(number, upstream, 0))
        .collect()
}

/// Lets flows work for a time through one host.
pub fn work(rig: &mut CoreRig, flows: &mut [LoadFlow], millis: u64) {
    work_with(rig, flows, millis, HALF_TURN, USUAL_BYTES);
}

/// The same with another time to the response and another size of it.
pub fn work_with(rig: &mut CoreRig, flows: &mut [LoadFlow], millis: u64, took: u64, bytes: u32) {
    for _turn in 0..millis / (took + HALF_TURN) {
        for flow in flows.iter_mut() {
            rig.packet(&flow.request());
        }
        rig.pass(took);
        for flow in flows.iter_mut() {
            rig.packet(&flow.response(bytes));
        }
        rig.pass(HALF_TURN);
    }
}

/// Lets so many other hosts of the zone be heard, with less capacity than this one.
pub fn hear_peers(rig: &mut CoreRig, count: u8) {
    for number in 0..count {
        hear_peer_with(rig, number, 100);
    }
}

/// Lets another host of the zone be heard that has so many thousandths of a core.
pub fn hear_peer_with(rig: &mut CoreRig, number: u8, capacity: u32) {
    let heartbeat = PeerHeartbeat {
        zone: ZONE.into(),
        reads: false,
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
    rig.core.heard(rig.now, peer(number), heartbeat, false);
}

/// The address of another host of the zone.
pub fn peer(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 1, number), 7720)
}

/// The datagrams about load that a host sends within a time.
pub fn sent_within(rig: &mut CoreRig, millis: u64) -> Vec<AddressedDatagram> {
    let mut sent = Vec::new();
    for _look in 0..millis / 100 {
        rig.pass(100);
        sent.extend(rig.core.due_load_datagrams(rig.now));
    }
    sent
}

/// Whether the ledger is contended at a host.
pub fn is_contended(rig: &CoreRig) -> bool {
    rig.core.load().room(rig.now, 0).is_contended
}

/// A zone of hosts whose ledger has upstreams with two slots each.
pub struct LoadFleet {
    pub rig: FleetRig,
    pub flows: Vec<LoadFlow>,
}

impl LoadFleet {
    /// Running hosts that know each other; flows to each upstream are spread over them.
    pub fn new(hosts: u16, counts: &[u16]) -> Self {
        Self::with_zones(1, hosts, counts)
    }

    /// The same with other zones, which have no upstreams and no flows.
    pub fn with_zones(zones: u8, hosts: u16, counts: &[u16]) -> Self {
        let plan = FleetPlan {
            zones,
            hosts_a_zone: 1,
            large_a_zone: 2,
            seed: 11,
        };
        let mut rig = FleetRig::with_hosts(&plan, hosts);
        let upstreams = (1..).take(counts.len());
        let entries = upstreams.map(|number| UpstreamEntry {
            zone: "zone-1".into(),
            ..entry(number, "ledger")
        });
        rig.items = std::iter::once(routes_item(1, usual_routes(1)))
            .chain(entries.map(|entry| upstream_item(2, entry)))
            .collect();
        rig.start_all();
        rig.pass(4000);
        let mut flows = flows_to(counts);
        for flow in &mut flows {
            flow.host = usize::from(flow.number) * 7919 % usize::from(hosts);
        }
        Self { rig, flows }
    }

    /// Lets the flows work for a time. Flows of dead hosts stand still.
    pub fn work(&mut self, millis: u64) {
        for _turn in 0..millis / (2 * HALF_TURN) {
            for is_request in [true, false] {
                for flow in &mut self.flows {
                    let head = match is_request {
                        true => flow.request(),
                        false => flow.response(USUAL_BYTES),
                    };
                    let host = &mut self.rig.hosts[flow.host];
                    let frozen = self.rig.now < host.frozen_until.unwrap_or(self.rig.now);
                    if host.alive && !frozen {
                        let mut output = PacketOutput::default();
                        host.core.packet(self.rig.now, &head, &mut output);
                    }
                }
                self.rig.pass(HALF_TURN);
            }
        }
    }

    /// Hosts that run and regard the ledger as contended.
    pub fn contended_hosts(&self) -> usize {
        let now = self.rig.now;
        let hosts = self.rig.hosts.iter().filter(|host| host.alive);
        let rooms = hosts.map(|host| host.core.load().room(now, 0));
        rooms.filter(|room| room.is_contended).count()
    }

    /// The load of the ledger's upstreams as a host knows it, in thousandths of a request.
    pub fn loads(&self, host: HostPlace) -> Vec<u32> {
        let upstreams = self.rig.hosts[host].core.upstreams();
        let members = upstreams.pool(0).local.iter();
        let mut records: Vec<_> = members.map(|index| upstreams.get(*index)).collect();
        records.sort_by_key(|record| record.number);
        records
            .iter()
            .map(|record| record.load.in_progress)
            .collect()
    }

    /// Hosts whose counts a host's view of the ledger is from, and the age of the view.
    pub fn view(&self, host: HostPlace) -> (u32, Duration) {
        let load = self.rig.hosts[host].core.load();
        let status = load.status(self.rig.now, 0).expect("the ledger is known");
        (status.reporters, status.age.unwrap_or(Duration::MAX))
    }

    /// The hosts that aggregate.
    pub fn aggregators(&self) -> Vec<HostPlace> {
        let hosts = self.rig.hosts.iter().enumerate();
        let aggregating = hosts.filter(|(_place, host)| host.core.load().is_aggregator());
        aggregating.map(|(place, _host)| place).collect()
    }
}
