//! Sends and merges heartbeats and failure reports.

use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::ids::ZoneName;

use crate::packet_core::PacketCore;
use crate::peers::peer_heartbeat::FailureReport;
use crate::peers::peer_heartbeat::PeerHeartbeat;

/// Shortest interval between failure reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// A heartbeat and its targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedHeartbeat {
    /// The heartbeat.
    pub heartbeat: PeerHeartbeat,
    /// The peers to send it to.
    pub targets: Vec<SocketAddrV4>,
}

/// The result of merging a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatReplies {
    /// Whether the peer was unknown before.
    pub is_new: bool,
    /// Replies, to be sent at once.
    pub heartbeats: Vec<AddressedHeartbeat>,
}

impl PacketCore {
    /// Merges a peer's heartbeat and returns the replies to it.
    pub fn handle_heartbeat(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        heartbeat: PeerHeartbeat,
        stopping: bool,
    ) -> HeartbeatReplies {
        let outcome = self.peers.merge_heartbeat(now, from, heartbeat);
        let replies = outcome.hellos.into_iter().map(|target| {
            let zone = self.peers.zone_of(target);
            let mut heartbeat = self.heartbeat_for(now, &zone, stopping);
            // A reply must not ask for a reply: two hosts that both seek peers would reply to each
            // other endlessly.
            heartbeat.seeks = false;
            let targets = vec![target];
            AddressedHeartbeat { heartbeat, targets }
        });
        HeartbeatReplies {
            is_new: outcome.is_new,
            heartbeats: replies.collect(),
        }
    }

    /// Returns the heartbeats that are due; none between rounds.
    pub fn due_heartbeats(&mut self, now: Instant, stopping: bool) -> Vec<AddressedHeartbeat> {
        let lacks_state = self.snapshot.through().is_unread();
        let Some(round) = self.peers.due_round(now, self.role.reads(), lacks_state) else {
            return Vec::new();
        };
        let zone = self.zone.clone();
        let heartbeat = self.heartbeat_for(now, &zone, stopping);
        let remaining_local = AddressedHeartbeat {
            heartbeat: heartbeat.short_heartbeat(),
            targets: round.remaining_local,
        };
        let targets = round.local;
        let mut heartbeats = vec![remaining_local, AddressedHeartbeat { heartbeat, targets }];
        for (zone, targets) in round.remote {
            let heartbeat = self.heartbeat_for(now, &zone, stopping);
            heartbeats.push(AddressedHeartbeat { heartbeat, targets });
        }
        heartbeats.retain(|addressed| !addressed.targets.is_empty());
        heartbeats
    }

    /// Returns the heartbeat for hosts of a zone; the name is empty if their zone is not known.
    /// Hosts of other zones get no upstream reports: they do not use them, and bytes between zones
    /// have a price.
    pub fn heartbeat_for(
        &mut self,
        now: Instant,
        zone: &ZoneName,
        stopping: bool,
    ) -> PeerHeartbeat {
        let is_local = *zone == self.zone;
        let reads = self.role.reads() && self.store_reachable && !stopping;
        let span = self.confirmation.span().filter(|_span| reads && is_local);
        PeerHeartbeat {
            zone: self.zone.clone(),
            reads,
            confirmation: span.map(|span| span.report(now)),
            capacity: self.capacity,
            ready: self.is_ready() && !stopping,
            seeks: self.snapshot.through().is_unread() || self.peers.lacks_local_peer(now),
            through: self.snapshot.through(),
            version: self.snapshot.query().version,
            reader: self.peers.reader(now, zone),
            named: self.peers.sample_peers_in(now, zone),
            others: self.peers.sample_peers_outside(now, zone),
            reports: is_local.then(|| self.upstreams.reports(now)),
        }
    }

    /// Returns a short heartbeat for hosts of the own zone, to send between rounds.
    pub fn short_heartbeat(&mut self, now: Instant, stopping: bool) -> PeerHeartbeat {
        let zone = self.zone.clone();
        self.heartbeat_for(now, &zone, stopping).short_heartbeat()
    }

    /// Returns the failure reports that are due and their targets; `None` if no request has failed
    /// since the last reports, or if those were sent less than 200 ms ago.
    pub fn due_failure_reports(
        &mut self,
        now: Instant,
    ) -> Option<(Vec<FailureReport>, Vec<SocketAddrV4>)> {
        let failures = self.flow_tracker.failures();
        if failures == self.failures_reported || self.next_report.is_some_and(|next| now < next) {
            return None;
        }
        self.failures_reported = failures;
        self.next_report = Some(now + REPORT_INTERVAL);
        let reports = self.upstreams.failure_reports();
        let targets = self.peers.report_targets(now);
        (!reports.is_empty() && !targets.is_empty()).then_some((reports, targets))
    }

    /// Merges a peer's failure reports.
    pub fn handle_failure_reports(&mut self, from: SocketAddrV4, reports: &[FailureReport]) {
        self.peers.handle_failure_reports(from, reports);
    }
}
