//! When a host's present state is handed to its entry daemon, and under which version.

use std::time::Duration;
use std::time::Instant;

use crate::config_store::ConfigStore;
use crate::ids::Version;

/// Shortest time between two configurations for the entry daemon; bounds the work of a burst.
pub(crate) const FORCE_GAP: Duration = Duration::from_millis(500);
/// How long a host waits for a state that was published as a whole.
///
/// Beyond it, drains and removals that have arrived are put in force although additions published
/// before them are still under way.
const WHOLE_PATIENCE: Duration = Duration::from_secs(2);

/// Which state the entry daemon has.
pub(crate) struct ForceState {
    /// Version last handed over.
    pub(crate) version: Version,
    /// Digest of the store when it was last compiled, successfully or not.
    pub(crate) digest: u64,
    /// Version of the last whole state that was handed over.
    whole_version: Version,
    /// When the next may follow.
    pub(crate) next: Instant,
    /// Since when the store has not been whole.
    partial_since: Option<Instant>,
    /// Versions of the lists of hosts that were last compiled, successfully or not, in key order.
    pub(crate) host_lists: Vec<Version>,
    /// Version of the whole list of hosts that was last handed over.
    pub(crate) hosts_version: Version,
    /// States handed over although some keys were ahead of others.
    pub(crate) mixed: u64,
    /// States refused whole.
    pub(crate) refused: u64,
}

impl ForceState {
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

    /// The version under which the store's present state is handed over, or `None` if it has to
    /// wait: for a state that was published as a whole, the revision of its last change.
    ///
    /// A state with keys ahead of others gets a version between the last whole one and the next,
    /// so that the next one replaces it: each key that is ahead has taken one revision at least.
    pub(crate) fn next_version(&mut self, now: Instant, store: &ConfigStore) -> Option<Version> {
        if store.is_whole() {
            self.partial_since = None;
            return Some(store.newest()).filter(|version| *version > self.version);
        }
        let since = *self.partial_since.get_or_insert(now);
        if now.saturating_duration_since(since) < WHOLE_PATIENCE {
            return None;
        }
        let ahead = store.ahead_of_through().len() as Version;
        let version = (self.whole_version + ahead).max(self.version + 1);
        Some(version).filter(|version| *version < store.newest())
    }

    /// Takes note of a state that was handed over.
    pub(crate) fn accept(&mut self, version: Version, whole: bool) {
        self.version = version;
        if whole {
            self.whole_version = version;
        } else {
            self.mixed += 1;
        }
    }
}
