//! What a host remembers for admission by class, and the decision on each SYN of a contended service.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy::retry_budget::RetryBudget;

use crate::admission::admission_pressure::AdmissionPressure;
use crate::admission::caller_share::CallerShares;
use crate::admission::class_admission::ClassAdmissionConfig;
use crate::admission::class_admission::SynQuery;
use crate::admission::class_admission::SynVerdict;
use crate::admission::class_admission::judge_syn;
use crate::admission::class_admission::waited_copies;
use crate::admission::class_demand::ClassDemand;
use crate::admission::deferred_syns::DeferredSyns;
use crate::flows::flow_table::FlowKey;
use crate::ids::ClassRank;
use crate::ids::ServiceIndex;
use crate::load::load_view::SynOutcome;
use crate::load::service_room::ServiceRoom;
use crate::routes::route_table::RequestClass;

/// A SYN of a contended service that has arrived.
#[derive(Clone, Copy, Debug)]
pub struct SynArrival {
    /// The two ends of its flow.
    pub key: FlowKey,
    /// Hash of the flow, alike on every host.
    pub flow_hash: u64,
    /// Its service.
    pub service: ServiceIndex,
    /// The load of its service.
    pub room: ServiceRoom,
    /// The class of the request inside.
    pub class: RequestClass,
    /// Which retransmission it is; 0 for the first SYN.
    pub copy: u32,
    /// An earlier SYN of the flow went to an upstream through this host.
    pub placed_before: bool,
    /// Whether an upstream is known to have a free slot.
    pub has_free_slot: bool,
    /// Latency objective of the route, from the first SYN.
    pub target: Option<Duration>,
    /// Timeout of the route, from the first SYN.
    pub timeout: Option<Duration>,
}

/// What a host remembers for admission by class.
#[derive(Debug)]
pub struct AdmissionState {
    config: ClassAdmissionConfig,
    callers: CallerShares,
    deferred: DeferredSyns,
    demand: ClassDemand,
    /// By service.
    pressures: Vec<AdmissionPressure>,
    /// Hedges while a service is contended.
    hedges: RetryBudget,
}

impl AdmissionState {
    /// A host that remembers nothing yet.
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

    /// Records a new flow or a request of a class, also in calm.
    pub fn record_demand(&mut self, now: Instant, service: ServiceIndex, rank: ClassRank) {
        self.demand.record(now, service, rank);
    }

    /// Records a SYN that was placed in calm.
    pub fn record_placed(&mut self, now: Instant, service: ServiceIndex, rank: ClassRank) {
        self.demand.record(now, service, rank);
        let pressure = self.pressure(service);
        pressure.relieve();
        pressure.record(now, rank, 0);
    }

    /// Decides about a SYN of a contended service, and remembers the decision.
    pub fn judge(&mut self, now: Instant, syn: &SynArrival) -> (SynQuery, SynVerdict) {
        let (service, rank) = (syn.service, syn.class.rank);
        let caller = *syn.key.caller.ip();
        self.demand.record(now, service, rank);
        if syn.copy == 0 {
            self.callers.record_flow(now, service, rank, caller);
        }
        let demand = self
            .demand
            .rank(now, service, rank, self.config.demand_memory);
        let query = SynQuery {
            room: syn.room,
            pressure: self.derived_pressure(now, service, syn.room),
            class: syn.class,
            demand_rank: demand.rank,
            demanding_classes: demand.classes,
            copy: syn.copy,
            flow_hash: syn.flow_hash,
            placed_before: syn.placed_before,
            deferred_before: self.deferred.is_unopened(now, &syn.key, syn.copy),
            has_free_slot: syn.has_free_slot,
            is_heavy_caller: self.callers.is_heavy(service, rank, caller),
            target: syn.target,
            timeout: syn.timeout,
        };
        let verdict = judge_syn(&self.config, &query);
        if !syn.placed_before {
            let copy = waited_copies(&query);
            self.pressure(service).record(now, rank, copy);
        }
        match verdict {
            SynVerdict::Defer(_) => self.deferred.record(now, syn.key, syn.copy),
            SynVerdict::Admit | SynVerdict::Refuse(_) => self.deferred.remove(&syn.key),
        }
        if verdict == SynVerdict::Admit && !syn.placed_before {
            self.hedges.earn();
        }
        (query, verdict)
    }

    /// Whether a flow cannot be open: this host deferred each of its SYNs before this one.
    pub fn is_unopened(&self, now: Instant, key: &FlowKey, copy: u32) -> bool {
        self.deferred.is_unopened(now, key, copy)
    }

    /// Records what a dispatcher decided about a SYN.
    pub fn record_dispatched(
        &mut self,
        now: Instant,
        key: FlowKey,
        copy: u32,
        outcome: SynOutcome,
    ) {
        match outcome {
            SynOutcome::Deferred => self.deferred.record(now, key, copy),
            SynOutcome::Placed | SynOutcome::Refused => self.deferred.remove(&key),
        }
    }

    fn pressure(&mut self, service: ServiceIndex) -> &mut AdmissionPressure {
        let place = service as usize;
        if place >= self.pressures.len() {
            self.pressures.resize(place + 1, Default::default());
        }
        &mut self.pressures[place]
    }

    /// The pressure at which SYNs of a service are judged.
    fn derived_pressure(&mut self, now: Instant, service: ServiceIndex, room: ServiceRoom) -> u32 {
        let config = self.config;
        let mut pressure = *self.pressure(service);
        let demand = &self.demand;
        let derived = pressure.derive(now, room.pressure, &config, |rank| {
            let demand = demand.rank(now, service, rank, config.demand_memory);
            config.ramp(demand.rank, demand.classes)
        });
        self.pressures[service as usize] = pressure;
        derived
    }

    /// Takes one hedge of a SYN of a contended service from the budget; false if none is left.
    pub fn spend_hedge(&mut self) -> bool {
        self.hedges.spend()
    }

    /// Handles a stall of this process: flows that it deferred may have been opened through other hosts.
    pub fn restart(&mut self, now: Instant) {
        self.deferred.restart(now);
    }

    /// Removes what is no longer needed. To be called several times a second.
    pub fn tick(&mut self, now: Instant) {
        self.callers.tick(now);
        self.deferred.tick(now);
    }
}
