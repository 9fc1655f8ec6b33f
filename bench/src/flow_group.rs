//! Runs an ownership group of flow directories over a simulated network in virtual time and counts
//! the bytes that they send.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::config_snapshot::ConfigSnapshot;
use lagoonproxy::config_snapshot::ServiceEntry;
use lagoonproxy::config_snapshot::UpstreamEntry;
use lagoonproxy::config_snapshot::UpstreamState;
use lagoonproxy::flow_binding::FlowBinding;
use lagoonproxy::flow_directory::DirectorySettings;
use lagoonproxy::flow_directory::FlowCommand;
use lagoonproxy::flow_directory::FlowDirectory;
use lagoonproxy::flow_directory::FlowLookup;
use lagoonproxy::flow_message::FlowMessage;
use lagoonproxy::flow_message::FlowParties;
use lagoonproxy::flow_query::FlowIntent;
use lagoonproxy::host_core::MAX_HOPS;
use lagoonproxy::ids::FlowDigest;
use lagoonproxy::ids::HostId;
use lagoonproxy::ids::UpstreamId;
use lagoonproxy::owner_view::OwnerView;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The service of every flow.
pub const SERVICE: u32 = 1;
const TICK: Duration = Duration::from_millis(10);
/// One-way delay between hosts; the delay between the current zones is about the same.
const LINK_DELAY: Duration = Duration::from_millis(4);
/// Bytes of a peer datagram in addition to the message: IP and UDP headers, frame header, sender,
/// hop count and message authentication code.
const FRAME_OVERHEAD_BYTES: usize = 56;
const FLOW_IDLE: Duration = Duration::from_secs(2 * 3_600);

/// A message in transit between two hosts.
struct InFlightMessage {
    arrival: Instant,
    from: HostId,
    to: HostId,
    parties: FlowParties,
    message: FlowMessage,
}

/// Faults of the links between hosts.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkFaults {
    /// Percentage of messages that are lost.
    pub loss: u32,
    /// Percentage of messages that arrive twice.
    pub duplicates: u32,
    /// Maximum additional delay in milliseconds, drawn for each message, so that messages are
    /// reordered.
    pub jitter: u32,
}

/// Traffic that the hosts of the group have sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupTraffic {
    /// Bytes of control traffic: copied records, baseline versions, flow tables and confirmations.
    pub control_bytes: usize,
    /// Bytes of queries and replies, each caused by a caller's frame.
    pub question_bytes: usize,
    /// Queries sent.
    pub questions: usize,
    /// Flow records copied.
    pub copied: usize,
}

/// The entry hosts of an ownership group, their links and the published configuration.
pub struct FlowGroup {
    /// Current virtual time.
    pub now: Instant,
    /// Traffic sent so far.
    pub counts: GroupTraffic,
    hosts: BTreeMap<HostId, FlowDirectory>,
    leaving: BTreeSet<HostId>,
    config: ConfigSnapshot,
    in_flight: Vec<InFlightMessage>,
    settled: BTreeMap<FlowDigest, FlowLookup>,
    /// Each host's view of the others, which may be out of date.
    views: BTreeMap<HostId, OwnerView>,
    incarnation: u64,
    copy_rate: u32,
    faults: LinkFaults,
    random: StdRng,
}

impl FlowGroup {
    /// Starts `hosts` hosts with `upstreams` upstreams and runs until they have settled.
    /// `copy_rate` limits the bytes per second that each host spends on copies.
    pub fn start(hosts: u32, upstreams: u32, copy_rate: u32) -> Self {
        let mut group = Self {
            now: Instant::now(),
            counts: GroupTraffic::default(),
            hosts: BTreeMap::new(),
            leaving: BTreeSet::new(),
            config: service_config(1, &(0..upstreams).collect::<Vec<_>>(), &[]),
            in_flight: Vec::new(),
            settled: BTreeMap::new(),
            views: BTreeMap::new(),
            incarnation: 0,
            copy_rate,
            faults: LinkFaults::default(),
            random: StdRng::seed_from_u64(1),
        };
        for host in 1..=hosts {
            group.join(host);
        }
        group.run(Duration::from_secs(15));
        group
    }

    /// Publishes the upstreams that match the service's selector and those of them that drain, to
    /// all hosts.
    pub fn publish(&mut self, upstreams: &[UpstreamId], draining: &[UpstreamId]) {
        self.config = service_config(self.config.version + 1, upstreams, draining);
        for directory in self.hosts.values_mut() {
            directory.configure(&self.config);
        }
    }

    /// Sets the faults of the links from now on; `seed` determines which messages are affected.
    pub fn set_faults(&mut self, faults: LinkFaults, seed: u64) {
        self.faults = faults;
        self.random = StdRng::seed_from_u64(seed);
    }

    /// Publishes like [`Self::publish`], but only to the hosts for which `receives_config` holds.
    pub fn publish_to(
        &mut self,
        upstreams: &[UpstreamId],
        draining: &[UpstreamId],
        receives_config: impl Fn(HostId) -> bool,
    ) {
        self.config = service_config(self.config.version + 1, upstreams, draining);
        for (host, directory) in &mut self.hosts {
            if receives_config(*host) {
                directory.configure(&self.config);
            }
        }
    }

