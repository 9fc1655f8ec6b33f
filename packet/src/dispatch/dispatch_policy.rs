//! Decides where a dispatcher places a new flow, and which flows it refuses.
//!
//! Load pattern: a service has hardly more room than its callers need, its flows are spread over many hosts, and
//! open flows keep their upstreams. Upstreams that get a new flow by chance or by counts of a second ago shed it as
//! often as the mean, after it has waited in their queues, and its caller tries again. So the flow goes to the
//! upstream with the fewest requests in progress for each slot at this moment. When even that one has a
//! queue, the less urgent classes get no room: what is left of the queues is for the most urgent one. While that befalls
//! few flows, their SYNs are deferred, since the queues will have drained by the next ones; else they are refused at once.

use std::cmp::Reverse;

use arrayvec::ArrayVec;

use crate::ids::UpstreamIndex;
use crate::load::service_room::REQUEST_LOAD;
use crate::routes::route_config::RequestPriority;

/// Parameters of dispatching.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchConfig {
    /// Whether new flows of contended services are placed by a dispatcher.
    pub is_enabled: bool,
    /// Requests in progress for each slot, in parts of [`REQUEST_LOAD`], from which upstreams are taken to be full.
    pub full_load: u32,
    /// What of that is kept for more urgent flows if all flows placed of late were more urgent; if a part of them was,
    /// as large a part is kept.
    pub urgent_reserve: u32,
    /// A smaller reserve is none: counts are not as exact.
    pub least_reserve: u32,
    /// Thousandths of the limited classes' flows that may be limited before they are refused instead of deferred: a
    /// rush that lasts is not over when the SYN is sent again.
    pub most_deferred: u32,
}

impl Default for DispatchConfig {
    fn default() -> Self {
        Self {
            is_enabled: true,
            full_load: 5 * REQUEST_LOAD,
            urgent_reserve: 3 * REQUEST_LOAD / 2,
            least_reserve: REQUEST_LOAD / 2,
            most_deferred: 300,
        }
    }
}

/// An upstream that may get a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchCandidate {
    /// The upstream.
    pub index: UpstreamIndex,
    /// Requests in progress there.
    pub in_progress: u32,
    /// Requests that it works on at a time; at least 1.
    pub slots: u32,
    /// Load of one request there in parts of [`REQUEST_LOAD`]; larger while it is cold.
    pub request_load: u32,
    /// An earlier SYN of the flow went there.
    pub is_excluded: bool,
    /// Breaks ties between equal candidates; larger is better.
    pub weight: u64,
}

impl DispatchCandidate {
    /// Requests in progress for each slot once the flow is placed, in parts of [`REQUEST_LOAD`].
    fn load_with_flow(&self) -> u64 {
        let requests = u64::from(self.in_progress) + 1;
        requests * u64::from(self.request_load) / u64::from(self.slots)
    }

    /// Requests in progress for each slot, in parts of [`REQUEST_LOAD`].
    fn load(&self) -> u32 {
        let load = u64::from(self.in_progress) * u64::from(REQUEST_LOAD) / u64::from(self.slots);
        u32::try_from(load).unwrap_or(u32::MAX)
    }
}

/// The candidate with the least load once the flow is placed; `None` if there is none.
pub fn least_loaded(
    candidates: impl Iterator<Item = DispatchCandidate>,
) -> Option<DispatchCandidate> {
    candidates.min_by_key(|candidate| {
        let load = candidate.load_with_flow();
        (candidate.is_excluded, load, Reverse(candidate.weight))
    })
}

/// What is kept for more urgent flows, in requests for each slot and parts of [`REQUEST_LOAD`]; `None` if nothing is.
/// `more_urgent` is their share of the flows placed of late, in thousandths.
pub fn kept_reserve(config: &DispatchConfig, more_urgent: u32) -> Option<u32> {
    let reserve = config.urgent_reserve * more_urgent.min(1000) / 1000;
    (reserve >= config.least_reserve).then_some(reserve)
}

/// Whether a flow for which a reserve is kept gets no room, though `best` is the least loaded of all upstreams.
pub fn is_limited(config: &DispatchConfig, reserve: u32, best: &DispatchCandidate) -> bool {
    best.load() >= config.full_load.saturating_sub(reserve)
}

/// Flows after which older ones count half in [`RecentDemand`].
const DEMAND_FLOWS: u32 = 512;

/// Most priorities of a service that are told apart; further ones count as the least urgent of them.
const MOST_PRIORITIES: usize = 8;

/// How urgent the flows were that were placed of late. Flows that are limited do not count: their callers ask again at
/// once, so that a rush of them would look like demand for less urgent requests and take the reserve.
#[derive(Clone, Debug, Default)]
pub struct RecentDemand {
    /// Flows by priority.
    flows: ArrayVec<(RequestPriority, u32), MOST_PRIORITIES>,
    /// Their sum.
    total: u32,
}

impl RecentDemand {
    /// Records a flow that was placed.
    pub fn record(&mut self, priority: RequestPriority) {
        if self.total >= DEMAND_FLOWS {
            for (_priority, count) in &mut self.flows {
                *count /= 2;
            }
            self.flows.retain(|(_priority, count)| *count > 0);
            self.total = self.flows.iter().map(|(_priority, count)| count).sum();
        }
        self.total += 1;
        let known = self
            .flows
            .iter()
            .position(|(held, _count)| *held == priority);
        let last = self.flows.iter().enumerate();
        let last = last.max_by_key(|(_place, (held, _count))| *held);
        let last = last.map(|(place, _flow)| place);
        match known {
            Some(place) => self.flows[place].1 += 1,
            None if self.flows.try_push((priority, 1)).is_ok() => {}
            None => {
                if let Some(place) = last {
                    self.flows[place].1 += 1;
                }
            }
        }
    }

    /// Thousandths of the flows that were more urgent.
    pub fn more_urgent(&self, priority: RequestPriority) -> u32 {
        let more_urgent = self.flows.iter().filter(|(held, _count)| *held < priority);
        let count: u32 = more_urgent.map(|(_priority, count)| count).sum();
        (count * 1000).checked_div(self.total).unwrap_or(0)
    }
}

/// Flows over which the share of limited ones is a moving mean.
const SHARE_FLOWS: u32 = 50;

/// The share of a service's less urgent flows that were limited of late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitedShare {
    /// Thousandths, times [`SHARE_FLOWS`].
    scaled: u32,
}

impl LimitedShare {
    /// Records a flow of a class that may be limited.
    pub fn record(&mut self, is_limited: bool) {
        self.scaled -= self.scaled / SHARE_FLOWS;
        self.scaled += if is_limited { 1000 } else { 0 };
    }

    /// Thousandths of the flows.
    pub fn share(self) -> u32 {
        self.scaled / SHARE_FLOWS
    }
}
