//! What the owner of a flow does as its caller opens and closes it.

use std::net::SocketAddr;
use std::time::Instant;

use crate::config_snapshot::ServiceEntry;
use crate::config_snapshot::UpstreamState;
use crate::flow_binding::FlowBinding;
use crate::flow_hash::rendezvous_key;
use crate::flow_hash::rendezvous_weight;
use crate::flow_table::FlowRecord;
use crate::host_action::HostAction;
use crate::host_core::HostCore;
use crate::host_core::reply;
use crate::ids::FlowDigest;
use crate::ids::UpstreamId;
use crate::request_system::refuse;
use crate::request_system::to_caller;
use crate::result_code::ResultCode;
use crate::wire_frame::CallerBody;
use crate::wire_frame::CallerFrame;
use crate::wire_frame::UpstreamBody;

impl HostCore {
    pub(crate) fn open_flow(
        &mut self,
        now: Instant,
        caller: SocketAddr,
        digest: FlowDigest,
        frame: &CallerFrame,
        actions: &mut Vec<HostAction>,
    ) {
        let idle_deadline = now + self.settings.flow_idle;
        if self.flows.touch(now, digest, idle_deadline).is_some() {
            actions.push(to_caller(caller, reply(frame, CallerBody::Opened)));
            return;
        }
        let service = match self.service_of(frame) {
            Ok(service) => service,
            Err(code) => return refuse(caller, frame, None, code, actions),
        };
        let Some(upstream) = self.place_flow(digest, service) else {
            return refuse(caller, frame, None, ResultCode::NoUpstream, actions);
        };
        let service = service.id;
        let Some(tag) = self.routing_tag(caller, frame, 0, 0, upstream) else {
            return refuse(caller, frame, None, ResultCode::NoUpstream, actions);
        };
        let record = FlowRecord {
            binding: FlowBinding {
                service,
                upstream,
                incarnation: tag.incarnation,
            },
            idle_deadline,
        };
        self.flows.insert(now, digest, record);
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
        if let Some(flow) = self.flows.remove(digest)
            && let Some(tag) = self.routing_tag(caller, frame, 0, 0, flow.binding.upstream)
        {
            self.send_upstream(tag, UpstreamBody::Close, actions);
        }
        actions.push(to_caller(caller, reply(frame, CallerBody::Closed)));
    }

    fn place_flow(&self, digest: FlowDigest, service: &ServiceEntry) -> Option<UpstreamId> {
        let config = self.config.as_ref()?;
        let key = rendezvous_key(digest);
        service
            .upstreams
            .iter()
            .copied()
            .filter(|id| {
                let upstream = config.upstreams.get(id);
                upstream.is_some_and(|entry| entry.state == UpstreamState::Active)
            })
            .max_by_key(|id| rendezvous_weight(key, u64::from(*id)))
    }
}
