//! Decides whether a host reads the platform for its zone, from the heartbeats of the hosts ranked
//! above it.
//!
//! Load pattern: a reader crashes, freezes or loses its connection to the platform. Without a
//! replacement, its zone would receive no changes. If every host replaced it, a platform outage
//! would end with the whole fleet calling the platform.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::HostId;
use crate::reader_rank::READERS_PER_ZONE;
use crate::relay_message::ReaderHeartbeat;

/// Interval of heartbeats of a reader that is in touch with the platform.
pub const READER_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a heartbeat after which a reader is replaced: three missed heartbeats.
///
/// With 7 s, a change after the failure of both readers of a zone took up to 7 s; changes have to
/// be in force within 5 s.
pub const READER_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Additional delay per rank before a host replaces a reader, so that one host does and not all.
const REPLACEMENT_STAGGER: Duration = Duration::from_secs(1);

/// Number of hosts of a zone that may become readers, which bounds the calls while the platform
/// does not respond.
///
/// Without the bound, a platform that returns after hours would face attempts of all 14,000 hosts.
const MAX_READER_RANK: usize = 16;
/// Maximum age of heartbeats that are passed on, so that an old one does not circulate forever.
const MAX_FORWARDED_HEARTBEAT_AGE: Duration = Duration::from_secs(2);
/// How long a heartbeat is remembered; longer than it can circulate.
const READER_HEARTBEAT_LIFETIME: Duration = Duration::from_secs(60);

struct ReceivedHeartbeat {
    heartbeat: ReaderHeartbeat,
    received_at: Instant,
}

/// The latest heartbeats of a zone's readers.
#[derive(Default)]
pub struct ReaderHeartbeats {
    latest: BTreeMap<HostId, ReceivedHeartbeat>,
}

impl ReaderHeartbeats {
    /// Records a heartbeat; one with a number that is not larger than the last one is ignored.
    pub fn record(&mut self, now: Instant, host: HostId, heartbeat: ReaderHeartbeat) {
        let newer = self
            .latest
            .get(&host)
            .is_none_or(|received| heartbeat > received.heartbeat);
        if newer {
            self.latest.insert(
                host,
                ReceivedHeartbeat {
                    heartbeat,
                    received_at: now,
                },
            );
        }
    }

    /// Whether no new heartbeat of a reader was received for [`READER_TIMEOUT`].
    pub fn is_silent(&self, now: Instant, host: HostId) -> bool {
        let received = self.latest.get(&host);
        received.is_none_or(|received| {
            now.saturating_duration_since(received.received_at) >= READER_TIMEOUT
        })
    }

    /// The heartbeats that are recent enough to be passed on.
    pub fn forwardable(&self, now: Instant) -> Vec<(HostId, ReaderHeartbeat)> {
        let age =
            |received: &ReceivedHeartbeat| now.saturating_duration_since(received.received_at);
        self.latest
            .iter()
            .filter(|(_host, received)| age(received) <= MAX_FORWARDED_HEARTBEAT_AGE)
            .map(|(host, received)| (*host, received.heartbeat))
            .collect()
    }

    /// Removes heartbeats older than `READER_HEARTBEAT_LIFETIME`.
    pub fn remove_expired(&mut self, now: Instant) {
        self.latest.retain(|_host, received| {
            now.saturating_duration_since(received.received_at) < READER_HEARTBEAT_LIFETIME
        });
    }
}

/// The state from which a host decides whether it is a reader of its zone.
pub struct ReaderRole {
    host: HostId,
    ranking: Vec<HostId>,
    heartbeat: ReaderHeartbeat,
    next_due: Instant,
    /// When the heartbeats of [`READERS_PER_ZONE`] higher-ranked hosts were last received in time.
    last_covered: Instant,
}

impl ReaderRole {
    /// Creates the state of a host that has no ranking yet.
    pub fn new(now: Instant, host: HostId, first_heartbeat: ReaderHeartbeat) -> Self {
        Self {
            host,
            ranking: Vec::new(),
            heartbeat: first_heartbeat,
            next_due: now,
            last_covered: now,
        }
    }

    /// Sets the ranking of the zone's hosts, highest-ranked reader first.
    pub fn set_ranking(&mut self, now: Instant, ranking: Vec<HostId>) {
        if self.ranking.is_empty() {
            // Readers that were not known so far cannot have missed heartbeats.
            self.last_covered = now;
        }
        self.ranking = ranking;
    }

    /// Whether to read the platform: if the host is among the first in rank, if it replaces missing
    /// readers, if no peer can be reached, or if no ranking is known yet.
    pub fn decide(&mut self, now: Instant, is_heard: impl Fn(HostId) -> bool, alone: bool) -> bool {
        let readers = READERS_PER_ZONE;
        let rank = self.ranking.iter().position(|host| *host == self.host);
        let rank = rank.unwrap_or(usize::MAX);
        let higher_ranked = self.ranking.iter().take(rank);
        let heard = higher_ranked.filter(|host| is_heard(**host)).count();
        if heard >= readers {
            self.last_covered = now;
        }
        let uncovered_for = now.saturating_duration_since(self.last_covered);
        let replaces = (readers..MAX_READER_RANK).contains(&rank)
            && heard < readers
            && uncovered_for >= self.replacement_delay(rank);
        rank < readers || replaces || alone || self.ranking.is_empty()
    }

    /// The next heartbeat of this host if one is due.
    pub fn next_reader_heartbeat(&mut self, now: Instant) -> Option<ReaderHeartbeat> {
        if now < self.next_due {
            return None;
        }
        self.next_due = now + READER_HEARTBEAT_INTERVAL;
        self.heartbeat += 1;
        Some(self.heartbeat)
    }

    fn replacement_delay(&self, rank: usize) -> Duration {
        let extra_ranks = (rank - READERS_PER_ZONE) as u32;
        REPLACEMENT_STAGGER * extra_ranks
    }
}
