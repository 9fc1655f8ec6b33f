//! Brings a cold upstream into use step by step.
//!
//! Load pattern: an upstream that has just started runs its first jobs slowly (empty caches, code
//! not yet compiled). Without it, least used first would fill the newcomer at once. Its slots open
//! evenly over the ramp, the first at once. When most of a pool is cold, as after the loss of a
//! zone, holding slots back would only move the load to as many refusals, so the pool then opens
//! all slots; see [`crate::slot_pool`].

use std::time::Duration;
use std::time::Instant;

/// The ramp of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct WarmRamp {
    started: Option<Instant>,
}

impl WarmRamp {
    /// A ramp that begins now.
    pub fn begin(now: Instant) -> Self {
        Self { started: Some(now) }
    }

    /// Whether some slots are still held back.
    pub fn is_cold(&self) -> bool {
        self.started.is_some()
    }

    /// How many of `slots` are open; at least one.
    pub fn allowed(&self, now: Instant, slots: u32, length: Duration) -> u32 {
        let Some(started) = self.started else {
            return slots;
        };
        let passed = now.saturating_duration_since(started).as_secs_f64();
        let share = passed / length.as_secs_f64().max(f64::MIN_POSITIVE);
        let open = (f64::from(slots) * share) as u32;
        open.clamp(1, slots.max(1)).min(slots)
    }

    /// Ends the ramp when its time is over.
    pub fn tick(&mut self, now: Instant, length: Duration) {
        if self.started.is_some_and(|started| now >= started + length) {
            self.started = None;
        }
    }
}
