//! State that the callers and the fault injection of a soak run share, and the report of the run.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::net::SocketAddrV4;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::packet_caller::CallerFlow;
use crate::packet_cluster::certs;
use crate::packet_cluster::ledger;
use crate::soak_upstream::index_of;

/// Time after a fault of an upstream within which its flows may be reset.
const RESET_WINDOW: Duration = Duration::from_secs(4);

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
    /// Log lines of the hosts about the resets among the violations, and the paths of their logs.
    pub evidence: Vec<String>,
    /// The resets among the violations.
    pub(crate) resets: Vec<WrongReset>,
}

/// A reset that violates an invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WrongReset {
    /// The caller's address of the flow.
    pub(crate) caller: SocketAddrV4,
    /// Number of the flow's upstream.
    pub(crate) upstream: u64,
}

/// State shared by the callers and the fault injection.
pub(crate) struct SoakState {
    started: Instant,
    report: Mutex<SoakReport>,
    /// Time of the last fault of each upstream, by its number.
    last_upstream_fault: Mutex<BTreeMap<u64, Instant>>,
    /// Time of the last end of the process of each upstream, by its number.
    last_upstream_end: Mutex<BTreeMap<u64, Instant>>,
    /// Address of the ledger that a newer configuration has added; `None` if there is none now.
    added_route: Mutex<Option<SocketAddrV4>>,
    next_version: AtomicU64,
    finished: AtomicBool,
}

impl SoakState {
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
            report: Mutex::default(),
            last_upstream_fault: Mutex::default(),
            last_upstream_end: Mutex::default(),
            added_route: Mutex::default(),
            next_version: AtomicU64::new(2),
            finished: AtomicBool::new(false),
        }
    }

    /// Ends the callers.
    pub(crate) fn finish(&self) {
        self.finished.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_finished(&self) -> bool {
        self.finished.load(Ordering::Relaxed)
    }

    pub(crate) fn report(&self) -> MutexGuard<'_, SoakReport> {
        lock(&self.report)
    }

    pub(crate) fn record_violation(&self, description: &str) {
        let second = self.started.elapsed().as_secs_f64();
        self.report()
            .broken
            .push(format!("{second:.1} s: {description}"));
    }

    pub(crate) fn record_fault(&self, fault: impl Debug, duration: Duration) {
        let second = self.started.elapsed().as_secs_f64();
        let line = format!("{second:.1} s: {fault:?} for {duration:?}");
        self.report().faults.push(line);
    }

    pub(crate) fn record_restore(&self, lost: usize) {
        let second = self.started.elapsed().as_secs_f64();
        let line = format!("{second:.1} s: store restored from a backup, {lost} writes lost");
        self.report().faults.push(line);
    }

    pub(crate) fn record_upstream_fault(&self, upstream: u64) {
        lock(&self.last_upstream_fault).insert(upstream, Instant::now());
    }

    /// Records that the process of an upstream has ended.
    pub(crate) fn record_upstream_end(&self, upstream: u64) {
        lock(&self.last_upstream_end).insert(upstream, Instant::now());
    }

    /// Sets the address that a newer configuration adds.
    pub(crate) fn set_added_route(&self, address: Option<SocketAddrV4>) {
        *lock(&self.added_route) = address;
    }

    pub(crate) fn added_route(&self) -> Option<SocketAddrV4> {
        *lock(&self.added_route)
    }

    /// Returns the version and the routes of the next configuration.
    pub(crate) fn next_routes(&self) -> (u64, Vec<(SocketAddrV4, &'static str)>) {
        let version = self.next_version.fetch_add(1, Ordering::Relaxed);
        let main = [(ledger(), "ledger"), (certs(), "certs")];
        let added = self.added_route().map(|address| (address, "ledger"));
        (version, main.into_iter().chain(added).collect())
    }

    /// Checks the reset of a flow whose upstream ran a request that was sent at `last_request`.
    pub(crate) fn check_reset(&self, flow: &CallerFlow, upstream: u64, last_request: Instant) {
        let service = flow.service();
        let is_routed =
            [ledger(), certs()].contains(&service) || self.added_route() == Some(service);
        let has_ended = lock(&self.last_upstream_end)
            .get(&upstream)
            .is_some_and(|end| *end >= last_request);
        let is_stable = lock(&self.last_upstream_fault)
            .get(&upstream)
            .is_none_or(|time| time.elapsed() > RESET_WINDOW);
        if !is_routed || has_ended || !is_stable {
            return;
        }
        let caller = flow.source();
        let index = index_of(upstream);
        self.record_violation(&format!(
            "flow {caller} to {service} was reset while its upstream {index} (i-{upstream:x}) was stable"
        ));
        self.report().resets.push(WrongReset { caller, upstream });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
