//! Flows that wait at the dispatcher until an upstream has room for their class.
//!
//! Load pattern: for some tens of milliseconds no upstream has room, although the service can serve what it is asked for. A
//! flow that is refused then is asked for again at once, finds the same, and its caller has soon used up its
//! tries. So it waits for a short part of its latency objective; the most urgent goes first, and of equals the oldest.

use std::net::SocketAddrV4;
use std::time::Instant;

use crate::dispatch::dispatch_message::DispatchQuery;
use crate::ids::FlowDigest;
use crate::ids::ServiceIndex;

/// Flows that may wait for each slot of a service; more would not get room in time.
const MOST_FOR_A_SLOT: usize = 2;

/// Most flows that wait at one dispatcher.
const MOST_WAITING: usize = 1024;

/// One flow.
#[derive(Clone, Debug)]
pub struct WaitingFlow {
    /// The host that asked.
    pub from: SocketAddrV4,
    /// Its service.
    pub service: ServiceIndex,
    /// What the host asked.
    pub query: DispatchQuery,
    /// When it is no longer worth waiting.
    pub expires_at: Instant,
}

/// The flows that wait, oldest first.
#[derive(Debug, Default)]
pub struct WaitingFlows {
    /// At most [`MOST_WAITING`].
    flows: Vec<WaitingFlow>,
}

impl WaitingFlows {
    /// Adds a flow of a service with so many slots; false if too many wait already.
    pub fn add(&mut self, flow: WaitingFlow, slots: u32) -> bool {
        let ahead = self
            .flows
            .iter()
            .filter(|held| held.service == flow.service);
        let most = (slots as usize).saturating_mul(MOST_FOR_A_SLOT);
        if self.flows.len() >= MOST_WAITING || ahead.count() >= most {
            return false;
        }
        self.flows.push(flow);
        true
    }

    /// Removes a flow whose host asks anew or has given up.
    pub fn remove(&mut self, flow: FlowDigest) {
        self.flows.retain(|held| held.query.flow != flow);
    }

    /// Takes the flows whose time is over.
    pub fn take_expired(&mut self, now: Instant) -> Vec<WaitingFlow> {
        self.flows
            .extract_if(.., |flow| flow.expires_at <= now)
            .collect()
    }

    /// The flow of a service that is to get room next.
    pub fn next(&self, service: ServiceIndex) -> Option<&WaitingFlow> {
        let flows = self.flows.iter().filter(|flow| flow.service == service);
        flows.min_by_key(|flow| flow.query.priority)
    }

    /// Whether no flow waits.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}
