//! How a core asks the dispatcher of a contended service where a flow goes, and acts as one.

use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::flow_hash::rendezvous_weight;
use lagoonproxy::result_code::ResultCode;

use crate::admission::opening_admission::SYN_AGES;
use crate::core_load::SelectedSyn;
use crate::dispatch::dispatch_client::DispatchClient;
use crate::dispatch::dispatch_client::QueryState;
use crate::dispatch::dispatch_message::DispatchQuery;
use crate::dispatch::dispatch_message::DispatchReply;
use crate::dispatch::dispatch_message::DispatchVerdict;
use crate::dispatch::dispatch_message::MOST_EXCLUDED;
use crate::dispatch::dispatch_message::RequestEvent;
use crate::dispatch::dispatch_policy::DispatchCandidate;
use crate::dispatch::dispatch_policy::LimitedShare;
use crate::dispatch::dispatch_policy::RecentDemand;
use crate::dispatch::dispatch_policy::is_limited;
use crate::dispatch::dispatch_policy::least_loaded;
use crate::dispatch::dispatcher_choice::DispatcherChoice;
use crate::dispatch::request_ledger::RequestLedger;
use crate::flows::flow_table::FlowKey;
use crate::ids::FlowDigest;
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
use crate::selection::upstream_selection::sample;

/// How long a dispatcher hears of requests before it places flows: requests that began before are not counted.
const LEARNING_TIME: Duration = Duration::from_millis(300);

