//! Load reports between zones about contended services.
//!
//! Demand rises and falls at different times in different zones. The hosts of a zone see the
//! requests of its own callers only. Requests that callers of other zones have in progress there
//! are seen by the hosts of those zones alone, so that each report also contains the requests that
//! its zone has in progress elsewhere.

use std::time::Duration;

use lagoonproxy::ids::ZoneName;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMicroSeconds;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::ids::ServiceTag;
use crate::load::load_state::REQUEST_LOAD;
use crate::peers::peer_datagram::MAX_DATAGRAM_BYTES;
use crate::peers::peer_datagram::PeerDatagram;

/// Maximum number of requests in progress in a valid report, over all services.
pub const MAX_REQUESTS: u64 = 65_535;

/// Maximum number of service entries in a digest, over all zones.
pub const MAX_DIGEST_LOADS: usize = 32;

/// Requests of a zone's callers in progress in another zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpilledRequests {
    /// The other zone.
    pub zone: ZoneName,
    /// Requests in progress there, in thousandths.
    pub in_progress: u32,
}

/// Load of one service in one zone, as seen by the hosts of that zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneServiceLoad {
    /// Tag of the service.
    pub service: ServiceTag,
    /// Slots of the service's upstreams in the zone that accept flows; 0 if no upstream responds.
    pub slots: u32,
    /// Requests of the zone's own callers in progress in the zone, in thousandths.
    pub in_progress: u32,
    /// Requests in progress per slot, in thousandths, raised while upstreams shed.
    pub pressure: u32,
    /// Whether the service is contended in the zone.
    pub is_contended: bool,
    /// Requests of the zone's callers in progress in other zones; entries are never zero.
    pub visits: Vec<SpilledRequests>,
}

/// Load of one zone's services.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneLoadReport {
    /// The sender's zone.
    pub zone: ZoneName,
    /// Increases with each report of the sender's process. A reply repeats the sequence of its
    /// query.
    pub sequence: u64,
    /// Whether the sender requests a report of the receiver.
    pub wants_reply: bool,
    /// The services that are contended in either zone; each at most once.
    pub services: Vec<ZoneServiceLoad>,
}

/// Load of one service in another zone, merged by the aggregator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneServiceEntry {
    /// Tag of the service.
    pub service: ServiceTag,
    /// Slots of the service's upstreams in the zone; 0 if no upstream responds.
    pub slots: u32,
    /// Requests in progress there of the callers of all zones, in thousandths. The entry of the
    /// receivers' own zone contains only requests of other zones' callers.
    pub in_progress: u32,
    /// The part of `in_progress` that belongs to callers of the receivers' zone.
    pub sent: u32,
    /// Requests of that zone's own callers in progress in other zones, in thousandths.
    pub away: u32,
    /// Pressure that the zone reported, in thousandths. It covers the requests of the zone's own
    /// callers.
    pub pressure: u32,
    /// Whether the service is contended there.
    pub is_contended: bool,
}

/// Load of one zone in a digest.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneLoadEntry {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Time since the arrival of the zone's last report.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Time from a query to its reply; `None` before the first reply.
    #[serde_as(as = "Option<DurationMicroSeconds<u64>>")]
    pub delay: Option<Duration>,
    /// The services that are contended in the receivers' zone.
    pub services: Vec<ZoneServiceEntry>,
}

/// Returns the requests in progress per slot, in thousandths; `u32::MAX` without slots.
pub fn slot_pressure_or_max(in_progress: u32, slots: u32) -> u32 {
    in_progress.checked_div(slots).unwrap_or(u32::MAX)
}

impl ZoneLoadReport {
    /// Returns whether all counts are possible. Invalid reports are rejected as a whole.
    pub fn is_valid(&self) -> bool {
        let visits = self.services.iter().flat_map(|load| &load.visits);
        let spilled = visits.map(|visit| visit.in_progress);
        let own = self.services.iter().map(|load| load.in_progress);
        let mut pressures = self.services.iter().map(|load| load.pressure);
        !self.zone.is_empty()
            && is_within_limit(own.chain(spilled))
            && pressures.all(|pressure| is_within_limit([pressure].into_iter()))
            && are_distinct(self.services.iter().map(|load| load.service))
    }

    /// Removes services until the report fits into a datagram: first those that are not contended,
    /// then those with the least pressure.
    pub fn truncated_to_fit(mut self) -> Self {
        self.services
            .sort_by_key(|load| (!load.is_contended, std::cmp::Reverse(load.pressure)));
        while !self.services.is_empty() && !self.fits_datagram() {
            self.services.pop();
        }
        self
    }

    fn fits_datagram(&self) -> bool {
        let encoded = PeerDatagram::ZoneLoad(self.clone()).encode();
        encoded.is_ok_and(|bytes| bytes.len() <= MAX_DATAGRAM_BYTES)
    }
}

impl ZoneLoadEntry {
    /// Returns whether all counts are possible.
    pub fn is_valid(&self) -> bool {
        let counts = self.services.iter();
        let counts = counts.flat_map(|entry| [entry.in_progress, entry.away]);
        let mut services = self.services.iter();
        !self.zone.is_empty()
            && is_within_limit(counts)
            && services.all(|entry| {
                entry.sent <= entry.in_progress && is_within_limit([entry.pressure].into_iter())
            })
            && are_distinct(self.services.iter().map(|entry| entry.service))
    }
}

fn is_within_limit(counts: impl Iterator<Item = u32>) -> bool {
    let sum: u64 = counts.map(u64::from).sum();
    sum <= MAX_REQUESTS * u64::from(REQUEST_LOAD)
}

fn are_distinct(services: impl Iterator<Item = ServiceTag>) -> bool {
    let mut tags: Vec<ServiceTag> = services.collect();
    let count = tags.len();
    tags.sort_unstable();
    tags.dedup();
    tags.len() == count
}
