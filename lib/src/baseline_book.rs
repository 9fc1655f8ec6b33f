//! What the other hosts of the cell have said of the flows they hold: the tables these follow.
//!
//! A host that takes a flow over derives its upstream from the former owner's baseline, so that no
//! record of an ordinary flow is ever copied. What a dead host last said stays true of the flows
//! it held, and is kept as long as one of them may still be open.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ServiceId;
use crate::placement_table::TableId;

/// How a baseline came to be a former one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaselineEnd {
    /// Its host is gone, and whoever ranks next has its flows.
    HostGone,
    /// Its host has said something newer, after copying what differs to those that rank next; a
    /// host that took flows over by joining ranks before it and got no copies of silent ones.
    Replaced,
}

/// What a host said of flows that it does not hold any more.
#[derive(Clone, Debug)]
pub struct FormerBaseline {
    /// The host.
    pub host: HostId,
    /// Why it holds them no more.
    pub end: BaselineEnd,
    /// The tables that they follow, the newest first.
    pub tables: Vec<TableId>,
    /// Whether the host knew all tables that this one keeps for flows of others, so that it has
    /// copied each flow here that they place elsewhere.
    pub informed: bool,
    service: ServiceId,
    /// When its last flow is idle.
    forget_deadline: Instant,
}

/// The baselines of a cell.
#[derive(Clone, Debug, Default)]
pub struct BaselineBook {
    present: BTreeMap<(HostId, ServiceId), Vec<TableId>>,
    incarnations: BTreeMap<HostId, Incarnation>,
    former: Vec<FormerBaseline>,
}

impl BaselineBook {
    /// The tables that the flows of `host` follow; `None` if it has not said.
    pub fn present(&self, host: HostId, service: ServiceId) -> Option<&[TableId]> {
        let tables = self.present.get(&(host, service))?;
        Some(tables)
    }

    /// Takes in what a host says of a service; returns what it said before.
    pub fn learn(
        &mut self,
        host: HostId,
        service: ServiceId,
        tables: &[TableId],
    ) -> Option<Vec<TableId>> {
        self.present.insert((host, service), tables.to_vec())
    }

    /// Keeps what a host said for flows that this one may have taken over from it.
    pub fn keep(
        &mut self,
        host: HostId,
        service: ServiceId,
        end: BaselineEnd,
        tables: Vec<TableId>,
        informed: bool,
        forget_deadline: Instant,
    ) {
        let same = self.former.iter_mut().find(|former| {
            former.host == host
                && former.service == service
                && former.end == end
                && former.tables == tables
                && former.informed == informed
        });
        if let Some(former) = same {
            former.forget_deadline = former.forget_deadline.max(forget_deadline);
            return;
        }
        self.former.push(FormerBaseline {
            host,
            end,
            service,
            tables,
            informed,
            forget_deadline,
        });
    }

    /// The last known process on a host.
    pub fn incarnation(&self, host: HostId) -> Option<Incarnation> {
        self.incarnations.get(&host).copied()
    }

    /// Notes which process is on a host; `true` if it is a new one.
    pub fn meet(&mut self, host: HostId, incarnation: Incarnation) -> bool {
        self.incarnations.insert(host, incarnation) != Some(incarnation)
    }

    /// Keeps what a host said for the flows it leaves behind.
    pub fn bury(
        &mut self,
        host: HostId,
        forget_deadline: Instant,
        informed: impl Fn(ServiceId) -> bool,
    ) {
        let keys: Vec<(HostId, ServiceId)> = self
            .present
            .range((host, ServiceId::MIN)..=(host, ServiceId::MAX))
            .map(|(key, _tables)| *key)
            .collect();
        for key in keys {
            let Some(tables) = self.present.remove(&key) else {
                continue;
            };
            let end = BaselineEnd::HostGone;
            let informed = informed(key.1);
            self.keep(host, key.1, end, tables, informed, forget_deadline);
        }
    }

    /// What hosts said of a service's flows that they do not hold any more, oldest first.
    pub fn former(&self, service: ServiceId) -> impl DoubleEndedIterator<Item = &FormerBaseline> {
        let former = self.former.iter();
        former.filter(move |former| former.service == service)
    }

    /// Whether this host may answer for silent flows of others.
    pub fn has_former(&self) -> bool {
        !self.former.is_empty()
    }

    /// Forgets processes whose last flow is idle.
    pub fn expire(&mut self, now: Instant) {
        self.former.retain(|former| now < former.forget_deadline);
    }
}
