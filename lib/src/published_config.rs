//! The configuration that operators publish on the platform, and its compilation into a snapshot.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::config_check::ConfigFaults;
use crate::config_check::config_faults;
use crate::config_snapshot::ConfigSnapshot;
use crate::config_snapshot::HostEntry;
use crate::config_snapshot::ServiceEntry;
use crate::config_snapshot::UpstreamEntry;
use crate::config_snapshot::UpstreamState;
use crate::ids::Generation;
use crate::ids::ServiceAddress;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::ids::Version;
use crate::ids::ZoneName;
use crate::label_selector::LabelMap;
use crate::label_selector::LabelSelector;

/// A service as an operator writes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDoc {
    /// Its number; never reused for another service.
    pub id: ServiceId,
    /// Its name.
    pub name: SmolStr,
    /// The address to which callers send.
    pub address: ServiceAddress,
    /// The selector of the upstreams that may carry its traffic.
    pub selector: String,
}

/// An upstream as an operator writes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamDoc {
    /// Its number; never reused for another upstream.
    pub id: UpstreamId,
    /// Its name.
    pub name: SmolStr,
    /// The address to which hosts send.
    pub address: SocketAddr,
    /// The address of its health and load endpoints, if it has any.
    #[serde(default)]
    pub health_address: Option<SocketAddr>,
    /// The availability zone it is in.
    pub zone: ZoneName,
    /// Grows when the address is given to another process.
    #[serde(default)]
    pub incarnation: Generation,
    /// Its labels.
    pub labels: LabelMap,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// Maximum number of flows that it holds at once.
    pub connections: u32,
}

/// All published services and upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishedConfig {
    /// Grows with each change.
    pub version: Version,
    /// The services.
    pub services: Vec<ServiceDoc>,
    /// The upstreams.
    pub upstreams: Vec<UpstreamDoc>,
}

/// The platform's list of entry hosts, which lags behind their actual state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishedHosts {
    /// Grows with each change.
    pub version: Version,
    /// The hosts.
    pub hosts: Vec<HostEntry>,
}

impl PublishedConfig {
    /// Compiles the documents; fails with all faults if there are any.
    pub fn compile(&self) -> Result<ConfigSnapshot, ConfigFaults> {
        let faults = config_faults(self);
        if !faults.is_empty() {
            return Err(ConfigFaults { faults });
        }
        let mut snapshot = ConfigSnapshot {
            version: self.version,
            ..ConfigSnapshot::default()
        };
        for doc in &self.upstreams {
            snapshot.upstreams.insert(doc.id, compile_upstream(doc));
        }
        for doc in &self.services {
            // A selector that cannot be parsed is a fault and was rejected above.
            if let Ok(selector) = LabelSelector::parse(&doc.selector) {
                let service = self.compile_service(doc, &selector);
                snapshot.addresses.insert(service.address, service.id);
                snapshot.services.insert(service.id, service);
            }
        }
        Ok(snapshot)
    }

    fn compile_service(&self, doc: &ServiceDoc, selector: &LabelSelector) -> ServiceEntry {
        let mut upstreams: Vec<UpstreamId> = self
            .upstreams
            .iter()
            .filter(|upstream| selector.matches(&upstream.labels))
            .map(|upstream| upstream.id)
            .collect();
        upstreams.sort_unstable();
        ServiceEntry {
            id: doc.id,
            name: doc.name.clone(),
            address: doc.address,
            upstreams,
        }
    }
}

/// Converts a published upstream to the form that hosts use.
pub(crate) fn compile_upstream(doc: &UpstreamDoc) -> UpstreamEntry {
    UpstreamEntry {
        id: doc.id,
        name: doc.name.clone(),
        address: doc.address,
        health_address: doc.health_address,
        zone: doc.zone.clone(),
        incarnation: doc.incarnation,
        state: doc.state,
        slots: doc.slots,
        connections: doc.connections,
    }
}
