//! Detects that the machine was suspended: the boot-time clock counts that time, the monotonic
//! clock does not.

use std::time::Duration;
use std::time::Instant;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use lagoonproxy_packet::packet_core::FREEZE_THRESHOLD;

/// The values of both clocks at the last check.
pub struct SuspendDetector {
    monotonic: Instant,
    boottime: Duration,
}

impl SuspendDetector {
    /// Creates a detector with the present values.
    pub fn new() -> Self {
        Self {
            monotonic: Instant::now(),
            boottime: boottime_clock(),
        }
    }

    /// Returns how long the machine was suspended since the last call; `None` if it was not, or for
    /// at most [`FREEZE_THRESHOLD`].
    pub fn suspended_time(&mut self) -> Option<Duration> {
        let monotonic = Instant::now();
        let boottime = boottime_clock();
        let elapsed = monotonic.saturating_duration_since(self.monotonic);
        let suspended = boottime
            .saturating_sub(self.boottime)
            .saturating_sub(elapsed);
        self.monotonic = monotonic;
        self.boottime = boottime;
        (suspended > FREEZE_THRESHOLD).then_some(suspended)
    }
}

/// Returns the value of the clock that continues while the machine is suspended.
fn boottime_clock() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
