//! How a core asks the dispatcher of a contended service where a flow goes, and acts as one.

use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::flow_hash::rendezvous_weight;
use lagoonproxy::result_code::ResultCode;

use crate::admission::syn_copies::next_copy_age;
use crate::core_load::SelectedSyn;
use crate::dispatch::dispatch_client::DispatchClient;
use crate::dispatch::dispatch_client::QueryState;
use crate::dispatch::dispatch_message::DispatchQuery;
use crate::dispatch::dispatch_message::DispatchReply;
use crate::dispatch::dispatch_message::DispatchVerdict;
use crate::dispatch::dispatch_message::MOST_EXCLUDED;
use crate::dispatch::dispatch_message::MOST_HOLD_MS;
use crate::dispatch::dispatch_message::RequestEvent;
use crate::dispatch::dispatch_policy::DispatchCandidate;
use crate::dispatch::dispatch_policy::LimitedShare;
use crate::dispatch::dispatch_policy::RecentDemand;
use crate::dispatch::dispatch_policy::is_limited;
use crate::dispatch::dispatch_policy::kept_reserve;
use crate::dispatch::dispatch_policy::least_loaded;
use crate::dispatch::dispatcher_choice::DispatcherChoice;
use crate::dispatch::request_ledger::RequestLedger;
use crate::dispatch::waiting_flows::WaitingFlow;
use crate::dispatch::waiting_flows::WaitingFlows;
use crate::flows::flow_table::FlowKey;
use crate::ids::FlowDigest;
use crate::ids::HoldMillis;
use crate::ids::ServiceIndex;
use crate::ids::ServiceTag;
use crate::ids::UpstreamIndex;
use crate::load::load_report::service_tag;
use crate::load::load_view::AddressedDatagram;
use crate::load::load_view::SynOutcome;
use crate::load::service_room::REQUEST_LOAD;
use crate::packet_action::DecisionEvent;
use crate::packet_action::PacketAction;
use crate::packet_action::PacketOutput;
use crate::packet_core::PacketCore;
use crate::packet_head::PacketHead;
use crate::peers::peer_datagram::PeerDatagram;
use crate::policy_config::FLOW_LOAD;
use crate::routes::route_config::RequestPriority;
use crate::selection::upstream_selection::is_panic;
use crate::selection::upstream_selection::sample;
use crate::upstreams::upstream_record::UpstreamRecord;

/// How long a dispatcher hears of requests before it places flows: requests that began before are not counted.
const LEARNING_TIME: Duration = Duration::from_millis(300);

/// Time without a reported request of a service after which a dispatcher starts anew.
const EVENT_SILENCE: Duration = Duration::from_secs(1);

/// A SYN waits for room for at most one part in this many of the latency objective.
const HOLD_DIVISOR: u32 = 4;

/// What a dispatcher holds, and what a host holds of dispatchers.
#[derive(Debug, Default)]
pub(crate) struct DispatchState {
    pub(crate) choice: DispatcherChoice,
    pub(crate) client: DispatchClient,
    pub(crate) ledger: RequestLedger,
    /// By service, since when its requests are reported here.
    reports: Vec<Option<ReportSpan>>,
    /// Whether the packet at hand was parked before.
    pub(crate) is_resumed: bool,
    /// By service, its dispatcher as of the last tick; `None` for services that are not contended.
    dispatchers: Vec<Option<SocketAddrV4>>,
    /// By service, what its dispatcher was asked for.
    demands: Vec<ServiceDemand>,
    /// Flows that wait for room at this dispatcher.
    waiting: WaitingFlows,
    /// Queries to send.
    queries: Vec<(SocketAddrV4, DispatchQuery)>,
    /// Replies to send.
    replies: Vec<(SocketAddrV4, DispatchReply)>,
}

/// The time for which requests of a service have been reported here without a break.
#[derive(Clone, Copy, Debug)]
struct ReportSpan {
    since: Instant,
    /// When the last request was reported.
    last: Instant,
}

/// What a dispatcher was asked for of late.
#[derive(Clone, Debug, Default)]
struct ServiceDemand {
    recent: RecentDemand,
    limited: LimitedShare,
}

/// What becomes of a SYN that a dispatcher may place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DispatchStep {
    /// This host decides.
    Alone,
    /// The SYN waits for the reply, or is a duplicate of one that does.
    Wait,
    /// It goes to this upstream.
    Place(UpstreamIndex),
    /// It is left to its caller's next one.
    Defer,
    /// It is refused.
    Refuse,
}

impl DispatchState {
    fn dispatcher(&self, service: ServiceIndex) -> Option<SocketAddrV4> {
        self.dispatchers.get(service as usize).copied().flatten()
    }

