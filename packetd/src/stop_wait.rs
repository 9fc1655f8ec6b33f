//! Decides when a stopping host may end.

use std::time::Duration;
use std::time::Instant;

/// Minimum time from the stop signal to the end of the process. It covers the longest time in which
/// the fabric removes a host: two failed checks, half a second apart, and one more for a check that
/// was in progress.
const MIN_STOP_TIME: Duration = Duration::from_millis(1500);

/// Time without packets that shows that the fabric has removed the host. Hosts in rotation receive
/// a packet every few milliseconds.
const IDLE_TIME: Duration = Duration::from_millis(300);

/// Time before the end of the grace time at which the process ends even if packets still arrive, so
/// that it is not killed.
const EXIT_RESERVE: Duration = Duration::from_millis(1000);

/// Interval at which the end conditions are checked.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two checks from which on the process counts as stalled. Packets that arrived
/// meanwhile may not have been read yet.
const STALL_THRESHOLD: Duration = Duration::from_millis(150);

/// The end conditions of a host that was told to stop.
#[derive(Debug)]
pub struct StopWait {
    min_end: Instant,
    max_end: Instant,
    last_check: Instant,
    /// Start of the time without packets; never within a stall of this process.
    idle_since: Instant,
}

impl StopWait {
    /// Creates the conditions of a host that was told to stop at `requested`, and that is killed
    /// after `grace`.
    pub fn new(requested: Instant, grace: Duration) -> Self {
        Self {
            min_end: requested + MIN_STOP_TIME,
            max_end: requested + grace.saturating_sub(EXIT_RESERVE),
            last_check: requested,
            idle_since: requested,
        }
    }

    /// Whether the process may end now; `last_packet` is when it last handled a packet. To be called
    /// every [`POLL_INTERVAL`].
    pub fn may_end(&mut self, now: Instant, last_packet: Instant) -> bool {
        let last_check = std::mem::replace(&mut self.last_check, now);
        let is_stalled = now.saturating_duration_since(last_check) >= STALL_THRESHOLD;
        let idle_since = if is_stalled { now } else { last_packet };
        self.idle_since = self.idle_since.max(idle_since);
        let is_idle = now.saturating_duration_since(self.idle_since) >= IDLE_TIME;
        now >= self.max_end || (now >= self.min_end && is_idle)
    }
}
