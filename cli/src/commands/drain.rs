//! `lagoonctl drain`: waits until draining hosts have finished their requests or have stopped.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use lagoonproxy::host_status::HostStatus;

use crate::admin_client::HostReply;
use crate::command_error::CommandError;
use crate::command_report::CommandReport;
use crate::commands::status::status_report;
use crate::commands::watch::parse_wait;
use crate::commands::watch::wait_for_hosts;

/// Wait until each draining host has finished its requests or has stopped.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// admin address of a host; may be repeated
    #[argh(option)]
    pub host: Vec<SocketAddr>,
    /// maximum time to wait, such as 30s
    #[argh(option, default = "Duration::from_secs(60)", from_str_fn(parse_wait))]
    pub wait: Duration,
}

/// Polls the hosts until each is drained or has stopped, or the time is over. Prints progress to
/// standard error.
pub async fn cmd_drain(args: &DrainArgs) -> Result<CommandReport, CommandError> {
    wait_for_hosts(
        &args.host,
        args.wait,
        "are drained",
        is_drained,
        status_report,
    )
    .await
}

/// Returns whether the drain of a host is complete. An unreachable host counts as stopped, which
/// is how a drain ends.
fn is_drained(reply: &HostReply<HostStatus>) -> bool {
    match &reply.status {
        Ok(status) => status.draining && status.requests == 0,
        Err(_stopped) => true,
    }
}
