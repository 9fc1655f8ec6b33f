//! Properties of the service policy under any order of events and any loss of messages.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::config_snapshot::ConfigSnapshot;
use lagoonproxy::config_snapshot::UpstreamState;
use lagoonproxy::host_core::TICK;
use lagoonproxy::ids::HostId;
use lagoonproxy::ids::UpstreamId;
use lagoonproxy::load_message::LoadMessage;
use lagoonproxy::load_policy::AttemptOutcome;
use lagoonproxy::load_policy::LoadDecision;
use lagoonproxy::load_policy::LoadPolicy;
use lagoonproxy::load_policy::SubmittedRequest;
use lagoonproxy::load_settings::LoadSettings;
use lagoonproxy::request_table::RequestKey;
use lagoonproxy::result_code::ResultCode;
use lagoonproxy::service_policy::ServicePolicy;
use lagoonproxy_bench::cluster_plan::ClusterPlan;
use lagoonproxy_bench::cluster_plan::FleetState;
use lagoonproxy_bench::cluster_plan::SERVICE;
use lagoonproxy_bench::work_shape::WorkShape;
use proptest::collection::vec;
use proptest::prelude::*;

const HOSTS: u32 = 4;
const UPSTREAMS: u32 = 5;

#[derive(Clone, Copy, Debug)]
enum PolicyStep {
    Submit {
        host: HostId,
        caller: u8,
        pinned: Option<UpstreamId>,
        idempotent: bool,
        timeout_ms: u64,
    },
    Deliver(usize),
    Drop(usize),
    Repeat(usize),
    End(usize, u8),
    Withdraw(usize),
    Pass(u64),
    Drain(HostId, UpstreamId),
    Hide(HostId, HostId),
}

fn policy_step() -> impl Strategy<Value = PolicyStep> {
    let submit = (
        0..HOSTS,
        0u8..3,
        proptest::option::weighted(0.3, 0..UPSTREAMS),
        any::<bool>(),
        10u64..2_000,
    );
    prop_oneof![
        6 => submit.prop_map(|(host, caller, pinned, idempotent, timeout_ms)| {
            PolicyStep::Submit { host, caller, pinned, idempotent, timeout_ms }
        }),
        12 => any::<usize>().prop_map(PolicyStep::Deliver),
        1 => any::<usize>().prop_map(PolicyStep::Drop),
        1 => any::<usize>().prop_map(PolicyStep::Repeat),
        5 => (any::<usize>(), 0u8..4).prop_map(|(request, end)| PolicyStep::End(request, end)),
        1 => any::<usize>().prop_map(PolicyStep::Withdraw),
        3 => (1u64..300).prop_map(PolicyStep::Pass),
        1 => (0..HOSTS, 0..UPSTREAMS).prop_map(|(host, id)| PolicyStep::Drain(host, id)),
        1 => (0..HOSTS, 0..HOSTS).prop_map(|(host, dead)| PolicyStep::Hide(host, dead)),
    ]
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    Waiting,
    Running,
    Over,
}

struct TrackedRequest {
    host: HostId,
    request: SubmittedRequest,
    state: RequestState,
}

/// Four hosts, the messages in transit between them, and the state of each request as its caller
/// sees it.
struct PolicyWorld {
    now: Instant,
    plan: ClusterPlan,
    policies: Vec<ServicePolicy>,
    configs: Vec<Arc<ConfigSnapshot>>,
    requests: BTreeMap<RequestKey, TrackedRequest>,
    messages: Vec<(HostId, HostId, LoadMessage)>,
    version: u64,
}

impl PolicyWorld {
    fn new() -> Self {
        let mut plan = ClusterPlan::standard(0.0, WorkShape::Fixed, 1);
        plan.hosts = HOSTS;
        plan.upstreams = UPSTREAMS;
        plan.zones = 2;
        let config = plan.config(1, &FleetState::default());
        let hosts = plan.host_view(&[]);
        let now = Instant::now();
        let policy = |host: HostId| {
            let mut policy = ServicePolicy::new(host, host.into(), LoadSettings::default());
            policy.learn_hosts(now, &hosts);
            policy.configure(now, &config);
            policy
        };
        Self {
            now,
            policies: (0..HOSTS).map(policy).collect(),
            configs: vec![config; HOSTS as usize],
            plan,
            requests: BTreeMap::new(),
            messages: Vec::new(),
            version: 1,
        }
    }

