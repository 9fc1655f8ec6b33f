//! Tracks flows by their callers' packets and derives the load and the failures of upstreams from
//! them.

use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use arrayvec::ArrayVec;
use foldhash::HashMap;

use crate::flows::flow_cost::FlowCosts;
use crate::flows::flow_load;
use crate::flows::flow_table::FlowActivity;
use crate::flows::flow_table::FlowKey;
use crate::flows::flow_table::FlowRecord;
use crate::flows::flow_table::FlowTable;
use crate::flows::flow_table::MAX_FLOWS;
use crate::flows::flow_table::MAX_TRIED_UPSTREAMS;
use crate::flows::flow_table::RequestClassification;
use crate::flows::flow_table::SynAttempt;
use crate::flows::route_stats::RouteStats;
use crate::ids::UpstreamIndex;
use crate::load::shed_detection::is_shed;
use crate::packet_head::PacketHead;
use crate::packet_head::PacketKind;
use crate::packet_head::is_after;
use crate::upstreams::upstream_table::UpstreamTable;

/// Time for which a half-open flow is tracked. Callers give up 1.4 s after the first SYN.
const HALF_OPEN_TIMEOUT: Duration = Duration::from_millis(1600);

/// Time for which a flow is tracked after its caller ended its stream, so that its last packets are
/// not taken for a new flow.
const CLOSING_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which a silent flow is tracked while no configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time after a stall of this process during which unanswered attempts do not count.
/// Retransmissions of old packets are then queued in its socket, and callers whose flows moved to
/// other hosts need some time to return.
const STALL_GRACE: Duration = Duration::from_secs(1);

/// Interval between searches of the tables for expired flows. A search of 20,000 flows takes 0.1
/// ms.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum pause of a flow after which its last response still counts. Callers keep flows open, so
/// a response shed in a burst would otherwise count when its flow is closed for idleness 12 s
/// later.
const MAX_RESPONSE_AGE: Duration = Duration::from_secs(2);

/// Maximum number of routes with statistics: three times the service addresses of a zone of the
/// target size, 0.2 MB. Responses on other routes are not classified by their size, and flows on
/// them count as load until their idle timeout.
const MAX_ROUTE_STATS: usize = 4096;

/// Minimum number of responses of a route before its mean response time extends the failure
/// timeout.
const MIN_RESPONSES: u64 = 16;

/// What a retransmitted SYN reveals.
#[derive(Debug, Default)]
pub struct SynObservations {
    /// Upstreams that earlier SYNs of the flow were sent to.
    pub tried: ArrayVec<UpstreamIndex, MAX_TRIED_UPSTREAMS>,
    /// Upstreams that this SYN ejects.
    pub ejected: ArrayVec<UpstreamIndex, MAX_TRIED_UPSTREAMS>,
}

/// What a packet of an established flow reveals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PacketObservations {
    /// Time from the request to the start of its response, if the response began.
    pub response_time: Option<Duration>,
    /// Time that the request has waited, if the caller retransmitted it.
    pub retransmitted_after: Option<Duration>,
    /// Whether the packet ejects the upstream.
    pub ejected: bool,
    /// Whether the previous response was an error by which the upstream shed the request for lack
    /// of capacity.
    pub shed: bool,
    /// Whether the previous response was an error by which the upstream failed the request.
    pub failed: bool,
    /// Whether the upstream was ejected and has responded.
    pub recovered: bool,
}

/// Flows that pass through this host, and the observations derived from them.
#[derive(Debug, Default)]
pub struct FlowTracker {
    table: FlowTable,
    next_sweep: Option<Instant>,
    /// End of the time after a stall of this process during which unanswered attempts do not count,
    /// because the packets queued in its socket are read first.
    stall_grace_until: Option<Instant>,
    /// Statistics of each route's requests; at most [`MAX_ROUTE_STATS`] entries.
    route_stats: HashMap<SocketAddrV4, RouteStats>,
    /// Costs of the flows of each route.
    costs: FlowCosts,
    /// Number of failed requests.
    failures: u64,
}

impl FlowTracker {
    /// Returns an established flow, if it is tracked.
    pub fn flow(&self, key: &FlowKey) -> Option<&FlowRecord> {
        self.table.flows.get(key)
    }