    fn demand(&mut self, service: ServiceIndex) -> &mut ServiceDemand {
        let place = service as usize;
        if self.demands.len() <= place {
            self.demands.resize(place + 1, ServiceDemand::default());
        }
        &mut self.demands[place]
    }

    fn heard_request(&mut self, now: Instant, service: ServiceIndex) {
        let place = service as usize;
        if self.reports.len() <= place {
            self.reports.resize(place + 1, None);
        }
        let begun = ReportSpan {
            since: now,
            last: now,
        };
        self.reports[place].get_or_insert(begun).last = now;
    }

    fn knows_requests(&self, now: Instant, service: ServiceIndex) -> bool {
        let span = self.reports.get(service as usize).copied().flatten();
        span.is_some_and(|span| now.saturating_duration_since(span.since) >= LEARNING_TIME)
    }

    fn tick(&mut self, now: Instant) {
        self.client.expire(now);
        self.ledger.expire_requests(now);
        let silent =
            |span: &mut ReportSpan| now.saturating_duration_since(span.last) >= EVENT_SILENCE;
        for span in &mut self.reports {
            span.take_if(silent);
        }
    }
}

impl PacketCore {
    /// Chooses the dispatchers of contended services anew, and expires what has lasted its time.
    pub(crate) fn tick_dispatch(&mut self, now: Instant) {
        self.dispatch.tick(now);
        self.serve_waiting(now);
        if !self.upstreams.config().dispatch.is_enabled {
            return;
        }
        let pools = self.upstreams.pools();
        self.dispatch.dispatchers.resize(pools.len(), None);
        for (place, pool) in pools.iter().enumerate() {
            let dispatcher = pool.is_contended.then(|| {
                let tag = service_tag(&pool.name);
                self.dispatch
                    .choice
                    .choose(now, &self.peers, self.capacity, tag)
            });
            self.dispatch.dispatchers[place] = dispatcher;
        }
    }

    /// What becomes of a SYN of a contended service, by its dispatcher.
    pub(crate) fn dispatch_syn(
        &mut self,
        now: Instant,
        syn: SelectedSyn<'_>,
        output: &mut PacketOutput,
    ) -> DispatchStep {
        let Some(dispatcher) = self.dispatch.dispatcher(syn.service) else {
            return DispatchStep::Alone;
        };
        let flow = flow_digest(syn.flow_hash);
        match self.dispatch.client.take(now, flow) {
            QueryState::Waiting => {
                let code = ResultCode::QueueFull;
                output.actions.push(PacketAction::Drop { code });
                return DispatchStep::Wait;
            }
            QueryState::Replied(verdict) => return self.follow_verdict(now, syn, verdict),
            QueryState::TimedOut(address) => {
                if self.dispatch.choice.missed(now, address) {
                    output.events.push(DecisionEvent::DispatcherSilent {
                        dispatcher: address,
                    });
                }
                return DispatchStep::Alone;
            }
            QueryState::Outdated => return DispatchStep::Alone,
            QueryState::Absent if self.dispatch.is_resumed => return DispatchStep::Alone,
            QueryState::Absent => {}
        }
        let query = self.dispatch_query(now, syn, flow);
        if dispatcher == self.peers.own {
            let own = self.peers.own;
            let query = DispatchQuery {
                hold_ms: 0,
                ..query
            };
            let verdict = self.dispatch_verdict(now, own, &query);
            return self.follow_verdict(now, syn, verdict);
        }
        let key = FlowKey::of(syn.head);
        if !self.dispatch.client.ask(now, key, flow, dispatcher) {
            return DispatchStep::Alone;
        }
        self.dispatch.queries.push((dispatcher, query));
        output.actions.push(PacketAction::Park);
        DispatchStep::Wait
    }

    /// Decides about a packet that was parked; it is not parked again.
    pub fn resume_packet(&mut self, now: Instant, head: &PacketHead, output: &mut PacketOutput) {
        self.detect_stall(now);
        self.dispatch.is_resumed = true;
        self.packet(now, head, output);
        self.dispatch.is_resumed = false;
    }

