//! Decides what an entry host does with each packet.
//!
//! The inputs are packets, published state and ticks, each with the current time; the outputs are
//! actions and events. The same inputs at the same times give the same outputs.

use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::ids::Version;
use lagoonproxy::ids::ZoneName;
use lagoonproxy::result_code::ResultCode;
use xxhash_rust::xxh3::xxh3_64;

use crate::admission::admission_state::AdmissionState;
use crate::admission::syn_deferral::SynDeferralQuery;
use crate::admission::syn_deferral::is_deferred;
use crate::admission::warmup_admission::WarmupTolerance;
use crate::core_dispatch::DispatchState;
use crate::core_dispatch::DispatchStep;
use crate::core_load::SelectedSyn;
use crate::flows::flow_table::FlowKey;
use crate::flows::flow_tracker::FlowTracker;
use crate::host_settings::HostSettings;
use crate::ids::ServiceIndex;
use crate::ids::UpstreamIndex;
use crate::load::load_tracker::LoadTracker;
use crate::load::load_tracker::RequestEnd;
use crate::packet_action::DecisionEvent;
use crate::packet_action::FlowReset;
use crate::packet_action::PacketAction;
use crate::packet_action::PacketOutput;
use crate::packet_action::RefusalTrigger;
use crate::packet_action::UpstreamChange;
use crate::packet_head::PacketHead;
use crate::packet_head::PacketKind;
use crate::peers::peer_table::PeerTable;
use crate::policy_config::PolicyConfig;
use crate::routes::route_table::RouteTable;
use crate::selection::upstream_selection::FlowSelection;
use crate::selection::upstream_selection::SelectionQuery;
use crate::selection::upstream_selection::exceeds_panic_threshold;
use crate::selection::upstream_selection::select_upstream;
use crate::selection::zone_spill::ZoneSpill;
use crate::state::read_role::ReadRole;
use crate::state::start_plan::StartPlan;
use crate::state::state_confirmation::StateConfirmation;
use crate::state::state_snapshot::StateSnapshot;
use crate::state::store_feed::SentWatch;
use crate::state::store_feed::StoreFeed;
use crate::upstreams::upstream_record::RegistrationState;
use crate::upstreams::upstream_record::UpstreamRecord;
use crate::upstreams::upstream_table::UpstreamTable;

/// How long the store must have confirmed the published state before what is missing from it does
/// not exist. Registrations that lapsed during an outage of the store are back within two
/// seconds, and a host that reads late needs as long again.
const MIN_SYNCED_TIME: Duration = Duration::from_secs(5);

/// Time without a tick or a packet from which the process counts as stalled. Pauses of a host that
/// has used up its CPU quota are shorter.
const STALL_THRESHOLD: Duration = Duration::from_millis(400);

/// Difference between the monotonic clock and the clock that continues during a freeze above which
/// the process was frozen.
pub const FREEZE_THRESHOLD: Duration = Duration::from_millis(100);

/// The state and the decisions of one entry host.
pub struct PacketCore {
    /// The published state.
    pub(crate) snapshot: StateSnapshot,
    pub(crate) upstreams: UpstreamTable,
    pub(crate) routes: RouteTable,
    /// The flows that pass through this host.
    pub(crate) flow_tracker: FlowTracker,
    pub(crate) peers: PeerTable,
    pub(crate) load: LoadTracker,
    pub(crate) dispatch: DispatchState,
    pub(crate) spill: ZoneSpill,
    pub(crate) admission: AdmissionState,
    pub(crate) zone: ZoneName,
    /// All zones that the settings name.
    pub(crate) zones: Vec<ZoneName>,
    /// CPU share of this host, in thousandths of a core.
    pub(crate) capacity: u32,
    /// Whether this host is the reader of its zone.
    pub(crate) role: ReadRole,
    /// Time of the last tick or packet.
    pub(crate) last_event: Option<Instant>,
    pub(crate) feed: StoreFeed,
    /// How this host obtains its first state.
    pub(crate) start_plan: StartPlan,
    /// Whether the store responded to this host's last call; false before its first call as the
    /// reader of the zone.
    pub(crate) store_reachable: bool,
    /// Whether this host, as the reader, has announced to its zone that the store does not respond.
    pub(crate) announced_lost: bool,
    /// The last watch that was sent to the store; `None` before the first.
    pub(crate) last_watch: Option<SentWatch>,
    /// The store's confirmations of the published state, received directly or through the zone's
    /// reader.
    pub(crate) confirmation: StateConfirmation,
    /// Version of the routes in force; 0 before the first.
    pub(crate) version: Version,
    /// When this host obtained its first state; `None` before.
    pub(crate) state_since: Option<Instant>,
    pub(crate) warmup_tolerance: Option<WarmupTolerance>,
    /// Number of failed requests at the last failure report.
    pub(crate) failures_reported: u64,
    /// Earliest time of the next failure report.
    pub(crate) next_report: Option<Instant>,
}

