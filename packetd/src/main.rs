//! `lagoon-packet`: the one program of an entry host that forwards packets.

mod event_log;
mod freeze_watch;
mod host_metrics;
mod host_process;
mod host_state;
mod line_layout;
mod log_lines;
mod packet_socket;
mod parked_packets;
mod peer_socket;
mod process_signals;
mod settings_file;
mod state_transfer;
mod stop_wait;
mod store_reader;
mod web_server;

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use lagoonproxy_platform::host_file::settings_path;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::process_signals::ProcessSignals;

/// Forward callers' packets to the upstreams of their services.
#[derive(FromArgs)]
struct Arguments {
    /// settings file; the platform's variable names it otherwise
    #[argh(option)]
    settings: Option<PathBuf>,
    /// check the settings and say what they hold, without starting
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("the runtime cannot start: {error}");
            return ExitCode::FAILURE;
        }
    };
    LocalSet::new().block_on(&runtime, start())
}

/// Takes signals before anything else, for until then each of them ends the process.
async fn start() -> ExitCode {
    let signals = match ProcessSignals::new() {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("cannot wait for signals: {error}");
            return ExitCode::FAILURE;
        }
    };
    let arguments: Arguments = argh::from_env();
    let path = arguments.settings.unwrap_or_else(settings_path);
    if arguments.check {
        return settings_file::check(&path);
    }
    let logs = log_lines::init();
    let code = host_process::run(&path, signals, logs.clone()).await;
    logs.flush();
    code
}
