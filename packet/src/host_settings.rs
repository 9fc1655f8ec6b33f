//! The settings of an entry host.

use std::net::SocketAddrV4;
use std::time::Duration;

use lagoonproxy::ids::ZoneName;
use smol_str::SmolStr;

use crate::admission::warmup_admission::WarmupTolerance;

/// The settings of one entry host. They have been validated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostSettings {
    /// Name of the host, for logs.
    pub host: SmolStr,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// All availability zones of the deployment that the platform names, including the host's own.
    pub zones: Vec<ZoneName>,
    /// CPU share of the host, in thousandths of a core.
    pub capacity: u32,
    /// Address that receives callers' packets.
    pub packet_address: SocketAddrV4,
    /// Address of the readiness endpoint, which the fabric polls.
    pub ready_address: SocketAddrV4,
    /// Address that receives peers' messages. Its port is the first of those reserved for internal
    /// use, and the same on all hosts.
    pub peer_address: SocketAddrV4,
    /// Peers that the platform names. They may be down.
    pub seed_peers: Vec<SocketAddrV4>,
    /// Address of the platform's store.
    pub store_address: SocketAddrV4,
    /// Time between the request to stop and a forced stop.
    pub stop_grace: Duration,
    /// How far new flows may exceed the rate limit of warming upstreams; `None` if not at all.
    pub warmup_tolerance: Option<WarmupTolerance>,
    /// Longest lifetime of a flow. Deregistered upstreams are kept for the same time.
    pub max_flow_age: Duration,
}
