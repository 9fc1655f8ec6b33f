//! The bounds of the control plane that CI keeps: counts and ratios of virtual runs.

use std::process::ExitCode;

use crate::lab_config::LabSize;
use crate::lab_scenario::ScenarioResult;
use crate::lab_scenario::WarmLab;

/// Bytes a second that any host may exchange at today's size, with a change every 2 s.
const TODAY_BYTES: f64 = 3_000.0;
/// Bytes a second that any host may exchange in a zone of the size aimed at.
const ZONE_BYTES: f64 = 25_000.0;
/// Seconds after which a change is in force everywhere.
const FORCE_SECONDS: f64 = 5.0;
/// Most that a host's bytes may grow from 8 to 424 hosts a zone.
const BYTES_GROWTH: f64 = 2.0;
/// Most that the calls on the platform may grow from 8 to 424 hosts a zone.
const CALLS_GROWTH: f64 = 1.1;

/// One bound, and what was measured.
struct BoundCheck {
    name: &'static str,
    measured: f64,
    bound: f64,
}

/// Runs the checks, shows each measurement, and fails if a bound is broken.
pub fn run_checks(show: fn(&ScenarioResult)) -> ExitCode {
    let today = WarmLab::start(LabSize::today()).steady_changes(0.5, 60);
    let [small, large] = [8, 424].map(|hosts| {
        let size = LabSize {
            upstreams: 160,
            services: 10,
            ..LabSize::large_zone(hosts)
        };
        WarmLab::start(size).steady_changes(0.6, 5)
    });
    [&today, &small, &large].into_iter().for_each(show);
    let mut broken = 0;
    for check in bound_checks(&today, &small, &large) {
        let kept = check.measured <= check.bound;
        let verdict = if kept { "ok" } else { "BROKEN" };
        println!(
            "{verdict}: {}: {:.2}, at most {:.2}",
            check.name, check.measured, check.bound
        );
        broken += u32::from(!kept);
    }
    if broken == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn bound_checks(
    today: &ScenarioResult,
    small: &ScenarioResult,
    large: &ScenarioResult,
) -> Vec<BoundCheck> {
    let bound = |name, measured, bound| BoundCheck {
        name,
        measured,
        bound,
    };
    vec![
        bound(
            "today, busiest host, bytes a second",
            today.most_bytes_per_second,
            TODAY_BYTES,
        ),
        bound(
            "today, seconds to be in force",
            seconds(today),
            FORCE_SECONDS,
        ),
        bound(
            "424 hosts, busiest host, bytes a second",
            large.most_bytes_per_second,
            ZONE_BYTES,
        ),
        bound(
            "424 hosts, seconds to be in force",
            seconds(large),
            FORCE_SECONDS,
        ),
        bound(
            "average bytes of 424 hosts over those of 8",
            large.mean_bytes_per_second / small.mean_bytes_per_second,
            BYTES_GROWTH,
        ),
        bound(
            "platform calls of 424 hosts over those of 8",
            large.platform_calls_per_second / small.platform_calls_per_second,
            CALLS_GROWTH,
        ),
        bound(
            "hosts that went back to an older version",
            reverted([today, small, large]),
            0.0,
        ),
    ]
}

/// A change that did not get everywhere breaks every bound.
fn seconds(result: &ScenarioResult) -> f64 {
    result.in_force_seconds.unwrap_or(f64::INFINITY)
}

fn reverted(results: [&ScenarioResult; 3]) -> f64 {
    results.iter().map(|result| result.reverted as f64).sum()
}
