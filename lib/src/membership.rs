//! Which hosts of the own cell are usable: the published list joined with direct heartbeats.
//!
//! The list lags, so a host that is silent is skipped for flows and idempotent requests; being
//! wrong about that costs a hop. Claims on requests that may not run twice are [`crate::claim`]'s.
//! A host whose own ticks came late suspects itself first (as in Lifeguard): it takes nobody for
//! dead because of its own freeze, and earns its claim anew.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::cell_heartbeat::CellHeartbeat;
use crate::cell_heartbeat::HEARTBEAT_INTERVAL;
use crate::cell_heartbeat::MAX_CELL;
use crate::claim::ClaimBook;
use crate::claim_vote::ClaimSettings;
use crate::config_snapshot::HostEntry;
use crate::config_snapshot::HostView;
use crate::ids::CellId;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::Version;

/// How long a vote on a claim lasts: four heartbeats, so that three may be lost in a row.
pub const CLAIM_LENGTH: Duration = Duration::from_millis(1_200);
/// Five percent of a claim, far above the drift of quartz clocks (about 0.01 %).
pub const CLAIM_MARGIN: Duration = Duration::from_millis(60);
/// Silence after which a peer is skipped for flows and idempotent requests.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1_200);
/// Time between two events from which on the host takes itself to have been frozen. Well above what
/// a busy machine makes a process wait, for each time the claim has to be earned anew.
pub const FREEZE_GAP: Duration = Duration::from_millis(250);
/// How long a host waits for others to know a list before it uses it.
pub const LIST_WAIT: Duration = Duration::from_secs(4);
/// How long after waking a host may still read datagrams that arrived while it was frozen.
/// Assumption: the backlog of its socket buffers is read within this.
pub const BACKLOG_WINDOW: Duration = Duration::from_millis(200);

#[derive(Debug)]
struct PeerLife {
    /// When it was last heard of, or first published.
    heard: Instant,
    /// Since when it has said that it is leaving.
    leaving_since: Option<Instant>,
    /// Whether it said that it holds its claim.
    claiming: bool,
    /// The newest list that it said it knows.
    list_version: Version,
}

/// A newer list with other members, before it is used.
struct NextView {
    view: Arc<HostView>,
    /// Not used before this, so that a new member has been up for long enough to say of requests
    /// of the change's time that no process of its has run them.
    hold_deadline: Instant,
    /// Used from this on, whether or not the others know it.
    wait_deadline: Instant,
}

/// The hosts as this one sees them.
pub struct Membership {
    host: HostId,
    view: Arc<HostView>,
    next_view: Option<NextView>,
    /// How long a new process stays on standby.
    standby: Duration,
    cell: CellId,
    lives: BTreeMap<HostId, PeerLife>,
    /// The cells of the published hosts, ascending.
    cells: Vec<CellId>,
    /// Hosts of the own cell that are usable, ascending.
    usable: Vec<HostId>,
    /// Hosts of the own cell that hold their claims, ascending.
    claimants: Vec<HostId>,
    /// A member that has been removed may have taken on requests first sent before this.
    removal_horizon: Instant,
    book: ClaimBook,
    heartbeat_deadline: Instant,
    last_event: Option<Instant>,
    backlog_deadline: Option<Instant>,
    leaving: bool,
}

impl Membership {
    /// Starts without a list; `max_datagram_age` bounds how long a datagram is under way.
    pub fn new(
        now: Instant,
        host: HostId,
        incarnation: Incarnation,
        max_datagram_age: Duration,
    ) -> Self {
        let settings = ClaimSettings {
            length: CLAIM_LENGTH,
            margin: CLAIM_MARGIN,
            standby: 2 * max_datagram_age,
        };
        Self {
            host,
            view: Arc::default(),
            next_view: None,
            standby: settings.standby,
            cell: CellId::default(),
            lives: BTreeMap::new(),
            cells: Vec::new(),
            usable: vec![host],
            claimants: Vec::new(),
            removal_horizon: now,
            book: ClaimBook::new(now, host, incarnation, settings),
            heartbeat_deadline: now,
            last_event: None,
            backlog_deadline: None,
            leaving: false,
        }
    }

    /// Notes that an event happened at `now`; to be called before anything else is decided.
    ///
    /// After a freeze the world may have gone on without this host: its claim is given up until a
    /// heartbeat sent after waking is echoed, and silence during the freeze counts against nobody.
    pub fn observe(&mut self, now: Instant) {
        let last_event = self.last_event.replace(now).unwrap_or(now);
        let gap = now.saturating_duration_since(last_event);
        if gap < FREEZE_GAP {
            return;
        }
        self.backlog_deadline = Some(now + BACKLOG_WINDOW);
        self.heartbeat_deadline = now;
        for life in self.lives.values_mut() {
            life.heard += gap;
        }
        self.book.wake(now);
    }

