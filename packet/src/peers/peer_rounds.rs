//! Selects the targets of heartbeats and the peers that heartbeats name.
//!
//! Each round goes to a bounded number of peers, round-robin, so that its cost does not grow with
//! the fleet. The reader of a zone sends to the whole zone in every round. A peer that was only
//! named by others gets its first heartbeat, a hello, out of turn.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::ids::ZoneName;

use crate::peers::peer_heartbeat::MAX_NAMED_LOCAL;
use crate::peers::peer_heartbeat::MAX_NAMED_REMOTE;
use crate::peers::peer_record::PeerRecord;
use crate::peers::peer_table::PeerTable;

/// Interval between heartbeat rounds.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between heartbeat rounds while a host has no state.
const STATELESS_INTERVAL: Duration = Duration::from_millis(200);

/// Number of local peers that get a heartbeat in a round, round-robin.
const LOCAL_TARGETS: usize = 6;

/// Number of local targets of a round while a host has no state; it is smaller because each of
/// these heartbeats gets a reply.
const STATELESS_LOCAL_TARGETS: usize = 2;

/// Number of remote peers that get a heartbeat in a round, round-robin.
const REMOTE_TARGETS: usize = 2;

/// Maximum number of local peers that get a hello in a round, in addition to the round-robin
/// targets.
const MAX_UNCONTACTED_TARGETS: usize = 4;

/// Number of rounds without a heartbeat, beyond those of a full turn, after which a peer counts as
/// down.
const MISSED_ROUNDS: u32 = 3;

/// Maximum number of targets of a failure report. Other hosts of a larger zone get the information
/// from heartbeats and later reports.
const MAX_REPORT_TARGETS: usize = 24;

/// The targets of one round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatRound {
    /// Local peers.
    pub local: Vec<SocketAddrV4>,
    /// Remote peers by zone; those of unknown zone are under the empty name.
    pub remote: BTreeMap<ZoneName, Vec<SocketAddrV4>>,
    /// The other peers of the own zone if this host is its reader; otherwise empty.
    pub remaining_local: Vec<SocketAddrV4>,
}

impl HeartbeatRound {
    /// All targets of the round.
    pub fn targets(&self) -> impl Iterator<Item = SocketAddrV4> {
        let remote = self.remote.values().flatten();
        self.local
            .iter()
            .chain(remote)
            .chain(&self.remaining_local)
            .copied()
    }
}

/// Time of the next round, and the last address taken from each round-robin list.
#[derive(Debug, Default)]
pub(crate) struct RoundCursors {
    next_round: Option<Instant>,
    local: Option<SocketAddrV4>,
    remote: Option<SocketAddrV4>,
    seed: Option<SocketAddrV4>,
    named: Option<SocketAddrV4>,
    others: Option<SocketAddrV4>,
    report: Option<SocketAddrV4>,
}

/// Time after a heartbeat for which a local peer counts as alive, in a zone with this number of
/// other hosts.
pub(crate) fn local_timeout(peers: usize) -> Duration {
    liveness_timeout(peers, LOCAL_TARGETS)
}

/// Time after a heartbeat for which a remote peer counts as alive, with this number of remote
/// peers.
pub(crate) fn remote_timeout(peers: usize) -> Duration {
    liveness_timeout(peers, REMOTE_TARGETS)
}

impl PeerTable {
    /// Returns the targets of a heartbeat round, or `None` if no round is due. A host that reads
    /// the store sends to all hosts of its zone, and to the readers of other zones.
    pub fn due_round(
        &mut self,
        now: Instant,
        reads: bool,
        lacks_state: bool,
    ) -> Option<HeartbeatRound> {
        if self.cursors.next_round.is_some_and(|next| now < next) {
            return None;
        }
        let pause = if lacks_state {
            STATELESS_INTERVAL
        } else {
            HEARTBEAT_INTERVAL
        };
        self.cursors.next_round = Some(now + pause);
        self.peers.retain(|_address, peer| now < peer.expires_at);
        let all_local = self.addresses(|peer| peer.zone == self.zone);
        let mut local = self.uncontacted(now, &all_local, MAX_UNCONTACTED_TARGETS);
        let target_count = if lacks_state {
            STATELESS_LOCAL_TARGETS
        } else {
            LOCAL_TARGETS
        };
        local.extend(take_round_robin(
            &all_local,
            &mut self.cursors.local,
            target_count,
        ));
        sort_unique(&mut local);
        let remaining_local = if reads {
            let others = all_local.into_iter();
            others.filter(|host| !local.contains(host)).collect()
        } else {
            Vec::new()
        };
        let remote = self.remote_round(now, reads);
        Some(HeartbeatRound {
            local,
            remote,
            remaining_local,
        })
    }

    /// The local hosts to which failure reports are sent now; at most `MAX_REPORT_TARGETS`,
    /// round-robin.
    pub fn report_targets(&mut self, now: Instant) -> Vec<SocketAddrV4> {
        let local = self.local_addresses(now);
        take_round_robin(&local, &mut self.cursors.report, MAX_REPORT_TARGETS)
    }

