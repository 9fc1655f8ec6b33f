//! What a host does with flows: open, close, pin requests to them, exchange them with its peers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::flow_binding::FlowBinding;
use crate::flow_directory::FlowLookup;
use crate::flow_directory::FlowOrder;
use crate::flow_question::FlowIntent;
use crate::host_action::HostAction;
use crate::host_core::HostCore;
use crate::host_core::reply;
use crate::ids::FlowDigest;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::owner_view::OwnerView;
use crate::request_system::refuse;
use crate::request_system::to_caller;
use crate::request_system::waiting_outcome;
use crate::request_table::RequestKey;
use crate::request_table::RequestStage;
use crate::result_code::ResultCode;
use crate::upstream_addresses::UpstreamReach;
use crate::wire_frame::CallerBody;
use crate::wire_frame::CallerFrame;
use crate::wire_frame::PeerBody;
use crate::wire_frame::RefusalBody;
use crate::wire_frame::UpstreamBody;

/// When to come back after a refusal because nobody could be asked where a flow lives.
const DOUBT_RETRY: Duration = Duration::from_millis(200);

/// Where a request of a flow may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FlowPin {
    /// Anywhere: its flow was never opened.
    Free,
    /// Only here.
    On(UpstreamId),
    /// It waits for an answer, or was refused.
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
            && self.flows.reach(binding) == UpstreamReach::Gone
        {
            // The upstream that held it has ended, and with it the flow; this opens a new one.
            self.flows.close(digest);
            lookup = self.look_up(now, digest, service, FlowIntent::Open, actions);
        }
        match lookup {
            FlowLookup::Asking => self.parked.park_open(digest, caller, frame),
            lookup => self.confirm_open(caller, frame, service, lookup, actions),
        }
    }

    /// Answers an `Open`. The upstream is told each time, since a request that overtook the first
    /// `Open` has made the record already.
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
            FlowLookup::Absent => {
                return refuse(caller, frame, None, ResultCode::NoUpstream, actions);
            }
            FlowLookup::Asking | FlowLookup::Unsure => {
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

    /// Finds where a request that this host has taken on may run.
    ///
    /// A request of an opened flow is never treated as free: on a miss the flow is derived only if
    /// no other host can hold it, else the others are asked and the request waits meanwhile.
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
            match self.flows.held(now, key.flow) {
                Some(record) => FlowLookup::Found(record.binding),
                None => return FlowPin::Free,
            }
        };
        match lookup {
            FlowLookup::Found(binding) => self.check_pin(key, service, binding, actions),
            FlowLookup::Asking => {
                self.parked.park_request(key);
                FlowPin::Pending
            }
            FlowLookup::Absent => self.refuse_pin(key, ResultCode::FlowUnknown, actions),
            FlowLookup::Unsure => self.refuse_pin(key, ResultCode::NotOwner, actions),
        }
    }

    /// A flow ends with the process it was opened on, and never serves another service: its
    /// address may belong to another service, or its upstream's address to another process, since
    /// it was opened.
    fn check_pin(
        &mut self,
        key: RequestKey,
        service: ServiceId,
        binding: FlowBinding,
        actions: &mut Vec<HostAction>,
    ) -> FlowPin {
        let reach = self.flows.reach(binding);
        if binding.service != service || reach == UpstreamReach::Gone {
            self.flows.close(key.flow);
            return self.refuse_pin(key, ResultCode::FlowUnknown, actions);
        }
        match reach {
            UpstreamReach::At(_) => FlowPin::On(binding.upstream),
            UpstreamReach::Gone | UpstreamReach::Unseen => {
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
                outcome: waiting_outcome(record),
                retry_after: DOUBT_RETRY,
            };
            self.refuse_request(key, refusal, actions);
        }
        FlowPin::Pending
    }

    /// The process that frames of a flow for `upstream` are meant for.
    ///
    /// The check stands at the sending, because a job may have waited while the configuration
    /// changed: a flow's frames go to the process it was opened on, others only to an upstream that
    /// carries the service now.
    pub(crate) fn upstream_process(
        &self,
        digest: FlowDigest,
        frame: &CallerFrame,
        upstream: UpstreamId,
    ) -> Option<Incarnation> {
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

    /// Tells the flow directory whom it shares flows with.
    pub(crate) fn learn_owners(&mut self, now: Instant, actions: &mut Vec<HostAction>) {
        let host = self.settings.host;
        let members = self.membership.members().iter().copied();
        let is_heard = |other: &HostId| *other != host && self.membership.is_heard(now, *other);
        let view = OwnerView {
            host,
            eligible: self.membership.usable().to_vec(),
            reachable: members.filter(is_heard).collect(),
        };
        let mut orders = Vec::new();
        self.flows.set_view(now, view, &mut orders);
        self.carry_out_flows(now, orders, actions);
    }

    /// Lets the flow directory work as time passes.
    pub(crate) fn tick_flows(&mut self, now: Instant, actions: &mut Vec<HostAction>) {
        self.learn_owners(now, actions);
        let mut orders = Vec::new();
        self.flows.tick(now, &mut orders);
        self.carry_out_flows(now, orders, actions);
    }

    pub(crate) fn carry_out_flows(
        &mut self,
        now: Instant,
        orders: Vec<FlowOrder>,
        actions: &mut Vec<HostAction>,
    ) {
        for order in orders {
            match order {
                FlowOrder::Tell {
                    host,
                    parties,
                    message,
                } => {
                    let body = PeerBody::Flow { parties, message };
                    self.send_peer(host, 1, body, actions);
                }
                FlowOrder::Settled { digest, lookup } => {
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
        let mut orders = Vec::new();
        let lookup = self.flows.lookup(now, digest, service, intent, &mut orders);
        self.carry_out_flows(now, orders, actions);
        lookup
    }

    /// Goes on with what has waited for a question's end.
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
                FlowLookup::Absent => {
                    self.refuse_pin(key, ResultCode::FlowUnknown, actions);
                }
                FlowLookup::Asking | FlowLookup::Unsure => {
                    self.refuse_pin(key, ResultCode::NotOwner, actions);
                }
            }
        }
    }
}
