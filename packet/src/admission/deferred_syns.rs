//! Tracks the flows of which this host has deferred every SYN so far, which are therefore not open.
//!
//! The SYNs of one flow can reach different hosts, for example while hosts join, leave or stall
//! during a burst. A host that refused a retransmission without this check could reset a flow that
//! another host has opened.

use std::time::Duration;
use std::time::Instant;

use foldhash::HashMap;

use crate::flows::flow_table::FlowKey;

/// Maximum number of tracked flows. Retransmissions of untracked flows are never refused.
pub const MAX_DEFERRED: usize = 4096;

/// Time after its first SYN during which a flow is tracked. Callers give up after 1.4 s.
pub const DEFERRED_LIFETIME: Duration = Duration::from_millis(1600);

#[derive(Clone, Copy, Debug)]
struct DeferredFlow {
    /// Transmission number of the first SYN that this host has not deferred. It has deferred all
    /// earlier ones.
    next_transmission: u32,
    expires_at: Instant,
}

/// Flows of which this host has deferred every SYN so far.
#[derive(Debug, Default)]
pub struct DeferredSyns {
    /// At most [`MAX_DEFERRED`] entries.
    flows: HashMap<FlowKey, DeferredFlow>,
    /// Time until which every flow may be open, after a stall of this process. The SYNs queued in
    /// the socket during the stall are then read, and later retransmissions may have opened their
    /// flows through other hosts.
    unknown_until: Option<Instant>,
}

impl DeferredSyns {
    /// Whether this host deferred every SYN before this one, so that the flow is not open. True for
    /// the first SYN, except after a stall.
    pub fn is_unopened(&self, now: Instant, key: &FlowKey, transmission: u32) -> bool {
        if self.unknown_until.is_some_and(|until| now < until) {
            return false;
        }
        let flow = self.flows.get(key);
        let flow = flow.filter(|flow| now < flow.expires_at);
        transmission == 0 || flow.is_some_and(|flow| flow.next_transmission == transmission)
    }

    /// Records a deferred SYN. A flow is not tracked if this host did not defer an earlier SYN of
    /// it.
    pub fn record(&mut self, now: Instant, key: FlowKey, transmission: u32) {
        if !self.is_unopened(now, &key, transmission) {
            self.flows.remove(&key);
            return;
        }
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.next_transmission = transmission + 1;
            if transmission == 0 {
                flow.expires_at = now + DEFERRED_LIFETIME;
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
            next_transmission: transmission + 1,
            expires_at: now + DEFERRED_LIFETIME,
        };
        self.flows.insert(key, flow);
    }

    /// Removes a flow that was placed or refused.
    pub fn remove(&mut self, key: &FlowKey) {
        self.flows.remove(key);
    }

    /// Returns the number of tracked flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow is tracked.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Discards all flows after a stall of this process.
    pub fn discard_after_stall(&mut self, now: Instant) {
        self.flows.clear();
        self.unknown_until = Some(now + DEFERRED_LIFETIME);
    }

    /// Removes flows whose callers have given up. Must be called several times a second.
    pub fn tick(&mut self, now: Instant) {
        self.flows.retain(|_key, flow| now < flow.expires_at);
    }
}
