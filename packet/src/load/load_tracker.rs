//! Measures the load of services through this host and exchanges it with the hosts of the zone.
//!
//! Each of many hosts carries only a few flows of a service, so that the counts of one host reveal
//! little about the load of an upstream. While a service is contended, hosts therefore report their
//! counts to an aggregator, which distributes the sum to the zone.

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
use crate::load::load_state::ContentionState;
use crate::load::load_state::UpstreamLoad;
use crate::load::load_state::ZoneTotals;
use crate::load::report_store::ReportStore;
use crate::load::request_meter::ClassCounts;
use crate::load::request_meter::ClassMeter;
use crate::load::request_meter::RequestCounts;
use crate::load::request_meter::RequestWindow;
use crate::load::request_meter::TIME_UNIT;
use crate::load::request_meter::WINDOW_SPANS;
use crate::load::service_tracker::ServiceInputs;
use crate::load::service_tracker::ServiceTracker;
use crate::load::service_tracker::mean_in_progress;
use crate::packet_action::DecisionEvent;
use crate::peers::peer_datagram::PeerDatagram;
use crate::peers::peer_table::PeerTable;
use crate::routes::route_table::RequestClass;
use crate::upstreams::upstream_table::UpstreamTable;

/// Length of one counting span. [`WINDOW_SPANS`] of them make up one second.
const COUNT_SPAN: Duration = Duration::from_millis(250);

/// Minimum lifetime of reports and digests, in halves of the exchange interval. With two whole
/// intervals, a single lost digest would make its receiver skip a healthy aggregator.
const MIN_LIFETIME_HALF_INTERVALS: u32 = 5;

/// Maximum number of senders whose digests are kept. Two hosts aggregate for a short time after a
/// failure; more do so only by mistake.
const MAX_AGGREGATORS: usize = 4;

/// Maximum number of rejected datagrams that are reported as events between two ticks.
const MAX_REJECTIONS_PER_TICK: usize = 16;

/// Parameters of the load exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadExchangeConfig {
    /// Whether services can become contended. If false, decisions ignore the load of services.
    pub is_enabled: bool,
    /// Longest time from a request to a short error that counts as a shed. It covers the wait of a
    /// request in the upstream's queue. Requests with a later response have already failed for lack
    /// of a response.
    pub max_shed_delay: Duration,
    /// Pressure of a service from which the short errors of all its upstreams are sheds, in
    /// thousandths.
    pub shed_pressure: u32,
    /// How long a service stays contended after the last update that met a condition of contention.
    pub contention_hold_time: Duration,
    /// Requests in progress above which a service is contended, in thousandths of the zone's slots.
    pub contended_share: u32,
    /// The same limit while the last two short errors are both younger than `short_error_window`.
    pub contended_share_after_errors: u32,
    /// Age up to which a short error counts for `contended_share_after_errors`.
    pub short_error_window: Duration,
    /// Pressure from which a digest marks a service as contended, in thousandths.
    pub digest_pressure: u32,
    /// Share of shed requests above which a digest marks a service as contended and pressures are
    /// raised, in thousandths.
    pub shed_share_threshold: u32,
    /// Minimum pressure of a service above `shed_share_threshold`, in thousandths.
    pub shed_pressure_base: u32,
    /// Increase of that minimum at a share of shed requests of 100 %; proportionally less below.
    pub shed_pressure_slope: u32,
    /// Maximum age of digests in use; longer in a large zone, see `MIN_LIFETIME_HALF_INTERVALS`.
    pub digest_lifetime: Duration,
    /// Interval of reports and digests in zones of up to `interval_hosts` hosts.
    pub interval: Duration,
    /// Number of hosts above which the interval grows with the zone.
    pub interval_hosts: u32,
    /// Interval per host of a larger zone.
    pub interval_per_host: Duration,
    /// Upper limit of the interval.
    pub max_interval: Duration,
    /// How long an aggregator keeps reports; longer in a large zone, see
    /// `MIN_LIFETIME_HALF_INTERVALS`.
    pub report_lifetime: Duration,
    /// How long a failed aggregator is excluded from the selection.
    pub skip_time: Duration,
    /// Maximum number of upstreams in a valid datagram.
    pub max_upstreams: usize,
    /// Maximum number of requests in progress in a valid datagram.
    pub max_in_progress: u32,
    /// Maximum time that one request contributes to the request time.
    pub max_request_time: Duration,
    /// Divisor of the number of hosts: a digest is representative of the zone if at least this part
    /// of its hosts reported.
    pub reporters_divisor: u32,
    /// How long a class is active after its last new flow or request.
    pub class_active_time: Duration,
}

