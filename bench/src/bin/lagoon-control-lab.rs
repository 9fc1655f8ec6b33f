//! Measures the control plane: runs the control cores of many hosts in one process, in virtual
//! time.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use lagoonproxy_bench::lab_check;
use lagoonproxy_bench::lab_config::LabSize;
use lagoonproxy_bench::lab_plot;
use lagoonproxy_bench::lab_scenario::ReadyLab;
use lagoonproxy_bench::lab_scenario::ScenarioResult;

const HOUR: Duration = Duration::from_secs(3_600);
/// Duration in seconds of the steady runs with 60 changes per second.
const FAST_SECONDS: u64 = 15;

/// Runs the scenarios; prints a table row and a JSON line for each.
#[derive(FromArgs)]
struct LabArgs {
    /// only check the bounds of CI, which takes seconds
    #[argh(switch)]
    check: bool,
    /// entry hosts of the largest zone
    #[argh(option, default = "424")]
    most_hosts: u32,
    /// only start 8 hosts with this many upstreams, and show the memory per host
    #[argh(option)]
    memory: Option<u32>,
    /// write a plot of the slopes to this file as SVG
    #[argh(option)]
    plot: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args: LabArgs = argh::from_env();
    println!("{}", ScenarioResult::table_head());
    if args.check {
        return lab_check::run_checks(print_result);
    }
    if let Some(upstreams) = args.memory {
        // No other lab may run before this one: it would reuse memory that the earlier lab freed,
        // which would not show as growth.
        let mut size = LabSize::large_zone(8);
        size.services = size.services * upstreams / size.upstreams;
        size.upstreams = upstreams;
        printed(ReadyLab::start(size).cold);
        return ExitCode::SUCCESS;
    }
    let mut results = current_fleet_results();
    results.extend(partition_results());
    results.extend(shard_results());
    for hosts in [8, 64, 424]
        .into_iter()
        .filter(|hosts| *hosts <= args.most_hosts)
    {
        results.extend(large_zone_results(hosts));
    }
    let Some(path) = args.plot else {
        return ExitCode::SUCCESS;
    };
    match lab_plot::plot_slopes(&path, &results) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cannot write {}: {error}", path.display());
            ExitCode::FAILURE
        }
    }
}

/// Runs every scenario with a fleet of the current size.
fn current_fleet_results() -> Vec<ScenarioResult> {
    let size = LabSize::today();
    let mut warm = ReadyLab::start(size);
    vec![
        printed(warm.cold.clone()),
        printed(warm.steady_changes(0.5, 120)),
        printed(warm.host_restarts()),
        printed(warm.burst_changes(1_000)),
        printed(warm.single_path()),
        printed(warm.readers_die()),
        printed(warm.host_reconnects(0.5, HOUR)),
        printed(ReadyLab::start(size).platform_outage(HOUR * 2)),
        printed(ReadyLab::start(size).zone_cut(HOUR / 6)),
    ]
}

/// Runs the scenarios with a zone of the target size and `hosts` hosts.
fn large_zone_results(hosts: u32) -> Vec<ScenarioResult> {
    let mut warm = ReadyLab::start(LabSize::large_zone(hosts));
    vec![
        printed(warm.cold.clone()),
        printed(warm.steady_changes(0.6, 30)),
        printed(warm.host_restarts()),
        printed(warm.single_path()),
        printed(warm.readers_die()),
        printed(warm.burst_changes(1_000)),
        printed(warm.steady_changes(60.0, FAST_SECONDS)),
    ]
}

/// Runs scenarios with different numbers of upstreams per key.
fn shard_results() -> Vec<ScenarioResult> {
    let mut results = Vec::new();
    for upstream_shard in [1, 4, 128] {
        let mut warm = ReadyLab::start(LabSize {
            upstream_shard,
            ..LabSize::large_zone(8)
        });
        results.push(printed(warm.cold.clone()));
        results.push(printed(warm.steady_changes(0.6, 30)));
        results.push(printed(warm.steady_changes(60.0, FAST_SECONDS)));
    }
    results
}

/// Runs a scenario in which a host of a large zone is partitioned for an hour.
fn partition_results() -> Vec<ScenarioResult> {
    let mut warm = ReadyLab::start(LabSize::large_zone(8));
    vec![printed(warm.host_reconnects(0.6, HOUR))]
}

fn printed(result: ScenarioResult) -> ScenarioResult {
    print_result(&result);
    result
}

fn print_result(result: &ScenarioResult) {
    println!("{}", result.table_row());
    if let Ok(line) = serde_json::to_string(result) {
        println!("{line}");
    }
}
