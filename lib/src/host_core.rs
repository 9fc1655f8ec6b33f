//! The decision core of an entry host, which turns events and their times into actions.
//!
//! A frame of a caller may arrive at any host. The host that receives it computes the flow's owner
//! and forwards the frame there; the owner places flows, records requests and sends to upstreams.
//! The core is deterministic: the same events at the same times and the same seed give the same
//! actions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::config_snapshot::ConfigSnapshot;
use crate::config_snapshot::HostView;
use crate::flow_directory::DirectorySettings;
use crate::flow_directory::FlowDirectory;
use crate::flow_hash::FlowHasher;
use crate::group_heartbeat::GroupHeartbeat;
use crate::host_action::HostAction;
use crate::host_event::HostEvent;
use crate::host_status::HostStatus;
use crate::ids::FlowDigest;
use crate::ids::Generation;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::Version;
use crate::load_policy::LoadDecision;
use crate::load_policy::LoadPolicy;
use crate::membership::CLOCK_DRIFT_MARGIN;
use crate::membership::LEASE_DURATION;
use crate::membership::Membership;
use crate::owner_rank::flow_group;
use crate::owner_rank::flow_owner;
use crate::parked_frames::ParkedFrames;
use crate::request_system::FrameOrigin;
use crate::request_system::outcome_before_send;
use crate::request_table::RequestKey;
use crate::request_table::RequestStage;
use crate::request_table::RequestTable;
use crate::result_code::ResultCode;
use crate::takeover_system::with_elapsed_time;
use crate::wire_frame::CallerBody;
use crate::wire_frame::CallerFrame;
use crate::wire_frame::PeerBody;
use crate::wire_frame::PeerFrame;
use crate::wire_frame::RefusalBody;
use crate::wire_frame::RunOutcome;

/// Maximum time between two [`HostEvent::Tick`] events.
pub const TICK: Duration = Duration::from_millis(10);
/// Maximum number of times that a frame is forwarded between hosts.
///
/// The limit ends the loop between two hosts whose host lists differ and that each take the other
/// for the owner. The second hop lets a newer host list correct an older one. The third lets a host
/// that was queried for the record of a request forward the request to the host that queried it.
pub const MAX_HOPS: u8 = 3;

/// The settings of a host's decision core.
#[derive(Clone)]
pub struct CoreSettings {
    /// The host's number in the published host list.
    pub host: HostId,
    /// Generation of the process, larger at each start, such as the milliseconds since 1970.
    pub incarnation: Generation,
    /// When the process started.
    pub started: Instant,
    /// Key of the flow digests, shared by all hosts of a user.
    pub flow_key: [u8; 16],
    /// How long a flow without frames is kept.
    pub flow_idle: Duration,
    /// Maximum time that a datagram is in transit. A copy is assumed not to arrive later.
    pub max_datagram_age: Duration,
}

/// The decision core of one entry host.
pub struct HostCore {
    pub(crate) settings: CoreSettings,
    pub(crate) hasher: FlowHasher,
    pub(crate) config: Option<Arc<ConfigSnapshot>>,
    pub(crate) membership: Membership,
    pub(crate) flows: FlowDirectory,
    pub(crate) parked: ParkedFrames,
    pub(crate) requests: RequestTable,
    pub(crate) policy: Box<dyn LoadPolicy>,
    /// The host list that the load policy was last given.
    policy_hosts: Arc<HostView>,
    config_applied_at: Option<Instant>,
    /// Number of the next attempt. A process never reuses a number, so that parts of the answers to
    /// two attempts are never combined.
    pub(crate) next_attempt: u64,
    pub(crate) draining: bool,
    /// The drain is not complete before this time, so that peers learn that this host is leaving
    /// and can query its records. `None` without peers.
    linger_deadline: Option<Instant>,
    drained_reported: bool,
}

impl HostCore {
    /// Creates a core without configuration and without host list.
    pub fn new(settings: CoreSettings, policy: Box<dyn LoadPolicy>) -> Self {
        let flows = FlowDirectory::new(DirectorySettings::new(
            settings.host,
            settings.incarnation,
            settings.flow_idle,
        ));
        Self {
            hasher: FlowHasher::new(settings.flow_key),
            membership: Membership::new(
                settings.started,
                settings.host,
                settings.incarnation,
                settings.max_datagram_age,
            ),
            settings,
            config: None,
            flows,
            parked: ParkedFrames::default(),
            requests: RequestTable::default(),
            policy,
            policy_hosts: Arc::default(),
            config_applied_at: None,
            next_attempt: 1,
            draining: false,
            linger_deadline: None,
            drained_reported: false,
        }
    }

