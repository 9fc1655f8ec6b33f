//! Table of the flows whose packets pass through this host. It serves observation only; forwarding
//! does not depend on it.
//!
//! Any host can forward any packet of an established flow by its tag. The table provides the number
//! of flows of each upstream and those waiting for a response. Losing an entry loses observations
//! and breaks no flow. The tables are therefore bounded, and packets of flows that do not fit are
//! forwarded without an entry.

use std::net::SocketAddrV4;
use std::time::Instant;

use arrayvec::ArrayVec;
use foldhash::HashMap;

use crate::ids::UpstreamIndex;
use crate::packet_head::PacketHead;

/// Maximum number of tracked flows. At 64 bytes a flow this is 4 MB, and three times the 20,000
/// flows that a host of the target size carries.
pub const MAX_FLOWS: usize = 65_536;

/// Maximum number of upstreams that the SYNs of one flow are sent to: three transmissions, each
/// with one hedge.
pub const MAX_TRIED_UPSTREAMS: usize = 6;

/// Caller and service address of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowKey {
    /// Address of the caller.
    pub caller: SocketAddrV4,
    /// Address of the service.
    pub service: SocketAddrV4,
}

impl FlowKey {
    /// Returns the key of a packet's flow.
    pub fn of(head: &PacketHead) -> Self {
        Self {
            caller: head.caller,
            service: head.service,
        }
    }
}

/// A SYN sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SynAttempt {
    /// Upstream that the SYN was sent to.
    pub upstream: UpstreamIndex,
    /// Time at which it was sent.
    pub sent: Instant,
}

/// A flow whose SYN was placed and that no further packet has confirmed yet.
#[derive(Clone, Debug, Default)]
pub struct HalfOpenFlow {
    /// Upstreams that SYNs were sent to, oldest first. Each counts the flow.
    pub attempts: ArrayVec<SynAttempt, MAX_TRIED_UPSTREAMS>,
    /// Whether its caller has retransmitted the SYN through this host.
    pub is_retransmitted: bool,
}

/// Whether an established flow counts as load at its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowActivity {
    /// The flow is in use and counts.
    Active,
    /// The flow has been silent for longer than usual on its route. It does not count until its
    /// next packet.
    Idle,
    /// The caller has ended its stream. The flow no longer counts.
    Closing,
}

/// Whether the last request of a flow has been classified as served, failed or shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClassification {
    /// The request has been classified, or there was none.
    Done,
    /// The request has not been classified.
    Pending,
    /// The request has not been classified, and its response began so soon that it may be a shed.
    PendingFastResponse,
}

/// An established flow.
#[derive(Clone, Copy, Debug)]
pub struct FlowRecord {
    /// Upstream of the flow.
    pub upstream: UpstreamIndex,
    /// Sequence number up to which the caller has acknowledged the upstream's stream; never
    /// decreases.
    pub acked: u32,
    /// Sequence number up to which the caller has sent; never decreases.
    pub sent: u32,
    /// Time of the last data for which no response has been acknowledged; `None` if the caller is
    /// not waiting.
    pub waiting_since: Option<Instant>,
    /// Acknowledged bytes of the response to the last request; saturates.
    pub response_bytes: u16,
    /// Whether the last request has been classified.
    pub classification: RequestClassification,
    /// Time of the last packet.
    pub last_seen: Instant,
    /// Whether the flow counts as load at its upstream.
    pub activity: FlowActivity,
}

impl FlowRecord {
    /// Whether a request has not been classified yet.
    pub fn is_unclassified(&self) -> bool {
        self.classification != RequestClassification::Done
    }
}

/// Half-open and established flows.
#[derive(Debug, Default)]
pub struct FlowTable {
    /// Half-open flows; at most [`MAX_FLOWS`].
    pub half_open: HashMap<FlowKey, HalfOpenFlow>,
    /// Established flows; at most [`MAX_FLOWS`].
    pub flows: HashMap<FlowKey, FlowRecord>,
}
