//! Receives callers' packets and executes the core's decisions on them.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Instant;

use lagoonproxy_packet::flows::flow_table::FlowKey;
use lagoonproxy_packet::packet_action::FlowReset;
use lagoonproxy_packet::packet_action::PacketAction;
use lagoonproxy_packet::packet_action::PacketOutput;
use lagoonproxy_packet::packet_head::PacketHead;
use lagoonproxy_platform::packet_format::MAX_PACKET_BYTES;
use lagoonproxy_platform::packet_format::UPSTREAM_NUMBER_BYTES;
use lagoonproxy_platform::packet_format::decode_head;
use lagoonproxy_platform::packet_format::request_id;
use lagoonproxy_platform::packet_format::reset_packet;
use lagoonproxy_platform::packet_format::write_tag;
use lagoonproxy_platform::packet_format::write_upstream_number;
use tokio::net::UdpSocket;

use crate::event_log::log_events;
use crate::host_state::HostState;

/// Maximum number of packets that are handled before the task yields to others.
const MAX_BATCH_PACKETS: usize = 64;

/// Size of the receive buffer in bytes: the upstream number, a packet, and one more byte, so that
/// oversized packets are detected.
const BUFFER_BYTES: usize = UPSTREAM_NUMBER_BYTES + MAX_PACKET_BYTES + 1;

/// Forwards packets. Returns only if the socket fails.
///
/// Packets stay in the socket's buffer until the host has a complete state. Waiting there for some
/// milliseconds delays a caller less than a retransmission, which takes 200 ms.
pub async fn forward_packets(state: Rc<HostState>, socket: Rc<UdpSocket>) {
    let ready = state.became_ready.notified();
    if !state.core.borrow().is_ready() {
        ready.await;
    }
    let mut buffer = [0; BUFFER_BYTES];
    let mut output = PacketOutput::default();
    loop {
        if let Err(error) = socket.readable().await {
            log::error!("packet socket failed: {error}");
            return;
        }
        for _packet in 0..MAX_BATCH_PACKETS {
            let Ok((length, _source)) = socket.try_recv_from(&mut buffer[UPSTREAM_NUMBER_BYTES..])
            else {
                break;
            };
            let datagram = &mut buffer[..UPSTREAM_NUMBER_BYTES + length];
            state.metrics.received.inc();
            handle_packet(&state, &socket, datagram, false, &mut output);
        }
        if state.core.borrow().has_dispatch_datagrams() {
            state.dispatch_due.notify_one();
        }
        tokio::task::yield_now().await;
    }
}

/// Handles parked packets again when they are due. Never returns.
pub async fn resume_packets(state: Rc<HostState>, socket: Rc<UdpSocket>) {
    let mut output = PacketOutput::default();
    loop {
        let mut datagram = state.parked.next_due().await;
        handle_packet(&state, &socket, &mut datagram, true, &mut output);
    }
}

/// Handles one datagram, which consists of space for the upstream number and the packet.
/// `is_resumed` is whether the packet was parked before.
fn handle_packet(
    state: &HostState,
    socket: &UdpSocket,
    datagram: &mut [u8],
    is_resumed: bool,
    output: &mut PacketOutput,
) {
    let now = Instant::now();
    state.last_packet.set(now);
    let head = match decode_head(&datagram[UPSTREAM_NUMBER_BYTES..]) {
        Ok(head) => head,
        Err(fault) => {
            state.metrics.count_result(fault.code());
            log::info!(code = fault.code().number(); "packet dropped: {fault}");
            return;
        }
    };
    output.clear();
    match is_resumed {
        true => state.core.borrow_mut().resume_packet(now, &head, output),
        false => state.core.borrow_mut().handle_packet(now, &head, output),
    }
    for action in &output.actions {
        execute_action(state, socket, &head, datagram, action);
    }
    if !output.events.is_empty() {
        let request = request_id(&datagram[UPSTREAM_NUMBER_BYTES..]);
        log_events(&output.events, request, &state.metrics);
    }
}

/// Executes the core's decision on a packet.
fn execute_action(
    state: &HostState,
    socket: &UdpSocket,
    head: &PacketHead,
    datagram: &mut [u8],
    action: &PacketAction,
) {
    match action {
        PacketAction::Forward {
            address,
            number,
            tag,
        } => {
            write_upstream_number(datagram, *number);
            if let Some(tag) = tag {
                write_tag(&mut datagram[UPSTREAM_NUMBER_BYTES..], *tag);
            }
            state.metrics.forwarded.inc();
            send(state, socket, datagram, *address);
        }
        PacketAction::Reset { acked, code } => {
            let reset = FlowReset {
                caller: head.caller,
                service: head.service,
                acked: *acked,
                code: *code,
            };
            send_reset(state, socket, &reset);
        }
        PacketAction::Park => {
            state
                .parked
                .park(Instant::now(), FlowKey::of(head), datagram);
        }
        PacketAction::Drop { code } => state.metrics.count_result(*code),
    }
}

/// Sends a reset to the caller of a flow. The fabric receives packets for a caller at the caller's
/// IP address and the port of the packet address.
pub fn send_reset(state: &HostState, socket: &UdpSocket, reset: &FlowReset) {
    state.metrics.count_result(reset.code);
    let port = state.settings.borrow().packet_address.port();
    let target = SocketAddrV4::new(*reset.caller.ip(), port);
    let packet = reset_packet(reset.caller, reset.service, reset.acked);
    send(state, socket, &packet, target);
}

/// Sends a packet without waiting. One that the socket does not accept is dropped; callers
/// retransmit.
fn send(state: &HostState, socket: &UdpSocket, bytes: &[u8], target: SocketAddrV4) {
    if let Err(error) = socket.try_send_to(bytes, SocketAddr::V4(target)) {
        state.metrics.unsent.inc();
        log::debug!("cannot send to {target}: {error}");
    }
}
