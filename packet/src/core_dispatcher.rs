//! Places the new flows of a contended service for the hosts of the zone, as its dispatcher.

use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::flow_hash::rendezvous_weight;

use crate::dispatch::dispatch_message::DispatchQuery;
use crate::dispatch::dispatch_message::DispatchReply;
use crate::dispatch::dispatch_message::DispatchVerdict;
use crate::dispatch::dispatch_message::MAX_HOLD_MS;
use crate::dispatch::dispatch_message::RequestEvent;
use crate::dispatch::dispatch_policy::DispatchCandidate;
use crate::dispatch::dispatch_policy::effective_reserve;
use crate::dispatch::dispatch_policy::is_limited;
use crate::dispatch::dispatch_policy::least_loaded;
use crate::dispatch::waiting_flows::WaitingFlow;
use crate::ids::FlowDigest;
use crate::ids::ServiceIndex;
use crate::ids::ServiceTag;
use crate::ids::UpstreamIndex;
use crate::load::load_state::REQUEST_LOAD;
use crate::load::load_tracker::AddressedDatagram;
use crate::packet_core::PacketCore;
use crate::peers::peer_datagram::PeerDatagram;
use crate::policy_config::FLOW_LOAD;
use crate::selection::upstream_selection::is_panic;
use crate::selection::upstream_selection::sample;
use crate::upstreams::upstream_record::UpstreamRecord;

/// The best upstream for a flow, and whether the flow may use it.
#[derive(Clone, Copy, Debug)]
struct FlowPlacement {
    /// The least loaded upstream.
    candidate: DispatchCandidate,
    /// Whether capacity is reserved for flows of more urgent classes.
    may_limit: bool,
    /// Whether `candidate` has no capacity for the flow outside that reserve. Always false unless
    /// `may_limit`.
    is_limited: bool,
}

impl PacketCore {
    /// Handles request events of a host for which this host is the dispatcher.
    ///
    /// Ended requests may free capacity for waiting flows. The replies to those are returned by
    /// [`Self::take_dispatch_datagrams`].
    pub fn handle_request_events(&mut self, now: Instant, events: &[RequestEvent]) {
        self.detect_stall(now);
        for event in events {
            match *event {
                RequestEvent::Began { flow, upstream } => {
                    if let Some(index) = self.upstreams.by_tag(upstream) {
                        let service = self.upstreams.get(index).service;
                        self.dispatch.record_event(now, service);
                        self.dispatch.ledger.record_request(now, flow, index);
                    }
                }
                RequestEvent::Ended { flow } => self.dispatch.ledger.record_end(flow),
            }
        }
        self.serve_waiting(now);
    }

    /// Queues the replies to waiting flows that can be placed now or have waited too long.
    pub(crate) fn serve_waiting(&mut self, now: Instant) {
        if self.dispatch.waiting.is_empty() {
            return;
        }
        for flow in self.dispatch.waiting.take_expired(now) {
            let verdict = self.limit_verdict(flow.service);
            self.queue_reply(flow.from, flow.query.flow, verdict);
        }
        for index in 0..self.upstreams.pools().len() {
            let service = index as ServiceIndex;
            while let Some(flow) = self.dispatch.waiting.next(service).cloned() {
                let placement = self.find_placement(now, service, &flow.query);
                let Some(placement) = placement.filter(|placement| !placement.is_limited) else {
                    break;
                };
                let verdict = self.place_flow(now, service, &flow.query, placement.candidate);
                self.dispatch.waiting.remove(flow.query.flow);
                self.queue_reply(flow.from, flow.query.flow, verdict);
            }
        }
    }

    fn queue_reply(&mut self, target: SocketAddrV4, flow: FlowDigest, verdict: DispatchVerdict) {
        let reply = DispatchReply { flow, verdict };
        self.dispatch.replies.push((target, reply));
    }

