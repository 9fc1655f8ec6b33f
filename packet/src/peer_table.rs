//! The other entry hosts: who is alive, to whom to send the next beat, and whom to ask for state.
//!
//! Nobody publishes a list of hosts. A process knows a few addresses at its start, which may be
//! stale, and learns others from beats. It sends to a bounded number of peers in turn, so that the
//! cost of a host does not grow with their number.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::flow_hash::rendezvous_weight;
use lagoonproxy::ids::ZoneName;

use crate::ids::Revision;
use crate::peer_beat::FailureReport;
use crate::peer_beat::MOST_FAILURES;
use crate::peer_beat::MOST_NAMED;
use crate::peer_beat::MOST_REPORTS;
use crate::peer_beat::PeerBeat;
use crate::peer_beat::UpstreamReport;

/// Pause between rounds of beats.
pub const BEAT_PAUSE: Duration = Duration::from_millis(500);

/// Peers of the own zone that get a beat in a round; the others have their turn in the next.
const NEAR_A_ROUND: usize = 6;

/// The same for other zones, where each byte has its price.
const FAR_A_ROUND: usize = 2;

/// Hosts that are told of failures at once: a zone of the grown deployments, 22 hosts. In larger ones
/// the rest hear of it by beats, and from the next words.
const WORD_TARGETS: usize = 24;

/// How long a peer that reads the store may not be heard until another takes over: two beats lost,
/// for readers send one to each host of their zone in each round.
const READER_SILENCE: Duration = Duration::from_millis(1600);

/// Rounds without a beat after which a peer counts as gone, on top of those of a turn. Two may be
/// lost.
const MISSED_ROUNDS: u32 = 3;

/// How long a peer that was heard once is still sent beats: a host that is down for longer comes
/// back as a new process and speaks first.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// How long a host that reads the whole list waits for its end before it asks a peer for the state. 3,000
/// registrations take a fifth of a second; when a fleet starts, all would else read everything
/// twice, the second time from whoever was ready first.
const LIST_PATIENCE: Duration = Duration::from_millis(1000);

/// How long a peer may be ahead before a host that reads the store asks it for the difference. By then
/// it has read the same, also if it was just pausing between two reads.
const READER_PATIENCE: Duration = Duration::from_millis(700);

/// The same for a host that does not read: what its reader reads is with it some milliseconds later.
/// Hosts that ask for each change that others heard of first, mostly in other zones, pay each with a
/// connection across zones.
const FOLLOWER_PATIENCE: Duration = Duration::from_millis(300);

/// Pause between two questions for state.
const ASK_PAUSE: Duration = Duration::from_millis(400);

/// Most peers that are remembered: the hosts of a zone at the size aimed at, and some of others.
const MOST_PEERS: usize = 1024;

/// Where a host has its knowledge from at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadState {
    /// It knows nothing, and the store has not answered.
    Empty,
    /// It knows nothing yet, and the store is answering.
    Listing,
    /// It reads the store for its zone.
    Reading,
    /// Another host of its zone does.
    Following,
}

impl ReadState {
    /// How long a peer may be ahead before this host asks it for the difference.
    fn patience(self) -> Duration {
        match self {
            Self::Empty => Duration::ZERO,
            Self::Listing => LIST_PATIENCE,
            Self::Reading => READER_PATIENCE,
            Self::Following => FOLLOWER_PATIENCE,
        }
    }
}

/// Who gets which beat in a round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BeatRound {
    /// Hosts of the own zone whose turn it is.
    pub near: Vec<SocketAddrV4>,
    /// Hosts of other zones.
    pub far: Vec<SocketAddrV4>,
    /// The other hosts of the own zone, to which a host that reads the store shows that it does.
    pub led: Vec<SocketAddrV4>,
}

impl BeatRound {
    /// Whether it is between rounds, or there is nobody.
    pub fn is_empty(&self) -> bool {
        self.near.is_empty() && self.far.is_empty() && self.led.is_empty()
    }
}

/// One other host.
#[derive(Clone, Debug)]
struct PeerRecord {
    zone: ZoneName,
    ready: bool,
    reads: bool,
    capacity: u32,
    through: Revision,
    /// When its last beat came; `None` if it was only named by others.
    heard: Option<Instant>,
    reports: Vec<UpstreamReport>,
    /// When the reports came.
    reported: Option<Instant>,
    /// When a peer that was only named is forgotten.
    forget_at: Instant,
}

/// The peers that a host knows.
#[derive(Debug)]
pub struct PeerTable {
    own: SocketAddrV4,
    zone: ZoneName,
    seeds: Vec<SocketAddrV4>,
    peers: BTreeMap<SocketAddrV4, PeerRecord>,
    next_round: Option<Instant>,
    /// The last address of the zone that had its turn, and the last of other zones.
    near_turn: Option<SocketAddrV4>,
    far_turn: Option<SocketAddrV4>,
    named_turn: Option<SocketAddrV4>,
    word_turn: Option<SocketAddrV4>,
    /// Since when some peer has been ahead of this host.
    behind_since: Option<Instant>,
    next_ask: Option<Instant>,
}

