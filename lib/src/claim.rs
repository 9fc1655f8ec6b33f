//! Which single host may take on requests that may not run twice: claims held by majority votes.
//!
//! A vote is a lease. A peer grants a host's claim by echoing its heartbeat, and the grant counts
//! from when that heartbeat was *sent*, so that clocks need equal rates only. A peer that has not
//! granted for [`ClaimSettings::length`] and [`ClaimSettings::margin`] may fence the host, and then
//! does not grant for as long after its last word on the fence. Two majorities share a member, and
//! a member never has a grant and a fence of one host in use at once; so a host that holds its
//! claim is never fenced by a majority. `docs/design/ownership.md` has the argument.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::hash::Hasher;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::Xxh3Default;

use crate::cell_heartbeat::CellHeartbeat;
use crate::cell_heartbeat::HEARTBEAT_INTERVAL;
use crate::cell_heartbeat::HeartbeatEcho;
use crate::cell_heartbeat::SetStage;
use crate::claim_vote::ClaimSettings;
use crate::claim_vote::PeerVote;
use crate::ids::HostId;
use crate::ids::Incarnation;

/// How many of its own heartbeats a host remembers the sending time of.
const SENT_KEPT: usize = 256;

/// The claims of one cell as one host knows them.
#[derive(Debug)]
pub struct ClaimBook {
    host: HostId,
    incarnation: Incarnation,
    settings: ClaimSettings,
    /// Invariant: in ascending order, at most [`crate::cell_heartbeat::MAX_CELL`].
    members: Vec<HostId>,
    member_set: u32,
    started: Instant,
    stage: SetStage,
    /// The members of the last set that this process voted under; empty while fresh.
    base: Vec<HostId>,
    /// No vote is given before this: votes of an earlier set or process may be in use.
    quiet_until: Instant,
    standby_until: Instant,
    leaving: bool,
    /// When this host last said that it is on standby.
    standby_at: Instant,
    next_number: u64,
    sent: VecDeque<(u64, Instant)>,
    peers: BTreeMap<HostId, PeerVote>,
    claim_since: Option<Instant>,
    /// When the claim was last held.
    claim_seen: Option<Instant>,
}

impl ClaimBook {
    /// Starts without members, at `now`.
    pub fn new(
        now: Instant,
        host: HostId,
        incarnation: Incarnation,
        settings: ClaimSettings,
    ) -> Self {
        Self {
            host,
            incarnation,
            settings,
            members: Vec::new(),
            member_set: 0,
            started: now,
            stage: SetStage::Fresh,
            base: Vec::new(),
            quiet_until: now,
            standby_until: now + settings.standby,
            leaving: false,
            standby_at: now,
            next_number: 1,
            sent: VecDeque::new(),
            peers: BTreeMap::new(),
            claim_since: None,
            claim_seen: None,
        }
    }

    /// Counts majorities over `members` from now on; ascending, without duplicates.
    ///
    /// Votes of two sets must not be in use at once, for their majorities may not intersect. So
    /// the host is silent for the length of a vote, and votes under the new set only when a
    /// majority of the last set it voted under has changed to the new one as well. A
    /// process that has just started knows of no earlier set, and waits for every listed host.
    pub fn set_members(&mut self, now: Instant, members: &[HostId]) {
        if members == self.members {
            return;
        }
        match self.stage {
            SetStage::Active => {
                self.base = std::mem::take(&mut self.members);
                self.stage = SetStage::Pending;
            }
            SetStage::Fresh | SetStage::Pending => {}
        }
        self.members = members.to_vec();
        self.member_set = digest_members(members);
        self.peers.retain(|id, _peer| members.contains(id));
        for peer in self.peers.values_mut() {
            peer.grant_base = None;
            peer.fenced = 0;
        }
        for id in members.iter().filter(|id| **id != self.host) {
            self.peers.entry(*id).or_default();
        }
        self.refresh(now);
    }

