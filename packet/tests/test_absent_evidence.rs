//! Tests of decisions that act on the absence of something that may only be late, or may have gone
//! through another host.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy_packet::dispatch::request_ledger::RequestLedger;
use lagoonproxy_packet::packet_head::PacketHead;
use lagoonproxy_packet::packet_head::PacketKind;
use lagoonproxy_packet::policy_config::LapseConfig;
use lagoonproxy_packet::upstreams::upstream_entry::EntryState;

use crate::core_rig::*;
use crate::load_rig::*;

/// Interval at which load reports are sent and delivered.
const REPORT_STEP_MS: u64 = 3 * 2 * HALF_CYCLE_MS;

#[test]
fn test_handshakes_that_end_at_another_host_reset_no_flow() {
    // Guards against flows whose handshake goes on through another host, after a change of the
    // fabric's rotation, that count as unanswered SYNs of their upstream.
    struct Case {
        name: &'static str,
        zone: &'static str,
        half_open: usize,
    }
    let case = |name, zone, half_open| Case {
        name,
        zone,
        half_open,
    };
    let cases = [
        case("three flows in this zone", ZONE, 3),
        case("three flows in another zone", "b", 3),
        case("more flows", ZONE, 6),
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger_in(case.zone, &[1, 2, 3, 4]);
        let idle = (0..20).filter(|flow| rig.establish(*flow) == 1).count();
        assert!(idle > 0, "{}", case.name);
        rig.advance_time(1000);
        let mut half_open = 0;
        for flow in 100..300 {
            let upstream = rig.open(flow, 0)[0];
            if upstream == 1 {
                half_open += 1;
            } else {
                rig.packet(&established_head(flow, upstream, 0, 1, 0));
            }
            if half_open == case.half_open {
                break;
            }
        }
        assert_eq!(half_open, case.half_open, "{}", case.name);
        rig.advance_time(4000);
        assert!(
            rig.resets.is_empty(),
            "{}: flows of a sound upstream were reset",
            case.name
        );
        assert!(
            !upstream_is_ejected(&rig, 1),
            "{}: a sound upstream gets no new flows",
            case.name
        );
    }
}

#[test]
fn test_late_syn_of_a_closed_flow_reaches_no_other_upstream() {
    // Guards against a SYN that arrives after its flow was closed and is forwarded to the upstream
    // that has taken the place of the flow's upstream in this host's table.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    let flow = (0..10)
        .find(|flow| rig.establish(*flow) == 1)
        .expect("a flow at 1");
    rig.advance_time(2000);
    rig.publish(|revision| removed_item(revision, 1));
    let kept = settings().max_flow_age + LapseConfig::default().restored_grace;
    let closing_at = kept - Duration::from_millis(500);
    keep_responding(&mut rig, flow, 1, closing_at);
    rig.packet(&PacketHead {
        last: true,
        ..established_head(flow, 1, 1_000_000, 1_000_000, 0)
    });
    rig.advance_time(800);
    rig.publish(|revision| upstream_item(revision, entry(3, "certs")));
    let reached = rig.open(flow, 1);
    assert!(
        reached.iter().all(|number| [1, 2].contains(number)),
        "a SYN to ledger reached {reached:?}"
    );
}

#[test]
fn test_flow_opened_after_its_upstream_was_deregistered_here() {
    // Guards against a flow that another host opened while it still used the upstream, and that
    // this host resets because it has forgotten the upstream before the flow can have ended.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    rig.advance_time(2000);
    rig.publish(|revision| removed_item(revision, 1));
    let opened_after = LapseConfig::default().grace;
    let max_age = settings().max_flow_age;
    let mut after = Duration::ZERO;
    while after < opened_after + max_age - Duration::from_millis(200) {
        rig.advance_time(100);
        after += Duration::from_millis(100);
        let actions = rig.packet(&established_head(100, 1, 0, 1, 0));
        assert_eq!(describe(&actions[0]), "forward", "after {after:?}");
        rig.packet(&PacketHead {
            kind: PacketKind::Abort,
            ..established_head(100, 1, 0, 1, 0)
        });
    }
}

