//! What may happen to a host's decision core.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::config_snapshot::ConfigSnapshot;
use crate::config_snapshot::HostView;
use crate::ids::UpstreamId;
use crate::wire_frame::CallerFrame;
use crate::wire_frame::PeerFrame;
use crate::wire_frame::UpstreamFrame;

/// What an upstream's endpoints said at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamReport {
    /// The upstream asked.
    pub upstream: UpstreamId,
    /// Whether it called itself healthy.
    pub healthy: bool,
    /// Slots it called busy.
    pub busy_slots: u32,
    /// Flows it said it holds.
    pub connections: u32,
}

/// One event; the time it happened at is passed beside it.
#[derive(Clone, Debug)]
pub enum HostEvent {
    /// A caller's datagram arrived.
    CallerFrame {
        /// The address it came from.
        caller: SocketAddr,
        /// Its decoded frame.
        frame: CallerFrame,
    },
    /// A peer's datagram arrived, and its code was verified.
    PeerFrame(PeerFrame),
    /// An upstream's datagram arrived.
    UpstreamFrame {
        /// The address it came from.
        source: SocketAddr,
        /// Its decoded frame.
        frame: UpstreamFrame,
    },
    /// The control daemon delivered a configuration; an older one than that in force is ignored.
    Config(Arc<ConfigSnapshot>),
    /// The control daemon delivered its view of the entry hosts.
    Hosts(Arc<HostView>),
    /// What an upstream's health and load endpoints said; it may lag or mislead.
    UpstreamReport(UpstreamReport),
    /// The host was asked to stop: finish what is in progress, take nothing new.
    Drain,
    /// Time has passed; to be sent at least once in [`crate::host_core::TICK`].
    Tick,
}
