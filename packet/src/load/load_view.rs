//! What this host measures and learns of the load of services.
//!
//! Load pattern: a service has less room than its callers need, and each of many hosts sees a few of its
//! flows. What one host measures says little; the sum over the zone says which upstream has room.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use crate::ids::ServiceIndex;
use crate::ids::UpstreamIndex;
use crate::load::aggregator_choice::AggregatorChoice;
use crate::load::load_report::LoadDigest;
use crate::load::load_report::LoadReport;
use crate::load::report_store::ReportStore;
use crate::load::request_meter::ClassCounts;
use crate::load::request_meter::ClassMeter;
use crate::load::request_meter::KEPT_SPANS;
use crate::load::request_meter::RequestCounts;
use crate::load::request_meter::RequestWindow;
use crate::load::request_meter::TIME_UNIT;
use crate::load::service_load::ServiceLoad;
use crate::load::service_load::ServiceQuery;
use crate::load::service_load::mean_in_progress;
use crate::load::service_room::ServiceRoom;
use crate::load::service_room::UpstreamLoad;
use crate::load::service_room::ZoneTotals;
use crate::packet_action::DecisionEvent;
use crate::peers::peer_datagram::PeerDatagram;
use crate::peers::peer_table::PeerTable;
use crate::routes::route_table::RequestClass;
use crate::upstreams::upstream_table::UpstreamTable;

/// Length of one span of this host's counts. [`KEPT_SPANS`] of them are the last second.
const COUNT_SPAN: Duration = Duration::from_millis(250);

/// Half intervals that reports and digests are used for at least. With two whole ones, a single lost digest makes its host
/// skip a sound aggregator.
const HALF_INTERVALS: u32 = 5;

/// Most senders of digests that are told apart. Two hosts are taken for the aggregator after a failure; more only by
/// mistake.
const MOST_AGGREGATORS: usize = 4;

/// Most rejected datagrams that are reported between two ticks.
const MOST_REJECTED: usize = 16;

/// Parameters of the load exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadExchangeConfig {
    /// Whether services can become contended. If not, every decision is made as in calm.
    pub is_enabled: bool,
    /// Longest time from a request to a short error that counts as a shed: a request is shed after it has waited in the
    /// upstream's queue. Later ones have failed for want of an answer before.
    pub shed_wait: Duration,
    /// Pressure from which short errors of any upstream are sheds.
    pub shed_pressure: u32,
    /// How long a service stays contended after the last moment at which a condition held.
    pub contended_time: Duration,
    /// Thousandths of the zone's slots above which a service is contended.
    pub contended_share: u32,
    /// The same while two short errors were seen within `short_error_window`.
    pub shedding_share: u32,
    /// Time within which two short errors count together.
    pub short_error_window: Duration,
    /// Pressure from which a digest marks a service as contended.
    pub digest_pressure: u32,
    /// Thousandths of shed arrivals above which a service is contended and its pressure is raised.
    pub shed_share: u32,
    /// Least pressure of a service that sheds more than that.
    pub shed_pressure_base: u32,
    /// What is added to it for the share of shed arrivals, if all were shed.
    pub shed_pressure_slope: u32,
    /// Age from which a digest is not used; more in a large zone, to cover at least two intervals.
    pub digest_life: Duration,
    /// Interval of reports and of digests.
    pub interval: Duration,
    /// Hosts above which the interval grows with the zone.
    pub interval_hosts: u32,
    /// Interval for each host of such a zone.
    pub interval_step: Duration,
    /// Longest interval.
    pub longest_interval: Duration,
    /// How long an aggregator keeps reports; more in a large zone, to cover at least two intervals.
    pub report_life: Duration,
    /// How long a failed aggregator is skipped.
    pub skip_time: Duration,
    /// Most upstreams in a datagram.
    pub most_upstreams: usize,
    /// Most requests in progress in a valid datagram.
    pub most_in_progress: u32,
    /// Most request time that one request adds.
    pub longest_request: Duration,
    /// A digest is used for loads if one host in this many reported.
    pub reporters_divisor: u32,
    /// How long a class counts after its last new flow or request.
    pub class_time: Duration,
}

