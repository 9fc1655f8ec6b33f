//! What an upstream stand-in does with frames, without sockets: slots, a bounded queue, shedding,
//! cancellation, deadlines, drain. It never compares a request with earlier ones, so that each
//! second copy that the system lets through is run and counted.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use lagoonproxy::ids::FlowId;
use lagoonproxy::ids::Incarnation;
use lagoonproxy::ids::ServiceAddress;
use lagoonproxy::ids::UpstreamId;
use lagoonproxy::wire_frame::AnswerPart;
use lagoonproxy::wire_frame::NotStartedReason;
use lagoonproxy::wire_frame::RoutingTag;
use lagoonproxy::wire_frame::UpstreamBody;
use lagoonproxy::wire_frame::UpstreamFrame;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;

use crate::answer_content::AnswerIdentity;
use crate::answer_content::JobOrder;
use crate::run_records::RunRecords;
use crate::service_time::ColdStart;
use crate::service_time::ServiceTime;

/// Bytes of payload in each part of an answer.
const PART_LEN: usize = 1_000;
/// Time to come back that a drain or a full table of flows names.
const LONG_RETRY: Duration = Duration::from_secs(1);

/// Settings of an upstream stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Its published number.
    pub id: UpstreamId,
    /// Where it receives datagrams; port 0 lets the system choose.
    #[serde(default = "any_port")]
    pub address: SocketAddr,
    /// Where its endpoints answer.
    #[serde(default = "any_port")]
    pub health_address: SocketAddr,
    /// The addresses of the services that it serves; frames for others are foreign.
    pub services: Vec<ServiceAddress>,
    /// Its published incarnation.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// Requests that it runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Requests that may wait for a slot; with zero it sheds at once.
    #[serde(default)]
    pub queue: usize,
    /// Flows that it holds at once.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// How long it works on a request.
    #[serde(default = "default_service_time")]
    pub service_time: ServiceTime,
    /// How slow it is at first.
    #[serde(default)]
    pub cold_start: Option<ColdStart>,
    /// Seed of its service times.
    #[serde(default)]
    pub seed: u64,
}

/// What a test may change of a running upstream; a call replaces all of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UpstreamBehaviour {
    /// It starts nothing new.
    pub draining: bool,
    /// It sheds every request.
    pub shedding: bool,
    /// The services that it serves from now on, if given.
    pub services: Option<Vec<ServiceAddress>>,
    /// Times that a request takes longer than its service time, if given.
    pub slowdown: Option<f64>,
    /// Age in milliseconds of what the endpoints say.
    pub report_lag_ms: u64,
    /// What the health endpoint says whatever is true.
    pub claimed_health: Option<bool>,
    /// What the load endpoint says whatever is true.
    pub claimed_busy: Option<u32>,
}

/// What the load endpoint says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Slots that run a request.
    pub busy_slots: u32,
    /// Flows held.
    pub connections: u32,
}

/// A frame to be sent.
#[derive(Clone, Debug)]
pub struct UpstreamReply {
    /// The host that asked.
    pub host: SocketAddr,
    /// The frame.
    pub frame: UpstreamFrame,
}

/// A request that waits for a slot or runs.
#[derive(Clone, Debug)]
struct UpstreamJob {
    host: SocketAddr,
    tag: RoutingTag,
    payload: Bytes,
    idempotent: bool,
    /// When it must not be started any more.
    deadline: Instant,
}

/// A request that runs.
#[derive(Clone, Debug)]
struct RunningJob {
    job: UpstreamJob,
    done_deadline: Instant,
}

/// A flow as the upstream knows it.
type FlowKey = (ServiceAddress, SocketAddr, FlowId);

/// The upstream itself.
///
/// Invariant: `running` has at most `settings.slots` entries, `waiting` at most `settings.queue`.
pub struct UpstreamCore {
    settings: UpstreamSettings,
    behaviour: UpstreamBehaviour,
    start: Instant,
    random: StdRng,
    connections: HashSet<FlowKey>,
    waiting: VecDeque<UpstreamJob>,
    running: Vec<RunningJob>,
    /// Attempts whose cancellation overtook them.
    cancelled: HashSet<RoutingTag>,
    records: RunRecords,
    reports: VecDeque<(Instant, LoadReport)>,
}

