//! The decision core of a control daemon, which turns events and their times into actions.
//!
//! It decides whether this host reads the platform, which peers it is linked to, what it relays to
//! them, and which configuration its entry daemon gets. The core is deterministic: the same events
//! at the same times and the same seed give the same actions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::byte_budget::ByteBudget;
use crate::config_delivery::DeliveryState;
use crate::config_delivery::MIN_DELIVERY_INTERVAL;
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
use crate::reader_rank::OTHER_ZONE_LINKS;
use crate::reader_rank::SAME_ZONE_LINKS;
use crate::reader_rank::link_rankings;
use crate::reader_rank::reader_ranking;
use crate::reader_role::READER_TIMEOUT;
use crate::reader_role::ReaderRole;
use crate::relay_message::ReaderHeartbeat;
use crate::result_code::ResultCode;
use crate::snapshot_compiler::SnapshotCompiler;

/// Maximum time between two [`ControlEvent::Tick`] events.
pub const CONTROL_TICK: Duration = Duration::from_millis(50);
/// Time before a connection to an unreachable peer is tried again.
const LINK_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Peers with a configuration that a starting host needs before it serves without the platform.
const MIN_BOOT_PEERS: usize = 3;
/// Time after which a starting host needs only one such peer.
const BOOT_PEERS_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of the send bucket, in seconds of the byte rate.
///
/// In any period the host sends at most the rate times the period plus this many seconds. With two
/// seconds, a burst of 1,000 changes took minutes to pass four hops.
const BURST_SECONDS: u32 = 30;
/// Bytes that may be read from the platform in a burst; fits the whole configuration of a zone.
const READ_BURST_BYTES: u32 = 2_000_000;

/// The identity and the settings of a host's control core.
#[derive(Clone, Debug)]
pub struct ControlIdentity {
    /// The host's number in the published host list.
    pub host: HostId,
    /// The host's availability zone.
    pub zone: ZoneName,
    /// Prefixes of the platform keys that the host needs.
    pub prefixes: Vec<ConfigKey>,
    /// Bytes per second that the host may send to peers.
    pub send_rate: u32,
    /// Bytes per second that the host may read from the platform.
    pub read_rate: u32,
    /// Number of the first reader heartbeat, larger at each start of the host's control daemon.
    pub first_heartbeat: ReaderHeartbeat,
    /// Seed of the random jitter.
    pub seed: u64,
}

/// The decision core of one control daemon.
pub struct ControlCore {
    identity: ControlIdentity,
    store: ConfigStore,
    feed: PlatformFeed,
    relay: ConfigRelay,
    compiler: SnapshotCompiler,
    hosts: Arc<HostView>,
    near_peers: Vec<HostId>,
    far_peers: Vec<HostId>,
    /// Unreachable peers, and when a connection may be tried again.
    retry_times: BTreeMap<HostId, Instant>,
    /// Peers to which a connection is being opened, and when that counts as failed.
    connecting: BTreeMap<HostId, Instant>,
    duty: ReaderRole,
    reading: bool,
    /// Last time at which there was a link to any peer.
    last_linked: Instant,
    started: Instant,
    ready: bool,
    force: DeliveryState,
}

/// The status of a control core.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ControlStatus {
    /// Whether the entry daemon has been given a configuration.
    pub ready: bool,
    /// Whether this host is a reader of the platform.
    pub reading: bool,
    /// Whether the platform's last response was valid and not older than the stored state.
    pub platform_in_touch: bool,
    /// Whether the platform's last response was older than the stored state.
    pub platform_stale: bool,
    /// Version of the configuration in force.
    pub version: Version,
    /// Version up to which every change is stored.
    pub through: Version,
    /// Number of open links to peers.
    pub links: usize,
    /// States delivered to the entry daemon although some keys were ahead of others.
    pub mixed: u64,
    /// States rejected as a whole.
    pub refused: u64,
}

impl ControlCore {
    /// Creates a core without stored configuration.
    pub fn new(now: Instant, identity: ControlIdentity) -> Self {
        let burst = identity.send_rate.saturating_mul(BURST_SECONDS);
        let budget = ByteBudget::new(now, identity.send_rate, burst);
        let read_budget = ByteBudget::new(now, identity.read_rate, READ_BURST_BYTES);
        Self {
            store: ConfigStore::default(),
            feed: PlatformFeed::new(now, &identity.prefixes, read_budget, identity.seed),
            relay: ConfigRelay::new(now, identity.host, budget),
            compiler: SnapshotCompiler::default(),
            hosts: Arc::default(),
            near_peers: Vec::new(),
            far_peers: Vec::new(),
            retry_times: BTreeMap::new(),
            connecting: BTreeMap::new(),
            duty: ReaderRole::new(now, identity.host, identity.first_heartbeat),
            reading: false,
            last_linked: now,
            started: now,
            ready: false,
            force: DeliveryState::new(now),
            identity,
        }
    }

