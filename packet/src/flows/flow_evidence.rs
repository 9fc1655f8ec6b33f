//! What callers' packets tell of their flows' upstreams.

use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use arrayvec::ArrayVec;
use foldhash::HashMap;

use crate::flows::flow_cost::FlowCosts;
use crate::flows::flow_load;
use crate::flows::flow_table::FlowKey;
use crate::flows::flow_table::FlowRecord;
use crate::flows::flow_table::FlowTable;
use crate::flows::flow_table::FlowUsage;
use crate::flows::flow_table::MOST_FLOWS;
use crate::flows::flow_table::MOST_TRIED;
use crate::flows::flow_table::OpeningAttempt;
use crate::flows::flow_table::RequestJudgement;
use crate::flows::route_habit::RouteHabit;
use crate::ids::UpstreamIndex;
use crate::load::shed_detection::is_shed;
use crate::packet_head::PacketHead;
use crate::packet_head::PacketKind;
use crate::packet_head::is_after;
use crate::upstreams::upstream_table::UpstreamTable;

/// How long an opening is remembered: callers give up 1.4 s after the first packet.
const OPENING_LIFE: Duration = Duration::from_millis(1600);

/// How long a flow is remembered after its caller ended its stream, so that its last packets are
/// not taken for another flow's.
const CLOSING_LIFE: Duration = Duration::from_secs(3);

/// How long a silent flow is remembered while no configuration says.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// How long unanswered attempts do not count after a stall of this process. Copies of old
/// packets lie in its socket, and callers whose flows went to other hosts need some time to return.
const BLIND_TIME: Duration = Duration::from_secs(1);

/// How often the tables are searched for what has lasted its time. 20,000 flows take 0.1 ms.
const SWEEP_PAUSE: Duration = Duration::from_millis(250);

/// How long after a flow's last packet its answer still tells how its upstream is. Callers keep flows
/// open: what was shed in a rush would else count when their flows are closed for idleness, 12 s on.
const ANSWER_MEMORY: Duration = Duration::from_secs(2);

/// Most routes whose habits are known: three times the addresses of a zone at the size aimed at, 0.2 MB.
/// Answers of others are not judged by their size, and their flows count until their idle time.
const MOST_HABITS: usize = 4096;

/// Fewest answers of a route before its mean response time extends the failed-wait.
const FEWEST_RESPONSES: u64 = 16;

/// What a copy of an opening packet tells.
#[derive(Debug, Default)]
pub struct CopySeen {
    /// Where earlier copies went.
    pub tried: ArrayVec<UpstreamIndex, MOST_TRIED>,
    /// Upstreams that are avoided from now.
    pub avoided: ArrayVec<UpstreamIndex, MOST_TRIED>,
}

/// What a packet of an open flow tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PacketSeen {
    /// An answer began; how long after the request.
    pub answered: Option<Duration>,
    /// The caller sent again what had no answer; how long it has waited.
    pub repeated: Option<Duration>,
    /// The upstream is avoided from now.
    pub avoided: bool,
    /// The response before was an error of an upstream that had no room for its request.
    pub shed: bool,
    /// The response before was an error of an upstream that failed its request.
    pub failed: bool,
    /// The upstream was avoided and has answered.
    pub returned: bool,
}

/// The flows that pass through this host, and what is concluded from them.
#[derive(Debug, Default)]
pub struct FlowEvidence {
    table: FlowTable,
    next_sweep: Option<Instant>,
    /// Until when unanswered attempts do not count: the process was stalled, and what waited
    /// in its socket meanwhile is read.
    blind_until: Option<Instant>,
    /// What the requests of each route are usually like; at most [`MOST_HABITS`].
    habits: HashMap<SocketAddrV4, RouteHabit>,
    /// What flows of each route cost their upstreams.
    costs: FlowCosts,
    /// Requests that failed.
    failures: u64,
}

impl FlowEvidence {
    /// An open flow, if it is watched.
    pub fn flow(&self, key: &FlowKey) -> Option<&FlowRecord> {
        self.table.flows.get(key)
    }

    /// How many requests have failed since the start.
    pub fn failures(&self) -> u64 {
        self.failures
    }

    /// What flows of each route cost their upstreams.
    pub fn costs(&self) -> &FlowCosts {
        &self.costs
    }

    /// Flows watched that are open.
    pub fn open_flows(&self) -> usize {
        self.table.flows.len()
    }

