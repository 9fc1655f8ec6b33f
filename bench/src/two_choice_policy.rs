//! Power of two choices, based on the load that upstreams report with each response.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use lagoonproxy::config_snapshot::ConfigSnapshot;
use lagoonproxy::host_event::UpstreamReport;
use lagoonproxy::ids::UpstreamId;
use lagoonproxy::load_policy::AttemptOutcome;
use lagoonproxy::load_policy::LoadDecision;
use lagoonproxy::load_policy::LoadPolicy;
use lagoonproxy::load_policy::SubmittedRequest;
use lagoonproxy::request_table::RequestKey;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::random_policy::all_upstreams;

/// Sends each request at once to the less loaded of two upstreams drawn at random.
pub struct TwoChoicePolicy {
    upstreams: Vec<UpstreamId>,
    random: StdRng,
    /// Last reported load plus the requests sent since.
    loads: HashMap<UpstreamId, u32>,
}

impl TwoChoicePolicy {
    /// Returns a policy whose random choices are determined by `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            upstreams: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            loads: HashMap::new(),
        }
    }

    fn draw(&mut self) -> (u32, UpstreamId) {
        let drawn = self.random.random_range(0..self.upstreams.len());
        let id = self.upstreams[drawn];
        (self.loads.get(&id).copied().unwrap_or(0), id)
    }
}

impl LoadPolicy for TwoChoicePolicy {
    fn configure(&mut self, _now: Instant, config: &Arc<ConfigSnapshot>) {
        self.upstreams = all_upstreams(config);
    }

    fn handle_report(&mut self, _now: Instant, report: UpstreamReport) {
        self.loads.insert(report.upstream, report.busy_slots);
    }

    fn submit(
        &mut self,
        _now: Instant,
        request: SubmittedRequest,
        decisions: &mut Vec<LoadDecision>,
    ) {
        let (_load, upstream) = self.draw().min(self.draw());
        *self.loads.entry(upstream).or_default() += 1;
        decisions.push(LoadDecision::Send {
            key: request.key,
            upstream,
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
