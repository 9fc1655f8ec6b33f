//! What upstream stand-ins ran, so that double runs, foreign frames and false refusals are seen.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::answer_content::AnswerIdentity;

/// The runs of one request on one or all upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCount {
    /// How often it was started.
    pub runs: u32,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Whether an upstream started it that does not serve the service it was meant for.
    pub foreign: bool,
}

/// A request and its runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEntry {
    /// The request; its service is the one it was meant for.
    pub request: AnswerIdentity,
    /// Its runs.
    pub count: RunCount,
}

/// Totals of one or all upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTotals {
    /// Requests started, each run counted.
    pub started: u64,
    /// Answers sent.
    pub answered: u64,
    /// Requests not started for want of a slot.
    pub shed: u64,
    /// Requests not started because of a drain.
    pub draining: u64,
    /// Requests not started because their deadline had passed.
    pub deadline_passed: u64,
    /// Requests cancelled before they started.
    pub cancelled_waiting: u64,
    /// Requests cancelled while they ran.
    pub cancelled_running: u64,
    /// Frames of any kind for a service or incarnation that the upstream does not serve.
    pub foreign_frames: u64,
    /// Flows opened.
    pub opened: u64,
    /// Flows refused for want of a connection.
    pub opens_refused: u64,
    /// Most requests run at once.
    pub most_busy: u32,
}

/// The runs of one or all upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunRecords {
    /// Totals.
    pub totals: RunTotals,
    requests: BTreeMap<AnswerIdentity, RunCount>,
}

impl RunRecords {
    /// Records that a request was started.
    pub fn start(&mut self, request: AnswerIdentity, idempotent: bool, foreign: bool) {
        self.totals.started += 1;
        let count = self.requests.entry(request).or_default();
        count.runs += 1;
        count.idempotent = idempotent;
        count.foreign |= foreign;
    }

    /// Adds what another upstream ran.
    pub fn merge(&mut self, totals: RunTotals, entries: impl IntoIterator<Item = RunEntry>) {
        self.totals.add(totals);
        for RunEntry { request, count } in entries {
            let sum = self.requests.entry(request).or_default();
            sum.runs += count.runs;
            sum.idempotent = count.idempotent;
            sum.foreign |= count.foreign;
        }
    }

    /// The runs of each request, in ascending order.
    pub fn entries(&self) -> impl Iterator<Item = RunEntry> + '_ {
        self.requests.iter().map(|(request, count)| RunEntry {
            request: *request,
            count: *count,
        })
    }

    /// How often a request was started.
    pub fn runs_of(&self, request: &AnswerIdentity) -> u32 {
        self.requests.get(request).map_or(0, |count| count.runs)
    }

    /// The requests that may not run twice and did.
    pub fn double_runs(&self) -> impl Iterator<Item = RunEntry> + '_ {
        self.entries()
            .filter(|entry| entry.count.runs > 1 && !entry.count.idempotent)
    }

    /// The requests that an upstream of another service started.
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
