//! Recent usage of a service's slots by caller.
//!
//! When one caller of a full service sends ten times its share, or requests that take fifty times
//! as long, its places in the queue do not distinguish it: like any other caller it always has a
//! request in the queue, and refusals hit all callers alike. With 19 callers of 4 % each and one of
//! 40 %, 11 % of the ordinary callers' requests were refused. The time for which its requests hold
//! slots distinguishes a hot caller, whether its requests are many or long.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::load_message::CallerTag;

/// Maximum number of callers kept; a further caller does not count as hot.
const MAX_CALLERS: usize = 4_096;
/// Time constant of the decay: long enough for several requests of an ordinary caller, short enough
/// that a formerly hot caller is admitted normally again within a minute.
const DECAY_TIME: Duration = Duration::from_secs(10);
/// Multiple of an even share above which a caller is hot. With a factor of 2, random variation made
/// some of 100 equal callers hot at almost any time.
const HOT_FACTOR: f64 = 3.0;
/// Fraction of the total usage above which a caller is hot when there are so few callers that none
/// could reach `HOT_FACTOR`.
const HOT_FRACTION: f64 = 0.6;
/// Fraction of an even share below which a caller is dropped.
const FORGET_FRACTION: f64 = 0.02;
/// Number of time constants after which weights are scaled back, far below the range of `f64`.
const REBASE_AFTER: f64 = 20.0;

/// Usage by caller, in seconds with weights that grow over time (see [`crate::slot_table`]).
#[derive(Debug, Default)]
pub struct CallerUsage {
    callers: HashMap<CallerTag, f64>,
    total: f64,
    weight_origin: Option<Instant>,
    /// Whether any caller was hot at the last sweep.
    has_hot: bool,
}

impl CallerUsage {
    /// Records that a caller's request held a slot.
    pub fn learn(&mut self, now: Instant, caller: CallerTag, held: Duration) {
        let is_known = self.callers.contains_key(&caller);
        if !is_known && self.callers.len() >= MAX_CALLERS {
            return;
        }
        let use_now = held.as_secs_f64() * self.elapsed_time_constants(now).exp();
        *self.callers.entry(caller).or_default() += use_now;
        self.total += use_now;
    }

    /// Returns whether a caller used much more than an even share.
    pub fn is_hot(&self, caller: CallerTag) -> bool {
        let Some(used) = self.callers.get(&caller) else {
            return false;
        };
        *used > self.hot_threshold()
    }

    /// Returns the number of callers kept.
    pub fn callers(&self) -> usize {
        self.callers.len()
    }

    /// Returns whether any caller used much more than an even share at the last sweep.
    pub fn has_hot(&self) -> bool {
        self.has_hot
    }

    /// Drops callers without recent usage; called periodically.
    pub fn sweep(&mut self, now: Instant) {
        let min_use = self.even_share() * FORGET_FRACTION;
        self.callers.retain(|_caller, used| *used >= min_use);
        let scale = match self.elapsed_time_constants(now) {
            passed if passed < REBASE_AFTER => 1.0,
            passed => (-passed).exp(),
        };
        if scale < 1.0 {
            self.weight_origin = Some(now);
        }
        for used in self.callers.values_mut() {
            *used *= scale;
        }
        self.total = self.callers.values().sum();
        let threshold = self.hot_threshold();
        self.has_hot = self.callers.values().any(|used| *used > threshold);
    }

    fn hot_threshold(&self) -> f64 {
        let multiple = HOT_FACTOR * self.even_share();
        match self.callers.len() {
            0 | 1 => f64::INFINITY,
            _ => multiple.min(HOT_FRACTION * self.total),
        }
    }

    fn even_share(&self) -> f64 {
        self.total / self.callers.len().max(1) as f64
    }

    fn elapsed_time_constants(&mut self, now: Instant) -> f64 {
        let origin = *self.weight_origin.get_or_insert(now);
        let passed = now.saturating_duration_since(origin);
        passed.as_secs_f64() / DECAY_TIME.as_secs_f64()
    }
}
