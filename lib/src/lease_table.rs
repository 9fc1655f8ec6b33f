//! Leases that determine the single host that may accept non-idempotent requests of a flow.
//!
//! A host holds its lease while a majority of its ownership group grants it. A peer grants the
//! lease by echoing a heartbeat of the host, and the grant counts from when that heartbeat was
//! *sent*, so the hosts' clocks need equal rates but no common time. A peer whose last grant is
//! older than [`LeaseSettings::length`] plus [`LeaseSettings::margin`] may vote that the host's
//! lease has expired. After its last such vote it grants no lease to that host for the same time.
//!
//! Invariant: a host that holds its lease is never voted expired by a majority. Two majorities
//! share a member, and a member never has a valid grant and a valid expiry vote for one host at the
//! same time. `docs/design/ownership.md` has the proof.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::hash::Hasher;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::Xxh3Default;

use crate::group_heartbeat::GroupHeartbeat;
use crate::group_heartbeat::HEARTBEAT_INTERVAL;
use crate::group_heartbeat::HeartbeatEcho;
use crate::group_heartbeat::MemberSetStage;
use crate::ids::Generation;
use crate::ids::HostId;
use crate::lease_vote::LeaseSettings;
use crate::lease_vote::PeerVote;

/// Number of own heartbeats whose sending times are kept.
const MAX_SENT_TIMES: usize = 256;

/// The leases of one ownership group as seen by one host.
#[derive(Debug)]
pub struct LeaseTable {
    host: HostId,
    incarnation: Generation,
    settings: LeaseSettings,
    /// Invariant: in ascending order, at most [`crate::group_heartbeat::MAX_GROUP_HOSTS`] entries.
    members: Vec<HostId>,
    member_set: u32,
    started: Instant,
    stage: MemberSetStage,
    /// The members of the last set that this process voted under; empty in [`MemberSetStage::Fresh`].
    base_members: Vec<HostId>,
    /// This host does not vote before this time, because votes of an earlier set or process may
    /// still be valid.
    voting_from: Instant,
    standby_until: Instant,
    leaving: bool,
    /// When a heartbeat of this host last stated that it is on standby.
    standby_announced_at: Instant,
    next_number: u64,
    sent: VecDeque<(u64, Instant)>,
    peers: BTreeMap<HostId, PeerVote>,
    held_since: Option<Instant>,
    /// When the lease was last held.
    last_held: Option<Instant>,
}

impl LeaseTable {
    /// Creates a table without members at `now`.
    pub fn new(
        now: Instant,
        host: HostId,
        incarnation: Generation,
        settings: LeaseSettings,
    ) -> Self {
        Self {
            host,
            incarnation,
            settings,
            members: Vec::new(),
            member_set: 0,
            started: now,
            stage: MemberSetStage::Fresh,
            base_members: Vec::new(),
            voting_from: now,
            standby_until: now + settings.standby,
            leaving: false,
            standby_announced_at: now,
            next_number: 1,
            sent: VecDeque::new(),
            peers: BTreeMap::new(),
            held_since: None,
            last_held: None,
        }
    }

    /// Counts majorities over `members` from now on; `members` is ascending and has no duplicates.
    ///
    /// Votes under two sets must not be valid at the same time, because their majorities may not
    /// intersect. The host therefore does not vote for the duration of a vote, and votes under the
    /// new set only after a majority of the last set that it voted under has switched to the new
    /// one. A process that has just started knows of no earlier set and waits for every listed
    /// host.
    pub fn set_members(&mut self, now: Instant, members: &[HostId]) {
        if members == self.members {
            return;
        }
        match self.stage {
            MemberSetStage::Active => {
                self.base_members = std::mem::take(&mut self.members);
                self.stage = MemberSetStage::Pending;
            }
            MemberSetStage::Fresh | MemberSetStage::Pending => {}
        }
        self.members = members.to_vec();
        self.member_set = digest_members(members);
        self.peers.retain(|id, _peer| members.contains(id));
        for peer in self.peers.values_mut() {
            peer.grant_sent_at = None;
            peer.expired_members = 0;
        }
        for id in members.iter().filter(|id| **id != self.host) {
            self.peers.entry(*id).or_default();
        }
        self.refresh(now);
    }

    /// Exchanges heartbeats with a host that is about to become a member; its votes do not count
    /// yet.
    pub fn watch(&mut self, id: HostId) {
        self.peers.entry(id).or_default();
    }

    /// Discards what depends on heartbeats sent before a stall of this process: the lease has to be
    /// granted again.
    pub fn handle_stall(&mut self, now: Instant) {
        self.sent.clear();
        for peer in self.peers.values_mut() {
            peer.grant_sent_at = None;
            peer.echo_sent_at = None;
        }
        self.refresh(now);
    }

