//! Scenarios of the control plane experiment; each produces one row of the result table.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy::ids::HostId;
use lagoonproxy::ids::Version;
use lagoonproxy::reader_rank::READERS_PER_ZONE;
use serde::Serialize;

use crate::control_lab::ControlLab;
use crate::lab_config::LabSize;

/// Maximum time to wait for all hosts to become ready.
const START_LIMIT: Duration = Duration::from_secs(600);
/// Minimum time over which rates are averaged, so that short scenarios do not report only the peak.
const MIN_MEASURE_TIME: Duration = Duration::from_secs(30);
/// Maximum time to wait for a change to become active on all hosts.
const CHANGE_LIMIT: Duration = Duration::from_secs(120);
/// Time for links and readers to recover after a scenario has interrupted them.
const SETTLE_TIME: Duration = Duration::from_secs(20);
/// Interval at which the lab checks whether a change is active.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Measurements of one scenario.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ScenarioResult {
    /// Name of the scenario.
    pub scenario: String,
    /// Number of entry hosts.
    pub hosts: u32,
    /// Number of published upstreams.
    pub upstreams: u32,
    /// Number of upstreams under one key.
    pub upstream_shard: u32,
    /// Changes per second; 0 for scenarios without a steady rate.
    pub changes_per_second: f64,
    /// Control traffic in bytes per second, both directions and platform calls included: mean of
    /// the hosts.
    pub mean_bytes_per_second: f64,
    /// Control traffic in bytes per second of the host with the most.
    pub most_bytes_per_second: f64,
    /// Calls per second to the platform by all hosts together.
    pub platform_calls_per_second: f64,
    /// Maximum time in seconds from publication until the last host has activated the change;
    /// `None` if some host did not.
    pub in_force_seconds: Option<f64>,
    /// Resident memory per host in bytes.
    pub memory_per_host: u64,
    /// Number of activated states in which some keys were newer than others.
    pub mixed: u64,
    /// Number of hosts that ever activated an older version after a newer one.
    pub reverted: u64,
    /// Processor time per host as a fraction of one core.
    pub core_share: f64,
}

/// A lab in which the first configuration is active on all hosts.
pub struct ReadyLab {
    /// The simulated hosts and platform.
    pub lab: ControlLab,
    /// Measurements of the simultaneous start of all hosts.
    pub cold: ScenarioResult,
}

/// Counters and clocks at the beginning of a measurement.
struct MeasureStart {
    bytes: Vec<u64>,
    calls: u64,
    mixed: u64,
    now: Instant,
    real: Instant,
}

impl ReadyLab {
    /// Starts a lab and is_pending until the first configuration is active on every host.
    pub fn start(size: LabSize) -> Self {
        let before = resident_bytes();
        let mut lab = ControlLab::start(size);
        let real = Instant::now();
        let begin = lab.now;
        let version = lab.platform.revision();
        let took = lab.run_until(START_LIMIT, |lab| lab.in_force(version));
        let seconds = (lab.now - begin).as_secs_f64();
        let calls = lab.platform.calls as f64 / seconds;
        lab.run_for(SETTLE_TIME);
        let start = MeasureStart {
            bytes: vec![0; size.hosts as usize],
            calls: 0,
            mixed: 0,
            now: begin,
            real,
        };
        let mut warm = Self {
            lab,
            cold: ScenarioResult::default(),
        };
        warm.cold.memory_per_host = resident_bytes().saturating_sub(before) / u64::from(size.hosts);
        warm.cold = warm.measure_end("cold start", &start);
        warm.cold.platform_calls_per_second = calls;
        warm.cold.in_force_seconds = took.map(|took| took.as_secs_f64());
        warm
    }

    fn measure_start(&self) -> MeasureStart {
        let hosts = 0..self.lab.config.size.hosts;
        MeasureStart {
            bytes: hosts.map(|host| self.lab.host_bytes(host)).collect(),
            calls: self.lab.platform.calls,
            mixed: self.mixed(),
            now: self.lab.now,
            real: Instant::now(),
        }
    }

