//! Weights of the upstreams of a contended service, computed from their load.
//!
//! Many hosts hold the same load digest. If each of them selected the upstream with the most free
//! capacity, all would select the same one until the next digest. Each flow therefore draws its
//! upstream at random, with a probability proportional to the weight.

use std::time::Duration;
use std::time::Instant;

use crate::flows::flow_cost::FULL_SHORT_FLOW_SHARE;
use crate::load::load_state::REQUEST_LOAD;
use crate::load::load_state::UpstreamLoad;
use crate::policy_config::FLOW_LOAD;
use crate::upstreams::upstream_record::UpstreamRecord;

/// Hash bits used by a draw. With 53 bits the largest value would be rounded up to 1.
const DRAW_BITS: u32 = 52;

/// How the weight of an upstream is computed from its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightMethod {
    /// The number of requests that it can still accept.
    FreeCapacity,
    /// Its slots divided by the product of its requests in progress per slot and its response time.
    #[default]
    ExpectedWait,
}

/// Parameters of upstream selection for contended services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadWeightConfig {
    /// How weights are computed.
    pub method: WeightMethod,
    /// Requests in progress per slot at which an upstream has no free capacity left, in parts of
    /// [`REQUEST_LOAD`].
    pub target_in_progress: u32,
    /// Minimum free capacity per slot, in parts of [`REQUEST_LOAD`]. A full upstream keeps getting
    /// a few flows, which show when it has capacity again.
    pub min_free_capacity: u32,
    /// Minimum requests in progress per slot for the expected wait, in parts of [`REQUEST_LOAD`].
    pub min_in_progress: u32,
    /// Response time assumed for an upstream without a measured one.
    pub default_response_time: Duration,
    /// Damping of a new measurement. The ratio of measured to current weight is raised to the power
    /// of `1 / (1 + short_flow_damping × s)`, where `s` is the share of request time that belongs
    /// to flows of less than a second.
    ///
    /// Such flows have ended by the time that hosts read the measurement. Hosts that followed it
    /// undamped would fill the upstream that was empty and empty the one that was full, in turn.
    /// The load of long flows changes little between two measurements and needs no damping.
    pub short_flow_damping: u32,
    /// Maximum number of upstreams of a zone that are sampled for a new flow. A draw needs fewer
    /// than selection by flow count, and each weight takes longer to compute.
    pub max_sampled: usize,
    /// Age from which a load measurement is no longer used.
    pub max_load_age: Duration,
    /// Percentage of the published connection limit at which an upstream counts as saturated.
    pub connection_limit_percent: u64,
}

impl Default for LoadWeightConfig {
    fn default() -> Self {
        Self {
            method: WeightMethod::ExpectedWait,
            target_in_progress: 2500,
            min_free_capacity: 20,
            min_in_progress: 250,
            default_response_time: Duration::from_millis(20),
            short_flow_damping: 7,
            max_sampled: 48,
            max_load_age: Duration::from_secs(1),
            connection_limit_percent: 95,
        }
    }
}

/// Load that this host has placed on an upstream since the upstream was last measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacedLoad {
    /// Requests that the placed flows are expected to add, in parts of [`REQUEST_LOAD`].
    load: u32,
    /// The `updated_at` of the measurement that `load` is added to.
    measured_at: Option<Instant>,
}

impl PlacedLoad {
    /// Adds a flow; `updated_at` belongs to the current measurement of the upstream.
    pub fn add(&mut self, updated_at: Option<Instant>, flow_cost: u32) {
        let load = self.load(updated_at);
        self.load = load.saturating_add(flow_cost);
        self.measured_at = updated_at;
    }

    /// Returns the load placed since the measurement at `updated_at`.
    pub fn load(&self, updated_at: Option<Instant>) -> u32 {
        if self.measured_at == updated_at {
            self.load
        } else {
            0
        }
    }
}

/// Weight of an upstream, smoothed over successive load measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MeasuredWeight {
    /// The weight. Meaningless while `measured_at` is `None`.
    weight: f64,
    /// The `updated_at` of the last measurement included.
    measured_at: Option<Instant>,
}

impl MeasuredWeight {
    /// Moves the weight towards that of a new measurement. Does nothing if the weight has not been
    /// initialized, if the measurement is not new, or if the previous one was too long ago.
    pub fn update(
        &mut self,
        config: &LoadWeightConfig,
        slots: u32,
        short_flow_share: u32,
        load: &UpstreamLoad,
    ) {
        let (Some(last), Some(latest)) = (self.measured_at, load.updated_at) else {
            return;
        };
        let is_consecutive = latest.saturating_duration_since(last) < config.max_load_age;
        if last == latest || !is_consecutive {
            return;
        }
        let measured = weight_from_load(config, slots, load, load.in_progress);
        let share = f64::from(short_flow_share) / f64::from(FULL_SHORT_FLOW_SHARE);
        let divisor = 1.0 + f64::from(config.short_flow_damping) * share;
        self.weight *= (measured / self.weight).powf(1.0 / divisor);
        self.measured_at = Some(latest);
    }

    /// Initializes the weight to `mean_weight` per slot unless it already includes the latest
    /// measurement. A new, empty upstream weighted by its own load would get the new flows of all
    /// hosts until the next measurement.
    pub fn initialize(&mut self, slots: u32, mean_weight: f64, load: &UpstreamLoad) {
        if load.updated_at.is_some() && load.updated_at != self.measured_at {
            self.weight = f64::from(slots.max(1)) * mean_weight;
            self.measured_at = load.updated_at;
        }
    }

