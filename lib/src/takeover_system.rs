//! Decides whether this host may accept a request. At most one host ever accepts a non-idempotent
//! request.
//!
//! A host that has become the only one allowed to accept the requests of a flow accepts every
//! request that was first sent after that time. Another host may hold a record of an older request.
//! Before accepting such a request, this host queries every peer, and each promises not to accept
//! it. If a peer cannot tell, the outcome is unknown and the caller is told so at once.

use std::time::Duration;
use std::time::Instant;

use crate::host_action::HostAction;
use crate::host_core::HostCore;
use crate::host_core::MAX_HOPS;
use crate::ids::FlowDigest;
use crate::ids::HostId;
use crate::membership::CLOCK_DRIFT_MARGIN;
use crate::owner_rank::ranked_ahead;
use crate::record_query::RecordQuery;
use crate::record_query::RecordReply;
use crate::record_query::RecordState;
use crate::request_system::MAX_REQUEST_TIMEOUT;
use crate::request_table::MIN_RECORD_LIFETIME;
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

/// Interval at which an undecided request is evaluated again.
const DECISION_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the query is sent again to the peers that have not replied.
const QUERY_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a peer that has not replied to the query counts as unable to tell.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a request waits for this host to be allowed to accept it. A takeover takes about 1.6 s
/// from the last heartbeat until a majority has voted that the lease of the previous owner expired.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Retry delay that a refusal carries when this host may not accept the request: the duration of a
/// takeover.
const TAKEOVER_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Maximum age that a frame states. An older request is treated like one of this age.
const MAX_AGE: Duration = Duration::from_secs(86_400);

/// What to do with a request that has not been accepted.
enum TakeoverDecision {
    Wait,
    Accept {
        exclusive: bool,
    },
    Forward(HostId),
    /// Another host has to decide, but the frame has reached the hop limit. The caller sends it
    /// again, and by then the hosts agree on the host to forward it to.
    Drop,
    Query,
    HeldBy(HostId),
    Refuse(ResultCode),
}

impl HostCore {
    /// Decides on a request that has not been accepted, or schedules the next evaluation.
    pub(crate) fn decide(&mut self, now: Instant, key: RequestKey, actions: &mut Vec<HostAction>) {
        let Some(record) = self.requests.get(key) else {
            return;
        };
        let RequestStage::Deciding(takeover) = &record.stage else {
            return;
        };
        match self.takeover_decision(now, key, record, takeover) {
            TakeoverDecision::Wait => self.requests.schedule(now + DECISION_INTERVAL, key),
            TakeoverDecision::Accept { exclusive } => self.accept(now, key, exclusive, actions),
            TakeoverDecision::Forward(host) => self.forward(now, key, host, actions),
            TakeoverDecision::Drop => {
                self.requests.remove(key);
                actions.push(HostAction::Count(ResultCode::HopsExceeded));
            }
            TakeoverDecision::Query => {
                self.query_peers(now, key, actions);
                self.requests.schedule(now + DECISION_INTERVAL, key);
            }
            TakeoverDecision::HeldBy(holder) => self.record_holder(now, key, holder, actions),
            TakeoverDecision::Refuse(code) => {
                let refusal = RefusalBody {
                    request: Some(key.request),
                    code,
                    outcome: RunOutcome::Unknown,
                    retry_after: TAKEOVER_RETRY_DELAY,
                };
                self.refuse_request(key, refusal, actions);
            }
        }
    }

    fn takeover_decision(
        &self,
        now: Instant,
        key: RequestKey,
        record: &RequestRecord,
        takeover: &TakeoverState,
    ) -> TakeoverDecision {
        let promisee = self.requests.promisee(key);
        let since = self.accepting_since(now, key.flow);
        let is_sent_since = since.is_some_and(|since| record.sent_after >= Some(since));
        if record.idempotent {
            let exclusive = is_sent_since && promisee.is_none();
            return TakeoverDecision::Accept { exclusive };
        }
        let may_forward = takeover.hops < MAX_HOPS;
        let accepting_host = self.accepting_host(key.flow);
        if accepting_host != self.settings.host {
            return match may_forward {
                true => TakeoverDecision::Forward(accepting_host),
                false => TakeoverDecision::Drop,
            };
        }
        if !may_still_be_recorded(takeover.arrived, record.sent_after) {
            return TakeoverDecision::Refuse(ResultCode::OutcomeUnknown);
        }
        if since.is_none() {
            return self.decision_before_accepting(now, takeover);
        }
        // A host that queried this one about the request may have accepted it.
        if is_sent_since && promisee.is_none() {
            return TakeoverDecision::Accept { exclusive: true };
        }
        self.decision_after_query(now, key, record, takeover)
    }

