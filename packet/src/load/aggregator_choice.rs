//! Decides which host of the zone this host reports its load to.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use crate::load::load_view::LoadExchangeConfig;
use crate::peers::peer_table::PeerTable;

/// Key of the rendezvous weights of hosts with the same capacity.
const AGGREGATOR_KEY: u64 = 0x10ad;

/// The host that this host reports to, and those that it skips.
#[derive(Debug, Default)]
pub struct AggregatorChoice {
    /// The host, and since when it was reported to without a break.
    chosen: Option<(SocketAddrV4, Instant)>,
    /// Failed aggregators, and until when each is skipped.
    skipped: BTreeMap<SocketAddrV4, Instant>,
}

impl AggregatorChoice {
    /// The host that is reported to.
    pub fn chosen(&self) -> Option<SocketAddrV4> {
        self.chosen.map(|(address, _since)| address)
    }

    /// Forgets whom it reports to: there is nothing to report.
    pub fn clear(&mut self) {
        self.chosen = None;
    }

    /// The chosen host, which was not skipped, so that its digests come: it is alive, even if heartbeats of it were
    /// lost. In a large zone they come seldom.
    fn kept(&self, peers: &PeerTable) -> Option<(SocketAddrV4, u32)> {
        let (address, _since) = self.chosen?;
        let peer = peers.peers.get(&address).filter(|peer| peer.ready)?;
        Some((address, peer.capacity))
    }

    /// The live, ready host with the most capacity that is not skipped. `heard` is when a host's last digest came;
    /// an aggregator without one for `silence` is skipped.
    pub fn choose(
        &mut self,
        now: Instant,
        config: &LoadExchangeConfig,
        peers: &PeerTable,
        own_capacity: u32,
        silence: Duration,
        heard: impl Fn(SocketAddrV4) -> Option<Instant>,
    ) -> SocketAddrV4 {
        self.skipped.retain(|_address, until| now < *until);
        if let Some((address, since)) = self.chosen {
            let last = heard(address).map_or(since, |heard| heard.max(since));
            if address != peers.own && now.saturating_duration_since(last) >= silence {
                self.skipped.insert(address, now + config.skip_time);
            }
        }
        let others = peers.local_candidates(now).chain(self.kept(peers));
        let usable = others.filter(|(address, _capacity)| !self.skipped.contains_key(address));
        let address = peers.largest_of(usable, own_capacity, AGGREGATOR_KEY);
        if self.chosen() != Some(address) {
            self.chosen = Some((address, now));
        }
        address
    }
}
