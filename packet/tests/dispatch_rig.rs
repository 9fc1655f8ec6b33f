//! Simulates the hosts of one zone in virtual time, in steps of a millisecond. Delivers the
//! datagrams of dispatching between them, and resumes parked SYNs.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy_packet::dispatch::dispatch_client::REPLY_TIMEOUT;
use lagoonproxy_packet::host_settings::HostSettings;
use lagoonproxy_packet::load::load_report::LoadDigest;
use lagoonproxy_packet::load::load_report::ServiceDigest;
use lagoonproxy_packet::load::load_report::service_tag;
use lagoonproxy_packet::packet_action::DecisionEvent;
use lagoonproxy_packet::packet_action::PacketAction;
use lagoonproxy_packet::packet_action::PacketOutput;
use lagoonproxy_packet::packet_core::PacketCore;
use lagoonproxy_packet::packet_head::PacketHead;
use lagoonproxy_packet::peers::peer_datagram::PeerDatagram;
use lagoonproxy_packet::peers::peer_heartbeat::PeerHeartbeat;
use lagoonproxy_packet::policy_config::PolicyConfig;
use lagoonproxy_packet::routes::route_config::RequestPriority;

use crate::core_rig::*;

/// Simulation step, and default delay of a datagram.
pub const STEP: Duration = Duration::from_millis(1);

type PacketHandler = fn(&mut PacketCore, Instant, &PacketHead, &mut PacketOutput);

/// A SYN that a host forwarded to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct PlacedSyn {
    pub host: usize,
    pub flow: u16,
    pub upstream: u8,
    pub dispatched: bool,
}

/// The hosts of a zone. Host 0 has the most capacity.
pub struct DispatchRig {
    pub now: Instant,
    pub cores: Vec<PacketCore>,
    /// Until when each host processes nothing.
    pub stopped: Vec<Option<Instant>>,
    /// Whether datagrams from the first host reach the second.
    pub can_reach: fn(usize, usize) -> bool,
    pub should_drop: Box<dyn Fn(&PeerDatagram) -> bool>,
    pub reply_delay: Duration,
    /// Additional delay until host 1 resumes a parked SYN.
    pub resume_delay: Duration,
    /// Whether digests report the service as contended.
    pub contended: bool,
    pub placed: Vec<PlacedSyn>,
    pub resets: Vec<u16>,
    pub park_count: usize,
    /// Number and bytes of the dispatching datagrams of each sender; `longest` is the size of the
    /// largest.
    pub sent: Vec<(usize, usize)>,
    pub longest: usize,
    network: Vec<(Instant, usize, usize, PeerDatagram)>,
    parked: Vec<(Instant, usize, PacketHead)>,
    steps: u64,
}

/// Returns the address of a host.
pub fn host_address(host: usize) -> SocketAddrV4 {
    let (block, number) = (host / 200, host % 200 + 1);
    SocketAddrV4::new(Ipv4Addr::new(10, 1, block as u8, number as u8), 7720)
}

impl DispatchRig {
    /// Creates hosts with this many upstreams of a contended service, which has an urgent and a
    /// less urgent route.
    pub fn new(hosts: usize, upstreams: u8) -> Self {
        let now = Instant::now();
        let mut config = routes(1, &[(ledger(), "ledger"), (certs(), "ledger")]);
        config.routes[0].priority = RequestPriority(9);
        config.routes[1].priority = RequestPriority(0);
        let entries = (1..=upstreams).map(|number| upstream_item(1, entry(number, "ledger")));
        let items: Vec<_> = entries.chain([routes_item(1, config)]).collect();
        let cores = (0..hosts).map(|host| {
            let settings = HostSettings {
                peer_address: host_address(host),
                capacity: capacity(host),
                ..settings()
            };
            let mut core = PacketCore::new(&settings, PolicyConfig::default());
            core.merge(now, &whole(10, items.clone()), &mut PacketOutput::default());
            core
        });
        Self {
            now,
            cores: cores.collect(),
            stopped: vec![None; hosts],
            can_reach: |_from, _to| true,
            should_drop: Box::new(|_datagram| false),
            reply_delay: STEP,
            resume_delay: Duration::ZERO,
            contended: true,
            placed: Vec::new(),
            resets: Vec::new(),
            park_count: 0,
            sent: vec![(0, 0); hosts],
            longest: 0,
            network: Vec::new(),
            parked: Vec::new(),
            steps: 0,
        }
    }

