//! Probing: upstreams are asked for their load ahead of need, and the coldest answer is used.
//!
//! After Prequal (NSDI 2024): a few probes a job, a small pool of answers, each used a few times
//! and then dropped, the worst and the oldest dropped as well. It needs a probe that upstreams
//! answer, which the users' upstreams have only as a lagging load endpoint.

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
use crate::virtual_cluster::UPSTREAM_HOST;

const PROBES_PER_JOB: usize = 3;
const POOL_SIZE: usize = 16;
const LONGEST_AGE: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug)]
struct ProbeAnswer {
    upstream: UpstreamId,
    load: u32,
    taken: Instant,
}

/// Sends each job at once to the upstream whose probe showed the least load.
pub struct ProbingPolicy {
    upstreams: Vec<UpstreamId>,
    random: StdRng,
    pool: Vec<ProbeAnswer>,
}

impl ProbingPolicy {
    /// A policy with its own randomness.
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
        self.pool.retain(|answer| now < answer.taken + LONGEST_AGE);
        let coldest = self.pool.iter_mut().min_by_key(|answer| answer.load);
        match coldest {
            Some(answer) => {
                answer.load += 1;
                answer.upstream
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
            .retain(|answer| answer.upstream != report.upstream);
        if self.pool.len() >= POOL_SIZE {
            self.pool.remove(0);
        }
        self.pool.push(ProbeAnswer {
            upstream: report.upstream,
            load: report.busy_slots,
            taken: now,
        });
    }

    fn submit(&mut self, now: Instant, job: SubmittedRequest, decisions: &mut Vec<LoadDecision>) {
        let upstream = self.choose(now);
        decisions.push(LoadDecision::Send {
            key: job.key,
            upstream,
        });
        for _probe in 0..PROBES_PER_JOB {
            let message = LoadMessage {
                service: SERVICE,
                slot_request: 0,
                body: LoadBody::Queued,
                previous_release: None,
            };
            let host = UPSTREAM_HOST + self.draw();
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
