//! Passes configuration among the hosts: announce what is held, pull what is missing.
//!
//! Load pattern: one reader learns of a change, 424 hosts of a zone need it within seconds, and
//! each may spend a few kilobytes a second. Pushing along every link would bring each host several
//! copies; here only small announcements travel along every link, and each host pulls one copy from
//! a neighbour that announced it. The same pull brings a host up to date that was away.

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
use crate::reader_duty::ReaderBeats;
use crate::relay_link::PeerLink;
use crate::relay_message::Announcement;
use crate::relay_message::ReaderBeat;
use crate::relay_message::RelayMessage;

/// A link without a message for so long has ended without notice: three announcements missed.
pub const LINK_SILENCE: Duration = Duration::from_secs(4);
/// How long a part of an answer may take before another peer is asked.
const WANT_PATIENCE: Duration = Duration::from_secs(3);
/// How long a host waits for its own zone before it pulls over a costly link to another.
const FAR_PATIENCE: Duration = Duration::from_secs(1);
/// Pause between exchanges of whole version lists after digests differed.
const REPAIR_PAUSE: Duration = Duration::from_secs(10);
/// What a message costs beyond its bytes: headers of the link, TCP and IP.
pub const MESSAGE_OVERHEAD: usize = 60;

/// What this host asked a peer for.
struct OpenWant {
    peer: HostId,
    deadline: Instant,
    /// Keys of which the whole value was asked for, because a delta did not apply.
    missing: BTreeSet<ConfigKey>,
    /// Revision to be complete to once nothing is missing.
    through: Version,
}

/// Counts of what the relay did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayCounts {
    /// Messages sent.
    pub messages_sent: u64,
    /// Bytes sent, overhead included.
    pub bytes_sent: u64,
    /// Bytes received, overhead included.
    pub bytes_received: u64,
    /// Keys brought by peers that were newer.
    pub keys_joined: u64,
    /// Keys brought by peers that were known.
    pub keys_known: u64,
    /// Messages that could not be decoded.
    pub malformed: u64,
    /// Requests for changes sent.
    pub wants_sent: u64,
    /// Exchanges of version lists because digests differed.
    pub repairs: u64,
}

/// The links of a host and what passes over them.
pub struct ConfigRelay {
    host: HostId,
    links: BTreeMap<HostId, PeerLink>,
    want: Option<OpenWant>,
    fetch: KeyFetch,
    beats: ReaderBeats,
    budget: ByteBudget,
    /// Since when a peer is known to hold more than this host.
    behind_since: Option<Instant>,
    repair_from: Instant,
    /// Requests taken from peers.
    asked: u64,
    counts: RelayCounts,
}

impl ConfigRelay {
    /// Makes a relay without links.
    pub fn new(now: Instant, host: HostId, budget: ByteBudget) -> Self {
        Self {
            host,
            links: BTreeMap::new(),
            want: None,
            fetch: KeyFetch::default(),
            beats: ReaderBeats::default(),
            budget,
            behind_since: None,
            repair_from: now,
            asked: 0,
            counts: RelayCounts::default(),
        }
    }

    /// What was done since the start.
    pub fn counts(&self) -> RelayCounts {
        self.counts
    }

    /// The byte budget, for its counts.
    pub fn budget(&self) -> &ByteBudget {
        &self.budget
    }

    /// Opens a link; `near` if the peer is in the same zone.
    pub fn open_link(&mut self, now: Instant, host: HostId, near: bool) {
        let link = PeerLink::new(now, near);
        self.links.insert(host, link);
    }

    /// Forgets a link.
    pub fn close_link(&mut self, host: HostId) {
        self.links.remove(&host);
        self.want.take_if(|want| want.peer == host);
        self.fetch.forget(host);
    }

    /// Whether a link to the host is open.
    pub fn is_linked(&self, host: HostId) -> bool {
        self.links.contains_key(&host)
    }

    /// The hosts linked, in order, and whether each is in the same zone.
    pub fn linked(&self) -> impl Iterator<Item = (HostId, bool)> {
        self.links.iter().map(|(host, link)| (*host, link.near))
    }

    /// Links of which nothing was heard for [`LINK_SILENCE`].
    pub fn silent_links(&self, now: Instant) -> Vec<HostId> {
        let silent = |link: &PeerLink| now.saturating_duration_since(link.heard) >= LINK_SILENCE;
        self.links
            .iter()
            .filter(|(_host, link)| silent(link))
            .map(|(host, _link)| *host)
            .collect()
    }

