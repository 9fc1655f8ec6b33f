//! The data daemon of an entry host.

use std::path::PathBuf;

use argh::FromArgs;
use lagoonproxy::daemon_settings::EntrySettings;
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
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args: EntryArgs = argh::from_env();
    logging::init();
    let settings = read_settings(&args.settings, EntrySettings::parse)?;
    let daemon = EntryDaemon::bind(&settings).await?;
    daemon.run(terminated()).await?;
    Ok(())
}
