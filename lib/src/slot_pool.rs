//! Slot allocator for one service: grants slots to slot requests, queues them or denies them.
//!
//! The queue is bounded and aware of deadlines. Otherwise, during bursts and overload, callers
//! would wait for responses that arrive after their deadline, and upstreams would do work that
//! nobody uses. A slot request that cannot be served in time is denied when it arrives. The modules
//! composed here give the reasons for their constants.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::caller_usage::CallerUsage;
use crate::fair_queue::FairQueue;
use crate::fair_queue::PoolRequest;
use crate::fair_queue::SlotRequestKey;
use crate::ids::HostId;
use crate::ids::UpstreamId;
use crate::load_message::CallerTag;
use crate::load_message::GrantOutcome;
use crate::load_settings::LoadSettings;
use crate::result_code::ResultCode;
use crate::service_estimate::ServiceEstimate;
use crate::slot_table::PoolMember;
use crate::slot_table::SlotTable;
use crate::slot_table::TakenSlot;
use crate::spill_requests::SpillKey;
use crate::spill_requests::SpillRequests;

/// Interval between sweeps for expired grants and idle callers.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Message from a pool to a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolReply {
    /// A slot is granted.
    Grant {
        /// Slot request that is granted.
        request_key: SlotRequestKey,
        /// Upstream that the slot belongs to.
        upstream: UpstreamId,
    },
    /// The slot request waits in the queue.
    Queued {
        /// Slot request that waits.
        request_key: SlotRequestKey,
    },
    /// The slot request is denied.
    Deny {
        /// Slot request that is denied.
        request_key: SlotRequestKey,
        /// Reason.
        code: ResultCode,
        /// Estimated wait in the queue.
        wait: Duration,
    },
    /// Requests a slot from another allocator on behalf of the slot request that has waited
    /// longest.
    Spill {
        /// The other allocator and the number of the spill request.
        spill_key: SpillKey,
        /// Caller that the slot is for.
        caller: CallerTag,
        /// When the request arrived.
        since: Instant,
        /// When its caller stops waiting.
        deadline: Instant,
    },
    /// Releases a borrowed slot or withdraws a spill request.
    Return {
        /// The other allocator and the number of the spill request.
        spill_key: SpillKey,
        /// How the slot was used.
        outcome: GrantOutcome,
    },
    /// Renews the grant of a borrowed slot that is still in use.
    Renew {
        /// The other allocator and the number of the spill request.
        spill_key: SpillKey,
        /// Upstream that the slot belongs to.
        upstream: UpstreamId,
    },
}

/// Origin of a granted slot: this pool's own or lent by another allocator.
#[derive(Clone, Copy, Debug)]
pub(crate) enum GrantSource {
    Own(TakenSlot),
    Lent(SpillKey),
}

#[derive(Clone, Debug)]
struct SlotGrant {
    upstream: UpstreamId,
    source: GrantSource,
    /// Caller that the slot serves; `None` if a previous allocator granted the slot.
    caller: Option<CallerTag>,
    since: Instant,
    /// When the slot is reclaimed unless its holder renews the grant.
    expires_at: Instant,
}

/// Slots of one service at one allocator, with the slot requests that wait for them.
pub struct SlotPool {
    pub(crate) settings: Arc<LoadSettings>,
    pub(crate) table: SlotTable,
    pub(crate) queue: FairQueue,
    /// Slot requests of other allocators.
    spill_queue: FairQueue,
    /// Slot requests for one particular upstream, by upstream. Invariant: no queue is empty.
    pub(crate) pinned: BTreeMap<UpstreamId, FairQueue>,
    grants: BTreeMap<SlotRequestKey, SlotGrant>,
    /// Slots of lost requests, which may still run, with the time at which each slot counts as
    /// free.
    lost: VecDeque<(Instant, TakenSlot)>,
    pub(crate) estimate: ServiceEstimate,
    pub(crate) usage: CallerUsage,
    pub(crate) spill_requests: SpillRequests,
    next_sweep: Option<Instant>,
}

