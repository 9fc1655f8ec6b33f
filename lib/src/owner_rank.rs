//! Which entry host owns a flow: the one with the largest rendezvous weight among those usable.
//!
//! Rendezvous hashing moves only the flows of a host that joins or leaves.

use crate::flow_hash::rendezvous_key;
use crate::flow_hash::rendezvous_weight;
use crate::ids::FlowDigest;
use crate::ids::HostId;

/// The owner of a flow among `hosts`, or `None` if there are none.
pub fn flow_owner(digest: FlowDigest, hosts: impl Iterator<Item = HostId>) -> Option<HostId> {
    let key = rendezvous_key(digest);
    hosts.max_by_key(|host| (rendezvous_weight(key, u64::from(*host)), *host))
}
