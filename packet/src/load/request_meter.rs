//! Counts the requests that this host saw end, for each upstream and each class.

use std::time::Duration;
use std::time::Instant;

use arrayvec::ArrayVec;
use serde::Deserialize;
use serde::Serialize;

use crate::routes::route_config::RequestPriority;
use crate::routes::route_table::MOST_CLASSES;

/// Unit of request time in counts and reports.
pub const TIME_UNIT: Duration = Duration::from_micros(100);

/// Spans that a [`RequestWindow`] keeps beside the present one.
pub const KEPT_SPANS: usize = 4;

/// Requests that ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Sum of the times from each request to its response, in units of [`TIME_UNIT`].
    pub time: u32,
    /// Requests that had a response; those that were shed are among them.
    pub answered: u32,
    /// Requests that were shed. Recognized after the response, so that a span may hold more of these.
    pub shed: u32,
}

/// The requests of one upstream or service over the last spans.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestWindow {
    present: RequestCounts,
    /// Ended spans, the latest first.
    past: [RequestCounts; KEPT_SPANS],
    /// Requests since the last report.
    unsent: RequestCounts,
}

/// SYNs and requests of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassCounts {
    /// New flows: first SYNs.
    pub asked: u64,
    /// SYNs that were sent to an upstream.
    pub placed: u64,
    /// SYNs that were deferred.
    pub deferred: u64,
    /// SYNs that were refused.
    pub refused: u64,
    /// Requests that had a response; those that were shed are among them.
    pub answered: u64,
    /// Requests that were shed.
    pub shed: u64,
}

/// One class of a service.
#[derive(Clone, Copy, Debug)]
pub struct ClassMeter {
    /// Its priority.
    pub priority: RequestPriority,
    /// When the zone last had a new flow or a request of it.
    pub last_demand: Instant,
    /// Counts through this host since its start.
    pub totals: ClassCounts,
    /// Counts through this host since the last report.
    unsent: ClassCounts,
}

/// The classes of a service, the most urgent first.
#[derive(Clone, Debug, Default)]
pub struct ClassMeters {
    /// Distinct priorities, ascending.
    meters: ArrayVec<ClassMeter, MOST_CLASSES>,
}

impl RequestCounts {
    /// One request that had a response after this time.
    pub fn answered(took: Duration) -> Self {
        let half = TIME_UNIT / 2;
        let units = (took + half).as_nanos() / TIME_UNIT.as_nanos();
        Self {
            time: u32::try_from(units).unwrap_or(u32::MAX),
            answered: 1,
            shed: 0,
        }
    }

    /// One request whose response turned out to be a shed.
    pub fn shed() -> Self {
        Self {
            shed: 1,
            ..Self::default()
        }
    }

    /// Adds other counts.
    pub fn add(&mut self, other: Self) {
        self.time = self.time.saturating_add(other.time);
        self.answered = self.answered.saturating_add(other.answered);
        self.shed = self.shed.saturating_add(other.shed);
    }

    /// Whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

impl RequestWindow {
    /// Adds counts to the present span.
    pub fn add(&mut self, counts: RequestCounts) {
        self.present.add(counts);
        self.unsent.add(counts);
    }

    /// Ends the present span.
    pub fn end_span(&mut self) {
        self.past.rotate_right(1);
        self.past[0] = std::mem::take(&mut self.present);
    }

    /// The counts of the spans that have ended.
    pub fn ended_spans(&self) -> RequestCounts {
        let mut sum = RequestCounts::default();
        for counts in self.past {
            sum.add(counts);
        }
        sum
    }

    /// Takes the counts since this was last called.
    pub fn take_unsent(&mut self) -> RequestCounts {
        std::mem::take(&mut self.unsent)
    }
}

impl ClassCounts {
    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        let adds = [
            (&mut self.asked, other.asked),
            (&mut self.placed, other.placed),
            (&mut self.deferred, other.deferred),
            (&mut self.refused, other.refused),
            (&mut self.answered, other.answered),
            (&mut self.shed, other.shed),
        ];
        for (sum, count) in adds {
            *sum = sum.saturating_add(count);
        }
    }

    /// The same counts a second, if they are of this span; rounded up, so that demand of any class shows.
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

    /// Whether it shows new flows or requests.
    pub fn has_demand(&self) -> bool {
        self.asked > 0 || self.answered > 0
    }
}

impl ClassMeters {
    /// Every class, the most urgent first.
    pub fn meters(&self) -> &[ClassMeter] {
        &self.meters
    }

    /// Counts for a class through this host.
    pub fn count(&mut self, now: Instant, priority: RequestPriority, counts: &ClassCounts) {
        let meter = self.meter(now, priority);
        meter.last_demand = now;
        meter.totals.add(counts);
        meter.unsent.add(counts);
    }

    /// Records that the zone had demand of a class.
    pub fn record_demand(&mut self, now: Instant, priority: RequestPriority, at: Instant) {
        let meter = self.meter(now, priority);
        meter.last_demand = meter.last_demand.max(at);
    }

    /// Takes the counts since this was last called.
    pub fn take_unsent(&mut self) -> impl Iterator<Item = (RequestPriority, ClassCounts)> {
        let meters = self.meters.iter_mut();
        meters.map(|meter| (meter.priority, std::mem::take(&mut meter.unsent)))
    }

    /// The meter of a class. If there are too many classes, less urgent ones share the last.
    fn meter(&mut self, now: Instant, priority: RequestPriority) -> &mut ClassMeter {
        let found = self
            .meters
            .binary_search_by_key(&priority, |meter| meter.priority);
        let place = match found {
            Ok(place) => place,
            Err(place) if place >= MOST_CLASSES => MOST_CLASSES - 1,
            Err(place) => {
                self.make_room();
                let meter = ClassMeter {
                    priority,
                    last_demand: now,
                    totals: ClassCounts::default(),
                    unsent: ClassCounts::default(),
                };
                let place = place.min(self.meters.len());
                self.meters.insert(place, meter);
                place
            }
        };
        &mut self.meters[place]
    }

    /// Merges the two least urgent classes if there is no room for another.
    fn make_room(&mut self) {
        if !self.meters.is_full() {
            return;
        }
        if let (Some(last), Some(next)) = (self.meters.pop(), self.meters.last_mut()) {
            next.last_demand = next.last_demand.max(last.last_demand);
            next.totals.add(&last.totals);
            next.unsent.add(&last.unsent);
        }
    }
}
