//! Ramps up a cold upstream step by step.
//!
//! A newly started upstream runs its first requests slowly (empty caches, code not yet compiled),
//! and the choice of the least used upstream would fill it at once. Its slots open evenly over the
//! ramp, the first one immediately. When most of a pool is cold, as after the loss of a zone,
//! limited slots would only turn the load into as many refusals. In that case the pool opens all
//! slots; see [`crate::slot_table`].

use std::time::Duration;
use std::time::Instant;

/// Ramp of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct WarmRamp {
    started: Option<Instant>,
}

impl WarmRamp {
    /// Creates a ramp that begins now.
    pub fn begin(now: Instant) -> Self {
        Self { started: Some(now) }
    }

    /// Returns whether the ramp has not ended.
    pub fn is_cold(&self) -> bool {
        self.started.is_some()
    }

    /// Returns how many of `slots` are open; at least one.
    pub fn allowed(&self, now: Instant, slots: u32, length: Duration) -> u32 {
        let Some(started) = self.started else {
            return slots;
        };
        let passed = now.saturating_duration_since(started).as_secs_f64();
        let share = passed / length.as_secs_f64().max(f64::MIN_POSITIVE);
        let open = (f64::from(slots) * share) as u32;
        open.clamp(1, slots.max(1)).min(slots)
    }

    /// Ends the ramp after `length`.
    pub fn tick(&mut self, now: Instant, length: Duration) {
        if self.started.is_some_and(|started| now >= started + length) {
            self.started = None;
        }
    }
}
