//! Defines the service times of upstream stand-ins: seeded distributions and the cold start.

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
    /// A constant service time.
    Fixed {
        /// The service time in milliseconds.
        ms: f64,
    },
    /// An exponential distribution.
    Exponential {
        /// Mean in milliseconds.
        mean_ms: f64,
    },
    /// A mix of short and long requests, each with a constant service time.
    Bimodal {
        /// Service time of a short request in milliseconds.
        short_ms: f64,
        /// Service time of a long request in milliseconds.
        long_ms: f64,
        /// Share of long requests, from 0 to 1.
        long_share: f64,
    },
}

/// Slowdown of an upstream after its start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Time in milliseconds until the upstream has its full speed.
    pub lasts_ms: u64,
    /// Factor on service times at the start; it falls linearly to one.
    pub factor: f64,
}

impl ServiceTime {
    /// Returns a random service time.
    pub fn sample(&self, random: &mut StdRng) -> Duration {
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
    /// Returns the factor on service times at `now` for an upstream that started at `start`.
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
