//! Starts and ends the faults of a soak run at times that its seed decides.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::sleep;

use crate::packet_cluster::HANG_TIMEOUT;
use crate::packet_cluster::PacketCluster;
use crate::packet_soak::LOCAL_HOSTS;
use crate::packet_soak::REMOTE_HOSTS;
use crate::packet_soak::SoakSettings;
use crate::packet_store::StoreBackup;
use crate::soak_fault::SoakFault;
use crate::soak_state::SoakState;
use crate::soak_upstream::LEAVING_UPSTREAMS;
use crate::soak_upstream::LEDGER_UPSTREAMS;
use crate::soak_upstream::UPSTREAMS;

/// XORed with the seed to separate the random numbers of these faults from those of the others, so
/// that they do not change a seed's other faults.
const EVACUATION_STREAM: u64 = 0x6576_6163;
const RESTORE_STREAM: u64 = 0x7265_7374;
const HEARTBEAT_STREAM: u64 = 0x6865_6172;
const BUSY_STREAM: u64 = 0x6275_7379;
const REMOVAL_STREAM: u64 = 0x7265_6d6f;
const ROUTE_STREAM: u64 = 0x726f_7574;
const STORE_STREAM: u64 = 0x7374_6f72;

/// Delay from a restore of the store until its clients repeat the lost writes.
const REWRITE_DELAY: Duration = Duration::from_millis(300);

/// Time for which a drain outlasts the late heartbeat of the draining upstream.
const DRAIN_MARGIN: Duration = Duration::from_secs(1);

/// The random numbers of the faults.
struct FaultStreams {
    main: StdRng,
    evacuation: StdRng,
    restore: StdRng,
    heartbeat: StdRng,
    busy: StdRng,
    removal: StdRng,
    route: StdRng,
    store: StdRng,
}

impl FaultStreams {
    fn new(seed: u64) -> Self {
        let stream = |constant: u64| StdRng::seed_from_u64(seed ^ constant);
        Self {
            main: stream(0),
            evacuation: stream(EVACUATION_STREAM),
            restore: stream(RESTORE_STREAM),
            heartbeat: stream(HEARTBEAT_STREAM),
            busy: stream(BUSY_STREAM),
            removal: stream(REMOVAL_STREAM),
            route: stream(ROUTE_STREAM),
            store: stream(STORE_STREAM),
        }
    }
}

/// The faults of a run.
struct FaultSchedule<'a> {
    cluster: &'a mut PacketCluster,
    state: &'a SoakState,
    streams: FaultStreams,
    /// The active faults and when each ends.
    active: Vec<(Instant, SoakFault)>,
    /// A backup of the store and when the store is restored from it.
    backup: Option<(Instant, StoreBackup)>,
    added_routes: u8,
}

/// Injects faults at random times and reverts each after its duration.
pub(crate) async fn inject_faults(
    cluster: &mut PacketCluster,
    state: &SoakState,
    settings: SoakSettings,
) {
    let end = Instant::now() + settings.faults;
    let mut schedule = FaultSchedule {
        cluster,
        state,
        streams: FaultStreams::new(settings.seed),
        active: Vec::new(),
        backup: None,
        added_routes: 0,
    };
    while Instant::now() < end || !schedule.active.is_empty() {
        schedule.end_expired().await;
        schedule.check_hosts();
        schedule.restore_store().await;
        if Instant::now() < end {
            schedule.draw_backup();
            schedule.draw_main().await;
            schedule.draw_evacuation().await;
            schedule.draw_late_heartbeat().await;
            schedule.draw_busy().await;
            schedule.draw_removal().await;
            schedule.draw_added_route().await;
            schedule.draw_lost_responses().await;
        }
        let pause = schedule.streams.main.random_range(100..700);
        sleep(Duration::from_millis(pause)).await;
    }
}

