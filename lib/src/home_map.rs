//! Which host gives away which slots: the keepers of a service.
//!
//! Load pattern: several hosts send to the same few slots and know nothing of each other's jobs.
//! Without one keeper a slot, hosts choose the same free slot at once and the upstream sheds all
//! but one. Every host computes the keepers from the published lists, so that nothing is elected
//! and nothing agreed. Hosts whose lists differ for a while may both give a slot away; the
//! upstream sheds one of the two jobs, proved not run, and [`crate::slot_limit`] backs off.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::config_snapshot::ConfigSnapshot;
use crate::config_snapshot::HostView;
use crate::config_snapshot::ServiceEntry;
use crate::config_snapshot::UpstreamEntry;
use crate::flow_hash::rendezvous_weight;
use crate::ids::CellId;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::ids::ZoneName;

/// Keepers that one keeper asks for slots, at most; bounds messages when there are many.
const MOST_PEERS: usize = 8;

/// The keepers of one service's slots in one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ZoneKeepers {
    zone: ZoneName,
    keepers: Vec<HostId>,
}

/// The keepers of one service.
///
/// A zone's slots are kept in that zone, because a keeper far away costs a round trip between
/// zones for each job. State: the keepers, not the upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HomeMap {
    service: ServiceId,
    zones: Vec<ZoneKeepers>,
    /// Whom this host asks for any slot.
    own: Option<HostId>,
    cells: Vec<CellId>,
    own_cell: CellId,
}

impl HomeMap {
    /// Computes the keepers of a service as `host` sees them.
    pub fn new(
        host: HostId,
        service: &ServiceEntry,
        config: &ConfigSnapshot,
        hosts: &HostView,
        pool_slots: u32,
    ) -> Self {
        let mut map = Self {
            service: service.id,
            own_cell: hosts.host(host).map_or(0, |entry| entry.cell),
            cells: cells_of(hosts),
            ..Self::default()
        };
        for (zone, slots) in map.slots_by_zone(service, config) {
            let wanted = slots.div_ceil(pool_slots.max(1)).max(1);
            let mut ranked = rank_hosts(service.id, usable_hosts(host, &zone, hosts));
            ranked.truncate(wanted as usize);
            map.zones.push(ZoneKeepers {
                zone,
                keepers: ranked,
            });
        }
        let own_zone = hosts.host(host).map(|entry| &entry.zone);
        map.own = map.choose_own(host, own_zone);
        map
    }

    /// The keeper that this host asks for any slot of the service.
    pub fn own_keeper(&self) -> Option<HostId> {
        self.own
    }

    /// The keeper of one upstream's slots.
    pub fn keeper_of(&self, id: UpstreamId, upstream: &UpstreamEntry) -> Option<HostId> {
        let zone = self.zones.iter().find(|zone| zone.zone == upstream.zone)?;
        let key = u64::from(id);
        let weight = |keeper: &HostId| (rendezvous_weight(key, u64::from(*keeper)), *keeper);
        zone.keepers.iter().copied().max_by_key(weight)
    }

    /// Whether a host keeps any of the service's slots.
    pub fn is_keeper(&self, host: HostId) -> bool {
        self.zones.iter().any(|zone| zone.keepers.contains(&host))
    }

    /// Keepers that `host` may ask when its own slots are in use: those of its zone first.
    pub fn peers_of(&self, host: HostId) -> Vec<HostId> {
        let holds = |zone: &&ZoneKeepers| zone.keepers.contains(&host);
        let near = self.zones.iter().filter(holds);
        let far = self.zones.iter().filter(|zone| !holds(zone));
        let mut peers = Vec::new();
        for zone in near.chain(far) {
            for keeper in &zone.keepers {
                if *keeper != host && !peers.contains(keeper) {
                    peers.push(*keeper);
                }
            }
        }
        peers.truncate(MOST_PEERS);
        peers
    }

    /// Whether an upstream's slots belong to the own cell's hosts; cells share no messages.
    pub fn is_in_cell(&self, id: UpstreamId) -> bool {
        let key = u64::from(id);
        let cell = self
            .cells
            .iter()
            .max_by_key(|cell| rendezvous_weight(key, u64::from(**cell)));
        cell.is_none_or(|cell| *cell == self.own_cell)
    }

    fn slots_by_zone(
        &self,
        service: &ServiceEntry,
        config: &ConfigSnapshot,
    ) -> BTreeMap<ZoneName, u32> {
        let mut slots = BTreeMap::new();
        for id in &service.upstreams {
            let Some(entry) = config.upstreams.get(id) else {
                continue;
            };
            if self.is_in_cell(*id) {
                *slots.entry(entry.zone.clone()).or_default() += entry.slots;
            }
        }
        slots
    }

    fn choose_own(&self, host: HostId, own_zone: Option<&ZoneName>) -> Option<HostId> {
        let near = self.zones.iter().find(|zone| Some(&zone.zone) == own_zone);
        let all = || self.zones.iter().flat_map(|zone| &zone.keepers);
        let candidates: Vec<HostId> = match near {
            Some(zone) => zone.keepers.clone(),
            None => all().copied().collect(),
        };
        if candidates.contains(&host) {
            return Some(host);
        }
        let key = u64::from(host);
        let weight = |keeper: &HostId| (rendezvous_weight(key, u64::from(*keeper)), *keeper);
        candidates.into_iter().max_by_key(weight)
    }
}

fn cells_of(hosts: &HostView) -> Vec<CellId> {
    let mut cells: Vec<CellId> = hosts.published.iter().map(|host| host.cell).collect();
    cells.sort_unstable();
    cells.dedup();
    cells
}

/// The hosts that can keep a zone's slots: those of the zone, or any if it has none alive.
fn usable_hosts(host: HostId, zone: &ZoneName, hosts: &HostView) -> Vec<HostId> {
    let own_cell = hosts.host(host).map_or(0, |entry| entry.cell);
    let mut alive: Vec<HostId> = hosts.alive.clone();
    if !alive.contains(&host) {
        alive.push(host);
    }
    let entry = |id: &HostId| hosts.host(*id);
    alive.retain(|id| entry(id).is_none_or(|entry| entry.cell == own_cell));
    let is_near = |id: &HostId| entry(id).is_some_and(|entry| entry.zone == *zone);
    let staying = |id: &HostId| entry(id).is_none_or(|entry| !entry.leaving);
    let near: Vec<HostId> = alive.iter().copied().filter(is_near).collect();
    let pool = if near.is_empty() { alive } else { near };
    let stable: Vec<HostId> = pool.iter().copied().filter(staying).collect();
    if stable.is_empty() { pool } else { stable }
}

fn rank_hosts(service: ServiceId, mut hosts: Vec<HostId>) -> Vec<HostId> {
    let key = u64::from(service);
    hosts.sort_by_key(|host| {
        let weight = rendezvous_weight(key, u64::from(*host));
        (Reverse(weight), *host)
    });
    hosts
}
