//! Tests of the estimated load that a new flow adds to its upstream.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy_packet::flows::flow_cost::FlowCostConfig;
use lagoonproxy_packet::flows::flow_table::FlowKey;
use lagoonproxy_packet::flows::flow_tracker::FlowTracker;
use lagoonproxy_packet::ids::UpstreamIndex;
use lagoonproxy_packet::load::load_state::UpstreamLoad;
use lagoonproxy_packet::packet_head::PacketHead;
use lagoonproxy_packet::packet_head::PacketKind;
use lagoonproxy_packet::policy_config::PolicyConfig;
use lagoonproxy_packet::selection::load_weight::estimated_in_progress;
use lagoonproxy_packet::upstreams::upstream_table::UpstreamTable;

use crate::core_rig::*;

fn expected_load(rig: &CoreRig) -> u32 {
    let config = FlowCostConfig::default();
    rig.core
        .flow_tracker()
        .costs()
        .expected_load(&config, ledger())
}

/// Sends a request, and acknowledges its response after some milliseconds.
fn exchange(rig: &mut CoreRig, flow: u16, turn: u32, millis: u64) {
    rig.request(flow, 1, turn);
    rig.advance_time(millis);
    rig.acknowledge(flow, 1, turn);
}

fn end(rig: &mut CoreRig, flow: u16, kind: PacketKind) {
    let mut head = established_head(flow, 1, 100, 501, 0);
    head.last = kind == PacketKind::Established;
    head.kind = kind;
    rig.packet(&head);
}

#[test]
fn test_cost_is_the_request_time_of_the_first_second() {
    // Guards against flows with one request that count as much as long ones.
    struct Case {
        name: &'static str,
        run: fn(&mut CoreRig, u16),
        expected: u32,
    }
    let cases = [
        Case {
            name: "one request of 20 ms, then the end",
            run: |rig, flow| {
                exchange(rig, flow, 0, 20);
                end(rig, flow, PacketKind::Established);
            },
            expected: 20,
        },
        Case {
            name: "one request of 20 ms, then a reset by the caller",
            run: |rig, flow| {
                exchange(rig, flow, 0, 20);
                end(rig, flow, PacketKind::Abort);
            },
            expected: 20,
        },
        Case {
            name: "a request of 40 ms in each 200 ms, longer than a second",
            run: |rig, flow| {
                for turn in 0..10 {
                    exchange(rig, flow, turn, 40);
                    rig.advance_time(160);
                }
            },
            expected: 200,
        },
        Case {
            name: "a request that waits over the end of the first second",
            run: |rig, flow| {
                rig.advance_time(900);
                exchange(rig, flow, 0, 300);
            },
            expected: 100,
        },
        Case {
            name: "a request that is never answered",
            run: |rig, flow| {
                rig.request(flow, 1, 0);
                rig.advance_time(3000);
            },
            expected: 500,
        },
        Case {
            name: "no request",
            run: |rig, _flow| rig.advance_time(2000),
            expected: 0,
        },
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1]);
        for flow in 0..6 {
            rig.establish(flow);
            (case.run)(&mut rig, flow);
        }
        assert_eq!(expected_load(&rig), case.expected, "{}", case.name);
        rig.advance_time(2000);
        let measured = rig.core.flow_tracker().costs().measured_flows();
        assert_eq!(measured, 0, "{}: flows are still measured", case.name);
    }
}

#[test]
fn test_response_and_next_request_in_one_packet_are_two_requests() {
    // Guards against requests without a pause between them that count as one unanswered request.
    let mut rig = CoreRig::with_ledger(&[1]);
    for flow in 0..6 {
        rig.establish(flow);
        for turn in 0..12 {
            rig.request(flow, 1, turn);
            rig.advance_time(100);
        }
    }
    assert_eq!(expected_load(&rig), 1000);
}

