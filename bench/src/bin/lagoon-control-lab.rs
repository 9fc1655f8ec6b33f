//! Measures the control plane: the real control cores of many hosts, in one process, virtual time.

use std::time::Duration;

use argh::FromArgs;
use lagoonproxy_bench::lab_config::LabSize;
use lagoonproxy_bench::lab_scenario;
use lagoonproxy_bench::lab_scenario::ScenarioResult;

/// Runs the scenarios and prints a table and a JSON line for each.
#[derive(FromArgs)]
struct LabArgs {
    /// only scenarios whose label contains this text
    #[argh(option)]
    only: Option<String>,
    /// entry hosts of the largest zone
    #[argh(option, default = "424")]
    most_hosts: u32,
}

/// A scenario that can be asked for by its label.
struct LabRun {
    label: String,
    run: Box<dyn Fn() -> ScenarioResult>,
}

fn main() {
    let args: LabArgs = argh::from_env();
    print_head();
    for lab_run in lab_runs(args.most_hosts) {
        let wanted = args.only.as_ref();
        if wanted.is_none_or(|only| lab_run.label.contains(only.as_str())) {
            print_result(&lab_run.label, &(lab_run.run)());
        }
    }
}

fn today() -> LabSize {
    LabSize {
        hosts: 8,
        zones: 3,
        services: 2,
        upstreams: 18,
    }
}

fn large_zone(hosts: u32) -> LabSize {
    LabSize {
        hosts,
        zones: 1,
        services: 1_121,
        upstreams: 5_000,
    }
}

fn lab_run(label: String, run: impl Fn() -> ScenarioResult + 'static) -> LabRun {
    LabRun {
        label,
        run: Box::new(run),
    }
}

fn lab_runs(most_hosts: u32) -> Vec<LabRun> {
    const HOUR: Duration = Duration::from_secs(3_600);
    const MINUTES: Duration = Duration::from_secs(600);
    let mut runs = vec![
        lab_run("today steady 0.5".to_owned(), || {
            lab_scenario::steady_changes(today(), 0.5, 120)
        }),
        lab_run("today readers".to_owned(), || {
            lab_scenario::readers_die(today())
        }),
        lab_run("today one path".to_owned(), || {
            lab_scenario::one_path(today())
        }),
        lab_run("today host away".to_owned(), || {
            lab_scenario::host_away(today(), 0.5, HOUR)
        }),
        lab_run("today platform away".to_owned(), || {
            lab_scenario::platform_away(today(), HOUR * 2)
        }),
        lab_run("today zone cut".to_owned(), || {
            lab_scenario::zone_cut(today(), MINUTES)
        }),
    ];
    for hosts in [8, 64, 424]
        .into_iter()
        .filter(|hosts| *hosts <= most_hosts)
    {
        let size = large_zone(hosts);
        runs.push(lab_run(format!("{hosts} cold"), move || {
            lab_scenario::cold_start(size)
        }));
        for rate in [0.6, 60.0] {
            runs.push(lab_run(format!("{hosts} steady {rate}"), move || {
                lab_scenario::steady_changes(size, rate, 30)
            }));
        }
        runs.push(lab_run(format!("{hosts} burst"), move || {
            lab_scenario::burst_changes(size, 1_000)
        }));
        runs.push(lab_run(format!("{hosts} readers"), move || {
            lab_scenario::readers_die(size)
        }));
        runs.push(lab_run(format!("{hosts} one path"), move || {
            lab_scenario::one_path(size)
        }));
    }
    runs.push(lab_run("64 host away".to_owned(), || {
        lab_scenario::host_away(large_zone(64), 0.6, HOUR)
    }));
    runs
}

fn print_head() {
    println!(
        "{:<22} {:>5} {:>9} {:>9} {:>9} {:>9} {:>8} {:>6} {:>5} {:>8}",
        "scenario",
        "hosts",
        "mean B/s",
        "most B/s",
        "calls/s",
        "force s",
        "MB/host",
        "mixed",
        "revert",
        "core %"
    );
}

fn print_result(label: &str, result: &ScenarioResult) {
    let force = result.in_force_seconds;
    println!(
        "{:<22} {:>5} {:>9.0} {:>9.0} {:>9.2} {:>9} {:>8.2} {:>6} {:>5} {:>8.3}",
        label,
        result.hosts,
        result.mean_bytes_per_second,
        result.most_bytes_per_second,
        result.platform_calls_per_second,
        force.map_or("never".to_owned(), |seconds| format!("{seconds:.2}")),
        result.memory_per_host as f64 / 1e6,
        result.mixed,
        result.reverted,
        result.core_share * 100.0,
    );
    if let Ok(line) = serde_json::to_string(result) {
        println!("{line}");
    }
}
