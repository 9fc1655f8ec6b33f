//! One segment of the flow table: an open-addressing array of packed records in ascending order of
//! digest.
//!
//! The home slot of a record is proportional to its digest, so that home slots and digests have the
//! same order. A record whose home slot is taken is stored in the next free slot after it.

use crate::flow_binding::BindingIndex;
use crate::flow_table::SEGMENTS;
use crate::ids::FlowDigest;
use crate::ids::HostId;

/// Value of `copy_host` in a packed record that has no copy.
pub const NO_COPY_HOST: HostId = HostId::MAX;

/// Minimum number of home slots of a segment that holds records.
const MIN_HOME_SLOTS: usize = 8;
/// Minimum number of slots after the last home slot, for records that collide there.
const MIN_SPARE_SLOTS: usize = 6;
/// Number of home slots for which one more spare slot is added.
const HOME_SLOTS_PER_SPARE: usize = 24;
/// Maximum load of the home slots, in percent. A larger one would lengthen the probe sequence of a
/// hit.
const MAX_LOAD_PERCENT: usize = 80;
/// Number of home slots after growth, in percent of the number before. It keeps about two thirds of
/// all slots in use.
const GROWTH_PERCENT: usize = 118;
/// Load of the home slots below which a segment is shrunk, in percent.
const MIN_LOAD_PERCENT: usize = 40;

/// A packed flow record. Invariant: it takes 32 bytes; `deadline` is zero exactly for a free slot.
#[derive(Clone, Copy, Debug)]
pub struct PackedFlow {
    /// Digest of the flow.
    pub digest: FlowDigest,
    /// Index of its binding in the table's [`crate::flow_binding::BindingTable`].
    pub binding: BindingIndex,
    /// Idle deadline in the table's deadline units, at least 1.
    pub deadline: u32,
    /// The host that confirmed a copy, or [`NO_COPY_HOST`].
    pub copy_host: HostId,
    /// The copy epoch in which the host confirmed it.
    pub copy_epoch: u16,
}

const FREE: PackedFlow = PackedFlow {
    digest: 0,
    binding: 0,
    deadline: 0,
    copy_host: NO_COPY_HOST,
    copy_epoch: 0,
};

/// The records of one segment.
///
/// Invariant: `slots` contains one slot per home slot, followed by the spare slots. The records are
/// in ascending order of digest. No record is before its home slot, and no free slot lies between a
/// record and its home slot.
#[derive(Clone, Debug, Default)]
pub struct FlowSegment {
    slots: Vec<PackedFlow>,
    home_slots: usize,
    len: usize,
}

impl FlowSegment {
    /// Returns the record of a flow.
    pub fn get(&self, digest: FlowDigest) -> Option<&PackedFlow> {
        let position = self.find(digest)?;
        self.slots.get(position)
    }

    /// Returns the record of a flow for modification. Its digest and binding must not be changed.
    pub fn get_mut(&mut self, digest: FlowDigest) -> Option<&mut PackedFlow> {
        let position = self.find(digest)?;
        self.slots.get_mut(position)
    }

    /// Inserts or replaces a record. Returns the replaced record and the number of records moved.
    pub fn insert(&mut self, packed: PackedFlow) -> (Option<PackedFlow>, usize) {
        if let Some(existing) = self.get_mut(packed.digest) {
            return (Some(std::mem::replace(existing, packed)), 0);
        }
        let mut moved = 0;
        if (self.len + 1) * 100 > self.home_slots * MAX_LOAD_PERCENT {
            moved += self.rebuild(self.grown_home_slots());
        }
        loop {
            if let Some(shifted) = self.place(packed) {
                return (None, moved + shifted);
            }
            moved += self.rebuild(self.grown_home_slots());
        }
    }

    /// Removes and returns a record.
    pub fn remove(&mut self, digest: FlowDigest) -> Option<PackedFlow> {
        let mut position = self.find(digest)?;
        let removed = self.slots[position];
        while let Some(next) = self.slots.get(position + 1).copied() {
            if next.deadline == 0 || self.home_slot(next.digest) > position {
                break;
            }
            self.slots[position] = next;
            position += 1;
        }
        self.slots[position] = FREE;
        self.len -= 1;
        Some(removed)
    }

    /// Releases memory after many removals.
    pub fn shrink(&mut self) {
        if self.home_slots > MIN_HOME_SLOTS && self.len * 100 < self.home_slots * MIN_LOAD_PERCENT {
            let home_slots = self.len * 100 / MAX_LOAD_PERCENT * GROWTH_PERCENT / 100;
            self.rebuild(home_slots.max(MIN_HOME_SLOTS));
        }
    }

    /// Returns the records in ascending order of digest.
    pub fn iter(&self) -> impl Iterator<Item = &PackedFlow> + Clone {
        self.slots.iter().filter(|packed| packed.deadline != 0)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the segment has no records.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the memory of all slots in bytes.
    pub fn bytes(&self) -> usize {
        self.slots.capacity() * size_of::<PackedFlow>()
    }

    /// Returns the home slot of a digest, from the bits that follow those that select the segment.
    fn home_slot(&self, digest: FlowDigest) -> usize {
        let within = ((digest << SEGMENTS.ilog2()) >> 64) as u64;
        ((u128::from(within) * self.home_slots as u128) >> 64) as usize
    }

    fn find(&self, digest: FlowDigest) -> Option<usize> {
        let home_slot = self.home_slot(digest);
        let candidates = self.slots.get(home_slot..)?;
        for (offset, packed) in candidates.iter().enumerate() {
            if packed.deadline == 0 || packed.digest > digest {
                return None;
            }
            if packed.digest == digest {
                return Some(home_slot + offset);
            }
        }
        None
    }

    /// Stores a new record in digest order and shifts the records after it. Returns the number of
    /// shifted records, or `None` if no free slot follows.
    fn place(&mut self, packed: PackedFlow) -> Option<usize> {
        let home_slot = self.home_slot(packed.digest);
        let candidates = self.slots.get(home_slot..)?;
        let before = candidates
            .iter()
            .take_while(|other| other.deadline != 0 && other.digest < packed.digest)
            .count();
        let start = home_slot + before;
        let shifted = self.slots[start..]
            .iter()
            .position(|other| other.deadline == 0)?;
        self.slots[start..=start + shifted].rotate_right(1);
        self.slots[start] = packed;
        self.len += 1;
        Some(shifted)
    }

    fn grown_home_slots(&self) -> usize {
        (self.home_slots * GROWTH_PERCENT / 100).max(self.home_slots + MIN_HOME_SLOTS)
    }

    /// Moves every record into a new array with `home_slots` home slots. Returns the number of
    /// records.
    fn rebuild(&mut self, home_slots: usize) -> usize {
        let spare_slots = MIN_SPARE_SLOTS + home_slots / HOME_SLOTS_PER_SPARE;
        let slots = vec![FREE; home_slots + spare_slots];
        let previous = std::mem::replace(&mut self.slots, slots);
        self.home_slots = home_slots;
        self.len = 0;
        let mut moved = 0;
        for packed in previous.into_iter().filter(|packed| packed.deadline != 0) {
            // Records inserted in ascending order never shift others, so an insertion fails only if
            // the spare slots are full.
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