impl Default for LoadExchangeConfig {
    fn default() -> Self {
        Self {
            is_enabled: true,
            shed_wait: Duration::from_millis(450),
            shed_pressure: 1000,
            contended_time: Duration::from_secs(3),
            contended_share: 750,
            shedding_share: 400,
            short_error_window: Duration::from_secs(1),
            digest_pressure: 750,
            shed_share: 30,
            shed_pressure_base: 2000,
            shed_pressure_slope: 20_000,
            digest_life: Duration::from_secs(1),
            interval: Duration::from_millis(250),
            interval_hosts: 24,
            interval_step: Duration::from_millis(10),
            longest_interval: Duration::from_secs(1),
            report_life: Duration::from_secs(1),
            skip_time: Duration::from_secs(5),
            most_upstreams: 110,
            most_in_progress: 65_535,
            longest_request: Duration::from_millis(500),
            reporters_divisor: 4,
            class_time: Duration::from_secs(3),
        }
    }
}

impl LoadExchangeConfig {
    /// Interval of reports and digests in a zone with so many hosts.
    pub fn interval(&self, hosts: u32) -> Duration {
        if hosts <= self.interval_hosts {
            return self.interval;
        }
        let grown = self.interval_step.saturating_mul(hosts);
        grown.min(self.longest_interval)
    }

    /// A time that covers at least [`HALF_INTERVALS`].
    fn life(&self, least: Duration, hosts: u32) -> Duration {
        least.max(self.interval(hosts) * HALF_INTERVALS / 2)
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
    /// Its response, recorded as answered before, was a short error that is a shed.
    Shed,
    /// Its response, recorded as answered before, was a short error that is a failure.
    Failed,
}

/// The load of one service for metrics. Counts are of this host since its start.
#[derive(Clone, Copy, Debug)]
pub struct ServiceStatus<'a> {
    /// What decisions read.
    pub room: ServiceRoom,
    /// Hosts whose counts the load is from; 1 if it is from this host's alone, 0 if nothing is known.
    pub reporters: u32,
    /// Age of the load; `None` if nothing is known.
    pub age: Option<Duration>,
    /// Requests that were shed.
    pub sheds: u64,
    /// Its classes, the most urgent first.
    pub classes: &'a [ClassMeter],
}

/// A digest and when it came.
#[derive(Debug)]
struct HeardDigest {
    heard: Instant,
    digest: LoadDigest,
}

/// The load of services, as this host measured and learned it.
#[derive(Debug, Default)]
pub struct LoadView {
    config: LoadExchangeConfig,
    /// Thousandths of a core that this host has.
    capacity: u32,
    /// By the place of the service.
    services: Vec<ServiceLoad>,
    /// Requests through this host by the place of the upstream; those of other zones have none.
    windows: Vec<RequestWindow>,
    /// Lengths of the spans of all windows that have ended, the latest first.
    spans: [Duration; KEPT_SPANS],
    /// When the present span began; `None` before the first tick.
    span_start: Option<Instant>,
    /// When the counts that the next report contains began.
    unsent_since: Option<Instant>,
    choice: AggregatorChoice,
    reports: ReportStore,
    /// By sender; at most [`MOST_AGGREGATORS`].
    digests: BTreeMap<SocketAddrV4, HeardDigest>,
    /// Whether a digest came, or what was known was discarded, since the last update.
    has_news: bool,
    report_sequence: u64,
    digest_sequence: u64,
    next_report: Option<Instant>,
    next_digest: Option<Instant>,
    /// Hosts of the zone at the last tick.
    hosts: u32,
    /// Senders of invalid datagrams since the last tick; at most [`MOST_REJECTED`].
    rejected: Vec<SocketAddrV4>,
    rejections: u64,
}

impl LoadView {
    /// A host that has measured nothing yet.
    pub fn new(config: LoadExchangeConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// The same on a host with so many thousandths of a core.
    pub fn with_capacity(self, capacity: u32) -> Self {
        Self { capacity, ..self }
    }

    /// What is known of a service. In calm it is this host's estimate, if it has any.
    pub fn room(&self, _now: Instant, service: ServiceIndex) -> ServiceRoom {
        let load = self.services.get(service as usize);
        load.map_or_else(ServiceRoom::default, |load| load.room)
    }

    /// The load of a service in this zone, also in calm.
    pub fn totals(&self, service: ServiceIndex) -> ZoneTotals {
        let load = self.services.get(service as usize);
        load.map_or_else(ZoneTotals::default, |load| load.totals)
    }

    /// The load of a service for metrics; `None` before the first tick that knows the service.
    pub fn status(&self, now: Instant, service: ServiceIndex) -> Option<ServiceStatus<'_>> {
        let load = self.services.get(service as usize)?;
        let updated_at = load.room.updated_at;
        Some(ServiceStatus {
            room: load.room,
            reporters: load.reporters,
            age: updated_at.map(|at| now.saturating_duration_since(at)),
            sheds: load.sheds,
            classes: load.classes.meters(),
        })
    }