    /// Returns the number of failed requests since the start.
    pub fn failures(&self) -> u64 {
        self.failures
    }

    /// Returns the costs of the flows of each route.
    pub fn costs(&self) -> &FlowCosts {
        &self.costs
    }

    /// Returns the number of tracked established flows.
    pub fn open_flows(&self) -> usize {
        self.table.flows.len()
    }

    /// Handles a retransmitted SYN, which shows that earlier ones got no response in time.
    pub fn syn_retransmitted(
        &mut self,
        now: Instant,
        key: &FlowKey,
        upstreams: &mut UpstreamTable,
    ) -> SynObservations {
        let mut observations = SynObservations::default();
        let in_grace = self.in_stall_grace(now);
        let Some(half_open_flow) = self.table.half_open.get_mut(key) else {
            return observations;
        };
        half_open_flow.is_retransmitted = true;
        for attempt in &half_open_flow.attempts {
            observations.tried.push(attempt.upstream);
            let (index, sent) = (attempt.upstream, attempt.sent);
            if !in_grace && upstreams.attempt_failed(index, now, sent) {
                observations.ejected.push(attempt.upstream);
            }
        }
        observations
    }

    /// Returns the upstreams of earlier SYNs for a SYN that was parked. Unlike
    /// [`Self::syn_retransmitted`], it counts no failed attempts, since they were counted before
    /// the SYN was parked.
    pub fn earlier_attempts(&self, key: &FlowKey) -> SynObservations {
        let mut observations = SynObservations::default();
        if let Some(half_open_flow) = self.table.half_open.get(key) {
            let attempts = half_open_flow.attempts.iter();
            observations
                .tried
                .extend(attempts.map(|attempt| attempt.upstream));
        }
        observations
    }

    /// Records that a SYN was sent to an upstream.
    pub fn syn_forwarded(
        &mut self,
        now: Instant,
        key: FlowKey,
        index: UpstreamIndex,
        upstreams: &mut UpstreamTable,
    ) {
        let half_open = &mut self.table.half_open;
        if half_open.len() >= MAX_FLOWS && !half_open.contains_key(&key) {
            return;
        }
        let half_open_flow = half_open.entry(key).or_default();
        let is_attempted = half_open_flow
            .attempts
            .iter()
            .any(|attempt| attempt.upstream == index);
        let attempt = SynAttempt {
            upstream: index,
            sent: now,
        };
        if !is_attempted && half_open_flow.attempts.try_push(attempt).is_ok() {
            let config = upstreams.config().costs;
            let flow_cost = self.costs.expected_load(&config, key.service);
            let upstream = upstreams.get_mut(index);
            upstream.placed.add(upstream.load.updated_at, flow_cost);
            upstream.flows += 1;
            upstream.opening += 1;
        }
    }

