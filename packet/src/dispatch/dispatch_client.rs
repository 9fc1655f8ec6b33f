//! The host side of dispatching: queries that wait for a reply, and request events to be sent to
//! dispatchers.

use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use foldhash::HashMap;

use crate::dispatch::dispatch_message::DispatchVerdict;
use crate::dispatch::dispatch_message::MAX_EVENTS_PER_DATAGRAM;
use crate::dispatch::dispatch_message::MAX_HOLD_MS;
use crate::dispatch::dispatch_message::RequestEvent;
use crate::flows::flow_table::FlowKey;
use crate::ids::FlowDigest;

/// How long a SYN waits for a reply before this host decides alone. Hosts of a zone reply within a
/// millisecond; small ones that have used up their CPU share reply within several milliseconds.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(10);

/// Time after the query until which a reply is followed. A host that gets no CPU time resumes a
/// parked SYN late; by then its caller has retransmitted (after 200 ms), and the retransmission may
/// have opened the flow through another host.
const REPLY_LIFETIME: Duration = Duration::from_millis(180);

/// How long a query is kept after its timeout for its SYN to be resumed. A process that pauses for
/// longer counts as stalled.
const QUERY_LIFETIME: Duration = Duration::from_millis(400);

/// Maximum number of SYNs waiting at a time. This host decides alone about further ones.
const MAX_PENDING_QUERIES: usize = 1024;

/// Maximum number of events waiting to be sent. Further ones are not reported, and their requests
/// expire at the dispatcher.
const MAX_PENDING_EVENTS: usize = 4096;

/// A query sent to a dispatcher.
#[derive(Clone, Copy, Debug)]
struct PendingQuery {
    key: FlowKey,
    dispatcher: SocketAddrV4,
    /// When the query times out and this host decides alone.
    expires_at: Instant,
    /// From when a reply is no longer followed.
    invalid_at: Instant,
    verdict: Option<DispatchVerdict>,
}

/// State of a flow's query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryState {
    /// The flow has no query.
    Absent,
    /// The reply is outstanding.
    Waiting,
    /// The dispatcher has replied. The query has been removed.
    Replied(DispatchVerdict),
    /// The dispatcher has replied, but the SYN is too old for the reply to be followed. The query
    /// has been removed.
    Outdated,
    /// This dispatcher has not replied in time. The query has been removed.
    TimedOut(SocketAddrV4),
}

/// The pending queries and events of this host.
#[derive(Debug, Default)]
pub struct DispatchClient {
    /// Holds at most [`MAX_PENDING_QUERIES`].
    queries: HashMap<FlowDigest, PendingQuery>,
    /// Holds at most [`MAX_PENDING_EVENTS`], oldest first.
    events: Vec<(SocketAddrV4, RequestEvent)>,
}

impl DispatchClient {
    /// Records a query. Returns false if too many are pending.
    pub fn start_query(
        &mut self,
        now: Instant,
        key: FlowKey,
        flow: FlowDigest,
        dispatcher: SocketAddrV4,
    ) -> bool {
        if self.queries.len() >= MAX_PENDING_QUERIES {
            return false;
        }
        let query = PendingQuery {
            key,
            dispatcher,
            expires_at: now + REPLY_TIMEOUT,
            invalid_at: now + REPLY_LIFETIME,
            verdict: None,
        };
        self.queries.insert(flow, query);
        true
    }

    /// Records a reply. Returns the flow that waits for it and the time at which its SYN is to be
    /// resumed, or `None` if there is no such query or the reply comes from a host that was not
    /// queried.
    pub fn handle_reply(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        flow: FlowDigest,
        verdict: DispatchVerdict,
    ) -> Option<(FlowKey, Instant)> {
        let query = self.queries.get_mut(&flow)?;
        if query.dispatcher != from {
            return None;
        }
        if verdict == DispatchVerdict::Wait {
            query.expires_at = now + Duration::from_millis(MAX_HOLD_MS.into()) + REPLY_TIMEOUT;
            return Some((query.key, query.expires_at));
        }
        query.verdict = Some(verdict);
        Some((query.key, now))
    }

    /// Returns the state of a flow's query, and removes the query unless it is still waiting.
    pub fn take_state(&mut self, now: Instant, flow: FlowDigest) -> QueryState {
        let Some(query) = self.queries.get(&flow).copied() else {
            return QueryState::Absent;
        };
        let state = match query.verdict {
            Some(_verdict) if now >= query.invalid_at => QueryState::Outdated,
            Some(verdict) => QueryState::Replied(verdict),
            None if now < query.expires_at => return QueryState::Waiting,
            None => QueryState::TimedOut(query.dispatcher),
        };
        self.queries.remove(&flow);
        state
    }

    /// Removes queries whose SYN was never resumed.
    pub fn expire(&mut self, now: Instant) {
        let is_abandoned = |query: &PendingQuery| now >= query.expires_at + QUERY_LIFETIME;
        self.queries.retain(|_flow, query| !is_abandoned(query));
    }

    /// Queues an event for a dispatcher. Drops it if `MAX_PENDING_EVENTS` are queued.
    pub fn queue_event(&mut self, dispatcher: SocketAddrV4, event: RequestEvent) {
        if self.events.len() < MAX_PENDING_EVENTS {
            self.events.push((dispatcher, event));
        }
    }

    /// Returns whether events are waiting to be sent.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// Takes the events to send, in batches of at most [`MAX_EVENTS_PER_DATAGRAM`] per dispatcher.
    pub fn take_events(&mut self) -> Vec<(SocketAddrV4, Vec<RequestEvent>)> {
        let mut batches: Vec<(SocketAddrV4, Vec<RequestEvent>)> = Vec::new();
        for (dispatcher, event) in self.events.drain(..) {
            let open = batches.iter_mut().find(|(address, batch)| {
                *address == dispatcher && batch.len() < MAX_EVENTS_PER_DATAGRAM
            });
            match open {
                Some((_address, batch)) => batch.push(event),
                None => batches.push((dispatcher, vec![event])),
            }
        }
        batches
    }
}
