//! The operators' configuration: which service answers at which address.

use std::net::SocketAddrV4;
use std::time::Duration;

use lagoonproxy::ids::Version;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use smol_str::SmolStr;

use crate::ids::ServiceName;

/// One configuration, whole.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// Grows with each configuration, not always by one.
    pub version: Version,
    /// Every route; no two have the same address.
    pub routes: Vec<ServiceRoute>,
    /// How long a flow may be silent before it may be forgotten.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub flow_idle: Duration,
    /// The services whose upstreams state how they warm up; no two of the same name.
    pub warmups: Vec<ServiceWarmup>,
    /// The services whose upstreams hold a limited number of connections; no two of the same name.
    pub connection_limits: Vec<ConnectionLimit>,
    /// The fields of routes and services that were left unset because of their content; at most one entry for
    /// each field and reason.
    pub field_faults: Vec<FieldFault>,
}

/// Why a published field is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum FieldFaultReason {
    /// It is not there.
    Missing,
    /// It has another type, or is out of range.
    Invalid,
}

/// A field that some routes or services of a configuration do not state, or state wrongly.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldFault {
    /// The field, as published.
    pub field: SmolStr,
    /// Why it is not used.
    pub reason: FieldFaultReason,
    /// The first route or service concerned.
    pub owner: SmolStr,
    /// The beginning of the text that stands there; empty if it is missing.
    pub value: SmolStr,
    /// Routes or services concerned.
    pub count: u32,
}

/// How the upstreams of a service warm up after their start.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWarmup {
    /// The service.
    pub service: ServiceName,
    /// How long an upstream warms up.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub duration: Duration,
    /// Thousandths of a request that one bears a second meanwhile; 0 if the operators state no rate.
    pub rate: u64,
}

/// How urgent the requests of a route are. The most urgent is the smallest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestPriority(pub u32);

impl RequestPriority {
    /// The priority of routes that publish none.
    pub const LEAST_URGENT: Self = Self(u32::MAX);
}

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// The operators do not say.
    #[default]
    Unknown,
    /// Idempotent.
    Idempotent,
    /// Idempotent, with a large response.
    Download,
    /// Must run once at most.
    NonIdempotent,
}

/// The most connections that one upstream of a service holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionLimit {
    /// The service.
    pub service: ServiceName,
    /// Open flows of one upstream; at least 1.
    pub connections: u32,
}

/// Where new flows of one address go.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRoute {
    /// The address that callers use.
    pub address: SocketAddrV4,
    /// The services that share the new flows; never empty, and the weights' sum is above 0.
    pub shares: Vec<ServiceShare>,
    /// How soon a request should be answered, counted from its caller's first packet; `None` if the
    /// operators do not say.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    pub target: Option<Duration>,
    /// How urgent its requests are; [`RequestPriority::LEAST_URGENT`] if the operators do not say.
    pub priority: RequestPriority,
    /// Whether its requests may be repeated.
    pub kind: RequestKind,
    /// How long callers wait for a response, from their first packet; `None` if the operators do not say.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    pub timeout: Option<Duration>,
}

/// The share of one service in the new flows of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceName,
    /// Its part, against the sum of all parts of the route.
    pub weight: u32,
}
