//! Load policy that decides on a request on arrival and releases the decision at the next tick,
//! even if the configuration has changed in the meantime.

use std::sync::Arc;
use std::time::Instant;

use lagoonproxy::config_snapshot::ConfigSnapshot;
use lagoonproxy::ids::UpstreamId;
use lagoonproxy::load_policy::AttemptOutcome;
use lagoonproxy::load_policy::LoadDecision;
use lagoonproxy::load_policy::LoadPolicy;
use lagoonproxy::load_policy::SubmittedRequest;
use lagoonproxy::request_table::RequestKey;

/// Sends every unpinned request to one upstream, deferred to the next tick.
pub struct DeferredPolicy {
    /// Upstream that unpinned requests are sent to.
    pub upstream: UpstreamId,
    /// Decisions deferred to the next tick.
    pub waiting: Vec<LoadDecision>,
}

impl LoadPolicy for DeferredPolicy {
    fn configure(&mut self, _now: Instant, _config: &Arc<ConfigSnapshot>) {}

    fn submit(
        &mut self,
        _now: Instant,
        request: SubmittedRequest,
        _decisions: &mut Vec<LoadDecision>,
    ) {
        self.waiting.push(LoadDecision::Send {
            key: request.key,
            upstream: request.pinned.unwrap_or(self.upstream),
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

    fn tick(&mut self, _now: Instant, decisions: &mut Vec<LoadDecision>) {
        decisions.append(&mut self.waiting);
    }
}
