//! The one door to a host's control decisions: events and the present time in, actions out.
//!
//! It decides whether this host reads the platform, which peers it keeps links to, what it passes
//! on, and which configuration its entry daemon gets. Given the same events at the same times and
//! the same seed, the actions are the same.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::byte_budget::ByteBudget;
use crate::config_force::FORCE_GAP;
use crate::config_force::ForceState;
use crate::config_relay::ConfigRelay;
use crate::config_snapshot::HostEntry;
use crate::config_snapshot::HostView;
use crate::config_store::ConfigStore;
use crate::config_value::EntryDoc;
use crate::config_value::HOSTS_PREFIX;
use crate::control_event::ControlAction;
use crate::control_event::ControlEvent;
use crate::ids::ConfigKey;
use crate::ids::HostId;
use crate::ids::Version;
use crate::ids::ZoneName;
use crate::platform_feed::FeedDemand;
use crate::platform_feed::PlatformFeed;
use crate::reader_duty::READER_SILENCE;
use crate::reader_duty::ReaderDuty;
use crate::reader_rank::FAR_LINKS;
use crate::reader_rank::NEAR_LINKS;
use crate::reader_rank::link_rankings;
use crate::reader_rank::reader_ranking;
use crate::relay_message::ReaderBeat;
use crate::result_code::ResultCode;
use crate::snapshot_compiler::SnapshotCompiler;

/// Longest time between two [`ControlEvent::Tick`] events.
pub const CONTROL_TICK: Duration = Duration::from_millis(50);
/// How long an unreachable peer is left alone.
const LINK_RETRY: Duration = Duration::from_secs(5);
/// Peers that a starting host hears before it serves while the platform does not answer.
const BOOT_PEERS: usize = 3;
/// How long a starting host waits for so many.
const BOOT_PATIENCE: Duration = Duration::from_secs(5);
/// Seconds of the byte budget that may be saved up.
///
/// Over any time the bytes sent are at most the rate times that time and these seconds. With two
/// seconds a burst of 1,000 changes took minutes to pass four hops.
const BURST_SECONDS: u32 = 30;
/// Bytes that may be read from the platform at once: a zone's whole configuration.
const READ_BURST: u32 = 2_000_000;

/// What a host's control daemon knows of itself.
#[derive(Clone, Debug)]
pub struct ControlIdentity {
    /// The host's number in the published list.
    pub host: HostId,
    /// The availability zone it is in.
    pub zone: ZoneName,
    /// Prefixes of the keys that it needs.
    pub prefixes: Vec<ConfigKey>,
    /// Bytes a second that it may send for control.
    pub send_rate: u32,
    /// Bytes a second that it may read from the platform.
    pub read_rate: u32,
    /// Larger at each start of the host's control daemon; its beats begin here.
    pub first_beat: ReaderBeat,
    /// Seed of the jitter.
    pub seed: u64,
}

/// The control decisions of one host.
pub struct ControlCore {
    identity: ControlIdentity,
    store: ConfigStore,
    feed: PlatformFeed,
    relay: ConfigRelay,
    compiler: SnapshotCompiler,
    hosts: Arc<HostView>,
    near_peers: Vec<HostId>,
    far_peers: Vec<HostId>,
    /// Peers that are not tried before a time.
    avoided: BTreeMap<HostId, Instant>,
    /// Peers that were asked for a link and have not answered.
    connecting: BTreeMap<HostId, Instant>,
    duty: ReaderDuty,
    reading: bool,
    /// When a peer was last linked.
    accompanied: Instant,
    started: Instant,
    ready: bool,
    force: ForceState,
}

/// What a control core reports of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ControlStatus {
    /// Whether the entry daemon was given a configuration.
    pub ready: bool,
    /// Whether this host reads the platform.
    pub reading: bool,
    /// Whether the platform answered the last call with nothing older than what is held.
    pub platform_in_touch: bool,
    /// Whether the platform's last answer was older than what is held.
    pub platform_stale: bool,
    /// Version in force.
    pub version: Version,
    /// Every change up to this revision is held.
    pub through: Version,
    /// Links open.
    pub links: usize,
    /// States handed over although some keys were ahead of others.
    pub mixed: u64,
    /// States refused whole.
    pub refused: u64,
}

impl ControlCore {
    /// Makes a host that knows nothing yet.
    pub fn new(now: Instant, identity: ControlIdentity) -> Self {
        let burst = identity.send_rate.saturating_mul(BURST_SECONDS);
        let budget = ByteBudget::new(now, identity.send_rate, burst);
        let read_budget = ByteBudget::new(now, identity.read_rate, READ_BURST);
        Self {
            store: ConfigStore::default(),
            feed: PlatformFeed::new(now, &identity.prefixes, read_budget, identity.seed),
            relay: ConfigRelay::new(now, identity.host, budget),
            compiler: SnapshotCompiler::default(),
            hosts: Arc::default(),
            near_peers: Vec::new(),
            far_peers: Vec::new(),
            avoided: BTreeMap::new(),
            connecting: BTreeMap::new(),
            duty: ReaderDuty::new(now, identity.host, identity.first_beat),
            reading: false,
            accompanied: now,
            started: now,
            ready: false,
            force: ForceState::new(now),
            identity,
        }
    }

