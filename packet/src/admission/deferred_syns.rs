//! Remembers the flows of which this host deferred every SYN so far, which therefore are not open.
//!
//! Load pattern: hosts join, leave or freeze during a rush, and the copies of a SYN go to different hosts.
//! A host that refuses a copy could reset a flow that another host has opened.

use std::time::Duration;
use std::time::Instant;

use foldhash::HashMap;

use crate::flows::flow_table::FlowKey;

/// Maximum number of flows that are remembered. Copies of further flows are never refused.
pub const MAX_DEFERRED: usize = 4096;

/// Time for which a flow is remembered after its first SYN: callers give up after 1.4 s.
pub const DEFERRED_LIFE: Duration = Duration::from_millis(1600);

#[derive(Clone, Copy, Debug)]
struct DeferredFlow {
    /// The first copy that this host has not deferred; it has deferred all before it.
    next_copy: u32,
    expires_at: Instant,
}

/// The flows of which this host deferred every SYN so far.
#[derive(Debug, Default)]
pub struct DeferredSyns {
    /// At most [`MAX_DEFERRED`].
    flows: HashMap<FlowKey, DeferredFlow>,
    /// Until when no flow is known to be unopened: SYNs that waited in the socket during a stall of this
    /// process are read, and later copies may have opened their flows through other hosts.
    unknown_until: Option<Instant>,
}

impl DeferredSyns {
    /// Whether this host deferred every copy before this one, so that the flow is not open. True for the
    /// first copy, except after a stall.
    pub fn is_unopened(&self, now: Instant, key: &FlowKey, copy: u32) -> bool {
        if self.unknown_until.is_some_and(|until| now < until) {
            return false;
        }
        let flow = self.flows.get(key);
        let flow = flow.filter(|flow| now < flow.expires_at);
        copy == 0 || flow.is_some_and(|flow| flow.next_copy == copy)
    }

    /// Records that a copy was deferred. A flow of which an earlier copy was not deferred here is not recorded.
    pub fn record(&mut self, now: Instant, key: FlowKey, copy: u32) {
        if !self.is_unopened(now, &key, copy) {
            self.flows.remove(&key);
            return;
        }
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.next_copy = copy + 1;
            if copy == 0 {
                flow.expires_at = now + DEFERRED_LIFE;
            }
            return;
        }
        if self.flows.len() >= MAX_DEFERRED {
            return;
        }
        if self.flows.capacity() == 0 {
            self.flows.reserve(MAX_DEFERRED);
        }
        let flow = DeferredFlow {
            next_copy: copy + 1,
            expires_at: now + DEFERRED_LIFE,
        };
        self.flows.insert(key, flow);
    }

    /// Removes a flow that was placed or refused.
    pub fn remove(&mut self, key: &FlowKey) {
        self.flows.remove(key);
    }

    /// Flows that are remembered.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow is remembered.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Handles a stall of this process.
    pub fn restart(&mut self, now: Instant) {
        self.flows.clear();
        self.unknown_until = Some(now + DEFERRED_LIFE);
    }

    /// Removes flows whose callers have given up. To be called several times a second.
    pub fn tick(&mut self, now: Instant) {
        self.flows.retain(|_key, flow| now < flow.expires_at);
    }
}