    /// Exchanges heartbeats with a host that is about to become a member; it has no vote yet.
    pub fn watch(&mut self, id: HostId) {
        self.peers.entry(id).or_default();
    }

    /// Forgets what depends on heartbeats sent before a freeze: the claim has to be earned anew.
    pub fn wake(&mut self, now: Instant) {
        self.sent.clear();
        for peer in self.peers.values_mut() {
            peer.grant_base = None;
            peer.echo_base = None;
        }
        self.refresh(now);
    }

    /// Gives the claim up for good; the process is about to stop.
    pub fn leave(&mut self, now: Instant) {
        self.leaving = true;
        self.standby_at = now;
        self.refresh(now);
    }

    /// The members that majorities are counted over, ascending.
    pub fn members(&self) -> &[HostId] {
        &self.members
    }

    /// Whether no vote was given under any list yet.
    pub fn is_fresh(&self) -> bool {
        self.stage == SetStage::Fresh
    }

    /// Digest of the members, equal on hosts that count over the same.
    pub fn member_set(&self) -> u32 {
        self.member_set
    }

    /// Whether this host is on standby: new, or leaving.
    pub fn on_standby(&self, now: Instant) -> bool {
        self.leaving || now < self.standby_until
    }

    /// Takes a heartbeat; `false` if it is older than one that was taken.
    pub fn take(&mut self, now: Instant, sender: HostId, heartbeat: &CellHeartbeat) -> bool {
        self.refresh(now);
        let bound = self.settings.bound();
        let echo_base = heartbeat.echo.and_then(|echo| self.sent_at(echo));
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
            // The former process may still hold grants of ours; its successor gets none meanwhile.
            if let Some(granted_at) = peer.granted_at {
                peer.fenced_at = peer.fenced_at.max(Some(granted_at));
            }
            peer.grant_base = None;
        }
        peer.incarnation = heartbeat.incarnation;
        peer.number = heartbeat.number;
        peer.heard = Some(now);
        peer.member_set = heartbeat.member_set;
        peer.stage = Some(heartbeat.set_stage);
        peer.standby = heartbeat.standby;
        peer.echo_base = echo_base;
        peer.fenced = if same_set { heartbeat.fenced } else { 0 };
        if heartbeat.granted && same_set {
            peer.grant_base = peer.grant_base.max(echo_base);
        }
        self.advance_stage(now, bound);
        self.refresh(now);
        true
    }

    /// The heartbeat to send to `peer` now.
    pub fn make(&mut self, now: Instant, peer: HostId) -> CellHeartbeat {
        self.refresh(now);
        let number = self.next_number;
        self.next_number += 1;
        self.sent.push_back((number, now));
        if self.sent.len() > SENT_KEPT {
            self.sent.pop_front();
        }
        let standby = self.on_standby(now);
        if standby {
            self.standby_at = now;
        }
        let granted = self.grant(now, peer);
        let echo = self.echo_for(peer);
        CellHeartbeat {
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
            fenced: self.fence_bits(now),
        }
    }

    /// Since when this host has been the only one that may take on new requests of a key, with
    /// `ahead` the members that rank before it for that key; `None` if it may not at present.
    pub fn acting_since(&self, now: Instant, ahead: &[HostId]) -> Option<Instant> {
        if !self.holds_claim(now) {
            return None;
        }
        let mut since = self.claim_since?;
        for id in ahead {
            since = since.max(self.fenced_since(now, *id)?);
        }
        Some(since)
    }

    /// Since when a member has not been able to act, without a gap: a majority has had it fenced, or
    /// its own word was in use. `None` if it may be acting.
    pub fn fenced_since(&self, now: Instant, id: HostId) -> Option<Instant> {
        match self.is_fenced(now, id) {
            true => self.peers.get(&id)?.fenced_since,
            false => None,
        }
    }

    /// Whether votes are about to come into use, so that waiting for a claim makes sense: after a
    /// start, a change of members or the loss of a few heartbeats, as against a cut.
    pub fn is_settling(&self, now: Instant) -> bool {
        let round_trip = 2 * HEARTBEAT_INTERVAL;
        let standby_end = self.standby_at + self.settings.bound() + round_trip;
        let is_changing = self.peers.values().any(|peer| {
            let is_heard = peer.heard.is_some_and(|heard| now < heard + round_trip);
            is_heard && peer.member_set != self.member_set
        });
        let lapsed_lately = self
            .claim_seen
            .is_some_and(|seen| now < seen + self.settings.length);
        self.stage != SetStage::Active
            || lapsed_lately
            || is_changing
            || now < self.quiet_until + round_trip
            || !self.leaving && now < standby_end
    }

    /// Whether a majority grants this host's claim at `now`.
    pub fn holds_claim(&self, now: Instant) -> bool {
        let is_member = self.members.binary_search(&self.host).is_ok();
        let over_standby = !self.on_standby(now) && now >= self.standby_at + self.settings.bound();
        if !self.may_vote(now) || !is_member || !over_standby {
            return false;
        }
        let granting = self
            .members
            .iter()
            .filter_map(|id| self.peers.get(id))
            .filter(|peer| self.in_use(now, peer.grant_base))
            .count();
        granting + 1 >= majority(self.members.len())
    }

    /// Whether `id` cannot act at `now`: a majority has fenced it, or it says so itself.
    fn is_fenced(&self, now: Instant, id: HostId) -> bool {
        let Ok(index) = self.members.binary_search(&id) else {
            return false;
        };
        let Some(target) = self.peers.get(&id) else {
            return false;
        };
        if target.standby && self.in_use(now, target.echo_base) {
            return true;
        }
        let bit = 1_u64 << index;
        let others = self
            .members
            .iter()
            .filter_map(|id| self.peers.get(id))
            .filter(|peer| peer.fenced & bit != 0 && self.in_use(now, peer.echo_base))
            .count();
        let own = usize::from(self.fences(now, target));
        others + own >= majority(self.members.len())
    }

    /// Lets time pass: notes since when claim and fences have held, and forgets those that lapsed.
    ///
    /// To be called before anything changes, or a vote that lapsed and came back would be taken
    /// for one without a gap, in which another host may have acted.
    pub fn refresh(&mut self, now: Instant) {
        let mut peers = std::mem::take(&mut self.peers);
        for peer in peers.values_mut() {
            if self.fences(now, peer) {
                peer.fenced_at = Some(now);
            }
        }
        self.peers = peers;
        self.claim_since = match self.holds_claim(now) {
            true => self.claim_since.or(Some(now)),
            false => None,
        };
        if self.claim_since.is_some() {
            self.claim_seen = Some(now);
        }
        let fenced: Vec<HostId> = self
            .peers
            .keys()
            .copied()
            .filter(|id| self.is_fenced(now, *id))
            .collect();
        for (id, peer) in &mut self.peers {
            peer.fenced_since = match fenced.binary_search(id) {
                Ok(_index) => peer.fenced_since.or(Some(now)),
                Err(_index) => None,
            };
        }
    }

    /// Whether votes of this process count at `now`.
    fn may_vote(&self, now: Instant) -> bool {
        self.stage == SetStage::Active && now >= self.quiet_until
    }

    /// Grants `id`'s claim if this host may, and notes that it did.
    fn grant(&mut self, now: Instant, id: HostId) -> bool {
        let Some(peer) = self.peers.get(&id) else {
            return false;
        };
        let bound = self.settings.bound();
        let unfenced = peer.fenced_at.is_none_or(|at| now >= at + bound);
        if !self.may_vote(now) || !self.wants_claim(now, peer) || !unfenced {
            return false;
        }
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.granted_at = peer.heard;
        }
        true
    }

    /// Whether this host has `peer` fenced: it wants no claim, and no grant of ours is in use.
    fn fences(&self, now: Instant, peer: &PeerVote) -> bool {
        let bound = self.settings.bound();
        let ungranted = peer.granted_at.is_none_or(|at| now >= at + bound);
        self.may_vote(now) && !self.wants_claim(now, peer) && ungranted
    }

    fn wants_claim(&self, now: Instant, peer: &PeerVote) -> bool {
        let is_heard = peer
            .heard
            .is_some_and(|heard| now < heard + self.settings.bound());
        is_heard && peer.member_set == self.member_set && !peer.standby
    }

    fn fence_bits(&self, now: Instant) -> u64 {
        let fenced = self.members.iter().enumerate().filter(|(_index, id)| {
            let peer = self.peers.get(id);
            peer.is_some_and(|peer| self.fences(now, peer))
        });
        fenced.fold(0, |bits, (index, _id)| bits | 1 << index)
    }

    fn in_use(&self, now: Instant, base: Option<Instant>) -> bool {
        base.is_some_and(|base| now < base + self.settings.length)
    }

    /// Names the newest heartbeat of `peer` that has arrived.
    pub fn echo_for(&self, peer: HostId) -> Option<HeartbeatEcho> {
        let vote = self.peers.get(&peer)?;
        vote.heard.map(|_heard| HeartbeatEcho {
            incarnation: vote.incarnation,
            number: vote.number,
        })
    }

    /// When this process sent the heartbeat that an echo names: whatever carries the echo was
    /// written later. `None` for another process's, and for one that is no longer remembered.
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

    /// Begins to use the member set, and gives no vote under it for the length of one: this process
    /// may just have voted under another set, or its predecessor under any.
    fn advance_stage(&mut self, now: Instant, bound: Duration) {
        if self.stage == SetStage::Active || self.members.is_empty() {
            return;
        }
        let active_peer = self.count_at_set(now, &self.members, Some(SetStage::Active)) > 0;
        let moved = match self.stage {
            SetStage::Fresh => {
                // A member that is not heard may vote under an earlier list, with others that are
                // not heard either; however long it is silent, only the platform's list can say that
                // it is gone.
                let own = usize::from(self.members.contains(&self.host));
                let others = self.count_at_set(now, &self.members, Some(SetStage::Fresh));
                let is_settled = now >= self.started + bound;
                is_settled && !self.hears_other_set(now) && others + own == self.members.len()
            }
            SetStage::Pending | SetStage::Active => {
                let own = usize::from(self.base.contains(&self.host));
                let others = self.count_at_set(now, &self.base, None);
                others + own >= majority(self.base.len())
            }
        };
        if !active_peer && !moved {
            return;
        }
        self.stage = SetStage::Active;
        self.quiet_until = self.quiet_until.max(now + bound);
    }

    /// Whether a member votes under another set. Processes that have just started, some of them at
    /// the place of members of that set, must not outvote it because they know of none.
    fn hears_other_set(&self, now: Instant) -> bool {
        let bound = self.settings.bound();
        self.peers.values().any(|peer| {
            let is_heard = peer.heard.is_some_and(|heard| now < heard + bound);
            let has_voted = peer.stage.is_some_and(|stage| stage != SetStage::Fresh);
            is_heard && has_voted && peer.member_set != self.member_set
        })
    }

    /// How many peers of `among` were heard lately under this host's set, at `stage` if given.
    fn count_at_set(&self, now: Instant, among: &[HostId], stage: Option<SetStage>) -> usize {
        let bound = self.settings.bound();
        let at_set = |id: &&HostId| {
            self.peers.get(*id).is_some_and(|peer| {
                peer.heard.is_some_and(|heard| now < heard + bound)
                    && peer.member_set == self.member_set
                    && (stage.is_none() || peer.stage == stage)
            })
        };
        among.iter().filter(at_set).count()
    }

    /// Lets a cell of one begin; called each tick.
    pub fn tick(&mut self, now: Instant) {
        self.refresh(now);
        self.advance_stage(now, self.settings.bound());
    }
}

/// The smallest number that is more than half of `members`.
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
