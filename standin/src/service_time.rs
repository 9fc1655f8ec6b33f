//! How long upstream stand-ins work on a request: seeded distributions, and the cold start.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;

/// A distribution of service times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum ServiceTime {
    /// Always the same.
    Fixed {
        /// Milliseconds.
        ms: f64,
    },
    /// Exponential: many short, few long.
    Exponential {
        /// Mean in milliseconds.
        mean_ms: f64,
    },
    /// Two kinds of requests.
    Bimodal {
        /// Milliseconds of a short one.
        short_ms: f64,
        /// Milliseconds of a long one.
        long_ms: f64,
        /// Share of the long ones, 0 to 1.
        long_share: f64,
    },
}

/// How much slower an upstream is just after its start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Milliseconds until it is as fast as it gets.
    pub lasts_ms: u64,
    /// How many times longer the first request takes; falls to one linearly.
    pub factor: f64,
}

impl ServiceTime {
    /// Draws a service time.
    pub fn draw(&self, random: &mut StdRng) -> Duration {
        let ms = match *self {
            Self::Fixed { ms } => ms,
            Self::Exponential { mean_ms } => -mean_ms * (1.0 - random.random::<f64>()).ln(),
            Self::Bimodal {
                short_ms,
                long_ms,
                long_share,
            } => {
                if random.random::<f64>() < long_share {
                    long_ms
                } else {
                    short_ms
                }
            }
        };
        Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
    }
}

impl ColdStart {
    /// The factor on service times at `now` of an upstream that began at `start`.
    pub fn factor_at(&self, start: Instant, now: Instant) -> f64 {
        let lasts = Duration::from_millis(self.lasts_ms);
        let elapsed = now.saturating_duration_since(start);
        if elapsed >= lasts {
            return 1.0;
        }
        let warm_share = elapsed.as_secs_f64() / lasts.as_secs_f64();
        self.factor + (1.0 - self.factor) * warm_share
    }
}
