//! Tests of the door: what becomes of a packet.

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::packet_action::PacketAction;
use lagoonproxy_packet::packet_head::PacketKind;
use lagoonproxy_packet::upstreams::upstream_entry::EntryState;

use crate::core_rig::*;

#[test]
fn test_open_kinds_of_packets() {
    struct Case {
        name: &'static str,
        kind: PacketKind,
        known_route: bool,
        known_tag: bool,
        expected: &'static str,
    }
    let cases = [
        Case {
            name: "opening packet",
            kind: PacketKind::Open,
            known_route: true,
            known_tag: false,
            expected: "forward",
        },
        Case {
            name: "opening packet without a route",
            kind: PacketKind::Open,
            known_route: false,
            known_tag: false,
            expected: "reset 200",
        },
        Case {
            name: "data of an open flow",
            kind: PacketKind::Carry,
            known_route: true,
            known_tag: true,
            expected: "forward",
        },
        Case {
            name: "data without a route",
            kind: PacketKind::Carry,
            known_route: false,
            known_tag: true,
            expected: "reset 200",
        },
        Case {
            name: "data of an upstream nobody knows",
            kind: PacketKind::Carry,
            known_route: true,
            known_tag: false,
            expected: "drop 208",
        },
        Case {
            name: "a caller's own reset",
            kind: PacketKind::Abort,
            known_route: true,
            known_tag: true,
            expected: "forward",
        },
        Case {
            name: "a caller's own reset without a route",
            kind: PacketKind::Abort,
            known_route: false,
            known_tag: true,
            expected: "drop 200",
        },
        Case {
            name: "nothing a caller sends",
            kind: PacketKind::Foreign,
            known_route: true,
            known_tag: true,
            expected: "drop 303",
        },
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1]);
        let mut head = carry_head(1, 1, 0, 1, 10);
        head.kind = case.kind;
        if !case.known_route {
            head.service.set_port(1);
        }
        if !case.known_tag {
            head.tag = 77;
        }
        let actions = rig.packet(&head);
        assert_eq!(describe(&actions[0]), case.expected, "{}", case.name);
    }
}

#[test]
fn test_forged_tag_opens_nothing() {
    // Guards against a SYN whose forged tag selects an upstream of another service.
    let mut rig = CoreRig::with_entries(vec![entry(1, "ledger"), entry(2, "certs")]);
    let mut head = open_head(1, 0);
    head.tag = tag(2);
    let actions = rig.packet(&head);
    assert_eq!(forwarded(&actions), [1]);
    let PacketAction::Forward { tag: written, .. } = actions[0] else {
        panic!("not forwarded");
    };
    assert_eq!(written, Some(tag(1)), "the upstream's own tag is written");
}

#[test]
fn test_any_host_carries_a_flow() {
    // Guards against flows that end with the host that placed them.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3]);
    for upstream in [1, 2, 3] {
        let actions = rig.request(u16::from(upstream), upstream, 7);
        assert_eq!(forwarded(&actions), [upstream]);
    }
}

#[test]
fn test_draining_upstream_keeps_flows_and_gets_none() {
    // Guards against a drain that ends flows, or new flows that the drain will cut.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    let kept: Vec<u16> = (0..20).filter(|flow| rig.establish(*flow) == 1).collect();
    assert!(!kept.is_empty());
    let mut leaving = entry(1, "ledger");
    leaving.state = EntryState::Draining;
    rig.publish(|revision| upstream_item(revision, leaving));
    for flow in 100..140 {
        assert!(
            !rig.open(flow, 0).contains(&1),
            "a new flow on a draining upstream"
        );
    }
    for flow in kept {
        assert_eq!(forwarded(&rig.request(flow, 1, 0)), [1], "its flow goes on");
    }
}

#[test]
fn test_address_is_reused_by_another_service() {
    // Guards against packets of an old flow at the new owner of an address.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    rig.establish(1);
    rig.request(1, 1, 0);
    rig.acknowledge(1, 1, 0);
    rig.publish(|revision| removed_item(revision, 1));
    let mut heir = entry(3, "certs");
    heir.address = upstream_address(1);
    rig.publish(|revision| upstream_item(revision, heir));
    let actions = rig.request(1, 1, 1);
    for action in actions {
        if let PacketAction::Forward {
            address, number, ..
        } = action
        {
            assert_eq!((address, number), (upstream_address(1), 1));
        }
    }
    for flow in 10..30 {
        assert_eq!(
            rig.open(flow, 0)[0],
            2,
            "new flows of the ledger never reach its heir"
        );
    }
}

#[test]
fn test_route_that_was_dropped_is_refused_at_once() {
    // Guards against callers of a dropped route that wait, and an older configuration that restores
    // it.
    let mut rig = CoreRig::with_ledger(&[1]);
    rig.establish(1);
    let fewer = routes(5, &[(certs(), "certs")]);
    rig.publish(|revision| routes_item(revision, fewer));
    assert_eq!(
        reset_code(&rig.request(1, 1, 0)),
        Some(ResultCode::ServiceUnknown)
    );
    rig.publish(|revision| routes_item(revision, usual_routes(4)));
    let actions = rig.packet(&open_head(2, 0));
    assert_eq!(
        reset_code(&actions),
        Some(ResultCode::ServiceUnknown),
        "older routes are not back"
    );
    rig.publish(|revision| routes_item(revision, usual_routes(9)));
    assert_eq!(rig.open(3, 0), [1], "a newer version may bring it back");
}

#[test]
fn test_flow_stays_when_its_route_leads_elsewhere() {
    // A route is pointed at another service. Flows that are open stay on their upstream.
    let mut rig = CoreRig::with_entries(vec![entry(1, "ledger"), entry(2, "certs")]);
    rig.establish(1);
    let moved = routes(2, &[(ledger(), "certs")]);
    rig.publish(|revision| routes_item(revision, moved));
    assert_eq!(forwarded(&rig.request(1, 1, 0)), [1]);
    assert_eq!(rig.open(2, 0), [2]);
}

#[test]
fn test_service_without_upstreams_is_refused_at_once() {
    let mut rig = CoreRig::with_entries(vec![entry(1, "certs")]);
    let actions = rig.packet(&open_head(1, 0));
    assert_eq!(reset_code(&actions), Some(ResultCode::NoUpstream));
}

#[test]
fn test_tag_is_remembered_for_a_flows_life() {
    // Guards against a tag that is given away while flows may carry it.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    rig.publish(|revision| removed_item(revision, 1));
    assert!(rig.core.upstreams().by_tag(tag(1)).is_some());
    rig.pass(61_000);
    assert!(rig.core.upstreams().by_tag(tag(1)).is_none());
    rig.publish(|revision| upstream_item(revision, entry(5, "ledger")));
    let actions = rig.request(1, 1, 0);
    assert!(forwarded(&actions).is_empty(), "the old tag leads nowhere");
}

#[test]
fn test_host_without_state_forwards_nothing() {
    let mut rig = CoreRig::empty();
    let actions = rig.packet(&open_head(1, 0));
    assert_eq!(describe(&actions[0]), "drop 212");
    assert!(!rig.core.is_ready());
}
