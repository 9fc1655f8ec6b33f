//! The faults of a soak run.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::sleep;

use crate::packet_cluster::PacketCluster;
use crate::packet_cluster::certs;
use crate::packet_cluster::ledger;
use crate::packet_soak::HOSTS;
use crate::packet_soak::LEDGER_UPSTREAMS;
use crate::packet_soak::SoakSettings;
use crate::packet_store::StoreBackup;
use crate::packet_store::StoreBehaviour;
use crate::soak_state::SoakState;

/// XORed with the seed to separate the random numbers of evacuations and of restores from those of
/// other faults.
const EVACUATION_STREAM: u64 = 0x6576_6163;
const RESTORE_STREAM: u64 = 0x7265_7374;

/// Delay from a restore of the store until its clients repeat the lost writes.
const REWRITE_DELAY: Duration = Duration::from_millis(300);

/// Injects faults at random times and reverts each after its duration.
pub(crate) async fn inject_faults(
    cluster: &mut PacketCluster,
    state: &SoakState,
    settings: SoakSettings,
) {
    let mut rng = StdRng::seed_from_u64(settings.seed);
    // Separate generators, so that evacuations and restores do not change a seed's other faults.
    let mut evacuation_rng = StdRng::seed_from_u64(settings.seed ^ EVACUATION_STREAM);
    let mut restore_rng = StdRng::seed_from_u64(settings.seed ^ RESTORE_STREAM);
    let mut backup: Option<(Instant, StoreBackup)> = None;
    let end = Instant::now() + settings.faults;
    let mut active: Vec<(Instant, SoakFault)> = Vec::new();
    while Instant::now() < end || !active.is_empty() {
        let now = Instant::now();
        let expired: Vec<SoakFault> = active
            .extract_if(.., |(time, _fault)| *time <= now)
            .map(|(_time, fault)| fault)
            .collect();
        for fault in expired {
            fault.revert(cluster, state).await;
        }
        check_hosts(cluster, state, &active);
        let is_evacuated = active
            .iter()
            .any(|(_time, fault)| *fault == SoakFault::Evacuate);
        if now < end && !is_evacuated && evacuation_rng.random_bool(0.15) {
            let duration = Duration::from_millis(evacuation_rng.random_range(500..3500));
            SoakFault::Evacuate.inject(cluster, state).await;
            state.record_fault(SoakFault::Evacuate, duration);
            active.push((now + duration, SoakFault::Evacuate));
        }
        if let Some((_time, backup)) = backup.take_if(|(time, _backup)| *time <= now) {
            restore_store(cluster, state, &backup).await;
        }
        if now < end && backup.is_none() && restore_rng.random_bool(0.2) {
            let age = Duration::from_millis(restore_rng.random_range(200..4000));
            backup = Some((now + age, cluster.store.copy()));
        }
        if now < end {
            let fault = SoakFault::draw(&mut rng);
            let duration = Duration::from_millis(rng.random_range(500..3500));
            let conflicts = active.iter().any(|(_time, other)| other.same_target(fault));
            if !conflicts && fault.inject(cluster, state).await {
                state.record_fault(fault, duration);
                active.push((now + duration, fault));
            }
        }
        sleep(Duration::from_millis(rng.random_range(100..700))).await;
    }
}

/// Restores the store from a backup, then repeats the lost writes as its clients do.
async fn restore_store(cluster: &PacketCluster, state: &SoakState, backup: &StoreBackup) {
    let lost = cluster.store.restore(backup);
    state.record_restore(lost.len());
    sleep(REWRITE_DELAY).await;
    cluster.store.rewrite_lost(lost);
}

/// A fault and the index of the host or upstream that it affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SoakFault {
    /// A host's process is killed and restarted.
    Kill(usize),
    /// A host gets SIGTERM, and is restarted once it has exited.
    Stop(usize),
    /// A host's process is suspended.
    Freeze(usize),
    /// A host gets SIGHUP, which makes it reload its settings.
    Hangup(usize),
    /// The store changes its behaviour to a host.
    Store(usize, StoreBehaviour),
    /// The store responds to no host.
    StoreUnreachable,
    /// The store drops its history.
    DropHistory,
    /// An upstream drops all packets, as after a power loss.
    UpstreamUnreachable(usize),
    /// An upstream registers as draining, and as ready when the fault ends.
    Drain(usize),
    /// A newer configuration is published.
    Routes,
    /// The local zone, which has the hosts and most upstreams, is evacuated.
    Evacuate,
}

