//! Parses the value of a published key into entries by number, once, where the platform is read.
//!
//! Hosts send each other the entries as arrays without field names, a third of the size of the
//! JSON.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::config_snapshot::HostEntry;
use crate::config_snapshot::UpstreamState;
use crate::ids::Generation;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::ids::ZoneName;
use crate::label_selector::LabelMap;
use crate::published_config::ServiceDoc;
use crate::published_config::UpstreamDoc;

/// Prefix of the keys of services.
pub const SERVICES_PREFIX: &str = "services/";
/// Prefix of the keys of upstreams.
pub const UPSTREAMS_PREFIX: &str = "upstreams/";
/// Prefix of the keys of entry hosts.
pub const HOSTS_PREFIX: &str = "hosts/";

/// Number of an entry, unique among entries of its kind.
pub type EntryId = u32;

/// One entry of a published list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "EntryRow", from = "EntryRow")]
pub enum EntryDoc {
    /// A service.
    Service(ServiceDoc),
    /// An upstream.
    Upstream(UpstreamDoc),
    /// An entry host.
    Host(HostEntry),
}

impl EntryDoc {
    /// The entry's number.
    pub fn id(&self) -> EntryId {
        match self {
            Self::Service(doc) => doc.id,
            Self::Upstream(doc) => doc.id,
            Self::Host(entry) => entry.id,
        }
    }

    /// Whether the entry takes no new work: a draining upstream or a leaving host.
    pub fn is_closing(&self) -> bool {
        match self {
            Self::Service(_) => false,
            Self::Upstream(doc) => doc.state == UpstreamState::Draining,
            Self::Host(entry) => entry.leaving,
        }
    }

    /// A copy of the entry that takes no new work if `closing`, and takes new work otherwise.
    /// Services have no such state and are copied unchanged.
    pub fn with_closing(&self, closing: bool) -> Self {
        let mut doc = self.clone();
        match &mut doc {
            Self::Service(_) => {}
            Self::Upstream(upstream) if closing => upstream.state = UpstreamState::Draining,
            Self::Upstream(upstream) => upstream.state = UpstreamState::Active,
            Self::Host(entry) => entry.leaving = closing,
        }
        doc
    }
}

/// The entries of a key, by number.
pub type EntryRows = BTreeMap<EntryId, Arc<EntryDoc>>;

/// The value of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyValue {
    /// Valid entries.
    Rows(EntryRows),
    /// The published value could not be parsed, for this reason; a configuration that includes it
    /// is rejected whole.
    Invalid(SmolStr),
}

impl KeyValue {
    /// Parses the JSON that is published under `key`.
    ///
    /// A fault gives `Invalid` instead of an error, so that every host learns of the fault and
    /// rejects the same version.
    pub fn parse(key: &str, json: &Value) -> Self {
        let docs = if key.starts_with(SERVICES_PREFIX) {
            parse_list(json, EntryDoc::Service)
        } else if key.starts_with(UPSTREAMS_PREFIX) {
            parse_list(json, EntryDoc::Upstream)
        } else if key.starts_with(HOSTS_PREFIX) {
            parse_list(json, EntryDoc::Host)
        } else {
            return Self::Rows(EntryRows::new());
        };
        docs.and_then(index_rows)
            .map_or_else(Self::Invalid, Self::Rows)
    }

    /// The entries; `None` if the value is invalid.
    pub fn rows(&self) -> Option<&EntryRows> {
        match self {
            Self::Rows(rows) => Some(rows),
            Self::Invalid(_) => None,
        }
    }
}

fn parse_list<T: DeserializeOwned>(
    json: &Value,
    wrap: fn(T) -> EntryDoc,
) -> Result<Vec<EntryDoc>, SmolStr> {
    let docs = Vec::<T>::deserialize(json);
    let docs = docs.map_err(|error| format_smolstr!("{error}"))?;
    Ok(docs.into_iter().map(wrap).collect())
}

fn index_rows(docs: Vec<EntryDoc>) -> Result<EntryRows, SmolStr> {
    let mut rows = EntryRows::new();
    for doc in docs {
        let id = doc.id();
        if rows.insert(id, Arc::new(doc)).is_some() {
            return Err(format_smolstr!("number {id} stands twice"));
        }
    }
    Ok(rows)
}

/// An entry as hosts send it to each other, with fields by position.
#[derive(Serialize, Deserialize)]
enum EntryRow {
    #[serde(rename = "s")]
    Service(ServiceId, SmolStr, SocketAddr, String),
    #[serde(rename = "u")]
    Upstream(
        UpstreamId,
        SmolStr,
        SocketAddr,
        Option<SocketAddr>,
        ZoneName,
        Generation,
        LabelMap,
        UpstreamState,
        u32,
        u32,
    ),
    #[serde(rename = "h")]
    Host(HostId, ZoneName, GroupId, SocketAddr, SocketAddr, bool),
}

impl From<EntryDoc> for EntryRow {
    fn from(doc: EntryDoc) -> Self {
        match doc {
            EntryDoc::Service(doc) => Self::Service(doc.id, doc.name, doc.address, doc.selector),
            EntryDoc::Upstream(doc) => Self::Upstream(
                doc.id,
                doc.name,
                doc.address,
                doc.health_address,
                doc.zone,
                doc.incarnation,
                doc.labels,
                doc.state,
                doc.slots,
                doc.connections,
            ),
            EntryDoc::Host(entry) => Self::Host(
                entry.id,
                entry.zone,
                entry.cell,
                entry.peer_address,
                entry.control_address,
                entry.leaving,
            ),
        }
    }
}

impl From<EntryRow> for EntryDoc {
    fn from(row: EntryRow) -> Self {
        match row {
            EntryRow::Service(id, name, address, selector) => Self::Service(ServiceDoc {
                id,
                name,
                address,
                selector,
            }),
            EntryRow::Upstream(
                id,
                name,
                address,
                health_address,
                zone,
                incarnation,
                labels,
                state,
                slots,
                connections,
            ) => Self::Upstream(UpstreamDoc {
                id,
                name,
                address,
                health_address,
                zone,
                incarnation,
                labels,
                state,
                slots,
                connections,
            }),
            EntryRow::Host(id, zone, cell, peer_address, control_address, leaving) => {
                Self::Host(HostEntry {
                    id,
                    zone,
                    cell,
                    peer_address,
                    control_address,
                    leaving,
                })
            }
        }
    }
}
