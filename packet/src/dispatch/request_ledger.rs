//! Counts the requests in progress on a service's upstreams, from events reported by the hosts of
//! the zone.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use foldhash::HashMap;

use crate::ids::FlowDigest;
use crate::ids::UpstreamIndex;

/// Maximum number of requests counted at a time; 0.8 MB at 24 bytes each. Further ones are not
/// counted.
const MAX_REQUESTS: usize = 32_768;

/// Time after which a request is no longer counted if its end was not reported. The event may have
/// been lost, or the host that sends it may have failed.
const REQUEST_LIFETIME: Duration = Duration::from_secs(2);

/// Time for which a placed flow counts as a request before its first request is reported. A caller
/// needs two round trips to send it.
const PLACEMENT_LIFETIME: Duration = Duration::from_millis(30);

/// A request, or a placed flow whose first request is expected.
#[derive(Clone, Copy, Debug)]
struct LedgerEntry {
    upstream: UpstreamIndex,
    expires_at: Instant,
}

/// Requests in progress by flow, counted by upstream.
#[derive(Debug, Default)]
pub struct RequestLedger {
    entries: HashMap<FlowDigest, LedgerEntry>,
    /// Number of entries by upstream index. Always equals the number of `entries` of that upstream.
    counts: Vec<u32>,
    /// Placed flows, ordered by expiry time.
    placements: VecDeque<(Instant, FlowDigest)>,
}

impl RequestLedger {
    /// Returns the requests in progress on an upstream.
    pub fn in_progress(&self, index: UpstreamIndex) -> u32 {
        self.counts.get(index as usize).copied().unwrap_or(0)
    }

    /// Records that a request was forwarded to an upstream. A flow has at most one request at a
    /// time.
    pub fn record_request(&mut self, now: Instant, flow: FlowDigest, upstream: UpstreamIndex) {
        self.insert(flow, upstream, now + REQUEST_LIFETIME);
    }

    /// Records that a flow was placed; it counts as a request until its first request is reported.
    pub fn record_placement(&mut self, now: Instant, flow: FlowDigest, upstream: UpstreamIndex) {
        let expires_at = now + PLACEMENT_LIFETIME;
        self.insert(flow, upstream, expires_at);
        self.placements.push_back((expires_at, flow));
    }

    /// Records that a flow's request has ended.
    pub fn record_end(&mut self, flow: FlowDigest) {
        if let Some(entry) = self.entries.remove(&flow) {
            self.release(entry.upstream);
        }
    }

    /// Removes the requests of a removed upstream, whose index another one may get.
    pub fn remove_upstream(&mut self, upstream: UpstreamIndex) {
        if let Some(count) = self.counts.get_mut(upstream as usize) {
            *count = 0;
            self.entries
                .retain(|_flow, entry| entry.upstream != upstream);
        }
    }

    /// Removes placed flows whose first request was not reported in time.
    pub fn expire_placements(&mut self, now: Instant) {
        while let Some((expires_at, flow)) = self.placements.front().copied()
            && expires_at <= now
        {
            self.placements.pop_front();
            let entry = self.entries.get(&flow);
            if entry.is_some_and(|entry| entry.expires_at <= now) {
                self.record_end(flow);
            }
        }
    }

    /// Removes requests whose end was not reported in time. Has to be called several times a
    /// second.
    pub fn expire_requests(&mut self, now: Instant) {
        self.expire_placements(now);
        let counts = &mut self.counts;
        self.entries.retain(|_flow, entry| {
            let keep = now < entry.expires_at;
            if !keep {
                counts[entry.upstream as usize] -= 1;
            }
            keep
        });
    }

    /// Returns whether no requests are counted.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn insert(&mut self, flow: FlowDigest, upstream: UpstreamIndex, expires_at: Instant) {
        self.record_end(flow);
        if self.entries.len() >= MAX_REQUESTS {
            return;
        }
        let position = upstream as usize;
        if self.counts.len() <= position {
            self.counts.resize(position + 1, 0);
        }
        self.counts[position] += 1;
        let entry = LedgerEntry {
            upstream,
            expires_at,
        };
        self.entries.insert(flow, entry);
    }

    fn release(&mut self, upstream: UpstreamIndex) {
        self.counts[upstream as usize] -= 1;
    }
}
