//! Where each flow lives, decided alike by the hosts of a cell without copying every record.
//!
//! A flow that lives where its service's placement table says needs no copy: whoever takes it over
//! derives its upstream from the former owner's baseline. Only exceptions are copied to the host
//! that would take them over, and what remains in doubt is asked of the hosts that may know.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::baseline_book::BaselineBook;
use crate::baseline_book::BaselineEnd;
use crate::baseline_book::FormerBaseline;
use crate::config_snapshot::ConfigSnapshot;
use crate::flow_binding::FlowBinding;
use crate::flow_handover::CopyUrgency;
use crate::flow_handover::FlowHandover;
use crate::flow_message::FlowMessage;
use crate::flow_message::FlowParties;
use crate::flow_question::FlowIntent;
use crate::flow_question::QuestionTable;
use crate::flow_sweep::SweepState;
use crate::flow_table::FlowRecord;
use crate::flow_table::FlowTable;
use crate::ids::FlowDigest;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::owner_view::OwnerView;
use crate::placement_table::PlacementTable;
use crate::placement_table::TableHistory;
use crate::placement_table::TableId;
use crate::upstream_addresses::UpstreamAddresses;
use crate::upstream_addresses::UpstreamReach;

/// How long after a change of owners a copy of an `Open` may still arrive that the former owner has
/// answered: the callers' retransmissions and the lag between hosts.
const OPEN_DOUBT: Duration = Duration::from_secs(10);
/// Bytes a second for copies and baselines, of the few kilobytes that a host may use for control.
const COPY_RATE: u32 = 2_048;
/// When a host that has not replied is greeted again.
const GREET_AGAIN: Duration = Duration::from_millis(500);
/// How many hosts are asked at first; the former and the next owner are nearly always among them.
const FIRST_ASKED: usize = 2;
/// Largest share of a service's flows on one upstream, in percent of the mean, for flows opened
/// here; a flow beyond it is placed elsewhere and becomes an exception.
const LOAD_BOUND: u64 = 105;
/// Flows beyond the bound that are no imbalance: with few flows the bound would place nearly every
/// one as an exception.
const LOAD_SLACK: u64 = 4;

/// What a directory is made with.
#[derive(Clone, Debug)]
pub struct DirectorySettings {
    /// The host.
    pub host: HostId,
    /// Grows with each start of its process.
    pub incarnation: Incarnation,
    /// How long a silent flow is kept.
    pub flow_idle: Duration,
    /// Bytes a second that copies and baselines may take.
    pub copy_rate: u32,
    /// Bytes of them at once.
    pub copy_burst: u32,
}

impl DirectorySettings {
    /// Settings with the usual bounds for copies.
    pub fn new(host: HostId, incarnation: Incarnation, flow_idle: Duration) -> Self {
        Self {
            host,
            incarnation,
            flow_idle,
            copy_rate: COPY_RATE,
            copy_burst: COPY_RATE,
        }
    }
}

/// What is known of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowLookup {
    /// It lives here.
    Found(FlowBinding),
    /// Other hosts are asked; [`FlowOrder::Settled`] follows.
    Asking,
    /// It is not established, or nobody knows where.
    Absent,
    /// Too many questions are open, or those asked are silent; it may be settled later.
    Unsure,
}

/// What a directory wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FlowOrder {
    /// Send a message to a peer.
    Tell {
        /// The peer.
        host: HostId,
        /// Which processes it is between.
        parties: FlowParties,
        /// The message.
        message: FlowMessage,
    },
    /// A question has ended; it is never [`FlowLookup::Asking`].
    Settled {
        /// The flow.
        digest: FlowDigest,
        /// What is known now.
        lookup: FlowLookup,
    },
}

/// What follows from the tables, baselines and former hosts that a host knows.
enum FlowJudgement {
    Place,
    Derive(FlowBinding),
    Ask(Vec<HostId>),
    Nowhere,
}

