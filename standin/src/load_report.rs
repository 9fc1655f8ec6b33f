//! Reports the outcomes of a load run, and checks them against what the upstreams ran.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use lagoonproxy::ids::FlowId;
use lagoonproxy::ids::ServiceAddress;
use lagoonproxy::result_code::ResultCode;
use serde::Serialize;
use smol_str::SmolStr;

use crate::answer_content::RequestIdentity;
use crate::run_records::RunRecords;
use crate::upstream::RunReport;

/// Significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;
/// Exit code of a run without faults.
pub const EXIT_SUCCESS: u8 = 0;
/// Exit code when a request that is not idempotent ran more than once.
pub const EXIT_DOUBLE_RUN: u8 = 10;
/// Exit code when a request ran although its caller received 'not run'.
pub const EXIT_FALSE_NOT_RUN: u8 = 11;
/// Exit code when an answer belonged to another request, or an upstream started a request that was
/// addressed to another service, upstream or incarnation.
pub const EXIT_FOREIGN: u8 = 12;
/// Exit code when an answer was truncated.
pub const EXIT_TRUNCATED: u8 = 13;
/// Exit code when a request had no outcome.
pub const EXIT_LOST: u8 = 14;
/// Exit code when an established flow became unknown.
pub const EXIT_BROKEN_FLOW: u8 = 15;

/// The result of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobResult {
    /// The answer was complete and correct.
    Whole,
    /// The answer was a prefix of the correct one.
    Truncated,
    /// The answer belonged to another request.
    Foreign,
    /// The last refusal before the deadline stated that the request was not run.
    Refused(ResultCode),
    /// The request ran, but its answer is lost.
    AnswerGone(ResultCode),
    /// It is unknown whether the request ran.
    Unknown(ResultCode),
    /// The caller received neither an answer nor a refusal.
    Lost,
}

/// A job that has ended.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// Index of the job's service in the settings.
    pub service: usize,
    /// The job's result.
    pub result: JobResult,
    /// Time from the intended start to the end of the job.
    pub latency: Duration,
    /// Attempts under new request numbers after a refusal.
    pub retries: u32,
    /// The requests that were reported to the caller as not run.
    pub reported_not_run: Vec<RequestIdentity>,
    /// The job's flow, if it was established and became unknown.
    pub broken_flow: Option<(SocketAddr, FlowId)>,
}

/// Totals of the jobs of one service.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceTally {
    /// Name of the service.
    pub name: SmolStr,
    /// Jobs that have ended.
    pub jobs: u64,
    /// Complete and correct answers.
    pub whole: u64,
    /// Truncated answers.
    pub truncated: u64,
    /// Answers that belong to another request.
    pub foreign: u64,
    /// Jobs that were reported to the caller as not run.
    pub refused: u64,
    /// Jobs that ran and whose answer is lost.
    pub answer_gone: u64,
    /// Jobs of which it is unknown whether they ran.
    pub unknown: u64,
    /// Jobs without an outcome.
    pub lost: u64,
    /// Attempts after refusals.
    pub retries: u64,
    /// Number of jobs by the result code of their last refusal.
    pub codes: BTreeMap<u16, u64>,
    /// Requests started by the busiest upstream, divided by the mean over the upstreams that
    /// started any.
    pub imbalance: f64,
    /// Latencies of complete answers in microseconds.
    #[serde(skip)]
    latencies: Histogram<u64>,
}

/// Latencies of complete answers in milliseconds from the intended start.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LatencySummary {
    /// Median.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

/// The results of a load run and the faults found in it.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Totals by service, in the order of the settings.
    pub services: Vec<ServiceTally>,
    /// Requests that are not idempotent and ran more than once.
    pub double_runs: u64,
    /// Requests that ran although they were reported to the caller as not run.
    pub false_not_run: u64,
    /// Requests that an upstream started although they were addressed to another service, upstream
    /// or incarnation.
    pub foreign_runs: u64,
    /// Established flows that became unknown.
    pub broken_flows: u64,
    /// Flows whose requests were started by more than one upstream.
    pub moved_flows: u64,
    #[serde(skip)]
    reported_not_run: BTreeSet<RequestIdentity>,
    #[serde(skip)]
    broken: BTreeSet<(SocketAddr, FlowId)>,
}

