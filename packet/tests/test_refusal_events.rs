//! Tests of the events from which operators tell why a flow was refused or reset.

use std::time::Duration;

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::packet_action::DecisionEvent;
use lagoonproxy_packet::packet_action::RefusalTrigger;
use lagoonproxy_packet::packet_action::UpstreamChange;
use lagoonproxy_packet::upstreams::upstream_entry::EntryState;

use crate::core_rig::*;

#[test]
fn test_refusals_tell_open_flows_from_new_ones() {
    // Guards against a refused SYN and a reset of an open flow that look the same in the log.
    struct Case {
        name: &'static str,
        is_open: bool,
        expected: RefusalTrigger,
    }
    let cases = [
        Case {
            name: "a SYN to an address without a route",
            is_open: false,
            expected: RefusalTrigger::Syn,
        },
        Case {
            name: "a packet of an open flow whose route was removed",
            is_open: true,
            expected: RefusalTrigger::Packet(tag(1)),
        },
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1]);
        rig.establish(1);
        rig.advance_time(6000);
        rig.publish(|revision| routes_item(revision, routes(2, &[(certs(), "certs")])));
        rig.events.clear();
        let head = match case.is_open {
            true => established_head(1, 1, 0, 1, 100),
            false => open_head(2, 0),
        };
        rig.packet(&head);
        let refusals = rig.events.iter().filter_map(|event| match event {
            DecisionEvent::Refused {
                code,
                trigger,
                version,
                through,
                synced_for,
                ..
            } => Some((*code, *trigger, *version, *through, synced_for.is_some())),
            _ => None,
        });
        let expected = (
            ResultCode::ServiceUnknown,
            case.expected,
            2,
            at(rig.revision),
            true,
        );
        assert_eq!(refusals.collect::<Vec<_>>(), [expected], "{}", case.name);
    }
}

#[test]
fn test_reset_names_the_evidence_against_the_upstream() {
    // Guards against resets of which the log does not say why the upstream counted as dead.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3]);
    let flows: Vec<u16> = (0..30).filter(|flow| rig.establish(*flow) == 1).collect();
    rig.advance_time(3000);
    for pause in [200, 1800] {
        for flow in &flows {
            rig.request(*flow, 1, 0);
        }
        rig.advance_time(pause);
    }
    rig.publish(|revision| removed_item(revision, 1));
    rig.advance_time(200);
    let mut evidence = rig.events.iter().filter_map(|event| match event {
        DecisionEvent::Refused {
            trigger: RefusalTrigger::Upstream,
            evidence,
            ..
        } => evidence.clone(),
        _ => None,
    });
    let evidence = evidence.next().expect("idle flows are reset");
    assert_eq!(evidence.upstream, upstream_name(1));
    assert_eq!(evidence.registration.name(), "deregistered");
    assert_eq!(evidence.attempts as usize, flows.len());
    assert_eq!(evidence.heard_ago, Some(Duration::from_millis(5100)));
}

#[test]
fn test_end_of_a_registration_names_the_state_before() {
    // Guards against a registration that ends without a hint whether its upstream was draining,
    // and how many flows it still had.
    struct Case {
        state: EntryState,
        expected: &'static str,
    }
    let cases = [
        Case {
            state: EntryState::Ready,
            expected: "ready",
        },
        Case {
            state: EntryState::Draining,
            expected: "draining",
        },
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1]);
        rig.establish(1);
        rig.establish(2);
        rig.publish(|revision| {
            let mut entry = entry(1, "ledger");
            entry.state = case.state;
            upstream_item(revision, entry)
        });
        rig.advance_time(3000);
        rig.publish(|revision| removed_item(revision, 1));
        let ends = rig.events.iter().filter_map(|event| match event {
            DecisionEvent::Upstream {
                change: UpstreamChange::Gone,
                before,
                flows,
                ..
            } => Some((before.name(), *flows)),
            _ => None,
        });
        assert_eq!(ends.collect::<Vec<_>>(), [(case.expected, 2)]);
    }
}
