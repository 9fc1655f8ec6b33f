//! The control daemon of an entry host.

use std::path::PathBuf;

use argh::FromArgs;
use lagoonproxy::daemon_settings::ControlSettings;
use lagoonproxy_daemon::control_daemon::ControlDaemon;
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
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args: ControlArgs = argh::from_env();
    logging::init();
    let settings = read_settings(&args.settings, ControlSettings::parse)?;
    let daemon = ControlDaemon::bind(&settings).await?;
    daemon.run(terminated()).await?;
    Ok(())
}
