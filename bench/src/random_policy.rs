//! Lower bound for the comparison: a random upstream, which queues requests that it cannot run yet.

use std::sync::Arc;
use std::time::Instant;

use lagoonproxy::config_snapshot::ConfigSnapshot;
use lagoonproxy::ids::UpstreamId;
use lagoonproxy::load_policy::AttemptOutcome;
use lagoonproxy::load_policy::LoadDecision;
use lagoonproxy::load_policy::LoadPolicy;
use lagoonproxy::load_policy::SubmittedRequest;
use lagoonproxy::request_table::RequestKey;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Sends each request at once to an upstream drawn at random.
pub struct RandomPolicy {
    upstreams: Vec<UpstreamId>,
    random: StdRng,
}

impl RandomPolicy {
    /// Returns a policy whose random choices are determined by `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            upstreams: Vec::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }
}

/// Returns the upstreams of all services in ascending order.
pub(crate) fn all_upstreams(config: &ConfigSnapshot) -> Vec<UpstreamId> {
    let mut ids: Vec<UpstreamId> = config.upstreams.keys().copied().collect();
    ids.sort_unstable();
    ids
}

impl LoadPolicy for RandomPolicy {
    fn configure(&mut self, _now: Instant, config: &Arc<ConfigSnapshot>) {
        self.upstreams = all_upstreams(config);
    }

    fn submit(
        &mut self,
        _now: Instant,
        request: SubmittedRequest,
        decisions: &mut Vec<LoadDecision>,
    ) {
        let drawn = self.random.random_range(0..self.upstreams.len());
        decisions.push(LoadDecision::Send {
            key: request.key,
            upstream: self.upstreams[drawn],
        });
    }

    fn end(
        &mut self,
        _now: Instant,
        _key: RequestKey,
        _end: AttemptOutcome,
        _decisions: &mut Vec<LoadDecision>,
    ) {
    }

    fn withdraw(&mut self, _now: Instant, _key: RequestKey, _decisions: &mut Vec<LoadDecision>) {}

    fn tick(&mut self, _now: Instant, _decisions: &mut Vec<LoadDecision>) {}
}
