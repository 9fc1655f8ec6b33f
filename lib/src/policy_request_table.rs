//! Requests that this host's load policy has not finished, with their timers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use crate::ids::HostId;
use crate::ids::UpstreamId;
use crate::load_message::SlotRequestId;
use crate::load_policy::SubmittedRequest;
use crate::request_table::RequestKey;

/// Stage of a request in the load policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyRequestStage {
    /// A slot was requested from a slot allocator.
    Waiting {
        /// The slot allocator.
        allocator: HostId,
        /// Number of slot requests sent to it without a reply.
        unanswered: u32,
    },
    /// The request was sent to an upstream.
    Running {
        /// The upstream.
        upstream: UpstreamId,
        /// The allocator that granted the slot; `None` if the request was sent without a grant.
        allocator: Option<HostId>,
    },
}

/// A request in the load policy.
#[derive(Clone, Debug)]
pub struct PolicyRequest {
    /// The request as it was submitted.
    pub request: SubmittedRequest,
    /// Number of its current slot request.
    pub slot_request: SlotRequestId,
    /// When the request arrived.
    pub since: Instant,
    /// Current stage.
    pub stage: PolicyRequestStage,
    /// Whether an attempt was lost, in which case the request may have run.
    pub may_have_run: bool,
    /// When to send the slot request again or to renew the grant. Invariant: equals the entry in
    /// the table's timers.
    pub timer: Instant,
}

/// Requests of a load policy, indexed by key, by slot request and by timer.
#[derive(Debug, Default)]
pub struct PolicyRequestTable {
    requests: BTreeMap<RequestKey, PolicyRequest>,
    slot_requests: BTreeMap<SlotRequestId, RequestKey>,
    timers: BTreeSet<(Instant, RequestKey)>,
}

impl PolicyRequestTable {
    /// Adds a request.
    pub fn insert(&mut self, record: PolicyRequest) {
        let key = record.request.key;
        self.slot_requests.insert(record.slot_request, key);
        self.timers.insert((record.timer, key));
        self.requests.insert(key, record);
    }

    /// Removes a request.
    pub fn remove(&mut self, key: RequestKey) -> Option<PolicyRequest> {
        let record = self.requests.remove(&key)?;
        self.slot_requests.remove(&record.slot_request);
        self.timers.remove(&(record.timer, key));
        Some(record)
    }

    /// Returns a request.
    pub fn get(&self, key: RequestKey) -> Option<&PolicyRequest> {
        self.requests.get(&key)
    }

    /// Returns the request that a slot request was sent for.
    pub fn by_slot_request(&self, slot_request: SlotRequestId) -> Option<&PolicyRequest> {
        self.requests.get(self.slot_requests.get(&slot_request)?)
    }

    /// Sets the stage of a request and when its timer is due.
    pub fn advance(&mut self, key: RequestKey, stage: PolicyRequestStage, timer: Instant) {
        if let Some(record) = self.requests.get_mut(&key) {
            self.timers.remove(&(record.timer, key));
            self.timers.insert((timer, key));
            record.timer = timer;
            record.stage = stage;
        }
    }

    /// Returns the request with the earliest timer, if that timer is due.
    pub fn due(&self, now: Instant) -> Option<&PolicyRequest> {
        let (timer, key) = self.timers.first()?;
        if *timer > now {
            return None;
        }
        self.requests.get(key)
    }

    /// The keys of all requests, in ascending order.
    pub fn keys(&self) -> Vec<RequestKey> {
        self.requests.keys().copied().collect()
    }

    /// Number of unfinished requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether there are no unfinished requests.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
