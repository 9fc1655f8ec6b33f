//! Tests of upstreams that stop responding: which are ejected, and which flows are reset.

use std::time::Duration;

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::packet_action::DecisionEvent;
use lagoonproxy_packet::packet_action::UpstreamChange;
use lagoonproxy_packet::state::store_feed::StoreFault;
use lagoonproxy_packet::upstreams::upstream_entry::EntryState;

use crate::core_rig::*;

#[test]
fn test_dead_upstream_is_ejected_and_its_flows_are_reset() {
    // Guards against callers that wait until their timeout for a dead upstream whose registration
    // has ended, and against new flows at one that is still registered.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3]);
    let flows: Vec<(u16, u8)> = (0..30).map(|flow| (flow, rig.establish(flow))).collect();
    let on_dead: Vec<u16> = flows
        .iter()
        .filter(|(_flow, at)| *at == 1)
        .map(|(flow, _at)| *flow)
        .collect();
    assert!(on_dead.len() >= 4);
    rig.advance_time(3000);
    for flow in &on_dead[..3] {
        assert_eq!(forwarded(&rig.request(*flow, 1, 0)), [1]);
    }
    rig.advance_time(200);
    for flow in &on_dead[..3] {
        assert_eq!(forwarded(&rig.request(*flow, 1, 0)), [1]);
    }
    for flow in 100..130 {
        assert_ne!(rig.establish(flow), 1, "a new flow to a dead upstream");
    }
    for pause in [400, 800] {
        rig.advance_time(pause);
        for flow in &on_dead[..3] {
            assert_eq!(
                forwarded(&rig.request(*flow, 1, 0)),
                [1],
                "it is registered"
            );
        }
    }
    rig.publish(|revision| removed_item(revision, 1));
    rig.advance_time(600);
    let actions = rig.request(on_dead[3], 1, 0);
    assert_eq!(reset_code(&actions), Some(ResultCode::UpstreamSilent));
}

#[test]
fn test_idle_flows_of_a_dead_upstream_are_reset_before_they_are_used() {
    // Guards against a request that is not idempotent and is sent on an idle flow of a dead
    // upstream, since its caller must not send it again.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3]);
    let flows: Vec<(u16, u8)> = (0..30).map(|flow| (flow, rig.establish(flow))).collect();
    let on = |upstream: u8| {
        let of = flows.iter().filter(move |(_flow, at)| *at == upstream);
        of.map(|(flow, _at)| *flow)
    };
    let (busy, idle): (Vec<u16>, Vec<u16>) =
        on(1).partition(|flow| on(1).take(3).any(|first| first == *flow));
    assert!(!idle.is_empty());
    rig.advance_time(3000);
    for pause in [200, 400, 800, 700] {
        for flow in &busy {
            rig.request(*flow, 1, 0);
        }
        rig.advance_time(pause);
    }
    assert!(rig.resets.is_empty(), "it is registered");
    rig.publish(|revision| removed_item(revision, 1));
    rig.advance_time(100);
    let mut reset_callers: Vec<_> = rig.resets.iter().map(|reset| reset.caller).collect();
    reset_callers.sort_unstable();
    assert_eq!(
        reset_callers,
        on(1).map(caller).collect::<Vec<_>>(),
        "all flows of the dead upstream, and no others"
    );
    let kept = on(2).next().expect("a flow at 2");
    assert_eq!(forwarded(&rig.request(kept, 2, 0)), [2]);
}

#[test]
fn test_slow_response_resets_no_flow() {
    // Guards against a slow response that causes a reset of a live upstream's flow.
    let mut rig = CoreRig::with_ledger(&[1]);
    rig.establish(1);
    rig.establish(2);
    rig.request(1, 1, 0);
    for turn in 0..8 {
        rig.request(2, 1, turn);
        rig.advance_time(50);
        rig.acknowledge(2, 1, turn);
        rig.advance_time(150);
        let again = rig.request(1, 1, 0);
        assert_eq!(
            forwarded(&again),
            [1],
            "after {turn} responses on another flow"
        );
    }
    assert!(rig.resets.is_empty());
}