    /// Reports to the dispatcher that a flow's request began or ended with a packet. One that began in the packet that
    /// acknowledged the answer before (`answered`) is reported too, since the count of the former one expires.
    pub(crate) fn report_request(
        &mut self,
        now: Instant,
        key: &FlowKey,
        flow_hash: u64,
        before: Option<UpstreamIndex>,
        answered: bool,
    ) {
        let after = self.waiting_upstream(key);
        if before == after && !answered {
            return;
        }
        let flow = flow_digest(flow_hash);
        let event = match after {
            Some(index) => RequestEvent::Began {
                flow,
                upstream: self.upstreams.get(index).tag.unwrap_or_default(),
            },
            None => RequestEvent::Ended { flow },
        };
        let Some(index) = after.or(before) else {
            return;
        };
        let record = self.upstreams.get(index);
        let dispatcher = self.dispatch.dispatcher(record.service);
        match dispatcher.filter(|_dispatcher| record.is_local) {
            Some(dispatcher) if dispatcher == self.peers.own => {
                self.heard_requests(now, &[event]);
            }
            Some(dispatcher) => self.dispatch.client.report(dispatcher, event),
            None => {}
        }
    }

    /// The upstream at which a flow has a request in progress.
    pub(crate) fn waiting_upstream(&self, key: &FlowKey) -> Option<UpstreamIndex> {
        let record = self.evidence.flow(key)?;
        record.waiting_since.map(|_since| record.upstream)
    }

    /// Whether datagrams for dispatchers wait to be sent.
    pub fn has_dispatch_datagrams(&self) -> bool {
        let dispatch = &self.dispatch;
        dispatch.client.has_events() || !dispatch.queries.is_empty() || !dispatch.replies.is_empty()
    }

    /// The datagrams for dispatchers.
    pub fn take_dispatch_datagrams(&mut self) -> Vec<AddressedDatagram> {
        let batches = self.dispatch.client.take_events().into_iter();
        let events = batches.map(|(target, events)| (target, PeerDatagram::Requests(events)));
        let queries = std::mem::take(&mut self.dispatch.queries).into_iter();
        let queries = queries.map(|(target, query)| (target, PeerDatagram::Query(query)));
        let replies = std::mem::take(&mut self.dispatch.replies).into_iter();
        let replies = replies.map(|(target, reply)| (target, PeerDatagram::Reply(reply)));
        let datagrams = events.chain(queries).chain(replies);
        datagrams
            .map(|(target, datagram)| AddressedDatagram {
                datagram,
                targets: vec![target],
            })
            .collect()
    }

    /// Counts the requests that a host reports: this host dispatches for it.
    ///
    /// Replies that room has become free for wait in [`Self::take_dispatch_datagrams`].
    pub fn heard_requests(&mut self, now: Instant, events: &[RequestEvent]) {
        self.detect_stall(now);
        for event in events {
            match *event {
                RequestEvent::Began { flow, upstream } => {
                    if let Some(index) = self.upstreams.by_tag(upstream) {
                        let service = self.upstreams.get(index).service;
                        self.dispatch.heard_request(now, service);
                        self.dispatch.ledger.begin(now, flow, index);
                    }
                }
                RequestEvent::Ended { flow } => self.dispatch.ledger.end(flow),
            }
        }
        self.serve_waiting(now);
    }

    /// Replies to flows that waited: those for which there is room now, and those whose time is over.
    pub(crate) fn serve_waiting(&mut self, now: Instant) {
        if self.dispatch.waiting.is_empty() {
            return;
        }
        for flow in self.dispatch.waiting.take_expired(now) {
            let verdict = match self.dispatch.demand(flow.service).limited.share()
                < self.upstreams.config().dispatch.most_deferred
            {
                true => DispatchVerdict::Defer,
                false => DispatchVerdict::Refuse,
            };
            self.reply_later(flow.from, flow.query.flow, verdict);
        }
        for place in 0..self.upstreams.pools().len() {
            let service = place as ServiceIndex;
            while let Some(flow) = self.dispatch.waiting.next(service).cloned() {
                let query = DispatchQuery {
                    hold_ms: 0,
                    ..flow.query.clone()
                };
                let verdict = self.dispatch_verdict(now, flow.from, &query);
                let DispatchVerdict::Place(_) = verdict else {
                    break;
                };
                self.dispatch.waiting.remove(query.flow);
                self.reply_later(flow.from, query.flow, verdict);
            }
        }
    }

    fn reply_later(&mut self, target: SocketAddrV4, flow: FlowDigest, verdict: DispatchVerdict) {
        let reply = DispatchReply { flow, verdict };
        self.dispatch.replies.push((target, reply));
    }

    /// Replies to a host's query.
    pub fn heard_query(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        query: &DispatchQuery,
    ) -> AddressedDatagram {
        self.detect_stall(now);
        self.dispatch.waiting.remove(query.flow);
        let verdict = self.dispatch_verdict(now, from, query);
        let flow = query.flow;
        AddressedDatagram {
            datagram: PeerDatagram::Reply(DispatchReply { flow, verdict }),
            targets: vec![from],
        }
    }