impl PacketCore {
    /// Creates a host without any state.
    pub fn new(settings: &HostSettings, config: PolicyConfig) -> Self {
        Self {
            snapshot: StateSnapshot::default(),
            upstreams: UpstreamTable::new(settings.zone.clone(), settings.max_flow_age, config),
            routes: RouteTable::default(),
            flow_tracker: FlowTracker::default(),
            load: LoadTracker::new(config.exchange).with_capacity(settings.capacity),
            dispatch: DispatchState::default(),
            spill: ZoneSpill::new(settings.zone.clone(), config.spill),
            admission: AdmissionState::new(config.classes),
            peers: PeerTable::new(
                settings.peer_address,
                settings.zone.clone(),
                settings.seed_peers.clone(),
            ),
            zone: settings.zone.clone(),
            zones: settings.zones.clone(),
            capacity: settings.capacity,
            role: ReadRole::new(settings.peer_address, &settings.zone, settings.capacity),
            last_event: None,
            feed: StoreFeed::default(),
            start_plan: StartPlan::new(*settings.peer_address.ip()),
            store_reachable: false,
            announced_lost: false,
            last_watch: None,
            confirmation: StateConfirmation::default(),
            version: 0,
            state_since: None,
            warmup_tolerance: settings.warmup_tolerance,
            failures_reported: 0,
            next_report: None,
        }
    }

    /// Whether this host holds a complete state, so that it can place flows.
    pub fn is_ready(&self) -> bool {
        self.snapshot.is_complete()
    }

    /// The published state that this host holds.
    pub fn snapshot(&self) -> &StateSnapshot {
        &self.snapshot
    }

    /// The upstreams that this host knows.
    pub fn upstreams(&self) -> &UpstreamTable {
        &self.upstreams
    }

    /// The peers that this host knows.
    pub fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// Applies changed settings: seed peers, zones and the warm-up tolerance. The others require a
    /// restart.
    pub fn reload(&mut self, settings: &HostSettings) {
        self.peers.set_seeds(settings.seed_peers.clone());
        self.zones.clone_from(&settings.zones);
        self.warmup_tolerance = settings.warmup_tolerance;
        if let Some(config) = self.snapshot.routes().cloned() {
            self.apply_warmups(&config);
        }
    }

    /// The flows that this host tracks.
    pub fn flow_tracker(&self) -> &FlowTracker {
        &self.flow_tracker
    }

    /// Detects by the clock that the process was stalled, by a freeze or for lack of CPU time.
    ///
    /// Called for each packet, because packets that have queued up during a stall are read before
    /// the next tick. Among them are retransmissions of requests that were answered through other
    /// hosts, or that this host did not forward; they would count as unanswered attempts.
    pub(crate) fn detect_stall(&mut self, now: Instant) {
        let last = self.last_event.replace(now);
        if last.is_some_and(|last| now.saturating_duration_since(last) >= STALL_THRESHOLD) {
            self.handle_stall(now);
        }
    }

    /// Resets the state that depends on observations without gaps, after a stall of this process.
    /// No upstream's silence during the stall counts, and the published state may have changed.
    pub fn handle_stall(&mut self, now: Instant) {
        self.confirmation.restart(now);
        self.upstreams.reset_detectors();
        self.load.reset();
        self.dispatch = DispatchState::default();
        self.spill.reset();
        self.admission.handle_stall(now);
        self.flow_tracker.reset_waits(now);
    }

