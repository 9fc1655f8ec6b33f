//! Decides which host of the zone dispatches a service.
//!
//! The dispatchers of a zone are its hosts with the most capacity, and rendezvous hashing spreads services over
//! them. Hosts may disagree for some seconds: each dispatcher then counts a part of the requests, and no flow depends
//! on it.

use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use arrayvec::ArrayVec;

use crate::ids::ServiceTag;
use crate::peers::peer_table::PeerTable;

/// Queries without a reply, one after another, after which a dispatcher is skipped. One may be lost.
const MISSED_REPLIES: u32 = 3;

/// How long a dispatcher that does not reply is skipped.
const SKIP_TIME: Duration = Duration::from_secs(2);

/// Most dispatchers whose replies are watched.
const MOST_WATCHED: usize = 8;

/// A dispatcher that was asked.
#[derive(Clone, Copy, Debug)]
struct WatchedDispatcher {
    address: SocketAddrV4,
    /// Queries without a reply since the last reply.
    missed: u32,
    /// Until when it is not asked; `None` if it may be.
    skipped_until: Option<Instant>,
}

/// The replies of dispatchers, and who is skipped.
#[derive(Debug, Default)]
pub struct DispatcherChoice {
    /// Those that left queries without a reply.
    watched: ArrayVec<WatchedDispatcher, MOST_WATCHED>,
}

impl DispatcherChoice {
    /// The dispatcher of a service; this host itself if no other has more capacity.
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

    /// Records a reply.
    pub fn replied(&mut self, address: SocketAddrV4) {
        self.watched.retain(|watched| watched.address != address);
    }

    /// Records a query without a reply in time; true if the dispatcher is skipped from now.
    pub fn missed(&mut self, now: Instant, address: SocketAddrV4) -> bool {
        let is_over =
            |watched: &WatchedDispatcher| watched.skipped_until.is_some_and(|until| until <= now);
        self.watched
            .retain(|watched| watched.address == address || !is_over(watched));
        let known = self
            .watched
            .iter_mut()
            .find(|watched| watched.address == address);
        let Some(watched) = known else {
            let watched = WatchedDispatcher {
                address,
                missed: 1,
                skipped_until: None,
            };
            // The oldest one is most likely gone: a dispatcher that lives replies, and leaves the list.
            if self.watched.is_full() {
                self.watched.remove(0);
            }
            self.watched.push(watched);
            return false;
        };
        watched.missed += 1;
        if watched.missed < MISSED_REPLIES || watched.skipped_until.is_some_and(|until| now < until)
        {
            return false;
        }
        watched.skipped_until = Some(now + SKIP_TIME);
        true
    }

    fn is_skipped(&self, now: Instant, address: SocketAddrV4) -> bool {
        self.watched.iter().any(|watched| {
            watched.address == address && watched.skipped_until.is_some_and(|until| now < until)
        })
    }
}
