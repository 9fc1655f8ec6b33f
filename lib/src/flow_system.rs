//! Flow handling of the host core: opens and closes flows, pins requests to them and exchanges flow
//! messages with peers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::flow_binding::FlowBinding;
use crate::flow_directory::FlowCommand;
use crate::flow_directory::FlowLookup;
use crate::flow_query::FlowIntent;
use crate::host_action::HostAction;
use crate::host_core::HostCore;
use crate::host_core::reply;
use crate::ids::FlowDigest;
use crate::ids::Generation;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::owner_view::OwnerView;
use crate::request_system::outcome_before_send;
use crate::request_system::refuse;
use crate::request_system::to_caller;
use crate::request_table::RequestKey;
use crate::request_table::RequestStage;
use crate::result_code::ResultCode;
use crate::upstream_addresses::UpstreamReach;
use crate::wire_frame::CallerBody;
use crate::wire_frame::CallerFrame;
use crate::wire_frame::PeerBody;
use crate::wire_frame::RefusalBody;
use crate::wire_frame::UpstreamBody;

/// Retry delay sent with a refusal when the flow's upstream could not be determined.
const UNRESOLVED_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Where a request of a flow may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FlowPin {
    /// On any upstream, because its flow was never opened.
    Free,
    /// On this upstream only.
    On(UpstreamId),
    /// Not known yet: the request waits for a reply from a peer, or was refused.
    Pending,
}

impl HostCore {
    pub(crate) fn open_flow(
        &mut self,
        now: Instant,
        caller: SocketAddr,
        digest: FlowDigest,
        frame: &CallerFrame,
        actions: &mut Vec<HostAction>,
    ) {
        let service = match self.service_of(frame) {
            Ok(service) => service.id,
            Err(code) => return refuse(caller, frame, None, code, actions),
        };
        let mut lookup = self.look_up(now, digest, service, FlowIntent::Open, actions);
        if let FlowLookup::Found(binding) = lookup
            && self.flows.reach(binding) == UpstreamReach::Replaced
        {
            // The upstream process that held the flow has ended, and the flow with it. This frame
            // opens a new one.
            self.flows.close(digest);
            lookup = self.look_up(now, digest, service, FlowIntent::Open, actions);
        }
        match lookup {
            FlowLookup::Querying => self.parked.park_open(digest, caller, frame),
            lookup => self.confirm_open(caller, frame, service, lookup, actions),
        }
    }

    /// Confirms an `Open` to the caller. The upstream is notified every time, because a request
    /// that arrived before the first `Open` may have created the record.
    fn confirm_open(
        &mut self,
        caller: SocketAddr,
        frame: &CallerFrame,
        service: ServiceId,
        lookup: FlowLookup,
        actions: &mut Vec<HostAction>,
    ) {
        let binding = match lookup {
            FlowLookup::Found(binding) if binding.service == service => binding,
            FlowLookup::Found(_other_service) => {
                return refuse(caller, frame, None, ResultCode::FlowUnknown, actions);
            }
            FlowLookup::NotFound => {
                return refuse(caller, frame, None, ResultCode::NoUpstream, actions);
            }
            FlowLookup::Querying | FlowLookup::Undetermined => {
                return refuse(caller, frame, None, ResultCode::NotOwner, actions);
            }
        };
        let Some(tag) = self.routing_tag(caller, frame, 0, 0, binding.upstream) else {
            return refuse(caller, frame, None, ResultCode::NoUpstream, actions);
        };
        self.send_upstream(tag, UpstreamBody::Open, actions);
        actions.push(to_caller(caller, reply(frame, CallerBody::Opened)));
    }

    pub(crate) fn close_flow(
        &mut self,
        caller: SocketAddr,
        digest: FlowDigest,
        frame: &CallerFrame,
        actions: &mut Vec<HostAction>,
    ) {
        if let Some(binding) = self.flows.binding(digest)
            && let Some(tag) = self.routing_tag(caller, frame, 0, 0, binding.upstream)
        {
            self.send_upstream(tag, UpstreamBody::Close, actions);
        }
        self.flows.close(digest);
        actions.push(to_caller(caller, reply(frame, CallerBody::Closed)));
    }

    /// Determines where an accepted request may run.
    ///
    /// A request of an established flow is never treated as free. If no record exists, the binding
    /// is derived only if no other host can hold the flow. Otherwise the other hosts are queried
    /// and the request waits.
    pub(crate) fn pin_request(
        &mut self,
        now: Instant,
        key: RequestKey,
        actions: &mut Vec<HostAction>,
    ) -> FlowPin {
        let Some(record) = self.requests.get(key) else {
            return FlowPin::Pending;
        };
        let (service, established) = (record.service, record.established);
        let lookup = if established {
            self.look_up(now, key.flow, service, FlowIntent::Established, actions)
        } else {
            match self.flows.touch_or_promote(now, key.flow) {
                Some(record) => FlowLookup::Found(record.binding),
                None => return FlowPin::Free,
            }
        };
        match lookup {
            FlowLookup::Found(binding) => self.check_pin(key, service, binding, actions),
            FlowLookup::Querying => {
                self.parked.park_request(key);
                FlowPin::Pending
            }
            FlowLookup::NotFound => self.refuse_pin(key, ResultCode::FlowUnknown, actions),
            FlowLookup::Undetermined => self.refuse_pin(key, ResultCode::NotOwner, actions),
        }
    }

