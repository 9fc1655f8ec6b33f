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

use std::collections::BTreeMap;
use std::ops::Range;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::sleep;

use crate::packet_caller::CallError;
use crate::packet_caller::CallerFlow;
use crate::packet_caller::PacketCaller;
use crate::packet_cluster::PacketCluster;
use crate::packet_cluster::REQUEST_TIMEOUT;
use crate::packet_cluster::certs;
use crate::packet_cluster::ledger;
use crate::packet_cluster::registration_key;
use crate::packet_store::StoreBackup;
use crate::packet_store::StoreBehaviour;
use crate::packet_upstream::PacketUpstream;
use crate::packet_upstream::response_to;

const HOSTS: u8 = 4;
const LEDGER_UPSTREAMS: u8 = 6;
const CERT_UPSTREAMS: u8 = 2;
/// Indices of the ledger's upstreams in the remote zone, which has no hosts.
const REMOTE_UPSTREAMS: Range<usize> = 4..6;
const CALLERS: usize = 8;
/// XORed with the seed to separate the random numbers of evacuations and of restores from those of
/// other faults.
const EVACUATION_STREAM: u64 = 0x6576_6163;
const RESTORE_STREAM: u64 = 0x7265_7374;

/// Delay from a restore of the store until its clients repeat the lost writes.
const REWRITE_DELAY: Duration = Duration::from_millis(300);

/// Time after a fault of an upstream within which its flows may be reset.
const RESET_WINDOW: Duration = Duration::from_secs(4);

/// Time within which a drain or an evacuation reaches all hosts while there are no faults.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

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

/// Result of a soak run.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Requests with a response.
    pub answered: u64,
    /// Requests and SYNs that failed. Faults may cause failures, so they break no invariant.
    pub failed: u64,
    /// Injected faults, with the second at which each began.
    pub faults: Vec<String>,
    /// Violated invariants; empty if the run passed.
    pub broken: Vec<String>,
}

/// State shared by the callers and the fault injection.
struct SoakState {
    started: Instant,
    report: Mutex<SoakReport>,
    /// Time of the last fault of each upstream, by its number.
    last_upstream_fault: Mutex<BTreeMap<u64, Instant>>,
    finished: AtomicBool,
}

impl SoakState {
    fn report(&self) -> MutexGuard<'_, SoakReport> {
        self.report.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_violation(&self, description: &str) {
        let second = self.started.elapsed().as_secs_f64();
        self.report()
            .broken
            .push(format!("{second:.1} s: {description}"));
    }

    fn record_fault(&self, fault: SoakFault, duration: Duration) {
        let second = self.started.elapsed().as_secs_f64();
        let line = format!("{second:.1} s: {fault:?} for {duration:?}");
        self.report().faults.push(line);
    }

    fn record_restore(&self, lost: usize) {
        let second = self.started.elapsed().as_secs_f64();
        let line = format!("{second:.1} s: store restored from a backup, {lost} writes lost");
        self.report().faults.push(line);
    }

    fn record_upstream_fault(&self, upstream: u64) {
        let mut last_upstream_fault = self
            .last_upstream_fault
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_upstream_fault.insert(upstream, Instant::now());
    }

    fn is_stable(&self, upstream: u64) -> bool {
        let last_upstream_fault = self
            .last_upstream_fault
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_upstream_fault
            .get(&upstream)
            .is_none_or(|time| time.elapsed() > RESET_WINDOW)
    }
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
    let state = Arc::new(SoakState {
        started: Instant::now(),
        report: Mutex::default(),
        last_upstream_fault: Mutex::default(),
        finished: AtomicBool::new(false),
    });
    let mut callers = Vec::new();
    for index in 0..CALLERS {
        let rng = StdRng::seed_from_u64(settings.seed * 1000 + index as u64);
        let caller = cluster.caller().await;
        callers.push(tokio::spawn(run_caller(state.clone(), caller, rng)));
    }
    inject_faults(&mut cluster, &state, settings).await;
    sleep(RECOVERY_TIME).await;
    state.finished.store(true, Ordering::Relaxed);
    for caller in callers {
        if let Err(error) = caller.await {
            state.record_violation(&format!("a caller task failed: {error}"));
        }
    }
    check_upstreams(&cluster, &state);
    check_recovery(&mut cluster, &state).await;
    state.report().clone()
}