    /// Handles a packet of an established flow with this upstream.
    pub fn handle_packet(
        &mut self,
        now: Instant,
        key: FlowKey,
        head: &PacketHead,
        index: UpstreamIndex,
        upstreams: &mut UpstreamTable,
    ) -> PacketObservations {
        let mut observations = PacketObservations::default();
        let in_grace = self.in_stall_grace(now);
        let half_open_flow = self.table.half_open.remove(&key);
        if let Some(half_open_flow) = &half_open_flow {
            flow_load::release_attempts(half_open_flow, upstreams);
            observations.recovered = upstreams
                .get_mut(index)
                .failure_detector
                .record_response(now);
        }
        let costs_config = upstreams.config().costs;
        if head.kind == PacketKind::Abort {
            if let Some(record) = self.table.flows.get_mut(&key) {
                let stats = self.route_stats.get(&key.service);
                self.failures += classify_timed_out(now, record, stats, in_grace, upstreams);
            }
            self.costs.end(&costs_config, now, &key);
            self.remove_flow(&key, upstreams);
            return observations;
        }
        let moved = self
            .flow(&key)
            .is_some_and(|record| record.upstream != index);
        if moved {
            self.remove_flow(&key, upstreams);
        }
        if self.flow(&key).is_none() && !self.track(now, key, head, index, upstreams) {
            return observations;
        }
        if half_open_flow.is_some() {
            let service = upstreams.get(index).service;
            self.costs.start_measuring(now, key, service);
        }
        let Some(record) = self.table.flows.get_mut(&key) else {
            return observations;
        };
        let previous_waiting_since = record.waiting_since;
        let pause = now.saturating_duration_since(record.last_seen);
        record.last_seen = now;
        flow_load::mark_active(record, upstreams);
        let mut stats = self.route_stats.get_mut(&key.service);
        let is_next_request =
            head.data_len > 0 && record.waiting_since.is_none() && record.is_unclassified();
        if let (Some(stats), true) = (&mut stats, is_next_request) {
            stats.pauses.record(pause);
        }
        observe_ack(now, record, head, upstreams, &mut observations);
        if let (Some(stats), Some(took)) = (&mut stats, observations.response_time) {
            stats.pauses.record(took);
            stats.response_times.record(took);
        }
        let is_continued = head.data_len > 0 || head.last;
        if pause > MAX_RESPONSE_AGE {
            record.classification = RequestClassification::Done;
        }
        if is_continued && record.waiting_since.is_none() && record.is_unclassified() {
            classify_answered(
                now,
                record,
                stats.as_deref_mut(),
                upstreams,
                &mut observations,
            );
            self.failures += u64::from(observations.failed);
        }
        observe_data(now, record, head, upstreams, &mut observations);
        if observations.response_time.is_some() {
            self.costs.set_waiting(&costs_config, now, &key, false);
        }
        if record.waiting_since.is_some() && record.waiting_since != previous_waiting_since {
            self.costs.set_waiting(&costs_config, now, &key, true);
        }
        if let (Some(waited), false) = (observations.retransmitted_after, in_grace) {
            observations.ejected = upstreams.request_failed(index, now, now - waited, key.caller);
        }
        if head.last && record.activity != FlowActivity::Closing {
            let stats = stats.as_deref();
            self.failures += classify_timed_out(now, record, stats, in_grace, upstreams);
            flow_load::mark_closing(record, upstreams);
            self.costs.end(&costs_config, now, &key);
        }
        observations
    }

    /// Removes a flow.
    pub fn remove_flow(&mut self, key: &FlowKey, upstreams: &mut UpstreamTable) {
        if let Some(half_open_flow) = self.table.half_open.remove(key) {
            flow_load::release_attempts(&half_open_flow, upstreams);
        }
        self.costs.discard(key);
        if let Some(mut record) = self.table.flows.remove(key) {
            flow_load::stop_counting(&mut record, upstreams);
        }
    }

    /// Removes every established flow of an upstream. Returns them with the sequence number up to
    /// which each caller has received.
    pub fn end_upstream_flows(
        &mut self,
        index: UpstreamIndex,
        upstreams: &mut UpstreamTable,
    ) -> Vec<(FlowKey, u32)> {
        let flows = self.table.flows.iter();
        let ended: Vec<(FlowKey, u32)> = flows
            .filter(|(_key, record)| {
                record.upstream == index && record.activity != FlowActivity::Closing
            })
            .map(|(key, record)| (*key, record.acked))
            .collect();
        for (key, _acked) in &ended {
            self.remove_flow(key, upstreams);
        }
        ended
    }

    fn in_stall_grace(&self, now: Instant) -> bool {
        self.stall_grace_until.is_some_and(|until| now < until)
    }

    /// Restarts all waits from now after a stall of this process, because the time waited so
    /// far is unknown, and ignores attempts until the queued packets have been read.
    pub fn reset_waits(&mut self, now: Instant) {
        self.stall_grace_until = Some(now + STALL_GRACE);
        self.costs.discard_all();
        for record in self.table.flows.values_mut() {
            if record.waiting_since.is_some() {
                record.waiting_since = Some(now);
            }
        }
        for half_open_flow in self.table.half_open.values_mut() {
            for attempt in &mut half_open_flow.attempts {
                attempt.sent = now;
            }
        }
    }

