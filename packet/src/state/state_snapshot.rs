//! A snapshot of the store, merged from its lists and watches and from peers; it never regresses.
//!
//! A state at a larger store position supersedes one at a smaller position, whatever the source and
//! order of the updates. A state of a later era replaces one of an earlier era, including what the
//! store lost when it was restored. Only the configuration is ordered by its own version, within
//! and across eras.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;

use lagoonproxy::ids::Version;
use lagoonproxy::ids::ZoneName;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::Revision;
use crate::ids::UpstreamName;
use crate::routes::route_config::RouteConfig;
use crate::state::store_position::StorePosition;
use crate::upstreams::upstream_entry::UpstreamEntry;

/// Maximum number of tombstones kept, with which peers that are slightly behind get a delta.
const MAX_TOMBSTONES: usize = 256;

/// Identity of a published item.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ItemKey {
    /// The configuration written by operators.
    Routes,
    /// The registration of one upstream.
    Upstream(UpstreamName),
    /// A request of an operator to evacuate an availability zone.
    Evacuation(ZoneName),
}

/// Content of a published item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemContent {
    /// A configuration.
    Routes(Arc<RouteConfig>),
    /// A registration.
    Upstream(Arc<UpstreamEntry>),
    /// The availability zone is to get no new flows.
    Evacuated,
    /// Undecodable content. An upstream with such an entry gets no new flows.
    Unreadable,
    /// The item was deleted.
    Removed,
    /// Content that the receiver already holds; the item is listed only because it still exists.
    Unchanged,
}

/// One change of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedItem {
    /// Its identity.
    pub key: ItemKey,
    /// The store position of the change.
    pub position: StorePosition,
    /// The content after the change.
    pub content: ItemContent,
}

impl PublishedItem {
    /// The item, without its content if it was last changed at or before `known`, up to which the
    /// receiver holds every change.
    fn without_known_content(mut self, known: StorePosition) -> Self {
        if self.position <= known {
            self.content = ItemContent::Unchanged;
        }
        self
    }
}

/// A batch of changes, from the store or a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateUpdate {
    /// The items; changes of the same item are in store order.
    pub items: Vec<PublishedItem>,
    /// Position up to which every change of the era is contained.
    pub through: StorePosition,
    /// Whether every existing item is listed, so that missing ones were removed. Otherwise the
    /// items are a delta for a state at any position from `after` to `until`.
    pub whole: bool,
    /// The first position to which the delta applies; unread if `whole`.
    pub after: StorePosition,
    /// The last position to which the delta applies; unread if `whole`. If it is before `through`,
    /// items that were added and removed in between are not known.
    pub until: StorePosition,
}

/// The state that a host already holds, sent to a peer to request the rest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateQuery {
    /// The position of the host's state; unread if it has none.
    pub after: StorePosition,
    /// The version of the host's configuration; `None` if it has none.
    pub version: Option<Version>,
}

/// One effect of a merged update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateChange {
    /// A newer configuration.
    Routes(Arc<RouteConfig>),
    /// A new or changed registration.
    Upstream(Arc<UpstreamEntry>),
    /// A registration that was removed or has become undecodable.
    Removed(UpstreamName),
    /// A zone that now gets no new flows, with the revision of the request.
    Evacuated(ZoneName, Revision),
    /// A zone whose evacuation has ended.
    Restored(ZoneName),
}

/// The outcome of a merge.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// The effects, to be applied in order.
    pub changes: Vec<StateChange>,
    /// Number of undecodable items.
    pub unreadable: usize,
    /// Version of a configuration that was rejected because the effective one is newer.
    pub regressed: Option<Version>,
    /// The update was rejected: it is older than the snapshot, or does not continue it.
    pub is_stale: bool,
    /// The update is of a later era than the snapshot was. The store may have lost the items that
    /// the update removes, and items that it contains may be older than those lost.
    pub crosses_era: bool,
}

#[derive(Clone, Debug)]
struct HeldEntry {
    position: StorePosition,
    /// `None` if the entry is undecodable.
    entry: Option<Arc<UpstreamEntry>>,
}

