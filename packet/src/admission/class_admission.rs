//! Decides which SYNs of a contended service are placed now, by priority class.
//!
//! Load pattern: a service has less room than its callers need. If every SYN is placed, upstreams shed
//! requests without regard to their priority, and the callers' retries add to the load.

use std::time::Duration;

use lagoonproxy::flow_hash::rendezvous_weight;
use lagoonproxy::result_code::ResultCode;

use crate::admission::syn_copies::copy_age;
use crate::admission::syn_copies::next_copy_age;
use crate::ids::ClassRank;
use crate::load::service_room::ServiceRoom;
use crate::routes::route_table::RequestClass;

/// An admitted share of 1; shares and draws are in parts of it.
pub const WHOLE_SHARE: u32 = 1000;

/// The pressures between which the admitted share of a class falls from [`WHOLE_SHARE`] to the minimum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PressureRamp {
    /// Pressure up to which all are admitted.
    pub start: u32,
    /// Pressure from which the minimum share is admitted; above `start`.
    pub end: u32,
}

/// Parameters of admission by class. Pressures are in thousandths of a request in progress per slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassAdmissionConfig {
    /// Minimum admitted share of a class, in parts of [`WHOLE_SHARE`]. Above 0, so that no class starves.
    pub minimum_share: u32,
    /// Ramp of the least urgent of several classes.
    pub least_urgent: PressureRamp,
    /// Distance between the ramps of a class and the next more urgent one. At least the length of a ramp and the decrease
    /// for the last copy, so that all SYNs of a class get the minimum share before a more urgent class is deferred.
    pub class_distance: u32,
    /// Ramp of the only class.
    pub only_class: PressureRamp,
    /// Pressure below which the admitted rate rises: half as many requests wait as run, so that slots are seldom idle
    /// and a request waits for less than its own time.
    pub target_pressure: u32,
    /// Pressure above which the admitted rate falls: that from which upstreams with short queues shed.
    pub shed_pressure: u32,
    /// Increase of the admitted rate per [`REQUEST_LOAD`](crate::load::service_room::REQUEST_LOAD) of pressure below
    /// `target_pressure`, in parts of [`WHOLE_SHARE`].
    pub rate_increase: u32,
    /// Decrease of the admitted rate per `REQUEST_LOAD` of pressure above `shed_pressure`, in parts of [`WHOLE_SHARE`].
    /// A pressure raised by sheds stands for a shed share of 50; a little more ends the sheds within seconds.
    pub rate_decrease: u32,
    /// Largest multiple by which the admitted rate rises within a second.
    pub maximum_growth: u32,
    /// Largest divisor by which it falls within a second.
    pub maximum_fall: u32,
    /// New flows a second on one host below which a change of their number is taken for chance.
    pub usual_flows: u32,
    /// Time for which a class counts after its last new flow or request.
    pub demand_memory: Duration,
    /// Decrease of pressure per copy number, so that callers that have waited go first.
    pub copy_decrease: u32,
    /// Increase of pressure for a caller that opens far more flows than others of its class.
    pub heavy_increase: u32,
    /// New flows of contended services per hedge to an upstream.
    pub flows_per_hedge: u32,
    /// Hedges that may be saved up.
    pub hedge_burst: u32,
}

impl Default for ClassAdmissionConfig {
    fn default() -> Self {
        Self {
            minimum_share: 100,
            least_urgent: PressureRamp {
                start: 1750,
                end: 3500,
            },
            class_distance: 3250,
            only_class: PressureRamp {
                start: 2500,
                end: 4500,
            },
            target_pressure: 1500,
            shed_pressure: 2000,
            rate_increase: 200,
            rate_decrease: 60,
            maximum_growth: 10,
            maximum_fall: 2,
            usual_flows: 10,
            demand_memory: Duration::from_secs(3),
            copy_decrease: 750,
            heavy_increase: 1500,
            flows_per_hedge: 10,
            hedge_burst: 10,
        }
    }
}

/// A SYN of a contended service.
#[derive(Clone, Copy, Debug)]
pub struct SynQuery {
    /// The load of its service.
    pub room: ServiceRoom,
    /// The pressure at which it is judged; see [`crate::admission::admission_pressure`].
    pub pressure: u32,
    /// The class of the request inside.
    pub class: RequestClass,
    /// Rank of the class among those of the service that have demand; below `demanding_classes`.
    pub demand_rank: ClassRank,
    /// Classes of the service that have demand, this one included; at least 1.
    pub demanding_classes: u8,
    /// Which retransmission it is; 0 for the first SYN.
    pub copy: u32,
    /// Hash of the flow, alike on every host.
    pub flow_hash: u64,
    /// An earlier SYN of the flow went to an upstream through this host.
    pub placed_before: bool,
    /// Every earlier SYN of the flow was deferred by this host, so that the flow is not open. True for the
    /// first, except after a stall of this host.
    pub deferred_before: bool,
    /// Whether an upstream is known to have a free slot.
    pub has_free_slot: bool,
    /// Whether the caller uses far more than others of its class.
    pub is_heavy_caller: bool,
    /// Latency objective of the route, from the first SYN.
    pub target: Option<Duration>,
    /// Timeout of the route, from the first SYN.
    pub timeout: Option<Duration>,
}