/// What the baselines of hosts that are gone say of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LegacyPlace {
    /// No host that is gone ranked ahead.
    None,
    /// The oldest of them places it here.
    At(FlowBinding),
    /// The table that the oldest follows is not kept.
    Unknown,
    /// A younger one places it elsewhere, and did not know of the oldest, so that it may not have
    /// copied the flow.
    Conflict,
}

/// The flows of one host and what it knows of others'.
pub struct FlowDirectory {
    pub(crate) settings: DirectorySettings,
    pub(crate) view: OwnerView,
    /// The flows that this host serves, or served until their owner changed.
    pub(crate) flows: FlowTable,
    /// Exceptions that other hosts have copied here.
    pub(crate) copies: FlowTable,
    pub(crate) tables: TableHistory,
    pub(crate) addresses: UpstreamAddresses,
    pub(crate) book: BaselineBook,
    pub(crate) handover: FlowHandover,
    pub(crate) sweep: SweepState,
    pub(crate) questions: QuestionTable,
    /// Until when an `Open` may be a copy of one that a former owner has answered.
    open_doubt_deadline: Option<Instant>,
    pub(crate) renew_deadline: Option<Instant>,
    /// The reachable hosts that know what this process has not been told.
    pub(crate) greeted: BTreeSet<HostId>,
    greet_deadline: Option<Instant>,
    /// The peers that have said that there are tables they have yet to tell this host of.
    pub(crate) unheard: BTreeSet<HostId>,
    /// Tables that peers follow and this host has never seen.
    pub(crate) wanted: BTreeSet<(ServiceId, TableId)>,
    /// The hosts that owned this one's flows before it joined, in ascending order.
    pub(crate) elders: Vec<HostId>,
    /// Until when hosts that it meets are elders.
    meeting_deadline: Option<Instant>,
    /// When the last flow that it took over by joining, and never heard of, is idle.
    pub(crate) inherited_deadline: Option<Instant>,
}

impl FlowDirectory {
    /// Makes an empty one.
    pub fn new(settings: DirectorySettings) -> Self {
        let handover = FlowHandover::new(settings.copy_rate, settings.copy_burst);
        Self {
            view: OwnerView {
                host: settings.host,
                ..OwnerView::default()
            },
            settings,
            flows: FlowTable::default(),
            copies: FlowTable::default(),
            tables: TableHistory::default(),
            addresses: UpstreamAddresses::default(),
            book: BaselineBook::default(),
            handover,
            sweep: SweepState::default(),
            questions: QuestionTable::default(),
            open_doubt_deadline: None,
            renew_deadline: None,
            greeted: BTreeSet::new(),
            greet_deadline: None,
            unheard: BTreeSet::new(),
            wanted: BTreeSet::new(),
            elders: Vec::new(),
            meeting_deadline: None,
            inherited_deadline: None,
        }
    }

    /// Puts a configuration in force.
    pub fn configure(&mut self, config: &ConfigSnapshot) {
        if !self.tables.configure(config).is_empty() {
            self.sweep.restart();
        }
        self.addresses.configure(config);
    }

    /// Puts a view of the cell in force.
    pub fn set_view(&mut self, now: Instant, view: OwnerView, orders: &mut Vec<FlowOrder>) {
        if view == self.view {
            return;
        }
        let former = std::mem::replace(&mut self.view, view);
        self.start_meeting(now);
        if former.eligible != self.view.eligible {
            self.open_doubt_deadline = Some(now + OPEN_DOUBT);
        }
        for host in &former.reachable {
            if self.view.reachable.binary_search(host).is_err() {
                self.lose_peer(now, *host, orders);
            }
        }
        self.greet_deadline = None;
        self.greet(now, orders);
        self.sweep.restart();
    }

