//! Load policy of the daemons: each request gets a slot from the slot allocator and runs under a
//! grant.
//!
//! This module passes slot requests, grants and outcomes between requests and the allocators of
//! this host and others. [`crate::slot_pool`] and the modules it composes make the decisions,
//! [`crate::service_messages`] handles messages, and [`crate::service_tick`] handles failures of
//! allocators.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::StdRng;
use xxhash_rust::xxh3::xxh3_64;

use crate::allocator_map::AllocatorMap;
use crate::config_snapshot::ConfigSnapshot;
use crate::config_snapshot::HostView;
use crate::config_snapshot::UpstreamState;
use crate::host_event::UpstreamReport;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::load_message::CallerTag;
use crate::load_message::GrantOutcome;
use crate::load_message::LoadBody;
use crate::load_message::LoadMessage;
use crate::load_message::PreviousRelease;
use crate::load_message::SlotRequest;
use crate::load_message::SlotRequestId;
use crate::load_policy::AttemptOutcome;
use crate::load_policy::LoadDecision;
use crate::load_policy::LoadPolicy;
use crate::load_policy::SubmittedRequest;
use crate::load_settings::LoadSettings;
use crate::policy_request_table::PolicyRequest;
use crate::policy_request_table::PolicyRequestStage;
use crate::policy_request_table::PolicyRequestTable;
use crate::request_table::RequestKey;
use crate::result_code::ResultCode;
use crate::retry_budget::RetryBudget;
use crate::retry_hint::RetryHint;
use crate::slot_pool::PoolReply;
use crate::slot_pool::SlotPool;
use crate::spill_requests::FIRST_SPILL_ID;
use crate::spill_requests::SpillKey;

/// Load policy of one host.
pub struct ServicePolicy {
    pub(crate) host: HostId,
    pub(crate) settings: Arc<LoadSettings>,
    pub(crate) config: Arc<ConfigSnapshot>,
    pub(crate) hosts: Arc<HostView>,
    pub(crate) allocator_maps: BTreeMap<ServiceId, AllocatorMap>,
    pub(crate) pools: BTreeMap<ServiceId, SlotPool>,
    pub(crate) requests: PolicyRequestTable,
    /// Number of requests sent without a grant, by upstream.
    pub(crate) ungranted: BTreeMap<UpstreamId, u32>,
    pub(crate) random: StdRng,
    /// Whether allocators have changed since requests were last reassigned to them.
    pub(crate) allocators_changed: bool,
    budgets: BTreeMap<ServiceId, RetryBudget>,
    pub(crate) retry_hint: RetryHint,
    next_slot_request: SlotRequestId,
    /// Last release sent to each other host; at most one per host of the ownership group.
    previous_releases: BTreeMap<HostId, PreviousRelease>,
    /// Replies of this host's pools that are not yet sent.
    pub(crate) replies: VecDeque<(ServiceId, PoolReply)>,
}

impl ServicePolicy {
    /// Creates a policy without configuration. The same seed gives the same decisions.
    pub fn new(host: HostId, seed: u64, settings: LoadSettings) -> Self {
        let retry_hint = RetryHint::new(seed, settings.shortest_retry, settings.longest_retry);
        Self {
            host,
            settings: Arc::new(settings),
            config: Arc::default(),
            hosts: Arc::default(),
            allocator_maps: BTreeMap::new(),
            pools: BTreeMap::new(),
            requests: PolicyRequestTable::default(),
            ungranted: BTreeMap::new(),
            random: StdRng::seed_from_u64(seed),
            allocators_changed: false,
            budgets: BTreeMap::new(),
            retry_hint,
            // A restarted host must not reuse the numbers of grants that have not expired.
            next_slot_request: (seed as SlotRequestId) % FIRST_SPILL_ID,
            previous_releases: BTreeMap::new(),
            replies: VecDeque::new(),
        }
    }

    /// Returns the number of requests that have not ended.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of slot requests queued at this host's pools.
    pub fn queued_count(&self) -> usize {
        self.pools.values().map(SlotPool::queued).sum()
    }

    /// Returns the number of grants of this host's pools in use.
    pub fn grant_count(&self) -> usize {
        self.pools.values().map(SlotPool::granted).sum()
    }

    /// Returns whether an upstream takes new work according to this host's configuration.
    pub(crate) fn is_active(&self, id: UpstreamId) -> bool {
        let upstream = self.config.upstreams.get(&id);
        upstream.is_some_and(|entry| entry.state == UpstreamState::Active)
    }

    /// Returns whether a request may be sent to an upstream: its flow's upstream in any state,
    /// otherwise any active upstream.
    pub(crate) fn may_send(&self, request: &SubmittedRequest, upstream: UpstreamId) -> bool {
        match request.pinned {
            Some(pinned) => pinned == upstream,
            None => self.is_active(upstream),
        }
    }