    /// A class among those of its service that had new flows or requests in the zone of late.
    pub fn active_class(
        &self,
        now: Instant,
        service: ServiceIndex,
        class: RequestClass,
    ) -> RequestClass {
        let load = self.services.get(service as usize);
        let meters = load.map_or(&[][..], |load| load.classes.meters());
        let active = meters.iter().filter(|meter| {
            let ago = now.saturating_duration_since(meter.last_demand);
            ago < self.config.class_time && meter.priority != class.priority
        });
        let (mut more_urgent, mut others) = (0, 0);
        for meter in active {
            others += 1;
            more_urgent += u8::from(meter.priority < class.priority);
        }
        RequestClass {
            rank: more_urgent.min(class.rank),
            classes: (others + 1).min(class.classes),
            priority: class.priority,
        }
    }

    /// Whether any service is contended.
    pub fn is_contended(&self) -> bool {
        self.services.iter().any(|load| load.room.is_contended)
    }

    /// Whether this host aggregates the load of its zone: other hosts or itself report to it.
    pub fn is_aggregator(&self) -> bool {
        self.reports.reporters() > 0
    }

    /// Datagrams that were rejected as invalid since the start.
    pub fn rejections(&self) -> u64 {
        self.rejections
    }

    /// Records a SYN and what became of it; `copy` is 0 for the first SYN of a flow.
    pub fn record_syn(
        &mut self,
        now: Instant,
        service: ServiceIndex,
        class: RequestClass,
        copy: u32,
        outcome: SynOutcome,
    ) {
        let counts = ClassCounts {
            asked: u64::from(copy == 0),
            placed: u64::from(outcome == SynOutcome::Placed),
            deferred: u64::from(outcome == SynOutcome::Deferred),
            refused: u64::from(outcome == SynOutcome::Refused),
            ..ClassCounts::default()
        };
        if let Some(load) = self.services.get_mut(service as usize) {
            load.classes.count(now, class.priority, &counts);
        }
    }

    /// Records the end of a request at an upstream.
    pub fn record_request(
        &mut self,
        now: Instant,
        index: UpstreamIndex,
        class: RequestClass,
        end: RequestEnd,
        upstreams: &UpstreamTable,
    ) {
        let record = upstreams.get(index);
        let Some(load) = self.services.get_mut(record.service as usize) else {
            return;
        };
        let counts = match end {
            RequestEnd::Answered(took) => {
                RequestCounts::answered(took.min(self.config.longest_request))
            }
            RequestEnd::Shed => RequestCounts::shed(),
            RequestEnd::Failed => RequestCounts::default(),
        };
        if !matches!(end, RequestEnd::Answered(_)) {
            load.record_short_error(now);
        }
        load.sheds += u64::from(counts.shed);
        let class_counts = ClassCounts {
            answered: counts.answered.into(),
            shed: counts.shed.into(),
            ..ClassCounts::default()
        };
        load.classes.count(now, class.priority, &class_counts);
        if let (true, Some(window)) = (record.is_local, self.windows.get_mut(index as usize)) {
            window.add(counts);
            load.requests.add(counts);
        }
    }

    /// Updates the load of upstreams and decides which services are contended. To be called several times a
    /// second.
    pub fn tick(
        &mut self,
        now: Instant,
        peers: &PeerTable,
        upstreams: &mut UpstreamTable,
        events: &mut Vec<DecisionEvent>,
    ) {
        if !self.config.is_enabled {
            return;
        }
        let rejected = self.rejected.drain(..);
        events.extend(rejected.map(|peer| DecisionEvent::LoadRejected { peer }));
        self.hosts = u32::try_from(peers.local_hosts(now)).unwrap_or(u32::MAX);
        self.make_room(upstreams);
        let digest_life = self.config.life(self.config.digest_life, self.hosts);
        let is_fresh =
            |heard: &HeardDigest| now.saturating_duration_since(heard.heard) < digest_life;
        self.digests.retain(|_sender, heard| is_fresh(heard));
        let report_life = self.config.life(self.config.report_life, self.hosts);
        self.reports.expire(now, report_life);
        let start = *self.span_start.get_or_insert(now);
        let span_ended = now.saturating_duration_since(start) >= COUNT_SPAN;
        if span_ended {
            self.end_span(now, start);
        }
        if span_ended || std::mem::take(&mut self.has_news) {
            self.update(now, upstreams, events);
        }
    }

