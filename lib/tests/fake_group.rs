//! Simulates an ownership group in virtual time: hosts on an unreliable network, callers, upstreams
//! that do not detect duplicate requests, and a reference model of what happened to each request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::answer_buffer::AnswerBuffer;
use lagoonproxy::config_snapshot::ConfigSnapshot;
use lagoonproxy::config_snapshot::HostView;
use lagoonproxy::config_snapshot::UpstreamState;
use lagoonproxy::flow_hash::FlowHasher;
use lagoonproxy::host_action::HostAction;
use lagoonproxy::host_core::CoreSettings;
use lagoonproxy::host_core::HostCore;
use lagoonproxy::host_event::HostEvent;
use lagoonproxy::ids::HostId;
use lagoonproxy::least_busy_policy::LeastBusyPolicy;
use lagoonproxy::published_config::PublishedConfig;
use lagoonproxy::result_code::ResultCode;
use lagoonproxy::wire_frame::CallerFrame;
use lagoonproxy::wire_frame::PeerBody;
use lagoonproxy::wire_frame::PeerKey;
use lagoonproxy::wire_frame::RoutingTag;
use lagoonproxy::wire_frame::RunOutcome;
use lagoonproxy::wire_frame::UpstreamFrame;
use lagoonproxy::wire_frame::encode_peer;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::world::host_view;
use crate::world::ledger_address;
use crate::world::ledger_config;

/// Step of virtual time and interval between two ticks, in milliseconds.
pub const STEP: u64 = 20;
const UPSTREAMS: u32 = 3;
/// Key of the flow digests.
pub const FLOW_KEY: [u8; 16] = [7; 16];

/// A host of the group.
pub struct FakeHost {
    /// Number of the host.
    pub id: HostId,
    /// The host's core; `None` while its process is down.
    pub core: Option<HostCore>,
    pub(crate) incarnation: u64,
    /// Number of its newest heartbeat; [`Self::member_set`] is the member digest from that
    /// heartbeat.
    pub last_heartbeat: u64,
    /// See [`Self::last_heartbeat`].
    pub member_set: u32,
    /// Delay in milliseconds of the next actions that forward a caller's frame, which simulates a
    /// stall before sending.
    pub next_send_delay: Option<u64>,
    /// The host's clock shows `clock_base` at virtual time zero and runs at `clock_rate`.
    pub(crate) clock_base: Instant,
    pub(crate) clock_rate: f64,
    /// Virtual time in milliseconds until which the process is frozen; its events wait in `inbox`.
    pub frozen_until: u64,
    pub(crate) inbox: Vec<HostEvent>,
    pub(crate) view: Arc<HostView>,
    /// Whether the host was told to drain.
    pub draining: bool,
    /// Whether the host has reported that it is drained.
    pub drained: bool,
}

/// A request and what can be observed of it outside of the hosts.
#[derive(Default, Debug)]
pub struct FakeRequest {
    pub(crate) flow: u64,
    pub(crate) first_sent: u64,
    pub(crate) deadline: u64,
    pub(crate) cancel_at: Option<u64>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Number of times that upstreams have run the request.
    pub runs: u32,
    /// Outcomes of the refusals that the caller received.
    pub refusals: Vec<RunOutcome>,
    /// Codes of the refusals that the caller received.
    pub codes: Vec<ResultCode>,
    pub(crate) answers: BTreeMap<u64, AnswerBuffer>,
    /// Whether the caller has a complete response.
    pub answered: bool,
    pub(crate) accepted: bool,
}

pub(crate) enum Delivery {
    Host(HostId, HostEvent),
    Upstream(u32, UpstreamFrame),
    Caller(CallerFrame),
}

/// Faults of the network.
#[derive(Clone, Copy)]
pub struct LinkFaults {
    /// Probability that a datagram between a caller and a host or between two hosts is lost.
    pub loss: f64,
    /// Probability that a datagram between a host and an upstream is lost.
    pub upstream_loss: f64,
    /// Probability that a datagram is duplicated; not applied to datagrams to an upstream.
    pub duplication: f64,
    /// Maximum delay in milliseconds.
    pub delay: u64,
}

/// A network without faults.
pub const FAULTLESS_LINKS: LinkFaults = LinkFaults {
    loss: 0.0,
    upstream_loss: 0.0,
    duplication: 0.0,
    delay: 10,
};

