//! Runs one script case: entry hosts as separate processes on loopback addresses, with the
//! project's stand-ins for the store, the upstreams, the fabric and the callers.
//!
//! Usage: `lagoonproxy-review CASE`, started in the repository's root.

mod callers;
mod cluster;
mod hosts_added;
mod outage_in_rollout;
mod readers_unanswered;
mod store_proxy;

use std::process::ExitCode;
use std::time::Duration;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// A case that takes longer could not run. The processes that it started end with it.
const MAX_CASE_TIME: Duration = Duration::from_secs(115);

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> ExitCode {
    let Some(case) = std::env::args().nth(1) else {
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = async {
        match case.as_str() {
            "hosts-added" => hosts_added::run(has_trouble).await,
            "outage-in-rollout" => outage_in_rollout::run(has_trouble).await,
            "readers-unanswered" => readers_unanswered::run(has_trouble).await,
            _ => Err(format!("no case {case}").into()),
        }
    };
    let Ok(mut terminated) = signal(SignalKind::terminate()) else {
        return ExitCode::from(2);
    };
    // The processes of the case end when its future is dropped.
    let result = tokio::select! {
        result = run => result,
        () = tokio::time::sleep(MAX_CASE_TIME) => Err("it took too long".into()),
        _ = terminated.recv() => Err("it was stopped".into()),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
