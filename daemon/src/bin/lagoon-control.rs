//! The control daemon of an entry host.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use lagoonproxy::daemon_settings::ControlSettings;
use lagoonproxy_daemon::control_daemon::ControlDaemon;
use lagoonproxy_daemon::daemon_exit::DaemonError;
use lagoonproxy_daemon::daemon_exit::daemon_exit;
use lagoonproxy_daemon::logging;
use lagoonproxy_daemon::settings_file::read_settings;
use lagoonproxy_daemon::shutdown_signal::terminated;

/// Reads the platform and hands configuration and hosts to the entry daemon.
#[derive(FromArgs)]
struct ControlArgs {
    /// settings file in YAML
    #[argh(option)]
    settings: PathBuf,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: ControlArgs = argh::from_env();
    logging::init();
    daemon_exit(run(&args).await)
}

async fn run(args: &ControlArgs) -> Result<(), Box<dyn DaemonError>> {
    let settings = read_settings(&args.settings, ControlSettings::parse)?;
    let daemon = ControlDaemon::bind(&settings).await?;
    let host = settings.host;
    log::info!(host; "serving");
    daemon.run(terminated()).await?;
    log::info!(host; "stopped");
    Ok(())
}