/// The published state that a host holds.
#[derive(Clone, Debug, Default)]
pub struct StateSnapshot {
    /// The configuration with the largest version received; never replaced by an older one.
    routes: Option<Arc<RouteConfig>>,
    routes_position: StorePosition,
    upstreams: BTreeMap<UpstreamName, HeldEntry>,
    /// The evacuated zones, with the position of each request.
    evacuations: BTreeMap<ZoneName, StorePosition>,
    /// Position up to which every change of the era is contained. It never decreases; unread before
    /// the first whole update.
    through: StorePosition,
    /// The latest tombstones, oldest first; at most [`MAX_TOMBSTONES`].
    tombstones: VecDeque<(StorePosition, ItemKey)>,
    /// Tombstones up to this position may have been dropped.
    tombstones_dropped_through: StorePosition,
    /// The positions before and after the last update that replaced the state without every change
    /// in between. Items that were added and removed in the gap are not known, so that a peer at a
    /// position inside it gets no delta. When a further gap is recorded, tombstones up to the end
    /// of the previous one count as dropped.
    gap: Option<(StorePosition, StorePosition)>,
}

impl StateSnapshot {
    /// Position up to which every change of the era is contained; unread before the first read.
    pub fn through(&self) -> StorePosition {
        self.through
    }

    /// The query that requests from a peer what is missing here.
    pub fn query(&self) -> StateQuery {
        StateQuery {
            after: self.through,
            version: self.routes.as_ref().map(|routes| routes.version),
        }
    }

    /// The effective configuration.
    pub fn routes(&self) -> Option<&Arc<RouteConfig>> {
        self.routes.as_ref()
    }

    /// Whether the snapshot has a configuration and a list of upstreams, so that flows can be
    /// placed.
    pub fn is_complete(&self) -> bool {
        !self.through.is_unread() && self.routes.is_some()
    }

    /// Merges an update, unless it is stale, and returns its effects.
    pub fn merge(&mut self, update: &StateUpdate) -> MergeOutcome {
        let mut outcome = MergeOutcome {
            crosses_era: self.through.is_before_era_of(update.through),
            ..MergeOutcome::default()
        };
        if update.through < self.through || !self.is_continued_by(update) {
            outcome.is_stale = true;
            return outcome;
        }
        if update.until < update.through {
            self.record_gap(update.through);
        }
        if update.whole {
            self.remove_unlisted(update, &mut outcome);
        }
        for item in &update.items {
            // The sender may have held the item since an earlier era, in which this host did not
            // hold it.
            let position = match outcome.crosses_era {
                true => StorePosition {
                    era: update.through.era,
                    ..item.position
                },
                false => item.position,
            };
            self.merge_item(item, position, &mut outcome);
        }
        self.through = update.through;
        outcome
    }

    fn is_continued_by(&self, update: &StateUpdate) -> bool {
        update.whole || (update.after..=update.until).contains(&self.through)
    }

    /// Records that the changes between the present position and `through` are not all known.
    fn record_gap(&mut self, through: StorePosition) {
        if let Some((_from, to)) = self.gap {
            self.tombstones_dropped_through = self.tombstones_dropped_through.max(to);
        }
        self.gap = Some((self.through, through));
    }

    /// The delta for a peer that holds the state of `query`. If tombstones may be missing, it is
    /// the whole state, without the content that the peer already holds.
    pub fn update_since(&self, query: &StateQuery) -> StateUpdate {
        let after = query.after;
        let in_gap = self
            .gap
            .is_some_and(|(from, to)| from < after && after < to);
        let tombstones_missing = after.is_unread() || after < self.tombstones_dropped_through;
        let is_peer_ahead = after > self.through;
        let whole = tombstones_missing || in_gap || is_peer_ahead;
        // A peer in another era may hold items that the store lost and has since replaced.
        let other_era = after.era != self.through.era;
        let known = if is_peer_ahead || whole && other_era {
            StorePosition::UNREAD
        } else {
            after
        };
        let held = self.held_items();
        let items: Vec<PublishedItem> = if whole {
            held.map(|item| item.without_known_content(known)).collect()
        } else {
            let newer = held.filter(|item| item.position > known);
            newer.chain(self.tombstone_items(known)).collect()
        };
        let routes = self.routes_item(query.version, whole);
        let items = routes.into_iter().chain(items).collect();
        let before_gap = self.gap.map(|(from, _to)| from);
        let until = before_gap.filter(|from| after <= *from);
        let (after, until) = if whole {
            (StorePosition::UNREAD, StorePosition::UNREAD)
        } else {
            (after, until.unwrap_or(self.through))
        };
        StateUpdate {
            items,
            through: self.through,
            whole,
            after,
            until,
        }
    }