    /// Discards what was measured and learned before a stall of this process.
    pub fn reset(&mut self) {
        for load in &mut self.services {
            load.reset();
        }
        self.windows.fill(RequestWindow::default());
        self.spans = Default::default();
        self.span_start = None;
        self.unsent_since = None;
        self.choice.clear();
        self.reports = ReportStore::default();
        self.digests.clear();
        self.has_news = true;
    }

    /// The reports and digests to send now.
    pub fn due_datagrams(
        &mut self,
        now: Instant,
        peers: &PeerTable,
        upstreams: &UpstreamTable,
    ) -> Vec<AddressedDatagram> {
        let mut due = Vec::new();
        if !self.is_contended() {
            self.choice.clear();
            self.next_report = None;
        } else if self.next_report.is_none() {
            // The first report covers a whole interval: one that covers no time is invalid.
            self.next_report = Some(now + self.config.interval(self.hosts));
        } else if is_due(now, &mut self.next_report, self.config.interval(self.hosts)) {
            due.extend(self.due_report(now, peers, upstreams));
        }
        if self.reports.reporters() == 0 {
            self.next_digest = None;
        } else if is_due(now, &mut self.next_digest, self.config.interval(self.hosts)) {
            due.extend(self.due_digest(now, peers, upstreams));
        }
        due
    }

    /// Merges a host's report: this host aggregates for it.
    pub fn heard_report(&mut self, now: Instant, from: SocketAddrV4, report: &LoadReport) {
        if !self.config.is_enabled {
            return;
        }
        match report.is_valid(&self.config) {
            true => self.reports.insert(now, from, report),
            false => self.reject(from),
        }
    }

    /// Merges an aggregator's digest.
    pub fn heard_digest(&mut self, now: Instant, from: SocketAddrV4, digest: &LoadDigest) {
        if !self.config.is_enabled {
            return;
        }
        if !digest.is_valid(&self.config) {
            self.reject(from);
            return;
        }
        let held = self.digests.get(&from);
        let is_older = held.is_some_and(|held| digest.sequence <= held.digest.sequence);
        let is_known = held.is_some();
        if is_older || !(is_known || self.make_digest_room(digest.reporters)) {
            return;
        }
        let heard = HeardDigest {
            heard: now,
            digest: digest.clone(),
        };
        self.digests.insert(from, heard);
        self.has_news = true;
    }

    /// The digest in use: of those that are fresh, the one with the most reporters, and the latest of equals.
    pub fn digest(&self) -> Option<(Instant, &LoadDigest)> {
        let heard = best_digest(&self.digests)?;
        Some((heard.heard, &heard.digest))
    }

    /// Makes room for a digest of another sender, if one with fewer reporters can be evicted. Hosts that know
    /// few others yet aggregate their own reports, and must not keep out the aggregator of the zone.
    fn make_digest_room(&mut self, reporters: u32) -> bool {
        if self.digests.len() < MOST_AGGREGATORS {
            return true;
        }
        let held = self.digests.iter();
        let counts = held.map(|(sender, heard)| (heard.digest.reporters, *sender));
        let least = counts.min().filter(|(fewest, _sender)| *fewest < reporters);
        least.is_some_and(|(_fewest, sender)| self.digests.remove(&sender).is_some())
    }

    fn reject(&mut self, from: SocketAddrV4) {
        self.rejections += 1;
        if self.rejected.len() < MOST_REJECTED {
            self.rejected.push(from);
        }
    }

    /// Makes room for what is counted, so that no packet has to.
    fn make_room(&mut self, upstreams: &UpstreamTable) {
        let known = self.services.len();
        let new = upstreams.pools().iter().skip(known);
        self.services
            .extend(new.map(|pool| ServiceLoad::new(pool.tag)));
        if self.windows.len() < upstreams.records.len() {
            self.windows
                .resize(upstreams.records.len(), RequestWindow::default());
        }
    }

