//! Runs the control cores of many hosts in one process and in virtual time.
//!
//! The cores are the production code. A link is an in-memory queue with a delay, and the platform
//! is an in-memory table.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use lagoonproxy::control_core::CONTROL_TICK;
use lagoonproxy::control_core::ControlCore;
use lagoonproxy::control_core::ControlIdentity;
use lagoonproxy::control_event::CallId;
use lagoonproxy::control_event::ControlAction;
use lagoonproxy::control_event::ControlEvent;
use lagoonproxy::control_event::PlatformRequest;
use lagoonproxy::control_event::PlatformResponse;
use lagoonproxy::ids::HostId;
use lagoonproxy::ids::Version;

use crate::lab_config::LabConfig;
use crate::lab_config::LabSize;
use crate::lab_config::SEND_RATE;
use crate::lab_config::link_delay;
use crate::lab_config::zone_name;
use crate::lab_platform::LabAnswer;
use crate::lab_platform::LabPlatform;

/// One-way delay to the platform.
const PLATFORM_DELAY: Duration = Duration::from_millis(2);
/// Interval at which the platform checks waiting watches for changes.
const WATCH_INTERVAL: Duration = Duration::from_millis(10);

/// A scheduled event.
enum LabEvent {
    Tick(HostId),
    /// A host opens a link to another one.
    Link {
        from: HostId,
        to: HostId,
    },
    /// A message arrives; it is lost if `link` is no longer the number of the open link.
    Message {
        from: HostId,
        to: HostId,
        link: u64,
        bytes: Bytes,
    },
    Call {
        host: HostId,
        call: CallId,
        request: PlatformRequest,
    },
    Answer {
        host: HostId,
        call: CallId,
        answer: PlatformResponse,
        bytes: usize,
    },
    /// The platform checks waiting watches.
    Watches,
}

/// A simulated host.
pub struct LabHost {
    /// The control core; a restarted host gets a new one.
    pub core: ControlCore,
    /// Whether the host runs.
    pub up: bool,
    /// Whether the path to the platform is cut.
    pub is_platform_cut: bool,
    /// Number of the zone.
    pub zone: u32,
    /// Bytes exchanged with the platform.
    pub platform_bytes: u64,
    /// Version of the active configuration.
    pub version: Version,
    /// Whether the host ever activated an older version after a newer one.
    pub reverted: bool,
    starts: u64,
}

/// The simulated hosts, their links, the platform and the scheduled events.
pub struct ControlLab {
    /// Hosts, indexed by number.
    pub hosts: Vec<LabHost>,
    /// The simulated platform.
    pub platform: LabPlatform,
    /// The published configuration.
    pub config: LabConfig,
    /// Current virtual time.
    pub now: Instant,
    /// Ordered pairs of hosts between which the path is cut.
    pub cut: BTreeSet<(HostId, HostId)>,
    links: BTreeMap<(HostId, HostId), u64>,
    next_link: u64,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: BTreeMap<u64, LabEvent>,
    next_event: u64,
}

impl ControlLab {
    /// Publishes a configuration and starts all hosts without any state.
    pub fn start(size: LabSize) -> Self {
        let now = Instant::now();
        let mut platform = LabPlatform::default();
        let config = LabConfig::publish(size, &mut platform);
        let hosts = (0..size.hosts).map(|host| lab_host(now, size, host));
        let mut lab = Self {
            hosts: hosts.collect(),
            platform,
            config,
            now,
            cut: BTreeSet::new(),
            links: BTreeMap::new(),
            next_link: 1,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
        };
        for host in 0..size.hosts {
            let phase = CONTROL_TICK * host / size.hosts;
            lab.push(now + phase, LabEvent::Tick(host));
        }
        lab.push(now, LabEvent::Watches);
        lab
    }