    fn call(
        &mut self,
        host: HostId,
        call: impl FnOnce(&mut ServicePolicy, Instant, &mut Vec<LoadDecision>),
    ) {
        let mut decisions = Vec::new();
        call(&mut self.policies[host as usize], self.now, &mut decisions);
        for decision in decisions {
            self.apply(host, decision);
        }
    }

    fn apply(&mut self, host: HostId, decision: LoadDecision) {
        match decision {
            LoadDecision::Send { key, upstream } => {
                let tracked = self.requests.get_mut(&key).unwrap();
                assert_eq!((tracked.host, tracked.state), (host, RequestState::Waiting));
                assert!(
                    tracked
                        .request
                        .pinned
                        .is_none_or(|pinned| pinned == upstream)
                );
                if tracked.request.pinned.is_none() {
                    let entry = &self.configs[host as usize].upstreams[&upstream];
                    assert_eq!(entry.state, UpstreamState::Active);
                }
                tracked.state = RequestState::Running;
            }
            LoadDecision::Refuse {
                key, retry_after, ..
            } => {
                let tracked = self.requests.get_mut(&key).unwrap();
                assert_eq!((tracked.host, tracked.state), (host, RequestState::Waiting));
                assert!(retry_after > Duration::ZERO);
                tracked.state = RequestState::Over;
            }
            LoadDecision::Tell {
                host: peer,
                message,
            } => {
                assert_ne!(peer, host);
                self.messages.push((peer, host, message));
            }
        }
    }

    fn step(&mut self, step: PolicyStep) {
        match step {
            PolicyStep::Submit {
                host,
                caller,
                pinned,
                idempotent,
                timeout_ms,
            } => self.submit(host, caller, pinned, idempotent, timeout_ms),
            PolicyStep::Deliver(index) => self.deliver(index, true),
            PolicyStep::Repeat(index) => self.deliver(index, false),
            PolicyStep::Drop(index) => {
                if !self.messages.is_empty() {
                    self.messages.remove(index % self.messages.len());
                }
            }
            PolicyStep::End(index, end) => self.end_one(index, end),
            PolicyStep::Withdraw(index) => {
                if let Some(key) = self.nth_request(index, RequestState::Waiting) {
                    self.withdraw(key);
                }
            }
            PolicyStep::Pass(millis) => self.pass(Duration::from_millis(millis)),
            PolicyStep::Drain(host, upstream) => self.drain(host, upstream),
            PolicyStep::Hide(host, dead) => {
                let view = self.plan.host_view(&[dead]);
                self.call(host, |policy, now, _out| policy.learn_hosts(now, &view));
            }
        }
    }

    fn submit(
        &mut self,
        host: HostId,
        caller: u8,
        pinned: Option<UpstreamId>,
        idempotent: bool,
        timeout_ms: u64,
    ) {
        let number = self.requests.len() as u64;
        let request = SubmittedRequest {
            key: RequestKey {
                flow: number.into(),
                request: number,
            },
            caller: IpAddr::V4(Ipv4Addr::new(10, 0, 0, caller)),
            service: SERVICE,
            pinned,
            deadline: self.now + Duration::from_millis(timeout_ms),
            idempotent,
        };
        let tracked = TrackedRequest {
            host,
            request: request.clone(),
            state: RequestState::Waiting,
        };
        self.requests.insert(request.key, tracked);
        self.call(host, |policy, now, out| policy.submit(now, request, out));
    }

    fn deliver(&mut self, index: usize, once: bool) {
        if self.messages.is_empty() {
            return;
        }
        let index = index % self.messages.len();
        let (host, sender, message) = match once {
            true => self.messages.remove(index),
            false => self.messages[index].clone(),
        };
        self.call(host, |policy, now, out| {
            policy.handle_message(now, sender, &message, out);
        });
    }