    /// Handles a retransmitted SYN: earlier ones got no response in time.
    pub fn opening_copy(
        &mut self,
        now: Instant,
        key: &FlowKey,
        upstreams: &mut UpstreamTable,
    ) -> CopySeen {
        let mut seen = CopySeen::default();
        let Some(opening) = self.table.openings.get(key) else {
            return seen;
        };
        let blind = self.is_blind(now);
        for attempt in &opening.attempts {
            seen.tried.push(attempt.upstream);
            let (index, sent) = (attempt.upstream, attempt.sent);
            if !blind && upstreams.attempt_failed(index, now, sent, key.caller) {
                seen.avoided.push(attempt.upstream);
            }
        }
        seen
    }

    /// Handles a SYN that was parked: its earlier ones were counted before.
    pub fn resumed_copy(&self, key: &FlowKey) -> CopySeen {
        let mut seen = CopySeen::default();
        if let Some(opening) = self.table.openings.get(key) {
            let attempts = opening.attempts.iter();
            seen.tried.extend(attempts.map(|attempt| attempt.upstream));
        }
        seen
    }

    /// Records where a SYN was sent.
    pub fn opening_sent(
        &mut self,
        now: Instant,
        key: FlowKey,
        index: UpstreamIndex,
        upstreams: &mut UpstreamTable,
    ) {
        let openings = &mut self.table.openings;
        if openings.len() >= MOST_FLOWS && !openings.contains_key(&key) {
            return;
        }
        let opening = openings.entry(key).or_default();
        let known = opening
            .attempts
            .iter()
            .any(|attempt| attempt.upstream == index);
        let attempt = OpeningAttempt {
            upstream: index,
            sent: now,
        };
        if !known && opening.attempts.try_push(attempt).is_ok() {
            let config = upstreams.config().costs;
            let flow_cost = self.costs.expected_load(&config, key.service);
            let upstream = upstreams.get_mut(index);
            upstream.placed.add(upstream.load.updated_at, flow_cost);
            upstream.flows += 1;
            upstream.opening += 1;
        }
    }

    /// Handles a packet of an open flow with this upstream.
    pub fn packet(
        &mut self,
        now: Instant,
        key: FlowKey,
        head: &PacketHead,
        index: UpstreamIndex,
        upstreams: &mut UpstreamTable,
    ) -> PacketSeen {
        let mut seen = PacketSeen::default();
        let blind = self.is_blind(now);
        let opening = self.table.openings.remove(&key);
        if let Some(opening) = &opening {
            flow_load::release(opening, upstreams);
            seen.returned = upstreams.get_mut(index).silence.record_response(now);
        }
        let costs_config = upstreams.config().costs;
        if head.kind == PacketKind::Abort {
            if let Some(record) = self.table.flows.get_mut(&key) {
                let habit = self.habits.get(&key.service);
                self.failures += judge_unanswered(now, record, habit, blind, upstreams);
            }
            self.costs.end(&costs_config, now, &key);
            self.end(&key, upstreams);
            return seen;
        }
        let moved = self
            .flow(&key)
            .is_some_and(|record| record.upstream != index);
        if moved {
            self.end(&key, upstreams);
        }
        if self.flow(&key).is_none() && !self.begin(now, key, head, index, upstreams) {
            return seen;
        }
        if opening.is_some() {
            let service = upstreams.get(index).service;
            self.costs.begin(now, key, service);
        }
        let Some(record) = self.table.flows.get_mut(&key) else {
            return seen;
        };
        let waited_before = record.waiting_since;
        let pause = now.saturating_duration_since(record.last_seen);
        record.last_seen = now;
        flow_load::become_active(record, upstreams);
        let mut habit = self.habits.get_mut(&key.service);
        let next_turn = head.data_len > 0 && record.waiting_since.is_none() && record.is_unjudged();
        if let (Some(habit), true) = (&mut habit, next_turn) {
            habit.silence.learn(pause);
        }
        observe_answer(now, record, head, upstreams, &mut seen);
        if let (Some(habit), Some(took)) = (&mut habit, seen.answered) {
            habit.silence.learn(took);
            habit.response.learn(took);
        }
        let goes_on = head.data_len > 0 || head.last;
        if pause > ANSWER_MEMORY {
            record.judgement = RequestJudgement::Done;
        }
        if goes_on && record.waiting_since.is_none() && record.is_unjudged() {
            judge_answered(now, record, habit.as_deref_mut(), upstreams, &mut seen);
            self.failures += u64::from(seen.failed);
        }
        observe_data(now, record, head, upstreams, &mut seen);
        if seen.answered.is_some() {
            self.costs.set_waiting(&costs_config, now, &key, false);
        }
        if record.waiting_since.is_some() && record.waiting_since != waited_before {
            self.costs.set_waiting(&costs_config, now, &key, true);
        }
        if let (Some(waited), false) = (seen.repeated, blind) {
            seen.avoided = upstreams.attempt_failed(index, now, now - waited, key.caller);
        }
        if head.last && record.usage != FlowUsage::Closing {
            let habit = habit.as_deref();
            self.failures += judge_unanswered(now, record, habit, blind, upstreams);
            flow_load::close(record, upstreams);
            self.costs.end(&costs_config, now, &key);
        }
        seen
    }