    /// Expires and updates all state that depends on time. To be called several times a second.
    pub fn tick(&mut self, now: Instant, output: &mut PacketOutput) {
        self.detect_stall(now);
        self.upstreams.merge_reports(self.peers.local_reports(now));
        let confirmed_at = self.confirmation.span().map(|span| span.confirmed_at);
        let expired = self.upstreams.tick(now, confirmed_at);
        for index in expired.removed {
            self.load.remove_upstream(index);
            self.dispatch.ledger.remove_upstream(index);
        }
        for (index, before) in expired.deregistered {
            self.record_registration(now, index, before, UpstreamChange::Gone, output);
        }
        for index in expired.registered {
            self.record_upstream(now, index, UpstreamChange::Registered, output);
        }
        for zone in self.upstreams.expire_evacuations(now, confirmed_at) {
            self.record_evacuation(&zone, false, output);
        }
        self.claim_warmups(now);
        let idle = self.snapshot.routes().map(|routes| routes.flow_idle);
        let ejected = self.flow_tracker.tick(now, idle, &mut self.upstreams);
        for index in ejected {
            self.record_upstream(now, index, UpstreamChange::Avoided, output);
        }
        for index in self.upstreams.detect_outliers(now) {
            let change = match self.upstreams.get(index).outlier_detector.is_failing() {
                true => UpstreamChange::Failing,
                false => UpstreamChange::Serving,
            };
            self.record_upstream(now, index, change, output);
        }
        self.tick_load(now, output);
        self.tick_dispatch(now);
        self.decide_role(now, output);
        self.follow_reader(now);
        self.reset_lost_flows(now, output);
    }

    /// Resets the flows of lost upstreams, including idle ones.
    ///
    /// Callers keep flows open between requests. If a caller sends a non-idempotent request on a
    /// flow to a dead upstream, the request fails, since nobody can tell whether it ran. On a new
    /// flow it would be served, so the caller is notified before it sends.
    fn reset_lost_flows(&mut self, now: Instant, output: &mut PacketOutput) {
        let lost: Vec<UpstreamIndex> = self
            .upstreams
            .indices()
            .filter(|index| self.upstreams.get(*index).has_flows() && self.is_lost(now, *index))
            .collect();
        for index in lost {
            let code = ResultCode::UpstreamSilent;
            let ended = self
                .flow_tracker
                .end_upstream_flows(index, &mut self.upstreams);
            for (key, acked) in ended {
                let (caller, service) = (key.caller, key.service);
                output.resets.push(FlowReset {
                    caller,
                    service,
                    acked,
                    code,
                });
                let trigger = RefusalTrigger::Upstream;
                self.record_refused(now, key, trigger, Some(index), code, output);
            }
        }
    }

    /// Handles a packet from a caller, and adds the resulting actions and events to the output.
    pub fn handle_packet(&mut self, now: Instant, head: &PacketHead, output: &mut PacketOutput) {
        self.detect_stall(now);
        if !self.snapshot.is_complete() {
            output.actions.push(PacketAction::Drop {
                code: ResultCode::NoConfig,
            });
            return;
        }
        match head.kind {
            PacketKind::Open => self.handle_syn(now, head, output),
            PacketKind::Established | PacketKind::Abort => self.handle_in_flow(now, head, output),
            PacketKind::Foreign => output.actions.push(PacketAction::Drop {
                code: ResultCode::FrameMalformed,
            }),
        }
    }

