//! Asks the dispatcher of a contended service for the placement of new flows, and reports
//! requests to it.

use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::result_code::ResultCode;

use crate::admission::syn_retransmission::next_transmission_offset;
use crate::core_load::SelectedSyn;
use crate::dispatch::dispatch_client::DispatchClient;
use crate::dispatch::dispatch_client::QueryState;
use crate::dispatch::dispatch_message::DispatchQuery;
use crate::dispatch::dispatch_message::DispatchReply;
use crate::dispatch::dispatch_message::DispatchVerdict;
use crate::dispatch::dispatch_message::MAX_EXCLUDED;
use crate::dispatch::dispatch_message::MAX_HOLD_MS;
use crate::dispatch::dispatch_message::RequestEvent;
use crate::dispatch::dispatch_policy::LimitedShare;
use crate::dispatch::dispatch_policy::PriorityMix;
use crate::dispatch::dispatcher_choice::DispatcherChoice;
use crate::dispatch::request_ledger::RequestLedger;
use crate::dispatch::waiting_flows::WaitingFlows;
use crate::flows::flow_table::FlowKey;
use crate::ids::FlowDigest;
use crate::ids::HoldMillis;
use crate::ids::ServiceIndex;
use crate::ids::UpstreamIndex;
use crate::load::load_tracker::AddressedDatagram;
use crate::load::load_tracker::SynOutcome;
use crate::packet_action::DecisionEvent;
use crate::packet_action::PacketAction;
use crate::packet_action::PacketOutput;
use crate::packet_core::PacketCore;
use crate::packet_head::PacketHead;
use crate::peers::peer_datagram::PeerDatagram;
use crate::routes::route_config::RequestPriority;

/// How long a dispatcher receives request events of a service before it places flows. It does not
/// know the requests that began earlier.
const LEARNING_TIME: Duration = Duration::from_millis(300);

/// Time without a request event of a service after which a dispatcher has to learn its requests
/// again.
const EVENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Divides the latency objective of a route: a SYN waits for free capacity no longer than the
/// quotient.
const HOLD_DIVISOR: u32 = 4;

/// The dispatch state of a host: as a client of the dispatchers, and as a dispatcher itself.
#[derive(Debug, Default)]
pub(crate) struct DispatchState {
    pub(crate) choice: DispatcherChoice,
    pub(crate) client: DispatchClient,
    pub(crate) ledger: RequestLedger,
    /// For each service, the time span in which this host has received its request events.
    event_spans: Vec<Option<EventSpan>>,
    /// Whether the packet that is being handled was parked before.
    pub(crate) is_resumed: bool,
    /// The dispatcher of each service as of the last tick; `None` for services that are not
    /// contended.
    dispatchers: Vec<Option<SocketAddrV4>>,
    /// The recent queries for each service, if this host is its dispatcher.
    demands: Vec<ServiceDemand>,
    /// Flows that wait for free capacity at this dispatcher.
    pub(crate) waiting: WaitingFlows,
    /// Queries to send, with their dispatchers.
    queries: Vec<(SocketAddrV4, DispatchQuery)>,
    /// Replies to send, with the hosts that sent the queries.
    pub(crate) replies: Vec<(SocketAddrV4, DispatchReply)>,
}

/// The time span in which request events of a service have arrived without interruption.
#[derive(Clone, Copy, Debug)]
struct EventSpan {
    since: Instant,
    /// When the last event arrived.
    last: Instant,
}

/// The recent queries for one service, at its dispatcher.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceDemand {
    pub(crate) recent: PriorityMix,
    pub(crate) limited: LimitedShare,
}

/// How to proceed with a SYN of a contended service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DispatchStep {
    /// This host selects the upstream itself.
    Local,
    /// Nothing: the SYN waits for the dispatcher's reply, or duplicates one that does.
    Wait,
    /// Forward the SYN to this upstream.
    Place(UpstreamIndex),
    /// Drop the SYN, so that the caller retransmits it.
    Defer,
    /// Refuse the flow.
    Refuse,
}

impl DispatchState {
    /// Returns the dispatcher of a service; `None` if the service is not contended.
    fn dispatcher(&self, service: ServiceIndex) -> Option<SocketAddrV4> {
        self.dispatchers.get(service as usize).copied().flatten()
    }

