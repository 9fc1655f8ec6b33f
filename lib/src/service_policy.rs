//! The policy that daemons use: each job asks the keeper of a slot for it, and runs under a grant.
//!
//! Load pattern: everything at once. This module only passes asks, grants and ends between jobs
//! and keepers, of this host and others; the decisions stand in [`crate::slot_pool`] and the
//! modules it composes, messages in [`crate::service_messages`], the failures of keepers in
//! [`crate::service_tick`].

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::StdRng;
use xxhash_rust::xxh3::xxh3_64;

use crate::config_snapshot::ConfigSnapshot;
use crate::config_snapshot::HostView;
use crate::config_snapshot::UpstreamState;
use crate::home_map::HomeMap;
use crate::host_event::UpstreamReport;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::job_table::JobRecord;
use crate::job_table::JobStage;
use crate::job_table::JobTable;
use crate::load_message::AskId;
use crate::load_message::CallerTag;
use crate::load_message::FormerEnd;
use crate::load_message::GrantEnd;
use crate::load_message::LoadBody;
use crate::load_message::LoadMessage;
use crate::load_message::SlotAsk;
use crate::load_policy::JobEnd;
use crate::load_policy::LoadDecision;
use crate::load_policy::LoadJob;
use crate::load_policy::LoadPolicy;
use crate::load_settings::LoadSettings;
use crate::request_table::RequestKey;
use crate::result_code::ResultCode;
use crate::retry_budget::RetryBudget;
use crate::retry_hint::RetryHint;
use crate::slot_pool::PoolReply;
use crate::slot_pool::SlotPool;
use crate::spill_desk::FIRST_SPILL;
use crate::spill_desk::SlotLender;

/// The policy of one host.
pub struct ServicePolicy {
    pub(crate) host: HostId,
    pub(crate) settings: Arc<LoadSettings>,
    pub(crate) config: Arc<ConfigSnapshot>,
    pub(crate) hosts: Arc<HostView>,
    pub(crate) homes: BTreeMap<ServiceId, HomeMap>,
    pub(crate) pools: BTreeMap<ServiceId, SlotPool>,
    pub(crate) jobs: JobTable,
    /// Jobs sent without a grant, by upstream.
    pub(crate) direct: BTreeMap<UpstreamId, u32>,
    pub(crate) random: StdRng,
    /// Whether keepers have changed since the jobs were last looked through.
    pub(crate) rehome_due: bool,
    budgets: BTreeMap<ServiceId, RetryBudget>,
    pub(crate) hint: RetryHint,
    next_ask: AskId,
    /// The last end that each other host was told; at most one a host of the cell.
    former: BTreeMap<HostId, FormerEnd>,
    /// What the pools of this host have said and nobody was told yet.
    pub(crate) replies: VecDeque<(ServiceId, PoolReply)>,
}

impl ServicePolicy {
    /// A policy without configuration; the same seed gives the same decisions.
    pub fn new(host: HostId, seed: u64, settings: LoadSettings) -> Self {
        let hint = RetryHint::new(seed, settings.shortest_retry, settings.longest_retry);
        Self {
            host,
            settings: Arc::new(settings),
            config: Arc::default(),
            hosts: Arc::default(),
            homes: BTreeMap::new(),
            pools: BTreeMap::new(),
            jobs: JobTable::default(),
            direct: BTreeMap::new(),
            random: StdRng::seed_from_u64(seed),
            rehome_due: false,
            budgets: BTreeMap::new(),
            hint,
            // A host that has restarted must not reuse the numbers of grants that still live.
            next_ask: (seed as AskId) % FIRST_SPILL,
            former: BTreeMap::new(),
            replies: VecDeque::new(),
        }
    }

    /// How many jobs have not ended.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// How many asks wait at this host's pools.
    pub fn queued_count(&self) -> usize {
        self.pools.values().map(SlotPool::queued).sum()
    }

    /// How many grants of this host's pools are in use.
    pub fn grant_count(&self) -> usize {
        self.pools.values().map(SlotPool::granted).sum()
    }

    /// Whether an upstream takes new work as far as this host knows.
    pub(crate) fn is_active(&self, id: UpstreamId) -> bool {
        let upstream = self.config.upstreams.get(&id);
        upstream.is_some_and(|entry| entry.state == UpstreamState::Active)
    }

    /// Whether a job may be sent to an upstream: that of its flow in any state, an active one
    /// otherwise.
    pub(crate) fn may_send(&self, job: &LoadJob, upstream: UpstreamId) -> bool {
        match job.pinned {
            Some(pinned) => pinned == upstream,
            None => self.is_active(upstream),
        }
    }

