//! The registration that an upstream writes to the store.

use std::net::SocketAddrV4;
use std::time::Duration;

use lagoonproxy::ids::ZoneName;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::ids::BornMillis;
use crate::ids::ServiceName;
use crate::ids::UpstreamName;
use crate::ids::UpstreamNumber;
use crate::ids::WriteCount;

/// Whether an upstream accepts new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryState {
    /// The upstream accepts new flows.
    Ready,
    /// The upstream is stopping: it keeps its flows and accepts no new ones.
    Draining,
}

/// Registration of one upstream.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Name of the upstream, unique among the registered ones.
    pub name: UpstreamName,
    /// Number that precedes each packet forwarded to it.
    pub number: UpstreamNumber,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Address that packets are forwarded to. Another upstream may reuse it after this one has
    /// ended.
    pub address: SocketAddrV4,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Number of requests that it processes concurrently; at least 1.
    pub slots: u32,
    /// Whether the upstream accepts new flows.
    pub state: EntryState,
    /// Remaining warm-up time when the upstream wrote the registration.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub warmup_left: Duration,
    /// Start time of its process; `None` if it does not publish one. A change means that it has
    /// restarted and lost its state.
    pub born: Option<BornMillis>,
    /// Number of this write among those of its process; a larger one is newer.
    pub write_count: WriteCount,
}
