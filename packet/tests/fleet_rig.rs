//! Simulates a fleet of packet cores, their store and their network in virtual time.
//!
//! Each host drives its core as the program does: every 100 ms it ticks the core, sends heartbeats
//! and load datagrams, and requests missing state. Datagrams are delayed, and a seeded generator
//! drops some of them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::ids::ZoneName;
use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::admission::warmup_admission::WarmupTolerance;
use lagoonproxy_packet::core_peers::AddressedHeartbeat;
use lagoonproxy_packet::host_settings::HostSettings;
use lagoonproxy_packet::ids::Revision;
use lagoonproxy_packet::ids::StoreEra;
use lagoonproxy_packet::load::load_tracker::AddressedDatagram;
use lagoonproxy_packet::packet_action::PacketOutput;
use lagoonproxy_packet::packet_core::PacketCore;
use lagoonproxy_packet::peers::peer_datagram::PeerDatagram;
use lagoonproxy_packet::policy_config::PolicyConfig;
use lagoonproxy_packet::state::state_snapshot::PublishedItem;
use lagoonproxy_packet::state::state_snapshot::StateUpdate;
use lagoonproxy_packet::state::store_feed::ListPage;
use lagoonproxy_packet::state::store_feed::StoreFault;
use lagoonproxy_packet::state::store_feed::WatchBatch;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::core_rig::*;
use crate::fleet_store::ListTransfer;
use crate::fleet_store::STORE_DELAY;
use crate::fleet_store::StoreCall;
use crate::fleet_store::WaitingWatch;

/// Interval at which a host ticks its core.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// One-way delay between hosts of one zone.
const LOCAL_DELAY: Duration = Duration::from_micros(200);

/// One-way delay between hosts of different zones.
const REMOTE_DELAY: Duration = Duration::from_micros(3900);

/// Transfer time of the state between peers: 250 KB at 20 Mbit/s.
const STATE_DELAY: Duration = Duration::from_millis(100);

/// Time until a peer rejects a state request because it is busy.
const BUSY_DELAY: Duration = Duration::from_millis(3);

/// Maximum number of hosts that a host sends its state to at the same time.
const MAX_CONCURRENT_REPLIES: u32 = 2;

/// Number of lost datagrams per 10,000.
const LOST_PER_10_000: u32 = 15;

/// Index of a host in [`FleetRig::hosts`].
pub type HostIndex = usize;

/// A simulated host.
pub struct FleetHost {
    /// Address for peers.
    pub address: SocketAddrV4,
    pub zone: ZoneName,
    pub core: PacketCore,
    /// Whether the process runs.
    pub alive: bool,
    /// Whether the store accepts its calls.
    pub served: bool,
    /// Whether the store responds to its calls at all.
    pub(crate) answered: bool,
    /// Whether it reads the store for its zone, as of its last tick.
    pub reads: bool,
    /// Thousandths of a processor core.
    capacity: u32,
    /// Number of starts and kills. Events that were scheduled for an earlier generation are
    /// dropped.
    pub(crate) generation: u32,
    state_requested: bool,
    /// Number of hosts that it is sending its state to.
    active_replies: u32,
    /// End of the current stall of its process.
    pub(crate) frozen_until: Option<Instant>,
}

/// An event of a host.
pub(crate) enum FleetEvent {
    Tick,
    /// The host makes its next call of the store.
    Read,
    /// A waiting watch may have reached its maximum wait.
    WatchTimeout,
    Datagram {
        from: SocketAddrV4,
        datagram: PeerDatagram,
    },
    /// Response of the store to a listing.
    Listed(Result<ListPage, StoreFault>),
    /// Response of the store to a watch.
    Watched(Result<WatchBatch, StoreFault>),
    /// Reply of a peer to a state request. `update` is `None` if the peer is busy or unreachable.
    State {
        source: SocketAddrV4,
        update: Option<StateUpdate>,
        busy: bool,
    },
    /// The host has sent its state to another host.
    ReplyEnds,
    /// The store's link has transferred the bytes of one interval.
    LinkTick,
}

/// An event and the process that it is scheduled for.
struct HostEvent {
    host: HostIndex,
    generation: u32,
    event: FleetEvent,
}

