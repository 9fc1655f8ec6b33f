//! What an upstream has registered about itself.

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

/// Whether an upstream wants new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryState {
    /// It takes new flows.
    Ready,
    /// It is leaving: it keeps its flows and wants no new ones.
    Draining,
}

/// One upstream's registration.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Its name.
    pub name: UpstreamName,
    /// The number that packets meant for it carry.
    pub number: UpstreamNumber,
    /// The one service whose flows it may take.
    pub service: ServiceName,
    /// Where it takes packets. May belong to another upstream once this one has ended.
    pub address: SocketAddrV4,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it works on at a time; at least 1.
    pub slots: u32,
    /// Whether it wants new flows.
    pub state: EntryState,
    /// How long it was still slow after its start when it wrote the entry.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub warmup_left: Duration,
    /// When its process started, if it says so. A change means that it holds nothing of before.
    pub born: Option<BornMillis>,
    /// Which of its process's writes this is; a larger one is newer.
    pub write_count: WriteCount,
}
