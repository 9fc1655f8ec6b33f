//! Weighs the upstreams of a contended service by the room that they have.
//!
//! Load pattern: many hosts hold the same digest of the load. If each selected the upstream with the most room, all
//! would select the same one until the next digest. So each flow draws its upstream, with odds in proportion to
//! the room.

use std::time::Duration;
use std::time::Instant;

use crate::load::service_room::REQUEST_LOAD;
use crate::policy_config::FLOW_LOAD;
use crate::upstreams::upstream_record::UpstreamRecord;

/// Bits of a hash that the draw uses. With one bit more, the largest value would be rounded up to 1.
const DRAW_BITS: u32 = 52;

/// How the weight of an upstream follows from its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoomMeasure {
    /// The requests that it may still take.
    #[default]
    FreeRoom,
    /// Its slots, divided by its requests in progress per slot times its response time.
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
    /// Age from which the load of an upstream is not used.
    pub load_life: Duration,
    /// Percentage of the published maximum of connections from which an upstream counts as saturated.
    pub connection_percent: u64,
}

impl Default for RoomWeightConfig {
    fn default() -> Self {
        Self {
            measure: RoomMeasure::FreeRoom,
            target_in_progress: 2500,
            least_room: 20,
            least_in_progress: 50,
            assumed_response: Duration::from_millis(20),
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

/// Requests in progress at an upstream, in parts of [`REQUEST_LOAD`]: as last measured in its zone, and what this host
/// has placed since; as this host's own counts suggest if no recent measurement is known.
pub fn known_in_progress(
    config: &RoomWeightConfig,
    record: &UpstreamRecord,
    now: Instant,
    local_hosts: u32,
) -> u32 {
    let is_recent = |at: &Instant| now.saturating_duration_since(*at) < config.load_life;
    match record.load.updated_at.filter(is_recent) {
        Some(at) => {
            let placed = record.placed.load(Some(at));
            record.load.in_progress.saturating_add(placed)
        }
        None => record.requests(local_hosts).saturating_mul(REQUEST_LOAD),
    }
}

/// The weight of an upstream with so many requests in progress, in parts of [`REQUEST_LOAD`]; always above 0.
pub fn room_weight(
    config: &RoomWeightConfig,
    cold_load: u64,
    record: &UpstreamRecord,
    in_progress: u32,
    now: Instant,
) -> f64 {
    let (slots, in_progress) = (u64::from(record.slots.max(1)), u64::from(in_progress));
    let weight = match config.measure {
        RoomMeasure::FreeRoom => {
            let target = u64::from(config.target_in_progress) * slots;
            let least = u64::from(config.least_room) * slots;
            target.saturating_sub(in_progress).max(least).max(1) as f64
        }
        RoomMeasure::ExpectedWait => {
            let least = u64::from(config.least_in_progress) * slots;
            let response_time = match record.load.response_time {
                Duration::ZERO => config.assumed_response,
                response_time => response_time,
            };
            let per_slot = in_progress.max(least).max(1) as f64 / slots as f64;
            slots as f64 / (per_slot * response_time.as_secs_f64())
        }
    };
    if record.warm_at > now {
        weight * FLOW_LOAD as f64 / cold_load.max(1) as f64
    } else {
        weight
    }
}

/// The order of a candidate in a weighted draw: the smallest wins, with odds in proportion to the weights, if the
/// hashes of the candidates are independent.
pub fn draw_order(hash: u64, weight: f64) -> u64 {
    let point = (hash >> (u64::BITS - DRAW_BITS)) as f64 + 0.5;
    let unit = point / (1_u64 << DRAW_BITS) as f64;
    // The bits of floating-point numbers above 0 are in the order of the numbers.
    (-unit.ln() / weight).to_bits()
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
