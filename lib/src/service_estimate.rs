//! What a keeper expects of a service: how long a job holds a slot, and what follows for waits.
//!
//! Load pattern: more work arrives than the slots can do. Without an estimate, jobs are accepted
//! that miss their deadline in the queue, and the work of waiting for them is wasted.

use std::time::Duration;

/// Weight of the newest service time; 1/32 follows a change within about a hundred jobs.
const NEWEST_WEIGHT: f64 = 1.0 / 32.0;
/// Part of the remaining time that an estimated wait may take. The wait is a sum of as many service
/// times as are queued for a slot; with 2 slots and 4 s left, one in five missed its deadline in
/// the queue when estimates were admitted up to the whole of it, and none at three quarters.
const SAFE_PART: f64 = 0.75;

/// Estimates of one pool.
#[derive(Clone, Debug)]
pub struct ServiceEstimate {
    mean: f64,
}

impl ServiceEstimate {
    /// Begins with a guess.
    pub fn new(first: Duration) -> Self {
        Self {
            mean: first.as_secs_f64(),
        }
    }

    /// How long a job holds its slot, on average.
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Learns how long a job held its slot.
    pub fn learn(&mut self, held: Duration) {
        self.mean += (held.as_secs_f64() - self.mean) * NEWEST_WEIGHT;
    }

    /// How long a job waits that has `ahead` before it, on `slots` slots.
    pub fn wait(&self, ahead: usize, slots: u32) -> Duration {
        let rounds = (ahead + 1) as f64 / f64::from(slots.max(1));
        Duration::from_secs_f64(self.mean * rounds)
    }

    /// The longest estimated wait after which a job still ends within `remaining`; none if it could
    /// not even if it were sent at once.
    pub fn affordable_wait(&self, remaining: Duration) -> Option<Duration> {
        let spare = remaining.checked_sub(self.service_time())?;
        Some(spare.mul_f64(SAFE_PART))
    }

    /// How many jobs can wait so that none waits longer than `wait`, on `slots` slots.
    pub fn places(&self, wait: Duration, slots: u32) -> usize {
        let rounds = wait.as_secs_f64() / self.mean.max(f64::MIN_POSITIVE);
        (rounds * f64::from(slots)) as usize
    }
}
