//! What the owner of a flow does with its caller's requests.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;

use crate::config_snapshot::ServiceEntry;
use crate::flow_system::FlowPin;
use crate::host_action::HostAction;
use crate::host_core::HostCore;
use crate::host_core::reply;
use crate::ids::FlowDigest;
use crate::ids::UpstreamId;
use crate::load_policy::JobEnd;
use crate::load_policy::LoadJob;
use crate::membership::CLAIM_MARGIN;
use crate::membership::FREEZE_GAP;
use crate::request_table::RECORD_MEMORY;
use crate::request_table::RequestKey;
use crate::request_table::RequestRecord;
use crate::request_table::RequestStage;
use crate::request_table::RunningAttempt;
use crate::request_table::TakeoverState;
use crate::result_code::ResultCode;
use crate::upstream_addresses::UpstreamReach;
use crate::wire_frame::CallerBody;
use crate::wire_frame::CallerFrame;
use crate::wire_frame::RefusalBody;
use crate::wire_frame::RequestBody;
use crate::wire_frame::RoutingTag;
use crate::wire_frame::RunOutcome;
use crate::wire_frame::UpstreamBody;
use crate::wire_frame::UpstreamFrame;

/// A deadline further away is taken for this, for records are kept as long.
pub(crate) const LONGEST_DEADLINE: Duration = Duration::from_secs(3_600);
/// How long an upstream's reply to a cancellation is waited for.
const CANCEL_WAIT: Duration = Duration::from_millis(500);
/// When to come back after a refusal that waits for a configuration.
const CONFIG_RETRY: Duration = Duration::from_millis(500);

/// How a caller's frame came here.
#[derive(Clone, Copy)]
pub(crate) struct FrameOrigin {
    /// The caller that sent it.
    pub caller: SocketAddr,
    /// How often hosts have forwarded it.
    pub hops: u8,
    /// No earlier than this a host read it from the caller; `None` for any time.
    pub read: Option<Instant>,
}

impl HostCore {
    pub(crate) fn own_caller_frame(
        &mut self,
        now: Instant,
        origin: FrameOrigin,
        digest: FlowDigest,
        frame: &CallerFrame,
        actions: &mut Vec<HostAction>,
    ) {
        let caller = origin.caller;
        let key_of = |request| RequestKey {
            flow: digest,
            request,
        };
        match &frame.body {
            CallerBody::Open => self.open_flow(now, caller, digest, frame, actions),
            CallerBody::Request(body) => {
                let key = key_of(body.request);
                self.take_request(now, origin, key, frame, body, actions);
            }
            CallerBody::Ack { request } => self.acknowledge(key_of(*request)),
            CallerBody::Cancel { request } => self.cancel_request(now, key_of(*request), actions),
            CallerBody::Close => self.close_flow(caller, digest, frame, actions),
            CallerBody::Opened
            | CallerBody::Accepted { .. }
            | CallerBody::Part(_)
            | CallerBody::Refusal(_)
            | CallerBody::Closed => {
                actions.push(HostAction::Count(ResultCode::FrameMalformed));
            }
        }
    }

    fn take_request(
        &mut self,
        now: Instant,
        origin: FrameOrigin,
        key: RequestKey,
        frame: &CallerFrame,
        body: &RequestBody,
        actions: &mut Vec<HostAction>,
    ) {
        let request = body.request;
        let caller = origin.caller;
        if self.requests.get(key).is_some() {
            self.note_copy(now, origin, key, body);
            return self.take_copy(now, key, frame, actions);
        }
        let service = match self.service_of(frame) {
            Ok(service) => service.id,
            Err(code) => return refuse(caller, frame, Some(request), code, actions),
        };
        if self.draining {
            let code = ResultCode::HostDraining;
            return refuse(caller, frame, Some(request), code, actions);
        }
        let deadline = now + body.remaining.min(LONGEST_DEADLINE);
        let takeover = TakeoverState::new(now, origin.read, frame.clone(), origin.hops);
        let record = RequestRecord {
            caller,
            address: frame.service,
            service,
            flow: frame.flow,
            idempotent: body.idempotent,
            established: body.established,
            payload: body.payload.clone(),
            retry_reason: None,
            stage: RequestStage::Deciding(takeover),
            sent_after: self.sent_after(origin.read, body.age),
            taken: false,
            exclusive: false,
            deadline,
            settled_deadline: deadline + self.settings.max_datagram_age,
            forget_deadline: deadline.max(now + RECORD_MEMORY) + self.settings.max_datagram_age,
        };
        self.requests.insert(key, record);
        self.decide(now, key, actions);
    }