    /// Returns the weight if it includes the latest measurement.
    pub fn current(&self, load: &UpstreamLoad) -> Option<f64> {
        let is_current = load.updated_at.is_some() && load.updated_at == self.measured_at;
        is_current.then_some(self.weight)
    }
}

/// Returns the requests in progress at an upstream, in parts of [`REQUEST_LOAD`]: the last
/// measurement in its zone plus what this host has placed since. Without a recent measurement, the
/// result is estimated from this host's own counts.
pub fn estimated_in_progress(
    config: &LoadWeightConfig,
    record: &UpstreamRecord,
    now: Instant,
    local_hosts: u32,
) -> u32 {
    if is_recent(config, record, now) {
        let placed = record.placed.load(record.load.updated_at);
        record.load.in_progress.saturating_add(placed)
    } else {
        record.requests(local_hosts).saturating_mul(REQUEST_LOAD)
    }
}

/// Returns whether the load of an upstream was measured within `max_load_age`.
fn is_recent(config: &LoadWeightConfig, record: &UpstreamRecord, now: Instant) -> bool {
    let measured_at = record.load.updated_at;
    measured_at.is_some_and(|at| now.saturating_duration_since(at) < config.max_load_age)
}

/// Returns the weight of an upstream in the draw; always above 0.
///
/// `mean_weight` is the mean weight of a slot of the service in this zone, if there is a recent
/// digest. It is used for an upstream of this zone that no digest has listed yet.
pub fn upstream_weight(
    config: &LoadWeightConfig,
    cold_load: u64,
    record: &UpstreamRecord,
    in_progress: u32,
    mean_weight: Option<f64>,
    now: Instant,
) -> f64 {
    let (slots, load) = (record.slots, &record.load);
    let is_unmeasured = record.is_local && load.updated_at.is_none();
    let current = record.weight.current(load);
    let weight = match (current, mean_weight) {
        (Some(weight), _) if is_recent(config, record, now) => {
            if in_progress == load.in_progress {
                weight
            } else {
                let weight_with_placed = weight_from_load(config, slots, load, in_progress);
                weight * weight_with_placed
                    / weight_from_load(config, slots, load, load.in_progress)
            }
        }
        (None, Some(mean_weight)) if is_unmeasured => f64::from(slots.max(1)) * mean_weight,
        _ => weight_from_load(config, slots, load, in_progress),
    };
    if record.warm_at > now {
        weight * FLOW_LOAD as f64 / cold_load.max(1) as f64
    } else {
        weight
    }
}

/// Returns the weight of an upstream with this load and `in_progress` requests, in parts of
/// [`REQUEST_LOAD`], without smoothing; always above 0.
fn weight_from_load(
    config: &LoadWeightConfig,
    slots: u32,
    load: &UpstreamLoad,
    in_progress: u32,
) -> f64 {
    let slots = u64::from(slots.max(1));
    let response_time = match load.response_time {
        Duration::ZERO => config.default_response_time,
        response_time => response_time,
    };
    // Shed requests would be in progress too if the queue had been long enough.
    let shed = f64::from(load.shed_rate) * response_time.as_secs_f64();
    let demand = u64::from(in_progress).saturating_add(shed as u64);
    match config.method {
        WeightMethod::FreeCapacity => {
            let target = u64::from(config.target_in_progress) * slots;
            let floor = u64::from(config.min_free_capacity) * slots;
            target.saturating_sub(demand).max(floor).max(1) as f64
        }
        WeightMethod::ExpectedWait => {
            let floor = u64::from(config.min_in_progress) * slots;
            let per_slot = demand.max(floor).max(1) as f64 / slots as f64;
            slots as f64 / (per_slot * response_time.as_secs_f64())
        }
    }
}

/// Returns the weight of one slot with one request in progress; above 0.
pub fn slot_weight(config: &LoadWeightConfig) -> f64 {
    weight_from_load(config, 1, &UpstreamLoad::default(), REQUEST_LOAD)
}

/// Returns the rank of a candidate in a weighted draw. The candidate with the lowest rank wins,
/// with a probability proportional to its weight if the hashes of the candidates are independent.
pub fn draw_rank(hash: u64, weight: f64) -> u64 {
    // The bit patterns of positive floating-point numbers sort like the numbers.
    (-draw_point(hash).ln() / weight).to_bits()
}

/// Returns whether a candidate is certain to rank after `limit`, the rank of another one. Avoids
/// the logarithm for most candidates, since `1 - u` is at most `-ln(u)`.
pub fn is_drawn_after(hash: u64, weight: f64, limit: u64) -> bool {
    1.0 - draw_point(hash) > f64::from_bits(limit) * weight
}

/// Maps a hash to a number above 0 and below 1.
fn draw_point(hash: u64) -> f64 {
    let point = (hash >> (u64::BITS - DRAW_BITS)) as f64 + 0.5;
    point / (1_u64 << DRAW_BITS) as f64
}

/// Returns whether an upstream holds about as many connections as its service publishes as the
/// limit.
///
/// Connections through hosts of other zones, and idle ones through other hosts, are not counted.
pub fn is_at_connection_limit(
    config: &LoadWeightConfig,
    record: &UpstreamRecord,
    connection_limit: Option<u32>,
) -> bool {
    let Some(limit) = connection_limit else {
        return false;
    };
    let connections = u64::from(record.open_flows()) + u64::from(record.peer_flows);
    connections * 100 >= u64::from(limit) * config.connection_limit_percent
}
