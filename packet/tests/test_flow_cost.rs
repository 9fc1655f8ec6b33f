//! Tests of what a new flow is expected to add to its upstream's load.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy_packet::flows::flow_cost::FlowCostConfig;
use lagoonproxy_packet::flows::flow_evidence::FlowEvidence;
use lagoonproxy_packet::flows::flow_table::FlowKey;
use lagoonproxy_packet::ids::UpstreamIndex;
use lagoonproxy_packet::load::service_room::UpstreamLoad;
use lagoonproxy_packet::packet_head::PacketHead;
use lagoonproxy_packet::packet_head::PacketKind;
use lagoonproxy_packet::policy_config::PolicyConfig;
use lagoonproxy_packet::selection::room_weight::known_in_progress;
use lagoonproxy_packet::upstreams::upstream_table::UpstreamTable;

use crate::core_rig::*;

fn expected_load(rig: &CoreRig) -> u32 {
    let config = FlowCostConfig::default();
    rig.core.evidence().costs().expected_load(&config, ledger())
}

/// Sends a request, and acknowledges its answer some milliseconds later.
fn exchange(rig: &mut CoreRig, flow: u16, turn: u32, millis: u64) {
    rig.request(flow, 1, turn);
    rig.pass(millis);
    rig.acknowledge(flow, 1, turn);
}

fn end(rig: &mut CoreRig, flow: u16, kind: PacketKind) {
    let mut head = carry_head(flow, 1, 100, 501, 0);
    head.last = kind == PacketKind::Carry;
    head.kind = kind;
    rig.packet(&head);
}

#[test]
fn test_cost_is_the_request_time_of_the_first_second() {
    // Guards against flows of one request that count as much as long ones.
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
                end(rig, flow, PacketKind::Carry);
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
                    rig.pass(160);
                }
            },
            expected: 200,
        },
        Case {
            name: "a request that waits over the end of the first second",
            run: |rig, flow| {
                rig.pass(900);
                exchange(rig, flow, 0, 300);
            },
            expected: 100,
        },
        Case {
            name: "a request that is never answered",
            run: |rig, flow| {
                rig.request(flow, 1, 0);
                rig.pass(3000);
            },
            expected: 500,
        },
        Case {
            name: "no request",
            run: |rig, _flow| rig.pass(2000),
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
        rig.pass(2000);
        let measured = rig.core.evidence().costs().measured_flows();
        assert_eq!(measured, 0, "{}: flows are kept", case.name);
    }
}

#[test]
fn test_answer_and_next_request_in_one_packet_are_two_requests() {
    // Guards against requests without a pause that are taken for one that is never answered.
    let mut rig = CoreRig::with_ledger(&[1]);
    for flow in 0..6 {
        rig.establish(flow);
        for turn in 0..12 {
            rig.request(flow, 1, turn);
            rig.pass(100);
        }
    }
    assert_eq!(expected_load(&rig), 1000);
}

#[test]
fn test_unknown_routes_cost_an_assumed_load() {
    // Guards against the first flows after a start that count as nothing.
    let mut rig = CoreRig::with_ledger(&[1]);
    let assumed_load = FlowCostConfig::default().assumed_load;
    assert_eq!(expected_load(&rig), assumed_load);
    for flow in 0..3 {
        rig.establish(flow);
        end(&mut rig, flow, PacketKind::Carry);
    }
    assert_eq!(expected_load(&rig), assumed_load, "three flows say little");
    rig.establish(3);
    end(&mut rig, 3, PacketKind::Carry);
    assert_eq!(expected_load(&rig), 0);
}

#[test]
fn test_turnover_is_the_share_of_short_flows() {
    // Guards against weights that follow a digest at once although its load is over before it arrives.
    struct Case {
        name: &'static str,
        short: u16,
        long: u16,
        expected: (u32, u32),
    }
    let cases = [
        Case {
            name: "nothing seen",
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
                end(&mut rig, flow, PacketKind::Carry);
            }
        }
        rig.pass(2000);
        let index = rig.core.upstreams().by_tag(tag(1)).unwrap_or_default();
        let service = rig.core.upstreams().get(index).service;
        let costs = rig.core.evidence().costs();
        let turnover = costs.turnover(&FlowCostConfig::default(), service);
        let (least, most) = case.expected;
        assert!(
            (least..=most).contains(&turnover),
            "{}: {turnover}",
            case.name
        );
    }
}

#[test]
fn test_only_flows_that_open_here_are_measured() {
    // Guards against the first second being taken from the middle of a flow that the fabric moved here.
    let mut rig = CoreRig::with_ledger(&[1]);
    for flow in 0..6 {
        exchange(&mut rig, flow, 0, 20);
    }
    assert_eq!(rig.core.evidence().costs().measured_flows(), 0);
}

