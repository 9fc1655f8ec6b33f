//! Bounds on the control plane that CI enforces: counts and ratios of runs in virtual time.

use std::process::ExitCode;

use crate::lab_config::LabSize;
use crate::lab_scenario::ReadyLab;
use crate::lab_scenario::ScenarioResult;

/// Maximum bytes per second of any host at the current fleet size, with a change every 2 s.
const MAX_TODAY_BYTES: f64 = 3_000.0;
/// Maximum bytes per second of any host in a zone of the target size.
const MAX_ZONE_BYTES: f64 = 25_000.0;
/// Maximum seconds until a change is active on all hosts.
const MAX_ACTIVATION_SECONDS: f64 = 5.0;
/// Maximum factor by which a host's traffic may grow from 8 to 424 hosts per zone.
const MAX_BYTES_GROWTH: f64 = 2.0;
/// Maximum factor by which the platform calls may grow from 8 to 424 hosts per zone.
const MAX_CALLS_GROWTH: f64 = 1.1;

/// A measured value and its bound.
struct BoundCheck {
    name: &'static str,
    measured: f64,
    bound: f64,
}

/// Runs the checks and passes each measurement to `show`. Returns a failure if a bound is exceeded.
pub fn run_checks(show: fn(&ScenarioResult)) -> ExitCode {
    let today = ReadyLab::start(LabSize::today()).steady_changes(0.5, 60);
    let [small, large] = [8, 424].map(|hosts| {
        let size = LabSize {
            upstreams: 160,
            services: 10,
            ..LabSize::large_zone(hosts)
        };
        ReadyLab::start(size).steady_changes(0.6, 5)
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
            MAX_TODAY_BYTES,
        ),
        bound(
            "today, seconds to be in force",
            seconds(today),
            MAX_ACTIVATION_SECONDS,
        ),
        bound(
            "424 hosts, busiest host, bytes a second",
            large.most_bytes_per_second,
            MAX_ZONE_BYTES,
        ),
        bound(
            "424 hosts, seconds to be in force",
            seconds(large),
            MAX_ACTIVATION_SECONDS,
        ),
        bound(
            "average bytes of 424 hosts over those of 8",
            large.mean_bytes_per_second / small.mean_bytes_per_second,
            MAX_BYTES_GROWTH,
        ),
        bound(
            "platform calls of 424 hosts over those of 8",
            large.platform_calls_per_second / small.platform_calls_per_second,
            MAX_CALLS_GROWTH,
        ),
        bound(
            "hosts that went back to an older version",
            reverted([today, small, large]),
            0.0,
        ),
    ]
}

/// Returns the propagation time, or infinity if the change did not reach all hosts, so that the
/// bound is exceeded.
fn seconds(result: &ScenarioResult) -> f64 {
    result.in_force_seconds.unwrap_or(f64::INFINITY)
}

fn reverted(results: [&ScenarioResult; 3]) -> f64 {
    results.iter().map(|result| result.reverted as f64).sum()
}
