//! Tests of the counts of flows and waiting requests that are derived from packets.

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
    assert_eq!(counts(&rig), (1, 0), "half-open");
    rig.packet(&established_head(1, 1, 0, 1, 0));
    assert_eq!(counts(&rig), (1, 0), "established");
    rig.request(1, 1, 0);
    assert_eq!(counts(&rig), (1, 1), "waiting");
    rig.request(1, 1, 0);
    assert_eq!(counts(&rig), (1, 1), "retransmitted");
    rig.acknowledge(1, 1, 0);
    assert_eq!(counts(&rig), (1, 0), "answered");
    let mut end = established_head(1, 1, 100, 501, 0);
    end.last = true;
    rig.packet(&end);
    assert_eq!(counts(&rig), (0, 0), "ended by the caller");
    rig.packet(&established_head(1, 1, 101, 502, 0));
    assert_eq!(
        counts(&rig),
        (0, 0),
        "its last acknowledgement starts no new flow"
    );
    rig.advance_time(4000);
    assert_eq!(rig.core.flow_tracker().open_flows(), 0, "expired");
}

#[test]
fn test_a_tracked_flow_is_small() {
    // A host of the target size tracks 20,000 flows; 64 bytes each are 1.3 MB of its 128.
    assert!(size_of::<(FlowKey, FlowRecord)>() <= 64);
}

#[test]
fn test_response_time_is_measured() {
    let mut rig = CoreRig::with_ledger(&[1]);
    rig.establish(1);
    rig.request(1, 1, 0);
    rig.advance_time(40);
    rig.acknowledge(1, 1, 0);
    let took = rig.events.iter().find_map(|event| match event {
        DecisionEvent::Answered { took } => Some(took.as_millis()),
        _ => None,
    });
    assert_eq!(took, Some(40));
}

proptest! {
    /// For any packets in any order, no count falls below zero (which would panic), and all counts
    /// are zero once every flow has been silent for long.
    #[test]
    fn test_counts_return_to_zero_after_any_packets(
        packets in prop::collection::vec(
            (0..4_u16, 0..5_u8, 0..400_u32, 0..900_u32, 0..3_u16, 0..4_u8, any::<bool>(), 0..300_u64),
            0..200,
        ),
    ) {
        let mut rig = CoreRig::with_ledger(&[1, 2, 3]);
        for (flow, upstream, seq, ack, data, kind, last, pause) in packets {
            let mut head = established_head(flow, upstream, seq, ack, data * 100);
            head.last = last;
            head.kind = match kind {
                0 => PacketKind::Open,
                1 => PacketKind::Abort,
                _ => PacketKind::Established,
            };
            rig.packet(&head);
            rig.advance_time(pause);
        }
        rig.advance_time(20_000);
        prop_assert_eq!(counts(&rig), (0, 0));
        prop_assert_eq!(rig.core.flow_tracker().open_flows(), 0);
    }
}
