//! Decides whether this host may take a request on, which at most one host ever may.
//!
//! A host that acts on a flow takes on what was first sent after it began to. Of an older request
//! another host may hold a record: every peer is asked, and promises not to take it on, before this
//! host does. When a peer cannot tell, the outcome is unknown, and the caller hears so at once.

use std::time::Duration;
use std::time::Instant;

use crate::host_action::HostAction;
use crate::host_core::HostCore;
use crate::host_core::MAX_HOPS;
use crate::ids::FlowDigest;
use crate::ids::HostId;
use crate::membership::CLAIM_MARGIN;
use crate::owner_rank::ranked_ahead;
use crate::record_query::RecordQuery;
use crate::record_query::RecordReply;
use crate::record_query::RecordState;
use crate::request_system::LONGEST_DEADLINE;
use crate::request_table::RECORD_MEMORY;
use crate::request_table::RequestKey;
use crate::request_table::RequestRecord;
use crate::request_table::RequestStage;
use crate::request_table::TakeoverState;
use crate::result_code::ResultCode;
use crate::wire_frame::CallerBody;
use crate::wire_frame::CallerFrame;
use crate::wire_frame::PeerBody;
use crate::wire_frame::RefusalBody;
use crate::wire_frame::RunOutcome;

/// Time between two looks at a request that waits for a decision.
const DECIDE_PAUSE: Duration = Duration::from_millis(20);
/// Time after which peers that have not replied are asked again.
const QUERY_PAUSE: Duration = Duration::from_millis(100);
/// Time after which a peer's silence is taken for an answer.
const QUERY_LIMIT: Duration = Duration::from_secs(1);
/// How long a request waits for this host to become the one that acts; a takeover takes about
/// 1.6 s, from the last heartbeat to the majority's fences.
const ACT_LIMIT: Duration = Duration::from_millis(2_500);
/// When to come back to a host that may not act: the length of a takeover.
const ACT_RETRY: Duration = Duration::from_millis(1_500);

/// Longest age that is stated; an older request is as unknown as one of this age.
const LONGEST_AGE: Duration = Duration::from_secs(86_400);

/// What is to be done with a request.
enum Verdict {
    Wait,
    TakeOn {
        exclusive: bool,
    },
    PassTo(HostId),
    /// Another host is to decide, but the request was forwarded too often; the caller sends it
    /// again, and by then the hosts agree on where to.
    Drop,
    Query,
    HeldBy(HostId),
    Refuse(ResultCode),
}

impl HostCore {
    /// Decides on a request that has not been taken on, if that is possible yet.
    pub(crate) fn decide(&mut self, now: Instant, key: RequestKey, actions: &mut Vec<HostAction>) {
        let Some(record) = self.requests.get(key) else {
            return;
        };
        let RequestStage::Deciding(takeover) = &record.stage else {
            return;
        };
        match self.verdict(now, key, record, takeover) {
            Verdict::Wait => self.requests.remind(now + DECIDE_PAUSE, key),
            Verdict::TakeOn { exclusive } => self.take_on(now, key, exclusive, actions),
            Verdict::PassTo(host) => self.pass_on(now, key, host, actions),
            Verdict::Drop => {
                self.requests.remove(key);
                actions.push(HostAction::Count(ResultCode::HopsExceeded));
            }
            Verdict::Query => {
                self.query_peers(now, key, actions);
                self.requests.remind(now + DECIDE_PAUSE, key);
            }
            Verdict::HeldBy(holder) => self.learn_holder(now, key, holder, actions),
            Verdict::Refuse(code) => {
                let refusal = RefusalBody {
                    request: Some(key.request),
                    code,
                    outcome: RunOutcome::Unknown,
                    retry_after: ACT_RETRY,
                };
                self.refuse_request(key, refusal, actions);
            }
        }
    }

    fn verdict(
        &self,
        now: Instant,
        key: RequestKey,
        record: &RequestRecord,
        takeover: &TakeoverState,
    ) -> Verdict {
        let promisee = self.requests.promisee(key);
        let since = self.acting_since(now, key.flow);
        let is_first = since.is_some_and(|since| record.sent_after >= Some(since));
        if record.idempotent {
            let exclusive = is_first && promisee.is_none();
            return Verdict::TakeOn { exclusive };
        }
        let may_pass = takeover.hops < MAX_HOPS;
        let actor = self.actor_of(key.flow);
        if actor != self.settings.host {
            return match may_pass {
                true => Verdict::PassTo(actor),
                false => Verdict::Drop,
            };
        }
        if !may_be_remembered(takeover.arrived, record.sent_after) {
            return Verdict::Refuse(ResultCode::OutcomeUnknown);
        }
        if since.is_none() {
            return self.verdict_inactive(now, takeover);
        }
        // A host that once asked this one about the request may have taken it on.
        if is_first && promisee.is_none() {
            return Verdict::TakeOn { exclusive: true };
        }
        self.verdict_queried(now, key, record, takeover)
    }

