//! Exchanges load reports with other zones.
//!
//! The aggregator of a zone with a contended service requests reports from two hosts of each other
//! zone. It merges them and distributes the result with its age in the digest, so that all hosts of
//! the zone decide from the same data.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use arrayvec::ArrayVec;
use lagoonproxy::ids::ZoneName;

use crate::ids::ServiceTag;
use crate::load::zone_load::MAX_DIGEST_LOADS;
use crate::load::zone_load::SpilledRequests;
use crate::load::zone_load::ZoneLoadEntry;
use crate::load::zone_load::ZoneLoadReport;
use crate::load::zone_load::ZoneServiceEntry;
use crate::load::zone_load::ZoneServiceLoad;

/// Maximum number of hosts per zone whose last reports are kept: the two that are queried, and the
/// two that were queried before the last change.
const MAX_REPORTS_PER_ZONE: usize = 4;

/// Maximum number of other zones whose reports are kept.
const MAX_ZONES: usize = 32;

/// Maximum number of rejected senders that are reported per tick.
const MAX_REJECTED_SENDERS: usize = 16;

/// Maximum number of queries waiting for replies: those sent within the maximum age of reports, and
/// a reserve.
const MAX_PENDING_QUERIES: usize = 16;

/// Time after which a report is no longer merged with a newer one of the same zone.
const REPORT_MERGE_WINDOW: Duration = Duration::from_millis(750);

/// Age from which a digest can be replaced by one with fewer reporters of another sender.
const LARGER_DIGEST_LIFETIME: Duration = Duration::from_secs(1);

/// The last report of one host of another zone.
#[derive(Clone, Debug)]
struct HostReport {
    from: SocketAddrV4,
    /// Sequence of the sender's last report that requested a reply; `None` before the first.
    sent_sequence: Option<u64>,
    /// This host's sequence in the sender's last reply; `None` before the first.
    replied_sequence: Option<u64>,
    received_at: Instant,
    /// Time from a query to its reply; `None` before the first reply.
    delay: Option<Duration>,
    services: Vec<ZoneServiceLoad>,
}

/// Load of one zone and the time of its measurement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneState {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Arrival of the zone's last report; `None` if it precedes the start of the clock.
    pub received_at: Option<Instant>,
    /// Time from a query to its reply; `None` before the first reply.
    pub delay: Option<Duration>,
    /// Load of the services, as merged from the zone's reports.
    pub services: Vec<ZoneServiceEntry>,
}

/// The zones of the digest in use.
#[derive(Clone, Debug)]
struct CurrentDigest {
    from: SocketAddrV4,
    sequence: u64,
    reporters: u32,
    received_at: Instant,
    zones: Vec<ZoneState>,
}