#[test]
fn test_own_stall_is_no_silence_of_an_upstream() {
    // Guards against flows in use that are reset because this host itself was frozen, or without
    // processor time, and has therefore seen no response of an upstream whose registration ended.
    struct Case {
        name: &'static str,
        ends_in_stall: bool,
        stall: Duration,
    }
    let case = |name, ends_in_stall, millis| Case {
        name,
        ends_in_stall,
        stall: Duration::from_millis(millis),
    };
    let cases = [
        case("half a second, ended before", false, 450),
        case("three seconds, ended before", false, 3000),
        case("ten seconds, ended before", false, 10_000),
        case("half a second, ends meanwhile", true, 450),
        case("three seconds, ends meanwhile", true, 3000),
        case("ten seconds, ends meanwhile", true, 10_000),
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1, 2]);
        rig.advance_time(6000);
        let flow = (0..10)
            .find(|flow| rig.establish(*flow) == 1)
            .expect("a flow at 1");
        rig.publish(|revision| {
            let mut entry = entry(1, "ledger");
            entry.state = EntryState::Draining;
            upstream_item(revision, entry)
        });
        if !case.ends_in_stall {
            rig.publish(|revision| removed_item(revision, 1));
        }
        keep_responding(&mut rig, flow, 1, Duration::from_millis(500));
        rig.now += case.stall;
        if case.ends_in_stall {
            rig.publish(|revision| removed_item(revision, 1));
        }
        rig.advance_time(100);
        assert!(rig.resets.is_empty(), "{}", case.name);
        assert_eq!(forwarded(&rig.request(flow, 1, 5)), [1], "{}", case.name);
    }
}

#[test]
fn test_flows_that_moved_to_another_host_are_kept() {
    // Guards against flows that go on through another host, and that a host which sees nothing of
    // them any more resets when the registration of their upstream ends.
    struct Case {
        name: &'static str,
        zone: &'static str,
        waits: bool,
    }
    let case = |name, zone, waits| Case { name, zone, waits };
    let cases = [
        case("idle", ZONE, false),
        case("waits for a response", ZONE, true),
        case("idle, other zone", "b", false),
        case("waits for a response, other zone", "b", true),
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger_in(case.zone, &[1, 2]);
        rig.advance_time(6000);
        let flow = (0..10)
            .find(|flow| rig.establish(*flow) == 1)
            .expect("a flow at 1");
        keep_responding(&mut rig, flow, 1, Duration::from_secs(1));
        if case.waits {
            rig.request(flow, 1, 10);
        }
        rig.advance_time(2000);
        rig.publish(|revision| removed_item(revision, 1));
        rig.advance_time(8000);
        assert!(rig.resets.is_empty(), "{}", case.name);
    }
}

#[test]
fn test_requests_of_an_earlier_process_do_not_count_for_the_next() {
    // Guards against an upstream that has started again under its name and gets no new flows
    // because its earlier process left requests without a response.
    struct Case {
        name: &'static str,
        born: u64,
        sent_after: bool,
        ejected: bool,
    }
    let case = |name, born, sent_after, ejected| Case {
        name,
        born,
        sent_after,
        ejected,
    };
    let cases = [
        case("sent to the earlier process", 2, false, false),
        case("sent to the new process", 2, true, true),
        case("the same process", 1, false, true),
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
        let flows: Vec<u16> = (0..40).filter(|flow| rig.establish(*flow) == 1).collect();
        assert!(flows.len() >= 3, "{}", case.name);
        rig.advance_time(1000);
        let send = |rig: &mut CoreRig| {
            for flow in &flows {
                rig.request(*flow, 1, 0);
            }
            rig.advance_time(100);
        };
        if !case.sent_after {
            send(&mut rig);
        }
        rig.publish(|revision| {
            let mut entry = entry(1, "ledger");
            entry.born = Some(case.born);
            upstream_item(revision, entry)
        });
        if case.sent_after {
            send(&mut rig);
        }
        rig.advance_time(1000);
        let upstreams = rig.core.upstreams();
        let index = upstreams.by_tag(tag(1)).expect("a known upstream");
        let is_failing = upstreams.get(index).outlier_detector.is_failing();
        assert_eq!(is_failing, case.ejected, "{}", case.name);
    }
}

