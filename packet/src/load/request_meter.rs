//! Counts requests of each upstream, and SYNs and requests of each class, through this host.

use std::time::Duration;
use std::time::Instant;

use arrayvec::ArrayVec;
use serde::Deserialize;
use serde::Serialize;

use crate::routes::route_config::RequestPriority;
use crate::routes::route_table::MAX_CLASSES;

/// Unit of request times in counts and reports.
pub const TIME_UNIT: Duration = Duration::from_micros(100);

/// Number of ended spans that a [`RequestWindow`] keeps.
pub const WINDOW_SPANS: usize = 4;

/// Requests that ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Sum of the times from each request to its response, in units of [`TIME_UNIT`].
    pub time: u32,
    /// Requests with a response, sheds included.
    pub answered: u32,
    /// Requests that were shed. A shed is recognized after its response, so that a span may contain
    /// more sheds than responses.
    pub shed: u32,
}

/// Requests of one upstream or service over the last spans.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestWindow {
    current: RequestCounts,
    /// Counts of ended spans, the latest first.
    ended: [RequestCounts; WINDOW_SPANS],
    /// Counts since the last report.
    unreported: RequestCounts,
}

/// SYNs and requests of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassCounts {
    /// New flows, counted by their first SYN.
    pub asked: u64,
    /// SYNs that were forwarded to an upstream.
    pub placed: u64,
    /// SYNs that were deferred to the caller's retransmission.
    pub deferred: u64,
    /// SYNs that were refused.
    pub refused: u64,
    /// Requests with a response, sheds included.
    pub answered: u64,
    /// Requests that were shed.
    pub shed: u64,
}

/// Counters of one class of a service.
#[derive(Clone, Copy, Debug)]
pub struct ClassMeter {
    /// Priority of the class; lower values are more urgent.
    pub priority: RequestPriority,
    /// Time of the last new flow or request of the class in the zone.
    pub last_demand: Instant,
    /// Counts through this host since its start.
    pub totals: ClassCounts,
    /// Counts through this host since the last report.
    unreported: ClassCounts,
}

/// Counters of the classes of a service.
#[derive(Clone, Debug, Default)]
pub struct ClassMeters {
    /// Distinct priorities in ascending order, that is in descending urgency.
    meters: ArrayVec<ClassMeter, MAX_CLASSES>,
}

impl RequestCounts {
    /// Returns the counts of one request with a response after `elapsed`.
    pub fn answered(elapsed: Duration) -> Self {
        let half = TIME_UNIT / 2;
        let units = (elapsed + half).as_nanos() / TIME_UNIT.as_nanos();
        Self {
            time: u32::try_from(units).unwrap_or(u32::MAX),
            answered: 1,
            shed: 0,
        }
    }

    /// Returns the counts of one shed, whose response has already been counted.
    pub fn shed() -> Self {
        Self {
            shed: 1,
            ..Self::default()
        }
    }

    /// Adds `other` to each count.
    pub fn add(&mut self, other: Self) {
        self.time = self.time.saturating_add(other.time);
        self.answered = self.answered.saturating_add(other.answered);
        self.shed = self.shed.saturating_add(other.shed);
    }

    /// Returns whether all counts are zero.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

impl RequestWindow {
    /// Adds counts to the current span.
    pub fn add(&mut self, counts: RequestCounts) {
        self.current.add(counts);
        self.unreported.add(counts);
    }

    /// Ends the current span and starts the next one.
    pub fn end_span(&mut self) {
        self.ended.rotate_right(1);
        self.ended[0] = std::mem::take(&mut self.current);
    }

    /// Returns the sum of the ended spans.
    pub fn ended_spans(&self) -> RequestCounts {
        let mut sum = RequestCounts::default();
        for counts in self.ended {
            sum.add(counts);
        }
        sum
    }

    /// Returns the counts since the last call.
    pub fn take_unreported(&mut self) -> RequestCounts {
        std::mem::take(&mut self.unreported)
    }
}

impl ClassCounts {
    /// Adds `other` to each count.
    pub fn add(&mut self, other: &Self) {
        let pairs = [
            (&mut self.asked, other.asked),
            (&mut self.placed, other.placed),
            (&mut self.deferred, other.deferred),
            (&mut self.refused, other.refused),
            (&mut self.answered, other.answered),
            (&mut self.shed, other.shed),
        ];
        for (sum, count) in pairs {
            *sum = sum.saturating_add(count);
        }
    }

    /// Returns the counts per second, if `self` covers `span`. Rates are rounded up, so that any
    /// demand stays visible.
    pub fn rate(&self, span: Duration) -> Self {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX).max(1);
        let rate = |count: u64| count.saturating_mul(1000).div_ceil(millis);
        Self {
            asked: rate(self.asked),
            placed: rate(self.placed),
            deferred: rate(self.deferred),
            refused: rate(self.refused),
            answered: rate(self.answered),
            shed: rate(self.shed),
        }
    }

    /// Returns whether there were new flows or requests.
    pub fn has_demand(&self) -> bool {
        self.asked > 0 || self.answered > 0
    }
}

impl ClassMeters {
    /// Returns the classes in descending urgency.
    pub fn meters(&self) -> &[ClassMeter] {
        &self.meters
    }

    /// Adds counts of a class through this host.
    pub fn count(&mut self, now: Instant, priority: RequestPriority, counts: &ClassCounts) {
        let meter = self.meter(now, priority);
        meter.last_demand = now;
        meter.totals.add(counts);
        meter.unreported.add(counts);
    }

    /// Records that the zone had new flows or requests of a class at `at`.
    pub fn record_demand(&mut self, now: Instant, priority: RequestPriority, at: Instant) {
        let meter = self.meter(now, priority);
        meter.last_demand = meter.last_demand.max(at);
    }

    /// Returns the counts of each class since the last call.
    pub fn take_unreported(&mut self) -> impl Iterator<Item = (RequestPriority, ClassCounts)> {
        let meters = self.meters.iter_mut();
        meters.map(|meter| (meter.priority, std::mem::take(&mut meter.unreported)))
    }

    /// Returns the counters of a class. Beyond [`MAX_CLASSES`] classes, the least urgent ones
    /// share a counter.
    fn meter(&mut self, now: Instant, priority: RequestPriority) -> &mut ClassMeter {
        let found = self
            .meters
            .binary_search_by_key(&priority, |meter| meter.priority);
        let position = match found {
            Ok(position) => position,
            Err(position) if position >= MAX_CLASSES => MAX_CLASSES - 1,
            Err(position) => {
                self.merge_least_urgent();
                let meter = ClassMeter {
                    priority,
                    last_demand: now,
                    totals: ClassCounts::default(),
                    unreported: ClassCounts::default(),
                };
                let position = position.min(self.meters.len());
                self.meters.insert(position, meter);
                position
            }
        };
        &mut self.meters[position]
    }

    /// Merges the two least urgent classes if all counters are in use.
    fn merge_least_urgent(&mut self) {
        if !self.meters.is_full() {
            return;
        }
        if let (Some(last), Some(next)) = (self.meters.pop(), self.meters.last_mut()) {
            next.last_demand = next.last_demand.max(last.last_demand);
            next.totals.add(&last.totals);
            next.unreported.add(&last.unreported);
        }
    }
}
