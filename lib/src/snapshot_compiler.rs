//! Compiles the published keys into a snapshot, recompiling only what changed since the last one.
//!
//! A full compilation matches each service's selector against each upstream: five million matches
//! in a zone of the intended size. A change of one upstream takes one match per service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use smol_str::SmolStr;
use snafu::OptionExt;
use snafu::Snafu;

use crate::config_check::ConfigFaults;
use crate::config_check::config_faults;
use crate::config_snapshot::ConfigSnapshot;
use crate::config_snapshot::ServiceEntry;
use crate::config_store::ConfigStore;
use crate::config_value::EntryDoc;
use crate::config_value::EntryId;
use crate::config_value::EntryRows;
use crate::config_value::HOSTS_PREFIX;
use crate::config_value::KeyValue;
use crate::ids::ConfigKey;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::ids::Version;
use crate::label_selector::LabelSelector;
use crate::published_config::PublishedConfig;
use crate::published_config::ServiceDoc;
use crate::published_config::UpstreamDoc;
use crate::published_config::compile_upstream;

/// Why a published state is rejected whole.
#[derive(Debug, Snafu)]
pub enum CompileError {
    /// A value cannot be parsed.
    #[snafu(display("{key}: {fault}"))]
    Unreadable {
        /// The key of the value.
        key: ConfigKey,
        /// The parser's error.
        fault: String,
    },
    /// Two keys hold an entry of the same number.
    #[snafu(display("{key}: number {id} stands under another key too"))]
    Duplicate {
        /// One of the keys.
        key: ConfigKey,
        /// The number.
        id: EntryId,
    },
    /// The documents contradict each other or cannot be compiled.
    #[snafu(display("{source}"))]
    Config {
        /// All faults of the documents.
        source: ConfigFaults,
    },
    /// A change has a fault. A check of the whole state replaces this error by one that lists all
    /// faults.
    #[snafu(display("a change has a fault"))]
    FaultFound,
}

/// The last compilation and its input.
#[derive(Default)]
pub struct SnapshotCompiler {
    /// The values that were compiled; services and upstreams only.
    compiled: BTreeMap<ConfigKey, Arc<KeyValue>>,
    services: BTreeMap<ServiceId, CompiledService>,
    upstreams: BTreeMap<UpstreamId, Arc<EntryDoc>>,
    service_identities: UsedIdentities,
    upstream_identities: UsedIdentities,
    snapshot: ConfigSnapshot,
}

/// The names and addresses of the documents of one kind, which have to be unique.
#[derive(Default)]
struct UsedIdentities {
    names: HashMap<SmolStr, EntryId>,
    addresses: HashMap<SocketAddr, EntryId>,
}

impl UsedIdentities {
    /// Reserves a name and an address; returns whether both were free.
    fn reserve(&mut self, id: EntryId, name: &SmolStr, address: SocketAddr) -> bool {
        let name = self.names.insert(name.clone(), id);
        let address = self.addresses.insert(address, id);
        name.is_none() && address.is_none()
    }

    fn release(&mut self, name: &SmolStr, address: SocketAddr) {
        self.names.remove(name);
        self.addresses.remove(&address);
    }
}

struct CompiledService {
    doc: Arc<EntryDoc>,
    selector: LabelSelector,
    upstreams: BTreeSet<UpstreamId>,
}

/// The entries that differ from the last compilation.
#[derive(Default)]
struct ChangedEntries {
    /// The new entry of each number, or `None` if it was removed.
    services: BTreeMap<ServiceId, Option<Arc<EntryDoc>>>,
    upstreams: BTreeMap<UpstreamId, Option<Arc<EntryDoc>>>,
}

impl SnapshotCompiler {
    /// Compiles the state of the store; any fault rejects the whole state.
    ///
    /// If a change has a fault, the whole state is checked again, so that the error lists all
    /// faults.
    pub fn compile(
        &mut self,
        store: &ConfigStore,
        version: Version,
    ) -> Result<Arc<ConfigSnapshot>, CompileError> {
        let result = self.compile_changes(store, version);
        if result.is_err() {
            // The compilation so far mixes old and new entries.
            *self = Self::default();
        }
        match result {
            Err(CompileError::FaultFound) => Err(describe_faults(store, version)),
            result => result,
        }
    }

    fn compile_changes(
        &mut self,
        store: &ConfigStore,
        version: Version,
    ) -> Result<Arc<ConfigSnapshot>, CompileError> {
        let changed = self.find_changes(store)?;
        self.change_upstreams(changed.upstreams)?;
        self.change_services(changed.services)?;
        self.snapshot.version = version;
        Ok(Arc::new(self.snapshot.clone()))
    }

