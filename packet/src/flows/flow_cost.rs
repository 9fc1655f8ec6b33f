//! What a new flow of a route will cost its upstream, learned from this host's flows.
//!
//! Load pattern: some flows carry one request of a few milliseconds, others many requests a second. Between two
//! measurements of the load, what was placed has to be counted, and flows alone do not say what they add. So the
//! request time of each flow's first second is measured, and its mean by route is what a new flow adds.

use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use foldhash::HashMap;

use crate::flows::flow_table::FlowKey;
use crate::flows::moving_mean::MovingMean;
use crate::ids::ServiceIndex;
use crate::load::service_room::REQUEST_LOAD;

/// The part of a flow's life over which its request time is measured.
const COST_SPAN: Duration = Duration::from_secs(1);

/// Most flows that are measured at a time, at 80 bytes each. Others teach nothing.
const MOST_MEASURED: usize = 4096;

/// Most routes whose costs are known: as many as have habits.
const MOST_ROUTES: usize = 4096;

/// All of a service's request time.
pub const FULL_TURNOVER: u32 = 1000;

/// Parameters of flow costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowCostConfig {
    /// Cost of flows of a route before enough were seen, in parts of [`REQUEST_LOAD`]. Some requests of 4 to 40 ms in
    /// the first second.
    pub assumed_load: u32,
    /// Fewest flows from which the cost of a route is told.
    pub fewest_flows: u64,
    /// Longest time that one request adds: a request that waits for a dead upstream is no load.
    pub longest_request: Duration,
}

impl Default for FlowCostConfig {
    fn default() -> Self {
        Self {
            assumed_load: 100,
            fewest_flows: 4,
            longest_request: Duration::from_millis(500),
        }
    }
}

/// A flow in its first second.
#[derive(Clone, Copy, Debug)]
struct MeasuredFlow {
    /// The service of its upstream.
    service: ServiceIndex,
    /// When its first second ends.
    ends_at: Instant,
    /// When its present request was sent, if one waits for its answer.
    waiting_since: Option<Instant>,
    /// How long its requests have waited so far, without the present one.
    request_time: Duration,
}

/// The cost of flows by route.
#[derive(Debug, Default)]
pub struct FlowCosts {
    /// Mean request time in the first second; at most [`MOST_ROUTES`].
    routes: HashMap<SocketAddrV4, MovingMean>,
    /// Flows in their first second; at most [`MOST_MEASURED`].
    measured: HashMap<FlowKey, MeasuredFlow>,
    /// What the flows of each service are like.
    services: HashMap<ServiceIndex, FlowTurnover>,
}

/// How much of the request time of a service's new flows is of flows that ended within their first second.
#[derive(Clone, Copy, Debug, Default)]
struct FlowTurnover {
    /// Mean request time of a flow in its first second.
    all: MovingMean,
    /// The same, with zero for flows that lasted longer.
    ended: MovingMean,
}

impl MeasuredFlow {
    /// Ends the present request, if there is one.
    fn end_request(&mut self, config: &FlowCostConfig, now: Instant) {
        if let Some(since) = self.waiting_since.take() {
            let waited = now.min(self.ends_at).saturating_duration_since(since);
            self.request_time += waited.min(config.longest_request);
        }
    }
}

impl FlowCosts {
    /// Requests that a new flow of a route will have in progress on average, in parts of [`REQUEST_LOAD`].
    pub fn expected_load(&self, config: &FlowCostConfig, route: SocketAddrV4) -> u32 {
        let mean = self.routes.get(&route);
        let Some(mean) = mean.and_then(|mean| mean.of_at_least(config.fewest_flows)) else {
            return config.assumed_load;
        };
        let load = mean.as_nanos() * u128::from(REQUEST_LOAD) / COST_SPAN.as_nanos();
        u32::try_from(load).unwrap_or(u32::MAX)
    }

    /// Share of the request time of a service's new flows that is of flows that ended within a second, in thousandths.
    /// All of it, if too little was seen.
    pub fn turnover(&self, config: &FlowCostConfig, service: ServiceIndex) -> u32 {
        let Some(turnover) = self.services.get(&service) else {
            return FULL_TURNOVER;
        };
        let all = turnover.all.of_at_least(config.fewest_flows);
        let ended = turnover.ended.of_at_least(config.fewest_flows);
        match (all, ended) {
            (Some(all), Some(ended)) if !all.is_zero() => {
                let share = ended.as_nanos() * u128::from(FULL_TURNOVER) / all.as_nanos();
                u32::try_from(share)
                    .unwrap_or(FULL_TURNOVER)
                    .min(FULL_TURNOVER)
            }
            _ => FULL_TURNOVER,
        }
    }

    /// Flows that are measured at present.
    pub fn measured_flows(&self) -> usize {
        self.measured.len()
    }

    /// Measures a flow that has opened just now.
    pub fn begin(&mut self, now: Instant, key: FlowKey, service: ServiceIndex) {
        if self.measured.len() >= MOST_MEASURED {
            return;
        }
        let flow = MeasuredFlow {
            service,
            ends_at: now + COST_SPAN,
            waiting_since: None,
            request_time: Duration::ZERO,
        };
        self.measured.insert(key, flow);
    }

    /// Records that a flow now waits for an answer, or no longer does.
    pub fn set_waiting(
        &mut self,
        config: &FlowCostConfig,
        now: Instant,
        key: &FlowKey,
        waits: bool,
    ) {
        let Some(flow) = self.measured.get_mut(key) else {
            return;
        };
        if flow.ends_at <= now {
            self.end(config, now, key);
        } else if waits {
            flow.waiting_since.get_or_insert(now);
        } else {
            flow.end_request(config, now);
        }
    }

    /// Learns from a flow that has ended.
    pub fn end(&mut self, config: &FlowCostConfig, now: Instant, key: &FlowKey) {
        if let Some(mut flow) = self.measured.remove(key) {
            flow.end_request(config, now);
            learn(&mut self.routes, &mut self.services, key, &flow, now);
        }
    }

    /// Forgets a flow that was cut short.
    pub fn forget(&mut self, key: &FlowKey) {
        self.measured.remove(key);
    }

    /// Forgets the flows that were measured during a stall of this process.
    pub fn forget_all(&mut self) {
        self.measured.clear();
    }

    /// Learns from the flows whose first second is over.
    pub fn tick(&mut self, config: &FlowCostConfig, now: Instant) {
        let (routes, services) = (&mut self.routes, &mut self.services);
        self.measured.retain(|key, flow| {
            let goes_on = now < flow.ends_at;
            if !goes_on {
                flow.end_request(config, now);
                learn(routes, services, key, flow, now);
            }
            goes_on
        });
    }
}

fn learn(
    routes: &mut HashMap<SocketAddrV4, MovingMean>,
    services: &mut HashMap<ServiceIndex, FlowTurnover>,
    key: &FlowKey,
    flow: &MeasuredFlow,
    now: Instant,
) {
    let turnover = services.entry(flow.service).or_default();
    turnover.all.learn(flow.request_time);
    turnover.ended.learn(match now < flow.ends_at {
        true => flow.request_time,
        false => Duration::ZERO,
    });
    let route = key.service;
    if routes.len() < MOST_ROUTES || routes.contains_key(&route) {
        routes.entry(route).or_default().learn(flow.request_time);
    }
}
