//! The faults of a soak run: what each does, and how it ends.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::rngs::StdRng;
use tokio::time::timeout;

use crate::packet_cluster::PacketCluster;
use crate::packet_cluster::registration_key;
use crate::packet_soak::LOCAL_HOSTS;
use crate::packet_store::StoreBehaviour;
use crate::soak_check::check_upstream;
use crate::soak_state::SoakState;
use crate::soak_upstream::LEDGER_UPSTREAMS;
use crate::soak_upstream::added_address;
use crate::soak_upstream::next_number;
use crate::soak_upstream::service_name;

/// Timeout of reading a host's metric. A frozen host accepts connections and does not respond.
const METRIC_TIMEOUT: Duration = Duration::from_millis(500);

/// A fault, or a disruption that is no fault of the upstream, and the index of the host or upstream
/// that it affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SoakFault {
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
    /// The store's responses to all hosts are lost.
    LostResponses,
    /// The store's responses to the hosts that read it are lost.
    UnansweredReaders,
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
    /// The registration of an upstream expires, since its heartbeat is late, and is written again.
    LateHeartbeat(usize),
    /// An upstream reads no packets for a time, then handles all that have queued up.
    Busy(usize, Duration),
    /// First part of a planned removal: an upstream registers as draining.
    Leaving(usize),
    /// Second part: its registration is removed, and it still serves its flows.
    Deregistered(usize),
    /// Third part: its process ends, and a new one registers. The new one has a new number if the
    /// flag is set.
    Ended(usize, bool),
    /// A newer configuration has another route to the ledger, which a later one removes.
    AddedRoute(u8),
}

impl SoakFault {
    pub(crate) fn draw(rng: &mut StdRng) -> Self {
        let host = rng.random_range(0..usize::from(LOCAL_HOSTS));
        let upstream = rng.random_range(LEDGER_UPSTREAMS);
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

    /// Returns the next part of a planned removal and its duration, or `None` if there is none.
    pub(crate) fn next_part(self, rng: &mut StdRng) -> Option<(Self, Duration)> {
        let (part, millis) = match self {
            Self::Leaving(index) => (Self::Deregistered(index), 100..3000),
            Self::Deregistered(index) => (Self::Ended(index, rng.random_bool(0.5)), 200..2000),
            _ => return None,
        };
        Some((part, Duration::from_millis(rng.random_range(millis))))
    }

    /// Whether the fault cannot be reverted yet: the host has been asked to stop and still runs.
    pub(crate) fn is_stopping(self, cluster: &mut PacketCluster) -> bool {
        let Self::Stop(host) = self else {
            return false;
        };
        cluster.hosts[host].exit_status().is_none()
    }

    /// Whether both faults affect the same host, the same upstream or the store.
    pub(crate) fn same_target(self, other: Self) -> bool {
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
        let registration = |fault| match fault {
            Self::LateHeartbeat(upstream)
            | Self::Leaving(upstream)
            | Self::Deregistered(upstream)
            | Self::Ended(upstream, _) => Some(upstream),
            _ => None,
        };
        let busy = |fault| match fault {
            Self::Busy(upstream, _) => Some(upstream),
            _ => None,
        };
        let route = |fault| matches!(fault, Self::AddedRoute(_));
        let store = |fault| {
            matches!(
                fault,
                Self::Store(..)
                    | Self::StoreUnreachable
                    | Self::LostResponses
                    | Self::UnansweredReaders
            )
        };
        let same_host = host(self).is_some() && host(self) == host(other);
        let same_upstream = upstream(self).is_some() && upstream(self) == upstream(other);
        let same_registration =
            registration(self).is_some() && registration(self) == registration(other);
        let same_busy = busy(self).is_some() && busy(self) == busy(other);
        same_host
            || same_upstream
            || same_registration
            || same_busy
            || (route(self) && route(other))
            || (store(self) && store(other))
    }

    /// Starts the fault. Returns false without an effect if it would send a signal to a host that
    /// is still starting.
    pub(crate) async fn inject(self, cluster: &mut PacketCluster, state: &SoakState) -> bool {
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
            Self::LostResponses => set_all_behaviours(cluster, StoreBehaviour::Lost),
            Self::UnansweredReaders => ignore_readers(cluster).await,
            Self::DropHistory => cluster.store.drop_history(),
            Self::UpstreamUnreachable(upstream) => {
                state.record_upstream_fault(cluster.upstreams[upstream].number);
                cluster.upstreams[upstream].set_unreachable(true);
            }
            Self::Drain(index) | Self::Leaving(index) => register(cluster, index, "draining"),
            Self::LateHeartbeat(index) | Self::Deregistered(index) => {
                let key = registration_key(&cluster.upstreams[index]);
                cluster.store.remove(&key);
            }
            Self::Busy(index, duration) => cluster.upstreams[index].set_busy(duration),
            Self::Ended(index, _) => end_upstream(cluster, state, index).await,
            Self::Evacuate => cluster.evacuate_local_zone(),
            Self::Routes => publish_routes(cluster, state),
            Self::AddedRoute(number) => {
                state.set_added_route(Some(added_address(number)));
                publish_routes(cluster, state);
            }
        }
        true
    }

