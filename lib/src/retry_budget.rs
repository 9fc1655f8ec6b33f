//! Limits retries to a fraction of the requests.
//!
//! When upstreams fail or shed, every retry adds a request for those that remain. Without a limit,
//! the retries double or triple the load that caused a fault and keep the fault alive after its
//! cause has gone. Each request earns a fraction of a retry (token bucket). The users' requirements
//! bound the fraction at 10 %; the burst covers one restart in a service with little traffic.

/// Tokens for retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    ratio: f64,
    burst: f64,
}

impl RetryBudget {
    /// Creates a budget with `burst` retries; each request earns `ratio` of a retry.
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self {
            tokens: burst,
            ratio,
            burst,
        }
    }

    /// Counts a request.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes one retry; returns whether one was left.
    pub fn spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
