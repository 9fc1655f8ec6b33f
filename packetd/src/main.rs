//! `lagoon-packet`: the one program of an entry host that forwards packets.

mod freeze_watch;
mod host_metrics;
mod host_process;
mod host_state;
mod line_layout;
mod log_lines;
mod note_log;
mod packet_socket;
mod peer_socket;
mod settings_watch;
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
    let arguments: Arguments = argh::from_env();
    let path = arguments.settings.unwrap_or_else(settings_path);
    let logs = log_lines::init();
    if arguments.check {
        return settings_watch::check(&path);
    }
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("the runtime cannot start: {error}");
            logs.flush();
            return ExitCode::FAILURE;
        }
    };
    let local = LocalSet::new();
    let code = local.block_on(&runtime, host_process::run(&path, logs.clone()));
    logs.flush();
    code
}
