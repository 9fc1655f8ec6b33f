//! Runs the platform stand-in as a program.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use lagoonproxy_daemon::shutdown_signal::terminated;
use lagoonproxy_standin::platform::Platform;
use serde_json::Value;
use tokio::net::TcpListener;

/// Serves a configuration store that hosts read and watch, and that operators and tests change.
#[derive(FromArgs)]
struct PlatformArgs {
    /// address to listen at; port 0 selects a free port
    #[argh(option, default = "([127, 0, 0, 1], 0).into()")]
    address: SocketAddr,
    /// YAML file with the keys and values to publish at startup
    #[argh(option)]
    publish: Option<PathBuf>,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args: PlatformArgs = argh::from_env();
    let platform = Platform::default();
    if let Some(path) = &args.publish {
        let text = std::fs::read_to_string(path)?;
        let values: BTreeMap<String, Value> = serde_norway::from_str(&text)?;
        for (key, value) in values {
            platform.change(&key, Some(value), None)?;
        }
    }
    let listener = TcpListener::bind(args.address).await?;
    println!("listening on {}", listener.local_addr()?);
    tokio::select! {
        served = platform.serve(listener) => Ok(served?),
        () = terminated() => Ok(()),
    }
}
