//! Exchanges load reports with peers, and admits SYNs of contended services by priority class.

use std::net::SocketAddrV4;
use std::time::Instant;

use lagoonproxy::result_code::ResultCode;

use crate::admission::admission_state::SynArrival;
use crate::admission::class_admission::SynDecision;
use crate::flows::flow_table::FlowKey;
use crate::flows::flow_tracker::SynObservations;
use crate::ids::ServiceIndex;
use crate::ids::UpstreamIndex;
use crate::load::load_report::LoadDigest;
use crate::load::load_report::LoadReport;
use crate::load::load_state::ContentionState;
use crate::load::load_tracker::AddressedDatagram;
use crate::load::load_tracker::LoadTracker;
use crate::load::load_tracker::RequestEnd;
use crate::load::load_tracker::SynOutcome;
use crate::packet_action::DecisionEvent;
use crate::packet_action::PacketAction;
use crate::packet_action::PacketOutput;
use crate::packet_core::PacketCore;
use crate::packet_head::PacketHead;
use crate::routes::route_table::RequestClass;
use crate::selection::load_weight::estimated_in_progress;

/// A SYN with its selected upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SelectedSyn<'a> {
    pub(crate) head: &'a PacketHead,
    pub(crate) flow_hash: u64,
    pub(crate) service: ServiceIndex,
    pub(crate) contention: ContentionState,
    /// The earlier SYNs of the flow through this host.
    pub(crate) observations: &'a SynObservations,
    pub(crate) upstream: UpstreamIndex,
    pub(crate) has_free_slot: bool,
    /// Whether the dispatcher has decided: the SYN's class is not checked again.
    pub(crate) is_dispatched: bool,
}

impl PacketCore {
    /// The load of services, as this host has measured and learned it.
    pub fn load(&self) -> &LoadTracker {
        &self.load
    }

    /// Updates load, spill and admission. To be called several times a second.
    pub(crate) fn tick_load(&mut self, now: Instant, output: &mut PacketOutput) {
        self.load
            .tick(now, &self.peers, &mut self.upstreams, &mut output.events);
        self.upstreams.update_weights(self.flow_tracker.costs());
        self.tick_spill(now, output);
        self.admission.tick(now);
    }

    /// Whether a SYN may be placed now. Otherwise adds its deferral or refusal to the output.
    /// Always true for services that are not contended.
    pub(crate) fn admits_class(
        &mut self,
        now: Instant,
        syn: SelectedSyn<'_>,
        output: &mut PacketOutput,
    ) -> bool {
        let (head, service) = (syn.head, syn.service);
        let Some(class) = self.routes.class(head.service, service) else {
            return true;
        };
        if !syn.contention.is_contended || syn.is_dispatched {
            self.admission.record_placed(now, service, class.rank);
            if syn.is_dispatched {
                let (key, transmission) = (FlowKey::of(head), head.ack);
                let placed = SynOutcome::Placed;
                self.admission
                    .record_dispatched(now, key, transmission, placed);
            }
            self.load
                .record_syn(now, service, class, head.ack, SynOutcome::Placed);
            return true;
        }
        let arrival = SynArrival {
            key: FlowKey::of(head),
            flow_hash: syn.flow_hash,
            service,
            contention: syn.contention,
            class,
            transmission: head.ack,
            // By the time a parked SYN is resumed, the caller may have sent the next one and opened
            // the flow through another host.
            placed_before: !syn.observations.tried.is_empty() || self.dispatch.is_resumed,
            has_free_slot: syn.has_free_slot,
            objective: self.routes.objective(head.service),
            timeout: self.routes.timeout(head.service),
        };
        let (_query, decision) = self.admission.evaluate(now, &arrival);
        let outcome = match decision {
            SynDecision::Admit => SynOutcome::Placed,
            SynDecision::Defer(_) => SynOutcome::Deferred,
            SynDecision::Refuse(_) => SynOutcome::Refused,
        };
        self.load.record_syn(now, service, class, head.ack, outcome);
        let (action, code) = match decision {
            SynDecision::Admit => return true,
            SynDecision::Defer(code) => (PacketAction::Drop { code }, code),
            SynDecision::Refuse(code) => (PacketAction::Reset { acked: 0, code }, code),
        };
        output.actions.push(action);
        self.record_class_limit(now, syn, class, code, output);
        false
    }