impl PeerTable {
    /// A host that has heard nobody yet.
    pub fn new(own: SocketAddrV4, zone: ZoneName, seeds: Vec<SocketAddrV4>) -> Self {
        Self {
            own,
            zone,
            seeds,
            peers: BTreeMap::new(),
            next_round: None,
            near_turn: None,
            far_turn: None,
            named_turn: None,
            word_turn: None,
            behind_since: None,
            next_ask: None,
        }
    }

    /// Replaces the addresses known from the settings.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
    }

    /// Takes a beat in; true if its sender was not known and should get one at once.
    pub fn heard(&mut self, now: Instant, from: SocketAddrV4, beat: PeerBeat) -> bool {
        if from == self.own {
            return false;
        }
        for named in beat.named {
            self.named(now, named);
        }
        let known = self.peers.get(&from);
        let is_new = known.is_none_or(|peer| peer.heard.is_none());
        if known.is_none() && self.peers.len() >= MOST_PEERS {
            return false;
        }
        let record = self.peers.entry(from).or_insert_with(|| named_peer(now));
        record.zone = beat.zone;
        record.ready = beat.ready;
        record.reads = beat.reads;
        record.capacity = beat.capacity;
        record.through = beat.through;
        record.heard = Some(now);
        record.forget_at = now + FORGET_AFTER;
        if let Some(reports) = beat.reports {
            record.reports = reports;
            record.reported = Some(now);
        }
        is_new
    }

    /// The peers that get a beat now; empty between rounds. A host that reads the store sends to all
    /// of its zone, and to the readers of others.
    pub fn round(&mut self, now: Instant, reads: bool) -> BeatRound {
        if self.next_round.is_some_and(|next| now < next) {
            return BeatRound::default();
        }
        self.next_round = Some(now + BEAT_PAUSE);
        self.peers.retain(|_address, peer| now < peer.forget_at);
        let near = self.addresses(|peer| peer.zone == self.zone);
        let far = self.addresses(|peer| peer.zone != self.zone);
        let mut round = BeatRound {
            near: take_turn(&near, &mut self.near_turn, NEAR_A_ROUND),
            far: take_turn(&far, &mut self.far_turn, FAR_A_ROUND),
            led: Vec::new(),
        };
        if reads {
            let others = near.into_iter();
            round.led = others.filter(|host| !round.near.contains(host)).collect();
            round
                .far
                .extend(self.addresses(|peer| peer.zone != self.zone && peer.reads));
        }
        if self.alive(now).next().is_none() {
            let own = self.own;
            let seeds = self.seeds.iter().copied();
            round.far.extend(seeds.filter(|seed| *seed != own));
        }
        round.far.sort_unstable();
        round.far.dedup();
        round.far.retain(|host| !round.near.contains(host));
        round
    }

    /// The hosts of the zone that are told of failures at once, others each time if there are many.
    pub fn word_targets(&mut self, now: Instant) -> Vec<SocketAddrV4> {
        let near = self.near_addresses(now);
        take_turn(&near, &mut self.word_turn, WORD_TARGETS)
    }

    /// Takes in how requests ended through a peer, ahead of its next beat.
    pub fn heard_failures(&mut self, from: SocketAddrV4, reports: &[FailureReport]) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        for report in reports {
            let room = peer.reports.len() < MOST_REPORTS + MOST_FAILURES;
            let known = peer.reports.iter_mut().find(|held| held.tag == report.tag);
            match known {
                Some(held) => held.answers = report.answers,
                None if room => {
                    peer.reports.push(UpstreamReport {
                        tag: report.tag,
                        flows: 0,
                        heard_ago: None,
                        answers: report.answers,
                    });
                }
                None => {}
            }
        }
    }

    /// Some peers to name in the next beat.
    pub fn some_alive(&mut self, now: Instant) -> Vec<SocketAddrV4> {
        let alive: Vec<SocketAddrV4> = self.alive(now).map(|(address, _peer)| address).collect();
        take_turn(&alive, &mut self.named_turn, MOST_NAMED)
    }

    /// Hosts of the own zone that take packets, this one included.
    pub fn near_hosts(&self, now: Instant) -> usize {
        let near = self.alive(now);
        1 + near
            .filter(|(_address, peer)| peer.ready && peer.zone == self.zone)
            .count()
    }

    /// Every living host of the own zone but this one.
    pub fn near_addresses(&self, now: Instant) -> Vec<SocketAddrV4> {
        let near = self.alive(now);
        near.filter(|(_address, peer)| peer.zone == self.zone)
            .map(|(address, _peer)| address)
            .collect()
    }

    /// The hosts of the own zone that may read the store, with the thousandths of a core they have.
    pub fn near_readers(&self, now: Instant) -> impl Iterator<Item = (SocketAddrV4, u32)> {
        let near = self.alive(now);
        near.filter(|(_address, peer)| peer.ready && peer.zone == self.zone)
            .map(|(address, peer)| (address, peer.capacity))
    }

    /// Whether the host with this IP number was heard to read the store.
    pub fn is_reading(&self, now: Instant, ip: Ipv4Addr) -> bool {
        let address = SocketAddrV4::new(ip, self.own.port());
        let peer = self.peers.get(&address);
        peer.is_some_and(|peer| peer.reads_now(now))
    }

    /// Whether any host of the zone was heard to read the store.
    pub fn has_reader(&self, now: Instant) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| peer.zone == self.zone && peer.reads_now(now))
    }

    /// Peers that are alive.
    pub fn alive_hosts(&self, now: Instant) -> usize {
        self.alive(now).count()
    }

    /// The reports of the living hosts of the own zone, with the time at which each came.
    pub fn near_reports(&self, now: Instant) -> impl Iterator<Item = (Instant, &[UpstreamReport])> {
        self.alive(now).filter_map(|(_address, peer)| {
            let reported = peer.reported?;
            (peer.zone == self.zone).then_some((reported, peer.reports.as_slice()))
        })
    }

    /// The peer to ask for what this host is missing; the one that knows most, of the own zone if
    /// there is a choice, and of equals another for each host, so that those that miss the same do not
    /// all ask one. How long it first waits to learn the same otherwise depends on `state`.
    pub fn source(
        &mut self,
        now: Instant,
        through: Revision,
        state: ReadState,
    ) -> Option<SocketAddrV4> {
        let own_key = address_key(self.own);
        let best = self
            .alive(now)
            .filter(|(_address, peer)| peer.through > through)
            .max_by_key(|(address, peer)| {
                let weight = rendezvous_weight(own_key, address_key(*address));
                (peer.through, peer.zone == self.zone, weight)
            })
            .map(|(address, _peer)| address);
        let Some(best) = best else {
            self.behind_since = None;
            return None;
        };
        let since = *self.behind_since.get_or_insert(now);
        let patient = now.saturating_duration_since(since) < state.patience();
        if patient || self.next_ask.is_some_and(|next| now < next) {
            return None;
        }
        self.next_ask = Some(now + ASK_PAUSE);
        Some(best)
    }

    fn named(&mut self, now: Instant, address: SocketAddrV4) {
        let room = self.peers.len() < MOST_PEERS;
        if address == self.own || !room || self.peers.contains_key(&address) {
            return;
        }
        self.peers.insert(address, named_peer(now));
    }

    fn addresses(&self, wanted: impl Fn(&PeerRecord) -> bool) -> Vec<SocketAddrV4> {
        let peers = self.peers.iter();
        peers
            .filter(|(_address, peer)| wanted(peer))
            .map(|(address, _peer)| *address)
            .collect()
    }

    /// Peers that were heard within the rounds that a turn takes and the missed ones allowed.
    fn alive(&self, now: Instant) -> impl Iterator<Item = (SocketAddrV4, &PeerRecord)> {
        let near = self
            .peers
            .values()
            .filter(|peer| peer.zone == self.zone)
            .count();
        let near_life = turn_time(near, NEAR_A_ROUND);
        let far_life = turn_time(self.peers.len() - near, FAR_A_ROUND);
        self.peers.iter().filter_map(move |(address, peer)| {
            let heard = peer.heard?;
            let is_near = peer.zone == self.zone;
            let life = if is_near { near_life } else { far_life };
            (now.saturating_duration_since(heard) < life).then_some((*address, peer))
        })
    }
}

