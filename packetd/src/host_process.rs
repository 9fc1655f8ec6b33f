//! The life cycle of an entry host: starts its tasks, and stops it gracefully.

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

use crate::graceful_stop::wait_until_idle;
use crate::host_state::HostState;
use crate::log_writer::LogWriter;
use crate::packet_socket::forward_packets;
use crate::packet_socket::resume_packets;
use crate::packet_socket::send_reset;
use crate::peer_socket;
use crate::process_signals::ProcessSignals;
use crate::settings_file::SettingsFile;
use crate::settings_file::exit_code;
use crate::store_reader::read_store;
use crate::suspend_detector::SuspendDetector;
use crate::web_server;

/// Interval of the core's ticks and of log writes.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the settings file is checked for a change without SIGHUP.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Port of the metrics endpoint, on the IP address for peers.
const METRICS_PORT: u16 = 9180;

/// Runs the host until it receives a stop signal. Returns the exit code: a failure if the settings
/// are invalid, or if the packet address or the readiness address cannot be bound.
pub async fn run(
    path: &Path,
    policy: PolicyConfig,
    signals: ProcessSignals,
    logs: LogWriter,
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
    spawn_local(run_ticks(state.clone(), socket.clone(), logs));
    spawn_local(watch_settings(state.clone(), file, signals.hangup));
    signals.stop.received().await;
    state.stopping.set(true);
    log::info!("stop requested, no longer ready");
    wait_until_idle(state.clone()).await;
    log::info!("stop");
    ExitCode::SUCCESS
}

/// Ticks the core, sends the resulting resets, and writes logs.
async fn run_ticks(state: Rc<HostState>, socket: Rc<UdpSocket>, logs: LogWriter) {
    let mut detector = SuspendDetector::new();
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        if let Some(suspended) = detector.suspended_time() {
            log::warn!(lost_ms = suspended.as_millis() as u64; "machine was suspended");
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

/// Reloads the settings on SIGHUP, and when the file has changed without it.
async fn watch_settings(state: Rc<HostState>, mut file: SettingsFile, mut hangup: Signal) {
    loop {
        tokio::select! {
            _ = hangup.recv() => log::info!("SIGHUP"),
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => {}
        }
        if let Some(settings) = file.read_if_changed() {
            state.reload(settings);
        }
    }
}
