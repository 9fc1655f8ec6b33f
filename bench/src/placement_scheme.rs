//! Ways to place flows that are compared over the same changes.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::flow_binding::FlowBinding;
use lagoonproxy::flow_hash::rendezvous_weight;
use lagoonproxy::flow_query::FlowIntent;
use lagoonproxy::ids::FlowDigest;
use lagoonproxy::ids::HostId;
use lagoonproxy::ids::UpstreamId;

use crate::flow_cell::CellCounts;
use crate::flow_cell::FlowCell;

/// What all ways share: which hosts live and which upstreams take new flows.
#[derive(Clone, Debug)]
pub struct SchemeWorld {
    /// The hosts that live.
    pub hosts: Vec<HostId>,
    /// The upstreams that take new flows, in ascending order.
    pub active: Vec<UpstreamId>,
}

/// A way to place flows.
pub trait PlacementScheme {
    /// Its name in the report.
    fn name(&self) -> &'static str;

    /// Where a frame of a flow that arrives at `host` goes.
    fn frame(
        &mut self,
        world: &SchemeWorld,
        host: HostId,
        digest: FlowDigest,
        intent: FlowIntent,
    ) -> Option<UpstreamId>;

    /// Applies a change that has happened to `world`.
    fn change(&mut self, world: &SchemeWorld, change: &PlacementChange);

    /// Lets the time of one tick pass.
    fn step(&mut self) {}

    /// How much virtual time has passed by the scheme's own clock, if it has one.
    fn elapsed(&self) -> Option<Duration> {
        None
    }

    /// Whether a host that leaves may end now.
    fn may_end(&mut self) -> bool {
        true
    }

    /// What it sent.
    fn counts(&self) -> CellCounts {
        CellCounts::default()
    }

    /// How many frames of a hundred are forwarded once, with `hosts` hosts.
    fn forwarded_percent(&self, _hosts: usize) -> usize {
        0
    }
}

/// One change.
#[derive(Clone, Debug)]
pub enum PlacementChange {
    /// The selector matches these, of which some drain.
    Upstreams {
        /// Those that match.
        matching: Vec<UpstreamId>,
        /// Those of them that drain.
        draining: Vec<UpstreamId>,
    },
    /// A host starts.
    Join(HostId),
    /// A host is asked to stop.
    Leave(HostId),
    /// A host dies.
    Crash(HostId),
}

/// The digest modulo the number of upstreams.
pub struct ModuloScheme;

impl PlacementScheme for ModuloScheme {
    fn name(&self) -> &'static str {
        "modulo"
    }

    fn frame(
        &mut self,
        world: &SchemeWorld,
        _host: HostId,
        digest: FlowDigest,
        _intent: FlowIntent,
    ) -> Option<UpstreamId> {
        let count = world.active.len().max(1) as u128;
        world.active.get((digest % count) as usize).copied()
    }

    fn change(&mut self, _world: &SchemeWorld, _change: &PlacementChange) {}
}

/// Each host remembers the flows that it has seen and places others by rendezvous hashing.
#[derive(Default)]
pub struct MemoryScheme {
    memory: BTreeMap<HostId, BTreeMap<FlowDigest, UpstreamId>>,
}

impl PlacementScheme for MemoryScheme {
    fn name(&self) -> &'static str {
        "memory of each host"
    }

    fn frame(
        &mut self,
        world: &SchemeWorld,
        host: HostId,
        digest: FlowDigest,
        _intent: FlowIntent,
    ) -> Option<UpstreamId> {
        let memory = self.memory.entry(host).or_default();
        if let Some(upstream) = memory.get(&digest) {
            return Some(*upstream);
        }
        let upstream = rendezvous(&world.active, digest)?;
        memory.insert(digest, upstream);
        Some(upstream)
    }

    fn change(&mut self, _world: &SchemeWorld, change: &PlacementChange) {
        if let PlacementChange::Crash(host) | PlacementChange::Leave(host) = change {
            self.memory.remove(host);
        }
    }
}

/// Rendezvous hashing over the present upstreams, without any memory.
pub struct RendezvousScheme;

impl PlacementScheme for RendezvousScheme {
    fn name(&self) -> &'static str {
        "rendezvous table"
    }

    fn frame(
        &mut self,
        world: &SchemeWorld,
        _host: HostId,
        digest: FlowDigest,
        _intent: FlowIntent,
    ) -> Option<UpstreamId> {
        rendezvous(&world.active, digest)
    }

    fn change(&mut self, _world: &SchemeWorld, _change: &PlacementChange) {}
}

/// A table of slots that the upstreams fill in turn by their own permutations (Maglev).
#[derive(Default)]
pub struct SlotScheme {
    slots: Vec<UpstreamId>,
}

