//! Tests of failures, with processes of `lagoon-packet`.

use std::time::Duration;

use lagoonproxy_standin::packet_caller::CallError;
use lagoonproxy_standin::packet_store::StoreBehaviour;

use lagoonproxy_standin::packet_cluster::*;

use crate::program;

#[tokio::test]
async fn test_host_is_killed_under_flows() {
    // Guards against flows that end with the host that has forwarded them.
    let mut cluster = PacketCluster::ready(program(), 3, 3).await;
    let mut caller = cluster.caller().await;
    let mut flows = Vec::new();
    for _flow in 0..12 {
        let mut flow = caller.open(ledger()).await.expect("a flow");
        let answer = caller
            .request(&mut flow, b"one", REQUEST_TIMEOUT)
            .await
            .expect("an answer");
        flows.push((flow, answer));
    }
    cluster.hosts[0].kill().await;
    for (flow, first) in &mut flows {
        let answer = caller
            .request(flow, b"one", REQUEST_TIMEOUT)
            .await
            .expect("an answer");
        assert_eq!(answer, *first, "answered by another upstream");
    }
}

#[tokio::test]
async fn test_store_turns_one_host_away() {
    // Guards against a host that is rejected by the store and does not learn of a draining upstream
    // and of new routes.
    for mood in [
        StoreBehaviour::Refuse(503),
        StoreBehaviour::Refuse(429),
        StoreBehaviour::Silent,
    ] {
        let mut cluster = PacketCluster::ready(program(), 2, 2).await;
        cluster.hosts[1].store.set_behaviour(mood);
        cluster.register(&cluster.upstreams[0], "ledger", "draining");
        cluster.publish_routes(2, &[(ledger(), "ledger")]);
        cluster.hosts[1]
            .wait_for_metric("lagoon_packet_routes_version", |version| version == 2.0)
            .await;
        cluster.hosts[0].kill().await;
        cluster.wait_for_rotation(1).await;
        let mut caller = cluster.caller().await;
        let before = cluster.upstreams[0].tally().syns;
        for _flow in 0..10 {
            caller.open(ledger()).await.expect("a flow");
        }
        assert_eq!(cluster.upstreams[0].tally().syns, before, "{mood:?}");
    }
}

#[tokio::test]
async fn test_host_starts_while_the_store_is_away() {
    // Guards against a host that starts while the store is down and does not take over the state of
    // its peers.
    let mut cluster = PacketCluster::ready(program(), 1, 2).await;
    cluster.hosts[0].store.set_behaviour(StoreBehaviour::Silent);
    cluster.start_host(StoreBehaviour::Silent).await;
    cluster.wait_for_rotation(2).await;
    cluster.hosts[0].kill().await;
    cluster.wait_for_rotation(1).await;
    cluster.serve_one().await;
}

#[tokio::test]
async fn test_host_without_state_is_not_ready() {
    // Guards against a host without a store and without peers that becomes ready. It would drop
    // every packet.
    let mut cluster = PacketCluster::with_upstreams(program(), 1).await;
    cluster.start_host(StoreBehaviour::Refuse(503)).await;
    cluster.hosts[0]
        .wait_for_metric("lagoon_packet_store_calls", |calls| calls >= 2.0)
        .await;
    assert_eq!(cluster.fabric.hosts(), 0);
    cluster.hosts[0].store.set_behaviour(StoreBehaviour::Serve);
    cluster.wait_for_rotation(1).await;
}

#[tokio::test]
async fn test_store_forgets_its_history() {
    // Guards against a host that does not list the store after the store has dropped its history.
    let mut cluster = PacketCluster::ready(program(), 1, 2).await;
    cluster.hosts[0]
        .store
        .set_behaviour(StoreBehaviour::Refuse(503));
    cluster.hosts[0]
        .wait_for_metric("lagoon_packet_store_calls_total{code=\"502\"", |calls| {
            calls >= 1.0
        })
        .await;
    cluster
        .store
        .remove(&registration_key(&cluster.upstreams[0]));
    cluster.publish_routes(2, &[(ledger(), "ledger")]);
    cluster.store.drop_history();
    cluster.hosts[0].store.set_behaviour(StoreBehaviour::Serve);
    cluster.hosts[0]
        .wait_for_metric("lagoon_packet_routes_version", |version| version == 2.0)
        .await;
    let mut caller = cluster.caller().await;
    let before = cluster.upstreams[0].tally().syns;
    for _flow in 0..10 {
        caller.open(ledger()).await.expect("a flow");
    }
    assert_eq!(cluster.upstreams[0].tally().syns, before);
}

#[tokio::test]
async fn test_other_writers_entries_harm_nobody() {
    let mut cluster = PacketCluster::ready(program(), 1, 1).await;
    cluster
        .store
        .put_bytes("servers/i-ff", b"\xff\xfe not json");
    cluster.store.put_bytes("servers/none", b"{}");
    cluster.store.put_bytes("op/config", b"{\"Version\":");
    cluster.store.put_bytes("someone/else", b"");
    cluster.hosts[0]
        .wait_for_metric("lagoon_packet_through", |through| through >= 106.0)
        .await;
    cluster.serve_one().await;
    let unreadable = cluster.hosts[0].metric("lagoon_packet_unreadable").await;
    assert!((unreadable - 3.0).abs() < 0.5, "{unreadable} items counted");
}

#[tokio::test]
async fn test_upstream_goes_dark() {
    // Guards against callers whose new flows are placed at an unresponsive upstream, or whose open
    // flows stay there once its registration has ended, until their timeouts.
    let mut cluster = PacketCluster::ready(program(), 1, 3).await;
    let mut caller = cluster.caller().await;
    let mut affected = Vec::new();
    for _flow in 0..30 {
        let mut flow = caller.open(ledger()).await.expect("a flow");
        let answer = caller
            .request(&mut flow, b"one", REQUEST_TIMEOUT)
            .await
            .expect("an answer");
        if answer.ends_with(b"by 1") {
            affected.push(flow);
        }
    }
    assert!(affected.len() >= 5);
    cluster.upstreams[0].set_unreachable(true);
    for flow in affected.iter_mut().take(2) {
        let ended = caller
            .request(flow, b"two", Duration::from_millis(1500))
            .await;
        assert_eq!(ended, Err(CallError::Timeout), "it is registered");
    }
    for _flow in 0..10 {
        let mut flow = caller.open(ledger()).await.expect("a flow");
        let answer = caller
            .request(&mut flow, b"one", Duration::from_millis(190))
            .await;
        assert!(
            answer.is_ok(),
            "a new flow was placed at the unresponsive upstream"
        );
    }
    cluster
        .store
        .remove(&registration_key(&cluster.upstreams[0]));
    for flow in affected.iter_mut().skip(2) {
        let ended = caller.request(flow, b"two", REQUEST_TIMEOUT).await;
        assert_eq!(ended, Err(CallError::Reset), "its registration has ended");
    }
}