/// A simulated fleet with its store and network.
pub struct FleetRig {
    /// Hosts, grouped by zone.
    pub hosts: Vec<FleetHost>,
    /// Virtual time.
    pub now: Instant,
    /// All calls of the store: time, caller and kind.
    pub calls: Vec<(Instant, HostIndex, StoreCall)>,
    /// Number of datagrams sent between hosts.
    pub sent: usize,
    /// All load datagrams sent: time, sender and bytes.
    pub load_sent: Vec<(Instant, HostIndex, usize)>,
    /// Setting of the hosts that start from now on.
    pub warmup_tolerance: Option<WarmupTolerance>,
    /// Seed peers in the settings of every host.
    seeds: Vec<SocketAddrV4>,
    /// Scheduled events by time and order of scheduling.
    events: BTreeMap<(Instant, u64), HostEvent>,
    scheduled_count: u64,
    random: StdRng,
    /// Hosts that reach each other but no other host.
    isolated: BTreeSet<HostIndex>,
    pub(crate) items: Vec<PublishedItem>,
    /// Revision of the store.
    pub revision: Revision,
    /// Era of the store: how often it was restored from a backup.
    pub era: StoreEra,
    /// Last revision that the store's history no longer contains.
    pub(crate) dropped_through: Revision,
    pub(crate) watches: Vec<WaitingWatch>,
    /// Time until the store responds to a call.
    pub store_delay: Duration,
    /// End of the time in which every response of the store is lost.
    pub(crate) silent_until: Option<Instant>,
    /// Size of the whole list in bytes.
    pub list_bytes: f64,
    pub(crate) list_transfers: Vec<ListTransfer>,
    /// Whether the store's link is transferring lists.
    pub(crate) link_busy: bool,
}

/// Size and random seed of a fleet.
pub struct FleetPlan {
    /// Number of availability zones.
    pub zones: u8,
    pub hosts_per_zone: u8,
    /// Number of hosts per zone with 0.5 of a processor core. The others have 0.12 of one.
    pub large_hosts_per_zone: u8,
    /// Seed of the random generator.
    pub seed: u64,
}

impl FleetRig {
    /// Creates a fleet of stopped hosts. The first host of each of the first three zones is a seed
    /// peer.
    pub fn new(plan: &FleetPlan) -> Self {
        Self::with_hosts(plan, plan.hosts_per_zone.into())
    }

    /// Creates a fleet as [`FleetRig::new`] does, with `hosts_per_zone` instead of the plan's,
    /// which is limited to 255.
    pub fn with_hosts(plan: &FleetPlan, hosts_per_zone: u16) -> Self {
        let now = Instant::now();
        let addresses = (0..plan.zones).flat_map(|zone| {
            (1..=hosts_per_zone).map(move |host| {
                let [high, low] = host.to_be_bytes();
                SocketAddrV4::new(Ipv4Addr::new(10, zone + 1, high, low), 7720)
            })
        });
        let hosts: Vec<FleetHost> = addresses
            .map(|address| {
                let [_ten, zone, high, low] = address.ip().octets();
                let large = u16::from_be_bytes([high, low]) <= plan.large_hosts_per_zone.into();
                let zone = ZoneName::from(format!("zone-{zone}"));
                let capacity = if large { 500 } else { 120 };
                let core = PacketCore::new(&settings(), PolicyConfig::default());
                FleetHost {
                    address,
                    zone,
                    core,
                    alive: false,
                    served: true,
                    answered: true,
                    reads: false,
                    capacity,
                    generation: 0,
                    state_requested: false,
                    active_replies: 0,
                    frozen_until: None,
                }
            })
            .collect();
        let step = usize::from(hosts_per_zone);
        let seeds = hosts.iter().step_by(step).take(3);
        let seeds = seeds.map(|host| host.address).collect();
        let items = vec![
            routes_item(1, default_routes(1)),
            upstream_item(2, entry(1, "ledger")),
        ];
        Self {
            hosts,
            now,
            calls: Vec::new(),
            sent: 0,
            load_sent: Vec::new(),
            warmup_tolerance: None,
            seeds,
            events: BTreeMap::new(),
            scheduled_count: 0,
            random: StdRng::seed_from_u64(plan.seed),
            isolated: BTreeSet::new(),
            items,
            revision: 10,
            era: 0,
            dropped_through: 0,
            watches: Vec::new(),
            store_delay: STORE_DELAY,
            silent_until: None,
            list_bytes: 460_000.0,
            list_transfers: Vec::new(),
            link_busy: false,
        }
    }

