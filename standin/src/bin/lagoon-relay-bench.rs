//! Measures the relay ratio of an entry daemon, and fails if the median is below a given floor.

use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use lagoonproxy_standin::relay_bench::RelayRound;
use lagoonproxy_standin::relay_bench::measure_relay;

/// Compares the throughput of responses relayed by an entry daemon with that of a bare UDP relay on
/// the same thread.
#[derive(FromArgs)]
struct BenchArgs {
    /// number of pairs of rounds
    #[argh(option, default = "9")]
    rounds: usize,
    /// duration of a round, in milliseconds
    #[argh(option, default = "300")]
    length_ms: u64,
    /// minimum median ratio; a lower one is a failure
    #[argh(option, default = "0.0")]
    floor: f64,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<ExitCode, Box<dyn std::error::Error>> {
    let args: BenchArgs = argh::from_env();
    let length = Duration::from_millis(args.length_ms);
    let rounds = measure_relay(args.rounds, length).await?;
    let mut ratios: Vec<f64> = rounds.iter().map(RelayRound::ratio).collect();
    for round in &rounds {
        let RelayRound { bare, entry } = round;
        eprintln!(
            "bare {:.0}/s, {:.0} a busy second; entry {:.0}/s, {:.0} a busy second; ratio {:.3}",
            bare.per_second,
            bare.per_cpu_second,
            entry.per_second,
            entry.per_cpu_second,
            round.ratio(),
        );
    }
    ratios.sort_unstable_by(f64::total_cmp);
    let median = ratios[ratios.len() / 2];
    println!("relay ratio, median of {}: {median:.3}", ratios.len());
    Ok(if median < args.floor {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}
