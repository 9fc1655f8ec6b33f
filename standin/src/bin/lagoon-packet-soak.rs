//! Runs the soak of `lagoon-packet` with a number of seeds, one after the other.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use lagoonproxy_standin::packet_soak::SoakSettings;
use lagoonproxy_standin::packet_soak::run_soak;

/// Run real entry hosts among stand-ins, with faults that a seed decides.
#[derive(FromArgs)]
struct Arguments {
    /// the program lagoon-packet
    #[argh(option)]
    program: PathBuf,
    /// the first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// how many seeds
    #[argh(option, default = "10")]
    seeds: u64,
    /// seconds of faults with each seed
    #[argh(option, default = "15")]
    seconds: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let mut failed = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let settings = SoakSettings {
            seed,
            faults: Duration::from_secs(arguments.seconds),
        };
        let report = run_soak(&arguments.program, settings).await;
        let verdict = if report.broken.is_empty() {
            "kept"
        } else {
            "BROKEN"
        };
        let (answered, lost) = (report.answered, report.failed);
        println!("seed {seed}: {verdict}, {answered} answered, {lost} failed");
        if !report.broken.is_empty() {
            failed += 1;
            for line in report.faults.iter().chain(&report.broken) {
                println!("  {line}");
            }
        }
    }
    println!("{failed} of {} seeds broke a promise", arguments.seeds);
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
