//! What the claims of a cell rest on: the lengths of votes, and the vote of each peer.

use std::time::Duration;
use std::time::Instant;

use crate::cell_heartbeat::SetStage;
use crate::ids::Incarnation;

/// The lengths that claims depend on; alike on every host.
#[derive(Clone, Copy, Debug)]
pub struct ClaimSettings {
    /// How long a vote lasts.
    pub length: Duration,
    /// How much longer its giver waits, for clocks whose rates differ. Assumption: over `length`,
    /// no two clocks differ by more than this.
    pub margin: Duration,
    /// How long a new process stays on standby, so that requests under way at its start are told
    /// apart from later ones.
    pub standby: Duration,
}

impl ClaimSettings {
    /// How long the giver of a vote is bound by it.
    pub(crate) fn bound(&self) -> Duration {
        self.length + self.margin
    }
}

/// What one peer said last and what this host has promised about it.
#[derive(Debug, Default)]
pub(crate) struct PeerVote {
    pub(crate) incarnation: Incarnation,
    pub(crate) number: u64,
    pub(crate) heard: Option<Instant>,
    pub(crate) member_set: u32,
    pub(crate) stage: Option<SetStage>,
    pub(crate) standby: bool,
    /// When the heartbeat of ours was sent that the peer's last one echoed.
    pub(crate) echo_base: Option<Instant>,
    /// When the newest heartbeat of ours was sent that the peer granted.
    pub(crate) grant_base: Option<Instant>,
    pub(crate) fenced: u64,
    /// When the newest heartbeat arrived that this host granted.
    pub(crate) granted_at: Option<Instant>,
    /// When this host last said, or relied on, that it has fenced the peer.
    pub(crate) fenced_at: Option<Instant>,
    /// Since when a majority has had this peer fenced without a gap.
    pub(crate) fenced_since: Option<Instant>,
}
