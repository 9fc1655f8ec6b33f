//! How a core asks the dispatcher of a contended service where a flow goes.

use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

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
use crate::dispatch::dispatch_policy::LimitedShare;
use crate::dispatch::dispatch_policy::RecentDemand;
use crate::dispatch::dispatcher_choice::DispatcherChoice;
use crate::dispatch::request_ledger::RequestLedger;
use crate::dispatch::waiting_flows::WaitingFlows;
use crate::flows::flow_table::FlowKey;
use crate::ids::FlowDigest;
use crate::ids::HoldMillis;
use crate::ids::ServiceIndex;
use crate::ids::UpstreamIndex;
use crate::load::load_view::AddressedDatagram;
use crate::load::load_view::SynOutcome;
use crate::packet_action::DecisionEvent;
use crate::packet_action::PacketAction;
use crate::packet_action::PacketOutput;
use crate::packet_core::PacketCore;
use crate::packet_head::PacketHead;
use crate::peers::peer_datagram::PeerDatagram;
use crate::routes::route_config::RequestPriority;

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
    pub(crate) waiting: WaitingFlows,
    /// Queries to send.
    queries: Vec<(SocketAddrV4, DispatchQuery)>,
    /// Replies to send.
    pub(crate) replies: Vec<(SocketAddrV4, DispatchReply)>,
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
pub(crate) struct ServiceDemand {
    pub(crate) recent: RecentDemand,
    pub(crate) limited: LimitedShare,
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

    pub(crate) fn demand(&mut self, service: ServiceIndex) -> &mut ServiceDemand {
        let place = service as usize;
        if self.demands.len() <= place {
            self.demands.resize(place + 1, ServiceDemand::default());
        }
        &mut self.demands[place]
    }

    pub(crate) fn heard_request(&mut self, now: Instant, service: ServiceIndex) {
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

    pub(crate) fn knows_requests(&self, now: Instant, service: ServiceIndex) -> bool {
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
                self.dispatch
                    .choice
                    .choose(now, &self.peers, self.capacity, pool.tag)
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
            service: self.upstreams.pool(syn.service).tag,
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
                let usable = index.filter(|index| {
                    let degraded = self.upstreams.get(*index).is_degraded();
                    let panic = degraded && self.is_panic(syn.service);
                    self.is_dispatchable(*index, syn.service, panic)
                });
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