    /// Gives up the lease for the rest of the process, which is about to stop.
    pub fn leave(&mut self, now: Instant) {
        self.leaving = true;
        self.standby_announced_at = now;
        self.refresh(now);
    }

    /// The members that majorities are counted over, ascending.
    pub fn members(&self) -> &[HostId] {
        &self.members
    }

    /// Whether this process has not voted under any member list yet.
    pub fn is_fresh(&self) -> bool {
        self.stage == MemberSetStage::Fresh
    }

    /// Digest of the members; equal on hosts that count majorities over the same members.
    pub fn member_set(&self) -> u32 {
        self.member_set
    }

    /// Whether this host is on standby because it has just started or is leaving.
    pub fn on_standby(&self, now: Instant) -> bool {
        self.leaving || now < self.standby_until
    }

    /// Processes a heartbeat. Returns `false` if it is not newer than the last one of its sender.
    pub fn handle_heartbeat(
        &mut self,
        now: Instant,
        sender: HostId,
        heartbeat: &GroupHeartbeat,
    ) -> bool {
        self.refresh(now);
        let expiry_delay = self.settings.expiry_delay();
        let echo_sent_at = heartbeat.echo.and_then(|echo| self.sent_at(echo));
        let same_set = heartbeat.member_set == self.member_set;
        let Some(peer) = self.peers.get_mut(&sender) else {
            return false;
        };
        let newer_number = heartbeat.number > peer.number;
        let is_newer = heartbeat.incarnation > peer.incarnation
            || heartbeat.incarnation == peer.incarnation && newer_number;
        if !is_newer {
            return false;
        }
        if heartbeat.incarnation > peer.incarnation {
            // The sender's previous process may still hold grants of this host, so the new process
            // gets none until they expire.
            if let Some(granted_at) = peer.granted_at {
                peer.expiry_voted_at = peer.expiry_voted_at.max(Some(granted_at));
            }
            peer.grant_sent_at = None;
        }
        peer.incarnation = heartbeat.incarnation;
        peer.number = heartbeat.number;
        peer.heard_at = Some(now);
        peer.member_set = heartbeat.member_set;
        peer.stage = Some(heartbeat.set_stage);
        peer.standby = heartbeat.standby;
        peer.echo_sent_at = echo_sent_at;
        peer.expired_members = if same_set { heartbeat.fenced } else { 0 };
        if heartbeat.granted && same_set {
            peer.grant_sent_at = peer.grant_sent_at.max(echo_sent_at);
        }
        self.advance_stage(now, expiry_delay);
        self.refresh(now);
        true
    }

    /// Returns the heartbeat to send to `peer` now, and records its sending time.
    pub fn next_heartbeat(&mut self, now: Instant, peer: HostId) -> GroupHeartbeat {
        self.refresh(now);
        let number = self.next_number;
        self.next_number += 1;
        self.sent.push_back((number, now));
        if self.sent.len() > MAX_SENT_TIMES {
            self.sent.pop_front();
        }
        let standby = self.on_standby(now);
        if standby {
            self.standby_announced_at = now;
        }
        let granted = self.grant(now, peer);
        let echo = self.echo_for(peer);
        GroupHeartbeat {
            incarnation: self.incarnation,
            number,
            echo,
            granted,
            member_set: self.member_set,
            set_stage: self.stage,
            standby,
            claiming: self.holds_claim(now),
            leaving: self.leaving,
            list_version: 0,
            fenced: self.expired_bits(now),
        }
    }

    /// Returns the time since which this host has been the only one that may accept new requests of
    /// a flow, where `ahead` are the members that rank before it for the flow; `None` if it may not
    /// at present.
    pub fn accepting_since(&self, now: Instant, ahead: &[HostId]) -> Option<Instant> {
        if !self.holds_claim(now) {
            return None;
        }
        let mut since = self.held_since?;
        for id in ahead {
            since = since.max(self.lease_expired_since(now, *id)?);
        }
        Some(since)
    }

    /// Returns the time since which a member has continuously been unable to accept requests: a
    /// majority has voted its lease expired, or the member has stated that it is on standby. `None`
    /// if it may hold its lease.
    pub fn lease_expired_since(&self, now: Instant, id: HostId) -> Option<Instant> {
        match self.is_lease_expired(now, id) {
            true => self.peers.get(&id)?.lease_expired_since,
            false => None,
        }
    }