    /// This host may not act at present: waits if it soon may.
    fn verdict_inactive(&self, now: Instant, takeover: &TakeoverState) -> Verdict {
        let book = self.membership.book();
        let may_soon = book.holds_claim(now) || book.is_settling(now);
        if may_soon && now < takeover.arrived + ACT_LIMIT {
            return Verdict::Wait;
        }
        Verdict::Refuse(ResultCode::NotOwner)
    }

    /// This host acts, but the request may be older than that: every peer has to be asked.
    fn verdict_queried(
        &self,
        now: Instant,
        key: RequestKey,
        record: &RequestRecord,
        takeover: &TakeoverState,
    ) -> Verdict {
        let held = |(_id, state): &(&HostId, &RecordState)| **state == RecordState::Held;
        if let Some((holder, _state)) = takeover.replies.iter().find(held) {
            return Verdict::HeldBy(*holder);
        }
        let Some(queried) = takeover.queried else {
            return Verdict::Query;
        };
        let peers = self.peers_to_query(now, key, record.sent_after);
        let replies = &takeover.replies;
        let is_absent = |id: &HostId| replies.get(id) == Some(&RecordState::Absent);
        let own_absent = record.sent_after >= Some(self.membership.removal_horizon());
        if own_absent && peers.iter().all(is_absent) {
            return Verdict::TakeOn { exclusive: true };
        }
        let may_reply =
            |id: &HostId| !replies.contains_key(id) && self.membership.is_heard(now, *id);
        let hopeful = peers.iter().any(may_reply);
        if hopeful && now < queried + QUERY_LIMIT {
            return match now < takeover.next_query {
                true => Verdict::Wait,
                false => Verdict::Query,
            };
        }
        Verdict::Refuse(ResultCode::OutcomeUnknown)
    }

    /// The members that may have taken on a request first sent after `sent_after`: all but those
    /// that have been fenced since, for a host takes requests on only while it acts.
    fn peers_to_query(
        &self,
        now: Instant,
        key: RequestKey,
        sent_after: Option<Instant>,
    ) -> Vec<HostId> {
        let book = self.membership.book();
        let promisee = self.requests.promisee(key);
        let is_excluded = |id: &HostId| {
            let since = book.fenced_since(now, *id);
            since.is_some() && since <= sent_after && promisee != Some(*id)
        };
        let members = self.membership.members().iter().copied();
        members
            .filter(|id| *id != self.settings.host && !is_excluded(id))
            .collect()
    }

    /// Since when this host has been the only one that may take on requests of a flow.
    pub(crate) fn acting_since(&self, now: Instant, flow: FlowDigest) -> Option<Instant> {
        let members = self.membership.members();
        let ahead = ranked_ahead(flow, self.settings.host, members);
        self.membership.book().acting_since(now, &ahead)
    }

    fn take_on(
        &mut self,
        now: Instant,
        key: RequestKey,
        exclusive: bool,
        actions: &mut Vec<HostAction>,
    ) {
        let Some(record) = self.requests.get_mut(key) else {
            return;
        };
        record.taken = true;
        record.exclusive = exclusive;
        record.stage = RequestStage::Waiting;
        self.submit(now, key, actions);
    }

    /// Passes a request that was not taken on to the host that may, and forgets it.
    fn pass_on(
        &mut self,
        now: Instant,
        key: RequestKey,
        host: HostId,
        actions: &mut Vec<HostAction>,
    ) {
        let Some(record) = self.requests.remove(key) else {
            return;
        };
        let RequestStage::Deciding(takeover) = record.stage else {
            return;
        };
        let hops = takeover.hops + 1;
        let frame = takeover_frame(takeover, now);
        self.send_caller_frame(host, hops, record.caller, frame, actions);
    }

    fn learn_holder(
        &mut self,
        now: Instant,
        key: RequestKey,
        holder: HostId,
        actions: &mut Vec<HostAction>,
    ) {
        let Some(record) = self.requests.get_mut(key) else {
            return;
        };
        let stage = std::mem::replace(&mut record.stage, RequestStage::HeldBy(holder));
        if let RequestStage::Deciding(takeover) = stage {
            let frame = takeover_frame(takeover, now);
            self.pass_to_holder(now, key, holder, &frame, actions);
        }
    }

    /// Passes a copy to the host that has taken the request on, or says that nobody can tell any
    /// more when that one is gone.
    pub(crate) fn pass_to_holder(
        &mut self,
        now: Instant,
        key: RequestKey,
        holder: HostId,
        frame: &CallerFrame,
        actions: &mut Vec<HostAction>,
    ) {
        let Some(record) = self.requests.get(key) else {
            return;
        };
        if self.membership.is_heard(now, holder) {
            let caller = record.caller;
            return self.send_caller_frame(holder, MAX_HOPS, caller, frame.clone(), actions);
        }
        let refusal = RefusalBody {
            request: Some(key.request),
            code: ResultCode::OutcomeUnknown,
            outcome: RunOutcome::Unknown,
            retry_after: ACT_RETRY,
        };
        self.refuse_request(key, refusal, actions);
    }