impl PeerRecord {
    fn reads_now(&self, now: Instant) -> bool {
        let ago = self.heard.map(|heard| now.saturating_duration_since(heard));
        self.reads && ago.is_some_and(|ago| ago < READER_SILENCE)
    }
}

/// A peer of which only others spoke.
fn named_peer(now: Instant) -> PeerRecord {
    PeerRecord {
        zone: ZoneName::default(),
        ready: false,
        reads: false,
        capacity: 0,
        through: 0,
        heard: None,
        reports: Vec::new(),
        reported: None,
        forget_at: now + FORGET_AFTER,
    }
}

/// What rendezvous weights of hosts are made of.
fn address_key(address: SocketAddrV4) -> u64 {
    u64::from(u32::from(*address.ip()))
}

/// The time in which each of so many peers has had its turn, and the beats that may be missed.
fn turn_time(peers: usize, a_round: usize) -> Duration {
    let rounds = u32::try_from(peers / a_round + 1).unwrap_or(u32::MAX);
    BEAT_PAUSE.saturating_mul(rounds.saturating_add(MISSED_ROUNDS))
}

/// The next `count` addresses after the one that had the last turn, around the end.
fn take_turn(
    addresses: &[SocketAddrV4],
    turn: &mut Option<SocketAddrV4>,
    count: usize,
) -> Vec<SocketAddrV4> {
    let start = turn.map_or(0, |last| {
        addresses.partition_point(|address| *address <= last)
    });
    let taken: Vec<SocketAddrV4> = (0..addresses.len().min(count))
        .map(|step| addresses[(start + step) % addresses.len()])
        .collect();
    *turn = taken.last().copied();
    taken
}
