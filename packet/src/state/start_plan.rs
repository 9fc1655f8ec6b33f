//! Bootstrap of a host: whether it takes its first state from a peer or lists the store.
//!
//! Load pattern: hosts are restarted or added one after the other while others run. A peer hands its
//! state over in milliseconds and within the zone at no price; a list is a call of the store or more, and
//! with a change of the system a whole fleet makes it. So a host sends a hello first, and waits no longer than
//! its timeout: where all hosts start at once, nobody has a state to hand over.
//!
//! Then hundreds read the list at once and share the store's link, so that all of them have it as late as
//! the last. A host whose list would take longer than to find a peer leaves it to a few of them, and takes the state
//! from one of these; links between hosts are many. If none is found, it reads the list after all.

use std::net::Ipv4Addr;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

use crate::state::store_feed::ListProgress;

/// Timeout of a hello to the seed hosts before the store is listed instead.
const HELLO_TIMEOUT: Duration = Duration::from_millis(25);

/// Timeout of a state that was asked for before the store is listed instead.
const STATE_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait for peers after the start.
const MAX_PEER_WAIT: Duration = Duration::from_millis(800);

/// Time after which the progress of a listing is checked.
const PROGRESS_CHECK: Duration = Duration::from_millis(80);

/// Longest listing, at the speed seen, that is not abandoned.
const MAX_LISTING: Duration = Duration::from_millis(700);

/// Under contention, one host in this many goes on listing.
const LISTING_DIVISOR: u64 = 8;

/// How long the others look for a peer with a state before they list again, and the longest further time,
/// drawn for each host.
const CONTENTION_WAIT: Duration = Duration::from_millis(600);
const CONTENTION_SPREAD: Duration = Duration::from_millis(1000);

/// When and how to read the list.
#[derive(Clone, Copy, Debug)]
pub struct StartPlan {
    /// Drawn for each host.
    draw: u64,
    list_at: Option<Instant>,
    latest: Option<Instant>,
    /// It has left the list to others once.
    has_yielded: bool,
}

impl StartPlan {
    /// The plan of the host with this IP number.
    pub fn new(own: Ipv4Addr) -> Self {
        Self {
            draw: xxh3_64(&own.octets()),
            list_at: None,
            latest: None,
            has_yielded: false,
        }
    }

    /// Until when to leave the list alone; `None` if it is to be read now. `has_seeds` says whether any peer
    /// could answer a hello.
    pub fn waits_until(&mut self, now: Instant, has_seeds: bool) -> Option<Instant> {
        let wait = if has_seeds {
            HELLO_TIMEOUT
        } else {
            Duration::ZERO
        };
        let list_at = *self.list_at.get_or_insert(now + wait);
        self.latest.get_or_insert(now + MAX_PEER_WAIT);
        Some(list_at).filter(|list_at| now < *list_at)
    }

    /// When to look whether a list is crowded; `None` for a host that stays in any case.
    pub fn look_after(&self, has_seeds: bool) -> Option<Duration> {
        let yields = has_seeds && !self.has_yielded && !self.draw.is_multiple_of(LISTING_DIVISOR);
        yields.then_some(PROGRESS_CHECK)
    }

    /// Whether a list comes in so slowly that it is better left to others.
    pub fn is_crowded(progress: &ListProgress) -> bool {
        let Some(total) = progress.total else {
            return false;
        };
        let share = progress.received as f64 / total.max(1) as f64;
        share < progress.elapsed.as_secs_f64() / MAX_LISTING.as_secs_f64()
    }

    /// Records that the listing was abandoned.
    pub fn yielded(&mut self, now: Instant) {
        self.has_yielded = true;
        let share = (self.draw >> 32) as f64 / f64::from(u32::MAX);
        let latest = now + CONTENTION_WAIT + CONTENTION_SPREAD.mul_f64(share.clamp(0.0, 1.0));
        self.list_at = Some(latest);
        self.latest = Some(latest);
    }

    /// Records that a peer was asked for its state.
    pub fn asked(&mut self, now: Instant) {
        let later = now + STATE_TIMEOUT;
        let latest = self.latest.map_or(later, |latest| later.min(latest));
        self.list_at = Some(self.list_at.map_or(latest, |list_at| list_at.max(latest)));
    }

    /// Records that a peer gave no state.
    pub fn refused(&mut self, now: Instant) {
        if !self.has_yielded {
            self.list_at = Some(now);
        }
    }
}
