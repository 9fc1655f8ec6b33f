//! What this host measures and learns of the load of services.
//!
//! Load pattern: a service has less room than its callers need, and each of many hosts sees a few of its
//! flows. What one host measures says little; the sum over the zone says which upstream has room.

use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use crate::ids::ServiceIndex;
use crate::ids::UpstreamIndex;
use crate::load::load_report::LoadDigest;
use crate::load::load_report::LoadReport;
use crate::load::service_room::ServiceRoom;
use crate::packet_action::DecisionEvent;
use crate::peers::peer_datagram::PeerDatagram;
use crate::peers::peer_table::PeerTable;
use crate::routes::route_table::RequestClass;
use crate::upstreams::upstream_table::UpstreamTable;

/// Parameters of the load exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadExchangeConfig {
    /// Whether services can become contended. If not, every decision is made as in calm.
    pub is_enabled: bool,
}

impl Default for LoadExchangeConfig {
    fn default() -> Self {
        Self { is_enabled: true }
    }
}

/// A datagram and its targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedDatagram {
    /// The datagram.
    pub datagram: PeerDatagram,
    /// Where it is sent.
    pub targets: Vec<SocketAddrV4>,
}

/// What became of a SYN.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SynOutcome {
    /// It was sent to an upstream.
    Placed,
    /// It was left to its caller's next retransmission.
    Deferred,
    /// It was refused.
    Refused,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// It was answered; how long after it was sent.
    Answered(Duration),
    /// The upstream shed it.
    Shed,
}

/// The load of services, as this host measured and learned it.
#[derive(Debug, Default)]
pub struct LoadView {
    config: LoadExchangeConfig,
}

impl LoadView {
    /// A host that has measured nothing yet.
    pub fn new(config: LoadExchangeConfig) -> Self {
        Self { config }
    }

    /// What is known of a service.
    pub fn room(&self, _now: Instant, _service: ServiceIndex) -> ServiceRoom {
        ServiceRoom::default()
    }

    /// Whether this host aggregates the load of its zone.
    pub fn is_aggregator(&self) -> bool {
        false
    }

    /// Records a SYN and what became of it; `copy` is 0 for the first SYN of a flow.
    pub fn record_syn(
        &mut self,
        _now: Instant,
        _service: ServiceIndex,
        _class: RequestClass,
        _copy: u32,
        _outcome: SynOutcome,
    ) {
    }

    /// Records the end of a request at an upstream.
    pub fn record_request(
        &mut self,
        _now: Instant,
        _index: UpstreamIndex,
        _class: RequestClass,
        _end: RequestEnd,
        _upstreams: &UpstreamTable,
    ) {
    }

    /// Updates the load of upstreams and decides which services are contended. To be called several times a
    /// second.
    pub fn tick(
        &mut self,
        _now: Instant,
        _peers: &PeerTable,
        _upstreams: &mut UpstreamTable,
        _events: &mut Vec<DecisionEvent>,
    ) {
    }

    /// Discards what was measured before a stall of this process.
    pub fn reset(&mut self) {
        *self = Self::new(self.config);
    }

    /// The reports and digests to send now.
    pub fn due_datagrams(
        &mut self,
        _now: Instant,
        _peers: &PeerTable,
        _upstreams: &UpstreamTable,
    ) -> Vec<AddressedDatagram> {
        Vec::new()
    }

    /// Merges a host's report: this host aggregates for it.
    pub fn heard_report(&mut self, _now: Instant, _from: SocketAddrV4, _report: &LoadReport) {}

    /// Merges an aggregator's digest.
    pub fn heard_digest(&mut self, _now: Instant, _from: SocketAddrV4, _digest: &LoadDigest) {}
}
