//! The flows that this host carries packets of: evidence only, no packet depends on it.
//!
//! Any host forwards any packet of an open flow by its tag. What stands here says how many flows
//! each upstream has and which wait for an answer; a host that forgets it loses evidence and
//! breaks nothing. So the tables are bounded, and what does not fit is forwarded all the same.

use std::net::SocketAddrV4;
use std::time::Instant;

use arrayvec::ArrayVec;
use foldhash::HashMap;

use crate::ids::UpstreamIndex;
use crate::packet_head::PacketHead;

/// Most flows that are watched at a time. At 64 bytes a flow this is 4 MB, and three times what
/// a host of the size aimed at carries (20,000).
pub const MOST_FLOWS: usize = 65_536;

/// Most upstreams that copies of one opening packet go to: three copies, each beside one other.
pub const MOST_TRIED: usize = 6;

/// The two ends of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowKey {
    /// The caller's end.
    pub caller: SocketAddrV4,
    /// The service's end.
    pub service: SocketAddrV4,
}

impl FlowKey {
    /// The flow of a packet.
    pub fn of(head: &PacketHead) -> Self {
        Self {
            caller: head.caller,
            service: head.service,
        }
    }
}

/// One upstream that an opening packet went to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpeningAttempt {
    /// The upstream.
    pub upstream: UpstreamIndex,
    /// When the packet was sent there.
    pub sent: Instant,
}

/// A flow whose opening packet was placed and which no further packet has confirmed yet.
#[derive(Clone, Debug, Default)]
pub struct OpeningRecord {
    /// Where copies went, oldest first; each counts as a flow there.
    pub attempts: ArrayVec<OpeningAttempt, MOST_TRIED>,
}

/// What an open flow is to its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowUsage {
    /// It is in use, and counts.
    Active,
    /// It was silent for longer than is usual on its route, and does not count until its next packet.
    Idle,
    /// Its caller has ended its stream; it no longer counts.
    Closing,
}

/// How far a flow's last request has been judged as served, failed or shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestJudgement {
    /// It has been, or there was none.
    Done,
    /// It has not.
    Pending,
    /// It has not, and its answer began so soon that it may be a shed.
    PendingPrompt,
}

/// An open flow.
#[derive(Clone, Copy, Debug)]
pub struct FlowRecord {
    /// Its upstream.
    pub upstream: UpstreamIndex,
    /// How far the caller has acknowledged the upstream's stream; only grows.
    pub acked: u32,
    /// How far the caller has sent; only grows.
    pub sent: u32,
    /// When the last data went out that nothing has been received for since.
    pub waiting_since: Option<Instant>,
    /// Bytes of the answer to the last request that the caller has acknowledged, as far as they count.
    pub answer_bytes: u16,
    /// Whether there is a request on this flow that has not been judged as served, failed or shed.
    pub judgement: RequestJudgement,
    /// When the last packet came.
    pub last_seen: Instant,
    /// Whether it counts at its upstream.
    pub usage: FlowUsage,
}

impl FlowRecord {
    /// Whether there is a request that has not been judged.
    pub fn is_unjudged(&self) -> bool {
        self.judgement != RequestJudgement::Done
    }
}

/// The flows that are being opened, and those that are open.
#[derive(Debug, Default)]
pub struct FlowTable {
    /// Being opened; at most [`MOST_FLOWS`].
    pub openings: HashMap<FlowKey, OpeningRecord>,
    /// Open; at most [`MOST_FLOWS`].
    pub flows: HashMap<FlowKey, FlowRecord>,
}
