//! Derives the pressure at which SYNs of a service are judged from the pressure of the service and the flows offered.
//!
//! Load pattern: the pressure of a service is a mean of the last second, and deferred SYNs return within that time.
//! An admitted share that follows the pressure alone is too small for a second and then too large when the
//! deferred copies and the retries arrive together; upstreams then shed more than without admission, also
//! when demand has long been below the room. So the rate of admitted flows is controlled instead of their share.

use std::time::Duration;
use std::time::Instant;

use crate::admission::class_admission::ClassAdmissionConfig;
use crate::admission::class_admission::PressureRamp;
use crate::admission::class_admission::WHOLE_SHARE;
use crate::ids::ClassRank;
use crate::load::service_room::REQUEST_LOAD;
use crate::routes::route_table::MOST_CLASSES;

/// Copies of a SYN whose decreases of pressure differ.
const COPIES: usize = 3;

/// Time of one interval: that between two digests.
const INTERVAL: Duration = Duration::from_millis(250);

/// Intervals over which admitted flows are counted: as long as the pressure is a mean of.
const WINDOW: usize = 4;

/// Intervals over which the demand that is expected next is counted.
const RECENT: usize = 2;

/// Part of the long-term counts that is forgotten per interval: they cover some 4 s, so that a host with few flows knows
/// which classes they are of.
const FORGOTTEN_PART: f64 = 1.0 / 16.0;

/// Flows by class and by the copy number that decreases the pressure.
type SynCounts = [[f64; COPIES]; MOST_CLASSES];

/// Bisections of the range of pressures; they leave an uncertainty of 1.
const BISECTIONS: u32 = 14;

/// SYNs of one interval.
#[derive(Clone, Copy, Debug, Default)]
struct OfferedSyns {
    counts: SynCounts,
    /// The pressure at which they were judged; 0 in calm.
    pressure: u32,
}

/// The pressure at which SYNs of one service are judged.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmissionPressure {
    /// The present interval, and the complete ones before it, newest first.
    intervals: [OfferedSyns; WINDOW + 1],
    /// Counts of all complete intervals, which lose weight with time.
    long_term: SynCounts,
    /// When the present interval ends; `None` before the first SYN.
    interval_end: Option<Instant>,
    /// `None` if no pressure was derived since the service became contended.
    pressure: Option<u32>,
}

impl AdmissionPressure {
    /// Records a SYN, also in calm.
    pub fn record(&mut self, now: Instant, rank: ClassRank, copy: u32) {
        self.advance(now);
        let class = usize::from(rank).min(MOST_CLASSES - 1);
        let copy = (copy as usize).min(COPIES - 1);
        self.intervals[0].counts[class][copy] += 1.0;
    }

    /// Ends the contention of the service.
    pub fn relieve(&mut self) {
        self.pressure = None;
        self.intervals[0].pressure = 0;
    }

    /// The pressure at which SYNs are judged, given that of the service and the ramps of its classes by rank. Until
    /// this host has counted flows for long enough, it is the pressure of the service.
    pub fn derive(
        &mut self,
        now: Instant,
        service_pressure: u32,
        config: &ClassAdmissionConfig,
        ramps: impl Fn(ClassRank) -> PressureRamp,
    ) -> u32 {
        let advanced = self.advance(now);
        if let (Some(pressure), false) = (self.pressure, advanced) {
            return pressure;
        }
        let pressure = self.solve(service_pressure, config, ramps);
        let pressure = pressure.or(self.pressure).unwrap_or(service_pressure);
        self.pressure = Some(pressure);
        self.intervals[0].pressure = pressure;
        pressure
    }