    /// Whether votes are about to become valid, so that waiting for the lease makes sense. This is
    /// the case after a start, a change of members or the loss of a few heartbeats, but not in a
    /// network partition.
    pub fn is_settling(&self, now: Instant) -> bool {
        let round_trip = 2 * HEARTBEAT_INTERVAL;
        let standby_end = self.standby_announced_at + self.settings.expiry_delay() + round_trip;
        let is_changing = self.peers.values().any(|peer| {
            let heard_recently = peer
                .heard_at
                .is_some_and(|heard_at| now < heard_at + round_trip);
            heard_recently && peer.member_set != self.member_set
        });
        let expired_recently = self
            .last_held
            .is_some_and(|held| now < held + self.settings.length);
        self.stage != MemberSetStage::Active
            || expired_recently
            || is_changing
            || now < self.voting_from + round_trip
            || !self.leaving && now < standby_end
    }

    /// Whether a majority grants this host's lease at `now`.
    pub fn holds_claim(&self, now: Instant) -> bool {
        let is_member = self.members.binary_search(&self.host).is_ok();
        let standby_over = !self.on_standby(now)
            && now >= self.standby_announced_at + self.settings.expiry_delay();
        if !self.may_vote(now) || !is_member || !standby_over {
            return false;
        }
        let granting = self
            .members
            .iter()
            .filter_map(|id| self.peers.get(id))
            .filter(|peer| self.is_unexpired(now, peer.grant_sent_at))
            .count();
        granting + 1 >= majority(self.members.len())
    }

    /// Whether `id` cannot hold its lease at `now`: a majority has voted it expired, or the host
    /// itself states that it is on standby.
    fn is_lease_expired(&self, now: Instant, id: HostId) -> bool {
        let Ok(index) = self.members.binary_search(&id) else {
            return false;
        };
        let Some(target) = self.peers.get(&id) else {
            return false;
        };
        if target.standby && self.is_unexpired(now, target.echo_sent_at) {
            return true;
        }
        let bit = 1_u64 << index;
        let others = self
            .members
            .iter()
            .filter_map(|id| self.peers.get(id))
            .filter(|peer| {
                peer.expired_members & bit != 0 && self.is_unexpired(now, peer.echo_sent_at)
            })
            .count();
        let own = usize::from(self.votes_expired(now, target));
        others + own >= majority(self.members.len())
    }

    /// Updates the times since which the lease and the expiry votes have held without a gap.
    ///
    /// Must be called before any other change. Otherwise a vote that expired and was then renewed
    /// would count as continuous, although another host may have accepted requests in between.
    pub fn refresh(&mut self, now: Instant) {
        let mut peers = std::mem::take(&mut self.peers);
        for peer in peers.values_mut() {
            if self.votes_expired(now, peer) {
                peer.expiry_voted_at = Some(now);
            }
        }
        self.peers = peers;
        self.held_since = match self.holds_claim(now) {
            true => self.held_since.or(Some(now)),
            false => None,
        };
        if self.held_since.is_some() {
            self.last_held = Some(now);
        }
        let expired: Vec<HostId> = self
            .peers
            .keys()
            .copied()
            .filter(|id| self.is_lease_expired(now, *id))
            .collect();
        for (id, peer) in &mut self.peers {
            peer.lease_expired_since = match expired.binary_search(id) {
                Ok(_index) => peer.lease_expired_since.or(Some(now)),
                Err(_index) => None,
            };
        }
    }

    /// Whether votes of this process count at `now`.
    fn may_vote(&self, now: Instant) -> bool {
        self.stage == MemberSetStage::Active && now >= self.voting_from
    }

