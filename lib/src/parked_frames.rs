//! What waits until other hosts have said whether they hold a flow.
//!
//! The number of flows is bounded by the questions that may be open at once, the requests by the
//! request table; a caller that sends its `Open` again replaces the one that waits.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids::FlowDigest;
use crate::request_table::RequestKey;
use crate::wire_frame::CallerFrame;

/// What waits for one flow.
#[derive(Clone, Debug, Default)]
pub struct ParkedFlow {
    /// The caller that opens it, and its frame.
    pub open: Option<(SocketAddr, CallerFrame)>,
    /// Requests that this host has taken on.
    pub requests: Vec<RequestKey>,
}

/// What waits, by flow.
#[derive(Clone, Debug, Default)]
pub struct ParkedFrames {
    flows: BTreeMap<FlowDigest, ParkedFlow>,
}

impl ParkedFrames {
    /// Lets an `Open` wait.
    pub fn park_open(&mut self, digest: FlowDigest, caller: SocketAddr, frame: &CallerFrame) {
        let flow = self.flows.entry(digest).or_default();
        flow.open = Some((caller, frame.clone()));
    }

    /// Lets a request wait.
    pub fn park_request(&mut self, key: RequestKey) {
        let flow = self.flows.entry(key.flow).or_default();
        flow.requests.push(key);
    }

    /// Takes out what waits for a flow.
    pub fn take(&mut self, digest: FlowDigest) -> ParkedFlow {
        self.flows.remove(&digest).unwrap_or_default()
    }
}
