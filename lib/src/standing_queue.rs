//! Tells a queue that stands from one that comes and goes.
//!
//! Load pattern: more work arrives for seconds than the slots can do. Without a bound, the queue
//! fills up to what deadlines allow and every accepted job waits almost its whole deadline, while
//! a queue a tenth as long would keep the slots as busy. A burst, on the other hand, should be
//! queued whole. So the bound comes into force once the queue has stood above a target for an
//! interval (the idea of controlled delay: Nichols and Jacobson, 2012).

use std::time::Duration;
use std::time::Instant;

/// Part of the target below which waits must stay for an interval to end the overload. Ending it
/// at the first short wait lets the queue grow to the whole deadline again at once.
const END_PART: u32 = 4;

/// Whether one queue stands.
#[derive(Clone, Copy, Debug, Default)]
pub struct StandingQueue {
    is_standing: bool,
    /// Since when waits have been such as to change that.
    changing_since: Option<Instant>,
}

impl StandingQueue {
    /// Learns how long a job had waited when it got a slot; zero if nothing waits.
    pub fn waited(&mut self, now: Instant, wait: Duration, target: Duration, interval: Duration) {
        let is_changing = match self.is_standing {
            true => wait < target / END_PART,
            false => wait >= target,
        };
        if !is_changing {
            self.changing_since = None;
            return;
        }
        let since = *self.changing_since.get_or_insert(now);
        if now >= since + interval {
            self.is_standing = !self.is_standing;
            self.changing_since = None;
        }
    }

    /// The longest wait to admit: any, or `target` while the queue stands.
    pub fn longest_wait(&self, target: Duration) -> Duration {
        match self.is_standing {
            true => target,
            false => Duration::MAX,
        }
    }
}
