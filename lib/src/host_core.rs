//! The one door to a host's decisions: events and the present time in, actions out.
//!
//! A frame of a caller may arrive at any host. The host that receives it computes the flow's owner
//! and forwards the frame there; the owner places flows, remembers requests and talks to upstreams.
//! Given the same events at the same times and the same seed, the actions are the same.

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
use crate::ids::CellId;
use crate::ids::FlowDigest;
use crate::ids::HostId;
use crate::ids::Incarnation;
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

/// Longest time between two [`HostEvent::Tick`] events.
pub const TICK: Duration = Duration::from_millis(10);
/// How often a frame may be forwarded between hosts whose views differ.
///
/// Two hosts that each believe the other to be the owner would send a frame to and fro for ever;
/// the limit ends that. The second hop lets a newer view correct an older one, and the third lets a
/// host that was asked about a request point to the one that asked.
pub const MAX_HOPS: u8 = 3;

/// What a host knows of itself.
#[derive(Clone)]
pub struct CoreSettings {
    /// Its number in the published host list.
    pub host: HostId,
    /// Larger with each start of the process, such as the milliseconds since 1970.
    pub incarnation: Incarnation,
    /// When the process started.
    pub started: Instant,
    /// Key that the user's hosts share, for digests of flows.
    pub flow_key: [u8; 16],
    /// How long a silent flow is kept.
    pub flow_idle: Duration,
    /// Longest time that a datagram may be under way; a later copy is assumed not to exist.
    pub max_datagram_age: Duration,
}

/// The decisions of one entry host.
pub struct HostCore {
    pub(crate) settings: CoreSettings,
    pub(crate) hasher: FlowHasher,
    pub(crate) config: Option<Arc<ConfigSnapshot>>,
    pub(crate) membership: Membership,
    pub(crate) flows: FlowDirectory,
    pub(crate) parked: ParkedFrames,
    pub(crate) requests: RequestTable,
    pub(crate) policy: Box<dyn LoadPolicy>,
    /// What the policy was last told of the hosts.
    policy_view: Arc<HostView>,
    config_since: Option<Instant>,
    /// Number of the next attempt; never used again by this process, so that the parts of two
    /// attempts are never taken for one answer's.
    pub(crate) next_attempt: u64,
    pub(crate) draining: bool,
    /// Not drained before this: peers learn first that this host is leaving, and ask it for its
    /// records.
    linger_deadline: Option<Instant>,
    drained_reported: bool,
}

