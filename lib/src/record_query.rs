//! What hosts ask each other about a request before one takes it over.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::ids::FlowDigest;
use crate::ids::RequestId;

/// Asks a peer whether it has taken on a request, and to promise not to if it has not.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordQuery {
    /// Digest of the flow.
    pub flow: FlowDigest,
    /// The request's number in the flow.
    pub request: RequestId,
    /// Time in milliseconds since the caller first sent the request, at least; the datagrams that
    /// brought it may each have been under way for longest allowed time besides.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Time in milliseconds until the promise may be forgotten.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remaining: Duration,
    /// Digest of the members that the sender asks.
    pub member_set: u32,
}

/// What a peer knows of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RecordState {
    /// It has not taken it on, no process that it replaced can have, and it will not.
    Absent,
    /// It has taken it on and answers further copies.
    Held,
    /// It cannot tell: the request is older than its process or its list of members.
    Unsure,
}

/// Answers a [`RecordQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordReply {
    /// Digest of the flow.
    pub flow: FlowDigest,
    /// The request's number in the flow.
    pub request: RequestId,
    /// What the sender knows.
    pub state: RecordState,
}