    pub(crate) fn demand(&mut self, service: ServiceIndex) -> &mut ServiceDemand {
        let index = service as usize;
        if self.demands.len() <= index {
            self.demands.resize(index + 1, ServiceDemand::default());
        }
        &mut self.demands[index]
    }

    /// Records that a request event of a service has arrived.
    pub(crate) fn record_event(&mut self, now: Instant, service: ServiceIndex) {
        let index = service as usize;
        if self.event_spans.len() <= index {
            self.event_spans.resize(index + 1, None);
        }
        let new_span = EventSpan {
            since: now,
            last: now,
        };
        self.event_spans[index].get_or_insert(new_span).last = now;
    }

    /// Whether request events of a service have arrived for [`LEARNING_TIME`].
    pub(crate) fn has_learned_requests(&self, now: Instant, service: ServiceIndex) -> bool {
        let span = self.event_spans.get(service as usize).copied().flatten();
        span.is_some_and(|span| now.saturating_duration_since(span.since) >= LEARNING_TIME)
    }

    fn tick(&mut self, now: Instant) {
        self.client.expire(now);
        self.ledger.expire_requests(now);
        let is_silent =
            |span: &mut EventSpan| now.saturating_duration_since(span.last) >= EVENT_TIMEOUT;
        for span in &mut self.event_spans {
            span.take_if(is_silent);
        }
    }
}

impl PacketCore {
    /// Chooses the dispatchers of the contended services, and expires queries, requests and
    /// waiting flows.
    pub(crate) fn tick_dispatch(&mut self, now: Instant) {
        self.dispatch.tick(now);
        self.serve_waiting(now);
        if !self.upstreams.config().dispatch.is_enabled {
            return;
        }
        let pools = self.upstreams.pools();
        self.dispatch.dispatchers.resize(pools.len(), None);
        for (index, pool) in pools.iter().enumerate() {
            let dispatcher = pool.is_contended.then(|| {
                self.dispatch
                    .choice
                    .choose(now, &self.peers, self.capacity, pool.tag)
            });
            self.dispatch.dispatchers[index] = dispatcher;
        }
    }

