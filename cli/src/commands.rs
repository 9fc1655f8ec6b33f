//! The subcommands of `lagoonctl`, one per module.

pub mod check;
pub mod drain;
pub mod evacuation;
pub mod explain;
pub mod forwarders;
pub mod status;
pub mod watch;

use argh::FromArgs;

use crate::command_error::CommandError;
use crate::command_report::CommandReport;

/// Inspects and checks lagoonproxy. No command changes a host or the platform.
#[derive(FromArgs)]
pub struct CtlArgs {
    /// print JSON instead of text
    #[argh(switch)]
    pub json: bool,
    /// the subcommand
    #[argh(subcommand)]
    pub command: CtlCommand,
}

/// The subcommands.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum CtlCommand {
    /// Check files before they are published or used.
    Check(check::CheckArgs),
    /// Show the state of hosts.
    Status(status::StatusArgs),
    /// Show the state of hosts that run lagoon-packet.
    Forwarders(forwarders::ForwardersArgs),
    /// Wait until every host has applied the evacuation of a zone, or its end.
    Evacuation(evacuation::EvacuationArgs),
    /// Explain why an upstream does or does not get new traffic of a service.
    Explain(explain::ExplainArgs),
    /// Wait until a version is in force on every host.
    Watch(watch::WatchArgs),
    /// Wait until draining hosts have finished their requests or stopped.
    Drain(drain::DrainArgs),
}

/// Runs a command and returns its report.
pub async fn run(command: CtlCommand) -> Result<CommandReport, CommandError> {
    match command {
        CtlCommand::Check(args) => check::cmd_check(&args),
        CtlCommand::Status(args) => status::cmd_status(&args).await,
        CtlCommand::Forwarders(args) => forwarders::cmd_forwarders(&args).await,
        CtlCommand::Evacuation(args) => evacuation::cmd_evacuation(&args).await,
        CtlCommand::Explain(args) => explain::cmd_explain(&args).await,
        CtlCommand::Watch(args) => watch::cmd_watch(&args).await,
        CtlCommand::Drain(args) => drain::cmd_drain(&args).await,
    }
}
