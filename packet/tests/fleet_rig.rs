//! Drives the cores of a whole fleet in virtual time, with a store and a network between them.
//!
//! Each host does what the program does around its core: it looks every 100 ms whom to heartbeat, whom to
//! ask for state, and what to read. Datagrams are late and lost at random, from a seed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::ids::ZoneName;
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
use crate::fleet_store::StoreCall;
use crate::fleet_store::WaitingWatch;

/// How often a host looks what is to be done.
const LOOK: Duration = Duration::from_millis(100);

/// One way between hosts of a zone, and between zones.
const LOCAL_DELAY: Duration = Duration::from_micros(200);
const REMOTE_DELAY: Duration = Duration::from_micros(3900);

/// How long a state is under way from peer to peer: 250 KB over 20 Mbit/s.
const STATE_DELAY: Duration = Duration::from_millis(100);

/// How long it takes to be told that a peer serves others.
const BUSY_DELAY: Duration = Duration::from_millis(3);

/// Hosts that one hands its state to at the same time.
const SERVED_AT_ONCE: u32 = 2;

/// Datagrams lost, in ten thousand.
const LOST: u32 = 15;

/// A host by its place in the fleet.
pub type HostPlace = usize;

/// One host.
pub struct FleetHost {
    /// Where peers reach it.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: ZoneName,
    /// Its decisions.
    pub core: PacketCore,
    /// It runs.
    pub alive: bool,
    /// The store answers it.
    pub served: bool,
    /// It reads, as far as it decided at its last look.
    pub reads: bool,
    capacity: u32,
    /// Counts its starts, so that what was meant for an earlier one is lost.
    pub(crate) life: u32,
    asking: bool,
    serving: u32,
    /// Until when its process stands still.
    pub(crate) frozen_until: Option<Instant>,
}

/// What happens to a host.
pub(crate) enum FleetEvent {
    Look,
    /// The host's wait between two calls of the store is over.
    Read,
    /// A watch may have waited its time.
    WatchEnds,
    Datagram {
        from: SocketAddrV4,
        datagram: PeerDatagram,
    },
    Listed(Result<ListPage, StoreFault>),
    Watched(Result<WatchBatch, StoreFault>),
    State {
        source: SocketAddrV4,
        update: Option<StateUpdate>,
        busy: bool,
    },
    /// A transfer to another host has ended.
    Served,
    /// The store's link has carried some more.
    LinkStep,
}

/// When and to whom it happens.
struct HostEvent {
    host: HostPlace,
    life: u32,
    event: FleetEvent,
}

/// The fleet.
pub struct FleetRig {
    /// Its hosts, zone by zone.
    pub hosts: Vec<FleetHost>,
    /// The present time.
    pub now: Instant,
    /// Every call of the store so far.
    pub calls: Vec<(Instant, HostPlace, StoreCall)>,
    /// Datagrams sent between hosts so far.
    pub sent: usize,
    /// Datagrams about load sent so far: when, by whom, and their bytes.
    pub load_sent: Vec<(Instant, HostPlace, usize)>,
    /// The settings of hosts that start from now on.
    pub warmup_tolerance: Option<WarmupTolerance>,
    seeds: Vec<SocketAddrV4>,
    queue: BTreeMap<(Instant, u64), HostEvent>,
    queued: u64,
    random: StdRng,
    /// Hosts of which these are parted from the others.
    parted: BTreeSet<HostPlace>,
    pub(crate) items: Vec<PublishedItem>,
    /// The store's revision.
    pub revision: Revision,
    /// How often the store has come back from a copy.
    pub era: StoreEra,
    /// Changes up to this revision are no longer in the store's history.
    pub(crate) dropped: Revision,
    pub(crate) watches: Vec<WaitingWatch>,
    /// Bytes of the whole list.
    pub list_bytes: f64,
    pub(crate) lists: Vec<ListTransfer>,
    /// The store's link carries lists.
    pub(crate) link_busy: bool,
}

/// A fleet to be.
pub struct FleetPlan {
    /// Availability zones.
    pub zones: u8,
    /// Hosts of each.
    pub hosts_a_zone: u8,
    /// The first of each zone that have half a core; the others have 0.12 of one.
    pub large_a_zone: u8,
    /// Where chance begins.
    pub seed: u64,
}

