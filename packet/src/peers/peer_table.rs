//! The other entry hosts: who they are, who of them is alive, and who reads the store.
//!
//! Nobody publishes a list of hosts. A process knows a few addresses at its start, which may be
//! stale, and learns others from heartbeats. Whom it sends heartbeats to stands in [`crate::peers::peer_rounds`], whom it
//! asks for state in [`crate::state::state_source`].

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
use crate::peers::peer_rounds::RoundTurns;
use crate::peers::peer_rounds::local_life;
use crate::peers::peer_rounds::remote_life;
use crate::state::state_source::SourceWait;
use crate::state::state_source::address_key;

/// Most peers of the own zone that are remembered: a zone at the size aimed at, twice.
const MAX_LOCAL: usize = 1024;

/// Most peers of other zones that are remembered, so that each has its turn before it is forgotten:
/// the readers of 32 zones, and some more.
const MAX_REMOTE: usize = 48;

/// The peers that a host knows.
#[derive(Debug)]
pub struct PeerTable {
    pub(crate) own: SocketAddrV4,
    pub(crate) zone: ZoneName,
    pub(crate) seeds: Vec<SocketAddrV4>,
    pub(crate) peers: BTreeMap<SocketAddrV4, PeerRecord>,
    pub(crate) turns: RoundTurns,
    pub(crate) wait: SourceWait,
}

/// What a heartbeat calls for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatOutcome {
    /// The sender was not heard before.
    pub is_new: bool,
    /// Peers that get a heartbeat at once: a sender that is new or seeks peers, and a store watcher of the
    /// own zone that others hear and this host does not.
    pub hellos: ArrayVec<SocketAddrV4, 2>,
}

impl PeerTable {
    /// A host that has heard nobody yet.
    pub fn new(own: SocketAddrV4, zone: ZoneName, seeds: Vec<SocketAddrV4>) -> Self {
        Self {
            own,
            zone,
            seeds,
            peers: BTreeMap::new(),
            turns: RoundTurns::default(),
            wait: SourceWait::default(),
        }
    }

