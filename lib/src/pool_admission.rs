//! Which asks a keeper lets wait, and which it denies at once.
//!
//! Load pattern: more asks arrive than slots become free. Without admission, callers wait for
//! answers that come too late. Denied are asks that could not finish in time, those that would make
//! a queue stand, and those of callers that already hold their share of it.

use std::time::Duration;
use std::time::Instant;

use crate::fair_queue::FairQueue;
use crate::fair_queue::PoolAsk;
use crate::result_code::ResultCode;
use crate::slot_pool::SlotPool;

/// Most asks that a pool queues for each slot it has open: a bound on memory, above what any
/// deadline lets wait at service times from 1/64 of it.
const QUEUE_PER_SLOT: usize = 64;
/// Jobs that wait at times although the load can be carried, whatever the number of slots: at 80 %
/// load, more than eight wait less than one time in ten both on 2 and on 10 slots (M/M/c).
const NATURAL_QUEUE: usize = 8;

/// Part of the target up to which a hot caller's jobs may wait while the queue stands, and multiple
/// of it up to which everyone else's may. The hot caller then keeps the queue no longer than its
/// part, and chance alone seldom takes the others beyond theirs.
const HOT_PART: u32 = 4;

/// Places that callers share evenly, as a multiple of those within the target: room for a burst,
/// but one caller's sudden flood, which its use of slots does not show yet, leaves others room.
const SHARED_TARGETS: u32 = 2;

impl SlotPool {
    /// Why an ask that would have to wait is refused, if it is, and how long it would wait.
    pub(crate) fn refusal(&self, now: Instant, ask: &PoolAsk) -> Option<(ResultCode, Duration)> {
        let (queue, slots) = match ask.upstream {
            Some(upstream) if !self.table.holds(upstream) => {
                return Some((ResultCode::NoUpstream, Duration::ZERO));
            }
            Some(upstream) => (self.pinned.get(&upstream), self.table.open_of(upstream)),
            None if ask.spill => return self.spill_refusal(),
            None => (Some(&self.queue), self.table.open_slots()),
        };
        let queued = queue.map_or(0, FairQueue::len);
        let wait = self.estimate.wait(queued, slots);
        let remaining = ask.deadline.saturating_duration_since(now);
        let Some(affordable) = self.estimate.affordable_wait(remaining) else {
            return Some((ResultCode::DeadlineTooShort, wait));
        };
        let target = self.target(slots);
        let is_hot = self.usage.is_hot(ask.caller);
        let target = match is_hot {
            true => target / HOT_PART,
            false if self.usage.has_hot() => target * HOT_PART,
            false => target,
        };
        let bound = queue.map_or(Duration::MAX, |queue| queue.standing().longest_wait(target));
        let bound = bound.min(affordable);
        if wait > bound || queued >= QUEUE_PER_SLOT * slots.max(1) as usize {
            let code = match is_hot {
                true => ResultCode::FairShareExceeded,
                false => ResultCode::QueueFull,
            };
            return Some((code, wait));
        }
        let places = self
            .estimate
            .places(self.target(slots) * SHARED_TARGETS, slots);
        let is_share_full = queue.is_some_and(|queue| queue.is_share_full(ask.caller, places));
        is_share_full.then_some((ResultCode::FairShareExceeded, wait))
    }

    /// Why another keeper is not lent a slot, now or as soon as one is free: the own zone's jobs
    /// wait as well. Trading slots between full zones costs both the longer trips.
    fn spill_refusal(&self) -> Option<(ResultCode, Duration)> {
        if self.queue.is_empty() {
            return None;
        }
        let wait = self
            .estimate
            .wait(self.queue.len(), self.table.open_slots());
        Some((ResultCode::QueueFull, wait))
    }

    /// Wait above which a queue that stands counts as overload, on `slots` slots. With few slots
    /// even a load that they can carry makes jobs wait for several service times.
    pub(crate) fn target(&self, slots: u32) -> Duration {
        let natural = self.estimate.wait(NATURAL_QUEUE, slots);
        self.settings.queue_target.max(natural)
    }
}