    /// How many peers have said that they hold a complete configuration, and the newest of them.
    pub fn informed_peers(&self) -> (usize, Version) {
        let informed = self.links.values().filter(|link| link.through > 0);
        let through = informed.clone().map(|link| link.through).max();
        (informed.count(), through.unwrap_or(0))
    }

    /// Whether peers are bringing this host what it lacks.
    pub fn is_delivering(&self, now: Instant) -> bool {
        self.want.is_some() || self.fetch.is_delivering(now)
    }

    /// Learns which keys the platform listed and are not held.
    pub fn need_keys(&mut self, missing: BTreeMap<ConfigKey, Version>) {
        self.fetch.need(missing);
    }

    /// The beats heard of the zone's readers.
    pub fn beats(&self) -> &ReaderBeats {
        &self.beats
    }

    /// Takes note of a reader's beat, the own one included.
    pub fn hear_beat(&mut self, now: Instant, host: HostId, beat: ReaderBeat) {
        self.beats.hear(now, host, beat);
    }

    /// Takes a message of a linked peer.
    pub fn handle_message(
        &mut self,
        now: Instant,
        store: &mut ConfigStore,
        host: HostId,
        bytes: &[u8],
        actions: &mut Vec<ControlAction>,
    ) {
        self.counts.bytes_received += (bytes.len() + MESSAGE_OVERHEAD) as u64;
        let Some(link) = self.links.get_mut(&host) else {
            return;
        };
        link.heard = now;
        let Ok(message) = RelayMessage::decode(bytes) else {
            self.counts.malformed += 1;
            return;
        };
        match message {
            RelayMessage::Announce(announcement) => {
                self.take_announcement(now, store, host, &announcement, actions);
            }
            RelayMessage::Want { after, ahead } => {
                let updates = store.updates_after(after, &ahead);
                self.queue_updates(host, updates, store.through());
            }
            RelayMessage::WantKeys { held, only_named } => {
                let updates = store.updates_for(&held, only_named);
                let through = if only_named { 0 } else { store.through() };
                self.queue_updates(host, updates, through);
            }
            RelayMessage::Updates { updates, through } => {
                self.take_updates(now, store, host, &updates, through, actions);
            }
        }
    }

    fn take_announcement(
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
        let near = link.near;
        if near {
            for (reader, beat) in &announcement.beats {
                self.hear_beat(now, *reader, *beat);
            }
        }
        let asks = self.want.is_some() || self.fetch.is_needed();
        if near && announcement.through > store.through() && !asks {
            self.ask(now, store, host, actions);
        }
    }

    fn ask(
        &mut self,
        now: Instant,
        store: &ConfigStore,
        host: HostId,
        actions: &mut Vec<ControlAction>,
    ) {
        let message = RelayMessage::Want {
            after: store.through(),
            ahead: store.ahead_of_through(),
        };
        self.open_want(now, host);
        self.send(host, &message, actions);
    }

    fn open_want(&mut self, now: Instant, peer: HostId) {
        self.counts.wants_sent += 1;
        self.want = Some(OpenWant {
            peer,
            deadline: now + WANT_PATIENCE,
            missing: BTreeSet::new(),
            through: 0,
        });
    }

    fn take_updates(
        &mut self,
        now: Instant,
        store: &mut ConfigStore,
        host: HostId,
        updates: &[KeyUpdate],
        through: Version,
        actions: &mut Vec<ControlAction>,
    ) {
        let mut without_base = BTreeMap::new();
        let mut brought = 0;
        for update in updates {
            match store.join_update(update) {
                JoinResult::Newer => brought += 1,
                JoinResult::Known => self.counts.keys_known += 1,
                JoinResult::BaseMissing => {
                    without_base.insert(update.key.clone(), 0);
                }
            }
        }
        self.counts.keys_joined += brought as u64;
        self.fetch.take(now, store, host, brought);
        let Some(want) = self.want.as_mut().filter(|want| want.peer == host) else {
            return;
        };
        want.deadline = now + WANT_PATIENCE;
        want.through = want.through.max(through);
        for update in updates {
            want.missing.remove(&update.key);
        }
        want.missing.extend(without_base.keys().cloned());
        if !without_base.is_empty() {
            let message = RelayMessage::WantKeys {
                held: without_base,
                only_named: true,
            };
            self.send(host, &message, actions);
            return;
        }
        if want.through > 0 && want.missing.is_empty() {
            store.complete(want.through);
            self.want = None;
        }
    }

