//! What a keeper expects of a service: how long a job holds a slot, how long a queue stands.
//!
//! Load pattern: more work arrives than the slots can do. Without an estimate, jobs are accepted
//! that miss their deadline in the queue, and the work of waiting for them is wasted. Without the
//! bound on a standing queue, every accepted job of a long overload waits almost its whole
//! deadline, while a queue a tenth as long would keep the slots as busy (the controlled delay
//! idea of Nichols and Jacobson, 2012: only a queue that does not go away is a fault).

use std::time::Duration;
use std::time::Instant;

/// Weight of the newest service time; 1/32 follows a change within about a hundred jobs.
const NEWEST_WEIGHT: f64 = 1.0 / 32.0;

/// Part of the target below which a wait ends the overload. Ending it at the target itself lets
/// the queue grow to the whole deadline again at once, because the bound holds it at the target.
const END_PART: u32 = 4;

/// Estimates of one pool.
#[derive(Clone, Debug)]
pub struct ServiceEstimate {
    mean: f64,
    standing_since: Option<Instant>,
}

impl ServiceEstimate {
    /// Begins with a guess.
    pub fn new(first: Duration) -> Self {
        Self {
            mean: first.as_secs_f64(),
            standing_since: None,
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

    /// How many jobs can wait so that none waits longer than `wait`, on `slots` slots.
    pub fn places(&self, wait: Duration, slots: u32) -> usize {
        let rounds = wait.as_secs_f64() / self.mean.max(f64::MIN_POSITIVE);
        (rounds * f64::from(slots)) as usize
    }

    /// Learns how long a job had waited when it got a slot.
    pub fn waited(&mut self, now: Instant, wait: Duration, target: Duration) {
        let target = target.max(self.service_time());
        if wait < target / END_PART {
            self.standing_since = None;
        } else if wait >= target && self.standing_since.is_none() {
            self.standing_since = Some(now);
        }
    }

    /// Learns that nothing waits.
    pub fn drained(&mut self) {
        self.standing_since = None;
    }

    /// The longest wait to admit: any that meets the deadline while the queue comes and goes, the
    /// target once it has stood for `interval`.
    pub fn longest_wait(&self, now: Instant, target: Duration, interval: Duration) -> Duration {
        match self.standing_since {
            Some(since) if now >= since + interval => target.max(self.service_time()),
            _ => Duration::MAX,
        }
    }
}
