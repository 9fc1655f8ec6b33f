//! State that a host keeps about one peer.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy::ids::Version;
use lagoonproxy::ids::ZoneName;

use crate::peers::peer_heartbeat::FailureReport;
use crate::peers::peer_heartbeat::MAX_FAILURE_REPORTS;
use crate::peers::peer_heartbeat::MAX_UPSTREAM_REPORTS;
use crate::peers::peer_heartbeat::PeerHeartbeat;
use crate::peers::peer_heartbeat::UpstreamReport;
use crate::state::state_confirmation::ConfirmedSpan;
use crate::state::state_snapshot::StateQuery;
use crate::state::store_position::StorePosition;

/// Time without a heartbeat after which a reader no longer counts as one, so that another host
/// takes over. It covers two lost heartbeats, because readers send one to each host of their zone
/// in every round.
const READER_HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1600);

/// Time after its last heartbeat, or after it was first named, for which a peer is still sent
/// heartbeats. A host that is down for longer comes back as a new process, which sends the first
/// heartbeat.
const PEER_LIFETIME: Duration = Duration::from_secs(30);

/// What is known about one peer.
#[derive(Clone, Debug)]
pub(crate) struct PeerRecord {
    /// Its zone, from its heartbeats; before the first, as implied by the peer that named it, or
    /// empty if unknown.
    pub(crate) zone: ZoneName,
    pub(crate) ready: bool,
    pub(crate) capacity: u32,
    pub(crate) through: StorePosition,
    /// The version of its configuration; `None` if it has none.
    pub(crate) version: Option<Version>,
    /// Time of its last heartbeat; `None` if it was only named by others.
    pub(crate) last_heartbeat_at: Option<Instant>,
    /// Earliest time of its next hello out of turn; `None` if it never got one.
    pub(crate) next_hello_at: Option<Instant>,
    pub(crate) reports: Vec<UpstreamReport>,
    /// Time at which `reports` arrived with a heartbeat; `None` before the first.
    pub(crate) reports_at: Option<Instant>,
    /// Time at which the peer is removed, unless a heartbeat arrives before.
    pub(crate) expires_at: Instant,
    /// Time until which no state is requested from it, after it failed to send one.
    pub(crate) source_backoff_until: Option<Instant>,
    /// What the store has confirmed to it as a reader, as of its last heartbeat.
    pub(crate) confirmed: Option<ConfirmedSpan>,
    reads: bool,
}

impl PeerRecord {
    /// A peer that others named, before its first heartbeat.
    pub(crate) fn named(now: Instant, zone: ZoneName) -> Self {
        Self {
            zone,
            ready: false,
            capacity: 0,
            through: StorePosition::UNREAD,
            version: None,
            last_heartbeat_at: None,
            next_hello_at: None,
            reports: Vec::new(),
            reports_at: None,
            expires_at: now + PEER_LIFETIME,
            source_backoff_until: None,
            confirmed: None,
            reads: false,
        }
    }

    /// Merges a heartbeat of the peer.
    pub(crate) fn merge_heartbeat(&mut self, now: Instant, heartbeat: PeerHeartbeat) {
        self.zone = heartbeat.zone;
        self.ready = heartbeat.ready;
        self.reads = heartbeat.reads;
        let report = heartbeat.confirmation;
        self.confirmed = report.and_then(|report| report.span(now));
        self.capacity = heartbeat.capacity;
        self.through = heartbeat.through;
        self.version = heartbeat.version;
        self.last_heartbeat_at = Some(now);
        self.expires_at = now + PEER_LIFETIME;
        if let Some(reports) = heartbeat.reports {
            self.reports = reports;
            self.reports_at = Some(now);
        }
    }

    /// Merges failure reports of the peer, which arrive before its next heartbeat.
    pub(crate) fn handle_failure_reports(&mut self, reports: &[FailureReport]) {
        for report in reports {
            let has_capacity = self.reports.len() < MAX_UPSTREAM_REPORTS + MAX_FAILURE_REPORTS;
            let known = self.reports.iter_mut().find(|held| held.tag == report.tag);
            match known {
                Some(held) => held.answers = report.answers,
                None if has_capacity => self.reports.push(UpstreamReport {
                    tag: report.tag,
                    flows: 0,
                    heard_ago: None,
                    answers: report.answers,
                }),
                None => {}
            }
        }
    }

    /// Whether its last heartbeat is recent and stated that it reads the store, and the store's last
    /// confirmation to it is recent too. Readers of other zones do not state their confirmations.
    pub(crate) fn is_current_reader(&self, now: Instant) -> bool {
        let ago = self
            .last_heartbeat_at
            .map(|at| now.saturating_duration_since(at));
        self.reads
            && ago.is_some_and(|ago| ago < READER_HEARTBEAT_TIMEOUT)
            && self.confirmed.is_none_or(|span| span.is_current(now))
    }

    /// Whether its state has something that the state of `held` lacks. Hosts at the same position
    /// may have different configurations, because one that the store lost stays in force on the
    /// hosts that had it.
    pub(crate) fn is_ahead_of(&self, held: &StateQuery) -> bool {
        let newer_routes = self.version > held.version && self.through >= held.after;
        self.through > held.after || newer_routes
    }

    /// Whether state may be requested from it; false for some time after it failed to send one.
    pub(crate) fn may_serve_state(&self, now: Instant) -> bool {
        self.source_backoff_until.is_none_or(|until| now >= until)
    }

    /// Whether this host has neither received a heartbeat from it nor sent it a hello.
    pub(crate) fn is_uncontacted(&self) -> bool {
        self.last_heartbeat_at.is_none() && self.next_hello_at.is_none()
    }
}
