//! The status of an entry host that forwards packets, for operators.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::ids::Version;
use lagoonproxy::ids::ZoneName;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use smol_str::SmolStr;

use crate::ids::ClassRank;
use crate::ids::Revision;
use crate::ids::ServiceName;
use crate::ids::StoreEra;
use crate::ids::UpstreamName;
use crate::packet_core::PacketCore;
use crate::routes::route_config::RequestKind;
use crate::routes::route_config::RequestPriority;
use crate::routes::route_config::ServiceRoute;
use crate::routes::route_config::ServiceShare;
use crate::routes::route_table::MOST_CLASSES;
use crate::state::store_position::StorePosition;
use crate::upstreams::upstream_record::RegistrationState;
use crate::upstreams::upstream_record::UpstreamRecord;

/// One host's state at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PacketStatus {
    /// Name of the host.
    pub host: SmolStr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether the fabric should send it packets.
    pub ready: bool,
    /// Whether it was asked to stop.
    pub stopping: bool,
    /// Version of the routes in force; `None` before the first.
    pub version: Option<Version>,
    /// How often the store had come back from a copy, as far as it knows.
    #[serde(default)]
    pub era: StoreEra,
    /// Revision of the store in that era up to which it knows every change.
    pub through: Revision,
    /// Other hosts that it has heard of late.
    pub peers: usize,
    /// Whether it reads the store for its zone.
    #[serde(default)]
    pub reads: bool,
    /// Another host of its zone that it hears to read the store, if any.
    #[serde(default)]
    pub reader: Option<SocketAddrV4>,
    /// Flows that it watches.
    pub flows: usize,
    /// The zones that it places no new flows in, by name.
    #[serde(default)]
    pub evacuated: Vec<EvacuationStatus>,
    /// The routes in force, by address.
    #[serde(default)]
    pub routes: Vec<RouteStatus>,
    /// The services that have routes, by name.
    #[serde(default)]
    pub services: Vec<ServiceStatus>,
    /// Every upstream that it knows, by name.
    pub upstreams: Vec<UpstreamStatus>,
}

/// An evacuated zone, as a host has applied it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationStatus {
    /// The zone.
    pub zone: ZoneName,
    /// The store's revision of the request.
    pub revision: Revision,
    /// Time since this host placed flows there.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub applied_ago: Duration,
    /// Open flows through this host to the zone's upstreams. A caller's flow may be known to several
    /// hosts, so that their sum is an upper bound.
    pub flows: u32,
}

/// One route, as a host holds it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteStatus {
    /// The address that callers use.
    pub address: SocketAddrV4,
    /// How urgent its requests are, 0 the most; `None` if the operators do not say.
    pub priority: Option<u32>,
    /// Whether its requests may be repeated.
    pub kind: RequestKind,
    /// How long callers wait for a response; `None` if the operators do not say.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub timeout: Option<Duration>,
    /// How soon a request should be answered; `None` if the operators do not say.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub target: Option<Duration>,
    /// The services that share its new flows.
    pub services: Vec<ServiceShare>,
}

/// One service that has routes, as a host sees it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Its name.
    pub name: ServiceName,
    /// Whether decisions for it regard its load.
    pub contended: bool,
    /// Requests in progress for each slot of its upstreams in this zone, in thousandths.
    pub pressure: u32,
    /// Time since that was measured; `None` if nothing is known.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub measured_ago: Option<Duration>,
    /// Its classes of requests, the most urgent first.
    pub classes: Vec<ClassStatus>,
}

/// One class of a service's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassStatus {
    /// Its rank; 0 is the most urgent.
    pub rank: ClassRank,
    /// The priorities of its routes, the most urgent first; `None` for routes that publish none.
    pub priorities: Vec<Option<u32>>,
}

/// One upstream, as a host sees it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Its name.
    pub name: UpstreamName,
    /// The service whose flows it may take.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// What the registry says, in a word.
    pub registration: SmolStr,
    /// Whether new flows avoid it because it was silent.
    pub avoided: bool,
    /// Whether new flows avoid it because it fails its requests.
    #[serde(default)]
    pub failing: bool,
    /// Flows that it has through this host.
    pub flows: u32,
    /// Those of them that wait for an answer.
    pub waiting: u32,
    /// Time since it last proved to be alive.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub heard_ago: Option<Duration>,
}

impl PacketStatus {
    /// The position of the store up to which it knows every change.
    pub fn position(&self) -> StorePosition {
        StorePosition {
            era: self.era,
            revision: self.through,
        }
    }