    /// Takes one event that happened at `now` and appends what is to be done to `actions`.
    ///
    /// `now` must not be smaller than in an earlier call.
    pub fn handle(&mut self, now: Instant, event: ControlEvent, actions: &mut Vec<ControlAction>) {
        match event {
            ControlEvent::PeerUp(host) => self.link_up(now, host),
            ControlEvent::PeerDown(host) => self.link_down(now, host),
            ControlEvent::PeerMessage { host, bytes } => {
                self.relay
                    .handle_message(now, &mut self.store, host, &bytes, actions);
            }
            ControlEvent::PlatformAnswer {
                call,
                answer,
                bytes,
            } => {
                self.feed.spend(bytes);
                self.feed
                    .take_answer(now, &mut self.store, call, answer, actions);
                self.poll_platform(now, actions);
            }
            ControlEvent::Tick => self.tick(now, actions),
        }
    }

    /// What this host holds.
    pub fn store(&self) -> &ConfigStore {
        &self.store
    }

    /// The reading of the platform, for its counts.
    pub fn feed(&self) -> &PlatformFeed {
        &self.feed
    }

    /// The relay, for its counts.
    pub fn relay(&self) -> &ConfigRelay {
        &self.relay
    }

    /// What is in force, and why.
    pub fn status(&self) -> ControlStatus {
        ControlStatus {
            ready: self.ready && self.force.version > 0,
            reading: self.reading,
            platform_in_touch: self.feed.in_touch(),
            platform_stale: self.feed.is_stale(),
            version: self.force.version,
            through: self.store.through(),
            links: self.relay.linked().count(),
            mixed: self.force.mixed,
            refused: self.force.refused,
        }
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        self.learn_hosts(now, actions);
        self.keep_links(now, actions);
        self.decide_reading(now);
        self.feed.sweep(&mut self.store);
        self.relay.need_keys(self.feed.missing());
        self.poll_platform(now, actions);
        self.relay.tick(now, &self.store, actions);
        self.become_ready(now);
        self.put_in_force(now, actions);
    }

    fn poll_platform(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let demand = FeedDemand {
            reading: self.reading,
            peers_deliver: self.relay.is_delivering(now),
        };
        self.feed.poll(now, &self.store, demand, actions);
    }

    /// Compiles the published lists of hosts when one of them changed.
    fn learn_hosts(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let lists = host_lists(&self.store);
        let version = lists.iter().copied().max().unwrap_or(0);
        if self.force.host_lists != lists {
            self.force.host_lists = lists;
            self.compile_hosts(now, version, actions);
        }
        self.hand_over_hosts(actions);
    }

    /// Hands the list of hosts to the entry daemon once no zone's part can be missing.
    ///
    /// The entry daemons count majorities over this list. With a part missing, each of two hosts
    /// could be a majority of its own, and a request would run twice; and a part that arrives late
    /// under a smaller version would never be taken in. So the list waits until the store is
    /// complete through its newest part.
    fn hand_over_hosts(&mut self, actions: &mut Vec<ControlAction>) {
        let version = self.hosts.version;
        let is_whole = version <= self.store.through();
        if version > self.force.hosts_version && is_whole && self.ready {
            self.force.hosts_version = version;
            actions.push(ControlAction::Hosts(Arc::clone(&self.hosts)));
        }
    }

    fn compile_hosts(&mut self, now: Instant, version: Version, actions: &mut Vec<ControlAction>) {
        let Some(published) = published_hosts(&self.store) else {
            self.refuse(
                version,
                "a list of hosts cannot be read".to_owned(),
                actions,
            );
            return;
        };
        let identity = &self.identity;
        let ranking = reader_ranking(&identity.zone, &published);
        self.duty.learn_ranking(now, ranking);
        (self.near_peers, self.far_peers) =
            link_rankings(identity.host, &identity.zone, &published);
        self.hosts = Arc::new(view_of(version, published));
    }

    fn link_up(&mut self, now: Instant, host: HostId) {
        self.connecting.remove(&host);
        self.avoided.remove(&host);
        let near = match self.hosts.host(host) {
            Some(entry) => entry.zone == self.identity.zone,
            None => true,
        };
        self.relay.open_link(now, host, near);
    }

    fn link_down(&mut self, now: Instant, host: HostId) {
        self.connecting.remove(&host);
        self.avoided.insert(host, now + LINK_RETRY);
        self.relay.close_link(host);
    }

