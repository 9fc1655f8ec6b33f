//! The events that a host's decision core handles.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::config_snapshot::ConfigSnapshot;
use crate::config_snapshot::HostView;
use crate::ids::UpstreamId;
use crate::wire_frame::CallerFrame;
use crate::wire_frame::PeerFrame;
use crate::wire_frame::UpstreamFrame;

/// The state of an upstream as its health and load endpoints reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamReport {
    /// The upstream that reported.
    pub upstream: UpstreamId,
    /// Whether it reported itself healthy.
    pub healthy: bool,
    /// Busy slots that it reported.
    pub busy_slots: u32,
    /// Flows that it reported to hold.
    pub connections: u32,
}

/// One event. Its time is passed separately.
#[derive(Clone, Debug)]
pub enum HostEvent {
    /// A datagram of a caller arrived.
    CallerFrame {
        /// Its source address.
        caller: SocketAddr,
        /// Its decoded frame.
        frame: CallerFrame,
    },
    /// A datagram of a peer arrived, and its message authentication code was verified.
    PeerFrame(PeerFrame),
    /// A datagram of an upstream arrived.
    UpstreamFrame {
        /// Its source address.
        source: SocketAddr,
        /// Its decoded frame.
        frame: UpstreamFrame,
    },
    /// The control daemon delivered a configuration. It is ignored unless it is newer than the one
    /// in force.
    Config(Arc<ConfigSnapshot>),
    /// The control daemon delivered its list of the entry hosts.
    Hosts(Arc<HostView>),
    /// The health and load endpoints of an upstream reported; the report may be late or wrong.
    UpstreamReport(UpstreamReport),
    /// The host shall stop: it finishes what is in progress and accepts nothing new.
    Drain,
    /// Time has passed. Must be sent at least once every [`crate::host_core::TICK`].
    Tick,
}
