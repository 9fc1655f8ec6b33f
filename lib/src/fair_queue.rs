//! Queue of slot requests in order of arrival, with a fair share of its places for each caller.
//!
//! When one caller sends ten times its share, its requests would fill a plain queue and delay all
//! others. Here a caller holds at most twice an even share of the current places, so that a hot
//! caller's further requests are rejected and those of others find room. The order remains that of
//! arrival: with start-time fair queueing, new requests overtake during an overload by many equal
//! callers until most of the queued ones miss their deadline (docs/design/dispatch.md).

use std::collections::BTreeMap;
use std::time::Instant;

use crate::ids::HostId;
use crate::ids::UpstreamId;
use crate::load_message::CallerTag;
use crate::load_message::SlotRequestId;
use crate::standing_queue::StandingQueue;

/// Places that one caller may hold, as a multiple of an even share; leaves room for random
/// variation.
const SHARE_FACTOR: usize = 2;
/// Minimum number of places that any caller may hold, regardless of the number of other callers.
const MIN_SHARE: usize = 4;

/// Identifies a slot request at an allocator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlotRequestKey {
    /// Host that sent the slot request.
    pub host: HostId,
    /// Number of the slot request at that host.
    pub slot_request: SlotRequestId,
}

/// Slot request at an allocator.
#[derive(Clone, Debug)]
pub struct PoolRequest {
    /// Identity of the slot request.
    pub request_key: SlotRequestKey,
    /// Caller that the slot is for.
    pub caller: CallerTag,
    /// Upstream that the slot must belong to; `None` if any upstream will do.
    pub upstream: Option<UpstreamId>,
    /// When the request arrived.
    pub since: Instant,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Whether the sender is itself an allocator whose own slots are all in use.
    pub spill: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    since: Instant,
    request_key: SlotRequestKey,
}

/// Waiting slot requests, oldest first.
#[derive(Debug, Default)]
pub struct FairQueue {
    requests: BTreeMap<QueueKey, PoolRequest>,
    keys: BTreeMap<SlotRequestKey, QueueKey>,
    /// Number of queued slot requests by caller. Invariant: no entry is zero.
    callers: BTreeMap<CallerTag, usize>,
    standing: StandingQueue,
}

impl FairQueue {
    /// Adds a slot request.
    pub fn push(&mut self, request: PoolRequest) {
        let key = QueueKey {
            since: request.since,
            request_key: request.request_key,
        };
        *self.callers.entry(request.caller).or_default() += 1;
        self.keys.insert(request.request_key, key);
        self.requests.insert(key, request);
    }

    /// Returns the oldest slot request.
    pub fn first(&self) -> Option<&PoolRequest> {
        self.requests.values().next()
    }

    /// Removes and returns the oldest slot request.
    pub fn pop(&mut self) -> Option<PoolRequest> {
        let (_key, request) = self.requests.pop_first()?;
        self.keys.remove(&request.request_key);
        self.release_place(request.caller);
        Some(request)
    }

    /// Returns the detector of a standing queue.
    pub fn standing(&self) -> &StandingQueue {
        &self.standing
    }

    /// Returns the detector of a standing queue, to record waits.
    pub fn standing_mut(&mut self) -> &mut StandingQueue {
        &mut self.standing
    }

    /// Removes a slot request that is no longer needed.
    pub fn remove(&mut self, request_key: SlotRequestKey) -> Option<PoolRequest> {
        let key = self.keys.remove(&request_key)?;
        let request = self.requests.remove(&key)?;
        self.release_place(request.caller);
        Some(request)
    }

    /// Returns whether a slot request is queued.
    pub fn contains(&self, request_key: SlotRequestKey) -> bool {
        self.keys.contains_key(&request_key)
    }

    /// Returns whether a caller holds its whole share of `places`.
    pub fn is_share_full(&self, caller: CallerTag, places: usize) -> bool {
        let Some(held) = self.callers.get(&caller) else {
            return false;
        };
        let even_share = places / self.callers.len().max(1);
        *held >= (even_share * SHARE_FACTOR).max(MIN_SHARE)
    }

    /// Returns the slot requests with a deadline up to `latest`, in the order of the queue.
    pub fn late_requests(&self, latest: Instant) -> Vec<SlotRequestKey> {
        self.requests
            .values()
            .filter(|request| request.deadline <= latest)
            .map(|request| request.request_key)
            .collect()
    }

    /// Returns the number of queued slot requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    fn release_place(&mut self, caller: CallerTag) {
        if let Some(held) = self.callers.get_mut(&caller) {
            *held -= 1;
            if *held == 0 {
                self.callers.remove(&caller);
            }
        }
    }
}
