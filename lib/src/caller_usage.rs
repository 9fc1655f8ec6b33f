//! How much of a service's slots each caller used of late.
//!
//! Load pattern: one caller sends ten times its share, or jobs that take fifty times as long, and
//! the service is full. Places in the queue alone do not tell it from others: it has a job in the
//! queue at any time, but so have they, and refusals hit all alike. Measured with 19 callers of 4 %
//! each and one of 40 %, 11 % of the ordinary callers' jobs were refused. By the time that their
//! jobs held slots, the hot one stands out, whether its jobs are many or long.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::load_message::CallerTag;

/// Callers remembered at most; a further one does not count as hot.
const MOST_CALLERS: usize = 4_096;
/// Time over which use is forgotten: long enough for several jobs of an ordinary caller, short
/// enough to forgive within a minute.
const MEMORY: Duration = Duration::from_secs(10);
/// Multiple of an even share above which a caller is hot. At twice, chance alone made some of 100
/// equal callers hot at almost any time.
const HOT_MULTIPLE: f64 = 3.0;
/// Part of all use above which one of few callers is hot, of whom none could reach the multiple.
const HOT_PART: f64 = 0.6;
/// Part of an even share below which a caller is forgotten.
const FORGOTTEN_PART: f64 = 0.02;
/// Time constants after which weights are scaled back, far below the range of `f64`.
const REBASE_AFTER: f64 = 20.0;

/// Use by caller, with weights that grow with time (see [`crate::slot_table`]).
#[derive(Debug, Default)]
pub struct CallerUsage {
    callers: HashMap<CallerTag, f64>,
    total: f64,
    weight_origin: Option<Instant>,
    /// Whether any caller was hot at the last sweep.
    has_hot: bool,
}

impl CallerUsage {
    /// Learns that a caller's job held a slot.
    pub fn learn(&mut self, now: Instant, caller: CallerTag, held: Duration) {
        let is_known = self.callers.contains_key(&caller);
        if !is_known && self.callers.len() >= MOST_CALLERS {
            return;
        }
        let use_now = held.as_secs_f64() * self.time_constants(now).exp();
        *self.callers.entry(caller).or_default() += use_now;
        self.total += use_now;
    }

    /// Whether a caller used much more than an even share.
    pub fn is_hot(&self, caller: CallerTag) -> bool {
        let Some(used) = self.callers.get(&caller) else {
            return false;
        };
        *used > self.hot_use()
    }

    /// Callers that are remembered.
    pub fn callers(&self) -> usize {
        self.callers.len()
    }

    /// Whether any caller used much more than an even share, as of the last sweep.
    pub fn has_hot(&self) -> bool {
        self.has_hot
    }

    /// Forgets callers whose use is long past; to be called now and then.
    pub fn sweep(&mut self, now: Instant) {
        let least = self.even_share() * FORGOTTEN_PART;
        self.callers.retain(|_caller, used| *used >= least);
        let scale = match self.time_constants(now) {
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
        let most = self.hot_use();
        self.has_hot = self.callers.values().any(|used| *used > most);
    }

    fn hot_use(&self) -> f64 {
        let multiple = HOT_MULTIPLE * self.even_share();
        match self.callers.len() {
            0 | 1 => f64::INFINITY,
            _ => multiple.min(HOT_PART * self.total),
        }
    }

    fn even_share(&self) -> f64 {
        self.total / self.callers.len().max(1) as f64
    }

    fn time_constants(&mut self, now: Instant) -> f64 {
        let origin = *self.weight_origin.get_or_insert(now);
        let passed = now.saturating_duration_since(origin);
        passed.as_secs_f64() / MEMORY.as_secs_f64()
    }
}