impl FleetRig {
    /// A fleet none of whose hosts runs yet. Its settings name three hosts of the first zones.
    pub fn new(plan: &FleetPlan) -> Self {
        Self::with_hosts(plan, plan.hosts_a_zone.into())
    }

    /// The same with so many hosts in each zone, which may be more than a plan can say.
    pub fn with_hosts(plan: &FleetPlan, hosts_a_zone: u16) -> Self {
        let now = Instant::now();
        let addresses = (0..plan.zones).flat_map(|zone| {
            (1..=hosts_a_zone).map(move |host| {
                let [high, low] = host.to_be_bytes();
                SocketAddrV4::new(Ipv4Addr::new(10, zone + 1, high, low), 7720)
            })
        });
        let hosts: Vec<FleetHost> = addresses
            .map(|address| {
                let [_ten, zone, high, low] = address.ip().octets();
                let large = u16::from_be_bytes([high, low]) <= plan.large_a_zone.into();
                let zone = ZoneName::from(format!("zone-{zone}"));
                let capacity = if large { 500 } else { 120 };
                let core = PacketCore::new(&settings(), PolicyConfig::default());
                FleetHost {
                    address,
                    zone,
                    core,
                    alive: false,
                    served: true,
                    reads: false,
                    capacity,
                    life: 0,
                    asking: false,
                    serving: 0,
                    frozen_until: None,
                }
            })
            .collect();
        let step = usize::from(hosts_a_zone);
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
            queue: BTreeMap::new(),
            queued: 0,
            random: StdRng::seed_from_u64(plan.seed),
            parted: BTreeSet::new(),
            items,
            revision: 10,
            era: 0,
            dropped: 0,
            watches: Vec::new(),
            list_bytes: 460_000.0,
            lists: Vec::new(),
            link_busy: false,
        }
    }

    /// Starts every host within 0.1 s, those that the settings name 0.3 s after the others.
    pub fn start_all(&mut self) {
        for host in 0..self.hosts.len() {
            let late = self.seeds.contains(&self.hosts[host].address);
            let first = if late { 300 } else { 0 };
            let delay = first + self.random.random_range(0..100);
            self.start(host, Duration::from_millis(delay));
        }
    }

    /// Starts a host as a new process after a delay.
    pub fn start(&mut self, host: HostPlace, delay: Duration) {
        let settings = HostSettings {
            seed_peers: self.seeds.clone(),
            warmup_tolerance: self.warmup_tolerance,
            ..self.hosts[host].settings()
        };
        let started = &mut self.hosts[host];
        started.core = PacketCore::new(&settings, PolicyConfig::default());
        started.life += 1;
        started.alive = true;
        started.reads = false;
        started.asking = false;
        started.serving = 0;
        self.push(host, delay, FleetEvent::Look);
        self.push(host, delay, FleetEvent::Read);
    }

    /// Ends a host as when its machine loses power.
    pub fn kill(&mut self, host: HostPlace) {
        let killed = &mut self.hosts[host];
        killed.alive = false;
        killed.reads = false;
        killed.life += 1;
    }

    /// Lets a host stand still for a time; what comes meanwhile waits for it.
    pub fn freeze(&mut self, host: HostPlace, time: Duration) {
        self.hosts[host].frozen_until = Some(self.now + time);
    }

    /// Whether a host sends new flows to the one upstream.
    pub fn places_flows(&self, host: HostPlace) -> bool {
        let upstreams = self.hosts[host].core.upstreams();
        upstreams.records().any(|record| record.takes_flows())
    }

    /// Whether a host places no new flows in a zone.
    pub fn evacuates(&self, host: HostPlace, zone: &str) -> bool {
        let upstreams = self.hosts[host].core.upstreams();
        upstreams.evacuated().contains_key(zone)
    }

    /// Sends a SYN of a new flow to a host; the numbers of the upstreams that get it.
    pub fn open_flow(&mut self, host: HostPlace, flow: u16) -> Vec<u8> {
        let mut output = PacketOutput::default();
        let head = open_head(flow, 0);
        self.hosts[host].core.packet(self.now, &head, &mut output);
        forwarded(&output.actions)
    }

    /// Parts these hosts from all others; nobody is parted after an empty list.
    pub fn part(&mut self, hosts: impl IntoIterator<Item = HostPlace>) {
        self.parted = hosts.into_iter().collect();
    }

    /// Publishes a change of the one upstream each so many milliseconds for a time.
    pub fn pass_with_changes(&mut self, millis: u64, pause: u64) {
        for _change in 0..millis / pause {
            self.publish(|revision| upstream_item(revision, entry(1, "ledger")));
            self.pass(pause);
        }
    }

    /// Lets time pass.
    pub fn pass(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= end
        {
            let ((at, _number), event) = entry.remove_entry();
            self.now = self.now.max(at);
            let frozen_until = self.hosts[event.host].frozen_until;
            if let Some(until) = frozen_until.filter(|until| at < *until) {
                self.queued += 1;
                self.queue.insert((until, self.queued), event);
                continue;
            }
            let lives = self.hosts[event.host].life == event.life;
            if lives || matches!(event.event, FleetEvent::LinkStep) {
                self.happen(event.host, event.event);
            }
        }
        self.now = end;
    }

    /// The living hosts of a zone that read.
    pub fn readers(&self, zone: &str) -> Vec<HostPlace> {
        let hosts = self.hosts.iter().enumerate();
        let reading = hosts.filter(|(_place, host)| host.alive && host.reads && host.zone == zone);
        reading.map(|(place, _host)| place).collect()
    }

    /// The names of the zones.
    pub fn zones(&self) -> Vec<ZoneName> {
        let mut zones: Vec<ZoneName> = self.hosts.iter().map(|host| host.zone.clone()).collect();
        zones.dedup();
        zones
    }

    /// Calls of one kind since a moment.
    pub fn calls_since(&self, since: Instant, kind: StoreCall) -> usize {
        let calls = self.calls.iter();
        calls
            .filter(|(at, _host, call)| *at >= since && *call == kind)
            .count()
    }

    pub(crate) fn push(&mut self, host: HostPlace, delay: Duration, event: FleetEvent) {
        self.queued += 1;
        let life = self.hosts[host].life;
        let event = HostEvent { host, life, event };
        self.queue.insert((self.now + delay, self.queued), event);
    }

    fn happen(&mut self, place: HostPlace, event: FleetEvent) {
        let now = self.now;
        match event {
            FleetEvent::Look => self.look(place),
            FleetEvent::Read => self.call_store(place),
            FleetEvent::WatchEnds => self.end_old_watches(),
            FleetEvent::Datagram { from, datagram } => self.take(place, from, datagram),
            FleetEvent::Served => self.hosts[place].serving -= 1,
            FleetEvent::LinkStep => self.carry_lists(),
            FleetEvent::State {
                source,
                update,
                busy,
            } => {
                self.hosts[place].asking = false;
                match update {
                    Some(update) => {
                        if !self.merge_and_forward(place, update) {
                            self.hosts[place].core.source_failed(now, source, false);
                        }
                    }
                    None => self.hosts[place].core.source_failed(now, source, busy),
                }
            }
            FleetEvent::Listed(Ok(page)) => {
                let update = self.hosts[place].core.store_listed(now, page);
                self.take_read(place, update);
            }
            FleetEvent::Watched(Ok(batch)) => {
                let update = self.hosts[place].core.store_changed(now, batch);
                self.take_read(place, update.map(Some));
            }
            FleetEvent::Listed(Err(fault)) | FleetEvent::Watched(Err(fault)) => {
                self.take_read(place, Err(fault));
            }
        }
    }

    /// Takes in the outcome of a call of the store.
    fn take_read(&mut self, place: HostPlace, update: Result<Option<StateUpdate>, StoreFault>) {
        match update {
            Ok(Some(update)) => {
                self.merge_and_forward(place, update);
            }
            Ok(None) => {}
            Err(fault) => self.hosts[place].core.store_failed(self.now, &fault),
        }
        self.push(place, Duration::ZERO, FleetEvent::Read);
    }

    fn look(&mut self, place: HostPlace) {
        let now = self.now;
        self.push(place, LOOK, FleetEvent::Look);
        let host = &mut self.hosts[place];
        host.core.tick(now, &mut PacketOutput::default());
        host.reads = host.core.reads();
        let heartbeats = host.core.round(now, false);
        self.send_heartbeats(place, heartbeats);
        let due = self.hosts[place].core.due_load_datagrams(now);
        self.send_due(place, due);
        self.ask_if_behind(place);
    }

    fn ask_if_behind(&mut self, place: HostPlace) {
        let now = self.now;
        if !self.hosts[place].asking
            && let Some(source) = self.hosts[place].core.source(now)
        {
            self.ask(place, source);
        }
    }

    fn ask(&mut self, place: HostPlace, source: SocketAddrV4) {
        let query = self.hosts[place].core.view().query();
        let asked = self.place_of(source);
        let asked = asked.filter(|asked| self.hosts[*asked].alive && self.reach(place, *asked));
        self.hosts[place].asking = true;
        let busy = asked.is_some_and(|asked| self.hosts[asked].serving >= SERVED_AT_ONCE);
        if busy {
            let update = None;
            let answer = FleetEvent::State {
                source,
                update,
                busy,
            };
            self.push(place, BUSY_DELAY, answer);
            return;
        }
        let update = asked.map(|asked| self.hosts[asked].core.view().update_since(&query));
        if let Some(asked) = asked {
            self.hosts[asked].serving += 1;
            self.push(asked, STATE_DELAY, FleetEvent::Served);
        }
        self.push(
            place,
            STATE_DELAY,
            FleetEvent::State {
                source,
                update,
                busy,
            },
        );
    }

    /// Merges an update and forwards it to the hosts of the zone if it was new; true if it was.
    pub(crate) fn merge_and_forward(&mut self, place: HostPlace, update: StateUpdate) -> bool {
        let now = self.now;
        let core = &mut self.hosts[place].core;
        let before = core.view().query();
        if !core.merge(now, &update, &mut PacketOutput::default()) {
            return false;
        }
        let update = core.forwarded_update(update, &before);
        for follower in self.hosts[place].core.followers(now) {
            self.send(place, follower, PeerDatagram::Change(update.clone()));
        }
        true
    }

    fn take(&mut self, place: HostPlace, from: SocketAddrV4, datagram: PeerDatagram) {
        let now = self.now;
        let core = &mut self.hosts[place].core;
        match datagram {
            PeerDatagram::Heartbeat(heartbeat) => {
                let replies = core.heard(now, from, heartbeat, false);
                let lacks_state = core.view().through().is_unread();
                self.send_heartbeats(place, replies.heartbeats);
                if lacks_state {
                    self.ask_if_behind(place);
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
                self.send_due(place, [reply]);
            }
            PeerDatagram::Reply(reply) => _ = core.handle_reply(now, from, reply),
            PeerDatagram::ZoneLoad(report) => {
                let reply = core.handle_zone_load(now, from, &report);
                self.send_due(place, reply);
            }
        }
    }

    fn send_heartbeats(&mut self, place: HostPlace, heartbeats: Vec<AddressedHeartbeat>) {
        for AddressedHeartbeat { heartbeat, targets } in heartbeats {
            for target in targets {
                self.send(place, target, PeerDatagram::Heartbeat(heartbeat.clone()));
            }
        }
    }

    fn send_due(&mut self, place: HostPlace, due: impl IntoIterator<Item = AddressedDatagram>) {
        for AddressedDatagram { datagram, targets } in due {
            let bytes = datagram.encode().expect("a datagram is encoded").len();
            for target in targets {
                self.load_sent.push((self.now, place, bytes));
                self.send(place, target, datagram.clone());
            }
        }
    }

    fn send(&mut self, place: HostPlace, target: SocketAddrV4, datagram: PeerDatagram) {
        self.sent += 1;
        let from = self.hosts[place].address;
        let lost = self.random.random_range(0..10_000) < LOST;
        let Some(to) = self.place_of(target).filter(|_to| !lost) else {
            return;
        };
        if !self.reach(place, to) {
            return;
        }
        let local = self.hosts[to].zone == self.hosts[place].zone;
        let delay = if local { LOCAL_DELAY } else { REMOTE_DELAY };
        self.push(to, delay, FleetEvent::Datagram { from, datagram });
    }

    /// Whether datagrams go from one host to the other.
    fn reach(&self, from: HostPlace, to: HostPlace) -> bool {
        self.parted.contains(&from) == self.parted.contains(&to)
    }

    fn place_of(&self, address: SocketAddrV4) -> Option<HostPlace> {
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
