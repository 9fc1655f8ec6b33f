//! Lease durations, and the state of leases and votes for each peer.

use std::time::Duration;
use std::time::Instant;

use crate::group_heartbeat::MemberSetStage;
use crate::ids::Generation;

/// Durations that leases depend on; identical on every host.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSettings {
    /// How long a vote is valid.
    pub length: Duration,
    /// Additional time that the voter waits, to allow for clocks that run at different rates.
    /// Assumption: over `length`, no two clocks drift apart by more than this.
    pub margin: Duration,
    /// How long a new process stays on standby, so that requests sent before its start can be told
    /// apart from later ones.
    pub standby: Duration,
}

impl LeaseSettings {
    /// How long a voter has to honor its vote.
    pub(crate) fn expiry_delay(&self) -> Duration {
        self.length + self.margin
    }
}

/// The last heartbeat of a peer, and the votes that were exchanged with it.
#[derive(Debug, Default)]
pub(crate) struct PeerVote {
    pub(crate) incarnation: Generation,
    pub(crate) number: u64,
    pub(crate) heard_at: Option<Instant>,
    pub(crate) member_set: u32,
    pub(crate) stage: Option<MemberSetStage>,
    pub(crate) standby: bool,
    /// When this host sent the heartbeat that the peer's last heartbeat echoed.
    pub(crate) echo_sent_at: Option<Instant>,
    /// When this host sent the newest heartbeat that the peer answered with a grant.
    pub(crate) grant_sent_at: Option<Instant>,
    /// Bit `i`: the peer votes that the lease of the member with the `i`-th smallest number has
    /// expired.
    pub(crate) expired_members: u64,
    /// When the newest heartbeat arrived that this host answered with a grant.
    pub(crate) granted_at: Option<Instant>,
    /// When this host last sent or counted its own vote that the peer's lease has expired.
    pub(crate) expiry_voted_at: Option<Instant>,
    /// Since when a majority has continuously voted that the peer's lease has expired.
    pub(crate) lease_expired_since: Option<Instant>,
}
