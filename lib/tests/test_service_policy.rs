//! Properties of the service policy over any order of events and any loss of messages.

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
use lagoonproxy::load_policy::JobEnd;
use lagoonproxy::load_policy::LoadDecision;
use lagoonproxy::load_policy::LoadJob;
use lagoonproxy::load_policy::LoadPolicy;
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
        patience_ms: u64,
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
        6 => submit.prop_map(|(host, caller, pinned, idempotent, patience_ms)| {
            PolicyStep::Submit { host, caller, pinned, idempotent, patience_ms }
        }),
        12 => any::<usize>().prop_map(PolicyStep::Deliver),
        1 => any::<usize>().prop_map(PolicyStep::Drop),
        1 => any::<usize>().prop_map(PolicyStep::Repeat),
        5 => (any::<usize>(), 0u8..4).prop_map(|(job, end)| PolicyStep::End(job, end)),
        1 => any::<usize>().prop_map(PolicyStep::Withdraw),
        3 => (1u64..300).prop_map(PolicyStep::Pass),
        1 => (0..HOSTS, 0..UPSTREAMS).prop_map(|(host, id)| PolicyStep::Drain(host, id)),
        1 => (0..HOSTS, 0..HOSTS).prop_map(|(host, dead)| PolicyStep::Hide(host, dead)),
    ]
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobState {
    Waiting,
    Running,
    Over,
}

struct TrackedJob {
    host: HostId,
    job: LoadJob,
    state: JobState,
}

