//! Datagrams by which the hosts of a zone exchange the load of contended services.
//!
//! Each host sends a [`LoadReport`] to the aggregator of its zone. The aggregator sums up the
//! reports and sends a [`LoadDigest`] to every host of the zone.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::FlowTag;
use crate::ids::ServiceName;
use crate::ids::ServiceTag;
use crate::load::load_state::REQUEST_LOAD;
use crate::load::load_tracker::LoadExchangeConfig;
use crate::load::request_meter::ClassCounts;
use crate::load::request_meter::RequestCounts;
use crate::load::request_meter::TIME_UNIT;
use crate::load::zone_load::ZoneLoadEntry;
use crate::peers::peer_datagram::MAX_DATAGRAM_BYTES;
use crate::routes::route_config::RequestPriority;
use crate::routes::route_table::MAX_CLASSES;

/// Length of the format version and the variant that precede the content of a datagram.
const DATAGRAM_HEADER_BYTES: usize = 2;

/// Estimated encoded length of one upstream. A wrong estimate only costs another encoding.
const ESTIMATED_UPSTREAM_BYTES: usize = 16;

/// Longest interval that a valid report covers. Hosts that were stalled for longer discard their
/// counts.
const MAX_REPORT_SPAN: Duration = Duration::from_secs(5);

/// Maximum number of reporting hosts in a valid digest: twice the target size of a zone.
pub const MAX_REPORTERS: u32 = 1024;

/// Requests and SYNs that one host counted since its last report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Increases with each report of the sender's process.
    pub sequence: u64,
    /// Length of the covered interval in milliseconds.
    pub span: u32,
    /// The services that are contended at the sender.
    pub services: Vec<ServiceReport>,
}

/// Requests and SYNs of one service, as counted by one host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Tag of the service.
    pub service: ServiceTag,
    /// Requests at all upstreams of the zone.
    pub requests: RequestCounts,
    /// Classes with new flows, SYNs or requests in the covered interval.
    pub classes: Vec<(RequestPriority, ClassCounts)>,
    /// Upstreams with requests, ordered by descending request time. Those with the least request
    /// time are left out if the datagram would exceed its maximum length.
    pub upstreams: Vec<(FlowTag, RequestCounts)>,
}

/// Load of a zone, summed up from the recent reports of its hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// Increases with each digest of the sender's process.
    pub sequence: u64,
    /// Number of hosts with a report in the digest.
    pub reporters: u32,
    /// The reported services, ordered by descending pressure.
    pub services: Vec<ServiceDigest>,
    /// Load of the zones, for spill between zones; empty if no zone has reported.
    pub zones: Vec<ZoneLoadEntry>,
}

/// Load of one service, summed up from the reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDigest {
    /// Tag of the service.
    pub service: ServiceTag,
    /// Number of hosts that reported the service.
    pub reporters: u32,
    /// Whether the aggregator regards the service as contended.
    pub is_contended: bool,
    /// Requests in progress through the reporting hosts per slot, in thousandths of a request (see
    /// [`REQUEST_LOAD`]).
    pub pressure: u32,
    /// Share of the responses that were sheds, in thousandths.
    pub shed_share: u32,
    /// Counts of each class per second.
    pub classes: Vec<(RequestPriority, ClassCounts)>,
    /// Upstreams with the most requests in progress, in descending order.
    pub upstreams: Vec<(FlowTag, RequestRates)>,
    /// Number of the service's upstreams in the zone that are not listed.
    pub others: u32,
    /// Sum over the upstreams that are not listed.
    pub rest: RequestRates,
}

/// Requests at one or more upstreams. The mean response time is `in_progress` divided by the rate
/// of responses that were not sheds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRates {
    /// Requests in progress, in thousandths of a request (see [`REQUEST_LOAD`]).
    pub in_progress: u64,
    /// Responses per second, sheds included, in thousandths.
    pub answered: u64,
    /// Sheds per second, in thousandths.
    pub shed: u64,
}

