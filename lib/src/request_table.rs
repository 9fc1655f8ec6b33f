//! The requests that this host has decided on, by flow and number.

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

/// Most bytes of whole answers that a host keeps for callers that have not acknowledged them.
pub const ANSWER_BYTES: usize = 16 << 20;

/// How long a request is remembered at least, from its last copy on.
///
/// A caller that was told that its deadline passed may ask again with the same number. Whoever has
/// no record of a request that is older than this cannot tell whether it was run and forgotten, and
/// never takes it on. At 2,000 requests a second this keeps 60,000 records of about 300 bytes.
pub const RECORD_MEMORY: Duration = Duration::from_secs(30);

/// Identity of a request on every host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKey {
    /// The flow it belongs to.
    pub flow: FlowDigest,
    /// Its number within the flow.
    pub request: RequestId,
}

/// What is known so far of whether this host may take a request on.
#[derive(Clone, Debug)]
pub struct TakeoverState {
    /// The frame that brought it.
    pub frame: CallerFrame,
    /// When that arrived.
    pub arrived: Instant,
    /// No earlier than this a host read it from the caller; `None` for any time.
    pub read: Option<Instant>,
    /// How often it was forwarded; at the limit it is not passed on again, or two hosts of
    /// different views would pass it to and fro.
    pub hops: u8,
    /// Number of the query to peers; zero before they were asked.
    pub query_number: u64,
    /// When the peers were first asked, if they were.
    pub queried: Option<Instant>,
    /// When those that have not replied are asked again.
    pub next_query: Instant,
    /// What peers have replied.
    pub replies: BTreeMap<HostId, RecordState>,
}

impl TakeoverState {
    /// Starts with nothing known.
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
    /// What it was sent with; only frames that echo it belong to it.
    pub tag: RoutingTag,
    /// The parts that have arrived.
    pub answer: Option<AnswerBuffer>,
    /// When waiting for the upstream's reply to a cancellation ends, once the caller cancelled.
    pub cancel_deadline: Option<Instant>,
}

/// How far a request has come.
#[derive(Clone, Debug)]
pub enum RequestStage {
    /// It is not known yet whether this host may take it on.
    Deciding(TakeoverState),
    /// Another host has taken it on; copies are passed there.
    HeldBy(HostId),
    /// It was taken on, and no attempt is under way.
    Waiting,
    /// It was sent, and its answer is not whole.
    Running(RunningAttempt),
    /// Its whole answer has arrived; kept so that the caller may ask for it again.
    Answered(AnswerBuffer),
    /// Its answer has arrived and is no longer held: the caller has acknowledged it.
    Acknowledged,
    /// It was refused; every copy gets the same refusal.
    Refused(RefusalBody),
}

impl RequestStage {
    /// Whether the host still owes the caller an outcome.
    pub fn is_in_progress(&self) -> bool {
        match self {
            Self::Deciding(_) | Self::Waiting | Self::Running(_) => true,
            Self::HeldBy(_) | Self::Answered(_) | Self::Acknowledged | Self::Refused(_) => false,
        }
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
    /// Whether its flow was opened, so that only the upstream that holds it may run it.
    pub established: bool,
    /// What the upstream gets.
    pub payload: Bytes,
    /// How far it has come.
    pub stage: RequestStage,
    /// Why its last attempt was not started, until the next is sent.
    pub retry_reason: Option<ResultCode>,
    /// No earlier than this the caller first sent it; `None` when it may be of any age.
    pub sent_after: Option<Instant>,
    /// This host has taken it on: it answers for every run of it.
    pub taken: bool,
    /// No other host has run it or will. Invariant: holds for every request that was taken on and
    /// may not run twice.
    pub exclusive: bool,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// No copy can arrive after this, unless its caller asks again after the deadline.
    pub settled_deadline: Instant,
    /// When the record may go.
    pub forget_deadline: Instant,
}

impl RequestRecord {
    /// Whether it is proved, while it waits, that the request has not run: each of its attempts
    /// was proved not to have been started, and no other host has run it or will.
    pub fn is_proved_not_run(&self) -> bool {
        self.taken && self.exclusive
    }
}

/// That this host will not take a request on.
#[derive(Clone, Copy, Debug)]
struct TakeoverPromise {
    /// To whom it was given: the host that has taken the request on, or is about to.
    promisee: HostId,
    forget_deadline: Instant,
}

/// The requests of one host.
#[derive(Default)]
pub struct RequestTable {
    requests: HashMap<RequestKey, RequestRecord>,
    /// The requests in progress by the time at which something is due.
    due: BTreeSet<(Instant, RequestKey)>,
    /// Every record by the time at which it is looked at for removal.
    ends: BTreeSet<(Instant, RequestKey)>,
    /// Whole answers that are held, oldest first; some may have been acknowledged since.
    answered: VecDeque<RequestKey>,
    answer_bytes: usize,
    /// Requests that another host was promised that this one will not take on.
    promises: BTreeMap<RequestKey, TakeoverPromise>,
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
        self.due.insert((record.deadline, key));
        self.ends.insert((record.forget_deadline, key));
        self.requests.insert(key, record);
    }

