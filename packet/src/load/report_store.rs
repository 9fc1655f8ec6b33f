//! Keeps the load reports of the hosts of a zone and sums them up.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use foldhash::HashMap;

use crate::ids::FlowTag;
use crate::ids::ServiceTag;
use crate::load::load_report::LoadDigest;
use crate::load::load_report::LoadReport;
use crate::load::load_report::MAX_REPORTERS;
use crate::load::load_report::RequestRates;
use crate::load::load_report::ServiceDigest;
use crate::load::load_state::REQUEST_LOAD;
use crate::load::load_state::pressure_with_sheds;
use crate::load::load_state::shed_share;
use crate::load::load_state::slot_pressure;
use crate::load::load_tracker::LoadExchangeConfig;
use crate::load::request_meter::ClassCounts;
use crate::load::request_meter::RequestCounts;
use crate::load::request_meter::TIME_UNIT;
use crate::routes::route_config::RequestPriority;
use crate::routes::route_table::MAX_CLASSES;
use crate::upstreams::upstream_table::UpstreamTable;

/// Maximum number of reports kept per host. A host sends fewer within the longest lifetime of
/// reports.
const MAX_REPORTS_PER_HOST: usize = 8;

/// Fixed-point scale of sums. It is fine enough that rounding errors of hundreds of hosts do not
/// add up.
const SUM_SCALE: u128 = 1_000_000;

/// Recent load reports of the hosts of a zone.
#[derive(Debug, Default)]
pub struct ReportStore {
    /// Arrivals and reports by host, the oldest first. No list is empty.
    hosts: BTreeMap<SocketAddrV4, VecDeque<(Instant, LoadReport)>>,
}

/// Requests at an upstream or service. Requests in progress and rates per second are multiplied by
/// [`SUM_SCALE`].
#[derive(Clone, Copy, Debug, Default)]
struct RequestSum {
    in_progress: u128,
    answered: u128,
    shed: u128,
}

/// Sum of the reports on one service. The duration of each class is the longest interval that one
/// host's reports cover.
#[derive(Debug, Default)]
struct ServiceSum {
    reporters: u32,
    requests: RequestSum,
    classes: BTreeMap<RequestPriority, (ClassCounts, Duration)>,
}

impl ReportStore {
    /// Returns the number of hosts with reports.
    pub fn reporters(&self) -> u32 {
        u32::try_from(self.hosts.len()).unwrap_or(u32::MAX)
    }

    /// Returns the hosts with reports.
    pub fn hosts(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.hosts.keys().copied()
    }

    /// Stores a report, unless a report of the same sender with the same or a higher sequence is
    /// stored.
    pub fn insert(&mut self, now: Instant, from: SocketAddrV4, report: &LoadReport) {
        if self.reporters() >= MAX_REPORTERS && !self.hosts.contains_key(&from) {
            return;
        }
        let reports = self.hosts.entry(from).or_default();
        let last = reports.back().map(|(_at, last)| last.sequence);
        if last.is_some_and(|last| report.sequence <= last) {
            return;
        }
        if reports.len() >= MAX_REPORTS_PER_HOST {
            reports.pop_front();
        }
        reports.push_back((now, report.clone()));
    }

    /// Discards reports older than `window`.
    pub fn expire(&mut self, now: Instant, window: Duration) {
        self.hosts.retain(|_host, reports| {
            reports.retain(|(at, _report)| now.saturating_duration_since(*at) < window);
            !reports.is_empty()
        });
    }

    /// Returns the sum of the reports, which may exceed the maximum length of a datagram. `hosts`
    /// is the number of hosts in the zone.
    pub fn digest(
        &self,
        config: &LoadExchangeConfig,
        sequence: u64,
        hosts: u32,
        upstreams: &UpstreamTable,
    ) -> LoadDigest {
        let mut services: BTreeMap<ServiceTag, ServiceSum> = BTreeMap::new();
        let mut by_tag: HashMap<FlowTag, RequestSum> = HashMap::default();
        for reports in self.hosts.values() {
            let mut spans: BTreeMap<ServiceTag, u32> = BTreeMap::new();
            for (_at, report) in reports {
                for service in &report.services {
                    *spans.entry(service.service).or_default() += report.span;
                }
            }
            for tag in spans.keys() {
                services.entry(*tag).or_default().reporters += 1;
            }
            for service in reports.iter().flat_map(|(_at, report)| &report.services) {
                let span = Duration::from_millis(spans[&service.service].into());
                let sum = services.entry(service.service).or_default();
                sum.requests.add(&service.requests, span);
                for (priority, counts) in &service.classes {
                    sum.add_class(*priority, counts, span);
                }
                for (tag, counts) in &service.upstreams {
                    by_tag.entry(*tag).or_default().add(counts, span);
                }
            }
        }
        let mut digests: Vec<ServiceDigest> = upstreams
            .pools()
            .iter()
            .filter_map(|pool| {
                let tag = pool.tag;
                let sum = services.get(&tag)?;
                let mut digest = sum.digest(tag);
                let members = pool.local.iter().map(|index| upstreams.get(*index));
                let (mut slots, mut listed) = (0, RequestSum::default());
                for record in members {
                    if record.takes_flows() {
                        slots = u32::saturating_add(slots, record.slots);
                    }
                    let found = record.tag.and_then(|tag| Some((tag, by_tag.get(&tag)?)));
                    match found {
                        Some((tag, requests)) => {
                            listed.add_sum(requests);
                            digest.upstreams.push((tag, requests.rates()));
                        }
                        None => digest.others += 1,
                    }
                }
                digest.upstreams.sort_unstable_by_key(|(tag, rates)| {
                    (std::cmp::Reverse(rates.in_progress), *tag)
                });
                digest.rest = sum.requests.minus(&listed).rates().clamped(config);
                digest.pressure = slot_pressure(sum.requests.rates().in_progress, slots);
                digest.is_contended = digest.shows_contention(config, hosts);
                Some(digest)
            })
            .collect();
        digests.sort_by_key(|digest| std::cmp::Reverse(digest.pressure));
        LoadDigest {
            sequence,
            reporters: self.reporters(),
            services: digests,
            zones: Vec::new(),
        }
    }
}

