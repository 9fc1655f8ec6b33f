//! Queries to other hosts about flows that have no record on this host.
//!
//! An established flow must not be placed again while another host may hold its record. A query
//! goes to the most likely hosts first, is retransmitted when it or its reply is lost, and ends at
//! a deadline.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::flow_binding::FlowBinding;
use crate::ids::FlowDigest;
use crate::ids::HostId;
use crate::ids::ServiceId;

/// Time after which an unanswered query is retransmitted.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// Time after which an unanswered query ends. A host that is silent for this long is dead or
/// partitioned, which the membership detects separately.
const QUERY_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of open queries. Frames that would need a further query are refused at once.
const MAX_QUERIES: usize = 4_096;

/// Whether the frame that caused a query opens a flow or belongs to an established one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowIntent {
    /// The frame opens the flow; it may be a retransmission.
    Open,
    /// The flow was opened before.
    Established,
}

/// An open query about one flow.
#[derive(Clone, Debug)]
pub struct FlowQuery {
    /// The service that the frame addresses.
    pub service: ServiceId,
    /// The kind of frame that caused the query.
    pub intent: FlowIntent,
    /// Queried hosts that have not replied yet.
    pub pending_hosts: BTreeSet<HostId>,
    /// Hosts to query if none of the first ones holds the flow.
    pub fallback_hosts: Vec<HostId>,
    /// The binding derived by the highest-ranked host that replied, used if no host holds a record.
    pub derived: Option<(HostId, FlowBinding)>,
    retry_deadline: Instant,
    query_deadline: Instant,
}

/// The state of a query after a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryProgress {
    /// Replies are outstanding.
    Waiting,
    /// These hosts must be queried next.
    SendTo(Vec<HostId>),
    /// No queried host holds a record of the flow.
    NoHolder,
}

/// The open queries of a host, by flow.
#[derive(Clone, Debug, Default)]
pub struct QueryTable {
    queries: BTreeMap<FlowDigest, FlowQuery>,
}

impl QueryTable {
    /// Returns whether a query about a flow is open.
    pub fn contains(&self, digest: FlowDigest) -> bool {
        self.queries.contains_key(&digest)
    }

    /// Returns whether the limit of open queries is reached.
    pub fn is_full(&self) -> bool {
        self.queries.len() >= MAX_QUERIES
    }

    /// Opens a query to `hosts`, and to `fallback_hosts` if none of those holds the flow.
    pub fn open(
        &mut self,
        now: Instant,
        digest: FlowDigest,
        service: ServiceId,
        intent: FlowIntent,
        hosts: &[HostId],
        fallback_hosts: &[HostId],
    ) {
        let query = FlowQuery {
            service,
            intent,
            pending_hosts: hosts.iter().copied().collect(),
            fallback_hosts: fallback_hosts.to_vec(),
            derived: None,
            retry_deadline: now + RETRY_INTERVAL,
            query_deadline: now + QUERY_TIMEOUT,
        };
        self.queries.insert(digest, query);
    }

    /// Returns the open query about a flow.
    pub fn get(&self, digest: FlowDigest) -> Option<&FlowQuery> {
        self.queries.get(&digest)
    }

    /// Records the binding that a host derives for a flow. `is_better` tells whether the host ranks
    /// ahead of the one whose binding is kept.
    pub fn add_derived(
        &mut self,
        digest: FlowDigest,
        host: HostId,
        binding: FlowBinding,
        is_better: impl Fn(HostId, HostId) -> bool,
    ) {
        let Some(query) = self.queries.get_mut(&digest) else {
            return;
        };
        match query.derived {
            Some((other, _binding)) if !is_better(host, other) => {}
            _ => query.derived = Some((host, binding)),
        }
    }

    /// Records that a host holds no record of a flow, or can no longer be queried.
    pub fn add_denial(&mut self, now: Instant, digest: FlowDigest, host: HostId) -> QueryProgress {
        let Some(query) = self.queries.get_mut(&digest) else {
            return QueryProgress::Waiting;
        };
        query.pending_hosts.remove(&host);
        query.fallback_hosts.retain(|other| *other != host);
        if !query.pending_hosts.is_empty() {
            return QueryProgress::Waiting;
        }
        if query.fallback_hosts.is_empty() {
            return QueryProgress::NoHolder;
        }
        let hosts = std::mem::take(&mut query.fallback_hosts);
        query.pending_hosts = hosts.iter().copied().collect();
        query.retry_deadline = now + RETRY_INTERVAL;
        query.query_deadline = now + QUERY_TIMEOUT;
        QueryProgress::SendTo(hosts)
    }

    /// Removes a query and returns it.
    pub fn close(&mut self, digest: FlowDigest) -> Option<FlowQuery> {
        self.queries.remove(&digest)
    }

    /// Returns the flows of all open queries.
    pub fn flows(&self) -> Vec<FlowDigest> {
        self.queries.keys().copied().collect()
    }

    /// Returns the flows whose queries have reached their deadline.
    pub fn timed_out(&self, now: Instant) -> Vec<FlowDigest> {
        let timed_out = |query: &FlowQuery| query.query_deadline <= now;
        self.queries
            .iter()
            .filter(|(_digest, query)| timed_out(query))
            .map(|(digest, _question)| *digest)
            .collect()
    }

    /// Returns the queries that are due for retransmission, and sets their next retransmission
    /// time.
    pub fn due_retransmissions(&mut self, now: Instant) -> Vec<(FlowDigest, FlowQuery)> {
        let mut due_retransmissions = Vec::new();
        for (digest, query) in &mut self.queries {
            if now < query.retry_deadline {
                continue;
            }
            query.retry_deadline = now + RETRY_INTERVAL;
            due_retransmissions.push((*digest, query.clone()));
        }
        due_retransmissions
    }
}