    fn handle_syn(&mut self, now: Instant, head: &PacketHead, output: &mut PacketOutput) {
        let key = FlowKey::of(head);
        if let Some(flow) = self.flow_tracker.flow(&key) {
            let upstream = flow.upstream;
            self.forward_late_syn(head, upstream, output);
            return;
        }
        let flow_hash = flow_hash(&key);
        let Some(service) = self.routes.service(head.service, flow_hash) else {
            let may_reset = self.is_route_gone(now, head.service);
            self.refuse_syn(now, head, ResultCode::ServiceUnknown, may_reset, output);
            return;
        };
        let observations = match self.dispatch.is_resumed {
            true => self.flow_tracker.earlier_attempts(&key),
            false => self
                .flow_tracker
                .syn_retransmitted(now, &key, &mut self.upstreams),
        };
        for index in observations.ejected.iter().copied() {
            self.record_upstream(now, index, UpstreamChange::Avoided, output);
        }
        let local_hosts = self.peers.local_hosts(now) as u32;
        let contention = self.load.contention(now, service);
        let spill_zone = self.spill.target(service, flow_hash).cloned();
        let query = SelectionQuery {
            now,
            service,
            flow_hash,
            tried: &observations.tried,
            local_hosts,
            contention,
            spill_zone: spill_zone.as_ref(),
        };
        let Some(mut selection) = select_upstream(&self.upstreams, query) else {
            let code = self.no_upstream_code(now, service);
            self.refuse_syn(now, head, code, false, output);
            return;
        };
        let mut syn = SelectedSyn {
            head,
            flow_hash,
            service,
            contention,
            observations: &observations,
            upstream: selection.first,
            has_free_slot: selection.has_free_slot,
            is_dispatched: false,
        };
        if contention.is_contended && query.spill_zone.is_none() {
            match self.dispatch_syn(now, syn, output) {
                DispatchStep::Wait => return,
                step @ (DispatchStep::Defer | DispatchStep::Refuse) => {
                    let Some(overflow) = self.overflow_selection(query) else {
                        let deferred = step == DispatchStep::Defer;
                        self.limit_syn(now, syn, deferred, output);
                        return;
                    };
                    selection = overflow;
                    syn.upstream = overflow.first;
                    syn.is_dispatched = true;
                }
                DispatchStep::Place(index) => {
                    selection.first = index;
                    selection.second = selection.second.filter(|second| *second != index);
                    syn.upstream = index;
                    syn.is_dispatched = true;
                }
                DispatchStep::Local => {}
            }
        }
        if !contention.is_contended && self.defers_late_syn(now, syn, output) {
            return;
        }
        if !self.admits_class(now, syn, output) {
            return;
        }
        let second = selection
            .second
            .filter(|second| self.admits_hedge(now, contention, *second));
        self.record_placed(
            now,
            head,
            selection.first,
            second.is_some(),
            syn.is_dispatched,
            output,
        );
        for index in std::iter::once(selection.first).chain(second) {
            self.flow_tracker
                .syn_forwarded(now, key, index, &mut self.upstreams);
            self.upstreams.flow_placed(now, index);
            self.forward(head, index, output);
        }
        let probed =
            second.filter(|second| self.upstreams.get(*second).failure_detector.is_ejected());
        if let Some(second) = probed {
            self.upstreams.probe_sent(second, now);
        }
    }

    /// Selects an upstream in another zone for a new flow that finds no capacity in this one.
    /// Returns `None` if no flows of the service spill to another zone, or if that zone has no
    /// usable upstream.
    fn overflow_selection(&self, query: SelectionQuery<'_>) -> Option<FlowSelection> {
        let zone = self.spill.overflow_target(query.service, query.flow_hash)?;
        let query = SelectionQuery {
            spill_zone: Some(zone),
            ..query
        };
        let selection = select_upstream(&self.upstreams, query)?;
        let is_in_zone = self.upstreams.get(selection.first).zone == *zone;
        is_in_zone.then_some(selection)
    }

    /// Whether a late SYN retransmission is deferred to the caller's next one, since the upstream
    /// has no free capacity. Adds the deferral to the output.
    fn defers_late_syn(
        &self,
        now: Instant,
        syn: SelectedSyn<'_>,
        output: &mut PacketOutput,
    ) -> bool {
        let head = syn.head;
        let record = self.upstreams.get(syn.upstream);
        let query = SynDeferralQuery {
            transmission: head.ack,
            objective: self.routes.objective(head.service),
            placed_before: !syn.observations.tried.is_empty(),
            requests: record.requests(self.peers.local_hosts(now) as u32),
            slots: record.slots,
        };
        if !is_deferred(&self.upstreams.config().admission, &query) {
            return false;
        }
        let code = ResultCode::QueueFull;
        output.actions.push(PacketAction::Drop { code });
        self.record_deferred(head, syn.upstream, query, output);
        true
    }