impl SoakFault {
    fn draw(rng: &mut StdRng) -> Self {
        let host = rng.random_range(0..usize::from(HOSTS));
        let upstream = rng.random_range(0..usize::from(LEDGER_UPSTREAMS));
        match rng.random_range(0..12) {
            0 => Self::Kill(host),
            1 => Self::Stop(host),
            2 => Self::Freeze(host),
            3 => Self::Hangup(host),
            4 => Self::Store(host, StoreBehaviour::Refuse(503)),
            5 => Self::Store(host, StoreBehaviour::Refuse(429)),
            6 => Self::Store(host, StoreBehaviour::Silent),
            7 => Self::StoreUnreachable,
            8 => Self::DropHistory,
            9 => Self::UpstreamUnreachable(upstream),
            10 => Self::Drain(upstream),
            _ => Self::Routes,
        }
    }

    /// Whether both faults affect the same host, the same upstream or the store.
    fn same_target(self, other: Self) -> bool {
        let host = |fault| match fault {
            Self::Kill(host) | Self::Stop(host) | Self::Freeze(host) | Self::Hangup(host) => {
                Some(host)
            }
            _ => None,
        };
        let upstream = |fault| match fault {
            Self::UpstreamUnreachable(upstream) | Self::Drain(upstream) => Some(upstream),
            _ => None,
        };
        let store = |fault| matches!(fault, Self::Store(..) | Self::StoreUnreachable);
        let same_host = host(self).is_some() && host(self) == host(other);
        let same_upstream = upstream(self).is_some() && upstream(self) == upstream(other);
        same_host || same_upstream || (store(self) && store(other))
    }

    /// Starts the fault. Returns false without an effect if it would send a signal to a host that
    /// is still starting.
    async fn inject(self, cluster: &mut PacketCluster, state: &SoakState) -> bool {
        let host = match self {
            Self::Stop(host) | Self::Hangup(host) => Some(host),
            _ => None,
        };
        if host.is_some_and(|host| cluster.hosts[host].is_starting()) {
            return false;
        }
        match self {
            Self::Kill(host) => cluster.hosts[host].kill().await,
            Self::Stop(host) => cluster.hosts[host].signal("TERM").await,
            Self::Freeze(host) => cluster.hosts[host].signal("STOP").await,
            Self::Hangup(host) => cluster.hosts[host].signal("HUP").await,
            Self::Store(host, behaviour) => cluster.hosts[host].store.set_behaviour(behaviour),
            Self::StoreUnreachable => set_all_behaviours(cluster, StoreBehaviour::Silent),
            Self::DropHistory => cluster.store.drop_history(),
            Self::UpstreamUnreachable(upstream) => {
                state.record_upstream_fault(cluster.upstreams[upstream].number);
                cluster.upstreams[upstream].set_unreachable(true);
            }
            Self::Drain(index) => cluster.register(&cluster.upstreams[index], "ledger", "draining"),
            Self::Evacuate => cluster.evacuate_local_zone(),
            Self::Routes => {
                let version = 2 + state.started.elapsed().as_millis() as u64;
                cluster.publish_routes(version, &[(ledger(), "ledger"), (certs(), "certs")]);
            }
        }
        true
    }

    async fn revert(self, cluster: &mut PacketCluster, state: &SoakState) {
        match self {
            Self::Kill(host) => cluster.hosts[host].restart_process(),
            Self::Stop(host) => {
                if !cluster.hosts[host].ended().await.success() {
                    state.record_violation(&format!("host {host} did not exit with success"));
                }
                cluster.hosts[host].restart_process();
            }
            Self::Freeze(host) => cluster.hosts[host].signal("CONT").await,
            Self::Store(host, _behaviour) => cluster.hosts[host]
                .store
                .set_behaviour(StoreBehaviour::Serve),
            Self::StoreUnreachable => set_all_behaviours(cluster, StoreBehaviour::Serve),
            Self::UpstreamUnreachable(upstream) => {
                state.record_upstream_fault(cluster.upstreams[upstream].number);
                cluster.upstreams[upstream].set_unreachable(false);
            }
            Self::Drain(index) => cluster.register(&cluster.upstreams[index], "ledger", "ready"),
            Self::Evacuate => cluster.restore_local_zone(),
            Self::Hangup(_) | Self::DropHistory | Self::Routes => {}
        }
    }
}

fn set_all_behaviours(cluster: &PacketCluster, behaviour: StoreBehaviour) {
    for host in &cluster.hosts {
        host.store.set_behaviour(behaviour);
    }
}

/// Checks that every host not stopped by a fault is still running.
fn check_hosts(cluster: &mut PacketCluster, state: &SoakState, active: &[(Instant, SoakFault)]) {
    for (index, host) in cluster.hosts.iter_mut().enumerate() {
        let stopped_by_fault = active.iter().any(|(_time, fault)| {
            matches!(fault, SoakFault::Kill(host) | SoakFault::Stop(host) if *host == index)
        });
        if !stopped_by_fault && let Some(status) = host.exit_status() {
            state.record_violation(&format!("host {index} exited by itself: {status}"));
            host.restart_process();
        }
    }
}
