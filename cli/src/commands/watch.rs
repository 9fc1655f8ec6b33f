//! `lagoonctl watch`: waits until a version is in force on every host.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use lagoonproxy::host_status::HostStatus;
use lagoonproxy::ids::Version;
use lagoonproxy::key_version::parse_version;
use lagoonproxy::result_code::ResultCode;
use lagoonproxy::unit_text::UnitError;
use lagoonproxy::unit_text::parse_duration;
use serde::de::DeserializeOwned;

use crate::admin_client::HostReply;
use crate::admin_client::read_hosts;
use crate::command_error::CommandError;
use crate::command_report::CommandReport;
use crate::commands::status::status_report;

/// Interval at which hosts are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Wait until a version, or a newer one, is in force on every host.
#[derive(FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct WatchArgs {
    /// admin address of a host; may be repeated
    #[argh(option)]
    pub host: Vec<SocketAddr>,
    /// the version, such as 105; with the era before it, such as 1.105, if the platform was restored
    /// from a backup
    #[argh(option, from_str_fn(parse_version_option))]
    pub version: Version,
    /// maximum time to wait, such as 30s
    #[argh(option, default = "Duration::from_secs(30)", from_str_fn(parse_wait))]
    pub wait: Duration,
}

/// Polls the hosts until all have the version or a newer one, or the time is over. Prints progress
/// to standard error.
pub async fn cmd_watch(args: &WatchArgs) -> Result<CommandReport, CommandError> {
    let has_version = |reply: &HostReply<HostStatus>| {
        let status = reply.status.as_ref();
        status.is_ok_and(|status| status.config_version >= Some(args.version))
    };
    wait_for_hosts(
        &args.host,
        args.wait,
        "have the version",
        has_version,
        status_report,
    )
    .await
}

/// Polls the hosts until `is_done` holds for all of them or `wait` has passed. Returns the report
/// of the last poll, with `Success` or `NotConverged` as its result code.
///
/// Prints `N of M hosts` and `what` to standard error whenever N changes.
pub async fn wait_for_hosts<S: DeserializeOwned + Send + 'static>(
    hosts: &[SocketAddr],
    wait: Duration,
    what: &str,
    is_done: impl Fn(&HostReply<S>) -> bool,
    report_replies: impl Fn(&[HostReply<S>]) -> CommandReport,
) -> Result<CommandReport, CommandError> {
    let deadline = Instant::now() + wait;
    let mut last_printed = None;
    loop {
        let replies = read_hosts::<S>(hosts).await?;
        let done = replies.iter().filter(|reply| is_done(reply)).count();
        if last_printed.replace(done) != Some(done) {
            eprintln!("{done} of {} hosts {what}", replies.len());
        }
        let mut report = report_replies(&replies);
        if done == replies.len() {
            report.code = ResultCode::Success;
            return Ok(report);
        }
        if deadline <= Instant::now() {
            report.code = ResultCode::NotConverged;
            return Ok(report);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn parse_version_option(text: &str) -> Result<Version, String> {
    parse_version(text).map_err(|fault| fault.to_string())
}

/// Parses a duration of the command line.
pub fn parse_wait(text: &str) -> Result<Duration, String> {
    parse_duration(text).map_err(|error: UnitError| error.to_string())
}
