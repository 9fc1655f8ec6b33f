//! Runs all upstream stand-ins of a settings file in one process.

use std::path::PathBuf;

use argh::FromArgs;
use lagoonproxy_daemon::shutdown_signal::terminated;
use lagoonproxy_standin::upstream::Upstream;
use lagoonproxy_standin::upstream_core::UpstreamSettings;
use tokio::task::JoinSet;

/// Runs upstreams that record the requests they run and send verifiable responses.
#[derive(FromArgs)]
struct UpstreamArgs {
    /// YAML file with a list of upstreams
    #[argh(option)]
    settings: PathBuf,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args: UpstreamArgs = argh::from_env();
    let text = std::fs::read_to_string(&args.settings)?;
    let list: Vec<UpstreamSettings> = serde_norway::from_str(&text)?;
    let mut upstreams = JoinSet::new();
    for settings in list {
        let id = settings.id;
        let upstream = Upstream::bind(settings).await?;
        let address = upstream.address()?;
        let health_address = upstream.health_address()?;
        println!("upstream {id} listening on {address} endpoints {health_address}");
        upstreams.spawn(upstream.run());
    }
    tokio::select! {
        Some(ended) = upstreams.join_next() => Ok(ended??),
        () = terminated() => Ok(()),
    }
}
