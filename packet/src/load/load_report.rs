//! What hosts of a zone send each other about load while a service is contended.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::FlowTag;
use crate::ids::ServiceName;
use crate::ids::ServiceTag;
use crate::load::load_view::LoadExchangeConfig;
use crate::load::request_meter::ClassCounts;
use crate::load::request_meter::RequestCounts;
use crate::load::request_meter::TIME_UNIT;
use crate::load::service_room::REQUEST_LOAD;
use crate::load::zone_load::ZoneLoadEntry;
use crate::peers::peer_datagram::MOST_DATAGRAM;
use crate::routes::route_config::RequestPriority;
use crate::routes::route_table::MOST_CLASSES;

/// Bytes of a datagram before its content: the format and the variant.
const DATAGRAM_HEAD: usize = 2;

/// Most bytes that one upstream takes in a datagram. An estimate: a wrong one only costs another encoding.
const UPSTREAM_BYTES: usize = 16;

/// Longest span that a report covers. Hosts that were stalled for longer begin anew.
const LONGEST_SPAN: Duration = Duration::from_secs(5);

/// Most hosts whose reports a digest may contain: twice a zone at the target size.
pub const MOST_REPORTERS: u32 = 1024;

/// What one host saw since its last report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Grows with each report of the sender's process.
    pub sequence: u64,
    /// Milliseconds that it covers.
    pub span: u32,
    /// The contended services.
    pub services: Vec<ServiceReport>,
}

/// What one host saw of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The service.
    pub service: ServiceTag,
    /// Its requests at all upstreams of the zone.
    pub requests: RequestCounts,
    /// Its classes that had any demand.
    pub classes: Vec<(RequestPriority, ClassCounts)>,
    /// Upstreams that had requests, the longest request time first. May lack some with little.
    pub upstreams: Vec<(FlowTag, RequestCounts)>,
}

/// What the reporting hosts of a zone saw of late.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// Grows with each digest of the sender's process.
    pub sequence: u64,
    /// Hosts whose reports it contains.
    pub reporters: u32,
    /// The services of these reports, the most requests in progress first.
    pub services: Vec<ServiceDigest>,
    /// The load of zones, for spill; empty if no zone has reported.
    pub zones: Vec<ZoneLoadEntry>,
}

/// What the reporting hosts saw of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDigest {
    /// The service.
    pub service: ServiceTag,
    /// Hosts that reported on it.
    pub reporters: u32,
    /// Whether it is contended.
    pub is_contended: bool,
    /// Requests in progress for each slot through these hosts, in parts of [`REQUEST_LOAD`].
    pub pressure: u32,
    /// Thousandths of the arrivals that were shed.
    pub shed_share: u32,
    /// Rates of its classes, a second.
    pub classes: Vec<(RequestPriority, ClassCounts)>,
    /// Its upstreams with the most requests in progress, these first.
    pub upstreams: Vec<(FlowTag, RequestRates)>,
    /// How many other upstreams it has in the zone.
    pub others: u32,
    /// Their sum.
    pub rest: RequestRates,
}

/// Requests at upstreams. The mean response time is `in_progress` divided by the rate of those not shed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRates {
    /// Requests in progress, in parts of [`REQUEST_LOAD`].
    pub in_progress: u64,
    /// Responses a second, in thousandths; those that were sheds are among them.
    pub answered: u64,
    /// Sheds a second, in thousandths.
    pub shed: u64,
}

/// The tag of a service: alike on every host, whatever its view.
pub fn service_tag(name: &ServiceName) -> ServiceTag {
    let hash = xxh3_64(name.as_bytes());
    (hash ^ (hash >> 32)) as ServiceTag
}

impl RequestRates {
    /// Adds other rates.
    pub fn add(&mut self, other: Self) {
        self.in_progress = self.in_progress.saturating_add(other.in_progress);
        self.answered = self.answered.saturating_add(other.answered);
        self.shed = self.shed.saturating_add(other.shed);
    }

    /// Mean time from a request to its response, sheds left out; zero if there was none.
    pub fn response_time(&self) -> Duration {
        let served = self.answered.saturating_sub(self.shed);
        let micros = self.in_progress.saturating_mul(1_000_000);
        Duration::from_micros(micros.checked_div(served).unwrap_or(0))
    }

    /// The same with no more request time than its requests can have. Reports whose parts do not belong together give
    /// more.
    pub fn clamped(self, config: &LoadExchangeConfig) -> Self {
        let most_time = config.longest_request.as_millis();
        let most = u128::from(self.answered) * most_time / 1000;
        let most = u64::try_from(most).unwrap_or(u64::MAX);
        Self {
            in_progress: self.in_progress.min(most),
            ..self
        }
    }

    /// Whether it has no more request time than its requests can have.
    fn fits(&self, config: &LoadExchangeConfig) -> bool {
        let most_time = config.longest_request.as_millis();
        u128::from(self.in_progress) * 1000 <= u128::from(self.answered) * most_time
    }
}

