//! Fetches listed keys from several peers at once, for a host that starts with an empty store.
//!
//! Load pattern: a zone returns after a power failure, and its 424 hosts lack all keys. If each
//! waited for a peer with a complete store, the two readers would serve the whole zone, which takes
//! minutes. If each read the platform, together they would use up its call rate. Each host
//! therefore requests some of the keys that the platform listed from every neighbour, and serves
//! the keys that it has before its own store is complete.

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

/// Maximum number of keys requested from one peer at once.
const MAX_KEYS_PER_REQUEST: usize = 8;
/// Timeout for a peer's reply; its keys are then requested from others.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause before a peer that had none of the requested keys gets another request.
const EMPTY_RESPONSE_PAUSE: Duration = Duration::from_millis(500);
/// Time after the last received key during which peers count as delivering.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);

/// A request for keys to one peer, or the pause after an empty reply.
struct PeerFetch {
    keys: BTreeSet<ConfigKey>,
    /// End of the request or, if `keys` is empty, of the pause. Until then the keys are not
    /// requested from others, and the peer gets no request.
    until: Instant,
}

/// Missing keys and the requests for them.
#[derive(Default)]
pub struct KeyFetch {
    /// Keys that are not held in this version or a newer one.
    missing: BTreeMap<ConfigKey, Version>,
    in_flight: BTreeMap<HostId, PeerFetch>,
    last_delivery: Option<Instant>,
}

impl KeyFetch {
    /// Replaces the set of keys that the platform listed and this host lacks.
    pub fn set_missing(&mut self, missing: BTreeMap<ConfigKey, Version>) {
        self.missing = missing;
        if self.missing.is_empty() {
            self.in_flight.clear();
        }
    }

    /// Whether any key is missing.
    pub fn is_needed(&self) -> bool {
        !self.missing.is_empty()
    }

    /// Whether a peer sent a new key within `DELIVERY_TIMEOUT`.
    pub fn is_delivering(&self, now: Instant) -> bool {
        let last_delivery = self.last_delivery;
        last_delivery.is_some_and(|at| now.saturating_duration_since(at) < DELIVERY_TIMEOUT)
    }

    /// Drops the request to a peer whose link was closed.
    pub fn remove_peer(&mut self, peer: HostId) {
        self.in_flight.remove(&peer);
    }

    /// Records a part of a peer's reply, of which `newer_count` keys were new. A part without new
    /// keys ends the request.
    pub fn record_updates(
        &mut self,
        now: Instant,
        store: &ConfigStore,
        peer: HostId,
        newer_count: usize,
    ) {
        self.missing
            .retain(|key, version| store.version_of(key) < *version);
        if newer_count > 0 {
            self.last_delivery = Some(now);
        }
        let Some(fetch) = self.in_flight.get_mut(&peer) else {
            return;
        };
        let missing = &self.missing;
        fetch.keys.retain(|key| missing.contains_key(key));
        if fetch.keys.is_empty() {
            self.in_flight.remove(&peer);
        } else if newer_count == 0 {
            fetch.keys.clear();
            fetch.until = now + EMPTY_RESPONSE_PAUSE;
        } else {
            fetch.until = now + RESPONSE_TIMEOUT;
        }
    }

    /// The keys to request from a peer now, with the versions held; empty if the peer has a request
    /// in progress or a pause.
    ///
    /// Each pair of hosts orders the keys in its own way, so that neighbours soon hold different
    /// keys and can serve each other.
    pub fn next_keys(
        &mut self,
        now: Instant,
        store: &ConfigStore,
        host: HostId,
        peer: HostId,
    ) -> BTreeMap<ConfigKey, Version> {
        self.in_flight.retain(|_peer, fetch| fetch.until > now);
        if self.missing.is_empty() || self.in_flight.contains_key(&peer) {
            return BTreeMap::new();
        }
        let is_in_flight = |key: &&ConfigKey| {
            self.in_flight
                .values()
                .any(|fetch| fetch.keys.contains(*key))
        };
        let mut unrequested: Vec<&ConfigKey> = self
            .missing
            .keys()
            .filter(|key| !is_in_flight(key))
            .collect();
        let salt = u64::from(host) << 32 | u64::from(peer);
        unrequested.sort_by_cached_key(|key| rendezvous_weight(salt, xxh3_64(key.as_bytes())));
        let keys: BTreeSet<ConfigKey> = unrequested
            .into_iter()
            .take(MAX_KEYS_PER_REQUEST)
            .cloned()
            .collect();
        if keys.is_empty() {
            return BTreeMap::new();
        }
        let held = keys.iter().map(|key| (key.clone(), store.version_of(key)));
        let held = held.collect();
        let until = now + RESPONSE_TIMEOUT;
        self.in_flight.insert(peer, PeerFetch { keys, until });
        held
    }
}
