//! Selects the host of the zone that aggregates this host's load reports.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use crate::load::load_tracker::LoadExchangeConfig;
use crate::peers::peer_table::PeerTable;

/// Rendezvous hashing key that selects the aggregator among hosts of equal capacity.
const AGGREGATOR_KEY: u64 = 0x10ad;

/// The current aggregator and the hosts that are temporarily excluded from the selection.
#[derive(Debug, Default)]
pub struct AggregatorChoice {
    /// Address of the aggregator and the start of its uninterrupted selection.
    chosen: Option<(SocketAddrV4, Instant)>,
    /// Failed aggregators and the end of the exclusion of each.
    skipped: BTreeMap<SocketAddrV4, Instant>,
}

impl AggregatorChoice {
    /// Returns the current aggregator; `None` while this host has nothing to report.
    pub fn chosen(&self) -> Option<SocketAddrV4> {
        self.chosen.map(|(address, _since)| address)
    }

    /// Drops the current aggregator because this host has nothing to report.
    pub fn clear(&mut self) {
        self.chosen = None;
    }

    /// Returns the current aggregator and its capacity if it is ready. It still sends digests,
    /// otherwise it would be excluded, so that it is alive even if its heartbeats were lost.
    /// Heartbeats between two hosts of a large zone are rare.
    fn current_candidate(&self, peers: &PeerTable) -> Option<(SocketAddrV4, u32)> {
        let (address, _since) = self.chosen?;
        let peer = peers.peers.get(&address).filter(|peer| peer.ready)?;
        Some((address, peer.capacity))
    }

    /// Returns the live, ready host with the most capacity that is not excluded, possibly this
    /// host. `last_digest_at` returns the arrival of a host's last digest. An aggregator without a
    /// digest for `digest_timeout` is excluded for [`LoadExchangeConfig::skip_time`].
    pub fn choose(
        &mut self,
        now: Instant,
        config: &LoadExchangeConfig,
        peers: &PeerTable,
        own_capacity: u32,
        digest_timeout: Duration,
        last_digest_at: impl Fn(SocketAddrV4) -> Option<Instant>,
    ) -> SocketAddrV4 {
        self.skipped.retain(|_address, until| now < *until);
        if let Some((address, since)) = self.chosen {
            let last = last_digest_at(address).map_or(since, |at| at.max(since));
            if address != peers.own && now.saturating_duration_since(last) >= digest_timeout {
                self.skipped.insert(address, now + config.skip_time);
            }
        }
        let others = peers
            .local_candidates(now)
            .chain(self.current_candidate(peers));
        let usable = others.filter(|(address, _capacity)| !self.skipped.contains_key(address));
        let address = peers.largest_of(usable, own_capacity, AGGREGATOR_KEY);
        if self.chosen() != Some(address) {
            self.chosen = Some((address, now));
        }
        address
    }
}
