//! Decides whether a starting host takes its first state from a peer or lists the store.
//!
//! Hosts usually restart or are added one after another while others run. A peer sends its state in
//! milliseconds and without cost inside a zone, while a listing takes one or more store calls,
//! which every host of the fleet would make during an upgrade. A host therefore sends a hello to
//! its seeds first, with a short timeout, because no peer has a state if all hosts start at once.
//!
//! In that case hundreds of hosts list at once and share the store's link, so that all of them
//! finish as late as the last one. Most hosts whose listing would take longer than finding a peer
//! abandon it. A few go on and serve their state to the others, over the many links between hosts.
//! A host that finds no such peer lists the store again.

use std::net::Ipv4Addr;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

use crate::state::store_feed::ListProgress;

/// Time to wait for a reply to the hellos to the seed hosts before the store is listed.
const HELLO_TIMEOUT: Duration = Duration::from_millis(25);

/// Time to wait for a state requested from a peer before the store is listed.
const STATE_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum total wait for peers after the start.
const MAX_PEER_WAIT: Duration = Duration::from_millis(800);

/// Time after the head of a list response at which the listing's progress is checked.
const PROGRESS_CHECK_DELAY: Duration = Duration::from_millis(80);

/// Projected duration of a listing above which it is abandoned.
const MAX_LISTING_TIME: Duration = Duration::from_millis(700);

/// One in this many hosts never abandons its listing.
const LISTING_DIVISOR: u64 = 8;

/// Minimum time for which a host that abandoned its listing looks for a peer before it lists again.
const RELIST_DELAY: Duration = Duration::from_millis(600);

/// Upper bound of the jitter added to [`RELIST_DELAY`], derived from each host's address.
const MAX_RELIST_JITTER: Duration = Duration::from_millis(1000);

/// When to list the store, and whether to abandon a slow listing.
#[derive(Clone, Copy, Debug)]
pub struct StartPlan {
    /// Hash of the host's address.
    jitter_seed: u64,
    list_at: Option<Instant>,
    latest_list_at: Option<Instant>,
    /// Whether a listing was abandoned; a host does so only once.
    has_abandoned: bool,
}

impl StartPlan {
    /// The plan of the host with this IP address.
    pub fn new(own_address: Ipv4Addr) -> Self {
        Self {
            jitter_seed: xxh3_64(&own_address.octets()),
            list_at: None,
            latest_list_at: None,
            has_abandoned: false,
        }
    }

    /// The time until which the listing is deferred; `None` if it is due. `has_seeds` is whether
    /// there is a seed host to reply to a hello.
    pub fn list_deferred_until(&mut self, now: Instant, has_seeds: bool) -> Option<Instant> {
        let wait = if has_seeds {
            HELLO_TIMEOUT
        } else {
            Duration::ZERO
        };
        let list_at = *self.list_at.get_or_insert(now + wait);
        self.latest_list_at.get_or_insert(now + MAX_PEER_WAIT);
        Some(list_at).filter(|list_at| now < *list_at)
    }

    /// Time after the response head at which to check whether the listing is too slow; `None` if
    /// this host does not abandon it.
    pub fn progress_check_after(&self, has_seeds: bool) -> Option<Duration> {
        let may_abandon =
            has_seeds && !self.has_abandoned && !self.jitter_seed.is_multiple_of(LISTING_DIVISOR);
        may_abandon.then_some(PROGRESS_CHECK_DELAY)
    }

    /// Whether a listing would exceed `MAX_LISTING_TIME` at its present rate; false if its size
    /// is unknown.
    pub fn is_list_too_slow(progress: &ListProgress) -> bool {
        let Some(total) = progress.total else {
            return false;
        };
        let share = progress.received as f64 / total.max(1) as f64;
        share < progress.elapsed.as_secs_f64() / MAX_LISTING_TIME.as_secs_f64()
    }

    /// Records that the listing was abandoned.
    pub fn list_abandoned(&mut self, now: Instant) {
        self.has_abandoned = true;
        let share = (self.jitter_seed >> 32) as f64 / f64::from(u32::MAX);
        let latest_list_at = now + RELIST_DELAY + MAX_RELIST_JITTER.mul_f64(share.clamp(0.0, 1.0));
        self.list_at = Some(latest_list_at);
        self.latest_list_at = Some(latest_list_at);
    }

    /// Records that a state was requested from a peer, which defers the listing.
    pub fn state_requested(&mut self, now: Instant) {
        let timeout_at = now + STATE_TIMEOUT;
        let latest_list_at = self
            .latest_list_at
            .map_or(timeout_at, |latest_list_at| timeout_at.min(latest_list_at));
        self.list_at = Some(
            self.list_at
                .map_or(latest_list_at, |list_at| list_at.max(latest_list_at)),
        );
    }

    /// Records that a peer sent no state, which makes the listing due unless one was abandoned.
    pub fn state_refused(&mut self, now: Instant) {
        if !self.has_abandoned {
            self.list_at = Some(now);
        }
    }
}
