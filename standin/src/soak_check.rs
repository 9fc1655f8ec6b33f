//! The checks of a soak run after its faults.

use std::time::Duration;

use tokio::time::sleep;

use crate::packet_cluster::PacketCluster;
use crate::packet_cluster::REQUEST_TIMEOUT;
use crate::packet_cluster::ledger;
use crate::packet_cluster::registration_key;
use crate::packet_soak::LOCAL_HOSTS;
use crate::packet_soak::REMOTE_HOSTS;
use crate::packet_store::StoreBehaviour;
use crate::packet_upstream::PacketUpstream;
use crate::soak_fault::ignore_readers;
use crate::soak_fault::set_all_behaviours;
use crate::soak_state::SoakState;
use crate::soak_upstream::main_address;
use crate::soak_upstream::service_of;

/// Time within which a drain or an evacuation reaches all hosts while there are no faults.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Time after an outage of the store from which changes reach all hosts in time again.
const STABLE_TIME: Duration = Duration::from_secs(4);

/// Time in which a change reaches the readers of an undisturbed store.
const CHANGE_TIME: Duration = Duration::from_millis(200);

/// Length of an outage in which a reader's call is lost: longer than the pause between two.
const OUTAGE_TIME: Duration = Duration::from_millis(700);

/// Checks that an upstream received no modified packet, and none for another upstream or service.
pub(crate) fn check_upstream(upstream: &PacketUpstream, state: &SoakState) {
    let tally = upstream.tally();
    let own_service = service_of(upstream.number);
    let foreign = tally
        .syns_by_service
        .keys()
        .any(|address| main_address(*address) != own_service);
    if foreign || tally.forged > 0 || tally.misdelivered > 0 {
        state.record_violation(&format!("upstream {}: {tally:?}", upstream.number));
    }
}

/// Checks after the faults that all requests are served, and that neither a draining upstream nor
/// an evacuated zone gets new flows, also if the responses of the store are lost before.
pub(crate) async fn check_recovery(cluster: &mut PacketCluster, state: &SoakState) {
    cluster
        .wait_for_rotation(usize::from(LOCAL_HOSTS + REMOTE_HOSTS))
        .await;
    cluster.register(&cluster.upstreams[0], "ledger", "draining");
    cluster.evacuate_local_zone();
    sleep(PROPAGATION_TIME).await;
    let syns_before = local_syns(cluster);
    let mut caller = cluster.caller().await;
    for number in 0..20_u32 {
        let data = number.to_string();
        let response = match caller.open(ledger()).await {
            Ok(mut flow) => {
                caller
                    .request(&mut flow, data.as_bytes(), REQUEST_TIMEOUT)
                    .await
            }
            Err(fault) => Err(fault),
        };
        if let Err(fault) = response {
            state.record_violation(&format!("request failed after the faults: {fault:?}"));
        }
    }
    if local_syns(cluster) > syns_before {
        state.record_violation("an evacuated zone got new flows");
    }
    cluster.restore_local_zone();
    sleep(PROPAGATION_TIME).await;
    check_drained(cluster, state, 0, "after the evacuation").await;
    if local_syns(cluster) == syns_before {
        state.record_violation("a restored zone got no new flows");
    }
    check_drain_after_lost_responses(cluster, state).await;
    check_drain_with_unanswered_readers(cluster, state).await;
    deregister_all(cluster);
}

/// Checks that a drain is in force though the responses to all hosts were lost shortly before.
async fn check_drain_after_lost_responses(cluster: &mut PacketCluster, state: &SoakState) {
    // A reader waits for its next change when the outage begins.
    cluster.register(&cluster.upstreams[1], "ledger", "ready");
    sleep(CHANGE_TIME).await;
    set_all_behaviours(cluster, StoreBehaviour::Lost);
    sleep(OUTAGE_TIME).await;
    set_all_behaviours(cluster, StoreBehaviour::Serve);
    cluster.register(&cluster.upstreams[1], "ledger", "draining");
    sleep(STABLE_TIME).await;
    check_drained(cluster, state, 1, "after lost responses").await;
}

/// Checks that a drain is in force though the responses to the hosts that read the store are lost.
async fn check_drain_with_unanswered_readers(cluster: &mut PacketCluster, state: &SoakState) {
    ignore_readers(cluster).await;
    cluster.register(&cluster.upstreams[2], "ledger", "draining");
    sleep(PROPAGATION_TIME).await;
    check_drained(cluster, state, 2, "with unanswered readers").await;
    set_all_behaviours(cluster, StoreBehaviour::Serve);
}

/// Checks that a draining upstream gets no new flows.
async fn check_drained(cluster: &mut PacketCluster, state: &SoakState, index: usize, when: &str) {
    let syns_before = cluster.upstreams[index].tally().syns;
    let mut caller = cluster.caller().await;
    for _flow in 0..40 {
        if let Err(fault) = caller.open(ledger()).await {
            state.record_violation(&format!("SYN failed {when}: {fault:?}"));
        }
    }
    if cluster.upstreams[index].tally().syns > syns_before {
        state.record_violation(&format!("a draining upstream got new flows {when}"));
    }
}

/// Returns the number of SYNs that upstreams of the local zone received.
fn local_syns(cluster: &PacketCluster) -> u64 {
    let upstreams = cluster.upstreams.iter();
    let local = upstreams.filter(|upstream| !cluster.is_remote(upstream));
    local.map(|upstream| upstream.tally().syns).sum()
}

fn deregister_all(cluster: &PacketCluster) {
    let keys = cluster
        .upstreams
        .iter()
        .map(|upstream: &PacketUpstream| registration_key(upstream));
    for key in keys {
        cluster.store.remove(&key);
    }
}