impl Default for LoadExchangeConfig {
    fn default() -> Self {
        Self {
            is_enabled: true,
            max_shed_delay: Duration::from_millis(450),
            shed_pressure: 1000,
            contention_hold_time: Duration::from_secs(3),
            contended_share: 750,
            contended_share_after_errors: 400,
            short_error_window: Duration::from_secs(1),
            digest_pressure: 750,
            shed_share_threshold: 30,
            shed_pressure_base: 2000,
            shed_pressure_slope: 20_000,
            digest_lifetime: Duration::from_secs(1),
            interval: Duration::from_millis(250),
            interval_hosts: 24,
            interval_per_host: Duration::from_millis(10),
            max_interval: Duration::from_secs(1),
            report_lifetime: Duration::from_secs(1),
            skip_time: Duration::from_secs(5),
            max_upstreams: 110,
            max_in_progress: 65_535,
            max_request_time: Duration::from_millis(500),
            reporters_divisor: 4,
            class_active_time: Duration::from_secs(3),
        }
    }
}

impl LoadExchangeConfig {
    /// Returns the interval of reports and digests in a zone of `hosts` hosts.
    pub fn interval(&self, hosts: u32) -> Duration {
        if hosts <= self.interval_hosts {
            return self.interval;
        }
        let grown = self.interval_per_host.saturating_mul(hosts);
        grown.min(self.max_interval)
    }

    /// Returns `min_lifetime` or [`MIN_LIFETIME_HALF_INTERVALS`], whichever is longer.
    fn lifetime(&self, min_lifetime: Duration, hosts: u32) -> Duration {
        min_lifetime.max(self.interval(hosts) * MIN_LIFETIME_HALF_INTERVALS / 2)
    }
}

/// A datagram and its receivers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedDatagram {
    /// Content, encoded when it is sent.
    pub datagram: PeerDatagram,
    /// Addresses of the receivers.
    pub targets: Vec<SocketAddrV4>,
}

/// Result of the admission of a SYN.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SynOutcome {
    /// The SYN was forwarded to an upstream.
    Placed,
    /// The SYN was dropped, so that the caller retransmits it.
    Deferred,
    /// The SYN was refused.
    Refused,
}

/// Result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The upstream responded after this time.
    Answered(Duration),
    /// A response already recorded as `Answered` was a short error that counts as a shed.
    Shed,
    /// A response already recorded as `Answered` was a short error that counts as a failure.
    Failed,
}

/// Load of one service for metrics. Counts cover this host since its start.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLoadStatus<'a> {
    /// The state that placement and admission read.
    pub contention: ContentionState,
    /// Number of hosts whose counts the load is based on; 1 if only this host's, 0 if the load is
    /// unknown.
    pub reporters: u32,
    /// Age of the load; `None` if it is unknown.
    pub age: Option<Duration>,
    /// Number of shed requests.
    pub sheds: u64,
    /// Classes in descending urgency.
    pub classes: &'a [ClassMeter],
}

/// A digest and its arrival.
#[derive(Debug)]
struct ReceivedDigest {
    received_at: Instant,
    digest: LoadDigest,
}

/// The load of services, measured by this host and received from others.
#[derive(Debug, Default)]
pub struct LoadTracker {
    config: LoadExchangeConfig,
    /// CPU capacity of this host in thousandths of a core.
    capacity: u32,
    /// By [`ServiceIndex`].
    services: Vec<ServiceTracker>,
    /// Requests through this host by [`UpstreamIndex`]. Windows of upstreams in other zones stay
    /// empty.
    windows: Vec<RequestWindow>,
    /// Lengths of the ended spans, the latest first.
    spans: [Duration; WINDOW_SPANS],
    /// Start of the current span; `None` before the first tick.
    span_start: Option<Instant>,
    /// Start of the interval that the next report covers.
    unreported_since: Option<Instant>,
    aggregator: AggregatorChoice,
    reports: ReportStore,
    /// By sender; at most [`MAX_AGGREGATORS`].
    digests: BTreeMap<SocketAddrV4, ReceivedDigest>,
    /// Whether a digest arrived or the state was reset since the last update.
    update_pending: bool,
    report_sequence: u64,
    digest_sequence: u64,
    next_report: Option<Instant>,
    next_digest: Option<Instant>,
    /// Number of hosts of the zone at the last tick.
    hosts: u32,
    /// Senders of invalid datagrams since the last tick; at most [`MAX_REJECTIONS_PER_TICK`].
    rejected: Vec<SocketAddrV4>,
    rejections: u64,
}