    /// Handles an event that happened at `now` and appends the resulting actions to `actions`.
    ///
    /// `now` must not be earlier than in a previous call.
    pub fn handle(&mut self, now: Instant, event: HostEvent, actions: &mut Vec<HostAction>) {
        self.membership.detect_stall(now);
        match event {
            HostEvent::CallerFrame { caller, frame } => {
                let origin = FrameOrigin {
                    caller,
                    hops: 0,
                    read: Some(now),
                };
                let view = self.membership.view().version;
                self.route_caller_frame(now, origin, frame, view, actions);
            }
            HostEvent::PeerFrame(frame) => self.handle_peer_frame(now, frame, actions),
            HostEvent::UpstreamFrame { source, frame } => {
                self.handle_upstream_frame(now, source, frame, actions);
            }
            HostEvent::Config(config) => self.apply_config(now, config),
            HostEvent::Hosts(hosts) => {
                self.membership.learn_hosts(now, &hosts);
                self.update_policy_hosts(now);
            }
            HostEvent::UpstreamReport(report) => self.policy.handle_report(now, report),
            HostEvent::Drain => self.start_drain(now, actions),
            HostEvent::Tick => {
                self.tick(now, actions);
                self.report_drained(now, actions);
            }
        }
        if self.membership.usable() != self.policy_hosts.alive {
            self.update_policy_hosts(now);
            self.update_owner_view(now, actions);
        }
    }

    /// Returns the status of this host for operators.
    pub fn status(&self, now: Instant) -> HostStatus {
        HostStatus {
            host: self.settings.host,
            config_version: self.config_version(),
            config_age: self
                .config_applied_at
                .map(|since| now.saturating_duration_since(since)),
            host_list_version: self.membership.view().version,
            hosts_alive: self.membership.usable().len(),
            holds_claim: self.membership.leases().holds_claim(now),
            settling: self.membership.leases().is_settling(now),
            draining: self.draining,
            flows: self.flows.len(),
            requests: self.requests.in_progress(),
        }
    }

    /// The version of the configuration in force; `None` before the first.
    pub fn config_version(&self) -> Option<Version> {
        self.config.as_ref().map(|config| config.version)
    }

    /// Returns the time since which this host has been the only one that may accept non-idempotent
    /// requests of a flow; `None` if it may not at present.
    pub fn may_accept_since(&self, now: Instant, flow: FlowDigest) -> Option<Instant> {
        self.accepting_since(now, flow)
    }

    /// The number of flows that this host owns.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// The number of requests without an outcome.
    pub fn requests_in_progress(&self) -> usize {
        self.requests.in_progress()
    }

    /// Applies a configuration if it is newer than the one in force. Replicas and peers deliver
    /// copies in any order, and an older one would bring back upstreams that operators have
    /// removed.
    fn apply_config(&mut self, now: Instant, config: Arc<ConfigSnapshot>) {
        let current = self.config.as_ref();
        if current.is_some_and(|current| config.version <= current.version) {
            return;
        }
        self.policy.configure(now, &config);
        self.flows.configure(&config);
        self.config = Some(config);
        self.config_applied_at = Some(now);
    }

    /// Handles a caller's frame on this host or forwards it to its destination.
    ///
    /// `view` is the version of the host list by which the sender chose this host. A frame sent by
    /// a newer host list than this host's is handled here, because the sender's choice of the owner
    /// is more recent.
    fn route_caller_frame(
        &mut self,
        now: Instant,
        origin: FrameOrigin,
        frame: CallerFrame,
        view: Version,
        actions: &mut Vec<HostAction>,
    ) {
        let FrameOrigin { caller, hops, .. } = origin;
        let digest = self.hasher.digest(frame.service, caller, frame.flow);
        let is_recorded = self.has_record(digest, &frame.body);
        if !is_recorded && self.has_uncertain_age(now, origin, &frame.body) {
            actions.push(HostAction::Count(ResultCode::FrameStale));
            return;
        }
        let target = self.destination(digest, &frame.body, hops);
        // A leaving host accepts nothing new, so it forwards frames even at the limit of hops. The
        // receiver sees that the limit is reached and does not send them back.
        let is_limited = hops >= MAX_HOPS || view > self.membership.view().version;
        let is_final = is_limited && !self.draining;
        if is_recorded || is_final || target == self.settings.host {
            self.handle_owned_frame(now, origin, digest, &frame, actions);
            return;
        }
        let frame = with_elapsed_time(frame, now, origin.read, Duration::ZERO);
        let hops = MAX_HOPS.min(hops + 1);
        self.send_caller_frame(target, hops, caller, frame, actions);
    }

