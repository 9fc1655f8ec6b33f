//! Records of the requests that this host has received, by flow digest and request number.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;

use crate::answer_buffer::AnswerBuffer;
use crate::ids::FlowDigest;
use crate::ids::FlowId;
use crate::ids::HostId;
use crate::ids::RequestId;
use crate::ids::ServiceAddress;
use crate::ids::ServiceId;
use crate::record_query::RecordState;
use crate::result_code::ResultCode;
use crate::wire_frame::CallerFrame;
use crate::wire_frame::RefusalBody;
use crate::wire_frame::RoutingTag;

/// Maximum total size in bytes of the complete responses that a host keeps for callers that have
/// not acknowledged them.
pub const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Minimum time that a request's record is kept after its last copy arrived.
///
/// A caller whose deadline passed may send the request again with the same number. A host without a
/// record cannot tell whether a request older than this ran and was then forgotten, so it never
/// accepts one. At 2,000 requests a second, 60,000 records of about 300 bytes are kept.
pub const MIN_RECORD_LIFETIME: Duration = Duration::from_secs(30);

/// Identifies a request; the same on every host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKey {
    /// Digest of the flow that the request belongs to.
    pub flow: FlowDigest,
    /// Number of the request within its flow.
    pub request: RequestId,
}

/// What is known so far about whether this host may accept a request.
#[derive(Clone, Debug)]
pub struct TakeoverState {
    /// The frame that carried the request.
    pub frame: CallerFrame,
    /// When the frame arrived.
    pub arrived: Instant,
    /// Lower bound on the time at which a host read the frame from the caller; `None` if there is
    /// no known bound.
    pub read: Option<Instant>,
    /// Number of times that the frame was forwarded. At the limit it is not forwarded again,
    /// because two hosts with different member lists would forward it to each other endlessly.
    pub hops: u8,
    /// Number of the query to the peers; zero until it is sent.
    pub query_number: u64,
    /// When the query was first sent, if it was.
    pub queried: Option<Instant>,
    /// When the query is sent again to the peers that have not replied.
    pub next_query: Instant,
    /// Replies to the query, by peer.
    pub replies: BTreeMap<HostId, RecordState>,
}

impl TakeoverState {
    /// Creates the state of a request that no peer was queried about.
    pub fn new(now: Instant, read: Option<Instant>, frame: CallerFrame, hops: u8) -> Self {
        Self {
            frame,
            arrived: now,
            read,
            hops,
            query_number: 0,
            queried: None,
            next_query: now,
            replies: BTreeMap::new(),
        }
    }
}

/// An attempt that was sent to an upstream.
#[derive(Clone, Debug)]
pub struct RunningAttempt {
    /// Tag that the attempt was sent with; only frames that echo it belong to the attempt.
    pub tag: RoutingTag,
    /// The parts of the response that have arrived.
    pub answer: Option<AnswerBuffer>,
    /// When the wait for the upstream's reply to a cancellation ends; set once the caller cancels.
    pub cancel_deadline: Option<Instant>,
}

/// Stage of a request at this host.
#[derive(Clone, Debug)]
pub enum RequestStage {
    /// It is not known yet whether this host may accept the request.
    Deciding(TakeoverState),
    /// Another host has accepted the request; copies are forwarded to it.
    HeldBy(HostId),
    /// The request was accepted, and no attempt is in progress.
    Waiting,
    /// The request was sent to an upstream, and its response is incomplete.
    Running(RunningAttempt),
    /// The complete response has arrived; it is kept for retransmissions of the request.
    Answered(AnswerBuffer),
    /// The response has arrived and is no longer kept, because the caller acknowledged it.
    Acknowledged,
    /// The request was refused; every retransmission gets the same refusal.
    Refused(RefusalBody),
}

impl RequestStage {
    /// Whether the request has no outcome yet.
    pub fn is_in_progress(&self) -> bool {
        match self {
            Self::Deciding(_) | Self::Waiting | Self::Running(_) => true,
            Self::HeldBy(_) | Self::Answered(_) | Self::Acknowledged | Self::Refused(_) => false,
        }
    }
}

/// Record of one request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Service address that the caller sent the request to.
    pub address: ServiceAddress,
    /// The service at that address when the request arrived.
    pub service: ServiceId,
    /// Number that the caller gave the flow.
    pub flow: FlowId,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the flow is open already, so that only the upstream that holds it may run the
    /// request.
    pub established: bool,
    /// Payload for the upstream; emptied once the request has an outcome.
    pub payload: Bytes,
    /// Current stage.
    pub stage: RequestStage,
    /// Why the last attempt was not started; cleared when the next attempt is sent.
    pub retry_reason: Option<ResultCode>,
    /// Lower bound on the time at which the caller first sent the request; `None` if its age is
    /// unknown.
    pub sent_after: Option<Instant>,
    /// Whether this host has accepted the request, which makes it responsible for every run of it.
    pub accepted: bool,
    /// Whether it is certain that no other host has run the request or will run it. Invariant: true
    /// for every accepted request that is not idempotent.
    pub exclusive: bool,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// No copy arrives after this time unless the caller sends the request again after its
    /// deadline.
    pub settled_deadline: Instant,
    /// When the record may be removed.
    pub forget_deadline: Instant,
}

impl RequestRecord {
    /// Whether a request without an attempt in progress is proven not to have run: each earlier
    /// attempt is proven not to have been started, and no other host has run the request or will
    /// run it.
    pub fn is_proved_not_run(&self) -> bool {
        self.accepted && self.exclusive
    }
}

/// A promise to a peer that this host will not accept a request.
#[derive(Clone, Copy, Debug)]
struct TakeoverPromise {
    /// The peer that received the promise; it has accepted the request or is about to.
    promisee: HostId,
    forget_deadline: Instant,
}