#[test]
fn test_no_flow_is_reset_when_no_upstream_responds() {
    // Guards against a fault of this host's own link that causes a reset of every flow.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3]);
    let flows: Vec<(u16, u8)> = (0..30).map(|flow| (flow, rig.establish(flow))).collect();
    rig.advance_time(500);
    for _copy in 0..6 {
        for (flow, upstream) in &flows {
            rig.request(*flow, *upstream, 0);
        }
        rig.advance_time(400);
    }
    for (flow, upstream) in &flows {
        assert_eq!(forwarded(&rig.request(*flow, *upstream, 0)), [*upstream]);
    }
    assert!(rig.resets.is_empty());
}

#[test]
fn test_reported_stall_resets_no_flow() {
    // Guards against retransmissions that queue up during a stall of the host and make live
    // upstreams look dead.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
    let flows: Vec<(u16, u8)> = (0..16).map(|flow| (flow, rig.establish(flow))).collect();
    rig.advance_time(500);
    for (flow, upstream) in &flows {
        rig.request(*flow, *upstream, 0);
    }
    rig.now += Duration::from_secs(3);
    rig.core.handle_stall(rig.now);
    for _copy in 0..2 {
        for (flow, upstream) in &flows {
            let again = rig.request(*flow, *upstream, 0);
            assert_eq!(
                forwarded(&again),
                [*upstream],
                "the flow of a live upstream was reset"
            );
        }
    }
}

#[test]
fn test_unreported_stall_resets_no_flow() {
    // Guards against the same after a stall that the core is not told of, and that it detects by
    // the time since its last tick or packet.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
    let flows: Vec<(u16, u8)> = (0..24).map(|flow| (flow, rig.establish(flow))).collect();
    rig.advance_time(500);
    let on_first = || flows.iter().filter(|(_flow, at)| *at == 1);
    for (flow, upstream) in on_first() {
        rig.request(*flow, *upstream, 0);
    }
    rig.now += Duration::from_secs(3);
    for _copy in 0..4 {
        for (flow, upstream) in on_first() {
            assert_eq!(forwarded(&rig.request(*flow, *upstream, 0)), [1]);
        }
    }
    rig.advance_time(1500);
    assert!(rig.resets.is_empty(), "flows of live upstreams were reset");
    rig.advance_time(8000);
    let (flow, upstream) = on_first().next().expect("a flow at 1");
    assert_eq!(forwarded(&rig.request(*flow, *upstream, 1)), [1]);
}

#[test]
fn test_reordered_packets_are_not_retransmissions() {
    // Guards against reordered packets that count as unanswered attempts.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
    let flows: Vec<u16> = (0..40).filter(|flow| rig.establish(*flow) == 1).collect();
    rig.advance_time(500);
    for flow in &flows {
        for seq in [100, 0] {
            let head = established_head(*flow, 1, seq, 1, 100);
            assert_eq!(forwarded(&rig.packet(&head)), [1]);
        }
        rig.advance_time(60);
    }
    assert!(rig.resets.is_empty(), "flows of live upstreams were reset");
    let is_ejected = rig.events.iter().any(|event| {
        matches!(
            event,
            DecisionEvent::Upstream {
                change: UpstreamChange::Avoided,
                ..
            }
        )
    });
    assert!(!is_ejected, "a live upstream is ejected");
}

#[test]
fn test_expired_attempts_reset_no_flow() {
    // Guards against expired unanswered attempts that cause a reset.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
    let flows: Vec<u16> = (0..12).filter(|flow| rig.establish(*flow) == 1).collect();
    rig.advance_time(1000);
    for _copy in 0..2 {
        for flow in &flows {
            rig.request(*flow, 1, 0);
        }
        rig.advance_time(100);
    }
    rig.advance_time(10_000);
    assert_eq!(
        forwarded(&rig.request(500, 1, 3)),
        [1],
        "the flow of a live upstream"
    );
}

