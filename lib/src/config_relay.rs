//! Distributes configuration among hosts: each announces what it holds and pulls what it lacks.
//!
//! Load pattern: one reader learns of a change, and the 424 hosts of a zone need it within seconds,
//! at a few kilobytes a second each. Pushing the change along every link would bring each host
//! several copies. Only small announcements are therefore sent on every link, and each host pulls
//! one copy from a neighbour that announced it. A host that was disconnected catches up by the same
//! pull.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::byte_budget::ByteBudget;
use crate::byte_budget::TrafficClass;
use crate::config_store::ConfigStore;
use crate::config_store::JoinResult;
use crate::config_store::KeyUpdate;
use crate::control_event::ControlAction;
use crate::ids::ConfigKey;
use crate::ids::HostId;
use crate::ids::Version;
use crate::key_fetch::KeyFetch;
use crate::reader_role::ReaderHeartbeats;
use crate::relay_link::PeerLink;
use crate::relay_message::Announcement;
use crate::relay_message::ReaderHeartbeat;
use crate::relay_message::RelayMessage;

/// Time without a message after which a link counts as lost: three missed announcements.
pub const LINK_TIMEOUT: Duration = Duration::from_secs(4);
/// Timeout for each part of a reply; the pull then goes to another peer.
const PULL_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before a host pulls over a costly link to another zone, so that its own zone can serve it
/// first.
const OTHER_ZONE_PULL_DELAY: Duration = Duration::from_secs(1);
/// Minimum interval between exchanges of whole version lists after digests differed.
const REPAIR_INTERVAL: Duration = Duration::from_secs(10);
/// Bytes that a message costs beyond its own length: headers of the link, TCP and IP.
pub const MESSAGE_OVERHEAD_BYTES: usize = 60;

/// A pull in progress from one peer.
struct OpenPull {
    peer: HostId,
    deadline: Instant,
    /// Keys whose whole value was requested, since a delta did not apply.
    missing: BTreeSet<ConfigKey>,
    /// Revision up to which the store is complete once `missing` is empty; 0 if not yet known.
    through: Version,
}

/// Counters of the relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayCounts {
    /// Messages sent.
    pub messages_sent: u64,
    /// Bytes sent, overhead included.
    pub bytes_sent: u64,
    /// Bytes received, overhead included.
    pub bytes_received: u64,
    /// Keys received from peers in a newer version than the one held.
    pub keys_joined: u64,
    /// Keys received from peers in a version that was held already.
    pub keys_known: u64,
    /// Messages that could not be decoded or encoded.
    pub malformed: u64,
    /// Pulls started, those for repair included.
    pub pulls_sent: u64,
    /// Exchanges of whole version lists after digests differed.
    pub repairs: u64,
}

/// The links of a host, and the pulls and replies on them.
pub struct ConfigRelay {
    host: HostId,
    links: BTreeMap<HostId, PeerLink>,
    open_pull: Option<OpenPull>,
    fetch: KeyFetch,
    reader_heartbeats: ReaderHeartbeats,
    budget: ByteBudget,
    /// Time since which a peer has announced a newer state than this host's.
    behind_since: Option<Instant>,
    next_repair: Instant,
    /// Number of requests received from peers, which orders the replies.
    request_number: u64,
    counts: RelayCounts,
}

impl ConfigRelay {
    /// Creates a relay without links.
    pub fn new(now: Instant, host: HostId, budget: ByteBudget) -> Self {
        Self {
            host,
            links: BTreeMap::new(),
            open_pull: None,
            fetch: KeyFetch::default(),
            reader_heartbeats: ReaderHeartbeats::default(),
            budget,
            behind_since: None,
            next_repair: now,
            request_number: 0,
            counts: RelayCounts::default(),
        }
    }

    /// The counters since the start.
    pub fn counts(&self) -> RelayCounts {
        self.counts
    }

    /// The byte budget of sent messages, for its counters.
    pub fn budget(&self) -> &ByteBudget {
        &self.budget
    }

    /// Adds a link that was opened; `same_zone` says whether the peer is in this host's zone.
    pub fn open_link(&mut self, now: Instant, host: HostId, same_zone: bool) {
        let link = PeerLink::new(now, same_zone);
        self.links.insert(host, link);
    }