    /// Handles a SYN that arrives after its flow was opened. The flow does not need it any more, so
    /// it is not forwarded to an evacuated zone.
    fn forward_late_syn(&self, head: &PacketHead, index: UpstreamIndex, output: &mut PacketOutput) {
        let zone = &self.upstreams.get(index).zone;
        if self.upstreams.evacuated().contains_key(zone) {
            let code = ResultCode::ZoneEvacuated;
            output.actions.push(PacketAction::Drop { code });
            return;
        }
        self.forward(head, index, output);
    }

    /// Returns the reason why a service has no upstream for a new flow.
    fn no_upstream_code(&self, now: Instant, service: ServiceIndex) -> ResultCode {
        let evacuated = &self.upstreams.pool(service).evacuated;
        let mut members = evacuated.iter().map(|index| self.upstreams.get(*index));
        if self.upstreams.has_warming_upstreams(now, service) {
            ResultCode::UpstreamsWarming
        } else if members.any(UpstreamRecord::takes_flows) {
            ResultCode::ZoneEvacuated
        } else {
            ResultCode::NoUpstream
        }
    }

    fn handle_in_flow(&mut self, now: Instant, head: &PacketHead, output: &mut PacketOutput) {
        let key = FlowKey::of(head);
        if self.is_route_gone(now, head.service) {
            self.flow_tracker.remove_flow(&key, &mut self.upstreams);
            self.refuse(now, head, None, ResultCode::ServiceUnknown, output);
            return;
        }
        let Some(index) = self.upstreams.by_tag(head.tag) else {
            self.handle_unknown_tag(now, head, output);
            return;
        };
        let is_contended = {
            let service = self.upstreams.get(index).service;
            self.upstreams.pool(service).is_contended
        };
        let before = is_contended.then(|| self.waiting_upstream(&key)).flatten();
        let observations =
            self.flow_tracker
                .handle_packet(now, key, head, index, &mut self.upstreams);
        if is_contended {
            let answered = observations.response_time.is_some();
            self.report_request(now, &key, flow_hash(&key), before, answered);
        }
        if let Some(took) = observations.response_time {
            output.events.push(DecisionEvent::Answered { took });
            self.record_request(now, head, index, RequestEnd::Answered(took));
        }
        if observations.shed {
            self.record_request(now, head, index, RequestEnd::Shed);
        }
        if observations.failed {
            self.record_request(now, head, index, RequestEnd::Failed);
        }
        if let Some(waited) = observations.retransmitted_after {
            self.record_retransmission(now, head, index, waited, output);
        }
        if observations.recovered {
            self.upstreams.restart_warmup(now, index);
            self.record_upstream(now, index, UpstreamChange::Answers, output);
        }
        if observations.ejected {
            self.record_upstream(now, index, UpstreamChange::Avoided, output);
        }
        if head.data_len > 0 && self.is_lost(now, index) {
            self.flow_tracker.remove_flow(&key, &mut self.upstreams);
            self.refuse(now, head, Some(index), ResultCode::UpstreamSilent, output);
            return;
        }
        self.forward(head, index, output);
    }

    /// Whether an address no longer has a route. A configuration that lacks it may also be older
    /// than the one under which a flow was opened.
    fn is_route_gone(&self, now: Instant, address: SocketAddrV4) -> bool {
        if self.routes.contains(address) {
            return false;
        }
        let min_time = match self.routes.is_removed(address) {
            true => Duration::ZERO,
            false => MIN_SYNCED_TIME,
        };
        self.is_in_sync(now, min_time)
    }

    /// Whether the store has confirmed the published state for at least `min_time`, up to now. A
    /// state that a peer is ahead of is older than what other hosts may have acted on.
    fn is_in_sync(&self, now: Instant, min_time: Duration) -> bool {
        self.confirmation.is_confirmed_for(now, min_time)
            && !self.peers.has_newer_state(now, &self.snapshot.query())
    }

