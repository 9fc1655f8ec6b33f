//! Forwards datagrams between entry hosts, so that tests can partition availability zones.
//!
//! A host publishes its proxy's address as its peer address. The proxy finds the sender's zone by
//! the source address of the datagram.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use lagoonproxy::ids::ZoneName;
use lagoonproxy::wire_frame::MAX_DATAGRAM;
use tokio::net::UdpSocket;

use crate::fabric::Fabric;

/// A proxy in front of one host's peer socket.
pub struct PeerProxy {
    fabric: Fabric,
    zone: ZoneName,
    target: SocketAddr,
    /// The zone of each host, by the source address of its datagrams.
    sources: BTreeMap<SocketAddr, ZoneName>,
    socket: Arc<UdpSocket>,
}

impl PeerProxy {
    /// Binds a proxy in front of `target`, a host in `zone`.
    pub async fn bind(
        fabric: Fabric,
        zone: ZoneName,
        target: SocketAddr,
        sources: BTreeMap<SocketAddr, ZoneName>,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        Ok(Self {
            fabric,
            zone,
            target,
            sources,
            socket: Arc::new(socket),
        })
    }

    /// Returns the address to publish as the host's peer address.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Forwards until the task is aborted.
    pub async fn run(self) {
        let mut buffer = [0; MAX_DATAGRAM + 1];
        loop {
            let Ok((len, source)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            let Some(zone) = self.sources.get(&source) else {
                log::warn!("ignoring a datagram from an unknown host at {source}");
                continue;
            };
            let bytes = Bytes::copy_from_slice(&buffer[..len]);
            let zones = (zone.as_str(), self.zone.as_str());
            self.fabric
                .relay(zones, &self.socket, self.target, bytes)
                .await;
        }
    }
}
