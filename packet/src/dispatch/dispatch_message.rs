//! What hosts of a zone and the dispatcher of a contended service send each other.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::FlowDigest;
use crate::ids::FlowTag;
use crate::ids::HoldMillis;
use crate::ids::ServiceTag;
use crate::routes::route_config::RequestPriority;

/// Most events in a datagram: it stays below 1,400 bytes.
pub const MOST_EVENTS: usize = 96;

/// Most upstreams that a query excludes.
pub const MOST_EXCLUDED: usize = 8;

/// Longest time that a flow waits for room, in milliseconds: below the time after which callers send a SYN again.
pub const MOST_HOLD_MS: HoldMillis = 150;

/// A request of an open flow has gone to its upstream, or has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestEvent {
    /// It was forwarded.
    Began {
        /// Its flow.
        flow: FlowDigest,
        /// The tag of the flow's upstream.
        upstream: FlowTag,
    },
    /// Its response began, or its caller has given up.
    Ended {
        /// Its flow.
        flow: FlowDigest,
    },
}

/// Asks where a new flow is to be placed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchQuery {
    /// The flow.
    pub flow: FlowDigest,
    /// Its service.
    pub service: ServiceTag,
    /// How urgent its request is.
    pub priority: RequestPriority,
    /// Whether the flow may be refused: none of its SYNs has gone to an upstream.
    pub may_refuse: bool,
    /// How long the flow may wait for room, in milliseconds; at most [`MOST_HOLD_MS`].
    pub hold_ms: HoldMillis,
    /// Upstreams that an earlier SYN of the flow went to; at most [`MOST_EXCLUDED`].
    pub excluded: Vec<FlowTag>,
}

/// The reply to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchReply {
    /// The flow.
    pub flow: FlowDigest,
    /// What becomes of it.
    pub verdict: DispatchVerdict,
}

/// Where a new flow goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DispatchVerdict {
    /// To this upstream.
    Place(FlowTag),
    /// Nowhere yet: it waits for room, and another reply follows.
    Wait,
    /// Nowhere now: no upstream has room for its class, and one may have when the SYN is sent again.
    Defer,
    /// Nowhere: no upstream has room for its class.
    Refuse,
    /// The dispatcher does not know enough; the host that asked decides.
    Unknown,
}
