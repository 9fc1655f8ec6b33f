//! Decides when the state of a host's store is delivered to its entry daemon, and under which
//! version.

use std::time::Duration;
use std::time::Instant;

use crate::config_store::ConfigStore;
use crate::ids::Version;

/// Minimum time between two deliveries to the entry daemon; it bounds the work in a burst of
/// changes.
pub(crate) const MIN_DELIVERY_INTERVAL: Duration = Duration::from_millis(500);
/// How long a host waits for a state that was published as a whole.
///
/// After that, drains and removals that have arrived are put in force, although additions published
/// before them may not have arrived yet.
const WHOLE_STATE_TIMEOUT: Duration = Duration::from_secs(2);

/// The state that was delivered to the entry daemon.
pub(crate) struct DeliveryState {
    /// Version of the last delivery.
    pub(crate) version: Version,
    /// Digest of the store when it was last compiled, successfully or not.
    pub(crate) digest: u64,
    /// Version of the last whole state that was delivered.
    whole_version: Version,
    /// Earliest time of the next delivery.
    pub(crate) next: Instant,
    /// Time since which the store has not been whole; `None` if it is.
    partial_since: Option<Instant>,
    /// Versions of the published host lists that were last compiled, successfully or not, in key
    /// order.
    pub(crate) host_lists: Vec<Version>,
    /// Version of the whole host list that was last delivered.
    pub(crate) hosts_version: Version,
    /// Number of states delivered although some keys were ahead of others.
    pub(crate) mixed: u64,
    /// Number of states rejected whole.
    pub(crate) refused: u64,
}

impl DeliveryState {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            version: 0,
            digest: 0,
            whole_version: 0,
            next: now,
            partial_since: None,
            host_lists: Vec::new(),
            hosts_version: 0,
            mixed: 0,
            refused: 0,
        }
    }

    /// The version under which the store's state is delivered now, or `None` if the delivery has to
    /// wait. A state that was published as a whole has the revision of its last change.
    ///
    /// A state with keys ahead of others gets a version between the last whole state and the next
    /// one, so that the next one replaces it. Such a version exists, since each key that is ahead
    /// has taken at least one revision.
    pub(crate) fn next_version(&mut self, now: Instant, store: &ConfigStore) -> Option<Version> {
        if store.is_whole() {
            self.partial_since = None;
            return Some(store.newest()).filter(|version| *version > self.version);
        }
        let since = *self.partial_since.get_or_insert(now);
        if now.saturating_duration_since(since) < WHOLE_STATE_TIMEOUT {
            return None;
        }
        let ahead = store.ahead_of_through().len() as Version;
        let version = (self.whole_version + ahead).max(self.version + 1);
        Some(version).filter(|version| *version < store.newest())
    }

    /// Records a state that was delivered.
    pub(crate) fn accept(&mut self, version: Version, whole: bool) {
        self.version = version;
        if whole {
            self.whole_version = version;
        } else {
            self.mixed += 1;
        }
    }
}
