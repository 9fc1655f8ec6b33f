//! Drives the load policies of several hosts in virtual time; hosts communicate only by messages.
//!
//! The driver replaces the core for each host's policy and models links and upstreams in a
//! simplified form. It does not simulate the whole cluster: there is a single service and there
//! are no flows.

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
use crate::cluster_plan::RetryBehavior;
use crate::cluster_plan::SERVICE;
use crate::virtual_upstream::SaturationBehavior;
use crate::virtual_upstream::VirtualUpstream;

/// Host numbers from here on address upstreams: this base plus the upstream's number. Only
/// policies that need the cooperation of upstreams send such messages.
pub const UPSTREAM_HOST_BASE: HostId = 1_000_000;
/// Bytes of the IPv4 and UDP headers of a datagram.
const DATAGRAM_HEADER_BYTES: u64 = 28;

/// Outcome of a request as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerResult {
    /// No outcome yet.
    Open,
    /// The response arrived before the deadline.
    Answered,
    /// The request was rejected and did not run.
    Refused(ResultCode),
    /// The deadline passed while the request waited at its host.
    MissedWaiting,
    /// The deadline passed while the request ran or was in transit.
    MissedRunning,
}

/// A request and its outcome.
#[derive(Clone, Debug)]
pub struct RequestRun {
    /// Index of the caller class in the plan.
    pub class: usize,
    /// Number of the caller within the class.
    pub caller: u32,
    /// Arrival at the host.
    pub arrived: Instant,
    /// Start of the latest run, if any.
    pub started: Option<Instant>,
    /// Time at which the caller had the result; the arrival while the request is open.
    pub ended: Instant,
    /// Service time at an upstream whose service time factor is 1.
    pub service: Duration,
    /// Result for the caller.
    pub result: CallerResult,
    /// Number of times that the request was sent to an upstream.
    pub sends: u32,
    /// Number of earlier attempts of the caller at the same request, all rejected.
    pub retries: u32,
    pub(crate) host: HostId,
    pinned: Option<UpstreamId>,
    waiting: bool,
}

/// A change to the cluster during an experiment.
#[derive(Clone, Debug)]
pub enum ClusterChange {
    /// Sets the factor by which the service times of an upstream are multiplied.
    ServiceTimeFactor(UpstreamId, f64),
    /// Sets the actual slots of an upstream, independently of the published ones.
    Slots(UpstreamId, u32),
    /// Makes an upstream unresponsive (`true`) or responsive again (`false`).
    Unresponsive(UpstreamId, bool),
    /// Publishes a new state of the upstreams; each host applies it this long after the previous
    /// host.
    Publish(FleetState, Duration),
    /// Stops a host abruptly; the others learn of it after the given time.
    Kill(HostId, Duration),
    /// Delivers an upstream's report to all hosts.
    Report(UpstreamReport),
}

#[derive(Clone, Debug)]
pub(crate) enum VirtualEvent {
    Arrival(usize),
    Retry(usize),
    Tick(HostId),
    Peer(HostId, HostId, LoadMessage),
    Upstream(UpstreamId, HostId, LoadMessage),
    Run(UpstreamId, usize, u32),
    Finish(UpstreamId, usize, Instant, u32),
    Result(HostId, usize, u32, AttemptOutcome, UpstreamReport),
    Deadline(usize),
    Change(ClusterChange),
    Config(HostId, u64, FleetState),
    Hosts(Vec<HostId>),
}

/// Results of an experiment.
pub struct ClusterRun {
    /// All requests; a retry after a rejection is an entry of its own.
    pub requests: Vec<RequestRun>,
    /// All upstreams.
    pub upstreams: Vec<VirtualUpstream>,
    /// Messages that hosts and upstreams sent to each other.
    pub messages: u64,
    /// Bytes of these messages, with headers and authentication codes.
    pub bytes: u64,
    /// Requests sent to upstreams, retries included.
    pub sends: u64,
    /// Violations of the policy contract, one description each.
    pub faults: Vec<String>,
    /// Start of the experiment.
    pub begin: Instant,
}

/// The hosts, upstreams and pending events of one experiment.
pub struct VirtualCluster {
    plan: ClusterPlan,
    policies: Vec<Option<Box<dyn LoadPolicy>>>,
    pub(crate) saturation_behavior: SaturationBehavior,
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
    /// Returns a cluster in which `policy` creates the policy of each host.
    pub fn new(
        plan: ClusterPlan,
        saturation_behavior: SaturationBehavior,
        policy: impl Fn(HostId) -> Box<dyn LoadPolicy>,
    ) -> Self {
        let begin = Instant::now();
        let upstream = |id| VirtualUpstream::new(id, plan.zone(id), plan.slots);
        let run = ClusterRun {
            requests: Vec::new(),
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
            end: begin + plan.length + 3 * plan.request_timeout,
            saturation_behavior,
            run,
            plan,
        };
        cluster.start();
        cluster
    }

