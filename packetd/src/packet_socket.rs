//! Reads callers' packets and carries out what the core decides about them.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Instant;

use lagoonproxy_packet::flows::flow_table::FlowKey;
use lagoonproxy_packet::packet_action::FlowReset;
use lagoonproxy_packet::packet_action::PacketAction;
use lagoonproxy_packet::packet_action::PacketOutput;
use lagoonproxy_packet::packet_head::PacketHead;
use lagoonproxy_platform::packet_format::INTENDED_BYTES;
use lagoonproxy_platform::packet_format::MOST_BYTES;
use lagoonproxy_platform::packet_format::decode_head;
use lagoonproxy_platform::packet_format::request_id;
use lagoonproxy_platform::packet_format::reset_packet;
use lagoonproxy_platform::packet_format::write_intended;
use lagoonproxy_platform::packet_format::write_tag;
use tokio::net::UdpSocket;

use crate::event_log::log_events;
use crate::host_state::HostState;

/// Packets that are read before other tasks have a turn.
const BATCH: usize = 64;

/// Room for one packet, the number in front of it, and a byte more to notice longer ones.
const BUFFER_BYTES: usize = INTENDED_BYTES + MOST_BYTES + 1;

/// Forwards packets for as long as the process lives.
///
/// Until the first whole state is there, packets wait in the socket: a caller's packet that waits
/// some milliseconds is better off than one that has to be sent again after 200.
pub async fn forward_packets(state: Rc<HostState>, socket: Rc<UdpSocket>) {
    let ready = state.became_ready.notified();
    if !state.core.borrow().is_ready() {
        ready.await;
    }
    let mut buffer = [0; BUFFER_BYTES];
    let mut output = PacketOutput::default();
    loop {
        if let Err(error) = socket.readable().await {
            log::error!("the packet socket failed: {error}");
            return;
        }
        for _packet in 0..BATCH {
            let Ok((length, _source)) = socket.try_recv_from(&mut buffer[INTENDED_BYTES..]) else {
                break;
            };
            let datagram = &mut buffer[..INTENDED_BYTES + length];
            state.metrics.received.inc();
            handle_packet(&state, &socket, datagram, false, &mut output);
        }
        if state.core.borrow().has_dispatch_datagrams() {
            state.dispatch_due.notify_one();
        }
        tokio::task::yield_now().await;
    }
}

/// Hands parked packets in again for as long as the process lives.
pub async fn resume_packets(state: Rc<HostState>, socket: Rc<UdpSocket>) {
    let mut output = PacketOutput::default();
    loop {
        let mut datagram = state.parked.next_due().await;
        handle_packet(&state, &socket, &mut datagram, true, &mut output);
    }
}

/// Handles one datagram: room for the number in front, then the packet, which was parked before if `is_resumed`.
fn handle_packet(
    state: &HostState,
    socket: &UdpSocket,
    datagram: &mut [u8],
    is_resumed: bool,
    output: &mut PacketOutput,
) {
    let now = Instant::now();
    state.last_packet.set(now);
    let head = match decode_head(&datagram[INTENDED_BYTES..]) {
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
        false => state.core.borrow_mut().packet(now, &head, output),
    }
    for action in &output.actions {
        carry_out(state, socket, &head, datagram, action);
    }
    if !output.events.is_empty() {
        let request = request_id(&datagram[INTENDED_BYTES..]);
        log_events(&output.events, request, &state.metrics);
    }
}

fn carry_out(
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
            write_intended(datagram, *number);
            if let Some(tag) = tag {
                write_tag(&mut datagram[INTENDED_BYTES..], *tag);
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

/// Tells a caller that its flow is no more; callers are answered at the port of the packet address.
pub fn send_reset(state: &HostState, socket: &UdpSocket, reset: &FlowReset) {
    state.metrics.count_result(reset.code);
    let port = state.settings.borrow().packet_address.port();
    let target = SocketAddrV4::new(*reset.caller.ip(), port);
    let packet = reset_packet(reset.caller, reset.service, reset.acked);
    send(state, socket, &packet, target);
}

/// Sends without waiting: what the network does not take at once, its sender sends again.
fn send(state: &HostState, socket: &UdpSocket, bytes: &[u8], target: SocketAddrV4) {
    if let Err(error) = socket.try_send_to(bytes, SocketAddr::V4(target)) {
        state.metrics.unsent.inc();
        log::debug!("cannot send to {target}: {error}");
    }
}
