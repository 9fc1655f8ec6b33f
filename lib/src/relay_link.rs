//! The state of a link to a peer: what the peer announced, what it requested, and what it was sent.

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

/// Interval of announcements while nothing changes.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval of announcements of changes; it bounds their bytes in a burst.
const MIN_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of entries in one part of a reply; about 4 KB.
const MAX_PART_ENTRIES: usize = 32;

/// A link to a peer.
pub(crate) struct PeerLink {
    /// Whether the peer is in the same zone.
    pub(crate) same_zone: bool,
    /// When the last message of the peer was received.
    pub(crate) last_received: Instant,
    /// Announced by the peer: it holds every change up to this revision.
    pub(crate) through: Version,
    /// Announced by the peer: equal on hosts that hold the same versions; 0 while some of its keys
    /// are ahead of others.
    pub(crate) digest: u64,
    /// Number of the peer's last request; smaller numbers are served first.
    pub(crate) request_number: u64,
    /// Whether the last part of a reply is still to be sent; that part may be empty.
    pub(crate) end_unsent: bool,
    /// Updates still to be sent to the peer, most urgent first.
    queue: VecDeque<QueuedUpdate>,
    /// Revision up to which the peer is complete after the queued updates; 0 if the reply does not
    /// say.
    queue_through: Version,
    announced: Option<Announcement>,
    next_announcement: Instant,
    next_change_announcement: Instant,
}

struct QueuedUpdate {
    class: TrafficClass,
    update: KeyUpdate,
}

impl PeerLink {
    /// Creates a link to a peer that has sent nothing yet.
    pub(crate) fn new(now: Instant, same_zone: bool) -> Self {
        Self {
            same_zone,
            last_received: now,
            through: 0,
            digest: 0,
            request_number: 0,
            end_unsent: false,
            queue: VecDeque::new(),
            queue_through: 0,
            announced: None,
            next_announcement: now,
            next_change_announcement: now,
        }
    }

    /// Whether to send the announcement now, since it has changed or the interval is over. `true`
    /// records it as sent.
    pub(crate) fn should_announce(&mut self, now: Instant, announcement: &Announcement) -> bool {
        let changed = self.announced.as_ref().is_none_or(|announced| {
            announced.through != announcement.through || announced.digest != announcement.digest
        });
        let due =
            now >= self.next_announcement || (changed && now >= self.next_change_announcement);
        if due {
            self.next_announcement = now + ANNOUNCE_INTERVAL;
            self.next_change_announcement = now + MIN_ANNOUNCE_INTERVAL;
            self.announced = Some(announcement.clone());
        }
        due
    }

    /// Queues a reply. A reply with every change replaces what is left of earlier ones; a reply
    /// with single keys, whose `through` is 0, is added to them.
    pub(crate) fn queue_updates(
        &mut self,
        request_number: u64,
        updates: Vec<KeyUpdate>,
        through: Version,
    ) {
        self.request_number = request_number;
        self.end_unsent = true;
        let mut queue: Vec<QueuedUpdate> = updates.into_iter().map(queue_entry).collect();
        if through == 0 {
            // A peer repeats its request after a timeout; the keys must not be sent twice.
            let requested_again: BTreeSet<ConfigKey> = queue
                .iter()
                .map(|queued| queued.update.key.clone())
                .collect();
            let earlier = self.queue.drain(..);
            queue.extend(earlier.filter(|queued| !requested_again.contains(&queued.update.key)));
        } else {
            self.queue_through = through;
        }
        queue.sort_by_key(|queued| queued.class);
        self.queue = queue.into();
    }

    /// Whether the next part of the reply belongs to a class.
    pub(crate) fn has_due(&self, class: TrafficClass) -> bool {
        match self.queue.front() {
            Some(head) => head.class == class,
            None => self.end_unsent && class == TrafficClass::Removal,
        }
    }

    /// Takes the next part off the queue. The last part says up to which revision the peer is
    /// complete.
    pub(crate) fn next_part(&mut self, class: TrafficClass) -> RelayMessage {
        let mut updates = Vec::new();
        let mut entries = 0;
        while entries < MAX_PART_ENTRIES
            && let Some(queued) = self.queue.pop_front_if(|queued| queued.class == class)
        {
            entries += entry_count(&queued.update);
            updates.push(queued.update);
        }
        let mut through = 0;
        if self.queue.is_empty() {
            through = std::mem::take(&mut self.queue_through);
            self.end_unsent = false;
        }
        RelayMessage::Updates { updates, through }
    }
}

fn queue_entry(update: KeyUpdate) -> QueuedUpdate {
    let class = match &update.body {
        _ if update.is_removal() => TrafficClass::Removal,
        UpdateBody::Whole(_) => TrafficClass::Repair,
        UpdateBody::Delta { .. } | UpdateBody::Deleted => TrafficClass::Change,
    };
    QueuedUpdate { class, update }
}

/// The number of entries that an update carries, at least 1.
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
