//! The jobs that a host's policy has not ended, with their timers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use crate::ids::HostId;
use crate::ids::UpstreamId;
use crate::load_message::AskId;
use crate::load_policy::LoadJob;
use crate::request_table::RequestKey;

/// How far a job has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobStage {
    /// A keeper was asked for a slot.
    Waiting {
        /// The keeper.
        keeper: HostId,
        /// How often it was asked without a word in return.
        unanswered: u32,
    },
    /// It was sent.
    Running {
        /// Where to.
        upstream: UpstreamId,
        /// The keeper that granted the slot; none if it was sent without a grant.
        keeper: Option<HostId>,
    },
}

/// One job.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// The job.
    pub job: LoadJob,
    /// Number of its present ask.
    pub ask: AskId,
    /// When it arrived.
    pub since: Instant,
    /// How far it has come.
    pub stage: JobStage,
    /// Whether an attempt was lost, so that it may have run.
    pub may_have_run: bool,
    /// When to ask again or to renew the grant. Invariant: the same in the table's timers.
    pub timer: Instant,
}

/// The jobs by request, by ask and by timer.
#[derive(Debug, Default)]
pub struct JobTable {
    jobs: BTreeMap<RequestKey, JobRecord>,
    asks: BTreeMap<AskId, RequestKey>,
    timers: BTreeSet<(Instant, RequestKey)>,
}

impl JobTable {
    /// Adds a job.
    pub fn insert(&mut self, record: JobRecord) {
        let key = record.job.key;
        self.asks.insert(record.ask, key);
        self.timers.insert((record.timer, key));
        self.jobs.insert(key, record);
    }

    /// Removes a job.
    pub fn remove(&mut self, key: RequestKey) -> Option<JobRecord> {
        let record = self.jobs.remove(&key)?;
        self.asks.remove(&record.ask);
        self.timers.remove(&(record.timer, key));
        Some(record)
    }

    /// A job.
    pub fn get(&self, key: RequestKey) -> Option<&JobRecord> {
        self.jobs.get(&key)
    }

    /// The job that an ask is for.
    pub fn by_ask(&self, ask: AskId) -> Option<&JobRecord> {
        self.jobs.get(self.asks.get(&ask)?)
    }

    /// Moves a job on: its stage, and when its timer is due.
    pub fn advance(&mut self, key: RequestKey, stage: JobStage, timer: Instant) {
        if let Some(record) = self.jobs.get_mut(&key) {
            self.timers.remove(&(record.timer, key));
            self.timers.insert((timer, key));
            record.timer = timer;
            record.stage = stage;
        }
    }

    /// The job whose timer was due first, if it is due.
    pub fn due(&self, now: Instant) -> Option<&JobRecord> {
        let (timer, key) = self.timers.first()?;
        if *timer > now {
            return None;
        }
        self.jobs.get(key)
    }

    /// The requests of all jobs, in ascending order.
    pub fn keys(&self) -> Vec<RequestKey> {
        self.jobs.keys().copied().collect()
    }

    /// How many jobs have not ended.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether every job has ended.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
}
