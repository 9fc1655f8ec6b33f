//! Demonstration: runs platform, entry hosts, upstreams and callers in one process, and prints a
//! table of the callers' results.

use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use lagoonproxy_standin::demo::DEMO_SERVICES;
use lagoonproxy_standin::demo::DEMO_ZONES;
use lagoonproxy_standin::demo::Demo;
use lagoonproxy_standin::demo::service_addresses;
use lagoonproxy_standin::fabric::FabricSettings;
use lagoonproxy_standin::load_run::LoadProgress;
use lagoonproxy_standin::load_run::LoadRun;
use lagoonproxy_standin::load_run::demo_load;

/// Starts a platform, entry hosts and upstreams on loopback, and sends requests through a fabric
/// that drops, duplicates and reorders datagrams.
#[derive(FromArgs)]
struct DemoArgs {
    /// number of requests to send
    #[argh(option, default = "10_000")]
    requests: u64,
    /// number of entry hosts to start
    #[argh(option, default = "8")]
    hosts: u32,
    /// probability, each, that the fabric drops, duplicates or reorders a datagram
    #[argh(option, default = "0.01")]
    trouble: f64,
}

#[tokio::main]
async fn main() -> Result<ExitCode, Box<dyn std::error::Error>> {
    let args: DemoArgs = argh::from_env();
    let fabric = FabricSettings {
        seed: 1,
        loss: args.trouble,
        duplication: args.trouble,
        reordering: args.trouble,
        delay_ms: 0.0,
        jitter_ms: 0.0,
        held_ms: 5.0,
    };
    let demo = Demo::start(args.hosts, &DEMO_ZONES, &DEMO_SERVICES, fabric).await?;
    let addresses = service_addresses(&DEMO_SERVICES);
    let settings = demo_load(&addresses, &DEMO_ZONES, args.requests);
    let run = LoadRun::open(settings, &demo.fabric).await?;
    let reporting = tokio::spawn(show_progress(run.progress(), args.requests));
    let mut report = run.run().await;
    reporting.abort();
    let services = DEMO_SERVICES.map(|service| service.address);
    report.verify(&services, &demo.run_reports());
    let fabric = demo.fabric.counters();
    println!(
        "{} entry hosts, {} zones, fabric: {} datagrams, {} lost, {} repeated, {} reordered\n",
        args.hosts,
        DEMO_ZONES.len(),
        fabric.carried,
        fabric.lost,
        fabric.duplicated,
        fabric.reordered,
    );
    print!("{report}");
    Ok(ExitCode::from(report.exit_code()))
}

async fn show_progress(progress: LoadProgress, requests: u64) {
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        eprintln!("{} of {requests} jobs ended", progress.ended());
    }
}