    /// Handles an event that happened at `now` and appends the resulting actions to `actions`.
    ///
    /// `now` must not be earlier than in a previous call.
    pub fn handle(&mut self, now: Instant, event: ControlEvent, actions: &mut Vec<ControlAction>) {
        match event {
            ControlEvent::PeerUp(host) => self.link_up(now, host),
            ControlEvent::PeerDown(host) => self.link_down(now, host),
            ControlEvent::PeerMessage { host, bytes } => {
                self.relay
                    .handle_message(now, &mut self.store, host, &bytes, actions);
            }
            ControlEvent::PlatformResponse {
                call,
                answer,
                bytes,
            } => {
                self.feed.spend(bytes);
                self.feed
                    .handle_response(now, &mut self.store, call, answer, actions);
                self.poll_platform(now, actions);
            }
            ControlEvent::Tick => self.tick(now, actions),
        }
    }

    /// The published values that this host has stored.
    pub fn store(&self) -> &ConfigStore {
        &self.store
    }

    /// The platform feed, for its counters.
    pub fn feed(&self) -> &PlatformFeed {
        &self.feed
    }

    /// The relay to peers, for its counters.
    pub fn relay(&self) -> &ConfigRelay {
        &self.relay
    }

    /// Returns the status of this core.
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
        self.update_hosts(now, actions);
        self.maintain_links(now, actions);
        self.decide_reading(now);
        self.feed.sweep(&mut self.store);
        self.relay.set_missing_keys(self.feed.missing());
        self.poll_platform(now, actions);
        self.relay.tick(now, &self.store, actions);
        self.update_readiness(now);
        self.deliver_config(now, actions);
    }

    fn poll_platform(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let demand = FeedDemand {
            reading: self.reading,
            peers_delivering: self.relay.is_delivering(now),
        };
        self.feed.poll(now, &self.store, demand, actions);
    }

    /// Compiles the published host lists when one of them has changed.
    fn update_hosts(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let lists = host_lists(&self.store);
        let version = lists.iter().copied().max().unwrap_or(0);
        if self.force.host_lists != lists {
            self.force.host_lists = lists;
            self.compile_hosts(now, version, actions);
        }
        self.deliver_hosts(actions);
    }

    /// Delivers the host list to the entry daemon once no zone's part can be missing.
    ///
    /// The entry daemons count majorities over this list. If a part were missing, each of two hosts
    /// could form a majority of its own and a request could run twice. A part that arrives late
    /// under a smaller version would also never be adopted. The list is therefore held until the
    /// store is complete through the version of its newest part.
    fn deliver_hosts(&mut self, actions: &mut Vec<ControlAction>) {
        let version = self.hosts.version;
        let is_whole = version <= self.store.through();
        if version > self.force.hosts_version && is_whole && self.ready {
            self.force.hosts_version = version;
            actions.push(ControlAction::Hosts(Arc::clone(&self.hosts)));
        }
    }

    fn compile_hosts(&mut self, now: Instant, version: Version, actions: &mut Vec<ControlAction>) {
        let Some(published) = published_hosts(&self.store) else {
            self.reject_config(
                version,
                "a list of hosts cannot be read".to_owned(),
                actions,
            );
            return;
        };
        let identity = &self.identity;
        let ranking = reader_ranking(&identity.zone, &published);
        self.duty.set_ranking(now, ranking);
        (self.near_peers, self.far_peers) =
            link_rankings(identity.host, &identity.zone, &published);
        self.hosts = Arc::new(host_view_of(version, published));
    }

    fn link_up(&mut self, now: Instant, host: HostId) {
        self.connecting.remove(&host);
        self.retry_times.remove(&host);
        let near = match self.hosts.host(host) {
            Some(entry) => entry.zone == self.identity.zone,
            None => true,
        };
        self.relay.open_link(now, host, near);
    }

    fn link_down(&mut self, now: Instant, host: HostId) {
        self.connecting.remove(&host);
        self.retry_times.insert(host, now + LINK_RETRY_DELAY);
        self.relay.close_link(host);
    }

    /// Opens links to the highest-ranked reachable peers and closes links that have timed out.
    fn maintain_links(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        for host in self.relay.timed_out_links(now) {
            actions.push(ControlAction::Disconnect(host));
            self.link_down(now, host);
        }
        self.retry_times.retain(|_host, until| *until > now);
        self.connecting.retain(|_host, until| *until > now);
        if self.relay.linked().next().is_some() {
            self.last_linked = now;
        }
        let mut to_connect = self.peers_to_connect(&self.near_peers, SAME_ZONE_LINKS);
        to_connect.extend(self.peers_to_connect(&self.far_peers, OTHER_ZONE_LINKS));
        for host in to_connect {
            let Some(entry) = self.hosts.host(host) else {
                continue;
            };
            self.connecting.insert(host, now + LINK_RETRY_DELAY);
            actions.push(ControlAction::Connect {
                host,
                address: entry.control_address,
            });
        }
    }

    /// Returns those of the `count` highest-ranked reachable peers that are neither linked nor
    /// being connected to.
    fn peers_to_connect(&self, ranking: &[HostId], count: usize) -> Vec<HostId> {
        ranking
            .iter()
            .filter(|host| !self.retry_times.contains_key(*host))
            .take(count)
            .filter(|host| !self.relay.is_linked(**host) && !self.connecting.contains_key(*host))
            .copied()
            .collect()
    }

    fn decide_reading(&mut self, now: Instant) {
        let is_isolated = now.saturating_duration_since(self.last_linked) >= READER_TIMEOUT;
        let reader_heartbeats = self.relay.reader_heartbeats();
        self.reading = self.duty.decide(
            now,
            |host| !reader_heartbeats.is_silent(now, host),
            is_isolated,
        );
        // A reader sends heartbeats only while it reaches the platform, so that another host
        // replaces it when it is cut off.
        if self.reading && self.feed.in_touch() {
            let beat = self.duty.next_reader_heartbeat(now);
            if let Some(beat) = beat {
                self.relay.record_heartbeat(now, self.identity.host, beat);
            }
        }
    }

    /// Marks a starting host as ready once it has stored everything that the platform lists or,
    /// while the platform is unreachable, the newest state that several peers have.
    ///
    /// With a single peer, a host that has nothing to compare with could apply a stale copy, so it
    /// accepts one peer only after [`BOOT_PEERS_TIMEOUT`]. A host that reaches neither the platform
    /// nor a peer stays without configuration and reports that it is not ready.
    fn update_readiness(&mut self, now: Instant) {
        if self.ready {
            return;
        }
        let (peer_count, through) = self.relay.peers_with_config();
        let has_timed_out = now.saturating_duration_since(self.started) >= BOOT_PEERS_TIMEOUT;
        let has_enough_peers = peer_count >= MIN_BOOT_PEERS || (peer_count > 0 && has_timed_out);
        let is_caught_up = self.store.is_whole() && self.store.through() >= through;
        let by_peers = self.feed.is_failing() && has_enough_peers && is_caught_up;
        let by_platform = self.feed.is_listed() && self.store.is_whole();
        self.ready = by_peers || by_platform;
    }

    fn deliver_config(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let digest = self.store.digest();
        if !self.ready || digest == self.force.digest || now < self.force.next {
            return;
        }
        let whole = self.store.is_whole();
        let Some(version) = self.force.next_version(now, &self.store) else {
            return;
        };
        self.force.digest = digest;
        self.force.next = now + MIN_DELIVERY_INTERVAL;
        match self.compiler.compile(&self.store, version) {
            Ok(snapshot) => {
                self.force.accept(version, whole);
                actions.push(ControlAction::Config(snapshot));
            }
            Err(error) => self.reject_config(version, error.to_string(), actions),
        }
    }

    fn reject_config(&mut self, version: Version, fault: String, actions: &mut Vec<ControlAction>) {
        self.force.refused += 1;
        actions.push(ControlAction::Count(ResultCode::ConfigInvalid));
        actions.push(ControlAction::Refused { version, fault });
    }
}

/// Returns the versions of the published host lists in key order.
fn host_lists(store: &ConfigStore) -> Vec<Version> {
    let lists = store.keys_under(HOSTS_PREFIX);
    lists.map(|(_key, stored)| stored.version).collect()
}

/// Returns all published hosts in ascending order; `None` if a list is invalid or a host number is
/// published twice.
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

fn host_view_of(version: Version, published: Vec<HostEntry>) -> HostView {
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
