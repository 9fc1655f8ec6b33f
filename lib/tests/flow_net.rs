//! A simulated group of hosts on a network without faults, in virtual time, with upstreams that
//! record which flows were opened on them and which requests they received.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use lagoonproxy::config_snapshot::ConfigSnapshot;
use lagoonproxy::host_action::HostAction;
use lagoonproxy::host_core::CoreSettings;
use lagoonproxy::host_core::HostCore;
use lagoonproxy::host_event::HostEvent;
use lagoonproxy::ids::HostId;
use lagoonproxy::ids::UpstreamId;
use lagoonproxy::least_busy_policy::LeastBusyPolicy;
use lagoonproxy::published_config::PublishedConfig;
use lagoonproxy::result_code::ResultCode;
use lagoonproxy::wire_frame::AnswerPart;
use lagoonproxy::wire_frame::CallerBody;
use lagoonproxy::wire_frame::CallerFrame;
use lagoonproxy::wire_frame::RequestBody;
use lagoonproxy::wire_frame::RoutingTag;
use lagoonproxy::wire_frame::UpstreamBody;
use lagoonproxy::wire_frame::UpstreamFrame;

use crate::world::caller_address;
use crate::world::host_view;
use crate::world::ledger_address;
use crate::world::transfer;

/// Time between two ticks, and delay between any two processes.
const STEP: Duration = Duration::from_millis(20);

/// The hosts, and what upstreams and callers have received.
pub struct FlowNet {
    now: Instant,
    hosts: BTreeMap<HostId, HostCore>,
    members: Vec<HostId>,
    config: Arc<ConfigSnapshot>,
    in_flight: Vec<(HostId, HostEvent)>,
    incarnation: u64,
    entry: usize,
    next_request: u64,
    /// The upstream on which each flow was first opened.
    pub opened: BTreeMap<u64, UpstreamId>,
    /// Flow and upstream of each request that reached an upstream.
    pub runs: Vec<(u64, UpstreamId)>,
    /// Flow and code of each refusal that a caller received.
    pub refusals: Vec<(u64, ResultCode)>,
    /// Hosts that have reported their drain as complete.
    pub drained: Vec<HostId>,
}

impl FlowNet {
    /// Starts the hosts and runs them until they hold their leases.
    pub fn new(hosts: u32, config: &PublishedConfig) -> Self {
        let mut net = Self {
            now: Instant::now(),
            hosts: BTreeMap::new(),
            members: (1..=hosts).collect(),
            config: Arc::new(config.compile().expect("a valid configuration")),
            in_flight: Vec::new(),
            incarnation: 0,
            entry: 0,
            next_request: 0,
            opened: BTreeMap::new(),
            runs: Vec::new(),
            refusals: Vec::new(),
            drained: Vec::new(),
        };
        for host in net.members.clone() {
            net.start(host);
        }
        net.run(Duration::from_secs(20));
        net
    }

    /// Starts a new process of a host.
    pub fn start(&mut self, host: HostId) {
        self.incarnation += 1;
        let settings = CoreSettings {
            host,
            incarnation: self.incarnation,
            started: self.now,
            flow_key: [7; 16],
            flow_idle: Duration::from_secs(3_600),
            max_datagram_age: Duration::from_secs(1),
        };
        let core = HostCore::new(settings, Box::<LeastBusyPolicy>::default());
        self.hosts.insert(host, core);
        self.feed(host, HostEvent::Config(Arc::clone(&self.config)));
        self.feed(host, HostEvent::Hosts(host_view(&self.members)));
    }

    /// Ends a host's process without notifying its peers.
    pub fn crash(&mut self, host: HostId) {
        self.hosts.remove(&host);
    }

    /// Drains a host and ends its process once the drain is complete.
    pub fn leave(&mut self, host: HostId) {
        self.feed(host, HostEvent::Drain);
        for _step in 0..3_000 {
            if self.drained.contains(&host) {
                break;
            }
            self.step();
        }
        assert!(self.drained.contains(&host), "host {host} does not drain");
        self.drained.retain(|other| *other != host);
        self.crash(host);
    }