    /// Removes a flow.
    pub fn end(&mut self, key: &FlowKey, upstreams: &mut UpstreamTable) {
        if let Some(opening) = self.table.openings.remove(key) {
            flow_load::release(&opening, upstreams);
        }
        self.costs.forget(key);
        if let Some(mut record) = self.table.flows.remove(key) {
            flow_load::leave(&mut record, upstreams);
        }
    }

    /// Removes every open flow of an upstream; returns them, and how far each caller has received.
    pub fn end_all(
        &mut self,
        index: UpstreamIndex,
        upstreams: &mut UpstreamTable,
    ) -> Vec<(FlowKey, u32)> {
        let flows = self.table.flows.iter();
        let ended: Vec<(FlowKey, u32)> = flows
            .filter(|(_key, record)| record.upstream == index && record.usage != FlowUsage::Closing)
            .map(|(key, record)| (*key, record.acked))
            .collect();
        for (key, _acked) in &ended {
            self.end(key, upstreams);
        }
        ended
    }

    fn is_blind(&self, now: Instant) -> bool {
        self.blind_until.is_some_and(|until| now < until)
    }

    /// Lets everybody who waits wait anew from now, for what they waited until now is unknown, and
    /// counts no attempt until what has piled up is read.
    pub fn restart_waits(&mut self, now: Instant) {
        self.blind_until = Some(now + BLIND_TIME);
        self.costs.forget_all();
        for record in self.table.flows.values_mut() {
            if record.waiting_since.is_some() {
                record.waiting_since = Some(now);
            }
        }
        for opening in self.table.openings.values_mut() {
            for attempt in &mut opening.attempts {
                attempt.sent = now;
            }
        }
    }

    /// Expires flows and SYNs; returns the upstreams that this ejects.
    pub fn tick(
        &mut self,
        now: Instant,
        idle: Option<Duration>,
        upstreams: &mut UpstreamTable,
    ) -> Vec<UpstreamIndex> {
        if self.next_sweep.is_some_and(|next| now < next) {
            return Vec::new();
        }
        self.next_sweep = Some(now + SWEEP_PAUSE);
        self.costs.tick(&upstreams.config().costs, now);
        self.sweep_flows(now, idle.unwrap_or(DEFAULT_IDLE), upstreams);
        self.sweep_openings(now, upstreams)
    }

    fn sweep_flows(&mut self, now: Instant, idle: Duration, upstreams: &mut UpstreamTable) {
        let blind = self.is_blind(now);
        let config = upstreams.config().load;
        self.table.flows.retain(|key, record| {
            let is_judged = record.usage == FlowUsage::Active || record.is_unjudged();
            let habit = is_judged.then(|| self.habits.get(&key.service)).flatten();
            self.failures += judge_unanswered(now, record, habit, blind, upstreams);
            let silent = now.saturating_duration_since(record.last_seen);
            if record.usage == FlowUsage::Active {
                let limit = habit.and_then(|habit| habit.silence.limit(&config));
                if limit.is_some_and(|limit| silent >= limit) {
                    flow_load::become_idle(record, upstreams);
                }
            }
            let life = if record.usage == FlowUsage::Closing {
                CLOSING_LIFE
            } else {
                idle
            };
            let keep = silent < life;
            if !keep {
                flow_load::leave(record, upstreams);
            }
            keep
        });
    }

    fn sweep_openings(
        &mut self,
        now: Instant,
        upstreams: &mut UpstreamTable,
    ) -> Vec<UpstreamIndex> {
        let mut avoided = Vec::new();
        let blind = self.is_blind(now);
        self.table.openings.retain(|key, opening| {
            let last = opening.attempts.last().map(|attempt| attempt.sent);
            let keep = last.is_some_and(|sent| now.saturating_duration_since(sent) < OPENING_LIFE);
            if !keep {
                for attempt in &opening.attempts {
                    let (index, sent) = (attempt.upstream, attempt.sent);
                    if !blind && upstreams.attempt_failed(index, now, sent, key.caller) {
                        avoided.push(attempt.upstream);
                    }
                }
                flow_load::release(opening, upstreams);
            }
            keep
        });
        avoided
    }

    /// Begins to watch a flow; false if there is no room.
    fn begin(
        &mut self,
        now: Instant,
        key: FlowKey,
        head: &PacketHead,
        index: UpstreamIndex,
        upstreams: &mut UpstreamTable,
    ) -> bool {
        if self.table.flows.len() >= MOST_FLOWS {
            return false;
        }
        upstreams.get_mut(index).flows += 1;
        let record = FlowRecord {
            upstream: index,
            acked: head.ack,
            sent: head.seq,
            waiting_since: None,
            answer_bytes: 0,
            judgement: RequestJudgement::Done,
            last_seen: now,
            usage: FlowUsage::Active,
        };
        self.table.flows.insert(key, record);
        if self.habits.len() < MOST_HABITS {
            self.habits.entry(key.service).or_default();
        }
        true
    }
}