impl LoadReport {
    /// Whether its counts are possible.
    pub fn is_valid(&self, config: &LoadExchangeConfig) -> bool {
        let span = Duration::from_millis(self.span.into());
        if span.is_zero() || span > LONGEST_SPAN {
            return false;
        }
        let most_time = config.longest_request.as_nanos() / TIME_UNIT.as_nanos();
        let fits = |counts: &RequestCounts| {
            u128::from(counts.time) <= u128::from(counts.answered) * most_time
        };
        let (mut time, mut upstreams) = (0_u128, 0);
        for service in &self.services {
            upstreams += service.upstreams.len();
            let listed = service.upstreams.iter().map(|(_tag, counts)| counts);
            let listed_time: u128 = listed.clone().map(|counts| u128::from(counts.time)).sum();
            let sum = &service.requests;
            let is_possible = service.classes.len() <= MOST_CLASSES
                && fits(sum)
                && listed.clone().all(fits)
                && listed_time <= u128::from(sum.time);
            if !is_possible {
                return false;
            }
            time += u128::from(sum.time);
        }
        let in_progress = time * TIME_UNIT.as_nanos() / span.as_nanos();
        upstreams <= config.most_upstreams && in_progress <= u128::from(config.most_in_progress)
    }

    /// Drops the upstreams with the least request time until it fits into a datagram.
    pub fn shorten(&mut self, config: &LoadExchangeConfig) {
        shorten(self, config);
    }
}

impl LoadDigest {
    /// What it says of a service.
    pub fn service(&self, service: ServiceTag) -> Option<&ServiceDigest> {
        self.services
            .iter()
            .find(|digest| digest.service == service)
    }

    /// Whether its counts are possible.
    pub fn is_valid(&self, config: &LoadExchangeConfig) -> bool {
        if self.reporters == 0 || self.reporters > MOST_REPORTERS {
            return false;
        }
        let most = u128::from(config.most_in_progress) * u128::from(REQUEST_LOAD);
        let (mut in_progress, mut upstreams) = (0_u128, 0);
        for service in &self.services {
            upstreams += service.upstreams.len();
            let rates = service.upstreams.iter().map(|(_tag, rates)| rates);
            for rates in rates.chain([&service.rest]) {
                in_progress += u128::from(rates.in_progress);
                if !rates.fits(config) {
                    return false;
                }
            }
            let is_possible = (1..=self.reporters).contains(&service.reporters)
                && service.classes.len() <= MOST_CLASSES
                && u128::from(service.pressure) <= most
                && service.shed_share <= 1000;
            if !is_possible {
                return false;
            }
        }
        upstreams <= config.most_upstreams && in_progress <= most
    }

    /// Moves the upstreams with the fewest requests in progress to the rest until it fits into a datagram.
    pub fn shorten(&mut self, config: &LoadExchangeConfig) {
        shorten(self, config);
    }
}

/// A datagram that can say less.
trait ShortenedDatagram: Serialize {
    /// Upstreams that it names.
    fn upstreams(&self) -> usize;

    /// Leaves out the upstream with the least load; false if there is none.
    fn drop_upstream(&mut self) -> bool;

    /// Leaves out a service; false if there is none.
    fn drop_service(&mut self) -> bool;
}

impl ShortenedDatagram for LoadReport {
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
        let least =
            lists.min_by_key(|upstreams| upstreams.last().map(|(_tag, counts)| counts.time));
        least.and_then(Vec::pop).is_some()
    }

    fn drop_service(&mut self) -> bool {
        self.services.pop().is_some()
    }
}

impl ShortenedDatagram for LoadDigest {
    fn upstreams(&self) -> usize {
        let services = self.services.iter();
        services.map(|service| service.upstreams.len()).sum()
    }

    fn drop_upstream(&mut self) -> bool {
        let services = self.services.iter_mut();
        let listed = services.filter(|service| !service.upstreams.is_empty());
        let least = listed.min_by_key(|service| {
            let last = service.upstreams.last();
            last.map(|(_tag, rates)| rates.in_progress)
        });
        let Some(service) = least else {
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

fn shorten(datagram: &mut impl ShortenedDatagram, config: &LoadExchangeConfig) {
    for _excess in config.most_upstreams..datagram.upstreams() {
        datagram.drop_upstream();
    }
    loop {
        let bytes = DATAGRAM_HEAD + encoded_bytes(datagram);
        let Some(excess) = bytes.checked_sub(MOST_DATAGRAM + 1) else {
            return;
        };
        let mut shortened = false;
        for _upstream in 0..=excess / UPSTREAM_BYTES {
            shortened |= datagram.drop_upstream();
        }
        if !shortened && !datagram.drop_service() {
            return;
        }
    }
}

fn encoded_bytes(datagram: &impl Serialize) -> usize {
    // A datagram that cannot be encoded is not sent either.
    postcard::to_stdvec(datagram).map_or(0, |bytes| bytes.len())
}
