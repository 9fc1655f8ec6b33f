//! Tests of the real program with a store that comes back from a copy.

use lagoonproxy_standin::packet_cell::*;

use crate::program;

#[tokio::test]
async fn test_program_applies_changes_of_a_restored_store() {
    // Guards against a program that goes on from a revision that the restored store does not have.
    let mut cell = PacketCell::ready(program(), 2, 2).await;
    let copy = cell.store.copy();
    for version in 2..=9 {
        cell.publish_routes(version, &[(ledger(), "ledger")]);
    }
    for host in &cell.hosts {
        host.wait_for_metric("lagoon_packet_routes_version", |version| version == 9.0)
            .await;
    }
    cell.store.restore(&copy);
    cell.register(&cell.upstreams[0], "ledger", "draining");
    cell.publish_routes(10, &[(ledger(), "ledger")]);
    for host in &cell.hosts {
        host.wait_for_metric("lagoon_packet_routes_version", |version| version == 10.0)
            .await;
    }
    let mut caller = cell.caller().await;
    let before = cell.upstreams[0].tally().openings;
    for _flow in 0..20 {
        caller.open(ledger()).await.expect("a flow");
    }
    assert_eq!(cell.upstreams[0].tally().openings, before);
}
