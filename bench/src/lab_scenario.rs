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
/// Shortest time over which rates are taken.
const MEASURE_TIME: Duration = Duration::from_secs(60);
/// Longest time that a change is waited for.
const CHANGE_LIMIT: Duration = Duration::from_secs(300);

/// What a scenario measured.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ScenarioResult {
    /// Its name.
    pub scenario: String,
    /// Entry hosts.
    pub hosts: u32,
    /// Upstreams published.
    pub upstreams: u32,
    /// Changes a second, where it has a rate.
    pub changes_per_second: f64,
    /// Control bytes a second of the average host, both directions, the platform's included.
    pub mean_bytes_per_second: f64,
    /// The same of the busiest host.
    pub most_bytes_per_second: f64,
    /// Calls a second on the platform, all hosts together.
    pub platform_calls_per_second: f64,
    /// Longest time from publication to the last host, seconds.
    pub in_force_seconds: Option<f64>,
    /// Resident memory that a host added, bytes.
    pub memory_per_host: u64,
    /// States put in force although some keys were ahead of others.
    pub mixed: u64,
    /// Hosts that put an older version in force after a newer.
    pub reverted: u64,
    /// Processor time of one host for a second of virtual time, as a share of one core.
    pub core_share: f64,
}

/// A lab whose hosts all have the first configuration in force.
pub struct WarmLab {
    /// The lab.
    pub lab: ControlLab,
    /// How long the start took, virtual time.
    pub started_in: Option<Duration>,
    memory: u64,
}

/// Bytes, calls and time at the beginning of a measurement.
struct MeasureStart {
    bytes: Vec<u64>,
    calls: u64,
    now: Instant,
    real: Instant,
}

/// Starts a lab and waits until every host is ready.
pub fn warm_lab(size: LabSize) -> WarmLab {
    let before = resident_bytes();
    let mut lab = ControlLab::start(size);
    let version = lab.platform.revision();
    let started_in = lab.run_until(START_LIMIT, |lab| lab.in_force(version));
    lab.run_for(Duration::from_secs(10));
    let grown = resident_bytes().saturating_sub(before);
    WarmLab {
        lab,
        started_in,
        memory: grown / u64::from(size.hosts),
    }
}

impl WarmLab {
    fn measure_start(&self) -> MeasureStart {
        let hosts = 0..self.lab.config.size.hosts;
        MeasureStart {
            bytes: hosts.map(|host| self.lab.host_bytes(host)).collect(),
            calls: self.lab.platform.calls,
            now: self.lab.now,
            real: Instant::now(),
        }
    }

    fn measure_end(&self, scenario: &str, start: &MeasureStart) -> ScenarioResult {
        let size = self.lab.config.size;
        let seconds = (self.lab.now - start.now).as_secs_f64();
        let grown = |host: HostId| {
            self.lab
                .host_bytes(host)
                .saturating_sub(start.bytes[host as usize]) as f64
        };
        let rates = (0..size.hosts).map(|host| grown(host) / seconds);
        let most = rates.clone().fold(0.0, f64::max);
        let hosts = &self.lab.hosts;
        let real = start.real.elapsed().as_secs_f64();
        ScenarioResult {
            scenario: scenario.to_owned(),
            hosts: size.hosts,
            upstreams: size.upstreams,
            mean_bytes_per_second: rates.sum::<f64>() / f64::from(size.hosts),
            most_bytes_per_second: most,
            platform_calls_per_second: (self.lab.platform.calls - start.calls) as f64 / seconds,
            memory_per_host: self.memory,
            mixed: hosts.iter().map(|host| host.core.status().mixed).sum(),
            reverted: hosts.iter().filter(|host| host.reverted).count() as u64,
            core_share: real / seconds / f64::from(size.hosts),
            ..ScenarioResult::default()
        }
    }
}

/// Changes at a steady rate.
pub fn steady_changes(size: LabSize, rate: f64, seconds: u64) -> ScenarioResult {
    let mut warm = warm_lab(size);
    let start = warm.measure_start();
    let pause = Duration::from_secs_f64(1.0 / rate);
    let count = (seconds as f64 * rate) as u32;
    let mut tracker = ForceTracker::default();
    for _change in 0..count {
        let version = warm.lab.config.change_one(&mut warm.lab.platform);
        tracker.published(warm.lab.now, version);
        let next = warm.lab.now + pause;
        while warm.lab.now < next {
            let step = Duration::from_millis(10).min(next - warm.lab.now);
            warm.lab.run_for(step);
            tracker.observe(&warm.lab);
        }
    }
    let mut result = warm.measure_end("steady", &start);
    let drained = warm
        .lab
        .run_until(CHANGE_LIMIT, |lab| lab.in_force(lab.platform.revision()));
    tracker.observe(&warm.lab);
    result.changes_per_second = rate;
    result.in_force_seconds = drained.map(|_| tracker.longest.as_secs_f64());
    result
}

/// Many changes at one moment.
pub fn burst_changes(size: LabSize, count: u32) -> ScenarioResult {
    let mut warm = warm_lab(size);
    let start = warm.measure_start();
    for _change in 0..count {
        warm.lab.config.change_one(&mut warm.lab.platform);
    }
    let took = wait_for_newest(&mut warm.lab);
    let mut result = warm.measure_end(&format!("burst of {count}"), &start);
    result.in_force_seconds = took;
    result
}

