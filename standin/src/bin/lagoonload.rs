//! Load generator: sends requests through its own fabric to running entry hosts, and checks the
//! responses against the counters of the upstreams.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use lagoonproxy_standin::fabric::Fabric;
use lagoonproxy_standin::fabric::FabricHost;
use lagoonproxy_standin::fabric::FabricSettings;
use lagoonproxy_standin::load_report::LoadReport;
use lagoonproxy_standin::load_run::LoadProgress;
use lagoonproxy_standin::load_run::LoadRun;
use lagoonproxy_standin::load_run::LoadSettings;
use lagoonproxy_standin::ready_wait::wait_until_ok;
use lagoonproxy_standin::ready_wait::wait_until_ready;
use lagoonproxy_standin::upstream::RunReport;
use serde::Deserialize;
use serde_json::json;

/// Interval of progress output.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Sends requests to entry hosts. Exit codes: 0 success, 10 double run, 11 false 'not run',
/// 12 foreign, 13 truncated, 14 lost, 15 broken flow. The lowest applicable code is used.
#[derive(FromArgs)]
struct LoadArgs {
    /// settings file in YAML
    #[argh(option)]
    settings: PathBuf,
    /// number of requests, overrides the settings file
    #[argh(option)]
    requests: Option<u64>,
    /// requests per second, overrides the settings file
    #[argh(option)]
    rate: Option<f64>,
    /// print JSON lines instead of the table
    #[argh(switch)]
    json: bool,
}

/// Settings file of the program.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ToolSettings {
    load: LoadSettings,
    #[serde(default)]
    fabric: FabricSettings,
    /// Entry hosts that receive the callers' datagrams.
    hosts: Vec<FabricHost>,
    /// Admin addresses of hosts that must be ready before the load begins.
    #[serde(default)]
    ready: Vec<SocketAddr>,
    /// Addresses at which the upstreams report the requests that they ran.
    #[serde(default)]
    upstreams: Vec<SocketAddr>,
}

#[tokio::main]
async fn main() -> Result<ExitCode, Box<dyn std::error::Error>> {
    let args: LoadArgs = argh::from_env();
    let text = std::fs::read_to_string(&args.settings)?;
    let mut settings: ToolSettings = serde_norway::from_str(&text)?;
    let load = &mut settings.load;
    load.requests = args.requests.unwrap_or(load.requests);
    load.rate = args.rate.unwrap_or(load.rate);
    wait_until_ready(&settings.ready).await;
    for address in &settings.upstreams {
        wait_until_ok(&format!("http://{address}/load")).await;
    }
    let fabric = Fabric::new(settings.fabric, settings.hosts.clone());
    let run = LoadRun::open(settings.load.clone(), &fabric).await?;
    let progress = tokio::spawn(show_progress(run.progress(), settings.load.requests));
    let mut report = run.run().await;
    progress.abort();
    check_results(&mut report, &settings).await?;
    if args.json {
        print_json(&report, &fabric)?;
    } else {
        println!("fabric: {:?}\n\n{report}", fabric.counters());
    }
    Ok(ExitCode::from(report.exit_code()))
}

async fn show_progress(progress: LoadProgress, requests: u64) {
    loop {
        tokio::time::sleep(PROGRESS_INTERVAL).await;
        let begun = progress.begun();
        let ended = progress.ended();
        eprintln!(
            "{ended} of {requests} jobs ended, {} in progress",
            begun - ended
        );
    }
}

async fn check_results(report: &mut LoadReport, settings: &ToolSettings) -> reqwest::Result<()> {
    let mut runs = Vec::new();
    for address in &settings.upstreams {
        let response = reqwest::get(format!("http://{address}/standin/runs")).await?;
        runs.push(response.json::<RunReport>().await?);
    }
    let services = settings.load.services.iter();
    let addresses: Vec<SocketAddr> = services.map(|service| service.address).collect();
    report.verify(&addresses, &runs);
    Ok(())
}

fn print_json(report: &LoadReport, fabric: &Fabric) -> serde_json::Result<()> {
    for tally in &report.services {
        let line = json!({"service": tally, "latency": tally.latency()});
        println!("{}", serde_json::to_string(&line)?);
    }
    let line = json!({
        "double_runs": report.double_runs,
        "false_not_run": report.false_not_run,
        "foreign_runs": report.foreign_runs,
        "broken_flows": report.broken_flows,
        "moved_flows": report.moved_flows,
        "fabric": fabric.counters(),
        "exit_code": report.exit_code(),
    });
    println!("{}", serde_json::to_string(&line)?);
    Ok(())
}
