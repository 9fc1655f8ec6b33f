//! The load of a service and of its upstreams, as decisions read it.

use std::time::Duration;
use std::time::Instant;

use crate::load::load_view::LoadExchangeConfig;

/// Load of one request in progress; loads and pressures are counted in parts of it.
pub const REQUEST_LOAD: u32 = 1000;

/// What a host knows of the load of one service in its zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceRoom {
    /// Requests in progress for each slot, in parts of [`REQUEST_LOAD`], raised while upstreams shed.
    pub pressure: u32,
    /// Whether decisions for this service regard its load. False for every service in calm.
    pub is_contended: bool,
    /// When what is known was measured; `None` if nothing is.
    pub updated_at: Option<Instant>,
}

/// What a host knows of the load of one upstream through all hosts of its zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Requests in progress, in parts of [`REQUEST_LOAD`].
    pub in_progress: u32,
    /// Mean time from a request to its response; zero if none was seen.
    pub response_time: Duration,
    /// Requests shed a second, in thousandths.
    pub shed_rate: u32,
    /// When this was measured; `None` if nothing is known.
    pub updated_at: Option<Instant>,
}

/// The load of one service's upstreams in this host's zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneTotals {
    /// Slots of the upstreams that take flows.
    pub slots: u32,
    /// Requests in progress, in parts of [`REQUEST_LOAD`].
    pub in_progress: u64,
    /// Requests in progress for each slot, in parts of [`REQUEST_LOAD`], raised while upstreams shed.
    pub pressure: u32,
    /// Whether the service is contended.
    pub is_contended: bool,
}

/// Requests in progress for each slot, in parts of [`REQUEST_LOAD`]; 0 without slots.
pub fn slot_pressure(in_progress: u64, slots: u32) -> u32 {
    let pressure = in_progress.checked_div(u64::from(slots)).unwrap_or(0);
    u32::try_from(pressure).unwrap_or(u32::MAX)
}

/// The pressure of a service that sheds so many thousandths of its arrivals. Upstreams with short queues shed before
/// many requests are in progress.
pub fn raised_pressure(config: &LoadExchangeConfig, pressure: u32, shed_share: u32) -> u32 {
    if shed_share <= config.shed_share {
        return pressure;
    }
    let steps = u64::from(config.shed_pressure_slope) * u64::from(shed_share) / 1000;
    let raised = u64::from(config.shed_pressure_base) + steps;
    pressure.max(u32::try_from(raised).unwrap_or(u32::MAX))
}

/// Thousandths of `arrivals` that were shed.
pub fn shed_share(shed: u64, arrivals: u64) -> u32 {
    let share = shed.saturating_mul(1000).checked_div(arrivals).unwrap_or(0);
    u32::try_from(share.min(1000)).unwrap_or(1000)
}