    /// Whether a datagram read now may have waited while this host was frozen, so that the age it
    /// states is too small by an unknown time.
    pub fn reads_backlog(&self, now: Instant) -> bool {
        self.backlog_deadline.is_some_and(|deadline| now < deadline)
    }

    /// Takes a published list unless it is older than the one known.
    ///
    /// Votes under two sets of members do not mix, so nobody in the cell holds a claim while some
    /// hosts use the old set and some the new. A host therefore waits, up to [`LIST_WAIT`], until
    /// every member that it hears knows the list; then all change within a heartbeat.
    pub fn learn_hosts(&mut self, now: Instant, view: &Arc<HostView>) {
        if view.version < self.known_version() {
            return;
        }
        let same_members = self.members_of(view) == self.book.members();
        if same_members || self.book.is_fresh() {
            self.next_view = None;
            return self.adopt(now, view);
        }
        let first_heard = self.next_view.take();
        let mut next = first_heard.unwrap_or(NextView {
            view: Arc::clone(view),
            hold_deadline: now,
            wait_deadline: now + LIST_WAIT,
        });
        let members = self.members_of(view);
        let adds_members = members.iter().any(|id| !self.book.members().contains(id));
        if adds_members {
            next.hold_deadline = now + self.standby;
        }
        next.view = Arc::clone(view);
        self.next_view = Some(next);
        for id in &members {
            self.watch(now, *id);
        }
        self.adopt_next(now);
    }

    /// Version of the newest list that this host knows.
    fn known_version(&self) -> Version {
        let next = self.next_view.as_ref();
        next.map_or(self.view.version, |next| next.view.version)
    }

    /// Adopts the next list once every member that is heard knows it, or the wait is over.
    fn adopt_next(&mut self, now: Instant) {
        let Some(next) = &self.next_view else {
            return;
        };
        let version = next.view.version;
        let lives = self.lives.values();
        let is_known = lives
            .filter(|life| now < life.heard + SUSPECT_AFTER)
            .all(|life| life.list_version >= version);
        let is_ready = is_known && now >= next.hold_deadline;
        if !is_ready && now < next.wait_deadline {
            return;
        }
        let view = Arc::clone(&next.view);
        self.next_view = None;
        self.adopt(now, &view);
    }

    fn cell_in(&self, view: &HostView) -> CellId {
        view.host(self.host).map_or(self.cell, |own| own.cell)
    }

    fn members_of(&self, view: &HostView) -> Vec<HostId> {
        let cell = self.cell_in(view);
        let published = view.published.iter();
        published
            .filter(|entry| entry.cell == cell)
            .map(|entry| entry.id)
            .take(MAX_CELL)
            .collect()
    }

    fn adopt(&mut self, now: Instant, view: &Arc<HostView>) {
        self.cell = self.cell_in(view);
        self.view = Arc::clone(view);
        let members = self.members_of(view);
        let cells: BTreeSet<CellId> = view.published.iter().map(|entry| entry.cell).collect();
        self.cells = cells.into_iter().collect();
        self.note_removed(now, &members);
        self.lives.retain(|id, _life| members.contains(id));
        for id in &members {
            self.watch(now, *id);
        }
        self.book.set_members(now, &members);
        self.refresh(now);
    }

    /// Begins to exchange heartbeats with a host of the list in use or of the next.
    fn watch(&mut self, now: Instant, id: HostId) {
        if id == self.host {
            return;
        }
        self.book.watch(id);
        self.lives.entry(id).or_insert(PeerLife {
            heard: now,
            leaving_since: None,
            claiming: false,
            list_version: 0,
        });
    }

    fn is_member(&self, id: HostId) -> bool {
        self.book.members().binary_search(&id).is_ok()
    }

    /// Takes a peer's heartbeat; the sender was checked to be published.
    pub fn take(&mut self, now: Instant, sender: HostId, heartbeat: &CellHeartbeat) {
        if !self.book.take(now, sender, heartbeat) {
            return;
        }
        if let Some(life) = self.lives.get_mut(&sender) {
            life.heard = now;
            life.claiming = heartbeat.claiming;
            life.list_version = heartbeat.list_version;
            life.leaving_since = match heartbeat.leaving {
                true => life.leaving_since.or(Some(now)),
                false => None,
            };
        }
        self.adopt_next(now);
        self.refresh(now);
    }

