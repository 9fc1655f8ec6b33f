//! Runs the soak test of `lagoon-packet` with several seeds, one after the other.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use lagoonproxy_standin::packet_soak::SoakSettings;
use lagoonproxy_standin::packet_soak::run_soak;

/// Runs lagoon-packet processes with stand-ins for the rest of the platform, and injects faults
/// chosen by a seed.
#[derive(FromArgs)]
struct Arguments {
    /// path of the program lagoon-packet
    #[argh(option)]
    program: PathBuf,
    /// the first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds
    #[argh(option, default = "10")]
    seeds: u64,
    /// duration of the faults of each seed, in seconds
    #[argh(option, default = "15")]
    seconds: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Arguments = argh::from_env();
    let mut failed = 0;
    for seed in args.seed..args.seed + args.seeds {
        let settings = SoakSettings {
            seed,
            faults: Duration::from_secs(args.seconds),
        };
        let report = run_soak(&args.program, settings).await;
        let result = if report.broken.is_empty() {
            "kept"
        } else {
            "BROKEN"
        };
        let (answered, lost) = (report.answered, report.failed);
        println!("seed {seed}: {result}, {answered} answered, {lost} failed");
        if !report.broken.is_empty() {
            failed += 1;
            for line in report
                .faults
                .iter()
                .chain(&report.broken)
                .chain(&report.evidence)
            {
                println!("  {line}");
            }
        }
    }
    println!("{failed} of {} seeds violated an invariant", args.seeds);
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