#[test]
fn test_unknown_routes_cost_the_initial_load() {
    // Guards against the first flows after a start that count as no load.
    let mut rig = CoreRig::with_ledger(&[1]);
    let initial_load = FlowCostConfig::default().initial_load;
    assert_eq!(expected_load(&rig), initial_load);
    for flow in 0..3 {
        rig.establish(flow);
        end(&mut rig, flow, PacketKind::Established);
    }
    assert_eq!(expected_load(&rig), initial_load, "three flows are too few");
    rig.establish(3);
    end(&mut rig, 3, PacketKind::Established);
    assert_eq!(expected_load(&rig), 0);
}

#[test]
fn test_short_flow_share_is_their_share_of_the_request_time() {
    // Guards against weights that follow a digest at once although its load has ended before it
    // arrives.
    struct Case {
        name: &'static str,
        short: u16,
        long: u16,
        expected: (u32, u32),
    }
    let cases = [
        Case {
            name: "no flows",
            short: 0,
            long: 0,
            expected: (1000, 1000),
        },
        Case {
            name: "all end within a second",
            short: 8,
            long: 0,
            expected: (1000, 1000),
        },
        Case {
            name: "all last longer",
            short: 0,
            long: 8,
            expected: (0, 0),
        },
        Case {
            name: "half of the request time",
            short: 8,
            long: 8,
            expected: (400, 600),
        },
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1]);
        for flow in 0..case.short + case.long {
            rig.establish(flow);
            exchange(&mut rig, flow, 0, 20);
            if flow < case.short {
                end(&mut rig, flow, PacketKind::Established);
            }
        }
        rig.advance_time(2000);
        let index = rig.core.upstreams().by_tag(tag(1)).unwrap_or_default();
        let service = rig.core.upstreams().get(index).service;
        let costs = rig.core.flow_tracker().costs();
        let short_flow_share = costs.short_flow_share(&FlowCostConfig::default(), service);
        let (least, most) = case.expected;
        assert!(
            (least..=most).contains(&short_flow_share),
            "{}: {short_flow_share}",
            case.name
        );
    }
}

#[test]
fn test_only_flows_that_open_here_are_measured() {
    // Guards against measuring the first second from the middle of a flow that the fabric moved to
    // this host.
    let mut rig = CoreRig::with_ledger(&[1]);
    for flow in 0..6 {
        exchange(&mut rig, flow, 0, 20);
    }
    assert_eq!(rig.core.flow_tracker().costs().measured_flows(), 0);
}

#[test]
fn test_a_stall_does_not_count_as_request_time() {
    // Guards against a stall of this process that counts as request time.
    let mut rig = CoreRig::with_ledger(&[1]);
    for flow in 0..6 {
        rig.establish(flow);
        rig.request(flow, 1, 0);
    }
    rig.now += Duration::from_secs(2);
    rig.advance_time(100);
    assert_eq!(rig.core.flow_tracker().costs().measured_flows(), 0);
    assert_eq!(expected_load(&rig), FlowCostConfig::default().initial_load);
}

/// A flow tracker with one upstream of the `ledger` service.
struct TrackerRig {
    flow_tracker: FlowTracker,
    upstreams: UpstreamTable,
    index: UpstreamIndex,
    now: Instant,
}

impl TrackerRig {
    fn new() -> Self {
        let now = Instant::now();
        let age = Duration::from_secs(60);
        let mut upstreams = UpstreamTable::new(ZONE.into(), age, PolicyConfig::default());
        let index = upstreams.register(now, &entry(1, "ledger"));
        Self {
            flow_tracker: FlowTracker::default(),
            upstreams,
            index,
            now,
        }
    }

    fn place(&mut self, flow: u16) {
        let (now, index) = (self.now, self.index);
        self.flow_tracker
            .syn_forwarded(now, flow_key(flow), index, &mut self.upstreams);
    }