    fn find_changes(&mut self, store: &ConfigStore) -> Result<ChangedEntries, CompileError> {
        let mut removed = Vec::new();
        let mut added = Vec::new();
        for (key, stored) in store
            .keys()
            .filter(|(key, _)| !key.starts_with(HOSTS_PREFIX))
        {
            let old = self.compiled.get(key).cloned();
            let unchanged = match (&old, &stored.value) {
                (Some(old), Some(new)) => Arc::ptr_eq(old, new),
                (None, None) => true,
                _ => false,
            };
            if unchanged {
                continue;
            }
            let empty = EntryRows::new();
            let new_rows = rows_of(key, stored.value.as_deref(), &empty)?;
            let old_rows = rows_of(key, old.as_deref(), &empty)?;
            collect_removed(old_rows, new_rows, &mut removed);
            collect_added(key, old_rows, new_rows, &mut added);
            match &stored.value {
                Some(value) => self.compiled.insert(key.clone(), Arc::clone(value)),
                None => self.compiled.remove(key),
            };
        }
        self.merge_changes(removed, added)
    }

    /// Merges the removed and the added entries: an entry that moves between keys is removed from
    /// one and added to the other. Fails if two keys hold the same number.
    fn merge_changes(
        &self,
        removed: Vec<Arc<EntryDoc>>,
        added: Vec<(ConfigKey, Arc<EntryDoc>)>,
    ) -> Result<ChangedEntries, CompileError> {
        let mut changed = ChangedEntries::default();
        for doc in removed {
            match *doc {
                EntryDoc::Service(_) => changed.services.insert(doc.id(), None),
                EntryDoc::Upstream(_) => changed.upstreams.insert(doc.id(), None),
                EntryDoc::Host(_) => None,
            };
        }
        for (key, doc) in added {
            let id = doc.id();
            let (slot, held) = match *doc {
                EntryDoc::Service(_) => {
                    let held = self.services.contains_key(&id);
                    (changed.services.insert(id, Some(doc)), held)
                }
                EntryDoc::Upstream(_) => {
                    let held = self.upstreams.contains_key(&id);
                    (changed.upstreams.insert(id, Some(doc)), held)
                }
                EntryDoc::Host(_) => continue,
            };
            let duplicate = match slot {
                Some(previous) => previous.is_some(),
                None => held,
            };
            if duplicate {
                return DuplicateSnafu { key, id }.fail();
            }
        }
        Ok(changed)
    }

    /// Releases the names and addresses of all changed upstreams before it reserves any, so that
    /// they may pass from one upstream to another within one revision.
    fn change_upstreams(
        &mut self,
        changed: BTreeMap<UpstreamId, Option<Arc<EntryDoc>>>,
    ) -> Result<(), CompileError> {
        for id in changed.keys() {
            if let Some(old) = self.upstreams.get(id).and_then(|doc| as_upstream(doc)) {
                self.upstream_identities.release(&old.name, old.address);
            }
        }
        for (id, doc) in changed {
            if let Some(new) = doc.as_deref().and_then(as_upstream) {
                let free = self.upstream_identities.reserve(id, &new.name, new.address);
                snafu::ensure!(free && is_valid(&[], &[new]), FaultFoundSnafu);
            }
            self.change_upstream(id, doc);
        }
        Ok(())
    }

    fn change_upstream(&mut self, id: UpstreamId, doc: Option<Arc<EntryDoc>>) {
        let upstream = doc.as_deref().and_then(as_upstream);
        for service in self.services.values_mut() {
            let matches = upstream.is_some_and(|doc| service.selector.matches(&doc.labels));
            let membership_changed = if matches {
                service.upstreams.insert(id)
            } else {
                service.upstreams.remove(&id)
            };
            if membership_changed
                && let Some(entry) = self.snapshot.services.get_mut(&service.doc.id())
            {
                entry.upstreams = service.upstreams.iter().copied().collect();
            }
        }
        match upstream {
            Some(upstream) => self
                .snapshot
                .upstreams
                .insert(id, compile_upstream(upstream)),
            None => self.snapshot.upstreams.remove(&id),
        };
        match doc {
            Some(doc) => self.upstreams.insert(id, doc),
            None => self.upstreams.remove(&id),
        };
    }

    /// Removes all changed services before it adds any, so that an address may pass from one
    /// service to another within one revision.
    fn change_services(
        &mut self,
        changed: BTreeMap<ServiceId, Option<Arc<EntryDoc>>>,
    ) -> Result<(), CompileError> {
        for id in changed.keys() {
            self.services.remove(id);
            if let Some(entry) = self.snapshot.services.remove(id) {
                self.snapshot.addresses.remove(&entry.address);
                self.service_identities.release(&entry.name, entry.address);
            }
        }
        for doc in changed.into_values().flatten() {
            self.add_service(&doc)?;
        }
        Ok(())
    }

