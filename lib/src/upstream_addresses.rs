//! Where upstream processes are reached, those that are no longer published included.
//!
//! A flow stays with the process it was opened on. Its frames may reach that process after it was
//! removed from the list, and must never reach another process that was given its address.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::config_snapshot::ConfigSnapshot;
use crate::ids::Incarnation;
use crate::ids::UpstreamId;

/// Most processes remembered after their removal; those with the smallest numbers go first.
const MAX_FORMER: usize = 4_096;

/// Whether and where an upstream process is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamReach {
    /// It is published, or was and nobody else has its address.
    At(SocketAddr),
    /// Another process has its number or address: its flows have ended.
    Gone,
    /// This host has not seen the configuration that names it yet.
    Unseen,
}

/// The addresses of upstream processes, by number and incarnation.
#[derive(Clone, Debug, Default)]
pub struct UpstreamAddresses {
    published: BTreeMap<UpstreamId, (Incarnation, SocketAddr)>,
    former: BTreeMap<(UpstreamId, Incarnation), UpstreamReach>,
}

impl UpstreamAddresses {
    /// Applies a configuration.
    ///
    /// Removing an upstream is planned, and its flows go on at its last address until they close
    /// or fall idle. As soon as the address is published for another process, they have ended:
    /// that process would take their frames for its own.
    pub fn configure(&mut self, config: &ConfigSnapshot) {
        let published = config
            .upstreams
            .values()
            .map(|entry| (entry.id, (entry.incarnation, entry.address)))
            .collect();
        let removed = std::mem::replace(&mut self.published, published);
        for (upstream, (incarnation, address)) in removed {
            if !self.published.contains_key(&upstream) {
                let reach = UpstreamReach::At(address);
                self.former.insert((upstream, incarnation), reach);
            }
        }
        let taken: BTreeSet<SocketAddr> = self
            .published
            .values()
            .map(|(_incarnation, address)| *address)
            .collect();
        for reach in self.former.values_mut() {
            if let UpstreamReach::At(address) = reach
                && taken.contains(address)
            {
                *reach = UpstreamReach::Gone;
            }
        }
        while self.former.len() > MAX_FORMER {
            self.former.pop_first();
        }
    }

    /// Takes in where a peer reaches a process that is not published any more.
    pub fn learn(&mut self, upstream: UpstreamId, incarnation: Incarnation, address: SocketAddr) {
        let mut published = self.published.values();
        let taken = published.any(|(_incarnation, other)| *other == address);
        if !taken && !self.published.contains_key(&upstream) {
            let reach = UpstreamReach::At(address);
            self.former.entry((upstream, incarnation)).or_insert(reach);
        }
    }

    /// Where a process is reached.
    pub fn reach(&self, upstream: UpstreamId, incarnation: Incarnation) -> UpstreamReach {
        match self.published.get(&upstream) {
            Some((present, address)) if *present == incarnation => UpstreamReach::At(*address),
            Some((present, _address)) if *present > incarnation => UpstreamReach::Gone,
            Some(_older) => UpstreamReach::Unseen,
            None => {
                let former = self.former.get(&(upstream, incarnation));
                former.copied().unwrap_or(UpstreamReach::Unseen)
            }
        }
    }

    /// The last address of a process that is not published any more.
    pub fn former_address(
        &self,
        upstream: UpstreamId,
        incarnation: Incarnation,
    ) -> Option<SocketAddr> {
        match self.former.get(&(upstream, incarnation))? {
            UpstreamReach::At(address) => Some(*address),
            UpstreamReach::Gone | UpstreamReach::Unseen => None,
        }
    }
}
