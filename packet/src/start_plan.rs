//! When a host that has just started reads the whole list from the store.
//!
//! Load pattern: hosts are restarted or added one after the other while others run. A peer hands its
//! state over in milliseconds and within the zone at no price; a list is a call of the store or more, and
//! with a change of the system a whole fleet makes it. So a host greets its peers first, and waits no longer
//! than a greeting takes: where all hosts start at once, nobody has a state to hand over.
//!
//! Then hundreds read the list at once and share the store's link, so that all of them have it as late as
//! the last. A host whose list would take longer than to find a peer leaves it to a few of them, and takes the state
//! from one of these; links between hosts are many. If none is found, it reads the list after all.

use std::net::Ipv4Addr;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

use crate::store_feed::ListProgress;

/// How long a host that starts waits for an answer to its greeting: three times what the way between
/// zones and back takes.
const GREETING_PATIENCE: Duration = Duration::from_millis(25);

/// How long it waits for a state that it has asked a peer for: 600 registrations over 20 Mbit/s, three times.
const STATE_PATIENCE: Duration = Duration::from_millis(300);

/// Longest time after its start in which it waits for peers.
const LONGEST_PATIENCE: Duration = Duration::from_millis(800);

/// When it is looked how fast the body of the list comes in; alone, a host has it by then.
const LOOK_AFTER: Duration = Duration::from_millis(80);

/// How long the whole body may take at that speed: what it takes otherwise to find a peer that has the state.
const LONGEST_LIST: Duration = Duration::from_millis(700);

/// Of the hosts that meet a crowd, one in this many stays in it.
const STAYS: u64 = 8;

/// How long the others look for a peer with a state before they read the list again, at least, and the
/// longest further time, drawn for each host.
const CROWD_PATIENCE: Duration = Duration::from_millis(600);
const CROWD_SPREAD: Duration = Duration::from_millis(1000);

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

    /// Until when to leave the list alone; `None` if it is to be read now. `greets` says whether any peer
    /// could answer a greeting.
    pub fn waits_until(&mut self, now: Instant, greets: bool) -> Option<Instant> {
        let patience = if greets {
            GREETING_PATIENCE
        } else {
            Duration::ZERO
        };
        let list_at = *self.list_at.get_or_insert(now + patience);
        self.latest.get_or_insert(now + LONGEST_PATIENCE);
        Some(list_at).filter(|list_at| now < *list_at)
    }

    /// When to look whether a list is crowded; `None` for a host that stays in any case.
    pub fn look_after(&self, greets: bool) -> Option<Duration> {
        let yields = greets && !self.has_yielded && !self.draw.is_multiple_of(STAYS);
        yields.then_some(LOOK_AFTER)
    }

    /// Whether a list comes in so slowly that it is better left to others.
    pub fn is_crowded(progress: &ListProgress) -> bool {
        let Some(total) = progress.total else {
            return false;
        };
        let share = progress.received as f64 / total.max(1) as f64;
        share < progress.elapsed.as_secs_f64() / LONGEST_LIST.as_secs_f64()
    }

    /// Learns that the list was left to others.
    pub fn yielded(&mut self, now: Instant) {
        self.has_yielded = true;
        let share = (self.draw >> 32) as f64 / f64::from(u32::MAX);
        let latest = now + CROWD_PATIENCE + CROWD_SPREAD.mul_f64(share.clamp(0.0, 1.0));
        self.list_at = Some(latest);
        self.latest = Some(latest);
    }

    /// Learns that a peer was asked for its state.
    pub fn asked(&mut self, now: Instant) {
        let later = now + STATE_PATIENCE;
        let latest = self.latest.map_or(later, |latest| later.min(latest));
        self.list_at = Some(self.list_at.map_or(latest, |list_at| list_at.max(latest)));
    }

    /// Learns that a peer that was asked has no state to give.
    pub fn refused(&mut self, now: Instant) {
        if !self.has_yielded {
            self.list_at = Some(now);
        }
    }
}