    /// Ends the fault. `active` are the other faults.
    pub(crate) async fn revert(
        self,
        cluster: &mut PacketCluster,
        state: &SoakState,
        active: &[(Instant, Self)],
    ) {
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
            Self::StoreUnreachable | Self::LostResponses | Self::UnansweredReaders => {
                set_all_behaviours(cluster, StoreBehaviour::Serve);
            }
            Self::UpstreamUnreachable(upstream) => {
                state.record_upstream_fault(cluster.upstreams[upstream].number);
                cluster.upstreams[upstream].set_unreachable(false);
            }
            Self::Drain(index) => register(cluster, index, "ready"),
            Self::LateHeartbeat(index) => {
                let is_drained = active
                    .iter()
                    .any(|(_time, fault)| *fault == Self::Drain(index));
                register(
                    cluster,
                    index,
                    if is_drained { "draining" } else { "ready" },
                );
            }
            Self::Ended(index, is_renumbered) => {
                let number = cluster.upstreams[index].number;
                let number = if is_renumbered {
                    next_number(number)
                } else {
                    number as u8
                };
                cluster.start_incarnation(index, number).await;
                register(cluster, index, "ready");
            }
            Self::AddedRoute(_) => {
                state.set_added_route(None);
                publish_routes(cluster, state);
            }
            Self::Evacuate => cluster.restore_local_zone(),
            Self::Hangup(_)
            | Self::DropHistory
            | Self::Routes
            | Self::Busy(..)
            | Self::Leaving(_)
            | Self::Deregistered(_) => {}
        }
    }
}

/// Loses the store's responses to the hosts that read it. A host that is frozen does not count.
pub(crate) async fn ignore_readers(cluster: &PacketCluster) {
    for host in &cluster.hosts {
        let reads = timeout(METRIC_TIMEOUT, host.metric("lagoon_packet_reads ")).await;
        if reads.is_ok_and(|reads| reads > 0.0) {
            host.store.set_behaviour(StoreBehaviour::Lost);
        }
    }
}

/// Sets how the store responds to every host.
pub(crate) fn set_all_behaviours(cluster: &PacketCluster, behaviour: StoreBehaviour) {
    for host in &cluster.hosts {
        host.store.set_behaviour(behaviour);
    }
}

/// Writes the registration of an upstream with this state.
fn register(cluster: &PacketCluster, index: usize, registered_state: &str) {
    let upstream = &cluster.upstreams[index];
    cluster.register(upstream, service_name(upstream.number), registered_state);
}

/// Publishes the routes of the services and the added one, if there is one.
fn publish_routes(cluster: &PacketCluster, state: &SoakState) {
    let (version, routes) = state.next_routes();
    cluster.publish_routes(version, &routes);
}

/// Ends the process of an upstream.
async fn end_upstream(cluster: &mut PacketCluster, state: &SoakState, index: usize) {
    let upstream = &mut cluster.upstreams[index];
    check_upstream(upstream, state);
    // Once before, since callers may see the end at once, and once when no response can follow.
    state.record_upstream_end(upstream.number);
    upstream.stop().await;
    state.record_upstream_end(upstream.number);
}
