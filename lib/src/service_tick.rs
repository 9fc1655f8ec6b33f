//! Timers of the service policy, and its reaction to changed or silent allocators.
//!
//! When an allocator fails while requests wait for its reply, the requests would otherwise wait
//! until their deadline. A slot request is sent again once. Then the request is sent without a
//! grant, and the upstream decides: a request that it sheds is proved not run and requests a slot
//! again.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;

use crate::allocator_map::AllocatorMap;
use crate::config_snapshot::ConfigSnapshot;
use crate::config_snapshot::ServiceEntry;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::load_message::GrantOutcome;
use crate::load_message::LoadBody;
use crate::load_message::LoadMessage;
use crate::load_policy::LoadDecision;
use crate::policy_request_table::PolicyRequest;
use crate::policy_request_table::PolicyRequestStage;
use crate::request_table::RequestKey;
use crate::service_policy::ServicePolicy;
use crate::service_policy::slot_request_message;
use crate::slot_pool::SlotPool;
use crate::slot_table::PoolMember;

/// Interval at which a host checks whether its slot request is still queued at the allocator.
pub(crate) const QUEUED_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Number of slot requests without a reply after which the request is sent without a grant.
const MAX_UNANSWERED: u32 = 2;

impl ServicePolicy {
    pub(crate) fn handle_tick(&mut self, now: Instant, decisions: &mut Vec<LoadDecision>) {
        if std::mem::take(&mut self.allocators_changed) {
            for key in self.requests.keys() {
                self.update_request_allocator(now, key, decisions);
            }
        }
        while let Some(record) = self.requests.due(now).cloned() {
            self.handle_timer(now, &record, decisions);
        }
        let services: Vec<ServiceId> = self.pools.keys().copied().collect();
        for service in services {
            let mut replies = Vec::new();
            if let Some(pool) = self.pools.get_mut(&service) {
                pool.tick(now, &mut replies);
            }
            self.queue_replies(service, replies);
        }
    }

    /// Recomputes the allocators and pools of services that differ from `previous`.
    pub(crate) fn update_allocators(&mut self, now: Instant, previous: &ConfigSnapshot) {
        let config = Arc::clone(&self.config);
        self.allocator_maps
            .retain(|service, _allocator_map| config.services.contains_key(service));
        self.pools
            .retain(|service, _pool| config.services.contains_key(service));
        for service in config.services.values() {
            let is_known = self.allocator_maps.contains_key(&service.id);
            if !is_known || has_changed(service, previous, &config) {
                self.update_service_allocators(now, service, previous);
            }
        }
        self.allocators_changed = true;
    }

