//! What a host does as time passes: overdue requests end, old records go.

use std::time::Duration;
use std::time::Instant;

use crate::host_action::HostAction;
use crate::host_core::HostCore;
use crate::load_policy::JobEnd;
use crate::request_system::cancelled;
use crate::request_system::waiting_outcome;
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
        self.carry_out(now, decisions, actions);
        for key in self.requests.take_due(now) {
            self.attend(now, key, actions);
        }
        self.requests.expire(now);
        self.tick_flows(now, actions);
    }

    /// Attends to a request in progress for which something is due.
    fn attend(&mut self, now: Instant, key: RequestKey, actions: &mut Vec<HostAction>) {
        let Some(record) = self.requests.get(key) else {
            return;
        };
        if record.deadline <= now {
            return self.end_overdue(now, key, actions);
        }
        match &record.stage {
            RequestStage::Deciding(_) => self.decide(now, key, actions),
            RequestStage::Running(attempt) => {
                if attempt
                    .cancel_deadline
                    .is_some_and(|deadline| deadline <= now)
                {
                    let refusal = cancelled(key.request, RunOutcome::Unknown);
                    self.give_up_attempt(now, key, refusal, JobEnd::Cancelled, actions);
                }
            }
            RequestStage::HeldBy(_)
            | RequestStage::Waiting
            | RequestStage::Answered(_)
            | RequestStage::Acknowledged
            | RequestStage::Refused(_) => {}
        }
    }

    fn end_overdue(&mut self, now: Instant, key: RequestKey, actions: &mut Vec<HostAction>) {
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
                refusal.outcome = waiting_outcome(record);
                self.refuse_request(key, refusal, actions);
                self.withdraw_job(now, key, actions);
            }
            RequestStage::Running(_) => {
                self.give_up_attempt(now, key, refusal, JobEnd::Lost, actions);
            }
            _ => self.refuse_request(key, refusal, actions),
        }
    }

    /// Stops waiting for an attempt that may have run or may still run.
    fn give_up_attempt(
        &mut self,
        now: Instant,
        key: RequestKey,
        refusal: RefusalBody,
        end: JobEnd,
        actions: &mut Vec<HostAction>,
    ) {
        self.refuse_request(key, refusal, actions);
        self.end_attempt(now, key, end, actions);
    }
}
