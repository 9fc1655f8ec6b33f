//! Many hosts that place flows at the queues of one service, in virtual time and without a network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use lagoonproxy::flow_hash::rendezvous_weight;
use lagoonproxy_packet::flows::flow_cost::FlowCosts;
use lagoonproxy_packet::flows::flow_table::FlowKey;
use lagoonproxy_packet::selection::room_weight::RoomMeasure;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::core_rig::*;
use crate::test_room_selection::KnownUpstream;
use crate::test_room_selection::RoomRig;

const HOSTS: usize = 30;
const UPSTREAMS: usize = 40;
const SLOTS: usize = 2;
const QUEUE: usize = 8;
const DIGEST_MICROS: u64 = 250_000;

/// What runs.
#[derive(Clone, Copy, Debug)]
pub struct QueueCase {
    /// `None` is selection as in calm.
    pub measure: Option<RoomMeasure>,
    /// Offered load against all slots.
    pub utilization: f64,
    /// Requests of each flow, 100 ms apart on average.
    pub requests: u32,
    /// Whether the first upstream is five times slower from the end of the lead time.
    pub is_one_slow: bool,
    /// Time before counts begin, and until the end, in seconds.
    pub seconds: (u64, u64),
    /// Seed of the random numbers.
    pub seed: u64,
}