    /// Advances the virtual time by `duration` and handles all events that fall due.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    /// Advances the virtual time until `done` holds. Returns the elapsed time, or `None` if `limit`
    /// passed first.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let begin = self.now;
        while !done(self) {
            if self.now - begin >= limit {
                return None;
            }
            self.run_for(Duration::from_millis(10));
        }
        Some(self.now - begin)
    }

    /// Returns whether at least this version is active on every running host.
    pub fn in_force(&self, version: Version) -> bool {
        let mut up = self.hosts.iter().filter(|host| host.up);
        up.all(|host| host.version >= version)
    }

    /// Returns the bytes of control traffic that a host sent and received, including calls to the
    /// platform.
    pub fn host_bytes(&self, host: HostId) -> u64 {
        let host = &self.hosts[host as usize];
        let counts = host.core.relay().counts();
        counts.bytes_sent + counts.bytes_received + host.platform_bytes
    }

    /// Stops a host abruptly and closes its links.
    pub fn kill(&mut self, host: HostId) {
        self.hosts[host as usize].up = false;
        self.close_links(|left, right| left == host || right == host);
    }

    /// Restarts a host without any state.
    pub fn restart(&mut self, host: HostId) {
        let starts = self.hosts[host as usize].starts + 1;
        let mut fresh = lab_host(self.now, self.config.size, host);
        fresh.core = ControlCore::new(self.now, identity(self.config.size, host, starts));
        fresh.starts = starts;
        self.hosts[host as usize] = fresh;
    }

    /// Cuts the paths, in both directions, between hosts for which `is_cut` holds in either
    /// direction; messages in transit are lost.
    pub fn cut_paths(&mut self, is_cut: impl Fn(HostId, HostId) -> bool) {
        let count = self.config.size.hosts;
        for left in 0..count {
            for right in 0..count {
                if left != right && (is_cut(left, right) || is_cut(right, left)) {
                    self.cut.insert((left, right));
                }
            }
        }
    }

    fn close_links(&mut self, lost: impl Fn(HostId, HostId) -> bool) {
        let gone: Vec<(HostId, HostId)> = self
            .links
            .keys()
            .filter(|(left, right)| lost(*left, *right))
            .copied()
            .collect();
        for (left, right) in gone {
            self.links.remove(&(left, right));
            self.deliver(right, ControlEvent::PeerDown(left));
        }
    }

    fn push(&mut self, at: Instant, event: LabEvent) {
        let number = self.next_event;
        self.next_event += 1;
        self.queue.push(Reverse((at, number)));
        self.events.insert(number, event);
    }

    fn handle(&mut self, event: LabEvent) {
        match event {
            LabEvent::Tick(host) => {
                self.push(self.now + CONTROL_TICK, LabEvent::Tick(host));
                self.deliver(host, ControlEvent::Tick);
            }
            LabEvent::Link { from, to } => self.link(from, to),
            LabEvent::Message {
                from,
                to,
                link,
                bytes,
            } => {
                let open = self.links.get(&(from, to)) == Some(&link);
                if open && !self.cut.contains(&(from, to)) {
                    self.deliver(to, ControlEvent::PeerMessage { host: from, bytes });
                }
            }
            LabEvent::Call {
                host,
                call,
                request,
            } => self.call(host, call, request),
            LabEvent::Answer {
                host,
                call,
                answer,
                bytes,
            } => {
                self.hosts[host as usize].platform_bytes += bytes as u64;
                let event = ControlEvent::PlatformResponse {
                    call,
                    answer,
                    bytes,
                };
                self.deliver(host, event);
            }
            LabEvent::Watches => {
                self.push(self.now + WATCH_INTERVAL, LabEvent::Watches);
                for answer in self.platform.due_watches(self.now) {
                    self.send_answer(answer);
                }
            }
        }
    }

    fn call(&mut self, host: HostId, call: CallId, request: PlatformRequest) {
        if self.hosts[host as usize].is_platform_cut {
            let event = ControlEvent::PlatformResponse {
                call,
                answer: PlatformResponse::Unreachable,
                bytes: 0,
            };
            self.deliver(host, event);
            return;
        }
        if let Some(answer) = self.platform.call(self.now, host, call, request) {
            self.send_answer(answer);
        }
    }

    fn send_answer(&mut self, answer: LabAnswer) {
        if self.hosts[answer.host as usize].is_platform_cut {
            return;
        }
        let event = LabEvent::Answer {
            host: answer.host,
            call: answer.call,
            answer: answer.answer,
            bytes: answer.bytes,
        };
        self.push(answer.sent + PLATFORM_DELAY, event);
    }

    fn link(&mut self, from: HostId, to: HostId) {
        let open = self.hosts[to as usize].up && !self.cut.contains(&(from, to));
        if !open {
            self.deliver(from, ControlEvent::PeerDown(to));
            return;
        }
        if self.links.contains_key(&(from, to)) {
            return;
        }
        for (left, right) in [(from, to), (to, from)] {
            self.links.insert((left, right), self.next_link);
            self.next_link += 1;
            self.deliver(right, ControlEvent::PeerUp(left));
        }
    }

    fn deliver(&mut self, host: HostId, event: ControlEvent) {
        let entry = &mut self.hosts[host as usize];
        if !entry.up {
            return;
        }
        let mut actions = Vec::new();
        entry.core.handle(self.now, event, &mut actions);
        for action in actions {
            self.execute(host, action);
        }
    }

    fn execute(&mut self, host: HostId, action: ControlAction) {
        let zone = self.hosts[host as usize].zone;
        match action {
            ControlAction::Connect { host: to, .. } => {
                let delay = link_delay(zone, self.hosts[to as usize].zone);
                self.push(self.now + delay * 2, LabEvent::Link { from: host, to });
            }
            ControlAction::Disconnect(peer) => {
                self.links.remove(&(host, peer));
                if self.links.remove(&(peer, host)).is_some() {
                    self.deliver(peer, ControlEvent::PeerDown(host));
                }
            }
            ControlAction::SendPeer {
                host: to, bytes, ..
            } => {
                let Some(link) = self.links.get(&(host, to)).copied() else {
                    return;
                };
                let delay = link_delay(zone, self.hosts[to as usize].zone);
                let message = LabEvent::Message {
                    from: host,
                    to,
                    link,
                    bytes,
                };
                self.push(self.now + delay, message);
            }
            ControlAction::CallPlatform { call, request } => {
                let event = LabEvent::Call {
                    host,
                    call,
                    request,
                };
                self.push(self.now + PLATFORM_DELAY, event);
            }
            ControlAction::Config(snapshot) => {
                let entry = &mut self.hosts[host as usize];
                entry.reverted |= snapshot.version < entry.version;
                entry.version = snapshot.version;
            }
            ControlAction::Hosts(_) | ControlAction::Refused { .. } | ControlAction::Count(_) => {}
        }
    }
}

fn lab_host(now: Instant, size: LabSize, host: HostId) -> LabHost {
    LabHost {
        core: ControlCore::new(now, identity(size, host, 0)),
        up: true,
        is_platform_cut: false,
        zone: host % size.zones,
        platform_bytes: 0,
        version: 0,
        reverted: false,
        starts: 0,
    }
}

fn identity(size: LabSize, host: HostId, starts: u64) -> ControlIdentity {
    let prefixes: &[&str] = if size.zones > 1 && size.hosts < 64 {
        &[""]
    } else {
        &["services/main/", "upstreams/main/", "hosts/"]
    };
    ControlIdentity {
        host,
        zone: zone_name(host % size.zones),
        prefixes: prefixes.iter().map(|prefix| (*prefix).into()).collect(),
        send_rate: size.send_rate,
        read_rate: SEND_RATE,
        first_heartbeat: starts * 1_000_000,
        seed: u64::from(host),
    }
}
