//! Tests of upstreams that are alive but fail requests, under load.

use std::time::Duration;

use lagoonproxy_packet::packet_action::DecisionEvent;
use lagoonproxy_packet::packet_action::UpstreamChange;
use lagoonproxy_packet::peers::peer_heartbeat::FailureReport;
use lagoonproxy_packet::peers::peer_heartbeat::OutcomeReport;

use crate::core_rig::*;
use crate::test_peer_table::address;
use crate::test_peer_table::heartbeat;

/// Size of a usual response, in bytes.
const RESPONSE_BYTES: u32 = 1800;

/// Size of an error response, in bytes.
const ERROR_BYTES: u32 = 160;

/// The flow of one caller.
struct CallerFlow {
    number: u16,
    upstream: u8,
    seq: u32,
    ack: u32,
    /// Whether the flow waits for a response.
    waits: bool,
}

impl CallerFlow {
    /// Establishes a flow.
    fn open(rig: &mut CoreRig, number: u16) -> Self {
        let upstream = rig.establish(number);
        Self {
            number,
            upstream,
            seq: 0,
            ack: 1,
            waits: false,
        }
    }

    /// Sends a request.
    fn send_request(&mut self, rig: &mut CoreRig) {
        rig.packet(&established_head(
            self.number,
            self.upstream,
            self.seq,
            self.ack,
            100,
        ));
        self.seq += 100;
        self.waits = true;
    }

    /// Acknowledges a response of this size.
    fn receive(&mut self, rig: &mut CoreRig, bytes: u32) {
        self.ack += bytes;
        self.waits = false;
        rig.packet(&established_head(
            self.number,
            self.upstream,
            self.seq,
            self.ack,
            0,
        ));
    }
}

/// Establishes 16 flows, and has 20 requests served on each.
fn open_served_flows(rig: &mut CoreRig) -> Vec<CallerFlow> {
    let mut flows: Vec<CallerFlow> = (0..16).map(|flow| CallerFlow::open(rig, flow)).collect();
    for _round in 0..20 {
        send_requests(rig, &mut flows, |_upstream, _index| Some(RESPONSE_BYTES));
    }
    flows
}

/// Sends a request on each flow that waits for no response. After 30 ms, each waiting flow gets a
/// response of the size that `response_size` returns for its upstream and its index, if any.
fn send_requests(
    rig: &mut CoreRig,
    flows: &mut [CallerFlow],
    response_size: impl Fn(u8, usize) -> Option<u32>,
) {
    for flow in flows.iter_mut().filter(|flow| !flow.waits) {
        flow.send_request(rig);
    }
    rig.advance_time(30);
    for (index, flow) in flows.iter_mut().enumerate() {
        if let Some(bytes) = response_size(flow.upstream, index) {
            flow.receive(rig, bytes);
        }
    }
    rig.advance_time(100);
}

/// Opens 12 new flows and returns the upstreams that they go to.
fn open_new_flows(rig: &mut CoreRig, first: u16) -> Vec<u8> {
    let mut chosen: Vec<u8> = (first..first + 12)
        .map(|flow| rig.establish(flow))
        .collect();
    chosen.sort_unstable();
    chosen.dedup();
    chosen
}

/// Removes all events and returns the state changes of upstreams among them.
fn take_upstream_changes(rig: &mut CoreRig) -> Vec<UpstreamChange> {
    let events = std::mem::take(&mut rig.events);
    let changes = events.into_iter().filter_map(|event| match event {
        DecisionEvent::Upstream { change, .. } => Some(change),
        _ => None,
    });
    changes.collect()
}

#[test]
fn test_upstream_that_times_out_or_returns_errors_gets_no_new_flows() {
    // Guards against an upstream that fails fast and gets new flows because it appears idle.
    struct Case {
        name: &'static str,
        response_size: fn(usize) -> Option<u32>,
        ejected: bool,
    }
    let cases = [
        Case {
            name: "no responses",
            response_size: |_index| None,
            ejected: true,
        },
        Case {
            name: "only errors",
            response_size: |_index| Some(ERROR_BYTES),
            ejected: true,
        },
        Case {
            name: "half of the responses are errors",
            response_size: |index| {
                Some(if index % 8 < 4 {
                    ERROR_BYTES
                } else {
                    RESPONSE_BYTES
                })
            },
            ejected: true,
        },
        Case {
            name: "responses of half the usual size",
            response_size: |_index| Some(RESPONSE_BYTES / 2),
            ejected: false,
        },
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
        let mut flows = open_served_flows(&mut rig);
        take_upstream_changes(&mut rig);
        for _round in 0..15 {
            send_requests(&mut rig, &mut flows, |upstream, index| match upstream {
                1 => (case.response_size)(index),
                _ => Some(RESPONSE_BYTES),
            });
        }
        rig.advance_time(700);
        let failing = take_upstream_changes(&mut rig).contains(&UpstreamChange::Failing);
        assert_eq!(failing, case.ejected, "{}", case.name);
        let chosen = open_new_flows(&mut rig, 100);
        assert_eq!(
            chosen.contains(&1),
            !case.ejected,
            "{}: {chosen:?}",
            case.name
        );
        assert!(rig.resets.is_empty(), "{}: open flows are kept", case.name);
    }
}

