//! What one host measured and learned of one service, and whether the service is contended.

use std::time::Duration;
use std::time::Instant;

use crate::ids::ServiceIndex;
use crate::ids::ServiceTag;
use crate::load::load_report::ServiceDigest;
use crate::load::load_report::ServiceReport;
use crate::load::load_view::LoadExchangeConfig;
use crate::load::request_meter::ClassMeters;
use crate::load::request_meter::RequestCounts;
use crate::load::request_meter::RequestWindow;
use crate::load::request_meter::TIME_UNIT;
use crate::load::service_room::REQUEST_LOAD;
use crate::load::service_room::ServiceRoom;
use crate::load::service_room::ZoneTotals;
use crate::load::service_room::raised_pressure;
use crate::load::service_room::shed_share;
use crate::load::service_room::slot_pressure;
use crate::upstreams::upstream_table::UpstreamTable;

/// One service.
#[derive(Debug)]
pub struct ServiceLoad {
    /// Its tag in reports.
    pub tag: ServiceTag,
    /// Its requests through this host at upstreams of this zone.
    pub requests: RequestWindow,
    /// Its classes.
    pub classes: ClassMeters,
    /// Requests through this host that were shed, since its start.
    pub sheds: u64,
    /// What decisions read.
    pub room: ServiceRoom,
    /// Its load in this zone.
    pub totals: ZoneTotals,
    /// Hosts whose counts this is from; 1 if it is from this host's alone.
    pub reporters: u32,
    /// The last two short errors, the later one first.
    short_errors: [Option<Instant>; 2],
    /// Until when it is contended.
    contended_until: Option<Instant>,
}

/// What the conditions of contention are judged by.
#[derive(Clone, Copy, Debug)]
pub struct ServiceQuery<'a> {
    /// The present time.
    pub now: Instant,
    /// Hosts of the zone that take packets.
    pub hosts: u32,
    /// What this host's counts cover.
    pub span: Duration,
    /// When they ended.
    pub measured_at: Instant,
    /// The part of the digest about this service, and when it came; `None` if there is none of use.
    pub digest: Option<(Instant, &'a ServiceDigest)>,
}

/// Mean requests in progress, in parts of [`REQUEST_LOAD`].
pub fn mean_in_progress(counts: &RequestCounts, span: Duration) -> u64 {
    let time = u128::from(counts.time) * TIME_UNIT.as_nanos() * u128::from(REQUEST_LOAD);
    let mean = time.checked_div(span.as_nanos()).unwrap_or(0);
    u64::try_from(mean).unwrap_or(u64::MAX)
}

impl ServiceLoad {
    /// A service of which nothing is known.
    pub fn new(tag: ServiceTag) -> Self {
        Self {
            tag,
            requests: RequestWindow::default(),
            classes: ClassMeters::default(),
            sheds: 0,
            room: ServiceRoom::default(),
            totals: ZoneTotals::default(),
            reporters: 0,
            short_errors: [None; 2],
            contended_until: None,
        }
    }

    /// Discards what was measured and learned, but for the counts since the start.
    pub fn reset(&mut self) {
        let (mut classes, sheds) = (std::mem::take(&mut self.classes), self.sheds);
        classes.take_unsent().for_each(drop);
        *self = Self {
            classes,
            sheds,
            ..Self::new(self.tag)
        };
    }

    /// Records a short error, shed or not.
    pub fn record_short_error(&mut self, now: Instant) {
        self.short_errors = [Some(now), self.short_errors[0]];
    }

    /// Updates its load, and whether it is contended.
    pub fn update(
        &mut self,
        config: &LoadExchangeConfig,
        service: ServiceIndex,
        query: &ServiceQuery<'_>,
        upstreams: &UpstreamTable,
    ) {
        let pool = upstreams.pool(service);
        let members = pool.local.iter().map(|index| upstreams.get(*index));
        let usable = members.filter(|record| record.takes_flows());
        let slots = usable.fold(0_u32, |sum, record| sum.saturating_add(record.slots));
        let own = self.requests.ended_spans();
        let estimate = mean_in_progress(&own, query.span).saturating_mul(query.hosts.into());
        let usual = query
            .digest
            .filter(|(_at, digest)| digest.is_representative(config, query.hosts));
        let (in_progress, shed, updated_at) = match usual {
            Some((at, digest)) => {
                let pressure = digest.scaled(query.hosts, digest.pressure.into());
                let in_progress = pressure.saturating_mul(slots.into());
                self.reporters = digest.reporters;
                (in_progress, digest.shed_share, at)
            }
            None => {
                self.reporters = 1;
                let shed = shed_share(own.shed.into(), own.answered.into());
                (estimate, shed, query.measured_at)
            }
        };
        let pressure = raised_pressure(config, slot_pressure(in_progress, slots), shed);
        let holds = self.is_contended_by(config, estimate, slots, query);
        if holds {
            self.contended_until = Some(query.now + config.contended_time);
        }
        let is_contended = slots > 0 && self.contended_until.is_some_and(|until| query.now < until);
        if let Some((at, digest)) = query.digest {
            let active = digest.classes.iter();
            for (priority, _rates) in active.filter(|(_priority, rates)| rates.has_demand()) {
                let is_known = pool.priorities.binary_search(priority).is_ok();
                let least_urgent = pool.priorities.last().filter(|_last| !is_known);
                let priority = least_urgent.unwrap_or(priority);
                self.classes.record_demand(query.now, *priority, at);
            }
        }
        self.room = ServiceRoom {
            pressure,
            is_contended,
            updated_at: Some(updated_at),
        };
        self.totals = ZoneTotals {
            slots,
            in_progress,
            pressure,
            is_contended,
        };
    }

    /// Its part of the next report.
    pub fn report(&mut self) -> ServiceReport {
        let classes = self.classes.take_unsent();
        let active = classes.filter(|(_priority, counts)| *counts != Default::default());
        ServiceReport {
            service: self.tag,
            requests: self.requests.take_unsent(),
            classes: active.collect(),
            upstreams: Vec::new(),
        }
    }

    /// Whether one of the conditions holds now.
    fn is_contended_by(
        &self,
        config: &LoadExchangeConfig,
        estimate: u64,
        slots: u32,
        query: &ServiceQuery<'_>,
    ) -> bool {
        let exceeds = |share: u32| estimate > u64::from(slots) * u64::from(share);
        let erred = self.short_errors.iter().all(|error| {
            error.is_some_and(|at| {
                query.now.saturating_duration_since(at) < config.short_error_window
            })
        });
        let is_marked = query
            .digest
            .is_some_and(|(_at, digest)| digest.is_contended);
        let is_loaded = exceeds(config.contended_share);
        let sheds = erred && exceeds(config.shedding_share);
        is_loaded || sheds || is_marked
    }
}
