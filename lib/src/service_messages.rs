//! What the service policy does with messages: as a keeper, and as one that asks keepers.
//!
//! Load pattern: messages are lost, late and repeated. Each is taken for what it says of one ask;
//! one about an ask that is over changes nothing, except that a grant goes back.

use std::time::Duration;
use std::time::Instant;

use crate::fair_queue::AskHolder;
use crate::fair_queue::PoolAsk;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::job_table::JobStage;
use crate::load_message::AskId;
use crate::load_message::FormerEnd;
use crate::load_message::GrantEnd;
use crate::load_message::LoadBody;
use crate::load_message::LoadMessage;
use crate::load_message::SlotAsk;
use crate::load_policy::LoadDecision;
use crate::result_code::ResultCode;
use crate::service_policy::ServicePolicy;
use crate::service_policy::refuse;
use crate::service_tick::QUEUED_CHECK;
use crate::slot_pool::PoolReply;

/// How long a keeper that has not heard of a drain keeps the upstream closed; it doubles there.
const UNKNOWN_DRAIN: Duration = Duration::from_millis(100);

impl ServicePolicy {
    /// Lets a pool of this host take a message to a keeper.
    pub(crate) fn hear(&mut self, now: Instant, sender: HostId, message: &LoadMessage) {
        let Some(pool) = self.pools.get_mut(&message.service) else {
            return;
        };
        let holder = AskHolder {
            host: sender,
            ask: message.ask,
        };
        let mut replies = Vec::new();
        match &message.body {
            LoadBody::Ask(ask) => {
                let ask = PoolAsk {
                    holder,
                    caller: ask.caller,
                    upstream: ask.upstream,
                    since: now.checked_sub(ask.waited).unwrap_or(now),
                    deadline: now + ask.remaining,
                    spill: ask.spill,
                };
                pool.ask(now, ask, &mut replies);
            }
            LoadBody::Release(end) => pool.release(now, holder, *end, &mut replies),
            LoadBody::Hold { upstream } => pool.hold(now, holder, *upstream, &mut replies),
            LoadBody::Grant { .. } | LoadBody::Queued | LoadBody::Deny { .. } => {}
        }
        self.note_replies(message.service, replies);
    }

    pub(crate) fn hear_former(&mut self, now: Instant, sender: HostId, former: FormerEnd) {
        let release = LoadMessage {
            service: former.service,
            ask: former.ask,
            body: LoadBody::Release(former.end),
            former: None,
        };
        self.hear(now, sender, &release);
    }

    pub(crate) fn note_replies(&mut self, service: ServiceId, replies: Vec<PoolReply>) {
        let replies = replies.into_iter().map(|reply| (service, reply));
        self.replies.extend(replies);
    }

    /// Tells everybody what this host's pools have said, until they say nothing more.
    pub(crate) fn tell_replies(&mut self, now: Instant, decisions: &mut Vec<LoadDecision>) {
        while let Some((service, reply)) = self.replies.pop_front() {
            let (host, ask, body) = self.reply_message(now, &reply);
            let message = LoadMessage {
                service,
                ask,
                body,
                former: None,
            };
            if host == self.host {
                self.take_reply(now, host, &message, decisions);
            } else {
                self.tell(host, message, decisions);
            }
        }
    }

    fn reply_message(&mut self, now: Instant, reply: &PoolReply) -> (HostId, AskId, LoadBody) {
        match *reply {
            PoolReply::Grant { holder, upstream } => {
                (holder.host, holder.ask, LoadBody::Grant { upstream })
            }
            PoolReply::Queued { holder } => (holder.host, holder.ask, LoadBody::Queued),
            PoolReply::Deny { holder, code, wait } => {
                let retry_after = self.hint.after(wait);
                (
                    holder.host,
                    holder.ask,
                    LoadBody::Deny { code, retry_after },
                )
            }
            PoolReply::Spill {
                lender,
                caller,
                since,
                deadline,
            } => {
                let ask = SlotAsk {
                    upstream: None,
                    caller,
                    waited: now.saturating_duration_since(since),
                    remaining: deadline.saturating_duration_since(now),
                    spill: true,
                };
                (lender.keeper, lender.ask, LoadBody::Ask(ask))
            }
            PoolReply::Return { lender, end } => {
                (lender.keeper, lender.ask, LoadBody::Release(end))
            }
            PoolReply::Renew { lender, upstream } => {
                (lender.keeper, lender.ask, LoadBody::Hold { upstream })
            }
        }
    }