    /// Removes a link and abandons the pull from its peer.
    pub fn close_link(&mut self, host: HostId) {
        self.links.remove(&host);
        self.open_pull.take_if(|open_pull| open_pull.peer == host);
        self.fetch.remove_peer(host);
    }

    /// Whether a link to the host is open.
    pub fn is_linked(&self, host: HostId) -> bool {
        self.links.contains_key(&host)
    }

    /// The linked hosts in ascending order, each with whether it is in the same zone.
    pub fn linked(&self) -> impl Iterator<Item = (HostId, bool)> {
        self.links
            .iter()
            .map(|(host, link)| (*host, link.same_zone))
    }

    /// The links on which nothing was received for [`LINK_TIMEOUT`].
    pub fn timed_out_links(&self, now: Instant) -> Vec<HostId> {
        let timed_out =
            |link: &PeerLink| now.saturating_duration_since(link.last_received) >= LINK_TIMEOUT;
        self.links
            .iter()
            .filter(|(_host, link)| timed_out(link))
            .map(|(host, _link)| *host)
            .collect()
    }

    /// The number of peers that announced a complete configuration, and the newest revision among
    /// them.
    pub fn peers_with_config(&self) -> (usize, Version) {
        let informed = self.links.values().filter(|link| link.through > 0);
        let through = informed.clone().map(|link| link.through).max();
        (informed.count(), through.unwrap_or(0))
    }

    /// Whether peers are sending this host keys that it lacks.
    pub fn is_delivering(&self, now: Instant) -> bool {
        self.open_pull.is_some() || self.fetch.is_delivering(now)
    }

    /// Replaces the set of keys that the platform listed and this host lacks.
    pub fn set_missing_keys(&mut self, missing: BTreeMap<ConfigKey, Version>) {
        self.fetch.set_missing(missing);
    }

    /// The heartbeats received from the zone's readers.
    pub fn reader_heartbeats(&self) -> &ReaderHeartbeats {
        &self.reader_heartbeats
    }

    /// Records a reader's heartbeat, also this host's own.
    pub fn record_heartbeat(&mut self, now: Instant, host: HostId, heartbeat: ReaderHeartbeat) {
        self.reader_heartbeats.record(now, host, heartbeat);
    }

    /// Handles a message from a linked peer; messages from other peers are ignored.
    pub fn handle_message(
        &mut self,
        now: Instant,
        store: &mut ConfigStore,
        host: HostId,
        bytes: &[u8],
        actions: &mut Vec<ControlAction>,
    ) {
        self.counts.bytes_received += (bytes.len() + MESSAGE_OVERHEAD_BYTES) as u64;
        let Some(link) = self.links.get_mut(&host) else {
            return;
        };
        link.last_received = now;
        let Ok(message) = RelayMessage::decode(bytes) else {
            self.counts.malformed += 1;
            return;
        };
        match message {
            RelayMessage::Announce(announcement) => {
                self.handle_announcement(now, store, host, &announcement, actions);
            }
            RelayMessage::PullChanges { after, ahead } => {
                let updates = store.updates_after(after, &ahead);
                self.queue_updates(host, updates, store.through());
            }
            RelayMessage::PullKeys { held, only_named } => {
                let updates = store.updates_for(&held, only_named);
                let through = if only_named { 0 } else { store.through() };
                self.queue_updates(host, updates, through);
            }
            RelayMessage::Updates { updates, through } => {
                self.handle_updates(now, store, host, &updates, through, actions);
            }
        }
    }

    fn handle_announcement(
        &mut self,
        now: Instant,
        store: &ConfigStore,
        host: HostId,
        announcement: &Announcement,
        actions: &mut Vec<ControlAction>,
    ) {
        let Some(link) = self.links.get_mut(&host) else {
            return;
        };
        link.through = announcement.through;
        link.digest = announcement.digest;
        let same_zone = link.same_zone;
        if same_zone {
            for (reader, heartbeat) in &announcement.reader_heartbeats {
                self.record_heartbeat(now, *reader, *heartbeat);
            }
        }
        let is_pulling = self.open_pull.is_some() || self.fetch.is_needed();
        if same_zone && announcement.through > store.through() && !is_pulling {
            self.pull_from(now, store, host, actions);
        }
    }