    /// Whether a job's flow lives on an upstream that no longer carries the service.
    ///
    /// Nobody gives away such an upstream's slots, because the keepers follow from the selector.
    /// Without this case a change of selectors would refuse the requests of established flows.
    fn is_pinned_outside(&self, job: &LoadJob) -> bool {
        let Some(pinned) = job.pinned else {
            return false;
        };
        let service = self.config.services.get(&job.service);
        service.is_none_or(|service| service.upstreams.binary_search(&pinned).is_err())
    }

    /// The host that gives away slots for a job.
    pub(crate) fn keeper_for(&self, job: &LoadJob) -> Option<HostId> {
        let homes = self.homes.get(&job.service)?;
        let Some(pinned) = job.pinned else {
            return homes.own_keeper();
        };
        homes.keeper_of(pinned, self.config.upstreams.get(&pinned)?)
    }

    /// Begins an ask for a job, or refuses it if nobody could answer.
    pub(crate) fn ask_for(
        &mut self,
        now: Instant,
        mut record: JobRecord,
        decisions: &mut Vec<LoadDecision>,
    ) {
        if self.is_pinned_outside(&record.job) {
            return self.send_without_grant(now, record, decisions);
        }
        let Some(keeper) = self.keeper_for(&record.job) else {
            if record.job.pinned.is_some() {
                return self.send_without_grant(now, record, decisions);
            }
            let hint = self.hint.after(Duration::ZERO);
            return refuse(&record, ResultCode::NoUpstream, hint, decisions);
        };
        record.ask = self.next_ask;
        self.next_ask = (self.next_ask + 1) % FIRST_SPILL;
        record.stage = JobStage::Waiting {
            keeper,
            unanswered: 0,
        };
        record.timer = now + self.settings.ask_timeout;
        let message = ask_message(now, &record);
        self.jobs.insert(record);
        self.send(now, keeper, message, decisions);
    }

    /// Passes a message to another host, or to this host's own pools.
    pub(crate) fn send(
        &mut self,
        now: Instant,
        host: HostId,
        message: LoadMessage,
        decisions: &mut Vec<LoadDecision>,
    ) {
        if host == self.host {
            self.hear(now, host, &message);
        } else {
            self.tell(host, message, decisions);
        }
    }

    /// Tells another host something, and repeats the last end that it was told.
    pub(crate) fn tell(
        &mut self,
        host: HostId,
        mut message: LoadMessage,
        decisions: &mut Vec<LoadDecision>,
    ) {
        message.former = self.former.get(&host).copied();
        if let LoadBody::Release(end) = message.body {
            let former = FormerEnd {
                service: message.service,
                ask: message.ask,
                end,
            };
            self.former.insert(host, former);
        }
        decisions.push(LoadDecision::Tell { host, message });
    }

    /// Tells the keeper, if there is one, what became of a job's slot or ask.
    fn release(
        &mut self,
        now: Instant,
        record: &JobRecord,
        end: GrantEnd,
        decisions: &mut Vec<LoadDecision>,
    ) {
        let keeper = match record.stage {
            JobStage::Waiting { keeper, .. } => Some(keeper),
            JobStage::Running { keeper, .. } => keeper,
        };
        if let JobStage::Running {
            upstream,
            keeper: None,
        } = record.stage
            && let Some(count) = self.direct.get_mut(&upstream)
        {
            *count = count.saturating_sub(1);
        }
        if let Some(keeper) = keeper {
            let message = LoadMessage {
                service: record.job.service,
                ask: record.ask,
                body: LoadBody::Release(end),
                former: None,
            };
            self.send(now, keeper, message, decisions);
        }
    }

    /// Asks anew for a job whose attempt failed, if the budget of retries allows.
    fn retry(
        &mut self,
        now: Instant,
        record: JobRecord,
        retry_after: Duration,
        decisions: &mut Vec<LoadDecision>,
    ) {
        if self.budget(record.job.service).spend() {
            self.ask_for(now, record, decisions);
        } else {
            let hint = self.hint.after(retry_after);
            refuse(&record, ResultCode::UpstreamShed, hint, decisions);
        }
    }

    fn budget(&mut self, service: ServiceId) -> &mut RetryBudget {
        let settings = &self.settings;
        self.budgets
            .entry(service)
            .or_insert_with(|| RetryBudget::new(settings.retry_ratio, settings.retry_burst))
    }
}

impl LoadPolicy for ServicePolicy {
    fn configure(&mut self, now: Instant, config: &Arc<ConfigSnapshot>) {
        let former = std::mem::replace(&mut self.config, Arc::clone(config));
        self.rehome(now, &former);
    }

    fn learn_hosts(&mut self, now: Instant, hosts: &Arc<HostView>) {
        self.hosts = Arc::clone(hosts);
        let config = Arc::clone(&self.config);
        self.homes.clear();
        self.rehome(now, &config);
    }

    fn learn_report(&mut self, now: Instant, report: UpstreamReport) {
        for pool in self.pools.values_mut() {
            pool.report(now, report.upstream, report.healthy);
        }
    }

