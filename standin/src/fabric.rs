//! Stand-in for the fabric: forwards each datagram of a caller to a random entry host, and drops,
//! duplicates, reorders and delays datagrams in both directions.
//!
//! All random choices come from one seed. Partitions between availability zones are simulated here
//! and in [`crate::peer_proxy`]; the network of the machine is never changed.

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

/// Faults and delays of a fabric. Probabilities are between 0 and 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FabricSettings {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Probability that a datagram is dropped.
    pub loss: f64,
    /// Probability that a datagram is delivered twice.
    pub duplication: f64,
    /// Probability that a copy of a datagram is delayed by `held_ms`, so that later ones overtake
    /// it.
    pub reordering: f64,
    /// One-way delay of each datagram, in milliseconds.
    pub delay_ms: f64,
    /// Maximum jitter added to the delay, in milliseconds; uniformly distributed.
    pub jitter_ms: f64,
    /// Additional delay of a reordered datagram, in milliseconds.
    pub held_ms: f64,
}

/// Counters of a fabric.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FabricCounters {
    /// Datagrams accepted for delivery, dropped ones included.
    pub carried: u64,
    /// Datagrams dropped at random.
    pub lost: u64,
    /// Datagrams delivered twice.
    pub duplicated: u64,
    /// Copies of datagrams delayed for reordering.
    pub reordered: u64,
    /// Datagrams dropped by a partition, or because no host was reachable.
    pub cut: u64,
}

/// An entry host of the fabric.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FabricHost {
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address at which it receives datagrams of callers.
    pub address: SocketAddr,
}

/// A datagram and its destination.
pub(crate) enum FabricDelivery {
    /// Sent from a UDP socket to an address.
    Socket {
        socket: Arc<UdpSocket>,
        address: SocketAddr,
        bytes: Bytes,
    },
    /// Passed to a caller in this process.
    Caller {
        sender: mpsc::UnboundedSender<Bytes>,
        bytes: Bytes,
    },
}

/// A delayed delivery, ordered by due time, then by arrival.
struct DelayedDelivery {
    due: Instant,
    sequence: u64,
    delivery: FabricDelivery,
}

struct FabricState {
    settings: FabricSettings,
    rng: StdRng,
    hosts: Vec<FabricHost>,
    cuts: BTreeSet<(ZoneName, ZoneName)>,
    counters: FabricCounters,
}

/// The fabric. Clones share its state.
#[derive(Clone)]
pub struct Fabric {
    state: Arc<Mutex<FabricState>>,
    delayed: mpsc::UnboundedSender<(Instant, FabricDelivery)>,
}

impl Fabric {
    /// Creates a fabric in front of `hosts`, and spawns the task that delivers delayed datagrams.
    pub fn new(settings: FabricSettings, hosts: Vec<FabricHost>) -> Self {
        let (delayed, receiver) = mpsc::unbounded_channel();
        tokio::spawn(deliver_delayed(receiver));
        let state = FabricState {
            settings,
            rng: StdRng::seed_from_u64(settings.seed),
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

    /// Partitions two availability zones from each other in both directions.
    pub fn cut(&self, left: &str, right: &str) {
        let mut state = self.lock();
        state.cuts.insert((left.into(), right.into()));
        state.cuts.insert((right.into(), left.into()));
    }

    /// Ends all partitions.
    pub fn heal(&self) {
        self.lock().cuts.clear();
    }

    /// Returns the counters.
    pub fn counters(&self) -> FabricCounters {
        self.lock().counters
    }

    /// Sends a datagram of a caller in `zone` from `socket` to a random reachable host.
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

    /// Delivers a datagram of a host to a caller.
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

    /// Sends a datagram between two hosts unless their zones are partitioned.
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
        Some(reachable[self.rng.random_range(0..reachable.len())])
    }

    /// Draws the delay of each copy to deliver: no copy if the datagram is lost, two if duplicated.
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
            ms += self.rng.random::<f64>() * self.settings.jitter_ms;
        }
        if self.happens(self.settings.reordering) {
            self.counters.reordered += 1;
            ms += self.settings.held_ms;
        }
        Duration::from_secs_f64(ms / 1_000.0)
    }

    fn happens(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random::<f64>() < probability
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
        (self.due, self.sequence).cmp(&(other.due, other.sequence))
    }
}

async fn deliver_delayed(mut receiver: mpsc::UnboundedReceiver<(Instant, FabricDelivery)>) {
    let mut waiting: BinaryHeap<Reverse<DelayedDelivery>> = BinaryHeap::new();
    let mut sequence = 0;
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
        sequence += 1;
        waiting.push(Reverse(DelayedDelivery {
            due,
            sequence,
            delivery,
        }));
    }
}