/// What was counted.
#[derive(Clone, Debug, Default)]
pub struct QueueCounts {
    /// Requests that arrived at each upstream.
    pub arrivals: Vec<u32>,
    /// New flows of each upstream, without the first second of the counted time.
    pub flows: Vec<u32>,
    /// Requests that found the queue full.
    pub sheds: u32,
    /// Sum of the times from arrival to answer, and how many.
    pub response: (Duration, u32),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueFlow {
    host: usize,
    upstream: usize,
    number: u16,
    left: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum QueueEvent {
    Digest,
    Open,
    Request(QueueFlow),
    Answer(QueueFlow, u64),
}

/// One upstream: requests that wait, those in progress, and what the last two digest intervals saw.
#[derive(Default)]
struct QueueServer {
    queue: VecDeque<(QueueFlow, u64)>,
    busy: usize,
    changed_at: u64,
    /// Request time, answers and sum of their response times in micros, and sheds, of this interval and the last.
    seen: [(u64, u32, u64, u32); 2],
}

impl QueueServer {
    fn count_time(&mut self, now: u64) {
        self.seen[0].0 += (now - self.changed_at) * (self.busy + self.queue.len()) as u64;
        self.changed_at = now;
    }
}

/// Runs one case.
pub fn run_queues(case: QueueCase) -> QueueCounts {
    let mut random = StdRng::seed_from_u64(case.seed);
    let blank = KnownUpstream {
        slots: SLOTS as u32,
        in_progress: 0,
        response_ms: 0,
        warmup_ms: 0,
    };
    let measure = case.measure.unwrap_or_default();
    let mut hosts: Vec<RoomRig> = (0..HOSTS)
        .map(|_host| RoomRig::new(measure, &[blank; UPSTREAMS]))
        .collect();
    let mut costs: Vec<FlowCosts> = (0..HOSTS).map(|_host| FlowCosts::default()).collect();
    let start = hosts[0].now;
    let config = hosts[0].table.config().costs;
    let mut servers: Vec<QueueServer> = (0..UPSTREAMS)
        .map(|_server| QueueServer::default())
        .collect();
    let mut counts = QueueCounts {
        arrivals: vec![0; UPSTREAMS],
        flows: vec![0; UPSTREAMS],
        ..Default::default()
    };
    let (lead, end) = (case.seconds.0 * 1_000_000, case.seconds.1 * 1_000_000);
    // A request takes 4 to 40 ms, 3 % of them seven times as long: 25.96 ms on average.
    let flow_gap =
        25_960.0 * f64::from(case.requests) / (case.utilization * (UPSTREAMS * SLOTS) as f64);
    let mut events = BinaryHeap::from([
        Reverse((0, QueueEvent::Digest)),
        Reverse((0, QueueEvent::Open)),
    ]);
    let mut opened = 0_u64;
    while let Some(Reverse((micros, event))) = events.pop() {
        if micros >= end {
            break;
        }
        let now = start + Duration::from_micros(micros);
        let key = |flow: &QueueFlow| FlowKey {
            caller: caller(flow.number),
            service: ledger(),
        };
        let mut ended = None;
        let mut started = None;
        match event {
            QueueEvent::Digest => {
                for (upstream, server) in servers.iter_mut().enumerate() {
                    server.count_time(micros);
                    let [present, last] = server.seen;
                    let in_progress = (present.0 + last.0) * 1000 / (2 * DIGEST_MICROS);
                    let response =
                        (present.2 + last.2) / u64::from(present.1 + last.1).max(1) / 1000;
                    server.seen = [(0, 0, 0, 0), present];
                    let index = hosts[0].members[upstream];
                    let flows: u32 = hosts.iter().map(|host| host.table.get(index).flows).sum();
                    for (host, cost) in hosts.iter_mut().zip(&mut costs) {
                        cost.tick(&config, now);
                        host.now = now;
                        host.measure(upstream, in_progress as u32, response);
                        let record = host.table.get_mut(index);
                        record.load.shed_rate = (present.3 + last.3) * 2000;
                        record.flows_elsewhere = flows - record.flows;
                    }
                }
                for (host, cost) in hosts.iter_mut().zip(&costs) {
                    host.table.learn_loads(cost);
                    host.room.updated_at = Some(now);
                }
                events.push(Reverse((micros + DIGEST_MICROS, QueueEvent::Digest)));
            }
            QueueEvent::Open => {
                let gap = -(1.0 - random.random::<f64>()).ln() * flow_gap;
                events.push(Reverse((micros + gap as u64, QueueEvent::Open)));
                opened += 1;
                let host = random.random_range(0..HOSTS);
                let rig = &mut hosts[host];
                (rig.now, rig.room.is_contended) = (now, case.measure.is_some());
                let index = rig.select(rendezvous_weight(opened, case.seed), None).first;
                let upstream = rig
                    .members
                    .iter()
                    .position(|member| *member == index)
                    .unwrap_or_default();
                let flow = QueueFlow {
                    host,
                    upstream,
                    number: (opened % 60_000) as u16,
                    left: case.requests,
                };
                let record = rig.table.get_mut(index);
                record.flows += 1;
                record.placed.add(
                    record.load.updated_at,
                    costs[host].expected_load(&config, ledger()),
                );
                costs[host].begin(now, key(&flow), 0);
                counts.flows[upstream] += u32::from(micros >= lead + 1_000_000);
                started = Some(flow);
            }
            QueueEvent::Request(flow) => started = Some(flow),
            QueueEvent::Answer(flow, sent) => {
                let server = &mut servers[flow.upstream];
                server.count_time(micros);
                server.busy -= 1;
                server.seen[0].1 += 1;
                server.seen[0].2 += micros - sent;
                if micros >= lead {
                    counts.response.0 += Duration::from_micros(micros - sent);
                    counts.response.1 += 1;
                }
                costs[flow.host].set_waiting(&config, now, &key(&flow), false);
                ended = Some(flow);
            }
        }
        if let Some(flow) = started {
            counts.arrivals[flow.upstream] += u32::from(micros >= lead);
            hosts[flow.host].waiting(flow.upstream, 1);
            costs[flow.host].set_waiting(&config, now, &key(&flow), true);
            let server = &mut servers[flow.upstream];
            if server.queue.len() >= QUEUE {
                counts.sheds += u32::from(micros >= lead);
                server.seen[0].3 += 1;
                ended = Some(flow);
            } else {
                server.count_time(micros);
                server.queue.push_back((flow, micros));
            }
        }
        if let Some(mut flow) = ended {
            hosts[flow.host].waiting(flow.upstream, -1);
            flow.left -= 1;
            if flow.left == 0 {
                costs[flow.host].end(&config, now, &key(&flow));
                let index = hosts[flow.host].members[flow.upstream];
                hosts[flow.host].table.get_mut(index).flows -= 1;
            } else {
                let pause = random.random_range(50_000..150_000);
                events.push(Reverse((micros + pause, QueueEvent::Request(flow))));
            }
        }
        for upstream in [started, ended]
            .into_iter()
            .flatten()
            .map(|flow| flow.upstream)
        {
            let server = &mut servers[upstream];
            while server.busy < SLOTS {
                let Some((flow, sent)) = server.queue.pop_front() else {
                    break;
                };
                server.busy += 1;
                let tail = if random.random_bool(0.03) { 7 } else { 1 };
                let slow = if case.is_one_slow && upstream == 0 && micros >= lead {
                    5
                } else {
                    1
                };
                let took = random.random_range(4_000..40_000) * tail * slow;
                events.push(Reverse((micros + took, QueueEvent::Answer(flow, sent))));
            }
        }
    }
    counts
}
