//! The slots that one host keeps for one service, and the choice among them.
//!
//! Load pattern: equal upstreams, of which some are used more than others by chance; callers meet
//! the busy ones. Without evening out, a free slot chosen at random leaves the busiest upstream of
//! 14 several percent above the mean. The choice takes the free slot whose upstream was in use
//! least of late. Old use is forgotten by letting the weight of new use grow exponentially
//! (forward decay: Cormode and others, 2009), so that no key changes while nothing happens.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::choice_tree::ChoiceTree;
use crate::config_snapshot::UpstreamEntry;
use crate::ids::UpstreamId;
use crate::load_message::GrantEnd;
use crate::load_settings::LoadSettings;
use crate::pool_upstream::PoolUpstream;
use crate::warm_ramp::WarmRamp;

/// Added to the key of an upstream that is used only when others are full; above any usage,
/// yet small enough that usage still tells apart those avoided.
const AVOIDED_KEY: f64 = 1e12;
/// Time constants after which weights are scaled back, far below the range of `f64`.
const REBASE_AFTER: f64 = 20.0;

/// The upstreams whose slots this host gives away.
pub struct SlotTable {
    settings: Arc<LoadSettings>,
    upstreams: Vec<PoolUpstream>,
    index: HashMap<UpstreamId, usize>,
    tree: ChoiceTree,
    /// Upstreams that time alone may change.
    unsettled: BTreeSet<usize>,
    /// Sum of `open` over the upstreams that take new work.
    open_slots: u32,
    /// When the weight of use is 1.
    weight_origin: Option<Instant>,
    last_tick: Option<Instant>,
    /// Whether cold upstreams are spared: not when most are cold.
    spare_cold: bool,
}

/// An upstream that the table is to hold.
#[derive(Clone, Copy, Debug)]
pub struct PoolMember<'a> {
    /// Its entry in the configuration in force.
    pub entry: &'a UpstreamEntry,
    /// Whether it was not published before; one that only changed its keeper is not cold.
    pub is_new: bool,
}

/// A slot that was taken.
#[derive(Clone, Copy, Debug)]
pub struct TakenSlot {
    /// Its upstream.
    pub upstream: UpstreamId,
    /// When it was taken.
    pub since: Instant,
    /// Use that was charged beforehand.
    charged: f64,
}

impl SlotTable {
    /// A table without upstreams.
    pub fn new(settings: Arc<LoadSettings>) -> Self {
        Self {
            settings,
            upstreams: Vec::new(),
            index: HashMap::new(),
            tree: ChoiceTree::default(),
            unsettled: BTreeSet::new(),
            open_slots: 0,
            weight_origin: None,
            last_tick: None,
            spare_cold: true,
        }
    }

