//! Keeps the reports of the hosts of a zone, and sums them up.

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
use crate::load::load_report::MOST_REPORTERS;
use crate::load::load_report::RequestRates;
use crate::load::load_report::ServiceDigest;
use crate::load::load_view::LoadExchangeConfig;
use crate::load::request_meter::ClassCounts;
use crate::load::request_meter::RequestCounts;
use crate::load::request_meter::TIME_UNIT;
use crate::load::service_room::REQUEST_LOAD;
use crate::load::service_room::raised_pressure;
use crate::load::service_room::shed_share;
use crate::load::service_room::slot_pressure;
use crate::routes::route_config::RequestPriority;
use crate::routes::route_table::MOST_CLASSES;
use crate::upstreams::upstream_table::UpstreamTable;

/// Most reports that are kept of one host: as many as it sends in the longest window.
const MOST_KEPT: usize = 8;

/// Parts of a request in progress, or of a request a second, in which sums are kept, so that the rounding of hundreds of hosts
/// does not add up.
const SUM_PARTS: u128 = 1_000_000;

/// The reports of a zone's hosts.
#[derive(Debug, Default)]
pub struct ReportStore {
    /// Reports by host, with the time at which each came; the oldest first. No host has none.
    hosts: BTreeMap<SocketAddrV4, VecDeque<(Instant, LoadReport)>>,
}

/// Requests at an upstream or service, in parts of [`SUM_PARTS`].
#[derive(Clone, Copy, Debug, Default)]
struct RequestSum {
    in_progress: u128,
    answered: u128,
    shed: u128,
}

/// The reports on one service.
#[derive(Debug, Default)]
struct ServiceSum {
    reporters: u32,
    requests: RequestSum,
    classes: BTreeMap<RequestPriority, (ClassCounts, Duration)>,
}

impl ReportStore {
    /// Hosts of which reports are kept.
    pub fn reporters(&self) -> u32 {
        u32::try_from(self.hosts.len()).unwrap_or(u32::MAX)
    }

    /// The hosts of which reports are kept.
    pub fn hosts(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.hosts.keys().copied()
    }

    /// Keeps a report unless a later one of its sender is kept.
    pub fn insert(&mut self, now: Instant, from: SocketAddrV4, report: &LoadReport) {
        if self.reporters() >= MOST_REPORTERS && !self.hosts.contains_key(&from) {
            return;
        }
        let reports = self.hosts.entry(from).or_default();
        let last = reports.back().map(|(_at, last)| last.sequence);
        if last.is_some_and(|last| report.sequence <= last) {
            return;
        }
        if reports.len() >= MOST_KEPT {
            reports.pop_front();
        }
        reports.push_back((now, report.clone()));
    }

    /// Discards reports that are older than `window`.
    pub fn expire(&mut self, now: Instant, window: Duration) {
        self.hosts.retain(|_host, reports| {
            reports.retain(|(at, _report)| now.saturating_duration_since(*at) < window);
            !reports.is_empty()
        });
    }

    /// The sum of the reports, which may not fit into a datagram yet. `hosts` is how many the zone has.
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
                    let held = record.tag.and_then(|tag| Some((tag, by_tag.get(&tag)?)));
                    match held {
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
                digest.rest = sum.requests.less(&listed).rates().clamped(config);
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
    /// Whether enough of the zone's hosts reported to tell the load of the zone.
    pub fn is_representative(&self, config: &LoadExchangeConfig, hosts: u32) -> bool {
        self.reporters.saturating_mul(config.reporters_divisor) >= hosts
    }

    /// A load through the reporting hosts, as a load through all hosts of the zone.
    pub fn scaled(&self, hosts: u32, load: u64) -> u64 {
        let reporters = u64::from(self.reporters.max(1));
        load.saturating_mul(u64::from(hosts).max(reporters)) / reporters
    }

    /// The pressure of the zone; only that of the reporting hosts if these are few. Those that report of
    /// themselves are those that see load, and their share would mark a calm service.
    pub fn zone_pressure(&self, config: &LoadExchangeConfig, hosts: u32) -> u32 {
        let pressure = match self.is_representative(config, hosts) {
            true => self.scaled(hosts, self.pressure.into()),
            false => self.pressure.into(),
        };
        let pressure = u32::try_from(pressure).unwrap_or(u32::MAX);
        raised_pressure(config, pressure, self.shed_share)
    }

    fn shows_contention(&self, config: &LoadExchangeConfig, hosts: u32) -> bool {
        let pressure = self.zone_pressure(config, hosts);
        pressure >= config.digest_pressure || self.shed_share > config.shed_share
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
            classes: classes.take(MOST_CLASSES).collect(),
            ..ServiceDigest::default()
        }
    }
}

impl RequestSum {
    fn add(&mut self, counts: &RequestCounts, span: Duration) {
        let nanos = span.as_nanos().max(1);
        let time = u128::from(counts.time) * TIME_UNIT.as_nanos();
        let a_second = |count: u32| u128::from(count) * SUM_PARTS * 1_000_000_000 / nanos;
        self.in_progress += time * SUM_PARTS / nanos;
        self.answered += a_second(counts.answered);
        self.shed += a_second(counts.shed);
    }

    fn add_sum(&mut self, other: &Self) {
        self.in_progress += other.in_progress;
        self.answered += other.answered;
        self.shed += other.shed;
    }

    fn less(&self, other: &Self) -> Self {
        Self {
            in_progress: self.in_progress.saturating_sub(other.in_progress),
            answered: self.answered.saturating_sub(other.answered),
            shed: self.shed.saturating_sub(other.shed),
        }
    }

    /// The same in the parts of a digest. The rate of responses is rounded up, so that the request time always fits it.
    fn rates(&self) -> RequestRates {
        let part = SUM_PARTS / u128::from(REQUEST_LOAD);
        let narrow = |sum: u128| u64::try_from(sum).unwrap_or(u64::MAX);
        RequestRates {
            in_progress: narrow(self.in_progress / part),
            answered: narrow(self.answered.div_ceil(part)),
            shed: narrow(self.shed / part),
        }
    }
}
