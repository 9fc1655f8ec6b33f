//! One upstream as the keeper of its slots knows it, from its own observations.
//!
//! Load pattern: an upstream's published slots, health and load endpoints lag or mislead. What the
//! keeper saw itself decides: jobs it let there, answers, proofs of not started, losses.

use std::time::Duration;
use std::time::Instant;

use crate::config_snapshot::UpstreamEntry;
use crate::config_snapshot::UpstreamState;
use crate::ids::Incarnation;
use crate::ids::UpstreamId;
use crate::load_settings::LoadSettings;
use crate::outlier_record::OutlierRecord;
use crate::slot_limit::SlotLimit;
use crate::warm_ramp::WarmRamp;

/// Weight of the newest job in an upstream's pace.
const NEWEST_WEIGHT: f64 = 1.0 / 8.0;
/// One job counts at most this many average ones, so that a single long job makes nobody slow.
const LONGEST_SAMPLE: f64 = 4.0;
/// Pace, as a multiple of the pool's, from which an upstream is used only when others are full.
const SLOW_PACE: f64 = 2.5;
/// Part of the difference to the average pace that an upstream sheds a second without jobs.
const PACE_RECOVERY: f64 = 0.02;

/// One upstream of a pool.
#[derive(Clone, Debug)]
pub struct PoolUpstream {
    /// Its number.
    pub id: UpstreamId,
    /// Jobs that hold one of its slots.
    pub busy: u32,
    /// Time its slots were in use, weighted towards the present; see [`crate::slot_table`].
    pub usage: f64,
    /// Slots that may be in use now, as last computed.
    pub open: u32,
    /// Those of them that any job may use: none while it drains.
    pub shared: u32,
    /// Published slots.
    pub slots: u32,
    /// Limit learned from sheds.
    pub limit: SlotLimit,
    /// Cold start.
    pub ramp: WarmRamp,
    /// Losses.
    pub outlier: OutlierRecord,
    incarnation: Incarnation,
    active: bool,
    /// Whether its health endpoint denies health and no answer has proved otherwise since.
    unwell: bool,
    /// How long jobs take here, as a multiple of the pool's average.
    pace: f64,
}

impl PoolUpstream {
    /// An upstream that was just published.
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
            unwell: false,
            pace: 1.0,
        }
    }

    /// Takes a new publication of the same upstream; another incarnation begins anew.
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

    /// Whether it takes new work as far as is published.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Whether time alone may change how it is used.
    pub fn is_unsettled(&self) -> bool {
        self.limit.is_unsettled()
            || self.ramp.is_cold()
            || self.outlier.is_ejected()
            || self.is_avoided()
    }

    /// Whether it is used only when others are full.
    pub fn is_avoided(&self) -> bool {
        self.unwell || self.pace > SLOW_PACE
    }

    /// Slots that may be in use now. `spare_cold` is false when most of the pool is cold.
    ///
    /// A draining upstream has them too, for the flows that are established there.
    pub fn compute_open(&self, now: Instant, spare_cold: bool, settings: &LoadSettings) -> u32 {
        if self.outlier.is_ejected() {
            return 0;
        }
        let mut open = self.limit.allowed();
        if spare_cold {
            open = open.min(self.ramp.allowed(now, self.slots, settings.ramp_length));
        }
        if self.outlier.is_on_probation() {
            open = open.min(1);
        }
        open
    }

    /// Learns of a whole answer after `held`, where the pool's average is `average`.
    pub fn answered(&mut self, held: Duration, average: Duration) {
        let ratio = held.as_secs_f64() / average.as_secs_f64().max(f64::MIN_POSITIVE);
        self.pace += (ratio.min(LONGEST_SAMPLE) - self.pace) * NEWEST_WEIGHT;
        self.outlier.answered();
        self.limit.answered();
        self.unwell = false;
    }

    /// Learns what the health endpoint said. It only lowers the preference: an endpoint that lies
    /// must not take a working upstream out of use.
    pub fn report(&mut self, healthy: bool) {
        self.unwell = !healthy;
    }

    /// Lets `passed` go by.
    pub fn tick(&mut self, now: Instant, passed: Duration, settings: &LoadSettings) {
        self.limit.tick(now, settings.limit_probe);
        self.ramp.tick(now, settings.ramp_length);
        self.outlier.tick(now);
        if self.busy == 0 {
            let recovered = (PACE_RECOVERY * passed.as_secs_f64()).min(1.0);
            self.pace += (1.0 - self.pace) * recovered;
        }
    }
}
