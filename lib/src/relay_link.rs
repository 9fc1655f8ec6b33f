//! A link to a peer: what it holds, what it asked for, and what it was told.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::byte_budget::TrafficClass;
use crate::config_store::KeyUpdate;
use crate::config_store::UpdateBody;
use crate::config_value::KeyValue;
use crate::ids::ConfigKey;
use crate::ids::Version;
use crate::relay_message::Announcement;
use crate::relay_message::RelayMessage;

/// Pause between announcements when nothing changes.
const ANNOUNCE_PAUSE: Duration = Duration::from_secs(1);
/// Shortest time between two announcements of changes; bounds their bytes in a burst.
const ANNOUNCE_GAP: Duration = Duration::from_millis(250);
/// Entries in one part of an answer; about four kilobytes.
const PART_ENTRIES: usize = 32;

/// A link to a peer.
pub(crate) struct PeerLink {
    /// Whether the peer is in the same zone.
    pub(crate) near: bool,
    /// When the peer was last heard.
    pub(crate) heard: Instant,
    /// What the peer announced: every change up to this revision.
    pub(crate) through: Version,
    /// What the peer announced: equal when the same versions are held, 0 while some are ahead.
    pub(crate) digest: u64,
    /// Order in which peers asked.
    pub(crate) asked: u64,
    /// Whether the end of an answer has not been sent, be there anything before it or not.
    pub(crate) owes_end: bool,
    /// What the peer asked for and has not been sent, most urgent first.
    queue: VecDeque<QueuedUpdate>,
    /// Revision that the peer is complete to after the queue; 0 if the answer does not say.
    queue_through: Version,
    announced: Option<Announcement>,
    announce_due: Instant,
    announce_from: Instant,
}

struct QueuedUpdate {
    class: TrafficClass,
    update: KeyUpdate,
}

impl PeerLink {
    /// Makes a link to a peer that has said nothing yet.
    pub(crate) fn new(now: Instant, near: bool) -> Self {
        Self {
            near,
            heard: now,
            through: 0,
            digest: 0,
            asked: 0,
            owes_end: false,
            queue: VecDeque::new(),
            queue_through: 0,
            announced: None,
            announce_due: now,
            announce_from: now,
        }
    }

    /// Whether an announcement is due, because it says something new or because it is time; it is
    /// taken as sent.
    pub(crate) fn announces(&mut self, now: Instant, announcement: &Announcement) -> bool {
        let changed = self.announced.as_ref().is_none_or(|announced| {
            announced.through != announcement.through || announced.digest != announcement.digest
        });
        let due = now >= self.announce_due || (changed && now >= self.announce_from);
        if due {
            self.announce_due = now + ANNOUNCE_PAUSE;
            self.announce_from = now + ANNOUNCE_GAP;
            self.announced = Some(announcement.clone());
        }
        due
    }

    /// Queues an answer. A request for every change replaces what is left of an earlier answer; one
    /// for single keys, with `through` 0, adds to it.
    pub(crate) fn queue_updates(&mut self, asked: u64, updates: Vec<KeyUpdate>, through: Version) {
        self.asked = asked;
        self.owes_end = true;
        let mut queue: Vec<QueuedUpdate> = updates.into_iter().map(queued).collect();
        if through == 0 {
            // A peer that lost patience asks again; what it asked for must not be sent twice.
            let again: BTreeSet<ConfigKey> = queue
                .iter()
                .map(|queued| queued.update.key.clone())
                .collect();
            let earlier = self.queue.drain(..);
            queue.extend(earlier.filter(|queued| !again.contains(&queued.update.key)));
        } else {
            self.queue_through = through;
        }
        queue.sort_by_key(|queued| queued.class);
        self.queue = queue.into();
    }

    /// Whether the next part of the answer belongs to a class.
    pub(crate) fn has_due(&self, class: TrafficClass) -> bool {
        match self.queue.front() {
            Some(head) => head.class == class,
            None => self.owes_end && class == TrafficClass::Removal,
        }
    }

    /// Takes the next part off the queue; the last one says what the peer is complete to.
    pub(crate) fn next_part(&mut self, class: TrafficClass) -> RelayMessage {
        let mut updates = Vec::new();
        let mut entries = 0;
        while entries < PART_ENTRIES
            && let Some(queued) = self.queue.pop_front_if(|queued| queued.class == class)
        {
            entries += entry_count(&queued.update);
            updates.push(queued.update);
        }
        let mut through = 0;
        if self.queue.is_empty() {
            through = std::mem::take(&mut self.queue_through);
            self.owes_end = false;
        }
        RelayMessage::Updates { updates, through }
    }
}

fn queued(update: KeyUpdate) -> QueuedUpdate {
    let class = match &update.body {
        _ if update.takes_away() => TrafficClass::Removal,
        UpdateBody::Whole(_) => TrafficClass::Repair,
        UpdateBody::Delta { .. } | UpdateBody::Deleted => TrafficClass::Change,
    };
    QueuedUpdate { class, update }
}

/// Entries that an update carries, at least one.
fn entry_count(update: &KeyUpdate) -> usize {
    let entries = match &update.body {
        UpdateBody::Deleted => 0,
        UpdateBody::Whole(value) => match &**value {
            KeyValue::Rows(rows) => rows.len(),
            KeyValue::Invalid(_) => 0,
        },
        UpdateBody::Delta { rows, .. } => rows.len(),
    };
    entries.max(1)
}
