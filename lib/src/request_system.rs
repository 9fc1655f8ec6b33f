//! What the owner of a flow does with its caller's requests.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::config_snapshot::ServiceEntry;
use crate::host_action::HostAction;
use crate::host_core::HostCore;
use crate::host_core::reply;
use crate::ids::FlowDigest;
use crate::ids::UpstreamId;
use crate::load_policy::JobEnd;
use crate::load_policy::LoadJob;
use crate::request_table::RequestKey;
use crate::request_table::RequestRecord;
use crate::request_table::RequestStage;
use crate::result_code::ResultCode;
use crate::wire_frame::CallerBody;
use crate::wire_frame::CallerFrame;
use crate::wire_frame::RefusalBody;
use crate::wire_frame::RequestBody;
use crate::wire_frame::RoutingTag;
use crate::wire_frame::RunOutcome;
use crate::wire_frame::UpstreamBody;
use crate::wire_frame::UpstreamFrame;

/// When to come back after a refusal that waits for a configuration.
const CONFIG_RETRY: Duration = Duration::from_millis(500);

impl HostCore {
    pub(crate) fn own_caller_frame(
        &mut self,
        now: Instant,
        caller: SocketAddr,
        digest: FlowDigest,
        frame: &CallerFrame,
        actions: &mut Vec<HostAction>,
    ) {
        match &frame.body {
            CallerBody::Open => self.open_flow(now, caller, digest, frame, actions),
            CallerBody::Request(body) => {
                self.take_request(now, caller, digest, frame, body, actions);
            }
            CallerBody::Ack { request } => self.acknowledge(digest, *request),
            CallerBody::Cancel { request } => {
                self.cancel_request(now, digest, *request, actions);
            }
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
        caller: SocketAddr,
        digest: FlowDigest,
        frame: &CallerFrame,
        body: &RequestBody,
        actions: &mut Vec<HostAction>,
    ) {
        let request = body.request;
        let key = RequestKey {
            flow: digest,
            request,
        };
        if let Some(record) = self.requests.get(key) {
            return repeat_outcome(record, frame, request, actions);
        }
        let service = match self.service_of(frame) {
            Ok(service) => service.id,
            Err(code) => return refuse(caller, frame, Some(request), code, actions),
        };
        let idle_deadline = now + self.settings.flow_idle;
        let flow = self.flows.touch(now, digest, idle_deadline);
        let pinned = flow.map(|flow| flow.binding.upstream);
        let deadline = now + body.remaining;
        self.requests.insert(
            key,
            RequestRecord {
                caller,
                address: frame.service,
                service,
                flow: frame.flow,
                idempotent: body.idempotent,
                payload: body.payload.clone(),
                attempt: 0,
                stage: RequestStage::Waiting,
                deadline,
                forget_deadline: deadline + self.settings.max_datagram_age,
            },
        );
        let job = LoadJob {
            key,
            caller: caller.ip(),
            service,
            pinned,
            deadline,
            idempotent: body.idempotent,
        };
        let mut decisions = Vec::new();
        self.policy.submit(now, job, &mut decisions);
        self.carry_out(now, decisions, actions);
    }

    fn acknowledge(&mut self, digest: FlowDigest, request: u64) {
        let key = RequestKey {
            flow: digest,
            request,
        };
        let Some(record) = self.requests.get_mut(key) else {
            return;
        };
        if matches!(record.stage, RequestStage::Answered(_)) {
            record.stage = RequestStage::Acknowledged;
        }
    }

    fn cancel_request(
        &mut self,
        now: Instant,
        digest: FlowDigest,
        request: u64,
        actions: &mut Vec<HostAction>,
    ) {
        let key = RequestKey {
            flow: digest,
            request,
        };
        let Some(record) = self.requests.get(key) else {
            return;
        };
        match record.stage {
            RequestStage::Waiting => {
                self.policy.withdraw(now, key);
                self.refuse_request(key, cancelled(request, RunOutcome::NotRun), actions);
            }
            RequestStage::Running { upstream, .. } => {
                let frame = self.frame_of(key);
                let caller = record.caller;
                let attempt = record.attempt.saturating_sub(1);
                if let Some(frame) = frame
                    && let Some(tag) = self.routing_tag(caller, &frame, request, attempt, upstream)
                {
                    self.send_upstream(tag, UpstreamBody::Cancel, actions);
                }
                let mut decisions = Vec::new();
                self.policy.end(now, key, JobEnd::Cancelled, &mut decisions);
                self.refuse_request(key, cancelled(request, RunOutcome::Unknown), actions);
                self.carry_out(now, decisions, actions);
            }
            RequestStage::Answered(_) | RequestStage::Acknowledged | RequestStage::Refused(_) => {}
        }
    }

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
        let Some(record) = self.requests.get_mut(key) else {
            return;
        };
        let attempt = record.attempt;
        record.attempt = attempt.saturating_add(1);
        record.stage = RequestStage::Running {
            upstream,
            answer: None,
        };
        let caller = record.caller;
        let body = UpstreamBody::Run {
            remaining: record.deadline.saturating_duration_since(now),
            idempotent: record.idempotent,
            payload: record.payload.clone(),
        };
        if let Some(tag) = self.routing_tag(caller, &frame, key.request, attempt, upstream) {
            self.send_upstream(tag, body, actions);
        }
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
        attempt: u8,
        upstream: UpstreamId,
    ) -> Option<RoutingTag> {
        let config = self.config.as_ref()?;
        let entry = config.upstreams.get(&upstream)?;
        Some(RoutingTag {
            caller,
            service: frame.service,
            flow: frame.flow,
            request,
            attempt,
            owner: self.settings.host,
            upstream,
            incarnation: entry.incarnation,
        })
    }

    pub(crate) fn send_upstream(
        &self,
        tag: RoutingTag,
        body: UpstreamBody,
        actions: &mut Vec<HostAction>,
    ) {
        let config = self.config.as_ref();
        let Some(entry) = config.and_then(|config| config.upstreams.get(&tag.upstream)) else {
            return;
        };
        actions.push(HostAction::ToUpstream {
            address: entry.address,
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

fn cancelled(request: u64, outcome: RunOutcome) -> RefusalBody {
    RefusalBody {
        request: Some(request),
        code: ResultCode::Cancelled,
        outcome,
        retry_after: Duration::ZERO,
    }
}

/// Answers a further copy of a request from its record.
fn repeat_outcome(
    record: &RequestRecord,
    frame: &CallerFrame,
    request: u64,
    actions: &mut Vec<HostAction>,
) {
    match &record.stage {
        RequestStage::Waiting | RequestStage::Running { .. } => {
            let body = CallerBody::Accepted { request };
            actions.push(to_caller(record.caller, reply(frame, body)));
        }
        RequestStage::Answered(answer) => {
            for part in answer.parts() {
                let body = CallerBody::Part(part);
                actions.push(to_caller(record.caller, reply(frame, body)));
            }
        }
        RequestStage::Acknowledged => {}
        RequestStage::Refused(refusal) => {
            let body = CallerBody::Refusal(refusal.clone());
            actions.push(to_caller(record.caller, reply(frame, body)));
        }
    }
}