impl UpstreamCore {
    /// An upstream that starts at `now`.
    pub fn new(settings: UpstreamSettings, now: Instant) -> Self {
        Self {
            random: StdRng::seed_from_u64(settings.seed ^ u64::from(settings.id)),
            settings,
            behaviour: UpstreamBehaviour::default(),
            start: now,
            connections: HashSet::new(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            cancelled: HashSet::new(),
            records: RunRecords::default(),
            reports: VecDeque::new(),
        }
    }

    /// Takes a frame of a host.
    pub fn take(
        &mut self,
        now: Instant,
        host: SocketAddr,
        frame: UpstreamFrame,
        replies: &mut Vec<UpstreamReply>,
    ) {
        let tag = frame.tag;
        if self.is_foreign(&tag) {
            self.records.totals.foreign_frames += 1;
        }
        match frame.body {
            UpstreamBody::Open => self.open(host, tag, replies),
            UpstreamBody::Close => {
                self.connections.remove(&flow_key(&tag));
            }
            UpstreamBody::Run {
                remaining,
                idempotent,
                payload,
            } => {
                let job = UpstreamJob {
                    host,
                    tag,
                    payload,
                    idempotent,
                    deadline: now + remaining,
                };
                self.admit(now, job, replies);
            }
            UpstreamBody::Cancel => self.cancel(now, host, tag, replies),
            UpstreamBody::Started | UpstreamBody::NotStarted { .. } | UpstreamBody::Part(_) => {}
        }
        self.note_load(now);
    }

    /// Ends what is done at `now` and starts what waits.
    pub fn advance(&mut self, now: Instant, replies: &mut Vec<UpstreamReply>) {
        let mut index = 0;
        while index < self.running.len() {
            if self.running[index].done_deadline > now {
                index += 1;
                continue;
            }
            let done = self.running.swap_remove(index);
            self.answer(&done.job, replies);
        }
        self.fill_slots(now, replies);
        self.note_load(now);
    }

    /// When [`Self::advance`] has something to do next.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.running
            .iter()
            .map(|running| running.done_deadline)
            .min()
    }

    /// Replaces what tests may change.
    pub fn set_behaviour(&mut self, behaviour: UpstreamBehaviour) {
        if let Some(services) = &behaviour.services {
            self.settings.services.clone_from(services);
        }
        self.behaviour = behaviour;
    }

    /// What it ran.
    pub fn records(&self) -> &RunRecords {
        &self.records
    }

    /// Whether the health endpoint says that it is healthy.
    pub fn claims_health(&self) -> bool {
        let healthy = !self.behaviour.draining;
        self.behaviour.claimed_health.unwrap_or(healthy)
    }

    /// What the load endpoint says at `now`.
    pub fn claimed_load(&self, now: Instant) -> LoadReport {
        let lag = Duration::from_millis(self.behaviour.report_lag_ms);
        let known = self.reports.iter().rev().find(|(at, _)| *at + lag <= now);
        let report = known.map_or(LoadReport::default(), |(_, report)| *report);
        LoadReport {
            busy_slots: self.behaviour.claimed_busy.unwrap_or(report.busy_slots),
            ..report
        }
    }

    fn open(&mut self, host: SocketAddr, tag: RoutingTag, replies: &mut Vec<UpstreamReply>) {
        let key = flow_key(&tag);
        let is_full = self.connections.len() >= self.settings.connections;
        if is_full && !self.connections.contains(&key) {
            self.records.totals.opens_refused += 1;
            replies.push(not_started(host, tag, NotStartedReason::Shed, LONG_RETRY));
            return;
        }
        if self.connections.insert(key) {
            self.records.totals.opened += 1;
        }
    }

    fn admit(&mut self, now: Instant, job: UpstreamJob, replies: &mut Vec<UpstreamReply>) {
        let refusal = if self.cancelled.remove(&job.tag) {
            Some((NotStartedReason::Cancelled, Duration::ZERO))
        } else if self.behaviour.draining {
            Some((NotStartedReason::Draining, LONG_RETRY))
        } else if job.deadline <= now {
            Some((NotStartedReason::DeadlinePassed, Duration::ZERO))
        } else if self.behaviour.shedding || self.is_full() {
            Some((NotStartedReason::Shed, self.time_to_free_slot(now)))
        } else {
            None
        };
        let Some((reason, retry_after)) = refusal else {
            self.waiting.push_back(job);
            return self.fill_slots(now, replies);
        };
        self.count_refusal(reason);
        replies.push(not_started(job.host, job.tag, reason, retry_after));
    }

    fn is_full(&self) -> bool {
        let slots = self.settings.slots as usize;
        self.running.len() >= slots && self.waiting.len() >= self.settings.queue
    }

    fn time_to_free_slot(&self, now: Instant) -> Duration {
        let next = self.next_deadline();
        next.map_or(LONG_RETRY, |next| next.saturating_duration_since(now))
    }

    fn fill_slots(&mut self, now: Instant, replies: &mut Vec<UpstreamReply>) {
        while self.running.len() < self.settings.slots as usize {
            let Some(job) = self.waiting.pop_front() else {
                return;
            };
            if job.deadline <= now {
                let reason = NotStartedReason::DeadlinePassed;
                self.count_refusal(reason);
                replies.push(not_started(job.host, job.tag, reason, Duration::ZERO));
                continue;
            }
            self.start_job(now, job, replies);
        }
    }

