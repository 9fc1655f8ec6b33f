//! Baseline load policy: the upstream with the fewest requests of this host, without a queue.
//!
//! Benchmarks compare other policies with it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::config_snapshot::ConfigSnapshot;
use crate::config_snapshot::UpstreamState;
use crate::flow_hash::rendezvous_weight;
use crate::ids::UpstreamId;
use crate::load_policy::AttemptOutcome;
use crate::load_policy::LoadDecision;
use crate::load_policy::LoadPolicy;
use crate::load_policy::SubmittedRequest;
use crate::request_table::RequestKey;
use crate::result_code::ResultCode;

const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Sends each request at once to the least busy upstream.
#[derive(Default)]
pub struct LeastBusyPolicy {
    config: Arc<ConfigSnapshot>,
    busy: HashMap<UpstreamId, u32>,
    sent: HashMap<RequestKey, (SubmittedRequest, UpstreamId)>,
}

impl LeastBusyPolicy {
    fn choose(&self, request: &SubmittedRequest) -> Option<UpstreamId> {
        if request.pinned.is_some() {
            return request.pinned;
        }
        let service = self.config.services.get(&request.service)?;
        service
            .upstreams
            .iter()
            .copied()
            .filter(|id| self.is_active(*id))
            .min_by_key(|id| {
                let busy = self.busy.get(id).copied().unwrap_or(0);
                (busy, rendezvous_weight(request.key.request, u64::from(*id)))
            })
    }

    fn is_active(&self, id: UpstreamId) -> bool {
        let upstream = self.config.upstreams.get(&id);
        upstream.is_some_and(|entry| entry.state == UpstreamState::Active)
    }
}

impl LoadPolicy for LeastBusyPolicy {
    fn configure(&mut self, _now: Instant, config: &Arc<ConfigSnapshot>) {
        self.config = Arc::clone(config);
    }

    fn submit(
        &mut self,
        _now: Instant,
        request: SubmittedRequest,
        decisions: &mut Vec<LoadDecision>,
    ) {
        let key = request.key;
        let Some(upstream) = self.choose(&request) else {
            decisions.push(LoadDecision::Refuse {
                key,
                code: ResultCode::NoUpstream,
                retry_after: RETRY_AFTER,
            });
            return;
        };
        *self.busy.entry(upstream).or_default() += 1;
        self.sent.insert(key, (request, upstream));
        decisions.push(LoadDecision::Send { key, upstream });
    }

    fn end(
        &mut self,
        _now: Instant,
        key: RequestKey,
        outcome: AttemptOutcome,
        decisions: &mut Vec<LoadDecision>,
    ) {
        let Some((_request, upstream)) = self.sent.remove(&key) else {
            return;
        };
        if let Some(busy) = self.busy.get_mut(&upstream) {
            *busy = busy.saturating_sub(1);
        }
        if let AttemptOutcome::NotStarted { retry_after } = outcome {
            decisions.push(LoadDecision::Refuse {
                key,
                code: ResultCode::UpstreamShed,
                retry_after,
            });
        }
    }

    fn withdraw(&mut self, _now: Instant, _key: RequestKey, _decisions: &mut Vec<LoadDecision>) {}

    fn tick(&mut self, _now: Instant, _decisions: &mut Vec<LoadDecision>) {}
}
