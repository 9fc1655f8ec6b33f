//! Callers and upstreams of the simulated group. Callers retransmit requests and verify the
//! replies; upstreams run every copy of a request and enforce deadlines.

use std::time::Duration;

use bytes::Bytes;
use lagoonproxy::answer_buffer::AnswerBuffer;
use lagoonproxy::host_event::HostEvent;
use lagoonproxy::wire_frame::AnswerPart;
use lagoonproxy::wire_frame::CallerBody;
use lagoonproxy::wire_frame::CallerFrame;
use lagoonproxy::wire_frame::NotStartedReason;
use lagoonproxy::wire_frame::RequestBody;
use lagoonproxy::wire_frame::RoutingTag;
use lagoonproxy::wire_frame::UpstreamBody;
use lagoonproxy::wire_frame::UpstreamFrame;
use rand::RngExt;

use crate::fake_group::Delivery;
use crate::fake_group::FakeGroup;
use crate::fake_group::FakeRequest;
use crate::fake_group::flow_caller;
use crate::world::ledger_address;
use crate::world::upstream_address;

const PART_LEN: usize = 40;

impl FakeGroup {
    /// Starts a request on flow `flow` whose caller waits `wait` milliseconds.
    pub fn request(&mut self, flow: u64, wait: u64, idempotent: bool, cancel_at: Option<u64>) {
        let number = self.requests.len() as u64 + 1;
        let request = FakeRequest {
            flow,
            first_sent: self.time,
            deadline: self.time + wait,
            cancel_at,
            idempotent,
            ..FakeRequest::default()
        };
        self.requests.insert(number, request);
    }

    /// Sends each request without an outcome every 100 ms, each time to a random host.
    pub(crate) fn send_requests(&mut self) {
        let numbers: Vec<u64> = self.requests.keys().copied().collect();
        for number in numbers {
            let request = &self.requests[&number];
            let ended = request.answered || !request.refusals.is_empty();
            let age = self.time - request.first_sent;
            if ended || self.time >= request.deadline || !age.is_multiple_of(100) {
                continue;
            }
            let body = RequestBody {
                request: number,
                age: Duration::from_millis(age),
                remaining: Duration::from_millis(request.deadline - self.time),
                idempotent: request.idempotent,
                established: false,
                payload: Bytes::copy_from_slice(&number.to_le_bytes()),
            };
            let cancels = request.cancel_at.is_some_and(|at| at <= self.time);
            let flow = request.flow;
            if cancels {
                self.send_to_random_host(flow, CallerBody::Cancel { request: number });
            }
            self.send_to_random_host(flow, CallerBody::Request(body));
        }
    }

    pub(crate) fn send_to_random_host(&mut self, flow: u64, body: CallerBody) {
        let index = self.rng.random_range(0..self.hosts.len());
        let event = HostEvent::CallerFrame {
            caller: flow_caller(flow),
            frame: CallerFrame {
                service: ledger_address(),
                flow,
                body,
            },
        };
        let id = self.hosts[index].id;
        self.send(Delivery::Host(id, event), 0, true);
    }

    pub(crate) fn handle_reply(&mut self, frame: &CallerFrame) {
        match &frame.body {
            CallerBody::Refusal(refusal) => {
                let Some(number) = refusal.request else {
                    return;
                };
                let request = self.requests.get_mut(&number).unwrap();
                assert_eq!(request.flow, frame.flow, "refusal sent on another flow");
                request.refusals.push(refusal.outcome);
                request.codes.push(refusal.code);
            }
            CallerBody::Accepted { request } => {
                self.requests.get_mut(request).unwrap().accepted = true;
            }
            CallerBody::Part(part) => self.receive_part(frame.flow, part),
            _ => {}
        }
    }

    pub(crate) fn receive_part(&mut self, flow: u64, part: &AnswerPart) {
        let request = self.requests.get_mut(&part.request).unwrap();
        assert_eq!(request.flow, flow, "response sent on another flow");
        let fresh = AnswerBuffer::new(part);
        let buffer = request.answers.entry(part.run).or_insert(fresh);
        buffer.add(part);
        if !buffer.is_whole() {
            return;
        }
        let bytes: Vec<u8> = buffer.parts().flat_map(|part| part.payload).collect();
        let run = u32::from_le_bytes(bytes[..4].try_into().unwrap());
        assert_eq!(
            bytes,
            answer_bytes(part.request, run),
            "wrong response to request {}",
            part.request
        );
        request.answered = true;
        let number = part.request;
        self.send_to_random_host(flow, CallerBody::Ack { request: number });
    }

    pub(crate) fn run_upstream(&mut self, id: u32, frame: &UpstreamFrame) {
        let tag = frame.tag;
        match &frame.body {
            UpstreamBody::Run { remaining, .. } => self.run_request(id, tag, *remaining),
            UpstreamBody::Cancel if tag.incarnation != self.upstreams[id as usize] => {
                self.reply(id, tag, not_started(NotStartedReason::WrongUpstream), 0);
            }
            UpstreamBody::Cancel => {
                let started = self.running.contains_key(&(id, tag.run_id() ^ tag.request));
                if !started {
                    self.cancelled.push((id, tag));
                    self.reply(id, tag, not_started(NotStartedReason::Cancelled), 0);
                }
            }
            _ => {}
        }
    }

    pub(crate) fn run_request(&mut self, id: u32, tag: RoutingTag, remaining: Duration) {
        if tag.incarnation != self.upstreams[id as usize] {
            return self.reply(id, tag, not_started(NotStartedReason::WrongUpstream), 0);
        }
        if self.cancelled.contains(&(id, tag)) {
            return self.reply(id, tag, not_started(NotStartedReason::Cancelled), 0);
        }
        if remaining.is_zero() {
            return self.reply(id, tag, not_started(NotStartedReason::DeadlinePassed), 0);
        }
        if self.rng.random_bool(self.shed) {
            return self.reply(id, tag, not_started(NotStartedReason::Shed), 0);
        }
        let request = self.requests.get_mut(&tag.request).unwrap();
        assert_eq!(request.flow, tag.flow, "request run for another flow");
        request.runs += 1;
        let answer = answer_bytes(tag.request, request.runs);
        let key = (id, tag.run_id() ^ tag.request);
        self.running.insert(key, self.time);
        self.reply(id, tag, UpstreamBody::Started, 0);
        let service_time = self.rng.random_range(1..1_500);
        for (index, chunk) in answer.chunks(PART_LEN).enumerate() {
            let part = AnswerPart {
                request: tag.request,
                run: 0,
                offset: (index * PART_LEN) as u32,
                total: answer.len() as u32,
                payload: Bytes::copy_from_slice(chunk),
            };
            self.reply(id, tag, UpstreamBody::Part(part), service_time);
        }
    }

    pub(crate) fn reply(&mut self, id: u32, tag: RoutingTag, body: UpstreamBody, after: u64) {
        let event = HostEvent::UpstreamFrame {
            source: upstream_address(id),
            frame: UpstreamFrame { tag, body },
        };
        self.send(Delivery::Host(tag.owner, event), after, true);
    }
}

/// Returns a response that starts with the number of its run, so that mixed parts of two runs are
/// detected.
fn answer_bytes(request: u64, run: u32) -> Vec<u8> {
    let mut bytes = run.to_le_bytes().to_vec();
    for index in 0..100 {
        bytes.push((request * 31 + u64::from(run) * 7 + index) as u8);
    }
    bytes
}

fn not_started(reason: NotStartedReason) -> UpstreamBody {
    UpstreamBody::NotStarted {
        reason,
        retry_after: Duration::from_millis(50),
    }
}