    /// Schedules a change at an offset from the start of the experiment.
    pub fn change(&mut self, after: Duration, change: ClusterChange) {
        let at = self.run.begin + after;
        self.schedule(at, VirtualEvent::Change(change));
    }

    /// Runs all events up to the end of the experiment. A request that is still open on a live host
    /// is recorded as a fault.
    pub fn run(mut self) -> ClusterRun {
        while let Some(((at, _number), event)) = self.events.pop_first() {
            if at > self.end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        for (index, request) in self.run.requests.iter().enumerate() {
            if request.result == CallerResult::Open
                && self.policies[request.host as usize].is_some()
            {
                self.run
                    .faults
                    .push(format!("request {index} has no outcome"));
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
            VirtualEvent::Retry(request) => self.retry(request),
            VirtualEvent::Tick(host) => {
                self.call_policy(host, |policy, now, out| policy.tick(now, out));
                if self.policies[host as usize].is_some() {
                    self.schedule(self.now + TICK, VirtualEvent::Tick(host));
                }
            }
            VirtualEvent::Peer(host, sender, message) => {
                self.call_policy(host, |policy, now, out| {
                    policy.handle_message(now, sender, &message, out);
                });
            }
            VirtualEvent::Upstream(upstream, host, message) => {
                self.handle_load_message(upstream, host, &message);
            }
            VirtualEvent::Run(upstream, index, attempt) => self.admit_run(upstream, index, attempt),
            VirtualEvent::Finish(upstream, request, since, attempt) => {
                self.finish(upstream, request, since, attempt);
            }
            VirtualEvent::Result(host, request, attempt, end, report) => {
                self.handle_result(host, request, attempt, end, report);
            }
            VirtualEvent::Deadline(request) => self.handle_deadline(request),
            VirtualEvent::Change(change) => self.apply(change),
            VirtualEvent::Config(host, version, state) => {
                let config = self.plan.config(version, &state);
                self.call_policy(host, |policy, now, _out| policy.configure(now, &config));
            }
            VirtualEvent::Hosts(dead) => {
                let view = self.plan.host_view(&dead);
                for host in 0..self.plan.hosts {
                    self.call_policy(host, |policy, now, _out| policy.learn_hosts(now, &view));
                }
            }
        }
    }

    fn call_policy(
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
            self.execute(host, decision);
        }
    }

    fn arrive(&mut self, class_index: usize) {
        let class = self.plan.classes[class_index].clone();
        let last = class.active.1.min(self.plan.length);
        if self.now >= self.run.begin + last {
            return;
        }
        let request = self.draw_request(class_index, &class);
        self.submit(request);
        let gap: f64 = self.random.random_range(f64::EPSILON..1.0);
        let seconds = -gap.ln() / class.rate(self.plan.all_slots());
        let next = self.now + Duration::from_secs_f64(seconds);
        self.schedule(next, VirtualEvent::Arrival(class_index));
    }

    fn draw_request(&mut self, class_index: usize, class: &CallerClass) -> RequestRun {
        let random = &mut self.random;
        let service = class.shape.draw(random, class.mean);
        let is_pinned = random.random_bool(class.pinned_share);
        let pinned = is_pinned.then(|| random.random_range(0..self.plan.upstreams));
        RequestRun {
            class: class_index,
            caller: random.random_range(0..class.callers),
            arrived: self.now,
            started: None,
            ended: self.now,
            service,
            result: CallerResult::Open,
            sends: 0,
            retries: 0,
            host: random.random_range(0..self.plan.hosts),
            pinned: class.pinned.or(pinned),
            waiting: true,
        }
    }

    fn retry(&mut self, index: usize) {
        let mut request = self.run.requests[index].clone();
        request.arrived = self.now;
        request.started = None;
        request.result = CallerResult::Open;
        request.sends = 0;
        request.retries += 1;
        request.waiting = true;
        self.submit(request);
    }

    fn submit(&mut self, mut request: RequestRun) {
        while self.policies[request.host as usize].is_none() {
            request.host = (request.host + 1) % self.plan.hosts;
        }
        let index = self.run.requests.len();
        let class = request.class as u8;
        let [.., high, low] = request.caller.to_be_bytes();
        let submitted = SubmittedRequest {
            key: key_of(index),
            caller: IpAddr::V4(Ipv4Addr::new(10, class, high, low)),
            service: SERVICE,
            pinned: request.pinned,
            deadline: self.now + self.plan.request_timeout,
            idempotent: self.plan.idempotent,
        };
        let host = request.host;
        self.run.requests.push(request);
        self.schedule(submitted.deadline, VirtualEvent::Deadline(index));
        self.call_policy(host, |policy, now, out| policy.submit(now, submitted, out));
    }

    fn execute(&mut self, host: HostId, decision: LoadDecision) {
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
            } => self.send_message(host, peer, message),
        }
    }

    fn send(&mut self, host: HostId, index: usize, upstream: UpstreamId) {
        let request = &mut self.run.requests[index];
        if request.result != CallerResult::Open || !request.waiting {
            let fault = format!("request {index} was sent in state {:?}", request.result);
            self.run.faults.push(fault);
            return;
        }
        if request.pinned.is_some_and(|pinned| pinned != upstream) {
            let fault = format!("request {index} was not sent to its flow's upstream");
            self.run.faults.push(fault);
        }
        request.waiting = false;
        request.sends += 1;
        self.run.sends += 1;
        let attempt = request.sends;
        let delay = self.delay(host, upstream);
        self.schedule(
            self.now + delay,
            VirtualEvent::Run(upstream, index, attempt),
        );
    }

    fn refuse(&mut self, index: usize, code: ResultCode, retry_after: Duration) {
        let request = &mut self.run.requests[index];
        if request.result != CallerResult::Open || !request.waiting {
            let fault = format!("request {index} was rejected in state {:?}", request.result);
            self.run.faults.push(fault);
            return;
        }
        request.result = CallerResult::Refused(code);
        request.ended = self.now;
        let retries = request.retries;
        let pause = match self.plan.retry_behavior {
            RetryBehavior::RetryAfter(most) if retries < most => retry_after,
            RetryBehavior::FixedDelay(pause, most) if retries < most => pause,
            _ => return,
        };
        self.schedule(self.now + pause, VirtualEvent::Retry(index));
    }

    fn send_message(&mut self, host: HostId, peer: HostId, message: LoadMessage) {
        self.count_message(host, &message);
        if peer >= UPSTREAM_HOST_BASE {
            let upstream = peer - UPSTREAM_HOST_BASE;
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
        self.run.bytes += len as u64 + DATAGRAM_HEADER_BYTES;
    }

    pub(crate) fn delay(&mut self, host: HostId, upstream: UpstreamId) -> Duration {
        let zones = (self.plan.zone(host), self.plan.zone(upstream));
        self.plan.delay(&mut self.random, zones.0, zones.1)
    }

    fn handle_result(
        &mut self,
        host: HostId,
        index: usize,
        attempt: u32,
        end: AttemptOutcome,
        report: UpstreamReport,
    ) {
        self.call_policy(host, |policy, now, _out| policy.handle_report(now, report));
        if index == usize::MAX {
            return;
        }
        let request = &mut self.run.requests[index];
        if request.result != CallerResult::Open || request.sends != attempt || request.waiting {
            return;
        }
        match end {
            AttemptOutcome::Answered => {
                request.result = CallerResult::Answered;
                request.ended = self.now;
            }
            _ => request.waiting = true,
        }
        self.call_policy(host, |policy, now, out| {
            policy.end(now, key_of(index), end, out);
        });
    }

    fn handle_deadline(&mut self, index: usize) {
        let request = &mut self.run.requests[index];
        if request.result != CallerResult::Open {
            return;
        }
        request.ended = self.now;
        let host = request.host;
        if request.waiting {
            request.result = CallerResult::MissedWaiting;
            self.call_policy(host, |policy, now, out| {
                policy.withdraw(now, key_of(index), out);
            });
        } else {
            request.result = CallerResult::MissedRunning;
            self.call_policy(host, |policy, now, out| {
                policy.end(now, key_of(index), AttemptOutcome::Lost, out);
            });
        }
    }

    pub(crate) fn deadline_of(&self, index: usize) -> Instant {
        self.run.requests[index].arrived + self.plan.request_timeout
    }

    fn apply(&mut self, change: ClusterChange) {
        match change {
            ClusterChange::ServiceTimeFactor(id, service_time_factor) => {
                self.run.upstreams[id as usize].service_time_factor = service_time_factor;
            }
            ClusterChange::Slots(id, slots) => self.run.upstreams[id as usize].slots = slots,
            ClusterChange::Unresponsive(id, unresponsive) => {
                self.run.upstreams[id as usize].unresponsive = unresponsive;
            }
            ClusterChange::Publish(state, apart) => {
                self.version += 1;
                for host in 0..self.plan.hosts {
                    let at = self.now + apart * host;
                    let event = VirtualEvent::Config(host, self.version, state.clone());
                    self.schedule(at, event);
                }
            }
            ClusterChange::Kill(host, known_after) => {
                self.policies[host as usize] = None;
                let at = self.now + known_after;
                self.schedule(at, VirtualEvent::Hosts(vec![host]));
            }
            ClusterChange::Report(report) => {
                for host in 0..self.plan.hosts {
                    self.call_policy(host, |policy, now, _out| policy.handle_report(now, report));
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
