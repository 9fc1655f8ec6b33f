//! Stores the platform's keys with their versions, and a history of changes for watches.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use lagoonproxy::ids::Version;
use serde::Serialize;
use serde_json::Value;
use smol_str::SmolStr;
use snafu::Snafu;

/// Maximum length of a value in bytes of JSON.
pub const MAX_VALUE: usize = 1_000_000;
/// Default number of changes that are retained for watches.
pub const HISTORY_LIMIT: usize = 4_096;

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct KeyChange {
    /// The key.
    pub key: SmolStr,
    /// The revision that the change created, which is also the key's version.
    pub version: Version,
    /// The new value, or `None` if the key was deleted.
    pub value: Option<Arc<Value>>,
}

/// An error of the key store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The key does not have the expected version, for example after a concurrent change.
    #[snafu(display("version conflict: the key has version {actual}"))]
    VersionConflict {
        /// The current version of the key, zero if it does not exist.
        actual: Version,
    },
    /// The value exceeds [`MAX_VALUE`].
    #[snafu(display("the value exceeds {MAX_VALUE} bytes"))]
    ValueTooLong,
    /// The revision is older than the retained history, or newer than the store, which was restored
    /// from a backup.
    #[snafu(display("the revision is outside the history, which begins after revision {floor}"))]
    HistoryDropped {
        /// The oldest revision that can be queried.
        floor: Version,
    },
}

/// Keys with their values, and a bounded history of changes.
///
/// Invariants: versions in `history` ascend; `floor` is the version of the last change that was
/// dropped from it; `revision` is the version of the latest change.
#[derive(Clone, Debug)]
pub struct KeyStore {
    revision: Version,
    floor: Version,
    values: BTreeMap<SmolStr, KeyChange>,
    history: VecDeque<KeyChange>,
    history_limit: usize,
}

impl Default for KeyStore {
    fn default() -> Self {
        Self {
            revision: 0,
            floor: 0,
            values: BTreeMap::new(),
            history: VecDeque::new(),
            history_limit: HISTORY_LIMIT,
        }
    }
}

impl KeyStore {
    /// Returns the version of the latest change.
    pub fn revision(&self) -> Version {
        self.revision
    }

    /// Sets a key, or deletes it if `value` is `None`, and returns its new version.
    ///
    /// Returns an error if the value is too long or the key's version is not `expected`, which is
    /// zero for a key that must not exist.
    pub fn change(
        &mut self,
        key: &str,
        value: Option<Value>,
        expected: Option<Version>,
    ) -> Result<Version, StoreError> {
        let actual = self.values.get(key).map_or(0, |current| current.version);
        if expected.is_some_and(|expected| expected != actual) {
            return Err(StoreError::VersionConflict { actual });
        }
        if value.as_ref().is_some_and(is_too_long) {
            return Err(StoreError::ValueTooLong);
        }
        self.revision += 1;
        self.apply(KeyChange {
            key: key.into(),
            version: self.revision,
            value: value.map(Arc::new),
        });
        Ok(self.revision)
    }

    /// Returns the keys under a prefix, in ascending order.
    pub fn list<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a KeyChange> + 'a {
        self.values
            .range(SmolStr::from(prefix)..)
            .map(|(_key, change)| change)
            .take_while(move |change| change.key.starts_with(prefix))
    }

    /// Returns the last change of an existing key.
    pub fn get(&self, key: &str) -> Option<&KeyChange> {
        self.values.get(key)
    }

    /// Returns the latest change after revision `after` of each key under a prefix, in ascending
    /// order of version; an error if the history does not cover `after`.
    pub fn changes_after(
        &self,
        prefix: &str,
        after: Version,
    ) -> Result<Vec<KeyChange>, StoreError> {
        if after < self.floor || after > self.revision {
            return Err(StoreError::HistoryDropped { floor: self.floor });
        }
        let mut newest = BTreeMap::new();
        let later = self.history.iter().filter(|change| change.version > after);
        for change in later.filter(|change| change.key.starts_with(prefix)) {
            newest.insert(&change.key, change);
        }
        let mut changes: Vec<KeyChange> = newest.into_values().cloned().collect();
        changes.sort_unstable_by_key(|change| change.version);
        Ok(changes)
    }

    /// Returns a copy of the store as of a revision; an error if the history does not reach back to
    /// it.
    pub fn snapshot_at(&self, revision: Version) -> Result<Self, StoreError> {
        if revision < self.floor {
            return Err(StoreError::HistoryDropped { floor: self.floor });
        }
        let mut snapshot = Self {
            revision: revision.min(self.revision),
            floor: self.floor,
            history_limit: self.history_limit,
            ..Self::default()
        };
        let unchanged = self.values.values().filter(|key| key.version <= self.floor);
        for change in unchanged {
            snapshot.values.insert(change.key.clone(), change.clone());
        }
        for change in self
            .history
            .iter()
            .filter(|change| change.version <= revision)
        {
            snapshot.apply(change.clone());
        }
        Ok(snapshot)
    }

    /// Limits the history to `limit` changes.
    pub fn set_history_limit(&mut self, limit: usize) {
        self.history_limit = limit;
        self.trim();
    }

    fn apply(&mut self, change: KeyChange) {
        if change.value.is_some() {
            self.values.insert(change.key.clone(), change.clone());
        } else {
            self.values.remove(&change.key);
        }
        self.history.push_back(change);
        self.trim();
    }

    fn trim(&mut self) {
        while self.history.len() > self.history_limit {
            if let Some(dropped) = self.history.pop_front() {
                self.floor = dropped.version;
            }
        }
    }
}

fn is_too_long(value: &Value) -> bool {
    serde_json::to_vec(value).map_or(true, |bytes| bytes.len() > MAX_VALUE)
}
