//! Concurrency limit of an upstream, learned from the requests that it sheds.
//!
//! An upstream may have less capacity than its published slots or its load endpoint state, because
//! it is cold, shares its host or reports wrong values. Without a learned limit, every request
//! above the true limit would be sent, shed and sent again. A shed with `n` other requests running
//! sets the limit to `n`; a probe raises the limit by one after a pause, which doubles each time
//! the limit is lowered again.

use std::time::Duration;
use std::time::Instant;

/// Maximum pause between probes, as a multiple of the first pause. A recovered upstream is detected
/// within this time, and one that has not recovered costs one shed request in this time.
const MAX_PAUSE_FACTOR: u32 = 64;
/// Maximum time for which a shed closes an upstream that runs no other request of this allocator.
/// The first shed closes it for the time that the shed states, and each further one for twice as
/// long. An upstream that sheds everything then costs one retry in this time, which the retry
/// budget allows.
const MAX_CLOSE_TIME: Duration = Duration::from_secs(2);
/// Maximum number of doublings of the close time.
const MAX_DOUBLINGS: u32 = 8;
/// Minimum close time, so that an upstream that states zero is not tried in a loop.
const MIN_CLOSE_TIME: Duration = Duration::from_millis(10);

/// Concurrency limit of one upstream.
#[derive(Clone, Debug)]
pub struct SlotLimit {
    /// Published number of slots; the limit never exceeds it.
    published: u32,
    /// Learned limit. Invariant: at least 1, unless `published` is 0.
    learned: u32,
    /// Time of the next probe. At the published limit, time at which the pause is reset.
    probe_at: Option<Instant>,
    /// Pause before the next probe, as a multiple of the `limit_probe` setting.
    pause_factor: u32,
    /// Until when nothing is sent, because the upstream shed a request while it ran no other.
    closed_until: Option<Instant>,
    /// Number of consecutive sheds that closed the upstream; each doubles the close time.
    consecutive_closes: u32,
}

impl SlotLimit {
    /// Creates a limit that equals the published number of slots.
    pub fn new(published: u32) -> Self {
        Self {
            published,
            learned: published,
            probe_at: None,
            pause_factor: 1,
            closed_until: None,
            consecutive_closes: 0,
        }
    }

    /// Sets the published number of slots. A changed number discards the learned limit.
    pub fn publish(&mut self, published: u32) {
        if published != self.published {
            *self = Self::new(published);
        }
    }

    /// Returns how many requests may run now.
    pub fn allowed(&self) -> u32 {
        match self.closed_until {
            Some(_) => 0,
            None => self.learned,
        }
    }

    /// Returns whether the limit changes with time alone.
    pub fn is_time_dependent(&self) -> bool {
        self.probe_at.is_some() || self.closed_until.is_some()
    }

    /// Records that a request was shed while `others` requests of this allocator ran at the
    /// upstream.
    pub fn record_shed(
        &mut self,
        now: Instant,
        others: u32,
        retry_after: Duration,
        probe: Duration,
    ) {
        if others == 0 {
            let first_close_time = retry_after.max(MIN_CLOSE_TIME);
            let close_time = first_close_time * (1 << self.consecutive_closes.min(MAX_DOUBLINGS));
            self.closed_until = Some(now + close_time.min(MAX_CLOSE_TIME));
            self.consecutive_closes += 1;
        }
        let lowered = others.clamp(1, self.published.max(1));
        if lowered < self.learned {
            self.learned = lowered;
            self.probe_at = Some(now + probe * self.pause_factor);
            self.pause_factor = (self.pause_factor * 2).min(MAX_PAUSE_FACTOR);
        }
    }

    /// Records a response, which shows that the upstream accepts requests.
    pub fn record_response(&mut self) {
        self.consecutive_closes = 0;
    }

    /// Reopens a closed upstream and raises the limit when these are due.
    pub fn tick(&mut self, now: Instant, probe: Duration) {
        if self.closed_until.is_some_and(|until| until <= now) {
            self.closed_until = None;
        }
        if self.probe_at.is_none_or(|at| now < at) {
            return;
        }
        if self.learned >= self.published {
            self.probe_at = None;
            self.pause_factor = 1;
            return;
        }
        self.learned += 1;
        self.probe_at = Some(now + probe * self.pause_factor);
    }
}
