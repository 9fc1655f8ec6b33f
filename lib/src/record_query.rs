//! What hosts ask each other about a request before one takes it over.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::cell_heartbeat::HeartbeatEcho;
use crate::ids::FlowDigest;
use crate::ids::RequestId;
use crate::request_table::RequestKey;

/// Asks a peer whether it has taken on a request, and to promise not to if it has not.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordQuery {
    /// Number that the reply repeats; one for each time that a host decides on a request, so that
    /// a late reply is never taken for one to a later question.
    pub number: u64,
    /// Digest of the flow.
    pub flow: FlowDigest,
    /// The request's number in the flow.
    pub request: RequestId,
    /// The receiver's newest heartbeat that the sender had heard; dates the query.
    pub echo: Option<HeartbeatEcho>,
    /// Time in milliseconds since the caller first sent the request, at most.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Time in milliseconds until the promise may be forgotten.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remaining: Duration,
    /// Digest of the members that the sender asks.
    pub member_set: u32,
}

impl RecordQuery {
    /// The request it is about.
    pub fn key(&self) -> RequestKey {
        RequestKey {
            flow: self.flow,
            request: self.request,
        }
    }
}

/// What a peer knows of a request, in the order of how much that is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RecordState {
    /// It has not taken it on, no process that it replaced can have, and it will not.
    Absent,
    /// It cannot tell: the request is older than its process or its list of members.
    Unsure,
    /// It has taken it on and answers further copies.
    Held,
}

/// Answers a [`RecordQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordReply {
    /// Number of the query.
    pub number: u64,
    /// Digest of the flow.
    pub flow: FlowDigest,
    /// The request's number in the flow.
    pub request: RequestId,
    /// What the sender knows.
    pub state: RecordState,
}

impl RecordReply {
    /// The request it is about.
    pub fn key(&self) -> RequestKey {
        RequestKey {
            flow: self.flow,
            request: self.request,
        }
    }
}
