//! Which opening packets wait for their caller's next copy while a service is busy.
//!
//! Load pattern: every host of a zone comes back at once. Within half a second come the requests of
//! that moment, the copies of opening packets that nobody took, and the further tries of callers that
//! had given up: three to four times the usual load, of which half is late already. Served in the order
//! of arrival, all of it is late, for the requests of the moment wait behind the others.
//!
//! So a copy that comes when its request's target has passed yields as long as no upstream has a free
//! slot: it is not sent on, its caller sends the next one 400 ms later or opens another flow, and what
//! can still be answered on time goes first. Only copies of flows that this host has not placed yet:
//! where an upstream left one without an answer, its caller has waited on our account. A first packet
//! never yields, nor does a request without a target.

use std::time::Duration;

use crate::admission::syn_copies::copy_age;
use crate::policy_config::AdmissionConfig;

/// An opening packet to be placed.
#[derive(Clone, Copy, Debug)]
pub struct OpeningQuery {
    /// Which copy of the packet, from 0.
    pub copy: u32,
    /// How soon the request inside should be answered, if its route says so.
    pub target: Option<Duration>,
    /// An earlier copy went to an upstream through this host.
    pub placed_before: bool,
    /// Requests in progress at the best upstream, as far as can be told.
    pub requests: u32,
    /// Requests that it works on at a time.
    pub slots: u32,
}

/// Whether the packet is left to its caller's next copy.
pub fn is_deferred(config: &AdmissionConfig, query: &OpeningQuery) -> bool {
    let age = copy_age(query.copy);
    let late = query.target.is_some_and(|target| age >= target);
    let busy = query.requests >= query.slots * config.busy_requests;
    query.copy > 0 && late && busy && !query.placed_before
}
