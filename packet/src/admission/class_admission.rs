//! Decides which SYNs of a contended service are placed now, by priority class.
//!
//! Load pattern: a service has less room than its callers need. If every SYN is placed, upstreams shed a
//! fifth of the requests without regard to their priority, and the callers' retries add to the load.

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
    /// Ramp of the most urgent of several classes.
    pub most_urgent: PressureRamp,
    /// Ramp of the least urgent of several classes.
    pub least_urgent: PressureRamp,
    /// Ramp of the only class.
    pub only_class: PressureRamp,
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
            most_urgent: PressureRamp {
                start: 4000,
                end: 6000,
            },
            least_urgent: PressureRamp {
                start: 1750,
                end: 3500,
            },
            only_class: PressureRamp {
                start: 2500,
                end: 4500,
            },
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
        let rank = u32::from(demand_rank).min(last);
        let spaced = |first: u32, end: u32| (first * (last - rank) + end * rank) / last;
        PressureRamp {
            start: spaced(self.most_urgent.start, self.least_urgent.start),
            end: spaced(self.most_urgent.end, self.least_urgent.end),
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
    let in_time = is_within(copy_age(query.copy), query.target);
    let decrease = match in_time {
        true => config.copy_decrease.saturating_mul(query.copy),
        false => 0,
    };
    let increase = if is_heavy { config.heavy_increase } else { 0 };
    let pressure = query.room.pressure.saturating_add(increase);
    let pressure = pressure.saturating_sub(decrease);
    let ramp = config.ramp(query.demand_rank, query.demanding_classes);
    let share = ramp.share(pressure, config.minimum_share);
    syn_draw(query.flow_hash, query.copy) < share
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
