//! Load of services and upstreams, as placement and admission read it.

use std::time::Duration;
use std::time::Instant;

use crate::load::load_tracker::LoadExchangeConfig;

/// Load of one request in progress. Loads and pressures are in thousandths of a request.
pub const REQUEST_LOAD: u32 = 1000;

/// Load of one service in the zone of this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ContentionState {
    /// Requests in progress per slot, in thousandths of a request (see [`REQUEST_LOAD`]), raised
    /// while upstreams shed.
    pub pressure: u32,
    /// Whether placement and admission take the load of this service into account.
    pub is_contended: bool,
    /// Time of the measurement; `None` if the load is unknown.
    pub updated_at: Option<Instant>,
}

/// Load of one upstream through all hosts of the zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Requests in progress, in thousandths of a request (see [`REQUEST_LOAD`]).
    pub in_progress: u32,
    /// Mean time from a request to its response; zero if none was seen.
    pub response_time: Duration,
    /// Sheds per second, in thousandths.
    pub shed_rate: u32,
    /// Time of the measurement; `None` if the load is unknown.
    pub updated_at: Option<Instant>,
}

/// Total load of one service's upstreams in the zone of this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneTotals {
    /// Slots of the upstreams that take flows.
    pub slots: u32,
    /// Requests in progress, in thousandths of a request (see [`REQUEST_LOAD`]).
    pub in_progress: u64,
    /// Requests in progress per slot, in thousandths of a request (see [`REQUEST_LOAD`]), raised
    /// while upstreams shed.
    pub pressure: u32,
    /// Whether the service is contended.
    pub is_contended: bool,
}

/// Returns the requests in progress per slot, in thousandths of a request (see [`REQUEST_LOAD`]); 0
/// without slots.
pub fn slot_pressure(in_progress: u64, slots: u32) -> u32 {
    let pressure = in_progress.checked_div(u64::from(slots)).unwrap_or(0);
    u32::try_from(pressure).unwrap_or(u32::MAX)
}

/// Returns `pressure`, raised if the share of shed requests (in thousandths) exceeds the threshold.
/// Upstreams with short queues shed requests before many of them are in progress.
pub fn pressure_with_sheds(config: &LoadExchangeConfig, pressure: u32, shed_share: u32) -> u32 {
    if shed_share <= config.shed_share_threshold {
        return pressure;
    }
    let increase = u64::from(config.shed_pressure_slope) * u64::from(shed_share) / 1000;
    let raised = u64::from(config.shed_pressure_base) + increase;
    pressure.max(u32::try_from(raised).unwrap_or(u32::MAX))
}

/// Returns the shed share of `arrivals` in thousandths, at most 1000.
pub fn shed_share(shed: u64, arrivals: u64) -> u32 {
    let share = shed.saturating_mul(1000).checked_div(arrivals).unwrap_or(0);
    u32::try_from(share.min(1000)).unwrap_or(1000)
}
