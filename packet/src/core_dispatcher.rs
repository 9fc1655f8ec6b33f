//! How a core acts as the dispatcher of a contended service.

use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::flow_hash::rendezvous_weight;

use crate::dispatch::dispatch_message::DispatchQuery;
use crate::dispatch::dispatch_message::DispatchReply;
use crate::dispatch::dispatch_message::DispatchVerdict;
use crate::dispatch::dispatch_message::MOST_HOLD_MS;
use crate::dispatch::dispatch_message::RequestEvent;
use crate::dispatch::dispatch_policy::DispatchCandidate;
use crate::dispatch::dispatch_policy::is_limited;
use crate::dispatch::dispatch_policy::kept_reserve;
use crate::dispatch::dispatch_policy::least_loaded;
use crate::dispatch::waiting_flows::WaitingFlow;
use crate::ids::FlowDigest;
use crate::ids::ServiceIndex;
use crate::ids::ServiceTag;
use crate::ids::UpstreamIndex;
use crate::load::load_view::AddressedDatagram;
use crate::load::service_room::REQUEST_LOAD;
use crate::packet_core::PacketCore;
use crate::peers::peer_datagram::PeerDatagram;
use crate::policy_config::FLOW_LOAD;
use crate::selection::upstream_selection::is_panic;
use crate::selection::upstream_selection::sample;
use crate::upstreams::upstream_record::UpstreamRecord;

/// The room that a service has for one flow.
#[derive(Clone, Copy, Debug)]
struct FlowRoom {
    /// The least loaded upstream.
    best: DispatchCandidate,
    /// Whether a reserve is kept from flows of this class.
    may_limit: bool,
    /// Whether the flow gets no room, even at `best`. Only if `may_limit`.
    is_limited: bool,
}

impl PacketCore {
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
            let verdict = self.limit_verdict(flow.service);
            self.queue_reply(flow.from, flow.query.flow, verdict);
        }
        for place in 0..self.upstreams.pools().len() {
            let service = place as ServiceIndex;
            while let Some(flow) = self.dispatch.waiting.next(service).cloned() {
                let room = self.find_room(now, service, &flow.query);
                let Some(room) = room.filter(|room| !room.is_limited) else {
                    break;
                };
                let verdict = self.place_flow(now, service, &flow.query, room.best);
                self.dispatch.waiting.remove(flow.query.flow);
                self.queue_reply(flow.from, flow.query.flow, verdict);
            }
        }
    }

    fn queue_reply(&mut self, target: SocketAddrV4, flow: FlowDigest, verdict: DispatchVerdict) {
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

    /// Decides as a dispatcher.
    pub(crate) fn dispatch_verdict(
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
        let Some(room) = self.find_room(now, service, query) else {
            return DispatchVerdict::Unknown;
        };
        if room.may_limit {
            let demand = self.dispatch.demand(service);
            demand.limited.record(room.is_limited);
        }
        if !room.is_limited || !query.may_refuse {
            return self.place_flow(now, service, query, room.best);
        }
        if query.hold_ms > 0 && self.waits_for_room(now, from, service, query) {
            return DispatchVerdict::Wait;
        }
        self.limit_verdict(service)
    }

    /// The room for a flow; `None` if no upstream may get it.
    fn find_room(
        &mut self,
        now: Instant,
        service: ServiceIndex,
        query: &DispatchQuery,
    ) -> Option<FlowRoom> {
        self.dispatch.ledger.expire_placements(now);
        let most = self.upstreams.config().selection.max_sampled;
        let config = self.upstreams.config().dispatch;
        let mut best = self.least_loaded(now, service, query, most)?;
        let recent = &self.dispatch.demand(service).recent;
        let reserve = kept_reserve(&config, recent.more_urgent(query.priority));
        let limits = |best: &DispatchCandidate| {
            reserve.is_some_and(|reserve| is_limited(&config, reserve, best))
        };
        if limits(&best) {
            best = self.least_loaded(now, service, query, usize::MAX)?;
        }
        Some(FlowRoom {
            is_limited: limits(&best),
            may_limit: reserve.is_some(),
            best,
        })
    }

    fn place_flow(
        &mut self,
        now: Instant,
        service: ServiceIndex,
        query: &DispatchQuery,
        best: DispatchCandidate,
    ) -> DispatchVerdict {
        let demand = self.dispatch.demand(service);
        demand.recent.record(query.priority);
        self.dispatch.ledger.place(now, query.flow, best.index);
        let tag = self.upstreams.get(best.index).tag;
        tag.map_or(DispatchVerdict::Unknown, DispatchVerdict::Place)
    }

    /// What becomes of a flow without room: a rush that lasts is not over when the SYN is sent again.
    fn limit_verdict(&mut self, service: ServiceIndex) -> DispatchVerdict {
        let most = self.upstreams.config().dispatch.most_deferred;
        match self.dispatch.demand(service).limited.share() < most {
            true => DispatchVerdict::Defer,
            false => DispatchVerdict::Refuse,
        }
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
        let local = &self.upstreams.pool(service).local;
        let sampled = sample(local, u64::from(query.flow), most);
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
        let place = pools.position(|pool| pool.tag == tag)?;
        ServiceIndex::try_from(place).ok()
    }

    /// Whether an upstream gets new flows of a service. So many may be ejected that the fault is likely on this host's
    /// path; their ejection is then ignored, as in the selection.
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
