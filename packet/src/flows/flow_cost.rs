//! What a new flow of a route will cost its upstream, learned from this host's flows.

use std::net::SocketAddrV4;
use std::time::Duration;

use foldhash::HashMap;

/// Parameters of flow costs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlowCostConfig {}

/// The cost of flows by route.
#[derive(Debug, Default)]
pub struct FlowCosts {
    _routes: HashMap<SocketAddrV4, Duration>,
}

impl FlowCosts {
    /// Requests that a new flow of a route will have in progress on average, in parts of
    /// [`crate::load::service_room::REQUEST_LOAD`].
    pub fn expected_load(&self, _route: SocketAddrV4) -> u32 {
        0
    }
}