    /// Returns whether a request's flow is established at an upstream that no longer carries the
    /// service.
    ///
    /// Allocators follow from the selector, so nobody allocates the slots of such an upstream.
    /// Without this case, a change of selectors would refuse the requests of established flows.
    fn is_pinned_to_deselected(&self, request: &SubmittedRequest) -> bool {
        let Some(pinned) = request.pinned else {
            return false;
        };
        let service = self.config.services.get(&request.service);
        service.is_none_or(|service| service.upstreams.binary_search(&pinned).is_err())
    }

    /// Returns the host that allocates slots for a request.
    pub(crate) fn allocator_for(&self, request: &SubmittedRequest) -> Option<HostId> {
        let allocator_map = self.allocator_maps.get(&request.service)?;
        let Some(pinned) = request.pinned else {
            return allocator_map.own_allocator();
        };
        allocator_map.allocator_of(pinned, self.config.upstreams.get(&pinned)?)
    }

    /// Sends a slot request for a request, or refuses the request if there is no allocator.
    pub(crate) fn request_slot_for(
        &mut self,
        now: Instant,
        mut record: PolicyRequest,
        decisions: &mut Vec<LoadDecision>,
    ) {
        if self.is_pinned_to_deselected(&record.request) {
            return self.send_without_grant(now, record, decisions);
        }
        let Some(allocator) = self.allocator_for(&record.request) else {
            if record.request.pinned.is_some() {
                return self.send_without_grant(now, record, decisions);
            }
            let retry_hint = self.retry_hint.after(Duration::ZERO);
            return refuse(&record, ResultCode::NoUpstream, retry_hint, decisions);
        };
        record.slot_request = self.next_slot_request;
        self.next_slot_request = (self.next_slot_request + 1) % FIRST_SPILL_ID;
        record.stage = PolicyRequestStage::Waiting {
            allocator,
            unanswered: 0,
        };
        record.timer = now + self.settings.ask_timeout;
        let message = slot_request_message(now, &record);
        self.requests.insert(record);
        self.send(now, allocator, message, decisions);
    }

    /// Sends a message to another host or to this host's own pools.
    pub(crate) fn send(
        &mut self,
        now: Instant,
        host: HostId,
        message: LoadMessage,
        decisions: &mut Vec<LoadDecision>,
    ) {
        if host == self.host {
            self.handle_slot_message(now, host, &message);
        } else {
            self.send_to_peer(host, message, decisions);
        }
    }

    /// Sends a message to another host, and repeats the last release sent to that host.
    pub(crate) fn send_to_peer(
        &mut self,
        host: HostId,
        mut message: LoadMessage,
        decisions: &mut Vec<LoadDecision>,
    ) {
        message.previous_release = self.previous_releases.get(&host).copied();
        if let LoadBody::Release(outcome) = message.body {
            let previous = PreviousRelease {
                service: message.service,
                slot_request: message.slot_request,
                outcome,
            };
            self.previous_releases.insert(host, previous);
        }
        decisions.push(LoadDecision::Tell { host, message });
    }

    /// Reports the outcome of a slot request or grant to its allocator, if there is one.
    fn release(
        &mut self,
        now: Instant,
        record: &PolicyRequest,
        outcome: GrantOutcome,
        decisions: &mut Vec<LoadDecision>,
    ) {
        let allocator = match record.stage {
            PolicyRequestStage::Waiting { allocator, .. } => Some(allocator),
            PolicyRequestStage::Running { allocator, .. } => allocator,
        };
        if let PolicyRequestStage::Running {
            upstream,
            allocator: None,
        } = record.stage
            && let Some(count) = self.ungranted.get_mut(&upstream)
        {
            *count = count.saturating_sub(1);
        }
        if let Some(allocator) = allocator {
            let message = LoadMessage {
                service: record.request.service,
                slot_request: record.slot_request,
                body: LoadBody::Release(outcome),
                previous_release: None,
            };
            self.send(now, allocator, message, decisions);
        }
    }