/// What becomes of a SYN.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SynVerdict {
    /// It is placed.
    Admit,
    /// It is dropped, and its caller sends the next one.
    Defer(ResultCode),
    /// The flow is reset: its request has not run and will not.
    Refuse(ResultCode),
}

impl PressureRamp {
    /// The admitted share at a pressure, in parts of [`WHOLE_SHARE`].
    pub fn share(&self, pressure: u32, minimum_share: u32) -> u32 {
        if pressure <= self.start {
            return WHOLE_SHARE;
        }
        if pressure >= self.end {
            return minimum_share;
        }
        let excess = u64::from(pressure - self.start);
        let length = u64::from(self.end - self.start);
        let fall = u64::from(WHOLE_SHARE - minimum_share) * excess / length;
        WHOLE_SHARE - fall as u32
    }
}

impl ClassAdmissionConfig {
    /// The ramp of a class by its rank among the classes that have demand.
    pub fn ramp(&self, demand_rank: ClassRank, demanding_classes: u8) -> PressureRamp {
        let last = u32::from(demanding_classes.saturating_sub(1));
        if last == 0 {
            return self.only_class;
        }
        let less_urgent = last - u32::from(demand_rank).min(last);
        let distance = self.class_distance.saturating_mul(less_urgent);
        PressureRamp {
            start: self.least_urgent.start.saturating_add(distance),
            end: self.least_urgent.end.saturating_add(distance),
        }
    }
}

/// Decides about a SYN of a contended service.
pub fn judge_syn(config: &ClassAdmissionConfig, query: &SynQuery) -> SynVerdict {
    // A copy arrives at its age at the earliest, so that one whose age is the timeout is older than it.
    let expired = query
        .timeout
        .is_some_and(|timeout| copy_age(query.copy) >= timeout);
    if expired {
        return refuse_unopened(query, ResultCode::DeadlinePassed);
    }
    if query.placed_before || query.has_free_slot || is_drawn(config, query, query.is_heavy_caller)
    {
        return SynVerdict::Admit;
    }
    if is_next_copy_in_time(query) {
        return SynVerdict::Defer(ResultCode::QueueFull);
    }
    let code = match query.is_heavy_caller && is_drawn(config, query, false) {
        true => ResultCode::FairShareExceeded,
        false => ResultCode::PriorityRefused,
    };
    refuse_unopened(query, code)
}

/// Refuses a flow, unless an earlier copy may have opened it through another host.
fn refuse_unopened(query: &SynQuery, code: ResultCode) -> SynVerdict {
    match query.deferred_before && !query.placed_before {
        true => SynVerdict::Refuse(code),
        false => SynVerdict::Admit,
    }
}

/// Whether the draw of a SYN falls within the admitted share of its class.
fn is_drawn(config: &ClassAdmissionConfig, query: &SynQuery, is_heavy: bool) -> bool {
    syn_draw(query.flow_hash, query.copy) < drawn_share(config, query, is_heavy)
}

fn drawn_share(config: &ClassAdmissionConfig, query: &SynQuery, is_heavy: bool) -> u32 {
    let decrease = config.copy_decrease.saturating_mul(waited_copies(query));
    let increase = if is_heavy { config.heavy_increase } else { 0 };
    let pressure = query.pressure.saturating_add(increase);
    let pressure = pressure.saturating_sub(decrease);
    let ramp = config.ramp(query.demand_rank, query.demanding_classes);
    ramp.share(pressure, config.minimum_share)
}

/// The copy number, as far as it decreases the pressure: 0 for a copy that is late already.
pub fn waited_copies(query: &SynQuery) -> u32 {
    match is_within(copy_age(query.copy), query.target) {
        true => query.copy,
        false => 0,
    }
}

/// Whether the caller's next copy can still be answered, if this one is dropped.
fn is_next_copy_in_time(query: &SynQuery) -> bool {
    let Some(next) = next_copy_age(query.copy) else {
        return false;
    };
    let before_timeout = query.copy == 0 && is_within(next, query.timeout);
    is_within(next, query.target) || before_timeout
}

fn is_within(age: Duration, limit: Option<Duration>) -> bool {
    limit.is_none_or(|limit| age < limit)
}

/// The draw of a SYN, the same on every host; below [`WHOLE_SHARE`].
pub fn syn_draw(flow_hash: u64, copy: u32) -> u32 {
    let hash = rendezvous_weight(flow_hash, u64::from(copy));
    let draw = (u128::from(hash) * u128::from(WHOLE_SHARE)) >> u64::BITS;
    draw as u32
}
