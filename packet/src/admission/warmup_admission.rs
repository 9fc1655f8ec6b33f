//! Limits the rate of new flows to an upstream that is warming up.
//!
//! When the upstreams of a zone return cold or a release replaces many at once, they have no flows.
//! Selection by load then sends them all new flows from every host at the same time. An upstream
//! that can handle only a few requests a second until it is warm fails under this load and starts
//! cold again.
//!
//! Hosts enforce a common rate without exchanging messages. Each warming upstream receives its
//! flows through one host of its zone, which claims it: the first by rendezvous hashing among the
//! hosts known in the zone. While two hosts disagree on the claim, both together stay within the
//! bound. A host that does not know its zone yet claims no upstream.

use std::time::Duration;
use std::time::Instant;

use crate::routes::route_config::ServiceWarmup;

/// Maximum number of hosts that claim the same upstream while a host joins or leaves.
const MAX_CLAIMS: u64 = 2;

/// One request a second, in thousandths.
const ONE_PER_SECOND: u64 = 1000;

/// Tolerance by which the flows of a warming upstream may exceed its rate in any span of one
/// second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupTolerance {
    /// Factor on the rate, in thousandths.
    pub overrun: u64,
    /// Requests on top of that, in thousandths.
    pub slack: u64,
}

/// Limit on the new flows of a service whose upstreams have a known rate while they warm up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupLimit {
    /// Duration of the warm-up.
    pub duration: Duration,
    /// Minimum time between two new flows of a claimed upstream; `None` if it receives none.
    pub interval: Option<Duration>,
}

/// State of the limit for one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WarmupAdmission {
    /// Whether this host places the flows of the upstream.
    pub is_claimed: bool,
    /// Earliest time of the next flow; `None` before the first flow.
    next_flow: Option<Instant>,
}

impl WarmupLimit {
    /// Returns the limit of a service; `None` if its configuration states no rate.
    ///
    /// Flows are paced so that any second contains at most one flow more than the pace allows.
    pub fn new(warmup: &ServiceWarmup, tolerance: Option<WarmupTolerance>) -> Option<Self> {
        if warmup.rate == 0 {
            return None;
        }
        let bound = match tolerance {
            Some(tolerance) => warmup.rate * tolerance.overrun / 1000 + tolerance.slack,
            None => warmup.rate,
        };
        let share = (bound / MAX_CLAIMS).saturating_sub(ONE_PER_SECOND);
        let pace = share.min(warmup.rate);
        let interval = (pace > 0).then(|| Duration::from_micros(1_000_000_000 / pace));
        Some(Self {
            duration: warmup.duration,
            interval,
        })
    }
}

impl WarmupAdmission {
    /// Whether a flow may be placed now.
    pub fn admits(&self, now: Instant) -> bool {
        self.is_claimed && self.next_flow.is_none_or(|next| next <= now)
    }

    /// Records a placed flow.
    pub fn flow_placed(&mut self, now: Instant, limit: WarmupLimit) {
        self.next_flow = Some(now + limit.interval.unwrap_or(limit.duration));
    }
}
