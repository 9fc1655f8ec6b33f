//! Tests of callers that move to another availability zone with their flows open.

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::packet_head::PacketHead;
use lagoonproxy_packet::upstreams::upstream_entry::UpstreamEntry;

use crate::core_rig::*;

/// The upstream of the zone that the caller came from.
const REMOTE_UPSTREAM: u8 = 9;

fn remote_entry(number: u8) -> UpstreamEntry {
    UpstreamEntry {
        zone: "b".into(),
        ..entry(number, "ledger")
    }
}

/// A host of the caller's new zone, with idle upstreams of its own.
fn new_zone() -> CoreRig {
    let local = [1, 2, 3].map(|number| entry(number, "ledger"));
    let entries = local.into_iter().chain([remote_entry(REMOTE_UPSTREAM)]);
    CoreRig::with_entries(entries.collect())
}

/// A request of the caller's open flow, sent the first time or again.
fn request_head() -> PacketHead {
    established_head(7, REMOTE_UPSTREAM, 100, 500, 100)
}

#[test]
fn test_open_flow_follows_its_caller() {
    // Guards against an open flow that is placed anew when its caller changes zones.
    let mut rig = new_zone();
    for turn in 0..20 {
        let head = established_head(7, REMOTE_UPSTREAM, turn * 100, 1 + turn * 500, 100);
        assert_eq!(
            forwarded(&rig.packet(&head)),
            [REMOTE_UPSTREAM],
            "request {turn}"
        );
        rig.acknowledge(7, REMOTE_UPSTREAM, turn);
        rig.pass(700);
    }
    assert_eq!(rig.resets.len(), 0);
}

#[test]
fn test_post_sent_again_reaches_one_upstream() {
    // Guards against a retransmitted request that runs at a second upstream.
    let mut rig = new_zone();
    for pause in [200, 400, 800, 1600] {
        assert_eq!(forwarded(&rig.packet(&request_head())), [REMOTE_UPSTREAM]);
        rig.pass(pause);
    }
    assert_eq!(rig.resets.len(), 0, "one caller's silence ends no flow");
}

#[test]
fn test_flow_of_an_upstream_that_is_not_known() {
    // Guards against a host that resets or misroutes flows of upstreams it has not learnt of yet.
    struct Case {
        name: &'static str,
        held_ms: u64,
        learns: bool,
        expected: &'static str,
    }
    let cases = [
        Case {
            name: "at once",
            held_ms: 0,
            learns: false,
            expected: "drop 208",
        },
        Case {
            name: "a second later, when the registration has come",
            held_ms: 1000,
            learns: true,
            expected: "forward",
        },
        Case {
            name: "a second later without",
            held_ms: 1000,
            learns: false,
            expected: "drop 208",
        },
        Case {
            name: "when the state has been held for long",
            held_ms: 8000,
            learns: false,
            expected: "reset 208",
        },
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1, 2, 3]);
        rig.pass(case.held_ms);
        if case.learns {
            rig.publish(|revision| upstream_item(revision, remote_entry(REMOTE_UPSTREAM)));
        }
        let actions = rig.packet(&request_head());
        let found: Vec<String> = actions.iter().map(describe).collect();
        assert_eq!(found, [case.expected], "{}", case.name);
    }
}

#[test]
fn test_packet_without_a_tag_is_not_placed() {
    // Guards against a packet without a tag that runs a request twice.
    let mut rig = new_zone();
    let head = PacketHead {
        tag: 0,
        ..request_head()
    };
    let actions = rig.packet(&head);
    assert!(forwarded(&actions).is_empty());
    assert_eq!(reset_code(&actions), None);
    rig.pass(8000);
    assert_eq!(
        reset_code(&rig.packet(&head)),
        Some(ResultCode::FlowUnknown)
    );
}
