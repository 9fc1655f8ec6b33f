//! Records the requests that upstream stand-ins started, so that tests find double runs, foreign
//! frames, and requests that ran although they were reported as not run.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::answer_content::RequestIdentity;

/// The runs of one request on one upstream or on all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCount {
    /// How often the request was started.
    pub runs: u32,
    /// Whether the request is idempotent.
    pub idempotent: bool,
    /// Whether an upstream started the request although it was addressed to another service,
    /// upstream or incarnation.
    pub foreign: bool,
}

/// A request with its runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEntry {
    /// The request; its service is the one that it was addressed to.
    pub request: RequestIdentity,
    /// The runs of the request.
    pub count: RunCount,
}

/// Totals of one upstream or of all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTotals {
    /// Requests started, each run counted.
    pub started: u64,
    /// Answers sent.
    pub answered: u64,
    /// Requests not started because no slot was free and the queue was full.
    pub shed: u64,
    /// Requests not started because the upstream was draining.
    pub draining: u64,
    /// Requests not started because their deadline had passed.
    pub deadline_passed: u64,
    /// Requests cancelled before they started.
    pub cancelled_waiting: u64,
    /// Requests cancelled while they ran.
    pub cancelled_running: u64,
    /// Frames of any kind addressed to a service, upstream or incarnation that is not the
    /// receiver's.
    pub foreign_frames: u64,
    /// Flows opened.
    pub opened: u64,
    /// Flows refused because the maximum number was open.
    pub opens_refused: u64,
    /// Maximum number of concurrent requests on one upstream.
    pub most_busy: u32,
}

/// The runs of one upstream or of all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunRecords {
    /// Totals over all requests and flows.
    pub totals: RunTotals,
    requests: BTreeMap<RequestIdentity, RunCount>,
}

impl RunRecords {
    /// Records that a request was started.
    pub fn start(&mut self, request: RequestIdentity, idempotent: bool, foreign: bool) {
        self.totals.started += 1;
        let count = self.requests.entry(request).or_default();
        count.runs += 1;
        count.idempotent = idempotent;
        count.foreign |= foreign;
    }

    /// Adds the records of another upstream.
    pub fn merge(&mut self, totals: RunTotals, entries: impl IntoIterator<Item = RunEntry>) {
        self.totals.add(totals);
        for RunEntry { request, count } in entries {
            let sum = self.requests.entry(request).or_default();
            sum.runs += count.runs;
            sum.idempotent = count.idempotent;
            sum.foreign |= count.foreign;
        }
    }

    /// Returns the runs of each request, in ascending order of the requests.
    pub fn entries(&self) -> impl Iterator<Item = RunEntry> + '_ {
        self.requests.iter().map(|(request, count)| RunEntry {
            request: *request,
            count: *count,
        })
    }

    /// Returns how often a request was started.
    pub fn run_count(&self, request: &RequestIdentity) -> u32 {
        self.requests.get(request).map_or(0, |count| count.runs)
    }

    /// Returns the requests that are not idempotent and were started more than once.
    pub fn double_runs(&self) -> impl Iterator<Item = RunEntry> + '_ {
        self.entries()
            .filter(|entry| entry.count.runs > 1 && !entry.count.idempotent)
    }

    /// Returns the requests that were started by an upstream other than the one addressed.
    pub fn foreign_runs(&self) -> impl Iterator<Item = RunEntry> + '_ {
        self.entries().filter(|entry| entry.count.foreign)
    }
}

impl RunTotals {
    fn add(&mut self, other: Self) {
        self.started += other.started;
        self.answered += other.answered;
        self.shed += other.shed;
        self.draining += other.draining;
        self.deadline_passed += other.deadline_passed;
        self.cancelled_waiting += other.cancelled_waiting;
        self.cancelled_running += other.cancelled_running;
        self.foreign_frames += other.foreign_frames;
        self.opened += other.opened;
        self.opens_refused += other.opens_refused;
        self.most_busy = self.most_busy.max(other.most_busy);
    }
}
