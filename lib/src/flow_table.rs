//! The flows that this host owns, by digest.

use std::collections::HashMap;
use std::time::Instant;

use crate::ids::FlowDigest;
use crate::ids::Incarnation;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;

/// One established flow.
#[derive(Clone, Debug)]
pub struct FlowRecord {
    /// The service it was opened for; a frame for another service never reaches its upstream.
    pub service: ServiceId,
    /// The upstream that holds it, until it closes or the upstream goes.
    pub upstream: UpstreamId,
    /// The upstream's incarnation when the flow was placed; another one does not know the flow.
    pub incarnation: Incarnation,
    /// When it is forgotten if nothing more is heard of it.
    pub idle_deadline: Instant,
}

/// The flows of one host.
#[derive(Default)]
pub struct FlowTable {
    flows: HashMap<FlowDigest, FlowRecord>,
}

impl FlowTable {
    /// The record of a flow.
    pub fn get(&self, digest: FlowDigest) -> Option<&FlowRecord> {
        self.flows.get(&digest)
    }

    /// The record of a flow, to be changed.
    pub fn get_mut(&mut self, digest: FlowDigest) -> Option<&mut FlowRecord> {
        self.flows.get_mut(&digest)
    }

    /// Adds or replaces a flow.
    pub fn insert(&mut self, digest: FlowDigest, record: FlowRecord) {
        self.flows.insert(digest, record);
    }

    /// Removes a flow and returns what was known of it.
    pub fn remove(&mut self, digest: FlowDigest) -> Option<FlowRecord> {
        self.flows.remove(&digest)
    }

    /// Forgets the flows whose idle deadline has passed.
    pub fn expire(&mut self, now: Instant) {
        self.flows.retain(|_digest, flow| now < flow.idle_deadline);
    }

    /// How many flows are held.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow is held.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}
