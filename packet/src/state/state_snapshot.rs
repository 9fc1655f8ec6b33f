//! A snapshot of the store, merged from its lists and watches and from peers; it never regresses.
//!
//! A state at a position of the store supersedes any at a smaller one, from whichever source and in whichever
//! order updates arrive. A state of a later era replaces one of an earlier era: what the store has lost is
//! dropped. Only the configuration is ordered by its own version, across eras as well.

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

/// Most tombstones that are kept, so that a peer that is a little behind gets a delta.
const MAX_TOMBSTONES: usize = 256;

/// Identity of a published item.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ItemKey {
    /// The operators' configuration.
    Routes,
    /// The registration of one upstream.
    Upstream(UpstreamName),
    /// The operators' request to evacuate an availability zone.
    Evacuation(ZoneName),
}

/// Content of a published item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemContent {
    /// A configuration.
    Routes(Arc<RouteConfig>),
    /// A registration.
    Upstream(Arc<UpstreamEntry>),
    /// The zone is to get no new flows.
    Evacuated,
    /// Undecodable content. An upstream with such an entry gets no new flows.
    Unreadable,
    /// The item was deleted.
    Removed,
    /// The content that the receiver holds already; the item is listed because it still exists.
    Unchanged,
}

/// One change of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedItem {
    /// Its identity.
    pub key: ItemKey,
    /// The store's position of the change.
    pub position: StorePosition,
    /// Its content since.
    pub content: ItemContent,
}

impl PublishedItem {
    /// The item, without its content for a receiver that holds every change up to `known`.
    fn named_if_known(mut self, known: StorePosition) -> Self {
        if self.position <= known {
            self.content = ItemContent::Unchanged;
        }
        self
    }
}

/// A batch of changes, from the store or a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateUpdate {
    /// The items, in the order of the store where it matters.
    pub items: Vec<PublishedItem>,
    /// Every change of the era up to this position is contained.
    pub through: StorePosition,
    /// Whether everything that exists is listed, so that what is missing was removed; if not, the
    /// items continue a state at any position from `after` to `until`.
    pub whole: bool,
    /// The first position that the items continue; unread when `whole`.
    pub after: StorePosition,
    /// The last position that the items continue, unread when `whole`. If it is before `through`, what came
    /// and went in between is not known.
    pub until: StorePosition,
}

/// What a host holds, for which it asks a peer for the rest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateQuery {
    /// The position of its state; unread if it has none.
    pub after: StorePosition,
    /// The version of its configuration; `None` before the first.
    pub version: Option<Version>,
}

/// One effect of a merged update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateChange {
    /// A newer configuration.
    Routes(Arc<RouteConfig>),
    /// A new or changed registration.
    Upstream(Arc<UpstreamEntry>),
    /// A registration that is no more, or cannot be read any more.
    Removed(UpstreamName),
    /// A zone that is to get no new flows from now.
    Evacuated(ZoneName, Revision),
    /// A zone whose evacuation has ended.
    Restored(ZoneName),
}

/// The outcome of a merge.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// The effects, to be applied in order.
    pub changes: Vec<StateChange>,
    /// Undecodable items.
    pub unreadable: usize,
    /// Version of a configuration that was rejected as older than the effective one.
    pub regressed: Option<Version>,
    /// The update was rejected: it is older than the snapshot, or does not continue it.
    pub is_stale: bool,
    /// The update is of a later era than the snapshot was. What it removes may have been lost by the store,
    /// and what it contains may be older than what was lost.
    pub crosses_era: bool,
}

#[derive(Clone, Debug)]
struct HeldEntry {
    position: StorePosition,
    /// `None` while the entry cannot be read.
    entry: Option<Arc<UpstreamEntry>>,
}

/// The snapshot.
#[derive(Clone, Debug, Default)]
pub struct StateSnapshot {
    /// The configuration with the largest version met; never replaced by an older one.
    routes: Option<Arc<RouteConfig>>,
    routes_position: StorePosition,
    upstreams: BTreeMap<UpstreamName, HeldEntry>,
    /// The zones that are evacuated, with the position of the request.
    evacuations: BTreeMap<ZoneName, StorePosition>,
    /// Every change of the era up to here is contained. Never decreases; unread before the first whole update.
    through: StorePosition,
    /// The last tombstones, oldest first.
    removals: VecDeque<(StorePosition, ItemKey)>,
    /// Tombstones up to this position may have been dropped.
    removals_from: StorePosition,
    /// Between these two positions the state was replaced whole, or by that of a later era: what came and
    /// went there is not known, and for a peer that stands there no difference can be made. Of several such
    /// gaps the last is kept, and what lies before it counts as forgotten.
    gap: Option<(StorePosition, StorePosition)>,
}

