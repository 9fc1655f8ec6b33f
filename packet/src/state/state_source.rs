//! Whom a host asks for the published state that it is missing, and how long it waits before.

use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::flow_hash::rendezvous_weight;

use crate::peers::peer_table::PeerTable;
use crate::state::state_snapshot::StateQuery;

/// How long a host that lists the store waits for the end before it asks a peer as well.
const LIST_TIMEOUT: Duration = Duration::from_millis(1000);

/// How long a peer may be ahead before a store watcher asks it for the difference. Longer than its pause
/// between two watches.
const WATCHER_TIMEOUT: Duration = Duration::from_millis(700);

/// The same for a host that gets changes from its zone's watcher.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Shortest interval of requests for state.
const REQUEST_INTERVAL: Duration = Duration::from_millis(400);

/// How long a peer that gave no state is not asked again.
const SOURCE_BACKOFF: Duration = Duration::from_secs(3);

/// The same for a peer that is busy.
const BUSY_BACKOFF: Duration = Duration::from_millis(150);

/// Where a host has its knowledge from at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadState {
    /// It knows nothing, and the store has not answered.
    Empty,
    /// It knows nothing yet, and the store is answering.
    Listing,
    /// It reads the store for its zone.
    Reading,
    /// Another host of its zone does.
    Following,
}

impl ReadState {
    /// How long a peer may be ahead before this host asks it for the difference.
    fn timeout(self) -> Duration {
        match self {
            Self::Empty => Duration::ZERO,
            Self::Listing => LIST_TIMEOUT,
            Self::Reading => WATCHER_TIMEOUT,
            Self::Following => FOLLOWER_TIMEOUT,
        }
    }
}

/// Since when a host waits to ask.
#[derive(Debug, Default)]
pub(crate) struct SourceWait {
    /// Since when some peer has been ahead of this host.
    behind_since: Option<Instant>,
    next_ask: Option<Instant>,
}

impl PeerTable {
    /// The peer to ask for what this host is missing, of those that did not just fail to tell it: the one
    /// that knows most, of equals one of the own zone, and then another for each host, so that they do not
    /// all ask one. A host without a state asks its own zone first, whoever knows more: a whole state
    /// from another zone crosses a costly link, and the rest follows as a difference. How long a host
    /// first waits to learn the same otherwise depends on `state`.
    pub fn source(
        &mut self,
        now: Instant,
        held: &StateQuery,
        state: ReadState,
    ) -> Option<SocketAddrV4> {
        let own_key = address_key(self.own);
        let best = self
            .alive(now)
            .filter(|(_address, peer)| peer.is_ahead_of(held) && peer.may_be_asked(now))
            .max_by_key(|(address, peer)| {
                let weight = rendezvous_weight(own_key, address_key(*address));
                let is_local = peer.zone == self.zone;
                let is_preferred = is_local && state == ReadState::Empty;
                (is_preferred, peer.through, is_local, weight)
            })
            .map(|(address, _peer)| address);
        let Some(best) = best else {
            self.wait.behind_since = None;
            return None;
        };
        let since = *self.wait.behind_since.get_or_insert(now);
        let waits = now.saturating_duration_since(since) < state.timeout();
        if waits || self.wait.next_ask.is_some_and(|next| now < next) {
            return None;
        }
        self.wait.next_ask = Some(now + REQUEST_INTERVAL);
        Some(best)
    }

    /// Records that a peer gave no state; another may be asked at once.
    pub fn source_failed(&mut self, now: Instant, peer: SocketAddrV4, busy: bool) {
        let pause = if busy { BUSY_BACKOFF } else { SOURCE_BACKOFF };
        if let Some(record) = self.peers.get_mut(&peer) {
            record.no_source_until = Some(now + pause);
        }
        self.wait.next_ask = None;
    }
}

/// What rendezvous weights of hosts are made of.
pub fn address_key(address: SocketAddrV4) -> u64 {
    u64::from(u32::from(*address.ip()))
}
