//! Estimates the load that a new flow of a route adds to its upstream, from the flows of this host.
//!
//! Some flows carry one request of a few milliseconds, others many requests a second. The load
//! placed since the last load measurement has to be estimated, and the number of flows alone does
//! not determine it. This module therefore measures the request time of each flow during its first
//! second and uses the mean per route as the cost of a new flow.

use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use foldhash::HashMap;

use crate::flows::flow_table::FlowKey;
use crate::flows::moving_mean::MovingMean;
use crate::ids::ServiceIndex;
use crate::load::load_state::REQUEST_LOAD;

/// Time from the start of a flow over which its request time is measured.
const MEASURED_SPAN: Duration = Duration::from_secs(1);

/// Maximum number of flows measured at a time, at 80 bytes each. Further flows are not measured.
const MAX_MEASURED_FLOWS: usize = 4096;

/// Maximum number of routes with known costs; the same as the number of routes with statistics.
const MAX_ROUTES: usize = 4096;

/// A share of 1: all of a service's request time.
pub const FULL_SHORT_FLOW_SHARE: u32 = 1000;

/// Parameters of flow costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowCostConfig {
    /// Cost of a flow until enough flows of its route have been measured, in parts of
    /// [`REQUEST_LOAD`]. Corresponds to a few requests of 4 to 40 ms in the first second.
    pub initial_load: u32,
    /// Minimum number of measured flows for the cost of a route to be known.
    pub min_flows: u64,
    /// Maximum time that one request adds, because a request waiting for a dead upstream is no
    /// load.
    pub max_request_time: Duration,
}

impl Default for FlowCostConfig {
    fn default() -> Self {
        Self {
            initial_load: 100,
            min_flows: 4,
            max_request_time: Duration::from_millis(500),
        }
    }
}

/// A flow in its first second.
#[derive(Clone, Copy, Debug)]
struct MeasuredFlow {
    /// Service of the flow's upstream.
    service: ServiceIndex,
    /// End of its first second.
    ends_at: Instant,
    /// Time of the current request; `None` if no request waits for a response.
    waiting_since: Option<Instant>,
    /// Total waiting time of its requests, without the current one.
    request_time: Duration,
}

/// Costs of flows by route.
#[derive(Debug, Default)]
pub struct FlowCosts {
    /// Mean request time in the first second of a flow; at most [`MAX_ROUTES`] entries.
    routes: HashMap<SocketAddrV4, MovingMean>,
    /// Flows in their first second; at most [`MAX_MEASURED_FLOWS`] entries.
    measured: HashMap<FlowKey, MeasuredFlow>,
    /// Request time in the first second of the flows of each service.
    services: HashMap<ServiceIndex, ShortFlowMeans>,
}

/// Means from which the request time of a service's flows that end within their first second is
/// derived.
#[derive(Clone, Copy, Debug, Default)]
struct ShortFlowMeans {
    /// Mean request time of a flow in its first second.
    all_flows: MovingMean,
    /// The same mean, with zero for each flow that lasted longer than its first second.
    short_flows: MovingMean,
}

impl MeasuredFlow {
    /// Ends the current request, if there is one.
    fn end_request(&mut self, config: &FlowCostConfig, now: Instant) {
        if let Some(since) = self.waiting_since.take() {
            let waited = now.min(self.ends_at).saturating_duration_since(since);
            self.request_time += waited.min(config.max_request_time);
        }
    }
}

impl FlowCosts {
    /// Returns the mean number of requests that a new flow of a route has in progress during its
    /// first second, in parts of [`REQUEST_LOAD`].
    pub fn expected_load(&self, config: &FlowCostConfig, route: SocketAddrV4) -> u32 {
        let mean = self.routes.get(&route);
        let Some(mean) = mean.and_then(|mean| mean.with_min_samples(config.min_flows)) else {
            return config.initial_load;
        };
        let load = mean.as_nanos() * u128::from(REQUEST_LOAD) / MEASURED_SPAN.as_nanos();
        u32::try_from(load).unwrap_or(u32::MAX)
    }

    /// Returns the share of the request time of a service's new flows that belongs to flows ending
    /// within a second, in thousandths. Returns [`FULL_SHORT_FLOW_SHARE`] if too few flows have
    /// been measured.
    pub fn short_flow_share(&self, config: &FlowCostConfig, service: ServiceIndex) -> u32 {
        let Some(means) = self.services.get(&service) else {
            return FULL_SHORT_FLOW_SHARE;
        };
        let all_flows = means.all_flows.with_min_samples(config.min_flows);
        let short_flows = means.short_flows.with_min_samples(config.min_flows);
        match (all_flows, short_flows) {
            (Some(all_flows), Some(short_flows)) if !all_flows.is_zero() => {
                let share = short_flows.as_nanos() * u128::from(FULL_SHORT_FLOW_SHARE)
                    / all_flows.as_nanos();
                u32::try_from(share)
                    .unwrap_or(FULL_SHORT_FLOW_SHARE)
                    .min(FULL_SHORT_FLOW_SHARE)
            }
            _ => FULL_SHORT_FLOW_SHARE,
        }
    }

    /// Returns the number of flows currently measured.
    pub fn measured_flows(&self) -> usize {
        self.measured.len()
    }

    /// Starts to measure a flow that has just been established.
    pub fn start_measuring(&mut self, now: Instant, key: FlowKey, service: ServiceIndex) {
        if self.measured.len() >= MAX_MEASURED_FLOWS {
            return;
        }
        let flow = MeasuredFlow {
            service,
            ends_at: now + MEASURED_SPAN,
            waiting_since: None,
            request_time: Duration::ZERO,
        };
        self.measured.insert(key, flow);
    }

    /// Records whether a flow now waits for a response.
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

    /// Records the cost of a flow that has ended.
    pub fn end(&mut self, config: &FlowCostConfig, now: Instant, key: &FlowKey) {
        if let Some(mut flow) = self.measured.remove(key) {
            flow.end_request(config, now);
            record_flow(&mut self.routes, &mut self.services, key, &flow, now);
        }
    }

    /// Discards the measurement of an incomplete flow.
    pub fn discard(&mut self, key: &FlowKey) {
        self.measured.remove(key);
    }

    /// Discards all measurements, after a stall of this process.
    pub fn discard_all(&mut self) {
        self.measured.clear();
    }

    /// Records the costs of flows whose first second is over.
    pub fn tick(&mut self, config: &FlowCostConfig, now: Instant) {
        let (routes, services) = (&mut self.routes, &mut self.services);
        self.measured.retain(|key, flow| {
            let in_first_second = now < flow.ends_at;
            if !in_first_second {
                flow.end_request(config, now);
                record_flow(routes, services, key, flow, now);
            }
            in_first_second
        });
    }
}

fn record_flow(
    routes: &mut HashMap<SocketAddrV4, MovingMean>,
    services: &mut HashMap<ServiceIndex, ShortFlowMeans>,
    key: &FlowKey,
    flow: &MeasuredFlow,
    now: Instant,
) {
    let means = services.entry(flow.service).or_default();
    means.all_flows.record(flow.request_time);
    means.short_flows.record(match now < flow.ends_at {
        true => flow.request_time,
        false => Duration::ZERO,
    });
    let route = key.service;
    if routes.len() < MAX_ROUTES || routes.contains_key(&route) {
        routes.entry(route).or_default().record(flow.request_time);
    }
}
