//! The bytes a second that a host may send for control, enforced by a token bucket.
//!
//! Load pattern: a burst of changes, or a host that resynchronises, beside a drain that must be in
//! force within seconds. Without the budget control traffic crowds out callers' datagrams on
//! costly links; without priorities the drain waits behind the resynchronisation.

use std::time::Duration;
use std::time::Instant;

/// What a message is for, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TrafficClass {
    /// Announcements; small, at a fixed rate, and never held back.
    Announce,
    /// Drains and removals.
    Removal,
    /// Other changes.
    Change,
    /// Whole values for a host that was away or differs.
    Repair,
}

impl TrafficClass {
    /// Every class, most urgent first.
    pub const ALL: [Self; 4] = [Self::Announce, Self::Removal, Self::Change, Self::Repair];

    /// The share of the bucket that a class leaves to more urgent ones.
    fn reserve(self) -> f64 {
        match self {
            Self::Announce | Self::Removal => 0.0,
            Self::Change => 0.25,
            Self::Repair => 0.5,
        }
    }
}

/// A token bucket, and what was sent from it.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    /// Bytes a second.
    rate: f64,
    /// Most bytes that are saved up; also the depth of debt that announcements may leave.
    burst: f64,
    tokens: f64,
    refilled: Instant,
    sent: [u64; TrafficClass::ALL.len()],
    held_back: u64,
}

impl ByteBudget {
    /// A full bucket that refills with `rate` bytes a second and saves up `burst`.
    pub fn new(now: Instant, rate: u32, burst: u32) -> Self {
        Self {
            rate: f64::from(rate),
            burst: f64::from(burst),
            tokens: f64::from(burst),
            refilled: now,
            sent: [0; TrafficClass::ALL.len()],
            held_back: 0,
        }
    }

    /// Whether a message of this class may be sent now.
    ///
    /// The message may be larger than what is left: the debt is paid before the next one, so that
    /// the rate holds over time and a large value is not stuck for ever.
    pub fn allows(&mut self, now: Instant, class: TrafficClass) -> bool {
        self.refill(now);
        let allowed = class == TrafficClass::Announce || self.tokens > self.burst * class.reserve();
        if !allowed {
            self.held_back += 1;
        }
        allowed
    }

    /// Takes the bytes of a message that is sent.
    pub fn spend(&mut self, class: TrafficClass, bytes: usize) {
        self.tokens -= bytes as f64;
        self.sent[class as usize] += bytes as u64;
    }

    /// Bytes sent of a class since the start.
    pub fn sent(&self, class: TrafficClass) -> u64 {
        self.sent[class as usize]
    }

    /// How often a message had to wait.
    pub fn held_back(&self) -> u64 {
        self.held_back
    }

    fn refill(&mut self, now: Instant) {
        let passed: Duration = now.saturating_duration_since(self.refilled);
        self.refilled = self.refilled.max(now);
        self.tokens = (self.tokens + passed.as_secs_f64() * self.rate).min(self.burst);
    }
}
