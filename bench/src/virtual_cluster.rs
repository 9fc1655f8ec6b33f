//! Hosts that share nothing but messages, driven in virtual time.
//!
//! Plays the part of the core towards each host's policy, and small fakes of the links and the
//! upstreams. It is no simulator of the cluster: there is one service, and no flows.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::host_core::TICK;
use lagoonproxy::host_event::UpstreamReport;
use lagoonproxy::ids::HostId;
use lagoonproxy::ids::UpstreamId;
use lagoonproxy::load_message::LoadMessage;
use lagoonproxy::load_policy::AttemptOutcome;
use lagoonproxy::load_policy::LoadDecision;
use lagoonproxy::load_policy::LoadPolicy;
use lagoonproxy::load_policy::SubmittedRequest;
use lagoonproxy::request_table::RequestKey;
use lagoonproxy::result_code::ResultCode;
use lagoonproxy::wire_frame::PeerBody;
use lagoonproxy::wire_frame::PeerFrame;
use lagoonproxy::wire_frame::PeerKey;
use lagoonproxy::wire_frame::encode_peer;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::cluster_plan::CallerClass;
use crate::cluster_plan::ClusterPlan;
use crate::cluster_plan::FleetState;
use crate::cluster_plan::RefusedHabit;
use crate::cluster_plan::SERVICE;
use crate::virtual_upstream::FullHabit;
use crate::virtual_upstream::VirtualUpstream;

/// A message to this host number plus an upstream's is for the upstream itself; only the policies
/// that need help from upstreams send such.
pub const UPSTREAM_HOST: HostId = 1_000_000;
/// Bytes of the IPv4 and UDP headers of a datagram.
const DATAGRAM_HEADERS: u64 = 28;

/// How a job ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerResult {
    /// Not ended yet.
    Open,
    /// The answer came in time.
    Answered,
    /// It was refused, and not run.
    Refused(ResultCode),
    /// The deadline passed while it waited.
    MissedWaiting,
    /// The deadline passed while it ran or was under way.
    MissedRunning,
}

/// A job and what became of it.
#[derive(Clone, Debug)]
pub struct JobOutcome {
    /// Index of its class.
    pub class: usize,
    /// The caller within the class.
    pub caller: u32,
    /// When it arrived at its host.
    pub arrived: Instant,
    /// When it started to run.
    pub started: Option<Instant>,
    /// When its caller had the result.
    pub ended: Instant,
    /// Its service time at an upstream of normal pace.
    pub service: Duration,
    /// Its result.
    pub result: CallerResult,
    /// How often it was sent to an upstream.
    pub sends: u32,
    /// How often its caller had come before with the same wish.
    pub tries: u32,
    pub(crate) host: HostId,
    pinned: Option<UpstreamId>,
    waiting: bool,
}

/// A change of the world in the course of an experiment.
#[derive(Clone, Debug)]
pub enum WorldChange {
    /// An upstream's service times are multiplied.
    Pace(UpstreamId, f64),
    /// An upstream really has so many slots.
    Slots(UpstreamId, u32),
    /// An upstream goes silent, or speaks again.
    Mute(UpstreamId, bool),
    /// The fleet is published anew; hosts learn of it one after another, so much apart.
    Publish(FleetState, Duration),
    /// A host dies; the others learn of it after a time.
    Kill(HostId, Duration),
    /// What an upstream's endpoints say, to all hosts.
    Report(UpstreamReport),
}

#[derive(Clone, Debug)]
pub(crate) enum VirtualEvent {
    Arrival(usize),
    ComeBack(usize),
    Tick(HostId),
    Peer(HostId, HostId, LoadMessage),
    Upstream(UpstreamId, HostId, LoadMessage),
    Run(UpstreamId, usize, u32),
    Finish(UpstreamId, usize, Instant, u32),
    Result(HostId, usize, u32, AttemptOutcome, UpstreamReport),
    Deadline(usize),
    Change(WorldChange),
    Config(HostId, u64, FleetState),
    Hosts(Vec<HostId>),
}

/// What an experiment gave.
pub struct ClusterRun {
    /// Every job.
    pub jobs: Vec<JobOutcome>,
    /// Every upstream.
    pub upstreams: Vec<VirtualUpstream>,
    /// Messages between hosts.
    pub messages: u64,
    /// Their bytes, with headers and codes.
    pub bytes: u64,
    /// Jobs sent to upstreams.
    pub sends: u64,
    /// Decisions that break the contract of a policy.
    pub faults: Vec<String>,
    /// When it began.
    pub begin: Instant,
}

