//! Exchanges heartbeats, changes and failure reports with the other entry hosts.

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

/// Room for the longest datagram of a peer.
const BUFFER_BYTES: usize = 2048;

/// Interval at which due heartbeats, reports and state requests are looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Starts everything that concerns peers. A host that cannot bind its port goes on alone.
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
            log::error!(code; "no peers, cannot bind {address}: {error}");
        }
    }
    if let Some(listener) = web_server::listen(address).await {
        tokio::task::spawn_local(state_transfer::serve(state.clone(), listener));
    }
}

async fn receive_datagrams(state: Rc<HostState>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        let (length, source) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!("the peer socket failed: {error}");
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
        };
        let SocketAddr::V4(source) = source else {
            continue;
        };
        // Peers send from the port at which they listen, the same on all hosts.
        let expected = state.settings.borrow().peer_address.port();
        if source.port() != expected {
            state.metrics.count_result(ResultCode::PeerUnknown);
            continue;
        }
        ingest_datagram(&state, &socket, source, &buffer[..length]);
    }
}

fn ingest_datagram(state: &HostState, socket: &UdpSocket, source: SocketAddrV4, bytes: &[u8]) {
    match PeerDatagram::decode(bytes) {
        Ok(PeerDatagram::Heartbeat(heartbeat)) => {
            ingest_heartbeat(state, socket, source, heartbeat);
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
            send_due(state, socket, reply);
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
            send_due(state, socket, [reply]);
        }
        Ok(PeerDatagram::Reply(reply)) => {
            let mut core = state.core.borrow_mut();
            let due = core.handle_reply(Instant::now(), source, reply);
            drop(core);
            if let Some((key, due_at)) = due {
                state.parked.postpone(key, due_at);
            }
        }
        Err(fault) => {
            let code = ResultCode::FrameMalformed;
            state.metrics.count_result(code);
            log::info!(code = code.number(), peer:% = source; "dropped: {fault}");
        }
    }
}

fn ingest_heartbeat(
    state: &HostState,
    socket: &UdpSocket,
    source: SocketAddrV4,
    heartbeat: PeerHeartbeat,
) {
    let (zone, through) = (heartbeat.zone.clone(), heartbeat.through);
    let stopping = state.stopping.get();
    let mut core = state.core.borrow_mut();
    let replies = core.heard(Instant::now(), source, heartbeat, stopping);
    let lacks_state = core.view().through().is_unread();
    drop(core);
    if replies.is_new {
        log::info!(peer:% = source, zone:%, through:%; "peer heard");
    }
    send_heartbeats(state, socket, replies.heartbeats);
    if lacks_state && !through.is_unread() {
        state.heard_peer.notify_one();
    }
}

/// Sends due heartbeats and reports, passes on changes, and asks a peer for a missing state.
async fn update_peers(state: Rc<HostState>, socket: Rc<UdpSocket>) {
    loop {
        let now = Instant::now();
        let heartbeats = state.core.borrow_mut().round(now, state.stopping.get());
        send_heartbeats(&state, &socket, heartbeats);
        let due = state.core.borrow_mut().due_failure_reports(now);
        if let Some((reports, targets)) = due {
            send(&state, &socket, &PeerDatagram::Failures(reports), &targets);
        }
        let due = state.core.borrow_mut().due_load_datagrams(now);
        send_due(&state, &socket, due);
        ask_for_state(&state, now);
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            () = state.read_something.notified() => forward_changes(&state, &socket),
            () = state.heard_peer.notified() => {}
        }
    }
}

/// Sends queries and events for dispatchers as soon as packets have brought them about.
async fn send_dispatch(state: Rc<HostState>, socket: Rc<UdpSocket>) {
    loop {
        state.dispatch_due.notified().await;
        let due = state.core.borrow_mut().take_dispatch_datagrams();
        send_due(&state, &socket, due);
    }
}

/// Asks a peer for what is missing, one at a time.
fn ask_for_state(state: &Rc<HostState>, now: Instant) {
    if state.asking.get() {
        return;
    }
    let Some(source) = state.core.borrow_mut().source(now) else {
        return;
    };
    let state = state.clone();
    state.asking.set(true);
    tokio::task::spawn_local(async move {
        state_transfer::ask(state.clone(), source).await;
        state.asking.set(false);
        state.heard_peer.notify_one();
    });
}

/// Passes on changes. One that is too long for a datagram is announced by a heartbeat.
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

fn send_due(
    state: &HostState,
    socket: &UdpSocket,
    due: impl IntoIterator<Item = AddressedDatagram>,
) {
    for AddressedDatagram { datagram, targets } in due {
        send(state, socket, &datagram, &targets);
    }
}

fn send(state: &HostState, socket: &UdpSocket, datagram: &PeerDatagram, targets: &[SocketAddrV4]) {
    let bytes = match datagram.encode() {
        Ok(bytes) => bytes,
        Err(fault) => {
            log::error!("nothing sent to peers: {fault}");
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
