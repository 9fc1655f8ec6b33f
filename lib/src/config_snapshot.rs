//! The configuration in force on a host, compiled from the published one.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::ids::Generation;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::ServiceAddress;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::ids::Version;
use crate::ids::ZoneName;

/// A service and the upstreams that its selector matches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Its number, unique among entries of its kind.
    pub id: ServiceId,
    /// Its published name.
    pub name: SmolStr,
    /// The address to which callers send.
    pub address: ServiceAddress,
    /// The upstreams that its selector matches, in ascending order, without duplicates.
    pub upstreams: Vec<UpstreamId>,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// It takes new flows and requests.
    Active,
    /// It finishes its flows and requests and takes no new ones.
    Draining,
}

/// An upstream as hosts use it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Its number, unique among entries of its kind.
    pub id: UpstreamId,
    /// Its published name.
    pub name: SmolStr,
    /// The address to which hosts send.
    pub address: SocketAddr,
    /// The address of its health and load endpoints, if it has any.
    pub health_address: Option<SocketAddr>,
    /// The availability zone it is in.
    pub zone: ZoneName,
    /// Grows when the address is given to another process.
    pub incarnation: Generation,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// Maximum number of flows that it holds at once.
    pub connections: u32,
}

/// A valid configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// Its version; a host never replaces a version in force by a smaller one.
    pub version: Version,
    /// The services, by number.
    pub services: HashMap<ServiceId, ServiceEntry>,
    /// The upstreams, by number.
    pub upstreams: HashMap<UpstreamId, UpstreamEntry>,
    /// The number of the service at each address.
    pub addresses: HashMap<ServiceAddress, ServiceId>,
}

impl ConfigSnapshot {
    /// The service whose address is `address`.
    pub fn service_at(&self, address: ServiceAddress) -> Option<&ServiceEntry> {
        let id = self.addresses.get(&address)?;
        self.services.get(id)
    }
}

/// An entry host as published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Its number, unique among entries of its kind.
    pub id: HostId,
    /// The availability zone it is in.
    pub zone: ZoneName,
    /// The ownership group within which the host's flows are owned; each fleet is one group at
    /// present.
    #[serde(default)]
    pub cell: GroupId,
    /// The address to which peers send forwarded datagrams.
    pub peer_address: SocketAddr,
    /// The address at which its control daemon accepts peers.
    pub control_address: SocketAddr,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// The published entry hosts, and those among them that are taken to be alive.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostView {
    /// Version of the published list.
    pub version: Version,
    /// All published hosts, in ascending order of number.
    pub published: Vec<HostEntry>,
    /// The numbers of the hosts that are taken to be alive, in ascending order.
    pub alive: Vec<HostId>,
}

impl HostView {
    /// The published entry of a host.
    pub fn host(&self, id: HostId) -> Option<&HostEntry> {
        let index = self
            .published
            .binary_search_by_key(&id, |host| host.id)
            .ok()?;
        self.published.get(index)
    }
}
