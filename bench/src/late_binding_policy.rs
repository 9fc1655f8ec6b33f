//! Late binding: requests wait at their host until an upstream with a free slot grants one.
//!
//! The policy follows Sparrow (SOSP 2013): each request makes two reservations and runs where the
//! first slot becomes free. It needs a queue of reservations at each upstream, but lagoonproxy may
//! not run anything on the users' upstreams. It serves for comparison with slot allocators, which
//! keep such queues on entry hosts.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::config_snapshot::ConfigSnapshot;
use lagoonproxy::ids::HostId;
use lagoonproxy::ids::UpstreamId;
use lagoonproxy::load_message::GrantOutcome;
use lagoonproxy::load_message::LoadBody;
use lagoonproxy::load_message::LoadMessage;
use lagoonproxy::load_message::SlotRequest;
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

const RESERVATIONS_PER_REQUEST: usize = 2;

/// Sends the oldest waiting request to each upstream that grants a reservation.
pub struct LateBindingPolicy {
    upstreams: Vec<UpstreamId>,
    random: StdRng,
    waiting: VecDeque<RequestKey>,
    deadlines: BTreeMap<RequestKey, Instant>,
}

impl LateBindingPolicy {
    /// Returns a policy whose random choices are determined by `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            upstreams: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            waiting: VecDeque::new(),
            deadlines: BTreeMap::new(),
        }
    }

    fn next_waiting(&mut self) -> Option<RequestKey> {
        while let Some(key) = self.waiting.pop_front() {
            if self.deadlines.remove(&key).is_some() {
                return Some(key);
            }
        }
        None
    }
}

impl LoadPolicy for LateBindingPolicy {
    fn configure(&mut self, _now: Instant, config: &Arc<ConfigSnapshot>) {
        self.upstreams = all_upstreams(config);
    }

    fn handle_message(
        &mut self,
        _now: Instant,
        sender: HostId,
        message: &LoadMessage,
        decisions: &mut Vec<LoadDecision>,
    ) {
        let LoadBody::Grant { upstream } = message.body else {
            return;
        };
        if let Some(key) = self.next_waiting() {
            decisions.push(LoadDecision::Send { key, upstream });
            return;
        }
        let body = LoadBody::Release(GrantOutcome::Unused);
        decisions.push(LoadDecision::Tell {
            host: sender,
            message: LoadMessage {
                body,
                ..message.clone()
            },
        });
    }

    fn submit(
        &mut self,
        now: Instant,
        request: SubmittedRequest,
        decisions: &mut Vec<LoadDecision>,
    ) {
        self.waiting.push_back(request.key);
        self.deadlines.insert(request.key, request.deadline);
        for _reservation in 0..RESERVATIONS_PER_REQUEST {
            let drawn = self.random.random_range(0..self.upstreams.len());
            let slot_request = SlotRequest {
                upstream: None,
                caller: 0,
                waited: Duration::ZERO,
                remaining: request.deadline.saturating_duration_since(now),
                spill: false,
            };
            decisions.push(LoadDecision::Tell {
                host: UPSTREAM_HOST_BASE + self.upstreams[drawn],
                message: LoadMessage {
                    service: SERVICE,
                    slot_request: 0,
                    body: LoadBody::Request(slot_request),
                    previous_release: None,
                },
            });
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

    fn withdraw(&mut self, _now: Instant, key: RequestKey, _decisions: &mut Vec<LoadDecision>) {
        self.deadlines.remove(&key);
    }

    fn tick(&mut self, _now: Instant, _decisions: &mut Vec<LoadDecision>) {}
}