    fn nth_request(&self, index: usize, state: RequestState) -> Option<RequestKey> {
        let keys = self
            .requests
            .iter()
            .filter(|(_key, request)| request.state == state);
        let keys: Vec<RequestKey> = keys.map(|(key, _request)| *key).collect();
        let count = keys.len().max(1);
        keys.get(index % count).copied()
    }

    fn end_one(&mut self, index: usize, end: u8) {
        let Some(key) = self.nth_request(index, RequestState::Running) else {
            return;
        };
        let retry_after = Duration::from_millis(20);
        let ends = [
            AttemptOutcome::Answered,
            AttemptOutcome::NotStarted { retry_after },
            AttemptOutcome::Lost,
            AttemptOutcome::Cancelled,
        ];
        self.end(key, ends[usize::from(end)]);
    }

    fn end(&mut self, key: RequestKey, end: AttemptOutcome) {
        let tracked = self.requests.get_mut(&key).unwrap();
        let host = tracked.host;
        let may_repeat = tracked.request.idempotent && self.now < tracked.request.deadline;
        tracked.state = match end {
            AttemptOutcome::NotStarted { .. } => RequestState::Waiting,
            AttemptOutcome::Lost if may_repeat => RequestState::Waiting,
            _ => RequestState::Over,
        };
        self.call(host, |policy, now, out| policy.end(now, key, end, out));
    }

    fn withdraw(&mut self, key: RequestKey) {
        let tracked = self.requests.get_mut(&key).unwrap();
        tracked.state = RequestState::Over;
        let host = tracked.host;
        self.call(host, |policy, now, out| policy.withdraw(now, key, out));
    }

    /// Advances the time and ends overdue requests as the core does.
    fn pass(&mut self, time: Duration) {
        self.now += time;
        for host in 0..HOSTS {
            self.call(host, |policy, now, out| policy.tick(now, out));
        }
        let overdue = self.requests.iter().filter(|(_key, tracked)| {
            tracked.state != RequestState::Over && tracked.request.deadline <= self.now
        });
        let overdue: Vec<RequestKey> = overdue.map(|(key, _request)| *key).collect();
        for key in overdue {
            match self.requests[&key].state {
                RequestState::Waiting => self.withdraw(key),
                RequestState::Running => self.end(key, AttemptOutcome::Lost),
                RequestState::Over => {}
            }
        }
    }

    fn drain(&mut self, host: HostId, upstream: UpstreamId) {
        self.version += 1;
        let state = FleetState {
            draining: vec![upstream],
            ..FleetState::default()
        };
        let config = self.plan.config(self.version, &state);
        self.configs[host as usize] = Arc::clone(&config);
        self.call(host, |policy, now, _out| policy.configure(now, &config));
        self.call(host, |policy, now, out| policy.tick(now, out));
    }