/// The request records of one host.
#[derive(Default)]
pub struct RequestTable {
    requests: HashMap<RequestKey, RequestRecord>,
    /// Times at which requests in progress have to be processed, in order.
    due: BTreeSet<(Instant, RequestKey)>,
    /// Times at which records are checked for removal, in order; one entry per record.
    removals: BTreeSet<(Instant, RequestKey)>,
    /// Requests whose complete responses were stored, oldest first; some may have been acknowledged
    /// since.
    answered: VecDeque<RequestKey>,
    answer_bytes: usize,
    /// Requests that this host promised a peer not to accept.
    promises: BTreeMap<RequestKey, TakeoverPromise>,
}

impl RequestTable {
    /// Returns the record of a request.
    pub fn get(&self, key: RequestKey) -> Option<&RequestRecord> {
        self.requests.get(&key)
    }

    /// Returns the record of a request for modification.
    pub fn get_mut(&mut self, key: RequestKey) -> Option<&mut RequestRecord> {
        self.requests.get_mut(&key)
    }

    /// Adds a record.
    pub fn insert(&mut self, key: RequestKey, record: RequestRecord) {
        self.due.insert((record.deadline, key));
        self.removals.insert((record.forget_deadline, key));
        self.requests.insert(key, record);
    }

    /// Removes the record of a request that was not accepted.
    pub fn remove(&mut self, key: RequestKey) -> Option<RequestRecord> {
        self.requests.remove(&key)
    }

    /// Records the promise to `promisee` not to accept a request. The promise is kept until no copy
    /// of the request can arrive.
    pub fn promise(&mut self, key: RequestKey, promisee: HostId, forget_deadline: Instant) {
        let previous = self.promises.get(&key);
        let previous_deadline = previous.map(|promise| promise.forget_deadline);
        let promise = TakeoverPromise {
            promisee,
            forget_deadline: forget_deadline.max(previous_deadline.unwrap_or(forget_deadline)),
        };
        self.promises.insert(key, promise);
    }

    /// Returns the host that was last promised that this one will not accept the request.
    pub fn promisee(&self, key: RequestKey) -> Option<HostId> {
        self.promises.get(&key).map(|promise| promise.promisee)
    }

    /// Schedules the request for [`Self::take_due`] at `time`.
    pub fn schedule(&mut self, time: Instant, key: RequestKey) {
        self.due.insert((time, key));
    }

    /// Removes and returns the requests in progress that are due at `now`, ordered by due time.
    pub fn take_due(&mut self, now: Instant) -> Vec<RequestKey> {
        let mut keys = Vec::new();
        while let Some((time, key)) = self.due.first().copied() {
            if time > now {
                break;
            }
            self.due.pop_first();
            let record = self.requests.get(&key);
            if record.is_some_and(|record| record.stage.is_in_progress()) {
                keys.push(key);
            }
        }
        keys
    }

    /// Stores a complete response and returns the requests whose responses were dropped to stay
    /// within [`MAX_ANSWER_BYTES`], oldest first. The limit keeps callers that never acknowledge
    /// from exhausting the memory.
    pub fn keep_answer(&mut self, key: RequestKey, answer: AnswerBuffer) -> Vec<RequestKey> {
        let Some(record) = self.requests.get_mut(&key) else {
            return Vec::new();
        };
        self.answer_bytes += answer.received() as usize;
        record.payload = Bytes::new();
        record.stage = RequestStage::Answered(answer);
        self.answered.push_back(key);
        let mut dropped = Vec::new();
        while self.answer_bytes > MAX_ANSWER_BYTES {
            let Some(oldest) = self.answered.pop_front() else {
                break;
            };
            if self.release_answer(oldest, RequestStage::Acknowledged) {
                dropped.push(oldest);
            }
        }
        dropped
    }

    /// Replaces a stored response by `stage`. Returns `false` if no response is stored.
    pub fn release_answer(&mut self, key: RequestKey, stage: RequestStage) -> bool {
        let Some(record) = self.requests.get_mut(&key) else {
            return false;
        };
        let RequestStage::Answered(answer) = &record.stage else {
            return false;
        };
        self.answer_bytes -= answer.received() as usize;
        record.stage = stage;
        true
    }

    /// Total size of the stored responses in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Removes the promises and records whose retention time is over.
    pub fn expire(&mut self, now: Instant) {
        self.promises
            .retain(|_key, promise| now < promise.forget_deadline);
        while let Some((time, key)) = self.removals.first().copied() {
            if time > now {
                break;
            }
            self.removals.pop_first();
            self.expire_one(now, key);
        }
        while let Some(key) = self.answered.front() {
            let record = self.requests.get(key);
            if record.is_some_and(|record| matches!(record.stage, RequestStage::Answered(_))) {
                break;
            }
            self.answered.pop_front();
        }
    }

    fn expire_one(&mut self, now: Instant, key: RequestKey) {
        let Some(record) = self.requests.get(&key) else {
            return;
        };
        if now < record.forget_deadline {
            self.removals.insert((record.forget_deadline, key));
            return;
        }
        self.release_answer(key, RequestStage::Acknowledged);
        self.requests.remove(&key);
    }

    /// Number of requests that have no outcome yet.
    pub fn in_progress(&self) -> usize {
        self.requests
            .values()
            .filter(|record| record.stage.is_in_progress())
            .count()
    }

    /// Whether copies may still arrive of a non-idempotent request that this host has accepted.
    pub fn may_receive_copies(&self, now: Instant) -> bool {
        let mut records = self.requests.values();
        records.any(|record| record.accepted && !record.idempotent && now < record.settled_deadline)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
