//! Notices that the machine stood still: one clock counts that time, the other does not.

use std::time::Duration;
use std::time::Instant;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use lagoonproxy_packet::packet_core::FREEZE_THRESHOLD;

/// Compares the two clocks from time to time.
pub struct FreezeWatch {
    steady: Instant,
    running: Duration,
}

impl FreezeWatch {
    /// Begins now.
    pub fn new() -> Self {
        Self {
            steady: Instant::now(),
            running: running_clock(),
        }
    }

    /// How long the machine stood still since the last question, if it did.
    pub fn stood_still(&mut self) -> Option<Duration> {
        let steady = Instant::now();
        let running = running_clock();
        let passed = steady.saturating_duration_since(self.steady);
        let lost = running.saturating_sub(self.running).saturating_sub(passed);
        self.steady = steady;
        self.running = running;
        (lost > FREEZE_THRESHOLD).then_some(lost)
    }
}

/// The clock that goes on while the machine is suspended.
fn running_clock() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
