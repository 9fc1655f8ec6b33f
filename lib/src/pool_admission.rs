//! Admission of slot requests: which ones may wait at an allocator and which are denied at once.
//!
//! When more slot requests arrive than slots become free, a queue without admission control makes
//! callers wait for responses that arrive after their deadline. Denied are slot requests that could
//! not finish in time, those that would exceed the wait target of a standing queue, and those of
//! callers that already hold their share of the queue.

use std::time::Duration;
use std::time::Instant;

use crate::fair_queue::FairQueue;
use crate::fair_queue::PoolRequest;
use crate::result_code::ResultCode;
use crate::slot_pool::SlotPool;

/// Maximum number of queued slot requests per open slot. Bounds memory; service times of at least
/// 1/64 of the deadline never reach it.
const MAX_QUEUE_PER_SLOT: usize = 64;
/// Queue length that occurs even when the slots can carry the load: at 80 % load, more than eight
/// requests wait less than 10 % of the time, with 2 slots as with 10 (M/M/c).
const NORMAL_QUEUE_LENGTH: usize = 8;

/// Divisor of the wait target for hot callers and multiplier of it for all others, while a queue
/// stands and some caller is hot. Hot callers then keep the queue to a quarter of the target, and
/// random variation seldom takes the other callers above theirs.
const HOT_TARGET_FACTOR: u32 = 4;

/// Places in the queue that callers share evenly, as a multiple of the places within the wait
/// target. Leaves room for a burst, yet a sudden flood of one caller, which its slot usage does not
/// show yet, leaves room for the others.
const SHARED_TARGET_FACTOR: u32 = 2;

impl SlotPool {
    /// Returns why a slot request that would have to wait is denied, with its estimated wait, or
    /// `None` if it is admitted.
    pub(crate) fn rejection(
        &self,
        now: Instant,
        request: &PoolRequest,
    ) -> Option<(ResultCode, Duration)> {
        let (queue, slots) = match request.upstream {
            Some(upstream) if !self.table.contains(upstream) => {
                return Some((ResultCode::NoUpstream, Duration::ZERO));
            }
            Some(upstream) => (
                self.pinned.get(&upstream),
                self.table.open_slots_of(upstream),
            ),
            None if request.spill => return self.spill_rejection(),
            None => (Some(&self.queue), self.table.open_slots()),
        };
        let queued = queue.map_or(0, FairQueue::len);
        let wait = self.estimate.wait(queued, slots);
        let remaining = request.deadline.saturating_duration_since(now);
        let Some(max_affordable) = self.estimate.affordable_wait(remaining) else {
            return Some((ResultCode::DeadlineTooShort, wait));
        };
        let target = self.wait_target(slots);
        let is_hot = self.usage.is_hot(request.caller);
        let target = match is_hot {
            true => target / HOT_TARGET_FACTOR,
            false if self.usage.has_hot() => target * HOT_TARGET_FACTOR,
            false => target,
        };
        let max_wait = queue.map_or(Duration::MAX, |queue| queue.standing().max_wait(target));
        let max_wait = max_wait.min(max_affordable);
        if wait > max_wait || queued >= MAX_QUEUE_PER_SLOT * slots.max(1) as usize {
            let code = match is_hot {
                true => ResultCode::FairShareExceeded,
                false => ResultCode::QueueFull,
            };
            return Some((code, wait));
        }
        let places = self
            .estimate
            .places(self.wait_target(slots) * SHARED_TARGET_FACTOR, slots);
        let is_share_full = queue.is_some_and(|queue| queue.is_share_full(request.caller, places));
        is_share_full.then_some((ResultCode::FairShareExceeded, wait))
    }

    /// Returns why another allocator's slot request is denied. It is denied while the own zone's
    /// requests wait, because an exchange of slots between full zones would cost both of them the
    /// longer round trips.
    fn spill_rejection(&self) -> Option<(ResultCode, Duration)> {
        if self.queue.is_empty() {
            return None;
        }
        let wait = self
            .estimate
            .wait(self.queue.len(), self.table.open_slots());
        Some((ResultCode::QueueFull, wait))
    }

    /// Returns the wait above which a standing queue counts as overload with this number of slots.
    /// With few slots, requests wait for several service times even at a load that the slots can
    /// carry.
    pub(crate) fn wait_target(&self, slots: u32) -> Duration {
        let normal_wait = self.estimate.wait(NORMAL_QUEUE_LENGTH, slots);
        self.settings.queue_target.max(normal_wait)
    }
}
