//! Slots that a keeper borrows from other keepers; see [`crate::spill_desk`] for the grounds.

use std::time::Duration;
use std::time::Instant;

use crate::ids::UpstreamId;
use crate::load_message::AskId;
use crate::load_message::GrantEnd;
use crate::slot_pool::GrantSource;
use crate::slot_pool::PoolReply;
use crate::slot_pool::SlotPool;
use crate::spill_desk::SlotLender;

/// Keepers asked as soon as one job waits longer than a trip costs: which of them has a free slot
/// is not known.
const FIRST_ASKED: usize = 2;

impl SlotPool {
    /// Takes a slot that another keeper lends; it goes back at once if nothing waits any more.
    pub fn borrow(
        &mut self,
        now: Instant,
        lender: SlotLender,
        upstream: UpstreamId,
        replies: &mut Vec<PoolReply>,
    ) {
        let was_open = self.spills.close(lender.ask);
        let waiting = match was_open {
            true => self.pop_own(now),
            false => None,
        };
        let Some(ask) = waiting else {
            let end = GrantEnd::Unused;
            replies.push(PoolReply::Return { lender, end });
            return;
        };
        let source = GrantSource::Lent(lender);
        self.grant(now, &ask, upstream, source, replies);
        self.adjust_spills(now, replies);
    }

    /// Learns that another keeper has no slot to lend.
    pub fn borrow_denied(&mut self, now: Instant, ask: AskId, retry_after: Duration) {
        self.spills.deny(now, ask, retry_after);
    }

    /// Asks other keepers for slots for those that would wait longer than fetching one costs, and
    /// takes the asks back when nothing waits.
    pub(crate) fn adjust_spills(&mut self, now: Instant, replies: &mut Vec<PoolReply>) {
        if self.queue.is_empty() {
            while let Some(lender) = self.spills.withdraw() {
                let end = GrantEnd::Unused;
                replies.push(PoolReply::Return { lender, end });
            }
        }
        let cost = self.settings.spill_cost;
        let soon_served = self.estimate.places(cost, self.table.open_slots());
        let excess = self.queue.len().saturating_sub(soon_served);
        let wanted = match excess {
            0 => 0,
            _ => excess.max(FIRST_ASKED),
        };
        while self.spills.open_count() < wanted {
            let Some(first) = self.queue.first() else {
                break;
            };
            let Some(lender) = self.spills.open(now) else {
                break;
            };
            replies.push(PoolReply::Spill {
                lender,
                caller: first.caller,
                since: first.since,
                deadline: first.deadline,
            });
        }
    }
}