    /// Expires established and half-open flows. Returns the upstreams that this ejects.
    pub fn tick(
        &mut self,
        now: Instant,
        idle: Option<Duration>,
        upstreams: &mut UpstreamTable,
    ) -> Vec<UpstreamIndex> {
        if self.next_sweep.is_some_and(|next| now < next) {
            return Vec::new();
        }
        self.next_sweep = Some(now + SWEEP_INTERVAL);
        self.costs.tick(&upstreams.config().costs, now);
        self.sweep_flows(now, idle.unwrap_or(DEFAULT_IDLE_TIMEOUT), upstreams);
        self.sweep_half_open(now, upstreams)
    }

    fn sweep_flows(&mut self, now: Instant, idle: Duration, upstreams: &mut UpstreamTable) {
        let in_grace = self.in_stall_grace(now);
        let config = upstreams.config().load;
        self.table.flows.retain(|key, record| {
            let needs_stats = record.activity == FlowActivity::Active || record.is_unclassified();
            let stats = needs_stats
                .then(|| self.route_stats.get(&key.service))
                .flatten();
            self.failures += classify_timed_out(now, record, stats, in_grace, upstreams);
            let silent = now.saturating_duration_since(record.last_seen);
            if record.activity == FlowActivity::Active {
                let limit = stats.and_then(|stats| stats.pauses.idle_threshold(&config));
                if limit.is_some_and(|limit| silent >= limit) {
                    flow_load::mark_idle(record, upstreams);
                }
            }
            let timeout = if record.activity == FlowActivity::Closing {
                CLOSING_TIMEOUT
            } else {
                idle
            };
            let keep = silent < timeout;
            if !keep {
                flow_load::stop_counting(record, upstreams);
            }
            keep
        });
    }

    /// Expires half-open flows. Returns the upstreams that this ejects.
    ///
    /// A flow without a retransmission leaves no unanswered attempt: a caller without a response
    /// sends its SYN again, so that the handshake went on through another host or the caller has
    /// gone.
    fn sweep_half_open(
        &mut self,
        now: Instant,
        upstreams: &mut UpstreamTable,
    ) -> Vec<UpstreamIndex> {
        let mut ejected = Vec::new();
        let in_grace = self.in_stall_grace(now);
        self.table.half_open.retain(|_key, half_open_flow| {
            let last = half_open_flow.attempts.last().map(|attempt| attempt.sent);
            let keep =
                last.is_some_and(|sent| now.saturating_duration_since(sent) < HALF_OPEN_TIMEOUT);
            if !keep {
                let counts = half_open_flow.is_retransmitted && !in_grace;
                for attempt in &half_open_flow.attempts {
                    let (index, sent) = (attempt.upstream, attempt.sent);
                    if counts && upstreams.attempt_failed(index, now, sent) {
                        ejected.push(attempt.upstream);
                    }
                }
                flow_load::release_attempts(half_open_flow, upstreams);
            }
            keep
        });
        ejected
    }

    /// Starts to track a flow. Returns false if the table is full.
    fn track(
        &mut self,
        now: Instant,
        key: FlowKey,
        head: &PacketHead,
        index: UpstreamIndex,
        upstreams: &mut UpstreamTable,
    ) -> bool {
        if self.table.flows.len() >= MAX_FLOWS {
            return false;
        }
        upstreams.get_mut(index).flows += 1;
        let record = FlowRecord {
            upstream: index,
            acked: head.ack,
            sent: head.seq,
            waiting_since: None,
            response_bytes: 0,
            classification: RequestClassification::Done,
            last_seen: now,
            activity: FlowActivity::Active,
        };
        self.table.flows.insert(key, record);
        if self.route_stats.len() < MAX_ROUTE_STATS {
            self.route_stats.entry(key.service).or_default();
        }
        true
    }
}

