//! Time-driven work of a host: heartbeats, deadlines of requests, and removal of old records.

use std::time::Duration;
use std::time::Instant;

use crate::host_action::HostAction;
use crate::host_core::HostCore;
use crate::load_policy::AttemptOutcome;
use crate::request_system::cancelled;
use crate::request_system::outcome_before_send;
use crate::request_table::RequestKey;
use crate::request_table::RequestStage;
use crate::result_code::ResultCode;
use crate::wire_frame::RefusalBody;
use crate::wire_frame::RunOutcome;

impl HostCore {
    pub(crate) fn tick(&mut self, now: Instant, actions: &mut Vec<HostAction>) {
        let heartbeats = self.membership.tick(now);
        self.send_heartbeats(heartbeats, actions);
        let mut decisions = Vec::new();
        self.policy.tick(now, &mut decisions);
        self.execute_decisions(now, decisions, actions);
        for key in self.requests.take_due(now) {
            self.advance_request(now, key, actions);
        }
        self.requests.expire(now);
        self.tick_flows(now, actions);
    }

    /// Processes a request in progress that is due.
    fn advance_request(&mut self, now: Instant, key: RequestKey, actions: &mut Vec<HostAction>) {
        let Some(record) = self.requests.get(key) else {
            return;
        };
        if record.deadline <= now {
            return self.expire_request(now, key, actions);
        }
        match &record.stage {
            RequestStage::Deciding(_) => self.decide(now, key, actions),
            RequestStage::Running(attempt) => {
                if attempt
                    .cancel_deadline
                    .is_some_and(|deadline| deadline <= now)
                {
                    let refusal = cancelled(key.request, RunOutcome::Unknown);
                    self.abandon_attempt(now, key, refusal, AttemptOutcome::Cancelled, actions);
                }
            }
            RequestStage::HeldBy(_)
            | RequestStage::Waiting
            | RequestStage::Answered(_)
            | RequestStage::Acknowledged
            | RequestStage::Refused(_) => {}
        }
    }

    fn expire_request(&mut self, now: Instant, key: RequestKey, actions: &mut Vec<HostAction>) {
        let Some(record) = self.requests.get(key) else {
            return;
        };
        let mut refusal = RefusalBody {
            request: Some(key.request),
            code: ResultCode::DeadlinePassed,
            outcome: RunOutcome::Unknown,
            retry_after: Duration::ZERO,
        };
        match record.stage {
            RequestStage::Waiting => {
                refusal.outcome = outcome_before_send(record);
                self.refuse_request(key, refusal, actions);
                self.withdraw_job(now, key, actions);
            }
            RequestStage::Running(_) => {
                self.abandon_attempt(now, key, refusal, AttemptOutcome::Lost, actions);
            }
            _ => self.refuse_request(key, refusal, actions),
        }
    }

    /// Stops waiting for an attempt that may have run or may still run.
    fn abandon_attempt(
        &mut self,
        now: Instant,
        key: RequestKey,
        refusal: RefusalBody,
        end: AttemptOutcome,
        actions: &mut Vec<HostAction>,
    ) {
        self.refuse_request(key, refusal, actions);
        self.end_attempt(now, key, end, actions);
    }
}
