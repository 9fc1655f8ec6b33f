//! When a refused caller should come back.
//!
//! Load pattern: many callers refused in the same moment. Without jitter they all return in the
//! same moment and are refused again, for as long as the overload lasts. The hint grows with the
//! wait that the queue has now, so that those who return find it shorter, and is spread evenly
//! over one to two times that (the spread must be of the size of the hint to break the step).

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Draws jittered times to come back.
#[derive(Debug)]
pub struct RetryHint {
    random: StdRng,
    shortest: Duration,
    longest: Duration,
}

impl RetryHint {
    /// Makes a source of hints between two bounds; the same seed gives the same hints.
    pub fn new(seed: u64, shortest: Duration, longest: Duration) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            shortest,
            longest,
        }
    }

    /// A time to come back for a queue that now takes `wait`.
    pub fn after(&mut self, wait: Duration) -> Duration {
        let base = wait.clamp(self.shortest, self.longest);
        base.mul_f64(self.random.random_range(1.0..2.0))
    }
}