    /// Returns how to proceed with a SYN of a contended service. Queries the dispatcher, or
    /// applies its reply if the SYN was parked for it.
    pub(crate) fn dispatch_syn(
        &mut self,
        now: Instant,
        syn: SelectedSyn<'_>,
        output: &mut PacketOutput,
    ) -> DispatchStep {
        let Some(dispatcher) = self.dispatch.dispatcher(syn.service) else {
            return DispatchStep::Local;
        };
        let flow = flow_digest(syn.flow_hash);
        match self.dispatch.client.take_state(now, flow) {
            QueryState::Waiting => {
                let code = ResultCode::QueueFull;
                output.actions.push(PacketAction::Drop { code });
                return DispatchStep::Wait;
            }
            QueryState::Replied(verdict) => return self.follow_verdict(now, syn, verdict),
            QueryState::TimedOut(address) => {
                if self.dispatch.choice.record_timeout(now, address) {
                    output.events.push(DecisionEvent::DispatcherSilent {
                        dispatcher: address,
                    });
                }
                return DispatchStep::Local;
            }
            QueryState::Outdated => return DispatchStep::Local,
            QueryState::Absent if self.dispatch.is_resumed => return DispatchStep::Local,
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
        if !self.dispatch.client.start_query(now, key, flow, dispatcher) {
            return DispatchStep::Local;
        }
        self.dispatch.queries.push((dispatcher, query));
        output.actions.push(PacketAction::Park);
        DispatchStep::Wait
    }

    /// Handles a packet that was parked before. It is not parked again.
    pub fn resume_packet(&mut self, now: Instant, head: &PacketHead, output: &mut PacketOutput) {
        self.detect_stall(now);
        self.dispatch.is_resumed = true;
        self.handle_packet(now, head, output);
        self.dispatch.is_resumed = false;
    }

    /// Reports to the dispatcher that a packet began or ended a request of a flow.
    ///
    /// `before` is the upstream at which the flow had a request in progress before the packet.
    /// `answered` means that the packet acknowledged a response. If it also began the next request,
    /// that one is reported as well: the dispatcher's record of the previous request expires.
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
                self.handle_request_events(now, &[event]);
            }
            Some(dispatcher) => self.dispatch.client.queue_event(dispatcher, event),
            None => {}
        }
    }

    /// Returns the upstream at which a flow has a request in progress.
    pub(crate) fn waiting_upstream(&self, key: &FlowKey) -> Option<UpstreamIndex> {
        let record = self.flow_tracker.flow(key)?;
        record.waiting_since.map(|_since| record.upstream)
    }

    /// Whether queries, replies or request events are waiting to be sent.
    pub fn has_dispatch_datagrams(&self) -> bool {
        let dispatch = &self.dispatch;
        dispatch.client.has_events() || !dispatch.queries.is_empty() || !dispatch.replies.is_empty()
    }

    /// Takes the queries, replies and request events that are waiting to be sent.
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

    /// Merges a dispatcher's reply. Returns the flow whose SYN is parked for it, and when to resume
    /// the SYN; `None` if no SYN waits for this reply.
    pub fn handle_reply(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        reply: DispatchReply,
    ) -> Option<(FlowKey, Instant)> {
        let (flow, verdict) = (reply.flow, reply.verdict);
        let due = self.dispatch.client.handle_reply(now, from, flow, verdict);
        if due.is_some() {
            self.dispatch.choice.record_reply(from);
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
        let tried = syn.observations.tried.iter();
        let tags = tried.filter_map(|index| self.upstreams.get(*index).tag);
        DispatchQuery {
            flow,
            service: self.upstreams.pool(syn.service).tag,
            priority: class.map_or(RequestPriority::LEAST_URGENT, |class| class.priority),
            may_refuse: self.may_refuse(now, syn),
            hold_ms: self.hold_millis(syn.head),
            excluded: tags.take(MAX_EXCLUDED).collect(),
        }
    }

    /// Converts a dispatcher's verdict to a step. This host decides itself if it considers the
    /// selected upstream unusable, or if it must not refuse the flow.
    fn follow_verdict(
        &self,
        now: Instant,
        syn: SelectedSyn<'_>,
        verdict: DispatchVerdict,
    ) -> DispatchStep {
        match verdict {
            DispatchVerdict::Place(tag) => {
                let index = self.upstreams.by_tag(tag);
                let usable = index.filter(|index| {
                    let degraded = self.upstreams.get(*index).is_degraded();
                    let panic = degraded && self.is_panic(syn.service);
                    self.is_dispatchable(*index, syn.service, panic)
                });
                usable.map_or(DispatchStep::Local, DispatchStep::Place)
            }
            DispatchVerdict::Defer | DispatchVerdict::Refuse if !self.may_refuse(now, syn) => {
                DispatchStep::Local
            }
            DispatchVerdict::Defer if self.awaits_next_syn(syn.head) => DispatchStep::Defer,
            DispatchVerdict::Defer | DispatchVerdict::Refuse => DispatchStep::Refuse,
            DispatchVerdict::Wait | DispatchVerdict::Unknown => DispatchStep::Local,
        }
    }

    /// Whether the flow of a SYN is certainly not open, so that its request cannot have run and a
    /// reset is safe.
    fn may_refuse(&self, now: Instant, syn: SelectedSyn<'_>) -> bool {
        let key = FlowKey::of(syn.head);
        let is_unopened = self.admission.is_unopened(now, &key, syn.head.ack);
        is_unopened && syn.observations.tried.is_empty()
    }

    /// Returns how long a SYN may wait for free capacity: a part of the latency objective, so that
    /// the request can still be answered in time.
    fn hold_millis(&self, head: &PacketHead) -> HoldMillis {
        let objective = self.routes.objective(head.service);
        let hold = objective.map_or(u128::from(MAX_HOLD_MS), |objective| {
            (objective / HOLD_DIVISOR).as_millis()
        });
        HoldMillis::try_from(hold).map_or(MAX_HOLD_MS, |hold| hold.min(MAX_HOLD_MS))
    }

    /// Whether the request can still be answered in time if the caller's next SYN is placed.
    fn awaits_next_syn(&self, head: &PacketHead) -> bool {
        let next = next_transmission_offset(head.ack);
        let objective = self.routes.objective(head.service);
        next.is_some_and(|age| objective.is_none_or(|objective| age < objective))
    }

    /// Adds the deferral or refusal of a SYN to the output, if the dispatcher has found no free
    /// capacity for its class.
    pub(crate) fn limit_syn(
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

/// Shortens the hash of a flow for messages between hosts and dispatchers.
fn flow_digest(flow_hash: u64) -> FlowDigest {
    (flow_hash ^ (flow_hash >> 32)) as FlowDigest
}
