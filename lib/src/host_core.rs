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
use crate::flow_hash::FlowHasher;
use crate::flow_table::FlowTable;
use crate::host_action::HostAction;
use crate::host_event::HostEvent;
use crate::host_status::HostStatus;
use crate::ids::FlowDigest;
use crate::ids::HostId;
use crate::load_policy::LoadDecision;
use crate::load_policy::LoadPolicy;
use crate::owner_rank::flow_owner;
use crate::request_table::RequestTable;
use crate::result_code::ResultCode;
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
/// the limit ends that, and the second hop lets a newer view correct an older one.
pub const MAX_HOPS: u8 = 2;

/// What a host knows of itself.
#[derive(Clone)]
pub struct CoreSettings {
    /// Its number in the published host list.
    pub host: HostId,
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
    pub(crate) hosts: Arc<HostView>,
    pub(crate) flows: FlowTable,
    pub(crate) requests: RequestTable,
    pub(crate) policy: Box<dyn LoadPolicy>,
    config_since: Option<Instant>,
    pub(crate) draining: bool,
    drained_reported: bool,
}

impl HostCore {
    /// Makes a host that has no configuration yet.
    pub fn new(settings: CoreSettings, policy: Box<dyn LoadPolicy>) -> Self {
        Self {
            hasher: FlowHasher::new(settings.flow_key),
            settings,
            config: None,
            hosts: Arc::default(),
            flows: FlowTable::default(),
            requests: RequestTable::default(),
            policy,
            config_since: None,
            draining: false,
            drained_reported: false,
        }
    }

    /// Takes one event that happened at `now` and appends what is to be done to `actions`.
    ///
    /// `now` must not be smaller than in an earlier call.
    pub fn handle(&mut self, now: Instant, event: HostEvent, actions: &mut Vec<HostAction>) {
        match event {
            HostEvent::CallerFrame { caller, frame } => {
                self.route_caller(now, caller, frame, 0, actions);
            }
            HostEvent::PeerFrame(frame) => self.take_peer(now, frame, actions),
            HostEvent::UpstreamFrame { source, frame } => {
                self.take_upstream(now, source, frame, actions);
            }
            HostEvent::Config(config) => self.put_in_force(now, config),
            HostEvent::Hosts(hosts) => {
                self.policy.learn_hosts(now, &hosts);
                self.hosts = hosts;
            }
            HostEvent::UpstreamReport(report) => self.policy.learn_report(now, report),
            HostEvent::Drain => self.draining = true,
            HostEvent::Tick => self.tick(now, actions),
        }
        self.report_drained(actions);
    }

    /// What operators are told of this host.
    pub fn status(&self, now: Instant) -> HostStatus {
        HostStatus {
            host: self.settings.host,
            config_version: self.config_version(),
            config_age: self
                .config_since
                .map(|since| now.saturating_duration_since(since)),
            host_list_version: self.hosts.version,
            hosts_alive: self.hosts.alive.len(),
            draining: self.draining,
            flows: self.flows.len(),
            requests: self.requests.in_progress(),
        }
    }

    /// The version of the configuration in force, if there is one.
    pub fn config_version(&self) -> Option<crate::ids::Version> {
        self.config.as_ref().map(|config| config.version)
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
        self.config = Some(config);
        self.config_since = Some(now);
    }

    fn route_caller(
        &mut self,
        now: Instant,
        caller: SocketAddr,
        frame: CallerFrame,
        hops: u8,
        actions: &mut Vec<HostAction>,
    ) {
        let digest = self.hasher.digest(frame.service, caller, frame.flow);
        let owner = self.owner_of(digest);
        if owner == self.settings.host || hops >= MAX_HOPS {
            self.own_caller_frame(now, caller, digest, &frame, actions);
            return;
        }
        let body = PeerBody::FromCaller { caller, frame };
        self.send_peer(owner, hops + 1, body, actions);
    }

    fn take_peer(&mut self, now: Instant, frame: PeerFrame, actions: &mut Vec<HostAction>) {
        if frame.hops > MAX_HOPS {
            actions.push(HostAction::Count(ResultCode::HopsExceeded));
            return;
        }
        match frame.body {
            PeerBody::FromCaller {
                caller,
                frame: inner,
            } => self.route_caller(now, caller, inner, frame.hops, actions),
            PeerBody::FromUpstream(inner) => self.match_answer(now, inner, actions),
            PeerBody::Load(message) => {
                let mut decisions = Vec::new();
                self.policy
                    .take_message(now, frame.sender, &message, &mut decisions);
                self.carry_out(now, decisions, actions);
            }
        }
    }

    fn owner_of(&self, digest: FlowDigest) -> HostId {
        let alive = self.hosts.alive.iter().copied();
        flow_owner(digest, alive).unwrap_or(self.settings.host)
    }

    pub(crate) fn send_peer(
        &self,
        host: HostId,
        hops: u8,
        body: PeerBody,
        actions: &mut Vec<HostAction>,
    ) {
        let Some(entry) = self.hosts.host(host) else {
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
                    let outcome = match code {
                        ResultCode::OutcomeUnknown => RunOutcome::Unknown,
                        _ => RunOutcome::NotRun,
                    };
                    let refusal = RefusalBody {
                        request: Some(key.request),
                        code,
                        outcome,
                        retry_after,
                    };
                    self.refuse_request(key, refusal, actions);
                }
            }
        }
    }

    fn report_drained(&mut self, actions: &mut Vec<HostAction>) {
        if self.draining && !self.drained_reported && self.requests.in_progress() == 0 {
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