/// Handles the acknowledgement number of a packet. An advance proves that the upstream responds.
fn observe_ack(
    now: Instant,
    record: &mut FlowRecord,
    head: &PacketHead,
    upstreams: &mut UpstreamTable,
    observations: &mut PacketObservations,
) {
    if !is_after(head.ack, record.acked) {
        return;
    }
    let received = head.ack.wrapping_sub(record.acked);
    let received = u16::try_from(received).unwrap_or(u16::MAX);
    record.response_bytes = record.response_bytes.saturating_add(received);
    record.acked = head.ack;
    observations.recovered |= upstreams
        .get_mut(record.upstream)
        .failure_detector
        .record_response(now);
    observations.response_time = record
        .waiting_since
        .map(|since| now.saturating_duration_since(since));
    let max_delay = upstreams.config().exchange.max_shed_delay;
    if record.is_unclassified()
        && observations
            .response_time
            .is_some_and(|took| took <= max_delay)
    {
        record.classification = RequestClassification::PendingFastResponse;
    }
    flow_load::stop_waiting(record, upstreams);
}

/// Handles the data of a packet. New data starts the wait anew, since a response begins only after
/// the last of it. Data that was sent before and has had no response is a failed attempt.
fn observe_data(
    now: Instant,
    record: &mut FlowRecord,
    head: &PacketHead,
    upstreams: &mut UpstreamTable,
    observations: &mut PacketObservations,
) {
    if head.data_len == 0 || record.activity == FlowActivity::Closing {
        return;
    }
    let is_new = is_after(head.seq_end(), record.sent);
    if is_new {
        record.sent = head.seq_end();
    }
    let Some(since) = record.waiting_since else {
        record.waiting_since = Some(now);
        record.response_bytes = 0;
        record.classification = RequestClassification::Pending;
        flow_load::begin_waiting(record, upstreams);
        return;
    };
    if is_new {
        record.waiting_since = Some(now);
    } else {
        observations.retransmitted_after = Some(now.saturating_duration_since(since));
    }
}

/// Classifies a request whose response is complete, since its caller sends the next request or ends
/// its stream.
fn classify_answered(
    now: Instant,
    record: &mut FlowRecord,
    stats: Option<&mut RouteStats>,
    upstreams: &mut UpstreamTable,
    observations: &mut PacketObservations,
) {
    let was_fast = record.classification == RequestClassification::PendingFastResponse;
    record.classification = RequestClassification::Done;
    let config = &upstreams.config().outlier;
    let bytes = record.response_bytes;
    let is_short = stats
        .as_ref()
        .is_some_and(|stats| stats.response_sizes.is_short(config, bytes));
    if is_short && was_fast && is_shed(upstreams, record.upstream) {
        observations.shed = true;
        return;
    }
    if let Some(stats) = stats {
        stats.response_sizes.record(config, bytes);
    }
    observations.failed = is_short;
    let outlier_detector = &mut upstreams.get_mut(record.upstream).outlier_detector;
    if is_short {
        outlier_detector.record_error(now);
    } else {
        outlier_detector.record_served(now);
    }
}

/// Classifies a request that has waited too long for its response, once per request. Returns 1 if
/// it failed. Waits do not count during the grace time after a stall (`in_grace`).
fn classify_timed_out(
    now: Instant,
    record: &mut FlowRecord,
    stats: Option<&RouteStats>,
    in_grace: bool,
    upstreams: &mut UpstreamTable,
) -> u64 {
    let Some(sent) = record
        .waiting_since
        .filter(|_sent| record.is_unclassified())
    else {
        return 0;
    };
    let waited = now.saturating_duration_since(sent);
    if in_grace || waited < failure_timeout(record.upstream, stats, upstreams) {
        return 0;
    }
    record.classification = RequestClassification::Done;
    let upstream = upstreams.get_mut(record.upstream);
    upstream.outlier_detector.record_timeout(now, sent);
    1
}

/// Returns the wait after which a request counts as failed. Requests to a contended service wait
/// longer in its queue without any fault.
fn failure_timeout(
    index: UpstreamIndex,
    stats: Option<&RouteStats>,
    upstreams: &UpstreamTable,
) -> Duration {
    let config = &upstreams.config().outlier;
    let service = upstreams.get(index).service;
    if !upstreams.pool(service).is_contended {
        return config.failure_timeout;
    }
    let response_time =
        stats.and_then(|stats| stats.response_times.with_min_samples(MIN_RESPONSES));
    let usual = response_time.unwrap_or_default();
    config
        .failure_timeout
        .max(usual * config.contended_timeout_factor)
}