impl StateSnapshot {
    /// Every change of the era up to this position is contained; unread when nothing was read yet.
    pub fn through(&self) -> StorePosition {
        self.through
    }

    /// What a peer is asked with for what is missing here.
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

    /// Whether flows can be placed: there is a configuration and a list of upstreams.
    pub fn is_complete(&self) -> bool {
        !self.through.is_unread() && self.routes.is_some()
    }

    /// Merges an update.
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
            self.open_gap(update.through);
        }
        if update.whole {
            self.drop_unlisted(update, &mut outcome);
        }
        for item in &update.items {
            // The sender may have held the item since an earlier era, in which this host had not.
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

    /// Records that what happened between the present position and `through` is not known.
    fn open_gap(&mut self, through: StorePosition) {
        if let Some((_from, to)) = self.gap {
            self.removals_from = self.removals_from.max(to);
        }
        self.gap = Some((self.through, through));
    }

    /// The delta for a peer that holds this; the whole state where tombstones may be missing, without the
    /// content that the peer must hold already.
    pub fn update_since(&self, query: &StateQuery) -> StateUpdate {
        let after = query.after;
        let in_gap = self
            .gap
            .is_some_and(|(from, to)| from < after && after < to);
        let forgotten = after.is_unread() || after < self.removals_from;
        let ahead = after > self.through;
        let whole = forgotten || in_gap || ahead;
        // A peer in another era may hold what the store has lost in place of what it holds now.
        let other_era = after.era != self.through.era;
        let known = if ahead || whole && other_era {
            StorePosition::UNREAD
        } else {
            after
        };
        let held = self.held_items();
        let items: Vec<PublishedItem> = if whole {
            held.map(|item| item.named_if_known(known)).collect()
        } else {
            let newer = held.filter(|item| item.position > known);
            newer.chain(self.removed_items(known)).collect()
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

    /// The configuration, for a peer that holds the version `known`.
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

    /// Everything that is held but the configuration.
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

    fn removed_items(&self, after: StorePosition) -> impl Iterator<Item = PublishedItem> {
        let removals = self.removals.iter();
        let newer = removals.filter(move |(position, key)| *position > after && !self.holds(key));
        newer.map(|(position, key)| PublishedItem {
            key: key.clone(),
            position: *position,
            content: ItemContent::Removed,
        })
    }

    fn holds(&self, key: &ItemKey) -> bool {
        match key {
            ItemKey::Routes => self.routes.is_some(),
            ItemKey::Upstream(name) => self.upstreams.contains_key(name),
            ItemKey::Evacuation(zone) => self.evacuations.contains_key(zone),
        }
    }

    fn drop_unlisted(&mut self, update: &StateUpdate, outcome: &mut MergeOutcome) {
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
        let dropped: Vec<ItemKey> = unlisted.map(|(key, _position)| key).collect();
        for key in dropped {
            // The position of the deletion is not known; it is at most this one.
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
        self.remember_removal(position, key);
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

    /// A configuration is effective until a larger version comes: an undecodable or deleted one must not
    /// leave callers without routes, and an older one must not restore routes that were dropped.
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

    fn remember_removal(&mut self, position: StorePosition, key: &ItemKey) {
        self.removals.push_back((position, key.clone()));
        if self.removals.len() > MAX_TOMBSTONES
            && let Some((forgotten, _key)) = self.removals.pop_front()
        {
            self.removals_from = self.removals_from.max(forgotten);
        }
    }
}

/// Whether two positions of an item with the same content may be the same write, which a copy of the store
/// contains. The item then keeps the earlier position, so that peers of the earlier era are not sent it again.
fn is_same_write(held: StorePosition, position: StorePosition) -> bool {
    held.revision == position.revision && held.era <= position.era
}
