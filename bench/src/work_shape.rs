//! Distributions of service times, drawn from a seeded random number generator.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

/// Exponent of the bounded Pareto distribution. Below 2 the variance grows with the upper bound.
const PARETO_ALPHA: f64 = 1.5;
/// Ratio of the maximum to the minimum service time of the bounded Pareto distribution.
const PARETO_RANGE: f64 = 1_000.0;

/// Distribution of service times around their mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorkShape {
    /// Exponential distribution.
    Exponential,
    /// Bounded Pareto distribution, which is heavy-tailed.
    Pareto,
    /// All service times equal the mean.
    Fixed,
}

impl WorkShape {
    /// Returns the name in result tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Exponential => "exponential",
            Self::Pareto => "pareto",
            Self::Fixed => "fixed",
        }
    }

    /// Draws a service time.
    pub fn draw(self, random: &mut StdRng, mean: Duration) -> Duration {
        let unit: f64 = random.random_range(f64::EPSILON..1.0);
        let factor = match self {
            Self::Exponential => -unit.ln(),
            Self::Pareto => pareto(unit),
            Self::Fixed => 1.0,
        };
        mean.mul_f64(factor)
    }
}

/// Returns a bounded Pareto variate of mean 1 by inverse transform sampling.
fn pareto(unit: f64) -> f64 {
    let (alpha, range) = (PARETO_ALPHA, PARETO_RANGE);
    let tail = 1.0 - range.powf(-alpha);
    let mean = alpha / (alpha - 1.0) * (1.0 - range.powf(1.0 - alpha)) / tail;
    (1.0 - unit * tail).powf(-1.0 / alpha) / mean
}
