//! State that the callers and the fault injection of a soak run share, and the report of the run.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

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
}

/// State shared by the callers and the fault injection.
pub(crate) struct SoakState {
    pub(crate) started: Instant,
    report: Mutex<SoakReport>,
    /// Time of the last fault of each upstream, by its number.
    last_upstream_fault: Mutex<BTreeMap<u64, Instant>>,
    finished: AtomicBool,
}

impl SoakState {
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
            report: Mutex::default(),
            last_upstream_fault: Mutex::default(),
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
        self.report.lock().unwrap_or_else(PoisonError::into_inner)
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
        let mut last_upstream_fault = self
            .last_upstream_fault
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_upstream_fault.insert(upstream, Instant::now());
    }

    pub(crate) fn is_stable(&self, upstream: u64) -> bool {
        let last_upstream_fault = self
            .last_upstream_fault
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_upstream_fault
            .get(&upstream)
            .is_none_or(|time| time.elapsed() > RESET_WINDOW)
    }
}