/// Opens flows and sends requests on them until the run is over.
async fn run_caller(state: Arc<SoakState>, mut caller: PacketCaller, mut rng: StdRng) {
    while !state.finished.load(Ordering::Relaxed) {
        let service = if rng.random_bool(0.8) {
            ledger()
        } else {
            certs()
        };
        match caller.open(service).await {
            Ok(mut flow) => send_requests(&state, &mut caller, &mut flow, &mut rng).await,
            Err(_fault) => state.report().failed += 1,
        }
    }
}

/// Sends up to 11 requests on a flow with pauses, some of which are long enough that the flow is
/// idle, and checks the responses.
async fn send_requests(
    state: &SoakState,
    caller: &mut PacketCaller,
    flow: &mut CallerFlow,
    rng: &mut StdRng,
) {
    let mut upstream = None;
    for request_index in 0..rng.random_range(1..12) {
        let data = format!("{} {request_index} {}", flow.service(), rng.random::<u32>());
        let timeout = REQUEST_TIMEOUT.min(Duration::from_secs(3));
        match caller.request(flow, data.as_bytes(), timeout).await {
            Ok(response) => {
                state.report().answered += 1;
                let responder = find_responder(flow, data.as_bytes(), &response);
                if responder.is_none()
                    || upstream.is_some_and(|upstream| Some(upstream) != responder)
                {
                    let text = String::from_utf8_lossy(&response).into_owned();
                    state.record_violation(&format!(
                        "request `{data}` on a flow of upstream {upstream:?}: response `{text}`"
                    ));
                }
                upstream = responder;
            }
            Err(fault) => {
                state.report().failed += 1;
                let is_stable = upstream.is_some_and(|upstream| state.is_stable(upstream));
                if fault == CallError::Reset && is_stable {
                    state.record_violation(&format!(
                        "a flow was reset while its upstream {upstream:?} was stable"
                    ));
                }
                return;
            }
        }
        let pause = if rng.random_bool(0.1) {
            900
        } else {
            rng.random_range(5..60)
        };
        sleep(Duration::from_millis(pause)).await;
    }
    caller.close(flow).await;
}

/// Returns the upstream that sent a response, or `None` if the response is incomplete or not of an
/// upstream of the flow's service.
fn find_responder(flow: &CallerFlow, data: &[u8], response: &[u8]) -> Option<u64> {
    let is_ledger = flow.service() == ledger();
    (1..=u64::from(LEDGER_UPSTREAMS + CERT_UPSTREAMS))
        .filter(|number| (*number <= u64::from(LEDGER_UPSTREAMS)) == is_ledger)
        .find(|number| response == response_to(data, *number))
}

/// Injects faults at random times and reverts each after its duration.
async fn inject_faults(cluster: &mut PacketCluster, state: &SoakState, settings: SoakSettings) {
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

/// Checks that no upstream received a modified packet, or one for another upstream or service.
fn check_upstreams(cluster: &PacketCluster, state: &SoakState) {
    for upstream in &cluster.upstreams {
        let tally = upstream.tally();
        let own_service = if upstream.number <= u64::from(LEDGER_UPSTREAMS) {
            ledger()
        } else {
            certs()
        };
        let foreign = tally
            .syns_by_service
            .keys()
            .any(|address| *address != own_service);
        if foreign || tally.forged > 0 || tally.misdelivered > 0 {
            state.record_violation(&format!("upstream {}: {tally:?}", upstream.number));
        }
    }
}

/// Checks after the faults that all requests are served, and that neither a draining upstream nor
/// an evacuated zone gets new flows.
async fn check_recovery(cluster: &mut PacketCluster, state: &SoakState) {
    cluster.wait_for_rotation(usize::from(HOSTS)).await;
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
    let drained_syns = cluster.upstreams[0].tally().syns;
    for _flow in 0..20 {
        if let Err(fault) = caller.open(ledger()).await {
            state.record_violation(&format!("SYN failed after the evacuation: {fault:?}"));
        }
    }
    if cluster.upstreams[0].tally().syns > drained_syns {
        state.record_violation("a drained upstream got new flows");
    }
    if local_syns(cluster) == syns_before {
        state.record_violation("a restored zone got no new flows");
    }
    deregister_all(cluster);
}

/// Returns the number of SYNs that upstreams of the local zone received.
fn local_syns(cluster: &PacketCluster) -> u64 {
    let upstreams = cluster.upstreams.iter().enumerate();
    let local = upstreams.filter(|(index, _upstream)| !REMOTE_UPSTREAMS.contains(index));
    local.map(|(_index, upstream)| upstream.tally().syns).sum()
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