    fn pull_from(
        &mut self,
        now: Instant,
        store: &ConfigStore,
        host: HostId,
        actions: &mut Vec<ControlAction>,
    ) {
        let message = RelayMessage::PullChanges {
            after: store.through(),
            ahead: store.ahead_of_through(),
        };
        self.start_pull(now, host);
        self.send(host, &message, actions);
    }

    fn start_pull(&mut self, now: Instant, peer: HostId) {
        self.counts.pulls_sent += 1;
        self.open_pull = Some(OpenPull {
            peer,
            deadline: now + PULL_TIMEOUT,
            missing: BTreeSet::new(),
            through: 0,
        });
    }

    fn handle_updates(
        &mut self,
        now: Instant,
        store: &mut ConfigStore,
        host: HostId,
        updates: &[KeyUpdate],
        through: Version,
        actions: &mut Vec<ControlAction>,
    ) {
        let mut without_base = BTreeMap::new();
        let mut newer_count = 0;
        for update in updates {
            match store.join_update(update) {
                JoinResult::Newer => newer_count += 1,
                JoinResult::Known => self.counts.keys_known += 1,
                JoinResult::BaseMissing => {
                    without_base.insert(update.key.clone(), 0);
                }
            }
        }
        self.counts.keys_joined += newer_count as u64;
        self.fetch.record_updates(now, store, host, newer_count);
        let Some(open_pull) = self
            .open_pull
            .as_mut()
            .filter(|open_pull| open_pull.peer == host)
        else {
            return;
        };
        open_pull.deadline = now + PULL_TIMEOUT;
        open_pull.through = open_pull.through.max(through);
        for update in updates {
            open_pull.missing.remove(&update.key);
        }
        open_pull.missing.extend(without_base.keys().cloned());
        if !without_base.is_empty() {
            let message = RelayMessage::PullKeys {
                held: without_base,
                only_named: true,
            };
            self.send(host, &message, actions);
            return;
        }
        if open_pull.through > 0 && open_pull.missing.is_empty() {
            store.complete(open_pull.through);
            self.open_pull = None;
        }
    }

    fn queue_updates(&mut self, host: HostId, updates: Vec<KeyUpdate>, through: Version) {
        self.request_number += 1;
        if let Some(link) = self.links.get_mut(&host) {
            link.queue_updates(self.request_number, updates, through);
        }
    }

    /// Expires pulls and heartbeats, and sends announcements, replies and pulls that are due.
    pub fn tick(&mut self, now: Instant, store: &ConfigStore, actions: &mut Vec<ControlAction>) {
        self.open_pull
            .take_if(|open_pull| open_pull.deadline <= now);
        self.reader_heartbeats.remove_expired(now);
        self.announce(now, store, actions);
        self.send_queued(now, actions);
        self.pull(now, store, actions);
        self.fetch_keys(now, store, actions);
        self.repair(now, store, actions);
    }

    fn announce(&mut self, now: Instant, store: &ConfigStore, actions: &mut Vec<ControlAction>) {
        let reader_heartbeats = self.reader_heartbeats.forwardable(now);
        let mut due = Vec::new();
        for (host, link) in &mut self.links {
            let announcement = Announcement {
                through: store.through(),
                digest: announced_digest(store),
                reader_heartbeats: if link.same_zone {
                    reader_heartbeats.clone()
                } else {
                    Vec::new()
                },
            };
            if link.should_announce(now, &announcement) {
                due.push((*host, announcement));
            }
        }
        for (host, announcement) in due {
            self.send(host, &RelayMessage::Announce(announcement), actions);
        }
    }

    /// Sends queued updates, the most urgent class of all links first.
    ///
    /// Within a class, the peer that asked first gets its whole reply before the next, so that it
    /// can soon serve others. Sharing the budget among all peers would delay every one of them.
    fn send_queued(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let pending = self.links.iter().filter(|(_host, link)| link.end_unsent);
        let mut hosts: Vec<(u64, HostId)> = pending
            .map(|(host, link)| (link.request_number, *host))
            .collect();
        hosts.sort_unstable();
        for class in [
            TrafficClass::Removal,
            TrafficClass::Change,
            TrafficClass::Repair,
        ] {
            for (_asked, host) in &hosts {
                self.send_queued_to(now, *host, class, actions);
            }
        }
    }