    /// Tells hosts that have not replied yet that this one has forgotten what they told it, and asks
    /// those that had more to say whether they have said it.
    pub(crate) fn greet(&mut self, now: Instant, orders: &mut Vec<FlowOrder>) {
        if self.greet_deadline.is_some_and(|deadline| now < deadline) {
            return;
        }
        self.greet_deadline = Some(now + GREET_AGAIN);
        for host in &self.view.reachable {
            if !self.greeted.contains(host) {
                self.tell(*host, FlowMessage::Hello, orders);
            } else if self.unheard.contains(host) {
                // An empty message is confirmed like any other, with whether all is said by now.
                let message = FlowMessage::Baselines {
                    sequence: 0,
                    tables: Vec::new(),
                };
                self.tell(*host, message, orders);
            }
        }
        self.want_tables(orders);
    }

    /// Remembers whose flows this host takes over by joining.
    ///
    /// Such a flow may stay silent for an hour while the tables change and its former owner, which
    /// has been told that this host derives it, forgets it. Only what the former owner said when
    /// this host joined still tells where it lives.
    pub(crate) fn meet_elder(&mut self, now: Instant, host: HostId) {
        let is_new = self.meeting_deadline.is_some_and(|end| now < end);
        if let Err(index) = self.elders.binary_search(&host)
            && is_new
        {
            self.elders.insert(index, host);
        }
    }

    fn start_meeting(&mut self, now: Instant) {
        self.meeting_deadline.get_or_insert(now + OPEN_DOUBT);
        let inherited = self
            .inherited_deadline
            .get_or_insert(now + self.settings.flow_idle);
        if *inherited <= now {
            self.elders.clear();
        }
    }

    /// Where a flow lives, after moving its idle deadline.
    pub fn lookup(
        &mut self,
        now: Instant,
        digest: FlowDigest,
        service: ServiceId,
        intent: FlowIntent,
        orders: &mut Vec<FlowOrder>,
    ) -> FlowLookup {
        if let Some(record) = self.held(now, digest) {
            return FlowLookup::Found(record.binding);
        }
        if self.questions.contains(digest) {
            return FlowLookup::Asking;
        }
        match self.judge(now, digest, service, intent) {
            FlowJudgement::Place => self.place(now, digest, service),
            FlowJudgement::Derive(binding) => self.adopt(now, digest, binding),
            FlowJudgement::Nowhere => FlowLookup::Absent,
            FlowJudgement::Ask(_hosts) if self.questions.is_full() => FlowLookup::Unsure,
            FlowJudgement::Ask(mut hosts) => {
                let later = hosts.split_off(hosts.len().min(FIRST_ASKED));
                let later = match intent {
                    FlowIntent::Open => Vec::new(),
                    FlowIntent::Established => later,
                };
                self.questions
                    .open(now, digest, service, intent, &hosts, &later);
                self.ask(digest, service, intent, &hosts, orders);
                FlowLookup::Asking
            }
        }
    }

    /// Whether this host has a record of a flow, without asking or touching anything.
    pub fn peek(&self, now: Instant, digest: FlowDigest) -> Option<FlowRecord> {
        let own = self.flows.get(now, digest);
        own.or_else(|| self.copies.get(now, digest))
    }

    /// Whether a frame of an opened flow would have to wait for other hosts' answers.
    pub fn is_in_doubt(&self, now: Instant, digest: FlowDigest, service: ServiceId) -> bool {
        let intent = FlowIntent::Established;
        self.peek(now, digest).is_none()
            && matches!(
                self.judge(now, digest, service, intent),
                FlowJudgement::Ask(_)
            )
    }

    /// Ends a flow and returns where it lived.
    pub fn close(&mut self, digest: FlowDigest) -> Option<FlowBinding> {
        let copy = self.copies.remove(digest);
        let record = self.flows.remove(digest).or(copy)?;
        Some(record.binding)
    }

    /// Where frames of a binding's flows go.
    pub fn reach(&self, binding: FlowBinding) -> UpstreamReach {
        self.process_reach(binding.upstream, binding.incarnation)
    }

