//! What the requests of one route are usually like, learnt from callers' packets.

use std::time::Duration;

use crate::health::answer_record::AnswerSize;
use crate::policy_config::LoadConfig;

/// Most silences that the usual one is the mean of: 1 in 64 follows a change of the load within seconds,
/// and is not moved by one caller that pauses.
const MOST_WEIGHED: u64 = 64;

/// Silences, at least, before it is said what is usual. In a rush they are there after 0.1 s.
const FEWEST_SILENCES: u64 = 16;

/// The habits of one route.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteHabit {
    /// How long its answers are.
    pub answers: AnswerSize,
    /// How long its flows are silent.
    pub silence: UsualSilence,
}

/// How long flows of one route usually say nothing while they are in use: from a request to its answer,
/// and from an answer to the next request.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsualSilence {
    /// Moving mean, in nanoseconds.
    mean: u64,
    /// Silences that it is the mean of; at most [`MOST_WEIGHED`].
    seen: u64,
}

impl UsualSilence {
    /// Records a pause that ended with the next packet in its turn.
    pub fn learn(&mut self, silence: Duration) {
        let nanos = u64::try_from(silence.as_nanos()).unwrap_or(u64::MAX / MOST_WEIGHED);
        let others = self.mean * self.seen.min(MOST_WEIGHED - 1);
        self.seen = (self.seen + 1).min(MOST_WEIGHED);
        self.mean = (others + nanos) / self.seen;
    }

    /// How long a flow has to be silent before it is taken to be out of use; `None` while too little
    /// was seen to say so.
    pub fn limit(&self, config: &LoadConfig) -> Option<Duration> {
        let usual = Duration::from_nanos(self.mean);
        let limit = config.idle_floor.max(usual * config.idle_times);
        (self.seen >= FEWEST_SILENCES).then_some(limit)
    }
}
