//! What a host does with the frames of upstreams.

use std::net::SocketAddr;
use std::time::Instant;

use crate::answer_buffer::AnswerBuffer;
use crate::host_action::HostAction;
use crate::host_core::HostCore;
use crate::load_policy::JobEnd;
use crate::request_system::to_caller;
use crate::request_table::RequestKey;
use crate::request_table::RequestStage;
use crate::result_code::ResultCode;
use crate::wire_frame::AnswerPart;
use crate::wire_frame::CallerBody;
use crate::wire_frame::CallerFrame;
use crate::wire_frame::PeerBody;
use crate::wire_frame::RoutingTag;
use crate::wire_frame::UpstreamBody;
use crate::wire_frame::UpstreamFrame;

impl HostCore {
    pub(crate) fn take_upstream(
        &mut self,
        now: Instant,
        _source: SocketAddr,
        frame: UpstreamFrame,
        actions: &mut Vec<HostAction>,
    ) {
        let owner = frame.tag.owner;
        if owner == self.settings.host {
            self.match_answer(now, frame, actions);
            return;
        }
        if self.hosts.alive.contains(&owner) {
            self.send_peer(owner, 1, PeerBody::FromUpstream(frame), actions);
            return;
        }
        deliver_unowned(&frame, actions);
    }

    /// Matches an upstream's frame to the flow, request and attempt it belongs to; a frame of a
    /// former attempt would mix two answers and is dropped.
    pub(crate) fn match_answer(
        &mut self,
        now: Instant,
        frame: UpstreamFrame,
        actions: &mut Vec<HostAction>,
    ) {
        let tag = frame.tag;
        let key = RequestKey {
            flow: self.hasher.digest(tag.service, tag.caller, tag.flow),
            request: tag.request,
        };
        let Some(record) = self.requests.get(key) else {
            return;
        };
        if record.attempt != tag.attempt.saturating_add(1) {
            return;
        }
        let RequestStage::Running { upstream, .. } = record.stage else {
            return;
        };
        if upstream != tag.upstream {
            return;
        }
        match frame.body {
            UpstreamBody::Started => {}
            UpstreamBody::NotStarted { retry_after, .. } => {
                let end = JobEnd::NotStarted { retry_after };
                self.end_attempt(now, key, end, actions);
            }
            UpstreamBody::Part(part) => self.take_part(now, key, &part, actions),
            UpstreamBody::Open
            | UpstreamBody::Close
            | UpstreamBody::Run { .. }
            | UpstreamBody::Cancel => {
                actions.push(HostAction::Count(ResultCode::FrameMalformed));
            }
        }
    }

    fn take_part(
        &mut self,
        now: Instant,
        key: RequestKey,
        part: &AnswerPart,
        actions: &mut Vec<HostAction>,
    ) {
        let Some(record) = self.requests.get_mut(key) else {
            return;
        };
        let RequestStage::Running { answer, .. } = &mut record.stage else {
            return;
        };
        let is_new = match answer {
            Some(buffer) => buffer.add(part),
            None => {
                *answer = Some(AnswerBuffer::new(part));
                true
            }
        };
        if !is_new {
            return;
        }
        let frame = CallerFrame {
            service: record.address,
            flow: record.flow,
            body: CallerBody::Part(part.clone()),
        };
        actions.push(to_caller(record.caller, frame));
        if let Some(whole) = answer.take_if(|buffer| buffer.is_whole()) {
            record.stage = RequestStage::Answered(whole);
            self.end_attempt(now, key, JobEnd::Answered, actions);
        }
    }

    pub(crate) fn end_attempt(
        &mut self,
        now: Instant,
        key: RequestKey,
        end: JobEnd,
        actions: &mut Vec<HostAction>,
    ) {
        let mut decisions = Vec::new();
        self.policy.end(now, key, end, &mut decisions);
        self.carry_out(now, decisions, actions);
    }
}

/// Delivers an answer whose owner is gone by what its tag says.
fn deliver_unowned(frame: &UpstreamFrame, actions: &mut Vec<HostAction>) {
    let UpstreamBody::Part(part) = &frame.body else {
        return;
    };
    let RoutingTag {
        caller,
        service,
        flow,
        ..
    } = frame.tag;
    let body = CallerBody::Part(part.clone());
    actions.push(to_caller(
        caller,
        CallerFrame {
            service,
            flow,
            body,
        },
    ));
}
