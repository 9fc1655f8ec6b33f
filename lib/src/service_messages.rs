//! Messages of the service policy, both as a slot allocator and as a host that requests slots.
//!
//! Messages may be lost, delayed or duplicated. Each message refers to one slot request. A message
//! about a slot request that has ended changes nothing, except that a grant is returned.

use std::time::Duration;
use std::time::Instant;

use crate::fair_queue::PoolRequest;
use crate::fair_queue::SlotRequestKey;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::load_message::GrantOutcome;
use crate::load_message::LoadBody;
use crate::load_message::LoadMessage;
use crate::load_message::PreviousRelease;
use crate::load_message::SlotRequest;
use crate::load_message::SlotRequestId;
use crate::load_policy::LoadDecision;
use crate::policy_request_table::PolicyRequestStage;
use crate::result_code::ResultCode;
use crate::service_policy::ServicePolicy;
use crate::service_policy::refuse;
use crate::service_tick::QUEUED_CHECK_INTERVAL;
use crate::slot_pool::PoolReply;

/// Time for which an allocator with an older configuration closes an upstream that drains; the
/// allocator doubles it with each further report.
const STALE_CONFIG_CLOSE: Duration = Duration::from_millis(100);

impl ServicePolicy {
    /// Passes a message for an allocator to the pool of this host.
    pub(crate) fn handle_slot_message(
        &mut self,
        now: Instant,
        sender: HostId,
        message: &LoadMessage,
    ) {
        let Some(pool) = self.pools.get_mut(&message.service) else {
            return;
        };
        let request_key = SlotRequestKey {
            host: sender,
            slot_request: message.slot_request,
        };
        let mut replies = Vec::new();
        match &message.body {
            LoadBody::Request(request) => {
                let request = PoolRequest {
                    request_key,
                    caller: request.caller,
                    upstream: request.upstream,
                    since: now.checked_sub(request.waited).unwrap_or(now),
                    deadline: now + request.remaining,
                    spill: request.spill,
                };
                pool.request_slot(now, request, &mut replies);
            }
            LoadBody::Release(outcome) => pool.release(now, request_key, *outcome, &mut replies),
            LoadBody::Hold { upstream } => pool.hold(now, request_key, *upstream, &mut replies),
            LoadBody::Grant { .. } | LoadBody::Queued | LoadBody::Deny { .. } => {}
        }
        self.queue_replies(message.service, replies);
    }

    pub(crate) fn handle_previous_release(
        &mut self,
        now: Instant,
        sender: HostId,
        previous: PreviousRelease,
    ) {
        let release = LoadMessage {
            service: previous.service,
            slot_request: previous.slot_request,
            body: LoadBody::Release(previous.outcome),
            previous_release: None,
        };
        self.handle_slot_message(now, sender, &release);
    }

    pub(crate) fn queue_replies(&mut self, service: ServiceId, replies: Vec<PoolReply>) {
        let replies = replies.into_iter().map(|reply| (service, reply));
        self.replies.extend(replies);
    }

    /// Sends all replies of this host's pools, including those that arise on the way.
    pub(crate) fn send_replies(&mut self, now: Instant, decisions: &mut Vec<LoadDecision>) {
        while let Some((service, reply)) = self.replies.pop_front() {
            let (host, slot_request, body) = self.reply_message(now, &reply);
            let message = LoadMessage {
                service,
                slot_request,
                body,
                previous_release: None,
            };
            if host == self.host {
                self.handle_reply(now, host, &message, decisions);
            } else {
                self.send_to_peer(host, message, decisions);
            }
        }
    }

    fn reply_message(
        &mut self,
        now: Instant,
        reply: &PoolReply,
    ) -> (HostId, SlotRequestId, LoadBody) {
        match *reply {
            PoolReply::Grant {
                request_key,
                upstream,
            } => (
                request_key.host,
                request_key.slot_request,
                LoadBody::Grant { upstream },
            ),
            PoolReply::Queued { request_key } => {
                (request_key.host, request_key.slot_request, LoadBody::Queued)
            }
            PoolReply::Deny {
                request_key,
                code,
                wait,
            } => {
                let retry_after = self.retry_hint.after(wait);
                (
                    request_key.host,
                    request_key.slot_request,
                    LoadBody::Deny { code, retry_after },
                )
            }
            PoolReply::Spill {
                spill_key,
                caller,
                since,
                deadline,
            } => {
                let request = SlotRequest {
                    upstream: None,
                    caller,
                    waited: now.saturating_duration_since(since),
                    remaining: deadline.saturating_duration_since(now),
                    spill: true,
                };
                (
                    spill_key.allocator,
                    spill_key.slot_request,
                    LoadBody::Request(request),
                )
            }
            PoolReply::Return { spill_key, outcome } => (
                spill_key.allocator,
                spill_key.slot_request,
                LoadBody::Release(outcome),
            ),
            PoolReply::Renew {
                spill_key,
                upstream,
            } => (
                spill_key.allocator,
                spill_key.slot_request,
                LoadBody::Hold { upstream },
            ),
        }
    }

