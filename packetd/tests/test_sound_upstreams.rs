//! Tests of flows whose upstream is sound while its registration is late, with a process of
//! `lagoon-packet`.

use std::time::Duration;

use lagoonproxy_standin::packet_cluster::*;

use crate::program;

/// Time for which the flows are idle before the registration expires, longer than the time within
/// which a response shows that an upstream runs.
const IDLE_TIME: Duration = Duration::from_millis(1500);

/// Time from the end of a registration until it is written again, several ticks of the host.
const LATENESS: Duration = Duration::from_millis(1200);

const CALLERS: usize = 3;

/// An upstream writes a heartbeat late: its registration expires and is written again. It answers
/// all packets meanwhile. Guards against a host that takes the end of the registration for the end
/// of the upstream and resets its idle flows.
async fn check_late_heartbeat(registered_state: &str) {
    let mut cluster = PacketCluster::ready(program(), 1, 1).await;
    let mut flows = Vec::new();
    for _caller in 0..CALLERS {
        let mut caller = cluster.caller().await;
        let mut flow = caller.open(ledger()).await.expect("a flow");
        let first = caller.request(&mut flow, b"first", REQUEST_TIMEOUT).await;
        first.expect("an answer");
        flows.push((caller, flow));
    }
    cluster.register(&cluster.upstreams[0], "ledger", registered_state);
    tokio::time::sleep(IDLE_TIME).await;
    let removed = registration_key(&cluster.upstreams[0]);
    cluster.store.remove(&removed);
    wait_for_last_write(&cluster).await;
    tokio::time::sleep(LATENESS).await;
    cluster.register(&cluster.upstreams[0], "ledger", registered_state);
    wait_for_last_write(&cluster).await;
    for (caller, flow) in &mut flows {
        let next = caller.request(flow, b"next", REQUEST_TIMEOUT).await;
        next.expect("an answer on the idle flow");
    }
}

/// Waits until the host has read all writes to the store.
async fn wait_for_last_write(cluster: &PacketCluster) {
    let revision = cluster.store.revision() as f64;
    cluster.hosts[0]
        .wait_for_metric("lagoon_packet_through", |through| through >= revision)
        .await;
}

#[tokio::test]
async fn test_late_heartbeat_of_a_ready_upstream_resets_no_flow() {
    check_late_heartbeat("ready").await;
}

#[tokio::test]
async fn test_late_heartbeat_of_a_draining_upstream_resets_no_flow() {
    check_late_heartbeat("draining").await;
}
