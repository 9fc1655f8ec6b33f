//! The load of a service and of its upstreams, as decisions read it.

use std::time::Duration;
use std::time::Instant;

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
