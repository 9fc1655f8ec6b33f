//! Tests of a store that is restored from a backup, with processes of `lagoon-packet`.

use lagoonproxy_standin::packet_cell::*;

use crate::program;

#[tokio::test]
async fn test_program_applies_changes_of_a_restored_store() {
    // Guards against a host that continues to watch from a revision that the restored store has not
    // reached.
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

#[tokio::test]
async fn test_flows_go_on_while_the_store_comes_back_from_a_copy() {
    // Guards against a host that resets the flows of an upstream whose registration was lost in the
    // restore.
    let mut cell = PacketCell::ready(program(), 2, 1).await;
    let copy = cell.store.copy();
    let late = cell.start_upstream(2, 2).await;
    cell.register(&late, "certs", "ready");
    for host in &cell.hosts {
        host.wait_for_metric("lagoon_packet_through", |through| through >= 103.0)
            .await;
    }
    let mut caller = cell.caller().await;
    let mut flow = caller.open(certs()).await.expect("a flow");
    let lost = cell.store.restore(&copy);
    for host in &cell.hosts {
        host.wait_for_metric("lagoon_packet_store_era", |era| era == 1.0)
            .await;
    }
    caller
        .request(&mut flow, b"goes on", REQUEST_LIMIT)
        .await
        .expect("an answer");
    caller
        .open(certs())
        .await
        .expect("a flow to the lost upstream");
    cell.store.write_again(lost);
    caller
        .request(&mut flow, b"goes on", REQUEST_LIMIT)
        .await
        .expect("an answer");
}