    fn add_service(&mut self, doc: &Arc<EntryDoc>) -> Result<(), CompileError> {
        let EntryDoc::Service(service) = &**doc else {
            return Ok(());
        };
        let id = service.id;
        let identities = &mut self.service_identities;
        let free = identities.reserve(id, &service.name, service.address);
        snafu::ensure!(free && is_valid(&[service], &[]), FaultFoundSnafu);
        let selector = LabelSelector::parse(&service.selector);
        let selector = selector.ok().context(FaultFoundSnafu)?;
        let upstreams = self.matching_upstreams(&selector);
        let entry = service_entry(service, &upstreams);
        self.snapshot.addresses.insert(entry.address, id);
        self.snapshot.services.insert(id, entry);
        let compiled = CompiledService {
            doc: Arc::clone(doc),
            selector,
            upstreams,
        };
        self.services.insert(id, compiled);
        Ok(())
    }

    fn matching_upstreams(&self, selector: &LabelSelector) -> BTreeSet<UpstreamId> {
        self.upstreams
            .values()
            .filter_map(|doc| as_upstream(doc))
            .filter(|upstream| selector.matches(&upstream.labels))
            .map(|upstream| upstream.id)
            .collect()
    }
}

/// Whether the documents have no fault on their own.
fn is_valid(services: &[&ServiceDoc], upstreams: &[&UpstreamDoc]) -> bool {
    let alone = PublishedConfig {
        version: 0,
        services: services.iter().map(|doc| (*doc).clone()).collect(),
        upstreams: upstreams.iter().map(|doc| (*doc).clone()).collect(),
    };
    config_faults(&alone).is_empty()
}

/// The error that lists all faults of the store's state.
fn describe_faults(store: &ConfigStore, version: Version) -> CompileError {
    let faults = config_faults(&published_config(store, version));
    if faults.is_empty() {
        return CompileError::FaultFound;
    }
    let source = ConfigFaults { faults };
    CompileError::Config { source }
}

/// The documents of the store as one configuration; values that cannot be parsed are left out.
pub fn published_config(store: &ConfigStore, version: Version) -> PublishedConfig {
    let mut config = PublishedConfig {
        version,
        ..PublishedConfig::default()
    };
    let values = store
        .keys()
        .filter_map(|(_key, stored)| stored.value.as_ref());
    for doc in values
        .filter_map(|value| value.rows())
        .flat_map(EntryRows::values)
    {
        match &**doc {
            EntryDoc::Service(doc) => config.services.push(doc.clone()),
            EntryDoc::Upstream(doc) => config.upstreams.push(doc.clone()),
            EntryDoc::Host(_) => {}
        }
    }
    config
}

fn service_entry(doc: &ServiceDoc, upstreams: &BTreeSet<UpstreamId>) -> ServiceEntry {
    ServiceEntry {
        id: doc.id,
        name: doc.name.clone(),
        address: doc.address,
        upstreams: upstreams.iter().copied().collect(),
    }
}

fn as_upstream(doc: &EntryDoc) -> Option<&UpstreamDoc> {
    match doc {
        EntryDoc::Upstream(upstream) => Some(upstream),
        EntryDoc::Service(_) | EntryDoc::Host(_) => None,
    }
}

fn rows_of<'a>(
    key: &ConfigKey,
    value: Option<&'a KeyValue>,
    empty: &'a EntryRows,
) -> Result<&'a EntryRows, CompileError> {
    match value {
        None => Ok(empty),
        Some(KeyValue::Rows(rows)) => Ok(rows),
        Some(KeyValue::Invalid(fault)) => UnreadableSnafu {
            key: key.clone(),
            fault: fault.as_str(),
        }
        .fail(),
    }
}

/// Collects entries that were removed or changed. Patched values share the unchanged entries with
/// the old value, so that most comparisons are of pointers.
fn collect_removed(old: &EntryRows, new: &EntryRows, removed: &mut Vec<Arc<EntryDoc>>) {
    for (id, doc) in old {
        let same = new.get(id).is_some_and(|new| is_same(doc, new));
        if !same {
            removed.push(Arc::clone(doc));
        }
    }
}

fn collect_added(
    key: &ConfigKey,
    old: &EntryRows,
    new: &EntryRows,
    added: &mut Vec<(ConfigKey, Arc<EntryDoc>)>,
) {
    for (id, doc) in new {
        let same = old.get(id).is_some_and(|old| is_same(old, doc));
        if !same {
            added.push((key.clone(), Arc::clone(doc)));
        }
    }
}

fn is_same(left: &Arc<EntryDoc>, right: &Arc<EntryDoc>) -> bool {
    Arc::ptr_eq(left, right) || left == right
}