    /// Merges a dispatcher's reply; the flow whose SYN waits for it, and when it is to be handed in again.
    pub fn heard_reply(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        reply: DispatchReply,
    ) -> Option<(FlowKey, Instant)> {
        let (flow, verdict) = (reply.flow, reply.verdict);
        let due = self.dispatch.client.reply(now, from, flow, verdict);
        if due.is_some() {
            self.dispatch.choice.replied(from);
        }
        due
    }

    fn dispatch_query(
        &self,
        now: Instant,
        syn: SelectedSyn<'_>,
        flow: FlowDigest,
    ) -> DispatchQuery {
        let class = self.routes.class(syn.head.service, syn.service);
        let tried = syn.copy.tried.iter();
        let tags = tried.filter_map(|index| self.upstreams.get(*index).tag);
        DispatchQuery {
            flow,
            service: service_tag(&self.upstreams.pool(syn.service).name),
            priority: class.map_or(RequestPriority::LEAST_URGENT, |class| class.priority),
            may_refuse: self.may_refuse(now, syn),
            hold_ms: self.hold_millis(syn.head),
            excluded: tags.take(MOST_EXCLUDED).collect(),
        }
    }

    /// Carries a verdict out as far as this host's own view of the upstream allows it.
    fn follow_verdict(
        &self,
        now: Instant,
        syn: SelectedSyn<'_>,
        verdict: DispatchVerdict,
    ) -> DispatchStep {
        match verdict {
            DispatchVerdict::Place(tag) => {
                let index = self.upstreams.by_tag(tag);
                let panic = self.is_panic(syn.service);
                let usable = index.filter(|index| self.is_dispatchable(*index, syn.service, panic));
                usable.map_or(DispatchStep::Alone, DispatchStep::Place)
            }
            DispatchVerdict::Defer | DispatchVerdict::Refuse if !self.may_refuse(now, syn) => {
                DispatchStep::Alone
            }
            DispatchVerdict::Defer if self.awaits_next_syn(syn.head) => DispatchStep::Defer,
            DispatchVerdict::Defer | DispatchVerdict::Refuse => DispatchStep::Refuse,
            DispatchVerdict::Wait | DispatchVerdict::Unknown => DispatchStep::Alone,
        }
    }

    /// Whether the flow of a SYN cannot be open, so that a reset says truly that its request has not run.
    fn may_refuse(&self, now: Instant, syn: SelectedSyn<'_>) -> bool {
        let key = FlowKey::of(syn.head);
        let is_unopened = self.admission.is_unopened(now, &key, syn.head.ack);
        is_unopened && syn.copy.tried.is_empty()
    }

    /// How long a SYN may wait for room: a part of the latency objective, so that the request can still be in time.
    fn hold_millis(&self, head: &PacketHead) -> HoldMillis {
        let target = self.routes.target(head.service);
        let hold = target.map_or(u128::from(MOST_HOLD_MS), |target| {
            (target / HOLD_DIVISOR).as_millis()
        });
        HoldMillis::try_from(hold).map_or(MOST_HOLD_MS, |hold| hold.min(MOST_HOLD_MS))
    }

    /// Whether a request can still be answered in time if its next SYN is placed.
    fn awaits_next_syn(&self, head: &PacketHead) -> bool {
        let next = next_copy_age(head.ack);
        let target = self.routes.target(head.service);
        next.is_some_and(|age| target.is_none_or(|target| age < target))
    }

    /// Whether an upstream gets new flows of a service. So many may be ejected that the fault is likely on this host's
    /// path; their ejection is then ignored, as in the selection.
    fn is_dispatchable(&self, index: UpstreamIndex, service: ServiceIndex, panic: bool) -> bool {
        let record = self.upstreams.get(index);
        let usable = record.takes_flows() && (panic || !record.is_degraded());
        let evacuated = self.upstreams.evacuated().contains_key(&record.zone);
        usable && record.service == service && !evacuated
    }

    fn is_panic(&self, service: ServiceIndex) -> bool {
        is_panic(&self.upstreams, service, UpstreamRecord::is_degraded)
    }

