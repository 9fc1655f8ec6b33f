//! Chooses when a refused caller should try again.
//!
//! Without jitter, callers that are refused at the same moment return at the same moment and are
//! refused again, for as long as the overload lasts. The hint grows with the current wait in the
//! queue, so that returning callers find a shorter queue, and is spread evenly over one to two
//! times that wait. A spread much smaller than the hint would not break up the synchronized
//! retries.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Generator of retry times with jitter.
#[derive(Debug)]
pub struct RetryHint {
    random: StdRng,
    min: Duration,
    max: Duration,
}

impl RetryHint {
    /// Creates a generator with bounds for the time before jitter. The same seed gives the same
    /// times.
    pub fn new(seed: u64, min: Duration, max: Duration) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            min,
            max,
        }
    }

    /// Returns a retry time for a queue with a current wait of `wait`.
    pub fn after(&mut self, wait: Duration) -> Duration {
        let base = wait.clamp(self.min, self.max);
        base.mul_f64(self.random.random_range(1.0..2.0))
    }
}
