//! Slots of the upstreams that one host allocates for a service, and the choice among them.
//!
//! The free slot of the upstream with the lowest recent usage is chosen. A free slot chosen at
//! random would leave the busiest of 14 equal upstreams several percent above the mean. Past usage
//! decays by exponential growth of the weight of new usage (forward decay: Cormode and others,
//! 2009), so that no key changes while nothing happens.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::config_snapshot::UpstreamEntry;
use crate::ids::UpstreamId;
use crate::load_message::GrantOutcome;
use crate::load_settings::LoadSettings;
use crate::pool_upstream::PoolUpstream;
use crate::tournament_tree::TournamentTree;
use crate::warm_ramp::WarmRamp;

/// Added to the key of an upstream that is used only when the others are full. Above any usage, yet
/// small enough that the usage still orders the avoided upstreams in `f64`.
const AVOIDED_PENALTY: f64 = 1e12;
/// Number of time constants after which weights are scaled back, far below the range of `f64`.
const REBASE_AFTER: f64 = 20.0;

/// Upstreams whose slots this host allocates.
pub struct SlotTable {
    settings: Arc<LoadSettings>,
    upstreams: Vec<PoolUpstream>,
    index: HashMap<UpstreamId, usize>,
    tree: TournamentTree,
    /// Indices of upstreams whose state changes with time alone.
    time_dependent: BTreeSet<usize>,
    /// Sum of `shared` over all upstreams.
    open_slots: u32,
    /// When the weight of usage is 1.
    weight_origin: Option<Instant>,
    last_tick: Option<Instant>,
    /// Whether the slots of cold upstreams are limited; false when most upstreams are cold.
    limits_cold: bool,
}

/// Upstream that the table should contain.
#[derive(Clone, Copy, Debug)]
pub struct PoolMember<'a> {
    /// Entry in the configuration in force.
    pub entry: &'a UpstreamEntry,
    /// Whether the upstream was absent from the previous configuration. An upstream that only
    /// changed its allocator is not cold.
    pub is_new: bool,
}

/// Slot in use.
#[derive(Clone, Copy, Debug)]
pub struct TakenSlot {
    /// Upstream that the slot belongs to.
    pub upstream: UpstreamId,
    /// When the slot was taken.
    pub since: Instant,
    /// Usage charged in advance, in seconds.
    charged: f64,
}

impl SlotTable {
    /// Creates a table without upstreams.
    pub fn new(settings: Arc<LoadSettings>) -> Self {
        Self {
            settings,
            upstreams: Vec::new(),
            index: HashMap::new(),
            tree: TournamentTree::default(),
            time_dependent: BTreeSet::new(),
            open_slots: 0,
            weight_origin: None,
            last_tick: None,
            limits_cold: true,
        }
    }