impl FaultSchedule<'_> {
    /// Starts a fault unless an active one affects the same target.
    async fn start(&mut self, fault: SoakFault, duration: Duration) {
        let conflicts = self
            .active
            .iter()
            .any(|(_time, other)| other.same_target(fault));
        if !conflicts && fault.inject(self.cluster, self.state).await {
            self.state.record_fault(fault, duration);
            self.active.push((Instant::now() + duration, fault));
        }
    }

    /// Ends the faults whose time is over, and starts the parts that follow them.
    async fn end_expired(&mut self) {
        let now = Instant::now();
        let cluster = &mut *self.cluster;
        let expired: Vec<SoakFault> = self
            .active
            .extract_if(.., |(time, fault)| {
                let hangs = *time + HANG_TIMEOUT <= now;
                *time <= now && (hangs || !fault.is_stopping(cluster))
            })
            .map(|(_time, fault)| fault)
            .collect();
        for fault in expired {
            fault.revert(self.cluster, self.state, &self.active).await;
            if let Some((part, duration)) = fault.next_part(&mut self.streams.removal) {
                self.start(part, duration).await;
            }
        }
    }

    /// Checks that every host not stopped by a fault is still running.
    fn check_hosts(&mut self) {
        for (index, host) in self.cluster.hosts.iter_mut().enumerate() {
            let stopped_by_fault = self.active.iter().any(|(_time, fault)| {
                matches!(fault, SoakFault::Kill(host) | SoakFault::Stop(host) if *host == index)
            });
            if !stopped_by_fault && let Some(status) = host.exit_status() {
                self.state
                    .record_violation(&format!("host {index} exited by itself: {status}"));
                host.restart_process();
            }
        }
    }

    async fn draw_main(&mut self) {
        let fault = SoakFault::draw(&mut self.streams.main);
        let duration = random_time(&mut self.streams.main, 500..3500);
        self.start(fault, duration).await;
    }

    async fn draw_evacuation(&mut self) {
        let is_evacuated = self.is_active(|fault| *fault == SoakFault::Evacuate);
        if !is_evacuated && self.streams.evacuation.random_bool(0.15) {
            let duration = random_time(&mut self.streams.evacuation, 500..3500);
            self.start(SoakFault::Evacuate, duration).await;
        }
    }

    /// Restores the store from the backup at its time, then repeats the lost writes as the clients
    /// of the store do.
    async fn restore_store(&mut self) {
        let now = Instant::now();
        if let Some((_time, backup)) = self.backup.take_if(|(time, _backup)| *time <= now) {
            let lost = self.cluster.store.restore(&backup);
            self.state.record_restore(lost.len());
            sleep(REWRITE_DELAY).await;
            self.cluster.store.rewrite_lost(lost);
        }
    }

    fn draw_backup(&mut self) {
        let rng = &mut self.streams.restore;
        if self.backup.is_none() && rng.random_bool(0.2) {
            let age = random_time(rng, 200..4000);
            self.backup = Some((Instant::now() + age, self.cluster.store.copy()));
        }
    }

    async fn draw_late_heartbeat(&mut self) {
        let rng = &mut self.streams.heartbeat;
        if !rng.random_bool(0.35) {
            return;
        }
        let index = rng.random_range(0..UPSTREAMS);
        let is_draining = rng.random_bool(0.3);
        let duration = random_time(rng, 300..5500);
        if is_draining && LEDGER_UPSTREAMS.contains(&index) {
            self.start(SoakFault::Drain(index), duration + DRAIN_MARGIN)
                .await;
        }
        self.start(SoakFault::LateHeartbeat(index), duration).await;
    }

    async fn draw_busy(&mut self) {
        let rng = &mut self.streams.busy;
        if rng.random_bool(0.3) {
            let index = rng.random_range(0..UPSTREAMS);
            let duration = random_time(rng, 400..1800);
            self.start(SoakFault::Busy(index, duration), duration).await;
        }
    }

    async fn draw_removal(&mut self) {
        let rng = &mut self.streams.removal;
        if rng.random_bool(0.25) {
            let index = rng.random_range(LEAVING_UPSTREAMS);
            let duration = random_time(rng, 300..2000);
            self.start(SoakFault::Leaving(index), duration).await;
        }
    }

    /// Adds a route while one host is frozen, so that it is behind, or, while there is an added
    /// route, stops or kills a host, so that its flows go to others.
    async fn draw_added_route(&mut self) {
        let is_added = self.is_active(|fault| matches!(fault, SoakFault::AddedRoute(_)));
        let rng = &mut self.streams.route;
        if !rng.random_bool(if is_added { 0.7 } else { 0.4 }) {
            return;
        }
        let host = rng.random_range(0..usize::from(LOCAL_HOSTS + REMOTE_HOSTS));
        let is_killed = rng.random_bool(0.5);
        let host_time = random_time(rng, 1000..3500);
        let route_time = random_time(rng, 3000..8000);
        if is_added {
            let fault = match is_killed {
                true => SoakFault::Kill(host),
                false => SoakFault::Stop(host),
            };
            self.start(fault, host_time).await;
        } else {
            self.start(SoakFault::Freeze(host), host_time).await;
            self.added_routes = self.added_routes.wrapping_add(1);
            let fault = SoakFault::AddedRoute(self.added_routes);
            self.start(fault, route_time).await;
        }
    }

    /// Loses the store's responses to all hosts, or for longer to those that read it.
    async fn draw_lost_responses(&mut self) {
        let rng = &mut self.streams.store;
        if !rng.random_bool(0.35) {
            return;
        }
        let (fault, duration) = match rng.random_bool(0.5) {
            true => (SoakFault::LostResponses, random_time(rng, 200..6600)),
            false => (SoakFault::UnansweredReaders, random_time(rng, 2000..9000)),
        };
        self.start(fault, duration).await;
    }

    fn is_active(&self, is_searched: impl Fn(&SoakFault) -> bool) -> bool {
        self.active.iter().any(|(_time, fault)| is_searched(fault))
    }
}

fn random_time(rng: &mut StdRng, millis: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(millis))
}
