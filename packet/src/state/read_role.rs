//! Decides whether this host is the reader of its zone: the host that watches the store.
//!
//! Every host that watches the store adds load to it with each change and with each watch that
//! ends. So one host per zone reads the store and forwards the changes. There is no election
//! protocol and no stored state; hosts decide from each other's heartbeats:
//!
//! - A reader that receives the heartbeat of a better reader steps down. Several simultaneous
//!   readers therefore shrink to one as soon as they receive each other's heartbeats, however
//!   little of the zone each of them knows.
//! - A host that knows no reader waits longer for each better host that it knows. A lost reader is
//!   therefore replaced by one host instead of all of them.

use std::cmp::Reverse;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::flow_hash::rendezvous_weight;
use lagoonproxy::ids::ZoneName;
use xxhash_rust::xxh3::xxh3_64;

use crate::peers::peer_table::PeerTable;

/// Additional delay before a host becomes the reader, for each [`HOSTS_PER_STEP`] better hosts that
/// it knows.
const RANK_DELAY: Duration = Duration::from_millis(300);

/// Number of hosts that replace a lost reader at the same time. The store may respond to only one of
/// them; if it responds to both, the better one goes on.
const HOSTS_PER_STEP: u32 = 2;

/// Time after its start in which a host does not become the reader. Its state is as recent as its
/// start, and it needs this time to receive heartbeats from its zone.
const DISCOVERY_WAIT: Duration = Duration::from_millis(1200);

/// Upper bound of the jitter added to [`DISCOVERY_WAIT`], derived from each host's rendezvous
/// weight. Its distribution makes the share of hosts that have started to read grow e-fold with
/// each fifth of this time. Of any number of hosts that start together and know no peer, a few
/// become readers first, and the others receive their heartbeats in time.
const MAX_START_JITTER: Duration = Duration::from_secs(1);

/// Exponent of the growth in shares over [`MAX_START_JITTER`].
const JITTER_GROWTH: f64 = 5.0;

/// Maximum number of better hosts that a host may know and still replace a lost reader. Without
/// this limit, all hosts would read a store that is available again after an hour.
const MAX_BETTER_HOSTS: u32 = 8;

/// Time for which a host tolerates a reader with less CPU capacity before it takes over. It is long
/// enough to receive heartbeats from most of the zone, and a reader that comes and goes does not
/// cause repeated takeovers.
const TAKEOVER_DELAY: Duration = Duration::from_secs(3);

/// Time after a failed store call in which a host does not take over from a working reader.
const TAKEOVER_BACKOFF: Duration = Duration::from_secs(10);

/// Order of hosts as readers, best first: by CPU capacity, then by rendezvous weight.
type ReaderRank = (Reverse<u32>, Reverse<u64>);

/// A change of this host's role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleChange {
    /// It became the reader because its zone had none.
    Replaces,
    /// It became the reader in place of a host with less CPU capacity.
    TakesOver,
    /// It stopped reading because a better host reads.
    StepsDown,
    /// It stopped reading because the store does not respond to it and another host reads.
    TurnedAway,
}

/// Decides whether this host reads the store for its zone.
#[derive(Debug)]
pub struct ReadRole {
    zone: ZoneName,
    zone_key: u64,
    own_rank: ReaderRank,
    reads: bool,
    /// Time since which no other host of the zone reads; `None` while one does.
    no_reader_since: Option<Instant>,
    /// Earliest time to replace a reader, before the delay for better hosts: the start of the host
    /// plus [`DISCOVERY_WAIT`] and jitter. `None` before the start.
    not_before: Option<Instant>,
    /// Time since which the reader has less CPU capacity than this host, the best one known.
    outranks_reader_since: Option<Instant>,
    /// End of the time in which this host does not take over, after a failed store call.
    no_takeover_until: Option<Instant>,
}

impl ReadRole {
    /// The role of the host at `own_address`; `capacity` is in thousandths of a core.
    pub fn new(own_address: SocketAddrV4, zone: &ZoneName, capacity: u32) -> Self {
        let zone_key = xxh3_64(zone.as_bytes());
        Self {
            zone: zone.clone(),
            zone_key,
            own_rank: rank(zone_key, own_address, capacity),
            reads: false,
            no_reader_since: None,
            not_before: None,
            outranks_reader_since: None,
            no_takeover_until: None,
        }
    }

