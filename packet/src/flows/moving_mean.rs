//! A mean of durations that follows their change.

use std::time::Duration;

/// Most durations that it is the mean of: 1 in 64 follows a change of the load within seconds, and is not
/// moved by one caller that pauses.
const MOST_WEIGHED: u64 = 64;

/// A moving mean of durations.
#[derive(Clone, Copy, Debug, Default)]
pub struct MovingMean {
    /// In nanoseconds.
    mean: u64,
    /// Durations that it is the mean of; at most [`MOST_WEIGHED`].
    seen: u64,
}

impl MovingMean {
    /// Records a duration.
    pub fn learn(&mut self, duration: Duration) {
        let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX / MOST_WEIGHED);
        let others = self.mean * self.seen.min(MOST_WEIGHED - 1);
        self.seen = (self.seen + 1).min(MOST_WEIGHED);
        self.mean = (others + nanos) / self.seen;
    }

    /// The mean; `None` if it is the mean of less than `fewest`.
    pub fn of_at_least(&self, fewest: u64) -> Option<Duration> {
        (self.seen >= fewest).then_some(Duration::from_nanos(self.mean))
    }
}
