//! Detects a standing queue, as opposed to a queue that forms and empties.
//!
//! When more work arrives for seconds than the slots can serve, a queue without a bound fills up to
//! the deadlines, and every accepted request waits for almost its whole deadline, although a queue
//! a tenth as long would keep the slots as busy. A burst, however, should be queued completely. The
//! bound therefore applies once waits have exceeded a target for an interval (controlled delay:
//! Nichols and Jacobson, 2012).

use std::time::Duration;
use std::time::Instant;

/// Divisor of the target: waits must stay below the quotient for an interval to end the overload.
/// With an end at the first short wait, the queue would at once grow to the whole deadline again.
const END_DIVISOR: u32 = 4;

/// Detector for one queue.
#[derive(Clone, Copy, Debug, Default)]
pub struct StandingQueue {
    is_standing: bool,
    /// Since when waits indicate the opposite state.
    changing_since: Option<Instant>,
}

impl StandingQueue {
    /// Records the wait of a request that got a slot; zero if no request waits.
    pub fn record_wait(
        &mut self,
        now: Instant,
        wait: Duration,
        target: Duration,
        interval: Duration,
    ) {
        let is_changing = match self.is_standing {
            true => wait < target / END_DIVISOR,
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

    /// Returns the maximum wait to admit: `target` while the queue stands, otherwise no bound.
    pub fn max_wait(&self, target: Duration) -> Duration {
        match self.is_standing {
            true => target,
            false => Duration::MAX,
        }
    }
}
