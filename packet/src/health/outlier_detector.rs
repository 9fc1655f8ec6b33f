//! Outlier detection: ejects upstreams that are alive but fail requests.
//!
//! Such an upstream accepts flows and acknowledges requests, but sends no response, closes flows or
//! returns errors. Failed requests end early, so that it appears idle, and selection by load would
//! send it new flows; its health check may still pass. Hosts do not see responses. They see how
//! many bytes of a response a caller has acknowledged, and when. Each request counts once, as
//! served or failed. The hosts of a zone add up their counts, since one of many hosts sees too few
//! requests. [`crate::selection::upstream_selection`] bounds how many upstreams are ejected.

use std::time::Duration;
use std::time::Instant;

use crate::policy_config::OutlierConfig;

/// Length of a counting window. The current and the previous window are evaluated; an upstream of
/// today's zones gets 15 to 30 requests in them.
const COUNT_WINDOW: Duration = Duration::from_secs(1);

/// Binary logarithm of the number of responses that the mean size follows. At one request per
/// second, a mean over 64 responses follows a change of the content within a minute, and a few
/// errors do not move it.
const SIZE_SHIFT: u32 = 6;

/// Numbers of served and failed requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Requests with a complete response, as far as packets show it.
    pub served: u32,
    /// Requests without a response in time, or with an error.
    pub failed: u32,
}

/// Recent request outcomes of one upstream, and whether it is ejected for them.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    /// Since when the upstream's process is known. Requests that were sent before belong to an
    /// earlier process under the same name. `None` for the first one.
    process_since: Option<Instant>,
    /// Counts of the current window.
    current: OutcomeCounts,
    /// Counts of the previous window.
    previous: OutcomeCounts,
    /// When a request was last served.
    last_served: Option<Instant>,
    /// End of the current window; `None` before the first request.
    window_end: Option<Instant>,
    /// Counts last reported by the other hosts of the zone.
    peer_counts: OutcomeCounts,
    /// End of the ejection unless it is extended; `None` if the upstream is not ejected.
    ejected_until: Option<Instant>,
}

/// Moving mean of the response sizes of one route, in bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseSizeMean {
    /// The mean, shifted left by [`SIZE_SHIFT`].
    shifted: u64,
    /// Number of responses recorded.
    samples: u64,
}

impl OutcomeCounts {
    /// Adds the counts of another host or window.
    pub fn add(&mut self, other: OutcomeCounts) {
        self.served = self.served.saturating_add(other.served);
        self.failed = self.failed.saturating_add(other.failed);
    }

    /// Whether the failed requests are enough to eject the upstream, by number and by share.
    fn is_failing(self, config: &OutlierConfig) -> bool {
        let total = u64::from(self.served) + u64::from(self.failed);
        let scaled_failures = u64::from(self.failed) * u64::from(config.failure_divisor);
        self.failed >= config.min_failures && scaled_failures >= total
    }
}

impl OutlierDetector {
    /// Returns the detector of an upstream whose process is known since `now`, in place of another.
    pub fn of_new_process(now: Instant) -> Self {
        Self {
            process_since: Some(now),
            ..Self::default()
        }
    }

    /// Whether the upstream is ejected because it fails requests.
    pub fn is_failing(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Records a request through this host that was served.
    pub fn record_served(&mut self, now: Instant) {
        self.rotate_windows(now);
        self.current.served += 1;
        self.last_served = Some(now);
    }

    /// Records a request through this host whose response was an error.
    pub fn record_error(&mut self, now: Instant) {
        self.rotate_windows(now);
        self.current.failed += 1;
    }

    /// Records a request, sent at `sent` through this host, that got no response in time.
    ///
    /// If nothing has been served since `sent`, requests served earlier no longer count. Otherwise
    /// the earlier load of an upstream that has stopped responding would hide its failures.
    pub fn record_timeout(&mut self, now: Instant, sent: Instant) {
        if self.process_since.is_some_and(|since| sent < since) {
            return;
        }
        self.rotate_windows(now);
        if self.last_served.is_none_or(|served| served <= sent) {
            self.current.served = 0;
            self.previous.served = 0;
        }
        self.current.failed += 1;
    }

    /// Returns the counts of this host, in the current and the previous window.
    pub fn own_counts(&self) -> OutcomeCounts {
        let mut counts = self.current;
        counts.add(self.previous);
        counts
    }

    /// Clears the counts of the other hosts before new ones are added.
    pub fn clear_peer_counts(&mut self) {
        self.peer_counts = OutcomeCounts::default();
    }

    /// Adds the counts of another host of the zone.
    pub fn add_peer_counts(&mut self, counts: OutcomeCounts) {
        self.peer_counts.add(counts);
    }

    /// Returns the counts of all hosts of the zone.
    pub fn counts(&self) -> OutcomeCounts {
        let mut counts = self.own_counts();
        counts.add(self.peer_counts);
        counts
    }

    /// Ejects the upstream or ends its ejection; true if that changed its state.
    ///
    /// An ejection ends once requests are served and few enough fail, or when its time is over.
    pub fn evaluate(&mut self, config: &OutlierConfig, now: Instant) -> bool {
        self.rotate_windows(now);
        let was_failing = self.is_failing();
        let counts = self.counts();
        if counts.is_failing(config) {
            self.ejected_until = Some(now + config.ejection);
        } else if counts.served > 0 || self.ejected_until.is_some_and(|until| until <= now) {
            self.ejected_until = None;
        }
        was_failing != self.is_failing()
    }

    /// Starts a new window if the current one has ended.
    fn rotate_windows(&mut self, now: Instant) {
        let end = *self.window_end.get_or_insert(now + COUNT_WINDOW);
        if now < end {
            return;
        }
        let late = now.saturating_duration_since(end);
        self.previous = match late < COUNT_WINDOW {
            true => self.current,
            false => OutcomeCounts::default(),
        };
        self.current = OutcomeCounts::default();
        self.window_end = Some(now + COUNT_WINDOW);
    }
}

impl ResponseSizeMean {
    /// Whether a response of this size is so short that it counts as an error; false until enough
    /// responses have been recorded.
    pub fn is_short(&self, config: &OutlierConfig, bytes: u16) -> bool {
        let mean = self.shifted >> SIZE_SHIFT;
        let (numerator, denominator) = config.short_response_ratio;
        self.samples >= config.min_responses && u64::from(bytes) * denominator < mean * numerator
    }

    /// Records the size of a response, clamped to the largest that can be stored; true if it is so
    /// short that it counts as an error.
    pub fn record(&mut self, config: &OutlierConfig, bytes: u16) -> bool {
        let short = self.is_short(config, bytes);
        let bytes = u64::from(bytes);
        let mean = self.shifted >> SIZE_SHIFT;
        self.samples += 1;
        if self.samples <= config.min_responses {
            let sum = mean * (self.samples - 1);
            self.shifted = ((sum + bytes) << SIZE_SHIFT) / self.samples;
        } else {
            self.shifted = self.shifted - mean + bytes;
        }
        short
    }
}