impl SlotPool {
    /// Creates a pool without upstreams.
    pub fn new(settings: Arc<LoadSettings>) -> Self {
        Self {
            table: SlotTable::new(Arc::clone(&settings)),
            queue: FairQueue::default(),
            spill_queue: FairQueue::default(),
            pinned: BTreeMap::new(),
            grants: BTreeMap::new(),
            lost: VecDeque::new(),
            estimate: ServiceEstimate::new(settings.first_service_time),
            usage: CallerUsage::default(),
            spill_requests: SpillRequests::default(),
            next_sweep: None,
            settings,
        }
    }

    /// Replaces the upstreams and the allocators that slots may be borrowed from.
    pub fn configure<'a>(
        &mut self,
        now: Instant,
        members: impl Iterator<Item = PoolMember<'a>>,
        peers: Vec<HostId>,
    ) {
        self.table.configure(now, members);
        self.spill_requests.configure(peers);
    }

    /// Returns whether the pool has no upstreams.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Returns the number of slot requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
            + self.spill_queue.len()
            + self.pinned.values().map(FairQueue::len).sum::<usize>()
    }

    /// Returns the number of grants in use.
    pub fn granted(&self) -> usize {
        self.grants.len()
    }

    /// Records the result of an upstream's health endpoint.
    pub fn report_health(&mut self, now: Instant, upstream: UpstreamId, healthy: bool) {
        self.table.report_health(now, upstream, healthy);
    }

    /// Grants, queues or denies a slot request. A known slot request gets its reply again, because
    /// the first reply may have been lost.
    pub fn request_slot(
        &mut self,
        now: Instant,
        request: PoolRequest,
        replies: &mut Vec<PoolReply>,
    ) {
        let request_key = request.request_key;
        if let Some(grant) = self.grants.get(&request_key) {
            let upstream = grant.upstream;
            replies.push(PoolReply::Grant {
                request_key,
                upstream,
            });
            return;
        }
        if self.is_queued(&request) {
            replies.push(PoolReply::Queued { request_key });
            return;
        }
        if let Some(upstream) = self.free_slot(&request) {
            return self.grant_local(now, &request, upstream, replies);
        }
        if let Some((code, wait)) = self.rejection(now, &request) {
            replies.push(PoolReply::Deny {
                request_key,
                code,
                wait,
            });
            return;
        }
        match request.upstream {
            Some(upstream) => self.pinned.entry(upstream).or_default().push(request),
            None if request.spill => self.spill_queue.push(request),
            None => self.queue.push(request),
        }
        replies.push(PoolReply::Queued { request_key });
        self.adjust_spill_requests(now, replies);
    }

    /// Withdraws a slot request or ends its grant.
    pub fn release(
        &mut self,
        now: Instant,
        request_key: SlotRequestKey,
        outcome: GrantOutcome,
        replies: &mut Vec<PoolReply>,
    ) {
        if let Some(grant) = self.grants.remove(&request_key) {
            self.end_grant(now, &grant, outcome, replies);
            self.grant_free_slots(now, replies);
            return;
        }
        self.queue.remove(request_key);
        self.spill_queue.remove(request_key);
        self.pinned.retain(|_upstream, queue| {
            queue.remove(request_key);
            !queue.is_empty()
        });
        self.adjust_spill_requests(now, replies);
    }

    /// Records that a slot is in use, whether this pool or a previous allocator granted it.
    pub fn hold(
        &mut self,
        now: Instant,
        request_key: SlotRequestKey,
        upstream: UpstreamId,
        replies: &mut Vec<PoolReply>,
    ) {
        let expires_at = now + self.settings.grant_length;
        if let Some(grant) = self.grants.get_mut(&request_key) {
            grant.expires_at = expires_at;
            if let GrantSource::Lent(spill_key) = grant.source {
                replies.push(PoolReply::Renew {
                    spill_key,
                    upstream,
                });
            }
            return;
        }
        let expected = self.estimate.service_time();
        let Some(slot) = self.table.take(now, upstream, expected) else {
            return;
        };
        let grant = SlotGrant {
            upstream,
            source: GrantSource::Own(slot),
            caller: None,
            since: now,
            expires_at,
        };
        self.grants.insert(request_key, grant);
    }

    /// Expires grants, denies late slot requests and grants free slots; called at each tick.
    pub fn tick(&mut self, now: Instant, replies: &mut Vec<PoolReply>) {
        self.table.tick(now);
        self.free_lost_slots(now);
        self.deny_late(now, replies);
        if self.next_sweep.is_none_or(|at| at <= now) {
            self.next_sweep = Some(now + SWEEP_INTERVAL);
            self.sweep(now, replies);
        }
        for spill_key in self.spill_requests.tick(now) {
            let outcome = GrantOutcome::Unused;
            replies.push(PoolReply::Return { spill_key, outcome });
        }
        self.grant_free_slots(now, replies);
    }

    fn is_queued(&self, request: &PoolRequest) -> bool {
        match request.upstream {
            Some(upstream) => {
                let queue = self.pinned.get(&upstream);
                queue.is_some_and(|queue| queue.contains(request.request_key))
            }
            None => {
                self.queue.contains(request.request_key)
                    || self.spill_queue.contains(request.request_key)
            }
        }
    }

    /// Returns a free slot that the slot request may take ahead of the queue.
    fn free_slot(&self, request: &PoolRequest) -> Option<UpstreamId> {
        match request.upstream {
            Some(upstream) => {
                let is_first = !self.pinned.contains_key(&upstream);
                (is_first && self.table.has_free_slot(upstream)).then_some(upstream)
            }
            None if !self.queue.is_empty() => None,
            None => self.table.least_used(),
        }
    }

    /// Grants free slots to waiting slot requests.
    fn grant_free_slots(&mut self, now: Instant, replies: &mut Vec<PoolReply>) {
        self.grant_pinned_slots(now, replies);
        while let Some(upstream) = self.table.least_used() {
            let Some(request) = self.next_request(now) else {
                break;
            };
            self.grant_local(now, &request, upstream, replies);
        }
        self.adjust_spill_requests(now, replies);
    }

    /// Takes the next slot request: the oldest of the own zone, or of other allocators if none
    /// waits.
    fn next_request(&mut self, now: Instant) -> Option<PoolRequest> {
        self.pop_local(now).or_else(|| self.spill_queue.pop())
    }

    /// Takes the oldest slot request of the own zone and records its wait for the detection of a
    /// standing queue.
    pub(crate) fn pop_local(&mut self, now: Instant) -> Option<PoolRequest> {
        let target = self.wait_target(self.table.open_slots());
        let interval = self.settings.queue_interval;
        let request = self.queue.pop();
        let wait = wait_time(now, request.as_ref());
        let standing = self.queue.standing_mut();
        standing.record_wait(now, wait, target, interval);
        request
    }

    /// Grants slots to pinned slot requests that have waited longer than any unpinned one.
    fn grant_pinned_slots(&mut self, now: Instant, replies: &mut Vec<PoolReply>) {
        let upstreams: Vec<UpstreamId> = self.pinned.keys().copied().collect();
        for upstream in upstreams {
            while self.table.has_free_slot(upstream) {
                let Some(request) = self.pop_pinned(now, upstream) else {
                    break;
                };
                self.grant_local(now, &request, upstream, replies);
            }
        }
    }

    fn pop_pinned(&mut self, now: Instant, upstream: UpstreamId) -> Option<PoolRequest> {
        let target = self.wait_target(self.table.open_slots_of(upstream));
        let queue = self.pinned.get_mut(&upstream)?;
        let since = queue.first()?.since;
        let others = self.queue.first();
        if others.is_some_and(|other| other.since < since) && self.table.open_slots_of(upstream) > 0
        {
            // An older unpinned slot request takes this slot unless another slot is free for it.
            let is_only = self.table.least_used() == Some(upstream);
            if is_only {
                return None;
            }
        }
        let request = queue.pop();
        let wait = wait_time(now, request.as_ref());
        let interval = self.settings.queue_interval;
        queue
            .standing_mut()
            .record_wait(now, wait, target, interval);
        if queue.is_empty() {
            self.pinned.remove(&upstream);
        }
        request
    }

    fn grant_local(
        &mut self,
        now: Instant,
        request: &PoolRequest,
        upstream: UpstreamId,
        replies: &mut Vec<PoolReply>,
    ) {
        let expected = self.estimate.service_time();
        let Some(slot) = self.table.take(now, upstream, expected) else {
            return;
        };
        self.grant(now, request, upstream, GrantSource::Own(slot), replies);
    }

    pub(crate) fn grant(
        &mut self,
        now: Instant,
        request: &PoolRequest,
        upstream: UpstreamId,
        source: GrantSource,
        replies: &mut Vec<PoolReply>,
    ) {
        let grant = SlotGrant {
            upstream,
            source,
            caller: Some(request.caller),
            since: now,
            expires_at: now + self.settings.grant_length,
        };
        let request_key = request.request_key;
        self.grants.insert(request_key, grant);
        replies.push(PoolReply::Grant {
            request_key,
            upstream,
        });
    }

    /// Ends a grant. The slot of a lost request is freed only after a service time, because the
    /// request may still run.
    fn end_grant(
        &mut self,
        now: Instant,
        grant: &SlotGrant,
        outcome: GrantOutcome,
        replies: &mut Vec<PoolReply>,
    ) {
        let held = now.saturating_duration_since(grant.since);
        if let Some(caller) = grant.caller {
            self.usage.learn(now, caller, held);
        }
        match grant.source {
            GrantSource::Own(slot) if outcome == GrantOutcome::Lost => {
                let free_at = now + self.estimate.service_time();
                self.lost.push_back((free_at, slot));
            }
            GrantSource::Own(slot) => {
                let average = self.estimate.service_time();
                self.table.give_back(now, slot, outcome, average);
                if outcome == GrantOutcome::Answered {
                    self.estimate.record(held);
                }
            }
            GrantSource::Lent(spill_key) => replies.push(PoolReply::Return { spill_key, outcome }),
        }
    }

    /// Denies slot requests that would miss their deadline even if they were sent now.
    fn deny_late(&mut self, now: Instant, replies: &mut Vec<PoolReply>) {
        let latest = now + self.estimate.service_time();
        let mut request_keys = self.queue.late_requests(latest);
        request_keys.extend(self.spill_queue.late_requests(latest));
        for queue in self.pinned.values() {
            request_keys.extend(queue.late_requests(latest));
        }
        for request_key in request_keys {
            self.release(now, request_key, GrantOutcome::Unused, replies);
            replies.push(PoolReply::Deny {
                request_key,
                code: ResultCode::DeadlineTooShort,
                wait: self
                    .estimate
                    .wait(self.queue.len(), self.table.open_slots()),
            });
        }
    }

    /// Frees the slots of lost requests. An upstream continues after the caller has given up; a
    /// request sent to a slot before it is free would be shed, and each shed lowers the upstream's
    /// limit.
    fn free_lost_slots(&mut self, now: Instant) {
        while let Some((free_at, slot)) = self.lost.front().copied() {
            if now < free_at {
                break;
            }
            self.lost.pop_front();
            let average = self.estimate.service_time();
            self.table.give_back(now, slot, GrantOutcome::Lost, average);
        }
    }

    /// Reclaims slots whose grant was not renewed: the holder died, or its release was lost.
    fn sweep(&mut self, now: Instant, replies: &mut Vec<PoolReply>) {
        let expired = self
            .grants
            .iter()
            .filter(|(_holder, grant)| grant.expires_at <= now);
        let request_keys: Vec<SlotRequestKey> =
            expired.map(|(request_key, _grant)| *request_key).collect();
        for request_key in request_keys {
            if let Some(grant) = self.grants.remove(&request_key) {
                self.end_grant(now, &grant, GrantOutcome::Cancelled, replies);
            }
        }
        self.usage.sweep(now);
    }
}

fn wait_time(now: Instant, request: Option<&PoolRequest>) -> Duration {
    request.map_or(Duration::ZERO, |request| {
        now.saturating_duration_since(request.since)
    })
}
