//! Members of this host's ownership group and which of them are usable, from the published host
//! list and from heartbeats.
//!
//! The list lags behind the hosts, so a silent host is skipped for flows and idempotent requests; a
//! wrong guess costs a hop. [`crate::lease_table`] decides who may accept non-idempotent requests.
//! A host whose own ticks were late suspects itself first (as in Lifeguard): it does not count
//! silence during its own stall against its peers, and its lease has to be granted again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::config_snapshot::HostEntry;
use crate::config_snapshot::HostView;
use crate::group_heartbeat::GroupHeartbeat;
use crate::group_heartbeat::HEARTBEAT_INTERVAL;
use crate::group_heartbeat::MAX_GROUP_HOSTS;
use crate::ids::Generation;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::Version;
use crate::lease_table::LeaseTable;
use crate::lease_vote::LeaseSettings;

/// How long a lease vote is valid: four heartbeat intervals, so that three heartbeats in a row may
/// be lost.
pub const LEASE_DURATION: Duration = Duration::from_millis(1_200);
/// Five percent of the lease duration, far above the drift of quartz clocks (about 0.01 %).
pub const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(60);
/// Silence after which a peer is skipped for flows and idempotent requests.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time between two events from which on this process counts as stalled. It is well above the
/// scheduling delays of a busy machine, because the lease has to be granted again after each stall.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(250);
/// How long a host waits for its peers to know a new host list before it uses the list anyway.
pub const LIST_ADOPTION_TIMEOUT: Duration = Duration::from_secs(4);
/// How long after a stall datagrams may be read that arrived during it. Assumption: the backlog of
/// the socket buffers is read within this time.
pub const STALL_BACKLOG_WINDOW: Duration = Duration::from_millis(200);

#[derive(Debug)]
struct PeerLiveness {
    /// When the last heartbeat arrived, or when the host was first listed if none has arrived.
    heard_at: Instant,
    /// Since when its heartbeats have stated that it is leaving.
    leaving_since: Option<Instant>,
    /// Whether its last heartbeat stated that it holds its lease.
    holds_lease: bool,
    /// Version of the newest host list that it stated to know.
    list_version: Version,
}

/// A newer host list with other members that is not used yet.
struct PendingView {
    view: Arc<HostView>,
    /// The list is not used before this time. By then a new member has been up for long enough to
    /// state that no process of its host has run a request that is as old as the change.
    hold_deadline: Instant,
    /// The list is used from this time on, even if the peers do not know it.
    wait_deadline: Instant,
}

/// The hosts of the ownership group, and the published host lists, as this host knows them.
pub struct Membership {
    host: HostId,
    view: Arc<HostView>,
    pending_view: Option<PendingView>,
    /// How long a new process stays on standby.
    standby: Duration,
    group: GroupId,
    peers: BTreeMap<HostId, PeerLiveness>,
    /// The ownership groups of the published hosts, ascending.
    groups: Vec<GroupId>,
    /// Usable hosts of this host's ownership group, ascending.
    usable: Vec<HostId>,
    /// Hosts of this host's ownership group that hold their leases, ascending.
    lease_holders: Vec<HostId>,
    /// A process or member that is gone may have accepted requests first sent before this time.
    record_horizon: Instant,
    leases: LeaseTable,
    heartbeat_deadline: Instant,
    last_event: Option<Instant>,
    backlog_deadline: Option<Instant>,
    leaving: bool,
}

impl Membership {
    /// Creates a membership without a host list. `max_datagram_age` is the maximum time that a
    /// datagram is in transit.
    pub fn new(
        now: Instant,
        host: HostId,
        incarnation: Generation,
        max_datagram_age: Duration,
    ) -> Self {
        let settings = LeaseSettings {
            length: LEASE_DURATION,
            margin: CLOCK_DRIFT_MARGIN,
            standby: 2 * max_datagram_age,
        };
        Self {
            host,
            view: Arc::default(),
            pending_view: None,
            standby: settings.standby,
            group: GroupId::default(),
            peers: BTreeMap::new(),
            groups: Vec::new(),
            usable: vec![host],
            lease_holders: Vec::new(),
            record_horizon: now,
            leases: LeaseTable::new(now, host, incarnation, settings),
            heartbeat_deadline: now,
            last_event: None,
            backlog_deadline: None,
            leaving: false,
        }
    }

    /// Records that an event happened at `now` and detects a stall of this process. Must be called
    /// before any other processing of the event.
    ///
    /// Other hosts may have taken over during a stall. The lease is therefore given up until a
    /// heartbeat sent after the stall is echoed, and silence during the stall is not counted
    /// against any peer.
    pub fn detect_stall(&mut self, now: Instant) {
        let last_event = self.last_event.replace(now).unwrap_or(now);
        let gap = now.saturating_duration_since(last_event);
        if gap < STALL_THRESHOLD {
            return;
        }
        self.backlog_deadline = Some(now + STALL_BACKLOG_WINDOW);
        self.heartbeat_deadline = now;
        for peer in self.peers.values_mut() {
            peer.heard_at += gap;
        }
        self.leases.handle_stall(now);
    }

