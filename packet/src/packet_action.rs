//! The actions and events that a core returns to the process that runs it.

use std::net::SocketAddrV4;
use std::time::Duration;

use lagoonproxy::ids::Version;
use lagoonproxy::ids::ZoneName;
use lagoonproxy::result_code::ResultCode;

use crate::health::outlier_detector::OutcomeCounts;
use crate::ids::FlowTag;
use crate::ids::ServiceName;
use crate::ids::UpstreamName;
use crate::ids::UpstreamNumber;
use crate::load::load_state::ContentionState;
use crate::routes::route_config::FieldFault;
use crate::routes::route_table::RequestClass;
use crate::state::read_role::RoleChange;
use crate::state::store_position::StorePosition;
use crate::upstreams::upstream_record::RegistrationState;

/// What to do with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketAction {
    /// Forward the packet to an upstream.
    Forward {
        /// Address of the upstream.
        address: SocketAddrV4,
        /// Number of the upstream. A later owner of the address ignores packets for other numbers.
        number: UpstreamNumber,
        /// The tag to write into the packet; `None` keeps the caller's.
        tag: Option<FlowTag>,
    },
    /// Reset the caller's flow.
    Reset {
        /// Sequence number that the caller has acknowledged. It accepts only resets close to it.
        acked: u32,
        /// The reason.
        code: ResultCode,
    },
    /// Keep the packet, and resume it when the dispatcher's reply has arrived or timed out.
    Park,
    /// Drop the packet.
    Drop {
        /// The reason.
        code: ResultCode,
    },
}

/// A flow to reset without a packet from its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowReset {
    /// The caller's end.
    pub caller: SocketAddrV4,
    /// The service's end.
    pub service: SocketAddrV4,
    /// Sequence number that the caller has acknowledged. It accepts only resets close to it.
    pub acked: u32,
    /// The reason.
    pub code: ResultCode,
}

/// What a flow was refused or reset for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalTrigger {
    /// A SYN of a flow that is not known to be open.
    Syn,
    /// A packet of an established flow with this tag.
    Packet(FlowTag),
    /// No packet: all flows of the upstream were reset at once.
    Upstream,
}

/// What a host knew of an upstream when it reset a flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResetEvidence {
    /// The upstream.
    pub upstream: UpstreamName,
    /// State of its registration.
    pub registration: RegistrationState,
    /// Time since its last response; `None` before the first.
    pub heard_ago: Option<Duration>,
    /// Attempts of all callers that it has not responded to since then.
    pub attempts: u32,
}

/// A change of an upstream's state on this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamChange {
    /// The upstream is new, or its registration has changed.
    Registered,
    /// Its registration vanished while it responded, or was lost by the store.
    Missing,
    /// The store lists an older registration than its last one, which stays in use for now.
    Held,
    /// It has deregistered, or its lapsed registration has expired.
    Gone,
    /// It was ejected, because it did not respond to several attempts.
    Avoided,
    /// It has responded again after an ejection.
    Answers,
    /// It was ejected, because too many of its requests failed.
    Failing,
    /// It is no longer ejected for failed requests.
    Serving,
}