#[test]
fn test_new_upstream_has_no_load_of_a_removed_one() {
    // Guards against an upstream that gets no new flows because the requests of a removed one, at
    // the same place of this host's table, are reported as its own.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    rig.advance_time(3000);
    let mut flows = flows_to(&[12, 12]);
    run_reported(&mut rig, &mut flows, 4000);
    assert!(is_contended(&rig));
    let place = rig.core.upstreams().by_tag(tag(1));
    rig.publish(|revision| removed_item(revision, 1));
    let LapseConfig { restored_grace, .. } = LapseConfig::default();
    let kept = settings().max_flow_age + restored_grace;
    run_reported(&mut rig, &mut flows, kept.as_millis() as u64 - 2000);
    for flow in flows.iter_mut().filter(|flow| flow.upstream == 1) {
        let head = flow.response(0);
        rig.packet(&PacketHead { last: true, ..head });
    }
    flows.retain(|flow| flow.upstream == 2);
    run_reported(&mut rig, &mut flows, 6000);
    assert!(is_contended(&rig));
    assert!(rig.core.upstreams().by_tag(tag(1)).is_none());
    rig.publish(|revision| upstream_item(revision, entry(3, "ledger")));
    let index = rig.core.upstreams().by_tag(tag(3));
    assert_eq!(index, place, "the place is used again");
    let mut loads = Vec::new();
    for _step in 0..15 {
        run_reported(&mut rig, &mut flows, REPORT_STEP_MS);
        let upstreams = rig.core.upstreams();
        let record = upstreams.get(index.expect("a known upstream"));
        loads.push(record.load.in_progress);
    }
    assert!(loads.iter().all(|load| *load == 0), "{loads:?}");
}

#[test]
fn test_ledger_forgets_the_requests_of_a_removed_upstream() {
    // Guards against requests of a removed upstream that count for the next one at its index.
    let mut ledger = RequestLedger::default();
    let now = Instant::now();
    ledger.record_request(now, 1, 7);
    ledger.record_placement(now, 2, 7);
    ledger.record_request(now, 3, 8);
    ledger.remove_upstream(7);
    assert_eq!((ledger.in_progress(7), ledger.in_progress(8)), (0, 1));
    ledger.record_end(1);
    ledger.expire_requests(now + Duration::from_secs(3));
    assert_eq!((ledger.in_progress(7), ledger.in_progress(8)), (0, 0));
    assert!(ledger.is_empty());
}

/// Runs flows and delivers the load reports of this host, which aggregates for its zone.
fn run_reported(rig: &mut CoreRig, flows: &mut [LoadFlow], millis: u64) {
    for _step in 0..millis / REPORT_STEP_MS {
        run_flows(rig, flows, REPORT_STEP_MS);
        rig.core.due_load_datagrams(rig.now);
    }
}

/// Sends requests of a flow for some time, each of which gets its response.
fn keep_responding(rig: &mut CoreRig, flow: u16, upstream: u8, time: Duration) {
    let end = rig.now + time;
    let mut turn = 0;
    while rig.now < end {
        rig.request(flow, upstream, turn);
        rig.advance_time(100);
        rig.acknowledge(flow, upstream, turn);
        turn += 1;
    }
}

fn upstream_is_ejected(rig: &CoreRig, number: u8) -> bool {
    let upstreams = rig.core.upstreams();
    let index = upstreams.by_tag(tag(number)).expect("a known upstream");
    upstreams.get(index).failure_detector.is_ejected()
}
