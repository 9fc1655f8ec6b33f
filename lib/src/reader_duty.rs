//! Whether a host reads the platform for its zone, judged by the beats of the hosts ranked ahead.
//!
//! Load pattern: a reader dies, freezes or loses its way to the platform. Without a replacement its
//! zone would learn of no change; if every host replaced it, a platform that answers nobody would
//! meet the whole fleet.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::HostId;
use crate::reader_rank::READERS_PER_ZONE;
use crate::relay_message::ReaderBeat;

/// How often a reader that is in touch with the platform says so.
pub const BEAT_PAUSE: Duration = Duration::from_secs(1);
/// A reader not heard of for so long is replaced: three beats missed.
///
/// With seven seconds, a change that followed the death of both readers of a zone took up to seven
/// seconds; all are to be in force within five.
pub const READER_SILENCE: Duration = Duration::from_millis(3_500);
/// How much longer each further host in rank waits, so that one replaces the reader, not all.
const READER_STAGGER: Duration = Duration::from_secs(1);

/// How many hosts of a zone may become readers while the platform answers nobody.
///
/// Without the bound a platform that comes back after hours meets 14,000 hosts that all try.
const MAX_READER_RANK: usize = 16;
/// Beats older than this are not passed on, so that an old one cannot circulate for ever.
const BEAT_FORWARD_AGE: Duration = Duration::from_secs(2);
/// Beats are remembered for longer than one can circulate.
const BEAT_MEMORY: Duration = Duration::from_secs(60);

struct HeardBeat {
    beat: ReaderBeat,
    heard: Instant,
}

/// The latest beats of a zone's readers.
#[derive(Default)]
pub struct ReaderBeats {
    beats: BTreeMap<HostId, HeardBeat>,
}

impl ReaderBeats {
    /// Takes note of a beat; one that did not grow says nothing new.
    pub fn hear(&mut self, now: Instant, host: HostId, beat: ReaderBeat) {
        let newer = self.beats.get(&host).is_none_or(|heard| beat > heard.beat);
        if newer {
            self.beats.insert(host, HeardBeat { beat, heard: now });
        }
    }

    /// Whether a reader was not heard of for [`READER_SILENCE`].
    pub fn is_silent(&self, now: Instant, host: HostId) -> bool {
        let heard = self.beats.get(&host);
        heard.is_none_or(|heard| now.saturating_duration_since(heard.heard) >= READER_SILENCE)
    }

    /// The beats to pass on.
    pub fn fresh(&self, now: Instant) -> Vec<(HostId, ReaderBeat)> {
        let age = |heard: &HeardBeat| now.saturating_duration_since(heard.heard);
        self.beats
            .iter()
            .filter(|(_host, heard)| age(heard) <= BEAT_FORWARD_AGE)
            .map(|(host, heard)| (*host, heard.beat))
            .collect()
    }

    /// Forgets beats that nobody passes on any more.
    pub fn forget_old(&mut self, now: Instant) {
        self.beats
            .retain(|_host, heard| now.saturating_duration_since(heard.heard) < BEAT_MEMORY);
    }
}

/// A host's place among the readers of its zone.
pub struct ReaderDuty {
    host: HostId,
    ranking: Vec<HostId>,
    beat: ReaderBeat,
    beat_due: Instant,
    /// When enough better readers were last heard.
    covered: Instant,
}

impl ReaderDuty {
    /// Makes a duty for a host that knows no ranking yet.
    pub fn new(now: Instant, host: HostId, first_beat: ReaderBeat) -> Self {
        Self {
            host,
            ranking: Vec::new(),
            beat: first_beat,
            beat_due: now,
            covered: now,
        }
    }

    /// Learns the usable hosts of the zone, best reader first.
    pub fn learn_ranking(&mut self, now: Instant, ranking: Vec<HostId>) {
        if self.ranking.is_empty() {
            // Nothing could be heard of readers that were not known.
            self.covered = now;
        }
        self.ranking = ranking;
    }

    /// Whether to read: if among the first in rank, if too few of the better ones are heard to read,
    /// if no peer can be reached, or if no list is known yet.
    pub fn decide(&mut self, now: Instant, is_heard: impl Fn(HostId) -> bool, alone: bool) -> bool {
        let readers = READERS_PER_ZONE;
        let rank = self.ranking.iter().position(|host| *host == self.host);
        let rank = rank.unwrap_or(usize::MAX);
        let better = self.ranking.iter().take(rank);
        let heard = better.filter(|host| is_heard(**host)).count();
        if heard >= readers {
            self.covered = now;
        }
        let uncovered = now.saturating_duration_since(self.covered);
        let replaces = (readers..MAX_READER_RANK).contains(&rank)
            && heard < readers
            && uncovered >= self.replacement_wait(rank);
        rank < readers || replaces || alone || self.ranking.is_empty()
    }

    /// The next beat, if it is time for one.
    pub fn next_beat(&mut self, now: Instant) -> Option<ReaderBeat> {
        if now < self.beat_due {
            return None;
        }
        self.beat_due = now + BEAT_PAUSE;
        self.beat += 1;
        Some(self.beat)
    }

    fn replacement_wait(&self, rank: usize) -> Duration {
        let later = (rank - READERS_PER_ZONE) as u32;
        READER_STAGGER * later
    }
}