impl ServiceTally {
    fn new(name: SmolStr) -> Self {
        let latencies = Histogram::new(LATENCY_DIGITS);
        Self {
            name,
            jobs: 0,
            whole: 0,
            truncated: 0,
            foreign: 0,
            refused: 0,
            answer_gone: 0,
            unknown: 0,
            lost: 0,
            retries: 0,
            codes: BTreeMap::new(),
            imbalance: 0.0,
            latencies: latencies.unwrap_or_else(|_error| unreachable!("three digits are allowed")),
        }
    }

    /// Returns percentiles of the latencies of complete answers.
    pub fn latency(&self) -> LatencySummary {
        let quantile_ms = |quantile| self.latencies.value_at_quantile(quantile) as f64 / 1_000.0;
        LatencySummary {
            p50_ms: quantile_ms(0.5),
            p90_ms: quantile_ms(0.9),
            p99_ms: quantile_ms(0.99),
            max_ms: self.latencies.max() as f64 / 1_000.0,
        }
    }

    fn add(&mut self, job: &JobRecord) {
        self.jobs += 1;
        self.retries += u64::from(job.retries);
        let (counter, code) = match job.result {
            JobResult::Whole => (&mut self.whole, None),
            JobResult::Truncated => (&mut self.truncated, None),
            JobResult::Foreign => (&mut self.foreign, None),
            JobResult::Refused(code) => (&mut self.refused, Some(code)),
            JobResult::AnswerGone(code) => (&mut self.answer_gone, Some(code)),
            JobResult::Unknown(code) => (&mut self.unknown, Some(code)),
            JobResult::Lost => (&mut self.lost, None),
        };
        *counter += 1;
        if let Some(code) = code {
            *self.codes.entry(code.number()).or_default() += 1;
        }
        if job.result == JobResult::Whole {
            let micros = u64::try_from(job.latency.as_micros()).unwrap_or(u64::MAX);
            let _auto_resized = self.latencies.record(micros);
        }
    }
}

impl LoadReport {
    /// Returns an empty report on the named services.
    pub fn new(services: impl IntoIterator<Item = SmolStr>) -> Self {
        Self {
            services: services.into_iter().map(ServiceTally::new).collect(),
            double_runs: 0,
            false_not_run: 0,
            foreign_runs: 0,
            broken_flows: 0,
            moved_flows: 0,
            reported_not_run: BTreeSet::new(),
            broken: BTreeSet::new(),
        }
    }

    /// Adds a job to the totals.
    pub fn add(&mut self, job: &JobRecord) {
        if let Some(tally) = self.services.get_mut(job.service) {
            tally.add(job);
        }
        self.reported_not_run
            .extend(job.reported_not_run.iter().copied());
        self.broken.extend(job.broken_flow);
        self.broken_flows = self.broken.len() as u64;
    }

    /// Checks what callers received against what the upstreams ran.
    ///
    /// `services` are the services' addresses in the order of [`Self::services`]; `upstreams` has
    /// one report per upstream.
    pub fn verify(&mut self, services: &[ServiceAddress], upstreams: &[RunReport]) {
        let mut records = RunRecords::default();
        for report in upstreams {
            records.merge(report.totals, report.requests.iter().copied());
        }
        self.double_runs = records.double_runs().count() as u64;
        self.foreign_runs = records.foreign_runs().count() as u64;
        let reported = self.reported_not_run.iter();
        self.false_not_run = reported
            .filter(|reported| records.run_count(reported) > 0)
            .count() as u64;
        self.moved_flows = count_moved_flows(upstreams);
        for (tally, address) in self.services.iter_mut().zip(services) {
            tally.imbalance = imbalance_of(*address, upstreams);
        }
    }

