//! Tests of the action on each kind of packet, and of flows across changes of the published state.

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::packet_action::PacketAction;
use lagoonproxy_packet::packet_head::PacketKind;
use lagoonproxy_packet::upstreams::upstream_entry::EntryState;

use crate::core_rig::*;

#[test]
fn test_packet_kinds() {
    struct Case {
        name: &'static str,
        kind: PacketKind,
        known_route: bool,
        known_tag: bool,
        in_sync: bool,
        expected: &'static str,
    }
    let cases = [
        Case {
            name: "SYN",
            kind: PacketKind::Open,
            known_route: true,
            known_tag: false,
            in_sync: false,
            expected: "forward",
        },
        Case {
            name: "SYN without a route",
            kind: PacketKind::Open,
            known_route: false,
            known_tag: false,
            in_sync: false,
            expected: "reset 200",
        },
        Case {
            name: "data of an established flow",
            kind: PacketKind::Established,
            known_route: true,
            known_tag: true,
            in_sync: false,
            expected: "forward",
        },
        Case {
            name: "data without a route, shortly after the start",
            kind: PacketKind::Established,
            known_route: false,
            known_tag: true,
            in_sync: false,
            expected: "forward",
        },
        Case {
            name: "data without a route",
            kind: PacketKind::Established,
            known_route: false,
            known_tag: true,
            in_sync: true,
            expected: "reset 200",
        },
        Case {
            name: "data with an unknown tag",
            kind: PacketKind::Established,
            known_route: true,
            known_tag: false,
            in_sync: false,
            expected: "drop 208",
        },
        Case {
            name: "reset by the caller",
            kind: PacketKind::Abort,
            known_route: true,
            known_tag: true,
            in_sync: false,
            expected: "forward",
        },
        Case {
            name: "reset by the caller without a route, shortly after the start",
            kind: PacketKind::Abort,
            known_route: false,
            known_tag: true,
            in_sync: false,
            expected: "forward",
        },
        Case {
            name: "reset by the caller without a route",
            kind: PacketKind::Abort,
            known_route: false,
            known_tag: true,
            in_sync: true,
            expected: "drop 200",
        },
        Case {
            name: "packet that callers do not send",
            kind: PacketKind::Foreign,
            known_route: true,
            known_tag: true,
            in_sync: false,
            expected: "drop 303",
        },
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1]);
        if case.in_sync {
            rig.advance_time(9000);
        }
        let mut head = match case.kind {
            PacketKind::Open => open_head(1, 0),
            _ => established_head(1, 1, 0, 1, 10),
        };
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
    assert_eq!(
        written,
        Some(tag(1)),
        "the selected upstream's tag is written"
    );
}

#[test]
fn test_any_host_carries_a_flow() {
    // Guards against flows that only the host that placed them can forward.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3]);
    for upstream in [1, 2, 3] {
        let actions = rig.request(u16::from(upstream), upstream, 7);
        assert_eq!(forwarded(&actions), [upstream]);
    }
}

#[test]
fn test_draining_upstream_keeps_flows_and_gets_none() {
    // Guards against a drain that resets open flows, and against new flows that the drain will end.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    let open_flows: Vec<u16> = (0..20).filter(|flow| rig.establish(*flow) == 1).collect();
    assert!(!open_flows.is_empty());
    let mut leaving = entry(1, "ledger");
    leaving.state = EntryState::Draining;
    rig.publish(|revision| upstream_item(revision, leaving));
    for flow in 100..140 {
        assert!(
            !rig.open(flow, 0).contains(&1),
            "new flow on a draining upstream"
        );
    }
    for flow in open_flows {
        assert_eq!(
            forwarded(&rig.request(flow, 1, 0)),
            [1],
            "open flows continue"
        );
    }
}

#[test]
fn test_address_is_reused_by_another_service() {
    // Guards against packets of an old flow that reach the new owner of its upstream's address.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    rig.establish(1);
    rig.request(1, 1, 0);
    rig.acknowledge(1, 1, 0);
    rig.publish(|revision| removed_item(revision, 1));
    let mut new_owner = entry(3, "certs");
    new_owner.address = upstream_address(1);
    rig.publish(|revision| upstream_item(revision, new_owner));
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
            "new flows go to the remaining upstream"
        );
    }
}

#[test]
fn test_route_that_was_dropped_is_refused_at_once() {
    // Guards against callers of a deleted route that wait for their timeout, and against an older
    // configuration that restores the route.
    let mut rig = CoreRig::with_ledger(&[1]);
    rig.establish(1);
    let fewer = routes(5, &[(certs(), "certs")]);
    rig.publish(|revision| routes_item(revision, fewer));
    assert_eq!(
        reset_code(&rig.request(1, 1, 0)),
        Some(ResultCode::ServiceUnknown)
    );
    rig.publish(|revision| routes_item(revision, default_routes(4)));
    let actions = rig.packet(&open_head(2, 0));
    assert_eq!(
        reset_code(&actions),
        Some(ResultCode::ServiceUnknown),
        "an older version does not restore the route"
    );
    rig.publish(|revision| routes_item(revision, default_routes(9)));
    assert_eq!(rig.open(3, 0), [1], "a newer version may restore the route");
}

#[test]
fn test_flow_stays_when_its_route_leads_elsewhere() {
    // Guards against open flows that move when their route is changed to another service.
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
    // Guards against a tag that is reused while packets of old flows may contain it.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    rig.publish(|revision| removed_item(revision, 1));
    assert!(rig.core.upstreams().by_tag(tag(1)).is_some());
    rig.advance_time(59_000);
    assert!(rig.core.upstreams().by_tag(tag(1)).is_some());
    rig.advance_time(7_000);
    assert!(rig.core.upstreams().by_tag(tag(1)).is_none());
    rig.publish(|revision| upstream_item(revision, entry(5, "ledger")));
    let actions = rig.request(1, 1, 0);
    assert!(
        forwarded(&actions).is_empty(),
        "no upstream has the old tag"
    );
}

#[test]
fn test_host_without_state_forwards_nothing() {
    let mut rig = CoreRig::empty();
    let actions = rig.packet(&open_head(1, 0));
    assert_eq!(describe(&actions[0]), "drop 212");
    assert!(!rig.core.is_ready());
}
