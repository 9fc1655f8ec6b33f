//! Decides where a dispatcher places new flows, and which flows it limits.
//!
//! Applies to a service with little spare capacity whose flows are spread over many hosts and stay
//! on their upstreams. Upstreams that are selected at random, or by counts that are a second old,
//! shed a new flow as often as the mean, after it has waited in their queues, and its caller
//! retries. A dispatcher therefore selects the upstream with the fewest requests in progress per
//! slot at this moment.
//!
//! When even that upstream has a queue, the rest of the queue is reserved for more urgent priority
//! classes. While few flows are limited, their SYNs are deferred, since the queues will have
//! drained when they are retransmitted. Otherwise the flows are refused at once.

use std::cmp::Reverse;

use arrayvec::ArrayVec;

use crate::ids::UpstreamIndex;
use crate::load::load_state::REQUEST_LOAD;
use crate::routes::route_config::RequestPriority;

/// Parameters of dispatching.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchConfig {
    /// Whether dispatchers place the new flows of contended services.
    pub is_enabled: bool,
    /// Requests in progress per slot at which an upstream is saturated, in parts of
    /// [`REQUEST_LOAD`].
    pub saturation_load: u32,
    /// Part of `saturation_load` that is reserved for more urgent flows if all recently placed
    /// flows were more urgent. The reserve is proportional to their share.
    pub urgent_reserve: u32,
    /// Reserves below this are treated as none, since the request counts are not exact.
    pub min_reserve: u32,
    /// Share of limited flows, in thousandths of the flows of classes that may be limited, from
    /// which flows are refused instead of deferred. A longer overload is not over when the SYN is
    /// retransmitted.
    pub max_deferred_share: u32,
}

impl Default for DispatchConfig {
    fn default() -> Self {
        Self {
            is_enabled: true,
            saturation_load: 5 * REQUEST_LOAD,
            urgent_reserve: 3 * REQUEST_LOAD / 2,
            min_reserve: REQUEST_LOAD / 2,
            max_deferred_share: 300,
        }
    }
}

/// An upstream that may get a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchCandidate {
    /// The upstream.
    pub index: UpstreamIndex,
    /// Requests in progress on the upstream.
    pub in_progress: u32,
    /// Requests that the upstream processes at a time; at least 1.
    pub slots: u32,
    /// Load of one request on the upstream, in parts of [`REQUEST_LOAD`]; higher while it warms up.
    pub request_load: u32,
    /// Whether an earlier SYN of the flow went to the upstream.
    pub is_excluded: bool,
    /// Breaks ties between equal candidates; the higher weight wins.
    pub weight: u64,
}

impl DispatchCandidate {
    /// Returns the requests in progress per slot with the flow placed here, in parts of
    /// [`REQUEST_LOAD`].
    fn load_with_flow(&self) -> u64 {
        let requests = u64::from(self.in_progress) + 1;
        requests * u64::from(self.request_load) / u64::from(self.slots)
    }

    /// Returns the requests in progress per slot, in parts of [`REQUEST_LOAD`].
    fn load(&self) -> u32 {
        let load = u64::from(self.in_progress) * u64::from(REQUEST_LOAD) / u64::from(self.slots);
        u32::try_from(load).unwrap_or(u32::MAX)
    }
}

/// Returns the candidate with the lowest load including the flow, or `None` without candidates.
pub fn least_loaded(
    candidates: impl Iterator<Item = DispatchCandidate>,
) -> Option<DispatchCandidate> {
    candidates.min_by_key(|candidate| {
        let load = candidate.load_with_flow();
        (candidate.is_excluded, load, Reverse(candidate.weight))
    })
}

/// Returns the load per slot reserved for more urgent flows, in parts of [`REQUEST_LOAD`], or
/// `None` if nothing is reserved. `more_urgent` is the share of more urgent flows among the
/// recently placed ones, in thousandths.
pub fn effective_reserve(config: &DispatchConfig, more_urgent: u32) -> Option<u32> {
    let reserve = config.urgent_reserve * more_urgent.min(1000) / 1000;
    (reserve >= config.min_reserve).then_some(reserve)
}

/// Returns whether a flow is limited by `reserve`. `candidate` is the least loaded of all
/// upstreams.
pub fn is_limited(config: &DispatchConfig, reserve: u32, candidate: &DispatchCandidate) -> bool {
    candidate.load() >= config.saturation_load.saturating_sub(reserve)
}

/// Number of flows after which the counts of [`PriorityMix`] are halved.
const PRIORITY_MIX_FLOWS: u32 = 512;

/// Maximum number of priorities counted separately per service. Further ones are counted with the
/// least urgent of them.
const MAX_PRIORITIES: usize = 8;

/// Priorities of recently placed flows.
///
/// Limited flows are not counted. Their callers retry at once, so that a burst of them would look
/// like demand of less urgent requests and shrink the reserve.
#[derive(Clone, Debug, Default)]
pub struct PriorityMix {
    /// Number of flows by priority.
    flows: ArrayVec<(RequestPriority, u32), MAX_PRIORITIES>,
    /// Sum of the counts in `flows`.
    total: u32,
}

impl PriorityMix {
    /// Counts a placed flow.
    pub fn record(&mut self, priority: RequestPriority) {
        if self.total >= PRIORITY_MIX_FLOWS {
            for (_priority, count) in &mut self.flows {
                *count /= 2;
            }
            self.flows.retain(|(_priority, count)| *count > 0);
            self.total = self.flows.iter().map(|(_priority, count)| count).sum();
        }
        self.total += 1;
        let matching = self
            .flows
            .iter()
            .position(|(listed, _count)| *listed == priority);
        let least_urgent = self.flows.iter().enumerate();
        let least_urgent = least_urgent.max_by_key(|(_position, (listed, _count))| *listed);
        let least_urgent = least_urgent.map(|(position, _flow)| position);
        match matching {
            Some(position) => self.flows[position].1 += 1,
            None if self.flows.try_push((priority, 1)).is_ok() => {}
            None => {
                if let Some(position) = least_urgent {
                    self.flows[position].1 += 1;
                }
            }
        }
    }

    /// Returns the share of flows that are more urgent than `priority`, in thousandths.
    pub fn more_urgent(&self, priority: RequestPriority) -> u32 {
        let more_urgent = self
            .flows
            .iter()
            .filter(|(listed, _count)| *listed < priority);
        let count: u32 = more_urgent.map(|(_priority, count)| count).sum();
        (count * 1000).checked_div(self.total).unwrap_or(0)
    }
}

/// Number of flows over which [`LimitedShare`] averages.
const LIMITED_SHARE_FLOWS: u32 = 50;

/// Moving mean of the share of limited flows among those of a service's less urgent classes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitedShare {
    /// The share in thousandths, multiplied by [`LIMITED_SHARE_FLOWS`].
    scaled: u32,
}

impl LimitedShare {
    /// Counts a flow of a class that may be limited.
    pub fn record(&mut self, is_limited: bool) {
        self.scaled -= self.scaled / LIMITED_SHARE_FLOWS;
        self.scaled += if is_limited { 1000 } else { 0 };
    }

    /// Returns the share of limited flows, in thousandths.
    pub fn share(self) -> u32 {
        self.scaled / LIMITED_SHARE_FLOWS
    }
}
