//! What a keeper whose slots are all in use asks of other keepers.
//!
//! Load pattern: by chance or by fault, one zone is full while another has free slots. Without
//! spilling, callers of the one zone wait beside idle upstreams. The cost is a trip between zones
//! to fetch the slot, one to use it and one to give it back, during which it stands idle; so a job
//! goes to another zone only when none of the own slots is free, and a keeper lets its own zone's
//! jobs go first unless the other's has waited longer by about that cost.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::HostId;
use crate::load_message::AskId;

/// Asks that wait at one other keeper, at most: more could not be used before the next message.
const MOST_PER_PEER: usize = 2;
/// Asks that wait without a word are forgotten after this; the message was lost.
const SPILL_LENGTH: Duration = Duration::from_millis(500);
/// Spilled asks are numbered from here, so that a host's own asks are told apart.
pub const FIRST_SPILL: AskId = 1 << 31;

/// A slot of another keeper, lent for one job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlotLender {
    /// The keeper that lent it.
    pub keeper: HostId,
    /// The ask that it was lent for.
    pub ask: AskId,
}

#[derive(Clone, Copy, Debug)]
struct OpenSpill {
    keeper: HostId,
    forget_at: Instant,
}

/// The spilled asks of one pool.
#[derive(Debug, Default)]
pub struct SpillDesk {
    peers: Vec<HostId>,
    open: BTreeMap<AskId, OpenSpill>,
    /// Peers that denied a slot, with the time from which they may be asked again.
    shut: BTreeMap<HostId, Instant>,
    next: AskId,
}

impl SpillDesk {
    /// Replaces the keepers that may be asked, the preferred first.
    pub fn configure(&mut self, peers: Vec<HostId>) {
        self.shut.retain(|peer, _until| peers.contains(peer));
        self.peers = peers;
    }

    /// How many asks wait elsewhere.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Notes one ask more, or nothing if no keeper may be asked.
    pub fn open(&mut self, now: Instant) -> Option<SlotLender> {
        let keeper = self.least_asked(now)?;
        let ask = FIRST_SPILL | self.next;
        self.next = (self.next + 1) % FIRST_SPILL;
        let forget_at = now + SPILL_LENGTH;
        self.open.insert(ask, OpenSpill { keeper, forget_at });
        Some(SlotLender { keeper, ask })
    }

    /// Ends an ask that was answered; true if it was still open.
    pub fn close(&mut self, ask: AskId) -> bool {
        self.open.remove(&ask).is_some()
    }

    /// Ends an ask that was denied.
    pub fn deny(&mut self, now: Instant, ask: AskId, retry_after: Duration) {
        if let Some(spill) = self.open.remove(&ask) {
            self.shut.insert(spill.keeper, now + retry_after);
        }
    }

    /// Takes back the ask made last, because less waits than was asked for.
    pub fn withdraw(&mut self) -> Option<SlotLender> {
        let (ask, spill) = self.open.pop_last()?;
        let keeper = spill.keeper;
        Some(SlotLender { keeper, ask })
    }

    /// Forgets asks of which nothing was heard for long; returned so that they can be released.
    pub fn tick(&mut self, now: Instant) -> Vec<SlotLender> {
        self.shut.retain(|_peer, until| now < *until);
        let overdue = self
            .open
            .iter()
            .filter(|(_ask, spill)| spill.forget_at <= now);
        let lenders: Vec<SlotLender> = overdue
            .map(|(ask, spill)| SlotLender {
                keeper: spill.keeper,
                ask: *ask,
            })
            .collect();
        for lender in &lenders {
            self.open.remove(&lender.ask);
        }
        lenders
    }

    fn least_asked(&self, now: Instant) -> Option<HostId> {
        let asked = |peer: HostId| {
            let open = self.open.values();
            open.filter(|spill| spill.keeper == peer).count()
        };
        let is_shut = |peer: &HostId| self.shut.get(peer).is_some_and(|until| now < *until);
        let peers = self.peers.iter().copied().filter(|peer| !is_shut(peer));
        peers
            .map(|peer| (asked(peer), peer))
            .filter(|(asked, _peer)| *asked < MOST_PER_PEER)
            .min_by_key(|(asked, _peer)| *asked)
            .map(|(_asked, peer)| peer)
    }
}