    /// Grants `id`'s lease if this host may, and records the grant.
    fn grant(&mut self, now: Instant, id: HostId) -> bool {
        let Some(peer) = self.peers.get(&id) else {
            return false;
        };
        let expiry_delay = self.settings.expiry_delay();
        let not_voted_expired = peer
            .expiry_voted_at
            .is_none_or(|at| now >= at + expiry_delay);
        if !self.may_vote(now) || !self.wants_lease(now, peer) || !not_voted_expired {
            return false;
        }
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.granted_at = peer.heard_at;
        }
        true
    }

    /// Whether this host votes that the lease of `peer` has expired: the peer wants no lease, and
    /// no grant of this host can be valid.
    fn votes_expired(&self, now: Instant, peer: &PeerVote) -> bool {
        let expiry_delay = self.settings.expiry_delay();
        let grants_expired = peer.granted_at.is_none_or(|at| now >= at + expiry_delay);
        self.may_vote(now) && !self.wants_lease(now, peer) && grants_expired
    }

    fn wants_lease(&self, now: Instant, peer: &PeerVote) -> bool {
        let heard_recently = peer
            .heard_at
            .is_some_and(|heard_at| now < heard_at + self.settings.expiry_delay());
        heard_recently && peer.member_set == self.member_set && !peer.standby
    }

    fn expired_bits(&self, now: Instant) -> u64 {
        let expired = self.members.iter().enumerate().filter(|(_index, id)| {
            let peer = self.peers.get(id);
            peer.is_some_and(|peer| self.votes_expired(now, peer))
        });
        expired.fold(0, |bits, (index, _id)| bits | 1 << index)
    }

    fn is_unexpired(&self, now: Instant, sent_at: Option<Instant>) -> bool {
        sent_at.is_some_and(|sent_at| now < sent_at + self.settings.length)
    }

    /// Returns the newest heartbeat of `peer` that has arrived.
    pub fn echo_for(&self, peer: HostId) -> Option<HeartbeatEcho> {
        let vote = self.peers.get(&peer)?;
        vote.heard_at.map(|_heard| HeartbeatEcho {
            incarnation: vote.incarnation,
            number: vote.number,
        })
    }

    /// Returns when this process sent the heartbeat that an echo names, which is a lower bound on
    /// when the message with the echo was written. `None` if another process sent the heartbeat, or
    /// if its sending time is no longer kept.
    pub fn sent_at(&self, echo: HeartbeatEcho) -> Option<Instant> {
        if echo.incarnation != self.incarnation {
            return None;
        }
        let index = self
            .sent
            .binary_search_by_key(&echo.number, |(number, _at)| *number)
            .ok()?;
        Some(self.sent[index].1)
    }

    /// Switches to the current member set once that is safe, and gives no vote under it for the
    /// duration of a vote, because this process or its predecessor may just have voted under
    /// another set.
    fn advance_stage(&mut self, now: Instant, expiry_delay: Duration) {
        if self.stage == MemberSetStage::Active || self.members.is_empty() {
            return;
        }
        let active_peer = self.count_with_set(now, &self.members, Some(MemberSetStage::Active)) > 0;
        let moved = match self.stage {
            MemberSetStage::Fresh => {
                // A member that has not been heard may vote under an earlier list, together with
                // others that have not been heard. No matter how long it is silent, only the
                // platform's host list can state that it has been removed.
                let own = usize::from(self.members.contains(&self.host));
                let others = self.count_with_set(now, &self.members, Some(MemberSetStage::Fresh));
                let is_settled = now >= self.started + expiry_delay;
                is_settled && !self.other_set_in_use(now) && others + own == self.members.len()
            }
            MemberSetStage::Pending | MemberSetStage::Active => {
                let own = usize::from(self.base_members.contains(&self.host));
                let others = self.count_with_set(now, &self.base_members, None);
                others + own >= majority(self.base_members.len())
            }
        };
        if !active_peer && !moved {
            return;
        }
        self.stage = MemberSetStage::Active;
        self.voting_from = self.voting_from.max(now + expiry_delay);
    }

    /// Whether a member votes under another set. Newly started processes know of no earlier set.
    /// Some of them may have replaced members of the other set, and they must not outvote it.
    fn other_set_in_use(&self, now: Instant) -> bool {
        let expiry_delay = self.settings.expiry_delay();
        self.peers.values().any(|peer| {
            let heard_recently = peer
                .heard_at
                .is_some_and(|heard_at| now < heard_at + expiry_delay);
            let has_voted = peer
                .stage
                .is_some_and(|stage| stage != MemberSetStage::Fresh);
            heard_recently && has_voted && peer.member_set != self.member_set
        })
    }

    /// Number of peers in `among` that were heard from recently under this host's member set, and
    /// in `stage` if it is given.
    fn count_with_set(
        &self,
        now: Instant,
        among: &[HostId],
        stage: Option<MemberSetStage>,
    ) -> usize {
        let expiry_delay = self.settings.expiry_delay();
        let with_set = |id: &&HostId| {
            self.peers.get(*id).is_some_and(|peer| {
                peer.heard_at
                    .is_some_and(|heard_at| now < heard_at + expiry_delay)
                    && peer.member_set == self.member_set
                    && (stage.is_none() || peer.stage == stage)
            })
        };
        among.iter().filter(with_set).count()
    }

    /// Advances the state with time; called at each tick. A group with a single member depends on
    /// it to start voting, because no heartbeat arrives there.
    pub fn tick(&mut self, now: Instant) {
        self.refresh(now);
        self.advance_stage(now, self.settings.expiry_delay());
    }
}

/// Returns the smallest integer greater than half of `members`.
fn majority(members: usize) -> usize {
    members / 2 + 1
}

fn digest_members(members: &[HostId]) -> u32 {
    let mut hasher = Xxh3Default::new();
    for id in members {
        hasher.update(&id.to_le_bytes());
    }
    hasher.finish() as u32
}