    /// Handles a host's query and returns the reply.
    pub fn handle_query(
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

    /// Returns the verdict on a query. It is `Unknown` while this host cannot decide: it does not
    /// know the service, has not learned its requests yet, or has no usable upstream.
    pub(crate) fn dispatch_verdict(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        query: &DispatchQuery,
    ) -> DispatchVerdict {
        let Some(service) = self.service_by_tag(query.service) else {
            return DispatchVerdict::Unknown;
        };
        if !self.dispatch.has_learned_requests(now, service) {
            return DispatchVerdict::Unknown;
        }
        let Some(placement) = self.find_placement(now, service, query) else {
            return DispatchVerdict::Unknown;
        };
        if placement.may_limit {
            let demand = self.dispatch.demand(service);
            demand.limited.record(placement.is_limited);
        }
        if !placement.is_limited || !query.may_refuse {
            return self.place_flow(now, service, query, placement.candidate);
        }
        if query.hold_ms > 0 && self.add_waiting_flow(now, from, service, query) {
            return DispatchVerdict::Wait;
        }
        self.limit_verdict(service)
    }

    /// Selects the least loaded upstream of a sample for a flow, or of all upstreams if that one
    /// has no free capacity. Returns `None` if no upstream is usable.
    fn find_placement(
        &mut self,
        now: Instant,
        service: ServiceIndex,
        query: &DispatchQuery,
    ) -> Option<FlowPlacement> {
        self.dispatch.ledger.expire_placements(now);
        let max_sampled = self.upstreams.config().selection.max_sampled;
        let config = self.upstreams.config().dispatch;
        let mut candidate = self.least_loaded(now, service, query, max_sampled)?;
        let recent = &self.dispatch.demand(service).recent;
        let reserve = effective_reserve(&config, recent.more_urgent(query.priority));
        let limits = |candidate: &DispatchCandidate| {
            reserve.is_some_and(|reserve| is_limited(&config, reserve, candidate))
        };
        if limits(&candidate) {
            candidate = self.least_loaded(now, service, query, usize::MAX)?;
        }
        Some(FlowPlacement {
            is_limited: limits(&candidate),
            may_limit: reserve.is_some(),
            candidate,
        })
    }

    fn place_flow(
        &mut self,
        now: Instant,
        service: ServiceIndex,
        query: &DispatchQuery,
        candidate: DispatchCandidate,
    ) -> DispatchVerdict {
        let demand = self.dispatch.demand(service);
        demand.recent.record(query.priority);
        self.dispatch
            .ledger
            .record_placement(now, query.flow, candidate.index);
        let tag = self.upstreams.get(candidate.index).tag;
        tag.map_or(DispatchVerdict::Unknown, DispatchVerdict::Place)
    }

    /// Returns the verdict on a flow that finds no free capacity. It is refused once many flows are
    /// limited: an overload that lasts will not be over when the SYN is retransmitted.
    fn limit_verdict(&mut self, service: ServiceIndex) -> DispatchVerdict {
        let max_deferred = self.upstreams.config().dispatch.max_deferred_share;
        match self.dispatch.demand(service).limited.share() < max_deferred {
            true => DispatchVerdict::Defer,
            false => DispatchVerdict::Refuse,
        }
    }

    /// Adds a flow to those that wait for free capacity. Returns false if too many wait already.
    fn add_waiting_flow(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        service: ServiceIndex,
        query: &DispatchQuery,
    ) -> bool {
        let local = self.upstreams.pool(service).local.iter();
        let slots = local.map(|index| self.upstreams.get(*index).slots).sum();
        let hold = query.hold_ms.min(MAX_HOLD_MS);
        let flow = WaitingFlow {
            from,
            service,
            query: query.clone(),
            expires_at: now + Duration::from_millis(hold.into()),
        };
        self.dispatch.waiting.add(flow, slots)
    }

    /// Returns the least loaded usable upstream of a sample of the zone's upstreams.
    fn least_loaded(
        &self,
        now: Instant,
        service: ServiceIndex,
        query: &DispatchQuery,
        max_sampled: usize,
    ) -> Option<DispatchCandidate> {
        let local = &self.upstreams.pool(service).local;
        let sampled = sample(local, u64::from(query.flow), max_sampled);
        let mut records = sampled.clone().map(|index| self.upstreams.get(index));
        let panic = records.any(UpstreamRecord::is_degraded) && self.is_panic(service);
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
        let index = pools.position(|pool| pool.tag == tag)?;
        ServiceIndex::try_from(index).ok()
    }

    /// Whether an upstream may get new flows of a service. With `panic`, ejections are ignored: so
    /// many upstreams are ejected that the fault is likely on this host's own path.
    pub(crate) fn is_dispatchable(
        &self,
        index: UpstreamIndex,
        service: ServiceIndex,
        panic: bool,
    ) -> bool {
        let record = self.upstreams.get(index);
        let usable = record.takes_flows() && (panic || !record.is_degraded());
        let evacuated = self.upstreams.evacuated().contains_key(&record.zone);
        usable && record.service == service && !evacuated
    }

    pub(crate) fn is_panic(&self, service: ServiceIndex) -> bool {
        is_panic(&self.upstreams, service, UpstreamRecord::is_degraded)
    }
}
