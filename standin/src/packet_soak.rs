//! Randomised soak test of `lagoon-packet`: runs real processes, injects faults and checks
//! invariants from the view of callers and upstreams.
//!
//! A seed decides the faults and their times; faults may overlap. An upstream that is late (its
//! heartbeat, or all its packets for a time) or about to leave has no fault. The invariants:
//! - Every response is complete and from an upstream of the requested service. All responses of a
//!   flow come from one upstream.
//! - No flow is reset unless a fault has recently affected its upstream, its upstream has ended, or
//!   its route has been removed.
//! - No upstream receives a modified packet, or one for another upstream or service.
//! - No process exits by itself.
//! - After the faults all requests are served. Once the change has had time to propagate, neither a
//!   draining upstream nor an evacuated zone gets new flows.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::sleep;

use crate::packet_cluster::PacketCluster;
use crate::soak_caller::CallerKind;
use crate::soak_caller::run_caller;
use crate::soak_check::check_recovery;
use crate::soak_check::check_upstream;
use crate::soak_log::find_evidence;
use crate::soak_schedule::inject_faults;
use crate::soak_state::SoakReport;
use crate::soak_state::SoakState;
use crate::soak_upstream::CERT_UPSTREAMS;
use crate::soak_upstream::LEAVING_UPSTREAMS;
use crate::soak_upstream::LEDGER_UPSTREAMS;
use crate::soak_upstream::REMOTE_UPSTREAMS;
use crate::soak_upstream::service_name;

/// Hosts in the local zone, and in the remote one.
pub(crate) const LOCAL_HOSTS: u8 = 4;
pub(crate) const REMOTE_HOSTS: u8 = 2;

/// Callers that send requests often, that hold their flows idle, and that use the added route.
const BUSY_CALLERS: u64 = 8;
const HOLDING_CALLERS: u64 = 10;
const ROUTE_CALLERS: u64 = 16;

/// XORed with the seed to separate the random numbers of the callers that hold flows or use the
/// added route from those of the others.
const HOLDING_STREAM: u64 = 0x686f_6c64;

/// Time without faults at the end of a run, after which all requests must be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// Settings of a soak run.
#[derive(Clone, Copy, Debug)]
pub struct SoakSettings {
    /// Seed of the faults and of the callers.
    pub seed: u64,
    /// Time during which new faults begin.
    pub faults: Duration,
}

/// Runs the soak with one seed. `program` is the path of `lagoon-packet`.
pub async fn run_soak(program: &Path, settings: SoakSettings) -> SoakReport {
    let mut cluster = start_cluster(program).await;
    let state = Arc::new(SoakState::new());
    let mut callers = Vec::new();
    for index in 0..BUSY_CALLERS + HOLDING_CALLERS + ROUTE_CALLERS {
        let (seed, kind) = match index {
            0..BUSY_CALLERS => (settings.seed, CallerKind::Busy),
            index if index < BUSY_CALLERS + HOLDING_CALLERS => {
                (settings.seed ^ HOLDING_STREAM, CallerKind::Holding)
            }
            _ => (settings.seed ^ HOLDING_STREAM, CallerKind::AddedRoute),
        };
        let rng = StdRng::seed_from_u64(seed * 1000 + index);
        let caller = cluster.caller().await;
        callers.push(tokio::spawn(run_caller(state.clone(), caller, kind, rng)));
    }
    inject_faults(&mut cluster, &state, settings).await;
    sleep(RECOVERY_TIME).await;
    state.finish();
    for caller in callers {
        if let Err(error) = caller.await {
            state.record_violation(&format!("a caller task failed: {error}"));
        }
    }
    for upstream in &cluster.upstreams {
        check_upstream(upstream, &state);
    }
    check_recovery(&mut cluster, &state).await;
    let mut report = state.report().clone();
    if !report.broken.is_empty() {
        report.evidence = find_evidence(&mut cluster.hosts, &report.resets);
    }
    report
}

/// Starts the hosts of both zones and the upstreams.
async fn start_cluster(program: &Path) -> PacketCluster {
    let mut cluster =
        PacketCluster::ready(program, LOCAL_HOSTS, LEDGER_UPSTREAMS.len() as u8).await;
    for index in CERT_UPSTREAMS.chain(LEAVING_UPSTREAMS) {
        let number = index as u8 + 1;
        let upstream = cluster.start_upstream(number, number).await;
        cluster.register(&upstream, service_name(upstream.number), "ready");
        cluster.upstreams.push(upstream);
    }
    for index in REMOTE_UPSTREAMS {
        cluster.move_to_remote_zone(index);
    }
    for _host in 0..REMOTE_HOSTS {
        cluster.start_remote_host().await;
    }
    let hosts = usize::from(LOCAL_HOSTS + REMOTE_HOSTS);
    cluster.wait_for_rotation(hosts).await;
    cluster
}