/// The world of one experiment.
pub struct VirtualCluster {
    plan: ClusterPlan,
    policies: Vec<Option<Box<dyn LoadPolicy>>>,
    pub(crate) full_habit: FullHabit,
    random: StdRng,
    events: BTreeMap<(Instant, u64), VirtualEvent>,
    next_event: u64,
    peer_key: PeerKey,
    version: u64,
    pub(crate) now: Instant,
    end: Instant,
    pub(crate) run: ClusterRun,
}

impl VirtualCluster {
    /// A cluster in which `policy` makes the policy of each host.
    pub fn new(
        plan: ClusterPlan,
        full_habit: FullHabit,
        policy: impl Fn(HostId) -> Box<dyn LoadPolicy>,
    ) -> Self {
        let begin = Instant::now();
        let upstream = |id| VirtualUpstream::new(id, plan.zone(id), plan.slots);
        let run = ClusterRun {
            jobs: Vec::new(),
            upstreams: (0..plan.upstreams).map(upstream).collect(),
            messages: 0,
            bytes: 0,
            sends: 0,
            faults: Vec::new(),
            begin,
        };
        let mut cluster = Self {
            policies: (0..plan.hosts).map(|host| Some(policy(host))).collect(),
            random: StdRng::seed_from_u64(plan.seed),
            events: BTreeMap::new(),
            next_event: 0,
            peer_key: PeerKey::new([7; 16]),
            version: 1,
            now: begin,
            end: begin + plan.length + 3 * plan.patience,
            full_habit,
            run,
            plan,
        };
        cluster.start();
        cluster
    }

    /// Plans a change at a time from the start.
    pub fn change(&mut self, after: Duration, change: WorldChange) {
        let at = self.run.begin + after;
        self.schedule(at, VirtualEvent::Change(change));
    }

