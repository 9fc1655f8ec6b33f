//! Estimates of an allocator for one service: the service time and the waits that follow from it.
//!
//! Without an estimate, requests would be accepted that miss their deadline in the queue, and the
//! places that they take there would be wasted.

use std::time::Duration;

/// Weight of the newest service time; 1/32 follows a change within about a hundred requests.
const NEW_SAMPLE_WEIGHT: f64 = 1.0 / 32.0;
/// Maximum fraction of the remaining time that an estimated wait may take. The wait is a sum of as
/// many service times as requests are queued for a slot, so it varies. With 2 slots and 4 s left, a
/// fraction of 1 let one in five requests miss its deadline in the queue, and 3/4 let none.
const MAX_WAIT_FRACTION: f64 = 0.75;

/// Estimates of one pool.
#[derive(Clone, Debug)]
pub struct ServiceEstimate {
    mean: f64,
}

impl ServiceEstimate {
    /// Creates an estimate with an assumed service time.
    pub fn new(first: Duration) -> Self {
        Self {
            mean: first.as_secs_f64(),
        }
    }

    /// Returns how long a request holds its slot on average.
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Records how long a request held its slot.
    pub fn record(&mut self, held: Duration) {
        self.mean += (held.as_secs_f64() - self.mean) * NEW_SAMPLE_WEIGHT;
    }

    /// Returns the expected wait of a request behind `ahead` others on `slots` slots.
    pub fn wait(&self, ahead: usize, slots: u32) -> Duration {
        let rounds = (ahead + 1) as f64 / f64::from(slots.max(1));
        Duration::from_secs_f64(self.mean * rounds)
    }

    /// Returns the maximum estimated wait with which a request still finishes within `remaining`,
    /// or `None` if it could not finish even if it were sent at once.
    pub fn affordable_wait(&self, remaining: Duration) -> Option<Duration> {
        let spare = remaining.checked_sub(self.service_time())?;
        Some(spare.mul_f64(MAX_WAIT_FRACTION))
    }

    /// Returns how many requests can wait on `slots` slots without any wait above `wait`.
    pub fn places(&self, wait: Duration, slots: u32) -> usize {
        let rounds = wait.as_secs_f64() / self.mean.max(f64::MIN_POSITIVE);
        (rounds * f64::from(slots)) as usize
    }
}
