//! Asks that wait for a slot: in order of arrival, with a fair share of the places a caller.
//!
//! Load pattern: one caller sends ten times its share. In a plain queue its jobs would hold most
//! places and everyone would wait for them. Here a caller holds at most twice an even share of the
//! places that the queue has at present, so that a hot caller's further jobs are refused and
//! everyone else's find room. Order stays that of arrival: with start-time fair queueing,
//! newcomers overtake in an overload by many equal callers until most of those queued miss their deadline
//! (docs/design/dispatch.md).

use std::collections::BTreeMap;
use std::time::Instant;

use crate::ids::HostId;
use crate::ids::UpstreamId;
use crate::load_message::AskId;
use crate::load_message::CallerTag;
use crate::standing_queue::StandingQueue;

/// Multiple of an even share of the places that one caller may hold: room for chance.
const SHARE_MULTIPLE: usize = 2;
/// Places that any caller may hold, however many others wait.
const LEAST_SHARE: usize = 4;

/// Identity of an ask at a keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AskHolder {
    /// The host that asks.
    pub host: HostId,
    /// Its number for the ask.
    pub ask: AskId,
}

/// An ask as its keeper knows it.
#[derive(Clone, Debug)]
pub struct PoolAsk {
    /// Who asks.
    pub holder: AskHolder,
    /// The caller it is for.
    pub caller: CallerTag,
    /// The one upstream that will do, if not any.
    pub upstream: Option<UpstreamId>,
    /// When the job arrived.
    pub since: Instant,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Whether the asker is itself a keeper, whose own slots are all in use.
    pub spill: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    since: Instant,
    holder: AskHolder,
}

/// The asks that wait, oldest first.
#[derive(Debug, Default)]
pub struct FairQueue {
    asks: BTreeMap<QueueKey, PoolAsk>,
    keys: BTreeMap<AskHolder, QueueKey>,
    /// Asks in the queue by caller; no entry is zero.
    callers: BTreeMap<CallerTag, usize>,
    standing: StandingQueue,
}

impl FairQueue {
    /// Adds an ask.
    pub fn push(&mut self, ask: PoolAsk) {
        let key = QueueKey {
            since: ask.since,
            holder: ask.holder,
        };
        *self.callers.entry(ask.caller).or_default() += 1;
        self.keys.insert(ask.holder, key);
        self.asks.insert(key, ask);
    }

    /// The ask to be served next.
    pub fn first(&self) -> Option<&PoolAsk> {
        self.asks.values().next()
    }

    /// Takes the ask to be served next.
    pub fn pop(&mut self) -> Option<PoolAsk> {
        let (_key, ask) = self.asks.pop_first()?;
        self.keys.remove(&ask.holder);
        self.leave(ask.caller);
        Some(ask)
    }

    /// Whether the queue stands.
    pub fn standing(&self) -> &StandingQueue {
        &self.standing
    }

    /// Whether the queue stands, to be told of waits.
    pub fn standing_mut(&mut self) -> &mut StandingQueue {
        &mut self.standing
    }

    /// Removes an ask that is no longer wanted.
    pub fn remove(&mut self, holder: AskHolder) -> Option<PoolAsk> {
        let key = self.keys.remove(&holder)?;
        let ask = self.asks.remove(&key)?;
        self.leave(ask.caller);
        Some(ask)
    }

    /// Whether an ask waits here.
    pub fn contains(&self, holder: AskHolder) -> bool {
        self.keys.contains_key(&holder)
    }

    /// Whether a caller holds its whole share of `places`.
    pub fn is_share_full(&self, caller: CallerTag, places: usize) -> bool {
        let Some(held) = self.callers.get(&caller) else {
            return false;
        };
        let even = places / self.callers.len().max(1);
        *held >= (even * SHARE_MULTIPLE).max(LEAST_SHARE)
    }

    /// Asks that cannot be served in time any more, in the order of the queue.
    pub fn hopeless(&self, latest: Instant) -> Vec<AskHolder> {
        self.asks
            .values()
            .filter(|ask| ask.deadline <= latest)
            .map(|ask| ask.holder)
            .collect()
    }

    /// How many asks wait.
    pub fn len(&self) -> usize {
        self.asks.len()
    }

    /// Whether no ask waits.
    pub fn is_empty(&self) -> bool {
        self.asks.is_empty()
    }

    fn leave(&mut self, caller: CallerTag) {
        if let Some(held) = self.callers.get_mut(&caller) {
            *held -= 1;
            if *held == 0 {
                self.callers.remove(&caller);
            }
        }
    }
}
