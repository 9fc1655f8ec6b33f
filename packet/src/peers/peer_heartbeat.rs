//! Heartbeats between entry hosts, one datagram each.
//!
//! A heartbeat contains the sender's zone, the position of its state, the addresses of some peers,
//! and reports on the upstreams of the sender's zone. Its content expires, and no packet waits for
//! a heartbeat.

use std::net::SocketAddrV4;
use std::time::Duration;

use lagoonproxy::ids::Version;
use lagoonproxy::ids::ZoneName;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::health::outlier_detector::OutcomeCounts;
use crate::ids::FlowTag;
use crate::state::state_confirmation::ConfirmationReport;
use crate::state::store_position::StorePosition;

/// Maximum number of hosts of the receiver's zone that a heartbeat names.
pub const MAX_NAMED_LOCAL: usize = 8;

/// Maximum number of hosts of other zones that a heartbeat names.
pub const MAX_NAMED_REMOTE: usize = 3;

/// Maximum number of upstreams reported in a heartbeat, so that it fits into one datagram.
pub const MAX_UPSTREAM_REPORTS: usize = 84;

/// Maximum number of upstreams in one datagram of failure reports.
pub const MAX_FAILURE_REPORTS: usize = 84;

/// One host's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// The zone of the sender.
    pub zone: ZoneName,
    /// Whether the sender reads the store for its zone and the store responded to its last call.
    pub reads: bool,
    /// What the store has confirmed of the sender's state up to `through`. Only a reader sends it,
    /// and only to its zone.
    pub confirmation: Option<ConfirmationReport>,
    /// CPU capacity of the sender in thousandths of a core.
    pub capacity: u32,
    /// Whether the sender accepts packets; false while it is stopping.
    pub ready: bool,
    /// Whether the sender requests a reply that names peers, because it has no state or knows no
    /// live peer of its zone.
    pub seeks: bool,
    /// Position of the store up to which the sender knows every change.
    pub through: StorePosition,
    /// The version of the sender's configuration; `None` if it has none.
    pub version: Option<Version>,
    /// A host that reads the store for the receiver's zone, if the sender received this from that
    /// host itself. Second-hand information is not forwarded, so that a failed reader is soon no
    /// longer named.
    pub reader: Option<SocketAddrV4>,
    /// Some hosts of the receiver's zone from which the sender recently received heartbeats.
    pub named: Vec<SocketAddrV4>,
    /// Some hosts of zones other than the receiver's; readers are preferred.
    pub others: Vec<SocketAddrV4>,
    /// Reports on the upstreams of the sender's zone; `None` if the previous ones still apply.
    pub reports: Option<Vec<UpstreamReport>>,
}

impl PeerHeartbeat {
    /// Returns the heartbeat without the addresses of peers and without reports.
    pub fn short_heartbeat(&self) -> Self {
        Self {
            reader: None,
            named: Vec::new(),
            others: Vec::new(),
            reports: None,
            zone: self.zone.clone(),
            ..*self
        }
    }
}

/// Observations of one upstream from the flows of the sender.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamReport {
    /// The upstream's flow tag.
    pub tag: FlowTag,
    /// Number of its flows through the sender.
    pub flows: u32,
    /// Time since the sender last observed that it is alive; `None` if it did not.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub heard_ago: Option<Duration>,
    /// Results of its requests through the sender.
    pub answers: OutcomeReport,
}

/// Results of an upstream's recent requests through the sender; each count saturates at 255.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeReport {
    /// Number of successful requests.
    pub served: u8,
    /// Number of failed requests.
    pub failed: u8,
}

/// Report that an upstream fails requests, sent at once instead of with the next heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureReport {
    /// The upstream's flow tag.
    pub tag: FlowTag,
    /// Results of its requests through the sender.
    pub answers: OutcomeReport,
}

impl From<OutcomeCounts> for OutcomeReport {
    fn from(counts: OutcomeCounts) -> Self {
        Self {
            served: u8::try_from(counts.served).unwrap_or(u8::MAX),
            failed: u8::try_from(counts.failed).unwrap_or(u8::MAX),
        }
    }
}

impl From<OutcomeReport> for OutcomeCounts {
    fn from(report: OutcomeReport) -> Self {
        Self {
            served: report.served.into(),
            failed: report.failed.into(),
        }
    }
}