/// Returns the tag of a service, which is the same on every host because it depends on the name
/// alone.
pub fn service_tag(name: &ServiceName) -> ServiceTag {
    let hash = xxh3_64(name.as_bytes());
    (hash ^ (hash >> 32)) as ServiceTag
}

impl RequestRates {
    /// Adds `other` to each count and rate.
    pub fn add(&mut self, other: Self) {
        self.in_progress = self.in_progress.saturating_add(other.in_progress);
        self.answered = self.answered.saturating_add(other.answered);
        self.shed = self.shed.saturating_add(other.shed);
    }

    /// Returns the mean time from a request to its response, sheds excluded; zero without
    /// responses.
    pub fn response_time(&self) -> Duration {
        let served = self.answered.saturating_sub(self.shed);
        let micros = self.in_progress.saturating_mul(1_000_000);
        Duration::from_micros(micros.checked_div(served).unwrap_or(0))
    }

    /// Limits the requests in progress to [`LoadExchangeConfig::max_request_time`] per response.
    /// Reports whose sums and upstreams contradict each other yield more.
    pub fn clamped(self, config: &LoadExchangeConfig) -> Self {
        let max_time = config.max_request_time.as_millis();
        let limit = u128::from(self.answered) * max_time / 1000;
        let limit = u64::try_from(limit).unwrap_or(u64::MAX);
        Self {
            in_progress: self.in_progress.min(limit),
            ..self
        }
    }

    /// Returns whether the requests in progress do not exceed
    /// [`LoadExchangeConfig::max_request_time`] per response.
    fn has_plausible_time(&self, config: &LoadExchangeConfig) -> bool {
        let max_time = config.max_request_time.as_millis();
        u128::from(self.in_progress) * 1000 <= u128::from(self.answered) * max_time
    }
}

impl LoadReport {
    /// Returns whether all counts are possible. Invalid reports are rejected.
    pub fn is_valid(&self, config: &LoadExchangeConfig) -> bool {
        let span = Duration::from_millis(self.span.into());
        if span.is_zero() || span > MAX_REPORT_SPAN {
            return false;
        }
        let max_time = config.max_request_time.as_nanos() / TIME_UNIT.as_nanos();
        let has_plausible_time = |counts: &RequestCounts| {
            u128::from(counts.time) <= u128::from(counts.answered) * max_time
        };
        let (mut time, mut upstreams) = (0_u128, 0);
        for service in &self.services {
            upstreams += service.upstreams.len();
            let listed = service.upstreams.iter().map(|(_tag, counts)| counts);
            let listed_time: u128 = listed.clone().map(|counts| u128::from(counts.time)).sum();
            let sum = &service.requests;
            let is_plausible = service.classes.len() <= MAX_CLASSES
                && has_plausible_time(sum)
                && listed.clone().all(has_plausible_time)
                && listed_time <= u128::from(sum.time);
            if !is_plausible {
                return false;
            }
            time += u128::from(sum.time);
        }
        let in_progress = time * TIME_UNIT.as_nanos() / span.as_nanos();
        upstreams <= config.max_upstreams && in_progress <= u128::from(config.max_in_progress)
    }

    /// Drops the upstreams with the least request time until the report fits into a datagram, then
    /// whole services.
    pub fn truncate_to_fit(&mut self, config: &LoadExchangeConfig) {
        truncate_to_fit(self, config);
    }
}

impl LoadDigest {
    /// Returns the entry of a service; `None` if no host reported it.
    pub fn service(&self, service: ServiceTag) -> Option<&ServiceDigest> {
        self.services
            .iter()
            .find(|digest| digest.service == service)
    }

