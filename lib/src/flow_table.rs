//! Flow table of a host: maps flow digests to 32-byte records, without a separate index.
//!
//! The table is divided into segments by the first bits of the digest. Each segment is an
//! open-addressing array in ascending order of digest, so that a miss ends as early as a hit.
//! Segments grow independently, so that an insertion never moves more than one segment.

use std::time::Duration;
use std::time::Instant;

use crate::flow_binding::BindingIndex;
use crate::flow_binding::BindingTable;
use crate::flow_binding::FlowBinding;
use crate::flow_segment::FlowSegment;
use crate::flow_segment::NO_COPY_HOST;
use crate::flow_segment::PackedFlow;
use crate::ids::FlowDigest;
use crate::ids::HostId;
use crate::ids::ServiceId;

/// Number of segments. An insertion moves the records of at most one of them.
pub const SEGMENTS: usize = 1_024;

/// Unit of the deadlines in packed records.
///
/// A packed deadline is the number of units since the table's first insertion, rounded up, because
/// an `Instant` takes 16 bytes. The number is not used outside this module and
/// [`crate::flow_segment`].
const DEADLINE_UNIT: Duration = Duration::from_secs(1);

/// An established flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowRecord {
    /// The service and upstream process for which the flow was opened.
    pub binding: FlowBinding,
    /// Time at which the flow is removed if no further frame arrives; stored to the second, rounded
    /// up.
    pub idle_deadline: Instant,
}

/// The host and epoch of a record's last copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyMark {
    /// The host that confirmed the copy.
    pub host: HostId,
    /// The epoch in which the host confirmed it: the copy epoch for a host's own flows, the process
    /// epoch for copies; see [`crate::flow_handover`].
    pub epoch: u16,
}

/// A flow record with its copy state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldFlow {
    /// Digest of the flow.
    pub digest: FlowDigest,
    /// The record.
    pub record: FlowRecord,
    /// The last confirmed copy, if any.
    pub mark: Option<CopyMark>,
}

/// The flows of one host.
pub struct FlowTable {
    segments: Vec<FlowSegment>,
    bindings: BindingTable,
    len: usize,
    /// Time of the first insertion, from which packed deadlines count.
    time_base: Option<Instant>,
    /// The segment that the next call of [`Self::expire`] sweeps.
    cursor: usize,
}

impl Default for FlowTable {
    fn default() -> Self {
        Self {
            segments: vec![FlowSegment::default(); SEGMENTS],
            bindings: BindingTable::default(),
            len: 0,
            time_base: None,
            cursor: 0,
        }
    }
}

impl FlowTable {
    /// Returns the record of a flow that has not expired.
    pub fn get(&self, now: Instant, digest: FlowDigest) -> Option<FlowRecord> {
        let packed = self.segments[segment_of(digest)].get(digest)?;
        let record = self.unpack(self.time_base?, packed);
        (now < record.idle_deadline).then_some(record)
    }

    /// Returns the binding of a flow, expired or not.
    pub fn binding(&self, digest: FlowDigest) -> Option<FlowBinding> {
        let packed = self.segments[segment_of(digest)].get(digest)?;
        Some(self.bindings.get(packed.binding))
    }

    /// Extends the deadline of a flow that has not expired and returns its record.
    pub fn touch(
        &mut self,
        now: Instant,
        digest: FlowDigest,
        idle_deadline: Instant,
    ) -> Option<FlowRecord> {
        let now_units = self.whole_units(now);
        let deadline = self.pack_deadline(idle_deadline);
        let packed = self.segments[segment_of(digest)].get_mut(digest)?;
        if packed.deadline <= now_units {
            return None;
        }
        packed.deadline = packed.deadline.max(deadline);
        let packed = *packed;
        Some(self.unpack(self.time_base?, &packed))
    }

    /// Inserts or replaces a flow. Returns the number of records moved.
    pub fn insert(&mut self, now: Instant, digest: FlowDigest, record: FlowRecord) -> usize {
        self.time_base.get_or_insert(now);
        let packed = PackedFlow {
            digest,
            binding: self.bindings.acquire(record.binding),
            deadline: self.pack_deadline(record.idle_deadline).max(1),
            copy_host: NO_COPY_HOST,
            copy_epoch: 0,
        };
        let (replaced, moved) = self.segments[segment_of(digest)].insert(packed);
        match replaced {
            Some(previous) => self.bindings.release(previous.binding),
            None => self.len += 1,
        }
        moved
    }

