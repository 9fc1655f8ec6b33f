//! Implements the upstream stand-in without sockets: slots, a bounded queue, load shedding,
//! cancellation, deadlines and draining.
//!
//! Requests are not deduplicated, so every duplicate that lagoonproxy forwards is run and counted.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use lagoonproxy::ids::FlowId;
use lagoonproxy::ids::Generation;
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

use crate::answer_content::PayloadSpec;
use crate::answer_content::RequestIdentity;
use crate::run_records::RunRecords;
use crate::service_time::ColdStart;
use crate::service_time::ServiceTime;

/// Maximum number of payload bytes in a part of an answer.
const PART_LEN: usize = 1_000;
/// Retry delay that is sent while the upstream drains or has no free connection, and when no
/// request is running.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Settings of an upstream stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// The published number of the upstream.
    pub id: UpstreamId,
    /// Address on which datagrams are received; port 0 lets the system choose.
    #[serde(default = "any_port")]
    pub address: SocketAddr,
    /// Address of the HTTP endpoints; port 0 lets the system choose.
    #[serde(default = "any_port")]
    pub health_address: SocketAddr,
    /// Addresses of the services that the upstream serves; frames for others are foreign.
    pub services: Vec<ServiceAddress>,
    /// The published incarnation of the upstream.
    #[serde(default)]
    pub incarnation: Generation,
    /// Maximum number of concurrent requests.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Maximum number of requests that wait for a slot; with zero they are shed immediately.
    #[serde(default)]
    pub queue: usize,
    /// Maximum number of open flows.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Distribution of the service time of requests.
    #[serde(default = "default_service_time")]
    pub service_time: ServiceTime,
    /// Slowdown after the start, if any.
    #[serde(default)]
    pub cold_start: Option<ColdStart>,
    /// Seed of the service times.
    #[serde(default)]
    pub seed: u64,
}

/// Behaviour that a test may change while the upstream runs; a call replaces all of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UpstreamBehaviour {
    /// The upstream starts no new requests.
    pub draining: bool,
    /// The upstream sheds every request.
    pub shedding: bool,
    /// The services that the upstream serves from now on, if given.
    pub services: Option<Vec<ServiceAddress>>,
    /// Factor by which service times are multiplied, if given.
    pub slowdown: Option<f64>,
    /// Age in milliseconds of the reported load.
    pub report_lag_ms: u64,
    /// Overrides the health that the health endpoint reports.
    pub claimed_health: Option<bool>,
    /// Overrides the number of busy slots that the load endpoint reports.
    pub claimed_busy: Option<u32>,
}

/// The response of the load endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Number of slots that run a request.
    pub busy_slots: u32,
    /// Number of open flows.
    pub connections: u32,
}

/// A frame to be sent to a host.
#[derive(Clone, Debug)]
pub struct UpstreamReply {
    /// The host that sent the request.
    pub host: SocketAddr,
    /// The frame.
    pub frame: UpstreamFrame,
}

/// A request that waits for a slot or runs.
#[derive(Clone, Debug)]
struct UpstreamRequest {
    host: SocketAddr,
    tag: RoutingTag,
    payload: Bytes,
    idempotent: bool,
    /// Time after which the request must not be started.
    deadline: Instant,
}

/// A request that is running.
#[derive(Clone, Debug)]
struct RunningRequest {
    request: UpstreamRequest,
    finish_time: Instant,
}

/// Identifies a flow: the service, the caller and the flow's number.
type FlowKey = (ServiceAddress, SocketAddr, FlowId);

/// An upstream that reads no clock and has no sockets.
///
/// Invariant between calls: `running` has at most `settings.slots` entries and `waiting` at most
/// `settings.queue`.
pub struct UpstreamCore {
    settings: UpstreamSettings,
    behaviour: UpstreamBehaviour,
    start: Instant,
    random: StdRng,
    connections: HashSet<FlowKey>,
    waiting: VecDeque<UpstreamRequest>,
    running: Vec<RunningRequest>,
    /// Attempts whose cancellation arrived before the request.
    cancelled: HashSet<RoutingTag>,
    records: RunRecords,
    /// Changes of the load, with their times, for as long as a lagging report needs them.
    reports: VecDeque<(Instant, UpstreamLoad)>,
}

