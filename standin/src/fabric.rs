//! Stand-in for the fabric: hands each datagram of a caller to any entry host that it reaches, and
//! loses, repeats, reorders and delays datagrams in both directions, all drawn from one seed.
//!
//! Availability zones are cut from each other here and in [`crate::peer_proxy`], never in the
//! machine's network.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use lagoonproxy::ids::ZoneName;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// How a fabric treats datagrams; probabilities are between 0 and 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FabricSettings {
    /// Seed of every choice.
    pub seed: u64,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Share of datagrams that arrive twice.
    pub duplication: f64,
    /// Share of datagrams that are held back so that later ones overtake them.
    pub reordering: f64,
    /// Delay of each datagram one way, in milliseconds.
    pub delay_ms: f64,
    /// Most that is added to the delay, in milliseconds.
    pub jitter_ms: f64,
    /// How long a reordered datagram is held back, in milliseconds.
    pub held_ms: f64,
}

/// What a fabric did with datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FabricCounters {
    /// Datagrams handed over.
    pub carried: u64,
    /// Datagrams lost by chance.
    pub lost: u64,
    /// Datagrams repeated.
    pub duplicated: u64,
    /// Datagrams held back.
    pub reordered: u64,
    /// Datagrams that met a cut, or found no host.
    pub cut: u64,
}

/// An entry host as the fabric knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FabricHost {
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it receives callers' datagrams.
    pub address: SocketAddr,
}

/// A datagram and where it goes.
pub(crate) enum FabricDelivery {
    /// To a socket of the system.
    Socket {
        socket: Arc<UdpSocket>,
        address: SocketAddr,
        bytes: Bytes,
    },
    /// To a caller.
    Caller {
        sender: mpsc::UnboundedSender<Bytes>,
        bytes: Bytes,
    },
}

/// A delivery that waits; ordered by time, then by arrival.
struct DelayedDelivery {
    due: Instant,
    number: u64,
    delivery: FabricDelivery,
}

struct FabricState {
    settings: FabricSettings,
    random: StdRng,
    hosts: Vec<FabricHost>,
    cuts: BTreeSet<(ZoneName, ZoneName)>,
    counters: FabricCounters,
}

/// A fabric; clones share it.
#[derive(Clone)]
pub struct Fabric {
    state: Arc<Mutex<FabricState>>,
    delayed: mpsc::UnboundedSender<(Instant, FabricDelivery)>,
}

