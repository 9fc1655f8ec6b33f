//! Fetches named keys from several peers at once, for a host that starts with nothing.
//!
//! Load pattern: a zone comes back after a power failure and 424 hosts lack everything. If each
//! waited for a peer that is complete, the two readers would serve the zone alone, for minutes; if
//! each read the platform, they would take all its calls. Here a host asks every neighbour for some
//! of the keys that the platform listed, and passes on what it has before it is complete.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::config_store::ConfigStore;
use crate::flow_hash::rendezvous_weight;
use crate::ids::ConfigKey;
use crate::ids::HostId;
use crate::ids::Version;
use xxhash_rust::xxh3::xxh3_64;

/// Keys that one peer is asked for at a time.
const KEYS_AT_ONCE: usize = 8;
/// How long a peer has to answer before its keys are asked of others.
const ANSWER_PATIENCE: Duration = Duration::from_secs(3);
/// How long a peer that had none of the keys is left alone.
const EMPTY_PAUSE: Duration = Duration::from_millis(500);
/// How long after the last key the peers still count as delivering.
const DELIVERY_PAUSE: Duration = Duration::from_secs(2);

/// Keys asked of one peer.
struct PeerFetch {
    keys: BTreeSet<ConfigKey>,
    /// Until then the keys are not asked of others, or, without keys, the peer is left alone.
    until: Instant,
}

/// The fetching of listed keys from peers.
#[derive(Default)]
pub struct KeyFetch {
    /// Keys that are not held in this version or a newer one.
    missing: BTreeMap<ConfigKey, Version>,
    asked: BTreeMap<HostId, PeerFetch>,
    delivered: Option<Instant>,
}

impl KeyFetch {
    /// Learns which keys the platform listed and are not held.
    pub fn need(&mut self, missing: BTreeMap<ConfigKey, Version>) {
        self.missing = missing;
        if self.missing.is_empty() {
            self.asked.clear();
        }
    }

    /// Whether any key is missing.
    pub fn is_needed(&self) -> bool {
        !self.missing.is_empty()
    }

    /// Whether a peer brought a key lately.
    pub fn is_delivering(&self, now: Instant) -> bool {
        let delivered = self.delivered;
        delivered.is_some_and(|at| now.saturating_duration_since(at) < DELIVERY_PAUSE)
    }

    /// Forgets a peer whose link ended.
    pub fn forget(&mut self, peer: HostId) {
        self.asked.remove(&peer);
    }

    /// Takes note of keys that a peer sent; a part without any of those asked for is its last word.
    pub fn take(&mut self, now: Instant, store: &ConfigStore, peer: HostId, brought: usize) {
        self.missing
            .retain(|key, version| store.version_of(key) < *version);
        if brought > 0 {
            self.delivered = Some(now);
        }
        let Some(fetch) = self.asked.get_mut(&peer) else {
            return;
        };
        let missing = &self.missing;
        fetch.keys.retain(|key| missing.contains_key(key));
        if fetch.keys.is_empty() {
            self.asked.remove(&peer);
        } else if brought == 0 {
            fetch.keys.clear();
            fetch.until = now + EMPTY_PAUSE;
        } else {
            fetch.until = now + ANSWER_PATIENCE;
        }
    }

    /// The keys to ask a peer for now, with the versions held; none if it is busy with others.
    ///
    /// Each host goes through the keys in an order of its own, so that neighbours soon hold
    /// different ones and can serve each other.
    pub fn ask(
        &mut self,
        now: Instant,
        store: &ConfigStore,
        host: HostId,
        peer: HostId,
    ) -> BTreeMap<ConfigKey, Version> {
        self.asked.retain(|_peer, fetch| fetch.until > now);
        if self.missing.is_empty() || self.asked.contains_key(&peer) {
            return BTreeMap::new();
        }
        let taken = |key: &&ConfigKey| self.asked.values().any(|fetch| fetch.keys.contains(*key));
        let mut free: Vec<&ConfigKey> = self.missing.keys().filter(|key| !taken(key)).collect();
        let salt = u64::from(host) << 32 | u64::from(peer);
        free.sort_by_cached_key(|key| rendezvous_weight(salt, xxh3_64(key.as_bytes())));
        let keys: BTreeSet<ConfigKey> = free.into_iter().take(KEYS_AT_ONCE).cloned().collect();
        if keys.is_empty() {
            return BTreeMap::new();
        }
        let held = keys.iter().map(|key| (key.clone(), store.version_of(key)));
        let held = held.collect();
        let until = now + ANSWER_PATIENCE;
        self.asked.insert(peer, PeerFetch { keys, until });
        held
    }
}