    fn send_queued_to(
        &mut self,
        now: Instant,
        host: HostId,
        class: TrafficClass,
        actions: &mut Vec<ControlAction>,
    ) {
        while let Some(link) = self.links.get_mut(&host) {
            if !link.has_due(class) || !self.budget.allows(now, class) {
                return;
            }
            let message = link.next_part(class);
            self.send_classed(host, &message, class, actions);
        }
    }

    /// Pulls from a peer with a newer state; from another zone only after a delay.
    fn pull(&mut self, now: Instant, store: &ConfigStore, actions: &mut Vec<ControlAction>) {
        let ahead = |same_zone: bool| {
            self.links
                .iter()
                .filter(|(_host, link)| {
                    link.same_zone == same_zone && link.through > store.through()
                })
                .max_by_key(|(host, link)| (link.through, u64::from(**host).wrapping_mul(0x9e37)))
                .map(|(host, _link)| *host)
        };
        let (same_zone, other_zone) = (ahead(true), ahead(false));
        if same_zone.is_none() && other_zone.is_none() {
            self.behind_since = None;
            return;
        }
        let since = *self.behind_since.get_or_insert(now);
        if self.open_pull.is_some() || self.fetch.is_needed() {
            return;
        }
        let delay_elapsed = now.saturating_duration_since(since) >= OTHER_ZONE_PULL_DELAY;
        let host = same_zone.or_else(|| other_zone.filter(|_host| delay_elapsed));
        if let Some(host) = host {
            self.pull_from(now, store, host, actions);
        }
    }

    fn fetch_keys(&mut self, now: Instant, store: &ConfigStore, actions: &mut Vec<ControlAction>) {
        if !self.fetch.is_needed() {
            return;
        }
        let peers: Vec<HostId> = self.links.keys().copied().collect();
        for peer in peers {
            let held = self.fetch.next_keys(now, store, self.host, peer);
            if !held.is_empty() {
                let message = RelayMessage::PullKeys {
                    held,
                    only_named: true,
                };
                self.send(peer, &message, actions);
            }
        }
    }

    /// Compares whole version lists with a peer that is complete up to the same revision but has
    /// another digest: one of the two has lost keys or holds wrong ones.
    fn repair(&mut self, now: Instant, store: &ConfigStore, actions: &mut Vec<ControlAction>) {
        if self.open_pull.is_some() || now < self.next_repair || !store.is_whole() {
            return;
        }
        let differs = |link: &PeerLink| {
            let comparable = link.through == store.through() && link.digest != 0;
            comparable && link.digest != store.digest()
        };
        let host = self.links.iter().find(|(_host, link)| differs(link));
        let Some(host) = host.map(|(host, _link)| *host) else {
            return;
        };
        self.next_repair = now + REPAIR_INTERVAL;
        self.counts.repairs += 1;
        let held = store
            .keys()
            .map(|(key, stored)| (key.clone(), stored.version));
        let message = RelayMessage::PullKeys {
            held: held.collect(),
            only_named: false,
        };
        self.start_pull(now, host);
        self.send_classed(host, &message, TrafficClass::Repair, actions);
    }

    fn send(&mut self, host: HostId, message: &RelayMessage, actions: &mut Vec<ControlAction>) {
        self.send_classed(host, message, TrafficClass::Announce, actions);
    }

    fn send_classed(
        &mut self,
        host: HostId,
        message: &RelayMessage,
        class: TrafficClass,
        actions: &mut Vec<ControlAction>,
    ) {
        let Ok(bytes) = message.encode() else {
            self.counts.malformed += 1;
            return;
        };
        let size = bytes.len() + MESSAGE_OVERHEAD_BYTES;
        self.budget.spend(class, size);
        self.counts.messages_sent += 1;
        self.counts.bytes_sent += size as u64;
        actions.push(ControlAction::SendPeer { host, bytes, class });
    }
}

/// The store's digest, or 0 while some keys are ahead of others: digests of correct hosts differ
/// then.
fn announced_digest(store: &ConfigStore) -> u64 {
    if store.is_whole() { store.digest() } else { 0 }
}
