//! What zones report to each other about the load of contended services.
//!
//! Load pattern: demand rises and falls at different times in different zones. Only the hosts of a zone see the
//! requests of its own callers; those that other zones' callers have in progress there are seen by the hosts of
//! those zones alone, so that each report also states what its zone has in progress elsewhere.

use std::time::Duration;

use lagoonproxy::ids::ZoneName;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMicroSeconds;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::ids::ServiceTag;
use crate::load::service_room::REQUEST_LOAD;
use crate::peers::peer_datagram::MOST_DATAGRAM;
use crate::peers::peer_datagram::PeerDatagram;

/// Most requests in progress in a valid report, over all its services.
pub const MOST_REQUESTS: u64 = 65_535;

/// Most loads of services that a digest has from all other zones together.
pub const MOST_DIGEST_LOADS: usize = 32;

/// Requests of a zone's callers in progress in another zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneVisit {
    /// The other zone.
    pub zone: ZoneName,
    /// Requests in progress there, in thousandths.
    pub in_progress: u32,
}

/// The load of one service in one zone, as hosts of that zone see it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneServiceLoad {
    /// The service.
    pub service: ServiceTag,
    /// Slots of its upstreams in the zone that take flows; 0 if none of them responds.
    pub slots: u32,
    /// Requests of the zone's own callers in progress there, in thousandths.
    pub in_progress: u32,
    /// Requests in progress for each slot, in thousandths, raised while upstreams shed.
    pub pressure: u32,
    /// Whether the service is contended in the zone.
    pub is_contended: bool,
    /// What the zone's callers have in progress in other zones; none of zero.
    pub visits: Vec<ZoneVisit>,
}

/// The load of one zone's services.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneLoadReport {
    /// The sender's zone.
    pub zone: ZoneName,
    /// Grows with each report of the sender's process. A reply has that of the report that it answers.
    pub sequence: u64,
    /// Whether the sender asks for the receiver's report.
    pub wants_reply: bool,
    /// The services that are contended in either zone; none twice.
    pub services: Vec<ZoneServiceLoad>,
}

/// The load of one service in another zone, as the aggregator put it together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneServiceEntry {
    /// The service.
    pub service: ServiceTag,
    /// Slots of its upstreams in the zone; 0 if none of them responds.
    pub slots: u32,
    /// Requests in progress there, in thousandths, of the callers of all zones. In the entry of the receivers'
    /// own zone, those of other zones' callers only.
    pub in_progress: u32,
    /// Those of `in_progress` that the receivers' zone has sent there.
    pub sent: u32,
    /// Requests of that zone's own callers in progress in other zones, in thousandths.
    pub away: u32,
    /// Pressure that the zone reported, in thousandths: of its own callers' requests there.
    pub pressure: u32,
    /// Whether the service is contended there.
    pub is_contended: bool,
}

/// What a digest contains about one other zone.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneLoadEntry {
    /// The zone.
    pub zone: ZoneName,
    /// Time since its last report came.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Time from a report to its reply; `None` if no reply has come.
    #[serde_as(as = "Option<DurationMicroSeconds<u64>>")]
    pub delay: Option<Duration>,
    /// The services that are contended in the receivers' zone.
    pub services: Vec<ZoneServiceEntry>,
}

/// Requests in progress for each slot, in thousandths; the largest value if there is no slot.
pub fn pressure_of(in_progress: u32, slots: u32) -> u32 {
    in_progress.checked_div(slots).unwrap_or(u32::MAX)
}

impl ZoneLoadReport {
    /// Whether its counts can be true. Others are rejected whole.
    pub fn is_valid(&self) -> bool {
        let visits = self.services.iter().flat_map(|load| &load.visits);
        let visiting = visits.map(|visit| visit.in_progress);
        let own = self.services.iter().map(|load| load.in_progress);
        let mut pressures = self.services.iter().map(|load| load.pressure);
        !self.zone.is_empty()
            && fits_most(own.chain(visiting))
            && pressures.all(|pressure| fits_most([pressure].into_iter()))
            && are_distinct(self.services.iter().map(|load| load.service))
    }

    /// Removes the services of least pressure that make it longer than a datagram may be.
    pub fn fitted(mut self) -> Self {
        self.services
            .sort_by_key(|load| (!load.is_contended, std::cmp::Reverse(load.pressure)));
        while !self.services.is_empty() && !self.fits_datagram() {
            self.services.pop();
        }
        self
    }

    fn fits_datagram(&self) -> bool {
        let encoded = PeerDatagram::ZoneLoad(self.clone()).encode();
        encoded.is_ok_and(|bytes| bytes.len() <= MOST_DATAGRAM)
    }
}

impl ZoneLoadEntry {
    /// Whether its counts can be true.
    pub fn is_valid(&self) -> bool {
        let counts = self.services.iter();
        let counts = counts.flat_map(|entry| [entry.in_progress, entry.away]);
        let mut services = self.services.iter();
        !self.zone.is_empty()
            && fits_most(counts)
            && services.all(|entry| {
                entry.sent <= entry.in_progress && fits_most([entry.pressure].into_iter())
            })
            && are_distinct(self.services.iter().map(|entry| entry.service))
    }
}

fn fits_most(counts: impl Iterator<Item = u32>) -> bool {
    let sum: u64 = counts.map(u64::from).sum();
    sum <= MOST_REQUESTS * u64::from(REQUEST_LOAD)
}

fn are_distinct(services: impl Iterator<Item = ServiceTag>) -> bool {
    let mut tags: Vec<ServiceTag> = services.collect();
    let count = tags.len();
    tags.sort_unstable();
    tags.dedup();
    tags.len() == count
}