    /// Where an upstream process is reached.
    pub fn process_reach(&self, upstream: UpstreamId, incarnation: Incarnation) -> UpstreamReach {
        self.addresses.reach(upstream, incarnation)
    }

    /// Where a flow that this host has a record of lives, overdue or not.
    pub fn binding(&self, digest: FlowDigest) -> Option<FlowBinding> {
        self.flows.binding(digest)
    }

    /// How many flows are held, copies not included.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow is held.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// How many exceptions of other hosts are held for them.
    pub fn copies(&self) -> usize {
        self.copies.len()
    }

    /// Whether every flow held here can be taken over without this host.
    pub fn is_handed_over(&self) -> bool {
        let alone = self
            .view
            .eligible
            .iter()
            .all(|host| *host == self.view.host);
        let has_heard_all = self
            .view
            .reachable
            .iter()
            .all(|host| !self.unheard.contains(host));
        alone || (self.sweep.is_clean() && self.handover.is_idle() && has_heard_all)
    }

    pub(crate) fn held(&mut self, now: Instant, digest: FlowDigest) -> Option<FlowRecord> {
        let deadline = now + self.settings.flow_idle;
        if let Some(record) = self.flows.touch(now, digest, deadline) {
            return Some(record);
        }
        let copy = self.copies.get(now, digest)?;
        self.copies.remove(digest);
        self.hold(now, digest, copy.binding);
        Some(copy)
    }

    /// Holds a flow from now on, and has it copied if its heir could not derive it.
    pub(crate) fn hold(&mut self, now: Instant, digest: FlowDigest, binding: FlowBinding) {
        let record = FlowRecord {
            binding,
            idle_deadline: now + self.settings.flow_idle,
        };
        self.flows.insert(now, digest, record);
        if let Some(heir) = self.view.heir(digest)
            && !self.heir_derives(heir, digest, binding)
        {
            self.handover.copy(heir, digest, CopyUrgency::Now);
        }
    }

    /// Whether a host that takes the flow over would derive the same upstream now and after the
    /// next baseline.
    ///
    /// It must agree with the tables that the heir keeps for flows of hosts that are gone too: a
    /// silent flow of theirs and one opened later could not be told apart, so the later is copied.
    pub(crate) fn heir_derives(
        &self,
        heir: HostId,
        digest: FlowDigest,
        binding: FlowBinding,
    ) -> bool {
        let newest = self.tables.newest(binding.service);
        if newest.and_then(|table| table.place(digest)) != Some(binding) {
            return false;
        }
        let told = self.handover.told(heir, binding.service);
        let heard = self.book.present(heir, binding.service);
        let own = self.baseline(binding.service);
        let mut sets = [told, heard, Some(own.as_slice())].into_iter().flatten();
        sets.all(|tables| self.tables_agree(binding.service, tables, digest, Some(binding)))
    }

    pub(crate) fn tables_agree(
        &self,
        service: ServiceId,
        tables: &[TableId],
        digest: FlowDigest,
        place: Option<FlowBinding>,
    ) -> bool {
        let newest = self.tables.newest(service).map(PlacementTable::id);
        tables.iter().all(|id| {
            // The common case needs no second evaluation of a table with many members.
            let table = self.tables.find(service, *id);
            Some(*id) == newest || table.is_some_and(|table| table.place(digest) == place)
        })
    }

    /// Places a new flow by the table in force, elsewhere if that upstream has too many already.
    pub(crate) fn place(
        &mut self,
        now: Instant,
        digest: FlowDigest,
        service: ServiceId,
    ) -> FlowLookup {
        let Some(table) = self.tables.newest(service) else {
            return FlowLookup::Absent;
        };
        let members = table.members().len() as u64;
        let flows = u64::from(self.flows.service_flows(service)) + 1;
        let bound = (flows * LOAD_BOUND).div_ceil(100 * members.max(1)) + LOAD_SLACK;
        let has_room = |binding: FlowBinding| u64::from(self.flows.flows_on(binding)) < bound;
        let preferred = table.place(digest);
        let chosen = preferred.filter(|binding| has_room(*binding)).or_else(|| {
            table.place_where(digest, |member| {
                has_room(FlowBinding {
                    service,
                    upstream: member.upstream,
                    incarnation: member.incarnation,
                })
            })
        });
        match chosen.or(preferred) {
            Some(binding) => self.adopt(now, digest, binding),
            None => FlowLookup::Absent,
        }
    }