/// A decision or an observation of the core, for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecisionEvent {
    /// The SYN of a flow was placed.
    Placed {
        /// The caller's end.
        caller: SocketAddrV4,
        /// The service's end.
        service: SocketAddrV4,
        /// Number of the retransmission; 0 for the first SYN.
        transmission: u32,
        /// The selected upstream.
        upstream: UpstreamName,
        /// The upstream's availability zone.
        zone: ZoneName,
        /// Active flows through this host to the upstream before.
        flows: u32,
        /// Time since the upstream's last response; `None` before the first.
        heard_ago: Option<Duration>,
        /// Whether the SYN was sent to a second upstream as well.
        hedged: bool,
        /// Whether the dispatcher of the service selected the upstream.
        dispatched: bool,
        /// The version of the routes in force.
        version: Version,
    },
    /// A SYN retransmission was dropped, so that the caller sends the next one.
    Deferred {
        /// The caller's end.
        caller: SocketAddrV4,
        /// The service's end.
        service: SocketAddrV4,
        /// Number of the retransmission; 0 for the first SYN.
        transmission: u32,
        /// The upstream that would have been selected.
        upstream: UpstreamName,
        /// Estimated requests in progress at the upstream.
        requests: u32,
        /// The version of the routes in force.
        version: Version,
    },
    /// A SYN of a contended service was deferred or refused because of its priority class.
    ClassLimited {
        /// The caller's end.
        caller: SocketAddrV4,
        /// The service's end.
        service: SocketAddrV4,
        /// Name of the service that the SYN was for.
        service_name: ServiceName,
        /// Number of the retransmission; 0 for the first SYN.
        transmission: u32,
        /// Priority class of the request.
        class: RequestClass,
        /// The reason.
        code: ResultCode,
        /// Whether the SYN was deferred; otherwise it was refused.
        deferred: bool,
        /// The selected upstream.
        upstream: UpstreamName,
        /// Requests in progress at the upstream, in thousandths.
        in_progress: u32,
        /// Load of the service.
        contention: ContentionState,
        /// Age of that load; `None` if the load is unknown.
        age: Option<Duration>,
        /// The version of the routes in force.
        version: Version,
    },
    /// A service has become contended, or is no longer contended.
    Contention {
        /// The service.
        service: ServiceName,
        /// Whether it is contended now.
        contended: bool,
        /// Requests in progress per slot, in thousandths.
        pressure: u32,
        /// Number of hosts of the zone whose counts the pressure includes.
        reporters: u32,
    },
    /// The share of a service's new flows that is placed in another zone has changed.
    Spill {
        /// The service.
        service: ServiceName,
        /// The other zone.
        zone: ZoneName,
        /// The share, in thousandths of the new flows.
        share: u32,
        /// Pressure in this zone, in thousandths.
        local_pressure: u32,
        /// Pressure in the other zone, in thousandths.
        remote_pressure: u32,
    },
    /// A dispatcher has not replied to several queries, and is skipped for some time.
    DispatcherSilent {
        /// The dispatcher.
        dispatcher: SocketAddrV4,
    },
    /// A peer's load report was invalid.
    LoadRejected {
        /// The sender.
        peer: SocketAddrV4,
    },
    /// A flow was refused or reset.
    Refused {
        /// The caller's end.
        caller: SocketAddrV4,
        /// The service's end.
        service: SocketAddrV4,
        /// The reason.
        code: ResultCode,
        /// The packet that caused it, if any.
        trigger: RefusalTrigger,
        /// The upstream of the flow, if known.
        evidence: Option<ResetEvidence>,
        /// The version of the routes in force.
        version: Version,
        /// The store's position up to which this host knows every change.
        through: StorePosition,
        /// For how long the store had confirmed the state without interruption; `None` if it had
        /// not.
        synced_for: Option<Duration>,
        /// Age of the last confirmation; `None` without one.
        confirmed_ago: Option<Duration>,
    },
    /// A caller has received a response.
    Answered {
        /// Time from the last packet of the request to the first acknowledgement of the response.
        took: Duration,
    },
    /// A caller has retransmitted a request without a response.
    Retransmitted {
        /// The caller's end.
        caller: SocketAddrV4,
        /// The service's end.
        service: SocketAddrV4,
        /// The upstream of the flow.
        upstream: UpstreamName,
        /// Time since this host first saw the request.
        waited: Duration,
        /// Time since the upstream's last response; `None` before the first.
        heard_ago: Option<Duration>,
        /// Attempts of all callers that the upstream has not responded to since then.
        attempts: u32,
    },
    /// The state of an upstream has changed on this host.
    Upstream {
        /// The upstream.
        upstream: UpstreamName,
        /// Its availability zone.
        zone: ZoneName,
        /// The change.
        change: UpstreamChange,
        /// State of its registration before the change.
        before: RegistrationState,
        /// Open flows through this host to it, active or idle.
        flows: u32,
        /// Consecutive unanswered attempts.
        attempts: u32,
        /// Outcomes of its recent requests through the hosts of the zone.
        outcomes: OutcomeCounts,
        /// Time since its last response; `None` before the first.
        heard_ago: Option<Duration>,
        /// The store's position up to which this host knows every change.
        through: StorePosition,
    },
    /// This host has become the reader of its zone, or is no longer the reader.
    Role {
        /// The change and its reason.
        change: RoleChange,
        /// Another host of the zone whose heartbeats say that it is the reader, if any.
        reader: Option<SocketAddrV4>,
        /// Number of other hosts of the zone that are alive.
        peers: usize,
        /// The store's position up to which this host knows every change.
        through: StorePosition,
    },
    /// This host holds its first state.
    FirstState {
        /// Number of registered upstreams.
        upstreams: usize,
        /// The store's position up to which this host knows every change.
        through: StorePosition,
    },
    /// A field of the configuration that is now in force is ignored.
    RouteFieldIgnored {
        /// The version of the configuration.
        version: Version,
        /// The field, the routes or services concerned, and the reason.
        fault: FieldFault,
    },
    /// A new configuration is in force.
    Routes {
        /// Its version.
        version: Version,
        /// Number of its routes.
        routes: usize,
        /// The store's position up to which this host knows every change.
        through: StorePosition,
    },
    /// The evacuation of a zone was applied, or has ended.
    Evacuation {
        /// The zone.
        zone: ZoneName,
        /// Whether it is evacuated now.
        evacuated: bool,
        /// Whether the settings name the zone, or this host knows an upstream of it.
        known: bool,
        /// Open flows through this host to the zone's upstreams.
        flows: u32,
        /// The store's position up to which this host knows every change.
        through: StorePosition,
    },
    /// The state is of a later era: the store was restored from a backup.
    EraChanged {
        /// The store's position up to which this host knew every change before.
        before: StorePosition,
        /// The store's position up to which this host knows every change.
        through: StorePosition,
        /// Whether the update was a whole state; otherwise it was a delta.
        whole: bool,
    },
    /// An update was rejected, because it is older than the state or does not continue it.
    UpdateRejected {
        /// Whether the update was a whole state; otherwise it was a delta.
        whole: bool,
        /// The store's position up to which the update contains every change.
        offered: StorePosition,
        /// The store's position up to which this host knows every change.
        through: StorePosition,
    },
    /// An older configuration was rejected.
    RoutesRegressed {
        /// Its version.
        version: Version,
    },
    /// Published items could not be decoded.
    Unreadable {
        /// Number of the items.
        items: usize,
    },
}

/// The core's output. It is reused, so that handling a packet allocates nothing.
#[derive(Debug, Default)]
pub struct PacketOutput {
    /// What to do with the handled packet, in order.
    pub actions: Vec<PacketAction>,
    /// Resets to send to callers, independent of the handled packet.
    pub resets: Vec<FlowReset>,
    /// Events for logs and metrics.
    pub events: Vec<DecisionEvent>,
}

impl PacketOutput {
    /// Clears the output for the next packet.
    pub fn clear(&mut self) {
        self.actions.clear();
        self.resets.clear();
        self.events.clear();
    }
}