    fn queue_updates(&mut self, host: HostId, updates: Vec<KeyUpdate>, through: Version) {
        self.asked += 1;
        if let Some(link) = self.links.get_mut(&host) {
            link.queue_updates(self.asked, updates, through);
        }
    }

    /// Sends what is due and lets time pass.
    pub fn tick(&mut self, now: Instant, store: &ConfigStore, actions: &mut Vec<ControlAction>) {
        self.want.take_if(|want| want.deadline <= now);
        self.beats.forget_old(now);
        self.announce(now, store, actions);
        self.serve(now, actions);
        self.pull(now, store, actions);
        self.fetch_keys(now, store, actions);
        self.repair(now, store, actions);
    }

    fn announce(&mut self, now: Instant, store: &ConfigStore, actions: &mut Vec<ControlAction>) {
        let beats = self.beats.fresh(now);
        let mut due = Vec::new();
        for (host, link) in &mut self.links {
            let announcement = Announcement {
                through: store.through(),
                digest: announced_digest(store),
                beats: if link.near { beats.clone() } else { Vec::new() },
            };
            if link.announces(now, &announcement) {
                due.push((*host, announcement));
            }
        }
        for (host, announcement) in due {
            self.send(host, &RelayMessage::Announce(announcement), actions);
        }
    }

    /// Serves every link's most urgent parts before the less urgent ones of any.
    ///
    /// Within a class, the peer that asked first is served to the end, so that it can soon serve
    /// others; sharing the budget between all would complete none of them for long.
    fn serve(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let owed = self.links.iter().filter(|(_host, link)| link.owes_end);
        let mut hosts: Vec<(u64, HostId)> = owed.map(|(host, link)| (link.asked, *host)).collect();
        hosts.sort_unstable();
        for class in [
            TrafficClass::Removal,
            TrafficClass::Change,
            TrafficClass::Repair,
        ] {
            for (_asked, host) in &hosts {
                self.serve_link(now, *host, class, actions);
            }
        }
    }

    fn serve_link(
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

    /// Asks a peer that holds more; one of another zone only after the own zone had its time.
    fn pull(&mut self, now: Instant, store: &ConfigStore, actions: &mut Vec<ControlAction>) {
        let ahead = |near: bool| {
            self.links
                .iter()
                .filter(|(_host, link)| link.near == near && link.through > store.through())
                .max_by_key(|(host, link)| (link.through, u64::from(**host).wrapping_mul(0x9e37)))
                .map(|(host, _link)| *host)
        };
        let (near, far) = (ahead(true), ahead(false));
        if near.is_none() && far.is_none() {
            self.behind_since = None;
            return;
        }
        let since = *self.behind_since.get_or_insert(now);
        if self.want.is_some() || self.fetch.is_needed() {
            return;
        }
        let patience_over = now.saturating_duration_since(since) >= FAR_PATIENCE;
        let host = near.or_else(|| far.filter(|_host| patience_over));
        if let Some(host) = host {
            self.ask(now, store, host, actions);
        }
    }

    fn fetch_keys(&mut self, now: Instant, store: &ConfigStore, actions: &mut Vec<ControlAction>) {
        if !self.fetch.is_needed() {
            return;
        }
        let peers: Vec<HostId> = self.links.keys().copied().collect();
        for peer in peers {
            let held = self.fetch.ask(now, store, self.host, peer);
            if !held.is_empty() {
                let message = RelayMessage::WantKeys {
                    held,
                    only_named: true,
                };
                self.send(peer, &message, actions);
            }
        }
    }

    /// Hosts that are complete to the same revision hold the same versions; when their digests
    /// differ, one has lost or invented something, and whole version lists are compared.
    fn repair(&mut self, now: Instant, store: &ConfigStore, actions: &mut Vec<ControlAction>) {
        if self.want.is_some() || now < self.repair_from || !store.is_whole() {
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
        self.repair_from = now + REPAIR_PAUSE;
        self.counts.repairs += 1;
        let held = store
            .keys()
            .map(|(key, stored)| (key.clone(), stored.version));
        let message = RelayMessage::WantKeys {
            held: held.collect(),
            only_named: false,
        };
        self.open_want(now, host);
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
        let size = bytes.len() + MESSAGE_OVERHEAD;
        self.budget.spend(class, size);
        self.counts.messages_sent += 1;
        self.counts.bytes_sent += size as u64;
        actions.push(ControlAction::SendPeer { host, bytes, class });
    }
}

/// While some keys are ahead of others, digests of hosts that are both right differ.
fn announced_digest(store: &ConfigStore) -> u64 {
    if store.is_whole() { store.digest() } else { 0 }
}