    fn update_service_allocators(
        &mut self,
        now: Instant,
        service: &ServiceEntry,
        previous: &ConfigSnapshot,
    ) {
        let config = Arc::clone(&self.config);
        let pool_slots = self.settings.pool_slots;
        let allocator_map = AllocatorMap::new(self.host, service, &config, &self.hosts, pool_slots);
        let is_first = previous.upstreams.is_empty();
        let members: Vec<PoolMember<'_>> = service
            .upstreams
            .iter()
            .filter_map(|id| config.upstreams.get(id))
            .filter(|entry| allocator_map.is_in_group(entry.id))
            .filter(|entry| allocator_map.allocator_of(entry.id, entry) == Some(self.host))
            .map(|entry| PoolMember {
                entry,
                is_new: !is_first && !previous.upstreams.contains_key(&entry.id),
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
            pool.configure(
                now,
                members.into_iter(),
                allocator_map.other_allocators(self.host),
            );
        }
        self.allocator_maps.insert(service.id, allocator_map);
    }

    /// Moves a request to its current allocator. A waiting request requests a slot there, and a
    /// running one reports its slot there, so that the new allocator does not grant it again.
    fn update_request_allocator(
        &mut self,
        now: Instant,
        key: RequestKey,
        decisions: &mut Vec<LoadDecision>,
    ) {
        let Some(record) = self.requests.get(key) else {
            return;
        };
        let service = record.request.service;
        match record.stage {
            PolicyRequestStage::Waiting { allocator, .. } => {
                if self.allocator_for(&record.request) == Some(allocator) {
                    return;
                }
                if let Some(record) = self.requests.remove(key) {
                    self.release_slot_request(now, allocator, &record, decisions);
                    self.request_slot_for(now, record, decisions);
                }
            }
            PolicyRequestStage::Running {
                upstream,
                allocator: Some(allocator),
            } => {
                let timer = record.timer;
                let Some(new_allocator) = self.new_allocator_of(service, allocator, upstream)
                else {
                    return;
                };
                let stage = PolicyRequestStage::Running {
                    upstream,
                    allocator: Some(new_allocator),
                };
                let message = hold_message(record, upstream);
                self.requests.advance(key, stage, timer);
                self.send(now, new_allocator, message, decisions);
            }
            PolicyRequestStage::Running {
                allocator: None, ..
            } => {}
        }
    }

    /// Returns the allocator that has taken over an upstream from a host that allocates nothing any
    /// more.
    fn new_allocator_of(
        &self,
        service: ServiceId,
        allocator: HostId,
        upstream: UpstreamId,
    ) -> Option<HostId> {
        let allocator_map = self.allocator_maps.get(&service)?;
        if allocator_map.is_allocator(allocator) {
            return None;
        }
        allocator_map.allocator_of(upstream, self.config.upstreams.get(&upstream)?)
    }

    fn handle_timer(
        &mut self,
        now: Instant,
        record: &PolicyRequest,
        decisions: &mut Vec<LoadDecision>,
    ) {
        let key = record.request.key;
        match record.stage {
            PolicyRequestStage::Waiting {
                allocator,
                unanswered,
            } if unanswered + 1 < MAX_UNANSWERED => {
                let stage = PolicyRequestStage::Waiting {
                    allocator,
                    unanswered: unanswered + 1,
                };
                let timer = now + self.settings.ask_timeout;
                self.requests.advance(key, stage, timer);
                self.send(now, allocator, slot_request_message(now, record), decisions);
                self.send_replies(now, decisions);
            }
            PolicyRequestStage::Waiting { allocator, .. } => {
                self.send_after_timeout(now, allocator, record, decisions);
            }
            PolicyRequestStage::Running {
                upstream,
                allocator,
            } => {
                let timer = now + self.settings.grant_length / 2;
                self.requests.advance(key, record.stage, timer);
                if let Some(allocator) = allocator {
                    self.send(now, allocator, hold_message(record, upstream), decisions);
                }
            }
        }
    }

    /// Sends a request to its flow's upstream, whose slots nobody allocates.
    pub(crate) fn send_without_grant(
        &mut self,
        now: Instant,
        mut record: PolicyRequest,
        decisions: &mut Vec<LoadDecision>,
    ) {
        let Some(upstream) = record.request.pinned else {
            return;
        };
        record.stage = PolicyRequestStage::Running {
            upstream,
            allocator: None,
        };
        record.timer = now + self.settings.grant_length;
        let key = record.request.key;
        self.requests.insert(record);
        *self.ungranted.entry(upstream).or_default() += 1;
        decisions.push(LoadDecision::Send { key, upstream });
    }

    /// Sends a request without a grant, because its allocator does not reply.
    fn send_after_timeout(
        &mut self,
        now: Instant,
        allocator: HostId,
        record: &PolicyRequest,
        decisions: &mut Vec<LoadDecision>,
    ) {
        let key = record.request.key;
        self.release_slot_request(now, allocator, record, decisions);
        let Some(upstream) = self.choose_without_grant(record) else {
            if let Some(record) = self.requests.remove(key) {
                self.request_slot_for(now, record, decisions);
            }
            return;
        };
        let stage = PolicyRequestStage::Running {
            upstream,
            allocator: None,
        };
        let timer = now + self.settings.grant_length;
        self.requests.advance(key, stage, timer);
        *self.ungranted.entry(upstream).or_default() += 1;
        decisions.push(LoadDecision::Send { key, upstream });
    }

    fn choose_without_grant(&mut self, record: &PolicyRequest) -> Option<UpstreamId> {
        if record.request.pinned.is_some() {
            return record.request.pinned;
        }
        let config = Arc::clone(&self.config);
        let service = config.services.get(&record.request.service)?;
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
        let ungranted_count = |id: UpstreamId| self.ungranted.get(&id).copied().unwrap_or(0);
        Some(if ungranted_count(two) < ungranted_count(one) {
            two
        } else {
            one
        })
    }

    fn release_slot_request(
        &mut self,
        now: Instant,
        allocator: HostId,
        record: &PolicyRequest,
        decisions: &mut Vec<LoadDecision>,
    ) {
        let message = LoadMessage {
            service: record.request.service,
            slot_request: record.slot_request,
            body: LoadBody::Release(GrantOutcome::Unused),
            previous_release: None,
        };
        self.send(now, allocator, message, decisions);
    }
}

fn hold_message(record: &PolicyRequest, upstream: UpstreamId) -> LoadMessage {
    LoadMessage {
        service: record.request.service,
        slot_request: record.slot_request,
        body: LoadBody::Hold { upstream },
        previous_release: None,
    }
}

/// Returns whether a service or one of its upstreams differs between two configurations.
fn has_changed(service: &ServiceEntry, previous: &ConfigSnapshot, config: &ConfigSnapshot) -> bool {
    if previous.services.get(&service.id) != Some(service) {
        return true;
    }
    let ids = service.upstreams.iter();
    ids.into_iter()
        .any(|id| previous.upstreams.get(id) != config.upstreams.get(id))
}