/// Slots an upstream at least, as the published system advises.
const SLOTS_A_MEMBER: usize = 100;
/// Slots of a table unless it has too many members; its size must not follow their number, for a
/// table of another size moves nearly every flow.
const SLOTS: usize = 65_537;

impl SlotScheme {
    /// Fills the slots for some upstreams.
    pub fn build(&mut self, active: &[UpstreamId]) {
        self.slots = slot_table(active);
    }

    /// Where a flow goes.
    pub fn place(&self, digest: FlowDigest) -> Option<UpstreamId> {
        let slot = (digest as u64) as usize % self.slots.len().max(1);
        self.slots.get(slot).copied()
    }
}

impl PlacementScheme for SlotScheme {
    fn name(&self) -> &'static str {
        "slot table (Maglev)"
    }

    fn frame(
        &mut self,
        world: &SchemeWorld,
        _host: HostId,
        digest: FlowDigest,
        _intent: FlowIntent,
    ) -> Option<UpstreamId> {
        if self.slots.is_empty() {
            self.build(&world.active);
        }
        self.place(digest)
    }

    fn change(&mut self, world: &SchemeWorld, _change: &PlacementChange) {
        self.build(&world.active);
    }
}

/// The way of the product.
pub struct DirectoryScheme {
    cell: FlowCell,
    start: Instant,
}

impl DirectoryScheme {
    /// Starts a cell whose hosts may each send `copy_rate` bytes a second for copies.
    pub fn start(hosts: u32, upstreams: u32, copy_rate: u32) -> Self {
        let cell = FlowCell::start(hosts, upstreams, copy_rate);
        let start = cell.now;
        Self { cell, start }
    }
}

impl PlacementScheme for DirectoryScheme {
    fn name(&self) -> &'static str {
        "table and exceptions"
    }

    fn frame(
        &mut self,
        _world: &SchemeWorld,
        _host: HostId,
        digest: FlowDigest,
        intent: FlowIntent,
    ) -> Option<UpstreamId> {
        let binding: Option<FlowBinding> = self.cell.frame(digest, intent);
        binding.map(|binding| binding.upstream)
    }

    fn change(&mut self, _world: &SchemeWorld, change: &PlacementChange) {
        match change {
            PlacementChange::Upstreams { matching, draining } => {
                self.cell.publish(matching, draining);
            }
            PlacementChange::Join(host) => self.cell.join(*host),
            PlacementChange::Leave(host) => self.cell.leave(*host),
            PlacementChange::Crash(host) => self.cell.crash(*host),
        }
    }

    fn step(&mut self) {
        self.cell.step();
    }

    fn elapsed(&self) -> Option<Duration> {
        Some(self.cell.now - self.start)
    }

    fn may_end(&mut self) -> bool {
        self.cell.end_leaving()
    }

    fn counts(&self) -> CellCounts {
        self.cell.counts
    }

    fn forwarded_percent(&self, hosts: usize) -> usize {
        100 * (hosts - 1) / hosts
    }
}

fn rendezvous(active: &[UpstreamId], digest: FlowDigest) -> Option<UpstreamId> {
    let key = digest as u64;
    let weight = |id: &UpstreamId| rendezvous_weight(key, u64::from(*id));
    active.iter().copied().max_by_key(weight)
}

/// The slots of a Maglev table.
pub fn slot_table(members: &[UpstreamId]) -> Vec<UpstreamId> {
    if members.is_empty() {
        return Vec::new();
    }
    let count = next_prime(SLOTS.max(members.len() * SLOTS_A_MEMBER));
    let steps: Vec<(usize, usize)> = members
        .iter()
        .map(|id| {
            let offset = rendezvous_weight(1, u64::from(*id)) as usize % count;
            let skip = rendezvous_weight(2, u64::from(*id)) as usize % (count - 1) + 1;
            (offset, skip)
        })
        .collect();
    let mut next = vec![0_usize; members.len()];
    let mut slots: Vec<Option<UpstreamId>> = vec![None; count];
    let mut filled = 0;
    while filled < count {
        for (index, (offset, skip)) in steps.iter().enumerate() {
            let mut slot = (offset + next[index] * skip) % count;
            while slots[slot].is_some() {
                next[index] += 1;
                slot = (offset + next[index] * skip) % count;
            }
            slots[slot] = Some(members[index]);
            next[index] += 1;
            filled += 1;
            if filled == count {
                break;
            }
        }
    }
    slots.into_iter().flatten().collect()
}

fn next_prime(from: usize) -> usize {
    let is_prime = |number: usize| {
        (2..)
            .take_while(|divisor| divisor * divisor <= number)
            .all(|divisor| !number.is_multiple_of(divisor))
    };
    let mut number = from.max(3);
    while !is_prime(number) {
        number += 1;
    }
    number
}
