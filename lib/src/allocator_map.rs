//! Which host allocates which slots: the slot allocators of a service.
//!
//! Several hosts send to the same few slots and do not see each other's requests. Without one
//! allocator per slot, hosts choose the same free slot at once, and the upstream sheds all but one.
//! Every host computes the allocators from the published lists, so that no election and no
//! agreement is needed. Hosts whose lists differ for a while may both grant a slot. The upstream
//! then sheds one of the two requests, which is proved not to have run, and [`crate::slot_limit`]
//! backs off.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::config_snapshot::ConfigSnapshot;
use crate::config_snapshot::HostView;
use crate::config_snapshot::ServiceEntry;
use crate::config_snapshot::UpstreamEntry;
use crate::flow_hash::rendezvous_weight;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::ids::ZoneName;

/// Maximum number of other allocators from which an allocator requests slots; it bounds the number
/// of messages.
const MAX_PEER_ALLOCATORS: usize = 8;

/// The allocators of one service's slots in one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ZoneAllocators {
    zone: ZoneName,
    allocators: Vec<HostId>,
}

/// The allocators of one service.
///
/// The slots of a zone are allocated in that zone, because an allocator in another zone costs a
/// round trip between zones for each request. The memory used grows with the allocators, not with
/// the upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AllocatorMap {
    service: ServiceId,
    zones: Vec<ZoneAllocators>,
    /// The allocator from which this host requests any slot of the service.
    own_allocator: Option<HostId>,
    groups: Vec<GroupId>,
    own_group: GroupId,
}

impl AllocatorMap {
    /// Computes the allocators of a service as `host` sees them.
    pub fn new(
        host: HostId,
        service: &ServiceEntry,
        config: &ConfigSnapshot,
        hosts: &HostView,
        pool_slots: u32,
    ) -> Self {
        let mut map = Self {
            service: service.id,
            own_group: hosts.host(host).map_or(0, |entry| entry.cell),
            groups: groups_of(hosts),
            ..Self::default()
        };
        for (zone, slots) in map.slots_by_zone(service, config) {
            let wanted = slots.div_ceil(pool_slots.max(1)).max(1);
            let mut ranked = rank_hosts(service.id, usable_hosts(host, &zone, hosts));
            ranked.truncate(wanted as usize);
            map.zones.push(ZoneAllocators {
                zone,
                allocators: ranked,
            });
        }
        let own_zone = hosts.host(host).map(|entry| &entry.zone);
        map.own_allocator = map.choose_own_allocator(host, own_zone);
        map
    }

    /// Returns the allocator from which this host requests any slot of the service.
    pub fn own_allocator(&self) -> Option<HostId> {
        self.own_allocator
    }

    /// Returns the allocator of one upstream's slots.
    pub fn allocator_of(&self, id: UpstreamId, upstream: &UpstreamEntry) -> Option<HostId> {
        let zone = self.zones.iter().find(|zone| zone.zone == upstream.zone)?;
        let key = u64::from(id);
        let weight =
            |allocator: &HostId| (rendezvous_weight(key, u64::from(*allocator)), *allocator);
        zone.allocators.iter().copied().max_by_key(weight)
    }

    /// Returns whether a host allocates any of the service's slots.
    pub fn is_allocator(&self, host: HostId) -> bool {
        self.zones
            .iter()
            .any(|zone| zone.allocators.contains(&host))
    }

    /// Returns the allocators from which `host` may request slots when its own are in use, those of
    /// its zone first.
    pub fn other_allocators(&self, host: HostId) -> Vec<HostId> {
        let holds = |zone: &&ZoneAllocators| zone.allocators.contains(&host);
        let same_zone = self.zones.iter().filter(holds);
        let other_zones = self.zones.iter().filter(|zone| !holds(zone));
        let mut peers = Vec::new();
        for zone in same_zone.chain(other_zones) {
            for allocator in &zone.allocators {
                if *allocator != host && !peers.contains(allocator) {
                    peers.push(*allocator);
                }
            }
        }
        peers.truncate(MAX_PEER_ALLOCATORS);
        peers
    }

    /// Returns whether an upstream's slots belong to this host's ownership group. Groups exchange
    /// no messages.
    pub fn is_in_group(&self, id: UpstreamId) -> bool {
        let key = u64::from(id);
        let group = self
            .groups
            .iter()
            .max_by_key(|group| rendezvous_weight(key, u64::from(**group)));
        group.is_none_or(|group| *group == self.own_group)
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
            if self.is_in_group(*id) {
                *slots.entry(entry.zone.clone()).or_default() += entry.slots;
            }
        }
        slots
    }

    fn choose_own_allocator(&self, host: HostId, own_zone: Option<&ZoneName>) -> Option<HostId> {
        let same_zone = self.zones.iter().find(|zone| Some(&zone.zone) == own_zone);
        let all = || self.zones.iter().flat_map(|zone| &zone.allocators);
        let candidates: Vec<HostId> = match same_zone {
            Some(zone) => zone.allocators.clone(),
            None => all().copied().collect(),
        };
        if candidates.contains(&host) {
            return Some(host);
        }
        let key = u64::from(host);
        let weight =
            |allocator: &HostId| (rendezvous_weight(key, u64::from(*allocator)), *allocator);
        candidates.into_iter().max_by_key(weight)
    }
}

fn groups_of(hosts: &HostView) -> Vec<GroupId> {
    let mut groups: Vec<GroupId> = hosts.published.iter().map(|host| host.cell).collect();
    groups.sort_unstable();
    groups.dedup();
    groups
}

/// Returns the hosts that can allocate a zone's slots: those of the zone, or all hosts if none of
/// the zone is alive. Leaving hosts are included only if there are no others.
fn usable_hosts(host: HostId, zone: &ZoneName, hosts: &HostView) -> Vec<HostId> {
    let own_group = hosts.host(host).map_or(0, |entry| entry.cell);
    let mut alive: Vec<HostId> = hosts.alive.clone();
    if !alive.contains(&host) {
        alive.push(host);
    }
    let entry = |id: &HostId| hosts.host(*id);
    alive.retain(|id| entry(id).is_none_or(|entry| entry.cell == own_group));
    let is_in_zone = |id: &HostId| entry(id).is_some_and(|entry| entry.zone == *zone);
    let is_staying = |id: &HostId| entry(id).is_none_or(|entry| !entry.leaving);
    let same_zone: Vec<HostId> = alive.iter().copied().filter(is_in_zone).collect();
    let pool = if same_zone.is_empty() {
        alive
    } else {
        same_zone
    };
    let stable: Vec<HostId> = pool.iter().copied().filter(is_staying).collect();
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