/// Requests of the own zone's callers in progress in other zones, by service.
pub type SpilledByService<'a> = &'a [(ServiceTag, &'a [SpilledRequests])];

/// Load reports of other zones and the queries for them.
#[derive(Debug)]
pub struct ZoneExchange {
    zone: ZoneName,
    report_age: Duration,
    /// By zone; no list is empty.
    reports: BTreeMap<ZoneName, ArrayVec<HostReport, MAX_REPORTS_PER_ZONE>>,
    /// Sequence numbers and send times of queries without a reply.
    pending_queries: VecDeque<(u64, Instant)>,
    sequence: u64,
    digest: Option<CurrentDigest>,
    rejected: ArrayVec<SocketAddrV4, MAX_REJECTED_SENDERS>,
}

impl ZoneExchange {
    /// Creates the state of a host in `zone`, which uses reports up to an age of `report_age`.
    pub fn new(zone: ZoneName, report_age: Duration) -> Self {
        Self {
            zone,
            report_age,
            reports: BTreeMap::new(),
            pending_queries: VecDeque::new(),
            sequence: 0,
            digest: None,
            rejected: ArrayVec::new(),
        }
    }

    /// Starts a query for the report of another zone and returns its sequence number.
    pub fn start_query(&mut self, now: Instant) -> u64 {
        self.sequence += 1;
        if self.pending_queries.len() == MAX_PENDING_QUERIES {
            self.pending_queries.pop_front();
        }
        self.pending_queries.push_back((self.sequence, now));
        self.sequence
    }

    /// Stores the report of another zone. Returns whether its sender requests a report of this
    /// zone.
    pub fn handle_report(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        report: &ZoneLoadReport,
    ) -> bool {
        if !report.is_valid() {
            self.reject(from);
            return false;
        }
        if report.zone == self.zone {
            return false;
        }
        let queried_at = self
            .pending_queries
            .iter()
            .find(|query| query.0 == report.sequence);
        let delay = queried_at.map(|(_sequence, at)| now.saturating_duration_since(*at));
        // Replies that are processed after a stall of this process are discarded because neither
        // their delay nor their load is current.
        let delay = delay.filter(|delay| *delay <= self.report_age);
        if report.wants_reply {
            self.store_report(now, from, report, None);
        } else if delay.is_some() {
            self.store_report(now, from, report, delay);
        }
        report.wants_reply
    }

    /// Stores the load of other zones from a digest of the own zone.
    ///
    /// With two aggregators, the digest with more reporters is used until it is a second old.
    pub fn handle_digest(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        sequence: u64,
        reporters: u32,
        entries: &[ZoneLoadEntry],
    ) {
        if !entries.iter().all(ZoneLoadEntry::is_valid) {
            self.reject(from);
            return;
        }
        let current = self.digest.as_ref();
        let is_replaced = current.is_none_or(|current| {
            let is_old =
                now.saturating_duration_since(current.received_at) >= LARGER_DIGEST_LIFETIME;
            let is_newer = current.from == from && sequence > current.sequence;
            is_old || is_newer || (current.from != from && reporters > current.reporters)
        });
        if !is_replaced {
            return;
        }
        let zones = entries.iter().map(|entry| ZoneState {
            zone: entry.zone.clone(),
            received_at: now.checked_sub(entry.age),
            delay: entry.delay,
            services: entry.services.clone(),
        });
        self.digest = Some(CurrentDigest {
            from,
            sequence,
            reporters,
            received_at: now,
            zones: zones.collect(),
        });
    }

    /// Returns the zones whose last report is fresh.
    ///
    /// An aggregator uses the reports that it has received. For other zones it uses the digest of
    /// the previous aggregator.
    pub fn zones(
        &self,
        now: Instant,
        is_aggregator: bool,
        spilled: SpilledByService<'_>,
    ) -> Vec<ZoneState> {
        let from_digest = self.digest.iter().flat_map(|digest| &digest.zones);
        let from_digest = from_digest.filter(|state| self.is_fresh(now, state.received_at));
        if !is_aggregator {
            return from_digest.cloned().collect();
        }
        let reported = self
            .reports
            .keys()
            .filter(|zone| self.has_fresh_report(now, zone));
        let mut states: Vec<ZoneState> = reported
            .map(|zone| self.reported_state(zone, spilled))
            .collect();
        states.push(self.own_zone_state(now, spilled));
        for state in from_digest {
            if !states.iter().any(|current| current.zone == state.zone) {
                states.push(state.clone());
            }
        }
        states
    }

    /// Returns the entries of a digest for the services in `spilled`.
    pub fn entries(&self, now: Instant, spilled: SpilledByService<'_>) -> Vec<ZoneLoadEntry> {
        let states = self.zones(now, true, spilled);
        let max_services = MAX_DIGEST_LOADS / states.len().max(1);
        let entries = states.into_iter().filter_map(|mut state| {
            state.services.truncate(max_services.max(1));
            let received_at = state.received_at?;
            (!state.services.is_empty()).then(|| ZoneLoadEntry {
                zone: state.zone,
                age: now.saturating_duration_since(received_at),
                delay: state.delay,
                services: state.services,
            })
        });
        entries.take(MAX_DIGEST_LOADS).collect()
    }

    /// Discards outdated reports, queries and digests; returns the senders of rejected reports.
    pub fn tick(&mut self, now: Instant) -> ArrayVec<SocketAddrV4, MAX_REJECTED_SENDERS> {
        let report_age = self.report_age;
        let is_fresh = |at: Instant| now.saturating_duration_since(at) <= report_age;
        for reports in self.reports.values_mut() {
            reports.retain(|host_report| is_fresh(host_report.received_at));
        }
        self.reports.retain(|_zone, reports| !reports.is_empty());
        self.pending_queries.retain(|(_sequence, at)| is_fresh(*at));
        self.digest.take_if(|digest| !is_fresh(digest.received_at));
        std::mem::take(&mut self.rejected)
    }

    fn reject(&mut self, from: SocketAddrV4) {
        // Further senders are dropped: the list only limits the number of events per tick.
        let _is_full = self.rejected.try_push(from);
    }

    fn is_fresh(&self, now: Instant, received_at: Option<Instant>) -> bool {
        received_at.is_some_and(|at| now.saturating_duration_since(at) <= self.report_age)
    }

    fn has_fresh_report(&self, now: Instant, zone: &ZoneName) -> bool {
        let reports = self.reports.get(zone).into_iter().flatten();
        reports
            .map(|host_report| host_report.received_at)
            .any(|at| self.is_fresh(now, Some(at)))
    }

    fn store_report(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        report: &ZoneLoadReport,
        delay: Option<Duration>,
    ) {
        if self.reports.len() >= MAX_ZONES && !self.reports.contains_key(&report.zone) {
            return;
        }
        let reports = self.reports.entry(report.zone.clone()).or_default();
        let current = reports
            .iter()
            .position(|host_report| host_report.from == from);
        let mut host_report = HostReport {
            from,
            sent_sequence: None,
            replied_sequence: None,
            received_at: now,
            delay: None,
            services: Vec::new(),
        };
        if let Some(index) = current {
            host_report = reports.remove(index);
        } else if reports.is_full() {
            let oldest = (0..reports.len()).min_by_key(|index| reports[*index].received_at);
            reports.remove(oldest.unwrap_or_default());
        }
        let last = match report.wants_reply {
            true => &mut host_report.sent_sequence,
            false => &mut host_report.replied_sequence,
        };
        if last.is_none_or(|last| report.sequence > last) {
            *last = Some(report.sequence);
            host_report.received_at = now;
            host_report.delay = delay.or(host_report.delay);
            host_report.services.clone_from(&report.services);
        }
        reports.push(host_report);
    }

    /// Returns the reports of a zone that are merged: the newest one, and those that arrived
    /// shortly before it.
    fn merged_reports(&self, zone: &ZoneName) -> Vec<&HostReport> {
        let reports = || self.reports.get(zone).into_iter().flatten();
        let newest = reports().map(|host_report| host_report.received_at).max();
        let is_recent = |host_report: &&HostReport| {
            newest.is_some_and(|at| {
                at.saturating_duration_since(host_report.received_at) <= REPORT_MERGE_WINDOW
            })
        };
        reports().filter(is_recent).collect()
    }

    fn reported_state(&self, zone: &ZoneName, spilled: SpilledByService<'_>) -> ZoneState {
        let reports = self.merged_reports(zone);
        let delays: Vec<Duration> = reports
            .iter()
            .filter_map(|host_report| host_report.delay)
            .collect();
        let services = spilled.iter().filter_map(|(service, visits)| {
            let loads = reports.iter().flat_map(|host_report| &host_report.services);
            let loads: Vec<&ZoneServiceLoad> =
                loads.filter(|load| load.service == *service).collect();
            let sent = in_progress_at(visits, zone);
            let others = self.spilled_by_others(*service, zone);
            let own = mean(loads.iter().map(|load| load.in_progress))?;
            Some(ZoneServiceEntry {
                service: *service,
                slots: mean(loads.iter().map(|load| load.slots))?,
                in_progress: own.saturating_add(sent).saturating_add(others),
                sent,
                away: mean(loads.iter().map(|load| {
                    let visits = load.visits.iter().map(|visit| visit.in_progress);
                    visits.fold(0, u32::saturating_add)
                }))?,
                pressure: mean(loads.iter().map(|load| load.pressure))?,
                is_contended: loads.iter().any(|load| load.is_contended),
            })
        });
        ZoneState {
            zone: zone.clone(),
            received_at: reports
                .iter()
                .map(|host_report| host_report.received_at)
                .max(),
            delay: match delays.len() {
                0 => None,
                count => Some(delays.iter().sum::<Duration>() / count as u32),
            },
            services: services.collect(),
        }
    }

    /// Returns the load that callers of other zones have in progress in the own zone.
    fn own_zone_state(&self, now: Instant, spilled: SpilledByService<'_>) -> ZoneState {
        let services = spilled.iter().map(|(service, _visits)| ZoneServiceEntry {
            service: *service,
            in_progress: self.spilled_by_others(*service, &self.zone),
            ..ZoneServiceEntry::default()
        });
        ZoneState {
            zone: self.zone.clone(),
            received_at: Some(now),
            delay: None,
            services: services.filter(|entry| entry.in_progress > 0).collect(),
        }
    }

    /// Returns the requests in progress in `zone` of callers of all zones but `zone` and the own
    /// one.
    fn spilled_by_others(&self, service: ServiceTag, zone: &ZoneName) -> u32 {
        let others = self.reports.keys().filter(|other| *other != zone);
        let counts = others.filter_map(|other| {
            let reports = self.merged_reports(other);
            let loads = reports.iter().flat_map(|host_report| &host_report.services);
            let loads = loads.filter(|load| load.service == service);
            mean(loads.map(|load| in_progress_at(&load.visits, zone)))
        });
        counts.fold(0, u32::saturating_add)
    }
}

fn in_progress_at(visits: &[SpilledRequests], zone: &ZoneName) -> u32 {
    let counts = visits.iter().filter(|visit| visit.zone == *zone);
    counts
        .map(|visit| visit.in_progress)
        .fold(0, u32::saturating_add)
}

/// Returns the mean of the values; `None` if there are none.
fn mean(values: impl Iterator<Item = u32>) -> Option<u32> {
    let (mut sum, mut count) = (0u64, 0u64);
    for value in values {
        sum += u64::from(value);
        count += 1;
    }
    sum.checked_div(count).map(|mean| mean as u32)
}
