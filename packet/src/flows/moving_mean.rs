//! A moving mean of durations.

use std::time::Duration;

/// Maximum number of durations that the mean covers. At 64, the mean follows a load change within
/// seconds and one caller that pauses does not move it.
const MAX_SAMPLES: u64 = 64;

/// A moving mean of durations.
#[derive(Clone, Copy, Debug, Default)]
pub struct MovingMean {
    /// In nanoseconds.
    mean: u64,
    /// Number of durations that the mean covers; at most [`MAX_SAMPLES`].
    samples: u64,
}

impl MovingMean {
    /// Adds a duration.
    pub fn record(&mut self, duration: Duration) {
        let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX / MAX_SAMPLES);
        let previous = self.mean * self.samples.min(MAX_SAMPLES - 1);
        self.samples = (self.samples + 1).min(MAX_SAMPLES);
        self.mean = (previous + nanos) / self.samples;
    }

    /// Returns the mean; `None` if it covers fewer than `min_samples` durations.
    pub fn with_min_samples(&self, min_samples: u64) -> Option<Duration> {
        (self.samples >= min_samples).then_some(Duration::from_nanos(self.mean))
    }
}
