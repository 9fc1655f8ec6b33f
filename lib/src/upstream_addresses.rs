//! Addresses of upstream processes, including those that are deregistered.
//!
//! A flow stays with the process it was opened on. Its frames may reach that process after its
//! deregistration, and must never reach another process that was given its address.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::config_snapshot::ConfigSnapshot;
use crate::ids::Generation;
use crate::ids::UpstreamId;

/// Maximum number of deregistered processes kept; those with the smallest numbers are dropped
/// first.
const MAX_DEREGISTERED: usize = 4_096;

/// Whether and where an upstream process is reachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamReach {
    /// The process is published, or was published and no other process has its address.
    At(SocketAddr),
    /// Another process has its number or address, so its flows have ended.
    Replaced,
    /// This host has not yet seen the configuration that contains the process.
    NotYetKnown,
}

/// Addresses of upstream processes by number and generation.
#[derive(Clone, Debug, Default)]
pub struct UpstreamAddresses {
    published: BTreeMap<UpstreamId, (Generation, SocketAddr)>,
    deregistered: BTreeMap<(UpstreamId, Generation), UpstreamReach>,
}

impl UpstreamAddresses {
    /// Applies a configuration.
    ///
    /// The deregistration of an upstream is planned, and its flows continue at its last address
    /// until they close or become idle. They end as soon as the address is published for another
    /// process, which would take their frames for its own.
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
                self.deregistered.insert((upstream, incarnation), reach);
            }
        }
        let taken: BTreeSet<SocketAddr> = self
            .published
            .values()
            .map(|(_incarnation, address)| *address)
            .collect();
        for reach in self.deregistered.values_mut() {
            if let UpstreamReach::At(address) = reach
                && taken.contains(address)
            {
                *reach = UpstreamReach::Replaced;
            }
        }
        while self.deregistered.len() > MAX_DEREGISTERED {
            self.deregistered.pop_first();
        }
    }

    /// Adds the address at which a peer reaches a deregistered process.
    pub fn learn(&mut self, upstream: UpstreamId, incarnation: Generation, address: SocketAddr) {
        let mut published = self.published.values();
        let taken = published.any(|(_incarnation, other)| *other == address);
        if !taken && !self.published.contains_key(&upstream) {
            let reach = UpstreamReach::At(address);
            self.deregistered
                .entry((upstream, incarnation))
                .or_insert(reach);
        }
    }

    /// Returns where a process is reachable.
    pub fn reach(&self, upstream: UpstreamId, incarnation: Generation) -> UpstreamReach {
        match self.published.get(&upstream) {
            Some((present, address)) if *present == incarnation => UpstreamReach::At(*address),
            Some((present, _address)) if *present > incarnation => UpstreamReach::Replaced,
            Some(_older) => UpstreamReach::NotYetKnown,
            None => {
                let deregistered = self.deregistered.get(&(upstream, incarnation));
                deregistered.copied().unwrap_or(UpstreamReach::NotYetKnown)
            }
        }
    }

    /// Returns the last address of a deregistered process.
    pub fn former_address(
        &self,
        upstream: UpstreamId,
        incarnation: Generation,
    ) -> Option<SocketAddr> {
        match self.deregistered.get(&(upstream, incarnation))? {
            UpstreamReach::At(address) => Some(*address),
            UpstreamReach::Replaced | UpstreamReach::NotYetKnown => None,
        }
    }
}