    /// Replaces the upstreams. Those that remain keep their recorded state.
    pub fn configure<'a>(&mut self, now: Instant, members: impl Iterator<Item = PoolMember<'a>>) {
        self.weight_origin.get_or_insert(now);
        let min_usage = self.min_usage();
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
                None => new_upstream(now, member, min_usage),
            };
            self.upstreams.push(upstream);
        }
        self.rebuild(now);
    }

    /// Returns the upstream with a free slot that has the lowest recent usage.
    pub fn least_used(&self) -> Option<UpstreamId> {
        let index = self.tree.best()?;
        Some(self.upstreams[index].id)
    }

    /// Returns whether an upstream has a free slot.
    pub fn has_free_slot(&self, id: UpstreamId) -> bool {
        let Some(index) = self.index.get(&id) else {
            return false;
        };
        let upstream = &self.upstreams[*index];
        upstream.busy < upstream.open
    }

    /// Returns whether an upstream is in the table.
    pub fn contains(&self, id: UpstreamId) -> bool {
        self.index.contains_key(&id)
    }

    /// Returns the number of slots of an upstream that may be in use.
    pub fn open_slots_of(&self, id: UpstreamId) -> u32 {
        let upstream = self.index.get(&id).map(|index| &self.upstreams[*index]);
        upstream.map_or(0, |upstream| upstream.open)
    }

    /// Returns the number of slots of all active upstreams that may be in use.
    pub fn open_slots(&self) -> u32 {
        self.open_slots
    }

    /// Returns whether the table has no upstreams.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Takes a slot that is expected to be held for `expected`. Returns `None` if the upstream is
    /// not in the table.
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

    /// Returns a slot and records how it was used.
    pub fn give_back(
        &mut self,
        now: Instant,
        slot: TakenSlot,
        outcome: GrantOutcome,
        average: Duration,
    ) {
        let Some(index) = self.index.get(&slot.upstream).copied() else {
            return;
        };
        let held = now.saturating_duration_since(slot.since);
        let weight = self.weight(now);
        let upstream = &mut self.upstreams[index];
        upstream.busy = upstream.busy.saturating_sub(1);
        let used = match outcome {
            GrantOutcome::Unused | GrantOutcome::Shed { .. } => 0.0,
            GrantOutcome::Answered | GrantOutcome::Lost | GrantOutcome::Cancelled => {
                held.as_secs_f64()
            }
        };
        upstream.usage += weight * (used - slot.charged) / f64::from(upstream.slots.max(1));
        match outcome {
            GrantOutcome::Answered => upstream.record_response(held, average),
            GrantOutcome::Shed { retry_after } => {
                let others = upstream.busy;
                let probe = self.settings.limit_probe;
                upstream.limit.record_shed(now, others, retry_after, probe);
            }
            GrantOutcome::Lost => self.record_loss(now, index),
            GrantOutcome::Unused | GrantOutcome::Cancelled => {}
        }
        self.refresh(now, index);
    }

    /// Records the result of an upstream's health endpoint.
    pub fn report_health(&mut self, now: Instant, id: UpstreamId, healthy: bool) {
        if let Some(index) = self.index.get(&id).copied() {
            self.upstreams[index].report_health(healthy);
            self.refresh(now, index);
        }
    }

    /// Advances the time of all upstreams whose state depends on it.
    pub fn tick(&mut self, now: Instant) {
        let last = self.last_tick.replace(now).unwrap_or(now);
        let passed = now.saturating_duration_since(last);
        self.rebase(now);
        let time_dependent: Vec<usize> = self.time_dependent.iter().copied().collect();
        for index in &time_dependent {
            self.upstreams[*index].tick(now, passed, &self.settings);
        }
        if !time_dependent.is_empty() {
            self.limits_cold = self.most_are_warm();
        }
        for index in time_dependent {
            self.refresh(now, index);
        }
    }

    /// Records a lost request and ejects the upstream after too many losses in a row, unless too
    /// many upstreams are ejected already: in that case the fault is more likely at this host, and
    /// the remaining upstreams could not carry the load.
    fn record_loss(&mut self, now: Instant, index: usize) {
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
        self.tree = TournamentTree::new(self.upstreams.len());
        self.index = self
            .upstreams
            .iter()
            .enumerate()
            .map(|(index, upstream)| (upstream.id, index))
            .collect();
        self.time_dependent.clear();
        self.open_slots = 0;
        self.limits_cold = self.most_are_warm();
        for index in 0..self.upstreams.len() {
            self.upstreams[index].open = 0;
            self.upstreams[index].shared = 0;
            self.refresh(now, index);
        }
    }

    /// Updates the choice tree and the sums after a change of one upstream.
    fn refresh(&mut self, now: Instant, index: usize) {
        let upstream = &mut self.upstreams[index];
        let open = upstream.compute_open(now, self.limits_cold, &self.settings);
        // A draining upstream's slots serve only requests of established flows, which name the
        // upstream.
        let shared = if upstream.is_active() { open } else { 0 };
        self.open_slots = self.open_slots - upstream.shared + shared;
        upstream.open = open;
        upstream.shared = shared;
        let key = match upstream.busy < shared {
            true if upstream.is_avoided() => upstream.usage + AVOIDED_PENALTY,
            true => upstream.usage,
            false => f64::INFINITY,
        };
        self.tree.set(index, key);
        if upstream.is_time_dependent() {
            self.time_dependent.insert(index);
        } else {
            self.time_dependent.remove(&index);
        }
    }

    fn min_usage(&self) -> f64 {
        let active = self.upstreams.iter().filter(|entry| entry.is_active());
        let min = active
            .map(|entry| entry.usage)
            .fold(f64::INFINITY, f64::min);
        if min.is_finite() { min } else { 0.0 }
    }

    fn weight(&self, now: Instant) -> f64 {
        self.elapsed_time_constants(now).exp()
    }

    fn elapsed_time_constants(&self, now: Instant) -> f64 {
        let origin = self.weight_origin.unwrap_or(now);
        let passed = now.saturating_duration_since(origin).as_secs_f64();
        passed / self.settings.balance_length.as_secs_f64().max(0.001)
    }

    fn rebase(&mut self, now: Instant) {
        if self.elapsed_time_constants(now) < REBASE_AFTER {
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

fn new_upstream(now: Instant, member: PoolMember<'_>, usage: f64) -> PoolUpstream {
    let ramp = if member.is_new {
        WarmRamp::begin(now)
    } else {
        WarmRamp::default()
    };
    let mut upstream = PoolUpstream::new(member.entry, ramp);
    upstream.usage = usage;
    upstream
}
