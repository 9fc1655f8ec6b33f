//! A bound on bytes a second: a token bucket that is refilled as time passes.

use std::time::Duration;
use std::time::Instant;

/// How many bytes may be sent, on average and at once.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    rate: u32,
    burst: u32,
    available: u64,
    /// Up to when tokens were added; set by the first call.
    refilled: Option<Instant>,
}

impl ByteBudget {
    /// Allows `rate` bytes a second and `burst` bytes at once.
    pub fn new(rate: u32, burst: u32) -> Self {
        Self {
            rate,
            burst,
            available: u64::from(burst),
            refilled: None,
        }
    }

    /// Takes bytes if there are as many; `false` leaves the budget as it is.
    pub fn take(&mut self, now: Instant, bytes: usize) -> bool {
        self.refill(now);
        let Some(rest) = self.available.checked_sub(bytes as u64) else {
            return false;
        };
        self.available = rest;
        true
    }

    /// Adds whole bytes only and moves `refilled` by what they took, so that nothing is lost to
    /// rounding however short the ticks are.
    fn refill(&mut self, now: Instant) {
        let refilled = *self.refilled.get_or_insert(now);
        let passed = now.saturating_duration_since(refilled);
        let earned = passed.as_micros() as u64 * u64::from(self.rate) / 1_000_000;
        if earned == 0 {
            return;
        }
        let spent = Duration::from_micros(earned * 1_000_000 / u64::from(self.rate));
        self.refilled = Some(refilled + spent);
        self.available = (self.available + earned).min(u64::from(self.burst));
    }
}
