//! Selects the owner of a flow: the usable entry host with the largest rendezvous weight.
//!
//! With rendezvous hashing, only the flows of a host that joins or leaves change their owner.

use crate::flow_hash::rendezvous_key;
use crate::flow_hash::rendezvous_weight;
use crate::ids::FlowDigest;
use crate::ids::GroupId;
use crate::ids::HostId;

/// Keeps the weights of ownership groups independent of those of hosts with the same number.
const GROUP_SALT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns the owner of a flow among `hosts`, or `None` if `hosts` is empty.
pub fn flow_owner(digest: FlowDigest, hosts: impl Iterator<Item = HostId>) -> Option<HostId> {
    hosts.max_by_key(|host| rank_weight(digest, *host))
}

/// Returns the hosts of `members` that rank before `host` for a flow, in no particular order.
pub fn ranked_ahead(digest: FlowDigest, host: HostId, members: &[HostId]) -> Vec<HostId> {
    let own = rank_weight(digest, host);
    let others = members.iter().copied();
    others
        .filter(|other| rank_weight(digest, *other) > own)
        .collect()
}

/// Returns the ownership group of a flow among `groups`, or `None` if `groups` is empty.
pub fn flow_group(digest: FlowDigest, groups: &[GroupId]) -> Option<GroupId> {
    let key = rendezvous_key(digest) ^ GROUP_SALT;
    let groups = groups.iter().copied();
    groups.max_by_key(|group| (rendezvous_weight(key, u64::from(*group)), *group))
}

fn rank_weight(digest: FlowDigest, host: HostId) -> (u64, HostId) {
    let key = rendezvous_key(digest);
    (rendezvous_weight(key, u64::from(host)), host)
}
