//! What the requests of one route are usually like, learnt from callers' packets.

use std::time::Duration;

use crate::flows::moving_mean::MovingMean;
use crate::health::answer_record::AnswerSize;
use crate::policy_config::LoadConfig;

/// Silences, at least, before it is said what is usual. In a rush they are there after 0.1 s.
const FEWEST_SILENCES: u64 = 16;

/// The habits of one route.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteHabit {
    /// How long its answers are.
    pub answers: AnswerSize,
    /// How long its flows are silent.
    pub silence: UsualSilence,
    /// How long its requests wait for their answers.
    pub response: MovingMean,
}

/// How long flows of one route usually say nothing while they are in use: from a request to its answer,
/// and from an answer to the next request.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsualSilence {
    mean: MovingMean,
}

impl UsualSilence {
    /// Records a pause that ended with the next packet in its turn.
    pub fn learn(&mut self, silence: Duration) {
        self.mean.learn(silence);
    }

    /// How long a flow has to be silent before it is taken to be out of use; `None` while too little
    /// was seen to say so.
    pub fn limit(&self, config: &LoadConfig) -> Option<Duration> {
        let usual = self.mean.of_at_least(FEWEST_SILENCES)?;
        Some(config.idle_floor.max(usual * config.idle_times))
    }
}