    /// The configuration for a peer that holds version `known`; without content, or `None` in a
    /// delta, if the peer's is as new.
    fn routes_item(&self, known: Option<Version>, whole: bool) -> Option<PublishedItem> {
        let routes = self.routes.as_ref()?;
        let is_known = known.is_some_and(|known| known >= routes.version);
        let content = match is_known {
            true => ItemContent::Unchanged,
            false => ItemContent::Routes(routes.clone()),
        };
        (whole || !is_known).then_some(PublishedItem {
            key: ItemKey::Routes,
            position: self.routes_position,
            content,
        })
    }

    /// All items except the configuration.
    fn held_items(&self) -> impl Iterator<Item = PublishedItem> {
        let upstreams = self.upstreams.iter().map(|(name, held)| PublishedItem {
            key: ItemKey::Upstream(name.clone()),
            position: held.position,
            content: match &held.entry {
                Some(entry) => ItemContent::Upstream(entry.clone()),
                None => ItemContent::Unreadable,
            },
        });
        let evacuations = self
            .evacuations
            .iter()
            .map(|(zone, position)| PublishedItem {
                key: ItemKey::Evacuation(zone.clone()),
                position: *position,
                content: ItemContent::Evacuated,
            });
        evacuations.chain(upstreams)
    }

    fn tombstone_items(&self, after: StorePosition) -> impl Iterator<Item = PublishedItem> {
        let tombstones = self.tombstones.iter();
        let newer =
            tombstones.filter(move |(position, key)| *position > after && !self.has_item(key));
        newer.map(|(position, key)| PublishedItem {
            key: key.clone(),
            position: *position,
            content: ItemContent::Removed,
        })
    }

    fn has_item(&self, key: &ItemKey) -> bool {
        match key {
            ItemKey::Routes => self.routes.is_some(),
            ItemKey::Upstream(name) => self.upstreams.contains_key(name),
            ItemKey::Evacuation(zone) => self.evacuations.contains_key(zone),
        }
    }

    fn remove_unlisted(&mut self, update: &StateUpdate, outcome: &mut MergeOutcome) {
        let listed: HashSet<&ItemKey> = update.items.iter().map(|item| &item.key).collect();
        let through = update.through;
        let upstreams = self.upstreams.iter().map(|(name, held)| {
            let key = ItemKey::Upstream(name.clone());
            (key, held.position)
        });
        let evacuations = self.evacuations.iter().map(|(zone, position)| {
            let key = ItemKey::Evacuation(zone.clone());
            (key, *position)
        });
        let unlisted = upstreams
            .chain(evacuations)
            .filter(|(key, position)| *position <= through && !listed.contains(key));
        let unlisted_keys: Vec<ItemKey> = unlisted.map(|(key, _position)| key).collect();
        for key in unlisted_keys {
            // The position of the removal is unknown; it is at most `through`.
            self.remove(through, &key, outcome);
        }
    }

    /// Removes an item and keeps a tombstone.
    fn remove(&mut self, position: StorePosition, key: &ItemKey, outcome: &mut MergeOutcome) {
        let change = match key {
            ItemKey::Routes => None,
            ItemKey::Upstream(name) => {
                let removed = self.upstreams.remove(name);
                removed.map(|_held| StateChange::Removed(name.clone()))
            }
            ItemKey::Evacuation(zone) => {
                let removed = self.evacuations.remove(zone);
                removed.map(|_position| StateChange::Restored(zone.clone()))
            }
        };
        outcome.changes.extend(change);
        self.add_tombstone(position, key);
    }

