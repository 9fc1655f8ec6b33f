//! What a host remembers of one other host.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy::ids::Version;
use lagoonproxy::ids::ZoneName;

use crate::peers::peer_heartbeat::FailureReport;
use crate::peers::peer_heartbeat::MOST_FAILURES;
use crate::peers::peer_heartbeat::MOST_REPORTS;
use crate::peers::peer_heartbeat::PeerHeartbeat;
use crate::peers::peer_heartbeat::UpstreamReport;
use crate::state::state_snapshot::StateQuery;
use crate::state::store_position::StorePosition;

/// How long a peer that reads the store may not be heard until another takes over: two heartbeats lost,
/// for readers send one to each host of their zone in each round.
const READER_SILENCE: Duration = Duration::from_millis(1600);

/// How long a peer that was heard once is still sent heartbeats: a host that is down for longer comes
/// back as a new process and speaks first.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// One other host.
#[derive(Clone, Debug)]
pub(crate) struct PeerRecord {
    /// Its zone: as it says, as the namer implies before, and empty if neither is known.
    pub(crate) zone: ZoneName,
    pub(crate) ready: bool,
    pub(crate) capacity: u32,
    pub(crate) through: StorePosition,
    /// The version of its configuration; `None` before the first.
    pub(crate) version: Option<Version>,
    /// When its last heartbeat came; `None` if it was only named by others.
    pub(crate) heard: Option<Instant>,
    /// When it may get a hello again out of turn; `None` if it never got one.
    pub(crate) hello_after: Option<Instant>,
    pub(crate) reports: Vec<UpstreamReport>,
    /// When the reports came.
    pub(crate) reported: Option<Instant>,
    /// When it is forgotten, unless it is heard before.
    pub(crate) forget_at: Instant,
    /// Until when it is not asked for state, after it gave none.
    pub(crate) no_source_until: Option<Instant>,
    reads: bool,
}

impl PeerRecord {
    /// A peer of which only others spoke.
    pub(crate) fn named(now: Instant, zone: ZoneName) -> Self {
        Self {
            zone,
            ready: false,
            capacity: 0,
            through: StorePosition::UNREAD,
            version: None,
            heard: None,
            hello_after: None,
            reports: Vec::new(),
            reported: None,
            forget_at: now + FORGET_AFTER,
            no_source_until: None,
            reads: false,
        }
    }

    /// Merges its heartbeat.
    pub(crate) fn hear(&mut self, now: Instant, heartbeat: PeerHeartbeat) {
        self.zone = heartbeat.zone;
        self.ready = heartbeat.ready;
        self.reads = heartbeat.reads;
        self.capacity = heartbeat.capacity;
        self.through = heartbeat.through;
        self.version = heartbeat.version;
        self.heard = Some(now);
        self.forget_at = now + FORGET_AFTER;
        if let Some(reports) = heartbeat.reports {
            self.reports = reports;
            self.reported = Some(now);
        }
    }

    /// Merges its failure reports, ahead of its next heartbeat.
    pub(crate) fn hear_failures(&mut self, reports: &[FailureReport]) {
        for report in reports {
            let room = self.reports.len() < MOST_REPORTS + MOST_FAILURES;
            let known = self.reports.iter_mut().find(|held| held.tag == report.tag);
            match known {
                Some(held) => held.answers = report.answers,
                None if room => self.reports.push(UpstreamReport {
                    tag: report.tag,
                    flows: 0,
                    heard_ago: None,
                    answers: report.answers,
                }),
                None => {}
            }
        }
    }

    /// Whether it said within the last heartbeats that it reads the store and is answered.
    pub(crate) fn reads_now(&self, now: Instant) -> bool {
        let ago = self.heard.map(|heard| now.saturating_duration_since(heard));
        self.reads && ago.is_some_and(|ago| ago < READER_SILENCE)
    }

    /// Whether it has what is missing in a state. Hosts at one position may have different configurations: one
    /// that the store has lost stays in force where it was.
    pub(crate) fn is_ahead_of(&self, held: &StateQuery) -> bool {
        let newer_routes = self.version > held.version && self.through >= held.after;
        self.through > held.after || newer_routes
    }

    /// Whether it did not just give no state.
    pub(crate) fn may_be_asked(&self, now: Instant) -> bool {
        self.no_source_until.is_none_or(|until| now >= until)
    }

    /// Whether nobody has spoken to it yet.
    pub(crate) fn is_uncontacted(&self) -> bool {
        self.heard.is_none() && self.hello_after.is_none()
    }
}
