//! Messages between hosts about the record of a request, exchanged before one host accepts it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::group_heartbeat::HeartbeatEcho;
use crate::ids::FlowDigest;
use crate::ids::RequestId;
use crate::request_table::RequestKey;

/// Asks a peer whether it has accepted a request. A peer that has not promises not to accept it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordQuery {
    /// Number that the reply repeats. It is different for each decision on a request, so that a
    /// late reply is not matched to a later query.
    pub number: u64,
    /// Digest of the flow.
    pub flow: FlowDigest,
    /// Number of the request within its flow.
    pub request: RequestId,
    /// The newest heartbeat of the receiver that the sender has received; it gives the receiver a
    /// lower bound on when the query was sent.
    pub echo: Option<HeartbeatEcho>,
    /// Maximum time in milliseconds since the caller first sent the request.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Time in milliseconds for which the promise has to be kept.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remaining: Duration,
    /// Digest of the member list that the sender uses.
    pub member_set: u32,
}

impl RecordQuery {
    /// The key of the request that the query is about.
    pub fn key(&self) -> RequestKey {
        RequestKey {
            flow: self.flow,
            request: self.request,
        }
    }
}

/// What a peer knows about a request, in ascending order of certainty that the request was
/// accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RecordState {
    /// The peer has not accepted the request, neither has an earlier process of the peer, and it
    /// will not accept it.
    Absent,
    /// The peer cannot tell, because the request is older than its process or its member list.
    Unsure,
    /// The peer has accepted the request and replies to further copies.
    Held,
}

/// The reply to a [`RecordQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordReply {
    /// Number of the query.
    pub number: u64,
    /// Digest of the flow.
    pub flow: FlowDigest,
    /// Number of the request within its flow.
    pub request: RequestId,
    /// What the sender knows about the request.
    pub state: RecordState,
}

impl RecordReply {
    /// The key of the request that the reply is about.
    pub fn key(&self) -> RequestKey {
        RequestKey {
            flow: self.flow,
            request: self.request,
        }
    }
}
