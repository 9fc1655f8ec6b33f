//! Ranks the hosts of a zone as readers of the platform, and the peers to which a host keeps links.
//!
//! Both rankings follow from the published host list by rendezvous hashing, without an election or
//! stored state. Hosts whose lists differ may choose one reader more or fewer for a while, which
//! costs additional calls or a delay of seconds, and nothing else.

use crate::config_snapshot::HostEntry;
use crate::flow_hash::rendezvous_weight;
use crate::ids::HostId;
use xxhash_rust::xxh3::xxh3_64;

/// Readers of a zone at a time. With two, one may fail without any delay of changes.
pub const READERS_PER_ZONE: usize = 2;
/// Links that a host opens to hosts of its own zone.
///
/// With the links that other hosts open to it, a host has about twice as many, and 424 hosts are at
/// most four hops apart.
pub const SAME_ZONE_LINKS: usize = 3;
/// Links that a host opens to hosts of other zones, in case its own zone cannot reach the platform.
pub const OTHER_ZONE_LINKS: usize = 1;
/// Makes the weights of links independent of those of readers and flows.
const LINK_SALT: u64 = 0x6c69_6e6b;

/// The hosts of a zone that are not leaving, highest-ranked reader first.
pub fn reader_ranking(zone: &str, hosts: &[HostEntry]) -> Vec<HostId> {
    let key = xxh3_64(zone.as_bytes());
    let members = hosts
        .iter()
        .filter(|host| host.zone == zone && !host.leaving)
        .map(|host| host.id);
    ranked(key, members)
}

/// The peers to which `host` should open links, highest-ranked first: those of its own zone, and
/// those of other zones.
pub fn link_rankings(host: HostId, zone: &str, hosts: &[HostEntry]) -> (Vec<HostId>, Vec<HostId>) {
    let key = LINK_SALT ^ u64::from(host);
    let peers = || hosts.iter().filter(|peer| peer.id != host && !peer.leaving);
    let near = peers().filter(|peer| peer.zone == zone).map(|peer| peer.id);
    let far = peers().filter(|peer| peer.zone != zone).map(|peer| peer.id);
    (ranked(key, near), ranked(key, far))
}

/// The members by descending rendezvous weight for a key.
pub fn ranked(key: u64, members: impl Iterator<Item = HostId>) -> Vec<HostId> {
    let mut weighted: Vec<(u64, HostId)> = members
        .map(|host| (rendezvous_weight(key, u64::from(host)), host))
        .collect();
    weighted.sort_unstable_by(|left, right| right.cmp(left));
    weighted.into_iter().map(|(_weight, host)| host).collect()
}