    /// Starts every host within 0.1 s, and the seed peers 0.3 s after the others.
    pub fn start_all(&mut self) {
        for host in 0..self.hosts.len() {
            let late = self.seeds.contains(&self.hosts[host].address);
            let first = if late { 300 } else { 0 };
            let delay = first + self.random.random_range(0..100);
            self.start(host, Duration::from_millis(delay));
        }
    }

    /// Starts a host as a new process after a delay.
    pub fn start(&mut self, host: HostIndex, delay: Duration) {
        let settings = HostSettings {
            seed_peers: self.seeds.clone(),
            warmup_tolerance: self.warmup_tolerance,
            ..self.hosts[host].settings()
        };
        let started = &mut self.hosts[host];
        started.core = PacketCore::new(&settings, PolicyConfig::default());
        started.generation += 1;
        started.alive = true;
        started.reads = false;
        started.state_requested = false;
        started.active_replies = 0;
        self.schedule(host, delay, FleetEvent::Tick);
        self.schedule(host, delay, FleetEvent::Read);
    }

    /// Stops a host at once, as a loss of power does.
    pub fn kill(&mut self, host: HostIndex) {
        let killed = &mut self.hosts[host];
        killed.alive = false;
        killed.reads = false;
        killed.generation += 1;
    }

    /// Stalls a host for `time`. Its events are delayed until the end of the stall.
    pub fn freeze(&mut self, host: HostIndex, time: Duration) {
        self.hosts[host].frozen_until = Some(self.now + time);
    }

    /// Returns whether a host places new flows at any upstream.
    pub fn places_flows(&self, host: HostIndex) -> bool {
        let upstreams = self.hosts[host].core.upstreams();
        upstreams.records().any(|record| record.takes_flows())
    }

    /// Returns whether a host has applied the evacuation of a zone.
    pub fn evacuates(&self, host: HostIndex, zone: &str) -> bool {
        let upstreams = self.hosts[host].core.upstreams();
        upstreams.evacuated().contains_key(zone)
    }

    /// Sends the SYN of a new flow to a host. Returns the numbers of the upstreams that get it.
    pub fn open_flow(&mut self, host: HostIndex, flow: u16) -> Vec<u8> {
        let mut output = PacketOutput::default();
        let head = open_head(flow, 0);
        self.hosts[host]
            .core
            .handle_packet(self.now, &head, &mut output);
        forwarded(&output.actions)
    }

    /// Sends a packet of an open flow to a host. Returns the code of the reset if the host resets
    /// the flow.
    pub fn send_in_flow(&mut self, host: HostIndex, flow: u16, upstream: u8) -> Option<ResultCode> {
        let mut output = PacketOutput::default();
        let head = established_head(flow, upstream, 0, 1, 100);
        self.hosts[host]
            .core
            .handle_packet(self.now, &head, &mut output);
        reset_code(&output.actions)
    }

    /// Partitions these hosts from all others. An empty list ends the partition.
    pub fn isolate(&mut self, hosts: impl IntoIterator<Item = HostIndex>) {
        self.isolated = hosts.into_iter().collect();
    }

    /// Advances time by `millis` and publishes a change of upstream 1 every `pause` milliseconds.
    pub fn advance_with_changes(&mut self, millis: u64, pause: u64) {
        for _change in 0..millis / pause {
            self.publish(|revision| upstream_item(revision, entry(1, "ledger")));
            self.advance_time(pause);
        }
    }

    /// Advances time by `millis` and handles the events that are due.
    pub fn advance_time(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= end
        {
            let ((at, _number), event) = entry.remove_entry();
            self.now = self.now.max(at);
            let frozen_until = self.hosts[event.host].frozen_until;
            if let Some(until) = frozen_until.filter(|until| at < *until) {
                self.scheduled_count += 1;
                self.events.insert((until, self.scheduled_count), event);
                continue;
            }
            let is_current = self.hosts[event.host].generation == event.generation;
            if is_current || matches!(event.event, FleetEvent::LinkTick) {
                self.handle_event(event.host, event.event);
            }
        }
        self.now = end;
    }

    /// Returns the running hosts of a zone that read the store.
    pub fn readers(&self, zone: &str) -> Vec<HostIndex> {
        let hosts = self.hosts.iter().enumerate();
        let reading = hosts.filter(|(_index, host)| host.alive && host.reads && host.zone == zone);
        reading.map(|(index, _host)| index).collect()
    }

