//! Weighs the upstreams of a contended service by the room that they have.
//!
//! Load pattern: many hosts hold the same digest of the load. If each selected the upstream with the most room, all
//! would select the same one until the next digest. So each flow draws its upstream, with odds in proportion to
//! the room.

use std::time::Duration;
use std::time::Instant;

use crate::flows::flow_cost::FULL_TURNOVER;
use crate::load::service_room::REQUEST_LOAD;
use crate::load::service_room::UpstreamLoad;
use crate::policy_config::FLOW_LOAD;
use crate::upstreams::upstream_record::UpstreamRecord;

/// Bits of a hash that the draw uses. With one bit more, the largest value would be rounded up to 1.
const DRAW_BITS: u32 = 52;

/// How the weight of an upstream follows from its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoomMeasure {
    /// The requests that it may still take.
    FreeRoom,
    /// Its slots, divided by its requests in progress per slot times its response time.
    #[default]
    ExpectedWait,
}

/// Parameters of selection while a service is contended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomWeightConfig {
    /// How upstreams are weighed.
    pub measure: RoomMeasure,
    /// Requests in progress per slot at which an upstream has no free room, in parts of [`REQUEST_LOAD`].
    pub target_in_progress: u32,
    /// Least free room per slot, in parts of [`REQUEST_LOAD`]: a full upstream gets some flows, so that it is seen when
    /// it has room again.
    pub least_room: u32,
    /// Least requests in progress per slot that the expected wait is computed from, in parts of [`REQUEST_LOAD`].
    pub least_in_progress: u32,
    /// Response time of an upstream of which none was seen.
    pub assumed_response: Duration,
    /// Divisor of the change of weight by one new measurement, less 1, if all request time is of flows that end within
    /// a second; a part of it according to the share otherwise. Measurements are older than such flows last: hosts
    /// that follow them at once fill the upstream that was empty, and empty the one that was full, in turn. The load
    /// of long flows changes little between two measurements.
    pub turnover_damping: u32,
    /// Most upstreams of a zone that are sampled for a new flow. Fewer than in calm, because weighing one takes longer,
    /// and a draw needs no more.
    pub max_sampled: usize,
    /// Age from which the load of an upstream is not used.
    pub load_life: Duration,
    /// Percentage of the published maximum of connections from which an upstream counts as saturated.
    pub connection_percent: u64,
}

impl Default for RoomWeightConfig {
    fn default() -> Self {
        Self {
            measure: RoomMeasure::ExpectedWait,
            target_in_progress: 2500,
            least_room: 20,
            least_in_progress: 250,
            assumed_response: Duration::from_millis(20),
            turnover_damping: 7,
            max_sampled: 48,
            load_life: Duration::from_secs(1),
            connection_percent: 95,
        }
    }
}

/// What this host has placed at an upstream since the load of the upstream was measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacedLoad {
    /// Requests in progress that the flows are expected to add, in parts of [`REQUEST_LOAD`].
    load: u32,
    /// The `updated_at` of the load on which it comes.
    since: Option<Instant>,
}

impl PlacedLoad {
    /// Adds a flow; `updated_at` is that of the upstream's present load.
    pub fn add(&mut self, updated_at: Option<Instant>, flow_cost: u32) {
        let load = self.load(updated_at);
        self.load = load.saturating_add(flow_cost);
        self.since = updated_at;
    }

    /// What was placed since `updated_at`.
    pub fn load(&self, updated_at: Option<Instant>) -> u32 {
        if self.since == updated_at {
            self.load
        } else {
            0
        }
    }
}

/// The weight of an upstream as it follows from measurements of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MeasuredWeight {
    /// The weight; meaningless before the first measurement.
    weight: f64,
    /// The `updated_at` of the last measurement.
    since: Option<Instant>,
}

impl MeasuredWeight {
    /// Follows the load of an upstream, if it was measured anew and not long after the last time.
    pub fn learn(
        &mut self,
        config: &RoomWeightConfig,
        slots: u32,
        turnover: u32,
        load: &UpstreamLoad,
    ) {
        let (Some(last), Some(present)) = (self.since, load.updated_at) else {
            return;
        };
        let is_continued = present.saturating_duration_since(last) < config.load_life;
        if last == present || !is_continued {
            return;
        }
        let measured = load_weight(config, slots, load, load.in_progress);
        let share = f64::from(turnover) / f64::from(FULL_TURNOVER);
        let divisor = 1.0 + f64::from(config.turnover_damping) * share;
        self.weight *= (measured / self.weight).powf(1.0 / divisor);
        self.since = Some(present);
    }

    /// Starts at `mean_weight` per slot, if the load is not followed yet. From its own load alone, an upstream that
    /// is new and empty would get the new flows of all hosts until the next measurement.
    pub fn start(&mut self, slots: u32, mean_weight: f64, load: &UpstreamLoad) {
        if load.updated_at.is_some() && load.updated_at != self.since {
            self.weight = f64::from(slots.max(1)) * mean_weight;
            self.since = load.updated_at;
        }
    }

