//! Which hosts of a zone read the platform, and which peers a host keeps links to.
//!
//! Both follow from the published list by rendezvous hashing: there is no election and no state.
//! Hosts whose lists differ may choose one reader more or fewer for a while, which costs calls or
//! seconds and nothing else.

use crate::config_snapshot::HostEntry;
use crate::flow_hash::rendezvous_weight;
use crate::ids::HostId;
use xxhash_rust::xxh3::xxh3_64;

/// How many hosts of a zone read the platform at a time: one may die without any delay.
pub const READERS_PER_ZONE: usize = 2;
/// Links that a host opens to hosts of its zone.
///
/// With those opened towards it a host has about twice as many, and 424 hosts are at most four
/// hops apart.
pub const NEAR_LINKS: usize = 3;
/// Links that a host opens to hosts of other zones, for when its zone cannot reach the platform.
pub const FAR_LINKS: usize = 1;
/// Sets the weights of links apart from those of readers and flows.
const LINK_SALT: u64 = 0x6c69_6e6b;

/// The usable hosts of a zone, best reader first.
pub fn reader_ranking(zone: &str, hosts: &[HostEntry]) -> Vec<HostId> {
    let key = xxh3_64(zone.as_bytes());
    let members = hosts
        .iter()
        .filter(|host| host.zone == zone && !host.leaving)
        .map(|host| host.id);
    ranked(key, members)
}

/// The peers that `host` should open links to, best first: of its own zone and of others.
pub fn link_rankings(host: HostId, zone: &str, hosts: &[HostEntry]) -> (Vec<HostId>, Vec<HostId>) {
    let key = LINK_SALT ^ u64::from(host);
    let peers = || hosts.iter().filter(|peer| peer.id != host && !peer.leaving);
    let near = peers().filter(|peer| peer.zone == zone).map(|peer| peer.id);
    let far = peers().filter(|peer| peer.zone != zone).map(|peer| peer.id);
    (ranked(key, near), ranked(key, far))
}

/// The members in the order of their rendezvous weight for a key, largest first.
pub fn ranked(key: u64, members: impl Iterator<Item = HostId>) -> Vec<HostId> {
    let mut weighted: Vec<(u64, HostId)> = members
        .map(|host| (rendezvous_weight(key, u64::from(host)), host))
        .collect();
    weighted.sort_unstable_by(|left, right| right.cmp(left));
    weighted.into_iter().map(|(_weight, host)| host).collect()
}
