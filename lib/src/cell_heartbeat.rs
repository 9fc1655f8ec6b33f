//! What the entry hosts of a cell tell each other a few times a second.
//!
//! One datagram carries a sign of life, the echo of the peer's own last heartbeat, and the sender's
//! vote on the claims of [`crate::claim`]; there are no separate acknowledgements. A host sends one to
//! each other host of its cell in each [`HEARTBEAT_INTERVAL`].

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::ids::Version;

/// Time between two heartbeats to the same peer.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// The largest cell, because fences travel as one bit a member.
pub const MAX_CELL: usize = 64;

/// How far a host has come in using its list of members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SetStage {
    /// The process has voted under no list yet.
    Fresh,
    /// The process voted under another list, and that one may still be in use.
    Pending,
    /// No vote under an earlier list can be in use any more.
    Active,
}

/// Names one heartbeat of the peer that it is sent back to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatEcho {
    /// The incarnation that sent it.
    pub incarnation: Incarnation,
    /// Its number.
    pub number: u64,
}

/// One heartbeat, addressed to one peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellHeartbeat {
    /// Start of the sending process.
    pub incarnation: Incarnation,
    /// Grows with each heartbeat of an incarnation, over all peers.
    pub number: u64,
    /// The newest heartbeat of the receiver that has arrived.
    pub echo: Option<HeartbeatEcho>,
    /// Whether the echo is a vote for the receiver's claim.
    pub granted: bool,
    /// Digest of the members that the sender counts majorities over.
    pub member_set: u32,
    /// How far the sender has come in using that set.
    pub set_stage: SetStage,
    /// The sender does not act on requests that may not run twice, and promises not to for the
    /// length of a claim.
    pub standby: bool,
    /// The sender holds its claim, so that requests that may not run twice can be sent to it.
    pub claiming: bool,
    /// The sender is about to stop; it takes no new work.
    pub leaving: bool,
    /// Version of the host list behind the set.
    pub list_version: Version,
    /// Bit `i`: the sender has fenced the member with the `i`-th smallest number.
    pub fenced: u64,
}
