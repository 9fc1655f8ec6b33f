//! Which share of a contended service's new flows leaves its zone, and where to.

use std::time::Instant;

use lagoonproxy::ids::ZoneName;

use crate::ids::ServiceIndex;
use crate::load::load_view::AddressedDatagram;
use crate::load::load_view::LoadView;
use crate::load::zone_load::ZoneLoadReport;
use crate::packet_action::DecisionEvent;
use crate::peers::peer_table::PeerTable;
use crate::upstreams::upstream_table::UpstreamTable;

/// Parameters of spill to other zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneSpillConfig {}

/// What is known of other zones, and what leaves for them.
#[derive(Debug, Default)]
pub struct ZoneSpill {}

impl ZoneSpill {
    /// The zone that a new flow leaves for; `None` if it stays.
    pub fn target(&self, _service: ServiceIndex, _flow_hash: u64) -> Option<&ZoneName> {
        None
    }

    /// Updates the shares that leave. To be called several times a second.
    pub fn tick(
        &mut self,
        _now: Instant,
        _load: &LoadView,
        _upstreams: &UpstreamTable,
        _events: &mut Vec<DecisionEvent>,
    ) {
    }

    /// The reports to send to other zones now.
    pub fn due_datagrams(
        &mut self,
        _now: Instant,
        _load: &LoadView,
        _peers: &PeerTable,
        _upstreams: &UpstreamTable,
    ) -> Vec<AddressedDatagram> {
        Vec::new()
    }

    /// Merges another zone's report; true if it asks for this zone's.
    pub fn heard(&mut self, _now: Instant, report: &ZoneLoadReport) -> bool {
        report.wants_reply
    }

    /// This zone's report.
    pub fn report(
        &self,
        _now: Instant,
        _load: &LoadView,
        _upstreams: &UpstreamTable,
    ) -> ZoneLoadReport {
        ZoneLoadReport::default()
    }
}