    /// The weight, if it follows the load that was measured last.
    pub fn current(&self, load: &UpstreamLoad) -> Option<f64> {
        let is_current = load.updated_at.is_some() && load.updated_at == self.since;
        is_current.then_some(self.weight)
    }
}

/// Requests in progress at an upstream, in parts of [`REQUEST_LOAD`]: as last measured in its zone, and what this host
/// has placed since; as this host's own counts suggest if no recent measurement is known.
pub fn known_in_progress(
    config: &RoomWeightConfig,
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

/// Whether the load of an upstream was measured recently.
fn is_recent(config: &RoomWeightConfig, record: &UpstreamRecord, now: Instant) -> bool {
    let measured_at = record.load.updated_at;
    measured_at.is_some_and(|at| now.saturating_duration_since(at) < config.load_life)
}

/// The weight of an upstream in the draw; always above 0.
///
/// `mean_weight` is that of a slot of the service in this zone, if there is a digest. An upstream of the zone that no
/// digest has named yet is new.
pub fn room_weight(
    config: &RoomWeightConfig,
    cold_load: u64,
    record: &UpstreamRecord,
    in_progress: u32,
    mean_weight: Option<f64>,
    now: Instant,
) -> f64 {
    let (slots, load) = (record.slots, &record.load);
    let is_new = record.is_local && load.updated_at.is_none();
    let current = record.weight.current(load);
    let weight = match (current, mean_weight) {
        (Some(weight), _) if is_recent(config, record, now) => {
            if in_progress == load.in_progress {
                weight
            } else {
                let with_placed = load_weight(config, slots, load, in_progress);
                weight * with_placed / load_weight(config, slots, load, load.in_progress)
            }
        }
        (None, Some(mean_weight)) if is_new => f64::from(slots.max(1)) * mean_weight,
        _ => load_weight(config, slots, load, in_progress),
    };
    if record.warm_at > now {
        weight * FLOW_LOAD as f64 / cold_load.max(1) as f64
    } else {
        weight
    }
}

/// The weight that a load gives by itself, with so many requests in progress, in parts of [`REQUEST_LOAD`]; always
/// above 0.
fn load_weight(
    config: &RoomWeightConfig,
    slots: u32,
    load: &UpstreamLoad,
    in_progress: u32,
) -> f64 {
    let slots = u64::from(slots.max(1));
    let response_time = match load.response_time {
        Duration::ZERO => config.assumed_response,
        response_time => response_time,
    };
    // What was shed would be in progress as well, had the queue been long enough.
    let shed = f64::from(load.shed_rate) * response_time.as_secs_f64();
    let demand = u64::from(in_progress).saturating_add(shed as u64);
    match config.measure {
        RoomMeasure::FreeRoom => {
            let target = u64::from(config.target_in_progress) * slots;
            let least = u64::from(config.least_room) * slots;
            target.saturating_sub(demand).max(least).max(1) as f64
        }
        RoomMeasure::ExpectedWait => {
            let least = u64::from(config.least_in_progress) * slots;
            let per_slot = demand.max(least).max(1) as f64 / slots as f64;
            slots as f64 / (per_slot * response_time.as_secs_f64())
        }
    }
}

/// The weight of a slot with as much load as it should have; above 0.
pub fn slot_weight(config: &RoomWeightConfig) -> f64 {
    load_weight(config, 1, &UpstreamLoad::default(), REQUEST_LOAD)
}

/// The order of a candidate in a weighted draw: the smallest wins, with odds in proportion to the weights, if the
/// hashes of the candidates are independent.
pub fn draw_order(hash: u64, weight: f64) -> u64 {
    // The bits of floating-point numbers above 0 are in the order of the numbers.
    (-draw_point(hash).ln() / weight).to_bits()
}

/// Whether the order of a candidate certainly comes after `limit`, which is another's order. Spares the logarithm for
/// most candidates: `1 - u` is at most `-ln(u)`.
pub fn is_drawn_after(hash: u64, weight: f64, limit: u64) -> bool {
    1.0 - draw_point(hash) > f64::from_bits(limit) * weight
}

/// A number above 0 and below 1.
fn draw_point(hash: u64) -> f64 {
    let point = (hash >> (u64::BITS - DRAW_BITS)) as f64 + 0.5;
    point / (1_u64 << DRAW_BITS) as f64
}

/// Whether an upstream holds about as many connections as its service publishes as the maximum.
///
/// Connections through hosts of other zones, and idle ones through other hosts, are not known.
pub fn is_at_connection_limit(
    config: &RoomWeightConfig,
    record: &UpstreamRecord,
    connection_limit: Option<u32>,
) -> bool {
    let Some(limit) = connection_limit else {
        return false;
    };
    let connections = u64::from(record.open_flows()) + u64::from(record.flows_elsewhere);
    connections * 100 >= u64::from(limit) * config.connection_percent
}
