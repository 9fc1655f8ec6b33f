//! Stores the published keys that a host holds: the largest version seen of each, deletions
//! included.
//!
//! Joining copies is commutative, associative and idempotent. Copies from the platform and from
//! peers may therefore be outdated, repeated and in any order, and never restore an older value.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::ops::Bound;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::config_value::EntryDoc;
use crate::config_value::EntryId;
use crate::config_value::EntryRows;
use crate::config_value::KeyValue;
use crate::ids::ConfigKey;
use crate::ids::Version;

/// Lower bound of the limit on entry changes that are kept per key for deltas.
///
/// The limit is the number of the key's entries if that is larger; beyond it, a delta is no smaller
/// than the whole value.
const MIN_DELTA_ENTRIES: usize = 8;

/// The result of joining a copy of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinResult {
    /// The copy was newer, and is held now.
    Newer,
    /// The same or a newer version was held already.
    Known,
    /// The copy was a delta from a version that is not held; the whole value is needed.
    BaseMissing,
}

/// How an entry changed between two versions of its key; the larger variant prevails when changes
/// are merged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EntryChange {
    /// Only whether the entry takes new work.
    State,
    /// Anything else, including that the entry was added or removed.
    Row,
}

/// The entries that differ between two versions of a key that were held one after the other.
#[derive(Clone, Debug)]
struct KeyDelta {
    base: Version,
    version: Version,
    changes: Vec<(EntryId, EntryChange)>,
}

/// A key in the store.
#[derive(Clone, Debug)]
pub struct StoredKey {
    /// Version of the key's last change.
    pub version: Version,
    /// The value, or `None` after a deletion.
    pub value: Option<Arc<KeyValue>>,
    /// Changes that led to `version`, oldest first. Contiguous: each `base` is the `version` of the
    /// delta before it, and the last `version` is the key's.
    deltas: VecDeque<KeyDelta>,
}

/// A key's new state, as hosts send it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyUpdate {
    /// The key.
    pub key: ConfigKey,
    /// The version that the key gets.
    pub version: Version,
    /// The value, or the difference from an earlier one.
    pub body: UpdateBody,
}

/// The content of a [`KeyUpdate`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpdateBody {
    /// The key was deleted.
    Deleted,
    /// The whole value.
    Whole(Arc<KeyValue>),
    /// The difference from the version `base`.
    Delta {
        /// The only version to which the delta applies.
        base: Version,
        /// Entries that are new or changed, whole.
        rows: Vec<Arc<EntryDoc>>,
        /// Entries of which only the state changed: whether they take no new work.
        closing: Vec<(EntryId, bool)>,
        /// Entries that were removed.
        removed: Vec<EntryId>,
    },
}

impl KeyUpdate {
    /// Whether the update stops traffic to an entry: a drain, a removed entry or a deleted key.
    pub fn is_removal(&self) -> bool {
        match &self.body {
            UpdateBody::Deleted => true,
            UpdateBody::Whole(_) => false,
            UpdateBody::Delta {
                closing, removed, ..
            } => !removed.is_empty() || closing.iter().any(|(_id, closing)| *closing),
        }
    }
}

/// The published keys that a host needs, with their versions.
#[derive(Clone, Debug, Default)]
pub struct ConfigStore {
    keys: BTreeMap<ConfigKey, StoredKey>,
    /// Every change up to this revision is held.
    through: Version,
    /// Largest version of any key.
    newest: Version,
    /// Wrapping sum of the hashes of each key with its version.
    digest: u64,
}

impl ConfigStore {
    /// The revision up to which every change is held; 0 if none is known.
    pub fn through(&self) -> Version {
        self.through
    }

    /// Largest version of any key.
    pub fn newest(&self) -> Version {
        self.newest
    }

    /// Whether the keys together are a state that was published: no key is newer than the revision
    /// up to which the store is complete. Otherwise some keys are ahead of others.
    pub fn is_whole(&self) -> bool {
        self.through > 0 && self.newest <= self.through
    }

