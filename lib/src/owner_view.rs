//! Owners and successors of flows, as one host sees its ownership group.

use crate::flow_hash::rendezvous_key;
use crate::flow_hash::rendezvous_weight;
use crate::ids::FlowDigest;
use crate::ids::HostId;

/// The hosts of an ownership group, as one of them sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerView {
    /// The host that has this view.
    pub host: HostId,
    /// The hosts that may own flows, in ascending order; excludes leaving hosts.
    pub eligible: Vec<HostId>,
    /// The other hosts that reply to queries, in ascending order; includes leaving hosts.
    pub reachable: Vec<HostId>,
}

impl OwnerView {
    /// Returns the owner of a flow; this host if no host is eligible.
    pub fn owner(&self, digest: FlowDigest) -> HostId {
        let (first, _second) = self.top_two(digest);
        first.unwrap_or(self.host)
    }

    /// Returns the other host that needs a copy of a flow held here: the flow's owner or, if this
    /// host is the owner, the host that would own the flow if this one crashed.
    pub fn successor(&self, digest: FlowDigest) -> Option<HostId> {
        let (first, second) = self.top_two(digest);
        if first == Some(self.host) {
            second
        } else {
            first
        }
    }

    /// Whether this host may own flows; `false` if it is leaving.
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

    /// Returns the host in `hosts` that ranks first for a flow.
    pub fn highest_ranked(digest: FlowDigest, hosts: &[HostId]) -> Option<HostId> {
        let hosts = hosts.iter().copied();
        hosts.max_by_key(|host| rank(digest, *host))
    }

    /// Returns the other reachable hosts, ordered by their rank for a flow, highest first.
    pub fn ranked_peers(&self, digest: FlowDigest) -> Vec<HostId> {
        let mut peers = self.reachable.clone();
        peers.sort_by_key(|host| std::cmp::Reverse(rank(digest, *host)));
        peers
    }

    fn top_two(&self, digest: FlowDigest) -> (Option<HostId>, Option<HostId>) {
        let mut first = None;
        let mut second = None;
        for host in &self.eligible {
            let candidate = Some((rank(digest, *host), *host));
            if candidate > first {
                second = first;
                first = candidate;
            } else if candidate > second {
                second = candidate;
            }
        }
        let host_of = |ranked: Option<(_, HostId)>| ranked.map(|(_rank, host)| host);
        (host_of(first), host_of(second))
    }
}

/// Rank of a host for a flow, as in [`crate::owner_rank`]; the host with the highest rank owns the
/// flow.
fn rank(digest: FlowDigest, host: HostId) -> (u64, HostId) {
    let key = rendezvous_key(digest);
    (rendezvous_weight(key, u64::from(host)), host)
}
