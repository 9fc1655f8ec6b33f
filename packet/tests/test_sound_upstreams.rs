//! Tests of flows whose upstream is sound while the evidence of it is late: its registration, its
//! responses, or this host's state.

use std::time::Duration;

use lagoonproxy_packet::packet_action::PacketAction;
use lagoonproxy_packet::packet_head::PacketHead;
use lagoonproxy_packet::state::state_confirmation::ConfirmedSpan;
use lagoonproxy_packet::state::state_snapshot::ItemContent;
use lagoonproxy_packet::state::state_snapshot::PublishedItem;
use lagoonproxy_packet::upstreams::upstream_entry::EntryState;

use crate::core_rig::*;
use crate::test_peer_table::address;
use crate::test_peer_table::heartbeat;

/// How the registration of upstream 1 ends.
#[derive(Clone, Copy, Debug)]
enum RegistrationEnd {
    /// It is removed from the store.
    Removed,
    /// It is not in a list of the store.
    Unlisted,
    /// It can no longer be decoded.
    Unreadable,
}

impl RegistrationEnd {
    fn publish(self, rig: &mut CoreRig) {
        match self {
            Self::Removed => rig.publish(|revision| removed_item(revision, 1)),
            Self::Unlisted => {
                rig.revision += 1;
                let others = [2, 3].map(|number| upstream_item(1, entry(number, "ledger")));
                let mut items = vec![routes_item(1, default_routes(1))];
                items.extend(others);
                rig.merge(&whole(rig.revision, items));
            }
            Self::Unreadable => rig.publish(|revision| PublishedItem {
                content: ItemContent::Unreadable,
                ..removed_item(revision, 1)
            }),
        }
    }
}

/// Handles a packet, to an address without a route if `has_route` is false. Returns the action as
/// text.
fn handle_packet(rig: &mut CoreRig, mut head: PacketHead, has_route: bool) -> String {
    if !has_route {
        head.service.set_port(1);
    }
    describe(&rig.packet(&head)[0])
}

#[test]
fn test_idle_flows_survive_the_end_of_a_registration() {
    // Guards against flows that are reset because the registration of their upstream has ended
    // and nobody has asked it anything since.
    struct Case {
        end: RegistrationEnd,
        state: EntryState,
        zone: &'static str,
    }
    let case = |end, state, zone| Case { end, state, zone };
    let cases = [
        case(RegistrationEnd::Removed, EntryState::Ready, ZONE),
        case(RegistrationEnd::Removed, EntryState::Draining, ZONE),
        case(RegistrationEnd::Removed, EntryState::Ready, "b"),
        case(RegistrationEnd::Unlisted, EntryState::Ready, ZONE),
        case(RegistrationEnd::Unreadable, EntryState::Ready, ZONE),
    ];
    for case in cases {
        let name = format!("{:?} {:?} in zone {}", case.end, case.state, case.zone);
        let mut rig = CoreRig::with_ledger_in(case.zone, &[1, 2, 3]);
        let flows: Vec<u16> = (0..30).filter(|flow| rig.establish(*flow) == 1).collect();
        assert!(!flows.is_empty(), "{name}");
        rig.publish(|revision| {
            let mut entry = entry(1, "ledger");
            entry.zone = case.zone.into();
            entry.state = case.state;
            upstream_item(revision, entry)
        });
        rig.advance_time(6000);
        case.end.publish(&mut rig);
        rig.advance_time(6000);
        assert!(rig.resets.is_empty(), "{name}: idle flows were reset");
        for flow in &flows {
            assert_eq!(forwarded(&rig.request(*flow, 1, 0)), [1], "{name}");
            rig.advance_time(100);
            rig.acknowledge(*flow, 1, 0);
        }
        rig.advance_time(6000);
        assert!(
            rig.resets.is_empty(),
            "{name}: flows of an upstream that responds were reset"
        );
    }
}

#[test]
fn test_flows_are_kept_while_a_peer_has_a_newer_state() {
    // Guards against a host that follows a reader and resets flows whose route or upstream it has
    // not received yet, because it has had a reader for long.
    struct Case {
        name: &'static str,
        upstream: u8,
        has_route: bool,
        is_behind: bool,
        expected: &'static str,
    }
    let case = |name, upstream, has_route, is_behind, expected| Case {
        name,
        upstream,
        has_route,
        is_behind,
        expected,
    };
    let cases = [
        case("unknown upstream", 9, true, true, "drop 208"),
        case("unknown upstream, current", 9, true, false, "reset 208"),
        case("unknown route", 1, false, true, "forward"),
        case("unknown route, current", 1, false, false, "reset 200"),
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1]);
        let through = rig.revision + u64::from(case.is_behind);
        let since = rig.now;
        for _beat in 0..18 {
            let mut heartbeat = heartbeat(ZONE, through);
            heartbeat.reads = true;
            let confirmed = ConfirmedSpan {
                since,
                confirmed_at: rig.now,
            };
            heartbeat.confirmation = Some(confirmed.report(rig.now));
            let _replies = rig
                .core
                .handle_heartbeat(rig.now, address(2), heartbeat, false);
            rig.advance_time(500);
        }
        let head = established_head(1, case.upstream, 0, 1, 100);
        let action = handle_packet(&mut rig, head, case.has_route);
        assert_eq!(action, case.expected, "{}", case.name);
    }
}

