//! Takes an upstream that loses jobs out of use for a while.
//!
//! Load pattern: an upstream that is dead or cut off, while its published state and its health
//! endpoint still say otherwise. Without it every job sent there is lost, and because lost jobs
//! free their slots it looks idle and attracts more. Losses in a row count, so that one lost
//! datagram ejects nobody; each ejection is twice as long as the last. The bound on how many may
//! be out at once (panic threshold) stands in [`crate::slot_pool`]: when many seem to fail, the
//! fault is more likely on this side, and spreading the load beats crowding it on the rest.

use std::time::Duration;
use std::time::Instant;

/// Doublings of the first ejection's length, at most.
const MOST_DOUBLINGS: u32 = 5;

/// What one upstream has done wrong of late.
#[derive(Clone, Debug, Default)]
pub struct OutlierRecord {
    losses: u32,
    doublings: u32,
    /// When it is tried again, with one job.
    ejected_until: Option<Instant>,
}

impl OutlierRecord {
    /// Whether it is out of use.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether the next loss ejects it again at once.
    pub fn is_on_probation(&self) -> bool {
        self.doublings > 0 && self.ejected_until.is_none()
    }

    /// Learns of a whole answer.
    pub fn answered(&mut self) {
        *self = Self::default();
    }

    /// Learns of a lost job; true if the upstream should be ejected now.
    pub fn lost(&mut self, limit: u32) -> bool {
        self.losses += 1;
        self.ejected_until.is_none() && (self.losses >= limit || self.is_on_probation())
    }

    /// Ejects it.
    pub fn eject(&mut self, now: Instant, length: Duration) {
        let factor = 1 << self.doublings.min(MOST_DOUBLINGS);
        self.ejected_until = Some(now + length * factor);
        self.doublings += 1;
        self.losses = 0;
    }

    /// Ends an ejection whose time is over.
    pub fn tick(&mut self, now: Instant) {
        if self.ejected_until.is_some_and(|until| until <= now) {
            self.ejected_until = None;
        }
    }
}
