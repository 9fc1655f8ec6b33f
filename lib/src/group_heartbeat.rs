//! Heartbeats between the entry hosts of an ownership group.
//!
//! A heartbeat shows that the sender is alive, echoes the peer's last heartbeat and carries the
//! sender's vote on the leases of [`crate::lease_table`]. There are no separate acknowledgements. A host
//! sends one to each other host of its group in each [`HEARTBEAT_INTERVAL`].

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Generation;
use crate::ids::Version;

/// Time between two heartbeats to the same peer.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of hosts in a group, because [`GroupHeartbeat::fenced`] has one bit per member.
pub const MAX_GROUP_HOSTS: usize = 64;

/// Progress of a host in adopting its member list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MemberSetStage {
    /// The process has not voted under any list yet.
    Fresh,
    /// The process voted under another list, and that vote may still be in use.
    Pending,
    /// No vote under an earlier list can still be in use.
    Active,
}

/// Identifies a heartbeat of the peer to which it is echoed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatEcho {
    /// Generation of the process that sent the heartbeat.
    pub incarnation: Generation,
    /// Number of the heartbeat.
    pub number: u64,
}

/// A heartbeat to one peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupHeartbeat {
    /// Generation of the sending process.
    pub incarnation: Generation,
    /// Increases with each heartbeat of a generation, over all peers.
    pub number: u64,
    /// The newest heartbeat received from the receiver.
    pub echo: Option<HeartbeatEcho>,
    /// Whether the echo is a vote for the receiver's lease.
    pub granted: bool,
    /// Digest of the members over which the sender counts majorities.
    pub member_set: u32,
    /// Progress of the sender in adopting that member list.
    pub set_stage: MemberSetStage,
    /// Whether the sender refrains from serving requests that may not run twice, and promises to do
    /// so for the duration of a lease.
    pub standby: bool,
    /// Whether the sender holds its lease, so that requests that may not run twice can be sent to
    /// it.
    pub claiming: bool,
    /// Whether the sender is about to stop and accepts no new work.
    pub leaving: bool,
    /// Version of the host list from which the member list was taken.
    pub list_version: Version,
    /// Bit `i` is set if the lease of the member with the `i`-th smallest host id has expired at
    /// the sender.
    pub fenced: u64,
}