    /// Replaces the upstreams. Those that stay keep what is known of them.
    pub fn configure<'a>(&mut self, now: Instant, members: impl Iterator<Item = PoolMember<'a>>) {
        self.weight_origin.get_or_insert(now);
        let least_used = self.least_usage();
        let mut known: HashMap<UpstreamId, PoolUpstream> = std::mem::take(&mut self.upstreams)
            .into_iter()
            .map(|upstream| (upstream.id, upstream))
            .collect();
        for member in members {
            let upstream = match known.remove(&member.entry.id) {
                Some(mut upstream) => {
                    upstream.publish(now, member.entry);
                    upstream
                }
                None => newcomer(now, member, least_used),
            };
            self.upstreams.push(upstream);
        }
        self.rebuild(now);
    }

    /// The upstream whose free slot should be used next.
    pub fn best(&self) -> Option<UpstreamId> {
        let index = self.tree.best()?;
        Some(self.upstreams[index].id)
    }

    /// Whether an upstream has a free slot.
    pub fn has_room(&self, id: UpstreamId) -> bool {
        let Some(index) = self.index.get(&id) else {
            return false;
        };
        let upstream = &self.upstreams[*index];
        upstream.busy < upstream.open
    }

    /// Whether an upstream is in the table.
    pub fn holds(&self, id: UpstreamId) -> bool {
        self.index.contains_key(&id)
    }

    /// Slots of one upstream that may be in use.
    pub fn open_of(&self, id: UpstreamId) -> u32 {
        let upstream = self.index.get(&id).map(|index| &self.upstreams[*index]);
        upstream.map_or(0, |upstream| upstream.open)
    }

    /// Slots of all upstreams that may be in use.
    pub fn open_slots(&self) -> u32 {
        self.open_slots
    }

    /// Whether the table has no upstreams.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Takes a slot, to be held for about `expected`.
    pub fn take(&mut self, now: Instant, id: UpstreamId, expected: Duration) -> Option<TakenSlot> {
        let index = *self.index.get(&id)?;
        let charged = expected.as_secs_f64();
        let weight = self.weight(now);
        let upstream = &mut self.upstreams[index];
        upstream.busy += 1;
        upstream.usage += weight * charged / f64::from(upstream.slots.max(1));
        self.refresh(now, index);
        Some(TakenSlot {
            upstream: id,
            since: now,
            charged,
        })
    }

    /// Takes a slot back and learns from what became of it.
    pub fn give_back(&mut self, now: Instant, slot: TakenSlot, end: GrantEnd, average: Duration) {
        let Some(index) = self.index.get(&slot.upstream).copied() else {
            return;
        };
        let held = now.saturating_duration_since(slot.since);
        let weight = self.weight(now);
        let upstream = &mut self.upstreams[index];
        upstream.busy = upstream.busy.saturating_sub(1);
        let used = match end {
            GrantEnd::Unused | GrantEnd::Shed { .. } => 0.0,
            GrantEnd::Answered | GrantEnd::Lost | GrantEnd::Cancelled => held.as_secs_f64(),
        };
        upstream.usage += weight * (used - slot.charged) / f64::from(upstream.slots.max(1));
        match end {
            GrantEnd::Answered => upstream.answered(held, average),
            GrantEnd::Shed { retry_after } => {
                let others = upstream.busy;
                let probe = self.settings.limit_probe;
                upstream.limit.shed(now, others, retry_after, probe);
            }
            GrantEnd::Lost => self.learn_loss(now, index),
            GrantEnd::Unused | GrantEnd::Cancelled => {}
        }
        self.refresh(now, index);
    }

    /// Learns what an upstream's health endpoint said.
    pub fn report(&mut self, now: Instant, id: UpstreamId, healthy: bool) {
        if let Some(index) = self.index.get(&id).copied() {
            self.upstreams[index].report(healthy);
            self.refresh(now, index);
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant) {
        let last = self.last_tick.replace(now).unwrap_or(now);
        let passed = now.saturating_duration_since(last);
        self.rebase(now);
        let unsettled: Vec<usize> = self.unsettled.iter().copied().collect();
        for index in &unsettled {
            self.upstreams[*index].tick(now, passed, &self.settings);
        }
        if !unsettled.is_empty() {
            self.spare_cold = self.most_are_warm();
        }
        for index in unsettled {
            self.refresh(now, index);
        }
    }

    /// Ejects an upstream that lost too much, unless too many are out already: then the fault is
    /// more likely on this side, and the rest could not carry the load.
    fn learn_loss(&mut self, now: Instant, index: usize) {
        let limit = self.settings.ejection_losses;
        if !self.upstreams[index].outlier.lost(limit) {
            return;
        }
        let active = self.upstreams.iter().filter(|entry| entry.is_active());
        let ejected = self
            .upstreams
            .iter()
            .filter(|entry| entry.outlier.is_ejected());
        let bound = active.count() as f64 * self.settings.ejection_bound;
        if (ejected.count() + 1) as f64 <= bound {
            let length = self.settings.ejection_length;
            self.upstreams[index].outlier.eject(now, length);
        }
    }

    fn most_are_warm(&self) -> bool {
        let active = self.upstreams.iter().filter(|entry| entry.is_active());
        let (count, cold) = active.fold((0, 0), |(count, cold), entry| {
            (count + 1, cold + usize::from(entry.ramp.is_cold()))
        });
        cold * 2 <= count
    }

    fn rebuild(&mut self, now: Instant) {
        self.tree = ChoiceTree::new(self.upstreams.len());
        self.index = self
            .upstreams
            .iter()
            .enumerate()
            .map(|(index, upstream)| (upstream.id, index))
            .collect();
        self.unsettled.clear();
        self.open_slots = 0;
        self.spare_cold = self.most_are_warm();
        for index in 0..self.upstreams.len() {
            self.upstreams[index].open = 0;
            self.upstreams[index].shared = 0;
            self.refresh(now, index);
        }
    }

    /// Brings the tree and the sums up to date with one upstream.
    fn refresh(&mut self, now: Instant, index: usize) {
        let upstream = &mut self.upstreams[index];
        let open = upstream.compute_open(now, self.spare_cold, &self.settings);
        // Only jobs of established flows use a draining upstream's slots, and they name it.
        let shared = if upstream.is_active() { open } else { 0 };
        self.open_slots = self.open_slots - upstream.shared + shared;
        upstream.open = open;
        upstream.shared = shared;
        let key = match upstream.busy < shared {
            true if upstream.is_avoided() => upstream.usage + AVOIDED_KEY,
            true => upstream.usage,
            false => f64::INFINITY,
        };
        self.tree.set(index, key);
        if upstream.is_unsettled() {
            self.unsettled.insert(index);
        } else {
            self.unsettled.remove(&index);
        }
    }

    fn least_usage(&self) -> f64 {
        let active = self.upstreams.iter().filter(|entry| entry.is_active());
        let least = active
            .map(|entry| entry.usage)
            .fold(f64::INFINITY, f64::min);
        if least.is_finite() { least } else { 0.0 }
    }

    fn weight(&self, now: Instant) -> f64 {
        self.time_constants(now).exp()
    }

    fn time_constants(&self, now: Instant) -> f64 {
        let origin = self.weight_origin.unwrap_or(now);
        let passed = now.saturating_duration_since(origin).as_secs_f64();
        passed / self.settings.balance_length.as_secs_f64().max(0.001)
    }

    fn rebase(&mut self, now: Instant) {
        if self.time_constants(now) < REBASE_AFTER {
            return;
        }
        let weight = self.weight(now);
        self.weight_origin = Some(now);
        for upstream in &mut self.upstreams {
            upstream.usage /= weight;
        }
        for index in 0..self.upstreams.len() {
            self.refresh(now, index);
        }
    }
}

fn newcomer(now: Instant, member: PoolMember<'_>, usage: f64) -> PoolUpstream {
    let ramp = if member.is_new {
        WarmRamp::begin(now)
    } else {
        WarmRamp::default()
    };
    let mut upstream = PoolUpstream::new(member.entry, ramp);
    upstream.usage = usage;
    upstream
}
