//! A token bucket that limits the bytes per second of a host's control traffic.
//!
//! It is designed for a burst of changes, or a host that resynchronises, at the same time as a
//! drain that must come into force within seconds. Without the limit, control traffic would crowd
//! out callers' datagrams on expensive links; without classes, the drain would wait behind the
//! resynchronisation.

use std::time::Duration;
use std::time::Instant;

/// The class of a control message, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TrafficClass {
    /// Announcements; small, sent at a fixed rate and never held back.
    Announce,
    /// Drains and removals.
    Removal,
    /// Other changes.
    Change,
    /// Whole values for a host that was disconnected or differs.
    Repair,
}

impl TrafficClass {
    /// All classes, most urgent first.
    pub const ALL: [Self; 4] = [Self::Announce, Self::Removal, Self::Change, Self::Repair];

    /// Returns the share of the bucket that is reserved for more urgent classes.
    fn reserve(self) -> f64 {
        match self {
            Self::Announce | Self::Removal => 0.0,
            Self::Change => 0.25,
            Self::Repair => 0.5,
        }
    }
}

/// A token bucket with counters of the bytes sent by class.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    /// Bytes per second.
    rate: f64,
    /// Size of the bucket in bytes.
    burst: f64,
    tokens: f64,
    last_refill: Instant,
    sent: [u64; TrafficClass::ALL.len()],
    held_back: u64,
}

impl ByteBudget {
    /// Creates a full bucket of `burst` bytes that refills at `rate` bytes per second.
    pub fn new(now: Instant, rate: u32, burst: u32) -> Self {
        Self {
            rate: f64::from(rate),
            burst: f64::from(burst),
            tokens: f64::from(burst),
            last_refill: now,
            sent: [0; TrafficClass::ALL.len()],
            held_back: 0,
        }
    }

    /// Returns whether a message of this class may be sent now.
    ///
    /// The message may be larger than the remaining tokens, so that a large value is not blocked
    /// forever. The resulting debt is refilled before the next message, so that the rate holds over
    /// time.
    pub fn allows(&mut self, now: Instant, class: TrafficClass) -> bool {
        self.refill(now);
        let allowed = class == TrafficClass::Announce || self.tokens > self.burst * class.reserve();
        if !allowed {
            self.held_back += 1;
        }
        allowed
    }

    /// Removes the bytes of a sent message from the bucket.
    pub fn spend(&mut self, class: TrafficClass, bytes: usize) {
        self.tokens -= bytes as f64;
        self.sent[class as usize] += bytes as u64;
    }

    /// Bytes sent in a class since the start.
    pub fn sent(&self, class: TrafficClass) -> u64 {
        self.sent[class as usize]
    }

    /// Number of times that a message was held back.
    pub fn held_back(&self) -> u64 {
        self.held_back
    }

    fn refill(&mut self, now: Instant) {
        let elapsed: Duration = now.saturating_duration_since(self.last_refill);
        self.last_refill = self.last_refill.max(now);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.burst);
    }
}
