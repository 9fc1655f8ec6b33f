//! Which entry host owns a flow: the one with the largest rendezvous weight among those usable.
//!
//! Rendezvous hashing moves only the flows of a host that joins or leaves.

use crate::flow_hash::rendezvous_key;
use crate::flow_hash::rendezvous_weight;
use crate::ids::CellId;
use crate::ids::FlowDigest;
use crate::ids::HostId;

/// Keeps the weights of cells apart from those of hosts with the same number.
const CELL_SALT: u64 = 0x9e37_79b9_7f4a_7c15;

/// The owner of a flow among `hosts`, or `None` if there are none.
pub fn flow_owner(digest: FlowDigest, hosts: impl Iterator<Item = HostId>) -> Option<HostId> {
    hosts.max_by_key(|host| rank_weight(digest, *host))
}

/// The hosts of `members` that rank before `host` for a flow, in no particular order.
pub fn ranked_ahead(digest: FlowDigest, host: HostId, members: &[HostId]) -> Vec<HostId> {
    let own = rank_weight(digest, host);
    let others = members.iter().copied();
    others
        .filter(|other| rank_weight(digest, *other) > own)
        .collect()
}

/// The cell of a flow among `cells`, or `None` if there are none.
pub fn flow_cell(digest: FlowDigest, cells: &[CellId]) -> Option<CellId> {
    let key = rendezvous_key(digest) ^ CELL_SALT;
    let cells = cells.iter().copied();
    cells.max_by_key(|cell| (rendezvous_weight(key, u64::from(*cell)), *cell))
}

fn rank_weight(digest: FlowDigest, host: HostId) -> (u64, HostId) {
    let key = rendezvous_key(digest);
    (rendezvous_weight(key, u64::from(host)), host)
}
