//! Tests that packets of established flows and the selection of upstreams allocate no memory.

use lagoonproxy_packet::flows::flow_cost::FlowCosts;
use lagoonproxy_packet::packet_action::PacketOutput;
use lagoonproxy_packet::packet_head::PacketHead;
use lagoonproxy_packet::selection::load_weight::WeightMethod;

use crate::core_rig::*;
use crate::test_contended_selection::ContendedRig;
use crate::test_contended_selection::KnownUpstream;

/// Returns a request, its retransmission and the acknowledgement of its response for each flow.
fn request_heads(flows: &[(u16, u8)], turn: u32) -> Vec<PacketHead> {
    let heads = flows.iter().flat_map(|(flow, upstream)| {
        let request = established_head(*flow, *upstream, turn * 100, 1 + turn * 500, 100);
        let acknowledgement =
            established_head(*flow, *upstream, turn * 100 + 100, 501 + turn * 500, 0);
        [request, request, acknowledgement]
    });
    heads.collect()
}

#[test]
fn test_packets_of_open_flows_allocate_nothing() {
    let mut rig = CoreRig::with_ledger(&[1, 2, 3]);
    let flows: Vec<(u16, u8)> = (0..200).map(|flow| (flow, rig.establish(flow))).collect();
    let mut output = PacketOutput::default();
    let mut allocations = Vec::new();
    for turn in 0..2 {
        let heads = request_heads(&flows, turn);
        let counted = allocation_counter::measure(|| {
            for head in &heads {
                output.clear();
                rig.core.handle_packet(rig.now, head, &mut output);
                assert!(!output.actions.is_empty());
            }
        });
        allocations.push(counted.count_total);
    }
    assert_eq!(allocations[1], 0, "no allocation once the output has grown");
}

#[test]
fn test_selection_by_load_allocates_nothing() {
    // Guards against a heap allocation for each new flow while a service is contended.
    let upstream = KnownUpstream {
        slots: 2,
        in_progress: 1600,
        response_ms: 20,
        warmup_ms: 0,
    };
    let mut rig = ContendedRig::new(WeightMethod::default(), &[upstream; 40]);
    rig.table.update_weights(&FlowCosts::default());
    let counted = allocation_counter::measure(|| {
        for flow_hash in 0..200 {
            rig.select(flow_hash, None);
        }
    });
    assert_eq!(counted.count_total, 0);
}