    fn merge_item(
        &mut self,
        item: &PublishedItem,
        position: StorePosition,
        outcome: &mut MergeOutcome,
    ) {
        match (&item.key, &item.content) {
            (ItemKey::Routes, ItemContent::Routes(routes)) => {
                self.merge_routes(position, routes, outcome);
            }
            (ItemKey::Routes, ItemContent::Unchanged) if self.routes.is_some() => {}
            (ItemKey::Routes, _) => outcome.unreadable += 1,
            (ItemKey::Upstream(name), content) => {
                self.merge_upstream(position, name, content, outcome);
            }
            (ItemKey::Evacuation(zone), content) => {
                self.merge_evacuation(position, zone, content, outcome);
            }
        }
    }

    fn merge_evacuation(
        &mut self,
        position: StorePosition,
        zone: &ZoneName,
        content: &ItemContent,
        outcome: &mut MergeOutcome,
    ) {
        let held = self.evacuations.get(zone).copied();
        if held.is_some_and(|held| held >= position) {
            return;
        }
        match content {
            ItemContent::Evacuated if held.is_some_and(|held| is_same_write(held, position)) => {}
            ItemContent::Evacuated => {
                self.evacuations.insert(zone.clone(), position);
                let change = StateChange::Evacuated(zone.clone(), position.revision);
                outcome.changes.push(change);
            }
            ItemContent::Removed => {
                self.remove(position, &ItemKey::Evacuation(zone.clone()), outcome);
            }
            ItemContent::Unchanged if held.is_some() => {}
            _ => outcome.unreadable += 1,
        }
    }

    /// Merges a configuration. One stays effective until a larger version arrives: an undecodable
    /// or deleted one must not leave callers without routes, and an older one must not restore
    /// routes that were removed.
    fn merge_routes(
        &mut self,
        position: StorePosition,
        routes: &Arc<RouteConfig>,
        outcome: &mut MergeOutcome,
    ) {
        if let Some(held) = &self.routes {
            let same_version = held.version == routes.version;
            if held.version > routes.version {
                outcome.regressed = Some(routes.version);
                return;
            }
            if same_version && (position <= self.routes_position || held == routes) {
                return;
            }
        }
        outcome.changes.push(StateChange::Routes(routes.clone()));
        self.routes = Some(routes.clone());
        self.routes_position = position;
    }

    fn merge_upstream(
        &mut self,
        position: StorePosition,
        name: &UpstreamName,
        content: &ItemContent,
        outcome: &mut MergeOutcome,
    ) {
        let held = self.upstreams.get(name);
        if held.is_some_and(|held| held.position >= position) {
            return;
        }
        let entry = match content {
            ItemContent::Upstream(entry) => Some(entry.clone()),
            ItemContent::Unreadable | ItemContent::Routes(_) | ItemContent::Evacuated => {
                outcome.unreadable += 1;
                None
            }
            ItemContent::Unchanged => {
                outcome.unreadable += usize::from(held.is_none());
                return;
            }
            ItemContent::Removed => {
                self.remove(position, &ItemKey::Upstream(name.clone()), outcome);
                return;
            }
        };
        let is_same = held.is_some_and(|held| held.entry == entry);
        if is_same && held.is_some_and(|held| is_same_write(held.position, position)) {
            return;
        }
        let was_usable = held.is_some_and(|held| held.entry.is_some());
        match &entry {
            Some(_entry) if is_same && outcome.crosses_era => {}
            Some(entry) => outcome.changes.push(StateChange::Upstream(entry.clone())),
            None if was_usable => outcome.changes.push(StateChange::Removed(name.clone())),
            None => {}
        }
        self.upstreams
            .insert(name.clone(), HeldEntry { position, entry });
    }

    fn add_tombstone(&mut self, position: StorePosition, key: &ItemKey) {
        self.tombstones.push_back((position, key.clone()));
        if self.tombstones.len() > MAX_TOMBSTONES
            && let Some((dropped, _key)) = self.tombstones.pop_front()
        {
            self.tombstones_dropped_through = self.tombstones_dropped_through.max(dropped);
        }
    }
}

/// Whether two positions of an item with the same content may be the same write, which was restored
/// from a backup of the store. The item then keeps the earlier position, so that it is not sent
/// again to peers of the earlier era.
fn is_same_write(held: StorePosition, position: StorePosition) -> bool {
    held.revision == position.revision && held.era <= position.era
}
