//! Simulates many hosts that place flows on the upstreams of one service, in virtual time and
//! without a network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use lagoonproxy::flow_hash::rendezvous_weight;
use lagoonproxy_packet::flows::flow_cost::FlowCosts;
use lagoonproxy_packet::flows::flow_table::FlowKey;
use lagoonproxy_packet::selection::load_weight::WeightMethod;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::core_rig::*;
use crate::test_contended_selection::ContendedRig;
use crate::test_contended_selection::KnownUpstream;

const HOSTS: usize = 30;
const UPSTREAMS: usize = 40;
const SLOTS: usize = 2;
const QUEUE_LENGTH: usize = 8;
const DIGEST_MICROS: u64 = 250_000;

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct QueueCase {
    /// How weights are computed; `None` selects as for a service that is not contended.
    pub method: Option<WeightMethod>,
    /// Offered load as a fraction of the capacity of all slots.
    pub utilization: f64,
    /// Requests per flow, 100 ms apart on average.
    pub requests: u32,
    /// Whether the first upstream is five times slower from the end of the warmup.
    pub is_one_slow: bool,
    /// When counting begins and when the simulation ends, in seconds.
    pub seconds: (u64, u64),
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct QueueCounts {
    /// Requests that arrived at each upstream.
    pub arrivals: Vec<u32>,
    /// New flows of each upstream, without the first second after the warmup.
    pub flows: Vec<u32>,
    /// Requests that arrived at a full queue.
    pub sheds: u32,
    /// Sum of the response times, and number of responses.
    pub response: (Duration, u32),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueFlow {
    host: usize,
    upstream: usize,
    number: u16,
    remaining_requests: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum QueueEvent {
    Digest,
    Open,
    Request(QueueFlow),
    Response(QueueFlow, u64),
}

/// An upstream: its queue, its busy slots, and measurements of two digest intervals.
#[derive(Default)]
struct QueueServer {
    queue: VecDeque<(QueueFlow, u64)>,
    busy: usize,
    counted_until: u64,
    /// Request time, responses, sum of their response times in microseconds, and shed requests, of
    /// the current and the previous interval.
    intervals: [(u64, u32, u64, u32); 2],
}

impl QueueServer {
    fn count_time(&mut self, now: u64) {
        self.intervals[0].0 += (now - self.counted_until) * (self.busy + self.queue.len()) as u64;
        self.counted_until = now;
    }
}

/// Runs a simulation.
pub fn run_queues(case: QueueCase) -> QueueCounts {
    let mut random = StdRng::seed_from_u64(case.seed);
    let blank = KnownUpstream {
        slots: SLOTS as u32,
        in_progress: 0,
        response_ms: 0,
        warmup_ms: 0,
    };
    let method = case.method.unwrap_or_default();
    let mut hosts: Vec<ContendedRig> = (0..HOSTS)
        .map(|_host| ContendedRig::new(method, &[blank; UPSTREAMS]))
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
    let (warmup, end) = (case.seconds.0 * 1_000_000, case.seconds.1 * 1_000_000);
    // A request takes 4 to 40 ms, and 3 % of them seven times as long: 25.96 ms on average.
    let flow_gap =
        25_960.0 * f64::from(case.requests) / (case.utilization * (UPSTREAMS * SLOTS) as f64);
    let mut events = BinaryHeap::from([
        Reverse((0, QueueEvent::Digest)),
        Reverse((0, QueueEvent::Open)),
    ]);
    let mut flow_count = 0_u64;
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
                    let [current, previous] = server.intervals;
                    let in_progress = (current.0 + previous.0) * 1000 / (2 * DIGEST_MICROS);
                    let response =
                        (current.2 + previous.2) / u64::from(current.1 + previous.1).max(1) / 1000;
                    server.intervals = [(0, 0, 0, 0), current];
                    let index = hosts[0].members[upstream];
                    let flows: u32 = hosts.iter().map(|host| host.table.get(index).flows).sum();
                    for (host, cost) in hosts.iter_mut().zip(&mut costs) {
                        cost.tick(&config, now);
                        host.now = now;
                        host.measure(upstream, in_progress as u32, response);
                        let record = host.table.get_mut(index);
                        record.load.shed_rate = (current.3 + previous.3) * 2000;
                        record.peer_flows = flows - record.flows;
                    }
                }
                for (host, cost) in hosts.iter_mut().zip(&costs) {
                    host.table.update_weights(cost);
                    host.contention.updated_at = Some(now);
                }
                events.push(Reverse((micros + DIGEST_MICROS, QueueEvent::Digest)));
            }
            QueueEvent::Open => {
                let gap = -(1.0 - random.random::<f64>()).ln() * flow_gap;
                events.push(Reverse((micros + gap as u64, QueueEvent::Open)));
                flow_count += 1;
                let host = random.random_range(0..HOSTS);
                let rig = &mut hosts[host];
                (rig.now, rig.contention.is_contended) = (now, case.method.is_some());
                let index = rig
                    .select(rendezvous_weight(flow_count, case.seed), None)
                    .first;
                let upstream = rig
                    .members
                    .iter()
                    .position(|member| *member == index)
                    .unwrap_or_default();
                let flow = QueueFlow {
                    host,
                    upstream,
                    number: (flow_count % 60_000) as u16,
                    remaining_requests: case.requests,
                };
                let record = rig.table.get_mut(index);
                record.flows += 1;
                record.placed.add(
                    record.load.updated_at,
                    costs[host].expected_load(&config, ledger()),
                );
                costs[host].start_measuring(now, key(&flow), 0);
                counts.flows[upstream] += u32::from(micros >= warmup + 1_000_000);
                started = Some(flow);
            }
            QueueEvent::Request(flow) => started = Some(flow),
            QueueEvent::Response(flow, arrived_at) => {
                let server = &mut servers[flow.upstream];
                server.count_time(micros);
                server.busy -= 1;
                server.intervals[0].1 += 1;
                server.intervals[0].2 += micros - arrived_at;
                if micros >= warmup {
                    counts.response.0 += Duration::from_micros(micros - arrived_at);
                    counts.response.1 += 1;
                }
                costs[flow.host].set_waiting(&config, now, &key(&flow), false);
                ended = Some(flow);
            }
        }
        if let Some(flow) = started {
            counts.arrivals[flow.upstream] += u32::from(micros >= warmup);
            hosts[flow.host].change_waiting(flow.upstream, 1);
            costs[flow.host].set_waiting(&config, now, &key(&flow), true);
            let server = &mut servers[flow.upstream];
            if server.queue.len() >= QUEUE_LENGTH {
                counts.sheds += u32::from(micros >= warmup);
                server.intervals[0].3 += 1;
                ended = Some(flow);
            } else {
                server.count_time(micros);
                server.queue.push_back((flow, micros));
            }
        }
        if let Some(mut flow) = ended {
            hosts[flow.host].change_waiting(flow.upstream, -1);
            flow.remaining_requests -= 1;
            if flow.remaining_requests == 0 {
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
                let Some((flow, arrived_at)) = server.queue.pop_front() else {
                    break;
                };
                server.busy += 1;
                let long_factor = if random.random_bool(0.03) { 7 } else { 1 };
                let slow_factor = if case.is_one_slow && upstream == 0 && micros >= warmup {
                    5
                } else {
                    1
                };
                let service_micros = random.random_range(4_000..40_000) * long_factor * slow_factor;
                events.push(Reverse((
                    micros + service_micros,
                    QueueEvent::Response(flow, arrived_at),
                )));
            }
        }
    }
    counts
}
