//! What the service policy does as time passes, and when keepers change or fall silent.
//!
//! Load pattern: a keeper dies or is cut off while jobs wait for its word. Without a timer they
//! wait until their deadline. An ask is repeated once; then the job is sent without a grant, and
//! the upstream itself is the judge: what it sheds is proved not run and asks again.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;

use crate::config_snapshot::ConfigSnapshot;
use crate::config_snapshot::ServiceEntry;
use crate::home_map::HomeMap;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::job_table::JobRecord;
use crate::job_table::JobStage;
use crate::load_message::GrantEnd;
use crate::load_message::LoadBody;
use crate::load_message::LoadMessage;
use crate::load_policy::LoadDecision;
use crate::request_table::RequestKey;
use crate::service_policy::ServicePolicy;
use crate::service_policy::ask_message;
use crate::slot_pool::SlotPool;
use crate::slot_table::PoolMember;

/// How often a host asks whether its ask still waits, once the keeper has said so.
pub(crate) const QUEUED_CHECK: Duration = Duration::from_millis(250);
/// Asks without a word in return, after which the job is sent without a grant.
const MOST_UNANSWERED: u32 = 2;

impl ServicePolicy {
    pub(crate) fn pass_time(&mut self, now: Instant, decisions: &mut Vec<LoadDecision>) {
        if std::mem::take(&mut self.rehome_due) {
            for key in self.jobs.keys() {
                self.rehome_job(now, key, decisions);
            }
        }
        while let Some(record) = self.jobs.due(now).cloned() {
            self.run_timer(now, &record, decisions);
        }
        let services: Vec<ServiceId> = self.pools.keys().copied().collect();
        for service in services {
            let mut replies = Vec::new();
            if let Some(pool) = self.pools.get_mut(&service) {
                pool.tick(now, &mut replies);
            }
            self.note_replies(service, replies);
        }
    }

    /// Computes anew the keepers of services that differ from `former`, and their pools.
    pub(crate) fn rehome(&mut self, now: Instant, former: &ConfigSnapshot) {
        let config = Arc::clone(&self.config);
        self.homes
            .retain(|service, _homes| config.services.contains_key(service));
        self.pools
            .retain(|service, _pool| config.services.contains_key(service));
        for service in config.services.values() {
            let is_known = self.homes.contains_key(&service.id);
            if !is_known || differs(service, former, &config) {
                self.rehome_service(now, service, former);
            }
        }
        self.rehome_due = true;
    }

    fn rehome_service(&mut self, now: Instant, service: &ServiceEntry, former: &ConfigSnapshot) {
        let config = Arc::clone(&self.config);
        let pool_slots = self.settings.pool_slots;
        let homes = HomeMap::new(self.host, service, &config, &self.hosts, pool_slots);
        let is_first = former.upstreams.is_empty();
        let members: Vec<PoolMember<'_>> = service
            .upstreams
            .iter()
            .filter_map(|id| config.upstreams.get(id))
            .filter(|entry| homes.is_in_cell(entry.id))
            .filter(|entry| homes.keeper_of(entry.id, entry) == Some(self.host))
            .map(|entry| PoolMember {
                entry,
                is_new: !is_first && !former.upstreams.contains_key(&entry.id),
            })
            .collect();
        if members.is_empty() {
            self.pools.remove(&service.id);
        } else {
            let settings = &self.settings;
            let pool = self
                .pools
                .entry(service.id)
                .or_insert_with(|| SlotPool::new(Arc::clone(settings)));
            pool.configure(now, members.into_iter(), homes.peers_of(self.host));
        }
        self.homes.insert(service.id, homes);
    }

    /// Brings a job to the keeper that now is in charge: one that waits asks there, one that runs
    /// tells it of the slot in use, so that the new keeper does not give it away again.
    fn rehome_job(&mut self, now: Instant, key: RequestKey, decisions: &mut Vec<LoadDecision>) {
        let Some(record) = self.jobs.get(key) else {
            return;
        };
        let service = record.job.service;
        match record.stage {
            JobStage::Waiting { keeper, .. } => {
                if self.keeper_for(&record.job) == Some(keeper) {
                    return;
                }
                if let Some(record) = self.jobs.remove(key) {
                    self.release_ask(now, keeper, &record, decisions);
                    self.ask_for(now, record, decisions);
                }
            }
            JobStage::Running {
                upstream,
                keeper: Some(keeper),
            } => {
                let timer = record.timer;
                let Some(successor) = self.successor_of(service, keeper, upstream) else {
                    return;
                };
                let stage = JobStage::Running {
                    upstream,
                    keeper: Some(successor),
                };
                let message = hold_message(record, upstream);
                self.jobs.advance(key, stage, timer);
                self.send(now, successor, message, decisions);
            }
            JobStage::Running { keeper: None, .. } => {}
        }
    }

