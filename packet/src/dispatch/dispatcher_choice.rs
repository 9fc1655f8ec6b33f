//! Selects the dispatcher of each service among the hosts of the zone.
//!
//! The hosts with the most capacity are dispatchers, and rendezvous hashing spreads the services
//! over them. Hosts may disagree for some seconds: each dispatcher then counts only a part of the
//! requests, which affects no open flow.

use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use arrayvec::ArrayVec;

use crate::ids::ServiceTag;
use crate::peers::peer_table::PeerTable;

/// Consecutive queries without a reply after which a dispatcher is skipped. A single datagram may
/// be lost.
const MAX_MISSED_REPLIES: u32 = 3;

/// How long a dispatcher that does not reply is skipped.
const SKIP_DURATION: Duration = Duration::from_secs(2);

/// Maximum number of dispatchers tracked.
const MAX_TRACKED: usize = 8;

/// A dispatcher that has left queries without a reply.
#[derive(Clone, Copy, Debug)]
struct UnresponsiveDispatcher {
    address: SocketAddrV4,
    /// Queries without a reply since the last reply.
    missed_replies: u32,
    /// End of the time during which no queries are sent to it; `None` if it is not skipped.
    skipped_until: Option<Instant>,
}

/// Selects dispatchers, and skips those that do not reply.
#[derive(Debug, Default)]
pub struct DispatcherChoice {
    /// The dispatchers that have left queries without a reply, oldest first.
    unresponsive: ArrayVec<UnresponsiveDispatcher, MAX_TRACKED>,
}

impl DispatcherChoice {
    /// Returns the dispatcher of a service. That is this host itself if no usable one has more
    /// capacity.
    pub fn choose(
        &self,
        now: Instant,
        peers: &PeerTable,
        own_capacity: u32,
        service: ServiceTag,
    ) -> SocketAddrV4 {
        let others = peers.local_candidates(now);
        let usable = others.filter(|(address, _capacity)| !self.is_skipped(now, *address));
        peers.largest_of(usable, own_capacity, u64::from(service))
    }

    /// Records a reply of a dispatcher.
    pub fn record_reply(&mut self, address: SocketAddrV4) {
        self.unresponsive.retain(|entry| entry.address != address);
    }

    /// Records that a query timed out. Returns true if the dispatcher is skipped from now on.
    pub fn record_timeout(&mut self, now: Instant, address: SocketAddrV4) -> bool {
        let is_expired =
            |entry: &UnresponsiveDispatcher| entry.skipped_until.is_some_and(|until| until <= now);
        self.unresponsive
            .retain(|entry| entry.address == address || !is_expired(entry));
        let tracked = self
            .unresponsive
            .iter_mut()
            .find(|entry| entry.address == address);
        let Some(entry) = tracked else {
            let entry = UnresponsiveDispatcher {
                address,
                missed_replies: 1,
                skipped_until: None,
            };
            // The oldest entry most likely belongs to a host that has left: a live dispatcher
            // replies and its entry is removed.
            if self.unresponsive.is_full() {
                self.unresponsive.remove(0);
            }
            self.unresponsive.push(entry);
            return false;
        };
        entry.missed_replies += 1;
        if entry.missed_replies < MAX_MISSED_REPLIES
            || entry.skipped_until.is_some_and(|until| now < until)
        {
            return false;
        }
        entry.skipped_until = Some(now + SKIP_DURATION);
        true
    }

    fn is_skipped(&self, now: Instant, address: SocketAddrV4) -> bool {
        self.unresponsive.iter().any(|entry| {
            entry.address == address && entry.skipped_until.is_some_and(|until| now < until)
        })
    }
}
