//! Tests of upstreams that fall silent: whom to avoid, and which flows to end.

use std::time::Duration;

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::packet_action::DecisionEvent;
use lagoonproxy_packet::packet_action::UpstreamChange;
use lagoonproxy_packet::state::store_feed::StoreFault;
use lagoonproxy_packet::upstreams::upstream_entry::EntryState;

use crate::core_rig::*;

#[test]
fn test_dark_upstream_is_avoided_and_its_flows_are_ended() {
    // Guards against callers that wait for their deadlines at a dead upstream that is still
    // registered.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3]);
    let flows: Vec<(u16, u8)> = (0..30).map(|flow| (flow, rig.establish(flow))).collect();
    let dark: Vec<u16> = flows
        .iter()
        .filter(|(_flow, at)| *at == 1)
        .map(|(flow, _at)| *flow)
        .collect();
    assert!(dark.len() >= 4);
    rig.pass(1000);
    for flow in &dark[..3] {
        assert_eq!(forwarded(&rig.request(*flow, 1, 0)), [1]);
    }
    rig.pass(200);
    for flow in &dark[..3] {
        rig.request(*flow, 1, 0);
    }
    rig.pass(200);
    let actions = rig.request(dark[3], 1, 0);
    assert_eq!(reset_code(&actions), Some(ResultCode::UpstreamSilent));
    for flow in 100..130 {
        assert_ne!(rig.open(flow, 0)[0], 1, "a new flow into the dark");
    }
}

#[test]
fn test_idle_flows_of_a_dark_upstream_are_ended_before_they_are_used() {
    // Guards against a request that may not be retried and is sent on an idle flow of a dead
    // upstream.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3]);
    let flows: Vec<(u16, u8)> = (0..30).map(|flow| (flow, rig.establish(flow))).collect();
    let on = |upstream: u8| {
        let of = flows.iter().filter(move |(_flow, at)| *at == upstream);
        of.map(|(flow, _at)| *flow)
    };
    let (busy, idle): (Vec<u16>, Vec<u16>) =
        on(1).partition(|flow| on(1).take(3).any(|first| first == *flow));
    assert!(!idle.is_empty());
    rig.pass(1000);
    for _copy in 0..2 {
        for flow in &busy {
            rig.request(*flow, 1, 0);
        }
        rig.pass(200);
    }
    rig.pass(200);
    let mut ended: Vec<_> = rig.resets.iter().map(|reset| reset.caller).collect();
    ended.sort_unstable();
    assert_eq!(
        ended,
        on(1).map(caller).collect::<Vec<_>>(),
        "all of its flows, and no other"
    );
    let kept = on(2).next().expect("a flow at 2");
    assert_eq!(forwarded(&rig.request(kept, 2, 0)), [2]);
}

#[test]
fn test_slow_answer_ends_no_flow() {
    // Guards against a slow response that ends a flow of a live upstream.
    let mut rig = CoreRig::with_ledger(&[1]);
    rig.establish(1);
    rig.establish(2);
    rig.request(1, 1, 0);
    for turn in 0..8 {
        rig.request(2, 1, turn);
        rig.pass(50);
        rig.acknowledge(2, 1, turn);
        rig.pass(150);
        let again = rig.request(1, 1, 0);
        assert_eq!(forwarded(&again), [1], "after {turn} answers to others");
    }
    assert!(rig.resets.is_empty());
}

#[test]
fn test_many_silent_upstreams_end_no_flow() {
    // Guards against a fault of this host's own link that ends every flow.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3]);
    let flows: Vec<(u16, u8)> = (0..30).map(|flow| (flow, rig.establish(flow))).collect();
    rig.pass(500);
    for _copy in 0..6 {
        for (flow, upstream) in &flows {
            rig.request(*flow, *upstream, 0);
        }
        rig.pass(400);
    }
    for (flow, upstream) in &flows {
        assert_eq!(forwarded(&rig.request(*flow, *upstream, 0)), [*upstream]);
    }
    assert!(rig.resets.is_empty());
}

#[test]
fn test_frozen_host_blames_nobody() {
    // Guards against retransmissions that piled up in a frozen host and look like dead upstreams.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
    let flows: Vec<(u16, u8)> = (0..16).map(|flow| (flow, rig.establish(flow))).collect();
    rig.pass(500);
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
                "a flow that lives was ended"
            );
        }
    }
}

