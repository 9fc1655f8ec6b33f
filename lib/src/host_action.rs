//! What a host's decision core asks its shell to do.

use std::net::SocketAddr;

use crate::ids::HostId;
use crate::result_code::ResultCode;
use crate::wire_frame::CallerFrame;
use crate::wire_frame::PeerFrame;
use crate::wire_frame::UpstreamFrame;

/// One action; the shell carries them out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostAction {
    /// Send a frame to a caller.
    ToCaller {
        /// Where to.
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
    /// Count a refusal or a dropped datagram by its reason.
    Count(ResultCode),
    /// Count a further attempt of a request, by why the one before was not started.
    CountRetry(ResultCode),
    /// A drain that was asked for is complete: nothing is in progress any more.
    Drained,
}
