//! The platform's keys: versions, expected versions, and the history that watches read.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use lagoonproxy::ids::Version;
use serde::Serialize;
use serde_json::Value;
use smol_str::SmolStr;
use snafu::Snafu;

/// Longest value in bytes of JSON.
pub const MAX_VALUE: usize = 1_000_000;
/// Changes that are kept for watches unless a smaller number is set.
pub const HISTORY_LIMIT: usize = 4_096;

/// One change of one key.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct KeyChange {
    /// The key.
    pub key: SmolStr,
    /// The revision that the change made, and the key's version since.
    pub version: Version,
    /// The new value, or `None` when the key was deleted.
    pub value: Option<Arc<Value>>,
}

/// Why the store refuses a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// Another operator was faster.
    #[snafu(display("the key has version {actual}"))]
    VersionConflict {
        /// The version that the key has, zero if it is not there.
        actual: Version,
    },
    /// The value is longer than allowed.
    #[snafu(display("a value has at most {MAX_VALUE} bytes"))]
    ValueTooLong,
    /// The revision lies before the history that is kept, or after it: in a history that was lost.
    #[snafu(display(
        "the history begins after revision {floor} and does not reach further than the store"
    ))]
    HistoryGone {
        /// The oldest revision that can be asked for.
        floor: Version,
    },
}

/// Keys with their values and the last changes.
///
/// Invariants: versions in `history` ascend; `floor` is the version of the last change that was
/// dropped from it; `revision` is the version of the newest change.
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
    /// The version of the newest change.
    pub fn revision(&self) -> Version {
        self.revision
    }

    /// Sets or, with `None`, deletes a key; `expected` is the version that it must have before.
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

    /// The keys under a prefix, in ascending order.
    pub fn list<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a KeyChange> + 'a {
        self.values
            .range(SmolStr::from(prefix)..)
            .map(|(_key, change)| change)
            .take_while(move |change| change.key.starts_with(prefix))
    }

    /// A key's last change.
    pub fn get(&self, key: &str) -> Option<&KeyChange> {
        self.values.get(key)
    }

    /// The newest change after `after` of each key under a prefix, in ascending order of version.
    pub fn changes_after(
        &self,
        prefix: &str,
        after: Version,
    ) -> Result<Vec<KeyChange>, StoreError> {
        if after < self.floor || after > self.revision {
            return Err(StoreError::HistoryGone { floor: self.floor });
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

    /// A copy as it was at a revision that the history still covers.
    pub fn copy_at(&self, revision: Version) -> Result<Self, StoreError> {
        if revision < self.floor {
            return Err(StoreError::HistoryGone { floor: self.floor });
        }
        let mut copy = Self {
            revision: revision.min(self.revision),
            floor: self.floor,
            history_limit: self.history_limit,
            ..Self::default()
        };
        let unchanged = self.values.values().filter(|key| key.version <= self.floor);
        for change in unchanged {
            copy.values.insert(change.key.clone(), change.clone());
        }
        for change in self
            .history
            .iter()
            .filter(|change| change.version <= revision)
        {
            copy.apply(change.clone());
        }
        Ok(copy)
    }

    /// Keeps at most this many changes for watches from now on.
    pub fn limit_history(&mut self, limit: usize) {
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
