//! Table of the other entry hosts: their addresses, which of them are alive, and which read the
//! store.
//!
//! There is no published list of hosts. A process starts with a few seed addresses, which may be
//! stale, and learns others from heartbeats. [`crate::peers::peer_rounds`] selects the targets of
//! heartbeats, and [`crate::state::state_source`] the peer from which to request state.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use arrayvec::ArrayVec;
use lagoonproxy::flow_hash::rendezvous_weight;
use lagoonproxy::ids::ZoneName;

use crate::peers::peer_heartbeat::FailureReport;
use crate::peers::peer_heartbeat::PeerHeartbeat;
use crate::peers::peer_heartbeat::UpstreamReport;
use crate::peers::peer_record::PeerRecord;
use crate::peers::peer_rounds::HEARTBEAT_INTERVAL;
use crate::peers::peer_rounds::RoundCursors;
use crate::peers::peer_rounds::local_timeout;
use crate::peers::peer_rounds::remote_timeout;
use crate::state::state_confirmation::ConfirmedSpan;
use crate::state::state_snapshot::StateQuery;
use crate::state::state_source::SourceRequests;
use crate::state::state_source::address_key;
use crate::state::store_position::StorePosition;

/// Maximum number of local peers in the table: twice the intended size of a zone.
const MAX_LOCAL_PEERS: usize = 1024;

/// Maximum number of remote peers in the table: the readers of 32 zones, and some more. It is low
/// enough that each has its round-robin turn before it expires.
const MAX_REMOTE_PEERS: usize = 48;

/// The peers that a host knows.
#[derive(Debug)]
pub struct PeerTable {
    pub(crate) own: SocketAddrV4,
    pub(crate) zone: ZoneName,
    pub(crate) seeds: Vec<SocketAddrV4>,
    pub(crate) peers: BTreeMap<SocketAddrV4, PeerRecord>,
    pub(crate) cursors: RoundCursors,
    pub(crate) source_requests: SourceRequests,
}

/// The outcome of handling a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatOutcome {
    /// Whether this is the sender's first heartbeat.
    pub is_new: bool,
    /// Peers to send a heartbeat at once: the sender, if it is new or seeks peers, and a reader of
    /// the own zone that the sender named and that this host does not know as one.
    pub hellos: ArrayVec<SocketAddrV4, 2>,
}

impl PeerTable {
    /// Creates a table without peers.
    pub fn new(own: SocketAddrV4, zone: ZoneName, seeds: Vec<SocketAddrV4>) -> Self {
        Self {
            own,
            zone,
            seeds,
            peers: BTreeMap::new(),
            cursors: RoundCursors::default(),
            source_requests: SourceRequests::default(),
        }
    }