    fn start_job(&mut self, now: Instant, job: UpstreamJob, replies: &mut Vec<UpstreamReply>) {
        let foreign = self.is_foreign(&job.tag);
        let request = identity(&job.tag, job.tag.service);
        self.records.start(request, job.idempotent, foreign);
        let drawn = self.settings.service_time.draw(&mut self.random);
        let cold = self.settings.cold_start;
        let cold_factor = cold.map_or(1.0, |cold| cold.factor_at(self.start, now));
        let slowdown = self.behaviour.slowdown.unwrap_or(1.0);
        let work = drawn.mul_f64(cold_factor * slowdown) + JobOrder::of_payload(&job.payload).work;
        replies.push(UpstreamReply {
            host: job.host,
            frame: UpstreamFrame {
                tag: job.tag,
                body: UpstreamBody::Started,
            },
        });
        self.running.push(RunningJob {
            job,
            done_deadline: now + work,
        });
        let busy = self.running.len() as u32;
        self.records.totals.most_busy = self.records.totals.most_busy.max(busy);
    }

    fn cancel(
        &mut self,
        now: Instant,
        host: SocketAddr,
        tag: RoutingTag,
        replies: &mut Vec<UpstreamReply>,
    ) {
        if let Some(index) = self.waiting.iter().position(|job| job.tag == tag) {
            self.waiting.remove(index);
            let reason = NotStartedReason::Cancelled;
            self.count_refusal(reason);
            replies.push(not_started(host, tag, reason, Duration::ZERO));
            return;
        }
        if let Some(index) = self
            .running
            .iter()
            .position(|running| running.job.tag == tag)
        {
            self.running.swap_remove(index);
            self.records.totals.cancelled_running += 1;
            self.fill_slots(now, replies);
            return;
        }
        if self.records.runs_of(&identity(&tag, tag.service)) == 0 {
            self.cancelled.insert(tag);
        }
    }

    fn answer(&mut self, job: &UpstreamJob, replies: &mut Vec<UpstreamReply>) {
        self.records.totals.answered += 1;
        let meant = job.tag.service;
        let own = self.settings.services.first().copied().unwrap_or(meant);
        let served = self.settings.services.contains(&meant);
        let service = if served { meant } else { own };
        let answer = Bytes::from(identity(&job.tag, service).answer(&job.payload));
        let total = answer.len() as u32;
        for offset in (0..answer.len()).step_by(PART_LEN) {
            let end = answer.len().min(offset + PART_LEN);
            let part = AnswerPart {
                request: job.tag.request,
                run: job.tag.run_id(),
                offset: offset as u32,
                total,
                payload: answer.slice(offset..end),
            };
            replies.push(UpstreamReply {
                host: job.host,
                frame: UpstreamFrame {
                    tag: job.tag,
                    body: UpstreamBody::Part(part),
                },
            });
        }
    }

    fn is_foreign(&self, tag: &RoutingTag) -> bool {
        !self.settings.services.contains(&tag.service)
            || tag.upstream != self.settings.id
            || tag.incarnation != self.settings.incarnation
    }

    fn count_refusal(&mut self, reason: NotStartedReason) {
        let totals = &mut self.records.totals;
        match reason {
            NotStartedReason::Shed | NotStartedReason::WrongUpstream => totals.shed += 1,
            NotStartedReason::Draining => totals.draining += 1,
            NotStartedReason::DeadlinePassed => totals.deadline_passed += 1,
            NotStartedReason::Cancelled => totals.cancelled_waiting += 1,
        }
    }

    /// Keeps what the load endpoint says for as long as it may lag.
    fn note_load(&mut self, now: Instant) {
        let report = LoadReport {
            busy_slots: self.running.len() as u32,
            connections: self.connections.len() as u32,
        };
        if self.reports.back().map(|(_, last)| *last) != Some(report) {
            self.reports.push_back((now, report));
        }
        let lag = Duration::from_millis(self.behaviour.report_lag_ms);
        while self.reports.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            self.reports.pop_front();
        }
    }
}

fn flow_key(tag: &RoutingTag) -> FlowKey {
    (tag.service, tag.caller, tag.flow)
}

fn identity(tag: &RoutingTag, service: ServiceAddress) -> AnswerIdentity {
    AnswerIdentity {
        service,
        caller: tag.caller,
        flow: tag.flow,
        request: tag.request,
    }
}

fn not_started(
    host: SocketAddr,
    tag: RoutingTag,
    reason: NotStartedReason,
    retry_after: Duration,
) -> UpstreamReply {
    let body = UpstreamBody::NotStarted {
        reason,
        retry_after,
    };
    UpstreamReply {
        host,
        frame: UpstreamFrame { tag, body },
    }
}

fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn default_slots() -> u32 {
    2
}

fn default_connections() -> usize {
    2_000
}

fn default_service_time() -> ServiceTime {
    ServiceTime::Fixed { ms: 0.0 }
}