/// The simulated group.
pub struct FakeGroup {
    /// Virtual time in milliseconds.
    pub time: u64,
    /// Source of all random choices.
    pub rng: StdRng,
    /// Current faults of the network.
    pub faults: LinkFaults,
    /// Hosts that are partitioned from the other hosts, but not from callers and upstreams.
    pub partitioned: Vec<HostId>,
    /// The hosts.
    pub hosts: Vec<FakeHost>,
    /// The requests, by number.
    pub requests: BTreeMap<u64, FakeRequest>,
    /// Probability that an upstream sheds a request.
    pub shed: f64,
    /// Probability that a host freezes between deciding on actions and sending them.
    pub send_stall_probability: f64,
    /// Host lists that have not reached their host yet: arrival time, index of the host, and list.
    pub pending_lists: Vec<(u64, usize, Arc<HostView>)>,
    /// Whether the published host list changes during the run.
    pub changes_lists: bool,
    /// Encoded bytes of the heartbeats that host 1 has sent.
    pub heartbeat_bytes: usize,
    published: PublishedConfig,
    /// Generation of each upstream's process.
    pub(crate) upstreams: Vec<u64>,
    pub(crate) config: Arc<ConfigSnapshot>,
    pub(crate) in_flight: BTreeMap<(u64, u64), Delivery>,
    pub(crate) next_delivery: u64,
    pub(crate) running: BTreeMap<(u32, u64), u64>,
    pub(crate) cancelled: Vec<(u32, RoutingTag)>,
    pub(crate) epoch: Instant,
}

impl FakeGroup {
    /// Creates a group of `hosts` hosts that have just started and have the host list.
    pub fn new(seed: u64, hosts: u32) -> Self {
        let mut group = Self {
            time: 0,
            rng: StdRng::seed_from_u64(seed),
            faults: FAULTLESS_LINKS,
            partitioned: Vec::new(),
            hosts: Vec::new(),
            requests: BTreeMap::new(),
            shed: 0.0,
            send_stall_probability: 0.0,
            pending_lists: Vec::new(),
            changes_lists: false,
            heartbeat_bytes: 0,
            published: ledger_config(1, UPSTREAMS),
            upstreams: vec![0; UPSTREAMS as usize],
            config: Arc::new(ledger_config(1, UPSTREAMS).compile().unwrap()),
            in_flight: BTreeMap::new(),
            next_delivery: 0,
            running: BTreeMap::new(),
            cancelled: Vec::new(),
            epoch: Instant::now(),
        };
        let members: Vec<HostId> = (1..=hosts).collect();
        for id in &members {
            group.add_host(*id, &host_view(&members));
        }
        group
    }

    /// Adds a host whose process starts now.
    pub fn add_host(&mut self, id: HostId, view: &Arc<HostView>) {
        let offset = Duration::from_millis(self.rng.random_range(0..10_000));
        self.hosts.push(FakeHost {
            id,
            core: None,
            incarnation: 0,
            last_heartbeat: 0,
            member_set: 0,
            next_send_delay: None,
            clock_base: self.epoch + offset,
            clock_rate: self.rng.random_range(0.98..1.02),
            frozen_until: 0,
            inbox: Vec::new(),
            view: Arc::clone(view),
            draining: false,
            drained: false,
        });
        self.start(self.hosts.len() - 1);
    }

    /// Starts a new process of a host. A process that is still running ends without a message.
    pub fn start(&mut self, index: usize) {
        let now = self.local_time(index);
        let config = Arc::clone(&self.config);
        let host = &mut self.hosts[index];
        host.incarnation += 1;
        host.inbox.clear();
        host.frozen_until = 0;
        host.draining = false;
        host.drained = false;
        let settings = CoreSettings {
            host: host.id,
            incarnation: host.incarnation,
            started: now,
            flow_key: FLOW_KEY,
            flow_idle: Duration::from_secs(3_600),
            max_datagram_age: Duration::from_secs(1),
        };
        host.core = Some(HostCore::new(settings, Box::<LeastBusyPolicy>::default()));
        let view = Arc::clone(&host.view);
        self.feed(index, HostEvent::Config(config));
        self.feed(index, HostEvent::Hosts(view));
    }

    /// Ends a host's process.
    pub fn crash(&mut self, index: usize) {
        self.hosts[index].core = None;
    }

