//! Placement tables: the upstream of a new flow as a function of the flow and the published
//! configuration.
//!
//! Every host with the same configuration computes the same upstream for a flow, so that flows on
//! that upstream need no copies of their records. Each member has a rendezvous weight for each
//! flow: a change of one member moves only that member's flows, and only the members need to be
//! stored.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::config_snapshot::ConfigSnapshot;
use crate::config_snapshot::ServiceEntry;
use crate::config_snapshot::UpstreamState;
use crate::flow_binding::FlowBinding;
use crate::flow_hash::rendezvous_key;
use crate::flow_hash::rendezvous_weight;
use crate::ids::FlowDigest;
use crate::ids::Generation;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;

/// Hash of a table's content. It is the same on every host, whatever configurations the host has
/// seen before.
pub type TableId = u64;

/// Maximum number of tables kept per service, including the one in force.
///
/// Hosts may use different tables for seconds after a change; the limit covers that many changes of
/// one service in that time. A flow of a dropped table costs a query to the peers, but never gets a
/// wrong upstream.
pub const MAX_KEPT_TABLES: usize = 16;

/// An upstream that takes new flows of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableMember {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The upstream's published generation. Another generation is another member.
    pub incarnation: Generation,
}

/// The upstreams of a service under one configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementTable {
    service: ServiceId,
    id: TableId,
    /// In ascending order of upstream id.
    members: Vec<TableMember>,
}

impl PlacementTable {
    /// Returns the table of a service under a configuration, with its active upstreams as members.
    pub fn build(config: &ConfigSnapshot, service: &ServiceEntry) -> Self {
        let members = service.upstreams.iter().filter_map(|id| {
            let entry = config.upstreams.get(id)?;
            (entry.state == UpstreamState::Active).then_some(TableMember {
                upstream: entry.id,
                incarnation: entry.incarnation,
            })
        });
        Self::of_members(service.id, members.collect())
    }

    /// Returns the table with the given members, which must be in ascending order of upstream id.
    pub fn of_members(service: ServiceId, members: Vec<TableMember>) -> Self {
        let mut content = Vec::with_capacity(members.len() * 12);
        for member in &members {
            content.extend_from_slice(&member.upstream.to_le_bytes());
            content.extend_from_slice(&member.incarnation.to_le_bytes());
        }
        Self {
            service,
            id: xxh3_64(&content),
            members,
        }
    }

    /// Returns the hash of the table's content.
    pub fn id(&self) -> TableId {
        self.id
    }

    /// Returns the members in ascending order of upstream id.
    pub fn members(&self) -> &[TableMember] {
        &self.members
    }

    /// Returns the binding of a flow, or `None` if the service has no active upstream.
    pub fn place(&self, digest: FlowDigest) -> Option<FlowBinding> {
        self.place_where(digest, |_member| true)
    }

    /// Returns the binding of a flow among the members for which `accepts` is true.
    pub fn place_where(
        &self,
        digest: FlowDigest,
        accepts: impl Fn(&TableMember) -> bool,
    ) -> Option<FlowBinding> {
        let key = rendezvous_key(digest);
        let member = self
            .members
            .iter()
            .filter(|member| accepts(member))
            .max_by_key(|member| rendezvous_weight(key, member_seed(**member)))?;
        Some(FlowBinding {
            service: self.service,
            upstream: member.upstream,
            incarnation: member.incarnation,
        })
    }
}

/// Returns a seed that distinguishes upstreams and their generations. Host seeds use the lower 32
/// bits only.
fn member_seed(member: TableMember) -> u64 {
    let incarnation = member.incarnation.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (u64::from(member.upstream) << 32) ^ incarnation
}

/// The tables of every service: the one in force and earlier ones.
#[derive(Clone, Debug, Default)]
pub struct TableHistory {
    /// Newest first. Invariant: no list is empty, and none contains a table id twice.
    services: BTreeMap<ServiceId, Vec<Arc<PlacementTable>>>,
}

impl TableHistory {
    /// Applies a configuration. Returns the services whose table changed.
    pub fn configure(&mut self, config: &ConfigSnapshot) -> Vec<ServiceId> {
        let mut ids: Vec<ServiceId> = config.services.keys().copied().collect();
        ids.sort_unstable();
        let mut changed = Vec::new();
        for id in ids {
            let table = PlacementTable::build(config, &config.services[&id]);
            if self.put_in_force(table) {
                changed.push(id);
            }
        }
        changed
    }

    /// Makes a table the one in force. Returns `false` if it was already.
    pub fn put_in_force(&mut self, table: PlacementTable) -> bool {
        let tables = self.services.entry(table.service).or_default();
        if tables.first().is_some_and(|newest| newest.id == table.id) {
            return false;
        }
        tables.retain(|previous| previous.id != table.id);
        tables.insert(0, Arc::new(table));
        tables.truncate(MAX_KEPT_TABLES);
        true
    }

    /// Keeps a table that was in force before this host joined, after the one in force.
    pub fn insert_older(&mut self, table: PlacementTable) {
        let Some(tables) = self.services.get_mut(&table.service) else {
            return;
        };
        if tables.iter().all(|kept| kept.id != table.id) {
            tables.insert(1, Arc::new(table));
            tables.truncate(MAX_KEPT_TABLES);
        }
    }

    /// Returns the table in force.
    pub fn newest(&self, service: ServiceId) -> Option<&PlacementTable> {
        let tables = self.services.get(&service)?;
        tables.first().map(Arc::as_ref)
    }

    /// Returns the table with an id, if it is still kept.
    pub fn find(&self, service: ServiceId, id: TableId) -> Option<&PlacementTable> {
        let tables = self.services.get(&service)?;
        let table = tables.iter().find(|table| table.id == id)?;
        Some(table)
    }

    /// Returns the kept tables of a service, newest first.
    pub fn kept(&self, service: ServiceId) -> impl Iterator<Item = &PlacementTable> {
        let tables = self.services.get(&service);
        tables.into_iter().flatten().map(Arc::as_ref)
    }

    /// Returns the services that have a table.
    pub fn services(&self) -> impl Iterator<Item = ServiceId> + '_ {
        self.services.keys().copied()
    }
}
