//! Decides which SYNs of a contended service are admitted, by priority class.
//!
//! If a service with less capacity than demand receives every SYN, its upstreams shed requests
//! regardless of priority, and the callers' retries add to the load.

use std::time::Duration;

use lagoonproxy::flow_hash::rendezvous_weight;
use lagoonproxy::result_code::ResultCode;

use crate::admission::syn_retransmission::next_transmission_offset;
use crate::admission::syn_retransmission::transmission_offset;
use crate::ids::ClassRank;
use crate::load::load_state::ContentionState;
use crate::routes::route_table::RequestClass;

/// An admitted share of 1. Shares and sample values are in parts of it.
pub const FULL_SHARE: u32 = 1000;

/// Range of pressures over which the admitted share of a class falls from [`FULL_SHARE`] to the
/// minimum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PressureRamp {
    /// Highest pressure at which all SYNs are admitted.
    pub start: u32,
    /// Lowest pressure at which the minimum share is admitted; above `start`.
    pub end: u32,
}

/// Parameters of admission by class. Pressures are in thousandths of a request in progress per
/// slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassAdmissionConfig {
    /// Minimum admitted share of a class, in parts of [`FULL_SHARE`]. Above 0, so that no class
    /// starves.
    pub minimum_share: u32,
    /// Ramp of the least urgent class if there are several classes.
    pub least_urgent: PressureRamp,
    /// Distance between the ramps of a class and the next more urgent one. At least the length of a
    /// ramp plus the decrease for the last retransmission, so that all SYNs of a class are down to
    /// the minimum share before a more urgent class is deferred.
    pub class_distance: u32,
    /// Ramp of a class that is the only one.
    pub only_class: PressureRamp,
    /// Service pressure below which the admitted rate increases. At this value, half as many
    /// requests wait as run, so that slots are seldom idle and a request waits for less than its
    /// own service time.
    pub target_pressure: u32,
    /// Service pressure above which the admitted rate decreases: the pressure at which upstreams
    /// with short queues start to shed.
    pub shed_pressure: u32,
    /// Increase of the admitted rate per [`REQUEST_LOAD`](crate::load::load_state::REQUEST_LOAD)
    /// of pressure below `target_pressure`, in parts of [`FULL_SHARE`].
    pub rate_increase: u32,
    /// Decrease of the admitted rate per `REQUEST_LOAD` of pressure above `shed_pressure`, in parts
    /// of [`FULL_SHARE`]. One `REQUEST_LOAD` of excess corresponds to a shed share of 50
    /// thousandths; a slightly larger decrease ends shedding within seconds.
    pub rate_decrease: u32,
    /// Maximum factor by which the admitted rate increases within a second.
    pub maximum_growth: u32,
    /// Maximum divisor by which the admitted rate decreases within a second.
    pub maximum_fall: u32,
    /// Weight of the long-term demand against the recent counts, in flows per second. Below this
    /// rate on one host, a change of the flow count is treated as noise.
    pub prior_flows: u32,
    /// Time after its last new flow or request during which a class has demand.
    pub demand_timeout: Duration,
    /// Decrease of pressure per transmission number, so that callers that have waited are admitted
    /// first.
    pub transmission_decrease: u32,
    /// Increase of pressure for a caller that opens far more flows than others of its class.
    pub heavy_caller_increase: u32,
    /// New flows of contended services per hedge to another upstream.
    pub flows_per_hedge: u32,
    /// Maximum number of unused hedges in the budget.
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
            prior_flows: 10,
            demand_timeout: Duration::from_secs(3),
            transmission_decrease: 750,
            heavy_caller_increase: 1500,
            flows_per_hedge: 10,
            hedge_burst: 10,
        }
    }
}

/// The inputs of an admission decision on a SYN of a contended service.
#[derive(Clone, Copy, Debug)]
pub struct SynQuery {
    /// Load of the service.
    pub contention: ContentionState,
    /// Admission pressure of the service; see [`crate::admission::admission_pressure`].
    pub pressure: u32,
    /// Class of the request that the flow carries.
    pub class: RequestClass,
    /// Rank of the class among the classes of the service that have demand; below
    /// `classes_with_demand`.
    pub demand_rank: ClassRank,
    /// Number of classes of the service that have demand, including this one; at least 1.
    pub classes_with_demand: u8,
    /// Transmission number: 0 for the first SYN, n for retransmission n.
    pub transmission: u32,
    /// Hash of the flow; the same on every host.
    pub flow_hash: u64,
    /// Whether this host has forwarded an earlier SYN of the flow to an upstream.
    pub placed_before: bool,
    /// Whether this host deferred every earlier SYN of the flow, so that the flow is not open. True
    /// for the first SYN, except after a stall of this host.
    pub known_unopened: bool,
    /// Whether an upstream is known to have a free slot.
    pub has_free_slot: bool,
    /// Whether the caller opens far more flows than others of its class.
    pub is_heavy_caller: bool,
    /// Latency objective of the route, counted from the first SYN.
    pub objective: Option<Duration>,
    /// Timeout of the route, counted from the first SYN.
    pub timeout: Option<Duration>,
}