    /// Publishes that an upstream is draining, or active again. Each host receives the
    /// configuration at a time of its own.
    pub fn toggle_upstream(&mut self, index: usize) {
        let doc = &mut self.published.upstreams[index];
        doc.state = match doc.state {
            UpstreamState::Active => UpstreamState::Draining,
            UpstreamState::Draining => UpstreamState::Active,
        };
        self.publish();
    }

    /// Replaces an upstream's process by another one at the same address, and publishes the change.
    pub fn replace_upstream(&mut self, index: usize) {
        self.upstreams[index] += 1;
        self.running
            .retain(|(id, _run), _since| *id != index as u32);
        self.published.upstreams[index].incarnation = self.upstreams[index];
        self.publish();
    }

    fn publish(&mut self) {
        self.published.version += 1;
        self.config = Arc::new(self.published.compile().unwrap());
        for host in &self.hosts {
            let delivery = Delivery::Host(host.id, HostEvent::Config(Arc::clone(&self.config)));
            let lag = self.rng.random_range(0..4_000);
            self.next_delivery += 1;
            self.in_flight
                .insert((self.time + lag, self.next_delivery), delivery);
        }
    }

    /// Tells a host to drain.
    pub fn drain(&mut self, index: usize) {
        if self.hosts[index].core.is_some() {
            self.hosts[index].draining = true;
            self.feed(index, HostEvent::Drain);
        }
    }

    /// Delivers a host list to one host.
    pub fn learn_hosts(&mut self, index: usize, view: &Arc<HostView>) {
        self.hosts[index].view = Arc::clone(view);
        self.feed(index, HostEvent::Hosts(Arc::clone(view)));
    }

    /// Returns what a host's clock shows.
    pub fn local_time(&self, index: usize) -> Instant {
        let host = &self.hosts[index];
        host.clock_base
            + Duration::from_micros((self.time as f64 * 1_000.0 * host.clock_rate) as u64)
    }

    /// Passes an event to a host, or queues it in the host's inbox while the host is frozen.
    pub fn feed(&mut self, index: usize, event: HostEvent) {
        let now = self.local_time(index);
        let host = &mut self.hosts[index];
        let Some(core) = &mut host.core else {
            return;
        };
        if self.time < host.frozen_until {
            host.inbox.push(event);
            return;
        }
        let mut actions = Vec::new();
        core.handle(now, event, &mut actions);
        let mut send_delay = 0;
        if self.send_stall_probability > 0.0 && self.rng.random_bool(self.send_stall_probability) {
            send_delay = self.rng.random_range(100..4_000);
            self.hosts[index].frozen_until = self.time + send_delay;
        }
        let forwards = actions.iter().any(|action| {
            matches!(action, HostAction::ToPeer { frame, .. }
                if matches!(frame.body, PeerBody::FromCaller { .. }))
        });
        if forwards && let Some(hold) = self.hosts[index].next_send_delay.take() {
            send_delay = hold;
        }
        for action in actions {
            self.execute(index, action, send_delay);
        }
    }

    fn execute(&mut self, index: usize, action: HostAction, send_delay: u64) {
        let id = self.hosts[index].id;
        match action {
            HostAction::ToCaller { frame, .. } => {
                self.send(Delivery::Caller(frame), send_delay, true);
            }
            HostAction::ToPeer { host, frame, .. } => {
                if id == 1 && matches!(frame.body, PeerBody::Heartbeat(_)) {
                    let encoded = encode_peer(&frame, &PeerKey::new(FLOW_KEY)).unwrap();
                    self.heartbeat_bytes += encoded.len();
                }
                if let PeerBody::Heartbeat(heartbeat) = &frame.body {
                    self.hosts[index].last_heartbeat = heartbeat.number;
                    self.hosts[index].member_set = heartbeat.member_set;
                }
                if self.partitioned.contains(&id) == self.partitioned.contains(&host) {
                    let event = HostEvent::PeerFrame(frame);
                    self.send(Delivery::Host(host, event), send_delay, true);
                }
            }
            HostAction::ToUpstream { frame, .. } => {
                let upstream = frame.tag.upstream;
                self.send(Delivery::Upstream(upstream, frame), send_delay, false);
            }
            HostAction::Count(_) | HostAction::CountRetry(_) => {}
            HostAction::Drained => self.hosts[index].drained = true,
        }
    }