/// Four hosts, the messages under way between them, and what each job's caller would see.
struct PolicyWorld {
    now: Instant,
    plan: ClusterPlan,
    policies: Vec<ServicePolicy>,
    configs: Vec<Arc<ConfigSnapshot>>,
    jobs: BTreeMap<RequestKey, TrackedJob>,
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
            jobs: BTreeMap::new(),
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
            self.take(host, decision);
        }
    }

    fn take(&mut self, host: HostId, decision: LoadDecision) {
        match decision {
            LoadDecision::Send { key, upstream } => {
                let tracked = self.jobs.get_mut(&key).unwrap();
                assert_eq!((tracked.host, tracked.state), (host, JobState::Waiting));
                assert!(tracked.job.pinned.is_none_or(|pinned| pinned == upstream));
                if tracked.job.pinned.is_none() {
                    let entry = &self.configs[host as usize].upstreams[&upstream];
                    assert_eq!(entry.state, UpstreamState::Active);
                }
                tracked.state = JobState::Running;
            }
            LoadDecision::Refuse {
                key, retry_after, ..
            } => {
                let tracked = self.jobs.get_mut(&key).unwrap();
                assert_eq!((tracked.host, tracked.state), (host, JobState::Waiting));
                assert!(retry_after > Duration::ZERO);
                tracked.state = JobState::Over;
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
                patience_ms,
            } => self.submit(host, caller, pinned, idempotent, patience_ms),
            PolicyStep::Deliver(index) => self.deliver(index, true),
            PolicyStep::Repeat(index) => self.deliver(index, false),
            PolicyStep::Drop(index) => {
                if !self.messages.is_empty() {
                    self.messages.remove(index % self.messages.len());
                }
            }
            PolicyStep::End(index, end) => self.end_some(index, end),
            PolicyStep::Withdraw(index) => {
                if let Some(key) = self.some_job(index, JobState::Waiting) {
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
        patience_ms: u64,
    ) {
        let number = self.jobs.len() as u64;
        let job = LoadJob {
            key: RequestKey {
                flow: number.into(),
                request: number,
            },
            caller: IpAddr::V4(Ipv4Addr::new(10, 0, 0, caller)),
            service: SERVICE,
            pinned,
            deadline: self.now + Duration::from_millis(patience_ms),
            idempotent,
        };
        let tracked = TrackedJob {
            host,
            job: job.clone(),
            state: JobState::Waiting,
        };
        self.jobs.insert(job.key, tracked);
        self.call(host, |policy, now, out| policy.submit(now, job, out));
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
            policy.take_message(now, sender, &message, out);
        });
    }

    fn some_job(&self, index: usize, state: JobState) -> Option<RequestKey> {
        let keys = self.jobs.iter().filter(|(_key, job)| job.state == state);
        let keys: Vec<RequestKey> = keys.map(|(key, _job)| *key).collect();
        let count = keys.len().max(1);
        keys.get(index % count).copied()
    }

    fn end_some(&mut self, index: usize, end: u8) {
        let Some(key) = self.some_job(index, JobState::Running) else {
            return;
        };
        let retry_after = Duration::from_millis(20);
        let ends = [
            JobEnd::Answered,
            JobEnd::NotStarted { retry_after },
            JobEnd::Lost,
            JobEnd::Cancelled,
        ];
        self.end(key, ends[usize::from(end)]);
    }

    fn end(&mut self, key: RequestKey, end: JobEnd) {
        let tracked = self.jobs.get_mut(&key).unwrap();
        let host = tracked.host;
        let may_repeat = tracked.job.idempotent && self.now < tracked.job.deadline;
        tracked.state = match end {
            JobEnd::NotStarted { .. } => JobState::Waiting,
            JobEnd::Lost if may_repeat => JobState::Waiting,
            _ => JobState::Over,
        };
        self.call(host, |policy, now, out| policy.end(now, key, end, out));
    }

    fn withdraw(&mut self, key: RequestKey) {
        let tracked = self.jobs.get_mut(&key).unwrap();
        tracked.state = JobState::Over;
        let host = tracked.host;
        self.call(host, |policy, now, out| policy.withdraw(now, key, out));
    }

    /// Lets time pass, and ends what is overdue as the core does.
    fn pass(&mut self, time: Duration) {
        self.now += time;
        for host in 0..HOSTS {
            self.call(host, |policy, now, out| policy.tick(now, out));
        }
        let overdue = self.jobs.iter().filter(|(_key, tracked)| {
            tracked.state != JobState::Over && tracked.job.deadline <= self.now
        });
        let overdue: Vec<RequestKey> = overdue.map(|(key, _job)| *key).collect();
        for key in overdue {
            match self.jobs[&key].state {
                JobState::Waiting => self.withdraw(key),
                JobState::Running => self.end(key, JobEnd::Lost),
                JobState::Over => {}
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

    /// Lets everything come to an end.
    fn settle(&mut self) {
        for _tick in 0..600 {
            self.pass(TICK);
            let mut delivered = 0;
            while !self.messages.is_empty() {
                self.deliver(0, true);
                delivered += 1;
                assert!(delivered < 10_000, "hosts talk without end");
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]
    #[test]
    fn test_every_job_ends_once_and_nothing_leaks(steps in vec(policy_step(), 1..150)) {
        // A caller waits for ever, or a slot is never used again: a message was lost, came twice or
        // late, a keeper changed, an upstream drained, and someone kept a record of it.
        let mut world = PolicyWorld::new();
        for step in steps {
            world.step(step);
        }
        world.settle();
        for (key, tracked) in &world.jobs {
            prop_assert_eq!(tracked.state, JobState::Over, "job {:?}", key);
        }
        for policy in &world.policies {
            prop_assert_eq!(policy.job_count(), 0);
            prop_assert_eq!(policy.queued_count(), 0);
            prop_assert_eq!(policy.grant_count(), 0);
        }
    }
}

#[test]
fn test_lost_idempotent_job_is_never_called_not_run() {
    // A renewal ran, its answer was lost, and the repetition is refused. A caller told that it was
    // not run would renew again; so the refusal must say that nobody can tell.
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
    let key = *world.jobs.keys().next().unwrap();
    assert_eq!(world.jobs[&key].state, JobState::Running);
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
    policy.end(world.now, key, JobEnd::Lost, &mut decisions);
    policy.tick(world.now + Duration::from_millis(1_950), &mut decisions);
    let codes = decisions.iter().filter_map(|decision| match decision {
        LoadDecision::Refuse { code, .. } => Some(*code),
        _ => None,
    });
    assert_eq!(codes.collect::<Vec<_>>(), vec![ResultCode::OutcomeUnknown]);
}

/// Operators drain an upstream that an inspector's session is established on. The session's next
/// request is refused, over and over, until the session breaks: the policy takes it for new work.
/// Other callers' requests never go there any more.
#[test]
fn test_drained_upstream_keeps_its_flows_and_gets_nothing_new() {
    const DRAINED: UpstreamId = 2;
    let mut world = PolicyWorld::new();
    for host in 0..HOSTS {
        world.drain(host, DRAINED);
    }
    world.submit(0, 1, Some(DRAINED), false, 1_000);
    for _job in 0..UPSTREAMS * 8 {
        world.submit(1, 2, None, false, 1_000);
    }
    while !world.messages.is_empty() {
        world.deliver(0, true);
    }
    // That no other job was sent to it is checked at each decision of the world.
    let states = world.jobs.values().map(|tracked| tracked.state);
    assert_eq!(states.clone().next(), Some(JobState::Running));
    let running = states.filter(|state| *state == JobState::Running).count();
    assert!(running > 1, "others are served elsewhere");
}

/// Operators change a selector so that it no longer matches the upstream of an established session.
/// Nobody gives away that upstream's slots any more, and the session's requests find no keeper.
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
    let tracked = world.jobs.values().next().unwrap();
    assert_eq!(tracked.state, JobState::Running);
}

/// An entry host leaves, and for a moment the others disagree on who gives away an upstream's slots.
/// A session's request asks a host that does not keep that upstream, and is refused as if the
/// upstream were gone.
#[test]
fn test_keeper_with_another_view_does_not_refuse_flows() {
    /// In the other zone than host 0, so that another host keeps it.
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
    for tracked in world.jobs.values() {
        assert_eq!(tracked.state, JobState::Running);
    }
}