    /// Whether this host reads the store.
    pub fn reads(&self) -> bool {
        self.reads
    }

    /// Records the start of the host; only the first call has an effect.
    pub fn record_start(&mut self, now: Instant) {
        let (_capacity, Reverse(weight)) = self.own_rank;
        self.not_before
            .get_or_insert_with(|| now + DISCOVERY_WAIT + start_jitter(weight));
    }

    /// Records that the store did not respond to this host.
    pub fn store_lost(&mut self, now: Instant) {
        self.no_takeover_until = Some(now + TAKEOVER_BACKOFF);
    }

    /// Updates the role and returns the change, if any. `store_reachable` is whether the store
    /// responded to this host's last call.
    pub fn decide(
        &mut self,
        now: Instant,
        peers: &PeerTable,
        store_reachable: bool,
    ) -> Option<RoleChange> {
        self.record_start(now);
        let readers = peers.readers(now, &self.zone);
        let best_reader = readers
            .map(|(address, capacity)| rank(self.zone_key, address, capacity))
            .min();
        let change = match best_reader {
            Some(best_reader) => self.decide_with_reader(now, peers, best_reader, store_reachable),
            None => self.decide_without_reader(now, peers),
        };
        if let Some(change) = change {
            self.reads = matches!(change, RoleChange::Replaces | RoleChange::TakesOver);
        }
        change
    }

    /// Decides while another host of the zone reads; `best_reader` is the rank of the best one.
    fn decide_with_reader(
        &mut self,
        now: Instant,
        peers: &PeerTable,
        best_reader: ReaderRank,
        store_reachable: bool,
    ) -> Option<RoleChange> {
        self.no_reader_since = None;
        if self.reads {
            self.outranks_reader_since = None;
            return match (store_reachable, best_reader < self.own_rank) {
                (false, _) => Some(RoleChange::TurnedAway),
                (true, true) => Some(RoleChange::StepsDown),
                (true, false) => None,
            };
        }
        let (Reverse(reader_capacity), _weight) = best_reader;
        let (Reverse(own_capacity), _weight) = self.own_rank;
        let takeover_blocked = self.no_takeover_until.is_some_and(|until| now < until);
        if reader_capacity >= own_capacity
            || takeover_blocked
            || self.count_better_hosts(now, peers) > 0
        {
            self.outranks_reader_since = None;
            return None;
        }
        let since = *self.outranks_reader_since.get_or_insert(now);
        let is_due = now >= since + TAKEOVER_DELAY;
        is_due.then_some(RoleChange::TakesOver)
    }

    /// Decides while no other host of the zone reads.
    fn decide_without_reader(&mut self, now: Instant, peers: &PeerTable) -> Option<RoleChange> {
        self.outranks_reader_since = None;
        let no_reader_since = *self.no_reader_since.get_or_insert(now);
        if self.reads {
            return None;
        }
        let since = self
            .not_before
            .map_or(no_reader_since, |start| start.max(no_reader_since));
        let better = self.count_better_hosts(now, peers);
        let steps = better.min(MAX_BETTER_HOSTS).div_ceil(HOSTS_PER_STEP);
        let is_waiting = now < since + RANK_DELAY * steps;
        (!is_waiting && better <= MAX_BETTER_HOSTS).then_some(RoleChange::Replaces)
    }

    /// The number of known hosts of the zone that rank better than this one.
    fn count_better_hosts(&self, now: Instant, peers: &PeerTable) -> u32 {
        let candidates = peers.local_candidates(now);
        let ranks = candidates.map(|(address, capacity)| rank(self.zone_key, address, capacity));
        let better = ranks.filter(|rank| *rank < self.own_rank).count();
        u32::try_from(better).unwrap_or(u32::MAX)
    }
}

fn rank(zone_key: u64, address: SocketAddrV4, capacity: u32) -> ReaderRank {
    let host = u64::from(u32::from(*address.ip()));
    (
        Reverse(capacity),
        Reverse(rendezvous_weight(zone_key, host)),
    )
}

/// The jitter at the start of the host with this rendezvous weight; see [`MAX_START_JITTER`].
fn start_jitter(weight: u64) -> Duration {
    let uniform = 1.0 - weight as f64 / u64::MAX as f64;
    let share = (uniform * JITTER_GROWTH.exp_m1()).ln_1p() / JITTER_GROWTH;
    MAX_START_JITTER.mul_f64(share.clamp(0.0, 1.0))
}
