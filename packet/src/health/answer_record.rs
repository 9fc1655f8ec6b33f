//! Tells from callers' packets whether an upstream that answers serves its callers.
//!
//! Load pattern: an upstream accepts flows and acknowledges what it gets, yet answers no request, ends
//! its flows, or answers a part of them with an error. To a choice by load it looks idle, since what
//! fails is soon over, so it draws new flows from the others; its health check may say that all is
//! well. Hosts see no answers, but how much of one a caller has acknowledged, and when. So each
//! request is judged once: served, or failed. One host of many sees too few of them to tell, so the
//! hosts of a zone add up what they saw. The bound on how many upstreams may be out at once stands in
//! [`crate::selection::upstream_selection`].

use std::time::Duration;
use std::time::Instant;

use crate::policy_config::OutlierConfig;

/// Length of one span of counts; the present and the last one count. In a zone of today
/// an upstream has some 15 to 30 requests in it.
const COUNT_SPAN: Duration = Duration::from_secs(1);

/// Weight of one answer in the usual size, as a power of two: 1 in 64 follows a change of the
/// content within a minute at a request a second, and is not moved by a few errors.
const SIZE_SHIFT: u32 = 6;

/// How many requests were served and how many failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Answered whole, as far as can be seen.
    pub served: u32,
    /// Not answered in time, or with an error.
    pub failed: u32,
}

/// What was seen of one upstream's answers of late.
#[derive(Clone, Debug, Default)]
pub struct AnswerRecord {
    /// Counts of the present span.
    present: AnswerCounts,
    /// Counts of the span before.
    last: AnswerCounts,
    /// When a request was last served.
    last_served: Option<Instant>,
    /// When the present span ends; `None` before the first request.
    span_end: Option<Instant>,
    /// What the other hosts of the zone last said of theirs.
    elsewhere: AnswerCounts,
    /// Until when it is left out; `None` if it is not failing.
    out_until: Option<Instant>,
}

/// The usual size of one route's answers, in bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerSize {
    /// Moving mean, shifted by [`SIZE_SHIFT`].
    shifted: u64,
    seen: u64,
}

impl AnswerCounts {
    /// Adds another host's counts.
    pub fn add(&mut self, other: AnswerCounts) {
        self.served = self.served.saturating_add(other.served);
        self.failed = self.failed.saturating_add(other.failed);
    }

    fn is_failing(self, config: &OutlierConfig) -> bool {
        let all = u64::from(self.served) + u64::from(self.failed);
        let share = u64::from(self.failed) * u64::from(config.failure_divisor);
        self.failed >= config.min_failures && share >= all
    }
}

impl AnswerRecord {
    /// Whether new flows should go to others.
    pub fn is_failing(&self) -> bool {
        self.out_until.is_some()
    }

    /// Records a request that was served through this host.
    pub fn served(&mut self, now: Instant) {
        self.turn_over(now);
        self.present.served += 1;
        self.last_served = Some(now);
    }

    /// Records a request that got an error through this host.
    pub fn erred(&mut self, now: Instant) {
        self.turn_over(now);
        self.present.failed += 1;
    }

    /// Records a request, sent at `sent` through this host, that got no response in time.
    ///
    /// What was served before it was sent no longer counts, unless something was served after: an
    /// upstream that has stopped answering would else be judged by how busy it was before.
    pub fn unanswered(&mut self, now: Instant, sent: Instant) {
        self.turn_over(now);
        if self.last_served.is_none_or(|served| served <= sent) {
            self.present.served = 0;
            self.last.served = 0;
        }
        self.present.failed += 1;
    }

    /// What this host saw in the present span and the last.
    pub fn own_counts(&self) -> AnswerCounts {
        let mut counts = self.present;
        counts.add(self.last);
        counts
    }

    /// Clears the counts of other hosts, which are about to be replaced.
    pub fn clear_elsewhere(&mut self) {
        self.elsewhere = AnswerCounts::default();
    }

    /// Adds what another host of the zone saw.
    pub fn add_elsewhere(&mut self, counts: AnswerCounts) {
        self.elsewhere.add(counts);
    }

    /// What all hosts of the zone saw.
    pub fn counts(&self) -> AnswerCounts {
        let mut counts = self.own_counts();
        counts.add(self.elsewhere);
        counts
    }

    /// Judges the upstream anew; true if that changed the judgement.
    pub fn evaluate(&mut self, config: &OutlierConfig, now: Instant) -> bool {
        self.turn_over(now);
        let was_failing = self.is_failing();
        let counts = self.counts();
        if counts.is_failing(config) {
            self.out_until = Some(now + config.left_out);
        } else if counts.served > 0 || self.out_until.is_some_and(|until| until <= now) {
            self.out_until = None;
        }
        was_failing != self.is_failing()
    }

    fn turn_over(&mut self, now: Instant) {
        let end = *self.span_end.get_or_insert(now + COUNT_SPAN);
        if now < end {
            return;
        }
        let late = now.saturating_duration_since(end);
        self.last = match late < COUNT_SPAN {
            true => self.present,
            false => AnswerCounts::default(),
        };
        self.present = AnswerCounts::default();
        self.span_end = Some(now + COUNT_SPAN);
    }
}

impl AnswerSize {
    /// Whether a response of this size is so short that it is taken for an error.
    pub fn is_short(&self, config: &OutlierConfig, bytes: u16) -> bool {
        let usual = self.shifted >> SIZE_SHIFT;
        let (share, of) = config.short_response_ratio;
        self.seen >= config.min_responses && u64::from(bytes) * of < usual * share
    }

    /// Records the size of a response, clamped to the largest that can be stored;
    /// true if it is so short that it is taken for an error.
    pub fn learn(&mut self, config: &OutlierConfig, bytes: u16) -> bool {
        let short = self.is_short(config, bytes);
        let bytes = u64::from(bytes);
        let usual = self.shifted >> SIZE_SHIFT;
        self.seen += 1;
        if self.seen <= config.min_responses {
            let others = usual * (self.seen - 1);
            self.shifted = ((others + bytes) << SIZE_SHIFT) / self.seen;
        } else {
            self.shifted = self.shifted - usual + bytes;
        }
        short
    }
}