    /// The heartbeats that are due, one for each peer of the cell.
    pub fn tick(&mut self, now: Instant) -> Vec<(HostId, CellHeartbeat)> {
        self.adopt_next(now);
        self.book.tick(now);
        self.refresh(now);
        if now < self.heartbeat_deadline {
            return Vec::new();
        }
        self.heartbeat_deadline = now + HEARTBEAT_INTERVAL;
        self.heartbeats(now)
    }

    /// Announces that this host will stop; the heartbeats say so at once.
    pub fn leave(&mut self, now: Instant) -> Vec<(HostId, CellHeartbeat)> {
        self.leaving = true;
        self.book.leave(now);
        self.refresh(now);
        self.heartbeat_deadline = now + HEARTBEAT_INTERVAL;
        self.heartbeats(now)
    }

    /// The published list in use.
    pub fn view(&self) -> &Arc<HostView> {
        &self.view
    }

    /// The published entry of a host, in the list in use or the next.
    pub fn entry(&self, id: HostId) -> Option<&HostEntry> {
        let next = self.next_view.as_ref();
        self.view
            .host(id)
            .or_else(|| next.and_then(|next| next.view.host(id)))
    }

    /// The cell this host belongs to.
    pub fn cell(&self) -> CellId {
        self.cell
    }

    /// The published members of the own cell, this host included if it is published, ascending.
    pub fn members(&self) -> &[HostId] {
        self.book.members()
    }

    /// The members of the own cell that take new work, ascending; this host while it is not
    /// leaving.
    pub fn usable(&self) -> &[HostId] {
        &self.usable
    }

    /// Whether a host of the own cell was heard of lately, leaving or not.
    pub fn is_heard(&self, now: Instant, id: HostId) -> bool {
        let life = self.lives.get(&id);
        life.is_some_and(|life| now < life.heard + SUSPECT_AFTER)
    }

    /// The members of the own cell that hold their claims, ascending.
    pub fn claimants(&self) -> &[HostId] {
        &self.claimants
    }

    /// The cells of the published hosts, ascending.
    pub fn cells(&self) -> &[CellId] {
        &self.cells
    }

    /// A request first sent before this may have been taken on by a process or host that can no
    /// longer be asked: this host's former process, or a member that was removed.
    pub fn removal_horizon(&self) -> Instant {
        self.removal_horizon
    }

    /// Since when a host of the own cell has said that it is leaving.
    pub fn leaving_since(&self, id: HostId) -> Option<Instant> {
        self.lives.get(&id)?.leaving_since
    }

    /// The claims of the own cell.
    pub fn book(&self) -> &ClaimBook {
        &self.book
    }

    /// A removed member can no longer be asked for its records. It took nothing on after it said
    /// that it was leaving; one that did not say so may act for the length of its claim.
    fn note_removed(&mut self, now: Instant, members: &[HostId]) {
        let removed = self
            .lives
            .iter()
            .filter(|(id, _life)| self.is_member(**id) && !members.contains(id));
        let horizon = removed
            .map(|(_id, life)| {
                life.leaving_since
                    .unwrap_or(now + CLAIM_LENGTH + CLAIM_MARGIN)
            })
            .max();
        self.removal_horizon = horizon.map_or(self.removal_horizon, |horizon| {
            self.removal_horizon.max(horizon)
        });
    }

    fn heartbeats(&mut self, now: Instant) -> Vec<(HostId, CellHeartbeat)> {
        let peers: Vec<HostId> = self.lives.keys().copied().collect();
        let list_version = self.known_version();
        let mut make = |id| {
            let mut heartbeat = self.book.make(now, id);
            heartbeat.list_version = list_version;
            (id, heartbeat)
        };
        peers.into_iter().map(&mut make).collect()
    }

    fn refresh(&mut self, now: Instant) {
        let lives = self.lives.iter();
        self.usable = lives
            .filter(|(id, life)| {
                let published_leaving = self.view.host(**id).is_some_and(|entry| entry.leaving);
                self.is_member(**id)
                    && now < life.heard + SUSPECT_AFTER
                    && life.leaving_since.is_none()
                    && !published_leaving
            })
            .map(|(id, _life)| *id)
            .collect();
        if self.is_member(self.host) && !self.leaving {
            let index = self.usable.partition_point(|id| *id < self.host);
            self.usable.insert(index, self.host);
        }
        let lives = self.lives.iter();
        self.claimants = lives
            .filter(|(id, life)| {
                self.is_member(**id) && now < life.heard + SUSPECT_AFTER && life.claiming
            })
            .map(|(id, _life)| *id)
            .collect();
        if self.book.holds_claim(now) {
            let index = self.claimants.partition_point(|id| *id < self.host);
            self.claimants.insert(index, self.host);
        }
    }
}
