//! When a host that has just started reads the whole list from the store.
//!
//! Load pattern: hosts are restarted or added one after the other while others run. A peer hands its
//! state over in milliseconds and within the zone at no price; a list is a call of the store or more, and
//! with a change of the system a whole fleet makes it. Where all hosts start at once nobody has a state to
//! hand over, so that a host waits no longer than a greeting takes before it reads the list itself.

use std::time::Duration;
use std::time::Instant;

/// How long a host that starts waits for an answer to its greeting: three times what the way between
/// zones and back takes.
const GREETING_PATIENCE: Duration = Duration::from_millis(25);

/// How long it waits for a state that it has asked a peer for: 600 registrations over 20 Mbit/s, three times.
const STATE_PATIENCE: Duration = Duration::from_millis(300);

/// Longest time after its start in which it waits for peers.
const LONGEST_PATIENCE: Duration = Duration::from_millis(800);

/// When to read the list.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartPlan {
    list_at: Option<Instant>,
    latest: Option<Instant>,
}

impl StartPlan {
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

    /// Learns that a peer was asked for its state.
    pub fn asked(&mut self, now: Instant) {
        let later = now + STATE_PATIENCE;
        self.list_at = Some(self.latest.map_or(later, |latest| later.min(latest)));
    }

    /// Learns that a peer that was asked has no state to give.
    pub fn refused(&mut self, now: Instant) {
        self.list_at = Some(now);
    }
}
