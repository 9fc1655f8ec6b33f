//! Which callers open far more flows of a class than others.

use std::net::Ipv4Addr;
use std::time::Instant;

use crate::ids::ClassRank;
use crate::ids::ServiceIndex;

/// Recent new flows by service, class and caller.
#[derive(Debug, Default)]
pub struct CallerShares {}

impl CallerShares {
    /// Records a new flow of a caller.
    pub fn record_flow(
        &mut self,
        _now: Instant,
        _service: ServiceIndex,
        _rank: ClassRank,
        _caller: Ipv4Addr,
    ) {
    }

    /// Whether a caller opens far more flows of the class than an even share.
    pub fn is_heavy(&self, _service: ServiceIndex, _rank: ClassRank, _caller: Ipv4Addr) -> bool {
        false
    }

    /// Forgets old flows. To be called several times a second.
    pub fn tick(&mut self, _now: Instant) {}
}