    /// Removes a request that was not taken on.
    pub fn remove(&mut self, key: RequestKey) -> Option<RequestRecord> {
        self.requests.remove(&key)
    }

    /// Promises `promisee` not to take a request on; kept until no copy can arrive.
    pub fn promise(&mut self, key: RequestKey, promisee: HostId, forget_deadline: Instant) {
        let former = self.promises.get(&key);
        let former_deadline = former.map(|promise| promise.forget_deadline);
        let promise = TakeoverPromise {
            promisee,
            forget_deadline: forget_deadline.max(former_deadline.unwrap_or(forget_deadline)),
        };
        self.promises.insert(key, promise);
    }

    /// The host that was last promised that this one will not take the request on.
    pub fn promisee(&self, key: RequestKey) -> Option<HostId> {
        self.promises.get(&key).map(|promise| promise.promisee)
    }

    /// Has [`Self::take_due`] return the request once `time` has come.
    pub fn remind(&mut self, time: Instant, key: RequestKey) {
        self.due.insert((time, key));
    }

    /// The requests in progress for which something is due, in the order of time.
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

    /// Keeps a whole answer; returns the requests whose answers were given up for it, oldest
    /// first, so that callers which never acknowledge cannot fill the memory.
    pub fn keep_answer(&mut self, key: RequestKey, answer: AnswerBuffer) -> Vec<RequestKey> {
        let Some(record) = self.requests.get_mut(&key) else {
            return Vec::new();
        };
        self.answer_bytes += answer.received() as usize;
        record.payload = Bytes::new();
        record.stage = RequestStage::Answered(answer);
        self.answered.push_back(key);
        let mut given_up = Vec::new();
        while self.answer_bytes > ANSWER_BYTES {
            let Some(oldest) = self.answered.pop_front() else {
                break;
            };
            if self.release_answer(oldest, RequestStage::Acknowledged) {
                given_up.push(oldest);
            }
        }
        given_up
    }

    /// Replaces a whole answer by `stage`; `false` if none is held.
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

    /// Bytes of whole answers that are held.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Forgets the requests of which no copy can arrive any more.
    pub fn expire(&mut self, now: Instant) {
        self.promises
            .retain(|_key, promise| now < promise.forget_deadline);
        while let Some((time, key)) = self.ends.first().copied() {
            if time > now {
                break;
            }
            self.ends.pop_first();
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
            self.ends.insert((record.forget_deadline, key));
            return;
        }
        self.release_answer(key, RequestStage::Acknowledged);
        self.requests.remove(&key);
    }

    /// How many requests have no outcome yet.
    pub fn in_progress(&self) -> usize {
        self.requests
            .values()
            .filter(|record| record.stage.is_in_progress())
            .count()
    }

    /// Whether a copy may still arrive of a request that this host has taken on and that may not
    /// run twice.
    pub fn answers_for_any(&self, now: Instant) -> bool {
        let mut records = self.requests.values();
        records.any(|record| record.taken && !record.idempotent && now < record.settled_deadline)
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
