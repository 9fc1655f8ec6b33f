//! The entry daemon of an entry host.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use lagoonproxy::daemon_settings::EntrySettings;
use lagoonproxy_daemon::daemon_exit::DaemonError;
use lagoonproxy_daemon::daemon_exit::daemon_exit;
use lagoonproxy_daemon::entry_daemon::EntryDaemon;
use lagoonproxy_daemon::logging;
use lagoonproxy_daemon::settings_file::read_settings;
use lagoonproxy_daemon::shutdown_signal::terminated;

/// Carries callers' datagrams to upstreams and back.
#[derive(FromArgs)]
struct EntryArgs {
    /// settings file in YAML
    #[argh(option)]
    settings: PathBuf,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: EntryArgs = argh::from_env();
    logging::init();
    daemon_exit(run(&args).await)
}

async fn run(args: &EntryArgs) -> Result<(), Box<dyn DaemonError>> {
    let settings = read_settings(&args.settings, EntrySettings::parse)?;
    let daemon = EntryDaemon::bind(&settings).await?;
    let host = settings.host;
    log::info!(host; "serving");
    daemon.run(terminated()).await?;
    log::info!(host; "stopped");
    Ok(())
}