impl ServiceDigest {
    /// Returns whether enough of the zone's hosts reported to extrapolate to the zone.
    pub fn is_representative(&self, config: &LoadExchangeConfig, hosts: u32) -> bool {
        self.reporters.saturating_mul(config.reporters_divisor) >= hosts
    }

    /// Extrapolates a load through the reporting hosts to all hosts of the zone.
    pub fn scaled(&self, hosts: u32, load: u64) -> u64 {
        let reporters = u64::from(self.reporters.max(1));
        load.saturating_mul(u64::from(hosts).max(reporters)) / reporters
    }

    /// Returns the pressure of the zone. With few reporters, this is the pressure through these
    /// hosts alone: they report because they carry load themselves, and an extrapolation from them
    /// would mark a service with free slots as contended.
    pub fn zone_pressure(&self, config: &LoadExchangeConfig, hosts: u32) -> u32 {
        let pressure = match self.is_representative(config, hosts) {
            true => self.scaled(hosts, self.pressure.into()),
            false => self.pressure.into(),
        };
        let pressure = u32::try_from(pressure).unwrap_or(u32::MAX);
        pressure_with_sheds(config, pressure, self.shed_share)
    }

    fn shows_contention(&self, config: &LoadExchangeConfig, hosts: u32) -> bool {
        let pressure = self.zone_pressure(config, hosts);
        pressure >= config.digest_pressure || self.shed_share > config.shed_share_threshold
    }
}

impl ServiceSum {
    fn add_class(&mut self, priority: RequestPriority, counts: &ClassCounts, span: Duration) {
        let (sum, longest) = self.classes.entry(priority).or_default();
        sum.add(counts);
        *longest = span.max(*longest);
    }

    fn digest(&self, service: ServiceTag) -> ServiceDigest {
        let rates = self.requests.rates();
        let classes = self.classes.iter();
        let classes = classes.map(|(priority, (sum, span))| (*priority, sum.rate(*span)));
        ServiceDigest {
            service,
            reporters: self.reporters,
            shed_share: shed_share(rates.shed, rates.answered),
            classes: classes.take(MAX_CLASSES).collect(),
            ..ServiceDigest::default()
        }
    }
}

impl RequestSum {
    fn add(&mut self, counts: &RequestCounts, span: Duration) {
        let nanos = span.as_nanos().max(1);
        let time = u128::from(counts.time) * TIME_UNIT.as_nanos();
        let per_second = |count: u32| u128::from(count) * SUM_SCALE * 1_000_000_000 / nanos;
        self.in_progress += time * SUM_SCALE / nanos;
        self.answered += per_second(counts.answered);
        self.shed += per_second(counts.shed);
    }

    fn add_sum(&mut self, other: &Self) {
        self.in_progress += other.in_progress;
        self.answered += other.answered;
        self.shed += other.shed;
    }

    fn minus(&self, other: &Self) -> Self {
        Self {
            in_progress: self.in_progress.saturating_sub(other.in_progress),
            answered: self.answered.saturating_sub(other.answered),
            shed: self.shed.saturating_sub(other.shed),
        }
    }

    /// Converts the sums to the units of a digest. The rate of responses is rounded up, so that
    /// rounding alone never makes the request time implausible.
    fn rates(&self) -> RequestRates {
        let part = SUM_SCALE / u128::from(REQUEST_LOAD);
        let saturating_u64 = |sum: u128| u64::try_from(sum).unwrap_or(u64::MAX);
        RequestRates {
            in_progress: saturating_u64(self.in_progress / part),
            answered: saturating_u64(self.answered.div_ceil(part)),
            shed: saturating_u64(self.shed / part),
        }
    }
}