    fn end_span(&mut self, now: Instant, start: Instant) {
        self.spans.rotate_right(1);
        self.spans[0] = now.saturating_duration_since(start);
        self.span_start = Some(now);
        let reports = self.is_contended();
        let windows = self.windows.iter_mut();
        let services = self.services.iter_mut().map(|load| &mut load.requests);
        for window in windows.chain(services) {
            window.end_span();
            if !reports {
                window.take_unsent();
            }
        }
        if !reports {
            for load in &mut self.services {
                load.classes.take_unsent().for_each(drop);
            }
            self.unsent_since = Some(now);
        }
    }

    fn update(
        &mut self,
        now: Instant,
        upstreams: &mut UpstreamTable,
        events: &mut Vec<DecisionEvent>,
    ) {
        // Fewer counts than of a second say little, and are taken as those of a second.
        let span = self.spans.iter().sum::<Duration>().max(COUNT_SPAN * 4);
        let measured_at = self.span_start.unwrap_or(now);
        let best = best_digest(&self.digests);
        for (place, load) in self.services.iter_mut().enumerate() {
            let service = place as ServiceIndex;
            let digest =
                best.and_then(|heard| Some((heard.heard, heard.digest.service(load.tag)?)));
            let query = ServiceQuery {
                now,
                hosts: self.hosts,
                span,
                measured_at,
                digest,
            };
            let was_contended = upstreams.pool(service).is_contended;
            load.update(&self.config, service, &query, upstreams);
            let room = load.room;
            upstreams.set_contended(service, room.is_contended);
            upstreams.set_pressure(service, room.pressure);
            if room.is_contended != was_contended {
                events.push(DecisionEvent::Contention {
                    service: upstreams.pool(service).name.clone(),
                    contended: room.is_contended,
                    pressure: room.pressure,
                    reporters: load.reporters,
                });
            }
            if room.is_contended {
                apply_loads(&self.config, &self.windows, service, &query, upstreams);
            } else if was_contended {
                clear_loads(service, upstreams);
            }
        }
    }

    fn due_report(
        &mut self,
        now: Instant,
        peers: &PeerTable,
        upstreams: &UpstreamTable,
    ) -> Option<AddressedDatagram> {
        let since = self.unsent_since.replace(now)?;
        let span = now.saturating_duration_since(since).as_millis();
        if span == 0 {
            return None;
        }
        self.report_sequence += 1;
        let mut report = LoadReport {
            sequence: self.report_sequence,
            span: u32::try_from(span).unwrap_or(u32::MAX),
            services: Vec::new(),
        };
        for (place, load) in self.services.iter_mut().enumerate() {
            let mut part = load.report();
            let pool = upstreams.pool(place as ServiceIndex);
            for index in &pool.local {
                let window = self.windows.get_mut(*index as usize);
                let counts = window.map(RequestWindow::take_unsent).unwrap_or_default();
                if let (Some(tag), false) = (upstreams.get(*index).tag, counts.is_empty()) {
                    part.upstreams.push((tag, counts));
                }
            }
            part.upstreams
                .sort_unstable_by_key(|(tag, counts)| (std::cmp::Reverse(counts.time), *tag));
            if load.room.is_contended {
                report.services.push(part);
            }
        }
        report
            .services
            .sort_by_key(|part| std::cmp::Reverse(part.requests.time));
        report.shorten(&self.config);
        let silence = self.config.life(self.config.digest_life, self.hosts);
        let digests = &self.digests;
        let heard = |address| digests.get(&address).map(|heard| heard.heard);
        let target = self
            .choice
            .choose(now, &self.config, peers, self.capacity, silence, heard);
        if target == peers.own {
            self.reports.insert(now, target, &report);
            return None;
        }
        Some(AddressedDatagram {
            datagram: PeerDatagram::Load(report),
            targets: vec![target],
        })
    }

