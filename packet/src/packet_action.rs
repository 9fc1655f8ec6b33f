//! Actions and events that a core hands to its shell.

use std::net::SocketAddrV4;
use std::time::Duration;

use lagoonproxy::ids::Version;
use lagoonproxy::ids::ZoneName;
use lagoonproxy::result_code::ResultCode;

use crate::health::answer_record::AnswerCounts;
use crate::ids::FlowTag;
use crate::ids::ServiceName;
use crate::ids::UpstreamName;
use crate::ids::UpstreamNumber;
use crate::load::service_room::ServiceRoom;
use crate::routes::route_config::FieldFault;
use crate::routes::route_table::RequestClass;
use crate::state::read_role::RoleChange;
use crate::state::store_position::StorePosition;

/// What becomes of one packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketAction {
    /// Send the packet on.
    Forward {
        /// Where to.
        address: SocketAddrV4,
        /// The upstream that it is meant for, so that a later owner of the address ignores it.
        number: UpstreamNumber,
        /// The tag to write into it; `None` leaves the caller's.
        tag: Option<FlowTag>,
    },
    /// Tell the caller that its flow is no more.
    Reset {
        /// Position that the caller has acknowledged; it accepts resets close to it.
        acked: u32,
        /// Why.
        code: ResultCode,
    },
    /// Keep the packet and hand it in again when the reply to its query has come, or is late.
    Park,
    /// Do nothing.
    Drop {
        /// Why.
        code: ResultCode,
    },
}

/// A flow to be ended although none of its packets is at hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowReset {
    /// The caller's end.
    pub caller: SocketAddrV4,
    /// The service's end.
    pub service: SocketAddrV4,
    /// Position that the caller has acknowledged; it accepts resets close to it.
    pub acked: u32,
    /// Why.
    pub code: ResultCode,
}

/// A change in what this host knows of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamChange {
    /// It is new, or its registration changed.
    Registered,
    /// Its registration vanished while it answered, or was lost by the store.
    Missing,
    /// The store lists a registration that is older than its last one; that one stands for now.
    Held,
    /// It is gone.
    Gone,
    /// New flows avoid it: attempts went without an answer.
    Avoided,
    /// It has answered again.
    Answers,
    /// New flows avoid it: it fails too many of its requests.
    Failing,
    /// It is no longer taken to fail.
    Serving,
}