#[test]
fn test_no_refused_syn_resets_a_flow_that_may_be_open() {
    // Guards against a host that reads an old SYN after a stall, or gets a retransmission, and
    // refuses it though another host has opened the flow.
    struct Case {
        name: &'static str,
        stall_ms: u64,
        wait_ms: u64,
        transmission: u32,
        has_route: bool,
        expected: &'static str,
    }
    let case = |name, stall_ms, wait_ms, transmission, has_route, expected| Case {
        name,
        stall_ms,
        wait_ms,
        transmission,
        has_route,
        expected,
    };
    let cases = [
        case("first SYN", 0, 0, 0, false, "reset 200"),
        case("first SYN after a stall", 3000, 0, 0, false, "drop 200"),
        case("well after a stall", 3000, 2000, 0, false, "reset 200"),
        case("retransmission", 0, 9000, 1, false, "reset 200"),
        case(
            "retransmission after a stall",
            3000,
            0,
            1,
            false,
            "drop 200",
        ),
        case("no upstream", 0, 0, 0, true, "reset 201"),
        case("no upstream, after a stall", 3000, 0, 0, true, "drop 201"),
        case("no upstream, retransmission", 0, 9000, 1, true, "drop 201"),
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1]);
        rig.advance_time(9000);
        rig.publish(|revision| removed_item(revision, 1));
        rig.advance_time(3000 + case.wait_ms);
        if case.stall_ms > 0 {
            rig.now += Duration::from_millis(case.stall_ms);
            rig.advance_time(case.wait_ms);
        }
        let head = open_head(1, case.transmission);
        let action = handle_packet(&mut rig, head, case.has_route);
        assert_eq!(action, case.expected, "{}", case.name);
    }
}

#[test]
fn test_host_that_was_stalled_keeps_flows_that_it_does_not_know() {
    // Guards against a host that was in sync before a stall and resets flows whose route or
    // upstream was added meanwhile.
    struct Case {
        name: &'static str,
        upstream: u8,
        has_route: bool,
        expected: &'static str,
    }
    let cases = [
        Case {
            name: "unknown upstream",
            upstream: 9,
            has_route: true,
            expected: "drop 208",
        },
        Case {
            name: "unknown route",
            upstream: 1,
            has_route: false,
            expected: "forward",
        },
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1]);
        rig.advance_time(9000);
        rig.now += Duration::from_secs(3);
        let head = established_head(1, case.upstream, 0, 1, 100);
        let action = handle_packet(&mut rig, head, case.has_route);
        assert_eq!(action, case.expected, "{}", case.name);
    }
}

#[test]
fn test_flows_of_a_busy_upstream_are_kept() {
    // Guards against a registered upstream that counts as dead because it gets no processor time
    // for less than the three heartbeats after which the store itself removes it.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3]);
    let flows: Vec<u16> = (0..30).filter(|flow| rig.establish(*flow) == 1).collect();
    assert!(flows.len() >= 4);
    rig.advance_time(1000);
    for pause in [0, 200, 400, 800] {
        rig.advance_time(pause);
        for flow in &flows {
            assert_eq!(
                forwarded(&rig.request(*flow, 1, 0)),
                [1],
                "a retransmission of a request that is being answered"
            );
        }
    }
    rig.advance_time(100);
    for flow in &flows {
        rig.acknowledge(*flow, 1, 0);
    }
    rig.advance_time(3000);
    assert!(rig.resets.is_empty(), "flows of a busy upstream were reset");
}

#[test]
fn test_flow_of_a_route_that_this_host_does_not_know_yet() {
    // Guards against a host with an older configuration that resets flows which a host with a
    // newer one has opened.
    struct Case {
        name: &'static str,
        was_known: bool,
        wait_ms: u64,
        expected: &'static str,
    }
    let cases = [
        Case {
            name: "shortly after the start",
            was_known: false,
            wait_ms: 100,
            expected: "forward",
        },
        Case {
            name: "in sync with the store for long",
            was_known: false,
            wait_ms: 9000,
            expected: "reset 200",
        },
        Case {
            name: "the route was removed just now",
            was_known: true,
            wait_ms: 100,
            expected: "reset 200",
        },
    ];
    for case in cases {
        let mut rig = CoreRig::empty();
        let first = match case.was_known {
            true => default_routes(1),
            false => routes(1, &[(certs(), "certs")]),
        };
        let items = vec![routes_item(1, first), upstream_item(1, entry(1, "ledger"))];
        rig.revision = 10;
        rig.merge(&whole(10, items));
        if case.was_known {
            rig.advance_time(3000);
            rig.publish(|revision| routes_item(revision, routes(2, &[(certs(), "certs")])));
        }
        rig.advance_time(case.wait_ms);
        let actions: Vec<PacketAction> = rig.request(1, 1, 0);
        assert_eq!(describe(&actions[0]), case.expected, "{}", case.name);
    }
}
