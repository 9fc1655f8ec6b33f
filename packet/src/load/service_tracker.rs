//! Tracks the load of one service and decides whether the service is contended.

use std::time::Duration;
use std::time::Instant;

use crate::ids::ServiceIndex;
use crate::ids::ServiceTag;
use crate::load::load_report::ServiceDigest;
use crate::load::load_report::ServiceReport;
use crate::load::load_state::ContentionState;
use crate::load::load_state::REQUEST_LOAD;
use crate::load::load_state::ZoneTotals;
use crate::load::load_state::pressure_with_sheds;
use crate::load::load_state::shed_share;
use crate::load::load_state::slot_pressure;
use crate::load::load_tracker::LoadExchangeConfig;
use crate::load::request_meter::ClassMeters;
use crate::load::request_meter::RequestCounts;
use crate::load::request_meter::RequestWindow;
use crate::load::request_meter::TIME_UNIT;
use crate::upstreams::upstream_table::UpstreamTable;

/// Load of one service, measured by this host and received from others.
#[derive(Debug)]
pub struct ServiceTracker {
    /// Tag of the service in reports and digests.
    pub tag: ServiceTag,
    /// Requests through this host at upstreams of this zone.
    pub requests: RequestWindow,
    /// Counters of the service's classes.
    pub classes: ClassMeters,
    /// Number of shed requests through this host since its start.
    pub sheds: u64,
    /// The state that placement and admission read.
    pub contention: ContentionState,
    /// Total load in this zone.
    pub totals: ZoneTotals,
    /// Number of hosts whose counts the load is based on; 1 if only this host's, 0 before the first
    /// update.
    pub reporters: u32,
    /// Times of the last two short errors, the latest first.
    short_errors: [Option<Instant>; 2],
    /// End of the contention; `None` if the service has not been contended.
    contended_until: Option<Instant>,
}

/// Inputs of an update.
#[derive(Clone, Copy, Debug)]
pub struct ServiceInputs<'a> {
    /// Time of the update.
    pub now: Instant,
    /// Number of hosts in the zone that take packets.
    pub hosts: u32,
    /// Length of the interval that this host's counts cover.
    pub span: Duration,
    /// End of that interval.
    pub measured_at: Instant,
    /// Entry of the service in the digest and the digest's arrival; `None` without a usable entry.
    pub digest: Option<(Instant, &'a ServiceDigest)>,
}

/// Returns the mean number of requests in progress, in thousandths of a request (see
/// [`REQUEST_LOAD`]).
pub fn mean_in_progress(counts: &RequestCounts, span: Duration) -> u64 {
    let time = u128::from(counts.time) * TIME_UNIT.as_nanos() * u128::from(REQUEST_LOAD);
    let mean = time.checked_div(span.as_nanos()).unwrap_or(0);
    u64::try_from(mean).unwrap_or(u64::MAX)
}

impl ServiceTracker {
    /// Creates the state of a service without known load.
    pub fn new(tag: ServiceTag) -> Self {
        Self {
            tag,
            requests: RequestWindow::default(),
            classes: ClassMeters::default(),
            sheds: 0,
            contention: ContentionState::default(),
            totals: ZoneTotals::default(),
            reporters: 0,
            short_errors: [None; 2],
            contended_until: None,
        }
    }

    /// Discards the measured and received load, except for the counts since the start.
    pub fn reset(&mut self) {
        let (mut classes, sheds) = (std::mem::take(&mut self.classes), self.sheds);
        classes.take_unreported().for_each(drop);
        *self = Self {
            classes,
            sheds,
            ..Self::new(self.tag)
        };
    }

    /// Records a short error, whether it is a shed or a failure.
    pub fn record_short_error(&mut self, now: Instant) {
        self.short_errors = [Some(now), self.short_errors[0]];
    }

    /// Updates the load and whether the service is contended.
    pub fn update(
        &mut self,
        config: &LoadExchangeConfig,
        service: ServiceIndex,
        inputs: &ServiceInputs<'_>,
        upstreams: &UpstreamTable,
    ) {
        let pool = upstreams.pool(service);
        let members = pool.local.iter().map(|index| upstreams.get(*index));
        let usable = members.filter(|record| record.takes_flows());
        let slots = usable.fold(0_u32, |sum, record| sum.saturating_add(record.slots));
        let own_counts = self.requests.ended_spans();
        let estimate =
            mean_in_progress(&own_counts, inputs.span).saturating_mul(inputs.hosts.into());
        let representative = inputs
            .digest
            .filter(|(_at, digest)| digest.is_representative(config, inputs.hosts));
        let (in_progress, shed, updated_at) = match representative {
            Some((at, digest)) => {
                let pressure = digest.scaled(inputs.hosts, digest.pressure.into());
                let in_progress = pressure.saturating_mul(slots.into());
                self.reporters = digest.reporters;
                (in_progress, digest.shed_share, at)
            }
            None => {
                self.reporters = 1;
                let shed = shed_share(own_counts.shed.into(), own_counts.answered.into());
                (estimate, shed, inputs.measured_at)
            }
        };
        let pressure = pressure_with_sheds(config, slot_pressure(in_progress, slots), shed);
        let is_triggered = self.meets_contention_condition(config, estimate, slots, inputs);
        if is_triggered {
            self.contended_until = Some(inputs.now + config.contention_hold_time);
        }
        let is_contended =
            slots > 0 && self.contended_until.is_some_and(|until| inputs.now < until);
        if let Some((at, digest)) = inputs.digest {
            let active = digest.classes.iter();
            for (priority, _rates) in active.filter(|(_priority, rates)| rates.has_demand()) {
                let is_known = pool.priorities.binary_search(priority).is_ok();
                let least_urgent = pool.priorities.last().filter(|_last| !is_known);
                let priority = least_urgent.unwrap_or(priority);
                self.classes.record_demand(inputs.now, *priority, at);
            }
        }
        self.contention = ContentionState {
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

    /// Returns the counts since the last report, without upstreams.
    pub fn take_report(&mut self) -> ServiceReport {
        let classes = self.classes.take_unreported();
        let active = classes.filter(|(_priority, counts)| *counts != Default::default());
        ServiceReport {
            service: self.tag,
            requests: self.requests.take_unreported(),
            classes: active.collect(),
            upstreams: Vec::new(),
        }
    }

    /// Returns whether a condition of contention is met now. `estimate` is the load of the zone in
    /// thousandths of a request.
    fn meets_contention_condition(
        &self,
        config: &LoadExchangeConfig,
        estimate: u64,
        slots: u32,
        inputs: &ServiceInputs<'_>,
    ) -> bool {
        let exceeds = |share: u32| estimate > u64::from(slots) * u64::from(share);
        let has_recent_errors = self.short_errors.iter().all(|error| {
            error.is_some_and(|at| {
                inputs.now.saturating_duration_since(at) < config.short_error_window
            })
        });
        let is_marked_by_digest = inputs
            .digest
            .is_some_and(|(_at, digest)| digest.is_contended);
        let is_loaded = exceeds(config.contended_share);
        let sheds = has_recent_errors && exceeds(config.contended_share_after_errors);
        is_loaded || sheds || is_marked_by_digest
    }
}
