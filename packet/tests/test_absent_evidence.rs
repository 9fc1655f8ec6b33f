//! Tests of decisions that act on the absence of something that may only be late, or may have gone
//! through another host.

use std::time::Duration;

use lagoonproxy_packet::packet_head::PacketHead;
use lagoonproxy_packet::packet_head::PacketKind;
use lagoonproxy_packet::policy_config::LapseConfig;

use crate::core_rig::*;

#[test]
fn test_handshakes_that_end_at_another_host_reset_no_flow() {
    // Guards against flows whose handshake goes on through another host, after a change of the
    // fabric's rotation, that count as unanswered SYNs of their upstream.
    struct Case {
        name: &'static str,
        zone: &'static str,
        half_open: usize,
    }
    let case = |name, zone, half_open| Case {
        name,
        zone,
        half_open,
    };
    let cases = [
        case("three flows in this zone", ZONE, 3),
        case("three flows in another zone", "b", 3),
        case("more flows", ZONE, 6),
    ];
    for case in cases {
        let entries = [1, 2, 3, 4].map(|number| {
            let mut entry = entry(number, "ledger");
            entry.zone = case.zone.into();
            entry
        });
        let mut rig = CoreRig::with_entries(entries.to_vec());
        let idle = (0..20).filter(|flow| rig.establish(*flow) == 1).count();
        assert!(idle > 0, "{}", case.name);
        rig.advance_time(1000);
        let mut half_open = 0;
        for flow in 100..300 {
            let upstream = rig.open(flow, 0)[0];
            if upstream == 1 {
                half_open += 1;
            } else {
                rig.packet(&established_head(flow, upstream, 0, 1, 0));
            }
            if half_open == case.half_open {
                break;
            }
        }
        assert_eq!(half_open, case.half_open, "{}", case.name);
        rig.advance_time(4000);
        assert!(
            rig.resets.is_empty(),
            "{}: flows of a sound upstream were reset",
            case.name
        );
        assert!(
            !upstream_is_ejected(&rig, 1),
            "{}: a sound upstream gets no new flows",
            case.name
        );
    }
}

#[test]
fn test_late_syn_of_a_closed_flow_reaches_no_other_upstream() {
    // Guards against a SYN that arrives after its flow was closed and is forwarded to the upstream
    // that has taken the place of the flow's upstream in this host's table.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    let flow = (0..10)
        .find(|flow| rig.establish(*flow) == 1)
        .expect("a flow at 1");
    rig.advance_time(2000);
    rig.publish(|revision| removed_item(revision, 1));
    let kept = settings().max_flow_age + LapseConfig::default().restored_grace;
    let closing_at = kept - Duration::from_millis(500);
    keep_responding(&mut rig, flow, 1, closing_at);
    rig.packet(&PacketHead {
        last: true,
        ..established_head(flow, 1, 1_000_000, 1_000_000, 0)
    });
    rig.advance_time(800);
    rig.publish(|revision| upstream_item(revision, entry(3, "certs")));
    let reached = rig.open(flow, 1);
    assert!(
        reached.iter().all(|number| [1, 2].contains(number)),
        "a SYN to ledger reached {reached:?}"
    );
}

#[test]
fn test_flow_opened_after_its_upstream_was_deregistered_here() {
    // Guards against a flow that another host opened while it still used the upstream, and that
    // this host resets because it has forgotten the upstream before the flow can have ended.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    rig.advance_time(2000);
    rig.publish(|revision| removed_item(revision, 1));
    let opened_after = LapseConfig::default().grace;
    let max_age = settings().max_flow_age;
    let mut after = Duration::ZERO;
    while after < opened_after + max_age - Duration::from_millis(200) {
        rig.advance_time(100);
        after += Duration::from_millis(100);
        let actions = rig.packet(&established_head(100, 1, 0, 1, 0));
        assert_eq!(describe(&actions[0]), "forward", "after {after:?}");
        rig.packet(&PacketHead {
            kind: PacketKind::Abort,
            ..established_head(100, 1, 0, 1, 0)
        });
    }
}

/// Sends requests of a flow for some time, each of which gets its response.
fn keep_responding(rig: &mut CoreRig, flow: u16, upstream: u8, time: Duration) {
    let end = rig.now + time;
    let mut turn = 0;
    while rig.now < end {
        rig.request(flow, upstream, turn);
        rig.advance_time(100);
        rig.acknowledge(flow, upstream, turn);
        turn += 1;
    }
}

fn upstream_is_ejected(rig: &CoreRig, number: u8) -> bool {
    let upstreams = rig.core.upstreams();
    let index = upstreams.by_tag(tag(number)).expect("a known upstream");
    upstreams.get(index).failure_detector.is_ejected()
}
