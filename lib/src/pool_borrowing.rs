//! Borrowing of slots from other allocators; see [`crate::spill_requests`] for the reasons.

use std::time::Duration;
use std::time::Instant;

use crate::ids::UpstreamId;
use crate::load_message::GrantOutcome;
use crate::load_message::SlotRequestId;
use crate::slot_pool::GrantSource;
use crate::slot_pool::PoolReply;
use crate::slot_pool::SlotPool;
use crate::spill_requests::SpillKey;

/// Minimum number of spill requests once one request would wait longer than `spill_cost`, because
/// it is unknown which allocator has a free slot.
const MIN_SPILL_REQUESTS: usize = 2;

impl SlotPool {
    /// Accepts a slot lent by another allocator. The slot is returned at once if no request waits
    /// for it any more.
    pub fn borrow(
        &mut self,
        now: Instant,
        spill_key: SpillKey,
        upstream: UpstreamId,
        replies: &mut Vec<PoolReply>,
    ) {
        let was_open = self.spill_requests.close(spill_key.slot_request);
        let next = match was_open {
            true => self.pop_local(now),
            false => None,
        };
        let Some(request) = next else {
            let outcome = GrantOutcome::Unused;
            replies.push(PoolReply::Return { spill_key, outcome });
            return;
        };
        let source = GrantSource::Lent(spill_key);
        self.grant(now, &request, upstream, source, replies);
        self.adjust_spill_requests(now, replies);
    }

    /// Records that another allocator has no slot to lend.
    pub fn borrow_denied(
        &mut self,
        now: Instant,
        slot_request: SlotRequestId,
        retry_after: Duration,
    ) {
        self.spill_requests.deny(now, slot_request, retry_after);
    }

    /// Sends spill requests for queued requests that would wait longer than `spill_cost`, and
    /// withdraws them when the queue is empty.
    pub(crate) fn adjust_spill_requests(&mut self, now: Instant, replies: &mut Vec<PoolReply>) {
        if self.queue.is_empty() {
            while let Some(spill_key) = self.spill_requests.withdraw() {
                let outcome = GrantOutcome::Unused;
                replies.push(PoolReply::Return { spill_key, outcome });
            }
        }
        let cost = self.settings.spill_cost;
        let served_in_time = self.estimate.places(cost, self.table.open_slots());
        let excess = self.queue.len().saturating_sub(served_in_time);
        let wanted = match excess {
            0 => 0,
            _ => excess.max(MIN_SPILL_REQUESTS),
        };
        while self.spill_requests.open_count() < wanted {
            let Some(first) = self.queue.first() else {
                break;
            };
            let Some(spill_key) = self.spill_requests.open(now) else {
                break;
            };
            replies.push(PoolReply::Spill {
                spill_key,
                caller: first.caller,
                since: first.since,
                deadline: first.deadline,
            });
        }
    }
}
