//! Tests of which SYNs are deferred while no slot is free.

use std::time::Duration;

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::admission::syn_deferral::SynDeferralQuery;
use lagoonproxy_packet::admission::syn_deferral::is_deferred;
use lagoonproxy_packet::packet_action::DecisionEvent;
use lagoonproxy_packet::packet_action::PacketAction;
use lagoonproxy_packet::policy_config::AdmissionConfig;
use lagoonproxy_packet::routes::route_config::RouteConfig;

use crate::core_rig::*;

#[test]
fn test_only_late_retransmissions_without_a_free_slot_are_deferred() {
    struct Case {
        name: &'static str,
        transmission: u32,
        target_ms: Option<u64>,
        placed_before: bool,
        requests: u32,
        deferred: bool,
    }
    let late = Case {
        name: "late retransmission, and no slot is free",
        transmission: 1,
        target_ms: Some(150),
        placed_before: false,
        requests: 2,
        deferred: true,
    };
    let cases = [
        Case {
            name: "a first SYN, regardless of the requests in progress",
            transmission: 0,
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
            name: "late only with the last retransmission",
            transmission: 2,
            target_ms: Some(500),
            ..late
        },
        Case {
            name: "a retransmission that callers do not send",
            transmission: 9,
            ..late
        },
        Case {
            name: "a route without a latency objective",
            target_ms: None,
            deferred: false,
            ..late
        },
        Case {
            name: "an upstream did not answer the first SYN",
            placed_before: true,
            deferred: false,
            ..late
        },
        late,
    ];
    for case in cases {
        let query = SynDeferralQuery {
            transmission: case.transmission,
            objective: case.target_ms.map(Duration::from_millis),
            placed_before: case.placed_before,
            requests: case.requests,
            slots: 2,
        };
        let deferred = is_deferred(&AdmissionConfig::default(), &query);
        assert_eq!(deferred, case.deferred, "{}", case.name);
    }
}

/// A host with one upstream whose two slots are in use.
fn busy_rig() -> CoreRig {
    let mut rig = CoreRig::with_ledger(&[1]);
    for flow in 0..2 {
        rig.establish(flow);
        rig.request(flow, 1, 0);
    }
    rig
}

#[test]
fn test_new_requests_go_before_late_ones() {
    // Guards against late retransmissions that fill the queues of upstreams after an outage.
    let mut rig = busy_rig();
    let late = rig.packet(&open_head(10, 1));
    let code = ResultCode::QueueFull;
    assert_eq!(late, [PacketAction::Drop { code }]);
    let is_recorded = rig.events.iter().any(|event| {
        matches!(
            event,
            DecisionEvent::Deferred {
                transmission: 1,
                requests: 2,
                ..
            }
        )
    });
    assert!(is_recorded, "the deferral is not in the events");
    assert_eq!(forwarded(&rig.packet(&open_head(11, 0))), [1]);
    for flow in 0..2 {
        rig.acknowledge(flow, 1, 0);
    }
    rig.packet(&established_head(11, 1, 0, 1, 0));
    rig.advance_time(400);
    assert_eq!(forwarded(&rig.packet(&open_head(10, 2))), [1]);
}

#[test]
fn test_retransmission_of_a_placed_syn_is_forwarded_at_once() {
    // Guards against deferral of a retransmission whose earlier SYN this host has placed.
    let mut rig = busy_rig();
    rig.open(10, 0);
    rig.advance_time(200);
    assert_eq!(forwarded(&rig.packet(&open_head(10, 1))), [1]);
}

#[test]
fn test_syns_without_a_latency_objective_are_never_deferred() {
    // Guards against deferral on a route without a latency objective.
    let mut rig = busy_rig();
    rig.publish(|revision| {
        let mut config: RouteConfig = default_routes(2);
        for route in &mut config.routes {
            route.target = None;
        }
        routes_item(revision, config)
    });
    assert_eq!(forwarded(&rig.packet(&open_head(10, 1))), [1]);
}
