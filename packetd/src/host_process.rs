//! Runs an entry host from start to stop.

use std::net::SocketAddrV4;
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::policy_config::PolicyConfig;
use tokio::net::UdpSocket;
use tokio::signal::unix::Signal;
use tokio::task::spawn_local;

use crate::freeze_watch::FreezeWatch;
use crate::host_state::HostState;
use crate::log_lines::LogLines;
use crate::packet_socket::forward_packets;
use crate::packet_socket::resume_packets;
use crate::packet_socket::send_reset;
use crate::peer_socket;
use crate::process_signals::ProcessSignals;
use crate::settings_file::SettingsFile;
use crate::settings_file::exit_code;
use crate::stop_wait::wait_for_silence;
use crate::store_reader::read_store;
use crate::web_server;

/// How often time is told to the core and logs are written.
const TICK: Duration = Duration::from_millis(100);

/// How often the settings file is read in case that it has changed without a signal.
const SETTINGS_PAUSE: Duration = Duration::from_secs(2);

/// Port of the metrics, on the host's own address.
const METRICS_PORT: u16 = 9180;

/// Runs the host until it is asked to stop.
pub async fn run(
    path: &Path,
    policy: PolicyConfig,
    signals: ProcessSignals,
    logs: LogLines,
) -> ExitCode {
    let Some((file, settings)) = SettingsFile::open(path).await else {
        return exit_code(ResultCode::SettingsInvalid);
    };
    log::info!(host:% = settings.host, zone:% = settings.zone, store:% = settings.store_address; "start");
    let socket = match UdpSocket::bind(settings.packet_address).await {
        Ok(socket) => Rc::new(socket),
        Err(error) => {
            log::error!("cannot bind {}: {error}", settings.packet_address);
            return exit_code(ResultCode::AddressUnavailable);
        }
    };
    let ready_address = settings.ready_address;
    let peer_address = settings.peer_address;
    let metrics_address = SocketAddrV4::new(*settings.peer_address.ip(), METRICS_PORT);
    let state = Rc::new(HostState::new(settings, policy));
    peer_socket::start(&state, peer_address).await;
    spawn_local(read_store(state.clone()));
    spawn_local(forward_packets(state.clone(), socket.clone()));
    spawn_local(resume_packets(state.clone(), socket.clone()));
    let Some(listener) = web_server::listen(ready_address).await else {
        return exit_code(ResultCode::AddressUnavailable);
    };
    spawn_local(web_server::serve(state.clone(), listener));
    if let Some(listener) = web_server::listen(metrics_address).await {
        spawn_local(web_server::serve(state.clone(), listener));
    }
    spawn_local(keep_time(state.clone(), socket.clone(), logs));
    spawn_local(follow_settings(state.clone(), file, signals.hangup));
    signals.stop.received().await;
    state.stopping.set(true);
    log::info!("stop asked for; no longer ready");
    wait_for_silence(state.clone()).await;
    log::info!("stop");
    ExitCode::SUCCESS
}

async fn keep_time(state: Rc<HostState>, socket: Rc<UdpSocket>, logs: LogLines) {
    let mut freeze = FreezeWatch::new();
    loop {
        tokio::time::sleep(TICK).await;
        if let Some(lost) = freeze.stood_still() {
            log::warn!(lost_ms = lost.as_millis() as u64; "the machine stood still");
            state.core.borrow_mut().handle_stall(Instant::now());
        }
        if state.core.borrow().has_dispatch_datagrams() {
            state.dispatch_due.notify_one();
        }
        for reset in state.tick() {
            send_reset(&state, &socket, &reset);
        }
        logs.flush();
    }
}

/// Reloads the settings on SIGHUP, and when the file changes without it.
async fn follow_settings(state: Rc<HostState>, mut file: SettingsFile, mut hangup: Signal) {
    loop {
        tokio::select! {
            _ = hangup.recv() => log::info!("SIGHUP"),
            () = tokio::time::sleep(SETTINGS_PAUSE) => {}
        }
        if let Some(settings) = file.changed() {
            state.reload(settings);
        }
    }
}