    fn due_digest(
        &mut self,
        now: Instant,
        peers: &PeerTable,
        upstreams: &UpstreamTable,
    ) -> Option<AddressedDatagram> {
        self.digest_sequence += 1;
        let (config, hosts) = (&self.config, self.hosts);
        let sequence = self.digest_sequence;
        let mut digest = self.reports.digest(config, sequence, hosts, upstreams);
        digest.shorten(config);
        if !digest.is_valid(&self.config) {
            self.reject(peers.own);
            return None;
        }
        self.heard_digest(now, peers.own, &digest);
        // A host that reports is alive, even if its heartbeats were lost.
        let reporting = self.reports.hosts().filter(|host| *host != peers.own);
        let targets: BTreeSet<SocketAddrV4> = peers
            .local_addresses(now)
            .into_iter()
            .chain(reporting)
            .collect();
        (!targets.is_empty()).then_some(AddressedDatagram {
            datagram: PeerDatagram::Digest(digest),
            targets: targets.into_iter().collect(),
        })
    }
}

/// The digest with the most reporters, and the latest of equals.
fn best_digest(digests: &BTreeMap<SocketAddrV4, HeardDigest>) -> Option<&HeardDigest> {
    let digests = digests.values();
    digests.max_by_key(|heard| (heard.digest.reporters, heard.heard))
}

/// Sets the loads of a contended service's upstreams: from the digest, or from this host's counts times the
/// hosts of the zone.
fn apply_loads(
    config: &LoadExchangeConfig,
    windows: &[RequestWindow],
    service: ServiceIndex,
    query: &ServiceQuery<'_>,
    upstreams: &mut UpstreamTable,
) {
    let digest = query.digest;
    let digest = digest.filter(|(_at, digest)| digest.is_representative(config, query.hosts));
    let members = upstreams.pool(service).local.len();
    for place in 0..members {
        let index = upstreams.pool(service).local[place];
        let load = match digest {
            Some((at, digest)) => {
                let others = u64::from(digest.others.max(1));
                let scaled = |load: u64| narrowed(digest.scaled(query.hosts, load));
                UpstreamLoad {
                    in_progress: scaled(digest.rest.in_progress / others),
                    response_time: digest.rest.response_time(),
                    shed_rate: scaled(digest.rest.shed / others),
                    updated_at: Some(at),
                }
            }
            None => {
                let window = windows.get(index as usize).copied().unwrap_or_default();
                let counts = window.ended_spans();
                let hosts = u64::from(query.hosts);
                let served = counts.answered.saturating_sub(counts.shed);
                let time = TIME_UNIT.saturating_mul(counts.time);
                let sheds = u128::from(counts.shed) * 1_000_000 / query.span.as_millis().max(1);
                let shed_rate = u64::try_from(sheds).unwrap_or(u64::MAX);
                UpstreamLoad {
                    in_progress: narrowed(
                        mean_in_progress(&counts, query.span).saturating_mul(hosts),
                    ),
                    response_time: time.checked_div(served).unwrap_or_default(),
                    shed_rate: narrowed(shed_rate.saturating_mul(hosts)),
                    updated_at: Some(query.measured_at),
                }
            }
        };
        upstreams.get_mut(index).load = load;
    }
    let Some((at, digest)) = digest else {
        return;
    };
    for (tag, rates) in &digest.upstreams {
        let Some(index) = upstreams.by_tag(*tag) else {
            continue;
        };
        let record = upstreams.get_mut(index);
        if record.service == service && record.is_local {
            record.load = UpstreamLoad {
                in_progress: narrowed(digest.scaled(query.hosts, rates.in_progress)),
                response_time: rates.response_time(),
                shed_rate: narrowed(digest.scaled(query.hosts, rates.shed)),
                updated_at: Some(at),
            };
        }
    }
}

fn clear_loads(service: ServiceIndex, upstreams: &mut UpstreamTable) {
    let pool = upstreams.pool(service);
    let members: Vec<UpstreamIndex> = pool.local.iter().chain(&pool.evacuated).copied().collect();
    for index in members {
        upstreams.get_mut(index).load = UpstreamLoad::default();
    }
}

fn narrowed(load: u64) -> u32 {
    u32::try_from(load).unwrap_or(u32::MAX)
}

/// Whether something periodic is due. The next time follows from the last one, so that coarse polls do not
/// lengthen the interval.
fn is_due(now: Instant, next: &mut Option<Instant>, interval: Duration) -> bool {
    if next.is_some_and(|next| now < next) {
        return false;
    }
    let planned = next.map(|next| next + interval);
    *next = Some(
        planned
            .filter(|planned| *planned > now)
            .unwrap_or(now + interval),
    );
    true
}