    /// Counts a SYN that the dispatcher has deferred or refused, and adds the event to the output.
    pub(crate) fn record_dispatch_limit(
        &mut self,
        now: Instant,
        syn: SelectedSyn<'_>,
        code: ResultCode,
        outcome: SynOutcome,
        output: &mut PacketOutput,
    ) {
        let (head, service) = (syn.head, syn.service);
        let Some(class) = self.routes.class(head.service, service) else {
            return;
        };
        let (key, transmission) = (FlowKey::of(head), head.ack);
        self.admission
            .record_dispatched(now, key, transmission, outcome);
        self.load
            .record_syn(now, service, class, transmission, outcome);
        self.record_class_limit(now, syn, class, code, output);
    }

    /// Whether a SYN is sent to a second upstream as well. While the service is contended, hedges
    /// are taken from a budget; probes are not.
    pub(crate) fn admits_hedge(
        &mut self,
        now: Instant,
        contention: ContentionState,
        second: UpstreamIndex,
    ) -> bool {
        let is_probe = self.upstreams.get(second).failure_detector.wants_probe(now);
        !contention.is_contended || is_probe || self.admission.spend_hedge()
    }

    /// Records how a request ended.
    pub(crate) fn record_request(
        &mut self,
        now: Instant,
        head: &PacketHead,
        index: UpstreamIndex,
        end: RequestEnd,
    ) {
        let service = self.upstreams.get(index).service;
        if let Some(class) = self.routes.class(head.service, service) {
            self.admission.record_demand(now, service, class.rank);
            self.load
                .record_request(now, index, class, end, &self.upstreams);
        }
    }

    /// Returns the load datagrams that are due; none while no service is contended.
    pub fn due_load_datagrams(&mut self, now: Instant) -> Vec<AddressedDatagram> {
        let mut due = self.load.due_datagrams(now, &self.peers, &self.upstreams);
        self.add_zones(now, &mut due);
        due.extend(self.due_zone_reports(now));
        due
    }

    /// Merges a host's load report.
    pub fn handle_load_report(&mut self, now: Instant, from: SocketAddrV4, report: &LoadReport) {
        self.load.handle_report(now, from, report);
    }

    /// Merges an aggregator's digest of the zone's load.
    pub fn handle_digest(&mut self, now: Instant, from: SocketAddrV4, digest: &LoadDigest) {
        self.load.handle_digest(now, from, digest);
        self.spill
            .handle_digest(now, from, digest.sequence, digest.reporters, &digest.zones);
    }

    fn record_class_limit(
        &self,
        now: Instant,
        syn: SelectedSyn<'_>,
        class: RequestClass,
        code: ResultCode,
        output: &mut PacketOutput,
    ) {
        let deferred = matches!(output.actions.last(), Some(PacketAction::Drop { .. }));
        let updated_at = syn.contention.updated_at;
        let record = self.upstreams.get(syn.upstream);
        let load_weight = &self.upstreams.config().load_weight;
        let local_hosts = self.peers.local_hosts(now) as u32;
        output.events.push(DecisionEvent::ClassLimited {
            caller: syn.head.caller,
            service: syn.head.service,
            service_name: self.upstreams.pool(syn.service).name.clone(),
            transmission: syn.head.ack,
            class,
            code,
            deferred,
            upstream: record.name.clone(),
            in_progress: estimated_in_progress(load_weight, record, now, local_hosts),
            contention: syn.contention,
            age: updated_at.map(|at| now.saturating_duration_since(at)),
            version: self.version,
        });
    }
}
