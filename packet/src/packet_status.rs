//! The status of an entry host, for operators.

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
use crate::routes::route_table::MAX_CLASSES;
use crate::state::store_position::StorePosition;
use crate::upstreams::upstream_record::UpstreamRecord;

/// The status of one host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PacketStatus {
    /// Name of the host.
    pub host: SmolStr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it can place flows, so that the fabric should send it packets.
    pub ready: bool,
    /// Whether it was requested to stop.
    pub stopping: bool,
    /// Version of the routes in force; `None` before the first.
    pub version: Option<Version>,
    /// Era of the state that it holds: how often the store was restored from a backup.
    #[serde(default)]
    pub era: StoreEra,
    /// Revision of the store in that era up to which it knows every change.
    pub through: Revision,
    /// Number of other hosts that are alive by their heartbeats.
    pub peers: usize,
    /// Whether it is the reader of its zone, which reads the store and forwards changes.
    #[serde(default)]
    pub reads: bool,
    /// Another host of its zone whose heartbeats say that it is the reader, if any.
    #[serde(default)]
    pub reader: Option<SocketAddrV4>,
    /// Number of open flows that it tracks.
    pub flows: usize,
    /// The zones in which it places no new flows, sorted by name.
    #[serde(default)]
    pub evacuated: Vec<EvacuationStatus>,
    /// The routes in force, sorted by address.
    #[serde(default)]
    pub routes: Vec<RouteStatus>,
    /// The services that have routes, sorted by name.
    #[serde(default)]
    pub services: Vec<ServiceStatus>,
    /// All known upstreams, sorted by name.
    pub upstreams: Vec<UpstreamStatus>,
}

/// The evacuation of a zone, as applied by a host.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationStatus {
    /// The zone.
    pub zone: ZoneName,
    /// The store's revision of the evacuation request.
    pub revision: Revision,
    /// Time since this host applied the evacuation.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub applied_ago: Duration,
    /// Open flows through this host to the zone's upstreams. Several hosts may track the same flow,
    /// so that the sum over hosts is an upper bound.
    pub flows: u32,
}

/// The status of one route.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteStatus {
    /// The address that callers use.
    pub address: SocketAddrV4,
    /// Priority of its requests, 0 the most urgent; `None` if not configured.
    pub priority: Option<u32>,
    /// Kind of its requests: whether they are idempotent.
    pub kind: RequestKind,
    /// How long callers wait for a response; `None` if not configured.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub timeout: Option<Duration>,
    /// Latency objective of its requests; `None` if not configured.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub target: Option<Duration>,
    /// The services that share its new flows, with their weights.
    pub services: Vec<ServiceShare>,
}

/// The status of one service that has routes.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Its name.
    pub name: ServiceName,
    /// Whether it is contended: new flows are placed by load and admitted by priority class.
    pub contended: bool,
    /// Requests in progress per slot of its upstreams in this zone, in thousandths. Raised while
    /// upstreams shed.
    pub pressure: u32,
    /// Time since the pressure was measured; `None` if it is unknown.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub measured_ago: Option<Duration>,
    /// Its priority classes, the most urgent first.
    pub classes: Vec<ClassStatus>,
}

/// One priority class of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassStatus {
    /// Its rank; 0 is the most urgent.
    pub rank: ClassRank,
    /// The priorities of its routes, the most urgent first; `None` for routes without one.
    pub priorities: Vec<Option<u32>>,
}

/// The status of one upstream.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Its name.
    pub name: UpstreamName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address that receives its packets.
    pub address: SocketAddrV4,
    /// State of its registration: `ready`, `draining`, `lapsed` or `deregistered`.
    pub registration: SmolStr,
    /// Whether it is ejected, because it did not respond to several attempts.
    pub avoided: bool,
    /// Whether it is ejected, because too many of its requests failed.
    #[serde(default)]
    pub failing: bool,
    /// Active flows through this host.
    pub flows: u32,
    /// The number of those flows that wait for a response.
    pub waiting: u32,
    /// Time since its last response; `None` before the first.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub heard_ago: Option<Duration>,
}

impl PacketStatus {
    /// Returns the position of the store up to which the host knows every change.
    pub fn position(&self) -> StorePosition {
        StorePosition {
            era: self.era,
            revision: self.through,
        }
    }

    /// Returns the status of a core. `host`, `zone`, `ready` and `stopping` are left to the caller.
    pub fn of(core: &PacketCore, now: Instant) -> Self {
        let mut upstreams: Vec<UpstreamStatus> = core
            .upstreams()
            .records()
            .map(|record| upstream_status(core, record, now))
            .collect();
        upstreams.sort_by(|left, right| left.name.cmp(&right.name));
        Self {
            version: core.snapshot().routes().map(|routes| routes.version),
            era: core.snapshot().through().era,
            through: core.snapshot().through().revision,
            peers: core.peers().live_hosts(now),
            reads: core.reads(),
            reader: core.zone_reader(now),
            flows: core.flow_tracker().open_flows(),
            evacuated: evacuation_statuses(core, now),
            routes: route_statuses(core),
            services: service_statuses(core, now),
            upstreams,
            ..Self::default()
        }
    }
}

fn route_statuses(core: &PacketCore) -> Vec<RouteStatus> {
    let config = core.snapshot().routes();
    let routes = config.iter().flat_map(|config| &config.routes);
    let mut statuses: Vec<RouteStatus> = routes.map(route_status).collect();
    statuses.sort_by_key(|status| status.address);
    statuses
}

/// The services that have routes, sorted by name.
pub fn service_statuses(core: &PacketCore, now: Instant) -> Vec<ServiceStatus> {
    let config = core.snapshot().routes();
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
        let contention = core.load().contention(now, service);
        let updated_at = contention.updated_at;
        statuses.push(ServiceStatus {
            name: pool.name.clone(),
            contended: contention.is_contended,
            pressure: contention.pressure,
            measured_ago: updated_at.map(|at| now.saturating_duration_since(at)),
            classes: class_statuses(priorities),
        });
    }
    statuses.sort_by(|left, right| left.name.cmp(&right.name));
    statuses
}

fn class_statuses(priorities: &BTreeSet<RequestPriority>) -> Vec<ClassStatus> {
    let mut statuses: Vec<ClassStatus> = Vec::with_capacity(MAX_CLASSES);
    for priority in priorities {
        let priority = published_priority(*priority);
        if statuses.len() < MAX_CLASSES {
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

/// Returns the priority that a route publishes; `None` without one.
fn published_priority(priority: RequestPriority) -> Option<u32> {
    (priority != RequestPriority::LEAST_URGENT).then_some(priority.0)
}

fn route_status(route: &ServiceRoute) -> RouteStatus {
    RouteStatus {
        address: route.address,
        priority: published_priority(route.priority),
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
    let last_response = record.failure_detector.last_response();
    UpstreamStatus {
        name: record.name.clone(),
        service: core.upstreams().pool(record.service).name.clone(),
        zone: record.zone.clone(),
        address: record.address,
        registration: record.registration.name().into(),
        avoided: record.failure_detector.is_ejected(),
        failing: record.outlier_detector.is_failing(),
        flows: record.flows,
        waiting: record.waiting,
        heard_ago: last_response.map(|last_response| now.saturating_duration_since(last_response)),
    }
}