    fn measure_end(&self, scenario: &str, start: &MeasureStart) -> ScenarioResult {
        let size = self.lab.config.size;
        let seconds = (self.lab.now - start.now).as_secs_f64();
        let grown = |host: HostId| {
            let bytes = self.lab.host_bytes(host);
            bytes.saturating_sub(start.bytes[host as usize]) as f64
        };
        let rates = (0..size.hosts).map(|host| grown(host) / seconds);
        let reverted = self.lab.hosts.iter().filter(|host| host.reverted);
        let real = start.real.elapsed().as_secs_f64();
        ScenarioResult {
            scenario: scenario.to_owned(),
            hosts: size.hosts,
            upstreams: size.upstreams,
            upstream_shard: size.upstream_shard,
            changes_per_second: 0.0,
            mean_bytes_per_second: rates.clone().sum::<f64>() / f64::from(size.hosts),
            most_bytes_per_second: rates.fold(0.0, f64::max),
            platform_calls_per_second: (self.lab.platform.calls - start.calls) as f64 / seconds,
            in_force_seconds: None,
            memory_per_host: self.cold.memory_per_host,
            mixed: self.mixed().saturating_sub(start.mixed),
            reverted: reverted.count() as u64,
            core_share: real / seconds / f64::from(size.hosts),
        }
    }

    fn mixed(&self) -> u64 {
        let hosts = self.lab.hosts.iter();
        hosts.map(|host| host.core.status().mixed).sum()
    }

    /// Measures changes at a steady rate.
    pub fn steady_changes(&mut self, rate: f64, seconds: u64) -> ScenarioResult {
        let start = self.measure_start();
        let pause = Duration::from_secs_f64(1.0 / rate);
        let count = (seconds as f64 * rate) as u32;
        let mut tracker = PropagationTracker::default();
        for _change in 0..count {
            let version = self.lab.config.change_one(&mut self.lab.platform);
            tracker.published(self.lab.now, version);
            let next = self.lab.now + pause;
            while self.lab.now < next {
                self.lab.run_for(POLL_INTERVAL.min(next - self.lab.now));
                tracker.observe(&self.lab);
            }
        }
        let mut result = self.measure_end(&format!("steady {rate}/s"), &start);
        let end = self.lab.now + CHANGE_LIMIT;
        while !tracker.pending.is_empty() && self.lab.now < end {
            self.lab.run_for(POLL_INTERVAL);
            tracker.observe(&self.lab);
        }
        result.changes_per_second = rate;
        if tracker.pending.is_empty() {
            result.in_force_seconds = Some(tracker.longest.as_secs_f64());
        }
        result
    }

    /// Measures `count` simultaneous changes.
    pub fn burst_changes(&mut self, count: u32) -> ScenarioResult {
        let start = self.measure_start();
        for _change in 0..count {
            self.lab.config.change_one(&mut self.lab.platform);
        }
        self.measure_propagation(&format!("burst of {count}"), &start)
    }

    /// Measures how a host catches up after it was cut off from peers and platform while changes
    /// were published.
    pub fn host_reconnects(&mut self, rate: f64, away: Duration) -> ScenarioResult {
        let absent = self.lab.config.size.hosts - 1;
        self.lab.cut_paths(|left, _right| left == absent);
        self.lab.hosts[absent as usize].is_platform_cut = true;
        let changes = (away.as_secs_f64() * rate) as u32;
        for _change in 0..changes {
            self.lab.config.change_one(&mut self.lab.platform);
            self.lab.run_for(away / changes);
        }
        self.lab.cut.clear();
        self.lab.hosts[absent as usize].is_platform_cut = false;
        let start = self.measure_start();
        self.measure_propagation(&format!("back after {} s", away.as_secs()), &start)
    }

    /// Measures the replacement of one host by a new one. The fleet replaces 37,000 hosts a day.
    pub fn host_restarts(&mut self) -> ScenarioResult {
        let fresh = self.lab.config.size.hosts - 1;
        self.lab.kill(fresh);
        self.lab.run_for(SETTLE_TIME);
        let start = self.measure_start();
        self.lab.restart(fresh);
        self.measure_propagation("host replaced", &start)
    }

    /// Measures a change that follows the simultaneous abrupt stop of all readers of all zones.
    pub fn readers_die(&mut self) -> ScenarioResult {
        let size = self.lab.config.size;
        let mut killed = Vec::new();
        for zone in 0..size.zones {
            let reading = |host: &HostId| {
                let host = &self.lab.hosts[*host as usize];
                host.zone == zone && host.up && host.core.status().reading
            };
            let readers = (0..size.hosts).filter(reading);
            killed.extend(readers.take(READERS_PER_ZONE).collect::<Vec<_>>());
        }
        killed.iter().for_each(|host| self.lab.kill(*host));
        let start = self.measure_start();
        self.lab.config.change_one(&mut self.lab.platform);
        let result = self.measure_propagation("all readers die", &start);
        killed.iter().for_each(|host| self.lab.restart(*host));
        self.lab.run_for(SETTLE_TIME);
        result
    }

