//! Where a service's new flows go: a function of the flow and the published configuration alone.
//!
//! Every host that has seen a configuration computes the same upstream for a flow, so that flows
//! which live where the table says need no copies of their records. Each member has a rendezvous
//! weight for each flow: a change of one member moves only that member's flows, and nothing is kept
//! but the members themselves.

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
use crate::ids::Incarnation;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;

/// Hash of a table's content, alike on every host, whatever versions it has seen in between.
pub type TableId = u64;

/// How many tables of one service are kept, the one in force included.
///
/// Hosts disagree for seconds after a change; the bound covers that many changes of one service
/// in that time. A table that was dropped costs a question to the peers, never a wrong upstream.
pub const KEPT_TABLES: usize = 16;

/// An upstream that takes new flows of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableMember {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its incarnation as published; a later one is another member.
    pub incarnation: Incarnation,
}

/// The members of a service at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementTable {
    service: ServiceId,
    id: TableId,
    /// In ascending order of number.
    members: Vec<TableMember>,
}

impl PlacementTable {
    /// The table of a service under a configuration: its active upstreams.
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

    /// The table of members in ascending order of number.
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

    /// Identity of the table's content.
    pub fn id(&self) -> TableId {
        self.id
    }

    /// The members in ascending order of number.
    pub fn members(&self) -> &[TableMember] {
        &self.members
    }

    /// Where a flow is placed, or `None` if the service has no active upstream.
    pub fn place(&self, digest: FlowDigest) -> Option<FlowBinding> {
        self.place_where(digest, |_member| true)
    }

    /// Where a flow is placed among the members that `accepts` admits.
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

/// A number that tells upstreams and their incarnations apart; hosts use the lower 32 bits alone.
fn member_seed(member: TableMember) -> u64 {
    let incarnation = member.incarnation.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (u64::from(member.upstream) << 32) ^ incarnation
}

/// The tables of every service: the one in force and those of before.
#[derive(Clone, Debug, Default)]
pub struct TableHistory {
    /// Newest first. Invariant: no list is empty, and none holds an id twice.
    services: BTreeMap<ServiceId, Vec<Arc<PlacementTable>>>,
}

impl TableHistory {
    /// Puts a configuration in force; returns the services whose table changed.
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

    /// Puts one table in force; `false` if it was already.
    pub fn put_in_force(&mut self, table: PlacementTable) -> bool {
        let tables = self.services.entry(table.service).or_default();
        if tables.first().is_some_and(|newest| newest.id == table.id) {
            return false;
        }
        tables.retain(|former| former.id != table.id);
        tables.insert(0, Arc::new(table));
        tables.truncate(KEPT_TABLES);
        true
    }

    /// Keeps a table that was in force before this host came, behind the one in force.
    pub fn remember(&mut self, table: PlacementTable) {
        let Some(tables) = self.services.get_mut(&table.service) else {
            return;
        };
        if tables.iter().all(|kept| kept.id != table.id) {
            tables.insert(1, Arc::new(table));
            tables.truncate(KEPT_TABLES);
        }
    }

    /// The table in force.
    pub fn newest(&self, service: ServiceId) -> Option<&PlacementTable> {
        let tables = self.services.get(&service)?;
        tables.first().map(Arc::as_ref)
    }

    /// The table with an id, if it is still kept.
    pub fn find(&self, service: ServiceId, id: TableId) -> Option<&PlacementTable> {
        let tables = self.services.get(&service)?;
        let table = tables.iter().find(|table| table.id == id)?;
        Some(table)
    }

    /// Every kept table of a service, newest first.
    pub fn kept(&self, service: ServiceId) -> impl Iterator<Item = &PlacementTable> {
        let tables = self.services.get(&service);
        tables.into_iter().flatten().map(Arc::as_ref)
    }

    /// The services that have a table.
    pub fn services(&self) -> impl Iterator<Item = ServiceId> + '_ {
        self.services.keys().copied()
    }
}