    /// Checks that a flow's binding is still valid for a request. A flow ends with the process on
    /// which it was opened and never serves another service: since then, its service address may
    /// have been assigned to another service, or its upstream's address to another process.
    fn check_pin(
        &mut self,
        key: RequestKey,
        service: ServiceId,
        binding: FlowBinding,
        actions: &mut Vec<HostAction>,
    ) -> FlowPin {
        let reach = self.flows.reach(binding);
        if binding.service != service || reach == UpstreamReach::Replaced {
            self.flows.close(key.flow);
            return self.refuse_pin(key, ResultCode::FlowUnknown, actions);
        }
        match reach {
            UpstreamReach::At(_) => FlowPin::On(binding.upstream),
            UpstreamReach::Replaced | UpstreamReach::NotYetKnown => {
                self.refuse_pin(key, ResultCode::NotOwner, actions)
            }
        }
    }

    fn refuse_pin(
        &mut self,
        key: RequestKey,
        code: ResultCode,
        actions: &mut Vec<HostAction>,
    ) -> FlowPin {
        if let Some(record) = self.requests.get(key) {
            let refusal = RefusalBody {
                request: Some(key.request),
                code,
                outcome: outcome_before_send(record),
                retry_after: UNRESOLVED_RETRY_AFTER,
            };
            self.refuse_request(key, refusal, actions);
        }
        FlowPin::Pending
    }

    /// Returns the process to which frames of a flow on `upstream` must be sent.
    ///
    /// The check is made when a frame is sent, because a queued request may have waited while the
    /// configuration changed. Frames of a flow go to the process on which the flow was opened;
    /// other frames go only to an upstream that serves the service now.
    pub(crate) fn upstream_process(
        &self,
        digest: FlowDigest,
        frame: &CallerFrame,
        upstream: UpstreamId,
    ) -> Option<Generation> {
        let service = self.service_of(frame).ok()?;
        if let Some(binding) = self.flows.binding(digest)
            && binding.upstream == upstream
            && binding.service == service.id
        {
            let reach = self.flows.reach(binding);
            return matches!(reach, UpstreamReach::At(_)).then_some(binding.incarnation);
        }
        service.upstreams.binary_search(&upstream).ok()?;
        let config = self.config.as_ref()?;
        config
            .upstreams
            .get(&upstream)
            .map(|entry| entry.incarnation)
    }

    /// Updates the flow directory with the hosts that own flows and those that are reachable.
    pub(crate) fn update_owner_view(&mut self, now: Instant, actions: &mut Vec<HostAction>) {
        let host = self.settings.host;
        let members = self.membership.members().iter().copied();
        let is_heard = |other: &HostId| *other != host && self.membership.is_heard(now, *other);
        let view = OwnerView {
            host,
            eligible: self.membership.usable().to_vec(),
            reachable: members.filter(is_heard).collect(),
        };
        let mut commands = Vec::new();
        self.flows.set_view(now, view, &mut commands);
        self.execute_flow_commands(now, commands, actions);
    }

    /// Runs the periodic work of the flow directory.
    pub(crate) fn tick_flows(&mut self, now: Instant, actions: &mut Vec<HostAction>) {
        self.update_owner_view(now, actions);
        let mut commands = Vec::new();
        self.flows.tick(now, &mut commands);
        self.execute_flow_commands(now, commands, actions);
    }

    pub(crate) fn execute_flow_commands(
        &mut self,
        now: Instant,
        commands: Vec<FlowCommand>,
        actions: &mut Vec<HostAction>,
    ) {
        for command in commands {
            match command {
                FlowCommand::Tell {
                    host,
                    parties,
                    message,
                } => {
                    let body = PeerBody::Flow { parties, message };
                    self.send_peer(host, 1, body, actions);
                }
                FlowCommand::Settled { digest, lookup } => {
                    self.resume_flow(now, digest, lookup, actions);
                }
            }
        }
    }

    fn look_up(
        &mut self,
        now: Instant,
        digest: FlowDigest,
        service: ServiceId,
        intent: FlowIntent,
        actions: &mut Vec<HostAction>,
    ) -> FlowLookup {
        let mut commands = Vec::new();
        let lookup = self
            .flows
            .lookup(now, digest, service, intent, &mut commands);
        self.execute_flow_commands(now, commands, actions);
        lookup
    }

    /// Resumes the frames that waited for the result of a query.
    fn resume_flow(
        &mut self,
        now: Instant,
        digest: FlowDigest,
        lookup: FlowLookup,
        actions: &mut Vec<HostAction>,
    ) {
        let parked = self.parked.take(digest);
        if let Some((caller, frame)) = parked.open {
            match self.service_of(&frame).map(|service| service.id) {
                Ok(service) => self.confirm_open(caller, &frame, service, lookup, actions),
                Err(code) => refuse(caller, &frame, None, code, actions),
            }
        }
        for key in parked.requests {
            let record = self.requests.get(key);
            if !record.is_some_and(|record| matches!(record.stage, RequestStage::Waiting)) {
                continue;
            }
            match lookup {
                FlowLookup::Found(_) => self.submit(now, key, actions),
                FlowLookup::NotFound => {
                    self.refuse_pin(key, ResultCode::FlowUnknown, actions);
                }
                FlowLookup::Querying | FlowLookup::Undetermined => {
                    self.refuse_pin(key, ResultCode::NotOwner, actions);
                }
            }
        }
    }
}
