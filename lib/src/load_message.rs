//! What the load policies of entry hosts tell each other.
//!
//! A slot of an upstream is given away by one host, its keeper. Others ask for one, get a grant,
//! and release it. Every message may be lost, repeated or late: an ask is repeated under its
//! number, a grant that is not renewed runs out.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::result_code::ResultCode;

/// Number of an ask; unique for the host that asks, for as long as a grant can live.
pub type AskId = u32;

/// Tells callers apart in shares; a short digest, so that two callers may rarely share one.
pub type CallerTag = u32;

/// A message between the policies of two hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadMessage {
    /// The service whose slots it is about.
    pub service: ServiceId,
    /// The ask it is about.
    pub ask: AskId,
    /// What is said.
    pub body: LoadBody,
    /// The last end that the sender told the same keeper, once more. Without it a lost release
    /// holds its slot until the grant runs out.
    pub former: Option<FormerEnd>,
}

/// An end that was told before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerEnd {
    /// The service.
    pub service: ServiceId,
    /// The ask.
    pub ask: AskId,
    /// What became of it.
    pub end: GrantEnd,
}

/// The kinds of message between a host that asks and a keeper.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadBody {
    /// To a keeper: a job needs a slot.
    Ask(SlotAsk),
    /// From a keeper: this slot is yours.
    Grant {
        /// The upstream whose slot it is.
        upstream: UpstreamId,
    },
    /// From a keeper: the ask waits in its queue.
    Queued,
    /// From a keeper: no slot can be had in time.
    Deny {
        /// Why.
        code: ResultCode,
        /// Time in milliseconds after which coming back makes sense.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        retry_after: Duration,
    },
    /// To a keeper: the ask or its grant is over.
    Release(GrantEnd),
    /// To a keeper: the sender uses a slot, and goes on doing so. Renews a grant, and tells a new
    /// keeper of the grants of its predecessor.
    Hold {
        /// The upstream whose slot it is.
        upstream: UpstreamId,
    },
}

/// A wish for one slot.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotAsk {
    /// The one upstream that will do, if not any.
    pub upstream: Option<UpstreamId>,
    /// The caller it is for.
    pub caller: CallerTag,
    /// Time in milliseconds that the job has waited.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub waited: Duration,
    /// Time in milliseconds until the job's deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remaining: Duration,
    /// Whether the asker is itself a keeper, whose own slots are all in use.
    pub spill: bool,
}

/// What became of a granted slot.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantEnd {
    /// It was not used.
    Unused,
    /// A job ran and its whole answer arrived.
    Answered,
    /// The upstream proved that it did not start the job.
    Shed {
        /// Time in milliseconds after which it expects a free slot.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        retry_after: Duration,
    },
    /// Nothing more will be heard of the job.
    Lost,
    /// The caller cancelled the job.
    Cancelled,
}
