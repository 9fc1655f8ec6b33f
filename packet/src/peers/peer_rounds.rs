//! The targets of heartbeats, and the peers that they name.
//!
//! A round goes to a bounded number of peers in turn, so that its cost does not grow with the fleet. The
//! store watcher of a zone sends to the whole zone in each round. Peers that were only named by others get
//! a hello before their turn.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::ids::ZoneName;

use crate::peers::peer_heartbeat::MOST_NAMED;
use crate::peers::peer_heartbeat::MOST_OTHERS;
use crate::peers::peer_record::PeerRecord;
use crate::peers::peer_table::PeerTable;

/// Interval of heartbeat rounds.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The same while a host holds no state.
const SEEK_INTERVAL: Duration = Duration::from_millis(200);

/// Local peers that get a heartbeat in a round, in turn.
const LOCAL_A_ROUND: usize = 6;

/// The same while a host holds no state: each of its heartbeats is answered.
const SEEK_TURNS: usize = 2;

/// Remote peers that get a heartbeat in a round, in turn.
const REMOTE_A_ROUND: usize = 2;

/// Local peers that get a hello in a round, beside those whose turn it is.
const UNCONTACTED_A_ROUND: usize = 4;

/// Rounds without a heartbeat, on top of those of a turn, after which a peer counts as down.
const MISSED_ROUNDS: u32 = 3;

/// Most targets of a failure report; the rest of a larger zone learns of it by heartbeats and later reports.
const REPORT_TARGETS: usize = 24;

/// The targets of one round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatRound {
    /// Local peers.
    pub local: Vec<SocketAddrV4>,
    /// Remote peers by zone; under an empty name those whose zone is not known.
    pub remote: BTreeMap<ZoneName, Vec<SocketAddrV4>>,
    /// The rest of the own zone, if this host watches the store for it.
    pub led: Vec<SocketAddrV4>,
}

impl HeartbeatRound {
    /// Everybody who gets a heartbeat.
    pub fn targets(&self) -> impl Iterator<Item = SocketAddrV4> {
        let remote = self.remote.values().flatten();
        self.local.iter().chain(remote).chain(&self.led).copied()
    }
}

/// Whose turn it was last.
#[derive(Debug, Default)]
pub(crate) struct RoundTurns {
    next_round: Option<Instant>,
    local: Option<SocketAddrV4>,
    remote: Option<SocketAddrV4>,
    seed: Option<SocketAddrV4>,
    named: Option<SocketAddrV4>,
    others: Option<SocketAddrV4>,
    report: Option<SocketAddrV4>,
}

/// How long a peer of the own zone counts as alive after a heartbeat, if the zone has so many.
pub(crate) fn local_life(peers: usize) -> Duration {
    turn_time(peers, LOCAL_A_ROUND)
}

/// The same for peers of other zones.
pub(crate) fn remote_life(peers: usize) -> Duration {
    turn_time(peers, REMOTE_A_ROUND)
}

impl PeerTable {
    /// The peers that get a heartbeat now; `None` between rounds. A host that reads the store sends to all
    /// of its zone, and to the readers of others.
    pub fn round(
        &mut self,
        now: Instant,
        reads: bool,
        lacks_state: bool,
    ) -> Option<HeartbeatRound> {
        if self.turns.next_round.is_some_and(|next| now < next) {
            return None;
        }
        let pause = if lacks_state {
            SEEK_INTERVAL
        } else {
            HEARTBEAT_INTERVAL
        };
        self.turns.next_round = Some(now + pause);
        self.peers.retain(|_address, peer| now < peer.forget_at);
        let all_local = self.addresses(|peer| peer.zone == self.zone);
        let mut local = self.uncontacted(now, &all_local, UNCONTACTED_A_ROUND);
        let turns = if lacks_state {
            SEEK_TURNS
        } else {
            LOCAL_A_ROUND
        };
        local.extend(take_turn(&all_local, &mut self.turns.local, turns));
        sort_unique(&mut local);
        let led = if reads {
            let others = all_local.into_iter();
            others.filter(|host| !local.contains(host)).collect()
        } else {
            Vec::new()
        };
        let remote = self.remote_round(now, reads);
        Some(HeartbeatRound { local, remote, led })
    }

    /// The hosts of the zone that are told of failures at once, others each time if there are many.
    pub fn report_targets(&mut self, now: Instant) -> Vec<SocketAddrV4> {
        let local = self.local_addresses(now);
        take_turn(&local, &mut self.turns.report, REPORT_TARGETS)
    }

    /// Makes the next round due: this host has just come by its state, which others may look for.
    pub fn advance_round(&mut self) {
        self.turns.next_round = None;
    }