    /// Whether a datagram read now may have been queued while this process was stalled, which makes
    /// the age it states too small by an unknown amount.
    pub fn may_read_backlog(&self, now: Instant) -> bool {
        self.backlog_deadline.is_some_and(|deadline| now < deadline)
    }

    /// Processes a published host list, unless a newer one is known.
    ///
    /// Votes under two member sets are not combined, so no host of the group holds its lease while
    /// some hosts use the old set and some the new one. A host therefore waits up to
    /// [`LIST_ADOPTION_TIMEOUT`] until every member that it hears from knows the list. All hosts
    /// then switch within one heartbeat interval.
    pub fn learn_hosts(&mut self, now: Instant, view: &Arc<HostView>) {
        if view.version < self.known_version() {
            return;
        }
        let same_members = self.members_of(view) == self.leases.members();
        if same_members || self.leases.is_fresh() {
            self.pending_view = None;
            return self.adopt(now, view);
        }
        let earlier = self.pending_view.take();
        let mut pending = earlier.unwrap_or(PendingView {
            view: Arc::clone(view),
            hold_deadline: now,
            wait_deadline: now + LIST_ADOPTION_TIMEOUT,
        });
        let members = self.members_of(view);
        let adds_members = members.iter().any(|id| !self.leases.members().contains(id));
        if adds_members {
            pending.hold_deadline = now + self.standby;
        }
        pending.view = Arc::clone(view);
        self.pending_view = Some(pending);
        for id in &members {
            self.watch(now, *id);
        }
        self.adopt_next(now);
    }

    /// Version of the newest host list that this host knows.
    fn known_version(&self) -> Version {
        let pending = self.pending_view.as_ref();
        pending.map_or(self.view.version, |pending| pending.view.version)
    }

    /// Adopts the pending list once every member that is heard from knows it, or once the wait
    /// times out.
    fn adopt_next(&mut self, now: Instant) {
        let Some(pending) = &self.pending_view else {
            return;
        };
        let version = pending.view.version;
        let peers = self.peers.values();
        let is_known = peers
            .filter(|peer| now < peer.heard_at + SUSPICION_TIMEOUT)
            .all(|peer| peer.list_version >= version);
        let is_ready = is_known && now >= pending.hold_deadline;
        if !is_ready && now < pending.wait_deadline {
            return;
        }
        let view = Arc::clone(&pending.view);
        self.pending_view = None;
        self.adopt(now, &view);
    }

    fn group_in(&self, view: &HostView) -> GroupId {
        view.host(self.host).map_or(self.group, |own| own.cell)
    }

    fn members_of(&self, view: &HostView) -> Vec<HostId> {
        let group = self.group_in(view);
        let published = view.published.iter();
        published
            .filter(|entry| entry.cell == group)
            .map(|entry| entry.id)
            .take(MAX_GROUP_HOSTS)
            .collect()
    }

    fn adopt(&mut self, now: Instant, view: &Arc<HostView>) {
        self.group = self.group_in(view);
        self.view = Arc::clone(view);
        let members = self.members_of(view);
        let groups: BTreeSet<GroupId> = view.published.iter().map(|entry| entry.cell).collect();
        self.groups = groups.into_iter().collect();
        self.record_removed_members(now, &members);
        self.peers.retain(|id, _peer| members.contains(id));
        for id in &members {
            self.watch(now, *id);
        }
        self.leases.set_members(now, &members);
        self.refresh(now);
    }

    /// Starts to exchange heartbeats with a host of the current or the pending list.
    fn watch(&mut self, now: Instant, id: HostId) {
        if id == self.host {
            return;
        }
        self.leases.watch(id);
        self.peers.entry(id).or_insert(PeerLiveness {
            heard_at: now,
            leaving_since: None,
            holds_lease: false,
            list_version: 0,
        });
    }

    fn is_member(&self, id: HostId) -> bool {
        self.leases.members().binary_search(&id).is_ok()
    }

    /// Processes a peer's heartbeat. The caller has checked that the sender is in the host list.
    pub fn take(&mut self, now: Instant, sender: HostId, heartbeat: &GroupHeartbeat) {
        if !self.leases.handle_heartbeat(now, sender, heartbeat) {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&sender) {
            peer.heard_at = now;
            peer.holds_lease = heartbeat.claiming;
            peer.list_version = heartbeat.list_version;
            peer.leaving_since = match heartbeat.leaving {
                true => peer.leaving_since.or(Some(now)),
                false => None,
            };
        }
        self.adopt_next(now);
        self.refresh(now);
    }

