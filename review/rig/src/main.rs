//! Runs one script case: entry hosts as separate processes on loopback addresses, with the
//! project's stand-ins for the store, the upstreams, the fabric and the callers.
//!
//! Usage: `lagoonproxy-review CASE FOLDER`, started in the repository's root.

mod cluster;
mod hosts_added;
mod outage_in_rollout;
mod readers_unanswered;
mod store_proxy;

use std::process::ExitCode;
use std::time::Duration;

/// A case that takes longer could not run. The processes that it started end with it.
const MAX_CASE_TIME: Duration = Duration::from_secs(115);

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = async {
        match case.as_str() {
            "hosts-added" => hosts_added::run(&folder, has_trouble).await,
            "outage-in-rollout" => outage_in_rollout::run(&folder, has_trouble).await,
            "readers-unanswered" => readers_unanswered::run(&folder, has_trouble).await,
            _ => Err(format!("no case {case}").into()),
        }
    };
    let result = tokio::time::timeout(MAX_CASE_TIME, run).await;
    match result.unwrap_or_else(|_elapsed| Err("it took too long".into())) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
