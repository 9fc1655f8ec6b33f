//! A cell of flow directories over an in-memory network in virtual time, with exact byte counts.

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
/// One way between hosts, as between the zones of today.
const DELAY: Duration = Duration::from_millis(4);
/// Bytes of a peer's datagram besides the message: IP, UDP, header, sender, hops, keyed code.
const FRAME_BYTES: usize = 56;
const FLOW_IDLE: Duration = Duration::from_secs(2 * 3_600);

struct Letter {
    arrival: Instant,
    from: HostId,
    to: HostId,
    parties: FlowParties,
    message: FlowMessage,
}

/// What the links between hosts do to messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkFaults {
    /// Messages lost, in percent.
    pub loss: u32,
    /// Messages that arrive twice, in percent.
    pub duplicates: u32,
    /// Longest extra delay in milliseconds, drawn for each, so that messages overtake each other.
    pub jitter: u32,
}

/// What the cell has sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct CellCounts {
    /// Bytes of copied records, baselines and their confirmations: the control traffic.
    pub control_bytes: usize,
    /// Bytes of questions and answers, each caused by a caller's frame.
    pub question_bytes: usize,
    /// Questions sent.
    pub questions: usize,
    /// Records copied.
    pub copied: usize,
}

/// Entry hosts that share flows.
pub struct FlowCell {
    /// The present time.
    pub now: Instant,
    /// What was sent so far.
    pub counts: CellCounts,
    hosts: BTreeMap<HostId, FlowDirectory>,
    leaving: BTreeSet<HostId>,
    config: ConfigSnapshot,
    letters: Vec<Letter>,
    settled: BTreeMap<FlowDigest, FlowLookup>,
    /// What each host believes of the others; hosts may lag.
    views: BTreeMap<HostId, OwnerView>,
    incarnation: u64,
    copy_rate: u32,
    faults: LinkFaults,
    random: StdRng,
}

impl FlowCell {
    /// Starts `hosts` hosts before `upstreams` upstreams and lets them settle.
    pub fn start(hosts: u32, upstreams: u32, copy_rate: u32) -> Self {
        let mut cell = Self {
            now: Instant::now(),
            counts: CellCounts::default(),
            hosts: BTreeMap::new(),
            leaving: BTreeSet::new(),
            config: service_config(1, &(0..upstreams).collect::<Vec<_>>(), &[]),
            letters: Vec::new(),
            settled: BTreeMap::new(),
            views: BTreeMap::new(),
            incarnation: 0,
            copy_rate,
            faults: LinkFaults::default(),
            random: StdRng::seed_from_u64(1),
        };
        for host in 1..=hosts {
            cell.join(host);
        }
        cell.run(Duration::from_secs(15));
        cell
    }

    /// Publishes the upstreams that match the service's selector, and which of them drain.
    pub fn publish(&mut self, upstreams: &[UpstreamId], draining: &[UpstreamId]) {
        self.config = service_config(self.config.version + 1, upstreams, draining);
        for directory in self.hosts.values_mut() {
            directory.configure(&self.config);
        }
    }

    /// Makes the links lossy from now on; `seed` decides what happens to which message.
    pub fn set_faults(&mut self, faults: LinkFaults, seed: u64) {
        self.faults = faults;
        self.random = StdRng::seed_from_u64(seed);
    }

    /// Publishes as [`Self::publish`] does, but only some hosts hear of it yet.
    pub fn publish_to(
        &mut self,
        upstreams: &[UpstreamId],
        draining: &[UpstreamId],
        hears: impl Fn(HostId) -> bool,
    ) {
        self.config = service_config(self.config.version + 1, upstreams, draining);
        for (host, directory) in &mut self.hosts {
            if hears(*host) {
                directory.configure(&self.config);
            }
        }
    }

    /// Lets every host catch up with the configuration and with the others.
    pub fn catch_up(&mut self) {
        for directory in self.hosts.values_mut() {
            directory.configure(&self.config);
        }
        self.spread_views();
    }

    /// The hosts that live and are not leaving.
    pub fn eligible(&self) -> Vec<HostId> {
        self.view(0).eligible
    }