    /// Takes a keeper's word on an ask of one of this host's jobs.
    pub(crate) fn take_reply(
        &mut self,
        now: Instant,
        keeper: HostId,
        message: &LoadMessage,
        decisions: &mut Vec<LoadDecision>,
    ) {
        match message.body {
            LoadBody::Grant { upstream } => {
                self.take_grant(now, keeper, message, upstream, decisions);
            }
            LoadBody::Queued => self.take_queued(now, message.ask),
            LoadBody::Deny { code, retry_after } => {
                self.take_denial(now, message.ask, code, retry_after, decisions);
            }
            LoadBody::Ask(_) | LoadBody::Release(_) | LoadBody::Hold { .. } => {}
        }
    }

    /// Sends the job that a grant is for; a grant that nobody needs any more goes back at once,
    /// because its slot would stand idle until it runs out.
    fn take_grant(
        &mut self,
        now: Instant,
        keeper: HostId,
        message: &LoadMessage,
        upstream: UpstreamId,
        decisions: &mut Vec<LoadDecision>,
    ) {
        let record = self.jobs.by_ask(message.ask);
        let job = match record {
            Some(record) if matches!(record.stage, JobStage::Waiting { .. }) => &record.job,
            Some(_running) => return,
            None => return self.give_back(now, keeper, message, GrantEnd::Unused, decisions),
        };
        let key = job.key;
        if !self.may_send(job, upstream) {
            // The keeper has an older configuration, and would grant the same slot again at once,
            // for as long as the two configurations differ. To be told of a shed closes it there.
            let end = GrantEnd::Shed {
                retry_after: UNKNOWN_DRAIN,
            };
            self.give_back(now, keeper, message, end, decisions);
            if let Some(record) = self.jobs.remove(key) {
                self.ask_for(now, record, decisions);
            }
            return;
        }
        let stage = JobStage::Running {
            upstream,
            keeper: Some(keeper),
        };
        self.jobs
            .advance(key, stage, now + self.settings.grant_length / 2);
        decisions.push(LoadDecision::Send { key, upstream });
    }

    fn give_back(
        &mut self,
        now: Instant,
        keeper: HostId,
        message: &LoadMessage,
        end: GrantEnd,
        decisions: &mut Vec<LoadDecision>,
    ) {
        let release = LoadMessage {
            service: message.service,
            ask: message.ask,
            body: LoadBody::Release(end),
            former: None,
        };
        self.send(now, keeper, release, decisions);
    }

    fn take_queued(&mut self, now: Instant, ask: AskId) {
        let Some(record) = self.jobs.by_ask(ask) else {
            return;
        };
        if let JobStage::Waiting { keeper, .. } = record.stage {
            let key = record.job.key;
            let stage = JobStage::Waiting {
                keeper,
                unanswered: 0,
            };
            let timer = now + QUEUED_CHECK;
            self.jobs.advance(key, stage, timer);
        }
    }

    /// Refuses the job that a denial is about, or sends it without a grant.
    ///
    /// A keeper that does not know the upstream of a job's flow has another list of hosts or
    /// configuration. Its word would end an established flow's request as long as the views
    /// differ, although the upstream is there; the upstream's own word decides instead.
    fn take_denial(
        &mut self,
        now: Instant,
        ask: AskId,
        code: ResultCode,
        retry_after: Duration,
        decisions: &mut Vec<LoadDecision>,
    ) {
        let Some(record) = self.jobs.by_ask(ask) else {
            return;
        };
        if !matches!(record.stage, JobStage::Waiting { .. }) {
            return;
        }
        let key = record.job.key;
        let Some(record) = self.jobs.remove(key) else {
            return;
        };
        if code == ResultCode::NoUpstream && record.job.pinned.is_some() {
            self.send_without_grant(now, record, decisions);
        } else {
            refuse(&record, code, retry_after, decisions);
        }
    }
}