    /// Advances the simulation.
    pub fn advance_time(&mut self, millis: u64) {
        (0..millis).for_each(|_step| self.step());
    }

    fn step(&mut self) {
        if self.steps.is_multiple_of(100) {
            self.tick();
        }
        self.steps += 1;
        self.now += STEP;
        let now = self.now;
        let due = |at: &Instant, host: usize, rig: &Self| *at <= now && !rig.is_stopped(host);
        let network = std::mem::take(&mut self.network);
        let (arrived, network) = network
            .into_iter()
            .partition(|(at, _, to, _)| due(at, *to, self));
        self.network = network;
        let arrived: Vec<_> = arrived;
        for (_at, from, to, datagram) in arrived {
            self.deliver(from, to, datagram);
        }
        let parked = std::mem::take(&mut self.parked);
        let (resumed, parked) = parked
            .into_iter()
            .partition(|(at, to, _)| due(at, *to, self));
        self.parked = parked;
        let resumed: Vec<_> = resumed;
        for (_at, host, head) in resumed {
            self.handle_packet(host, &head, PacketCore::resume_packet);
        }
        for host in 0..self.cores.len() {
            if !self.is_stopped(host) && self.cores[host].has_dispatch_datagrams() {
                let due = self.cores[host].take_dispatch_datagrams();
                due.into_iter()
                    .for_each(|due| self.send(host, due.targets[0], due.datagram));
            }
        }
    }

    pub fn is_stopped(&self, host: usize) -> bool {
        self.stopped[host].is_some_and(|until| self.now < until)
    }

    fn resume_delay(&self, host: usize) -> Duration {
        if host == 1 {
            self.resume_delay
        } else {
            Duration::ZERO
        }
    }

    /// Stops a host for the rest of the simulation.
    pub fn kill(&mut self, host: usize) {
        self.stopped[host] = Some(self.now + Duration::from_secs(3600));
    }

    /// Ticks all hosts, and delivers heartbeats and a digest that reports the service as contended.
    fn tick(&mut self) {
        let digest = LoadDigest {
            sequence: self.steps + 1,
            reporters: 1,
            services: vec![ServiceDigest {
                service: service_tag(&"ledger".into()),
                reporters: 1,
                is_contended: true,
                ..ServiceDigest::default()
            }],
            zones: Vec::new(),
        };
        for to in 0..self.cores.len() {
            if self.is_stopped(to) {
                continue;
            }
            for from in (0..self.cores.len()).filter(|from| *from != to) {
                if self.steps.is_multiple_of(1000)
                    && !self.is_stopped(from)
                    && (self.can_reach)(from, to)
                {
                    let message = heartbeat(from);
                    self.cores[to].handle_heartbeat(self.now, host_address(from), message, false);
                }
            }
            if self.contended {
                let aggregator = SocketAddrV4::new(Ipv4Addr::new(10, 1, 9, 9), 7720);
                self.cores[to].handle_digest(self.now, aggregator, &digest);
            }
            self.cores[to].tick(self.now, &mut PacketOutput::default());
        }
    }

