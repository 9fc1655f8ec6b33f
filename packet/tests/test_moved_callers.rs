//! Tests of callers that move to another availability zone while their flows are open.

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::packet_head::PacketHead;
use lagoonproxy_packet::upstreams::upstream_entry::UpstreamEntry;

use crate::core_rig::*;

/// Upstream in the zone that the caller came from.
const REMOTE_UPSTREAM: u8 = 9;

/// Returns the registration of an upstream in zone `b`.
fn remote_entry(number: u8) -> UpstreamEntry {
    UpstreamEntry {
        zone: "b".into(),
        ..entry(number, "ledger")
    }
}

/// Creates a host of the caller's new zone, which has idle upstreams of its own.
fn new_zone_host() -> CoreRig {
    let local = [1, 2, 3].map(|number| entry(number, "ledger"));
    let entries = local.into_iter().chain([remote_entry(REMOTE_UPSTREAM)]);
    CoreRig::with_entries(entries.collect())
}

/// Returns the head of a request packet of the caller's open flow.
fn request_head() -> PacketHead {
    established_head(7, REMOTE_UPSTREAM, 100, 500, 100)
}

#[test]
fn test_open_flow_stays_at_its_upstream() {
    // Guards against an open flow that is placed again when its caller changes zones.
    let mut rig = new_zone_host();
    for turn in 0..20 {
        let head = established_head(7, REMOTE_UPSTREAM, turn * 100, 1 + turn * 500, 100);
        assert_eq!(
            forwarded(&rig.packet(&head)),
            [REMOTE_UPSTREAM],
            "request {turn}"
        );
        rig.acknowledge(7, REMOTE_UPSTREAM, turn);
        rig.advance_time(700);
    }
    assert_eq!(rig.resets.len(), 0);
}

#[test]
fn test_retransmitted_request_reaches_one_upstream() {
    // Guards against a retransmitted request that a second upstream executes.
    let mut rig = new_zone_host();
    for pause in [200, 400, 800, 1600] {
        assert_eq!(forwarded(&rig.packet(&request_head())), [REMOTE_UPSTREAM]);
        rig.advance_time(pause);
    }
    assert_eq!(
        rig.resets.len(),
        0,
        "unanswered attempts of one caller reset no flow"
    );
}

#[test]
fn test_packet_of_an_unknown_upstream() {
    // Guards against a host that resets or misroutes flows of upstreams whose registration it has
    // not received yet.
    struct Case {
        name: &'static str,
        state_age_ms: u64,
        receives_registration: bool,
        expected: &'static str,
    }
    let cases = [
        Case {
            name: "immediately",
            state_age_ms: 0,
            receives_registration: false,
            expected: "drop 208",
        },
        Case {
            name: "after a second, with the registration received",
            state_age_ms: 1000,
            receives_registration: true,
            expected: "forward",
        },
        Case {
            name: "after a second, without the registration",
            state_age_ms: 1000,
            receives_registration: false,
            expected: "drop 208",
        },
        Case {
            name: "with a state held for long",
            state_age_ms: 8000,
            receives_registration: false,
            expected: "reset 208",
        },
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1, 2, 3]);
        rig.advance_time(case.state_age_ms);
        if case.receives_registration {
            rig.publish(|revision| upstream_item(revision, remote_entry(REMOTE_UPSTREAM)));
        }
        let actions = rig.packet(&request_head());
        let found: Vec<String> = actions.iter().map(describe).collect();
        assert_eq!(found, [case.expected], "{}", case.name);
    }
}

#[test]
fn test_packet_without_a_tag_is_not_placed() {
    // Guards against a packet without a tag that causes a request to be executed twice.
    let mut rig = new_zone_host();
    let head = PacketHead {
        tag: 0,
        ..request_head()
    };
    let actions = rig.packet(&head);
    assert!(forwarded(&actions).is_empty());
    assert_eq!(reset_code(&actions), None);
    rig.advance_time(8000);
    assert_eq!(
        reset_code(&rig.packet(&head)),
        Some(ResultCode::FlowUnknown)
    );
}
