//! Settings of the load policy.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use crate::unit_text::DurationText;

/// Load policy settings for operators. Durations are written with a unit.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadSettings {
    /// Slots of a zone per allocator; each further multiple adds another allocator.
    pub pool_slots: u32,
    /// Expected service time before any response has been measured.
    #[serde_as(as = "DurationText")]
    pub first_service_time: Duration,
    /// Maximum admitted wait after a queue has stood for `queue_interval`.
    #[serde_as(as = "DurationText")]
    pub queue_target: Duration,
    /// Time that a queue must stay above `queue_target` to count as overload.
    #[serde_as(as = "DurationText")]
    pub queue_interval: Duration,
    /// Time after which a slot request without a reply is sent again or given up.
    #[serde_as(as = "DurationText")]
    pub ask_timeout: Duration,
    /// Time after which a grant expires unless it is renewed.
    #[serde_as(as = "DurationText")]
    pub grant_length: Duration,
    /// Estimated wait in the own zone above which a slot is requested from another allocator.
    #[serde_as(as = "DurationText")]
    pub spill_cost: Duration,
    /// Retries allowed per request, as a fraction.
    pub retry_ratio: f64,
    /// Maximum number of saved-up retries.
    pub retry_burst: f64,
    /// Time over which a new upstream's slots are opened.
    #[serde_as(as = "DurationText")]
    pub ramp_length: Duration,
    /// Consecutive losses after which an upstream is ejected.
    pub ejection_losses: u32,
    /// Duration of the first ejection; each further one doubles it.
    #[serde_as(as = "DurationText")]
    pub ejection_length: Duration,
    /// Maximum fraction of a pool's upstreams that may be ejected at once.
    pub ejection_bound: f64,
    /// Time after which a learned concurrency limit is raised by one.
    #[serde_as(as = "DurationText")]
    pub limit_probe: Duration,
    /// Minimum time before a refused caller may try again.
    #[serde_as(as = "DurationText")]
    pub shortest_retry: Duration,
    /// Maximum time before a refused caller may try again, before jitter.
    #[serde_as(as = "DurationText")]
    pub longest_retry: Duration,
    /// Time constant over which upstream usage is balanced.
    #[serde_as(as = "DurationText")]
    pub balance_length: Duration,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            pool_slots: 16,
            first_service_time: Duration::from_millis(100),
            queue_target: Duration::from_millis(100),
            queue_interval: Duration::from_millis(500),
            ask_timeout: Duration::from_millis(40),
            grant_length: Duration::from_secs(2),
            spill_cost: Duration::from_millis(30),
            retry_ratio: 0.1,
            retry_burst: 10.0,
            ramp_length: Duration::from_secs(10),
            ejection_losses: 3,
            ejection_length: Duration::from_secs(1),
            ejection_bound: 0.34,
            limit_probe: Duration::from_millis(100),
            shortest_retry: Duration::from_millis(50),
            longest_retry: Duration::from_secs(10),
            balance_length: Duration::from_secs(10),
        }
    }
}