impl LoadTracker {
    /// Creates the tracker of a host without measurements.
    pub fn new(config: LoadExchangeConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Sets the CPU capacity of this host in thousandths of a core.
    pub fn with_capacity(self, capacity: u32) -> Self {
        Self { capacity, ..self }
    }

    /// Returns the load of a service. While the service is not contended, this is usually the
    /// estimate from this host's own counts.
    pub fn contention(&self, _now: Instant, service: ServiceIndex) -> ContentionState {
        let tracker = self.services.get(service as usize);
        tracker.map_or_else(ContentionState::default, |tracker| tracker.contention)
    }

    /// Returns the total load of a service in this zone, whether it is contended or not.
    pub fn totals(&self, service: ServiceIndex) -> ZoneTotals {
        let tracker = self.services.get(service as usize);
        tracker.map_or_else(ZoneTotals::default, |tracker| tracker.totals)
    }

    /// Returns the load of a service for metrics; `None` before the first tick with the service.
    pub fn status(&self, now: Instant, service: ServiceIndex) -> Option<ServiceLoadStatus<'_>> {
        let tracker = self.services.get(service as usize)?;
        let updated_at = tracker.contention.updated_at;
        Some(ServiceLoadStatus {
            contention: tracker.contention,
            reporters: tracker.reporters,
            age: updated_at.map(|at| now.saturating_duration_since(at)),
            sheds: tracker.sheds,
            classes: tracker.classes.meters(),
        })
    }