    /// Runs until all requests have ended.
    fn settle(&mut self) {
        for _tick in 0..600 {
            self.pass(TICK);
            let mut delivered = 0;
            while !self.messages.is_empty() {
                self.deliver(0, true);
                delivered += 1;
                assert!(delivered < 10_000, "hosts exchange messages without end");
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]
    #[test]
    fn test_every_request_ends_once_and_nothing_leaks(steps in vec(policy_step(), 1..150)) {
        // Guards against requests that never end and slots that are never freed because a host kept
        // a stale record: after a lost, duplicated or late message, a change of allocator, or a
        // drain.
        let mut world = PolicyWorld::new();
        for step in steps {
            world.step(step);
        }
        world.settle();
        for (key, tracked) in &world.requests {
            prop_assert_eq!(tracked.state, RequestState::Over, "request {:?}", key);
        }
        for policy in &world.policies {
            prop_assert_eq!(policy.request_count(), 0);
            prop_assert_eq!(policy.queued_count(), 0);
            prop_assert_eq!(policy.grant_count(), 0);
        }
    }
}

#[test]
fn test_lost_idempotent_request_is_never_reported_not_run() {
    // An idempotent request ran, its response was lost, and the retry is refused. A caller that is
    // told the request did not run would send it again, so the refusal must report an unknown
    // outcome.
    let mut world = PolicyWorld::new();
    for host in 1..HOSTS {
        let view = world.plan.host_view(&[1, 2, 3]);
        world.call(host, |policy, now, _out| policy.learn_hosts(now, &view));
    }
    world.call(0, |policy, now, _out| {
        let mut alone = ClusterPlan::standard(0.0, WorkShape::Fixed, 1);
        alone.hosts = 1;
        policy.learn_hosts(now, &alone.host_view(&[]));
    });
    world.submit(0, 1, None, true, 2_000);
    let key = *world.requests.keys().next().unwrap();
    assert_eq!(world.requests[&key].state, RequestState::Running);
    for id in 0..UPSTREAMS {
        world.drain(0, id);
    }
    let all = FleetState {
        draining: (0..UPSTREAMS).collect(),
        ..FleetState::default()
    };
    let config = world.plan.config(99, &all);
    let policy = &mut world.policies[0];
    policy.configure(world.now, &config);
    let mut decisions = Vec::new();
    policy.end(world.now, key, AttemptOutcome::Lost, &mut decisions);
    policy.tick(world.now + Duration::from_millis(1_950), &mut decisions);
    let codes = decisions.iter().filter_map(|decision| match decision {
        LoadDecision::Refuse { code, .. } => Some(*code),
        _ => None,
    });
    assert_eq!(codes.collect::<Vec<_>>(), vec![ResultCode::OutcomeUnknown]);
}

/// Guards against refusing the requests of an established flow whose upstream drains: the policy
/// would treat them as new work until the flow breaks. Requests of other callers must no longer go
/// to that upstream.
#[test]
fn test_drained_upstream_keeps_its_flows_and_gets_nothing_new() {
    const DRAINED: UpstreamId = 2;
    let mut world = PolicyWorld::new();
    for host in 0..HOSTS {
        world.drain(host, DRAINED);
    }
    world.submit(0, 1, Some(DRAINED), false, 1_000);
    for _request in 0..UPSTREAMS * 8 {
        world.submit(1, 2, None, false, 1_000);
    }
    while !world.messages.is_empty() {
        world.deliver(0, true);
    }
    // `PolicyWorld::apply` checks at each decision that no other request is sent to the upstream.
    let states = world.requests.values().map(|tracked| tracked.state);
    assert_eq!(states.clone().next(), Some(RequestState::Running));
    let running = states
        .filter(|state| *state == RequestState::Running)
        .count();
    assert!(running > 1, "others are served elsewhere");
}

/// A changed selector no longer matches the upstream of an established flow. Nobody allocates that
/// upstream's slots any more, and the flow's requests must not fail for lack of an allocator.
#[test]
fn test_deselected_upstream_keeps_its_flows() {
    const DESELECTED: UpstreamId = 2;
    let mut world = PolicyWorld::new();
    let mut config = (*world.configs[0]).clone();
    config.version += 1;
    let service = config.services.get_mut(&SERVICE).unwrap();
    service.upstreams.retain(|id| *id != DESELECTED);
    let config = Arc::new(config);
    world.call(0, |policy, now, _out| policy.configure(now, &config));
    world.submit(0, 1, Some(DESELECTED), false, 1_000);
    let tracked = world.requests.values().next().unwrap();
    assert_eq!(tracked.state, RequestState::Running);
}

/// When an entry host leaves, the others briefly disagree on who allocates an upstream's slots. A
/// flow's request then reaches a host that does not allocate that upstream, and must not be refused
/// as if the upstream were deregistered.
#[test]
fn test_allocator_with_different_config_does_not_refuse_flows() {
    /// In another zone than host 0, so that another host allocates its slots.
    const PINNED: UpstreamId = 1;
    let mut world = PolicyWorld::new();
    for host in 0..HOSTS {
        let mut config = (*world.configs[host as usize]).clone();
        config.version += 1;
        if host > 0 {
            let service = config.services.get_mut(&SERVICE).unwrap();
            service.upstreams.retain(|id| *id != PINNED);
        }
        let config = Arc::new(config);
        world.configs[host as usize] = Arc::clone(&config);
        world.call(host, |policy, now, _out| policy.configure(now, &config));
    }
    world.submit(0, 1, Some(PINNED), false, 1_000);
    while !world.messages.is_empty() {
        world.deliver(0, true);
    }
    for tracked in world.requests.values() {
        assert_eq!(tracked.state, RequestState::Running);
    }
}