/// An admission decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SynDecision {
    /// The SYN is placed.
    Admit,
    /// The SYN is dropped, and its caller retransmits it.
    Defer(ResultCode),
    /// The flow is reset. Its request has not run and will not run.
    Refuse(ResultCode),
}

impl PressureRamp {
    /// Returns the admitted share at a pressure, in parts of [`FULL_SHARE`].
    pub fn share(&self, pressure: u32, minimum_share: u32) -> u32 {
        if pressure <= self.start {
            return FULL_SHARE;
        }
        if pressure >= self.end {
            return minimum_share;
        }
        let excess = u64::from(pressure - self.start);
        let length = u64::from(self.end - self.start);
        let decrease = u64::from(FULL_SHARE - minimum_share) * excess / length;
        FULL_SHARE - decrease as u32
    }
}

impl ClassAdmissionConfig {
    /// Returns the ramp of a class by its rank among the classes that have demand.
    pub fn ramp(&self, demand_rank: ClassRank, classes_with_demand: u8) -> PressureRamp {
        let last = u32::from(classes_with_demand.saturating_sub(1));
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

/// Decides on a SYN of a contended service.
pub fn decide_syn(config: &ClassAdmissionConfig, query: &SynQuery) -> SynDecision {
    // A retransmission arrives no earlier than its offset, so a SYN whose offset equals the timeout
    // is too late.
    let expired = query
        .timeout
        .is_some_and(|timeout| transmission_offset(query.transmission) >= timeout);
    if expired {
        return refuse_unopened(query, ResultCode::DeadlinePassed);
    }
    if query.placed_before
        || query.has_free_slot
        || is_in_admitted_share(config, query, query.is_heavy_caller)
    {
        return SynDecision::Admit;
    }
    if is_next_transmission_in_time(query) {
        return SynDecision::Defer(ResultCode::QueueFull);
    }
    let code = match query.is_heavy_caller && is_in_admitted_share(config, query, false) {
        true => ResultCode::FairShareExceeded,
        false => ResultCode::PriorityRefused,
    };
    refuse_unopened(query, code)
}

/// Refuses a flow, or admits it if another host may have opened it with an earlier SYN.
fn refuse_unopened(query: &SynQuery, code: ResultCode) -> SynDecision {
    match query.known_unopened && !query.placed_before {
        true => SynDecision::Refuse(code),
        false => SynDecision::Admit,
    }
}

/// Whether the sample value of a SYN falls within the admitted share of its class.
fn is_in_admitted_share(config: &ClassAdmissionConfig, query: &SynQuery, is_heavy: bool) -> bool {
    syn_sample(query.flow_hash, query.transmission) < admitted_share(config, query, is_heavy)
}

fn admitted_share(config: &ClassAdmissionConfig, query: &SynQuery, is_heavy: bool) -> u32 {
    let decrease = config
        .transmission_decrease
        .saturating_mul(effective_transmission(query));
    let increase = if is_heavy {
        config.heavy_caller_increase
    } else {
        0
    };
    let pressure = query.pressure.saturating_add(increase);
    let pressure = pressure.saturating_sub(decrease);
    let ramp = config.ramp(query.demand_rank, query.classes_with_demand);
    ramp.share(pressure, config.minimum_share)
}

/// Returns the transmission number by which the pressure decreases: 0 for a SYN that has already
/// missed its latency objective.
pub fn effective_transmission(query: &SynQuery) -> u32 {
    match is_within(transmission_offset(query.transmission), query.objective) {
        true => query.transmission,
        false => 0,
    }
}

/// Whether the caller's next retransmission arrives early enough for a response, if this SYN is
/// dropped.
fn is_next_transmission_in_time(query: &SynQuery) -> bool {
    let Some(next) = next_transmission_offset(query.transmission) else {
        return false;
    };
    let before_timeout = query.transmission == 0 && is_within(next, query.timeout);
    is_within(next, query.objective) || before_timeout
}

fn is_within(offset: Duration, limit: Option<Duration>) -> bool {
    limit.is_none_or(|limit| offset < limit)
}

/// Returns the pseudo-random sample value of a SYN, below [`FULL_SHARE`]. It is the same on every
/// host.
pub fn syn_sample(flow_hash: u64, transmission: u32) -> u32 {
    let hash = rendezvous_weight(flow_hash, u64::from(transmission));
    let sample = (u128::from(hash) * u128::from(FULL_SHARE)) >> u64::BITS;
    sample as u32
}
