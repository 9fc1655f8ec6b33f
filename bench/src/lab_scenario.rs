//! The scenarios of the control experiment, each a table row.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy::ids::HostId;
use lagoonproxy::ids::Version;
use lagoonproxy::reader_rank::READERS_PER_ZONE;
use serde::Serialize;

use crate::control_lab::ControlLab;
use crate::lab_config::LabSize;

/// Longest start that is waited for.
const START_LIMIT: Duration = Duration::from_secs(600);
/// Shortest time over which rates are taken, so that short scenarios do not show peaks only.
const MEASURE_TIME: Duration = Duration::from_secs(30);
/// Longest time that a change is waited for.
const CHANGE_LIMIT: Duration = Duration::from_secs(120);
/// Time for links and readers to settle after a scenario broke some.
const SETTLE_TIME: Duration = Duration::from_secs(20);
/// How often it is looked whether a change is in force.
const WATCH_STEP: Duration = Duration::from_millis(10);

/// What a scenario measured.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ScenarioResult {
    /// Its name.
    pub scenario: String,
    /// Entry hosts.
    pub hosts: u32,
    /// Upstreams published.
    pub upstreams: u32,
    /// Upstreams under one key.
    pub upstream_shard: u32,
    /// Changes a second, where it has a rate.
    pub changes_per_second: f64,
    /// Control bytes a second of the average host, both directions, the platform's included.
    pub mean_bytes_per_second: f64,
    /// The same of the busiest host.
    pub most_bytes_per_second: f64,
    /// Calls a second on the platform, all hosts together.
    pub platform_calls_per_second: f64,
    /// Longest time from publication to the last host, seconds; none if it did not get there.
    pub in_force_seconds: Option<f64>,
    /// Resident memory that a host added, bytes.
    pub memory_per_host: u64,
    /// States put in force although some keys were ahead of others.
    pub mixed: u64,
    /// Hosts that ever put an older version in force after a newer.
    pub reverted: u64,
    /// Processor time of the average host, as a share of one core.
    pub core_share: f64,
}

/// A lab whose hosts all have the first configuration in force.
pub struct WarmLab {
    /// The lab.
    pub lab: ControlLab,
    /// What the start of every host at once cost.
    pub cold: ScenarioResult,
}

/// Bytes, calls and time at the beginning of a measurement.
struct MeasureStart {
    bytes: Vec<u64>,
    calls: u64,
    mixed: u64,
    now: Instant,
    real: Instant,
}

impl WarmLab {
    /// Starts a lab and waits until every host is ready.
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

    /// Changes at a steady rate.
    pub fn steady_changes(&mut self, rate: f64, seconds: u64) -> ScenarioResult {
        let start = self.measure_start();
        let pause = Duration::from_secs_f64(1.0 / rate);
        let count = (seconds as f64 * rate) as u32;
        let mut tracker = ForceTracker::default();
        for _change in 0..count {
            let version = self.lab.config.change_one(&mut self.lab.platform);
            tracker.published(self.lab.now, version);
            let next = self.lab.now + pause;
            while self.lab.now < next {
                self.lab.run_for(WATCH_STEP.min(next - self.lab.now));
                tracker.observe(&self.lab);
            }
        }
        let mut result = self.measure_end(&format!("steady {rate}/s"), &start);
        let end = self.lab.now + CHANGE_LIMIT;
        while !tracker.waiting.is_empty() && self.lab.now < end {
            self.lab.run_for(WATCH_STEP);
            tracker.observe(&self.lab);
        }
        result.changes_per_second = rate;
        if tracker.waiting.is_empty() {
            result.in_force_seconds = Some(tracker.longest.as_secs_f64());
        }
        result
    }

    /// Many changes at one moment.
    pub fn burst_changes(&mut self, count: u32) -> ScenarioResult {
        let start = self.measure_start();
        for _change in 0..count {
            self.lab.config.change_one(&mut self.lab.platform);
        }
        self.measure_newest(&format!("burst of {count}"), &start)
    }

    /// A host is cut off from everything while changes go on, and then comes back.
    pub fn host_away(&mut self, rate: f64, away: Duration) -> ScenarioResult {
        let absent = self.lab.config.size.hosts - 1;
        self.lab.cut_paths(|left, _right| left == absent);
        self.lab.hosts[absent as usize].platform_cut = true;
        let changes = (away.as_secs_f64() * rate) as u32;
        for _change in 0..changes {
            self.lab.config.change_one(&mut self.lab.platform);
            self.lab.run_for(away / changes);
        }
        self.lab.cut.clear();
        self.lab.hosts[absent as usize].platform_cut = false;
        let start = self.measure_start();
        self.measure_newest(&format!("back after {} s", away.as_secs()), &start)
    }

