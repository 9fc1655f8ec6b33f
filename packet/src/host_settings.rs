//! What an entry host is told of itself and its surroundings at its start.

use std::net::SocketAddrV4;
use std::time::Duration;

use lagoonproxy::ids::ZoneName;
use smol_str::SmolStr;

use crate::admission::warmup_admission::WarmupTolerance;

/// The settings of one entry host, checked as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostSettings {
    /// Name of the host, for logs.
    pub host: SmolStr,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Every availability zone of the deployment that the platform names, this one included.
    pub zones: Vec<ZoneName>,
    /// Thousandths of a core that the host has.
    pub capacity: u32,
    /// Where callers' packets arrive.
    pub packet_address: SocketAddrV4,
    /// Where the fabric asks whether the host takes packets.
    pub ready_address: SocketAddrV4,
    /// Where peers reach this host: the first of the ports that are free for the system's own use,
    /// the same on all hosts.
    pub peer_address: SocketAddrV4,
    /// Peers that may be alive, as the platform names them at the start.
    pub seed_peers: Vec<SocketAddrV4>,
    /// Where the platform's store answers.
    pub store_address: SocketAddrV4,
    /// Time between the request to stop and the end by force.
    pub stop_grace: Duration,
    /// How far flows may exceed the rate of upstreams that warm up; `None` if not at all.
    pub warmup_tolerance: Option<WarmupTolerance>,
    /// Longest life of a flow; a former upstream is remembered as long.
    pub flow_age: Duration,
}