    /// Handles a packet whose tag belongs to no known upstream. The upstream may have deregistered
    /// before this host started, or this host may not know it yet. The flow is therefore reset only
    /// once the store has confirmed the state for [`MIN_SYNCED_TIME`].
    fn handle_unknown_tag(&mut self, now: Instant, head: &PacketHead, output: &mut PacketOutput) {
        if head.kind == PacketKind::Established && self.is_in_sync(now, MIN_SYNCED_TIME) {
            self.refuse(now, head, None, ResultCode::FlowUnknown, output);
            return;
        }
        output.actions.push(PacketAction::Drop {
            code: ResultCode::FlowUnknown,
        });
    }

    /// Whether the flows of an upstream are reset, so that their callers open new ones at once
    /// instead of waiting for their deadlines.
    ///
    /// Needs two signs. A registration also ends if its upstream writes late, and a busy upstream
    /// responds late; one that nobody asks is silent anyway.
    fn is_lost(&self, now: Instant, index: UpstreamIndex) -> bool {
        let record = self.upstreams.get(index);
        if !matches!(record.registration, RegistrationState::Deregistered { .. }) {
            return false;
        }
        let config = &self.upstreams.config().detector;
        record.failure_detector.is_unresponsive(config, now)
            && !self.is_own_path_suspect(record.service)
            && self.is_in_sync(now, Duration::ZERO)
    }

    /// Whether more upstreams of a service than the panic threshold are silent, so that the fault is
    /// likely on this host's own path. Unlike for ejections, upstreams whose registration has ended
    /// count as long as they have flows.
    fn is_own_path_suspect(&self, service: ServiceIndex) -> bool {
        let records = self.upstreams.records();
        let members = records.filter(|record| {
            record.service == service && (record.takes_flows() || record.has_flows())
        });
        let is_silent = |record: &UpstreamRecord| record.failure_detector.is_ejected();
        exceeds_panic_threshold(&self.upstreams, members, is_silent)
    }

    fn forward(&self, head: &PacketHead, index: UpstreamIndex, output: &mut PacketOutput) {
        let record = self.upstreams.get(index);
        let opens = head.kind == PacketKind::Open;
        output.actions.push(PacketAction::Forward {
            address: record.address,
            number: record.number,
            tag: if opens { record.tag } else { None },
        });
    }

    /// Refuses a SYN, or drops it if its flow may have been opened through another host and
    /// `may_reset` is false.
    fn refuse_syn(
        &self,
        now: Instant,
        head: &PacketHead,
        code: ResultCode,
        may_reset: bool,
        output: &mut PacketOutput,
    ) {
        let key = FlowKey::of(head);
        if may_reset || self.admission.is_unopened(now, &key, head.ack) {
            self.refuse(now, head, None, code, output);
        } else {
            output.actions.push(PacketAction::Drop { code });
        }
    }

    fn refuse(
        &self,
        now: Instant,
        head: &PacketHead,
        index: Option<UpstreamIndex>,
        code: ResultCode,
        output: &mut PacketOutput,
    ) {
        if head.kind == PacketKind::Abort {
            output.actions.push(PacketAction::Drop { code });
            return;
        }
        let acked = if head.kind == PacketKind::Open {
            0
        } else {
            head.ack
        };
        output.actions.push(PacketAction::Reset { acked, code });
        let trigger = match head.kind {
            PacketKind::Open => RefusalTrigger::Syn,
            _ => RefusalTrigger::Packet(head.tag),
        };
        self.record_refused(now, FlowKey::of(head), trigger, index, code, output);
    }
}

/// Returns the hash of a flow, which is the same on all hosts.
fn flow_hash(key: &FlowKey) -> u64 {
    let mut bytes = [0; 12];
    bytes[..4].copy_from_slice(&key.caller.ip().octets());
    bytes[4..6].copy_from_slice(&key.caller.port().to_le_bytes());
    bytes[6..10].copy_from_slice(&key.service.ip().octets());
    bytes[10..].copy_from_slice(&key.service.port().to_le_bytes());
    xxh3_64(&bytes)
}