    /// Returns whether all counts are possible. Invalid digests are rejected.
    pub fn is_valid(&self, config: &LoadExchangeConfig) -> bool {
        if self.reporters == 0 || self.reporters > MAX_REPORTERS {
            return false;
        }
        let limit = u128::from(config.max_in_progress) * u128::from(REQUEST_LOAD);
        let (mut in_progress, mut upstreams) = (0_u128, 0);
        for service in &self.services {
            upstreams += service.upstreams.len();
            let rates = service.upstreams.iter().map(|(_tag, rates)| rates);
            for rates in rates.chain([&service.rest]) {
                in_progress += u128::from(rates.in_progress);
                if !rates.has_plausible_time(config) {
                    return false;
                }
            }
            let is_plausible = (1..=self.reporters).contains(&service.reporters)
                && service.classes.len() <= MAX_CLASSES
                && u128::from(service.pressure) <= limit
                && service.shed_share <= 1000;
            if !is_plausible {
                return false;
            }
        }
        upstreams <= config.max_upstreams && in_progress <= limit
    }

    /// Moves the upstreams with the fewest requests in progress to [`ServiceDigest::rest`] until
    /// the digest fits into a datagram, then drops whole services.
    pub fn truncate_to_fit(&mut self, config: &LoadExchangeConfig) {
        truncate_to_fit(self, config);
    }
}

/// A datagram that can be shortened to the maximum length.
trait TruncatableDatagram: Serialize {
    /// Returns the number of listed upstreams.
    fn upstreams(&self) -> usize;

    /// Removes the listed upstream with the least load; returns false if none is listed.
    fn drop_upstream(&mut self) -> bool;

    /// Removes the last service; returns false if there is none.
    fn drop_service(&mut self) -> bool;
}

impl TruncatableDatagram for LoadReport {
    fn upstreams(&self) -> usize {
        let services = self.services.iter();
        services.map(|service| service.upstreams.len()).sum()
    }

    fn drop_upstream(&mut self) -> bool {
        let lists = self
            .services
            .iter_mut()
            .map(|service| &mut service.upstreams);
        let lists = lists.filter(|upstreams| !upstreams.is_empty());
        let least_loaded =
            lists.min_by_key(|upstreams| upstreams.last().map(|(_tag, counts)| counts.time));
        least_loaded.and_then(Vec::pop).is_some()
    }

    fn drop_service(&mut self) -> bool {
        self.services.pop().is_some()
    }
}

impl TruncatableDatagram for LoadDigest {
    fn upstreams(&self) -> usize {
        let services = self.services.iter();
        services.map(|service| service.upstreams.len()).sum()
    }

    fn drop_upstream(&mut self) -> bool {
        let services = self.services.iter_mut();
        let listed = services.filter(|service| !service.upstreams.is_empty());
        let least_loaded = listed.min_by_key(|service| {
            let last = service.upstreams.last();
            last.map(|(_tag, rates)| rates.in_progress)
        });
        let Some(service) = least_loaded else {
            return false;
        };
        if let Some((_tag, rates)) = service.upstreams.pop() {
            service.rest.add(rates);
            service.others += 1;
        }
        true
    }

    fn drop_service(&mut self) -> bool {
        self.services.pop().is_some()
    }
}

fn truncate_to_fit(datagram: &mut impl TruncatableDatagram, config: &LoadExchangeConfig) {
    for _excess in config.max_upstreams..datagram.upstreams() {
        datagram.drop_upstream();
    }
    loop {
        let bytes = DATAGRAM_HEADER_BYTES + encoded_bytes(datagram);
        let Some(excess) = bytes.checked_sub(MAX_DATAGRAM_BYTES + 1) else {
            return;
        };
        let mut truncated = false;
        for _upstream in 0..=excess / ESTIMATED_UPSTREAM_BYTES {
            truncated |= datagram.drop_upstream();
        }
        if !truncated && !datagram.drop_service() {
            return;
        }
    }
}

fn encoded_bytes(datagram: &impl Serialize) -> usize {
    // Encoding errors are ignored here because the sender handles them and sends nothing.
    postcard::to_stdvec(datagram).map_or(0, |bytes| bytes.len())
}