impl UpstreamCore {
    /// Returns an idle upstream that starts at `now`.
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

    /// Handles a frame from a host and adds the frames to be sent to `replies`.
    pub fn handle_frame(
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
                let request = UpstreamRequest {
                    host,
                    tag,
                    payload,
                    idempotent,
                    deadline: now + remaining,
                };
                self.admit(now, request, replies);
            }
            UpstreamBody::Cancel => self.cancel(now, host, tag, replies),
            UpstreamBody::Started | UpstreamBody::NotStarted { .. } | UpstreamBody::Part(_) => {}
        }
        self.record_load(now);
    }

    /// Completes the requests that are due at `now` and starts waiting ones.
    pub fn advance(&mut self, now: Instant, replies: &mut Vec<UpstreamReply>) {
        let mut index = 0;
        while index < self.running.len() {
            if self.running[index].finish_time > now {
                index += 1;
                continue;
            }
            let done = self.running.swap_remove(index);
            self.answer(&done.request, replies);
        }
        self.fill_slots(now, replies);
        self.record_load(now);
    }

    /// Returns when [`Self::advance`] next has a request to complete, or `None` if none is running.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.running.iter().map(|running| running.finish_time).min()
    }

    /// Replaces the behaviour that tests may change.
    pub fn set_behaviour(&mut self, behaviour: UpstreamBehaviour) {
        if let Some(services) = &behaviour.services {
            self.settings.services.clone_from(services);
        }
        self.behaviour = behaviour;
    }

    /// Returns the records of the requests that were started.
    pub fn records(&self) -> &RunRecords {
        &self.records
    }

    /// Returns whether the health endpoint reports the upstream as healthy.
    pub fn reports_healthy(&self) -> bool {
        let healthy = !self.behaviour.draining;
        self.behaviour.claimed_health.unwrap_or(healthy)
    }

    /// Returns the load that the load endpoint reports at `now`.
    pub fn reported_load(&self, now: Instant) -> UpstreamLoad {
        let lag = Duration::from_millis(self.behaviour.report_lag_ms);
        let known = self.reports.iter().rev().find(|(at, _)| *at + lag <= now);
        let report = known.map_or(UpstreamLoad::default(), |(_, report)| *report);
        UpstreamLoad {
            busy_slots: self.behaviour.claimed_busy.unwrap_or(report.busy_slots),
            ..report
        }
    }

    fn open(&mut self, host: SocketAddr, tag: RoutingTag, replies: &mut Vec<UpstreamReply>) {
        let key = flow_key(&tag);
        let is_full = self.connections.len() >= self.settings.connections;
        if is_full && !self.connections.contains(&key) {
            self.records.totals.opens_refused += 1;
            replies.push(not_started(host, tag, NotStartedReason::Shed, RETRY_AFTER));
            return;
        }
        if self.connections.insert(key) {
            self.records.totals.opened += 1;
        }
    }

    fn admit(&mut self, now: Instant, request: UpstreamRequest, replies: &mut Vec<UpstreamReply>) {
        let rejection = if self.cancelled.remove(&request.tag) {
            Some((NotStartedReason::Cancelled, Duration::ZERO))
        } else if self.behaviour.draining {
            Some((NotStartedReason::Draining, RETRY_AFTER))
        } else if request.deadline <= now {
            Some((NotStartedReason::DeadlinePassed, Duration::ZERO))
        } else if self.behaviour.shedding || self.is_full() {
            Some((NotStartedReason::Shed, self.time_to_free_slot(now)))
        } else {
            None
        };
        let Some((reason, retry_after)) = rejection else {
            self.waiting.push_back(request);
            return self.fill_slots(now, replies);
        };
        self.count_not_started(reason);
        replies.push(not_started(request.host, request.tag, reason, retry_after));
    }

    fn is_full(&self) -> bool {
        let slots = self.settings.slots as usize;
        self.running.len() >= slots && self.waiting.len() >= self.settings.queue
    }

    fn time_to_free_slot(&self, now: Instant) -> Duration {
        let next = self.next_deadline();
        next.map_or(RETRY_AFTER, |next| next.saturating_duration_since(now))
    }

    fn fill_slots(&mut self, now: Instant, replies: &mut Vec<UpstreamReply>) {
        while self.running.len() < self.settings.slots as usize {
            let Some(request) = self.waiting.pop_front() else {
                return;
            };
            if request.deadline <= now {
                let reason = NotStartedReason::DeadlinePassed;
                self.count_not_started(reason);
                replies.push(not_started(
                    request.host,
                    request.tag,
                    reason,
                    Duration::ZERO,
                ));
                continue;
            }
            self.start_request(now, request, replies);
        }
    }

    fn start_request(
        &mut self,
        now: Instant,
        request: UpstreamRequest,
        replies: &mut Vec<UpstreamReply>,
    ) {
        let foreign = self.is_foreign(&request.tag);
        let identity = request_identity(&request.tag, request.tag.service);
        self.records.start(identity, request.idempotent, foreign);
        let sampled = self.settings.service_time.sample(&mut self.random);
        let cold = self.settings.cold_start;
        let cold_factor = cold.map_or(1.0, |cold| cold.factor_at(self.start, now));
        let slowdown = self.behaviour.slowdown.unwrap_or(1.0);
        let work = sampled.mul_f64(cold_factor * slowdown)
            + PayloadSpec::from_payload(&request.payload).work;
        replies.push(UpstreamReply {
            host: request.host,
            frame: UpstreamFrame {
                tag: request.tag,
                body: UpstreamBody::Started,
            },
        });
        self.running.push(RunningRequest {
            request,
            finish_time: now + work,
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
        if let Some(index) = self.waiting.iter().position(|request| request.tag == tag) {
            self.waiting.remove(index);
            let reason = NotStartedReason::Cancelled;
            self.count_not_started(reason);
            replies.push(not_started(host, tag, reason, Duration::ZERO));
            return;
        }
        if let Some(index) = self
            .running
            .iter()
            .position(|running| running.request.tag == tag)
        {
            self.running.swap_remove(index);
            self.records.totals.cancelled_running += 1;
            self.fill_slots(now, replies);
            return;
        }
        if self.records.run_count(&request_identity(&tag, tag.service)) == 0 {
            self.cancelled.insert(tag);
        }
    }

    fn answer(&mut self, request: &UpstreamRequest, replies: &mut Vec<UpstreamReply>) {
        self.records.totals.answered += 1;
        let requested = request.tag.service;
        let first_service = self.settings.services.first().copied().unwrap_or(requested);
        let served = self.settings.services.contains(&requested);
        let service = if served { requested } else { first_service };
        let answer = Bytes::from(request_identity(&request.tag, service).answer(&request.payload));
        let total = answer.len() as u32;
        for offset in (0..answer.len()).step_by(PART_LEN) {
            let end = answer.len().min(offset + PART_LEN);
            let part = AnswerPart {
                request: request.tag.request,
                run: request.tag.run_id(),
                offset: offset as u32,
                total,
                payload: answer.slice(offset..end),
            };
            replies.push(UpstreamReply {
                host: request.host,
                frame: UpstreamFrame {
                    tag: request.tag,
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

    fn count_not_started(&mut self, reason: NotStartedReason) {
        let totals = &mut self.records.totals;
        match reason {
            NotStartedReason::Shed | NotStartedReason::WrongUpstream => totals.shed += 1,
            NotStartedReason::Draining => totals.draining += 1,
            NotStartedReason::DeadlinePassed => totals.deadline_passed += 1,
            NotStartedReason::Cancelled => totals.cancelled_waiting += 1,
        }
    }

    /// Records a change of the load, and drops those that are older than the report lag needs.
    fn record_load(&mut self, now: Instant) {
        let report = UpstreamLoad {
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

fn request_identity(tag: &RoutingTag, service: ServiceAddress) -> RequestIdentity {
    RequestIdentity {
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
