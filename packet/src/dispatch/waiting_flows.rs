//! Flows that wait at a dispatcher until an upstream has capacity for their priority class.
//!
//! A service that can handle its demand may still have no free capacity for some tens of
//! milliseconds. The caller of a flow that is refused at such a moment retries at once, meets the
//! same state and soon exhausts its retries. The flow therefore waits for a small part of its
//! latency objective. The most urgent flow is served first, and the oldest among equals.

use std::net::SocketAddrV4;
use std::time::Instant;

use crate::dispatch::dispatch_message::DispatchQuery;
use crate::ids::FlowDigest;
use crate::ids::ServiceIndex;

/// Maximum number of waiting flows per slot of a service. Further ones would not be served in time.
const MAX_WAITING_PER_SLOT: usize = 2;

/// Maximum number of flows waiting at one dispatcher.
const MAX_WAITING_FLOWS: usize = 1024;

/// A flow that waits for free capacity.
#[derive(Clone, Debug)]
pub struct WaitingFlow {
    /// The host that sent the query.
    pub from: SocketAddrV4,
    /// The service of the flow.
    pub service: ServiceIndex,
    /// The query of the host.
    pub query: DispatchQuery,
    /// When the wait ends without a placement.
    pub expires_at: Instant,
}

/// The waiting flows, oldest first.
#[derive(Debug, Default)]
pub struct WaitingFlows {
    /// Holds at most [`MAX_WAITING_FLOWS`].
    flows: Vec<WaitingFlow>,
}

impl WaitingFlows {
    /// Adds a flow of a service with `slots` slots. Returns false if too many flows are waiting.
    pub fn add(&mut self, flow: WaitingFlow, slots: u32) -> bool {
        let same_service = self
            .flows
            .iter()
            .filter(|waiting| waiting.service == flow.service);
        let max = (slots as usize).saturating_mul(MAX_WAITING_PER_SLOT);
        if self.flows.len() >= MAX_WAITING_FLOWS || same_service.count() >= max {
            return false;
        }
        self.flows.push(flow);
        true
    }

    /// Removes a flow that was placed, or whose host has sent a new query.
    pub fn remove(&mut self, flow: FlowDigest) {
        self.flows.retain(|waiting| waiting.query.flow != flow);
    }

    /// Removes and returns the flows whose wait has ended.
    pub fn take_expired(&mut self, now: Instant) -> Vec<WaitingFlow> {
        self.flows
            .extract_if(.., |flow| flow.expires_at <= now)
            .collect()
    }

    /// Returns the flow of a service to be served next.
    pub fn next(&self, service: ServiceIndex) -> Option<&WaitingFlow> {
        let flows = self.flows.iter().filter(|flow| flow.service == service);
        flows.min_by_key(|flow| flow.query.priority)
    }

    /// Returns whether no flow is waiting.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}
