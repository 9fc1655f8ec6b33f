//! What the load tool's callers received, held against what the upstreams counted.

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

use crate::answer_content::AnswerIdentity;
use crate::run_records::RunRecords;
use crate::upstream::RunReport;

/// Significant digits of latencies.
const LATENCY_DIGITS: u8 = 3;
/// Exit code when nothing is broken.
pub const EXIT_WHOLE: u8 = 0;
/// Exit code when a request that may not run twice did.
pub const EXIT_DOUBLE_RUN: u8 = 10;
/// Exit code when a caller was told 'not run' of a request that ran.
pub const EXIT_FALSE_NOT_RUN: u8 = 11;
/// Exit code when an answer, or a frame at an upstream, was for another.
pub const EXIT_FOREIGN: u8 = 12;
/// Exit code when an answer was cut short.
pub const EXIT_TRUNCATED: u8 = 13;
/// Exit code when a request got no outcome.
pub const EXIT_LOST: u8 = 14;
/// Exit code when an established flow became unknown.
pub const EXIT_BROKEN_FLOW: u8 = 15;

/// How a job of the load tool ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobResult {
    /// The whole right answer.
    Whole,
    /// A beginning of the right answer.
    Truncated,
    /// Another's answer.
    Foreign,
    /// Not run, proved, until the deadline.
    Refused(ResultCode),
    /// It ran, but its answer is gone.
    AnswerGone(ResultCode),
    /// Nobody can tell whether it ran.
    Unknown(ResultCode),
    /// No outcome at all.
    Lost,
}

/// One job of the load tool.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// Index of its service in the settings.
    pub service: usize,
    /// How it ended.
    pub result: JobResult,
    /// Time from the intended start to the end.
    pub latency: Duration,
    /// Attempts under further numbers after a refusal.
    pub retries: u32,
    /// The requests of which the caller was told that they did not run.
    pub told_not_run: Vec<AnswerIdentity>,
    /// The flow, if it was established and became unknown.
    pub broken_flow: Option<(SocketAddr, FlowId)>,
}

/// What the callers of one service received.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceTally {
    /// The service.
    pub name: SmolStr,
    /// Jobs begun.
    pub jobs: u64,
    /// Whole answers.
    pub whole: u64,
    /// Answers cut short.
    pub truncated: u64,
    /// Answers that belong to another request.
    pub foreign: u64,
    /// Jobs not run, as proved to the caller.
    pub refused: u64,
    /// Jobs that ran and whose answer is gone.
    pub answer_gone: u64,
    /// Jobs of which nobody can tell.
    pub unknown: u64,
    /// Jobs without an outcome.
    pub lost: u64,
    /// Attempts after refusals.
    pub retries: u64,
    /// Last refusals, by the number of their code.
    pub codes: BTreeMap<u16, u64>,
    /// Busiest upstream over the mean of the service's upstreams, by requests started.
    pub imbalance: f64,
    #[serde(skip)]
    latencies: Histogram<u64>,
}

/// Latencies of whole answers in milliseconds from the intended start.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LatencySummary {
    /// Half are faster.
    pub p50_ms: f64,
    /// Nine in ten are faster.
    pub p90_ms: f64,
    /// 99 in 100 are faster.
    pub p99_ms: f64,
    /// The slowest.
    pub max_ms: f64,
}

/// The judgement of a run.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// By service.
    pub services: Vec<ServiceTally>,
    /// Requests that may not run twice and did.
    pub double_runs: u64,
    /// Requests that ran though their caller was told they did not.
    pub false_not_run: u64,
    /// Requests that an upstream of another service started.
    pub foreign_runs: u64,
    /// Established flows that became unknown.
    pub broken_flows: u64,
    /// Flows whose requests ran on more than one upstream.
    pub moved_flows: u64,
    #[serde(skip)]
    told_not_run: BTreeSet<AnswerIdentity>,
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

    /// Latencies of whole answers.
    pub fn latency(&self) -> LatencySummary {
        let at = |quantile| self.latencies.value_at_quantile(quantile) as f64 / 1_000.0;
        LatencySummary {
            p50_ms: at(0.5),
            p90_ms: at(0.9),
            p99_ms: at(0.99),
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
    /// An empty report on services by name.
    pub fn new(services: impl IntoIterator<Item = SmolStr>) -> Self {
        Self {
            services: services.into_iter().map(ServiceTally::new).collect(),
            double_runs: 0,
            false_not_run: 0,
            foreign_runs: 0,
            broken_flows: 0,
            moved_flows: 0,
            told_not_run: BTreeSet::new(),
            broken: BTreeSet::new(),
        }
    }

    /// Adds a job that has ended.
    pub fn add(&mut self, job: &JobRecord) {
        if let Some(tally) = self.services.get_mut(job.service) {
            tally.add(job);
        }
        self.told_not_run.extend(job.told_not_run.iter().copied());
        self.broken.extend(job.broken_flow);
        self.broken_flows = self.broken.len() as u64;
    }

    /// Holds what callers were told against what the upstreams ran; `services` are the addresses in
    /// the order of the tallies, each report is one upstream's.
    pub fn judge(&mut self, services: &[ServiceAddress], upstreams: &[RunReport]) {
        let mut records = RunRecords::default();
        for report in upstreams {
            records.merge(report.totals, report.requests.iter().copied());
        }
        self.double_runs = records.double_runs().count() as u64;
        self.foreign_runs = records.foreign_runs().count() as u64;
        let told = self.told_not_run.iter();
        self.false_not_run = told.filter(|told| records.runs_of(told) > 0).count() as u64;
        self.moved_flows = count_moved_flows(upstreams);
        for (tally, address) in self.services.iter_mut().zip(services) {
            tally.imbalance = imbalance_of(*address, upstreams);
        }
    }

    /// Jobs that have ended.
    pub fn jobs(&self) -> u64 {
        self.services.iter().map(|tally| tally.jobs).sum()
    }

    /// The sum of a figure over the services.
    pub fn total(&self, figure: impl Fn(&ServiceTally) -> u64) -> u64 {
        self.services.iter().map(figure).sum()
    }

    /// The exit code of the worst that was broken.
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
        worst.map_or(EXIT_WHOLE, |(_count, code)| *code)
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
    let mut holders: BTreeMap<(ServiceAddress, SocketAddr, FlowId), BTreeSet<usize>> =
        BTreeMap::new();
    for (index, report) in upstreams.iter().enumerate() {
        for entry in &report.requests {
            let request = entry.request;
            let flow = (request.service, request.caller, request.flow);
            holders.entry(flow).or_default().insert(index);
        }
    }
    let moved = holders.values().filter(|holders| holders.len() > 1);
    moved.count() as u64
}

/// Upstreams count for a service when they started at least one request for it.
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