    /// Gives every host the current configuration and the current view of the others.
    pub fn catch_up(&mut self) {
        for directory in self.hosts.values_mut() {
            directory.configure(&self.config);
        }
        self.update_views();
    }

    /// Returns the live hosts that are not leaving.
    pub fn eligible(&self) -> Vec<HostId> {
        self.view(0).eligible
    }

    /// Forwards a frame that arrived at `entry` according to the hosts' own views and looks up its
    /// flow at the last host. Returns `Undetermined` when a query is not settled within 200 ticks.
    pub fn forward_frame(
        &mut self,
        entry: HostId,
        digest: FlowDigest,
        intent: FlowIntent,
    ) -> FlowLookup {
        let mut host = entry;
        for _hop in 0..MAX_HOPS {
            let owner = self.views[&host].owner(digest);
            if owner == host || !self.hosts.contains_key(&owner) {
                break;
            }
            host = owner;
        }
        let lookup = self.lookup_at(host, digest, intent);
        if lookup != FlowLookup::Querying {
            return lookup;
        }
        for _tick in 0..200 {
            if let Some(lookup) = self.take_query_result(digest) {
                return lookup;
            }
            self.step();
        }
        FlowLookup::Undetermined
    }

    /// Starts a host without any flow records; all views are updated at once.
    pub fn join(&mut self, host: HostId) {
        self.incarnation += 1;
        let mut directory = FlowDirectory::new(DirectorySettings {
            host,
            incarnation: self.incarnation,
            flow_idle: FLOW_IDLE,
            copy_rate: self.copy_rate,
            copy_burst: self.copy_rate,
        });
        directory.configure(&self.config);
        self.hosts.insert(host, directory);
        self.update_views();
    }

    /// Stops a host abruptly; the others learn of it at once.
    pub fn crash(&mut self, host: HostId) {
        self.kill(host);
        self.update_views();
    }

    /// Stops a host abruptly; the others consider it alive until [`Self::catch_up`].
    pub fn kill(&mut self, host: HostId) {
        self.hosts.remove(&host);
        self.leaving.remove(&host);
        self.views.remove(&host);
    }

    /// Marks a host as leaving and updates all views.
    pub fn leave(&mut self, host: HostId) {
        self.leaving.insert(host);
        self.update_views();
    }

    /// Stops the leaving hosts that have handed over their flows. Returns `true` once no leaving
    /// host is left.
    pub fn stop_drained_hosts(&mut self) -> bool {
        let done: Vec<HostId> = self
            .leaving
            .iter()
            .copied()
            .filter(|host| self.hosts[host].is_handed_over())
            .collect();
        for host in done {
            self.crash(host);
        }
        self.leaving.is_empty()
    }

    /// Returns whether no message is in transit and the flows of every host could be taken over.
    pub fn is_settled(&self) -> bool {
        self.in_flight.is_empty() && self.hosts.values().all(FlowDirectory::is_handed_over)
    }

    /// Returns the owner of a flow.
    pub fn owner(&self, digest: FlowDigest) -> HostId {
        let view = self.view(0);
        view.owner(digest)
    }

    /// Returns whether a frame of an opened flow would have to wait for a query.
    pub fn needs_query(&self, digest: FlowDigest) -> bool {
        let owner = self.hosts.get(&self.owner(digest));
        owner.is_some_and(|directory| directory.needs_query(self.now, digest, SERVICE))
    }

    /// Returns the number of flow records of each host, in order of host numbers.
    pub fn held(&self) -> Vec<usize> {
        self.hosts.values().map(FlowDirectory::len).collect()
    }

    /// Looks up a flow at its owner and waits for the query, if one is needed.
    pub fn frame(&mut self, digest: FlowDigest, intent: FlowIntent) -> Option<FlowBinding> {
        match self.lookup(digest, intent) {
            FlowLookup::Found(binding) => Some(binding),
            FlowLookup::Querying => self.await_query_result(digest),
            FlowLookup::NotFound | FlowLookup::Undetermined => None,
        }
    }

    /// Looks up a flow at its owner without waiting for a query.
    pub fn lookup(&mut self, digest: FlowDigest, intent: FlowIntent) -> FlowLookup {
        self.lookup_at(self.owner(digest), digest, intent)
    }

    fn lookup_at(&mut self, host: HostId, digest: FlowDigest, intent: FlowIntent) -> FlowLookup {
        let mut commands = Vec::new();
        let Some(directory) = self.hosts.get_mut(&host) else {
            return FlowLookup::NotFound;
        };
        let lookup = directory.lookup(self.now, digest, SERVICE, intent, &mut commands);
        self.execute(host, commands);
        lookup
    }

    /// Removes and returns the result of a completed query.
    pub fn take_query_result(&mut self, digest: FlowDigest) -> Option<FlowLookup> {
        self.settled.remove(&digest)
    }

