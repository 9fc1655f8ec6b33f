//! Tests of a store that is restored from a backup, with processes of `lagoon-packet`.

use lagoonproxy_standin::packet_cluster::*;

use crate::program;

#[tokio::test]
async fn test_program_applies_changes_of_a_restored_store() {
    // Guards against a host that continues to watch from a revision that the restored store has not
    // reached.
    let mut cluster = PacketCluster::ready(program(), 2, 2).await;
    let backup = cluster.store.copy();
    for version in 2..=9 {
        cluster.publish_routes(version, &[(ledger(), "ledger")]);
    }
    for host in &cluster.hosts {
        host.wait_for_metric("lagoon_packet_routes_version", |version| version == 9.0)
            .await;
    }
    cluster.store.restore(&backup);
    cluster.register(&cluster.upstreams[0], "ledger", "draining");
    cluster.publish_routes(10, &[(ledger(), "ledger")]);
    for host in &cluster.hosts {
        host.wait_for_metric("lagoon_packet_routes_version", |version| version == 10.0)
            .await;
    }
    let mut caller = cluster.caller().await;
    let before = cluster.upstreams[0].tally().syns;
    for _flow in 0..20 {
        caller.open(ledger()).await.expect("a flow");
    }
    assert_eq!(cluster.upstreams[0].tally().syns, before);
}

#[tokio::test]
async fn test_flows_go_on_while_the_store_comes_back_from_a_copy() {
    // Guards against a host that resets the flows of an upstream whose registration was lost in the
    // restore.
    let mut cluster = PacketCluster::ready(program(), 2, 1).await;
    let backup = cluster.store.copy();
    let late = cluster.start_upstream(2, 2).await;
    cluster.register(&late, "certs", "ready");
    for host in &cluster.hosts {
        host.wait_for_metric("lagoon_packet_through", |through| through >= 103.0)
            .await;
    }
    let mut caller = cluster.caller().await;
    let mut flow = caller.open(certs()).await.expect("a flow");
    let lost = cluster.store.restore(&backup);
    for host in &cluster.hosts {
        host.wait_for_metric("lagoon_packet_store_era", |era| era == 1.0)
            .await;
    }
    caller
        .request(&mut flow, b"goes on", REQUEST_TIMEOUT)
        .await
        .expect("an answer");
    caller
        .open(certs())
        .await
        .expect("a flow to the lost upstream");
    cluster.store.rewrite_lost(lost);
    caller
        .request(&mut flow, b"goes on", REQUEST_TIMEOUT)
        .await
        .expect("an answer");
}
