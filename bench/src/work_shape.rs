//! Service times of the experiments, drawn from seeded randomness.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

/// Exponent of the bounded Pareto distribution; below 2, where the variance grows with the bound.
const PARETO_ALPHA: f64 = 1.5;
/// Longest over shortest service time of the bounded Pareto distribution.
const PARETO_RANGE: f64 = 1_000.0;

/// How service times are distributed around their mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorkShape {
    /// Exponential.
    Exponential,
    /// Heavy-tailed: bounded Pareto.
    Pareto,
    /// All equal.
    Fixed,
}

impl WorkShape {
    /// Name in tables.
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

/// Bounded Pareto of mean 1 by inversion.
fn pareto(unit: f64) -> f64 {
    let (alpha, range) = (PARETO_ALPHA, PARETO_RANGE);
    let tail = 1.0 - range.powf(-alpha);
    let mean = alpha / (alpha - 1.0) * (1.0 - range.powf(1.0 - alpha)) / tail;
    (1.0 - unit * tail).powf(-1.0 / alpha) / mean
}