    /// Handles an allocator's reply to a slot request of this host.
    pub(crate) fn handle_reply(
        &mut self,
        now: Instant,
        allocator: HostId,
        message: &LoadMessage,
        decisions: &mut Vec<LoadDecision>,
    ) {
        match message.body {
            LoadBody::Grant { upstream } => {
                self.handle_grant(now, allocator, message, upstream, decisions);
            }
            LoadBody::Queued => self.handle_queued(now, message.slot_request),
            LoadBody::Deny { code, retry_after } => {
                self.handle_denial(now, message.slot_request, code, retry_after, decisions);
            }
            LoadBody::Request(_) | LoadBody::Release(_) | LoadBody::Hold { .. } => {}
        }
    }

    /// Sends the request that a grant is for. A grant that is no longer needed is returned at once,
    /// because its slot would be idle until the grant expires.
    fn handle_grant(
        &mut self,
        now: Instant,
        allocator: HostId,
        message: &LoadMessage,
        upstream: UpstreamId,
        decisions: &mut Vec<LoadDecision>,
    ) {
        let record = self.requests.by_slot_request(message.slot_request);
        let request = match record {
            Some(record) if matches!(record.stage, PolicyRequestStage::Waiting { .. }) => {
                &record.request
            }
            Some(_running) => return,
            None => {
                return self.give_back(now, allocator, message, GrantOutcome::Unused, decisions);
            }
        };
        let key = request.key;
        if !self.may_send(request, upstream) {
            // The allocator has an older configuration and would grant the same slot again at once,
            // for as long as the two configurations differ. Reporting a shed closes the upstream
            // there.
            let outcome = GrantOutcome::Shed {
                retry_after: STALE_CONFIG_CLOSE,
            };
            self.give_back(now, allocator, message, outcome, decisions);
            if let Some(record) = self.requests.remove(key) {
                self.request_slot_for(now, record, decisions);
            }
            return;
        }
        let stage = PolicyRequestStage::Running {
            upstream,
            allocator: Some(allocator),
        };
        self.requests
            .advance(key, stage, now + self.settings.grant_length / 2);
        decisions.push(LoadDecision::Send { key, upstream });
    }

    fn give_back(
        &mut self,
        now: Instant,
        allocator: HostId,
        message: &LoadMessage,
        outcome: GrantOutcome,
        decisions: &mut Vec<LoadDecision>,
    ) {
        let release = LoadMessage {
            service: message.service,
            slot_request: message.slot_request,
            body: LoadBody::Release(outcome),
            previous_release: None,
        };
        self.send(now, allocator, release, decisions);
    }

    fn handle_queued(&mut self, now: Instant, slot_request: SlotRequestId) {
        let Some(record) = self.requests.by_slot_request(slot_request) else {
            return;
        };
        if let PolicyRequestStage::Waiting { allocator, .. } = record.stage {
            let key = record.request.key;
            let stage = PolicyRequestStage::Waiting {
                allocator,
                unanswered: 0,
            };
            let timer = now + QUEUED_CHECK_INTERVAL;
            self.requests.advance(key, stage, timer);
        }
    }

    /// Refuses a request whose slot request was denied, or sends it without a grant.
    ///
    /// An allocator that does not know the upstream of an established flow has a different host
    /// list or configuration. Its denial would end the flow's requests while the views differ,
    /// although the upstream is reachable, so the request goes to the upstream, which decides
    /// itself.
    fn handle_denial(
        &mut self,
        now: Instant,
        slot_request: SlotRequestId,
        code: ResultCode,
        retry_after: Duration,
        decisions: &mut Vec<LoadDecision>,
    ) {
        let Some(record) = self.requests.by_slot_request(slot_request) else {
            return;
        };
        if !matches!(record.stage, PolicyRequestStage::Waiting { .. }) {
            return;
        }
        let key = record.request.key;
        let Some(record) = self.requests.remove(key) else {
            return;
        };
        if code == ResultCode::NoUpstream && record.request.pinned.is_some() {
            self.send_without_grant(now, record, decisions);
        } else {
            refuse(&record, code, retry_after, decisions);
        }
    }
}