    /// Learns from a further copy: a later deadline, or a closer bound on the first sending.
    fn note_copy(
        &mut self,
        now: Instant,
        origin: FrameOrigin,
        key: RequestKey,
        body: &RequestBody,
    ) {
        let sent_after = self.sent_after(origin.read, body.age);
        let max_datagram_age = self.settings.max_datagram_age;
        let Some(record) = self.requests.get_mut(key) else {
            return;
        };
        let deadline = now + body.remaining.min(LONGEST_DEADLINE);
        record.sent_after = record.sent_after.max(sent_after);
        let settled = deadline + max_datagram_age;
        let forget = deadline.max(now + RECORD_MEMORY) + max_datagram_age;
        record.settled_deadline = record.settled_deadline.max(settled);
        record.forget_deadline = record.forget_deadline.max(forget);
    }

    /// Answers a further copy of a request from its record.
    fn take_copy(
        &mut self,
        now: Instant,
        key: RequestKey,
        frame: &CallerFrame,
        actions: &mut Vec<HostAction>,
    ) {
        let Some(record) = self.requests.get(key) else {
            return;
        };
        let caller = record.caller;
        match &record.stage {
            RequestStage::Deciding(_) | RequestStage::Waiting | RequestStage::Running(_) => {
                let request = key.request;
                let body = CallerBody::Accepted { request };
                actions.push(to_caller(caller, reply(frame, body)));
            }
            RequestStage::HeldBy(holder) => {
                let holder = *holder;
                self.pass_to_holder(now, key, holder, frame, actions);
            }
            RequestStage::Answered(answer) => {
                for part in answer.parts() {
                    let body = CallerBody::Part(part);
                    actions.push(to_caller(caller, reply(frame, body)));
                }
            }
            RequestStage::Acknowledged => {}
            RequestStage::Refused(refusal) => {
                let body = CallerBody::Refusal(refusal.clone());
                actions.push(to_caller(caller, reply(frame, body)));
            }
        }
    }

    /// Hands a request that this host has taken on to the load policy.
    pub(crate) fn submit(&mut self, now: Instant, key: RequestKey, actions: &mut Vec<HostAction>) {
        let pinned = match self.pin_request(now, key, actions) {
            FlowPin::Free => None,
            FlowPin::On(upstream) => Some(upstream),
            FlowPin::Pending => return,
        };
        let Some(record) = self.requests.get(key) else {
            return;
        };
        let job = LoadJob {
            key,
            caller: record.caller.ip(),
            service: record.service,
            pinned,
            deadline: record.deadline,
            idempotent: record.idempotent,
        };
        let mut decisions = Vec::new();
        self.policy.submit(now, job, &mut decisions);
        self.carry_out(now, decisions, actions);
    }

    /// Takes a job that waits back from the policy, which may then decide on others.
    pub(crate) fn withdraw_job(
        &mut self,
        now: Instant,
        key: RequestKey,
        actions: &mut Vec<HostAction>,
    ) {
        let mut decisions = Vec::new();
        self.policy.withdraw(now, key, &mut decisions);
        self.carry_out(now, decisions, actions);
    }

    fn acknowledge(&mut self, key: RequestKey) {
        self.requests
            .release_answer(key, RequestStage::Acknowledged);
    }

    /// Gives a request up for its caller.
    ///
    /// One that waits has not run. One that was sent races its start: only the upstream's word
    /// that it did not and will not start it proves that, so the host waits a little for it.
    fn cancel_request(&mut self, now: Instant, key: RequestKey, actions: &mut Vec<HostAction>) {
        let Some(record) = self.requests.get_mut(key) else {
            return;
        };
        match &mut record.stage {
            RequestStage::Deciding(_) => {
                let refusal = cancelled(key.request, RunOutcome::Unknown);
                self.refuse_request(key, refusal, actions);
            }
            RequestStage::Waiting => {
                let outcome = waiting_outcome(record);
                self.refuse_request(key, cancelled(key.request, outcome), actions);
                self.withdraw_job(now, key, actions);
            }
            RequestStage::Running(attempt) => {
                let limit = record.deadline.min(now + CANCEL_WAIT);
                let deadline = *attempt.cancel_deadline.get_or_insert(limit);
                let tag = attempt.tag;
                self.requests.remind(deadline, key);
                self.send_upstream(tag, UpstreamBody::Cancel, actions);
            }
            RequestStage::HeldBy(_)
            | RequestStage::Answered(_)
            | RequestStage::Acknowledged
            | RequestStage::Refused(_) => {}
        }
    }

