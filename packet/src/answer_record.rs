//! Tells from callers' packets whether an upstream that answers serves its callers.
//!
//! Load pattern: an upstream accepts flows and acknowledges what it gets, yet answers no request, ends
//! its flows, or answers a part of them with an error. To a choice by load it looks idle, since what
//! fails is soon over, so it draws new flows from the others; its health check may say that all is
//! well. Hosts see no answers, but how much of one a caller has acknowledged, and when. So each
//! request is judged once: served, or failed. One host of many sees too few of them to tell, so the
//! hosts of a zone add up what they saw. The bound on how many upstreams may be out at once stands in
//! [`crate::upstream_choice`].

use std::time::Duration;
use std::time::Instant;

/// How long a caller waits for the first byte of an answer before its request counts as failed. An
/// upstream with a full queue (8 waiting at 2 slots of 30 ms) answers within 150 ms, a cold one
/// within 240 ms; 200 ms more are one lost packet.
pub const FAILED_WAIT: Duration = Duration::from_millis(450);

/// Length of one span of counts; the present and the last one are looked at. In a zone of today
/// an upstream has some 15 to 30 requests in it.
const COUNT_SPAN: Duration = Duration::from_secs(1);

/// Failed requests, at least, before an upstream is judged. Two lost packets in a row fail a request
/// once in 100,000; three of those within two spans do not happen.
const FEWEST_FAILED: u32 = 3;

/// One failed request in this many makes an upstream failing. Full upstreams that shed a tenth are
/// better used than left out; one that fails a quarter costs more than its share of the load.
const FAILED_SHARE: u32 = 4;

/// How long a failing upstream is left out once no count speaks against it any more. Flows that
/// it has go on and show whether it serves again; where it has none, new ones are the only trial,
/// and each is a caller's request that likely fails.
const LEFT_OUT: Duration = Duration::from_secs(5);

/// An answer shorter than this share of the usual one of its route is taken for an error: 150 bytes
/// of head and a line of text. Answers that vary by half their size fall below it once in 10,000.
const SHORT_SHARE: (u64, u64) = (3, 10);

/// Answers of a route, at least, before one of them is called short.
const FEWEST_ANSWERS: u64 = 16;

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

    fn is_failing(self) -> bool {
        let all = u64::from(self.served) + u64::from(self.failed);
        self.failed >= FEWEST_FAILED && u64::from(self.failed) * u64::from(FAILED_SHARE) >= all
    }
}

impl AnswerRecord {
    /// Whether new flows should go to others.
    pub fn is_failing(&self) -> bool {
        self.out_until.is_some()
    }

    /// Learns that a request was served through this host.
    pub fn served(&mut self, now: Instant) {
        self.turn_over(now);
        self.present.served += 1;
        self.last_served = Some(now);
    }

    /// Learns that a request was answered with an error through this host.
    pub fn erred(&mut self, now: Instant) {
        self.turn_over(now);
        self.present.failed += 1;
    }

    /// Learns that a request that was sent at `sent` through this host has had no answer in time.
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

    /// Forgets what the other hosts said, for it is about to be said anew.
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
    pub fn judge(&mut self, now: Instant) -> bool {
        self.turn_over(now);
        let was_failing = self.is_failing();
        let counts = self.counts();
        if counts.is_failing() {
            self.out_until = Some(now + LEFT_OUT);
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
    /// Learns of an answer of so many bytes, of which longer ones than can be told count as the longest;
    /// true if it is so short that it is taken for an error.
    pub fn learn(&mut self, bytes: u16) -> bool {
        let bytes = u64::from(bytes);
        let usual = self.shifted >> SIZE_SHIFT;
        let short = self.seen >= FEWEST_ANSWERS && bytes * SHORT_SHARE.1 < usual * SHORT_SHARE.0;
        self.seen += 1;
        if self.seen <= FEWEST_ANSWERS {
            let others = usual * (self.seen - 1);
            self.shifted = ((others + bytes) << SIZE_SHIFT) / self.seen;
        } else {
            self.shifted = self.shifted - usual + bytes;
        }
        short
    }
}
