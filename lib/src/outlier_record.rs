//! Temporarily ejects an upstream that loses requests.
//!
//! An upstream may be dead or unreachable while its published state and its health endpoint still
//! say otherwise. Every request sent there would be lost, and since lost requests free their slots,
//! the upstream would look idle and attract more. Consecutive losses count, so that one lost
//! datagram ejects no upstream, and each ejection lasts twice as long as the last one.
//! [`crate::slot_table`] bounds the number of ejected upstreams (panic threshold): when many seem
//! to fail, the fault is more likely at this host, and spreading the load is better than crowding
//! it onto the rest.

use std::time::Duration;
use std::time::Instant;

/// Maximum number of doublings of the first ejection's duration.
const MAX_DOUBLINGS: u32 = 5;

/// Recent losses and ejections of one upstream.
#[derive(Clone, Debug, Default)]
pub struct OutlierRecord {
    losses: u32,
    doublings: u32,
    /// When the upstream is tried again with one request.
    ejected_until: Option<Instant>,
}

impl OutlierRecord {
    /// Returns whether the upstream is ejected.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns whether the next loss ejects the upstream again at once.
    pub fn is_on_probation(&self) -> bool {
        self.doublings > 0 && self.ejected_until.is_none()
    }

    /// Records a whole response.
    pub fn answered(&mut self) {
        *self = Self::default();
    }

    /// Records a lost request; returns whether the upstream should be ejected now.
    pub fn lost(&mut self, limit: u32) -> bool {
        self.losses += 1;
        self.ejected_until.is_none() && (self.losses >= limit || self.is_on_probation())
    }

    /// Ejects the upstream.
    pub fn eject(&mut self, now: Instant, length: Duration) {
        let factor = 1 << self.doublings.min(MAX_DOUBLINGS);
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
