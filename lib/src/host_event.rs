//! What may happen to a host's decision core.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::config_snapshot::ConfigSnapshot;
use crate::config_snapshot::HostView;
use crate::wire_frame::CallerFrame;
use crate::wire_frame::PeerFrame;
use crate::wire_frame::UpstreamFrame;

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
    /// The host was asked to stop: finish what is in progress, take nothing new.
    Drain,
    /// Time has passed; to be sent at least once in [`crate::host_core::TICK`].
    Tick,
}