    /// Makes the next round due at once, because others need what it says: that this host has just
    /// obtained its first state, or whether the store responds to it.
    pub fn make_round_due(&mut self) {
        self.cursors.next_round = None;
    }

    /// Some live hosts of a zone to name in a heartbeat to that zone. Only hosts with a state are
    /// returned, if there are any.
    pub fn sample_peers_in(&mut self, now: Instant, zone: &ZoneName) -> Vec<SocketAddrV4> {
        let mut members =
            self.live_addresses(now, |peer| peer.zone == *zone && !peer.through.is_unread());
        if members.is_empty() {
            members = self.live_addresses(now, |peer| peer.zone == *zone);
        }
        take_round_robin(&members, &mut self.cursors.named, MAX_NAMED_LOCAL)
    }

    /// Some live hosts outside a zone; only readers, if there are any.
    pub fn sample_peers_outside(&mut self, now: Instant, zone: &ZoneName) -> Vec<SocketAddrV4> {
        let reading = self.live_addresses(now, |peer| {
            peer.zone != *zone && peer.is_current_reader(now)
        });
        let mut others = take_round_robin(&reading, &mut self.cursors.others, MAX_NAMED_REMOTE);
        if others.is_empty() {
            let any = self.live_addresses(now, |peer| peer.zone != *zone);
            others = take_round_robin(&any, &mut self.cursors.others, MAX_NAMED_REMOTE);
        }
        others
    }

    /// Whether there is a seed host other than this one.
    pub fn has_seeds(&self) -> bool {
        self.seeds.iter().any(|seed| *seed != self.own)
    }

    fn remote_round(&mut self, now: Instant, reads: bool) -> BTreeMap<ZoneName, Vec<SocketAddrV4>> {
        let all_remote = self.addresses(|peer| peer.zone != self.zone);
        let mut remote = self.uncontacted(now, &all_remote, REMOTE_TARGETS);
        let rest = REMOTE_TARGETS - remote.len();
        remote.extend(take_round_robin(
            &all_remote,
            &mut self.cursors.remote,
            rest,
        ));
        if reads {
            remote.extend(
                self.addresses(|peer| peer.zone != self.zone && peer.is_current_reader(now)),
            );
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

    /// Whether no other host of the own zone is alive.
    pub fn lacks_local_peer(&self, now: Instant) -> bool {
        self.live_addresses(now, |peer| peer.zone == self.zone)
            .is_empty()
    }

    /// The seed hosts that get a heartbeat in this round: all of them in the first round if no peer
    /// is alive, otherwise one per round while no local peer or no remote peer is alive. By these,
    /// hosts find each other again after a network partition that outlasted
    /// [`PeerRecord::expires_at`].
    fn seeds_due(&mut self, now: Instant) -> Vec<SocketAddrV4> {
        let own = self.own;
        let mut seeds = self.seeds.clone();
        seeds.retain(|seed| *seed != own);
        seeds.sort_unstable();
        let local = self
            .live_addresses(now, |peer| peer.zone == self.zone)
            .len();
        let remote = self
            .live_addresses(now, |peer| peer.zone != self.zone)
            .len();
        let first = self.cursors.seed.is_none();
        let count = match (local, remote) {
            (0, 0) if first => seeds.len(),
            (0, _) | (_, 0) => 1,
            _ => 0,
        };
        take_round_robin(&seeds, &mut self.cursors.seed, count)
    }

    /// Returns up to `count` uncontacted peers and marks them as contacted.
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
                record.next_hello_at = Some(now + HEARTBEAT_INTERVAL);
            }
        }
        uncontacted
    }

    fn live_addresses(
        &self,
        now: Instant,
        predicate: impl Fn(&PeerRecord) -> bool,
    ) -> Vec<SocketAddrV4> {
        self.live_peers(now)
            .filter(|(_address, peer)| predicate(peer))
            .map(|(address, _peer)| address)
            .collect()
    }
}

/// Time in which each of `peers` hosts, at `per_round` in a round, has sent a heartbeat, plus
/// [`MISSED_ROUNDS`].
fn liveness_timeout(peers: usize, per_round: usize) -> Duration {
    let rounds = u32::try_from(peers / per_round + 1).unwrap_or(u32::MAX);
    HEARTBEAT_INTERVAL.saturating_mul(rounds.saturating_add(MISSED_ROUNDS))
}

/// Takes the next `count` addresses after `last_taken`, wrapping around, and updates it.
/// `addresses` must be sorted.
fn take_round_robin(
    addresses: &[SocketAddrV4],
    last_taken: &mut Option<SocketAddrV4>,
    count: usize,
) -> Vec<SocketAddrV4> {
    let start = last_taken.map_or(0, |last| {
        addresses.partition_point(|address| *address <= last)
    });
    let taken: Vec<SocketAddrV4> = (0..addresses.len().min(count))
        .map(|step| addresses[(start + step) % addresses.len()])
        .collect();
    *last_taken = taken.last().copied().or(*last_taken);
    taken
}

fn sort_unique(addresses: &mut Vec<SocketAddrV4>) {
    addresses.sort_unstable();
    addresses.dedup();
}