    /// Decides on a request while this host may not accept any: the request waits if that is likely
    /// to change soon.
    fn decision_before_accepting(
        &self,
        now: Instant,
        takeover: &TakeoverState,
    ) -> TakeoverDecision {
        let leases = self.membership.leases();
        let may_accept_soon = leases.holds_claim(now) || leases.is_settling(now);
        if may_accept_soon && now < takeover.arrived + ACCEPT_TIMEOUT {
            return TakeoverDecision::Wait;
        }
        TakeoverDecision::Refuse(ResultCode::NotOwner)
    }

    /// Decides on a request that may have been sent before this host was allowed to accept it,
    /// which requires a reply from every peer.
    fn decision_after_query(
        &self,
        now: Instant,
        key: RequestKey,
        record: &RequestRecord,
        takeover: &TakeoverState,
    ) -> TakeoverDecision {
        let held = |(_id, state): &(&HostId, &RecordState)| **state == RecordState::Held;
        if let Some((holder, _state)) = takeover.replies.iter().find(held) {
            return TakeoverDecision::HeldBy(*holder);
        }
        let Some(queried) = takeover.queried else {
            return TakeoverDecision::Query;
        };
        let peers = self.peers_to_query(now, key, record.sent_after);
        let replies = &takeover.replies;
        let is_absent = |id: &HostId| replies.get(id) == Some(&RecordState::Absent);
        let is_after_horizon = record.sent_after >= Some(self.membership.record_horizon());
        if is_after_horizon && peers.iter().all(is_absent) {
            return TakeoverDecision::Accept { exclusive: true };
        }
        let may_reply =
            |id: &HostId| !replies.contains_key(id) && self.membership.is_heard(now, *id);
        let awaits_replies = peers.iter().any(may_reply);
        if awaits_replies && now < queried + QUERY_TIMEOUT {
            return match now < takeover.next_query {
                true => TakeoverDecision::Wait,
                false => TakeoverDecision::Query,
            };
        }
        TakeoverDecision::Refuse(ResultCode::OutcomeUnknown)
    }

    /// Returns the members that may have accepted a request first sent after `sent_after`. These
    /// are all members except those whose leases have been expired since then, because a host
    /// accepts requests only while it holds its lease.
    fn peers_to_query(
        &self,
        now: Instant,
        key: RequestKey,
        sent_after: Option<Instant>,
    ) -> Vec<HostId> {
        let leases = self.membership.leases();
        let promisee = self.requests.promisee(key);
        let is_excluded = |id: &HostId| {
            let since = leases.lease_expired_since(now, *id);
            since.is_some() && since <= sent_after && promisee != Some(*id)
        };
        let members = self.membership.members().iter().copied();
        members
            .filter(|id| *id != self.settings.host && !is_excluded(id))
            .collect()
    }

    /// Returns the time since which this host has been the only one that may accept requests of a
    /// flow; `None` if it may not at present.
    pub(crate) fn accepting_since(&self, now: Instant, flow: FlowDigest) -> Option<Instant> {
        let members = self.membership.members();
        let ahead = ranked_ahead(flow, self.settings.host, members);
        self.membership.leases().accepting_since(now, &ahead)
    }

    fn accept(
        &mut self,
        now: Instant,
        key: RequestKey,
        exclusive: bool,
        actions: &mut Vec<HostAction>,
    ) {
        let Some(record) = self.requests.get_mut(key) else {
            return;
        };
        record.accepted = true;
        record.exclusive = exclusive;
        record.stage = RequestStage::Waiting;
        self.submit(now, key, actions);
    }

    /// Forwards a request that was not accepted to the host that may accept it, and removes its
    /// record.
    fn forward(
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
        let frame = forwarded_frame(takeover, now);
        self.send_caller_frame(host, hops, record.caller, frame, actions);
    }