    /// Removes a flow and returns its record.
    pub fn remove(&mut self, digest: FlowDigest) -> Option<FlowRecord> {
        let packed = self.segments[segment_of(digest)].remove(digest)?;
        let record = self.unpack(self.time_base?, &packed);
        self.forget(packed.binding);
        Some(record)
    }

    /// Moves a flow's deadline to `latest` if it is later.
    pub fn limit_deadline(&mut self, digest: FlowDigest, latest: Instant) {
        let latest = self.pack_deadline(latest).max(1);
        if let Some(packed) = self.segments[segment_of(digest)].get_mut(digest) {
            packed.deadline = packed.deadline.min(latest);
        }
    }

    /// Records that a flow's record was copied.
    pub fn mark_copied(&mut self, digest: FlowDigest, mark: CopyMark) {
        if let Some(packed) = self.segments[segment_of(digest)].get_mut(digest) {
            packed.copy_host = mark.host;
            packed.copy_epoch = mark.epoch;
        }
    }

    /// Returns the flows of one segment, in ascending order of digest.
    pub fn segment(&self, segment: usize) -> impl Iterator<Item = HeldFlow> + '_ {
        let records = self.segments[segment].iter();
        self.time_base.into_iter().flat_map(move |time_base| {
            records.clone().map(move |packed| HeldFlow {
                digest: packed.digest,
                record: self.unpack(time_base, packed),
                mark: copy_mark(packed),
            })
        })
    }

    /// Removes the expired flows of the next segment, so that [`SEGMENTS`] calls sweep the whole
    /// table. Returns the number of records examined.
    pub fn expire(&mut self, now: Instant) -> usize {
        let now_units = self.whole_units(now);
        let segment = &mut self.segments[self.cursor];
        let examined = segment.len();
        let overdue: Vec<PackedFlow> = segment
            .iter()
            .filter(|packed| packed.deadline <= now_units)
            .copied()
            .collect();
        for packed in &overdue {
            segment.remove(packed.digest);
        }
        segment.shrink();
        for packed in overdue {
            self.forget(packed.binding);
        }
        self.cursor = (self.cursor + 1) % SEGMENTS;
        examined
    }

    /// Returns the number of flows of a binding.
    pub fn flows_on(&self, binding: FlowBinding) -> u32 {
        self.bindings.flows(binding)
    }

    /// Returns the number of flows of a service.
    pub fn service_flows(&self, service: ServiceId) -> u32 {
        self.bindings.service_flows(service)
    }

    /// Returns the number of flows.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the table has no flows.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the memory of records and segments in bytes.
    pub fn bytes(&self) -> usize {
        let segments = SEGMENTS * size_of::<FlowSegment>();
        let records: usize = self.segments.iter().map(FlowSegment::bytes).sum();
        segments + records
    }

    fn forget(&mut self, binding: BindingIndex) {
        self.bindings.release(binding);
        self.len -= 1;
    }

    fn unpack(&self, time_base: Instant, packed: &PackedFlow) -> FlowRecord {
        FlowRecord {
            binding: self.bindings.get(packed.binding),
            idle_deadline: time_base + DEADLINE_UNIT * packed.deadline,
        }
    }

    /// Returns the units from the time base to a deadline, rounded up.
    fn pack_deadline(&self, deadline: Instant) -> u32 {
        self.whole_units(deadline + DEADLINE_UNIT - Duration::from_nanos(1))
    }

    /// Returns the whole units between the time base and `at`.
    fn whole_units(&self, at: Instant) -> u32 {
        let since_base = self
            .time_base
            .map(|time_base| at.saturating_duration_since(time_base));
        let units = since_base.unwrap_or_default().as_secs();
        u32::try_from(units).unwrap_or(u32::MAX)
    }
}

fn copy_mark(packed: &PackedFlow) -> Option<CopyMark> {
    (packed.copy_host != NO_COPY_HOST).then_some(CopyMark {
        host: packed.copy_host,
        epoch: packed.copy_epoch,
    })
}

/// Returns the segment of a digest. Segments follow the upper half of the digest and owners the
/// lower half, so that the flows of one owner are spread evenly over all segments.
fn segment_of(digest: FlowDigest) -> usize {
    (digest >> (FlowDigest::BITS - SEGMENTS.ilog2())) as usize
}
