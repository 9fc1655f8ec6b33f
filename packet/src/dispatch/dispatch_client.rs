//! A host's side of dispatching: queries that wait for their reply, and events that are to be sent.

use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use foldhash::HashMap;

use crate::dispatch::dispatch_message::DispatchVerdict;
use crate::dispatch::dispatch_message::MOST_EVENTS;
use crate::dispatch::dispatch_message::MOST_HOLD_MS;
use crate::dispatch::dispatch_message::RequestEvent;
use crate::flows::flow_table::FlowKey;
use crate::ids::FlowDigest;

/// How long a SYN waits for a reply before this host decides alone. Hosts of a zone answer within a
/// millisecond, small ones that use up their share of a core within some.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(10);

/// How long after its query a reply still decides. A host without processor time hands a SYN in later; its caller
/// has then sent the next one (after 200 ms), which may have opened the flow through another host.
const REPLY_LIFE: Duration = Duration::from_millis(180);

/// How long after [`REPLY_TIMEOUT`] a query is kept for its SYN. A process that pauses longer was stalled.
const QUERY_LIFE: Duration = Duration::from_millis(400);

/// Most SYNs that wait at a time; further ones are decided alone.
const MOST_PENDING: usize = 1024;

/// Most events that wait to be sent; further ones are not reported, and their requests expire at the dispatcher.
const MOST_WAITING: usize = 4096;

/// A query.
#[derive(Clone, Copy, Debug)]
struct PendingQuery {
    key: FlowKey,
    dispatcher: SocketAddrV4,
    /// When this host decides alone.
    expires_at: Instant,
    /// When a reply no longer decides.
    outdated_at: Instant,
    verdict: Option<DispatchVerdict>,
}

/// What became of a flow's query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryState {
    /// There is none.
    Absent,
    /// Its reply may still come.
    Waiting,
    /// It was replied to; it is removed.
    Replied(DispatchVerdict),
    /// It was replied to, but its SYN is too old for the reply; it is removed.
    Outdated,
    /// No reply came in time; it is removed.
    TimedOut(SocketAddrV4),
}

/// The queries and events of this host.
#[derive(Debug, Default)]
pub struct DispatchClient {
    /// At most [`MOST_PENDING`].
    queries: HashMap<FlowDigest, PendingQuery>,
    /// At most [`MOST_WAITING`], oldest first.
    events: Vec<(SocketAddrV4, RequestEvent)>,
}

impl DispatchClient {
    /// Records a query; false if too many wait already.
    pub fn ask(
        &mut self,
        now: Instant,
        key: FlowKey,
        flow: FlowDigest,
        dispatcher: SocketAddrV4,
    ) -> bool {
        if self.queries.len() >= MOST_PENDING {
            return false;
        }
        let query = PendingQuery {
            key,
            dispatcher,
            expires_at: now + REPLY_TIMEOUT,
            outdated_at: now + REPLY_LIFE,
            verdict: None,
        };
        self.queries.insert(flow, query);
        true
    }

    /// Records a reply; the flow that waits for it, and until when it goes on waiting, unless it comes from somebody
    /// else or too late.
    pub fn reply(
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
            query.expires_at = now + Duration::from_millis(MOST_HOLD_MS.into()) + REPLY_TIMEOUT;
            return Some((query.key, query.expires_at));
        }
        query.verdict = Some(verdict);
        Some((query.key, now))
    }

    /// What became of a flow's query.
    pub fn take(&mut self, now: Instant, flow: FlowDigest) -> QueryState {
        let Some(query) = self.queries.get(&flow).copied() else {
            return QueryState::Absent;
        };
        let state = match query.verdict {
            Some(_verdict) if now >= query.outdated_at => QueryState::Outdated,
            Some(verdict) => QueryState::Replied(verdict),
            None if now < query.expires_at => return QueryState::Waiting,
            None => QueryState::TimedOut(query.dispatcher),
        };
        self.queries.remove(&flow);
        state
    }

    /// Removes queries whose SYN was not handed in again.
    pub fn expire(&mut self, now: Instant) {
        let late = |query: &PendingQuery| now >= query.expires_at + QUERY_LIFE;
        self.queries.retain(|_flow, query| !late(query));
    }

    /// Records an event for a dispatcher.
    pub fn report(&mut self, dispatcher: SocketAddrV4, event: RequestEvent) {
        if self.events.len() < MOST_WAITING {
            self.events.push((dispatcher, event));
        }
    }

    /// Whether events wait to be sent.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// The events to send, by dispatcher, at most [`MOST_EVENTS`] each.
    pub fn take_events(&mut self) -> Vec<(SocketAddrV4, Vec<RequestEvent>)> {
        let mut batches: Vec<(SocketAddrV4, Vec<RequestEvent>)> = Vec::new();
        for (dispatcher, event) in self.events.drain(..) {
            let open = batches
                .iter_mut()
                .find(|(address, batch)| *address == dispatcher && batch.len() < MOST_EVENTS);
            match open {
                Some((_address, batch)) => batch.push(event),
                None => batches.push((dispatcher, vec![event])),
            }
        }
        batches
    }
}