impl Fabric {
    /// A fabric before `hosts`; needs a runtime for what it delays.
    pub fn new(settings: FabricSettings, hosts: Vec<FabricHost>) -> Self {
        let (delayed, receiver) = mpsc::unbounded_channel();
        tokio::spawn(deliver_delayed(receiver));
        let state = FabricState {
            settings,
            random: StdRng::seed_from_u64(settings.seed),
            hosts,
            cuts: BTreeSet::new(),
            counters: FabricCounters::default(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            delayed,
        }
    }

    /// Replaces the hosts.
    pub fn set_hosts(&self, hosts: Vec<FabricHost>) {
        self.lock().hosts = hosts;
    }

    /// Cuts two availability zones from each other, both ways.
    pub fn cut(&self, left: &str, right: &str) {
        let mut state = self.lock();
        state.cuts.insert((left.into(), right.into()));
        state.cuts.insert((right.into(), left.into()));
    }

    /// Ends every cut.
    pub fn heal(&self) {
        self.lock().cuts.clear();
    }

    /// What became of the datagrams so far.
    pub fn counters(&self) -> FabricCounters {
        self.lock().counters
    }

    /// Sends a datagram of a caller in `zone` from `socket` to any host that it reaches.
    pub(crate) async fn spray(&self, zone: &str, socket: &Arc<UdpSocket>, bytes: Bytes) {
        let Some(address) = self.lock().choose_host(zone) else {
            return;
        };
        let delays = self.lock().draw_delays();
        for delay in delays.into_iter().flatten() {
            let delivery = FabricDelivery::Socket {
                socket: Arc::clone(socket),
                address,
                bytes: bytes.clone(),
            };
            self.deliver(delay, delivery).await;
        }
    }

    /// Takes a datagram that a host sent to a caller.
    pub(crate) async fn give_back(&self, sender: &mpsc::UnboundedSender<Bytes>, bytes: Bytes) {
        let delays = self.lock().draw_delays();
        for delay in delays.into_iter().flatten() {
            let delivery = FabricDelivery::Caller {
                sender: sender.clone(),
                bytes: bytes.clone(),
            };
            self.deliver(delay, delivery).await;
        }
    }

    /// Sends a datagram between two hosts unless their zones are cut from each other.
    pub(crate) async fn relay(
        &self,
        zones: (&str, &str),
        socket: &Arc<UdpSocket>,
        address: SocketAddr,
        bytes: Bytes,
    ) {
        if !self.lock().connects(zones.0, zones.1) {
            return;
        }
        let delays = self.lock().draw_delays();
        for delay in delays.into_iter().flatten() {
            let delivery = FabricDelivery::Socket {
                socket: Arc::clone(socket),
                address,
                bytes: bytes.clone(),
            };
            self.deliver(delay, delivery).await;
        }
    }

    async fn deliver(&self, delay: Duration, delivery: FabricDelivery) {
        if delay.is_zero() {
            return delivery.complete().await;
        }
        let _runtime_ends = self.delayed.send((Instant::now() + delay, delivery));
    }

    fn lock(&self) -> MutexGuard<'_, FabricState> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl FabricState {
    fn is_cut(&self, left: &str, right: &str) -> bool {
        self.cuts.contains(&(left.into(), right.into()))
    }

    fn connects(&mut self, left: &str, right: &str) -> bool {
        let cut = self.is_cut(left, right);
        self.counters.cut += u64::from(cut);
        !cut
    }

    fn choose_host(&mut self, zone: &str) -> Option<SocketAddr> {
        let reachable: Vec<SocketAddr> = self
            .hosts
            .iter()
            .filter(|host| !self.is_cut(zone, &host.zone))
            .map(|host| host.address)
            .collect();
        if reachable.is_empty() {
            self.counters.cut += 1;
            return None;
        }
        Some(reachable[self.random.random_range(0..reachable.len())])
    }

    /// The delay of each copy that arrives: none, one or two.
    fn draw_delays(&mut self) -> [Option<Duration>; 2] {
        self.counters.carried += 1;
        if self.happens(self.settings.loss) {
            self.counters.lost += 1;
            return [None, None];
        }
        let first = self.draw_delay();
        if !self.happens(self.settings.duplication) {
            return [Some(first), None];
        }
        self.counters.duplicated += 1;
        [Some(first), Some(self.draw_delay())]
    }

    fn draw_delay(&mut self) -> Duration {
        let mut ms = self.settings.delay_ms;
        if self.settings.jitter_ms > 0.0 {
            ms += self.random.random::<f64>() * self.settings.jitter_ms;
        }
        if self.happens(self.settings.reordering) {
            self.counters.reordered += 1;
            ms += self.settings.held_ms;
        }
        Duration::from_secs_f64(ms / 1_000.0)
    }

    fn happens(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.random.random::<f64>() < probability
    }
}

impl FabricDelivery {
    async fn complete(self) {
        match self {
            Self::Socket {
                socket,
                address,
                bytes,
            } => {
                let _lost = socket.send_to(&bytes, address).await;
            }
            Self::Caller { sender, bytes } => {
                let _caller_gone = sender.send(bytes);
            }
        }
    }
}

impl PartialEq for DelayedDelivery {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for DelayedDelivery {}

impl PartialOrd for DelayedDelivery {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for DelayedDelivery {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.due, self.number).cmp(&(other.due, other.number))
    }
}

async fn deliver_delayed(mut receiver: mpsc::UnboundedReceiver<(Instant, FabricDelivery)>) {
    let mut waiting: BinaryHeap<Reverse<DelayedDelivery>> = BinaryHeap::new();
    let mut number = 0;
    loop {
        let next_due = waiting.peek().map(|Reverse(first)| first.due);
        let received = match next_due {
            None => receiver.recv().await,
            Some(due) => match tokio::time::timeout_at(due.into(), receiver.recv()).await {
                Ok(received) => received,
                Err(_due) => {
                    if let Some(Reverse(first)) = waiting.pop() {
                        first.delivery.complete().await;
                    }
                    continue;
                }
            },
        };
        let Some((due, delivery)) = received else {
            return;
        };
        number += 1;
        waiting.push(Reverse(DelayedDelivery {
            due,
            number,
            delivery,
        }));
    }
}