    /// Sends a request that was taken on to an upstream.
    pub(crate) fn send_attempt(
        &mut self,
        now: Instant,
        key: RequestKey,
        upstream: UpstreamId,
        actions: &mut Vec<HostAction>,
    ) {
        let Some(frame) = self.frame_of(key) else {
            return;
        };
        let Some(record) = self.requests.get(key) else {
            return;
        };
        if !matches!(record.stage, RequestStage::Waiting) {
            return;
        }
        let attempt = self.next_attempt;
        let body = UpstreamBody::Run {
            remaining: record.deadline.saturating_duration_since(now),
            idempotent: record.idempotent,
            payload: record.payload.clone(),
        };
        let caller = record.caller;
        let Some(tag) = self.routing_tag(caller, &frame, key.request, attempt, upstream) else {
            let refusal = RefusalBody {
                request: Some(key.request),
                code: ResultCode::NoUpstream,
                outcome: waiting_outcome(record),
                retry_after: CONFIG_RETRY,
            };
            self.refuse_request(key, refusal, actions);
            return self.end_attempt(now, key, JobEnd::Cancelled, actions);
        };
        self.next_attempt += 1;
        if let Some(record) = self.requests.get_mut(key) {
            let reason = record.retry_reason.take();
            actions.extend(reason.map(HostAction::CountRetry));
            record.stage = RequestStage::Running(RunningAttempt {
                tag,
                answer: None,
                cancel_deadline: None,
            });
        }
        self.send_upstream(tag, body, actions);
    }

    /// No earlier than this a request was first sent that was `age` old in a frame that a host read
    /// at `read` or later; `None` for any time. The frame may have waited for a freeze that was too
    /// short to be noticed.
    fn sent_after(&self, read: Option<Instant>, age: Duration) -> Option<Instant> {
        let under_way = self.settings.max_datagram_age + FREEZE_GAP;
        read?.checked_sub(age + under_way + CLAIM_MARGIN)
    }

    /// Records a refusal, so that later copies of the request get the same, and gives it at once.
    pub(crate) fn refuse_request(
        &mut self,
        key: RequestKey,
        refusal: RefusalBody,
        actions: &mut Vec<HostAction>,
    ) {
        let Some(frame) = self.frame_of(key) else {
            return;
        };
        let Some(record) = self.requests.get_mut(key) else {
            return;
        };
        record.payload = Bytes::new();
        record.stage = RequestStage::Refused(refusal.clone());
        actions.push(HostAction::Count(refusal.code));
        let body = CallerBody::Refusal(refusal);
        actions.push(to_caller(record.caller, reply(&frame, body)));
    }

    /// A frame without content that names the flow of a request.
    fn frame_of(&self, key: RequestKey) -> Option<CallerFrame> {
        let record = self.requests.get(key)?;
        Some(CallerFrame {
            service: record.address,
            flow: record.flow,
            body: CallerBody::Close,
        })
    }

    pub(crate) fn service_of(&self, frame: &CallerFrame) -> Result<&ServiceEntry, ResultCode> {
        let config = self.config.as_ref().ok_or(ResultCode::NoConfig)?;
        config
            .service_at(frame.service)
            .ok_or(ResultCode::ServiceUnknown)
    }

    pub(crate) fn routing_tag(
        &self,
        caller: SocketAddr,
        frame: &CallerFrame,
        request: u64,
        attempt: u64,
        upstream: UpstreamId,
    ) -> Option<RoutingTag> {
        let digest = self.hasher.digest(frame.service, caller, frame.flow);
        let incarnation = self.upstream_process(digest, frame, upstream)?;
        Some(RoutingTag {
            caller,
            service: frame.service,
            flow: frame.flow,
            request,
            attempt,
            owner: self.settings.host,
            owner_incarnation: self.settings.incarnation,
            upstream,
            incarnation,
        })
    }

    pub(crate) fn send_upstream(
        &self,
        tag: RoutingTag,
        body: UpstreamBody,
        actions: &mut Vec<HostAction>,
    ) {
        // The address may belong to another process by now, which must not get the frame.
        let reach = self.flows.process_reach(tag.upstream, tag.incarnation);
        let UpstreamReach::At(address) = reach else {
            return;
        };
        actions.push(HostAction::ToUpstream {
            address,
            frame: UpstreamFrame { tag, body },
        });
    }
}

pub(crate) fn to_caller(caller: SocketAddr, frame: CallerFrame) -> HostAction {
    HostAction::ToCaller { caller, frame }
}

/// Refuses what this host has no record of. A copy may have reached another host, so that only an
/// owner with a record can say that the request did not run.
pub(crate) fn refuse(
    caller: SocketAddr,
    frame: &CallerFrame,
    request: Option<u64>,
    code: ResultCode,
    actions: &mut Vec<HostAction>,
) {
    let body = CallerBody::Refusal(RefusalBody {
        request,
        code,
        outcome: RunOutcome::Unknown,
        retry_after: CONFIG_RETRY,
    });
    actions.push(HostAction::Count(code));
    actions.push(to_caller(caller, reply(frame, body)));
}

pub(crate) fn cancelled(request: u64, outcome: RunOutcome) -> RefusalBody {
    RefusalBody {
        request: Some(request),
        code: ResultCode::Cancelled,
        outcome,
        retry_after: Duration::ZERO,
    }
}

/// Whether a request that no attempt is under way for has run.
pub(crate) fn waiting_outcome(record: &RequestRecord) -> RunOutcome {
    match record.is_proved_not_run() {
        true => RunOutcome::NotRun,
        false => RunOutcome::Unknown,
    }
}
