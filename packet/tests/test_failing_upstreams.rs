//! Tests of upstreams that are alive and fail their requests, each with its load.

use std::time::Duration;

use lagoonproxy_packet::packet_action::DecisionEvent;
use lagoonproxy_packet::packet_action::UpstreamChange;
use lagoonproxy_packet::peers::peer_heartbeat::AnswerReport;
use lagoonproxy_packet::peers::peer_heartbeat::FailureReport;

use crate::core_rig::*;
use crate::test_peer_table::address;
use crate::test_peer_table::heartbeat;

/// Bytes of the usual answer, and of an error.
const ANSWER: u32 = 1800;
const ERROR: u32 = 160;

/// One caller's flow.
struct CallerFlow {
    number: u16,
    upstream: u8,
    seq: u32,
    ack: u32,
    waits: bool,
}

impl CallerFlow {
    fn open(rig: &mut CoreRig, number: u16) -> Self {
        let upstream = rig.establish(number);
        Self {
            number,
            upstream,
            seq: 0,
            ack: 1,
            waits: false,
        }
    }

    fn ask(&mut self, rig: &mut CoreRig) {
        rig.packet(&established_head(
            self.number,
            self.upstream,
            self.seq,
            self.ack,
            100,
        ));
        self.seq += 100;
        self.waits = true;
    }

    fn receive(&mut self, rig: &mut CoreRig, bytes: u32) {
        self.ack += bytes;
        self.waits = false;
        rig.packet(&established_head(
            self.number,
            self.upstream,
            self.seq,
            self.ack,
            0,
        ));
    }
}

/// Sixteen flows at four upstreams, which have served twenty requests each.
fn served_flows(rig: &mut CoreRig) -> Vec<CallerFlow> {
    let mut flows: Vec<CallerFlow> = (0..16).map(|flow| CallerFlow::open(rig, flow)).collect();
    for _turn in 0..20 {
        turn(rig, &mut flows, |_upstream, _turn| Some(ANSWER));
    }
    flows
}

/// Every flow that waits for nothing sends a request; `answer` says how many bytes come back, after
/// 30 ms.
fn turn(rig: &mut CoreRig, flows: &mut [CallerFlow], answer: impl Fn(u8, usize) -> Option<u32>) {
    for flow in flows.iter_mut().filter(|flow| !flow.waits) {
        flow.ask(rig);
    }
    rig.pass(30);
    for (place, flow) in flows.iter_mut().enumerate() {
        if let Some(bytes) = answer(flow.upstream, place) {
            flow.receive(rig, bytes);
        }
    }
    rig.pass(100);
}

/// The upstreams that twelve new flows go to.
fn new_flows(rig: &mut CoreRig, first: u16) -> Vec<u8> {
    let mut used: Vec<u8> = (first..first + 12)
        .map(|flow| rig.establish(flow))
        .collect();
    used.sort_unstable();
    used.dedup();
    used
}

fn beliefs(rig: &mut CoreRig) -> Vec<UpstreamChange> {
    let events = std::mem::take(&mut rig.events);
    let changes = events.into_iter().filter_map(|event| match event {
        DecisionEvent::Upstream { change, .. } => Some(change),
        _ => None,
    });
    changes.collect()
}

#[test]
fn test_upstream_that_hangs_or_errs_gets_no_new_flows() {
    // Guards against an upstream that fails fast and draws new flows because it looks idle.
    struct Case {
        name: &'static str,
        answer: fn(usize) -> Option<u32>,
        left_out: bool,
    }
    let cases = [
        Case {
            name: "answers nobody",
            answer: |_place| None,
            left_out: true,
        },
        Case {
            name: "errors only",
            answer: |_place| Some(ERROR),
            left_out: true,
        },
        Case {
            name: "half of the answers are errors",
            answer: |place| Some(if place % 8 < 4 { ERROR } else { ANSWER }),
            left_out: true,
        },
        Case {
            name: "answers of another length",
            answer: |_place| Some(ANSWER / 2),
            left_out: false,
        },
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
        let mut flows = served_flows(&mut rig);
        beliefs(&mut rig);
        for _turn in 0..15 {
            turn(&mut rig, &mut flows, |upstream, place| match upstream {
                1 => (case.answer)(place),
                _ => Some(ANSWER),
            });
        }
        rig.pass(700);
        let failing = beliefs(&mut rig).contains(&UpstreamChange::Failing);
        assert_eq!(failing, case.left_out, "{}", case.name);
        let used = new_flows(&mut rig, 100);
        assert_eq!(used.contains(&1), !case.left_out, "{}: {used:?}", case.name);
        assert!(rig.resets.is_empty(), "{}: its flows stay", case.name);
    }
}

