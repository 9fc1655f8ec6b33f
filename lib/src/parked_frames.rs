//! Frames and requests that wait for the replies to a query about their flow.
//!
//! The number of flows is bounded by the limit of open queries, and the number of requests by the
//! request table. A caller's retransmitted `Open` replaces the one that waits.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids::FlowDigest;
use crate::request_table::RequestKey;
use crate::wire_frame::CallerFrame;

/// Frames and requests that wait for one flow.
#[derive(Clone, Debug, Default)]
pub struct ParkedFlow {
    /// The caller that opens the flow, and its frame.
    pub open: Option<(SocketAddr, CallerFrame)>,
    /// Requests that this host has accepted.
    pub requests: Vec<RequestKey>,
}

/// Waiting frames and requests, by flow.
#[derive(Clone, Debug, Default)]
pub struct ParkedFrames {
    flows: BTreeMap<FlowDigest, ParkedFlow>,
}

impl ParkedFrames {
    /// Parks an `Open` until the flow's query ends.
    pub fn park_open(&mut self, digest: FlowDigest, caller: SocketAddr, frame: &CallerFrame) {
        let flow = self.flows.entry(digest).or_default();
        flow.open = Some((caller, frame.clone()));
    }

    /// Parks a request until its flow's query ends.
    pub fn park_request(&mut self, key: RequestKey) {
        let flow = self.flows.entry(key.flow).or_default();
        flow.requests.push(key);
    }

    /// Removes and returns the frames and requests that wait for a flow.
    pub fn take(&mut self, digest: FlowDigest) -> ParkedFlow {
        self.flows.remove(&digest).unwrap_or_default()
    }
}