    /// Whether this host has a record of the request that a frame refers to.
    fn has_record(&self, flow: FlowDigest, body: &CallerBody) -> bool {
        let request = match body {
            CallerBody::Request(request) => request.request,
            CallerBody::Ack { request } | CallerBody::Cancel { request } => *request,
            _ => return false,
        };
        self.requests.get(RequestKey { flow, request }).is_some()
    }

    /// Whether a non-idempotent request may be older than the age it states.
    ///
    /// It may have waited on this host during a stall, or come from a host without a heartbeat echo
    /// that dates it. With too small an age, a request that a previous owner has run would be
    /// accepted as new. The request is therefore dropped; the caller sends it again with its true
    /// age.
    fn has_uncertain_age(&self, now: Instant, origin: FrameOrigin, body: &CallerBody) -> bool {
        let CallerBody::Request(request) = body else {
            return false;
        };
        let has_reliable_age = origin.read.is_some() && !self.membership.may_read_backlog(now);
        !request.idempotent && !has_reliable_age
    }

    /// Returns the host that handles a frame: for a non-idempotent request, and for its
    /// acknowledgement or cancellation as it comes from the caller, the accepting host; for other
    /// frames the owner of the flow.
    fn destination(&self, digest: FlowDigest, body: &CallerBody, hops: u8) -> HostId {
        match body {
            CallerBody::Request(request) if !request.idempotent => self.accepting_host(digest),
            CallerBody::Ack { .. } | CallerBody::Cancel { .. } if hops == 0 => {
                self.accepting_host(digest)
            }
            _ => self.owner_of(digest),
        }
    }

    fn handle_peer_frame(&mut self, now: Instant, frame: PeerFrame, actions: &mut Vec<HostAction>) {
        if frame.hops > MAX_HOPS {
            actions.push(HostAction::Count(ResultCode::HopsExceeded));
            return;
        }
        let sender = frame.sender;
        if self.membership.entry(sender).is_none() {
            actions.push(HostAction::Count(ResultCode::PeerUnknown));
            return;
        }
        match frame.body {
            PeerBody::FromCaller {
                caller,
                view,
                echo,
                frame: inner,
            } => {
                let leases = self.membership.leases();
                let origin = FrameOrigin {
                    caller,
                    hops: frame.hops,
                    read: echo.and_then(|echo| leases.sent_at(echo)),
                };
                self.route_caller_frame(now, origin, inner, view, actions);
            }
            PeerBody::FromUpstream(inner) => self.handle_owned_upstream_frame(now, inner, actions),
            PeerBody::Load(message) => {
                let mut decisions = Vec::new();
                self.policy
                    .handle_message(now, sender, &message, &mut decisions);
                self.execute_decisions(now, decisions, actions);
            }
            PeerBody::Heartbeat(heartbeat) => self.membership.take(now, sender, &heartbeat),
            PeerBody::Flow { parties, message } => {
                let mut commands = Vec::new();
                self.flows
                    .handle_message(now, sender, parties, &message, &mut commands);
                self.execute_flow_commands(now, commands, actions);
            }
            PeerBody::Query(query) => self.handle_query(now, sender, &query, actions),
            PeerBody::Reply(reply) => self.handle_reply(now, sender, &reply, actions),
        }
    }

    /// Returns the owner of a flow: the highest-ranked usable host of the flow's ownership group.
    pub(crate) fn owner_of(&self, digest: FlowDigest) -> HostId {
        let group = flow_group(digest, self.membership.groups());
        let owner = match group {
            Some(group) if group != self.membership.group() => self.owner_in_group(group, digest),
            _ => flow_owner(digest, self.membership.usable().iter().copied()),
        };
        owner.unwrap_or(self.settings.host)
    }

    /// Returns the owner in another ownership group. No heartbeats come from there, so the usable
    /// hosts are those of the control daemon's host list.
    fn owner_in_group(&self, group: GroupId, digest: FlowDigest) -> Option<HostId> {
        let view = self.membership.view();
        let alive = view.alive.iter().copied();
        let in_group = |id: &HostId| view.host(*id).is_some_and(|entry| entry.cell == group);
        flow_owner(digest, alive.filter(in_group))
    }

    /// Returns the host that may accept non-idempotent requests of a flow: the highest-ranked host
    /// that holds its lease.
    pub(crate) fn accepting_host(&self, digest: FlowDigest) -> HostId {
        let group = flow_group(digest, self.membership.groups());
        if group.is_some_and(|group| group != self.membership.group()) {
            return self.owner_of(digest);
        }
        let lease_holders = self.membership.lease_holders().iter().copied();
        flow_owner(digest, lease_holders).unwrap_or_else(|| self.owner_of(digest))
    }

