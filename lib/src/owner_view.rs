//! Who owns a flow and who would take it over, as one host sees its cell.

use crate::flow_hash::rendezvous_key;
use crate::flow_hash::rendezvous_weight;
use crate::ids::FlowDigest;
use crate::ids::HostId;

/// One host's view of the cell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerView {
    /// The host whose view it is.
    pub host: HostId,
    /// The hosts that may own flows, in ascending order; a leaving one may not.
    pub eligible: Vec<HostId>,
    /// The other hosts that answer questions, leaving ones included, in ascending order.
    pub reachable: Vec<HostId>,
}

impl OwnerView {
    /// The owner of a flow; without any eligible host, this one.
    pub fn owner(&self, digest: FlowDigest) -> HostId {
        let (first, _second) = self.two_best(digest);
        first.unwrap_or(self.host)
    }

    /// The other host that needs to know of a flow held here: its owner, or the host that would
    /// own it if this one crashed.
    pub fn heir(&self, digest: FlowDigest) -> Option<HostId> {
        let (first, second) = self.two_best(digest);
        if first == Some(self.host) {
            second
        } else {
            first
        }
    }

    /// Whether this host may own flows; a leaving one may not.
    pub fn is_eligible(&self) -> bool {
        self.eligible.binary_search(&self.host).is_ok()
    }

    /// Whether `host` ranks ahead of this one for a flow.
    pub fn is_ahead(&self, digest: FlowDigest, host: HostId) -> bool {
        rank(digest, host) > rank(digest, self.host)
    }

    /// Whether `host` ranks ahead of `other` for a flow.
    pub fn ranks_before(digest: FlowDigest, host: HostId, other: HostId) -> bool {
        rank(digest, host) > rank(digest, other)
    }

    /// Which of `hosts` ranks first for a flow.
    pub fn first_of(digest: FlowDigest, hosts: &[HostId]) -> Option<HostId> {
        let hosts = hosts.iter().copied();
        hosts.max_by_key(|host| rank(digest, *host))
    }

    /// The other reachable hosts, those that rank first for a flow before the others.
    pub fn ranked_peers(&self, digest: FlowDigest) -> Vec<HostId> {
        let mut peers = self.reachable.clone();
        peers.sort_by_key(|host| std::cmp::Reverse(rank(digest, *host)));
        peers
    }

    fn two_best(&self, digest: FlowDigest) -> (Option<HostId>, Option<HostId>) {
        let mut best = None;
        let mut second = None;
        for host in &self.eligible {
            let candidate = Some((rank(digest, *host), *host));
            if candidate > best {
                second = best;
                best = candidate;
            } else if candidate > second {
                second = candidate;
            }
        }
        let host_of = |ranked: Option<(_, HostId)>| ranked.map(|(_rank, host)| host);
        (host_of(best), host_of(second))
    }
}

/// Rank of a host for a flow, as in [`crate::owner_rank`]; the largest owns it.
fn rank(digest: FlowDigest, host: HostId) -> (u64, HostId) {
    let key = rendezvous_key(digest);
    (rendezvous_weight(key, u64::from(host)), host)
}