#[test]
fn test_host_that_was_held_up_blames_nobody() {
    // Guards against the same in a stalled process whose steady clock goes on.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
    let flows: Vec<(u16, u8)> = (0..24).map(|flow| (flow, rig.establish(flow))).collect();
    rig.pass(500);
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
    rig.pass(1500);
    assert!(rig.resets.is_empty(), "flows that live were ended");
    rig.pass(8000);
    let (flow, upstream) = on_first().next().expect("a flow at 1");
    assert_eq!(forwarded(&rig.request(*flow, *upstream, 1)), [1]);
}

#[test]
fn test_reordered_packets_are_no_repetition() {
    // Guards against reordered packets that count as retransmissions.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
    let flows: Vec<u16> = (0..40).filter(|flow| rig.establish(*flow) == 1).collect();
    rig.pass(500);
    for flow in &flows {
        for seq in [100, 0] {
            let head = established_head(*flow, 1, seq, 1, 100);
            assert_eq!(forwarded(&rig.packet(&head)), [1]);
        }
        rig.pass(60);
    }
    assert!(rig.resets.is_empty(), "flows that live were ended");
    let avoided = rig.events.iter().any(|event| {
        matches!(
            event,
            DecisionEvent::Upstream {
                change: UpstreamChange::Avoided,
                ..
            }
        )
    });
    assert!(!avoided, "a live upstream is avoided");
}

#[test]
fn test_old_silence_ends_no_flow() {
    // Guards against attempts of long ago that end a flow.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
    let flows: Vec<u16> = (0..12).filter(|flow| rig.establish(*flow) == 1).collect();
    rig.pass(1000);
    for _copy in 0..2 {
        for flow in &flows {
            rig.request(*flow, 1, 0);
        }
        rig.pass(100);
    }
    rig.pass(10_000);
    assert_eq!(forwarded(&rig.request(500, 1, 3)), [1], "a flow that lives");
}

#[test]
fn test_registrations_that_lapse_with_the_store() {
    // Guards against upstreams that go out of use because the store was down.
    struct Case {
        name: &'static str,
        answers: bool,
        still_used: bool,
    }
    let cases = [
        Case {
            name: "one that answers is used on",
            answers: true,
            still_used: true,
        },
        Case {
            name: "one that is silent is gone",
            answers: false,
            still_used: false,
        },
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1, 2]);
        let flow = (0..10)
            .find(|flow| rig.establish(*flow) == 1)
            .expect("a flow at 1");
        rig.pass(3000);
        if case.answers {
            rig.request(flow, 1, 0);
            rig.pass(20);
            rig.acknowledge(flow, 1, 0);
        }
        rig.publish(|revision| removed_item(revision, 1));
        let used = (100..140).any(|flow| rig.open(flow, 0).contains(&1));
        assert_eq!(used, case.still_used, "{}", case.name);
        rig.pass(2600);
        let used = (200..240).any(|flow| rig.open(flow, 0).contains(&1));
        assert!(!used, "{}: still missing after the grace", case.name);
    }
}

#[test]
fn test_flow_of_a_former_upstream() {
    // Guards against flows that end with the registration, or wait at an upstream that is gone.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    rig.pass(2000);
    let flow = (0..10)
        .find(|flow| rig.establish(*flow) == 1)
        .expect("a flow at 1");
    let mut leaving = entry(1, "ledger");
    leaving.state = EntryState::Draining;
    rig.publish(|revision| upstream_item(revision, leaving));
    rig.request(flow, 1, 0);
    rig.pass(20);
    rig.acknowledge(flow, 1, 0);
    rig.publish(|revision| removed_item(revision, 1));
    assert_eq!(
        forwarded(&rig.request(flow, 1, 1)),
        [1],
        "it answered just now"
    );
    rig.pass(700);
    let actions = rig.request(flow, 1, 1);
    assert_eq!(reset_code(&actions), Some(ResultCode::UpstreamSilent));
}

#[test]
fn test_flow_of_an_upstream_from_before_the_start() {
    // Guards against a restarted host that resets flows of upstreams whose registration only
    // lapsed.
    struct Case {
        name: &'static str,
        wait_ms: u64,
        store_lost: bool,
        expected: &'static str,
    }
    let cases = [
        Case {
            name: "right after the start",
            wait_ms: 100,
            store_lost: false,
            expected: "drop 208",
        },
        Case {
            name: "with the store away",
            wait_ms: 9000,
            store_lost: true,
            expected: "drop 208",
        },
        Case {
            name: "sure that it is gone",
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
        rig.pass(case.wait_ms);
        let actions = rig.request(1, 9, 0);
        assert_eq!(describe(&actions[0]), case.expected, "{}", case.name);
    }
}