#[test]
fn test_a_stall_is_no_request_time() {
    // Guards against a freeze of this process that counts as the time of requests.
    let mut rig = CoreRig::with_ledger(&[1]);
    for flow in 0..6 {
        rig.establish(flow);
        rig.request(flow, 1, 0);
    }
    rig.now += Duration::from_secs(2);
    rig.pass(100);
    assert_eq!(rig.core.evidence().costs().measured_flows(), 0);
    assert_eq!(expected_load(&rig), FlowCostConfig::default().assumed_load);
}

/// The evidence of one host on one upstream of the ledger.
struct EvidenceRig {
    evidence: FlowEvidence,
    upstreams: UpstreamTable,
    index: UpstreamIndex,
    now: Instant,
}

impl EvidenceRig {
    fn new() -> Self {
        let now = Instant::now();
        let age = Duration::from_secs(60);
        let mut upstreams = UpstreamTable::new(ZONE.into(), age, PolicyConfig::default());
        let index = upstreams.register(now, &entry(1, "ledger"));
        Self {
            evidence: FlowEvidence::default(),
            upstreams,
            index,
            now,
        }
    }

    fn place(&mut self, flow: u16) {
        let (now, index) = (self.now, self.index);
        self.evidence
            .opening_sent(now, flow_key(flow), index, &mut self.upstreams);
    }

    fn packet(&mut self, head: &PacketHead, flow: u16) {
        let (now, index) = (self.now, self.index);
        self.evidence
            .packet(now, flow_key(flow), head, index, &mut self.upstreams);
    }

    fn measure(&mut self, in_progress: u32) {
        self.upstreams.get_mut(self.index).load = UpstreamLoad {
            in_progress,
            updated_at: Some(self.now),
            ..Default::default()
        };
    }

    fn known(&self) -> u32 {
        let config = &self.upstreams.config().room;
        known_in_progress(config, self.upstreams.get(self.index), self.now, 30)
    }
}

fn flow_key(flow: u16) -> FlowKey {
    FlowKey {
        caller: caller(flow),
        service: ledger(),
    }
}

#[test]
fn test_what_is_placed_counts_until_a_new_measurement() {
    // Guards against flows that are counted twice, or not until the next digest.
    let mut rig = EvidenceRig::new();
    let assumed_load = FlowCostConfig::default().assumed_load;
    rig.place(0);
    assert_eq!(rig.known(), 30_000, "own flow on 30 hosts");
    rig.measure(700);
    assert_eq!(rig.known(), 700, "measured");
    rig.place(1);
    rig.place(2);
    assert_eq!(rig.known(), 700 + 2 * assumed_load, "two flows since");
    rig.place(2);
    assert_eq!(rig.known(), 700 + 2 * assumed_load, "a copy of a SYN");
    rig.now += Duration::from_millis(250);
    rig.measure(800);
    assert_eq!(rig.known(), 800, "measured anew");
    rig.place(3);
    rig.now += Duration::from_millis(999);
    assert_eq!(rig.known(), 800 + assumed_load, "999 ms old");
    rig.now += Duration::from_millis(1);
    assert_eq!(rig.known(), 120_000, "1 s old: own four flows on 30 hosts");
}

#[test]
fn test_failed_wait_follows_the_route_while_contended() {
    // Guards against an outlier ejection for a wait in the queue of a service that is merely full.
    struct Case {
        name: &'static str,
        is_contended: bool,
        usual: u64,
        waits: u64,
        failures: u64,
    }
    let cases = [
        Case {
            name: "calm, slow route",
            is_contended: false,
            usual: 100,
            waits: 450,
            failures: 1,
        },
        Case {
            name: "contended, slow route",
            is_contended: true,
            usual: 100,
            waits: 799,
            failures: 0,
        },
        Case {
            name: "contended, slow route, too long",
            is_contended: true,
            usual: 100,
            waits: 800,
            failures: 1,
        },
        Case {
            name: "contended, fast route",
            is_contended: true,
            usual: 10,
            waits: 450,
            failures: 1,
        },
        Case {
            name: "contended, fast route, not yet",
            is_contended: true,
            usual: 10,
            waits: 449,
            failures: 0,
        },
    ];
    for case in cases {
        let mut rig = EvidenceRig::new();
        let service = rig.upstreams.get(rig.index).service;
        rig.upstreams.set_contended(service, case.is_contended);
        for turn in 0..16 {
            let (seq, ack) = (turn * 100, 1 + turn * 500);
            rig.packet(&carry_head(0, 1, seq, ack, 100), 0);
            rig.now += Duration::from_millis(case.usual);
            rig.packet(&carry_head(0, 1, seq + 100, ack + 500, 0), 0);
        }
        rig.packet(&carry_head(0, 1, 1600, 8001, 100), 0);
        rig.now += Duration::from_millis(case.waits);
        rig.evidence.tick(rig.now, None, &mut rig.upstreams);
        assert_eq!(rig.evidence.failures(), case.failures, "{}", case.name);
    }
}