    /// Decides as a dispatcher.
    fn dispatch_verdict(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        query: &DispatchQuery,
    ) -> DispatchVerdict {
        let Some(service) = self.service_by_tag(query.service) else {
            return DispatchVerdict::Unknown;
        };
        if !self.dispatch.knows_requests(now, service) {
            return DispatchVerdict::Unknown;
        }
        self.dispatch.ledger.expire_placements(now);
        let config = &self.upstreams.config();
        let most = config.selection.max_sampled;
        let Some(mut best) = self.least_loaded(now, service, query, most) else {
            return DispatchVerdict::Unknown;
        };
        let config = config.dispatch;
        let demand = self.dispatch.demand(service);
        let more_urgent = demand.recent.more_urgent(query.priority);
        if let Some(reserve) = kept_reserve(&config, more_urgent) {
            if is_limited(&config, reserve, &best) {
                let all = self.least_loaded(now, service, query, usize::MAX);
                best = all.unwrap_or(best);
            }
            let is_limited = is_limited(&config, reserve, &best);
            let limited = &mut self.dispatch.demand(service).limited;
            limited.record(is_limited);
            if query.may_refuse && is_limited {
                let is_lasting = limited.share() >= config.most_deferred;
                if query.hold_ms > 0 && self.waits_for_room(now, from, service, query) {
                    return DispatchVerdict::Wait;
                }
                return match !is_lasting {
                    true => DispatchVerdict::Defer,
                    false => DispatchVerdict::Refuse,
                };
            }
        }
        self.dispatch.demand(service).recent.record(query.priority);
        self.dispatch.ledger.place(now, query.flow, best.index);
        let tag = self.upstreams.get(best.index).tag;
        tag.map_or(DispatchVerdict::Unknown, DispatchVerdict::Place)
    }

    /// Lets a flow wait for room; false if too many wait already.
    fn waits_for_room(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        service: ServiceIndex,
        query: &DispatchQuery,
    ) -> bool {
        let local = self.upstreams.pool(service).local.iter();
        let slots = local.map(|index| self.upstreams.get(*index).slots).sum();
        let hold = query.hold_ms.min(MOST_HOLD_MS);
        let flow = WaitingFlow {
            from,
            service,
            query: query.clone(),
            expires_at: now + Duration::from_millis(hold.into()),
        };
        self.dispatch.waiting.add(flow, slots)
    }

    /// The least loaded of so many of the zone's upstreams.
    fn least_loaded(
        &self,
        now: Instant,
        service: ServiceIndex,
        query: &DispatchQuery,
        most: usize,
    ) -> Option<DispatchCandidate> {
        let panic = self.is_panic(service);
        let local = &self.upstreams.pool(service).local;
        let sampled = sample(local, u64::from(query.flow), most);
        let usable = sampled.filter(|index| {
            let warming = self.upstreams.is_warming(now, self.upstreams.get(*index));
            !warming && self.is_dispatchable(*index, service, panic)
        });
        least_loaded(usable.map(|index| self.dispatch_candidate(now, index, query)))
    }

    fn dispatch_candidate(
        &self,
        now: Instant,
        index: UpstreamIndex,
        query: &DispatchQuery,
    ) -> DispatchCandidate {
        let record = self.upstreams.get(index);
        let tag = record.tag.unwrap_or_default();
        let cold_load = self.upstreams.config().selection.cold_load;
        let cold = u64::from(REQUEST_LOAD) * cold_load / FLOW_LOAD;
        DispatchCandidate {
            index,
            in_progress: self.dispatch.ledger.in_progress(index),
            slots: record.slots,
            request_load: match record.warm_at > now {
                true => u32::try_from(cold).unwrap_or(u32::MAX),
                false => REQUEST_LOAD,
            },
            is_excluded: query.excluded.contains(&tag),
            weight: rendezvous_weight(u64::from(query.flow), u64::from(tag)),
        }
    }

    fn service_by_tag(&self, tag: ServiceTag) -> Option<ServiceIndex> {
        let mut pools = self.upstreams.pools().iter();
        let place = pools.position(|pool| service_tag(&pool.name) == tag)?;
        ServiceIndex::try_from(place).ok()
    }

    /// Defers or refuses a SYN whose class has no room.
    pub(crate) fn limit_class(
        &mut self,
        now: Instant,
        syn: SelectedSyn<'_>,
        deferred: bool,
        output: &mut PacketOutput,
    ) {
        let (code, outcome) = match deferred {
            true => (ResultCode::QueueFull, SynOutcome::Deferred),
            false => (ResultCode::PriorityRefused, SynOutcome::Refused),
        };
        output.actions.push(match deferred {
            true => PacketAction::Drop { code },
            false => PacketAction::Reset { acked: 0, code },
        });
        self.record_dispatch_limit(now, syn, code, outcome, output);
    }
}

/// The short form of a flow's hash in what hosts and dispatchers send each other.
fn flow_digest(flow_hash: u64) -> FlowDigest {
    (flow_hash ^ (flow_hash >> 32)) as FlowDigest
}