    /// Advances the virtual time by at least `time`, in whole ticks.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the virtual time by one tick: delivers due messages, then ticks every host.
    pub fn step(&mut self) {
        self.now += TICK;
        let (due, rest) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|in_flight| in_flight.arrival <= self.now);
        self.in_flight = rest;
        for in_flight in due {
            self.deliver(&in_flight);
        }
        let hosts: Vec<HostId> = self.hosts.keys().copied().collect();
        for host in hosts {
            let mut commands = Vec::new();
            if let Some(directory) = self.hosts.get_mut(&host) {
                directory.tick(self.now, &mut commands);
            }
            self.execute(host, commands);
        }
    }

    fn await_query_result(&mut self, digest: FlowDigest) -> Option<FlowBinding> {
        for _tick in 0..200 {
            if let Some(lookup) = self.take_query_result(digest) {
                let FlowLookup::Found(binding) = lookup else {
                    return None;
                };
                return Some(binding);
            }
            self.step();
        }
        None
    }

    fn deliver(&mut self, in_flight: &InFlightMessage) {
        let mut commands = Vec::new();
        if let Some(directory) = self.hosts.get_mut(&in_flight.to) {
            directory.handle_message(
                self.now,
                in_flight.from,
                in_flight.parties,
                &in_flight.message,
                &mut commands,
            );
        }
        self.execute(in_flight.to, commands);
    }

    fn execute(&mut self, from: HostId, commands: Vec<FlowCommand>) {
        for command in commands {
            match command {
                FlowCommand::Tell {
                    host,
                    parties,
                    message,
                } => {
                    self.count(&parties, &message);
                    self.send(&InFlightMessage {
                        arrival: self.now + LINK_DELAY,
                        from,
                        to: host,
                        parties,
                        message,
                    });
                }
                FlowCommand::Settled { digest, lookup } => {
                    self.settled.insert(digest, lookup);
                }
            }
        }
    }

    fn send(&mut self, in_flight: &InFlightMessage) {
        let mut copies = 1;
        if self.random.random_range(0..100) < self.faults.loss {
            copies = 0;
        } else if self.random.random_range(0..100) < self.faults.duplicates {
            copies = 2;
        }
        for _copy in 0..copies {
            let extra = self.random.random_range(0..=self.faults.jitter);
            self.in_flight.push(InFlightMessage {
                arrival: in_flight.arrival + Duration::from_millis(u64::from(extra)),
                message: in_flight.message.clone(),
                ..*in_flight
            });
        }
    }

    fn count(&mut self, parties: &FlowParties, message: &FlowMessage) {
        let encoded = postcard::to_allocvec(&(parties, message)).unwrap_or_default();
        let bytes = encoded.len() + FRAME_OVERHEAD_BYTES;
        match message {
            FlowMessage::Ask { .. } => {
                self.counts.questions += 1;
                self.counts.question_bytes += bytes;
            }
            FlowMessage::Tell { .. } => self.counts.question_bytes += bytes,
            FlowMessage::Records { entries, .. } => {
                self.counts.copied += entries.len();
                self.counts.control_bytes += bytes;
            }
            FlowMessage::Baselines { .. }
            | FlowMessage::WantTable { .. }
            | FlowMessage::Table { .. }
            | FlowMessage::Confirm { .. }
            | FlowMessage::Hello
            | FlowMessage::HelloBack { .. } => self.counts.control_bytes += bytes,
        }
    }

    fn view(&self, host: HostId) -> OwnerView {
        let others = self.hosts.keys().copied();
        let eligible = others.clone().filter(|other| !self.leaving.contains(other));
        OwnerView {
            host,
            eligible: eligible.collect(),
            reachable: others.filter(|other| *other != host).collect(),
        }
    }

    fn update_views(&mut self) {
        let hosts: Vec<HostId> = self.hosts.keys().copied().collect();
        for host in hosts {
            let view = self.view(host);
            self.views.insert(host, view.clone());
            let mut commands = Vec::new();
            if let Some(directory) = self.hosts.get_mut(&host) {
                directory.set_view(self.now, view, &mut commands);
            }
            self.execute(host, commands);
        }
    }
}

fn service_config(
    version: u64,
    upstreams: &[UpstreamId],
    draining: &[UpstreamId],
) -> ConfigSnapshot {
    let mut config = ConfigSnapshot {
        version,
        ..ConfigSnapshot::default()
    };
    let address: SocketAddr = ([10, 0, 0, 1], 700).into();
    config.addresses.insert(address, SERVICE);
    config.services.insert(
        SERVICE,
        ServiceEntry {
            id: SERVICE,
            name: "ledger".into(),
            address,
            upstreams: upstreams.to_vec(),
        },
    );
    for id in upstreams {
        let state = if draining.contains(id) {
            UpstreamState::Draining
        } else {
            UpstreamState::Active
        };
        config.upstreams.insert(*id, upstream_entry(*id, state));
    }
    config
}

fn upstream_entry(id: UpstreamId, state: UpstreamState) -> UpstreamEntry {
    UpstreamEntry {
        id,
        name: format!("ledger-{id}").into(),
        address: ([127, 0, 1, 1], 5_000 + id as u16).into(),
        health_address: None,
        zone: "zig-a".into(),
        incarnation: 0,
        state,
        slots: 2,
        connections: 2_000,
    }
}