    /// Replaces the seed addresses, which come from the settings.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
    }

    /// Merges a heartbeat and the addresses that it names.
    pub fn merge_heartbeat(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        heartbeat: PeerHeartbeat,
    ) -> HeartbeatOutcome {
        let mut outcome = HeartbeatOutcome::default();
        if from == self.own {
            return outcome;
        }
        for address in &heartbeat.named {
            self.add_named(now, *address, self.zone.clone());
        }
        for address in &heartbeat.others {
            self.add_named(now, *address, ZoneName::default());
        }
        let reader = heartbeat.reader;
        outcome.is_new = self
            .peers
            .get(&from)
            .is_none_or(|peer| peer.last_heartbeat_at.is_none());
        if outcome.is_new || heartbeat.seeks {
            outcome.hellos.push(from);
        }
        self.evict_for_reader(&heartbeat.zone, heartbeat.reads);
        if self.has_capacity_for(from, &heartbeat.zone) {
            let record = self
                .peers
                .entry(from)
                .or_insert_with(|| PeerRecord::named(now, ZoneName::default()));
            record.merge_heartbeat(now, heartbeat);
        }
        outcome
            .hellos
            .extend(reader.filter(|reader| self.needs_hello(now, *reader)));
        outcome
    }

    /// Merges a peer's failure reports, which arrive before its next heartbeat.
    pub fn handle_failure_reports(&mut self, from: SocketAddrV4, reports: &[FailureReport]) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.handle_failure_reports(reports);
        }
    }

    /// The zone of a peer; empty if unknown.
    pub fn zone_of(&self, peer: SocketAddrV4) -> ZoneName {
        let record = self.peers.get(&peer);
        record.map(|peer| peer.zone.clone()).unwrap_or_default()
    }

    /// Number of live hosts of the own zone that accept packets, including this one.
    pub fn local_hosts(&self, now: Instant) -> usize {
        let local = self.live_peers(now);
        1 + local
            .filter(|(_address, peer)| peer.ready && peer.zone == self.zone)
            .count()
    }

    /// Time in which every host of the own zone receives a heartbeat from every other one.
    pub(crate) fn discovery_time(&self) -> Duration {
        local_timeout(self.local_count())
    }

    /// Whether this host is the first of its zone by rendezvous hashing of `key`. Hosts without
    /// recent heartbeats count until they expire, so that a host that is cut off from its zone does
    /// not take over from them.
    pub(crate) fn is_first_for(&self, key: u32) -> bool {
        let ranking = |address: SocketAddrV4| {
            let weight = rendezvous_weight(u64::from(key), address_key(address));
            (weight, address)
        };
        let own = ranking(self.own);
        let mut peers = self.peers.iter();
        peers.all(|(address, peer)| peer.zone != self.zone || ranking(*address) < own)
    }

    /// The live hosts of the own zone, except this one.
    pub fn local_addresses(&self, now: Instant) -> Vec<SocketAddrV4> {
        let local = self.live_peers(now);
        local
            .filter(|(_address, peer)| peer.zone == self.zone)
            .map(|(address, _peer)| address)
            .collect()
    }

    /// The other live hosts of the own zone that accept packets, with their capacity in thousandths
    /// of a core.
    pub fn local_candidates(&self, now: Instant) -> impl Iterator<Item = (SocketAddrV4, u32)> {
        let local = self.live_peers(now);
        local
            .filter(|(_address, peer)| peer.ready && peer.zone == self.zone)
            .map(|(address, peer)| (address, peer.capacity))
    }

    /// The host with the largest capacity among `candidates` and this one; equals are ordered by
    /// rendezvous hashing of `key`.
    pub(crate) fn largest_of(
        &self,
        candidates: impl Iterator<Item = (SocketAddrV4, u32)>,
        own_capacity: u32,
        key: u64,
    ) -> SocketAddrV4 {
        let rank = |(address, capacity): &(SocketAddrV4, u32)| {
            let weight = rendezvous_weight(key, address_key(*address));
            (*capacity, weight, *address)
        };
        let largest = candidates
            .chain([(self.own, own_capacity)])
            .max_by_key(rank);
        largest.map_or(self.own, |(address, _capacity)| address)
    }

    /// The live hosts of each other zone that accept packets, by descending capacity; at most
    /// `max_per_zone` per zone.
    pub fn largest_remote(&self, now: Instant, max_per_zone: usize) -> Vec<SocketAddrV4> {
        let ready = self.live_peers(now).filter(|(_address, peer)| {
            peer.ready && peer.zone != self.zone && !peer.zone.is_empty()
        });
        let mut hosts: Vec<_> = ready
            .map(|(address, peer)| (&peer.zone, Reverse(peer.capacity), address))
            .collect();
        hosts.sort_unstable();
        let zones = hosts.chunk_by(|one, other| one.0 == other.0);
        zones
            .flat_map(|hosts| hosts.iter().take(max_per_zone))
            .map(|(_zone, _capacity, address)| *address)
            .collect()
    }

    /// The readers of a zone other than this host, with their capacity in thousandths of a core.
    pub fn readers<'a>(
        &'a self,
        now: Instant,
        zone: &'a ZoneName,
    ) -> impl Iterator<Item = (SocketAddrV4, u32)> + 'a {
        self.current_readers(now, zone)
            .map(|(address, peer)| (address, peer.capacity))
    }

    fn current_readers<'a>(
        &'a self,
        now: Instant,
        zone: &'a ZoneName,
    ) -> impl Iterator<Item = (SocketAddrV4, &'a PeerRecord)> + 'a {
        let peers = self.peers.iter();
        peers
            .filter(move |(_address, peer)| peer.zone == *zone && peer.is_current_reader(now))
            .map(|(address, peer)| (*address, peer))
    }

    /// A reader of a zone other than this host.
    pub fn reader(&self, now: Instant, zone: &ZoneName) -> Option<SocketAddrV4> {
        let mut readers = self.readers(now, zone);
        readers.next().map(|(address, _capacity)| address)
    }

    /// What the store has confirmed to the readers of the own zone whose state is contained in the
    /// state at `held`.
    pub(crate) fn reader_confirmations(
        &self,
        now: Instant,
        held: StorePosition,
    ) -> impl Iterator<Item = ConfirmedSpan> {
        self.current_readers(now, &self.zone)
            .filter(move |(_address, peer)| peer.through <= held)
            .filter_map(|(_address, peer)| peer.confirmed)
    }

    /// Whether any live peer has published state that this host lacks.
    pub fn has_newer_state(&self, now: Instant, held: &StateQuery) -> bool {
        let mut live = self.live_peers(now);
        live.any(|(_address, peer)| peer.is_ahead_of(held))
    }

    /// Number of live peers.
    pub fn live_hosts(&self, now: Instant) -> usize {
        self.live_peers(now).count()
    }

    /// The reports of the live hosts of the own zone, each with its time of arrival.
    pub fn local_reports(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (Instant, &[UpstreamReport])> {
        self.live_peers(now).filter_map(|(_address, peer)| {
            let reports_at = peer.reports_at?;
            (peer.zone == self.zone).then_some((reports_at, peer.reports.as_slice()))
        })
    }

    /// Peers whose last heartbeat is within [`local_timeout`] or [`remote_timeout`].
    pub(crate) fn live_peers(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (SocketAddrV4, &PeerRecord)> {
        let local = self.local_count();
        let local_timeout = local_timeout(local);
        let remote_timeout = remote_timeout(self.peers.len() - local);
        self.peers.iter().filter_map(move |(address, peer)| {
            let last_heartbeat_at = peer.last_heartbeat_at?;
            let is_local = peer.zone == self.zone;
            let timeout = if is_local {
                local_timeout
            } else {
                remote_timeout
            };
            (now.saturating_duration_since(last_heartbeat_at) < timeout).then_some((*address, peer))
        })
    }

    /// The addresses of the peers that match `predicate`, including those that were only named by
    /// others.
    pub(crate) fn addresses(&self, predicate: impl Fn(&PeerRecord) -> bool) -> Vec<SocketAddrV4> {
        let peers = self.peers.iter();
        peers
            .filter(|(_address, peer)| predicate(peer))
            .map(|(address, _peer)| *address)
            .collect()
    }

    fn local_count(&self) -> usize {
        let peers = self.peers.values();
        peers.filter(|peer| peer.zone == self.zone).count()
    }

    fn add_named(&mut self, now: Instant, address: SocketAddrV4, zone: ZoneName) {
        let is_new = address != self.own && !self.peers.contains_key(&address);
        if is_new && self.has_capacity_for(address, &zone) {
            self.peers.insert(address, PeerRecord::named(now, zone));
        }
    }

    fn has_capacity_for(&self, address: SocketAddrV4, zone: &ZoneName) -> bool {
        let local = self.local_count();
        let has_capacity = if *zone == self.zone {
            local < MAX_LOCAL_PEERS
        } else {
            self.peers.len() - local < MAX_REMOTE_PEERS
        };
        has_capacity || self.peers.contains_key(&address)
    }

    /// Evicts the remote peer that expires first if the table is full and the new peer is a remote
    /// reader.
    fn evict_for_reader(&mut self, zone: &ZoneName, reads: bool) {
        let is_full = self.peers.len() - self.local_count() >= MAX_REMOTE_PEERS;
        if *zone == self.zone || !reads || !is_full {
            return;
        }
        let others = self
            .peers
            .iter()
            .filter(|(_address, peer)| peer.zone != self.zone);
        let oldest = others.min_by_key(|(_address, peer)| peer.expires_at);
        if let Some(address) = oldest.map(|(address, _peer)| *address) {
            self.peers.remove(&address);
        }
    }

    /// Adds a reader of the own zone that a peer named. Returns whether to send it a hello: not if
    /// it is known as a reader, nor twice within a round.
    fn needs_hello(&mut self, now: Instant, reader: SocketAddrV4) -> bool {
        self.add_named(now, reader, self.zone.clone());
        let Some(peer) = self.peers.get_mut(&reader) else {
            return false;
        };
        let is_waiting = peer.next_hello_at.is_some_and(|after| now < after);
        if peer.is_current_reader(now) || is_waiting {
            return false;
        }
        peer.next_hello_at = Some(now + HEARTBEAT_INTERVAL);
        true
    }
}
