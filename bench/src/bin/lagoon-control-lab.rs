//! Measures the control plane: the real control cores of many hosts, in one process, virtual time.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use lagoonproxy_bench::lab_check;
use lagoonproxy_bench::lab_config::LabSize;
use lagoonproxy_bench::lab_plot;
use lagoonproxy_bench::lab_scenario::ScenarioResult;
use lagoonproxy_bench::lab_scenario::WarmLab;

const HOUR: Duration = Duration::from_secs(3_600);
/// Changes of the steady runs at 60 a second.
const FAST_SECONDS: u64 = 15;

/// Runs the scenarios and prints a table and a JSON line for each.
#[derive(FromArgs)]
struct LabArgs {
    /// check the bounds of CI instead, in seconds
    #[argh(switch)]
    check: bool,
    /// entry hosts of the largest zone
    #[argh(option, default = "424")]
    most_hosts: u32,
    /// only start 8 hosts with this many upstreams, and show the memory of each
    #[argh(option)]
    memory: Option<u32>,
    /// write the slopes as SVG to this file
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
        // Memory that an earlier lab of the process gave back would not be seen growing again.
        let mut size = LabSize::large_zone(8);
        size.services = size.services * upstreams / size.upstreams;
        size.upstreams = upstreams;
        printed(WarmLab::start(size).cold);
        return ExitCode::SUCCESS;
    }
    let mut results = today_results();
    results.extend(away_results());
    results.extend(shard_results());
    for hosts in [8, 64, 424]
        .into_iter()
        .filter(|hosts| *hosts <= args.most_hosts)
    {
        results.extend(zone_results(hosts));
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

/// Today's fleets: every scenario.
fn today_results() -> Vec<ScenarioResult> {
    let size = LabSize::today();
    let mut warm = WarmLab::start(size);
    vec![
        printed(warm.cold.clone()),
        printed(warm.steady_changes(0.5, 120)),
        printed(warm.host_restarts()),
        printed(warm.burst_changes(1_000)),
        printed(warm.one_path()),
        printed(warm.readers_die()),
        printed(warm.host_away(0.5, HOUR)),
        printed(WarmLab::start(size).platform_away(HOUR * 2)),
        printed(WarmLab::start(size).zone_cut(HOUR / 6)),
    ]
}

/// A zone of the size aimed at, with some number of hosts.
fn zone_results(hosts: u32) -> Vec<ScenarioResult> {
    let mut warm = WarmLab::start(LabSize::large_zone(hosts));
    vec![
        printed(warm.cold.clone()),
        printed(warm.steady_changes(0.6, 30)),
        printed(warm.host_restarts()),
        printed(warm.one_path()),
        printed(warm.readers_die()),
        printed(warm.burst_changes(1_000)),
        printed(warm.steady_changes(60.0, FAST_SECONDS)),
    ]
}

/// How the number of upstreams under one key matters.
fn shard_results() -> Vec<ScenarioResult> {
    let mut results = Vec::new();
    for upstream_shard in [1, 4, 128] {
        let mut warm = WarmLab::start(LabSize {
            upstream_shard,
            ..LabSize::large_zone(8)
        });
        results.push(printed(warm.cold.clone()));
        results.push(printed(warm.steady_changes(0.6, 30)));
        results.push(printed(warm.steady_changes(60.0, FAST_SECONDS)));
    }
    results
}

/// A host of a large zone that is cut off for an hour.
fn away_results() -> Vec<ScenarioResult> {
    let mut warm = WarmLab::start(LabSize::large_zone(8));
    vec![printed(warm.host_away(0.6, HOUR))]
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
