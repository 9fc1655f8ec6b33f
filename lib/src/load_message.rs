//! Messages between the load policies of entry hosts.
//!
//! One host, the slot allocator, grants the slots of an upstream. Other hosts request a slot, use
//! it under a grant and release it. Any message may be lost, duplicated or delayed: a slot request
//! is sent again under the same number, and a grant that is not renewed expires.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::result_code::ResultCode;

/// Number of a slot request, unique at the requesting host for the lifetime of a grant.
pub type SlotRequestId = u32;

/// Short digest that identifies a caller in fair shares. Two callers may rarely have the same tag.
pub type CallerTag = u32;

/// A message between the policies of two hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadMessage {
    /// Service that the slots belong to.
    pub service: ServiceId,
    /// Slot request that the message refers to.
    #[serde(rename = "ask")]
    pub slot_request: SlotRequestId,
    /// Content of the message.
    pub body: LoadBody,
    /// Last release that the sender sent to the same allocator, repeated. Otherwise a lost release
    /// would hold its slot until the grant expires.
    #[serde(rename = "former")]
    pub previous_release: Option<PreviousRelease>,
}

/// Release that was already sent in an earlier message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviousRelease {
    /// Service that the slot belongs to.
    pub service: ServiceId,
    /// Slot request that was released.
    #[serde(rename = "ask")]
    pub slot_request: SlotRequestId,
    /// What the slot was used for.
    #[serde(rename = "end")]
    pub outcome: GrantOutcome,
}

/// Content of a message between a host that needs a slot and a slot allocator.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadBody {
    /// To an allocator: a request needs a slot.
    #[serde(rename = "Ask")]
    Request(SlotRequest),
    /// From an allocator: the slot is granted.
    Grant {
        /// Upstream that the slot belongs to.
        upstream: UpstreamId,
    },
    /// From an allocator: the slot request waits in its queue.
    Queued,
    /// From an allocator: no slot becomes free in time.
    Deny {
        /// Reason.
        code: ResultCode,
        /// Time after which the caller may try again, in milliseconds on the wire.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        retry_after: Duration,
    },
    /// To an allocator: the slot request is withdrawn or its grant has ended.
    Release(GrantOutcome),
    /// To an allocator: the sender still uses a slot. Renews a grant, and informs a new allocator
    /// of the grants that its predecessor gave.
    Hold {
        /// Upstream that the slot belongs to.
        upstream: UpstreamId,
    },
}

/// Request for one slot.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Upstream that the slot must belong to; `None` if any upstream of the service will do.
    pub upstream: Option<UpstreamId>,
    /// Caller that the slot is for.
    pub caller: CallerTag,
    /// Time that the request has waited so far, in milliseconds on the wire.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub waited: Duration,
    /// Time until the request's deadline, in milliseconds on the wire.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remaining: Duration,
    /// Whether the sender is itself an allocator whose own slots are all in use.
    pub spill: bool,
}

/// How a granted slot was used.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantOutcome {
    /// The slot was not used.
    Unused,
    /// A request ran and its whole response arrived.
    Answered,
    /// The upstream proved that it did not start the request.
    Shed {
        /// Time after which the upstream expects a free slot, in milliseconds on the wire.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        retry_after: Duration,
    },
    /// The request timed out or its upstream failed; it may have run.
    Lost,
    /// The caller cancelled the request.
    Cancelled,
}