    fn deliver(&mut self, from: usize, to: usize, datagram: PeerDatagram) {
        let (now, source) = (self.now, host_address(from));
        let core = &mut self.cores[to];
        match datagram {
            PeerDatagram::Requests(events) => core.handle_request_events(now, &events),
            PeerDatagram::Query(query) => {
                let reply = core.handle_query(now, source, &query);
                self.send(to, reply.targets[0], reply.datagram);
            }
            PeerDatagram::Reply(reply) => {
                let Some((key, due_at)) = core.handle_reply(now, source, reply) else {
                    return;
                };
                let resumed = due_at + self.resume_delay(to);
                let mut parked = self.parked.iter_mut();
                let parked =
                    parked.find(|(_, host, head)| *host == to && key.caller == head.caller);
                if let Some((at, ..)) = parked {
                    *at = resumed;
                }
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, target: SocketAddrV4, datagram: PeerDatagram) {
        let bytes = datagram.encode().unwrap().len();
        self.sent[from] = (self.sent[from].0 + 1, self.sent[from].1 + bytes);
        self.longest = self.longest.max(bytes);
        let to = (0..self.cores.len())
            .find(|host| host_address(*host) == target)
            .unwrap();
        if (self.can_reach)(from, to) && !(self.should_drop)(&datagram) {
            let is_reply = matches!(datagram, PeerDatagram::Reply(_));
            let delay = if is_reply { self.reply_delay } else { STEP };
            self.network.push((self.now + delay, from, to, datagram));
        }
    }

    /// Passes a packet to a host.
    pub fn packet(&mut self, host: usize, head: &PacketHead) {
        self.handle_packet(host, head, PacketCore::handle_packet);
    }

    fn handle_packet(&mut self, host: usize, head: &PacketHead, handle: PacketHandler) {
        let mut output = PacketOutput::default();
        handle(&mut self.cores[host], self.now, head, &mut output);
        let flow = head.caller.port() - 1000;
        let dispatched = output.events.iter().any(|event| {
            matches!(
                event,
                DecisionEvent::Placed {
                    dispatched: true,
                    ..
                }
            )
        });
        let is_syn = head.kind == lagoonproxy_packet::packet_head::PacketKind::Open;
        let mut is_placed = false;
        for action in &output.actions {
            match action {
                // A caller uses the upstream that responds first; a hedged SYN is sent second.
                PacketAction::Forward { number, .. } if is_syn && !is_placed => {
                    is_placed = true;
                    self.placed.push(PlacedSyn {
                        host,
                        flow,
                        upstream: *number as u8,
                        dispatched,
                    });
                }
                PacketAction::Reset { .. } => self.resets.push(flow),
                PacketAction::Park => {
                    self.park_count += 1;
                    let due = self.now + REPLY_TIMEOUT + self.resume_delay(host);
                    self.parked.push((due, host, *head));
                }
                _ => {}
            }
        }
    }

    /// Opens a flow and waits for the dispatcher's reply. Returns where the flow was placed.
    pub fn place(&mut self, host: usize, flow: u16) -> Option<PlacedSyn> {
        let before = self.placed.len();
        self.packet(host, &open_head(flow, 0));
        for _step in 0..15 {
            if let Some(syn) = self.placed.get(before).copied() {
                return Some(syn);
            }
            self.step();
        }
        None
    }

    /// Sends the request of a placed flow.
    pub fn request(&mut self, syn: PlacedSyn) {
        self.packet(
            syn.host,
            &established_head(syn.flow, syn.upstream, 0, 1, 100),
        );
    }

    /// Acknowledges the response and closes the flow.
    pub fn finish(&mut self, syn: PlacedSyn) {
        let head = established_head(syn.flow, syn.upstream, 100, 501, 0);
        self.packet(syn.host, &PacketHead { last: true, ..head });
    }

    /// Sends requests until the dispatchers have learned enough to place flows. Uses the flows from
    /// 60,000.
    pub fn warm_up(&mut self) {
        self.advance_time(110);
        for flow in 0..8 {
            let host = usize::from(flow) % self.cores.len();
            if !self.is_stopped(host)
                && let Some(syn) = self.place(host, 60_000 + flow)
            {
                self.request(syn);
                self.advance_time(50);
                self.finish(syn);
            }
            self.advance_time(10);
        }
        self.placed.clear();
    }
}

fn capacity(host: usize) -> u32 {
    if host == 0 { 500 } else { 120 }
}

fn heartbeat(host: usize) -> PeerHeartbeat {
    PeerHeartbeat {
        zone: ZONE.into(),
        reads: host == 0,
        confirmation: None,
        capacity: capacity(host),
        ready: true,
        seeks: false,
        through: at(10),
        version: Some(1),
        reader: None,
        named: Vec::new(),
        others: Vec::new(),
        reports: None,
    }
}
