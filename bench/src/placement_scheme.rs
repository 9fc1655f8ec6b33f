//! Flow placement schemes that are compared over the same changes.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::flow_binding::FlowBinding;
use lagoonproxy::flow_hash::rendezvous_weight;
use lagoonproxy::flow_query::FlowIntent;
use lagoonproxy::ids::FlowDigest;
use lagoonproxy::ids::HostId;
use lagoonproxy::ids::UpstreamId;

use crate::flow_group::FlowGroup;
use crate::flow_group::GroupTraffic;

/// State common to all schemes: the live hosts and the upstreams that accept new flows.
#[derive(Clone, Debug)]
pub struct PlacementState {
    /// Live hosts.
    pub hosts: Vec<HostId>,
    /// Upstreams that accept new flows, in ascending order.
    pub active: Vec<UpstreamId>,
}

/// A scheme that places flows on upstreams.
pub trait PlacementScheme {
    /// Returns the name of the scheme in the report.
    fn name(&self) -> &'static str;

    /// Returns the upstream that receives a frame of a flow that arrives at `host`.
    fn frame(
        &mut self,
        state: &PlacementState,
        host: HostId,
        digest: FlowDigest,
        intent: FlowIntent,
    ) -> Option<UpstreamId>;

    /// Applies a change; `state` already contains it.
    fn change(&mut self, state: &PlacementState, change: &PlacementChange);

    /// Advances the scheme's clock by one tick.
    fn step(&mut self) {}

    /// Returns the virtual time elapsed on the scheme's own clock, or `None` if it has no clock.
    fn elapsed(&self) -> Option<Duration> {
        None
    }

    /// Returns whether all leaving hosts may stop now.
    fn can_stop(&mut self) -> bool {
        true
    }

    /// Returns the traffic that the scheme has sent.
    fn counts(&self) -> GroupTraffic {
        GroupTraffic::default()
    }

    /// Returns the percentage of frames that are forwarded once among `hosts` hosts.
    fn forwarded_percent(&self, _hosts: usize) -> usize {
        0
    }
}

/// A change to hosts or upstreams.
#[derive(Clone, Debug)]
pub enum PlacementChange {
    /// The selector matches another set of upstreams, or other upstreams drain.
    Upstreams {
        /// Upstreams that match the selector.
        matching: Vec<UpstreamId>,
        /// Matching upstreams that drain.
        draining: Vec<UpstreamId>,
    },
    /// A host starts.
    Join(HostId),
    /// A host begins a graceful stop.
    Leave(HostId),
    /// A host stops abruptly.
    Crash(HostId),
}

/// Places a flow by its digest modulo the number of upstreams.
pub struct ModuloScheme;

impl PlacementScheme for ModuloScheme {
    fn name(&self) -> &'static str {
        "modulo"
    }

    fn frame(
        &mut self,
        state: &PlacementState,
        _host: HostId,
        digest: FlowDigest,
        _intent: FlowIntent,
    ) -> Option<UpstreamId> {
        let count = state.active.len().max(1) as u128;
        state.active.get((digest % count) as usize).copied()
    }

    fn change(&mut self, _state: &PlacementState, _change: &PlacementChange) {}
}

/// Each host stores the placements of flows that it has seen and places new ones by rendezvous
/// hashing.
#[derive(Default)]
pub struct HostMemoryScheme {
    memory: BTreeMap<HostId, BTreeMap<FlowDigest, UpstreamId>>,
}

impl PlacementScheme for HostMemoryScheme {
    fn name(&self) -> &'static str {
        "memory of each host"
    }

    fn frame(
        &mut self,
        state: &PlacementState,
        host: HostId,
        digest: FlowDigest,
        _intent: FlowIntent,
    ) -> Option<UpstreamId> {
        let memory = self.memory.entry(host).or_default();
        if let Some(upstream) = memory.get(&digest) {
            return Some(*upstream);
        }
        let upstream = rendezvous(&state.active, digest)?;
        memory.insert(digest, upstream);
        Some(upstream)
    }

    fn change(&mut self, _state: &PlacementState, change: &PlacementChange) {
        if let PlacementChange::Crash(host) | PlacementChange::Leave(host) = change {
            self.memory.remove(host);
        }
    }
}

