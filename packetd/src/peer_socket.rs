//! Exchanges datagrams with the other entry hosts: heartbeats, state updates, failure reports, load
//! reports and dispatch messages.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::core_peers::AddressedHeartbeat;
use lagoonproxy_packet::load::load_tracker::AddressedDatagram;
use lagoonproxy_packet::peers::peer_datagram::MAX_DATAGRAM_BYTES;
use lagoonproxy_packet::peers::peer_datagram::PeerDatagram;
use lagoonproxy_packet::peers::peer_heartbeat::PeerHeartbeat;
use tokio::net::UdpSocket;

use crate::host_state::HostState;
use crate::state_transfer;
use crate::web_server;

/// Size of the receive buffer in bytes; larger than the longest datagram of a peer.
const BUFFER_BYTES: usize = 2048;

/// Interval at which due heartbeats, reports and state requests are sent.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Starts the tasks that communicate with peers. A host that cannot bind its peer address runs
/// without peers.
pub async fn start(state: &Rc<HostState>, address: SocketAddrV4) {
    match UdpSocket::bind(address).await {
        Ok(socket) => {
            let socket = Rc::new(socket);
            tokio::task::spawn_local(receive_datagrams(state.clone(), socket.clone()));
            tokio::task::spawn_local(send_dispatch(state.clone(), socket.clone()));
            tokio::task::spawn_local(update_peers(state.clone(), socket));
        }
        Err(error) => {
            let code = ResultCode::AddressUnavailable.number();
            log::error!(code; "running without peers, cannot bind {address}: {error}");
        }
    }
    if let Some(listener) = web_server::listen(address).await {
        tokio::task::spawn_local(state_transfer::serve(state.clone(), listener));
    }
}

/// Receives and handles the datagrams of peers. Never returns.
async fn receive_datagrams(state: Rc<HostState>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        let (length, source) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!("peer socket failed: {error}");
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
        };
        let SocketAddr::V4(source) = source else {
            continue;
        };
        // Peers send from the port on which they listen. It is the same on all hosts.
        let expected = state.settings.borrow().peer_address.port();
        if source.port() != expected {
            state.metrics.count_result(ResultCode::PeerUnknown);
            continue;
        }
        handle_datagram(&state, &socket, source, &buffer[..length]);
    }
}

fn handle_datagram(state: &HostState, socket: &UdpSocket, source: SocketAddrV4, bytes: &[u8]) {
    match PeerDatagram::decode(bytes) {
        Ok(PeerDatagram::Heartbeat(heartbeat)) => {
            handle_heartbeat(state, socket, source, heartbeat);
        }
        Ok(PeerDatagram::Change(update)) => {
            state.merge(&update);
        }
        Ok(PeerDatagram::Failures(reports)) => {
            state
                .core
                .borrow_mut()
                .handle_failure_reports(source, &reports);
        }
        Ok(PeerDatagram::Load(report)) => {
            let mut core = state.core.borrow_mut();
            core.handle_load_report(Instant::now(), source, &report);
        }
        Ok(PeerDatagram::Digest(digest)) => {
            let mut core = state.core.borrow_mut();
            core.handle_digest(Instant::now(), source, &digest);
        }
        Ok(PeerDatagram::ZoneLoad(report)) => {
            let mut core = state.core.borrow_mut();
            let reply = core.handle_zone_load(Instant::now(), source, &report);
            drop(core);
            send_datagrams(state, socket, reply);
        }
        Ok(PeerDatagram::Requests(events)) => {
            let mut core = state.core.borrow_mut();
            core.handle_request_events(Instant::now(), &events);
            if core.has_dispatch_datagrams() {
                state.dispatch_due.notify_one();
            }
        }
        Ok(PeerDatagram::Query(query)) => {
            let mut core = state.core.borrow_mut();
            let reply = core.handle_query(Instant::now(), source, &query);
            drop(core);
            send_datagrams(state, socket, [reply]);
        }
        Ok(PeerDatagram::Reply(reply)) => {
            let mut core = state.core.borrow_mut();
            let due = core.handle_reply(Instant::now(), source, reply);
            drop(core);
            if let Some((key, due_at)) = due {
                state.parked.reschedule(key, due_at);
            }
        }
        Err(fault) => {
            let code = ResultCode::FrameMalformed;
            state.metrics.count_result(code);
            log::info!(code = code.number(), peer:% = source; "peer datagram dropped: {fault}");
        }
    }
}