    /// Digest of the keys and versions; equal on hosts that hold the same versions, whatever the
    /// order in which they arrived.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// All keys, in order.
    pub fn keys(&self) -> impl Iterator<Item = (&ConfigKey, &StoredKey)> {
        self.keys.iter()
    }

    /// The keys that start with `prefix`, in order.
    pub fn keys_under<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a ConfigKey, &'a StoredKey)> {
        self.keys
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .take_while(move |(key, _stored)| key.starts_with(prefix))
    }

    /// A key's version; 0 if the key is not held.
    pub fn version_of(&self, key: &str) -> Version {
        self.keys.get(key).map_or(0, |stored| stored.version)
    }

    /// The keys that changed after `through`, with their versions; empty if the state is whole.
    pub fn ahead_of_through(&self) -> BTreeMap<ConfigKey, Version> {
        if self.newest <= self.through {
            return BTreeMap::new();
        }
        self.keys
            .iter()
            .filter(|(_key, stored)| stored.version > self.through)
            .map(|(key, stored)| (key.clone(), stored.version))
            .collect()
    }

    /// Records that every change up to `revision` has been joined.
    pub fn complete(&mut self, revision: Version) {
        self.through = self.through.max(revision);
    }

    /// Joins a copy with the whole value, or with `None` for a deletion.
    pub fn join(
        &mut self,
        key: &ConfigKey,
        version: Version,
        value: Option<Arc<KeyValue>>,
    ) -> JoinResult {
        let held = self.version_of(key);
        if version <= held {
            return JoinResult::Known;
        }
        self.digest = self
            .digest
            .wrapping_sub(key_hash(key, held))
            .wrapping_add(key_hash(key, version));
        self.newest = self.newest.max(version);
        let stored = self.keys.entry(key.clone()).or_insert(StoredKey {
            version: 0,
            value: None,
            deltas: VecDeque::new(),
        });
        stored.advance(version, value);
        JoinResult::Newer
    }

    /// Joins an update from a peer.
    pub fn join_update(&mut self, update: &KeyUpdate) -> JoinResult {
        let held = self.version_of(&update.key);
        if update.version <= held {
            return JoinResult::Known;
        }
        let value = match &update.body {
            UpdateBody::Deleted => None,
            UpdateBody::Whole(value) => Some(Arc::clone(value)),
            UpdateBody::Delta { base, .. } if *base != held => return JoinResult::BaseMissing,
            UpdateBody::Delta {
                rows,
                closing,
                removed,
                ..
            } => {
                let Some(patched) = self.patch(&update.key, rows, closing, removed) else {
                    return JoinResult::BaseMissing;
                };
                Some(Arc::new(KeyValue::Rows(patched)))
            }
        };
        self.join(&update.key, update.version, value)
    }

    fn patch(
        &self,
        key: &ConfigKey,
        rows: &[Arc<EntryDoc>],
        closing: &[(EntryId, bool)],
        removed: &[EntryId],
    ) -> Option<EntryRows> {
        let stored = self.keys.get(key)?;
        let mut patched = stored.value.as_ref()?.rows()?.clone();
        for doc in rows {
            patched.insert(doc.id(), Arc::clone(doc));
        }
        for (id, closing) in closing {
            let doc = patched.get(id)?.with_closing(*closing);
            patched.insert(*id, Arc::new(doc));
        }
        for id in removed {
            patched.remove(id);
        }
        Some(patched)
    }

    /// The updates for a peer that is complete up to `after` and holds the keys of `ahead` in newer
    /// versions; as deltas where possible.
    pub fn updates_after(
        &self,
        after: Version,
        ahead: &BTreeMap<ConfigKey, Version>,
    ) -> Vec<KeyUpdate> {
        let mut updates = Vec::new();
        for (key, stored) in &self.keys {
            let held = ahead.get(key).copied().unwrap_or(0).max(after);
            if stored.version > held {
                updates.push(stored.update_from(key, held));
            }
        }
        updates
    }

    /// The updates for a peer that holds these versions. With `only_named`, keys that are not in
    /// `held` are left out.
    pub fn updates_for(
        &self,
        held: &BTreeMap<ConfigKey, Version>,
        only_named: bool,
    ) -> Vec<KeyUpdate> {
        let mut updates = Vec::new();
        for (key, stored) in &self.keys {
            let version = match held.get(key) {
                Some(version) => *version,
                None if only_named => continue,
                None => 0,
            };
            if stored.version > version {
                updates.push(stored.update_from(key, version));
            }
        }
        updates
    }
}

