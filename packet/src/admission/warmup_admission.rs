//! How fast an upstream gets new flows while it warms up.
//!
//! Load pattern: the upstreams of a zone come back cold, or a release replaces many at once. They have
//! no flows, so that a choice by load sends them everything new from every host at the same moment; an
//! upstream that bears a few requests a second until it is warm then falls over, and starts cold again.
//!
//! Hosts agree on a rate without messages: each warming upstream gets its flows through one host of its
//! zone, the first by rendezvous hashing of the hosts that are known there. While two hosts disagree on
//! who that is, both together stay within the bound. A host that does not know its zone yet claims none.

use std::time::Duration;
use std::time::Instant;

use crate::routes::route_config::ServiceWarmup;

/// Hosts that may hold the same upstream for theirs for a moment, when one joins or leaves.
const MAX_CLAIMS: u64 = 2;

/// One request a second, in thousandths.
const ONE_A_SECOND: u64 = 1000;

/// How far the flows of a warming upstream may exceed the rate that it bears, in any span of a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupTolerance {
    /// Thousandths of the rate.
    pub overrun: u64,
    /// Thousandths of a request on top.
    pub slack: u64,
}

/// The limit of a service whose upstreams bear a known rate while they warm up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupLimit {
    /// How long an upstream warms up.
    pub duration: Duration,
    /// Least time between two new flows of a claimed upstream; `None` if it gets none.
    pub interval: Option<Duration>,
}

/// One upstream's share in a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WarmupAdmission {
    /// Whether this host is the one that places its flows.
    pub is_claimed: bool,
    /// When the next flow may be placed; `None` before the first.
    next_flow: Option<Instant>,
}

impl WarmupLimit {
    /// The limit of a service; `None` if the operators state no rate.
    ///
    /// Flows are paced so that any second holds one more than the pace says at most.
    pub fn new(warmup: &ServiceWarmup, tolerance: Option<WarmupTolerance>) -> Option<Self> {
        if warmup.rate == 0 {
            return None;
        }
        let bound = match tolerance {
            Some(tolerance) => warmup.rate * tolerance.overrun / 1000 + tolerance.slack,
            None => warmup.rate,
        };
        let share = (bound / MAX_CLAIMS).saturating_sub(ONE_A_SECOND);
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

    /// Records that a flow was placed.
    pub fn flow_placed(&mut self, now: Instant, limit: WarmupLimit) {
        self.next_flow = Some(now + limit.interval.unwrap_or(limit.duration));
    }
}
