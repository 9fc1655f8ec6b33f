//! `lagoon-packet`: forwards callers' packets on an entry host.

mod event_log;
mod graceful_stop;
mod host_metrics;
mod host_process;
mod host_state;
mod json_layout;
mod log_writer;
mod packet_socket;
mod parked_packets;
mod peer_socket;
mod policy_file;
mod process_signals;
mod service_metrics;
mod settings_file;
mod state_transfer;
mod stop_wait;
mod store_reader;
mod suspend_detector;
mod web_server;

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use lagoonproxy::result_code::ResultCode;
use lagoonproxy_platform::host_file::settings_path;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::policy_file::read_policy;
use crate::process_signals::ProcessSignals;
use crate::settings_file::exit_code;

/// Forward callers' packets to the upstreams of their services.
#[derive(FromArgs)]
struct Arguments {
    /// settings file; default: $LAGOONPROXY_SETTINGS, or /etc/lagoonproxy/local.json
    #[argh(option)]
    settings: Option<PathBuf>,
    /// policy file in YAML; default: built-in policy
    #[argh(option)]
    policy: Option<PathBuf>,
    /// validate the settings and the policy, print them and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    LocalSet::new().block_on(&runtime, start())
}

/// Parses the arguments and runs the host. Signal handlers are registered first, because until then
/// each of the signals ends the process.
async fn start() -> ExitCode {
    let signals = match ProcessSignals::new() {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("cannot register signal handlers: {error}");
            return ExitCode::FAILURE;
        }
    };
    let arguments: Arguments = argh::from_env();
    let path = arguments.settings.unwrap_or_else(settings_path);
    let policy = read_policy(arguments.policy.as_deref());
    if arguments.check {
        return settings_file::check(&path, &policy);
    }
    let logs = log_writer::init();
    let code = match policy {
        Ok(policy) => host_process::run(&path, policy, signals, logs.clone()).await,
        Err(faults) => {
            let code = ResultCode::SettingsInvalid;
            for fault in faults {
                log::error!(code = code.number(); "{fault}");
            }
            exit_code(code)
        }
    };
    logs.flush();
    code
}
