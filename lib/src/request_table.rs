//! The requests that this host has decided on, by flow and number.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;

use crate::answer_buffer::AnswerBuffer;
use crate::ids::FlowDigest;
use crate::ids::FlowId;
use crate::ids::RequestId;
use crate::ids::ServiceAddress;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::wire_frame::RefusalBody;

/// Identity of a request on every host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKey {
    /// The flow it belongs to.
    pub flow: FlowDigest,
    /// Its number within the flow.
    pub request: RequestId,
}

/// How far a request has come.
#[derive(Clone, Debug)]
pub enum RequestStage {
    /// It has not been sent to any upstream.
    Waiting,
    /// It was sent, and its answer is not whole.
    Running {
        /// Where it was sent.
        upstream: UpstreamId,
        /// The parts that have arrived.
        answer: Option<AnswerBuffer>,
    },
    /// Its whole answer has arrived; kept so that the caller may ask for it again.
    Answered(AnswerBuffer),
    /// The caller has said that it holds the answer.
    Acknowledged,
    /// It was refused; every copy gets the same refusal.
    Refused(RefusalBody),
}

impl RequestStage {
    /// Whether the host still owes the caller an outcome.
    pub fn is_in_progress(&self) -> bool {
        matches!(self, Self::Waiting | Self::Running { .. })
    }
}

/// One request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The caller that waits.
    pub caller: SocketAddr,
    /// The address it asked.
    pub address: ServiceAddress,
    /// The service at that address when the request arrived.
    pub service: ServiceId,
    /// The flow, as the caller numbers it.
    pub flow: FlowId,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// What the upstream gets.
    pub payload: Bytes,
    /// Number of the next attempt; grows with each send to an upstream.
    pub attempt: u8,
    /// How far it has come.
    pub stage: RequestStage,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// When the record may go: no copy of the request can arrive after this.
    pub forget_deadline: Instant,
}

/// The requests of one host.
#[derive(Default)]
pub struct RequestTable {
    requests: HashMap<RequestKey, RequestRecord>,
}

impl RequestTable {
    /// The record of a request.
    pub fn get(&self, key: RequestKey) -> Option<&RequestRecord> {
        self.requests.get(&key)
    }

    /// The record of a request, to be changed.
    pub fn get_mut(&mut self, key: RequestKey) -> Option<&mut RequestRecord> {
        self.requests.get_mut(&key)
    }

    /// Adds a request.
    pub fn insert(&mut self, key: RequestKey, record: RequestRecord) {
        self.requests.insert(key, record);
    }

    /// The requests in progress whose caller has stopped waiting, in ascending order.
    pub fn overdue(&self, now: Instant) -> Vec<RequestKey> {
        let mut keys: Vec<RequestKey> = self
            .requests
            .iter()
            .filter(|(_key, record)| record.stage.is_in_progress() && record.deadline <= now)
            .map(|(key, _record)| *key)
            .collect();
        keys.sort_unstable();
        keys
    }

    /// Forgets the requests of which no copy can arrive any more.
    pub fn expire(&mut self, now: Instant) {
        self.requests
            .retain(|_key, record| record.stage.is_in_progress() || now < record.forget_deadline);
    }

    /// How many requests have no outcome yet.
    pub fn in_progress(&self) -> usize {
        self.requests
            .values()
            .filter(|record| record.stage.is_in_progress())
            .count()
    }

    /// How many requests are remembered.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
