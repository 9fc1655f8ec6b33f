//! Measures the relay ratio and, with a floor, fails below it.

use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use lagoonproxy_standin::relay_bench::RelayRound;
use lagoonproxy_standin::relay_bench::measure_relay;

/// Relays answers through an entry daemon and through a bare UDP relay on the same thread.
#[derive(FromArgs)]
struct BenchArgs {
    /// pairs of rounds
    #[argh(option, default = "9")]
    rounds: usize,
    /// milliseconds of a round
    #[argh(option, default = "300")]
    length_ms: u64,
    /// least median ratio that is no failure
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
            bare.per_busy_second,
            entry.per_second,
            entry.per_busy_second,
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