/// A caller that has received more proves that the upstream answers.
fn observe_answer(
    now: Instant,
    record: &mut FlowRecord,
    head: &PacketHead,
    upstreams: &mut UpstreamTable,
    seen: &mut PacketSeen,
) {
    if !is_after(head.ack, record.acked) {
        return;
    }
    let received = head.ack.wrapping_sub(record.acked);
    let received = u16::try_from(received).unwrap_or(u16::MAX);
    record.answer_bytes = record.answer_bytes.saturating_add(received);
    record.acked = head.ack;
    seen.returned |= upstreams
        .get_mut(record.upstream)
        .silence
        .record_response(now);
    seen.answered = record
        .waiting_since
        .map(|since| now.saturating_duration_since(since));
    let prompt = upstreams.config().exchange.shed_wait;
    if record.is_unjudged() && seen.answered.is_some_and(|took| took <= prompt) {
        record.judgement = RequestJudgement::PendingPrompt;
    }
    flow_load::stop_waiting(record, upstreams);
}

/// New data begins a wait, for nobody answers before the last of it; data that was sent before and has had no answer is a failed attempt.
fn observe_data(
    now: Instant,
    record: &mut FlowRecord,
    head: &PacketHead,
    upstreams: &mut UpstreamTable,
    seen: &mut PacketSeen,
) {
    if head.data_len == 0 || record.usage == FlowUsage::Closing {
        return;
    }
    let fresh = is_after(head.seq_end(), record.sent);
    if fresh {
        record.sent = head.seq_end();
    }
    let Some(since) = record.waiting_since else {
        record.waiting_since = Some(now);
        record.answer_bytes = 0;
        record.judgement = RequestJudgement::Pending;
        flow_load::begin_waiting(record, upstreams);
        return;
    };
    if fresh {
        record.waiting_since = Some(now);
    } else {
        seen.repeated = Some(now.saturating_duration_since(since));
    }
}

/// Judges a request whose answer is complete: its caller goes on to the next, or ends its stream.
fn judge_answered(
    now: Instant,
    record: &mut FlowRecord,
    habit: Option<&mut RouteHabit>,
    upstreams: &mut UpstreamTable,
    seen: &mut PacketSeen,
) {
    let prompt = record.judgement == RequestJudgement::PendingPrompt;
    record.judgement = RequestJudgement::Done;
    let config = &upstreams.config().outlier;
    let bytes = record.answer_bytes;
    let short = habit
        .as_ref()
        .is_some_and(|habit| habit.answers.is_short(config, bytes));
    if short && prompt && is_shed(upstreams, record.upstream) {
        seen.shed = true;
        return;
    }
    if let Some(habit) = habit {
        habit.answers.learn(config, bytes);
    }
    seen.failed = short;
    let answers = &mut upstreams.get_mut(record.upstream).answers;
    if short {
        answers.erred(now);
    } else {
        answers.served(now);
    }
}

/// Judges a request that has waited too long for its answer, each once; returns 1 if it failed. On a
/// host that is `blind`, which was stalled, a wait does not count.
fn judge_unanswered(
    now: Instant,
    record: &mut FlowRecord,
    habit: Option<&RouteHabit>,
    blind: bool,
    upstreams: &mut UpstreamTable,
) -> u64 {
    let Some(sent) = record.waiting_since.filter(|_sent| record.is_unjudged()) else {
        return 0;
    };
    let waited = now.saturating_duration_since(sent);
    if blind || waited < failed_wait(record.upstream, habit, upstreams) {
        return 0;
    }
    record.judgement = RequestJudgement::Done;
    let upstream = upstreams.get_mut(record.upstream);
    upstream.answers.unanswered(now, sent);
    1
}

/// Wait after which a request counts as failed. In the queue of a contended service, requests wait longer
/// while nothing is at fault.
fn failed_wait(
    index: UpstreamIndex,
    habit: Option<&RouteHabit>,
    upstreams: &UpstreamTable,
) -> Duration {
    let config = &upstreams.config().outlier;
    let service = upstreams.get(index).service;
    if !upstreams.pool(service).is_contended {
        return config.failed_wait;
    }
    let response_time = habit.and_then(|habit| habit.response.of_at_least(FEWEST_RESPONSES));
    let usual = response_time.unwrap_or_default();
    config.failed_wait.max(usual * config.contended_times)
}