#[test]
fn test_recovered_upstream_gets_new_flows() {
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
    let mut flows = open_served_flows(&mut rig);
    for _round in 0..5 {
        send_requests(&mut rig, &mut flows, |upstream, _index| {
            Some(if upstream == 1 {
                ERROR_BYTES
            } else {
                RESPONSE_BYTES
            })
        });
    }
    assert!(!open_new_flows(&mut rig, 100).contains(&1));
    take_upstream_changes(&mut rig);
    for _round in 0..25 {
        send_requests(&mut rig, &mut flows, |_upstream, _index| {
            Some(RESPONSE_BYTES)
        });
    }
    assert!(take_upstream_changes(&mut rig).contains(&UpstreamChange::Serving));
    assert!(open_new_flows(&mut rig, 200).contains(&1));
}

#[test]
fn test_panic_threshold_uses_failing_upstreams() {
    // Guards against one healthy upstream that gets the load of all ejected ones.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
    let mut flows = open_served_flows(&mut rig);
    for _round in 0..3 {
        send_requests(&mut rig, &mut flows, |upstream, _index| {
            Some(if upstream == 4 {
                RESPONSE_BYTES
            } else {
                ERROR_BYTES
            })
        });
    }
    rig.advance_time(700);
    let chosen = open_new_flows(&mut rig, 100);
    assert!(chosen.len() > 1, "{chosen:?}");
}

#[test]
fn test_stalled_host_ejects_no_outlier() {
    // Guards against ejections because of packets that were queued during a stall of the host.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
    let mut flows = open_served_flows(&mut rig);
    for flow in &mut flows {
        flow.send_request(&mut rig);
    }
    take_upstream_changes(&mut rig);
    rig.now += Duration::from_secs(5);
    rig.advance_time(200);
    for flow in &mut flows {
        flow.receive(&mut rig, RESPONSE_BYTES);
    }
    rig.advance_time(1000);
    assert!(!take_upstream_changes(&mut rig).contains(&UpstreamChange::Failing));
}

#[test]
fn test_expired_errors_do_not_count() {
    // Guards against error responses that count only when their flow closes, long afterwards.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
    let mut flows = open_served_flows(&mut rig);
    send_requests(&mut rig, &mut flows, |upstream, _index| {
        Some(if upstream == 1 {
            ERROR_BYTES
        } else {
            RESPONSE_BYTES
        })
    });
    rig.advance_time(12_000);
    take_upstream_changes(&mut rig);
    for flow in &mut flows {
        let mut end = established_head(flow.number, flow.upstream, flow.seq, flow.ack, 0);
        end.last = true;
        rig.packet(&end);
    }
    rig.advance_time(300);
    assert!(!take_upstream_changes(&mut rig).contains(&UpstreamChange::Failing));
}

#[test]
fn test_long_upload_is_not_failing() {
    // Guards against an ejection because a caller with little bandwidth uploads for two seconds,
    // during which the upstream sends no response.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
    let mut flows = open_served_flows(&mut rig);
    take_upstream_changes(&mut rig);
    for _part in 0..20 {
        for flow in &mut flows {
            flow.send_request(&mut rig);
        }
        rig.advance_time(100);
    }
    assert!(!take_upstream_changes(&mut rig).contains(&UpstreamChange::Failing));
}

#[test]
fn test_hosts_of_a_zone_add_up_failures() {
    // Guards against a failing upstream that stays in use because each host sees too few requests.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
    for number in 2..5 {
        rig.core
            .handle_heartbeat(rig.now, address(number), heartbeat(ZONE, 10), false);
    }
    for number in 2..5 {
        let answers = OutcomeReport {
            served: 0,
            failed: 1,
        };
        let tag = tag(1);
        rig.core
            .handle_failure_reports(address(number), &[FailureReport { tag, answers }]);
    }
    rig.advance_time(100);
    assert!(!open_new_flows(&mut rig, 0).contains(&1));
}

#[test]
fn test_failures_are_reported_at_once_and_bounded() {
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4]);
    let mut flows = open_served_flows(&mut rig);
    for number in 2..100 {
        rig.core
            .handle_heartbeat(rig.now, address(number), heartbeat(ZONE, 10), false);
    }
    assert_eq!(
        rig.core.due_failure_reports(rig.now),
        None,
        "no request has failed"
    );
    for flow in &mut flows {
        flow.send_request(&mut rig);
    }
    rig.advance_time(800);
    let (reports, targets) = rig
        .core
        .due_failure_reports(rig.now)
        .expect("failure reports are due");
    assert_eq!((reports.len(), targets.len()), (4, 24));
    rig.advance_time(500);
    assert_eq!(
        rig.core.due_failure_reports(rig.now),
        None,
        "reported only once"
    );
}
