//! Decides where a dispatcher places a new flow, and which flows it refuses.
//!
//! Load pattern: a service has hardly more room than its callers need, its flows are spread over many hosts, and
//! open flows keep their upstreams. Upstreams that get a new flow by chance or by counts of a second ago shed it as
//! often as the mean, after it has waited in their queues, and its caller tries again. So the flow goes to the
//! upstream with the fewest requests in progress for each slot at this moment. When even that one has a
//! queue, the less urgent classes get no room: what is left of the queues is for the most urgent one. While that befalls
//! few flows, their SYNs are deferred, since the queues will have drained by the next ones; else they are refused at once.

use std::cmp::Reverse;

use crate::ids::ClassRank;
use crate::ids::UpstreamIndex;
use crate::load::service_room::REQUEST_LOAD;

/// Parameters of dispatching.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchConfig {
    /// Whether new flows of contended services are placed by a dispatcher.
    pub is_enabled: bool,
    /// Requests in progress for each slot, in parts of [`REQUEST_LOAD`], from which the least urgent class is
    /// limited: its request would wait for three others at each slot, and upstreams shed not far above.
    pub least_urgent_limit: u32,
    /// The same for a class just below the most urgent, which is never limited.
    pub urgent_limit: u32,
    /// Thousandths of the limited classes' flows that may be limited before they are refused instead of deferred: a
    /// rush that lasts is not over when the SYN is sent again.
    pub most_deferred: u32,
}

impl Default for DispatchConfig {
    fn default() -> Self {
        Self {
            is_enabled: true,
            least_urgent_limit: 4 * REQUEST_LOAD,
            urgent_limit: 9 * REQUEST_LOAD / 2,
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
    /// Tells equal candidates apart; larger is better.
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

/// The class of a new flow among those of its service that have demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchClass {
    /// 0 is the most urgent; below `classes`.
    pub rank: ClassRank,
    /// At least 1.
    pub classes: u8,
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

/// Whether a flow of this class gets no room, though `best` is the least loaded of all upstreams.
pub fn is_limited(config: &DispatchConfig, class: DispatchClass, best: &DispatchCandidate) -> bool {
    class_limit(config, class).is_some_and(|limit| best.load() >= limit)
}

/// Requests in progress for each slot from which a class is limited, in parts of [`REQUEST_LOAD`]; `None` for the
/// most urgent.
fn class_limit(config: &DispatchConfig, class: DispatchClass) -> Option<u32> {
    let last = u32::from(class.classes.saturating_sub(1));
    let rank = u32::from(class.rank).min(last);
    let steps = last.saturating_sub(1);
    let spread = config
        .urgent_limit
        .saturating_sub(config.least_urgent_limit);
    let above = (last - rank) * spread;
    (rank > 0).then(|| config.least_urgent_limit + above.checked_div(steps).unwrap_or(0))
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