    pub(crate) fn adopt(
        &mut self,
        now: Instant,
        digest: FlowDigest,
        binding: FlowBinding,
    ) -> FlowLookup {
        self.hold(now, digest, binding);
        FlowLookup::Found(binding)
    }

    /// Decides what a missing record means.
    ///
    /// A flow that was opened must not be placed anew while another host holds its record: its
    /// frames would reach two upstreams. So a flow is derived only if every host that may hold it
    /// has said that its flows follow tables which agree for this one; all others are asked for.
    fn judge(
        &self,
        now: Instant,
        digest: FlowDigest,
        service: ServiceId,
        intent: FlowIntent,
    ) -> FlowJudgement {
        let in_doubt = self
            .open_doubt_deadline
            .is_some_and(|deadline| now < deadline);
        if intent == FlowIntent::Open && !in_doubt {
            return FlowJudgement::Place;
        }
        let newest = self.tables.newest(service);
        let place = newest.and_then(|table| table.place(digest));
        let hosts = self.view.ranked_peers(digest);
        // Exceptions are copied to the owner and its heir alone; a host that serves a frame because
        // views differ, or because it holds the claim, has to ask.
        let is_owner = self.view.owner(digest) == self.settings.host;
        let legacy = self.legacy_place(digest, service);
        let is_derivable =
            legacy == LegacyPlace::None || Some(legacy) == place.map(LegacyPlace::At);
        let vouches = |host: &HostId| self.vouches(*host, digest, service, place);
        if hosts.is_empty() || is_owner && is_derivable && hosts.iter().all(vouches) {
            return self.unasked(intent, legacy, place);
        }
        // All are asked, not only those in doubt: the one that holds it mostly ranks first.
        FlowJudgement::Ask(hosts)
    }

    /// Whether a host has said that its flows follow tables that place this one at `place`.
    fn vouches(
        &self,
        host: HostId,
        digest: FlowDigest,
        service: ServiceId,
        place: Option<FlowBinding>,
    ) -> bool {
        let baseline = self.book.present(host, service);
        baseline.is_some_and(|told| self.tables_agree(service, told, digest, place))
    }

    /// Where this host would derive an opened flow of which nobody holds a record.
    ///
    /// Exceptions always have a record at a host that lives, so that a flow without any follows a
    /// table. A host that has just started does not know yet which, and one that has heard of a
    /// table that places the flow elsewhere leaves it to those who keep that table.
    pub(crate) fn derive_unheld(
        &self,
        now: Instant,
        digest: FlowDigest,
        service: ServiceId,
    ) -> Option<FlowBinding> {
        match self.legacy_place(digest, service) {
            LegacyPlace::At(binding) => Some(binding),
            LegacyPlace::Unknown | LegacyPlace::Conflict => None,
            LegacyPlace::None => {
                let has_met_all = self.meeting_deadline.is_some_and(|end| end <= now);
                let place = self.tables.newest(service)?.place(digest);
                let contradicts = |host: &HostId| {
                    let told = self.book.present(*host, service);
                    told.is_some_and(|told| !self.tables_agree(service, told, digest, place))
                };
                let is_certain = has_met_all && !self.view.reachable.iter().any(contradicts);
                place.filter(|_binding| is_certain)
            }
        }
    }