    /// Runs to the end. Every policy must then have ended every job.
    pub fn run(mut self) -> ClusterRun {
        while let Some(((at, _number), event)) = self.events.pop_first() {
            if at > self.end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        for (index, job) in self.run.jobs.iter().enumerate() {
            if job.result == CallerResult::Open && self.policies[job.host as usize].is_some() {
                self.run.faults.push(format!("job {index} has no end"));
            }
        }
        self.run
    }

    fn start(&mut self) {
        let config = self.plan.config(1, &FleetState::default());
        let hosts = self.plan.host_view(&[]);
        for host in 0..self.plan.hosts {
            if let Some(policy) = &mut self.policies[host as usize] {
                policy.learn_hosts(self.now, &hosts);
                policy.configure(self.now, &config);
            }
            let offset = TICK * host / self.plan.hosts;
            self.schedule(self.now + offset, VirtualEvent::Tick(host));
        }
        for class in 0..self.plan.classes.len() {
            let first = self.now + self.plan.classes[class].active.0;
            self.schedule(first, VirtualEvent::Arrival(class));
        }
    }

    pub(crate) fn schedule(&mut self, at: Instant, event: VirtualEvent) {
        self.events.insert((at, self.next_event), event);
        self.next_event += 1;
    }

    fn handle(&mut self, event: VirtualEvent) {
        match event {
            VirtualEvent::Arrival(class) => self.arrive(class),
            VirtualEvent::ComeBack(job) => self.come_back(job),
            VirtualEvent::Tick(host) => {
                self.decide(host, |policy, now, out| policy.tick(now, out));
                if self.policies[host as usize].is_some() {
                    self.schedule(self.now + TICK, VirtualEvent::Tick(host));
                }
            }
            VirtualEvent::Peer(host, sender, message) => {
                self.decide(host, |policy, now, out| {
                    policy.handle_message(now, sender, &message, out);
                });
            }
            VirtualEvent::Upstream(upstream, host, message) => {
                self.reserve(upstream, host, &message);
            }
            VirtualEvent::Run(upstream, job, attempt) => self.take_run(upstream, job, attempt),
            VirtualEvent::Finish(upstream, job, since, attempt) => {
                self.finish(upstream, job, since, attempt);
            }
            VirtualEvent::Result(host, job, attempt, end, report) => {
                self.take_result(host, job, attempt, end, report);
            }
            VirtualEvent::Deadline(job) => self.pass_deadline(job),
            VirtualEvent::Change(change) => self.apply(change),
            VirtualEvent::Config(host, version, state) => {
                let config = self.plan.config(version, &state);
                self.decide(host, |policy, now, _out| policy.configure(now, &config));
            }
            VirtualEvent::Hosts(dead) => {
                let view = self.plan.host_view(&dead);
                for host in 0..self.plan.hosts {
                    self.decide(host, |policy, now, _out| policy.learn_hosts(now, &view));
                }
            }
        }
    }

    fn decide(
        &mut self,
        host: HostId,
        call: impl FnOnce(&mut dyn LoadPolicy, Instant, &mut Vec<LoadDecision>),
    ) {
        let Some(policy) = &mut self.policies[host as usize] else {
            return;
        };
        let mut decisions = Vec::new();
        call(policy.as_mut(), self.now, &mut decisions);
        for decision in decisions {
            self.carry_out(host, decision);
        }
    }

    fn arrive(&mut self, class_index: usize) {
        let class = self.plan.classes[class_index].clone();
        let last = class.active.1.min(self.plan.length);
        if self.now >= self.run.begin + last {
            return;
        }
        let job = self.draw_job(class_index, &class);
        self.submit(job);
        let gap: f64 = self.random.random_range(f64::EPSILON..1.0);
        let seconds = -gap.ln() / class.rate(self.plan.all_slots());
        let next = self.now + Duration::from_secs_f64(seconds);
        self.schedule(next, VirtualEvent::Arrival(class_index));
    }

    fn draw_job(&mut self, class_index: usize, class: &CallerClass) -> JobOutcome {
        let random = &mut self.random;
        let service = class.shape.draw(random, class.mean);
        let is_pinned = random.random_bool(class.pinned_share);
        let pinned = is_pinned.then(|| random.random_range(0..self.plan.upstreams));
        JobOutcome {
            class: class_index,
            caller: random.random_range(0..class.callers),
            arrived: self.now,
            started: None,
            ended: self.now,
            service,
            result: CallerResult::Open,
            sends: 0,
            tries: 0,
            host: random.random_range(0..self.plan.hosts),
            pinned: class.pinned.or(pinned),
            waiting: true,
        }
    }

    fn come_back(&mut self, index: usize) {
        let mut job = self.run.jobs[index].clone();
        job.arrived = self.now;
        job.started = None;
        job.result = CallerResult::Open;
        job.sends = 0;
        job.tries += 1;
        job.waiting = true;
        self.submit(job);
    }

    fn submit(&mut self, mut job: JobOutcome) {
        while self.policies[job.host as usize].is_none() {
            job.host = (job.host + 1) % self.plan.hosts;
        }
        let index = self.run.jobs.len();
        let class = job.class as u8;
        let [.., high, low] = job.caller.to_be_bytes();
        let load_job = SubmittedRequest {
            key: key_of(index),
            caller: IpAddr::V4(Ipv4Addr::new(10, class, high, low)),
            service: SERVICE,
            pinned: job.pinned,
            deadline: self.now + self.plan.patience,
            idempotent: self.plan.idempotent,
        };
        let host = job.host;
        self.run.jobs.push(job);
        self.schedule(load_job.deadline, VirtualEvent::Deadline(index));
        self.decide(host, |policy, now, out| policy.submit(now, load_job, out));
    }

    fn carry_out(&mut self, host: HostId, decision: LoadDecision) {
        match decision {
            LoadDecision::Send { key, upstream } => self.send(host, index_of(key), upstream),
            LoadDecision::Refuse {
                key,
                code,
                retry_after,
            } => self.refuse(index_of(key), code, retry_after),
            LoadDecision::Tell {
                host: peer,
                message,
            } => self.tell(host, peer, message),
        }
    }

    fn send(&mut self, host: HostId, index: usize, upstream: UpstreamId) {
        let job = &mut self.run.jobs[index];
        if job.result != CallerResult::Open || !job.waiting {
            let fault = format!("job {index} was sent while {:?}", job.result);
            self.run.faults.push(fault);
            return;
        }
        if job.pinned.is_some_and(|pinned| pinned != upstream) {
            let fault = format!("job {index} was sent past its flow's upstream");
            self.run.faults.push(fault);
        }
        job.waiting = false;
        job.sends += 1;
        self.run.sends += 1;
        let attempt = job.sends;
        let delay = self.delay(host, upstream);
        self.schedule(
            self.now + delay,
            VirtualEvent::Run(upstream, index, attempt),
        );
    }

    fn refuse(&mut self, index: usize, code: ResultCode, retry_after: Duration) {
        let job = &mut self.run.jobs[index];
        if job.result != CallerResult::Open || !job.waiting {
            let fault = format!("job {index} was refused while {:?}", job.result);
            self.run.faults.push(fault);
            return;
        }
        job.result = CallerResult::Refused(code);
        job.ended = self.now;
        let tries = job.tries;
        let pause = match self.plan.habit {
            RefusedHabit::ComeBack(most) if tries < most => retry_after,
            RefusedHabit::Insist(pause, most) if tries < most => pause,
            _ => return,
        };
        self.schedule(self.now + pause, VirtualEvent::ComeBack(index));
    }

    fn tell(&mut self, host: HostId, peer: HostId, message: LoadMessage) {
        self.count_message(host, &message);
        if peer >= UPSTREAM_HOST {
            let upstream = peer - UPSTREAM_HOST;
            let delay = self.delay(host, upstream);
            let event = VirtualEvent::Upstream(upstream, host, message);
            self.schedule(self.now + delay, event);
            return;
        }
        if self.plan.loss > 0.0 && self.random.random_bool(self.plan.loss) {
            return;
        }
        let zones = (self.plan.zone(host), self.plan.zone(peer));
        let delay = self.plan.delay(&mut self.random, zones.0, zones.1);
        self.schedule(self.now + delay, VirtualEvent::Peer(peer, host, message));
    }

    pub(crate) fn count_message(&mut self, sender: HostId, message: &LoadMessage) {
        let body = PeerBody::Load(message.clone());
        let frame = PeerFrame {
            sender,
            hops: 1,
            body,
        };
        let len = encode_peer(&frame, &self.peer_key).map_or(0, |bytes| bytes.len());
        self.run.messages += 1;
        self.run.bytes += len as u64 + DATAGRAM_HEADERS;
    }

    pub(crate) fn delay(&mut self, host: HostId, upstream: UpstreamId) -> Duration {
        let zones = (self.plan.zone(host), self.plan.zone(upstream));
        self.plan.delay(&mut self.random, zones.0, zones.1)
    }

    fn take_result(
        &mut self,
        host: HostId,
        index: usize,
        attempt: u32,
        end: AttemptOutcome,
        report: UpstreamReport,
    ) {
        self.decide(host, |policy, now, _out| policy.handle_report(now, report));
        if index == usize::MAX {
            return;
        }
        let job = &mut self.run.jobs[index];
        if job.result != CallerResult::Open || job.sends != attempt || job.waiting {
            return;
        }
        match end {
            AttemptOutcome::Answered => {
                job.result = CallerResult::Answered;
                job.ended = self.now;
            }
            _ => job.waiting = true,
        }
        self.decide(host, |policy, now, out| {
            policy.end(now, key_of(index), end, out);
        });
    }

    fn pass_deadline(&mut self, index: usize) {
        let job = &mut self.run.jobs[index];
        if job.result != CallerResult::Open {
            return;
        }
        job.ended = self.now;
        let host = job.host;
        if job.waiting {
            job.result = CallerResult::MissedWaiting;
            self.decide(host, |policy, now, out| {
                policy.withdraw(now, key_of(index), out);
            });
        } else {
            job.result = CallerResult::MissedRunning;
            self.decide(host, |policy, now, out| {
                policy.end(now, key_of(index), AttemptOutcome::Lost, out);
            });
        }
    }

    pub(crate) fn deadline_of(&self, index: usize) -> Instant {
        self.run.jobs[index].arrived + self.plan.patience
    }

    fn apply(&mut self, change: WorldChange) {
        match change {
            WorldChange::Pace(id, pace) => self.run.upstreams[id as usize].pace = pace,
            WorldChange::Slots(id, slots) => self.run.upstreams[id as usize].slots = slots,
            WorldChange::Mute(id, mute) => self.run.upstreams[id as usize].mute = mute,
            WorldChange::Publish(state, apart) => {
                self.version += 1;
                for host in 0..self.plan.hosts {
                    let at = self.now + apart * host;
                    let event = VirtualEvent::Config(host, self.version, state.clone());
                    self.schedule(at, event);
                }
            }
            WorldChange::Kill(host, known_after) => {
                self.policies[host as usize] = None;
                let at = self.now + known_after;
                self.schedule(at, VirtualEvent::Hosts(vec![host]));
            }
            WorldChange::Report(report) => {
                for host in 0..self.plan.hosts {
                    self.decide(host, |policy, now, _out| policy.handle_report(now, report));
                }
            }
        }
    }
}

fn key_of(index: usize) -> RequestKey {
    RequestKey {
        flow: index as u128,
        request: index as u64,
    }
}

fn index_of(key: RequestKey) -> usize {
    key.request as usize
}
