//! A load policy that decides on a job as it arrives and lets it go only at the next tick, whatever
//! has been published meanwhile.

use std::sync::Arc;
use std::time::Instant;

use lagoonproxy::config_snapshot::ConfigSnapshot;
use lagoonproxy::ids::UpstreamId;
use lagoonproxy::load_policy::JobEnd;
use lagoonproxy::load_policy::LoadDecision;
use lagoonproxy::load_policy::LoadJob;
use lagoonproxy::load_policy::LoadPolicy;
use lagoonproxy::request_table::RequestKey;

/// Sends every free job to one upstream, late.
pub struct LatePolicy {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The decisions that wait for the tick.
    pub waiting: Vec<LoadDecision>,
}

impl LoadPolicy for LatePolicy {
    fn configure(&mut self, _now: Instant, _config: &Arc<ConfigSnapshot>) {}

    fn submit(&mut self, _now: Instant, job: LoadJob, _decisions: &mut Vec<LoadDecision>) {
        self.waiting.push(LoadDecision::Send {
            key: job.key,
            upstream: job.pinned.unwrap_or(self.upstream),
        });
    }

    fn end(
        &mut self,
        _now: Instant,
        _key: RequestKey,
        _end: JobEnd,
        _decisions: &mut Vec<LoadDecision>,
    ) {
    }

    fn withdraw(&mut self, _now: Instant, _key: RequestKey, _decisions: &mut Vec<LoadDecision>) {}

    fn tick(&mut self, _now: Instant, decisions: &mut Vec<LoadDecision>) {
        decisions.append(&mut self.waiting);
    }
}
