//! Chooses the peer from which a host requests state that it is missing, and when.

use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::flow_hash::rendezvous_weight;

use crate::peers::peer_table::PeerTable;
use crate::state::state_snapshot::StateQuery;

/// Time for which a host lists the store before it also requests the state from a peer.
const LIST_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time for which a peer may be ahead before a reader requests a delta from it. It is longer than a
/// reader's pause between two watches.
const READER_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which a peer may be ahead before a host that follows its zone's reader requests a
/// delta.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Minimum interval between two requests for state.
const REQUEST_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which no state is requested from a peer that failed to send one.
const SOURCE_BACKOFF: Duration = Duration::from_secs(3);

/// Time for which no state is requested from a peer that was busy.
const BUSY_BACKOFF: Duration = Duration::from_millis(150);

/// How a host currently obtains the published state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncState {
    /// It has no state, and the store has not responded.
    Empty,
    /// It has no state yet, and the store has begun to respond.
    Listing,
    /// It reads the store for its zone.
    Reading,
    /// Another host of its zone reads the store.
    Following,
}

impl SyncState {
    /// Time for which a peer may be ahead before this host requests state from it.
    fn max_lag(self) -> Duration {
        match self {
            Self::Empty => Duration::ZERO,
            Self::Listing => LIST_TIMEOUT,
            Self::Reading => READER_TIMEOUT,
            Self::Following => FOLLOWER_TIMEOUT,
        }
    }
}

/// Times that determine when the next request for state is sent.
#[derive(Debug, Default)]
pub(crate) struct SourceRequests {
    /// Time since which some peer has been ahead of this host.
    behind_since: Option<Instant>,
    next_request: Option<Instant>,
}

impl PeerTable {
    /// The peer from which to request missing state now; `None` if no request is due.
    ///
    /// Peers that recently failed to send a state are skipped. The most advanced peer is chosen,
    /// then one of the own zone, then by rendezvous weight, so that hosts do not all query the same
    /// peer. A host without a state prefers its own zone even if others are ahead: a whole state
    /// from another zone crosses a costly link, and the rest follows as a delta. `state` determines
    /// how long the host waits for its usual source first.
    pub fn state_source(
        &mut self,
        now: Instant,
        held: &StateQuery,
        state: SyncState,
    ) -> Option<SocketAddrV4> {
        let own_key = address_key(self.own);
        let source = self
            .live_peers(now)
            .filter(|(_address, peer)| peer.is_ahead_of(held) && peer.may_serve_state(now))
            .max_by_key(|(address, peer)| {
                let weight = rendezvous_weight(own_key, address_key(*address));
                let is_local = peer.zone == self.zone;
                let is_preferred = is_local && state == SyncState::Empty;
                (is_preferred, peer.through, is_local, weight)
            })
            .map(|(address, _peer)| address);
        let Some(source) = source else {
            self.source_requests.behind_since = None;
            return None;
        };
        let behind_since = *self.source_requests.behind_since.get_or_insert(now);
        let is_waiting = now.saturating_duration_since(behind_since) < state.max_lag();
        if is_waiting
            || self
                .source_requests
                .next_request
                .is_some_and(|next| now < next)
        {
            return None;
        }
        self.source_requests.next_request = Some(now + REQUEST_INTERVAL);
        Some(source)
    }

    /// Records that a peer sent no state; a request to another one is due at once.
    pub fn source_failed(&mut self, now: Instant, peer: SocketAddrV4, busy: bool) {
        let pause = if busy { BUSY_BACKOFF } else { SOURCE_BACKOFF };
        if let Some(record) = self.peers.get_mut(&peer) {
            record.source_backoff_until = Some(now + pause);
        }
        self.source_requests.next_request = None;
    }
}

/// The key of a host in rendezvous hashing, from its IP address without the port.
pub fn address_key(address: SocketAddrV4) -> u64 {
    u64::from(u32::from(*address.ip()))
}
