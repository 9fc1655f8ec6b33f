//! An upstream for packets: it responds directly to callers and counts unexpected packets.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::packet_wire::ACK;
use crate::packet_wire::FIN;
use crate::packet_wire::RST;
use crate::packet_wire::SYN;
use crate::packet_wire::UPSTREAM_NUMBER_BYTES;
use crate::packet_wire::WirePacket;

/// Start time that an upstream publishes unless a test sets another one.
const FIRST_BORN_MS: u64 = 1_772_323_200_000;

/// Sequence number of the first byte that an upstream sends on a flow.
const INITIAL_SEQ: u32 = 1_000;

/// Counters of an upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamTally {
    /// SYNs, retransmitted ones included.
    pub syns: u64,
    /// Requests that it ran; a retransmitted request counts once.
    pub requests: u64,
    /// Packets that carry the number of another upstream.
    pub misdelivered: u64,
    /// Packets with an invalid checksum.
    pub forged: u64,
    /// Packets of unknown flows.
    pub unknown: u64,
    /// SYNs by the service address that the caller sent them to.
    pub syns_by_service: BTreeMap<SocketAddrV4, u64>,
}

#[derive(Debug)]
struct FlowState {
    echo: u32,
    /// Sequence number of the next byte expected from the caller.
    expected: u32,
    seq: u32,
    /// The last response, sent again if its request is retransmitted.
    response: Vec<u8>,
}

#[derive(Debug, Default)]
struct UpstreamState {
    flows: HashMap<SocketAddrV4, FlowState>,
    tally: UpstreamTally,
    unreachable: bool,
    /// Until when it reads no packets.
    busy_until: Option<Instant>,
    /// Delay from a request to its response.
    response_delay: Duration,
}

/// A running upstream. It serves packets in a task of its own.
#[derive(Debug)]
pub struct PacketUpstream {
    /// Number of the upstream, part of its name.
    pub number: u64,
    /// Address at which it receives packets.
    pub address: SocketAddrV4,
    /// Start time of its process as it publishes it, in milliseconds since 1970.
    pub born_ms: u64,
    state: Arc<Mutex<UpstreamState>>,
    task: tokio::task::JoinHandle<()>,
}

impl PacketUpstream {
    /// Starts an upstream that sends its responses to `caller_port` at the caller's IP address.
    pub async fn start(
        number: u64,
        address: SocketAddrV4,
        caller_port: u16,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let state = Arc::new(Mutex::new(UpstreamState::default()));
        let task = tokio::spawn(serve(socket, number, caller_port, state.clone()));
        Ok(Self {
            number,
            address,
            born_ms: FIRST_BORN_MS,
            state,
            task,
        })
    }

    /// Returns a copy of the counters.
    pub fn tally(&self) -> UpstreamTally {
        lock(&self.state).tally.clone()
    }

    /// Makes the upstream drop all packets, as after a power loss, or lets it respond again.
    pub fn set_unreachable(&self, unreachable: bool) {
        lock(&self.state).unreachable = unreachable;
    }

    /// Makes the upstream read no packets for this time, as on a machine without processor time. It
    /// then handles the packets that its socket has queued, in their order.
    pub fn set_busy(&self, duration: Duration) {
        lock(&self.state).busy_until = Some(Instant::now() + duration);
    }

    /// Sets the delay of all later responses. It does not apply to SYNs and acknowledgements.
    pub fn set_response_delay(&self, delay: Duration) {
        lock(&self.state).response_delay = delay;
    }

    /// Stops the upstream and frees its address for another one.
    pub async fn end(mut self) {
        self.stop().await;
    }

    /// Stops the upstream, keeps its counters and frees its address.
    pub async fn stop(&mut self) {
        self.task.abort();
        let _cancelled = (&mut self.task).await;
    }
}

fn lock(state: &Mutex<UpstreamState>) -> MutexGuard<'_, UpstreamState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(socket: UdpSocket, number: u64, caller_port: u16, state: Arc<Mutex<UpstreamState>>) {
    let socket = Arc::new(socket);
    let mut buffer = [0; 2048];
    while let Ok((length, _source)) = socket.recv_from(&mut buffer).await {
        let busy_until = lock(&state).busy_until;
        if let Some(time) = busy_until {
            sleep_until(time).await;
        }
        let Some((prefix, body)) = buffer[..length].split_first_chunk::<UPSTREAM_NUMBER_BYTES>()
        else {
            continue;
        };
        let Some(packet) = WirePacket::decode(body) else {
            continue;
        };
        let intended = u64::from_be_bytes(*prefix);
        let reply = lock(&state).handle_packet(number, intended, &packet);
        if let Some(reply) = reply {
            let target = SocketAddrV4::new(*packet.source.ip(), caller_port);
            let delay = lock(&state).response_delay;
            if reply.data.is_empty() || delay.is_zero() {
                let _sent = socket.send_to(&reply.encode(), target).await;
                continue;
            }
            let socket = socket.clone();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                let _sent = socket.send_to(&reply.encode(), target).await;
            });
        }
    }
}

impl UpstreamState {
    fn handle_packet(
        &mut self,
        number: u64,
        intended: u64,
        packet: &WirePacket,
    ) -> Option<WirePacket> {
        if self.unreachable {
            return None;
        }
        if intended != 0 && intended != number {
            self.tally.misdelivered += 1;
            return None;
        }
        if !packet.checksum_valid {
            self.tally.forged += 1;
            return None;
        }
        if packet.flags & SYN != 0 {
            return Some(self.open(packet));
        }
        let caller = packet.source;
        let Some(flow) = self.flows.get_mut(&caller) else {
            self.tally.unknown += 1;
            return (packet.flags & RST == 0).then(|| WirePacket::bare(packet.target, caller, RST));
        };
        if packet.flags & RST != 0 {
            self.flows.remove(&caller);
            return None;
        }
        flow.echo = packet.echo;
        let mut reply = WirePacket::bare(packet.target, caller, ACK);
        if packet.flags & FIN != 0 {
            reply.flags |= FIN;
        }
        if !packet.data.is_empty() {
            if packet.seq == flow.expected {
                self.tally.requests += 1;
                flow.seq = flow.seq.wrapping_add(flow.response.len() as u32);
                flow.expected = packet.seq.wrapping_add(packet.data.len() as u32);
                flow.response = response_to(&packet.data, number);
            }
            reply.data = flow.response.clone();
        }
        reply.echo = flow.echo;
        reply.seq = flow.seq;
        reply.ack = flow.expected;
        Some(reply)
    }

    fn open(&mut self, packet: &WirePacket) -> WirePacket {
        self.tally.syns += 1;
        *self.tally.syns_by_service.entry(packet.target).or_default() += 1;
        let flow = FlowState {
            echo: packet.echo,
            expected: packet.seq.wrapping_add(1),
            seq: INITIAL_SEQ,
            response: Vec::new(),
        };
        let mut reply = WirePacket::bare(packet.target, packet.source, SYN | ACK);
        reply.echo = packet.echo;
        reply.seq = INITIAL_SEQ - 1;
        reply.ack = flow.expected;
        self.flows.insert(packet.source, flow);
        reply
    }
}

/// Returns the response of an upstream to a request: the request and the upstream's number.
pub fn response_to(request: &[u8], number: u64) -> Vec<u8> {
    let mut response = request.to_vec();
    response.extend(format!(" by {number:x}").bytes());
    response
}