    /// Returns the names of the zones.
    pub fn zones(&self) -> Vec<ZoneName> {
        let mut zones: Vec<ZoneName> = self.hosts.iter().map(|host| host.zone.clone()).collect();
        zones.dedup();
        zones
    }

    /// Returns the number of calls of one kind since `since`.
    pub fn calls_since(&self, since: Instant, kind: StoreCall) -> usize {
        let calls = self.calls.iter();
        calls
            .filter(|(at, _host, call)| *at >= since && *call == kind)
            .count()
    }

    pub(crate) fn schedule(&mut self, host: HostIndex, delay: Duration, event: FleetEvent) {
        self.scheduled_count += 1;
        let generation = self.hosts[host].generation;
        let event = HostEvent {
            host,
            generation,
            event,
        };
        self.events
            .insert((self.now + delay, self.scheduled_count), event);
    }

    fn handle_event(&mut self, index: HostIndex, event: FleetEvent) {
        let now = self.now;
        match event {
            FleetEvent::Tick => self.tick_host(index),
            FleetEvent::Read => self.call_store(index),
            FleetEvent::WatchTimeout => self.end_expired_watches(),
            FleetEvent::Datagram { from, datagram } => self.handle_datagram(index, from, datagram),
            FleetEvent::ReplyEnds => self.hosts[index].active_replies -= 1,
            FleetEvent::LinkTick => self.advance_list_transfers(),
            FleetEvent::State {
                source,
                update,
                busy,
            } => {
                self.hosts[index].state_requested = false;
                match update {
                    Some(update) => {
                        if !self.merge_and_forward(index, update) {
                            self.hosts[index].core.source_failed(now, source, false);
                        }
                    }
                    None => self.hosts[index].core.source_failed(now, source, busy),
                }
            }
            FleetEvent::Listed(Ok(page)) => {
                let update = self.hosts[index].core.store_listed(page);
                self.handle_store_update(index, update);
            }
            FleetEvent::Watched(Ok(batch)) => {
                let update = self.hosts[index].core.store_changed(now, batch);
                self.handle_store_update(index, update.map(Some));
            }
            FleetEvent::Listed(Err(fault)) | FleetEvent::Watched(Err(fault)) => {
                self.handle_store_update(index, Err(fault));
            }
        }
    }

    /// Applies the result of a call of the store and schedules the next call.
    fn handle_store_update(
        &mut self,
        index: HostIndex,
        update: Result<Option<StateUpdate>, StoreFault>,
    ) {
        match update {
            Ok(Some(update)) => {
                self.merge_and_forward(index, update);
            }
            Ok(None) => {}
            Err(fault) => self.hosts[index].core.store_failed(self.now, &fault),
        }
        self.schedule(index, Duration::ZERO, FleetEvent::Read);
    }

    fn tick_host(&mut self, index: HostIndex) {
        let now = self.now;
        self.schedule(index, TICK_INTERVAL, FleetEvent::Tick);
        let host = &mut self.hosts[index];
        host.core.tick(now, &mut PacketOutput::default());
        host.reads = host.core.reads();
        let heartbeats = host.core.due_heartbeats(now, false);
        self.send_heartbeats(index, heartbeats);
        let due = self.hosts[index].core.due_load_datagrams(now);
        self.send_due(index, due);
        self.request_missing_state(index);
    }

    fn request_missing_state(&mut self, index: HostIndex) {
        let now = self.now;
        if !self.hosts[index].state_requested
            && let Some(source) = self.hosts[index].core.state_source(now)
        {
            self.request_state(index, source);
        }
    }

    fn request_state(&mut self, index: HostIndex, source: SocketAddrV4) {
        let query = self.hosts[index].core.snapshot().query();
        let source_index = self.index_of(source);
        let source_index = source_index.filter(|source_index| {
            self.hosts[*source_index].alive && self.can_reach(index, *source_index)
        });
        self.hosts[index].state_requested = true;
        let busy = source_index.is_some_and(|source_index| {
            self.hosts[source_index].active_replies >= MAX_CONCURRENT_REPLIES
        });
        if busy {
            let update = None;
            let reply = FleetEvent::State {
                source,
                update,
                busy,
            };
            self.schedule(index, BUSY_DELAY, reply);
            return;
        }
        let update = source_index.map(|source_index| {
            self.hosts[source_index]
                .core
                .snapshot()
                .update_since(&query)
        });
        if let Some(source_index) = source_index {
            self.hosts[source_index].active_replies += 1;
            self.schedule(source_index, STATE_DELAY, FleetEvent::ReplyEnds);
        }
        self.schedule(
            index,
            STATE_DELAY,
            FleetEvent::State {
                source,
                update,
                busy,
            },
        );
    }

