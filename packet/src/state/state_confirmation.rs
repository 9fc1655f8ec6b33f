//! Tracks for which time the store has confirmed the published state that a host holds.
//!
//! A call that has not failed yet shows nothing: its response may be lost. Only a response shows
//! that the held state was the store's, as of the time at which the call was sent, or for which the
//! store had no change. What is missing from the state does not exist only if the store has
//! confirmed that for long enough.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// Maximum time between two confirmations of one span. It exceeds the longest call that succeeds,
/// and registrations do not lapse in a shorter outage of the store.
const MAX_CONFIRMATION_GAP: Duration = Duration::from_secs(2);

/// Age of the last confirmation above which a state no longer counts as in sync. A confirmation is
/// as old as the longest call that succeeds, is replaced after another one, and reaches followers
/// with the next heartbeat.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(4500);

/// Longest time since the start of a span that heartbeats state, so that it takes two bytes. No
/// decision needs a longer span.
const MAX_REPORTED_SPAN: Duration = Duration::from_secs(16);

/// A time span in which the store has confirmed the state without interruption.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmedSpan {
    /// Time of the first confirmation.
    pub since: Instant,
    /// Time of the last confirmation; not before `since`.
    pub confirmed_at: Instant,
}

/// A [`ConfirmedSpan`] in a heartbeat, relative to the time at which it is sent.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmationReport {
    /// Time since the start of the span; at most [`MAX_REPORTED_SPAN`].
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    since_ago: Duration,
    /// Time since the last confirmation.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    confirmed_ago: Duration,
}

/// The confirmations of the state that a host holds.
#[derive(Clone, Copy, Debug, Default)]
pub struct StateConfirmation {
    /// Start of the time for which confirmations count: this host had another state, or none, or
    /// was stalled before. `None` while it holds no state.
    not_before: Option<Instant>,
    /// The last span; `None` after a failed call, and before the first response.
    span: Option<ConfirmedSpan>,
}

impl ConfirmedSpan {
    /// Returns the span for a heartbeat that is sent now.
    pub fn report(&self, now: Instant) -> ConfirmationReport {
        let confirmed_ago = now.saturating_duration_since(self.confirmed_at);
        ConfirmationReport {
            since_ago: now
                .saturating_duration_since(self.since)
                .min(MAX_REPORTED_SPAN)
                .max(confirmed_ago),
            confirmed_ago,
        }
    }

    /// Whether the last confirmation is recent.
    pub fn is_current(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.confirmed_at) < MAX_CONFIRMATION_AGE
    }

    /// Time from the first confirmation to the last.
    pub fn length(&self) -> Duration {
        self.confirmed_at.saturating_duration_since(self.since)
    }
}

impl ConfirmationReport {
    /// Returns the span of a report that has arrived now; `None` if the report is not plausible.
    pub fn span(&self, now: Instant) -> Option<ConfirmedSpan> {
        let since = now.checked_sub(self.since_ago)?;
        let confirmed_at = now.checked_sub(self.confirmed_ago)?;
        (since <= confirmed_at).then_some(ConfirmedSpan {
            since,
            confirmed_at,
        })
    }
}

impl StateConfirmation {
    /// Discards all confirmations up to now.
    pub fn restart(&mut self, now: Instant) {
        self.not_before = Some(now);
        self.span = None;
    }

    /// Ends the span after a failed call, because the store may have been unavailable.
    pub fn interrupt(&mut self) {
        self.span = None;
    }

    /// Records a response of the store that shows that the state was its state at `as_of`.
    pub fn confirm(&mut self, as_of: Instant) {
        if self.not_before.is_none_or(|start| as_of < start) {
            return;
        }
        let fresh = ConfirmedSpan {
            since: as_of,
            confirmed_at: as_of,
        };
        let span = self.span.get_or_insert(fresh);
        if as_of.saturating_duration_since(span.confirmed_at) > MAX_CONFIRMATION_GAP {
            *span = fresh;
        }
        span.confirmed_at = span.confirmed_at.max(as_of);
    }

    /// Takes over the span of the zone's reader. The state of this host must contain the reader's.
    pub fn follow(&mut self, reader: ConfirmedSpan) {
        let Some(start) = self.not_before else {
            return;
        };
        let is_newer = self
            .span
            .is_none_or(|span| span.confirmed_at <= reader.confirmed_at);
        if is_newer && reader.confirmed_at >= start {
            self.span = Some(ConfirmedSpan {
                since: reader.since.max(start),
                ..reader
            });
        }
    }

    /// The last span, if there is one.
    pub fn span(&self) -> Option<ConfirmedSpan> {
        self.span
    }

    /// Whether the last confirmation is recent, and the store has confirmed the state without
    /// interruption for at least `min_time`.
    pub fn is_confirmed_for(&self, now: Instant, min_time: Duration) -> bool {
        self.span
            .is_some_and(|span| span.is_current(now) && span.length() >= min_time)
    }
}