    pub(crate) fn send(&mut self, delivery: Delivery, send_delay: u64, may_duplicate: bool) {
        let is_upstream = match &delivery {
            Delivery::Upstream(..) | Delivery::Host(_, HostEvent::UpstreamFrame { .. }) => true,
            Delivery::Host(..) | Delivery::Caller(_) => false,
        };
        let loss = match is_upstream {
            true => self.faults.upstream_loss,
            false => self.faults.loss,
        };
        if self.rng.random_bool(loss) {
            return;
        }
        let is_duplicated = may_duplicate && self.rng.random_bool(self.faults.duplication);
        if is_duplicated && let Some(copy) = copy_of(&delivery) {
            self.schedule(copy, send_delay);
        }
        self.schedule(delivery, send_delay);
    }

    pub(crate) fn schedule(&mut self, delivery: Delivery, send_delay: u64) {
        let delay = self.rng.random_range(1..=self.faults.delay);
        self.schedule_at(self.time + send_delay + delay, delivery);
    }

    pub(crate) fn schedule_at(&mut self, time: u64, delivery: Delivery) {
        self.next_delivery += 1;
        self.in_flight.insert((time, self.next_delivery), delivery);
    }

    /// Advances virtual time by one step.
    pub fn step(&mut self) {
        self.time += STEP;
        let time = self.time;
        let due: Vec<_> = self
            .pending_lists
            .extract_if(.., |(at, ..)| *at <= time)
            .collect();
        for (_at, index, view) in due {
            self.learn_hosts(index, &view);
        }
        while let Some(delivery) = self.next_due() {
            self.deliver(delivery);
        }
        for index in 0..self.hosts.len() {
            if self.time < self.hosts[index].frozen_until {
                continue;
            }
            self.feed(index, HostEvent::Tick);
            for event in std::mem::take(&mut self.hosts[index].inbox) {
                self.feed(index, event);
            }
        }
        self.send_requests();
    }

    fn next_due(&mut self) -> Option<Delivery> {
        let entry = self.in_flight.first_entry()?;
        (entry.key().0 <= self.time).then(|| entry.remove())
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Host(id, event) => {
                if let Some(index) = self.hosts.iter().position(|host| host.id == id) {
                    self.feed(index, event);
                }
            }
            Delivery::Upstream(id, frame) => self.run_upstream(id, &frame),
            Delivery::Caller(frame) => self.handle_reply(&frame),
        }
    }

    /// Returns the hosts that may accept non-idempotent requests of a flow now. A frozen host is
    /// evaluated by its own clock.
    pub fn accepting_hosts(&self, flow: u64) -> Vec<HostId> {
        let hasher = FlowHasher::new(FLOW_KEY);
        let digest = hasher.digest(ledger_address(), flow_caller(flow), flow);
        let acts = |index: &usize| {
            let core = self.hosts[*index].core.as_ref();
            core.is_some_and(|core| {
                core.may_accept_since(self.local_time(*index), digest)
                    .is_some()
            })
        };
        let indexes = (0..self.hosts.len()).filter(acts);
        indexes.map(|index| self.hosts[index].id).collect()
    }

    /// Panics if the outcomes that callers received contradict the reference model, or if two hosts
    /// may accept requests of the same flow.
    pub fn check(&self, seed: u64) {
        for (number, request) in &self.requests {
            if request.idempotent {
                continue;
            }
            let runs = request.runs;
            assert!(runs <= 1, "seed {seed}: request {number} ran {runs} times");
            let denied = request.refusals.contains(&RunOutcome::NotRun);
            assert!(
                !denied || runs == 0,
                "seed {seed}: request {number} ran, but its caller was told that it did not"
            );
        }
        for flow in 0..FLOWS {
            let accepting_hosts = self.accepting_hosts(flow);
            assert!(
                accepting_hosts.len() <= 1,
                "seed {seed}: {accepting_hosts:?} may accept requests of flow {flow}"
            );
        }
    }
}

/// Number of flows that requests are spread over.
pub const FLOWS: u64 = 6;

/// Returns the caller of a flow.
pub fn flow_caller(flow: u64) -> SocketAddr {
    ([127, 0, 0, 1], 9_000 + flow as u16).into()
}

fn copy_of(delivery: &Delivery) -> Option<Delivery> {
    match delivery {
        Delivery::Host(id, event) => Some(Delivery::Host(*id, event.clone())),
        Delivery::Caller(frame) => Some(Delivery::Caller(frame.clone())),
        Delivery::Upstream(..) => None,
    }
}