    /// Opens links to the first peers in rank that can be reached, and closes silent ones.
    fn keep_links(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        for host in self.relay.silent_links(now) {
            actions.push(ControlAction::Disconnect(host));
            self.link_down(now, host);
        }
        self.avoided.retain(|_host, until| *until > now);
        self.connecting.retain(|_host, until| *until > now);
        if self.relay.linked().next().is_some() {
            self.accompanied = now;
        }
        let mut wanted = self.wanted_peers(&self.near_peers, NEAR_LINKS);
        wanted.extend(self.wanted_peers(&self.far_peers, FAR_LINKS));
        for host in wanted {
            let Some(entry) = self.hosts.host(host) else {
                continue;
            };
            self.connecting.insert(host, now + LINK_RETRY);
            actions.push(ControlAction::Connect {
                host,
                address: entry.control_address,
            });
        }
    }

    /// The peers among the first `count` reachable ones to which there is no link yet.
    fn wanted_peers(&self, ranking: &[HostId], count: usize) -> Vec<HostId> {
        ranking
            .iter()
            .filter(|host| !self.avoided.contains_key(*host))
            .take(count)
            .filter(|host| !self.relay.is_linked(**host) && !self.connecting.contains_key(*host))
            .copied()
            .collect()
    }

    fn decide_reading(&mut self, now: Instant) {
        let alone = now.saturating_duration_since(self.accompanied) >= READER_SILENCE;
        let beats = self.relay.beats();
        self.reading = self
            .duty
            .decide(now, |host| !beats.is_silent(now, host), alone);
        // Only a reader in touch with the platform says so: one that is cut off is replaced.
        if self.reading && self.feed.in_touch() {
            let beat = self.duty.next_beat(now);
            if let Some(beat) = beat {
                self.relay.hear_beat(now, self.identity.host, beat);
            }
        }
    }

    /// A starting host serves once it holds everything that the platform lists; or, while the
    /// platform does not answer, what several peers hold.
    ///
    /// One stale copy would otherwise be put in force on a host that has nothing to compare with.
    /// A host that reaches nobody stays without configuration and says so.
    fn become_ready(&mut self, now: Instant) {
        if self.ready {
            return;
        }
        let (informed, through) = self.relay.informed_peers();
        let waited = now.saturating_duration_since(self.started) >= BOOT_PATIENCE;
        let enough = informed >= BOOT_PEERS || (informed > 0 && waited);
        let caught_up = self.store.is_whole() && self.store.through() >= through;
        let by_peers = self.feed.is_failing() && enough && caught_up;
        let by_platform = self.feed.is_listed() && self.store.is_whole();
        self.ready = by_peers || by_platform;
    }

    fn put_in_force(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let digest = self.store.digest();
        if !self.ready || digest == self.force.digest || now < self.force.next {
            return;
        }
        let whole = self.store.is_whole();
        let Some(version) = self.force.next_version(now, &self.store) else {
            return;
        };
        self.force.digest = digest;
        self.force.next = now + FORCE_GAP;
        match self.compiler.compile(&self.store, version) {
            Ok(snapshot) => {
                self.force.accept(version, whole);
                actions.push(ControlAction::Config(snapshot));
            }
            Err(error) => self.refuse(version, error.to_string(), actions),
        }
    }

    fn refuse(&mut self, version: Version, fault: String, actions: &mut Vec<ControlAction>) {
        self.force.refused += 1;
        actions.push(ControlAction::Count(ResultCode::ConfigInvalid));
        actions.push(ControlAction::Refused { version, fault });
    }
}

/// Versions of the published lists of hosts, in key order.
fn host_lists(store: &ConfigStore) -> Vec<Version> {
    let lists = store.keys_under(HOSTS_PREFIX);
    lists.map(|(_key, stored)| stored.version).collect()
}

/// Every published host in ascending order; `None` if a list is invalid.
fn published_hosts(store: &ConfigStore) -> Option<Vec<HostEntry>> {
    let mut published = Vec::new();
    let lists = store
        .keys_under(HOSTS_PREFIX)
        .filter_map(|(_key, stored)| stored.value.as_ref());
    for list in lists {
        for doc in list.rows()?.values() {
            if let EntryDoc::Host(entry) = &**doc {
                published.push(entry.clone());
            }
        }
    }
    published.sort_unstable_by_key(|entry| entry.id);
    let unique = published.windows(2).all(|pair| pair[0].id != pair[1].id);
    unique.then_some(published)
}

fn view_of(version: Version, published: Vec<HostEntry>) -> HostView {
    let alive = published
        .iter()
        .filter(|host| !host.leaving)
        .map(|host| host.id)
        .collect();
    HostView {
        version,
        published,
        alive,
    }
}