    /// Replaces the addresses known from the settings.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
    }

    /// Takes a heartbeat in.
    pub fn heard(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        heartbeat: PeerHeartbeat,
    ) -> HeartbeatOutcome {
        let mut heard = HeartbeatOutcome::default();
        if from == self.own {
            return heard;
        }
        for named in &heartbeat.named {
            self.named(now, *named, self.zone.clone());
        }
        for other in &heartbeat.others {
            self.named(now, *other, ZoneName::default());
        }
        let reader = heartbeat.reader;
        heard.is_new = self
            .peers
            .get(&from)
            .is_none_or(|peer| peer.heard.is_none());
        if heard.is_new || heartbeat.seeks {
            heard.hellos.push(from);
        }
        self.make_room(&heartbeat.zone, heartbeat.reads);
        if self.has_room(from, &heartbeat.zone) {
            let record = self
                .peers
                .entry(from)
                .or_insert_with(|| PeerRecord::named(now, ZoneName::default()));
            record.hear(now, heartbeat);
        }
        heard
            .hellos
            .extend(reader.filter(|reader| self.needs_hello(now, *reader)));
        heard
    }

    /// Merges a peer's failure reports, ahead of its next heartbeat.
    pub fn heard_failures(&mut self, from: SocketAddrV4, reports: &[FailureReport]) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.hear_failures(reports);
        }
    }

    /// The zone of a peer; empty if it is not known.
    pub fn zone_of(&self, peer: SocketAddrV4) -> ZoneName {
        let record = self.peers.get(&peer);
        record.map(|peer| peer.zone.clone()).unwrap_or_default()
    }

    /// Hosts of the own zone that take packets, this one included.
    pub fn local_hosts(&self, now: Instant) -> usize {
        let local = self.alive(now);
        1 + local
            .filter(|(_address, peer)| peer.ready && peer.zone == self.zone)
            .count()
    }

    /// How long it takes until every host of the own zone has been sent a heartbeat by every other.
    pub(crate) fn discovery_time(&self) -> Duration {
        local_life(self.local_count())
    }

    /// Whether this host is the first of its zone by rendezvous hashing of `key`. Hosts that were not
    /// heard of late count until they are forgotten, so that a host that is cut off takes nothing over.
    pub(crate) fn is_first_for(&self, key: u32) -> bool {
        let weight = |address: SocketAddrV4| {
            let weight = rendezvous_weight(u64::from(key), address_key(address));
            (weight, address)
        };
        let own = weight(self.own);
        let mut peers = self.peers.iter();
        peers.all(|(address, peer)| peer.zone != self.zone || weight(*address) < own)
    }

    /// Every living host of the own zone but this one.
    pub fn local_addresses(&self, now: Instant) -> Vec<SocketAddrV4> {
        let local = self.alive(now);
        local
            .filter(|(_address, peer)| peer.zone == self.zone)
            .map(|(address, _peer)| address)
            .collect()
    }

    /// The other hosts of the own zone that could read the store, with the thousandths of a core that they
    /// have.
    pub fn local_candidates(&self, now: Instant) -> impl Iterator<Item = (SocketAddrV4, u32)> {
        let local = self.alive(now);
        local
            .filter(|(_address, peer)| peer.ready && peer.zone == self.zone)
            .map(|(address, peer)| (address, peer.capacity))
    }

    /// The host with the most capacity among candidates and this one; of equals the first by rendezvous hashing of
    /// `key`.
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
        let best = candidates
            .chain([(self.own, own_capacity)])
            .max_by_key(rank);
        best.map_or(self.own, |(address, _capacity)| address)
    }

    /// The ready hosts with the most capacity of each other zone, at most so many of each.
    pub fn largest_remote(&self, now: Instant, most: usize) -> Vec<SocketAddrV4> {
        let ready = self.alive(now).filter(|(_address, peer)| {
            peer.ready && peer.zone != self.zone && !peer.zone.is_empty()
        });
        let mut hosts: Vec<_> = ready
            .map(|(address, peer)| (&peer.zone, Reverse(peer.capacity), address))
            .collect();
        hosts.sort_unstable();
        let zones = hosts.chunk_by(|one, other| one.0 == other.0);
        zones
            .flat_map(|hosts| hosts.iter().take(most))
            .map(|(_zone, _capacity, address)| *address)
            .collect()
    }

    /// The other hosts of a zone that were heard to read the store, with the thousandths of a core that
    /// they have.
    pub fn readers<'a>(
        &'a self,
        now: Instant,
        zone: &'a ZoneName,
    ) -> impl Iterator<Item = (SocketAddrV4, u32)> + 'a {
        let reading = move |peer: &&PeerRecord| peer.zone == *zone && peer.reads_now(now);
        let peers = self.peers.iter();
        peers
            .filter(move |(_address, peer)| reading(peer))
            .map(|(address, peer)| (*address, peer.capacity))
    }

    /// One other host of a zone that was heard to read the store.
    pub fn reader(&self, now: Instant, zone: &ZoneName) -> Option<SocketAddrV4> {
        let mut readers = self.readers(now, zone);
        readers.next().map(|(address, _capacity)| address)
    }

    /// Whether any other host of the own zone was heard to read the store.
    pub fn has_reader(&self, now: Instant) -> bool {
        self.reader(now, &self.zone).is_some()
    }

    /// Peers that are alive.
    pub fn alive_hosts(&self, now: Instant) -> usize {
        self.alive(now).count()
    }

    /// The reports of the living hosts of the own zone, with the time at which each came.
    pub fn local_reports(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (Instant, &[UpstreamReport])> {
        self.alive(now).filter_map(|(_address, peer)| {
            let reported = peer.reported?;
            (peer.zone == self.zone).then_some((reported, peer.reports.as_slice()))
        })
    }

    /// Peers that were heard within the rounds that a turn takes and the missed ones allowed.
    pub(crate) fn alive(&self, now: Instant) -> impl Iterator<Item = (SocketAddrV4, &PeerRecord)> {
        let local = self.local_count();
        let local_life = local_life(local);
        let remote_life = remote_life(self.peers.len() - local);
        self.peers.iter().filter_map(move |(address, peer)| {
            let heard = peer.heard?;
            let is_local = peer.zone == self.zone;
            let life = if is_local { local_life } else { remote_life };
            (now.saturating_duration_since(heard) < life).then_some((*address, peer))
        })
    }

    /// The addresses of peers, also of such as are only named.
    pub(crate) fn addresses(&self, wanted: impl Fn(&PeerRecord) -> bool) -> Vec<SocketAddrV4> {
        let peers = self.peers.iter();
        peers
            .filter(|(_address, peer)| wanted(peer))
            .map(|(address, _peer)| *address)
            .collect()
    }

    fn local_count(&self) -> usize {
        let peers = self.peers.values();
        peers.filter(|peer| peer.zone == self.zone).count()
    }

    fn named(&mut self, now: Instant, address: SocketAddrV4, zone: ZoneName) {
        let is_new = address != self.own && !self.peers.contains_key(&address);
        if is_new && self.has_room(address, &zone) {
            self.peers.insert(address, PeerRecord::named(now, zone));
        }
    }

    fn has_room(&self, address: SocketAddrV4, zone: &ZoneName) -> bool {
        let local = self.local_count();
        let room = if *zone == self.zone {
            local < MAX_LOCAL
        } else {
            self.peers.len() - local < MAX_REMOTE
        };
        room || self.peers.contains_key(&address)
    }

    /// Evicts a remote peer in favour of a remote watcher if there is no room for both.
    fn make_room(&mut self, zone: &ZoneName, reads: bool) {
        let full = self.peers.len() - self.local_count() >= MAX_REMOTE;
        if *zone == self.zone || !reads || !full {
            return;
        }
        let others = self
            .peers
            .iter()
            .filter(|(_address, peer)| peer.zone != self.zone);
        let oldest = others.min_by_key(|(_address, peer)| peer.forget_at);
        if let Some(address) = oldest.map(|(address, _peer)| *address) {
            self.peers.remove(&address);
        }
    }

    /// Whether a store watcher of the own zone, named by others, gets a hello: not if it is heard, nor
    /// twice within a round.
    fn needs_hello(&mut self, now: Instant, reader: SocketAddrV4) -> bool {
        self.named(now, reader, self.zone.clone());
        let Some(peer) = self.peers.get_mut(&reader) else {
            return false;
        };
        let waits = peer.hello_after.is_some_and(|after| now < after);
        if peer.reads_now(now) || waits {
            return false;
        }
        peer.hello_after = Some(now + HEARTBEAT_INTERVAL);
        true
    }
}
