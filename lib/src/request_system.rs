//! Handles requests at the owner of their flow: admission, retransmissions, cancellation and
//! refusal.

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
use crate::load_policy::AttemptOutcome;
use crate::load_policy::SubmittedRequest;
use crate::membership::CLOCK_DRIFT_MARGIN;
use crate::membership::STALL_THRESHOLD;
use crate::request_table::MIN_RECORD_LIFETIME;
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

/// Upper bound on the time that a caller may wait for a request. Records are kept for as long as a
/// request may last, so a longer time is shortened to this.
pub(crate) const MAX_REQUEST_TIMEOUT: Duration = Duration::from_secs(3_600);
/// How long a cancelled request waits for the upstream's reply to the cancellation.
const CANCEL_REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Retry delay that a refusal carries when the host lacks a usable configuration.
const CONFIG_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Where a caller's frame came from and how it reached this host.
#[derive(Clone, Copy)]
pub(crate) struct FrameOrigin {
    /// The caller that sent the frame.
    pub caller: SocketAddr,
    /// Number of times that hosts have forwarded the frame.
    pub hops: u8,
    /// Lower bound on the time at which a host read the frame from the caller; `None` if there is
    /// no known bound.
    pub read: Option<Instant>,
}

impl HostCore {
    pub(crate) fn handle_owned_frame(
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
                self.receive_request(now, origin, key, frame, body, actions);
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

    fn receive_request(
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
            self.merge_retransmission(now, origin, key, body);
            return self.answer_retransmission(now, key, frame, actions);
        }
        let service = match self.service_of(frame) {
            Ok(service) => service.id,
            Err(code) => return refuse(caller, frame, Some(request), code, actions),
        };
        if self.draining {
            let code = ResultCode::HostDraining;
            return refuse(caller, frame, Some(request), code, actions);
        }
        let deadline = now + body.remaining.min(MAX_REQUEST_TIMEOUT);
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
            accepted: false,
            exclusive: false,
            deadline,
            settled_deadline: deadline + self.settings.max_datagram_age,
            forget_deadline: deadline.max(now + MIN_RECORD_LIFETIME)
                + self.settings.max_datagram_age,
        };
        self.requests.insert(key, record);
        self.decide(now, key, actions);
    }

    /// Updates a record from a retransmission of its request: extends the deadlines, and tightens
    /// the lower bound on when the request was first sent.
    fn merge_retransmission(
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
        let deadline = now + body.remaining.min(MAX_REQUEST_TIMEOUT);
        record.sent_after = record.sent_after.max(sent_after);
        let settled = deadline + max_datagram_age;
        let forget = deadline.max(now + MIN_RECORD_LIFETIME) + max_datagram_age;
        record.settled_deadline = record.settled_deadline.max(settled);
        record.forget_deadline = record.forget_deadline.max(forget);
    }

    /// Replies to a retransmission from the record of its request.
    fn answer_retransmission(
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
                self.forward_to_holder(now, key, holder, frame, actions);
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

    /// Submits an accepted request to the load policy.
    pub(crate) fn submit(&mut self, now: Instant, key: RequestKey, actions: &mut Vec<HostAction>) {
        let pinned = match self.pin_request(now, key, actions) {
            FlowPin::Free => None,
            FlowPin::On(upstream) => Some(upstream),
            FlowPin::Pending => return,
        };
        let Some(record) = self.requests.get(key) else {
            return;
        };
        let job = SubmittedRequest {
            key,
            caller: record.caller.ip(),
            service: record.service,
            pinned,
            deadline: record.deadline,
            idempotent: record.idempotent,
        };
        let mut decisions = Vec::new();
        self.policy.submit(now, job, &mut decisions);
        self.execute_decisions(now, decisions, actions);
    }

    /// Withdraws a queued request from the load policy, which may then decide on others.
    pub(crate) fn withdraw_job(
        &mut self,
        now: Instant,
        key: RequestKey,
        actions: &mut Vec<HostAction>,
    ) {
        let mut decisions = Vec::new();
        self.policy.withdraw(now, key, &mut decisions);
        self.execute_decisions(now, decisions, actions);
    }

    fn acknowledge(&mut self, key: RequestKey) {
        self.requests
            .release_answer(key, RequestStage::Acknowledged);
    }

    /// Cancels a request on behalf of its caller.
    ///
    /// A queued request has not run. For a request that was sent, the cancellation may arrive after
    /// the upstream started it. Only the upstream's reply that it did not and will not start the
    /// request proves that it did not run, so the host waits up to [`CANCEL_REPLY_TIMEOUT`] for
    /// that reply.
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
                let outcome = outcome_before_send(record);
                self.refuse_request(key, cancelled(key.request, outcome), actions);
                self.withdraw_job(now, key, actions);
            }
            RequestStage::Running(attempt) => {
                let limit = record.deadline.min(now + CANCEL_REPLY_TIMEOUT);
                let deadline = *attempt.cancel_deadline.get_or_insert(limit);
                let tag = attempt.tag;
                self.requests.schedule(deadline, key);
                self.send_upstream(tag, UpstreamBody::Cancel, actions);
            }
            RequestStage::HeldBy(_)
            | RequestStage::Answered(_)
            | RequestStage::Acknowledged
            | RequestStage::Refused(_) => {}
        }
    }

    /// Sends an accepted request to an upstream.
    pub(crate) fn send_attempt(
        &mut self,
        now: Instant,
        key: RequestKey,
        upstream: UpstreamId,
        actions: &mut Vec<HostAction>,
    ) {
        let Some(frame) = self.flow_frame(key) else {
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
                outcome: outcome_before_send(record),
                retry_after: CONFIG_RETRY_DELAY,
            };
            self.refuse_request(key, refusal, actions);
            return self.end_attempt(now, key, AttemptOutcome::Cancelled, actions);
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

    /// Lower bound on the time at which a request was first sent, given its stated `age` in a frame
    /// that a host read at `read` or later; `None` if there is no known bound. The frame may have
    /// been delayed by a stall shorter than [`STALL_THRESHOLD`], which no host detects.
    fn sent_after(&self, read: Option<Instant>, age: Duration) -> Option<Instant> {
        let max_transit = self.settings.max_datagram_age + STALL_THRESHOLD;
        read?.checked_sub(age + max_transit + CLOCK_DRIFT_MARGIN)
    }

    /// Refuses a request and records the refusal, so that every retransmission gets the same one.
    pub(crate) fn refuse_request(
        &mut self,
        key: RequestKey,
        refusal: RefusalBody,
        actions: &mut Vec<HostAction>,
    ) {
        let Some(frame) = self.flow_frame(key) else {
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

    /// Returns a frame with an empty body that identifies the flow of a request.
    fn flow_frame(&self, key: RequestKey) -> Option<CallerFrame> {
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
        // The upstream's address may have been reused by another process, which must not get the
        // frame.
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

/// Refuses a request that this host has no record of. The outcome is unknown, because a copy may
/// have reached another host; only an owner with a record can state that a request did not run.
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
        retry_after: CONFIG_RETRY_DELAY,
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

/// Returns what is known of the outcome of a request that has no attempt in progress.
pub(crate) fn outcome_before_send(record: &RequestRecord) -> RunOutcome {
    match record.is_proved_not_run() {
        true => RunOutcome::NotRun,
        false => RunOutcome::Unknown,
    }
}