    fn query_peers(&mut self, now: Instant, key: RequestKey, actions: &mut Vec<HostAction>) {
        let member_set = self.membership.book().member_set();
        let Some(record) = self.requests.get(key) else {
            return;
        };
        let sent_after = record.sent_after;
        let age = sent_after.map_or(LONGEST_AGE, |sent| now.saturating_duration_since(sent));
        let query = RecordQuery {
            number: 0,
            flow: key.flow,
            request: key.request,
            echo: None,
            age: age.min(LONGEST_AGE),
            remaining: record.forget_deadline.saturating_duration_since(now),
            member_set,
        };
        let peers = self.peers_to_query(now, key, sent_after);
        let Some(record) = self.requests.get_mut(key) else {
            return;
        };
        let RequestStage::Deciding(takeover) = &mut record.stage else {
            return;
        };
        if takeover.queried.is_none() {
            takeover.queried = Some(now);
            takeover.query_number = self.next_attempt;
            self.next_attempt += 1;
        }
        let number = takeover.query_number;
        takeover.next_query = now + QUERY_PAUSE;
        let unanswered: Vec<HostId> = peers
            .into_iter()
            .filter(|id| !takeover.replies.contains_key(id))
            .collect();
        for id in unanswered {
            let echo = self.membership.book().echo_for(id);
            let query = RecordQuery {
                number,
                echo,
                ..query.clone()
            };
            self.send_peer(id, 1, PeerBody::Query(query), actions);
        }
    }

    /// Answers a peer that wants to take a request on; saying that there is no record of it is a
    /// promise not to take it on later.
    pub(crate) fn take_query(
        &mut self,
        now: Instant,
        sender: HostId,
        query: &RecordQuery,
        actions: &mut Vec<HostAction>,
    ) {
        let key = query.key();
        let forget_deadline =
            now + query.remaining.min(LONGEST_DEADLINE) + self.settings.max_datagram_age;
        let state = match self.requests.get(key) {
            Some(record) if record.taken => RecordState::Held,
            Some(record) => match record.stage {
                RequestStage::HeldBy(holder) if holder != sender => RecordState::Unsure,
                _ => self.state_untaken(now, query),
            },
            None => self.state_untaken(now, query),
        };
        if state == RecordState::Absent {
            self.requests.promise(key, sender, forget_deadline);
            let deciding = self.requests.get(key).is_some_and(|record| {
                matches!(record.stage, RequestStage::Deciding(_)) && !record.idempotent
            });
            if deciding {
                self.requests.remove(key);
            }
        }
        let reply = RecordReply {
            number: query.number,
            flow: query.flow,
            request: query.request,
            state,
        };
        self.send_peer(sender, 1, PeerBody::Reply(reply), actions);
    }

    /// What this host knows of a request that it has not taken on: nothing, if the request may be
    /// older than its memory, than the process or than the removal of a member, or if the sender
    /// counts over other members.
    fn state_untaken(&self, now: Instant, query: &RecordQuery) -> RecordState {
        let book = self.membership.book();
        let written = query.echo.and_then(|echo| book.sent_at(echo));
        let sent_after = written.and_then(|written| written.checked_sub(query.age + CLAIM_MARGIN));
        let same_set = query.member_set == book.member_set();
        let is_younger = sent_after >= Some(self.membership.removal_horizon());
        match same_set && is_younger && may_be_remembered(now, sent_after) {
            true => RecordState::Absent,
            false => RecordState::Unsure,
        }
    }

    pub(crate) fn take_reply(
        &mut self,
        now: Instant,
        sender: HostId,
        reply: &RecordReply,
        actions: &mut Vec<HostAction>,
    ) {
        let key = reply.key();
        let Some(record) = self.requests.get_mut(key) else {
            return;
        };
        if let RequestStage::Deciding(takeover) = &mut record.stage
            && takeover.query_number == reply.number
        {
            // A reply that knows more is not undone by one that was delayed.
            let known = takeover.replies.entry(sender).or_insert(reply.state);
            *known = reply.state.max(*known);
            self.decide(now, key, actions);
        }
    }
}

/// Whether a host that had taken a request on would still remember it at `now`.
fn may_be_remembered(now: Instant, sent_after: Option<Instant>) -> bool {
    sent_after.is_some_and(|sent| now < sent + RECORD_MEMORY)
}

fn takeover_frame(takeover: TakeoverState, now: Instant) -> CallerFrame {
    let waited = now.saturating_duration_since(takeover.arrived);
    aged_frame(takeover.frame, now, takeover.read, waited)
}

/// The frame as its caller would send it now: `read` bounds when a host read it at the earliest,
/// and `waited` is how long it has been here.
pub(crate) fn aged_frame(
    mut frame: CallerFrame,
    now: Instant,
    read: Option<Instant>,
    waited: Duration,
) -> CallerFrame {
    if let CallerBody::Request(body) = &mut frame.body {
        let since_read = read.map_or(LONGEST_AGE, |read| now.saturating_duration_since(read));
        body.age = LONGEST_AGE.min(body.age.saturating_add(since_read));
        body.remaining = body.remaining.saturating_sub(waited);
    }
    frame
}
