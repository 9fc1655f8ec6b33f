//! A caller that speaks packets, and the fabric that sprays them over entry hosts.

use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio::time::timeout_at;
use xxhash_rust::xxh3::xxh3_64;

use crate::packet_wire::ACK;
use crate::packet_wire::FIN;
use crate::packet_wire::RST;
use crate::packet_wire::SYN;
use crate::packet_wire::WirePacket;

/// When copies of an opening packet are sent, and when the caller gives up.
const OPENING_TIMES: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
    Duration::from_millis(1400),
];

/// Pause before a request is sent again; doubled each time, up to the longest.
const FIRST_REPEAT: Duration = Duration::from_millis(200);
const LONGEST_REPEAT: Duration = Duration::from_millis(1600);

/// How often the fabric asks hosts whether they are ready, and the misses after which it lets go.
const READY_PAUSE: Duration = Duration::from_millis(500);
const READY_MISSES: u32 = 2;

/// The hosts over which packets are sprayed, by rendezvous hash of the flow.
#[derive(Clone, Debug, Default)]
pub struct PacketFabric {
    rotation: Arc<Mutex<HashSet<SocketAddrV4>>>,
}

impl PacketFabric {
    /// Follows a host's readiness for as long as the task lives.
    pub fn follow(&self, packets: SocketAddrV4, ready: SocketAddrV4) {
        let fabric = self.clone();
        tokio::spawn(async move {
            let url = format!("http://{ready}/v1/ready");
            let mut misses = READY_MISSES;
            loop {
                let answer = reqwest::get(&url).await;
                let is_ready = answer.is_ok_and(|answer| answer.status().is_success());
                misses = if is_ready { 0 } else { misses + 1 };
                fabric.set(packets, misses < READY_MISSES);
                tokio::time::sleep(READY_PAUSE).await;
            }
        });
    }

    /// Takes a host into the rotation or out of it.
    pub fn set(&self, packets: SocketAddrV4, used: bool) {
        let mut rotation = self.rotation.lock().unwrap_or_else(PoisonError::into_inner);
        if used {
            rotation.insert(packets);
        } else {
            rotation.remove(&packets);
        }
    }

    /// How many hosts get packets.
    pub fn hosts(&self) -> usize {
        self.rotation
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .len()
    }

    /// The host that gets a flow's packets.
    pub fn host(&self, flow: (SocketAddrV4, SocketAddrV4)) -> Option<SocketAddrV4> {
        let rotation = self.rotation.lock().unwrap_or_else(PoisonError::into_inner);
        let weight = |host: &SocketAddrV4| xxh3_64(format!("{flow:?}{host}").as_bytes());
        rotation.iter().copied().max_by_key(weight)
    }
}

/// Why a caller got nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// The flow was reset.
    Reset,
    /// No answer in time.
    Silence,
}

/// A caller on an IP number of its own.
#[derive(Debug)]
pub struct PacketCaller {
    socket: UdpSocket,
    fabric: PacketFabric,
    address: SocketAddrV4,
    next_port: u16,
}

/// One flow of a caller.
#[derive(Clone, Debug)]
pub struct CallerFlow {
    source: SocketAddrV4,
    service: SocketAddrV4,
    echo: u32,
    seq: u32,
    ack: u32,
}

impl PacketCaller {
    /// A caller at an address whose port is that at which hosts and upstreams answer callers.
    pub async fn bind(address: SocketAddrV4, fabric: PacketFabric) -> std::io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
            fabric,
            address,
            next_port: 1024,
        })
    }

    /// Opens a flow to a service.
    pub async fn open(&mut self, service: SocketAddrV4) -> Result<CallerFlow, CallFault> {
        self.next_port += 1;
        let source = SocketAddrV4::new(*self.address.ip(), self.next_port);
        let started = Instant::now();
        let mut opening = WirePacket::bare(source, service, SYN);
        for copy in 0..3 {
            opening.ack = copy as u32;
            self.send(&opening).await;
            let until = started + OPENING_TIMES[copy + 1];
            let Some(packet) = self
                .receive(source, until, |packet| packet.flags & (SYN | RST) != 0)
                .await
            else {
                continue;
            };
            if packet.flags & RST != 0 {
                return Err(CallFault::Reset);
            }
            let flow = CallerFlow {
                source,
                service,
                echo: packet.echo,
                seq: 1,
                ack: packet.seq.wrapping_add(1),
            };
            self.send(&flow.packet(ACK, &[])).await;
            return Ok(flow);
        }
        Err(CallFault::Silence)
    }

    /// Sends a request on a flow and waits for its answer, sending again as long as `limit` allows.
    pub async fn request(
        &mut self,
        flow: &mut CallerFlow,
        data: &[u8],
        limit: Duration,
    ) -> Result<Vec<u8>, CallFault> {
        let end = Instant::now() + limit;
        let mut pause = FIRST_REPEAT;
        let packet = flow.packet(ACK, data);
        while Instant::now() < end {
            self.send(&packet).await;
            let until = end.min(Instant::now() + pause);
            pause = LONGEST_REPEAT.min(pause * 2);
            let (source, ack) = (flow.source, flow.ack);
            let wanted = |packet: &WirePacket| {
                packet.flags & RST != 0 || (!packet.data.is_empty() && packet.seq == ack)
            };
            let Some(answer) = self.receive(source, until, wanted).await else {
                continue;
            };
            if answer.flags & RST != 0 {
                return Err(CallFault::Reset);
            }
            flow.seq = flow.seq.wrapping_add(data.len() as u32);
            flow.ack = flow.ack.wrapping_add(answer.data.len() as u32);
            flow.echo = answer.echo;
            self.send(&flow.packet(ACK, &[])).await;
            return Ok(answer.data);
        }
        Err(CallFault::Silence)
    }

    /// Ends a flow.
    pub async fn close(&mut self, flow: &CallerFlow) {
        self.send(&flow.packet(ACK | FIN, &[])).await;
    }

    async fn send(&self, packet: &WirePacket) {
        if let Some(host) = self.fabric.host((packet.source, packet.target)) {
            let _sent = self.socket.send_to(&packet.encode(), host).await;
        }
    }

    /// The next packet of a flow that is wanted, if one comes until then.
    async fn receive(
        &self,
        source: SocketAddrV4,
        until: Instant,
        wanted: impl Fn(&WirePacket) -> bool,
    ) -> Option<WirePacket> {
        let mut buffer = [0; 2048];
        loop {
            let received = timeout_at(until, self.socket.recv_from(&mut buffer)).await;
            let (length, _from) = received.ok()?.ok()?;
            let packet = WirePacket::decode(&buffer[..length])?;
            if packet.target == source && wanted(&packet) {
                return Some(packet);
            }
        }
    }
}

impl CallerFlow {
    /// The address that was asked for.
    pub fn service(&self) -> SocketAddrV4 {
        self.service
    }

    fn packet(&self, flags: u8, data: &[u8]) -> WirePacket {
        let mut packet = WirePacket::bare(self.source, self.service, flags);
        packet.echo = self.echo;
        packet.seq = self.seq;
        packet.ack = self.ack;
        packet.data = data.to_vec();
        packet
    }
}
