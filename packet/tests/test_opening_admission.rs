//! Tests of which opening packets wait while a service is busy.

use std::time::Duration;

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::admission::opening_admission::OpeningQuery;
use lagoonproxy_packet::admission::opening_admission::is_deferred;
use lagoonproxy_packet::packet_action::DecisionEvent;
use lagoonproxy_packet::packet_action::PacketAction;
use lagoonproxy_packet::policy_config::AdmissionConfig;
use lagoonproxy_packet::routes::route_config::RouteConfig;

use crate::core_rig::*;

#[test]
fn test_only_late_copies_yield_and_only_to_work() {
    struct Case {
        name: &'static str,
        copy: u32,
        target_ms: Option<u64>,
        placed_before: bool,
        requests: u32,
        deferred: bool,
    }
    let late = Case {
        name: "late, and no slot is free",
        copy: 1,
        target_ms: Some(150),
        placed_before: false,
        requests: 2,
        deferred: true,
    };
    let cases = [
        Case {
            name: "a first packet, whatever is in progress",
            copy: 0,
            requests: 50,
            deferred: false,
            ..late
        },
        Case {
            name: "a slot is free",
            requests: 1,
            deferred: false,
            ..late
        },
        Case {
            name: "not late yet",
            target_ms: Some(500),
            deferred: false,
            ..late
        },
        Case {
            name: "late with the last copy",
            copy: 2,
            target_ms: Some(500),
            ..late
        },
        Case {
            name: "a copy that callers do not send today",
            copy: 9,
            ..late
        },
        Case {
            name: "nobody says when it is late",
            target_ms: None,
            deferred: false,
            ..late
        },
        Case {
            name: "an upstream left the first packet without an answer",
            placed_before: true,
            deferred: false,
            ..late
        },
        late,
    ];
    for case in cases {
        let query = OpeningQuery {
            copy: case.copy,
            target: case.target_ms.map(Duration::from_millis),
            placed_before: case.placed_before,
            requests: case.requests,
            slots: 2,
        };
        let deferred = is_deferred(&AdmissionConfig::default(), &query);
        assert_eq!(deferred, case.deferred, "{}", case.name);
    }
}

/// A host with one upstream whose two slots are taken.
fn busy_rig() -> CoreRig {
    let mut rig = CoreRig::with_ledger(&[1]);
    for flow in 0..2 {
        rig.establish(flow);
        rig.request(flow, 1, 0);
    }
    rig
}

#[test]
fn test_requests_of_the_moment_go_before_late_ones() {
    // Guards against late retransmissions that fill the queues of upstreams after an outage.
    let mut rig = busy_rig();
    let late = rig.packet(&open_head(10, 1));
    let code = ResultCode::QueueFull;
    assert_eq!(late, [PacketAction::Drop { code }]);
    let noted = rig.events.iter().any(|event| {
        matches!(
            event,
            DecisionEvent::Deferred {
                copy: 1,
                requests: 2,
                ..
            }
        )
    });
    assert!(noted, "the decision is not in the logs");
    assert_eq!(forwarded(&rig.packet(&open_head(11, 0))), [1]);
    for flow in 0..2 {
        rig.acknowledge(flow, 1, 0);
    }
    rig.packet(&carry_head(11, 1, 0, 1, 0));
    rig.pass(400);
    assert_eq!(forwarded(&rig.packet(&open_head(10, 2))), [1]);
}

#[test]
fn test_copy_after_a_lost_packet_goes_elsewhere_at_once() {
    // Guards against a deferred retransmission of a SYN that this host had placed.
    let mut rig = busy_rig();
    rig.open(10, 0);
    rig.pass(200);
    assert_eq!(forwarded(&rig.packet(&open_head(10, 1))), [1]);
}

#[test]
fn test_route_without_a_target_never_yields() {
    // Guards against deferral on a route without a latency objective.
    let mut rig = busy_rig();
    rig.publish(|revision| {
        let mut config: RouteConfig = usual_routes(2);
        for route in &mut config.routes {
            route.target = None;
        }
        routes_item(revision, config)
    });
    assert_eq!(forwarded(&rig.packet(&open_head(10, 1))), [1]);
}
