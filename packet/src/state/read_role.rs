//! Whether this host reads the store for its zone.
//!
//! Load pattern: every host that watches the store pays for each change and each watch that ends. One host
//! a zone reads and hands changes on: no election, no state, only what hosts hear of each other. A
//! host that hears a better one read leaves it to that one, so that of any number that read at once, and
//! however much of the zone each of them has heard, one is left as soon as they hear each other. A host
//! that hears nobody read waits a little longer for each better host that it knows, so that a reader
//! that is lost is replaced by one and not by all.

use std::cmp::Reverse;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::flow_hash::rendezvous_weight;
use lagoonproxy::ids::ZoneName;
use xxhash_rust::xxh3::xxh3_64;

use crate::peers::peer_table::PeerTable;

/// How much longer each further host in rank waits before it reads.
const STAGGER: Duration = Duration::from_millis(300);

/// How long after its start a host that has heard no reader leaves the reading to others. What it knows
/// is as new as its start, and by then it has heard some of its zone.
const HEARING: Duration = Duration::from_millis(1200);

/// Longest further wait at the start, drawn for each host so that few of any number of hosts that know
/// nobody yet begin first, and the others hear of them: the shares of hosts that have begun grow
/// e-fold with each fifth of it.
const START_SPREAD: Duration = Duration::from_secs(1);

/// See [`START_SPREAD`].
const SPREAD_GROWTH: f64 = 5.0;

/// Better hosts that a host may know and still replace a reader. Without the bound a store that comes
/// back after an hour meets the whole fleet.
const MOST_BETTER: u32 = 8;

/// How long a host leaves the reading to one with less processor time before it takes over: until it has heard
/// most of the zone, and never twice for one that comes and goes.
const TAKEOVER_WAIT: Duration = Duration::from_secs(3);

/// How long a host that the store did not answer does not take over from one that it answers.
const STORE_MISTRUST: Duration = Duration::from_secs(10);

/// The order of hosts as readers, the best first: by processor time, and of equals by rendezvous weight.
type ReaderRank = (Reverse<u32>, Reverse<u64>);

/// What a host decided about its reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleChange {
    /// It reads, for nobody of its zone does.
    Replaces,
    /// It reads in place of one with less processor time.
    TakesOver,
    /// It leaves the reading to a better host.
    StepsDown,
    /// It leaves the reading to another, for the store does not answer it.
    TurnedAway,
}

/// Whether this host reads the store for its zone.
#[derive(Debug)]
pub struct ReadRole {
    zone: ZoneName,
    zone_key: u64,
    own: ReaderRank,
    reads: bool,
    /// Since when no host of the zone was heard to read; `None` while one is.
    unled_since: Option<Instant>,
    /// When a host that is not led may read, on top of its rank; its start and some time at first.
    not_before: Option<Instant>,
    /// Since when a host with less processor time has been reading.
    outranked_since: Option<Instant>,
    /// Until when the store is taken to turn this host away.
    mistrust_until: Option<Instant>,
}

impl ReadRole {
    /// The role of the host at `own`, with so many thousandths of a core.
    pub fn new(own: SocketAddrV4, zone: &ZoneName, capacity: u32) -> Self {
        let zone_key = xxh3_64(zone.as_bytes());
        Self {
            zone: zone.clone(),
            zone_key,
            own: rank(zone_key, own, capacity),
            reads: false,
            unled_since: None,
            not_before: None,
            outranked_since: None,
            mistrust_until: None,
        }
    }

    /// Whether it reads.
    pub fn reads(&self) -> bool {
        self.reads
    }

    /// Records the start of the host, if it is the first time.
    pub fn begin(&mut self, now: Instant) {
        let (_capacity, Reverse(weight)) = self.own;
        self.not_before
            .get_or_insert_with(|| now + HEARING + start_wait(weight));
    }

    /// Records that the store did not respond to this host.
    pub fn store_lost(&mut self, now: Instant) {
        self.mistrust_until = Some(now + STORE_MISTRUST);
    }

    /// Decides anew; what changed, if anything did. `in_touch` says whether the store answered this host
    /// last.
    pub fn decide(
        &mut self,
        now: Instant,
        peers: &PeerTable,
        in_touch: bool,
    ) -> Option<RoleChange> {
        self.begin(now);
        let readers = peers.readers(now, &self.zone);
        let rival = readers
            .map(|(address, capacity)| rank(self.zone_key, address, capacity))
            .min();
        let change = match rival {
            Some(rival) => self.decide_led(now, peers, rival, in_touch),
            None => self.decide_unled(now, peers),
        };
        if let Some(change) = change {
            self.reads = matches!(change, RoleChange::Replaces | RoleChange::TakesOver);
        }
        change
    }

    /// Decides while another host of the zone is heard to read.
    fn decide_led(
        &mut self,
        now: Instant,
        peers: &PeerTable,
        rival: ReaderRank,
        in_touch: bool,
    ) -> Option<RoleChange> {
        self.unled_since = None;
        if self.reads {
            self.outranked_since = None;
            return match (in_touch, rival < self.own) {
                (false, _) => Some(RoleChange::TurnedAway),
                (true, true) => Some(RoleChange::StepsDown),
                (true, false) => None,
            };
        }
        let (Reverse(rival_capacity), _weight) = rival;
        let (Reverse(own_capacity), _weight) = self.own;
        let mistrusts = self.mistrust_until.is_some_and(|until| now < until);
        if rival_capacity >= own_capacity || mistrusts || self.better_hosts(now, peers) > 0 {
            self.outranked_since = None;
            return None;
        }
        let since = *self.outranked_since.get_or_insert(now);
        let settled = now >= since + TAKEOVER_WAIT;
        settled.then_some(RoleChange::TakesOver)
    }

    /// Decides while nobody else of the zone is heard to read.
    fn decide_unled(&mut self, now: Instant, peers: &PeerTable) -> Option<RoleChange> {
        self.outranked_since = None;
        let unled = *self.unled_since.get_or_insert(now);
        if self.reads {
            return None;
        }
        let since = self.not_before.map_or(unled, |start| start.max(unled));
        let better = self.better_hosts(now, peers);
        let waits = now < since + STAGGER * better.min(MOST_BETTER);
        (!waits && better <= MOST_BETTER).then_some(RoleChange::Replaces)
    }

    /// Hosts of the zone that are known and better readers than this one.
    fn better_hosts(&self, now: Instant, peers: &PeerTable) -> u32 {
        let candidates = peers.local_candidates(now);
        let ranks = candidates.map(|(address, capacity)| rank(self.zone_key, address, capacity));
        let better = ranks.filter(|rank| *rank < self.own).count();
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

/// The wait of a host at the start, from its weight.
fn start_wait(weight: u64) -> Duration {
    let drawn = 1.0 - weight as f64 / u64::MAX as f64;
    let share = (drawn * SPREAD_GROWTH.exp_m1()).ln_1p() / SPREAD_GROWTH;
    START_SPREAD.mul_f64(share.clamp(0.0, 1.0))
}
