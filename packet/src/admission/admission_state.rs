//! State of admission by class on one host, and the decision on each SYN of a contended service.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy::retry_budget::RetryBudget;

use crate::admission::admission_pressure::AdmissionPressure;
use crate::admission::caller_share::CallerShares;
use crate::admission::class_admission::ClassAdmissionConfig;
use crate::admission::class_admission::SynDecision;
use crate::admission::class_admission::SynQuery;
use crate::admission::class_admission::decide_syn;
use crate::admission::class_admission::effective_transmission;
use crate::admission::class_demand::ClassDemand;
use crate::admission::deferred_syns::DeferredSyns;
use crate::flows::flow_table::FlowKey;
use crate::ids::ClassRank;
use crate::ids::ServiceIndex;
use crate::load::load_state::ContentionState;
use crate::load::load_tracker::SynOutcome;
use crate::routes::route_table::RequestClass;

/// A SYN of a contended service that has arrived at this host.
#[derive(Clone, Copy, Debug)]
pub struct SynArrival {
    /// Caller and service address of the flow.
    pub key: FlowKey,
    /// Hash of the flow; the same on every host.
    pub flow_hash: u64,
    /// Service that the SYN is addressed to.
    pub service: ServiceIndex,
    /// Load of the service.
    pub contention: ContentionState,
    /// Class of the request that the flow carries.
    pub class: RequestClass,
    /// Transmission number: 0 for the first SYN, n for retransmission n.
    pub transmission: u32,
    /// Whether this host has forwarded an earlier SYN of the flow to an upstream.
    pub placed_before: bool,
    /// Whether an upstream is known to have a free slot.
    pub has_free_slot: bool,
    /// Latency objective of the route, counted from the first SYN.
    pub objective: Option<Duration>,
    /// Timeout of the route, counted from the first SYN.
    pub timeout: Option<Duration>,
}

/// State of admission by class on one host.
#[derive(Debug)]
pub struct AdmissionState {
    config: ClassAdmissionConfig,
    callers: CallerShares,
    deferred: DeferredSyns,
    demand: ClassDemand,
    /// Admission pressures, indexed by service.
    pressures: Vec<AdmissionPressure>,
    /// Budget of hedges while services are contended.
    hedges: RetryBudget,
}

impl AdmissionState {
    /// Creates an empty state.
    pub fn new(config: ClassAdmissionConfig) -> Self {
        let ratio = 1.0 / f64::from(config.flows_per_hedge);
        Self {
            config,
            callers: CallerShares::default(),
            deferred: DeferredSyns::default(),
            demand: ClassDemand::default(),
            pressures: Vec::new(),
            hedges: RetryBudget::new(ratio, f64::from(config.hedge_burst)),
        }
    }

    /// Records a new flow or a request of a class. Called whether or not the service is contended.
    pub fn record_demand(&mut self, now: Instant, service: ServiceIndex, rank: ClassRank) {
        self.demand.record(now, service, rank);
    }

    /// Records a SYN that was placed while its service was not contended.
    pub fn record_placed(&mut self, now: Instant, service: ServiceIndex, rank: ClassRank) {
        self.demand.record(now, service, rank);
        let pressure = self.pressure(service);
        pressure.end_contention();
        pressure.record(now, rank, 0);
    }

    /// Decides on a SYN of a contended service and records the decision.
    pub fn evaluate(&mut self, now: Instant, syn: &SynArrival) -> (SynQuery, SynDecision) {
        let (service, rank) = (syn.service, syn.class.rank);
        let caller = *syn.key.caller.ip();
        self.demand.record(now, service, rank);
        if syn.transmission == 0 {
            self.callers.record_flow(now, service, rank, caller);
        }
        let demand = self
            .demand
            .rank(now, service, rank, self.config.demand_timeout);
        let query = SynQuery {
            contention: syn.contention,
            pressure: self.derived_pressure(now, service, syn.contention),
            class: syn.class,
            demand_rank: demand.rank,
            classes_with_demand: demand.classes,
            transmission: syn.transmission,
            flow_hash: syn.flow_hash,
            placed_before: syn.placed_before,
            known_unopened: self.deferred.is_unopened(now, &syn.key, syn.transmission),
            has_free_slot: syn.has_free_slot,
            is_heavy_caller: self.callers.is_heavy(service, rank, caller),
            objective: syn.objective,
            timeout: syn.timeout,
        };
        let decision = decide_syn(&self.config, &query);
        if !syn.placed_before {
            let transmission = effective_transmission(&query);
            self.pressure(service).record(now, rank, transmission);
        }
        match decision {
            SynDecision::Defer(_) => self.deferred.record(now, syn.key, syn.transmission),
            SynDecision::Admit | SynDecision::Refuse(_) => self.deferred.remove(&syn.key),
        }
        if decision == SynDecision::Admit && !syn.placed_before {
            self.hedges.earn();
        }
        (query, decision)
    }

    /// Whether a flow cannot be open because this host deferred every SYN of it before this one.
    pub fn is_unopened(&self, now: Instant, key: &FlowKey, transmission: u32) -> bool {
        self.deferred.is_unopened(now, key, transmission)
    }

    /// Records a dispatcher's decision on a SYN.
    pub fn record_dispatched(
        &mut self,
        now: Instant,
        key: FlowKey,
        transmission: u32,
        outcome: SynOutcome,
    ) {
        match outcome {
            SynOutcome::Deferred => self.deferred.record(now, key, transmission),
            SynOutcome::Placed | SynOutcome::Refused => self.deferred.remove(&key),
        }
    }

    fn pressure(&mut self, service: ServiceIndex) -> &mut AdmissionPressure {
        let index = service as usize;
        if index >= self.pressures.len() {
            self.pressures.resize(index + 1, Default::default());
        }
        &mut self.pressures[index]
    }

    /// Returns the admission pressure of a service.
    fn derived_pressure(
        &mut self,
        now: Instant,
        service: ServiceIndex,
        contention: ContentionState,
    ) -> u32 {
        let config = self.config;
        let mut pressure = *self.pressure(service);
        let demand = &self.demand;
        let derived = pressure.derive(now, contention.pressure, &config, |rank| {
            let demand = demand.rank(now, service, rank, config.demand_timeout);
            config.ramp(demand.rank, demand.classes)
        });
        self.pressures[service as usize] = pressure;
        derived
    }

    /// Takes one hedge of a SYN of a contended service from the budget. Returns false if the budget
    /// is empty.
    pub fn spend_hedge(&mut self) -> bool {
        self.hedges.spend()
    }

    /// Handles a stall of this process, during which other hosts may have opened the deferred
    /// flows.
    pub fn handle_stall(&mut self, now: Instant) {
        self.deferred.discard_after_stall(now);
    }

    /// Removes expired state. Must be called several times a second.
    pub fn tick(&mut self, now: Instant) {
        self.callers.tick(now);
        self.deferred.tick(now);
    }
}
