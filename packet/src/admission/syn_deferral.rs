//! Defers late SYN retransmissions while a service that is not contended has no free slot.
//!
//! When all hosts of a zone return at once, three to four times the usual load arrives within half
//! a second: new requests, retransmissions of unanswered SYNs, and retries of callers that had
//! given up. Half of it has already missed its latency objective. If it were served in order of
//! arrival, the new requests would wait behind the late ones and miss their objectives too.
//!
//! A retransmission that has missed its objective is therefore dropped while no upstream has a free
//! slot. Its caller retransmits 400 ms later or opens another flow. The first SYN of a flow is
//! never deferred, nor is a SYN on a route without an objective, nor a SYN of a flow that this host
//! has already placed, since that caller waits because an upstream did not respond.

use std::time::Duration;

use crate::admission::syn_retransmission::transmission_offset;
use crate::policy_config::AdmissionConfig;

/// The inputs of a deferral decision on a SYN.
#[derive(Clone, Copy, Debug)]
pub struct SynDeferralQuery {
    /// Transmission number: 0 for the first SYN, n for retransmission n.
    pub transmission: u32,
    /// Latency objective of the route, counted from the first SYN.
    pub objective: Option<Duration>,
    /// Whether this host has forwarded an earlier SYN of the flow to an upstream.
    pub placed_before: bool,
    /// Requests in progress at the selected upstream, as far as known.
    pub requests: u32,
    /// Requests that the selected upstream runs in parallel.
    pub slots: u32,
}

/// Whether the SYN is dropped, so that its caller retransmits it.
pub fn is_deferred(config: &AdmissionConfig, query: &SynDeferralQuery) -> bool {
    let offset = transmission_offset(query.transmission);
    let late = query.objective.is_some_and(|objective| offset >= objective);
    let busy = query.requests >= query.slots * config.busy_requests;
    query.transmission > 0 && late && busy && !query.placed_before
}
