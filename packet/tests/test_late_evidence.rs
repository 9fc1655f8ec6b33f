//! Tests of flows of sound upstreams that are reset on evidence about other flows, or on a state
//! that a peer is known to be ahead of.

use std::time::Duration;

use crate::core_rig::*;
use crate::test_peer_table::address;
use crate::test_peer_table::heartbeat;

/// Offsets at which a caller retransmits a packet without a response.
const RETRANSMISSIONS: [u64; 3] = [200, 400, 800];

#[test]
fn test_unanswered_syns_reset_no_open_flow() {
    // Guards against idle flows of a sound upstream with a late registration that are reset because
    // SYNs of new flows were left unanswered by it for lack of room, or their handshake went on
    // through another host after a retransmission.
    struct Case {
        name: &'static str,
        upstreams: &'static [u8],
        syns: u16,
        transmissions: u32,
    }
    let case = |name, upstreams, syns, transmissions| Case {
        name,
        upstreams,
        syns,
        transmissions,
    };
    let cases = [
        case("one caller, all upstreams full", &[1, 2], 1, 3),
        case("three callers, all upstreams full", &[1, 2], 3, 3),
        case(
            "a handshake that goes on through another host",
            &[1, 2, 3, 4],
            1,
            2,
        ),
        case(
            "two handshakes that go on through another host",
            &[1, 2, 3, 4],
            2,
            2,
        ),
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(case.upstreams);
        let idle: Vec<u16> = (0..40).filter(|flow| rig.establish(*flow) == 1).collect();
        assert!(!idle.is_empty(), "{}", case.name);
        rig.advance_time(6000);
        let mut syns = Vec::new();
        for flow in 100..400 {
            let upstream = rig.open(flow, 0)[0];
            if upstream == 1 {
                syns.push(flow);
            } else {
                rig.packet(&established_head(flow, upstream, 0, 1, 0));
            }
            if syns.len() == usize::from(case.syns) {
                break;
            }
        }
        assert_eq!(syns.len(), usize::from(case.syns), "{}", case.name);
        for (transmission, pause) in (1..case.transmissions).zip([200, 400]) {
            rig.advance_time(pause);
            for flow in &syns {
                rig.open(*flow, transmission);
            }
        }
        rig.advance_time(300);
        rig.publish(|revision| removed_item(revision, 1));
        rig.advance_time(4000);
        assert!(
            rig.resets.is_empty(),
            "{}: {} of {} idle flows were reset",
            case.name,
            rig.resets.len(),
            idle.len()
        );
    }
}

#[test]
fn test_one_slow_response_resets_no_other_flow() {
    // Guards against idle flows of a sound upstream with a late registration that are reset because
    // one other flow waits for its response.
    struct Case {
        name: &'static str,
        zone: &'static str,
        response_after_ms: u64,
    }
    let case = |name, zone, response_after_ms| Case {
        name,
        zone,
        response_after_ms,
    };
    let cases = [
        case("a response after 2.5 s", ZONE, 2500),
        case("a response after 2.5 s, other zone", "b", 2500),
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger_in(case.zone, &[1, 2, 3]);
        let flows: Vec<u16> = (0..30).filter(|flow| rig.establish(*flow) == 1).collect();
        assert!(flows.len() >= 2, "{}", case.name);
        rig.advance_time(3000);
        let slow = flows[0];
        rig.request(slow, 1, 0);
        for pause in RETRANSMISSIONS {
            rig.advance_time(pause);
            rig.request(slow, 1, 0);
        }
        rig.publish(|revision| removed_item(revision, 1));
        rig.advance_time(case.response_after_ms - RETRANSMISSIONS.iter().sum::<u64>());
        rig.acknowledge(slow, 1, 0);
        let others = rig
            .resets
            .iter()
            .filter(|reset| reset.caller != caller(slow));
        assert_eq!(others.count(), 0, "{}: idle flows were reset", case.name);
    }
}

#[test]
fn test_flows_are_kept_when_all_registrations_end_and_nobody_responds() {
    // Guards against a host whose callers hear nobody, or which is cut off itself, and which resets
    // the flows of all upstreams because the store has lost their registrations at the same time.
    struct Case {
        name: &'static str,
        removed: &'static [u8],
    }
    let cases = [
        Case {
            name: "one of four",
            removed: &[1],
        },
        Case {
            name: "three of four",
            removed: &[1, 2, 3],
        },
        Case {
            name: "all",
            removed: &[1, 2, 3, 4],
        },
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
        let flows: Vec<(u16, u8)> = (0..40).map(|flow| (flow, rig.establish(flow))).collect();
        rig.advance_time(3000);
        for pause in RETRANSMISSIONS {
            for (flow, upstream) in &flows {
                rig.request(*flow, *upstream, 0);
            }
            rig.advance_time(pause);
        }
        for number in case.removed {
            rig.publish(|revision| removed_item(revision, *number));
        }
        rig.advance_time(700);
        assert!(
            rig.resets.is_empty(),
            "{}: {} of {} flows were reset",
            case.name,
            rig.resets.len(),
            flows.len()
        );
    }
}

#[test]
fn test_route_that_was_removed_and_added_again() {
    // Guards against a host that has seen a route removed, lags behind the configuration that adds
    // it again, and resets flows that other hosts have opened under that one.
    struct Case {
        name: &'static str,
        is_behind: bool,
        stall_ms: u64,
        expected: &'static str,
    }
    let case = |name, is_behind, stall_ms, expected| Case {
        name,
        is_behind,
        stall_ms,
        expected,
    };
    let cases = [
        case("in sync", false, 0, "reset 200"),
        case("a peer has a newer configuration", true, 0, "forward"),
        case("after a stall", false, 3000, "forward"),
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1]);
        rig.advance_time(6000);
        rig.publish(|revision| routes_item(revision, routes(2, &[(certs(), "certs")])));
        rig.advance_time(2000);
        let mut heartbeat = heartbeat(ZONE, rig.revision + u64::from(case.is_behind));
        heartbeat.version = Some(2 + u64::from(case.is_behind));
        let _replies = rig
            .core
            .handle_heartbeat(rig.now, address(2), heartbeat, false);
        rig.now += Duration::from_millis(case.stall_ms);
        let actions = rig.request(1, 1, 0);
        assert_eq!(describe(&actions[0]), case.expected, "{}", case.name);
    }
}

#[test]
fn test_lost_upstream_while_a_peer_has_a_newer_state() {
    // Guards against a host that resets the flows of an upstream whose registration has ended,
    // though a peer has a newer state, in which the upstream may be registered again.
    struct Case {
        name: &'static str,
        is_behind: bool,
        are_reset: bool,
    }
    let cases = [
        Case {
            name: "a peer has a newer state",
            is_behind: true,
            are_reset: false,
        },
        Case {
            name: "no peer has a newer state",
            is_behind: false,
            are_reset: true,
        },
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1, 2, 3]);
        let flows: Vec<u16> = (0..30).filter(|flow| rig.establish(*flow) == 1).collect();
        rig.advance_time(6000);
        for pause in RETRANSMISSIONS {
            for flow in &flows {
                rig.request(*flow, 1, 0);
            }
            rig.advance_time(pause);
        }
        rig.publish(|revision| removed_item(revision, 1));
        let through = rig.revision + u64::from(case.is_behind);
        for _beat in 0..2 {
            let _replies =
                rig.core
                    .handle_heartbeat(rig.now, address(2), heartbeat(ZONE, through), false);
            rig.advance_time(400);
        }
        assert_eq!(!rig.resets.is_empty(), case.are_reset, "{}", case.name);
    }
}