    /// Returns `class` with its rank and the number of classes limited to those with recent new
    /// flows or requests in the zone.
    pub fn active_class(
        &self,
        now: Instant,
        service: ServiceIndex,
        class: RequestClass,
    ) -> RequestClass {
        let tracker = self.services.get(service as usize);
        let meters = tracker.map_or(&[][..], |tracker| tracker.classes.meters());
        let active = meters.iter().filter(|meter| {
            let ago = now.saturating_duration_since(meter.last_demand);
            ago < self.config.class_active_time && meter.priority != class.priority
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

    /// Returns whether any service is contended.
    pub fn is_contended(&self) -> bool {
        self.services
            .iter()
            .any(|tracker| tracker.contention.is_contended)
    }

    /// Returns whether this host aggregates the load of its zone, which is the case while it keeps
    /// reports of other hosts or its own.
    pub fn is_aggregator(&self) -> bool {
        self.reports.reporters() > 0
    }

    /// Returns the number of datagrams rejected as invalid since the start.
    pub fn rejections(&self) -> u64 {
        self.rejections
    }

    /// Records the result of a SYN; `transmission` is 0 for the first SYN of a flow.
    pub fn record_syn(
        &mut self,
        now: Instant,
        service: ServiceIndex,
        class: RequestClass,
        transmission: u32,
        outcome: SynOutcome,
    ) {
        let counts = ClassCounts {
            asked: u64::from(transmission == 0),
            placed: u64::from(outcome == SynOutcome::Placed),
            deferred: u64::from(outcome == SynOutcome::Deferred),
            refused: u64::from(outcome == SynOutcome::Refused),
            ..ClassCounts::default()
        };
        if let Some(tracker) = self.services.get_mut(service as usize) {
            tracker.classes.count(now, class.priority, &counts);
        }
    }

    /// Records the result of a request at an upstream.
    pub fn record_request(
        &mut self,
        now: Instant,
        index: UpstreamIndex,
        class: RequestClass,
        end: RequestEnd,
        upstreams: &UpstreamTable,
    ) {
        let record = upstreams.get(index);
        let Some(tracker) = self.services.get_mut(record.service as usize) else {
            return;
        };
        let counts = match end {
            RequestEnd::Answered(elapsed) => {
                RequestCounts::answered(elapsed.min(self.config.max_request_time))
            }
            RequestEnd::Shed => RequestCounts::shed(),
            RequestEnd::Failed => RequestCounts::default(),
        };
        if !matches!(end, RequestEnd::Answered(_)) {
            tracker.record_short_error(now);
        }
        tracker.sheds += u64::from(counts.shed);
        let class_counts = ClassCounts {
            answered: counts.answered.into(),
            shed: counts.shed.into(),
            ..ClassCounts::default()
        };
        tracker.classes.count(now, class.priority, &class_counts);
        if let (true, Some(window)) = (record.is_local, self.windows.get_mut(index as usize)) {
            window.add(counts);
            tracker.requests.add(counts);
        }
    }

    /// Discards the counts of a removed upstream, whose index another one may get.
    pub fn remove_upstream(&mut self, index: UpstreamIndex) {
        if let Some(window) = self.windows.get_mut(index as usize) {
            *window = RequestWindow::default();
        }
    }

    /// Updates the load of upstreams and decides which services are contended. Callers invoke it
    /// several times per second.
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
        self.grow_tables(upstreams);
        let digest_lifetime = self
            .config
            .lifetime(self.config.digest_lifetime, self.hosts);
        let is_fresh = |received: &ReceivedDigest| {
            now.saturating_duration_since(received.received_at) < digest_lifetime
        };
        self.digests.retain(|_sender, received| is_fresh(received));
        let report_lifetime = self
            .config
            .lifetime(self.config.report_lifetime, self.hosts);
        self.reports.expire(now, report_lifetime);
        let start = *self.span_start.get_or_insert(now);
        let span_ended = now.saturating_duration_since(start) >= COUNT_SPAN;
        if span_ended {
            self.end_span(now, start);
        }
        if span_ended || std::mem::take(&mut self.update_pending) {
            self.update(now, upstreams, events);
        }
    }

    /// Discards all measured and received load after a stall of this process.
    pub fn reset(&mut self) {
        for tracker in &mut self.services {
            tracker.reset();
        }
        self.windows.fill(RequestWindow::default());
        self.spans = Default::default();
        self.span_start = None;
        self.unreported_since = None;
        self.aggregator.clear();
        self.reports = ReportStore::default();
        self.digests.clear();
        self.update_pending = true;
    }

    /// Returns the reports and digests that are due now.
    pub fn due_datagrams(
        &mut self,
        now: Instant,
        peers: &PeerTable,
        upstreams: &UpstreamTable,
    ) -> Vec<AddressedDatagram> {
        let mut due = Vec::new();
        if !self.is_contended() {
            self.aggregator.clear();
            self.next_report = None;
        } else if self.next_report.is_none() {
            // The first report covers a whole interval because an empty interval is invalid.
            self.next_report = Some(now + self.config.interval(self.hosts));
        } else if is_due(now, &mut self.next_report, self.config.interval(self.hosts)) {
            due.extend(self.prepare_report(now, peers, upstreams));
        }
        if self.reports.reporters() == 0 {
            self.next_digest = None;
        } else if is_due(now, &mut self.next_digest, self.config.interval(self.hosts)) {
            due.extend(self.prepare_digest(now, peers, upstreams));
        }
        due
    }

    /// Stores the report of a host that has selected this host as its aggregator.
    pub fn handle_report(&mut self, now: Instant, from: SocketAddrV4, report: &LoadReport) {
        if !self.config.is_enabled {
            return;
        }
        match report.is_valid(&self.config) {
            true => self.reports.insert(now, from, report),
            false => self.reject(from),
        }
    }

    /// Stores the digest of an aggregator.
    pub fn handle_digest(&mut self, now: Instant, from: SocketAddrV4, digest: &LoadDigest) {
        if !self.config.is_enabled {
            return;
        }
        if !digest.is_valid(&self.config) {
            self.reject(from);
            return;
        }
        let previous = self.digests.get(&from);
        let is_older = previous.is_some_and(|previous| digest.sequence <= previous.digest.sequence);
        let is_known = previous.is_some();
        if is_older || !(is_known || self.reserve_digest_capacity(digest.reporters)) {
            return;
        }
        let received = ReceivedDigest {
            received_at: now,
            digest: digest.clone(),
        };
        self.digests.insert(from, received);
        self.update_pending = true;
    }

    /// Returns the digest in use and its arrival: among fresh digests the one with the most
    /// reporters, then the latest.
    pub fn digest(&self) -> Option<(Instant, &LoadDigest)> {
        let received = preferred_digest(&self.digests)?;
        Some((received.received_at, &received.digest))
    }

    /// Returns whether a digest with `reporters` reporters can be stored, after evicting one with
    /// fewer if all slots are taken. Hosts that know few others yet aggregate their own reports;
    /// their digests must not keep out the digest of the zone's aggregator.
    fn reserve_digest_capacity(&mut self, reporters: u32) -> bool {
        if self.digests.len() < MAX_AGGREGATORS {
            return true;
        }
        let digests = self.digests.iter();
        let counts = digests.map(|(sender, received)| (received.digest.reporters, *sender));
        let smallest = counts.min().filter(|(fewest, _sender)| *fewest < reporters);
        smallest.is_some_and(|(_fewest, sender)| self.digests.remove(&sender).is_some())
    }

    fn reject(&mut self, from: SocketAddrV4) {
        self.rejections += 1;
        if self.rejected.len() < MAX_REJECTIONS_PER_TICK {
            self.rejected.push(from);
        }
    }

    /// Allocates counters for new services and upstreams, so that packet processing never
    /// allocates.
    fn grow_tables(&mut self, upstreams: &UpstreamTable) {
        let known = self.services.len();
        let new = upstreams.pools().iter().skip(known);
        self.services
            .extend(new.map(|pool| ServiceTracker::new(pool.tag)));
        if self.windows.len() < upstreams.records.len() {
            self.windows
                .resize(upstreams.records.len(), RequestWindow::default());
        }
    }

    fn end_span(&mut self, now: Instant, start: Instant) {
        self.spans.rotate_right(1);
        self.spans[0] = now.saturating_duration_since(start);
        self.span_start = Some(now);
        let is_reporting = self.is_contended();
        let windows = self.windows.iter_mut();
        let services = self
            .services
            .iter_mut()
            .map(|tracker| &mut tracker.requests);
        for window in windows.chain(services) {
            window.end_span();
            if !is_reporting {
                window.take_unreported();
            }
        }
        if !is_reporting {
            for tracker in &mut self.services {
                tracker.classes.take_unreported().for_each(drop);
            }
            self.unreported_since = Some(now);
        }
    }

    fn update(
        &mut self,
        now: Instant,
        upstreams: &mut UpstreamTable,
        events: &mut Vec<DecisionEvent>,
    ) {
        // Counts of less than a second are treated as those of a whole second, because rates over a
        // shorter time are unreliable.
        let span = self.spans.iter().sum::<Duration>().max(COUNT_SPAN * 4);
        let measured_at = self.span_start.unwrap_or(now);
        let digest_in_use = preferred_digest(&self.digests);
        for (position, tracker) in self.services.iter_mut().enumerate() {
            let service = position as ServiceIndex;
            let digest = digest_in_use.and_then(|received| {
                Some((received.received_at, received.digest.service(tracker.tag)?))
            });
            let inputs = ServiceInputs {
                now,
                hosts: self.hosts,
                span,
                measured_at,
                digest,
            };
            let was_contended = upstreams.pool(service).is_contended;
            tracker.update(&self.config, service, &inputs, upstreams);
            let contention = tracker.contention;
            upstreams.set_contended(service, contention.is_contended);
            upstreams.set_pressure(service, contention.pressure);
            if contention.is_contended != was_contended {
                events.push(DecisionEvent::Contention {
                    service: upstreams.pool(service).name.clone(),
                    contended: contention.is_contended,
                    pressure: contention.pressure,
                    reporters: tracker.reporters,
                });
            }
            if contention.is_contended {
                set_upstream_loads(&self.config, &self.windows, service, &inputs, upstreams);
            } else if was_contended {
                clear_upstream_loads(service, upstreams);
            }
        }
    }

    fn prepare_report(
        &mut self,
        now: Instant,
        peers: &PeerTable,
        upstreams: &UpstreamTable,
    ) -> Option<AddressedDatagram> {
        let since = self.unreported_since.replace(now)?;
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
        for (position, tracker) in self.services.iter_mut().enumerate() {
            let mut service_report = tracker.take_report();
            let pool = upstreams.pool(position as ServiceIndex);
            for index in &pool.local {
                let window = self.windows.get_mut(*index as usize);
                let counts = window
                    .map(RequestWindow::take_unreported)
                    .unwrap_or_default();
                if let (Some(tag), false) = (upstreams.get(*index).tag, counts.is_empty()) {
                    service_report.upstreams.push((tag, counts));
                }
            }
            service_report
                .upstreams
                .sort_unstable_by_key(|(tag, counts)| (std::cmp::Reverse(counts.time), *tag));
            if tracker.contention.is_contended {
                report.services.push(service_report);
            }
        }
        report
            .services
            .sort_by_key(|service_report| std::cmp::Reverse(service_report.requests.time));
        report.truncate_to_fit(&self.config);
        let digest_timeout = self
            .config
            .lifetime(self.config.digest_lifetime, self.hosts);
        let digests = &self.digests;
        let last_digest_at = |address| digests.get(&address).map(|received| received.received_at);
        let target = self.aggregator.choose(
            now,
            &self.config,
            peers,
            self.capacity,
            digest_timeout,
            last_digest_at,
        );
        if target == peers.own {
            self.reports.insert(now, target, &report);
            return None;
        }
        Some(AddressedDatagram {
            datagram: PeerDatagram::Load(report),
            targets: vec![target],
        })
    }

    fn prepare_digest(
        &mut self,
        now: Instant,
        peers: &PeerTable,
        upstreams: &UpstreamTable,
    ) -> Option<AddressedDatagram> {
        self.digest_sequence += 1;
        let (config, hosts) = (&self.config, self.hosts);
        let sequence = self.digest_sequence;
        let mut digest = self.reports.digest(config, sequence, hosts, upstreams);
        digest.truncate_to_fit(config);
        if !digest.is_valid(&self.config) {
            self.reject(peers.own);
            return None;
        }
        self.handle_digest(now, peers.own, &digest);
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

/// Returns the digest with the most reporters, and the latest among equals.
fn preferred_digest(digests: &BTreeMap<SocketAddrV4, ReceivedDigest>) -> Option<&ReceivedDigest> {
    let digests = digests.values();
    digests.max_by_key(|received| (received.digest.reporters, received.received_at))
}

/// Sets the loads of a contended service's upstreams, either from the digest or from this host's
/// counts multiplied by the number of hosts in the zone.
fn set_upstream_loads(
    config: &LoadExchangeConfig,
    windows: &[RequestWindow],
    service: ServiceIndex,
    inputs: &ServiceInputs<'_>,
    upstreams: &mut UpstreamTable,
) {
    let digest = inputs.digest;
    let digest = digest.filter(|(_at, digest)| digest.is_representative(config, inputs.hosts));
    let members = upstreams.pool(service).local.len();
    for position in 0..members {
        let index = upstreams.pool(service).local[position];
        let load = match digest {
            Some((at, digest)) => {
                let others = u64::from(digest.others.max(1));
                let scaled = |load: u64| saturating_u32(digest.scaled(inputs.hosts, load));
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
                let hosts = u64::from(inputs.hosts);
                let served = counts.answered.saturating_sub(counts.shed);
                let time = TIME_UNIT.saturating_mul(counts.time);
                let sheds = u128::from(counts.shed) * 1_000_000 / inputs.span.as_millis().max(1);
                let shed_rate = u64::try_from(sheds).unwrap_or(u64::MAX);
                UpstreamLoad {
                    in_progress: saturating_u32(
                        mean_in_progress(&counts, inputs.span).saturating_mul(hosts),
                    ),
                    response_time: time.checked_div(served).unwrap_or_default(),
                    shed_rate: saturating_u32(shed_rate.saturating_mul(hosts)),
                    updated_at: Some(inputs.measured_at),
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
                in_progress: saturating_u32(digest.scaled(inputs.hosts, rates.in_progress)),
                response_time: rates.response_time(),
                shed_rate: saturating_u32(digest.scaled(inputs.hosts, rates.shed)),
                updated_at: Some(at),
            };
        }
    }
}

fn clear_upstream_loads(service: ServiceIndex, upstreams: &mut UpstreamTable) {
    let pool = upstreams.pool(service);
    let members: Vec<UpstreamIndex> = pool.local.iter().chain(&pool.evacuated).copied().collect();
    for index in members {
        upstreams.get_mut(index).load = UpstreamLoad::default();
    }
}

fn saturating_u32(load: u64) -> u32 {
    u32::try_from(load).unwrap_or(u32::MAX)
}

/// Returns whether a periodic action is due, and plans the next one. The next time is derived from
/// the last one, so that coarse polling does not lengthen the interval.
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