    fn packet(&mut self, head: &PacketHead, flow: u16) {
        let (now, index) = (self.now, self.index);
        self.flow_tracker
            .handle_packet(now, flow_key(flow), head, index, &mut self.upstreams);
    }

    fn set_measured_load(&mut self, in_progress: u32) {
        self.upstreams.get_mut(self.index).load = UpstreamLoad {
            in_progress,
            updated_at: Some(self.now),
            ..Default::default()
        };
    }

    fn estimated(&self) -> u32 {
        let config = &self.upstreams.config().load_weight;
        estimated_in_progress(config, self.upstreams.get(self.index), self.now, 30)
    }
}

fn flow_key(flow: u16) -> FlowKey {
    FlowKey {
        caller: caller(flow),
        service: ledger(),
    }
}

#[test]
fn test_placed_flows_count_until_a_new_measurement() {
    // Guards against flows that are counted twice, or not until the next digest.
    let mut rig = TrackerRig::new();
    let initial_load = FlowCostConfig::default().initial_load;
    rig.place(0);
    assert_eq!(rig.estimated(), 30_000, "own flow, scaled to 30 hosts");
    rig.set_measured_load(700);
    assert_eq!(rig.estimated(), 700, "measured");
    rig.place(1);
    rig.place(2);
    assert_eq!(rig.estimated(), 700 + 2 * initial_load, "two flows since");
    rig.place(2);
    assert_eq!(
        rig.estimated(),
        700 + 2 * initial_load,
        "a retransmitted SYN"
    );
    rig.now += Duration::from_millis(250);
    rig.set_measured_load(800);
    assert_eq!(rig.estimated(), 800, "measured again");
    rig.place(3);
    rig.now += Duration::from_millis(999);
    assert_eq!(rig.estimated(), 800 + initial_load, "999 ms old");
    rig.now += Duration::from_millis(1);
    assert_eq!(
        rig.estimated(),
        120_000,
        "1 s old: four own flows, scaled to 30 hosts"
    );
}

#[test]
fn test_failure_timeout_follows_the_route_while_contended() {
    // Guards against an outlier ejection for a wait in the queue of a service that is at capacity.
    struct Case {
        name: &'static str,
        is_contended: bool,
        response_ms: u64,
        wait_ms: u64,
        failures: u64,
    }
    let cases = [
        Case {
            name: "not contended, slow route",
            is_contended: false,
            response_ms: 100,
            wait_ms: 450,
            failures: 1,
        },
        Case {
            name: "contended, slow route, below the limit",
            is_contended: true,
            response_ms: 100,
            wait_ms: 799,
            failures: 0,
        },
        Case {
            name: "contended, slow route, at the limit",
            is_contended: true,
            response_ms: 100,
            wait_ms: 800,
            failures: 1,
        },
        Case {
            name: "contended, fast route, at the limit",
            is_contended: true,
            response_ms: 10,
            wait_ms: 450,
            failures: 1,
        },
        Case {
            name: "contended, fast route, below the limit",
            is_contended: true,
            response_ms: 10,
            wait_ms: 449,
            failures: 0,
        },
    ];
    for case in cases {
        let mut rig = TrackerRig::new();
        let service = rig.upstreams.get(rig.index).service;
        rig.upstreams.set_contended(service, case.is_contended);
        for turn in 0..16 {
            let (seq, ack) = (turn * 100, 1 + turn * 500);
            rig.packet(&established_head(0, 1, seq, ack, 100), 0);
            rig.now += Duration::from_millis(case.response_ms);
            rig.packet(&established_head(0, 1, seq + 100, ack + 500, 0), 0);
        }
        rig.packet(&established_head(0, 1, 1600, 8001, 100), 0);
        rig.now += Duration::from_millis(case.wait_ms);
        rig.flow_tracker.tick(rig.now, None, &mut rig.upstreams);
        assert_eq!(rig.flow_tracker.failures(), case.failures, "{}", case.name);
    }
}