#[test]
fn test_upstream_that_serves_again_gets_new_flows() {
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
    let mut flows = served_flows(&mut rig);
    for _turn in 0..5 {
        turn(&mut rig, &mut flows, |upstream, _place| {
            Some(if upstream == 1 { ERROR } else { ANSWER })
        });
    }
    assert!(!new_flows(&mut rig, 100).contains(&1));
    beliefs(&mut rig);
    for _turn in 0..25 {
        turn(&mut rig, &mut flows, |_upstream, _place| Some(ANSWER));
    }
    assert!(beliefs(&mut rig).contains(&UpstreamChange::Serving));
    assert!(new_flows(&mut rig, 200).contains(&1));
}

#[test]
fn test_all_upstreams_failing_are_all_used() {
    // Guards against one healthy upstream that gets the load of all ejected ones.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
    let mut flows = served_flows(&mut rig);
    for _turn in 0..3 {
        turn(&mut rig, &mut flows, |upstream, _place| {
            Some(if upstream == 4 { ANSWER } else { ERROR })
        });
    }
    rig.pass(700);
    let used = new_flows(&mut rig, 100);
    assert!(used.len() > 1, "{used:?}");
}

#[test]
fn test_host_that_was_held_up_calls_nobody_failing() {
    // Guards against outliers found from packets that waited in a frozen host.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
    let mut flows = served_flows(&mut rig);
    for flow in &mut flows {
        flow.ask(&mut rig);
    }
    beliefs(&mut rig);
    rig.now += Duration::from_secs(5);
    rig.pass(200);
    for flow in &mut flows {
        flow.receive(&mut rig, ANSWER);
    }
    rig.pass(1000);
    assert!(!beliefs(&mut rig).contains(&UpstreamChange::Failing));
}

#[test]
fn test_errors_of_long_ago_do_not_count() {
    // Guards against responses that are judged only when their flow closes for idleness.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
    let mut flows = served_flows(&mut rig);
    turn(&mut rig, &mut flows, |upstream, _place| {
        Some(if upstream == 1 { ERROR } else { ANSWER })
    });
    rig.pass(12_000);
    beliefs(&mut rig);
    for flow in &mut flows {
        let mut end = established_head(flow.number, flow.upstream, flow.seq, flow.ack, 0);
        end.last = true;
        rig.packet(&end);
    }
    rig.pass(300);
    assert!(!beliefs(&mut rig).contains(&UpstreamChange::Failing));
}

#[test]
fn test_long_upload_is_not_failing() {
    // A caller on a thin line uploads for two seconds; its upstream has nothing to answer before.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
    let mut flows = served_flows(&mut rig);
    beliefs(&mut rig);
    for _part in 0..20 {
        for flow in &mut flows {
            flow.ask(&mut rig);
        }
        rig.pass(100);
    }
    assert!(!beliefs(&mut rig).contains(&UpstreamChange::Failing));
}

#[test]
fn test_hosts_of_a_zone_add_up_what_they_saw() {
    // Guards against a hanging upstream of which each host sees too few requests.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
    for number in 2..5 {
        rig.core
            .heard(rig.now, address(number), heartbeat(ZONE, 10), false);
    }
    for number in 2..5 {
        let answers = AnswerReport {
            served: 0,
            failed: 1,
        };
        let tag = tag(1);
        rig.core
            .handle_failure_reports(address(number), &[FailureReport { tag, answers }]);
    }
    rig.pass(100);
    assert!(!new_flows(&mut rig, 0).contains(&1));
}

#[test]
fn test_failures_are_told_at_once_and_bounded() {
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
    let mut flows = served_flows(&mut rig);
    for number in 2..100 {
        rig.core
            .heard(rig.now, address(number), heartbeat(ZONE, 10), false);
    }
    assert_eq!(
        rig.core.due_failure_reports(rig.now),
        None,
        "nothing failed"
    );
    for flow in &mut flows {
        flow.ask(&mut rig);
    }
    rig.pass(800);
    let (reports, targets) = rig.core.due_failure_reports(rig.now).expect("a word");
    assert_eq!((reports.len(), targets.len()), (4, 24));
    rig.pass(500);
    assert_eq!(rig.core.due_failure_reports(rig.now), None, "told once");
}
