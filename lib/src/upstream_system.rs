//! Handling of frames from upstreams.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::answer_buffer::AnswerBuffer;
use crate::host_action::HostAction;
use crate::host_core::HostCore;
use crate::load_policy::AttemptOutcome;
use crate::request_system::cancelled;
use crate::request_system::outcome_before_send;
use crate::request_system::to_caller;
use crate::request_table::RequestKey;
use crate::request_table::RequestStage;
use crate::result_code::ResultCode;
use crate::wire_frame::AnswerPart;
use crate::wire_frame::CallerBody;
use crate::wire_frame::CallerFrame;
use crate::wire_frame::NotStartedReason;
use crate::wire_frame::PeerBody;
use crate::wire_frame::RefusalBody;
use crate::wire_frame::RoutingTag;
use crate::wire_frame::RunOutcome;
use crate::wire_frame::UpstreamBody;
use crate::wire_frame::UpstreamFrame;

impl HostCore {
    pub(crate) fn handle_upstream_frame(
        &mut self,
        now: Instant,
        _source: SocketAddr,
        frame: UpstreamFrame,
        actions: &mut Vec<HostAction>,
    ) {
        let owner = frame.tag.owner;
        if owner == self.settings.host {
            self.handle_owned_upstream_frame(now, frame, actions);
            return;
        }
        if self.membership.is_heard(now, owner) {
            self.send_peer(owner, 1, PeerBody::FromUpstream(frame), actions);
            return;
        }
        deliver_unowned(&frame, actions);
    }

    /// Matches an upstream's frame to its flow, request and attempt.
    ///
    /// A frame of a previous attempt, or of a previous process at the upstream's address, is
    /// dropped, because it would mix two responses. A response that a previous process of this host
    /// requested is delivered.
    pub(crate) fn handle_owned_upstream_frame(
        &mut self,
        now: Instant,
        frame: UpstreamFrame,
        actions: &mut Vec<HostAction>,
    ) {
        let tag = frame.tag;
        if tag.owner_incarnation != self.settings.incarnation {
            return deliver_unowned(&frame, actions);
        }
        let key = RequestKey {
            flow: self.hasher.digest(tag.service, tag.caller, tag.flow),
            request: tag.request,
        };
        let Some(record) = self.requests.get(key) else {
            return;
        };
        let RequestStage::Running(attempt) = &record.stage else {
            return;
        };
        if attempt.tag != tag {
            return;
        }
        match frame.body {
            UpstreamBody::Started => {}
            UpstreamBody::NotStarted {
                reason,
                retry_after,
            } => {
                self.handle_not_started(now, key, reason, retry_after, actions);
            }
            UpstreamBody::Part(part) => {
                let run = tag.run_id();
                self.handle_part(now, key, &AnswerPart { run, ..part }, actions);
            }
            UpstreamBody::Open
            | UpstreamBody::Close
            | UpstreamBody::Run { .. }
            | UpstreamBody::Cancel => {
                actions.push(HostAction::Count(ResultCode::FrameMalformed));
            }
        }
    }

    /// Handles a proof that the attempt did not run: the request waits again, or is refused if its
    /// caller has cancelled it.
    ///
    /// A new process at the upstream's address may send such a proof in reply to the cancellation.
    /// It says nothing about what the previous process ran and is ignored.
    fn handle_not_started(
        &mut self,
        now: Instant,
        key: RequestKey,
        reason: NotStartedReason,
        retry_after: Duration,
        actions: &mut Vec<HostAction>,
    ) {
        let Some(record) = self.requests.get_mut(key) else {
            return;
        };
        let RequestStage::Running(attempt) = &record.stage else {
            return;
        };
        let is_cancelled = attempt.cancel_deadline.is_some();
        if is_cancelled && reason == NotStartedReason::WrongUpstream {
            return;
        }
        record.stage = RequestStage::Waiting;
        let outcome = outcome_before_send(record);
        if is_cancelled {
            self.refuse_request(key, cancelled(key.request, outcome), actions);
            return self.end_attempt(now, key, AttemptOutcome::Cancelled, actions);
        }
        record.retry_reason = Some(reason.code());
        self.end_attempt(
            now,
            key,
            AttemptOutcome::NotStarted { retry_after },
            actions,
        );
    }

    fn handle_part(
        &mut self,
        now: Instant,
        key: RequestKey,
        part: &AnswerPart,
        actions: &mut Vec<HostAction>,
    ) {
        let Some(record) = self.requests.get_mut(key) else {
            return;
        };
        let RequestStage::Running(attempt) = &mut record.stage else {
            return;
        };
        let is_new = match &mut attempt.answer {
            Some(buffer) => buffer.add(part),
            None => {
                attempt.answer = Some(AnswerBuffer::new(part));
                true
            }
        };
        if !is_new {
            return;
        }
        let whole = attempt.answer.take_if(|buffer| buffer.is_whole());
        let frame = CallerFrame {
            service: record.address,
            flow: record.flow,
            body: CallerBody::Part(part.clone()),
        };
        actions.push(to_caller(record.caller, frame));
        if let Some(whole) = whole {
            self.keep_answer(now, key, whole, actions);
        }
    }

    /// Keeps a whole response until its caller acknowledges it. When all responses together take
    /// too much memory, the oldest are dropped, and callers that request those again learn that
    /// they ran.
    fn keep_answer(
        &mut self,
        now: Instant,
        key: RequestKey,
        whole: AnswerBuffer,
        actions: &mut Vec<HostAction>,
    ) {
        for lost in self.requests.keep_answer(key, whole) {
            let Some(record) = self.requests.get_mut(lost) else {
                continue;
            };
            actions.push(HostAction::Count(ResultCode::AnswerLost));
            record.stage = RequestStage::Refused(RefusalBody {
                request: Some(lost.request),
                code: ResultCode::AnswerLost,
                outcome: RunOutcome::Run,
                retry_after: Duration::ZERO,
            });
        }
        self.end_attempt(now, key, AttemptOutcome::Answered, actions);
    }

    pub(crate) fn end_attempt(
        &mut self,
        now: Instant,
        key: RequestKey,
        outcome: AttemptOutcome,
        actions: &mut Vec<HostAction>,
    ) {
        let mut decisions = Vec::new();
        self.policy.end(now, key, outcome, &mut decisions);
        self.execute_decisions(now, decisions, actions);
    }
}

/// Delivers a response without an owner to the caller that its tag names.
fn deliver_unowned(frame: &UpstreamFrame, actions: &mut Vec<HostAction>) {
    let UpstreamBody::Part(part) = &frame.body else {
        return;
    };
    let run = frame.tag.run_id();
    let RoutingTag {
        caller,
        service,
        flow,
        ..
    } = frame.tag;
    let body = CallerBody::Part(AnswerPart {
        run,
        ..part.clone()
    });
    actions.push(to_caller(
        caller,
        CallerFrame {
            service,
            flow,
            body,
        },
    ));
}