#[test]
fn test_registrations_that_lapse_while_the_store_is_down() {
    // Guards against upstreams that go out of use because their registrations lapsed during an
    // outage of the store.
    struct Case {
        name: &'static str,
        responds: bool,
        stays_used: bool,
    }
    let cases = [
        Case {
            name: "an upstream that responds stays in use",
            responds: true,
            stays_used: true,
        },
        Case {
            name: "an upstream that does not respond is deregistered",
            responds: false,
            stays_used: false,
        },
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1, 2]);
        let flow = (0..10)
            .find(|flow| rig.establish(*flow) == 1)
            .expect("a flow at 1");
        rig.advance_time(3000);
        if case.responds {
            rig.request(flow, 1, 0);
            rig.advance_time(20);
            rig.acknowledge(flow, 1, 0);
        }
        rig.publish(|revision| removed_item(revision, 1));
        let used = (100..140).any(|flow| rig.open(flow, 0).contains(&1));
        assert_eq!(used, case.stays_used, "{}", case.name);
        rig.advance_time(2600);
        let used = (200..240).any(|flow| rig.open(flow, 0).contains(&1));
        assert!(
            !used,
            "{}: not registered again within the grace time",
            case.name
        );
    }
}

#[test]
fn test_flow_of_a_deregistered_upstream() {
    // Guards against flows that are reset with the deregistration of an upstream that still
    // responds, and against flows that wait for one that no longer exists.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    rig.advance_time(2000);
    let flows: Vec<u16> = (0..20).filter(|flow| rig.establish(*flow) == 1).collect();
    let [flow, other, idle, ..] = flows[..] else {
        panic!("three flows at 1");
    };
    let mut leaving = entry(1, "ledger");
    leaving.state = EntryState::Draining;
    rig.publish(|revision| upstream_item(revision, leaving));
    rig.request(flow, 1, 0);
    rig.advance_time(20);
    rig.acknowledge(flow, 1, 0);
    rig.publish(|revision| removed_item(revision, 1));
    rig.advance_time(10);
    for (pause, reason) in [
        (200, "it responded recently"),
        (400, "a packet may be lost"),
        (800, "it may be busy"),
        (1600, "it may be busy"),
        (0, "only one caller waits"),
    ] {
        assert_eq!(forwarded(&rig.request(flow, 1, 1)), [1], "{reason}");
        rig.advance_time(pause);
        assert!(rig.resets.is_empty(), "{reason}");
    }
    rig.request(other, 1, 0);
    rig.advance_time(200);
    let actions = rig.request(other, 1, 0);
    assert_eq!(reset_code(&actions), Some(ResultCode::UpstreamSilent));
    rig.advance_time(100);
    let reset_callers: Vec<_> = rig.resets.iter().map(|reset| reset.caller).collect();
    for flow in [flow, idle] {
        assert!(reset_callers.contains(&caller(flow)), "flow {flow} waits");
    }
}

#[test]
fn test_flow_of_an_upstream_from_before_the_start() {
    // Guards against a restarted host that resets flows of upstreams whose registration has only
    // lapsed.
    struct Case {
        name: &'static str,
        wait_ms: u64,
        store_lost: bool,
        expected: &'static str,
    }
    let cases = [
        Case {
            name: "shortly after the start",
            wait_ms: 100,
            store_lost: false,
            expected: "drop 208",
        },
        Case {
            name: "the store is unreachable",
            wait_ms: 9000,
            store_lost: true,
            expected: "drop 208",
        },
        Case {
            name: "in sync with the store for long",
            wait_ms: 9000,
            store_lost: false,
            expected: "reset 208",
        },
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1]);
        rig.store_unreachable = case.store_lost;
        if case.store_lost {
            rig.core
                .store_failed(rig.now, &StoreFault::Refused { status: 503 });
        }
        rig.advance_time(case.wait_ms);
        let actions = rig.request(1, 9, 0);
        assert_eq!(describe(&actions[0]), case.expected, "{}", case.name);
    }
}