    /// Advances the state with time and returns the heartbeats that are due, one for each peer of
    /// the ownership group.
    pub fn tick(&mut self, now: Instant) -> Vec<(HostId, GroupHeartbeat)> {
        self.adopt_next(now);
        self.leases.tick(now);
        self.refresh(now);
        if now < self.heartbeat_deadline {
            return Vec::new();
        }
        self.heartbeat_deadline = now + HEARTBEAT_INTERVAL;
        self.heartbeats(now)
    }

    /// Marks this host as leaving and returns heartbeats that announce it at once.
    pub fn leave(&mut self, now: Instant) -> Vec<(HostId, GroupHeartbeat)> {
        self.leaving = true;
        self.leases.leave(now);
        self.refresh(now);
        self.heartbeat_deadline = now + HEARTBEAT_INTERVAL;
        self.heartbeats(now)
    }

    /// The current host list.
    pub fn view(&self) -> &Arc<HostView> {
        &self.view
    }

    /// Returns the entry of a host in the current or the pending list.
    pub fn entry(&self, id: HostId) -> Option<&HostEntry> {
        let pending = self.pending_view.as_ref();
        self.view
            .host(id)
            .or_else(|| pending.and_then(|pending| pending.view.host(id)))
    }

    /// The ownership group of this host.
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// The published members of the ownership group, ascending; includes this host if it is
    /// published.
    pub fn members(&self) -> &[HostId] {
        self.leases.members()
    }

    /// The members of the ownership group that take new work, ascending; includes this host unless
    /// it is leaving.
    pub fn usable(&self) -> &[HostId] {
        &self.usable
    }

    /// Whether a host of the ownership group was heard from recently, leaving or not.
    pub fn is_heard(&self, now: Instant, id: HostId) -> bool {
        let peer = self.peers.get(&id);
        peer.is_some_and(|peer| now < peer.heard_at + SUSPICION_TIMEOUT)
    }

    /// The members of the ownership group that hold their leases, ascending.
    pub fn lease_holders(&self) -> &[HostId] {
        &self.lease_holders
    }

    /// The ownership groups of the published hosts, ascending.
    pub fn groups(&self) -> &[GroupId] {
        &self.groups
    }

    /// A request first sent before this time may have been accepted by a process or host that can
    /// no longer be queried: an earlier process of this host, or a removed member.
    pub fn record_horizon(&self) -> Instant {
        self.record_horizon
    }

    /// Since when a host of the ownership group has stated that it is leaving.
    pub fn leaving_since(&self, id: HostId) -> Option<Instant> {
        self.peers.get(&id)?.leaving_since
    }

    /// The leases of the ownership group.
    pub fn leases(&self) -> &LeaseTable {
        &self.leases
    }

    /// Moves the record horizon when members are removed, because their records can no longer be
    /// queried. A removed member accepted nothing after it stated that it was leaving; one that did
    /// not state so may accept requests until its lease expires.
    fn record_removed_members(&mut self, now: Instant, members: &[HostId]) {
        let removed = self
            .peers
            .iter()
            .filter(|(id, _peer)| self.is_member(**id) && !members.contains(id));
        let horizon = removed
            .map(|(_id, peer)| {
                peer.leaving_since
                    .unwrap_or(now + LEASE_DURATION + CLOCK_DRIFT_MARGIN)
            })
            .max();
        self.record_horizon = horizon.map_or(self.record_horizon, |horizon| {
            self.record_horizon.max(horizon)
        });
    }

    fn heartbeats(&mut self, now: Instant) -> Vec<(HostId, GroupHeartbeat)> {
        let peers: Vec<HostId> = self.peers.keys().copied().collect();
        let list_version = self.known_version();
        let mut next_heartbeat = |id| {
            let mut heartbeat = self.leases.next_heartbeat(now, id);
            heartbeat.list_version = list_version;
            (id, heartbeat)
        };
        peers.into_iter().map(&mut next_heartbeat).collect()
    }

    fn refresh(&mut self, now: Instant) {
        let peers = self.peers.iter();
        self.usable = peers
            .filter(|(id, peer)| {
                let published_leaving = self.view.host(**id).is_some_and(|entry| entry.leaving);
                self.is_member(**id)
                    && now < peer.heard_at + SUSPICION_TIMEOUT
                    && peer.leaving_since.is_none()
                    && !published_leaving
            })
            .map(|(id, _peer)| *id)
            .collect();
        if self.is_member(self.host) && !self.leaving {
            let index = self.usable.partition_point(|id| *id < self.host);
            self.usable.insert(index, self.host);
        }
        let peers = self.peers.iter();
        self.lease_holders = peers
            .filter(|(id, peer)| {
                self.is_member(**id) && now < peer.heard_at + SUSPICION_TIMEOUT && peer.holds_lease
            })
            .map(|(id, _peer)| *id)
            .collect();
        if self.leases.holds_claim(now) {
            let index = self.lease_holders.partition_point(|id| *id < self.host);
            self.lease_holders.insert(index, self.host);
        }
    }
}