    /// Some living hosts of a zone to name in a heartbeat for another host there: such as hold a state, if any do.
    pub fn some_of(&mut self, now: Instant, zone: &ZoneName) -> Vec<SocketAddrV4> {
        let mut members = self.living(now, |peer| peer.zone == *zone && !peer.through.is_unread());
        if members.is_empty() {
            members = self.living(now, |peer| peer.zone == *zone);
        }
        take_turn(&members, &mut self.turns.named, MOST_NAMED)
    }

    /// Some living hosts of any zone but that, those that read first.
    pub fn some_others(&mut self, now: Instant, zone: &ZoneName) -> Vec<SocketAddrV4> {
        let reading = self.living(now, |peer| peer.zone != *zone && peer.reads_now(now));
        let mut others = take_turn(&reading, &mut self.turns.others, MOST_OTHERS);
        if others.is_empty() {
            let any = self.living(now, |peer| peer.zone != *zone);
            others = take_turn(&any, &mut self.turns.others, MOST_OTHERS);
        }
        others
    }

    /// Whether there is a seed host other than this one.
    pub fn has_seeds(&self) -> bool {
        self.seeds.iter().any(|seed| *seed != self.own)
    }

    fn remote_round(&mut self, now: Instant, reads: bool) -> BTreeMap<ZoneName, Vec<SocketAddrV4>> {
        let all_remote = self.addresses(|peer| peer.zone != self.zone);
        let mut remote = self.uncontacted(now, &all_remote, REMOTE_A_ROUND);
        let rest = REMOTE_A_ROUND - remote.len();
        remote.extend(take_turn(&all_remote, &mut self.turns.remote, rest));
        if reads {
            remote.extend(self.addresses(|peer| peer.zone != self.zone && peer.reads_now(now)));
        }
        remote.extend(self.seeds_due(now));
        sort_unique(&mut remote);
        let mut by_zone: BTreeMap<ZoneName, Vec<SocketAddrV4>> = BTreeMap::new();
        for address in remote {
            by_zone
                .entry(self.zone_of(address))
                .or_default()
                .push(address);
        }
        by_zone
    }

    /// Whether this host has heard nobody of its own zone of late.
    pub fn seeks(&self, now: Instant) -> bool {
        self.living(now, |peer| peer.zone == self.zone).is_empty()
    }

    /// The addresses of the settings: all of them in the first round; one in each further round while
    /// nobody of the own zone is heard, or nobody of others. Hosts that were parted for longer than peers are remembered find
    /// each other by them again.
    fn seeds_due(&mut self, now: Instant) -> Vec<SocketAddrV4> {
        let own = self.own;
        let mut seeds = self.seeds.clone();
        seeds.retain(|seed| *seed != own);
        seeds.sort_unstable();
        let local = self.living(now, |peer| peer.zone == self.zone).len();
        let remote = self.living(now, |peer| peer.zone != self.zone).len();
        let first = self.turns.seed.is_none();
        let count = match (local, remote) {
            (0, 0) if first => seeds.len(),
            (0, _) | (_, 0) => 1,
            _ => 0,
        };
        take_turn(&seeds, &mut self.turns.seed, count)
    }

    /// Some hosts to which nobody has spoken yet, from now on no uncontacted.
    fn uncontacted(
        &mut self,
        now: Instant,
        among: &[SocketAddrV4],
        count: usize,
    ) -> Vec<SocketAddrV4> {
        let is_uncontacted = |address: &&SocketAddrV4| {
            let peer = self.peers.get(address);
            peer.is_some_and(PeerRecord::is_uncontacted)
        };
        let uncontacted: Vec<SocketAddrV4> = among
            .iter()
            .filter(is_uncontacted)
            .take(count)
            .copied()
            .collect();
        for peer in &uncontacted {
            if let Some(record) = self.peers.get_mut(peer) {
                record.hello_after = Some(now + HEARTBEAT_INTERVAL);
            }
        }
        uncontacted
    }

    fn living(&self, now: Instant, wanted: impl Fn(&PeerRecord) -> bool) -> Vec<SocketAddrV4> {
        self.alive(now)
            .filter(|(_address, peer)| wanted(peer))
            .map(|(address, _peer)| address)
            .collect()
    }
}

/// The time in which each of so many peers has had its turn, and the heartbeats that may be missed.
fn turn_time(peers: usize, a_round: usize) -> Duration {
    let rounds = u32::try_from(peers / a_round + 1).unwrap_or(u32::MAX);
    HEARTBEAT_INTERVAL.saturating_mul(rounds.saturating_add(MISSED_ROUNDS))
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
    *turn = taken.last().copied().or(*turn);
    taken
}

fn sort_unique(addresses: &mut Vec<SocketAddrV4>) {
    addresses.sort_unstable();
    addresses.dedup();
}