/// Places flows by rendezvous hashing over the current upstreams and stores no placements.
pub struct RendezvousScheme;

impl PlacementScheme for RendezvousScheme {
    fn name(&self) -> &'static str {
        "rendezvous table"
    }

    fn frame(
        &mut self,
        state: &PlacementState,
        _host: HostId,
        digest: FlowDigest,
        _intent: FlowIntent,
    ) -> Option<UpstreamId> {
        rendezvous(&state.active, digest)
    }

    fn change(&mut self, _state: &PlacementState, _change: &PlacementChange) {}
}

/// Places flows by a Maglev table: upstreams claim its slots in turn, each in the order of its own
/// permutation.
#[derive(Default)]
pub struct MaglevScheme {
    slots: Vec<UpstreamId>,
}

/// The Maglev paper recommends at least 100 slots per upstream.
const MIN_SLOTS_PER_UPSTREAM: usize = 100;
/// Minimum number of slots in a table. The size must not follow the number of upstreams, because a
/// table of another size moves nearly every flow.
const MIN_SLOTS: usize = 65_537;

impl MaglevScheme {
    /// Builds the table for the given upstreams.
    pub fn build(&mut self, active: &[UpstreamId]) {
        self.slots = maglev_table(active);
    }

    /// Returns the upstream of a flow, or `None` if the table is empty.
    pub fn place(&self, digest: FlowDigest) -> Option<UpstreamId> {
        let slot = (digest as u64) as usize % self.slots.len().max(1);
        self.slots.get(slot).copied()
    }
}

impl PlacementScheme for MaglevScheme {
    fn name(&self) -> &'static str {
        "slot table (Maglev)"
    }

    fn frame(
        &mut self,
        state: &PlacementState,
        _host: HostId,
        digest: FlowDigest,
        _intent: FlowIntent,
    ) -> Option<UpstreamId> {
        if self.slots.is_empty() {
            self.build(&state.active);
        }
        self.place(digest)
    }

    fn change(&mut self, state: &PlacementState, _change: &PlacementChange) {
        self.build(&state.active);
    }
}

/// The scheme of lagoonproxy itself: an ownership group of flow directories.
pub struct FlowDirectoryScheme {
    group: FlowGroup,
    start: Instant,
}

impl FlowDirectoryScheme {
    /// Starts a group whose hosts may each send `copy_rate` bytes per second for copies.
    pub fn start(hosts: u32, upstreams: u32, copy_rate: u32) -> Self {
        let group = FlowGroup::start(hosts, upstreams, copy_rate);
        let start = group.now;
        Self { group, start }
    }
}

impl PlacementScheme for FlowDirectoryScheme {
    fn name(&self) -> &'static str {
        "table and exceptions"
    }

    fn frame(
        &mut self,
        _state: &PlacementState,
        _host: HostId,
        digest: FlowDigest,
        intent: FlowIntent,
    ) -> Option<UpstreamId> {
        let binding: Option<FlowBinding> = self.group.frame(digest, intent);
        binding.map(|binding| binding.upstream)
    }

    fn change(&mut self, _state: &PlacementState, change: &PlacementChange) {
        match change {
            PlacementChange::Upstreams { matching, draining } => {
                self.group.publish(matching, draining);
            }
            PlacementChange::Join(host) => self.group.join(*host),
            PlacementChange::Leave(host) => self.group.leave(*host),
            PlacementChange::Crash(host) => self.group.crash(*host),
        }
    }

    fn step(&mut self) {
        self.group.step();
    }

    fn elapsed(&self) -> Option<Duration> {
        Some(self.group.now - self.start)
    }

    fn can_stop(&mut self) -> bool {
        self.group.stop_drained_hosts()
    }

    fn counts(&self) -> GroupTraffic {
        self.group.counts
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

/// Returns the slots of a Maglev table; empty if there are no upstreams.
pub fn maglev_table(members: &[UpstreamId]) -> Vec<UpstreamId> {
    if members.is_empty() {
        return Vec::new();
    }
    let count = next_prime(MIN_SLOTS.max(members.len() * MIN_SLOTS_PER_UPSTREAM));
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