    fn record_holder(
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
            let frame = forwarded_frame(takeover, now);
            self.forward_to_holder(now, key, holder, &frame, actions);
        }
    }

    /// Forwards a copy to the host that has accepted the request. If that host is not reachable any
    /// more, refuses the request with an unknown outcome.
    pub(crate) fn forward_to_holder(
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
            retry_after: TAKEOVER_RETRY_DELAY,
        };
        self.refuse_request(key, refusal, actions);
    }

    fn query_peers(&mut self, now: Instant, key: RequestKey, actions: &mut Vec<HostAction>) {
        let member_set = self.membership.leases().member_set();
        let Some(record) = self.requests.get(key) else {
            return;
        };
        let sent_after = record.sent_after;
        let age = sent_after.map_or(MAX_AGE, |sent| now.saturating_duration_since(sent));
        let query = RecordQuery {
            number: 0,
            flow: key.flow,
            request: key.request,
            echo: None,
            age: age.min(MAX_AGE),
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
        takeover.next_query = now + QUERY_RETRY_INTERVAL;
        let unanswered: Vec<HostId> = peers
            .into_iter()
            .filter(|id| !takeover.replies.contains_key(id))
            .collect();
        for id in unanswered {
            let echo = self.membership.leases().echo_for(id);
            let query = RecordQuery {
                number,
                echo,
                ..query.clone()
            };
            self.send_peer(id, 1, PeerBody::Query(query), actions);
        }
    }

    /// Replies to a peer that wants to accept a request. The reply that this host has no record of
    /// the request is a promise not to accept it later.
    pub(crate) fn handle_query(
        &mut self,
        now: Instant,
        sender: HostId,
        query: &RecordQuery,
        actions: &mut Vec<HostAction>,
    ) {
        let key = query.key();
        let forget_deadline =
            now + query.remaining.min(MAX_REQUEST_TIMEOUT) + self.settings.max_datagram_age;
        let state = match self.requests.get(key) {
            Some(record) if record.accepted => RecordState::Held,
            Some(record) => match record.stage {
                RequestStage::HeldBy(holder) if holder != sender => RecordState::Unsure,
                _ => self.state_if_not_accepted(now, query),
            },
            None => self.state_if_not_accepted(now, query),
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

    /// Returns what this host knows about a request that it has not accepted. The state is
    /// [`RecordState::Unsure`] if the request may be older than this host's records, its process or
    /// the last removal of a member, or if the sender has another list of members.
    fn state_if_not_accepted(&self, now: Instant, query: &RecordQuery) -> RecordState {
        let leases = self.membership.leases();
        let written = query.echo.and_then(|echo| leases.sent_at(echo));
        let sent_after =
            written.and_then(|written| written.checked_sub(query.age + CLOCK_DRIFT_MARGIN));
        let same_set = query.member_set == leases.member_set();
        let is_after_horizon = sent_after >= Some(self.membership.record_horizon());
        match same_set && is_after_horizon && may_still_be_recorded(now, sent_after) {
            true => RecordState::Absent,
            false => RecordState::Unsure,
        }
    }

    pub(crate) fn handle_reply(
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
            // A delayed reply must not replace one that states more.
            let known = takeover.replies.entry(sender).or_insert(reply.state);
            *known = reply.state.max(*known);
            self.decide(now, key, actions);
        }
    }
}

/// Whether a host that accepted a request would still have its record at `now`.
fn may_still_be_recorded(now: Instant, sent_after: Option<Instant>) -> bool {
    sent_after.is_some_and(|sent| now < sent + MIN_RECORD_LIFETIME)
}

fn forwarded_frame(takeover: TakeoverState, now: Instant) -> CallerFrame {
    let waited = now.saturating_duration_since(takeover.arrived);
    with_elapsed_time(takeover.frame, now, takeover.read, waited)
}

/// Returns the frame with its age and remaining time as its caller would state them now. `read` is
/// a lower bound on the time at which a host read it, and `waited` is how long it has been at this
/// host.
pub(crate) fn with_elapsed_time(
    mut frame: CallerFrame,
    now: Instant,
    read: Option<Instant>,
    waited: Duration,
) -> CallerFrame {
    if let CallerBody::Request(body) = &mut frame.body {
        let since_read = read.map_or(MAX_AGE, |read| now.saturating_duration_since(read));
        body.age = MAX_AGE.min(body.age.saturating_add(since_read));
        body.remaining = body.remaining.saturating_sub(waited);
    }
    frame
}
