//! What a core tells the other hosts and learns from them.

use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use crate::packet_core::PacketCore;
use crate::peer_beat::FailureReport;
use crate::peer_beat::PeerBeat;
use crate::peer_table::ReadState;

/// Pause between two words of failures. A word of ten upstreams to 24 hosts is 2 KB with the heads
/// of its datagrams, so that a host that meets failures all the time spends 10 KB/s.
const WORD_PAUSE: Duration = Duration::from_millis(200);

impl PacketCore {
    /// Takes in a peer's beat; true if the peer should get one in return at once.
    pub fn heard(&mut self, now: Instant, from: SocketAddrV4, beat: PeerBeat) -> bool {
        self.peers.heard(now, from, beat)
    }

    /// The beats to send now, each with whom it is for; none between rounds.
    pub fn round(&mut self, now: Instant, stopping: bool) -> Vec<(PeerBeat, Vec<SocketAddrV4>)> {
        let round = self.peers.round(now, self.reads);
        if round.is_empty() {
            return Vec::new();
        }
        let beat = self.beat(now, stopping);
        let mut beats = vec![
            (beat.for_other_zones(), round.far),
            (beat.sign_of_life(), round.led),
            (beat, round.near),
        ];
        beats.retain(|(_beat, targets)| !targets.is_empty());
        beats
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
            reports: Some(self.upstreams.reports(now)),
        }
    }

    /// The failures to tell the hosts of the zone now, and whom; `None` if there are no new ones.
    pub fn failure_word(
        &mut self,
        now: Instant,
    ) -> Option<(Vec<FailureReport>, Vec<SocketAddrV4>)> {
        let failures = self.evidence.failures();
        if failures == self.failures_told || self.next_word.is_some_and(|next| now < next) {
            return None;
        }
        self.failures_told = failures;
        self.next_word = Some(now + WORD_PAUSE);
        let reports = self.upstreams.failure_reports();
        let targets = self.peers.word_targets(now);
        (!reports.is_empty() && !targets.is_empty()).then_some((reports, targets))
    }

    /// Takes in what a peer says of failures.
    pub fn heard_failures(&mut self, from: SocketAddrV4, reports: &[FailureReport]) {
        self.peers.heard_failures(from, reports);
    }

    /// The peer to ask for state that this host is missing.
    pub fn source(&mut self, now: Instant) -> Option<SocketAddrV4> {
        self.peers
            .source(now, self.view.through(), self.read_state())
    }

    fn read_state(&self) -> ReadState {
        match (self.view.through(), self.in_touch, self.reads) {
            (0, false, _) => ReadState::Empty,
            (0, true, _) => ReadState::Listing,
            (_, _, true) => ReadState::Reading,
            (_, _, false) => ReadState::Following,
        }
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
