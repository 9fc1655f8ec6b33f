//! What a host does as time passes: overdue requests end, old records go.

use std::time::Duration;
use std::time::Instant;

use crate::host_action::HostAction;
use crate::host_core::HostCore;
use crate::load_policy::JobEnd;
use crate::request_table::RequestKey;
use crate::request_table::RequestStage;
use crate::result_code::ResultCode;
use crate::wire_frame::RefusalBody;
use crate::wire_frame::RunOutcome;

impl HostCore {
    pub(crate) fn tick(&mut self, now: Instant, actions: &mut Vec<HostAction>) {
        let mut decisions = Vec::new();
        self.policy.tick(now, &mut decisions);
        self.carry_out(now, decisions, actions);
        for key in self.requests.overdue(now) {
            self.end_overdue(now, key, actions);
        }
        self.requests.expire(now);
        self.flows.expire(now);
    }

    fn end_overdue(&mut self, now: Instant, key: RequestKey, actions: &mut Vec<HostAction>) {
        let Some(record) = self.requests.get(key) else {
            return;
        };
        let outcome = match record.stage {
            RequestStage::Waiting => {
                let mut decisions = Vec::new();
                self.policy.withdraw(now, key, &mut decisions);
                self.carry_out(now, decisions, actions);
                RunOutcome::NotRun
            }
            _ => {
                self.end_attempt(now, key, JobEnd::Lost, actions);
                RunOutcome::Unknown
            }
        };
        let refusal = RefusalBody {
            request: Some(key.request),
            code: ResultCode::DeadlinePassed,
            outcome,
            retry_after: Duration::ZERO,
        };
        self.refuse_request(key, refusal, actions);
    }
}
