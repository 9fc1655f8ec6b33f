//! The actions that a host's decision core requests of its daemon.

use std::net::SocketAddr;

use crate::ids::HostId;
use crate::result_code::ResultCode;
use crate::wire_frame::CallerFrame;
use crate::wire_frame::PeerFrame;
use crate::wire_frame::UpstreamFrame;

/// One action. The daemon executes actions in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostAction {
    /// Send a frame to a caller.
    ToCaller {
        /// The caller's address.
        caller: SocketAddr,
        /// The frame.
        frame: CallerFrame,
    },
    /// Send a frame to a peer.
    ToPeer {
        /// The peer's number.
        host: HostId,
        /// The peer's published address.
        address: SocketAddr,
        /// The frame.
        frame: PeerFrame,
    },
    /// Send a frame to an upstream.
    ToUpstream {
        /// The upstream's published address.
        address: SocketAddr,
        /// The frame.
        frame: UpstreamFrame,
    },
    /// Count a rejected request or a dropped datagram by its reason.
    Count(ResultCode),
    /// Count a further attempt of a request, by the reason why the previous one was not started.
    CountRetry(ResultCode),
    /// The requested drain is complete: nothing is in progress any more.
    Drained,
}