    /// Requests a slot again after a failed attempt, if the retry budget allows it.
    fn retry(
        &mut self,
        now: Instant,
        record: PolicyRequest,
        retry_after: Duration,
        decisions: &mut Vec<LoadDecision>,
    ) {
        if self.budget(record.request.service).spend() {
            self.request_slot_for(now, record, decisions);
        } else {
            let retry_hint = self.retry_hint.after(retry_after);
            refuse(&record, ResultCode::UpstreamShed, retry_hint, decisions);
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
        let previous = std::mem::replace(&mut self.config, Arc::clone(config));
        self.update_allocators(now, &previous);
    }

    fn learn_hosts(&mut self, now: Instant, hosts: &Arc<HostView>) {
        self.hosts = Arc::clone(hosts);
        let config = Arc::clone(&self.config);
        self.allocator_maps.clear();
        self.update_allocators(now, &config);
    }

    fn handle_report(&mut self, now: Instant, report: UpstreamReport) {
        for pool in self.pools.values_mut() {
            pool.report_health(now, report.upstream, report.healthy);
        }
    }

    fn handle_message(
        &mut self,
        now: Instant,
        sender: HostId,
        message: &LoadMessage,
        decisions: &mut Vec<LoadDecision>,
    ) {
        if let Some(previous) = message.previous_release {
            self.handle_previous_release(now, sender, previous);
        }
        let spill_key = SpillKey {
            allocator: sender,
            slot_request: message.slot_request,
        };
        match message.body {
            LoadBody::Request(_) | LoadBody::Release(_) | LoadBody::Hold { .. } => {
                self.handle_slot_message(now, sender, message);
            }
            LoadBody::Grant { upstream } if message.slot_request >= FIRST_SPILL_ID => {
                let mut replies = Vec::new();
                if let Some(pool) = self.pools.get_mut(&message.service) {
                    pool.borrow(now, spill_key, upstream, &mut replies);
                }
                self.queue_replies(message.service, replies);
            }
            LoadBody::Deny { retry_after, .. } if message.slot_request >= FIRST_SPILL_ID => {
                if let Some(pool) = self.pools.get_mut(&message.service) {
                    pool.borrow_denied(now, message.slot_request, retry_after);
                }
            }
            LoadBody::Grant { .. } | LoadBody::Queued | LoadBody::Deny { .. } => {
                self.handle_reply(now, sender, message, decisions);
            }
        }
        self.send_replies(now, decisions);
    }

    fn submit(
        &mut self,
        now: Instant,
        request: SubmittedRequest,
        decisions: &mut Vec<LoadDecision>,
    ) {
        self.budget(request.service).earn();
        let record = PolicyRequest {
            request,
            slot_request: 0,
            since: now,
            stage: PolicyRequestStage::Waiting {
                allocator: self.host,
                unanswered: 0,
            },
            may_have_run: false,
            timer: now,
        };
        self.request_slot_for(now, record, decisions);
        self.send_replies(now, decisions);
    }

    fn end(
        &mut self,
        now: Instant,
        key: RequestKey,
        outcome: AttemptOutcome,
        decisions: &mut Vec<LoadDecision>,
    ) {
        let Some(mut record) = self.requests.remove(key) else {
            return;
        };
        let is_waiting = matches!(record.stage, PolicyRequestStage::Waiting { .. });
        let grant_outcome = if is_waiting {
            GrantOutcome::Unused
        } else {
            grant_outcome(outcome)
        };
        self.release(now, &record, grant_outcome, decisions);
        match outcome {
            _ if is_waiting => {}
            AttemptOutcome::Answered | AttemptOutcome::Cancelled => {}
            AttemptOutcome::NotStarted { retry_after } => {
                self.retry(now, record, retry_after, decisions);
            }
            AttemptOutcome::Lost => {
                if record.request.idempotent && now < record.request.deadline {
                    record.may_have_run = true;
                    self.retry(now, record, Duration::ZERO, decisions);
                }
            }
        }
        self.send_replies(now, decisions);
    }

    fn withdraw(&mut self, now: Instant, key: RequestKey, decisions: &mut Vec<LoadDecision>) {
        let Some(record) = self.requests.remove(key) else {
            return;
        };
        self.release(now, &record, GrantOutcome::Unused, decisions);
        self.send_replies(now, decisions);
    }

    fn tick(&mut self, now: Instant, decisions: &mut Vec<LoadDecision>) {
        self.handle_tick(now, decisions);
        self.send_replies(now, decisions);
    }
}

fn grant_outcome(outcome: AttemptOutcome) -> GrantOutcome {
    match outcome {
        AttemptOutcome::Answered => GrantOutcome::Answered,
        AttemptOutcome::NotStarted { retry_after } => GrantOutcome::Shed { retry_after },
        AttemptOutcome::Lost => GrantOutcome::Lost,
        AttemptOutcome::Cancelled => GrantOutcome::Cancelled,
    }
}

/// Refuses a request. If an attempt was lost, the request may have run, and the result code says
/// so.
pub(crate) fn refuse(
    record: &PolicyRequest,
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
        key: record.request.key,
        code,
        retry_after,
    });
}

/// Returns the message that requests a slot for a request.
pub(crate) fn slot_request_message(now: Instant, record: &PolicyRequest) -> LoadMessage {
    LoadMessage {
        service: record.request.service,
        slot_request: record.slot_request,
        body: LoadBody::Request(SlotRequest {
            upstream: record.request.pinned,
            caller: caller_tag(record.request.caller),
            waited: now.saturating_duration_since(record.since),
            remaining: record.request.deadline.saturating_duration_since(now),
            spill: false,
        }),
        previous_release: None,
    }
}

fn caller_tag(caller: IpAddr) -> CallerTag {
    let digest = match caller {
        IpAddr::V4(ip) => xxh3_64(&ip.octets()),
        IpAddr::V6(ip) => xxh3_64(&ip.octets()),
    };
    digest as CallerTag
}