    /// Merges an update and forwards it to the followers if it was new. Returns whether it was new.
    pub(crate) fn merge_and_forward(&mut self, index: HostIndex, update: StateUpdate) -> bool {
        let now = self.now;
        let core = &mut self.hosts[index].core;
        let before = core.snapshot().query();
        if !core.merge(now, &update, &mut PacketOutput::default()) {
            return false;
        }
        let update = core.forwarded_update(update, &before);
        for follower in self.hosts[index].core.followers(now) {
            self.send(index, follower, PeerDatagram::Change(update.clone()));
        }
        true
    }

    fn handle_datagram(&mut self, index: HostIndex, from: SocketAddrV4, datagram: PeerDatagram) {
        let now = self.now;
        let core = &mut self.hosts[index].core;
        match datagram {
            PeerDatagram::Heartbeat(heartbeat) => {
                let replies = core.handle_heartbeat(now, from, heartbeat, false);
                let lacks_state = core.snapshot().through().is_unread();
                self.send_heartbeats(index, replies.heartbeats);
                if lacks_state {
                    self.request_missing_state(index);
                }
            }
            PeerDatagram::Change(update) => {
                core.merge(now, &update, &mut PacketOutput::default());
            }
            PeerDatagram::Failures(reports) => core.handle_failure_reports(from, &reports),
            PeerDatagram::Load(report) => core.handle_load_report(now, from, &report),
            PeerDatagram::Digest(digest) => core.handle_digest(now, from, &digest),
            PeerDatagram::Requests(events) => core.handle_request_events(now, &events),
            PeerDatagram::Query(query) => {
                let reply = core.handle_query(now, from, &query);
                self.send_due(index, [reply]);
            }
            PeerDatagram::Reply(reply) => _ = core.handle_reply(now, from, reply),
            PeerDatagram::ZoneLoad(report) => {
                let reply = core.handle_zone_load(now, from, &report);
                self.send_due(index, reply);
            }
        }
    }

    fn send_heartbeats(&mut self, index: HostIndex, heartbeats: Vec<AddressedHeartbeat>) {
        for AddressedHeartbeat { heartbeat, targets } in heartbeats {
            for target in targets {
                self.send(index, target, PeerDatagram::Heartbeat(heartbeat.clone()));
            }
        }
    }

    fn send_due(&mut self, index: HostIndex, due: impl IntoIterator<Item = AddressedDatagram>) {
        for AddressedDatagram { datagram, targets } in due {
            let bytes = datagram.encode().expect("a datagram is encoded").len();
            for target in targets {
                self.load_sent.push((self.now, index, bytes));
                self.send(index, target, datagram.clone());
            }
        }
    }

    fn send(&mut self, index: HostIndex, target: SocketAddrV4, datagram: PeerDatagram) {
        self.sent += 1;
        let from = self.hosts[index].address;
        let lost = self.random.random_range(0..10_000) < LOST_PER_10_000;
        let Some(to) = self.index_of(target).filter(|_to| !lost) else {
            return;
        };
        if !self.can_reach(index, to) {
            return;
        }
        let local = self.hosts[to].zone == self.hosts[index].zone;
        let delay = if local { LOCAL_DELAY } else { REMOTE_DELAY };
        self.schedule(to, delay, FleetEvent::Datagram { from, datagram });
    }

    /// Returns whether no partition separates the hosts.
    fn can_reach(&self, from: HostIndex, to: HostIndex) -> bool {
        self.isolated.contains(&from) == self.isolated.contains(&to)
    }

    fn index_of(&self, address: SocketAddrV4) -> Option<HostIndex> {
        self.hosts.iter().position(|host| host.address == address)
    }
}

impl FleetHost {
    fn settings(&self) -> HostSettings {
        HostSettings {
            peer_address: self.address,
            zone: self.zone.clone(),
            capacity: self.capacity,
            ..settings()
        }
    }
}