impl StoredKey {
    fn advance(&mut self, version: Version, value: Option<Arc<KeyValue>>) {
        let changes = changes_between(self.value.as_deref(), value.as_deref());
        match changes {
            Some(changes) => self.deltas.push_back(KeyDelta {
                base: self.version,
                version,
                changes,
            }),
            None => self.deltas.clear(),
        }
        self.version = version;
        self.value = value;
        self.trim_deltas();
    }

    fn trim_deltas(&mut self) {
        let rows = self.value.as_ref().and_then(|value| value.rows());
        let limit = rows.map_or(0, EntryRows::len).max(MIN_DELTA_ENTRIES);
        let mut entries: usize = self.deltas.iter().map(KeyDelta::entry_count).sum();
        while entries > limit {
            let Some(oldest) = self.deltas.pop_front() else {
                return;
            };
            entries -= oldest.entry_count();
        }
    }

    /// The update from the version that was held at revision `after` to the present one.
    ///
    /// Deltas name the entries that changed; their content is taken from the present value.
    fn update_from(&self, key: &ConfigKey, after: Version) -> KeyUpdate {
        let body = match &self.value {
            None => UpdateBody::Deleted,
            Some(value) => self
                .delta_from(value, after)
                .unwrap_or_else(|| UpdateBody::Whole(Arc::clone(value))),
        };
        KeyUpdate {
            key: key.clone(),
            version: self.version,
            body,
        }
    }

    fn delta_from(&self, value: &KeyValue, after: Version) -> Option<UpdateBody> {
        let first = self.deltas.iter().position(|delta| delta.version > after)?;
        let base = self.deltas[first].base;
        if base > after || base == 0 {
            return None;
        }
        let present = value.rows()?;
        let mut changed: BTreeMap<EntryId, EntryChange> = BTreeMap::new();
        for (id, change) in self.deltas.iter().skip(first).flat_map(|d| &d.changes) {
            let merged = changed.entry(*id).or_insert(*change);
            *merged = (*merged).max(*change);
        }
        let mut rows = Vec::new();
        let mut closing = Vec::new();
        let mut removed = Vec::new();
        for (id, change) in changed {
            match (present.get(&id), change) {
                (Some(doc), EntryChange::State) => closing.push((id, doc.is_closing())),
                (Some(doc), EntryChange::Row) => rows.push(Arc::clone(doc)),
                (None, _) => removed.push(id),
            }
        }
        Some(UpdateBody::Delta {
            base,
            rows,
            closing,
            removed,
        })
    }
}

impl KeyDelta {
    /// The number of changes, at least 1, since an empty delta also takes memory.
    fn entry_count(&self) -> usize {
        self.changes.len().max(1)
    }
}

/// The entries that differ between two values; `None` if one of them has no entries.
fn changes_between(
    old: Option<&KeyValue>,
    new: Option<&KeyValue>,
) -> Option<Vec<(EntryId, EntryChange)>> {
    let old = old?.rows()?;
    let new = new?.rows()?;
    let mut changes = Vec::new();
    for (id, doc) in new {
        match old.get(id) {
            Some(previous) if previous == doc => {}
            Some(previous) if previous.with_closing(doc.is_closing()) == **doc => {
                changes.push((*id, EntryChange::State));
            }
            _ => changes.push((*id, EntryChange::Row)),
        }
    }
    let removed_ids = old.keys().filter(|id| !new.contains_key(id));
    changes.extend(removed_ids.map(|id| (*id, EntryChange::Row)));
    Some(changes)
}

/// The hash of a key with its version; 0 for a key that is not held.
fn key_hash(key: &str, version: Version) -> u64 {
    if version == 0 {
        return 0;
    }
    xxh3_64_with_seed(key.as_bytes(), version)
}
