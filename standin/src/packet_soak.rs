//! Randomised soak test of `lagoon-packet`: runs real processes, injects faults and checks
//! invariants from the view of callers and upstreams.
//!
//! A seed decides the faults and their times; faults may overlap. The invariants:
//! - Every response is complete and from an upstream of the requested service. All responses of a
//!   flow come from one upstream.
//! - No flow is reset unless a fault has recently affected its upstream.
//! - No upstream receives a modified packet, or one for another upstream or service.
//! - No process exits by itself.
//! - After the faults all requests are served. Once the change has had time to propagate, neither a
//!   draining upstream nor an evacuated zone gets new flows.

use std::ops::Range;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::sleep;

use crate::packet_cluster::PacketCluster;
use crate::soak_caller::run_caller;
use crate::soak_check::check_recovery;
use crate::soak_check::check_upstreams;
use crate::soak_fault::inject_faults;
use crate::soak_state::SoakReport;
use crate::soak_state::SoakState;

/// Number of hosts of the soak's cluster.
pub(crate) const HOSTS: u8 = 4;
pub(crate) const LEDGER_UPSTREAMS: u8 = 6;
pub(crate) const CERT_UPSTREAMS: u8 = 2;
/// Indices of the ledger's upstreams in the remote zone, which has no hosts.
pub(crate) const REMOTE_UPSTREAMS: Range<usize> = 4..6;
const CALLERS: usize = 8;

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
    let mut cluster = PacketCluster::ready(program, HOSTS, LEDGER_UPSTREAMS).await;
    for index in REMOTE_UPSTREAMS {
        cluster.move_to_remote_zone(index);
    }
    for address_index in 1..=CERT_UPSTREAMS {
        let number = LEDGER_UPSTREAMS + address_index;
        let upstream = cluster.start_upstream(number, number).await;
        cluster.register(&upstream, "certs", "ready");
        cluster.upstreams.push(upstream);
    }
    let state = Arc::new(SoakState::new());
    let mut callers = Vec::new();
    for index in 0..CALLERS {
        let rng = StdRng::seed_from_u64(settings.seed * 1000 + index as u64);
        let caller = cluster.caller().await;
        callers.push(tokio::spawn(run_caller(state.clone(), caller, rng)));
    }
    inject_faults(&mut cluster, &state, settings).await;
    sleep(RECOVERY_TIME).await;
    state.finish();
    for caller in callers {
        if let Err(error) = caller.await {
            state.record_violation(&format!("a caller task failed: {error}"));
        }
    }
    check_upstreams(&cluster, &state);
    check_recovery(&mut cluster, &state).await;
    state.report().clone()
}
