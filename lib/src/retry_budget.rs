//! Limits retries to a fraction of the jobs.
//!
//! Load pattern: upstreams fail or shed, and every retry is one job more for those that are left.
//! Without it the retries of a fault double and treble the load that caused it, and keep the fault
//! alive after its cause has gone. Each job earns a fraction of a retry (a token bucket); 10 % is
//! the bound that the users' figures ask for, the burst lets a quiet service ride out one restart.

/// Tokens for retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    ratio: f64,
    burst: f64,
}

impl RetryBudget {
    /// Begins with `burst` retries; each job earns `ratio` of one.
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self {
            tokens: burst,
            ratio,
            burst,
        }
    }

    /// Counts a job.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes one retry, if there is one left.
    pub fn spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
