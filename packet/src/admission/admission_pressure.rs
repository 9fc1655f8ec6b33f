//! Derives the admission pressure of a service, at which its SYNs are evaluated, from the service
//! pressure and the offered flows.
//!
//! The service pressure is a mean over the last second, and callers retransmit deferred SYNs within
//! that time. An admitted share that follows the service pressure directly is too small for one
//! second and too large in the next, when deferred retransmissions and retries arrive together.
//! Upstreams then shed more requests than without admission control, even after demand has fallen
//! below capacity. This module therefore controls the rate of admitted flows instead of their
//! share.

use std::time::Duration;
use std::time::Instant;

use crate::admission::class_admission::ClassAdmissionConfig;
use crate::admission::class_admission::FULL_SHARE;
use crate::admission::class_admission::PressureRamp;
use crate::ids::ClassRank;
use crate::load::load_state::REQUEST_LOAD;
use crate::routes::route_table::MAX_CLASSES;

/// Number of transmissions of a SYN that are counted separately, because each has a different
/// decrease of pressure.
const COUNTED_TRANSMISSIONS: usize = 3;

/// Length of one counting interval: the interval between two load digests.
const INTERVAL: Duration = Duration::from_millis(250);

/// Number of intervals over which admitted flows are counted: the averaging time of the service
/// pressure.
const WINDOW_INTERVALS: usize = 4;

/// Number of most recent intervals from which the demand of the next window is estimated.
const FORECAST_INTERVALS: usize = 2;

/// Part of the long-term counts that is dropped per interval. The counts cover about 4 s, so that a
/// host with few flows knows how they are distributed over the classes.
const DECAY_PER_INTERVAL: f64 = 1.0 / 16.0;

/// Flows by class and by the transmission number that decreases the pressure.
type SynCounts = [[f64; COUNTED_TRANSMISSIONS]; MAX_CLASSES];

/// Bisection steps over the range of pressures. They leave an uncertainty of 1.
const BISECTIONS: u32 = 14;

/// SYNs that arrived in one interval.
#[derive(Clone, Copy, Debug, Default)]
struct OfferedSyns {
    counts: SynCounts,
    /// Admission pressure during the interval; 0 while the service is not contended.
    pressure: u32,
}

/// State from which the admission pressure of one service is derived.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmissionPressure {
    /// The current interval, followed by the completed ones, newest first.
    intervals: [OfferedSyns; WINDOW_INTERVALS + 1],
    /// Exponentially decaying counts of all completed intervals.
    long_term: SynCounts,
    /// End of the current interval; `None` before the first SYN.
    interval_end: Option<Instant>,
    /// `None` if no pressure has been derived since the service became contended.
    pressure: Option<u32>,
}

impl AdmissionPressure {
    /// Counts a SYN of class `rank` with number `transmission`. Called whether or not the service
    /// is contended.
    pub fn record(&mut self, now: Instant, rank: ClassRank, transmission: u32) {
        self.advance(now);
        let class = usize::from(rank).min(MAX_CLASSES - 1);
        let transmission = (transmission as usize).min(COUNTED_TRANSMISSIONS - 1);
        self.intervals[0].counts[class][transmission] += 1.0;
    }

    /// Resets the pressure, since the service is no longer contended.
    pub fn end_contention(&mut self) {
        self.pressure = None;
        self.intervals[0].pressure = 0;
    }

    /// Returns the admission pressure, given the service pressure and the ramp of each class by
    /// rank. Returns the service pressure until this host has counted enough flows.
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

    /// Starts a new interval if the current one has ended. Returns whether it did.
    fn advance(&mut self, now: Instant) -> bool {
        let end = *self.interval_end.get_or_insert(now + INTERVAL);
        if now < end {
            return false;
        }
        let missed = now.saturating_duration_since(end).as_nanos() / INTERVAL.as_nanos();
        let count = (missed as usize + 1).min(self.intervals.len());
        let ended = &self.intervals[0].counts;
        combine(&mut self.long_term, ended, |sum, count| {
            sum * (1.0 - DECAY_PER_INTERVAL) + count
        });
        self.intervals.rotate_right(count);
        self.intervals[..count].fill(OfferedSyns {
            counts: SynCounts::default(),
            pressure: self.pressure.unwrap_or_default(),
        });
        let missed_intervals = (missed % u128::from(u32::MAX)) as u32;
        self.interval_end = Some(end + INTERVAL * (missed_intervals + 1));
        true
    }

    /// Returns the pressure at which the rate of admitted flows matches the capacity of the
    /// service; `None` if no flows have been counted.
    fn solve(
        &self,
        service_pressure: u32,
        config: &ClassAdmissionConfig,
        ramps: impl Fn(ClassRank) -> PressureRamp,
    ) -> Option<u32> {
        let prior = f64::from(config.prior_flows);
        let long_term = total(&self.long_term);
        if long_term < 1.0 {
            return None;
        }
        let window = &self.intervals[1..];
        let offered: f64 = window.iter().map(|syns| total(&syns.counts)).sum();
        let mut expected = SynCounts::default();
        for syns in &window[..FORECAST_INTERVALS] {
            let scale = (WINDOW_INTERVALS / FORECAST_INTERVALS) as f64;
            combine(&mut expected, &syns.counts, |sum, count| {
                sum + count * scale
            });
        }
        combine(&mut expected, &self.long_term, |sum, count| {
            sum + count * prior / long_term
        });
        let growth = total(&expected) / (offered + prior);
        let admitted_at = |pressure: u32| -> f64 {
            let mut sum = 0.0;
            for (rank, counts) in expected.iter().enumerate() {
                let ramp = ramps(rank as ClassRank);
                for (transmission, count) in counts.iter().enumerate() {
                    let pressure =
                        pressure.saturating_sub(config.transmission_decrease * transmission as u32);
                    sum += count * f64::from(ramp.share(pressure, config.minimum_share));
                }
            }
            sum
        };
        let admitted: f64 = window.iter().map(|syns| admitted_at(syns.pressure)).sum();
        let mean_admitted = admitted / window.len() as f64;
        let budget = mean_admitted / growth * rate_factor(service_pressure, config);
        let ends = (0..MAX_CLASSES).map(|rank| ramps(rank as ClassRank).end);
        let max_decrease = config.transmission_decrease * (COUNTED_TRANSMISSIONS as u32 - 1);
        let (mut low, mut high) = (0, ends.max().unwrap_or_default() + max_decrease);
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

/// Returns the rate of flows that the service has capacity for, as a multiple of the rate admitted
/// at this service pressure.
fn rate_factor(pressure: u32, config: &ClassAdmissionConfig) -> f64 {
    let correction = |pressure: u32| {
        let shortfall = config.target_pressure.saturating_sub(pressure) * config.rate_increase;
        let excess = pressure.saturating_sub(config.shed_pressure) * config.rate_decrease;
        1.0 + (f64::from(shortfall) - f64::from(excess)) / f64::from(REQUEST_LOAD * FULL_SHARE)
    };
    // Below one request per slot, the pressure is the fraction of the slots that are busy.
    if pressure < REQUEST_LOAD {
        let idle_factor = f64::from(REQUEST_LOAD) / f64::from(pressure.max(1));
        return correction(REQUEST_LOAD) * idle_factor.min(f64::from(config.maximum_growth));
    }
    correction(pressure).max(1.0 / f64::from(config.maximum_fall))
}
