//! Messages between the hosts of a zone and the dispatcher of a contended service.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::FlowDigest;
use crate::ids::FlowTag;
use crate::ids::HoldMillis;
use crate::ids::ServiceTag;
use crate::routes::route_config::RequestPriority;

/// Maximum number of events in a datagram. Keeps it below 1,400 bytes.
pub const MAX_EVENTS_PER_DATAGRAM: usize = 96;

/// Maximum number of upstreams that a query excludes.
pub const MAX_EXCLUDED: usize = 8;

/// Maximum time that a flow waits for free capacity, in milliseconds. Callers retransmit a SYN
/// after 200 ms.
pub const MAX_HOLD_MS: HoldMillis = 150;

/// Start or end of a request on an open flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestEvent {
    /// The request was forwarded to its upstream.
    Began {
        /// The flow of the request.
        flow: FlowDigest,
        /// The tag of the flow's upstream.
        upstream: FlowTag,
    },
    /// The response has begun, or the caller has given up.
    Ended {
        /// The flow of the request.
        flow: FlowDigest,
    },
}

/// Asks a dispatcher where to place a new flow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchQuery {
    /// The flow.
    pub flow: FlowDigest,
    /// The service of the flow.
    pub service: ServiceTag,
    /// The priority of the flow's request.
    pub priority: RequestPriority,
    /// Whether the flow may be refused: none of its SYNs has gone to an upstream.
    pub may_refuse: bool,
    /// How long the flow may wait for free capacity, in milliseconds; at most [`MAX_HOLD_MS`].
    pub hold_ms: HoldMillis,
    /// Upstreams that an earlier SYN of the flow went to; at most [`MAX_EXCLUDED`].
    pub excluded: Vec<FlowTag>,
}

/// A dispatcher's reply to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchReply {
    /// The flow.
    pub flow: FlowDigest,
    /// The decision about the flow.
    pub verdict: DispatchVerdict,
}

/// A dispatcher's decision about a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DispatchVerdict {
    /// Place the flow on this upstream.
    Place(FlowTag),
    /// Keep the SYN parked until an upstream has free capacity; another reply follows.
    Wait,
    /// Drop the SYN: no upstream has capacity for the flow's priority class now, but one may have
    /// when the caller retransmits.
    Defer,
    /// Refuse the flow: no upstream has capacity for its priority class.
    Refuse,
    /// The dispatcher lacks the data to decide; the host that sent the query decides alone.
    Unknown,
}