/// A host that is away while changes go on, then starts anew.
pub fn host_away(size: LabSize, rate: f64, away: Duration) -> ScenarioResult {
    let mut warm = warm_lab(size);
    let absent = size.hosts - 1;
    let frozen = warm.lab.hosts[absent as usize].version;
    // The host keeps its memory: a process that was paused, or cut off.
    warm.lab.cut_paths(|left, _right| left == absent);
    warm.lab.hosts[absent as usize].platform_cut = true;
    let changes = (away.as_secs_f64() * rate) as u32;
    for _change in 0..changes {
        warm.lab.config.change_one(&mut warm.lab.platform);
        warm.lab.run_for(away / changes);
    }
    debug_assert!(warm.lab.hosts[absent as usize].version >= frozen);
    warm.lab.cut.clear();
    warm.lab.hosts[absent as usize].platform_cut = false;
    let start = warm.measure_start();
    let took = wait_for_newest(&mut warm.lab);
    let mut result = warm.measure_end(&format!("back after {} s", away.as_secs()), &start);
    result.changes_per_second = rate;
    result.in_force_seconds = took;
    result
}

/// Every reader of a zone dies at once, and a change follows.
pub fn readers_die(size: LabSize) -> ScenarioResult {
    let mut warm = warm_lab(size);
    let start = warm.measure_start();
    for zone in 0..size.zones {
        let reading = |host: &HostId| {
            let host = &warm.lab.hosts[*host as usize];
            host.zone == zone && host.core.status().reading
        };
        let readers: Vec<HostId> = (0..size.hosts).filter(reading).collect();
        for reader in readers.into_iter().take(READERS_PER_ZONE) {
            warm.lab.kill(reader);
        }
    }
    warm.lab.config.change_one(&mut warm.lab.platform);
    let took = wait_for_newest(&mut warm.lab);
    let mut result = warm.measure_end("all readers die", &start);
    result.in_force_seconds = took;
    result
}

/// A host loses the platform and every path to its peers but one.
pub fn one_path(size: LabSize) -> ScenarioResult {
    let mut warm = warm_lab(size);
    let lonely = size.hosts - 1;
    warm.lab.hosts[lonely as usize].platform_cut = true;
    warm.lab
        .cut_paths(|left, right| left == lonely && right != 0);
    let start = warm.measure_start();
    warm.lab.config.change_one(&mut warm.lab.platform);
    let took = wait_for_newest(&mut warm.lab);
    let mut result = warm.measure_end("one path left", &start);
    result.in_force_seconds = took;
    result
}

/// The platform is away for hours, then back with an older copy, and then goes on.
pub fn platform_away(size: LabSize, away: Duration) -> ScenarioResult {
    let mut warm = warm_lab(size);
    warm.lab.platform.take_copy();
    for _change in 0..5 {
        warm.lab.config.change_one(&mut warm.lab.platform);
    }
    wait_for_newest(&mut warm.lab);
    let start = warm.measure_start();
    warm.lab.platform.away = true;
    warm.lab.run_for(away);
    let mut result = warm.measure_end(&format!("platform away {} s", away.as_secs()), &start);
    warm.lab.platform.restore_copy();
    warm.lab.platform.away = false;
    warm.lab.run_for(Duration::from_secs(90));
    for _change in 0..6 {
        warm.lab.config.change_one(&mut warm.lab.platform);
    }
    result.in_force_seconds = wait_for_newest(&mut warm.lab);
    let reverted = warm.lab.hosts.iter().filter(|host| host.reverted);
    result.reverted = reverted.count() as u64;
    result
}

/// A zone is cut off from the others and the platform while changes go on; time to catch up.
pub fn zone_cut(size: LabSize, cut: Duration) -> ScenarioResult {
    let mut warm = warm_lab(size);
    let zones = size.zones;
    warm.lab
        .cut_paths(|left, right| (left % zones == 0) != (right % zones == 0));
    set_platform_cut(&mut warm.lab, true);
    let changes = cut.as_secs() as u32 / 2;
    for _change in 0..changes {
        warm.lab.config.change_one(&mut warm.lab.platform);
        warm.lab.run_for(Duration::from_secs(2));
    }
    warm.lab.cut.clear();
    set_platform_cut(&mut warm.lab, false);
    let start = warm.measure_start();
    let took = wait_for_newest(&mut warm.lab);
    let mut result = warm.measure_end(&format!("zone cut for {} s", cut.as_secs()), &start);
    result.in_force_seconds = took;
    result
}

fn set_platform_cut(lab: &mut ControlLab, cut: bool) {
    for host in lab.hosts.iter_mut().filter(|host| host.zone == 0) {
        host.platform_cut = cut;
    }
}

/// A whole zone starts at once.
pub fn cold_start(size: LabSize) -> ScenarioResult {
    let warm = warm_lab(size);
    let calls = warm.lab.platform.calls as f64;
    let seconds = warm.started_in.map(|took| took.as_secs_f64());
    ScenarioResult {
        scenario: "cold start".to_owned(),
        hosts: size.hosts,
        upstreams: size.upstreams,
        platform_calls_per_second: seconds.map_or(0.0, |seconds| calls / seconds),
        in_force_seconds: seconds,
        memory_per_host: warm.memory,
        ..ScenarioResult::default()
    }
}

fn wait_for_newest(lab: &mut ControlLab) -> Option<f64> {
    let version = lab.platform.revision();
    let begin = lab.now;
    let took = lab.run_until(CHANGE_LIMIT, |lab| lab.in_force(version));
    // Rates are taken over a minute at least, so that short scenarios do not show peaks only.
    lab.run_for(MEASURE_TIME.saturating_sub(lab.now - begin));
    took.map(|took| took.as_secs_f64())
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
