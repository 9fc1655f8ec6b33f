//! The configuration that operators publish: the services behind each address.

use std::net::SocketAddrV4;
use std::time::Duration;

use lagoonproxy::ids::Version;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use smol_str::SmolStr;

use crate::ids::ServiceName;

/// One version of the whole configuration.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// Version; increases with each configuration, not always by one.
    pub version: Version,
    /// All routes; addresses are unique.
    pub routes: Vec<ServiceRoute>,
    /// How long a flow may have no packets before its record may be dropped.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub flow_idle: Duration,
    /// Warm-up of the services that publish one; service names are unique.
    pub warmups: Vec<ServiceWarmup>,
    /// Connection limits of the services that publish one; service names are unique.
    pub connection_limits: Vec<ConnectionLimit>,
    /// Fields of routes and services that are ignored because of their content; at most one entry
    /// per field and reason.
    pub field_faults: Vec<FieldFault>,
}

/// Why a published field is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum FieldFaultReason {
    /// The field is missing.
    Missing,
    /// The value has the wrong type or is out of range.
    Invalid,
}

/// A field that is missing or invalid in some routes or services of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldFault {
    /// Name of the field, as published.
    pub field: SmolStr,
    /// Why the field is ignored.
    pub reason: FieldFaultReason,
    /// Name of the first route or service with this fault.
    pub owner: SmolStr,
    /// Beginning of the published value; empty if the field is missing.
    pub value: SmolStr,
    /// Number of routes or services with this fault.
    pub count: u32,
}

/// How the upstreams of a service warm up after their start.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWarmup {
    /// Name of the service.
    pub service: ServiceName,
    /// Duration of the warm-up.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub duration: Duration,
    /// Requests per second, in thousandths, that an upstream can handle while it warms up; 0 if
    /// the operators publish no rate.
    pub rate: u64,
}

/// Priority of a route's requests; a smaller value is more urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestPriority(pub u32);

impl RequestPriority {
    /// Priority of routes that publish none.
    pub const LEAST_URGENT: Self = Self(u32::MAX);
}

/// Kind of a route's requests: whether they may be repeated, and whether responses are large.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// The operators publish no kind.
    #[default]
    Unknown,
    /// Requests are idempotent.
    Idempotent,
    /// Requests are idempotent and have large responses.
    Download,
    /// Requests must be executed at most once.
    NonIdempotent,
}

/// Connection limit of the upstreams of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionLimit {
    /// Name of the service.
    pub service: ServiceName,
    /// Maximum number of open flows of one upstream; at least 1.
    pub connections: u32,
}

/// Route of the new flows to one address.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRoute {
    /// Address that callers connect to.
    pub address: SocketAddrV4,
    /// Services that share the new flows; never empty, and the sum of the weights is greater than
    /// 0.
    pub shares: Vec<ServiceShare>,
    /// Latency objective, counted from the caller's first packet; `None` if the operators publish
    /// none.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    pub target: Option<Duration>,
    /// Priority of its requests; [`RequestPriority::LEAST_URGENT`] if the operators publish none.
    pub priority: RequestPriority,
    /// Whether its requests may be repeated, and whether their responses are large.
    pub kind: RequestKind,
    /// How long callers wait for a response, from their first packet; `None` if the operators
    /// publish no timeout.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    pub timeout: Option<Duration>,
}

/// Share of one service in the new flows of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight, relative to the sum of the weights of the route.
    pub weight: u32,
}
