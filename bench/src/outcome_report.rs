//! What callers received in an experiment, as figures.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::cluster_plan::ClusterPlan;
use crate::virtual_cluster::CallerResult;
use crate::virtual_cluster::ClusterRun;
use crate::virtual_cluster::JobOutcome;

/// Shorter jobs count as this long in bounded slowdown.
const SLOWDOWN_BOUND: Duration = Duration::from_millis(10);
/// Window over which imbalance is taken.
const IMBALANCE_WINDOW: Duration = Duration::from_secs(10);

/// Figures of one run, of the jobs that arrived after the warm-up.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunFigures {
    /// Jobs offered.
    pub offered: usize,
    /// Service time of the jobs answered in time, as a fraction of all slots' time.
    pub goodput: f64,
    /// Fraction of the offered jobs answered in time.
    pub answered: f64,
    /// Fraction refused.
    pub refused: f64,
    /// Fraction of those not refused at once whose deadline passed in the queue, or that were
    /// refused after more than 100 ms there.
    pub missed_waiting: f64,
    /// Fraction of the offered whose deadline passed while they ran.
    pub missed_running: f64,
    /// Median wait in milliseconds of those that ran, from arrival to start.
    pub wait_p50_ms: f64,
    /// 99th percentile of the same.
    pub wait_p99_ms: f64,
    /// Mean bounded slowdown.
    pub slowdown: f64,
    /// Busiest upstream over mean, averaged over windows of 10 s.
    pub imbalance: f64,
    /// Messages between hosts for each job.
    pub messages_per_job: f64,
    /// Bytes of them a second and host.
    pub bytes_per_host_second: f64,
    /// Sends to upstreams for each job sent at all.
    pub sends_per_job: f64,
}

/// Response time over service time, where short jobs count as 10 ms long; at least 1.
pub fn slowdown_of(wait: Duration, service: Duration) -> f64 {
    let bounded = service.max(SLOWDOWN_BOUND).as_secs_f64();
    ((wait + service).as_secs_f64() / bounded).max(1.0)
}

/// A quantile of times that need not be sorted; zero if there are none.
pub fn quantile(mut times: Vec<Duration>, part: f64) -> Duration {
    times.sort_unstable();
    let rank = (times.len() as f64 * part).ceil() as usize;
    let index = rank.clamp(1, times.len().max(1)) - 1;
    times.get(index).copied().unwrap_or_default()
}

impl RunFigures {
    /// Figures of waits.
    pub fn new(_plan: &ClusterPlan, offered: usize, waits: Vec<Duration>) -> Self {
        Self {
            offered,
            wait_p50_ms: quantile(waits.clone(), 0.5).as_secs_f64() * 1e3,
            wait_p99_ms: quantile(waits, 0.99).as_secs_f64() * 1e3,
            ..Self::default()
        }
    }

    /// Adds the answers in time, and how long their jobs ran.
    pub fn with_answered(mut self, plan: &ClusterPlan, answered: usize, ran: Duration) -> Self {
        let seconds = (plan.length - plan.warm_up).as_secs_f64();
        self.answered = answered as f64 / self.offered.max(1) as f64;
        self.goodput = ran.as_secs_f64() / seconds / f64::from(plan.all_slots());
        self
    }

    /// Adds the count of refusals.
    pub fn with_refused(mut self, refused: usize) -> Self {
        self.refused = refused as f64 / self.offered.max(1) as f64;
        self
    }

    /// Adds the mean bounded slowdown.
    pub fn with_slowdown(mut self, slowdown: f64) -> Self {
        self.slowdown = slowdown;
        self
    }

    /// Adds the imbalance, from the times at which each upstream ran a job.
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

    /// Figures of a run of a cluster.
    pub fn of_run(plan: &ClusterPlan, run: &ClusterRun) -> Self {
        let from = run.begin + plan.warm_up;
        let counted: Vec<&JobOutcome> = run.jobs.iter().filter(|job| job.arrived >= from).collect();
        let count =
            |result: CallerResult| counted.iter().filter(|job| job.result == result).count();
        let is_refused = |job: &&&JobOutcome| matches!(job.result, CallerResult::Refused(_));
        let started = || counted.iter().filter_map(|job| Some((job, job.started?)));
        let waits = started().map(|(job, at)| at - job.arrived).collect();
        let slowdowns = started().map(|(job, at)| slowdown_of(at - job.arrived, job.service));
        let mean_slowdown = slowdowns.sum::<f64>() / started().count().max(1) as f64;
        let runs: Vec<Vec<(Instant, Instant)>> = run
            .upstreams
            .iter()
            .map(|upstream| upstream.runs.clone())
            .collect();
        let answered = counted
            .iter()
            .filter(|job| job.result == CallerResult::Answered)
            .map(|job| job.service);
        let refused = counted.iter().filter(is_refused).count();
        let at_once = Duration::from_millis(100);
        let late = |job: &&&JobOutcome| is_refused(job) && job.ended - job.arrived > at_once;
        let late = counted.iter().filter(late).count();
        let missed = count(CallerResult::MissedWaiting) + late;
        let admitted = counted.len() - (refused - late);
        let mut figures = Self::new(plan, counted.len(), waits)
            .with_answered(plan, answered.clone().count(), answered.sum())
            .with_refused(refused)
            .with_slowdown(mean_slowdown)
            .with_imbalance(plan, run.begin, &runs);
        figures.missed_waiting = missed as f64 / admitted.max(1) as f64;
        let missed_running = count(CallerResult::MissedRunning);
        figures.missed_running = missed_running as f64 / counted.len().max(1) as f64;
        figures.messages_per_job = run.messages as f64 / run.jobs.len().max(1) as f64;
        let host_seconds = plan.length.as_secs_f64() * f64::from(plan.hosts);
        figures.bytes_per_host_second = run.bytes as f64 / host_seconds;
        let sent = run.jobs.iter().filter(|job| job.sends > 0).count();
        figures.sends_per_job = run.sends as f64 / sent.max(1) as f64;
        figures
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