/// Something that the core decided or learned, for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecisionEvent {
    /// A flow's opening packet was placed.
    Placed {
        /// The caller's end.
        caller: SocketAddrV4,
        /// The service's end.
        service: SocketAddrV4,
        /// Which copy of the packet, from 0.
        copy: u32,
        /// Where it went.
        upstream: UpstreamName,
        /// The availability zone of that upstream.
        zone: ZoneName,
        /// Flows that this host had there before.
        flows: u32,
        /// Time since that upstream last proved to be alive, if it has.
        heard_ago: Option<Duration>,
        /// Whether another one got the packet as well.
        hedged: bool,
        /// Whether the dispatcher of its service selected it.
        dispatched: bool,
        /// The version of the routes in force.
        version: Version,
    },
    /// A copy of an opening packet was left to its caller's next one.
    Deferred {
        /// The caller's end.
        caller: SocketAddrV4,
        /// The service's end.
        service: SocketAddrV4,
        /// Which copy of the packet, from 0.
        copy: u32,
        /// The best upstream that there was.
        upstream: UpstreamName,
        /// Requests that it had in progress, as far as could be told.
        requests: u32,
        /// The version of the routes in force.
        version: Version,
    },
    /// A SYN of a contended service was deferred or refused by its class.
    ClassLimited {
        /// The caller's end.
        caller: SocketAddrV4,
        /// The service's end.
        service: SocketAddrV4,
        /// The service that it was for.
        service_name: ServiceName,
        /// Which retransmission it was; 0 for the first SYN.
        copy: u32,
        /// The class of its request.
        class: RequestClass,
        /// Why.
        code: ResultCode,
        /// Whether it was deferred, and not refused.
        deferred: bool,
        /// The selected upstream.
        upstream: UpstreamName,
        /// Requests in progress there, in thousandths.
        in_progress: u32,
        /// Load of the service.
        room: ServiceRoom,
        /// Age of that load; `None` if nothing was known.
        age: Option<Duration>,
        /// The version of the routes in force.
        version: Version,
    },
    /// A service has become contended, or is no longer.
    Contention {
        /// The service.
        service: ServiceName,
        /// Whether it is contended from now.
        contended: bool,
        /// Requests in progress for each slot, in thousandths.
        pressure: u32,
        /// Hosts of the zone whose counts that is from.
        reporters: u32,
    },
    /// The share of a service's new flows that leaves for another zone has changed.
    Spill {
        /// The service.
        service: ServiceName,
        /// The other zone.
        zone: ZoneName,
        /// Thousandths of the new flows.
        share: u32,
        /// Pressure here, in thousandths.
        local_pressure: u32,
        /// Pressure there, in thousandths.
        remote_pressure: u32,
    },
    /// A dispatcher left several queries without a reply and is skipped for some time.
    DispatcherSilent {
        /// The dispatcher.
        dispatcher: SocketAddrV4,
    },
    /// A peer's report on load was invalid.
    LoadRejected {
        /// The sender.
        peer: SocketAddrV4,
    },
    /// A flow was refused or ended.
    Refused {
        /// The caller's end.
        caller: SocketAddrV4,
        /// The service's end.
        service: SocketAddrV4,
        /// Why.
        code: ResultCode,
        /// The upstream that it belonged to, if known.
        upstream: Option<UpstreamName>,
        /// The version of the routes in force.
        version: Version,
    },
    /// A caller had an answer.
    Answered {
        /// From the last packet of the request to the first acknowledgement after it.
        took: Duration,
    },
    /// A caller sent again what had no answer.
    Repeated {
        /// The caller's end.
        caller: SocketAddrV4,
        /// The service's end.
        service: SocketAddrV4,
        /// The upstream that owes the answer.
        upstream: UpstreamName,
        /// Time since this host first saw the request.
        waited: Duration,
        /// Time since that upstream last proved to be alive, if it has.
        heard_ago: Option<Duration>,
        /// Attempts of anybody that it has left without an answer since then.
        attempts: u32,
    },
    /// What this host knows of an upstream has changed.
    Upstream {
        /// Which.
        upstream: UpstreamName,
        /// Its availability zone.
        zone: ZoneName,
        /// How.
        change: UpstreamChange,
        /// Attempts without an answer.
        attempts: u32,
        /// How its requests ended of late, through the hosts of the zone.
        answers: AnswerCounts,
        /// Time since it last proved to be alive, if it has.
        heard_ago: Option<Duration>,
        /// The store's position up to which this host has read.
        through: StorePosition,
    },
    /// This host begins or ends to read the store for its zone.
    Role {
        /// Which, and why.
        change: RoleChange,
        /// Another host of the zone that was heard to read, if any.
        reader: Option<SocketAddrV4>,
        /// Hosts of the zone that it knew to be alive.
        peers: usize,
        /// The store's position up to which it knows every change.
        through: StorePosition,
    },
    /// The first state is held.
    FirstState {
        /// Upstreams that are registered.
        upstreams: usize,
        /// The store's position up to which every change is contained.
        through: StorePosition,
    },
    /// A field of the configuration that has come into force is not used.
    RouteField {
        /// The version of the configuration.
        version: Version,
        /// Which field, why, and where.
        fault: FieldFault,
    },
    /// Another configuration is in force.
    Routes {
        /// Its version.
        version: Version,
        /// How many routes it has.
        routes: usize,
        /// The store's position up to which this host has read.
        through: StorePosition,
    },
    /// A zone's evacuation was applied, or has ended.
    Evacuation {
        /// The zone.
        zone: ZoneName,
        /// Whether it is evacuated from now.
        evacuated: bool,
        /// Whether the settings name the zone, or an upstream of it is registered.
        known: bool,
        /// Open flows through this host to its upstreams.
        flows: u32,
        /// The store's position up to which this host has read.
        through: StorePosition,
    },
    /// The state is of a later era: the store has come back from a copy.
    EraChanged {
        /// The position before.
        before: StorePosition,
        /// The position now.
        through: StorePosition,
        /// Whether the whole state came, and not a delta.
        whole: bool,
    },
    /// An update was rejected: it is older than the state, or does not continue it.
    UpdateRejected {
        /// Whether it was a whole state, and not a delta.
        whole: bool,
        /// The position up to which it contains every change.
        offered: StorePosition,
        /// The position up to which this host has read.
        through: StorePosition,
    },
    /// An older configuration was rejected.
    RoutesRegressed {
        /// Its version.
        version: Version,
    },
    /// Published items that could not be used.
    Unreadable {
        /// How many.
        items: usize,
    },
}

/// The core's output: what to do with a packet, and events. Reused, so that a packet allocates
/// nothing.
#[derive(Debug, Default)]
pub struct PacketOutput {
    /// To be carried out for the packet that was handed in, in order.
    pub actions: Vec<PacketAction>,
    /// To be sent to callers, whatever packet was handed in.
    pub resets: Vec<FlowReset>,
    /// For logs and metrics.
    pub events: Vec<DecisionEvent>,
}

impl PacketOutput {
    /// Empties it for the next packet.
    pub fn clear(&mut self) {
        self.actions.clear();
        self.resets.clear();
        self.events.clear();
    }
}