    fn take_message(
        &mut self,
        now: Instant,
        sender: HostId,
        message: &LoadMessage,
        decisions: &mut Vec<LoadDecision>,
    ) {
        if let Some(former) = message.former {
            self.hear_former(now, sender, former);
        }
        let lender = SlotLender {
            keeper: sender,
            ask: message.ask,
        };
        match message.body {
            LoadBody::Ask(_) | LoadBody::Release(_) | LoadBody::Hold { .. } => {
                self.hear(now, sender, message);
            }
            LoadBody::Grant { upstream } if message.ask >= FIRST_SPILL => {
                let mut replies = Vec::new();
                if let Some(pool) = self.pools.get_mut(&message.service) {
                    pool.borrow(now, lender, upstream, &mut replies);
                }
                self.note_replies(message.service, replies);
            }
            LoadBody::Deny { retry_after, .. } if message.ask >= FIRST_SPILL => {
                if let Some(pool) = self.pools.get_mut(&message.service) {
                    pool.borrow_denied(now, message.ask, retry_after);
                }
            }
            LoadBody::Grant { .. } | LoadBody::Queued | LoadBody::Deny { .. } => {
                self.take_reply(now, sender, message, decisions);
            }
        }
        self.tell_replies(now, decisions);
    }

    fn submit(&mut self, now: Instant, job: LoadJob, decisions: &mut Vec<LoadDecision>) {
        self.budget(job.service).earn();
        let record = JobRecord {
            job,
            ask: 0,
            since: now,
            stage: JobStage::Waiting {
                keeper: self.host,
                unanswered: 0,
            },
            may_have_run: false,
            timer: now,
        };
        self.ask_for(now, record, decisions);
        self.tell_replies(now, decisions);
    }

    fn end(
        &mut self,
        now: Instant,
        key: RequestKey,
        end: JobEnd,
        decisions: &mut Vec<LoadDecision>,
    ) {
        let Some(mut record) = self.jobs.remove(key) else {
            return;
        };
        let is_waiting = matches!(record.stage, JobStage::Waiting { .. });
        let grant_end = if is_waiting {
            GrantEnd::Unused
        } else {
            grant_end(end)
        };
        self.release(now, &record, grant_end, decisions);
        match end {
            _ if is_waiting => {}
            JobEnd::Answered | JobEnd::Cancelled => {}
            JobEnd::NotStarted { retry_after } => self.retry(now, record, retry_after, decisions),
            JobEnd::Lost => {
                if record.job.idempotent && now < record.job.deadline {
                    record.may_have_run = true;
                    self.retry(now, record, Duration::ZERO, decisions);
                }
            }
        }
        self.tell_replies(now, decisions);
    }

    fn withdraw(&mut self, now: Instant, key: RequestKey, decisions: &mut Vec<LoadDecision>) {
        let Some(record) = self.jobs.remove(key) else {
            return;
        };
        self.release(now, &record, GrantEnd::Unused, decisions);
        self.tell_replies(now, decisions);
    }

    fn tick(&mut self, now: Instant, decisions: &mut Vec<LoadDecision>) {
        self.pass_time(now, decisions);
        self.tell_replies(now, decisions);
    }
}

fn grant_end(end: JobEnd) -> GrantEnd {
    match end {
        JobEnd::Answered => GrantEnd::Answered,
        JobEnd::NotStarted { retry_after } => GrantEnd::Shed { retry_after },
        JobEnd::Lost => GrantEnd::Lost,
        JobEnd::Cancelled => GrantEnd::Cancelled,
    }
}

/// Refuses a job. One that was lost on the way may have run, and its refusal says so.
pub(crate) fn refuse(
    record: &JobRecord,
    code: ResultCode,
    retry_after: Duration,
    decisions: &mut Vec<LoadDecision>,
) {
    let code = if record.may_have_run {
        ResultCode::OutcomeUnknown
    } else {
        code
    };
    decisions.push(LoadDecision::Refuse {
        key: record.job.key,
        code,
        retry_after,
    });
}

/// The message that asks for a job's slot.
pub(crate) fn ask_message(now: Instant, record: &JobRecord) -> LoadMessage {
    LoadMessage {
        service: record.job.service,
        ask: record.ask,
        body: LoadBody::Ask(SlotAsk {
            upstream: record.job.pinned,
            caller: caller_tag(record.job.caller),
            waited: now.saturating_duration_since(record.since),
            remaining: record.job.deadline.saturating_duration_since(now),
            spill: false,
        }),
        former: None,
    }
}

fn caller_tag(caller: IpAddr) -> CallerTag {
    let digest = match caller {
        IpAddr::V4(ip) => xxh3_64(&ip.octets()),
        IpAddr::V6(ip) => xxh3_64(&ip.octets()),
    };
    digest as CallerTag
}