    /// Applies a configuration on all hosts.
    pub fn publish(&mut self, config: &PublishedConfig) {
        self.config = Arc::new(config.compile().expect("a valid configuration"));
        let hosts: Vec<HostId> = self.hosts.keys().copied().collect();
        for host in hosts {
            self.feed(host, HostEvent::Config(Arc::clone(&self.config)));
        }
    }

    /// Opens a flow through the next host in turn.
    pub fn open(&mut self, flow: u64) {
        self.send_through_next_host(flow, CallerBody::Open);
    }

    /// Sends a request of an established flow through the next host in turn.
    pub fn send_request(&mut self, flow: u64, idempotent: bool) {
        self.next_request += 1;
        let body = RequestBody {
            established: true,
            idempotent,
            ..transfer(self.next_request)
        };
        self.send_through_next_host(flow, CallerBody::Request(body));
    }

    /// Advances the time in steps.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Returns the requests that reached another upstream than the one their flow was opened on.
    pub fn misrouted_requests(&self) -> Vec<(u64, UpstreamId)> {
        let is_misrouted = |run: &&(u64, UpstreamId)| self.opened.get(&run.0) != Some(&run.1);
        self.runs.iter().filter(is_misrouted).copied().collect()
    }

    fn step(&mut self) {
        self.now += STEP;
        for (host, event) in std::mem::take(&mut self.in_flight) {
            self.feed(host, event);
        }
        let hosts: Vec<HostId> = self.hosts.keys().copied().collect();
        for host in hosts {
            self.feed(host, HostEvent::Tick);
        }
    }

    fn send_through_next_host(&mut self, flow: u64, body: CallerBody) {
        let hosts: Vec<HostId> = self.hosts.keys().copied().collect();
        self.entry += 1;
        let frame = CallerFrame {
            service: ledger_address(),
            flow,
            body,
        };
        let event = HostEvent::CallerFrame {
            caller: caller_address(),
            frame,
        };
        self.feed(hosts[self.entry % hosts.len()], event);
    }

    fn feed(&mut self, host: HostId, event: HostEvent) {
        let mut actions = Vec::new();
        if let Some(core) = self.hosts.get_mut(&host) {
            core.handle(self.now, event, &mut actions);
        }
        for action in actions {
            self.apply_action(host, action);
        }
    }

    fn apply_action(&mut self, from: HostId, action: HostAction) {
        match action {
            HostAction::ToPeer { host, frame, .. } => {
                self.in_flight.push((host, HostEvent::PeerFrame(frame)));
            }
            HostAction::ToUpstream { address, frame } => match frame.body {
                UpstreamBody::Open => {
                    let place = frame.tag.upstream;
                    self.opened.entry(frame.tag.flow).or_insert(place);
                }
                UpstreamBody::Run { .. } => {
                    self.runs.push((frame.tag.flow, frame.tag.upstream));
                    let event = HostEvent::UpstreamFrame {
                        source: address,
                        frame: answer(frame.tag),
                    };
                    self.in_flight.push((from, event));
                }
                _ => {}
            },
            HostAction::ToCaller { frame, .. } => {
                if let CallerBody::Refusal(refusal) = frame.body {
                    self.refusals.push((frame.flow, refusal.code));
                }
            }
            HostAction::Count(_) | HostAction::CountRetry(_) => {}
            HostAction::Drained => self.drained.push(from),
        }
    }
}

fn answer(tag: RoutingTag) -> UpstreamFrame {
    let part = AnswerPart {
        request: tag.request,
        run: tag.attempt,
        offset: 0,
        total: 4,
        payload: Bytes::from_static(b"done"),
    };
    UpstreamFrame {
        tag,
        body: UpstreamBody::Part(part),
    }
}
