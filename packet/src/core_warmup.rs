//! Claims warming upstreams: each gets its new flows through one host of the zone.

use std::time::Instant;

use crate::admission::warmup_admission::WarmupLimit;
use crate::packet_core::PacketCore;
use crate::routes::route_config::RouteConfig;

impl PacketCore {
    /// Applies the warm-up limits of a configuration.
    pub(crate) fn apply_warmups(&mut self, config: &RouteConfig) {
        let tolerance = self.warmup_tolerance;
        let limits = config.warmups.iter().filter_map(|warmup| {
            let limit = WarmupLimit::new(warmup, tolerance)?;
            Some((&warmup.service, limit))
        });
        self.upstreams.set_warmup_limits(limits);
    }

    /// Updates which warming upstreams this host claims. It claims none until it has held a state
    /// long enough to have exchanged heartbeats with each host of its zone, since a host that knows
    /// few others would claim too many.
    pub(crate) fn claim_warmups(&mut self, now: Instant) {
        if !self.upstreams.has_warmup_limits() {
            return;
        }
        let discovery = self.peers.discovery_time();
        let knows_zone = self
            .state_since
            .is_some_and(|since| now.saturating_duration_since(since) >= discovery);
        let peers = &self.peers;
        self.upstreams
            .claim_warmups(now, |tag| knows_zone && peers.is_first_for(tag));
    }
}
