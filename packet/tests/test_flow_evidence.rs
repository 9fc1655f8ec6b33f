//! Tests of what packets tell: counts that rise and fall with the flows.

use lagoonproxy_packet::flows::flow_table::FlowKey;
use lagoonproxy_packet::flows::flow_table::FlowRecord;
use lagoonproxy_packet::packet_action::DecisionEvent;
use lagoonproxy_packet::packet_head::PacketKind;
use proptest::prelude::*;

use crate::core_rig::*;

fn counts(rig: &CoreRig) -> (u32, u32) {
    let flows = rig
        .core
        .upstreams()
        .records()
        .map(|record| record.flows)
        .sum();
    let waiting = rig
        .core
        .upstreams()
        .records()
        .map(|record| record.waiting)
        .sum();
    (flows, waiting)
}

#[test]
fn test_counts_follow_the_flow() {
    let mut rig = CoreRig::with_ledger(&[1]);
    rig.open(1, 0);
    assert_eq!(counts(&rig), (1, 0), "being opened");
    rig.packet(&carry_head(1, 1, 0, 1, 0));
    assert_eq!(counts(&rig), (1, 0), "open");
    rig.request(1, 1, 0);
    assert_eq!(counts(&rig), (1, 1), "waiting");
    rig.request(1, 1, 0);
    assert_eq!(counts(&rig), (1, 1), "sent again");
    rig.acknowledge(1, 1, 0);
    assert_eq!(counts(&rig), (1, 0), "answered");
    let mut end = carry_head(1, 1, 100, 501, 0);
    end.last = true;
    rig.packet(&end);
    assert_eq!(counts(&rig), (0, 0), "ended by the caller");
    rig.packet(&carry_head(1, 1, 101, 502, 0));
    assert_eq!(
        counts(&rig),
        (0, 0),
        "its last acknowledgement begins no other flow"
    );
    rig.pass(4000);
    assert_eq!(rig.core.evidence().open_flows(), 0, "forgotten");
}

#[test]
fn test_a_watched_flow_is_small() {
    // A host of the size aimed at watches 20,000 flows; 64 bytes each are 1.3 MB of its 128.
    assert!(size_of::<(FlowKey, FlowRecord)>() <= 64);
}

#[test]
fn test_answer_time_is_measured() {
    let mut rig = CoreRig::with_ledger(&[1]);
    rig.establish(1);
    rig.request(1, 1, 0);
    rig.pass(40);
    rig.acknowledge(1, 1, 0);
    let took = rig.events.iter().find_map(|event| match event {
        DecisionEvent::Answered { took } => Some(took.as_millis()),
        _ => None,
    });
    assert_eq!(took, Some(40));
}

proptest! {
    /// Whatever callers send in whichever order, no count goes below zero (which would panic) and
    /// all are zero once every flow has been silent for long.
    #[test]
    fn test_any_packets_leave_no_count(
        packets in prop::collection::vec(
            (0..4_u16, 0..5_u8, 0..400_u32, 0..900_u32, 0..3_u16, 0..4_u8, any::<bool>(), 0..300_u64),
            0..200,
        ),
    ) {
        let mut rig = CoreRig::with_ledger(&[1, 2, 3]);
        for (flow, upstream, seq, ack, data, kind, last, pause) in packets {
            let mut head = carry_head(flow, upstream, seq, ack, data * 100);
            head.last = last;
            head.kind = match kind {
                0 => PacketKind::Open,
                1 => PacketKind::Abort,
                _ => PacketKind::Carry,
            };
            rig.packet(&head);
            rig.pass(pause);
        }
        rig.pass(20_000);
        prop_assert_eq!(counts(&rig), (0, 0));
        prop_assert_eq!(rig.core.evidence().open_flows(), 0);
    }
}