    pub(crate) fn send_caller_frame(
        &self,
        host: HostId,
        hops: u8,
        caller: SocketAddr,
        frame: CallerFrame,
        actions: &mut Vec<HostAction>,
    ) {
        let view = self.membership.view().version;
        let body = PeerBody::FromCaller {
            caller,
            view,
            echo: self.membership.leases().echo_for(host),
            frame,
        };
        self.send_peer(host, hops, body, actions);
    }

    pub(crate) fn send_peer(
        &self,
        host: HostId,
        hops: u8,
        body: PeerBody,
        actions: &mut Vec<HostAction>,
    ) {
        let Some(entry) = self.membership.entry(host) else {
            actions.push(HostAction::Count(ResultCode::PeerUnknown));
            return;
        };
        let sender = self.settings.host;
        actions.push(HostAction::ToPeer {
            host,
            address: entry.peer_address,
            frame: PeerFrame { sender, hops, body },
        });
    }

    /// Executes the decisions of the load policy.
    pub(crate) fn execute_decisions(
        &mut self,
        now: Instant,
        decisions: Vec<LoadDecision>,
        actions: &mut Vec<HostAction>,
    ) {
        for decision in decisions {
            match decision {
                LoadDecision::Send { key, upstream } => {
                    self.send_attempt(now, key, upstream, actions);
                }
                LoadDecision::Tell { host, message } => {
                    self.send_peer(host, 1, PeerBody::Load(message), actions);
                }
                LoadDecision::Refuse {
                    key,
                    code,
                    retry_after,
                } => {
                    let refusal = RefusalBody {
                        request: Some(key.request),
                        code,
                        outcome: self.current_outcome(key),
                        retry_after,
                    };
                    self.refuse_request(key, refusal, actions);
                }
            }
        }
    }

    /// Returns what is known at present of whether a request ran.
    fn current_outcome(&self, key: RequestKey) -> RunOutcome {
        match self.requests.get(key) {
            Some(record) if matches!(record.stage, RequestStage::Waiting) => {
                outcome_before_send(record)
            }
            _ => RunOutcome::Unknown,
        }
    }

    /// Gives the load policy the host list with the hosts that are usable by their heartbeats.
    fn update_policy_hosts(&mut self, now: Instant) {
        let view = self.membership.view();
        self.policy_hosts = Arc::new(HostView {
            version: view.version,
            published: view.published.clone(),
            alive: self.membership.usable().to_vec(),
        });
        self.policy.learn_hosts(now, &self.policy_hosts);
    }

    fn start_drain(&mut self, now: Instant, actions: &mut Vec<HostAction>) {
        if self.draining {
            return;
        }
        self.draining = true;
        let has_peers = self.membership.members().len() > 1;
        if has_peers {
            let linger = LEASE_DURATION + CLOCK_DRIFT_MARGIN + self.settings.max_datagram_age;
            self.linger_deadline = Some(now + linger);
        }
        let heartbeats = self.membership.leave(now);
        self.send_heartbeats(heartbeats, actions);
    }

    pub(crate) fn send_heartbeats(
        &self,
        heartbeats: Vec<(HostId, GroupHeartbeat)>,
        actions: &mut Vec<HostAction>,
    ) {
        for (host, heartbeat) in heartbeats {
            self.send_peer(host, 1, PeerBody::Heartbeat(heartbeat), actions);
        }
    }

    /// Reports a drain as complete, once, when no request is in progress, the flows are handed over
    /// and no copy of a request that only this host has a record of can arrive any more.
    ///
    /// It reads every record and is therefore called once a tick, not for each datagram.
    fn report_drained(&mut self, now: Instant, actions: &mut Vec<HostAction>) {
        if !self.draining || self.drained_reported {
            return;
        }
        if self.linger_deadline.is_some_and(|deadline| now < deadline) {
            return;
        }
        let has_peers = self.linger_deadline.is_some();
        let may_receive_copies = has_peers && self.requests.may_receive_copies(now);
        let is_handed_over = !has_peers || self.flows.is_handed_over();
        if self.requests.in_progress() == 0 && !may_receive_copies && is_handed_over {
            self.drained_reported = true;
            actions.push(HostAction::Drained);
        }
    }
}

/// Builds a frame to the caller of the flow of `frame`.
pub(crate) fn reply(frame: &CallerFrame, body: CallerBody) -> CallerFrame {
    CallerFrame {
        service: frame.service,
        flow: frame.flow,
        body,
    }
}