    /// Begins a new interval if the present one has ended; whether it did.
    fn advance(&mut self, now: Instant) -> bool {
        let end = *self.interval_end.get_or_insert(now + INTERVAL);
        if now < end {
            return false;
        }
        let passed = now.saturating_duration_since(end).as_nanos() / INTERVAL.as_nanos();
        let count = (passed as usize + 1).min(self.intervals.len());
        let ended = &self.intervals[0].counts;
        combine(&mut self.long_term, ended, |sum, count| {
            sum * (1.0 - FORGOTTEN_PART) + count
        });
        self.intervals.rotate_right(count);
        self.intervals[..count].fill(OfferedSyns {
            counts: SynCounts::default(),
            pressure: self.pressure.unwrap_or_default(),
        });
        let since_end = (passed % u128::from(u32::MAX)) as u32;
        self.interval_end = Some(end + INTERVAL * (since_end + 1));
        true
    }

    /// The pressure at which as many flows as the service has room for are admitted; `None` if none were counted.
    fn solve(
        &self,
        service_pressure: u32,
        config: &ClassAdmissionConfig,
        ramps: impl Fn(ClassRank) -> PressureRamp,
    ) -> Option<u32> {
        let usual = f64::from(config.usual_flows);
        let long_term = total(&self.long_term);
        if long_term < 1.0 {
            return None;
        }
        let window = &self.intervals[1..];
        let offered: f64 = window.iter().map(|syns| total(&syns.counts)).sum();
        let mut expected = SynCounts::default();
        for syns in &window[..RECENT] {
            let scale = (WINDOW / RECENT) as f64;
            combine(&mut expected, &syns.counts, |sum, count| {
                sum + count * scale
            });
        }
        combine(&mut expected, &self.long_term, |sum, count| {
            sum + count * usual / long_term
        });
        let growth = total(&expected) / (offered + usual);
        let admitted_at = |pressure: u32| -> f64 {
            let mut sum = 0.0;
            for (rank, counts) in expected.iter().enumerate() {
                let ramp = ramps(rank as ClassRank);
                for (copy, count) in counts.iter().enumerate() {
                    let pressure = pressure.saturating_sub(config.copy_decrease * copy as u32);
                    sum += count * f64::from(ramp.share(pressure, config.minimum_share));
                }
            }
            sum
        };
        let admitted: f64 = window.iter().map(|syns| admitted_at(syns.pressure)).sum();
        let mean = admitted / window.len() as f64;
        let budget = mean / growth * room_factor(service_pressure, config);
        let ends = (0..MOST_CLASSES).map(|rank| ramps(rank as ClassRank).end);
        let last_decrease = config.copy_decrease * (COPIES as u32 - 1);
        let (mut low, mut high) = (0, ends.max().unwrap_or_default() + last_decrease);
        for _bisection in 0..BISECTIONS {
            let middle = u32::midpoint(low, high);
            match admitted_at(middle) > budget {
                true => low = middle,
                false => high = middle,
            }
        }
        Some(if low == 0 { 0 } else { high })
    }
}

fn total(counts: &SynCounts) -> f64 {
    counts.iter().flatten().sum()
}

fn combine(sums: &mut SynCounts, counts: &SynCounts, add: impl Fn(f64, f64) -> f64) {
    let pairs = sums.iter_mut().flatten().zip(counts.iter().flatten());
    for (sum, count) in pairs {
        *sum = add(*sum, *count);
    }
}

/// The flows that the service has room for, as a multiple of those that were admitted while it had this pressure.
fn room_factor(pressure: u32, config: &ClassAdmissionConfig) -> f64 {
    let correction = |pressure: u32| {
        let lack = config.target_pressure.saturating_sub(pressure) * config.rate_increase;
        let excess = pressure.saturating_sub(config.shed_pressure) * config.rate_decrease;
        1.0 + (f64::from(lack) - f64::from(excess)) / f64::from(REQUEST_LOAD * WHOLE_SHARE)
    };
    // Below one request per slot, the pressure is the part of the slots that are busy.
    if pressure < REQUEST_LOAD {
        let idle_factor = f64::from(REQUEST_LOAD) / f64::from(pressure.max(1));
        return correction(REQUEST_LOAD) * idle_factor.min(f64::from(config.maximum_growth));
    }
    correction(pressure).max(1.0 / f64::from(config.maximum_fall))
}