impl HostCore {
    /// Makes a host that has no configuration yet.
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
            policy_view: Arc::default(),
            config_since: None,
            next_attempt: 1,
            draining: false,
            linger_deadline: None,
            drained_reported: false,
        }
    }

    /// Takes one event that happened at `now` and appends what is to be done to `actions`.
    ///
    /// `now` must not be smaller than in an earlier call.
    pub fn handle(&mut self, now: Instant, event: HostEvent, actions: &mut Vec<HostAction>) {
        self.membership.observe(now);
        match event {
            HostEvent::CallerFrame { caller, frame } => {
                let origin = FrameOrigin {
                    caller,
                    hops: 0,
                    read: Some(now),
                };
                let view = self.membership.view().version;
                self.route_caller(now, origin, frame, view, actions);
            }
            HostEvent::PeerFrame(frame) => self.take_peer(now, frame, actions),
            HostEvent::UpstreamFrame { source, frame } => {
                self.handle_upstream_frame(now, source, frame, actions);
            }
            HostEvent::Config(config) => self.put_in_force(now, config),
            HostEvent::Hosts(hosts) => {
                self.membership.learn_hosts(now, &hosts);
                self.tell_hosts(now);
            }
            HostEvent::UpstreamReport(report) => self.policy.handle_report(now, report),
            HostEvent::Drain => self.start_drain(now, actions),
            HostEvent::Tick => {
                self.tick(now, actions);
                self.report_drained(now, actions);
            }
        }
        if self.membership.usable() != self.policy_view.alive {
            self.tell_hosts(now);
            self.update_owner_view(now, actions);
        }
    }

    /// What operators are told of this host.
    pub fn status(&self, now: Instant) -> HostStatus {
        HostStatus {
            host: self.settings.host,
            config_version: self.config_version(),
            config_age: self
                .config_since
                .map(|since| now.saturating_duration_since(since)),
            host_list_version: self.membership.view().version,
            hosts_alive: self.membership.usable().len(),
            holds_claim: self.membership.book().holds_claim(now),
            settling: self.membership.book().is_settling(now),
            draining: self.draining,
            flows: self.flows.len(),
            requests: self.requests.in_progress(),
        }
    }

    /// The version of the configuration in force, if there is one.
    pub fn config_version(&self) -> Option<Version> {
        self.config.as_ref().map(|config| config.version)
    }

    /// Since when this host has been the only one that may take on requests of a flow that may not
    /// run twice; `None` if it may not at present.
    pub fn acts_since(&self, now: Instant, flow: FlowDigest) -> Option<Instant> {
        self.accepting_since(now, flow)
    }

    /// How many flows this host owns.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// How many requests have no outcome yet.
    pub fn requests_in_progress(&self) -> usize {
        self.requests.in_progress()
    }

    /// Ignores a configuration older than the one in force: replicas and peers deliver copies in
    /// any order, and an old one would bring back upstreams that operators have removed.
    fn put_in_force(&mut self, now: Instant, config: Arc<ConfigSnapshot>) {
        let current = self.config.as_ref();
        if current.is_some_and(|current| config.version <= current.version) {
            return;
        }
        self.policy.configure(now, &config);
        self.flows.configure(&config);
        self.config = Some(config);
        self.config_since = Some(now);
    }

    /// Handles a caller's frame here or passes it to the host that it belongs to.
    ///
    /// `view` is the version of the host list by which the frame was sent here. A newer view than
    /// this host's wins: its sender knows better who owns the flow.
    fn route_caller(
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
        if !is_recorded && self.may_be_stale(now, origin, &frame.body) {
            actions.push(HostAction::Count(ResultCode::FrameStale));
            return;
        }
        let target = self.target_of(digest, &frame.body, hops);
        // A leaving host keeps nothing new, whoever sent it: it passes frames on even at the limit
        // of hops, and the receiver, which sees the limit, does not send them back.
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

    /// Whether this host remembers the request that a frame is about.
    fn has_record(&self, flow: FlowDigest, body: &CallerBody) -> bool {
        let request = match body {
            CallerBody::Request(request) => request.request,
            CallerBody::Ack { request } | CallerBody::Cancel { request } => *request,
            _ => return false,
        };
        self.requests.get(RequestKey { flow, request }).is_some()
    }

    /// Whether a request that may not run twice could be older than it says.
    ///
    /// It may have waited here during a freeze, or come from a host whose word on its age cannot be
    /// dated. A request that a former owner has run would be taken for a new one. Its caller sends
    /// it again, with its true age.
    fn may_be_stale(&self, now: Instant, origin: FrameOrigin, body: &CallerBody) -> bool {
        let CallerBody::Request(request) = body else {
            return false;
        };
        let is_dated = origin.read.is_some() && !self.membership.may_read_backlog(now);
        !request.idempotent && !is_dated
    }

    /// The host that a frame belongs to: for requests the one that may take them on, else the one
    /// that holds the flow.
    fn target_of(&self, digest: FlowDigest, body: &CallerBody, hops: u8) -> HostId {
        match body {
            CallerBody::Request(request) if !request.idempotent => self.actor_of(digest),
            CallerBody::Ack { .. } | CallerBody::Cancel { .. } if hops == 0 => {
                self.actor_of(digest)
            }
            _ => self.owner_of(digest),
        }
    }

    fn take_peer(&mut self, now: Instant, frame: PeerFrame, actions: &mut Vec<HostAction>) {
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
                let book = self.membership.book();
                let origin = FrameOrigin {
                    caller,
                    hops: frame.hops,
                    read: echo.and_then(|echo| book.sent_at(echo)),
                };
                self.route_caller(now, origin, inner, view, actions);
            }
            PeerBody::FromUpstream(inner) => self.handle_owned_upstream_frame(now, inner, actions),
            PeerBody::Load(message) => {
                let mut decisions = Vec::new();
                self.policy
                    .handle_message(now, sender, &message, &mut decisions);
                self.carry_out(now, decisions, actions);
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

    /// The host that holds a flow: the first in rank of those that are usable.
    pub(crate) fn owner_of(&self, digest: FlowDigest) -> HostId {
        let cell = flow_group(digest, self.membership.cells());
        let owner = match cell {
            Some(cell) if cell != self.membership.cell() => self.owner_in(cell, digest),
            _ => flow_owner(digest, self.membership.usable().iter().copied()),
        };
        owner.unwrap_or(self.settings.host)
    }

    /// The owner in another cell, by the control daemon's hint, for no heartbeats come from there.
    fn owner_in(&self, cell: CellId, digest: FlowDigest) -> Option<HostId> {
        let view = self.membership.view();
        let alive = view.alive.iter().copied();
        let in_cell = |id: &HostId| view.host(*id).is_some_and(|entry| entry.cell == cell);
        flow_owner(digest, alive.filter(in_cell))
    }

    /// The host that may take on requests of a flow that may not run twice: the first in rank of
    /// those that hold their claims.
    pub(crate) fn actor_of(&self, digest: FlowDigest) -> HostId {
        let cell = flow_group(digest, self.membership.cells());
        if cell.is_some_and(|cell| cell != self.membership.cell()) {
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
            echo: self.membership.book().echo_for(host),
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

    /// Carries out what the policy decided.
    pub(crate) fn carry_out(
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
                        outcome: self.outcome_now(key),
                        retry_after,
                    };
                    self.refuse_request(key, refusal, actions);
                }
            }
        }
    }

    /// Whether it is proved that a request has not run.
    fn outcome_now(&self, key: RequestKey) -> RunOutcome {
        match self.requests.get(key) {
            Some(record) if matches!(record.stage, RequestStage::Waiting) => {
                outcome_before_send(record)
            }
            _ => RunOutcome::Unknown,
        }
    }

    /// Tells the policy which hosts it shares the upstreams with, by heartbeats.
    fn tell_hosts(&mut self, now: Instant) {
        let view = self.membership.view();
        self.policy_view = Arc::new(HostView {
            version: view.version,
            published: view.published.clone(),
            alive: self.membership.usable().to_vec(),
        });
        self.policy.learn_hosts(now, &self.policy_view);
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

    /// Reports a drain as complete once nothing is in progress and nobody can ask any more for a
    /// request that only this host knows of.
    /// Says once that a drain is complete. It reads every record, so that it is done each tick and
    /// not at each datagram.
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

/// Builds a frame for the caller of `frame`'s flow.
pub(crate) fn reply(frame: &CallerFrame, body: CallerBody) -> CallerFrame {
    CallerFrame {
        service: frame.service,
        flow: frame.flow,
        body,
    }
}
