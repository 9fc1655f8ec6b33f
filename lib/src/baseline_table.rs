//! Baselines of the other hosts in the ownership group: the placement tables that their flows
//! follow.
//!
//! A host that takes a flow over derives its upstream from the previous owner's baseline, so that
//! records of flows placed by a table are never copied. The last baseline of a dead host remains
//! valid for the flows that it held, and is kept as long as one of them may still be open.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::ids::Generation;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::placement_table::TableId;

/// Why a baseline is no longer current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaselineEnd {
    /// The host is gone. The host that ranks next for each flow has taken it over.
    HostGone,
    /// The host has announced a newer baseline, after copying the flows that differ to the hosts
    /// that rank next. A host that took flows over by joining ranks ahead of it and received no
    /// copies of idle ones.
    Replaced,
}

/// A baseline for flows that its host no longer holds.
#[derive(Clone, Debug)]
pub struct PreviousBaseline {
    /// The host that announced it.
    pub host: HostId,
    /// Why the host no longer holds the flows.
    pub end: BaselineEnd,
    /// The tables that the flows follow, newest first.
    pub tables: Vec<TableId>,
    /// Whether the host knew all tables that this one keeps for flows of others, and therefore has
    /// copied each flow to this host that those tables place elsewhere.
    pub knew_all_tables: bool,
    service: ServiceId,
    /// Time at which the last of the flows expires.
    forget_deadline: Instant,
}

/// The baselines of the other hosts in the group.
#[derive(Clone, Debug, Default)]
pub struct BaselineTable {
    current: BTreeMap<(HostId, ServiceId), Vec<TableId>>,
    incarnations: BTreeMap<HostId, Generation>,
    previous: Vec<PreviousBaseline>,
}

impl BaselineTable {
    /// Returns the tables that the flows of `host` follow, or `None` if it has not announced any.
    pub fn current(&self, host: HostId, service: ServiceId) -> Option<&[TableId]> {
        let tables = self.current.get(&(host, service))?;
        Some(tables)
    }

    /// Sets the tables of a service that a host has announced. Returns those announced before.
    pub fn update(
        &mut self,
        host: HostId,
        service: ServiceId,
        tables: &[TableId],
    ) -> Option<Vec<TableId>> {
        self.current.insert((host, service), tables.to_vec())
    }

    /// Retains a baseline for flows that this host may have taken over from `host`.
    pub fn retain_previous(
        &mut self,
        host: HostId,
        service: ServiceId,
        end: BaselineEnd,
        tables: Vec<TableId>,
        knew_all_tables: bool,
        forget_deadline: Instant,
    ) {
        let same = self.previous.iter_mut().find(|previous| {
            previous.host == host
                && previous.service == service
                && previous.end == end
                && previous.tables == tables
                && previous.knew_all_tables == knew_all_tables
        });
        if let Some(previous) = same {
            previous.forget_deadline = previous.forget_deadline.max(forget_deadline);
            return;
        }
        self.previous.push(PreviousBaseline {
            host,
            end,
            service,
            tables,
            knew_all_tables,
            forget_deadline,
        });
    }

    /// Returns the last known process generation of a host.
    pub fn incarnation(&self, host: HostId) -> Option<Generation> {
        self.incarnations.get(&host).copied()
    }

    /// Records the process generation of a host. Returns `true` if it is new.
    pub fn observe_process(&mut self, host: HostId, incarnation: Generation) -> bool {
        self.incarnations.insert(host, incarnation) != Some(incarnation)
    }

    /// Retains the current baselines of a host for the flows that it leaves behind.
    pub fn retire_baselines(
        &mut self,
        host: HostId,
        forget_deadline: Instant,
        knew_all_tables: impl Fn(ServiceId) -> bool,
    ) {
        let keys: Vec<(HostId, ServiceId)> = self
            .current
            .range((host, ServiceId::MIN)..=(host, ServiceId::MAX))
            .map(|(key, _tables)| *key)
            .collect();
        for key in keys {
            let Some(tables) = self.current.remove(&key) else {
                continue;
            };
            let end = BaselineEnd::HostGone;
            let knew_all_tables = knew_all_tables(key.1);
            self.retain_previous(host, key.1, end, tables, knew_all_tables, forget_deadline);
        }
    }

    /// Returns the previous baselines of a service, oldest first.
    pub fn previous(
        &self,
        service: ServiceId,
    ) -> impl DoubleEndedIterator<Item = &PreviousBaseline> {
        let previous = self.previous.iter();
        previous.filter(move |previous| previous.service == service)
    }

    /// Returns whether this host may answer for idle flows of other hosts.
    pub fn has_previous(&self) -> bool {
        !self.previous.is_empty()
    }

    /// Removes baselines whose last flow has expired.
    pub fn expire(&mut self, now: Instant) {
        self.previous
            .retain(|previous| now < previous.forget_deadline);
    }
}
