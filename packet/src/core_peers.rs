//! What a core tells the other hosts and learns from them.

use std::net::SocketAddrV4;
use std::time::Instant;

use crate::packet_core::PacketCore;
use crate::peer_beat::PeerBeat;

impl PacketCore {
    /// Takes in a peer's beat; true if the peer should get one in return at once.
    pub fn heard(&mut self, now: Instant, from: SocketAddrV4, beat: PeerBeat) -> bool {
        self.peers.heard(now, from, beat)
    }

    /// The beat to send now, and to whom; nobody between rounds.
    pub fn round(&mut self, now: Instant, stopping: bool) -> Option<(PeerBeat, Vec<SocketAddrV4>)> {
        let targets = self.peers.round(now, self.reads);
        if targets.is_empty() {
            return None;
        }
        Some((self.beat(now, stopping), targets))
    }

    /// What this host says of itself.
    pub fn beat(&mut self, now: Instant, stopping: bool) -> PeerBeat {
        PeerBeat {
            zone: self.zone.clone(),
            reads: self.reads && self.in_touch && !stopping,
            capacity: self.capacity,
            ready: self.is_ready() && !stopping,
            through: self.view.through(),
            named: self.peers.some_alive(now),
            reports: self.upstreams.reports(now),
            pools: self.upstreams.pool_reports(),
        }
    }

    /// The peer to ask for state that this host is missing.
    pub fn source(&mut self, now: Instant) -> Option<SocketAddrV4> {
        self.peers.source(now, self.view.through(), self.reads)
    }

    /// Whether this host is to read the store now.
    pub fn should_read(&mut self, now: Instant) -> bool {
        self.reads = self.role.decide(now, &self.peers);
        self.reads
    }

    /// The hosts to which a reader passes on what it has read.
    pub fn followers(&self, now: Instant) -> Vec<SocketAddrV4> {
        if self.reads {
            self.peers.near_addresses(now)
        } else {
            Vec::new()
        }
    }

    /// A host that does not read itself knows by its reader whether the store answers.
    pub(crate) fn follow_reader(&mut self, now: Instant) {
        if self.reads || !self.view.is_complete() {
            return;
        }
        if self.peers.has_reader(now) {
            self.steady_since.get_or_insert(now);
        } else {
            self.steady_since = None;
        }
    }
}