    /// Measures a change while one host has lost the platform and all paths to peers except one.
    pub fn single_path(&mut self) -> ScenarioResult {
        let isolated = self.lab.config.size.hosts - 1;
        self.lab.hosts[isolated as usize].is_platform_cut = true;
        self.lab
            .cut_paths(|left, right| left == isolated && right != 0);
        let start = self.measure_start();
        self.lab.config.change_one(&mut self.lab.platform);
        let result = self.measure_propagation("one path left", &start);
        self.lab.cut.clear();
        self.lab.hosts[isolated as usize].is_platform_cut = false;
        self.lab.run_for(SETTLE_TIME);
        result
    }

    /// Measures a platform outage that ends with a restore from an older backup, followed by new
    /// changes.
    pub fn platform_outage(&mut self, away: Duration) -> ScenarioResult {
        self.lab.platform.save_backup();
        for _change in 0..5 {
            self.lab.config.change_one(&mut self.lab.platform);
        }
        self.await_newest_version();
        let start = self.measure_start();
        self.lab.platform.away = true;
        self.lab.run_for(away);
        let scenario = format!("platform away {} s", away.as_secs());
        let mut result = self.measure_end(&scenario, &start);
        self.lab.platform.restore_backup();
        self.lab.platform.away = false;
        self.lab.run_for(Duration::from_secs(90));
        for _change in 0..6 {
            self.lab.config.change_one(&mut self.lab.platform);
        }
        let took = self.await_newest_version();
        result.in_force_seconds = took.map(|took| took.as_secs_f64());
        result.reverted = self.measure_end(&scenario, &start).reverted;
        result
    }

    /// Measures how a zone catches up after it was cut off from the platform and the other zones
    /// while changes were published.
    pub fn zone_cut(&mut self, cut: Duration) -> ScenarioResult {
        let zones = self.lab.config.size.zones;
        self.lab
            .cut_paths(|left, right| (left % zones == 0) != (right % zones == 0));
        self.cut_platform_of_zone(true);
        for _change in 0..cut.as_secs() / 2 {
            self.lab.config.change_one(&mut self.lab.platform);
            self.lab.run_for(Duration::from_secs(2));
        }
        self.lab.cut.clear();
        self.cut_platform_of_zone(false);
        let start = self.measure_start();
        self.measure_propagation(&format!("zone cut for {} s", cut.as_secs()), &start)
    }

    fn cut_platform_of_zone(&mut self, cut: bool) {
        for host in self.lab.hosts.iter_mut().filter(|host| host.zone == 0) {
            host.is_platform_cut = cut;
        }
    }

    fn measure_propagation(&mut self, scenario: &str, start: &MeasureStart) -> ScenarioResult {
        let took = self.await_newest_version();
        let passed = self.lab.now - start.now;
        self.lab.run_for(MIN_MEASURE_TIME.saturating_sub(passed));
        let mut result = self.measure_end(scenario, start);
        result.in_force_seconds = took.map(|took| took.as_secs_f64());
        result
    }

    fn await_newest_version(&mut self) -> Option<Duration> {
        let version = self.lab.platform.revision();
        self.lab
            .run_until(CHANGE_LIMIT, |lab| lab.in_force(version))
    }
}

/// Determines the maximum time from the publication of a change until it is active on all hosts.
#[derive(Default)]
struct PropagationTracker {
    pending: Vec<(Instant, Version)>,
    longest: Duration,
}

impl PropagationTracker {
    fn published(&mut self, now: Instant, version: Version) {
        self.pending.push((now, version));
    }

    fn observe(&mut self, lab: &ControlLab) {
        let up = lab.hosts.iter().filter(|host| host.up);
        let lowest = up.map(|host| host.version).min().unwrap_or(0);
        let longest = &mut self.longest;
        self.pending.retain(|(published, version)| {
            let is_pending = *version > lowest;
            if !is_pending {
                *longest = (*longest).max(lab.now - *published);
            }
            is_pending
        });
    }
}

/// Returns the resident memory of this process in bytes, or 0 if it cannot be read.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    let pages: Option<u64> = pages.and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