    /// One host is replaced by a fresh one, as 37,000 a day are.
    pub fn host_restarts(&mut self) -> ScenarioResult {
        let fresh = self.lab.config.size.hosts - 1;
        self.lab.kill(fresh);
        self.lab.run_for(SETTLE_TIME);
        let start = self.measure_start();
        self.lab.restart(fresh);
        self.measure_newest("host replaced", &start)
    }

    /// Every reader of every zone dies at once, and a change follows.
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
        let result = self.measure_newest("all readers die", &start);
        killed.iter().for_each(|host| self.lab.restart(*host));
        self.lab.run_for(SETTLE_TIME);
        result
    }

    /// A host loses the platform and every path to its peers but one.
    pub fn one_path(&mut self) -> ScenarioResult {
        let lonely = self.lab.config.size.hosts - 1;
        self.lab.hosts[lonely as usize].platform_cut = true;
        self.lab
            .cut_paths(|left, right| left == lonely && right != 0);
        let start = self.measure_start();
        self.lab.config.change_one(&mut self.lab.platform);
        let result = self.measure_newest("one path left", &start);
        self.lab.cut.clear();
        self.lab.hosts[lonely as usize].platform_cut = false;
        self.lab.run_for(SETTLE_TIME);
        result
    }

    /// The platform is away for long, is back with an older copy, and then goes on.
    pub fn platform_away(&mut self, away: Duration) -> ScenarioResult {
        self.lab.platform.take_copy();
        for _change in 0..5 {
            self.lab.config.change_one(&mut self.lab.platform);
        }
        self.wait_for_newest();
        let start = self.measure_start();
        self.lab.platform.away = true;
        self.lab.run_for(away);
        let scenario = format!("platform away {} s", away.as_secs());
        let mut result = self.measure_end(&scenario, &start);
        self.lab.platform.restore_copy();
        self.lab.platform.away = false;
        self.lab.run_for(Duration::from_secs(90));
        for _change in 0..6 {
            self.lab.config.change_one(&mut self.lab.platform);
        }
        let took = self.wait_for_newest();
        result.in_force_seconds = took.map(|took| took.as_secs_f64());
        result.reverted = self.measure_end(&scenario, &start).reverted;
        result
    }

    /// A zone is cut off from the others and the platform while changes go on; time to catch up.
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
        self.measure_newest(&format!("zone cut for {} s", cut.as_secs()), &start)
    }

    fn cut_platform_of_zone(&mut self, cut: bool) {
        for host in self.lab.hosts.iter_mut().filter(|host| host.zone == 0) {
            host.platform_cut = cut;
        }
    }

    fn measure_newest(&mut self, scenario: &str, start: &MeasureStart) -> ScenarioResult {
        let took = self.wait_for_newest();
        let passed = self.lab.now - start.now;
        self.lab.run_for(MEASURE_TIME.saturating_sub(passed));
        let mut result = self.measure_end(scenario, start);
        result.in_force_seconds = took.map(|took| took.as_secs_f64());
        result
    }

    fn wait_for_newest(&mut self) -> Option<Duration> {
        let version = self.lab.platform.revision();
        self.lab
            .run_until(CHANGE_LIMIT, |lab| lab.in_force(version))
    }
}

/// Finds the longest time from publication to the last host.
#[derive(Default)]
struct ForceTracker {
    waiting: Vec<(Instant, Version)>,
    longest: Duration,
}

impl ForceTracker {
    fn published(&mut self, now: Instant, version: Version) {
        self.waiting.push((now, version));
    }

    fn observe(&mut self, lab: &ControlLab) {
        let up = lab.hosts.iter().filter(|host| host.up);
        let lowest = up.map(|host| host.version).min().unwrap_or(0);
        let longest = &mut self.longest;
        self.waiting.retain(|(published, version)| {
            let waits = *version > lowest;
            if !waits {
                *longest = (*longest).max(lab.now - *published);
            }
            waits
        });
    }
}

/// Memory that this process holds, from the kernel's account of it.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    let pages: Option<u64> = pages.and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
