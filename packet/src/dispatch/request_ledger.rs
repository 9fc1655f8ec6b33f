//! The requests in progress at a service's upstreams, as the hosts of the zone report them one by one.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use foldhash::HashMap;

use crate::ids::FlowDigest;
use crate::ids::UpstreamIndex;

/// Most requests that are counted at a time; at 24 bytes a request 0.8 MB. Further ones are not counted.
const MOST_REQUESTS: usize = 32_768;

/// How long a request counts that nobody reports as ended: the report was lost, or its host has died.
const REQUEST_LEASE: Duration = Duration::from_secs(2);

/// How long a placed flow counts before its first request is reported. A caller needs two round trips for that.
const PLACEMENT_LEASE: Duration = Duration::from_millis(30);

/// One request, or a placed flow whose first request is expected.
#[derive(Clone, Copy, Debug)]
struct LedgerEntry {
    upstream: UpstreamIndex,
    expires_at: Instant,
}

/// Requests in progress by upstream.
#[derive(Debug, Default)]
pub struct RequestLedger {
    entries: HashMap<FlowDigest, LedgerEntry>,
    /// Entries by the place of the upstream; each equals the number of its `entries`.
    counts: Vec<u32>,
    /// Placed flows in the order of their expiry.
    placements: VecDeque<(Instant, FlowDigest)>,
}

impl RequestLedger {
    /// Requests in progress at an upstream.
    pub fn in_progress(&self, index: UpstreamIndex) -> u32 {
        self.counts.get(index as usize).copied().unwrap_or(0)
    }

    /// Records that a request has gone to an upstream. A flow has one request at a time.
    pub fn begin(&mut self, now: Instant, flow: FlowDigest, upstream: UpstreamIndex) {
        self.insert(flow, upstream, now + REQUEST_LEASE);
    }

    /// Records that a flow was placed, ahead of its first request.
    pub fn place(&mut self, now: Instant, flow: FlowDigest, upstream: UpstreamIndex) {
        let expires_at = now + PLACEMENT_LEASE;
        self.insert(flow, upstream, expires_at);
        self.placements.push_back((expires_at, flow));
    }

    /// Records that a flow's request has ended.
    pub fn end(&mut self, flow: FlowDigest) {
        if let Some(entry) = self.entries.remove(&flow) {
            self.release(entry.upstream);
        }
    }

    /// Ends placed flows whose request did not come.
    pub fn expire_placements(&mut self, now: Instant) {
        while let Some((expires_at, flow)) = self.placements.front().copied()
            && expires_at <= now
        {
            self.placements.pop_front();
            let entry = self.entries.get(&flow);
            if entry.is_some_and(|entry| entry.expires_at <= now) {
                self.end(flow);
            }
        }
    }

    /// Ends requests whose end was not reported in time. To be called several times a second.
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

    /// Whether nothing is counted.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn insert(&mut self, flow: FlowDigest, upstream: UpstreamIndex, expires_at: Instant) {
        self.end(flow);
        if self.entries.len() >= MOST_REQUESTS {
            return;
        }
        let place = upstream as usize;
        if self.counts.len() <= place {
            self.counts.resize(place + 1, 0);
        }
        self.counts[place] += 1;
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
