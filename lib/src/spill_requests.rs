//! Slot requests from an allocator whose slots are all in use to other allocators.
//!
//! Without these spill requests, callers of a full zone would wait while another zone has idle
//! slots. The cost is three trips between zones, to fetch, to use and to return the slot, during
//! which the slot is idle. Therefore a request goes to another zone only when no slot of the own
//! zone is free and the estimated wait exceeds `spill_cost`, and an allocator lends slots only
//! while none of its own requests waits.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::HostId;
use crate::load_message::SlotRequestId;

/// Maximum number of open spill requests at one other allocator; more could not be used before the
/// next message.
const MAX_PER_PEER: usize = 2;
/// Time after which a spill request without a reply is dropped, because a message was lost.
const SPILL_TIMEOUT: Duration = Duration::from_millis(500);
/// First number of spill requests, which distinguishes them from a host's own slot requests.
pub const FIRST_SPILL_ID: SlotRequestId = 1 << 31;

/// Identifies a spill request and the slot lent for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SpillKey {
    /// Allocator that the spill request was sent to.
    pub allocator: HostId,
    /// Number of the spill request.
    pub slot_request: SlotRequestId,
}

#[derive(Clone, Copy, Debug)]
struct OpenSpill {
    allocator: HostId,
    expires_at: Instant,
}

/// Open spill requests of one pool.
#[derive(Debug, Default)]
pub struct SpillRequests {
    peers: Vec<HostId>,
    open: BTreeMap<SlotRequestId, OpenSpill>,
    /// Allocators that denied a slot, with the time from which they may be tried again.
    denied_until: BTreeMap<HostId, Instant>,
    next: SlotRequestId,
}

impl SpillRequests {
    /// Replaces the allocators that slots may be requested from, in order of preference.
    pub fn configure(&mut self, peers: Vec<HostId>) {
        self.denied_until
            .retain(|peer, _until| peers.contains(peer));
        self.peers = peers;
    }

    /// Returns the number of open spill requests.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Opens a spill request at the allocator with the fewest. Returns `None` if none may be tried.
    pub fn open(&mut self, now: Instant) -> Option<SpillKey> {
        let allocator = self.least_loaded_peer(now)?;
        let slot_request = FIRST_SPILL_ID | self.next;
        self.next = (self.next + 1) % FIRST_SPILL_ID;
        let expires_at = now + SPILL_TIMEOUT;
        self.open.insert(
            slot_request,
            OpenSpill {
                allocator,
                expires_at,
            },
        );
        Some(SpillKey {
            allocator,
            slot_request,
        })
    }

    /// Closes a spill request that was granted; returns whether it was open.
    pub fn close(&mut self, slot_request: SlotRequestId) -> bool {
        self.open.remove(&slot_request).is_some()
    }

    /// Closes a spill request that was denied.
    pub fn deny(&mut self, now: Instant, slot_request: SlotRequestId, retry_after: Duration) {
        if let Some(spill) = self.open.remove(&slot_request) {
            self.denied_until.insert(spill.allocator, now + retry_after);
        }
    }

    /// Withdraws the last spill request, because fewer requests wait than slots were requested.
    pub fn withdraw(&mut self) -> Option<SpillKey> {
        let (slot_request, spill) = self.open.pop_last()?;
        let allocator = spill.allocator;
        Some(SpillKey {
            allocator,
            slot_request,
        })
    }

    /// Drops spill requests that timed out and returns them, so that they can be released.
    pub fn tick(&mut self, now: Instant) -> Vec<SpillKey> {
        self.denied_until.retain(|_peer, until| now < *until);
        let overdue = self
            .open
            .iter()
            .filter(|(_slot_request, spill)| spill.expires_at <= now);
        let spill_keys: Vec<SpillKey> = overdue
            .map(|(slot_request, spill)| SpillKey {
                allocator: spill.allocator,
                slot_request: *slot_request,
            })
            .collect();
        for spill_key in &spill_keys {
            self.open.remove(&spill_key.slot_request);
        }
        spill_keys
    }

    fn least_loaded_peer(&self, now: Instant) -> Option<HostId> {
        let open_at = |peer: HostId| {
            let open = self.open.values();
            open.filter(|spill| spill.allocator == peer).count()
        };
        let is_denied = |peer: &HostId| {
            self.denied_until
                .get(peer)
                .is_some_and(|until| now < *until)
        };
        let peers = self.peers.iter().copied().filter(|peer| !is_denied(peer));
        peers
            .map(|peer| (open_at(peer), peer))
            .filter(|(open_at, _peer)| *open_at < MAX_PER_PEER)
            .min_by_key(|(open_at, _peer)| *open_at)
            .map(|(_open_count, peer)| peer)
    }
}