/// Merges a heartbeat and sends the replies to it. Triggers a state request if this host has no
/// state and the peer has one.
fn handle_heartbeat(
    state: &HostState,
    socket: &UdpSocket,
    source: SocketAddrV4,
    heartbeat: PeerHeartbeat,
) {
    let (zone, through) = (heartbeat.zone.clone(), heartbeat.through);
    let stopping = state.stopping.get();
    let mut core = state.core.borrow_mut();
    let replies = core.handle_heartbeat(Instant::now(), source, heartbeat, stopping);
    let lacks_state = core.snapshot().through().is_unread();
    drop(core);
    if replies.is_new {
        log::info!(peer:% = source, zone:%, through:%; "peer heard");
    }
    send_heartbeats(state, socket, replies.heartbeats);
    if lacks_state && !through.is_unread() {
        state.state_request_due.notify_one();
    }
}

/// Sends due heartbeats and reports, forwards state updates, and requests missing state from a
/// peer. Never returns.
async fn update_peers(state: Rc<HostState>, socket: Rc<UdpSocket>) {
    loop {
        let now = Instant::now();
        let heartbeats = state
            .core
            .borrow_mut()
            .due_heartbeats(now, state.stopping.get());
        send_heartbeats(&state, &socket, heartbeats);
        let due = state.core.borrow_mut().due_failure_reports(now);
        if let Some((reports, targets)) = due {
            send(&state, &socket, &PeerDatagram::Failures(reports), &targets);
        }
        let due = state.core.borrow_mut().due_load_datagrams(now);
        send_datagrams(&state, &socket, due);
        request_missing_state(&state, now);
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            () = state.forward_due.notified() => forward_changes(&state, &socket),
            () = state.state_request_due.notified() => {}
        }
    }
}

/// Sends queries and request events to dispatchers, and replies to queries, as soon as packets have
/// caused them. Never returns.
async fn send_dispatch(state: Rc<HostState>, socket: Rc<UdpSocket>) {
    loop {
        state.dispatch_due.notified().await;
        let due = state.core.borrow_mut().take_dispatch_datagrams();
        send_datagrams(&state, &socket, due);
    }
}

/// Requests missing state from the peer that the core selects, if any. At most one request is in
/// progress.
fn request_missing_state(state: &Rc<HostState>, now: Instant) {
    if state.state_requested.get() {
        return;
    }
    let Some(source) = state.core.borrow_mut().state_source(now) else {
        return;
    };
    let state = state.clone();
    state.state_requested.set(true);
    tokio::task::spawn_local(async move {
        state_transfer::request_state(state.clone(), source).await;
        state.state_requested.set(false);
        state.state_request_due.notify_one();
    });
}

/// Forwards state updates to the hosts of the zone. Instead of an update that is too long for a
/// datagram, it sends a heartbeat, whose position causes them to request the state.
fn forward_changes(state: &HostState, socket: &UdpSocket) {
    let now = Instant::now();
    let followers = state.core.borrow().followers(now);
    for update in state.to_forward.take() {
        let change = PeerDatagram::Change(update);
        let length = change.encode().map(|bytes| bytes.len());
        let datagram = match length {
            Ok(length) if length <= MAX_DATAGRAM_BYTES => change,
            _ => {
                let mut core = state.core.borrow_mut();
                PeerDatagram::Heartbeat(core.short_heartbeat(now, state.stopping.get()))
            }
        };
        send(state, socket, &datagram, &followers);
    }
}

fn send_heartbeats(state: &HostState, socket: &UdpSocket, heartbeats: Vec<AddressedHeartbeat>) {
    for AddressedHeartbeat { heartbeat, targets } in heartbeats {
        send(state, socket, &PeerDatagram::Heartbeat(heartbeat), &targets);
    }
}

fn send_datagrams(
    state: &HostState,
    socket: &UdpSocket,
    due: impl IntoIterator<Item = AddressedDatagram>,
) {
    for AddressedDatagram { datagram, targets } in due {
        send(state, socket, &datagram, &targets);
    }
}

/// Sends a datagram to each target without waiting. One that the socket does not accept is dropped.
fn send(state: &HostState, socket: &UdpSocket, datagram: &PeerDatagram, targets: &[SocketAddrV4]) {
    let bytes = match datagram.encode() {
        Ok(bytes) => bytes,
        Err(fault) => {
            log::error!("cannot send to peers: {fault}");
            return;
        }
    };
    for target in targets {
        if let Err(error) = socket.try_send_to(&bytes, SocketAddr::V4(*target)) {
            state.metrics.unsent.inc();
            log::debug!("cannot send to {target}: {error}");
        }
    }
}
