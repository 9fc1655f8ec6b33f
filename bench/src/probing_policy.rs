//! Probing: upstreams are probed for their load in advance, and the least loaded one is used.
//!
//! The policy follows Prequal (NSDI 2024) in simplified form: a few probes per request and a small
//! pool of results, from which old results are dropped. It needs upstreams that answer probes;
//! the users' upstreams have only a load endpoint whose values lag.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::config_snapshot::ConfigSnapshot;
use lagoonproxy::host_event::UpstreamReport;
use lagoonproxy::ids::UpstreamId;
use lagoonproxy::load_message::LoadBody;
use lagoonproxy::load_message::LoadMessage;
use lagoonproxy::load_policy::AttemptOutcome;
use lagoonproxy::load_policy::LoadDecision;
use lagoonproxy::load_policy::LoadPolicy;
use lagoonproxy::load_policy::SubmittedRequest;
use lagoonproxy::request_table::RequestKey;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::cluster_plan::SERVICE;
use crate::random_policy::all_upstreams;
use crate::virtual_cluster::UPSTREAM_HOST_BASE;

const PROBES_PER_REQUEST: usize = 3;
const POOL_SIZE: usize = 16;
const MAX_PROBE_AGE: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug)]
struct ProbeResult {
    upstream: UpstreamId,
    load: u32,
    taken: Instant,
}

/// Sends each request at once to the upstream with the lowest load among the probe results.
pub struct ProbingPolicy {
    upstreams: Vec<UpstreamId>,
    random: StdRng,
    pool: Vec<ProbeResult>,
}

impl ProbingPolicy {
    /// Returns a policy whose random choices are determined by `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            upstreams: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            pool: Vec::new(),
        }
    }

    fn draw(&mut self) -> UpstreamId {
        let drawn = self.random.random_range(0..self.upstreams.len());
        self.upstreams[drawn]
    }

    fn choose(&mut self, now: Instant) -> UpstreamId {
        self.pool
            .retain(|result| now < result.taken + MAX_PROBE_AGE);
        let least_loaded = self.pool.iter_mut().min_by_key(|result| result.load);
        match least_loaded {
            Some(result) => {
                result.load += 1;
                result.upstream
            }
            None => self.draw(),
        }
    }
}

impl LoadPolicy for ProbingPolicy {
    fn configure(&mut self, _now: Instant, config: &Arc<ConfigSnapshot>) {
        self.upstreams = all_upstreams(config);
    }

    fn handle_report(&mut self, now: Instant, report: UpstreamReport) {
        self.pool
            .retain(|result| result.upstream != report.upstream);
        if self.pool.len() >= POOL_SIZE {
            self.pool.remove(0);
        }
        self.pool.push(ProbeResult {
            upstream: report.upstream,
            load: report.busy_slots,
            taken: now,
        });
    }

    fn submit(
        &mut self,
        now: Instant,
        request: SubmittedRequest,
        decisions: &mut Vec<LoadDecision>,
    ) {
        let upstream = self.choose(now);
        decisions.push(LoadDecision::Send {
            key: request.key,
            upstream,
        });
        for _probe in 0..PROBES_PER_REQUEST {
            let message = LoadMessage {
                service: SERVICE,
                slot_request: 0,
                body: LoadBody::Queued,
                previous_release: None,
            };
            let host = UPSTREAM_HOST_BASE + self.draw();
            decisions.push(LoadDecision::Tell { host, message });
        }
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
