//! Heartbeats between entry hosts, one datagram each.
//!
//! A heartbeat holds the sender's zone and the position of its state, some peers, and reports on the upstreams of
//! its zone. Its content expires, and no packet depends on it.

use std::net::SocketAddrV4;
use std::time::Duration;

use lagoonproxy::ids::Version;
use lagoonproxy::ids::ZoneName;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::health::answer_record::AnswerCounts;
use crate::ids::FlowTag;
use crate::state::store_position::StorePosition;

/// Most hosts of the receiver's zone that a heartbeat names.
pub const MOST_NAMED: usize = 8;

/// Most hosts of other zones that a heartbeat names.
pub const MOST_OTHERS: usize = 3;

/// Most upstreams reported in a heartbeat, which is one datagram.
pub const MOST_REPORTS: usize = 84;

/// Most upstreams in one failure report.
pub const MOST_FAILURES: usize = 84;

/// One host's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// The zone of the sender.
    pub zone: ZoneName,
    /// Whether it reads the store for its zone and has an answer to its last call.
    pub reads: bool,
    /// Thousandths of a core that it has.
    pub capacity: u32,
    /// Whether it takes packets: a host that is stopping no longer counts.
    pub ready: bool,
    /// Whether it asks for a reply that names peers: it holds no state, or hears no local peer.
    pub seeks: bool,
    /// Everything that the store changed up to this position is known to the sender.
    pub through: StorePosition,
    /// The version of the sender's configuration; `None` before the first.
    pub version: Option<Version>,
    /// The host that reads the store for the receiver's zone, if the sender heard it say so itself.
    /// What others say is not passed on, so that a reader that died is soon named by nobody.
    pub reader: Option<SocketAddrV4>,
    /// Some hosts of the receiver's zone that the sender has heard of late.
    pub named: Vec<SocketAddrV4>,
    /// Some hosts of other zones, those that read first.
    pub others: Vec<SocketAddrV4>,
    /// The upstreams of the sender's zone; `None` if what it said before holds.
    pub reports: Option<Vec<UpstreamReport>>,
}

impl PeerHeartbeat {
    /// The heartbeat without names and reports.
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

/// What the sender's flows tell about one upstream.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamReport {
    /// The tag of its flows.
    pub tag: FlowTag,
    /// Flows that it has through the sender.
    pub flows: u32,
    /// Time since it last proved to be alive to the sender.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub heard_ago: Option<Duration>,
    /// How its requests through the sender ended.
    pub answers: AnswerReport,
}

/// How an upstream's requests through the sender ended of late; at most 255 of either is said.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerReport {
    /// Requests that it served.
    pub served: u8,
    /// Requests that it failed.
    pub failed: u8,
}

/// That an upstream fails requests, told at once and between heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureReport {
    /// The tag of its flows.
    pub tag: FlowTag,
    /// How its requests through the sender ended.
    pub answers: AnswerReport,
}

impl From<AnswerCounts> for AnswerReport {
    fn from(counts: AnswerCounts) -> Self {
        Self {
            served: u8::try_from(counts.served).unwrap_or(u8::MAX),
            failed: u8::try_from(counts.failed).unwrap_or(u8::MAX),
        }
    }
}

impl From<AnswerReport> for AnswerCounts {
    fn from(report: AnswerReport) -> Self {
        Self {
            served: report.served.into(),
            failed: report.failed.into(),
        }
    }
}