    fn unasked(
        &self,
        intent: FlowIntent,
        legacy: LegacyPlace,
        place: Option<FlowBinding>,
    ) -> FlowJudgement {
        match (intent, legacy) {
            (FlowIntent::Open, LegacyPlace::At(binding)) if self.is_member(binding) => {
                FlowJudgement::Derive(binding)
            }
            (FlowIntent::Open, _) => FlowJudgement::Place,
            (FlowIntent::Established, LegacyPlace::At(binding)) => FlowJudgement::Derive(binding),
            (FlowIntent::Established, LegacyPlace::Unknown | LegacyPlace::Conflict) => {
                FlowJudgement::Nowhere
            }
            (FlowIntent::Established, LegacyPlace::None) => {
                place.map_or(FlowJudgement::Nowhere, FlowJudgement::Derive)
            }
        }
    }

    /// Whether an upstream takes new flows.
    pub(crate) fn is_member(&self, binding: FlowBinding) -> bool {
        let table = self.tables.newest(binding.service);
        table.is_some_and(|table| {
            table.members().iter().any(|member| {
                member.upstream == binding.upstream && member.incarnation == binding.incarnation
            })
        })
    }

    /// Where hosts from which this one took flows over, by their end or by joining, say that a
    /// flow lived.
    ///
    /// The oldest table of the oldest process decides: a flow opened after that process was gone,
    /// and placed elsewhere, was copied by the rule of [`Self::heir_derives`], so that one without
    /// a copy is the older.
    pub(crate) fn legacy_place(&self, digest: FlowDigest, service: ServiceId) -> LegacyPlace {
        let elder = OwnerView::first_of(digest, &self.elders);
        let inherits = |former: &&FormerBaseline| {
            let is_ahead = self.view.is_ahead(digest, former.host);
            match former.end {
                BaselineEnd::HostGone => is_ahead || elder == Some(former.host),
                BaselineEnd::Replaced => !is_ahead && elder == Some(former.host),
            }
        };
        let mut inherited = self.book.former(service).filter(inherits);
        let Some(oldest) = inherited.next() else {
            return LegacyPlace::None;
        };
        let last = oldest.tables.last();
        let table = last.and_then(|id| self.tables.find(service, *id));
        let Some(binding) = table.and_then(|table| table.place(digest)) else {
            return LegacyPlace::Unknown;
        };
        let agrees = |former: &FormerBaseline| {
            former.informed || self.tables_agree(service, &former.tables, digest, Some(binding))
        };
        if inherited.all(agrees) {
            LegacyPlace::At(binding)
        } else {
            LegacyPlace::Conflict
        }
    }

    /// Keeps what a peer said for the flows it leaves behind.
    pub(crate) fn bury(&mut self, now: Instant, host: HostId) {
        let services: Vec<ServiceId> = self.tables.services().collect();
        let informed: BTreeSet<ServiceId> = services
            .into_iter()
            .filter(|service| self.is_told(host, *service))
            .collect();
        let deadline = now + self.settings.flow_idle;
        self.book
            .bury(host, deadline, |service| informed.contains(&service));
    }

    /// Whether a peer knows every table that flows held here may follow, by this host's word or
    /// because it follows the table itself.
    fn is_told(&self, host: HostId, service: ServiceId) -> bool {
        let told = self.handover.told(host, service).unwrap_or_default();
        let present = self.book.present(host, service).unwrap_or_default();
        let own = self.baseline(service);
        own.iter()
            .all(|id| told.contains(id) || present.contains(id))
    }

    /// Whether a peer does not know all tables that flows held here may follow.
    pub(crate) fn has_unsaid(&self, host: HostId) -> bool {
        self.tables
            .services()
            .any(|service| !self.is_told(host, service))
    }

    /// Keeps what a peer said for the flows it leaves behind, and stops waiting for it.
    fn lose_peer(&mut self, now: Instant, host: HostId, orders: &mut Vec<FlowOrder>) {
        self.bury(now, host);
        self.handover.restart_peer(host);
        self.greeted.remove(&host);
        self.unheard.remove(&host);
        for digest in self.questions.flows() {
            self.take_denial(now, host, digest, orders);
        }
    }
}