    /// Passes a frame that arrived at `entry` on as the hosts' own views say, and looks its flow up
    /// where it ends.
    pub fn frame_at(
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
            if let Some(lookup) = self.take_settled(digest) {
                return lookup;
            }
            self.step();
        }
        FlowLookup::Undetermined
    }

    /// Starts a host.
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
        self.spread_views();
    }

    /// Kills a host; the others notice at once.
    pub fn crash(&mut self, host: HostId) {
        self.kill(host);
        self.spread_views();
    }

    /// Kills a host; the others go on believing in it until [`Self::catch_up`].
    pub fn kill(&mut self, host: HostId) {
        self.hosts.remove(&host);
        self.leaving.remove(&host);
        self.views.remove(&host);
    }

    /// Announces that a host is leaving.
    pub fn leave(&mut self, host: HostId) {
        self.leaving.insert(host);
        self.spread_views();
    }

    /// Ends the leaving hosts that have handed over; `true` once none is left.
    pub fn end_leaving(&mut self) -> bool {
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

    /// Whether every host's flows could be taken over now.
    pub fn is_settled(&self) -> bool {
        self.letters.is_empty() && self.hosts.values().all(FlowDirectory::is_handed_over)
    }

    /// The owner of a flow.
    pub fn owner(&self, digest: FlowDigest) -> HostId {
        let view = self.view(0);
        view.owner(digest)
    }

    /// Whether a frame of an opened flow would have to wait for a question.
    pub fn needs_query(&self, digest: FlowDigest) -> bool {
        let owner = self.hosts.get(&self.owner(digest));
        owner.is_some_and(|directory| directory.needs_query(self.now, digest, SERVICE))
    }

    /// Flows held, by host.
    pub fn held(&self) -> Vec<usize> {
        self.hosts.values().map(FlowDirectory::len).collect()
    }

    /// Looks a flow up at its owner; a question is waited for.
    pub fn frame(&mut self, digest: FlowDigest, intent: FlowIntent) -> Option<FlowBinding> {
        match self.lookup(digest, intent) {
            FlowLookup::Found(binding) => Some(binding),
            FlowLookup::Querying => self.await_settled(digest),
            FlowLookup::NotFound | FlowLookup::Undetermined => None,
        }
    }

    /// Looks a flow up at its owner without waiting.
    pub fn lookup(&mut self, digest: FlowDigest, intent: FlowIntent) -> FlowLookup {
        self.lookup_at(self.owner(digest), digest, intent)
    }

    fn lookup_at(&mut self, host: HostId, digest: FlowDigest, intent: FlowIntent) -> FlowLookup {
        let mut commands = Vec::new();
        let Some(directory) = self.hosts.get_mut(&host) else {
            return FlowLookup::NotFound;
        };
        let lookup = directory.lookup(self.now, digest, SERVICE, intent, &mut commands);
        self.post(host, commands);
        lookup
    }

    /// The outcome of a question that has been settled.
    pub fn take_settled(&mut self, digest: FlowDigest) -> Option<FlowLookup> {
        self.settled.remove(&digest)
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Lets one tick pass.
    pub fn step(&mut self) {
        self.now += TICK;
        let (due, rest) = std::mem::take(&mut self.letters)
            .into_iter()
            .partition(|letter| letter.arrival <= self.now);
        self.letters = rest;
        for letter in due {
            self.deliver(&letter);
        }
        let hosts: Vec<HostId> = self.hosts.keys().copied().collect();
        for host in hosts {
            let mut commands = Vec::new();
            if let Some(directory) = self.hosts.get_mut(&host) {
                directory.tick(self.now, &mut commands);
            }
            self.post(host, commands);
        }
    }

    fn await_settled(&mut self, digest: FlowDigest) -> Option<FlowBinding> {
        for _tick in 0..200 {
            if let Some(lookup) = self.take_settled(digest) {
                let FlowLookup::Found(binding) = lookup else {
                    return None;
                };
                return Some(binding);
            }
            self.step();
        }
        None
    }

    fn deliver(&mut self, letter: &Letter) {
        let mut commands = Vec::new();
        if let Some(directory) = self.hosts.get_mut(&letter.to) {
            directory.handle_message(
                self.now,
                letter.from,
                letter.parties,
                &letter.message,
                &mut commands,
            );
        }
        self.post(letter.to, commands);
    }

    fn post(&mut self, from: HostId, commands: Vec<FlowCommand>) {
        for order in commands {
            match order {
                FlowCommand::Tell {
                    host,
                    parties,
                    message,
                } => {
                    self.count(&parties, &message);
                    self.send(&Letter {
                        arrival: self.now + DELAY,
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

    fn send(&mut self, letter: &Letter) {
        let mut copies = 1;
        if self.random.random_range(0..100) < self.faults.loss {
            copies = 0;
        } else if self.random.random_range(0..100) < self.faults.duplicates {
            copies = 2;
        }
        for _copy in 0..copies {
            let extra = self.random.random_range(0..=self.faults.jitter);
            self.letters.push(Letter {
                arrival: letter.arrival + Duration::from_millis(u64::from(extra)),
                message: letter.message.clone(),
                ..*letter
            });
        }
    }

    fn count(&mut self, parties: &FlowParties, message: &FlowMessage) {
        let encoded = postcard::to_allocvec(&(parties, message)).unwrap_or_default();
        let bytes = encoded.len() + FRAME_BYTES;
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

    fn spread_views(&mut self) {
        let hosts: Vec<HostId> = self.hosts.keys().copied().collect();
        for host in hosts {
            let view = self.view(host);
            self.views.insert(host, view.clone());
            let mut commands = Vec::new();
            if let Some(directory) = self.hosts.get_mut(&host) {
                directory.set_view(self.now, view, &mut commands);
            }
            self.post(host, commands);
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
