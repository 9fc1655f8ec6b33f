//! A caller for packets, and the fabric that distributes its packets over entry hosts.

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

/// Times of a SYN and its retransmissions since the first. The last entry is the timeout of the
/// opening.
const SYN_TIMES: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
    Duration::from_millis(1400),
];

/// Delay before the first retransmission of a request. It doubles each time, up to the maximum.
const FIRST_RETRANSMISSION_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRANSMISSION_DELAY: Duration = Duration::from_millis(1600);

/// Interval of readiness checks, and the consecutive failures that take a host out of rotation.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(500);
const READY_FAILURE_THRESHOLD: u32 = 2;

/// The fabric: distributes flows over the hosts in rotation by rendezvous hashing.
#[derive(Clone, Debug, Default)]
pub struct PacketFabric {
    rotation: Arc<Mutex<HashSet<SocketAddrV4>>>,
}

impl PacketFabric {
    /// Starts a task that checks a host's readiness at `ready_address` and puts the host into or
    /// out of rotation. A host is out of rotation until its first successful check.
    pub fn watch_readiness(&self, packet_address: SocketAddrV4, ready_address: SocketAddrV4) {
        let fabric = self.clone();
        tokio::spawn(async move {
            let url = format!("http://{ready_address}/v1/ready");
            let mut failures = READY_FAILURE_THRESHOLD;
            loop {
                let response = reqwest::get(&url).await;
                let is_ready = response.is_ok_and(|response| response.status().is_success());
                failures = if is_ready { 0 } else { failures + 1 };
                fabric.set_in_rotation(packet_address, failures < READY_FAILURE_THRESHOLD);
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        });
    }

    /// Puts a host into or out of rotation.
    pub fn set_in_rotation(&self, packet_address: SocketAddrV4, in_rotation: bool) {
        let mut rotation = self.rotation.lock().unwrap_or_else(PoisonError::into_inner);
        if in_rotation {
            rotation.insert(packet_address);
        } else {
            rotation.remove(&packet_address);
        }
    }

    /// Returns the number of hosts in rotation.
    pub fn hosts(&self) -> usize {
        self.rotation
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .len()
    }

    /// Returns the host that gets a flow's packets, or `None` if no host is in rotation.
    pub fn select_host(&self, flow: (SocketAddrV4, SocketAddrV4)) -> Option<SocketAddrV4> {
        let rotation = self.rotation.lock().unwrap_or_else(PoisonError::into_inner);
        let weight = |host: &SocketAddrV4| xxh3_64(format!("{flow:?}{host}").as_bytes());
        rotation.iter().copied().max_by_key(weight)
    }
}

/// Why a flow could not be opened or a request got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The flow was reset.
    Reset,
    /// No response within the timeout.
    Timeout,
}

/// A caller with an IP address of its own. All its flows share one UDP socket.
#[derive(Debug)]
pub struct PacketCaller {
    socket: UdpSocket,
    fabric: PacketFabric,
    address: SocketAddrV4,
    next_port: u16,
}

/// Caller's end of a flow.
#[derive(Clone, Debug)]
pub struct CallerFlow {
    source: SocketAddrV4,
    service: SocketAddrV4,
    echo: u32,
    seq: u32,
    ack: u32,
}

impl PacketCaller {
    /// Binds a caller. The port of `address` must be the one to which hosts and upstreams send
    /// packets for callers.
    pub async fn bind(address: SocketAddrV4, fabric: PacketFabric) -> std::io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
            fabric,
            address,
            next_port: 1024,
        })
    }

    /// Opens a flow to a service, with retransmissions of the SYN.
    pub async fn open(&mut self, service: SocketAddrV4) -> Result<CallerFlow, CallError> {
        self.next_port += 1;
        let source = SocketAddrV4::new(*self.address.ip(), self.next_port);
        let started = Instant::now();
        let mut syn = WirePacket::bare(source, service, SYN);
        for attempt in 0..3 {
            syn.ack = attempt as u32;
            self.send(&syn).await;
            let deadline = started + SYN_TIMES[attempt + 1];
            let Some(packet) = self
                .receive(source, deadline, |packet| packet.flags & (SYN | RST) != 0)
                .await
            else {
                continue;
            };
            if packet.flags & RST != 0 {
                return Err(CallError::Reset);
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
        Err(CallError::Timeout)
    }

    /// Sends a request on a flow and returns its response. Retransmits the request until `timeout`.
    pub async fn request(
        &mut self,
        flow: &mut CallerFlow,
        data: &[u8],
        timeout: Duration,
    ) -> Result<Vec<u8>, CallError> {
        let end = Instant::now() + timeout;
        let mut delay = FIRST_RETRANSMISSION_DELAY;
        let packet = flow.packet(ACK, data);
        while Instant::now() < end {
            self.send(&packet).await;
            let deadline = end.min(Instant::now() + delay);
            delay = MAX_RETRANSMISSION_DELAY.min(delay * 2);
            let (source, ack) = (flow.source, flow.ack);
            let is_expected = |packet: &WirePacket| {
                packet.flags & RST != 0 || (!packet.data.is_empty() && packet.seq == ack)
            };
            let Some(response) = self.receive(source, deadline, is_expected).await else {
                continue;
            };
            if response.flags & RST != 0 {
                return Err(CallError::Reset);
            }
            flow.seq = flow.seq.wrapping_add(data.len() as u32);
            flow.ack = flow.ack.wrapping_add(response.data.len() as u32);
            flow.echo = response.echo;
            self.send(&flow.packet(ACK, &[])).await;
            return Ok(response.data);
        }
        Err(CallError::Timeout)
    }

    /// Holds a flow idle for this time. Fails as soon as the flow is reset.
    pub async fn hold(&self, flow: &CallerFlow, time: Duration) -> Result<(), CallError> {
        let is_reset = |packet: &WirePacket| packet.flags & RST != 0;
        let deadline = Instant::now() + time;
        match self.receive(flow.source, deadline, is_reset).await {
            Some(_reset) => Err(CallError::Reset),
            None => Ok(()),
        }
    }

    /// Closes a flow by a FIN, without waiting for a response.
    pub async fn close(&mut self, flow: &CallerFlow) {
        self.send(&flow.packet(ACK | FIN, &[])).await;
    }

    async fn send(&self, packet: &WirePacket) {
        if let Some(host) = self.fabric.select_host((packet.source, packet.target)) {
            let _sent = self.socket.send_to(&packet.encode(), host).await;
        }
    }

    /// Returns the next packet to `source` for which `is_expected` holds, or `None` at the
    /// deadline. Other packets are dropped.
    async fn receive(
        &self,
        source: SocketAddrV4,
        deadline: Instant,
        is_expected: impl Fn(&WirePacket) -> bool,
    ) -> Option<WirePacket> {
        let mut buffer = [0; 2048];
        loop {
            let received = timeout_at(deadline, self.socket.recv_from(&mut buffer)).await;
            let (length, _from) = received.ok()?.ok()?;
            let packet = WirePacket::decode(&buffer[..length])?;
            if packet.target == source && is_expected(&packet) {
                return Some(packet);
            }
        }
    }
}

impl CallerFlow {
    /// Returns the caller's address of this flow.
    pub fn source(&self) -> SocketAddrV4 {
        self.source
    }

    /// Returns the address of the service.
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
