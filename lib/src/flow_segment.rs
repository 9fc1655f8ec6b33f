//! One segment of the flow table: an array of packed records in the order of their digests.
//!
//! A record's home follows its digest proportionally, so that the order of homes is the order of
//! digests; a record whose home is taken stands in the next free place behind it.

use crate::flow_binding::BindingIndex;
use crate::flow_table::SEGMENTS;
use crate::ids::FlowDigest;
use crate::ids::HostId;

/// Host number that stands for no copy in a packed record.
pub const NO_HOST: HostId = HostId::MAX;

/// Fewest homes of a segment that holds anything.
const MIN_HOMES: usize = 8;
/// Fewest places after the last home, for records that collide there.
const MIN_SPARES: usize = 6;
/// One more spare place for each so many homes.
const HOMES_PER_SPARE: usize = 24;
/// Largest share of homes in use, in percent; more would lengthen the runs of a hit.
const MAX_LOAD: usize = 80;
/// Homes after growth, in percent of those before; keeps two thirds of the places in use.
const GROWTH: usize = 118;
/// Share of homes in use below which a segment is packed anew, in percent.
const MIN_LOAD: usize = 40;

/// A flow's record, packed. Invariant: 32 bytes; `deadline` is zero exactly when a place is free.
#[derive(Clone, Copy, Debug)]
pub struct PackedFlow {
    /// Identity of the flow.
    pub digest: FlowDigest,
    /// Position of its binding.
    pub binding: BindingIndex,
    /// Its idle deadline in units of the table, at least 1.
    pub deadline: u32,
    /// The host that holds a copy, or [`NO_HOST`].
    pub copy_host: HostId,
    /// The copying period of that copy.
    pub copy_period: u16,
}

const FREE: PackedFlow = PackedFlow {
    digest: 0,
    binding: 0,
    deadline: 0,
    copy_host: NO_HOST,
    copy_period: 0,
};

/// The records of one segment.
///
/// Invariant: `slots` has a place for each home and the spares behind them; the records stand in
/// ascending order of digest, none before its home, with no free place between home and record.
#[derive(Clone, Debug, Default)]
pub struct FlowSegment {
    slots: Vec<PackedFlow>,
    homes: usize,
    len: usize,
}

impl FlowSegment {
    /// The record of a flow.
    pub fn get(&self, digest: FlowDigest) -> Option<&PackedFlow> {
        let position = self.find(digest)?;
        self.slots.get(position)
    }

    /// The record of a flow, to be changed; its digest and binding must stay.
    pub fn get_mut(&mut self, digest: FlowDigest) -> Option<&mut PackedFlow> {
        let position = self.find(digest)?;
        self.slots.get_mut(position)
    }

    /// Adds or replaces a record; returns the one replaced and how many were moved.
    pub fn insert(&mut self, packed: PackedFlow) -> (Option<PackedFlow>, usize) {
        if let Some(present) = self.get_mut(packed.digest) {
            return (Some(std::mem::replace(present, packed)), 0);
        }
        let mut moved = 0;
        if (self.len + 1) * 100 > self.homes * MAX_LOAD {
            moved += self.rebuild(self.grown_homes());
        }
        loop {
            if let Some(shifted) = self.place(packed) {
                return (None, moved + shifted);
            }
            moved += self.rebuild(self.grown_homes());
        }
    }

    /// Removes a record.
    pub fn remove(&mut self, digest: FlowDigest) -> Option<PackedFlow> {
        let mut position = self.find(digest)?;
        let removed = self.slots[position];
        while let Some(next) = self.slots.get(position + 1).copied() {
            if next.deadline == 0 || self.home(next.digest) > position {
                break;
            }
            self.slots[position] = next;
            position += 1;
        }
        self.slots[position] = FREE;
        self.len -= 1;
        Some(removed)
    }

    /// Gives back memory after many removals.
    pub fn shrink(&mut self) {
        if self.homes > MIN_HOMES && self.len * 100 < self.homes * MIN_LOAD {
            let homes = self.len * 100 / MAX_LOAD * GROWTH / 100;
            self.rebuild(homes.max(MIN_HOMES));
        }
    }

    /// The records in ascending order of digest.
    pub fn iter(&self) -> impl Iterator<Item = &PackedFlow> + Clone {
        self.slots.iter().filter(|packed| packed.deadline != 0)
    }

    /// How many records are held.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Bytes that the places take.
    pub fn bytes(&self) -> usize {
        self.slots.capacity() * size_of::<PackedFlow>()
    }

    /// The home follows the digest's bits after those that chose the segment.
    fn home(&self, digest: FlowDigest) -> usize {
        let within = ((digest << SEGMENTS.ilog2()) >> 64) as u64;
        ((u128::from(within) * self.homes as u128) >> 64) as usize
    }

    fn find(&self, digest: FlowDigest) -> Option<usize> {
        let home = self.home(digest);
        let run = self.slots.get(home..)?;
        for (offset, packed) in run.iter().enumerate() {
            if packed.deadline == 0 || packed.digest > digest {
                return None;
            }
            if packed.digest == digest {
                return Some(home + offset);
            }
        }
        None
    }

    /// Puts a new record in its place and moves those behind it; `None` if the spares are full.
    fn place(&mut self, packed: PackedFlow) -> Option<usize> {
        let home = self.home(packed.digest);
        let run = self.slots.get(home..)?;
        let before = run
            .iter()
            .take_while(|other| other.deadline != 0 && other.digest < packed.digest)
            .count();
        let start = home + before;
        let shifted = self.slots[start..]
            .iter()
            .position(|other| other.deadline == 0)?;
        self.slots[start..=start + shifted].rotate_right(1);
        self.slots[start] = packed;
        self.len += 1;
        Some(shifted)
    }

    fn grown_homes(&self) -> usize {
        (self.homes * GROWTH / 100).max(self.homes + MIN_HOMES)
    }

    /// Moves every record into a new array; returns how many.
    fn rebuild(&mut self, homes: usize) -> usize {
        let spares = MIN_SPARES + homes / HOMES_PER_SPARE;
        let slots = vec![FREE; homes + spares];
        let former = std::mem::replace(&mut self.slots, slots);
        self.homes = homes;
        self.len = 0;
        let mut moved = 0;
        for packed in former.into_iter().filter(|packed| packed.deadline != 0) {
            // In ascending order a record never moves another, so that only the spares can fail.
            if self.place(packed).is_none() {
                self.slots.reserve_exact(1);
                self.slots.push(packed);
                self.len += 1;
            }
            moved += 1;
        }
        moved
    }
}