    /// The keeper that has taken over an upstream from one that keeps nothing any more.
    fn successor_of(
        &self,
        service: ServiceId,
        keeper: HostId,
        upstream: UpstreamId,
    ) -> Option<HostId> {
        let homes = self.homes.get(&service)?;
        if homes.is_keeper(keeper) {
            return None;
        }
        homes.keeper_of(upstream, self.config.upstreams.get(&upstream)?)
    }

    fn run_timer(&mut self, now: Instant, record: &JobRecord, decisions: &mut Vec<LoadDecision>) {
        let key = record.job.key;
        match record.stage {
            JobStage::Waiting { keeper, unanswered } if unanswered + 1 < MOST_UNANSWERED => {
                let stage = JobStage::Waiting {
                    keeper,
                    unanswered: unanswered + 1,
                };
                let timer = now + self.settings.ask_timeout;
                self.jobs.advance(key, stage, timer);
                self.send(now, keeper, ask_message(now, record), decisions);
                self.tell_replies(now, decisions);
            }
            JobStage::Waiting { keeper, .. } => {
                self.send_direct(now, keeper, record, decisions);
            }
            JobStage::Running { upstream, keeper } => {
                let timer = now + self.settings.grant_length / 2;
                self.jobs.advance(key, record.stage, timer);
                if let Some(keeper) = keeper {
                    self.send(now, keeper, hold_message(record, upstream), decisions);
                }
            }
        }
    }

    /// Sends a job to its flow's upstream, whose slots nobody gives away.
    pub(crate) fn send_without_grant(
        &mut self,
        now: Instant,
        mut record: JobRecord,
        decisions: &mut Vec<LoadDecision>,
    ) {
        let Some(upstream) = record.job.pinned else {
            return;
        };
        record.stage = JobStage::Running {
            upstream,
            keeper: None,
        };
        record.timer = now + self.settings.grant_length;
        let key = record.job.key;
        self.jobs.insert(record);
        *self.direct.entry(upstream).or_default() += 1;
        decisions.push(LoadDecision::Send { key, upstream });
    }

    /// Sends a job without a grant, because its keeper does not answer.
    fn send_direct(
        &mut self,
        now: Instant,
        keeper: HostId,
        record: &JobRecord,
        decisions: &mut Vec<LoadDecision>,
    ) {
        let key = record.job.key;
        self.release_ask(now, keeper, record, decisions);
        let Some(upstream) = self.choose_direct(record) else {
            if let Some(record) = self.jobs.remove(key) {
                self.ask_for(now, record, decisions);
            }
            return;
        };
        let stage = JobStage::Running {
            upstream,
            keeper: None,
        };
        let timer = now + self.settings.grant_length;
        self.jobs.advance(key, stage, timer);
        *self.direct.entry(upstream).or_default() += 1;
        decisions.push(LoadDecision::Send { key, upstream });
    }

    fn choose_direct(&mut self, record: &JobRecord) -> Option<UpstreamId> {
        if record.job.pinned.is_some() {
            return record.job.pinned;
        }
        let config = Arc::clone(&self.config);
        let service = config.services.get(&record.job.service)?;
        let candidates = &service.upstreams;
        let active: Vec<UpstreamId> = candidates
            .iter()
            .copied()
            .filter(|id| self.is_active(*id))
            .collect();
        if active.is_empty() {
            return None;
        }
        let one = active[self.random.random_range(0..active.len())];
        let two = active[self.random.random_range(0..active.len())];
        let sent = |id: UpstreamId| self.direct.get(&id).copied().unwrap_or(0);
        Some(if sent(two) < sent(one) { two } else { one })
    }

    fn release_ask(
        &mut self,
        now: Instant,
        keeper: HostId,
        record: &JobRecord,
        decisions: &mut Vec<LoadDecision>,
    ) {
        let message = LoadMessage {
            service: record.job.service,
            ask: record.ask,
            body: LoadBody::Release(GrantEnd::Unused),
            former: None,
        };
        self.send(now, keeper, message, decisions);
    }
}

fn hold_message(record: &JobRecord, upstream: UpstreamId) -> LoadMessage {
    LoadMessage {
        service: record.job.service,
        ask: record.ask,
        body: LoadBody::Hold { upstream },
        former: None,
    }
}

/// Whether a service or one of its upstreams changed between two configurations.
fn differs(service: &ServiceEntry, former: &ConfigSnapshot, config: &ConfigSnapshot) -> bool {
    if former.services.get(&service.id) != Some(service) {
        return true;
    }
    let ids = service.upstreams.iter();
    ids.into_iter()
        .any(|id| former.upstreams.get(id) != config.upstreams.get(id))
}
