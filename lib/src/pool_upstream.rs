//! State of one upstream at the allocator of its slots.
//!
//! The published slots, the health endpoint and the load endpoint of an upstream may be late or
//! wrong. The allocator therefore decides by its own observations: granted slots, responses, proofs
//! that a request was not started, and losses.

use std::time::Duration;
use std::time::Instant;

use crate::config_snapshot::UpstreamEntry;
use crate::config_snapshot::UpstreamState;
use crate::ids::Generation;
use crate::ids::UpstreamId;
use crate::load_settings::LoadSettings;
use crate::outlier_record::OutlierRecord;
use crate::slot_limit::SlotLimit;
use crate::warm_ramp::WarmRamp;

/// Weight of the newest sample in the moving average of the service time ratio.
const NEW_SAMPLE_WEIGHT: f64 = 1.0 / 8.0;
/// Maximum ratio that one request contributes, so that a single long request does not mark an
/// upstream as slow.
const MAX_SAMPLE_RATIO: f64 = 4.0;
/// Service time ratio above which an upstream is used only when the others are full.
const SLOW_RATIO: f64 = 2.5;
/// Service time ratio below which a slow upstream is used normally again. With one threshold for
/// both, a slow upstream returned every few seconds and, as the least used one, received several
/// requests each time.
const NORMAL_RATIO: f64 = 1.5;
/// Fraction of the difference to the average service time that an idle upstream recovers per
/// second.
const RATIO_RECOVERY_PER_SECOND: f64 = 0.02;

/// Upstream of a pool.
#[derive(Clone, Debug)]
pub struct PoolUpstream {
    /// Identifier.
    pub id: UpstreamId,
    /// Number of slots in use.
    pub busy: u32,
    /// Decayed slot usage per slot, in weighted seconds; see [`crate::slot_table`].
    pub usage: f64,
    /// Number of slots that may be in use, as last computed.
    pub open: u32,
    /// Those of the open slots that any request may use; 0 while the upstream drains.
    pub shared: u32,
    /// Published number of slots.
    pub slots: u32,
    /// Concurrency limit learned from shed requests.
    pub limit: SlotLimit,
    /// Ramp-up after a cold start.
    pub ramp: WarmRamp,
    /// Losses and ejections.
    pub outlier: OutlierRecord,
    incarnation: Generation,
    active: bool,
    /// Whether the health endpoint reports a failure and no response has arrived since.
    unhealthy: bool,
    /// Service time of this upstream as a multiple of the pool's average.
    time_ratio: f64,
    /// Whether the ratio exceeded `SLOW_RATIO` and has not fallen below `NORMAL_RATIO` since.
    slow: bool,
}

impl PoolUpstream {
    /// Creates the state of a newly published upstream.
    pub fn new(entry: &UpstreamEntry, ramp: WarmRamp) -> Self {
        Self {
            id: entry.id,
            busy: 0,
            usage: 0.0,
            open: 0,
            shared: 0,
            slots: entry.slots,
            limit: SlotLimit::new(entry.slots),
            ramp,
            outlier: OutlierRecord::default(),
            incarnation: entry.incarnation,
            active: entry.state == UpstreamState::Active,
            unhealthy: false,
            time_ratio: 1.0,
            slow: false,
        }
    }

    /// Applies a new configuration entry. A different generation resets everything but the usage.
    pub fn publish(&mut self, now: Instant, entry: &UpstreamEntry) {
        if entry.incarnation != self.incarnation {
            let usage = self.usage;
            *self = Self::new(entry, WarmRamp::begin(now));
            self.usage = usage;
            return;
        }
        self.slots = entry.slots;
        self.limit.publish(entry.slots);
        self.active = entry.state == UpstreamState::Active;
    }

    /// Returns whether the published state allows new work.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Returns whether the state changes with time alone.
    pub fn is_time_dependent(&self) -> bool {
        self.limit.is_time_dependent()
            || self.ramp.is_cold()
            || self.outlier.is_ejected()
            || self.is_avoided()
    }

    /// Returns whether the upstream is used only when the others are full.
    pub fn is_avoided(&self) -> bool {
        self.unhealthy || self.slow
    }

    /// Returns the number of slots that may be in use. `limits_cold` is false when most upstreams
    /// of the pool are cold.
    ///
    /// A draining upstream has open slots too, for its established flows.
    pub fn compute_open(&self, now: Instant, limits_cold: bool, settings: &LoadSettings) -> u32 {
        if self.outlier.is_ejected() {
            return 0;
        }
        let mut open = self.limit.allowed();
        if limits_cold {
            open = open.min(self.ramp.allowed(now, self.slots, settings.ramp_length));
        }
        if self.outlier.is_on_probation() {
            open = open.min(1);
        }
        open
    }

    /// Records a whole response to a request that held its slot for `held`, where the pool's
    /// average is `average`.
    pub fn record_response(&mut self, held: Duration, average: Duration) {
        let ratio = held.as_secs_f64() / average.as_secs_f64().max(f64::MIN_POSITIVE);
        self.time_ratio += (ratio.min(MAX_SAMPLE_RATIO) - self.time_ratio) * NEW_SAMPLE_WEIGHT;
        self.update_slow();
        self.outlier.answered();
        self.limit.record_response();
        self.unhealthy = false;
    }

    /// Records the result of the health endpoint. It only lowers the preference, because a wrong
    /// result must not take a working upstream out of use.
    pub fn report_health(&mut self, healthy: bool) {
        self.unhealthy = !healthy;
    }

    /// Advances the time by `passed`.
    pub fn tick(&mut self, now: Instant, passed: Duration, settings: &LoadSettings) {
        self.limit.tick(now, settings.limit_probe);
        self.ramp.tick(now, settings.ramp_length);
        self.outlier.tick(now);
        if self.busy == 0 {
            let recovered = (RATIO_RECOVERY_PER_SECOND * passed.as_secs_f64()).min(1.0);
            self.time_ratio += (1.0 - self.time_ratio) * recovered;
            self.update_slow();
        }
    }

    fn update_slow(&mut self) {
        self.slow = match self.slow {
            true => self.time_ratio >= NORMAL_RATIO,
            false => self.time_ratio > SLOW_RATIO,
        };
    }
}
