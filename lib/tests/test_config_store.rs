//! Tests that copies of keys in any order give the same store, and that updates between hosts give
//! the published state.

use std::collections::BTreeMap;
use std::sync::Arc;

use lagoonproxy::config_snapshot::UpstreamState;
use lagoonproxy::config_store::ConfigStore;
use lagoonproxy::config_store::JoinResult;
use lagoonproxy::config_store::UpdateBody;
use lagoonproxy::config_value::EntryDoc;
use lagoonproxy::config_value::KeyValue;
use lagoonproxy::ids::ConfigKey;
use lagoonproxy::ids::Version;
use lagoonproxy::published_config::UpstreamDoc;
use proptest::prelude::*;

use crate::world::ledger_config;

const KEYS: [&str; 3] = ["upstreams/a/0", "upstreams/a/1", "upstreams/b/0"];

/// The value of a key in a version, which always has the same content, as on the platform.
fn value_at(version: Version) -> Option<Arc<KeyValue>> {
    if version.is_multiple_of(7) {
        return None;
    }
    let upstreams = ledger_config(1, 6).upstreams;
    let rows = upstreams
        .into_iter()
        .filter(|doc| !(version + u64::from(doc.id)).is_multiple_of(5))
        .map(|doc| entry_at(version, doc));
    Some(Arc::new(KeyValue::Rows(rows.collect())))
}

fn entry_at(version: Version, mut doc: UpstreamDoc) -> (u32, Arc<EntryDoc>) {
    if (version / 2 + u64::from(doc.id)).is_multiple_of(3) {
        doc.state = UpstreamState::Draining;
    }
    // The value often equals that of two versions before, so that a delta over both versions leaves
    // the entry out.
    doc.slots = 2 + ((version + u64::from(doc.id)) / 2 % 2) as u32;
    (doc.id, Arc::new(EntryDoc::Upstream(doc)))
}

/// The key that changed at a revision.
fn key_at(version: Version) -> ConfigKey {
    KEYS[(version * 5 % 11 % 3) as usize].into()
}

fn join_at(store: &mut ConfigStore, version: Version) {
    store.join(&key_at(version), version, value_at(version));
}

fn contents(store: &ConfigStore) -> BTreeMap<ConfigKey, (Version, Option<Arc<KeyValue>>)> {
    let keys = store.keys();
    keys.map(|(key, stored)| (key.clone(), (stored.version, stored.value.clone())))
        .collect()
}

/// The state that was published at a revision.
fn published_at(revision: Version) -> ConfigStore {
    let mut store = ConfigStore::default();
    (1..=revision).for_each(|version| join_at(&mut store, version));
    store.complete(revision);
    store
}

proptest! {
    /// Guards against a drain that is undone by older copies, which a lagging replica or a
    /// restarted peer sends later and in part twice.
    #[test]
    fn test_join_order_and_copies_do_not_matter(
        mut versions in prop::collection::vec(1_u64..40, 1..60),
        seed in any::<u64>(),
    ) {
        let mut forward = ConfigStore::default();
        versions.iter().for_each(|version| join_at(&mut forward, *version));
        let rotation = (seed % versions.len() as u64) as usize;
        versions.rotate_left(rotation);
        versions.reverse();
        let mut backward = ConfigStore::default();
        for version in versions.iter().chain(&versions) {
            join_at(&mut backward, *version);
        }
        prop_assert_eq!(contents(&forward), contents(&backward));
        prop_assert_eq!(forward.digest(), backward.digest());
    }

    /// Guards against a wrong state after a pull from a neighbour that received only some of the
    /// revisions. The receiver has to end with exactly the published state, or to know which keys
    /// it has to request whole.
    #[test]
    fn test_updates_lead_to_the_published_state(
        after in 1_u64..60,
        new_revisions in 1_u64..60,
        skipped in prop::collection::btree_set(1_u64..120, 0..60),
    ) {
        let revision = after + new_revisions;
        let mut sender = ConfigStore::default();
        let is_last_of_key = |version: &Version| {
            let key = key_at(*version);
            !(*version + 1..=revision).any(|later| key_at(later) == key)
        };
        for version in (1..=revision).filter(|v| !skipped.contains(v) || is_last_of_key(v)) {
            join_at(&mut sender, version);
        }
        sender.complete(revision);
        let mut receiver = published_at(after);
        let mut without_base = BTreeMap::new();
        for update in sender.updates_after(after, &BTreeMap::new()) {
            if receiver.join_update(&update) == JoinResult::BaseMissing {
                without_base.insert(update.key.clone(), 0);
            }
        }
        for update in sender.updates_for(&without_base, true) {
            prop_assert_eq!(receiver.join_update(&update), JoinResult::Newer);
        }
        prop_assert_eq!(contents(&receiver), contents(&published_at(revision)));
    }
}

/// Guards against sending a whole shard for the drain of one of its six upstreams, which would cost
/// the zone ten times the bytes.
#[test]
fn test_updates_after_drain_carry_the_state_only() {
    let key: ConfigKey = KEYS[0].into();
    let mut store = ConfigStore::default();
    let mut docs = ledger_config(1, 6).upstreams;
    let rows = |docs: &[UpstreamDoc]| {
        let entry = |doc: &UpstreamDoc| (doc.id, Arc::new(EntryDoc::Upstream(doc.clone())));
        Some(Arc::new(KeyValue::Rows(docs.iter().map(entry).collect())))
    };
    store.join(&key, 1, rows(&docs));
    store.complete(1);
    docs[3].state = UpstreamState::Draining;
    store.join(&key, 2, rows(&docs));
    let updates = store.updates_after(1, &BTreeMap::new());
    assert!(updates[0].is_removal());
    let UpdateBody::Delta {
        base,
        rows,
        closing,
        removed,
    } = &updates[0].body
    else {
        panic!("{updates:?}");
    };
    assert_eq!((*base, rows.len(), removed.len()), (1, 0, 0));
    assert_eq!(*closing, [(3, true)]);
}

/// Guards against compiling a state that was never published: a reader has received a change under
/// one prefix, and an earlier one under another prefix is still missing.
#[test]
fn test_store_is_whole_only_when_nothing_is_ahead() {
    let mut store = published_at(5);
    assert!(store.is_whole());
    join_at(&mut store, 8);
    assert!(!store.is_whole());
    assert_eq!(store.ahead_of_through().len(), 1);
    (6..8).for_each(|version| join_at(&mut store, version));
    store.complete(8);
    assert!(store.is_whole());
    assert_eq!(store.digest(), published_at(8).digest());
}
