//! Computes the results of an experiment from the outcomes of its requests.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::cluster_plan::ClusterPlan;
use crate::virtual_cluster::CallerResult;
use crate::virtual_cluster::ClusterRun;
use crate::virtual_cluster::RequestRun;

/// Minimum service time assumed when bounded slowdown is computed.
const SLOWDOWN_BOUND: Duration = Duration::from_millis(10);
/// Length of the windows over which imbalance is computed.
const IMBALANCE_WINDOW: Duration = Duration::from_secs(10);

/// Results of one run for the requests that arrived after the warm-up.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunMetrics {
    /// Number of requests offered.
    pub offered: usize,
    /// Service time of the requests answered in time, as a fraction of the time of all slots.
    pub goodput: f64,
    /// Fraction of the offered requests that were answered in time.
    pub answered: f64,
    /// Fraction of the offered requests that were rejected.
    pub refused: f64,
    /// Among requests that were not rejected within 100 ms of arrival: fraction whose deadline
    /// passed in the queue or that were rejected later.
    pub missed_waiting: f64,
    /// Fraction of the offered requests whose deadline passed while they ran.
    pub missed_running: f64,
    /// Median time from arrival to start, in milliseconds, of the requests that ran.
    pub wait_p50_ms: f64,
    /// 99th percentile of the time from arrival to start, in milliseconds.
    pub wait_p99_ms: f64,
    /// Mean bounded slowdown of the requests that ran, see [`slowdown_of`].
    pub slowdown: f64,
    /// Use of the busiest upstream divided by the mean use, averaged over windows of 10 s.
    pub imbalance: f64,
    /// Messages between hosts per request.
    pub messages_per_job: f64,
    /// Bytes of these messages per host and second.
    pub bytes_per_host_second: f64,
    /// Sends to upstreams per request that was sent at least once.
    pub sends_per_job: f64,
}

/// Returns the bounded slowdown: response time divided by service time, at least 1. A service time
/// below 10 ms counts as 10 ms.
pub fn slowdown_of(wait: Duration, service: Duration) -> f64 {
    let bounded = service.max(SLOWDOWN_BOUND).as_secs_f64();
    ((wait + service).as_secs_f64() / bounded).max(1.0)
}

/// Returns a quantile of unsorted times, or zero if there are none.
pub fn quantile(mut times: Vec<Duration>, part: f64) -> Duration {
    times.sort_unstable();
    let rank = (times.len() as f64 * part).ceil() as usize;
    let index = rank.clamp(1, times.len().max(1)) - 1;
    times.get(index).copied().unwrap_or_default()
}

impl RunMetrics {
    /// Returns results that contain the offered requests and the quantiles of the waiting times.
    pub fn new(_plan: &ClusterPlan, offered: usize, waits: Vec<Duration>) -> Self {
        Self {
            offered,
            wait_p50_ms: quantile(waits.clone(), 0.5).as_secs_f64() * 1e3,
            wait_p99_ms: quantile(waits, 0.99).as_secs_f64() * 1e3,
            ..Self::default()
        }
    }

    /// Adds the number of requests answered in time and their total service time.
    pub fn with_answered(mut self, plan: &ClusterPlan, answered: usize, ran: Duration) -> Self {
        let seconds = (plan.length - plan.warm_up).as_secs_f64();
        self.answered = answered as f64 / self.offered.max(1) as f64;
        self.goodput = ran.as_secs_f64() / seconds / f64::from(plan.all_slots());
        self
    }

    /// Adds the number of rejected requests.
    pub fn with_refused(mut self, refused: usize) -> Self {
        self.refused = refused as f64 / self.offered.max(1) as f64;
        self
    }

    /// Adds the mean bounded slowdown.
    pub fn with_slowdown(mut self, slowdown: f64) -> Self {
        self.slowdown = slowdown;
        self
    }

    /// Adds the imbalance, computed from the start and end of the runs at each upstream.
    pub fn with_imbalance(
        mut self,
        plan: &ClusterPlan,
        begin: Instant,
        runs: &[Vec<(Instant, Instant)>],
    ) -> Self {
        let mut ratios = Vec::new();
        let mut from = begin + plan.warm_up;
        while from + IMBALANCE_WINDOW <= begin + plan.length {
            ratios.push(imbalance_between(runs, from, from + IMBALANCE_WINDOW));
            from += IMBALANCE_WINDOW;
        }
        self.imbalance = ratios.iter().sum::<f64>() / ratios.len().max(1) as f64;
        self
    }

    /// Computes the results of a cluster run.
    pub fn from_run(plan: &ClusterPlan, run: &ClusterRun) -> Self {
        let from = run.begin + plan.warm_up;
        let counted: Vec<&RequestRun> = run
            .requests
            .iter()
            .filter(|request| request.arrived >= from)
            .collect();
        let count = |result: CallerResult| {
            counted
                .iter()
                .filter(|request| request.result == result)
                .count()
        };
        let is_refused =
            |request: &&&RequestRun| matches!(request.result, CallerResult::Refused(_));
        let started = || {
            counted
                .iter()
                .filter_map(|request| Some((request, request.started?)))
        };
        let waits = started()
            .map(|(request, at)| at - request.arrived)
            .collect();
        let slowdowns =
            started().map(|(request, at)| slowdown_of(at - request.arrived, request.service));
        let mean_slowdown = slowdowns.sum::<f64>() / started().count().max(1) as f64;
        let runs: Vec<Vec<(Instant, Instant)>> = run
            .upstreams
            .iter()
            .map(|upstream| upstream.runs.clone())
            .collect();
        let answered = counted
            .iter()
            .filter(|request| request.result == CallerResult::Answered)
            .map(|request| request.service);
        let refused = counted.iter().filter(is_refused).count();
        let at_once = Duration::from_millis(100);
        let late = |request: &&&RequestRun| {
            is_refused(request) && request.ended - request.arrived > at_once
        };
        let late = counted.iter().filter(late).count();
        let missed = count(CallerResult::MissedWaiting) + late;
        let admitted = counted.len() - (refused - late);
        let mut metrics = Self::new(plan, counted.len(), waits)
            .with_answered(plan, answered.clone().count(), answered.sum())
            .with_refused(refused)
            .with_slowdown(mean_slowdown)
            .with_imbalance(plan, run.begin, &runs);
        metrics.missed_waiting = missed as f64 / admitted.max(1) as f64;
        let missed_running = count(CallerResult::MissedRunning);
        metrics.missed_running = missed_running as f64 / counted.len().max(1) as f64;
        metrics.messages_per_job = run.messages as f64 / run.requests.len().max(1) as f64;
        let host_seconds = plan.length.as_secs_f64() * f64::from(plan.hosts);
        metrics.bytes_per_host_second = run.bytes as f64 / host_seconds;
        let sent = run
            .requests
            .iter()
            .filter(|request| request.sends > 0)
            .count();
        metrics.sends_per_job = run.sends as f64 / sent.max(1) as f64;
        metrics
    }
}

fn imbalance_between(runs: &[Vec<(Instant, Instant)>], from: Instant, to: Instant) -> f64 {
    let overlap = |(begin, end): &(Instant, Instant)| {
        let last = (*end).min(to);
        last.saturating_duration_since((*begin).max(from))
    };
    let used = runs.iter().map(|runs| {
        let total: Duration = runs.iter().map(overlap).sum();
        total.as_secs_f64()
    });
    let used: Vec<f64> = used.collect();
    let mean = used.iter().sum::<f64>() / used.len().max(1) as f64;
    let most = used.iter().copied().fold(0.0, f64::max);
    if mean > 0.0 { most / mean } else { 1.0 }
}