    /// Returns the number of jobs that have ended.
    pub fn jobs(&self) -> u64 {
        self.services.iter().map(|tally| tally.jobs).sum()
    }

    /// Returns the sum of a counter over the services.
    pub fn total(&self, counter: impl Fn(&ServiceTally) -> u64) -> u64 {
        self.services.iter().map(counter).sum()
    }

    /// Returns the exit code of the most severe fault, [`EXIT_SUCCESS`] if there is none.
    pub fn exit_code(&self) -> u8 {
        let faults = [
            (self.double_runs, EXIT_DOUBLE_RUN),
            (self.false_not_run, EXIT_FALSE_NOT_RUN),
            (
                self.foreign_runs + self.total(|tally| tally.foreign),
                EXIT_FOREIGN,
            ),
            (self.total(|tally| tally.truncated), EXIT_TRUNCATED),
            (self.total(|tally| tally.lost), EXIT_LOST),
            (self.broken_flows, EXIT_BROKEN_FLOW),
        ];
        let worst = faults.iter().find(|(count, _code)| *count > 0);
        worst.map_or(EXIT_SUCCESS, |(_count, code)| *code)
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            out,
            "{:<10} {:>7} {:>7} {:>7} {:>5} {:>5} {:>7} {:>5} {:>7} {:>8} {:>8} {:>8} {:>9}",
            "service",
            "jobs",
            "whole",
            "foreign",
            "trunc",
            "lost",
            "refused",
            "gone",
            "unknown",
            "retries",
            "p50 ms",
            "p99 ms",
            "imbalance"
        )?;
        for tally in &self.services {
            let latency = tally.latency();
            writeln!(
                out,
                "{:<10} {:>7} {:>7} {:>7} {:>5} {:>5} {:>7} {:>5} {:>7} {:>8} {:>8.1} {:>8.1} {:>9.2}",
                tally.name,
                tally.jobs,
                tally.whole,
                tally.foreign,
                tally.truncated,
                tally.lost,
                tally.refused,
                tally.answer_gone,
                tally.unknown,
                tally.retries,
                latency.p50_ms,
                latency.p99_ms,
                tally.imbalance
            )?;
        }
        for tally in &self.services {
            for (code, count) in &tally.codes {
                writeln!(out, "{}: last refusal {code}: {count}", tally.name)?;
            }
        }
        writeln!(
            out,
            "double runs {}, false 'not run' {}, foreign runs {}, broken flows {}, moved flows {}",
            self.double_runs,
            self.false_not_run,
            self.foreign_runs,
            self.broken_flows,
            self.moved_flows
        )
    }
}

fn count_moved_flows(upstreams: &[RunReport]) -> u64 {
    let mut upstreams_by_flow: BTreeMap<(ServiceAddress, SocketAddr, FlowId), BTreeSet<usize>> =
        BTreeMap::new();
    for (index, report) in upstreams.iter().enumerate() {
        for entry in &report.requests {
            let request = entry.request;
            let flow = (request.service, request.caller, request.flow);
            upstreams_by_flow.entry(flow).or_default().insert(index);
        }
    }
    let moved = upstreams_by_flow
        .values()
        .filter(|upstreams_by_flow| upstreams_by_flow.len() > 1);
    moved.count() as u64
}

/// Returns the number of requests started by the busiest upstream over the mean, zero if none was
/// started. Upstreams that started no request for the service don't count.
fn imbalance_of(service: ServiceAddress, upstreams: &[RunReport]) -> f64 {
    let runs_on = |report: &RunReport| -> u64 {
        let entries = report.requests.iter();
        let own = entries.filter(|entry| entry.request.service == service);
        own.map(|entry| u64::from(entry.count.runs)).sum()
    };
    let runs: Vec<u64> = upstreams
        .iter()
        .map(runs_on)
        .filter(|runs| *runs > 0)
        .collect();
    let total: u64 = runs.iter().sum();
    if total == 0 {
        return 0.0;
    }
    let mean = total as f64 / runs.len() as f64;
    let busiest = runs.into_iter().max().unwrap_or(0);
    busiest as f64 / mean
}