/// Time without a reported request of a service after which a dispatcher starts anew.
const EVENT_SILENCE: Duration = Duration::from_secs(1);

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
    /// Queries to send.
    queries: Vec<(SocketAddrV4, DispatchQuery)>,
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
            QueryState::Replied(verdict) => return self.follow_verdict(syn, verdict),
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
        let query = self.dispatch_query(syn, flow);
        if dispatcher == self.peers.own {
            let verdict = self.dispatch_verdict(now, &query);
            return self.follow_verdict(syn, verdict);
        }
        let key = FlowKey {
            caller: syn.head.caller,
            service: syn.head.service,
        };
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
        let service = self.upstreams.get(index).service;
        match self.dispatch.dispatcher(service) {
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
        self.dispatch.client.has_events() || !self.dispatch.queries.is_empty()
    }

    /// The datagrams for dispatchers.
    pub fn take_dispatch_datagrams(&mut self) -> Vec<AddressedDatagram> {
        let batches = self.dispatch.client.take_events().into_iter();
        let events = batches.map(|(target, events)| (target, PeerDatagram::Requests(events)));
        let queries = std::mem::take(&mut self.dispatch.queries).into_iter();
        let queries = queries.map(|(target, query)| (target, PeerDatagram::Query(query)));
        let datagrams = events.chain(queries);
        datagrams
            .map(|(target, datagram)| AddressedDatagram {
                datagram,
                targets: vec![target],
            })
            .collect()
    }

    /// Counts the requests that a host reports: this host dispatches for it.
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
    }

    /// Replies to a host's query.
    pub fn heard_query(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        query: &DispatchQuery,
    ) -> AddressedDatagram {
        self.detect_stall(now);
        let verdict = self.dispatch_verdict(now, query);
        let flow = query.flow;
        AddressedDatagram {
            datagram: PeerDatagram::Reply(DispatchReply { flow, verdict }),
            targets: vec![from],
        }
    }

    /// Merges a dispatcher's reply; the flow whose SYN waits for it.
    pub fn heard_reply(&mut self, from: SocketAddrV4, reply: DispatchReply) -> Option<FlowKey> {
        let key = self.dispatch.client.reply(from, reply.flow, reply.verdict);
        if key.is_some() {
            self.dispatch.choice.replied(from);
        }
        key
    }

    fn dispatch_query(&self, syn: SelectedSyn<'_>, flow: FlowDigest) -> DispatchQuery {
        let class = self.routes.class(syn.head.service, syn.service);
        let tried = syn.copy.tried.iter();
        let tags = tried.filter_map(|index| self.upstreams.get(*index).tag);
        DispatchQuery {
            flow,
            service: service_tag(&self.upstreams.pool(syn.service).name),
            priority: class.map_or(RequestPriority::LEAST_URGENT, |class| class.priority),
            may_refuse: may_refuse(syn),
            excluded: tags.take(MOST_EXCLUDED).collect(),
        }
    }

    /// Carries a verdict out as far as this host's own view of the upstream allows it.
    fn follow_verdict(&self, syn: SelectedSyn<'_>, verdict: DispatchVerdict) -> DispatchStep {
        match verdict {
            DispatchVerdict::Place(tag) => {
                let index = self.upstreams.by_tag(tag);
                let usable = index.filter(|index| self.is_dispatchable(*index, syn.service));
                usable.map_or(DispatchStep::Alone, DispatchStep::Place)
            }
            DispatchVerdict::Defer if may_refuse(syn) && self.awaits_next_syn(syn.head) => {
                DispatchStep::Defer
            }
            DispatchVerdict::Defer | DispatchVerdict::Refuse if may_refuse(syn) => {
                DispatchStep::Refuse
            }
            DispatchVerdict::Defer | DispatchVerdict::Refuse | DispatchVerdict::Unknown => {
                DispatchStep::Alone
            }
        }
    }

    /// Whether a request can still be answered in time if its next SYN is placed.
    fn awaits_next_syn(&self, head: &PacketHead) -> bool {
        let next = SYN_AGES.get(head.ack as usize + 1);
        let target = self.routes.target(head.service);
        next.is_some_and(|age| target.is_none_or(|target| *age < target))
    }

    fn is_dispatchable(&self, index: UpstreamIndex, service: ServiceIndex) -> bool {
        let record = self.upstreams.get(index);
        let usable = record.takes_flows() && !record.is_degraded();
        usable
            && record.service == service
            && !self.upstreams.evacuated().contains_key(&record.zone)
    }

    /// Decides as a dispatcher.
    fn dispatch_verdict(&mut self, now: Instant, query: &DispatchQuery) -> DispatchVerdict {
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
        demand.recent.record(query.priority);
        let more_urgent = demand.recent.more_urgent(query.priority);
        if is_limited(&config, more_urgent, &best) {
            let all = self.least_loaded(now, service, query, usize::MAX);
            best = all.unwrap_or(best);
        }
        if more_urgent > 0 {
            let is_limited = is_limited(&config, more_urgent, &best);
            let limited = &mut self.dispatch.demand(service).limited;
            limited.record(is_limited);
            if query.may_refuse && is_limited {
                return match limited.share() < config.most_deferred {
                    true => DispatchVerdict::Defer,
                    false => DispatchVerdict::Refuse,
                };
            }
        }
        self.dispatch.ledger.place(now, query.flow, best.index);
        let tag = self.upstreams.get(best.index).tag;
        tag.map_or(DispatchVerdict::Unknown, DispatchVerdict::Place)
    }

    /// The least loaded of so many of the zone's upstreams.
    fn least_loaded(
        &self,
        now: Instant,
        service: ServiceIndex,
        query: &DispatchQuery,
        most: usize,
    ) -> Option<DispatchCandidate> {
        let local = &self.upstreams.pool(service).local;
        let sampled = sample(local, u64::from(query.flow), most);
        let usable = sampled.filter(|index| {
            let warming = self.upstreams.is_warming(now, self.upstreams.get(*index));
            !warming && self.is_dispatchable(*index, service)
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

/// Whether a flow cannot be open: this is its first SYN, and no duplicate of it was forwarded.
fn may_refuse(syn: SelectedSyn<'_>) -> bool {
    syn.head.ack == 0 && syn.copy.tried.is_empty()
}

/// The short form of a flow's hash in what hosts and dispatchers send each other.
fn flow_digest(flow_hash: u64) -> FlowDigest {
    (flow_hash ^ (flow_hash >> 32)) as FlowDigest
}
