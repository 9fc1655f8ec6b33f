//! Settings of the decisions under load.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use crate::unit_text::DurationText;

/// What operators may change of the decisions under load. Durations are written with a unit.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadSettings {
    /// Slots that one keeper holds before a second one in the zone takes a share.
    pub pool_slots: u32,
    /// Expected service time before any was seen.
    #[serde_as(as = "DurationText")]
    pub first_service_time: Duration,
    /// Longest wait admitted once a queue has stood for `queue_interval`.
    #[serde_as(as = "DurationText")]
    pub queue_target: Duration,
    /// How long a queue must stand above `queue_target` to count as overload.
    #[serde_as(as = "DurationText")]
    pub queue_interval: Duration,
    /// How long a keeper may leave an ask unanswered.
    #[serde_as(as = "DurationText")]
    pub ask_timeout: Duration,
    /// How long a grant holds its slot unless it is renewed.
    #[serde_as(as = "DurationText")]
    pub grant_length: Duration,
    /// How much longer a job of another zone must have waited to go before one of the own.
    #[serde_as(as = "DurationText")]
    pub spill_cost: Duration,
    /// Retries allowed per job, as a fraction.
    pub retry_ratio: f64,
    /// Retries allowed at once beyond the fraction.
    pub retry_burst: f64,
    /// Time over which a new upstream's slots are brought into use.
    #[serde_as(as = "DurationText")]
    pub ramp_length: Duration,
    /// Losses in a row after which an upstream is ejected.
    pub ejection_losses: u32,
    /// First ejection's length; each further one doubles it.
    #[serde_as(as = "DurationText")]
    pub ejection_length: Duration,
    /// Largest fraction of a pool's upstreams that may be ejected at once.
    pub ejection_bound: f64,
    /// Time after which a limit that an upstream's sheds have lowered is tried one higher.
    #[serde_as(as = "DurationText")]
    pub limit_probe: Duration,
    /// Shortest time to come back after a refusal.
    #[serde_as(as = "DurationText")]
    pub shortest_retry: Duration,
    /// Longest time to come back after a refusal.
    #[serde_as(as = "DurationText")]
    pub longest_retry: Duration,
    /// Time over which use of upstreams is evened out.
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
