//! Typical response sizes, pauses and response times of one route, learned from the callers'
//! packets.

use std::time::Duration;

use crate::flows::moving_mean::MovingMean;
use crate::health::outlier_detector::ResponseSizeMean;
use crate::policy_config::LoadConfig;

/// Minimum number of pauses before an idle threshold is derived. In a burst, they accumulate within
/// 0.1 s.
const MIN_PAUSES: u64 = 16;

/// Statistics of one route.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteStats {
    /// Sizes of the responses.
    pub response_sizes: ResponseSizeMean,
    /// Pauses within flows in use.
    pub pauses: PauseEstimate,
    /// Times from a request to its response.
    pub response_times: MovingMean,
}

/// Mean pause between packets of a route's flows while they are in use: from a request to its
/// response, and from a response to the next request.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseEstimate {
    mean: MovingMean,
}

impl PauseEstimate {
    /// Records a pause that ended with the expected next packet.
    pub fn record(&mut self, pause: Duration) {
        self.mean.record(pause);
    }

    /// Returns the time without packets after which a flow counts as idle; `None` if too few pauses
    /// have been recorded.
    pub fn idle_threshold(&self, config: &LoadConfig) -> Option<Duration> {
        let usual = self.mean.with_min_samples(MIN_PAUSES)?;
        Some(config.min_idle_time.max(usual * config.idle_pause_factor))
    }
}
