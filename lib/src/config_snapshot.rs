//! The configuration in force on a host, compiled from what the platform publishes.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::ids::CellId;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ServiceAddress;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::ids::Version;
use crate::ids::ZoneName;

/// A service and the upstreams that its selector matches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Its number.
    pub id: ServiceId,
    /// Its published name.
    pub name: SmolStr,
    /// Where callers send to.
    pub address: ServiceAddress,
    /// The upstreams that may carry its traffic, in ascending order, without duplicates.
    pub upstreams: Vec<UpstreamId>,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// It takes new flows and requests.
    Active,
    /// It finishes what it has and takes nothing new.
    Draining,
}

/// An upstream as published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Its number.
    pub id: UpstreamId,
    /// Its published name.
    pub name: SmolStr,
    /// Where hosts send to.
    pub address: SocketAddr,
    /// Where its health and load endpoints answer, if it has any.
    pub health_address: Option<SocketAddr>,
    /// The availability zone it is in.
    pub zone: ZoneName,
    /// Grows when the address is given to another process.
    pub incarnation: Incarnation,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many flows it holds at once.
    pub connections: u32,
}

/// One configuration, whole and valid.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// Its version; a host never puts a smaller one in force after a larger.
    pub version: Version,
    /// The services, by number.
    pub services: HashMap<ServiceId, ServiceEntry>,
    /// The upstreams, by number.
    pub upstreams: HashMap<UpstreamId, UpstreamEntry>,
    /// The number of the service at each address.
    pub addresses: HashMap<ServiceAddress, ServiceId>,
}

impl ConfigSnapshot {
    /// The service that callers reach at `address`.
    pub fn service_at(&self, address: ServiceAddress) -> Option<&ServiceEntry> {
        let id = self.addresses.get(&address)?;
        self.services.get(id)
    }
}

/// An entry host as published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Its number.
    pub id: HostId,
    /// The availability zone it is in.
    pub zone: ZoneName,
    /// The cell it belongs to; today's fleets are one cell each.
    #[serde(default)]
    pub cell: CellId,
    /// Where its peers send forwarded datagrams.
    pub peer_address: SocketAddr,
    /// Where its control daemon accepts peers.
    pub control_address: SocketAddr,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// The entry hosts that a host believes usable, with the version of the list behind it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostView {
    /// Version of the published list.
    pub version: Version,
    /// Every published host, in ascending order of number.
    pub published: Vec<HostEntry>,
    /// The numbers of those that are believed alive, in ascending order.
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