    /// The state of a core; what the shell knows is left to it.
    pub fn of(core: &PacketCore, now: Instant) -> Self {
        let mut upstreams: Vec<UpstreamStatus> = core
            .upstreams()
            .records()
            .map(|record| upstream_status(core, record, now))
            .collect();
        upstreams.sort_by(|left, right| left.name.cmp(&right.name));
        Self {
            version: core.view().routes().map(|routes| routes.version),
            era: core.view().through().era,
            through: core.view().through().revision,
            peers: core.peers().alive_hosts(now),
            reads: core.reads(),
            reader: core.zone_reader(now),
            flows: core.evidence().open_flows(),
            evacuated: evacuation_statuses(core, now),
            routes: route_statuses(core),
            services: service_statuses(core, now),
            upstreams,
            ..Self::default()
        }
    }
}

fn route_statuses(core: &PacketCore) -> Vec<RouteStatus> {
    let config = core.view().routes();
    let routes = config.iter().flat_map(|config| &config.routes);
    let mut statuses: Vec<RouteStatus> = routes.map(route_status).collect();
    statuses.sort_by_key(|status| status.address);
    statuses
}

/// The services that have routes, by name.
pub fn service_statuses(core: &PacketCore, now: Instant) -> Vec<ServiceStatus> {
    let config = core.view().routes();
    let routes = config.iter().flat_map(|config| &config.routes);
    let mut priorities: BTreeMap<&ServiceName, BTreeSet<RequestPriority>> = BTreeMap::new();
    for route in routes {
        for share in route.shares.iter().filter(|share| share.weight > 0) {
            let of_service = priorities.entry(&share.service).or_default();
            of_service.insert(route.priority);
        }
    }
    let mut statuses: Vec<ServiceStatus> = Vec::with_capacity(priorities.len());
    for (pool, service) in core.upstreams().pools().iter().zip(0..) {
        let Some(priorities) = priorities.get(&pool.name) else {
            continue;
        };
        let room = core.load().room(now, service);
        let updated_at = room.updated_at;
        statuses.push(ServiceStatus {
            name: pool.name.clone(),
            contended: room.is_contended,
            pressure: room.pressure,
            measured_ago: updated_at.map(|at| now.saturating_duration_since(at)),
            classes: class_statuses(priorities),
        });
    }
    statuses.sort_by(|left, right| left.name.cmp(&right.name));
    statuses
}

fn class_statuses(priorities: &BTreeSet<RequestPriority>) -> Vec<ClassStatus> {
    let mut statuses: Vec<ClassStatus> = Vec::with_capacity(MOST_CLASSES);
    for priority in priorities {
        let priority = stated_priority(*priority);
        if statuses.len() < MOST_CLASSES {
            statuses.push(ClassStatus {
                rank: statuses.len() as ClassRank,
                priorities: vec![priority],
            });
        } else if let Some(last) = statuses.last_mut() {
            last.priorities.push(priority);
        }
    }
    statuses
}

/// The priority of a route; `None` if its operators do not say.
fn stated_priority(priority: RequestPriority) -> Option<u32> {
    (priority != RequestPriority::LEAST_URGENT).then_some(priority.0)
}

fn route_status(route: &ServiceRoute) -> RouteStatus {
    RouteStatus {
        address: route.address,
        priority: stated_priority(route.priority),
        kind: route.kind,
        timeout: route.timeout,
        target: route.target,
        services: route.shares.clone(),
    }
}

fn evacuation_statuses(core: &PacketCore, now: Instant) -> Vec<EvacuationStatus> {
    let upstreams = core.upstreams();
    let flows = upstreams.evacuated_flows();
    let zones = upstreams.evacuated().iter();
    let statuses = zones.map(|(zone, evacuation)| EvacuationStatus {
        zone: zone.clone(),
        revision: evacuation.revision,
        applied_ago: now.saturating_duration_since(evacuation.applied_at),
        flows: flows.get(zone).copied().unwrap_or_default(),
    });
    statuses.collect()
}

fn upstream_status(core: &PacketCore, record: &UpstreamRecord, now: Instant) -> UpstreamStatus {
    let registration = match record.registration {
        RegistrationState::Ready => "ready",
        RegistrationState::Draining => "draining",
        RegistrationState::Lapsed { .. } => "lapsed",
        RegistrationState::Deregistered { .. } => "deregistered",
    };
    let sign = record.silence.last_response();
    UpstreamStatus {
        name: record.name.clone(),
        service: core.upstreams().pool(record.service).name.clone(),
        zone: record.zone.clone(),
        address: record.address,
        registration: registration.into(),
        avoided: record.silence.is_ejected(),
        failing: record.answers.is_failing(),
        flows: record.flows,
        waiting: record.waiting,
        heard_ago: sign.map(|sign| now.saturating_duration_since(sign)),
    }
}
