//! An upstream that speaks packets: it answers callers directly and judges what reaches it.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::net::UdpSocket;

use crate::packet_wire::ACK;
use crate::packet_wire::FIN;
use crate::packet_wire::FRONT;
use crate::packet_wire::RST;
use crate::packet_wire::SYN;
use crate::packet_wire::WirePacket;

/// Position at which upstreams begin their streams.
const FIRST_SEQ: u32 = 1_000;

/// What an upstream has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamTally {
    /// Opening packets.
    pub openings: u64,
    /// Requests that it ran.
    pub requests: u64,
    /// Packets meant for another upstream.
    pub not_meant: u64,
    /// Packets whose sum is wrong.
    pub forged: u64,
    /// Packets of flows that it does not hold.
    pub unknown: u64,
    /// Opening packets by the address that the caller asked for.
    pub asked_for: BTreeMap<SocketAddrV4, u64>,
}

#[derive(Debug)]
struct HeldFlow {
    echo: u32,
    /// Next byte that the caller should send.
    expected: u32,
    seq: u32,
    /// The last answer, sent again for a copy of its request.
    answer: Vec<u8>,
}

#[derive(Debug, Default)]
struct Inner {
    flows: HashMap<SocketAddrV4, HeldFlow>,
    tally: UpstreamTally,
    dark: bool,
    /// Time from a request to its answer.
    answer_delay: Duration,
}

/// One upstream.
#[derive(Debug)]
pub struct PacketUpstream {
    /// The number in its name.
    pub number: u64,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    inner: Arc<Mutex<Inner>>,
    task: tokio::task::JoinHandle<()>,
}

impl PacketUpstream {
    /// Starts one that sends answers to callers at this port.
    pub async fn start(
        number: u64,
        address: SocketAddrV4,
        caller_port: u16,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let inner = Arc::new(Mutex::new(Inner::default()));
        let task = tokio::spawn(serve(socket, number, caller_port, inner.clone()));
        Ok(Self {
            number,
            address,
            inner,
            task,
        })
    }

    /// What it has seen.
    pub fn tally(&self) -> UpstreamTally {
        lock(&self.inner).tally.clone()
    }

    /// Makes it dark, as without power, or lets it answer again.
    pub fn set_dark(&self, dark: bool) {
        lock(&self.inner).dark = dark;
    }

    /// Lets each answer take so long from now.
    pub fn set_answer_delay(&self, delay: Duration) {
        lock(&self.inner).answer_delay = delay;
    }

    /// Ends it, so that another may have its address.
    pub async fn end(self) {
        self.task.abort();
        let _cancelled = self.task.await;
    }
}

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(socket: UdpSocket, number: u64, caller_port: u16, inner: Arc<Mutex<Inner>>) {
    let socket = Arc::new(socket);
    let mut buffer = [0; 2048];
    while let Ok((length, _source)) = socket.recv_from(&mut buffer).await {
        let Some((front, body)) = buffer[..length].split_first_chunk::<FRONT>() else {
            continue;
        };
        let Some(packet) = WirePacket::decode(body) else {
            continue;
        };
        let meant = u64::from_be_bytes(*front);
        let reply = lock(&inner).take(number, meant, &packet);
        if let Some(reply) = reply {
            let target = SocketAddrV4::new(*packet.source.ip(), caller_port);
            let delay = lock(&inner).answer_delay;
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

impl Inner {
    fn take(&mut self, number: u64, meant: u64, packet: &WirePacket) -> Option<WirePacket> {
        if self.dark {
            return None;
        }
        if meant != 0 && meant != number {
            self.tally.not_meant += 1;
            return None;
        }
        if !packet.genuine {
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
                flow.seq = flow.seq.wrapping_add(flow.answer.len() as u32);
                flow.expected = packet.seq.wrapping_add(packet.data.len() as u32);
                flow.answer = answer_to(&packet.data, number);
            }
            reply.data = flow.answer.clone();
        }
        reply.echo = flow.echo;
        reply.seq = flow.seq;
        reply.ack = flow.expected;
        Some(reply)
    }

    fn open(&mut self, packet: &WirePacket) -> WirePacket {
        self.tally.openings += 1;
        *self.tally.asked_for.entry(packet.target).or_default() += 1;
        let flow = HeldFlow {
            echo: packet.echo,
            expected: packet.seq.wrapping_add(1),
            seq: FIRST_SEQ,
            answer: Vec::new(),
        };
        let mut reply = WirePacket::bare(packet.target, packet.source, SYN | ACK);
        reply.echo = packet.echo;
        reply.seq = FIRST_SEQ - 1;
        reply.ack = flow.expected;
        self.flows.insert(packet.source, flow);
        reply
    }
}

/// The answer to a request: what was asked, and who answered.
pub fn answer_to(request: &[u8], number: u64) -> Vec<u8> {
    let mut answer = request.to_vec();
    answer.extend(format!(" by {number:x}").bytes());
    answer
}
