//! The flows that a host holds, by digest, in 32-byte records without an index beside them.
//!
//! The table is cut into segments by the digest's first bits. Each is an open-addressing array
//! whose records stand in the order of their digests, so that a miss ends as early as a hit, and
//! each grows alone, so that no insertion moves more than one segment.

use std::time::Duration;
use std::time::Instant;

use crate::flow_binding::BindingIndex;
use crate::flow_binding::BindingTable;
use crate::flow_binding::FlowBinding;
use crate::flow_segment::FlowSegment;
use crate::flow_segment::NO_HOST;
use crate::flow_segment::PackedFlow;
use crate::ids::FlowDigest;
use crate::ids::HostId;
use crate::ids::ServiceId;

/// Into how many segments the table is cut; an insertion moves at most one of them.
pub const SEGMENTS: usize = 1_024;

/// Unit of the deadlines in packed records.
///
/// The house style stores deadlines, and so does the record: as the number of such units since the
/// table's first insertion, rounded up, because an `Instant` takes 16 bytes. Nothing but this
/// module sees the number.
const DEADLINE_UNIT: Duration = Duration::from_secs(1);

/// One established flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowRecord {
    /// The service and upstream process it was opened for.
    pub binding: FlowBinding,
    /// When it is forgotten if nothing more is heard of it; kept to the second, rounded up.
    pub idle_deadline: Instant,
}

/// To whom and when a record was last copied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyMark {
    /// The host that has confirmed it.
    pub host: HostId,
    /// The copying period in which it did, as [`crate::flow_handover`] counts them.
    pub period: u16,
}

/// A record with what the copying of records needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldFlow {
    /// Its identity.
    pub digest: FlowDigest,
    /// Where it lives.
    pub record: FlowRecord,
    /// Its last copy.
    pub mark: Option<CopyMark>,
}

/// The flows of one host.
pub struct FlowTable {
    segments: Vec<FlowSegment>,
    bindings: BindingTable,
    len: usize,
    /// Time of the first insertion, from which packed deadlines count.
    epoch: Option<Instant>,
    /// The segment that [`Self::expire`] sweeps next.
    cursor: usize,
}

impl Default for FlowTable {
    fn default() -> Self {
        Self {
            segments: vec![FlowSegment::default(); SEGMENTS],
            bindings: BindingTable::default(),
            len: 0,
            epoch: None,
            cursor: 0,
        }
    }
}

impl FlowTable {
    /// The record of a flow that is not overdue.
    pub fn get(&self, now: Instant, digest: FlowDigest) -> Option<FlowRecord> {
        let packed = self.segments[segment_of(digest)].get(digest)?;
        let record = self.unpack(self.epoch?, packed);
        (now < record.idle_deadline).then_some(record)
    }

    /// Where a flow lives, overdue or not.
    pub fn binding(&self, digest: FlowDigest) -> Option<FlowBinding> {
        let packed = self.segments[segment_of(digest)].get(digest)?;
        Some(self.bindings.get(packed.binding))
    }

    /// The record of a flow that is not overdue, after moving its deadline.
    pub fn touch(
        &mut self,
        now: Instant,
        digest: FlowDigest,
        idle_deadline: Instant,
    ) -> Option<FlowRecord> {
        let present = self.whole_units(now);
        let deadline = self.pack_deadline(idle_deadline);
        let packed = self.segments[segment_of(digest)].get_mut(digest)?;
        if packed.deadline <= present {
            return None;
        }
        packed.deadline = packed.deadline.max(deadline);
        let packed = *packed;
        Some(self.unpack(self.epoch?, &packed))
    }

    /// Adds or replaces a flow; returns how many records were moved for it.
    pub fn insert(&mut self, now: Instant, digest: FlowDigest, record: FlowRecord) -> usize {
        self.epoch.get_or_insert(now);
        let packed = PackedFlow {
            digest,
            binding: self.bindings.acquire(record.binding),
            deadline: self.pack_deadline(record.idle_deadline).max(1),
            copy_host: NO_HOST,
            copy_period: 0,
        };
        let (replaced, moved) = self.segments[segment_of(digest)].insert(packed);
        match replaced {
            Some(former) => self.bindings.release(former.binding),
            None => self.len += 1,
        }
        moved
    }

    /// Removes a flow and returns what was known of it.
    pub fn remove(&mut self, digest: FlowDigest) -> Option<FlowRecord> {
        let packed = self.segments[segment_of(digest)].remove(digest)?;
        let record = self.unpack(self.epoch?, &packed);
        self.forget(packed.binding);
        Some(record)
    }

    /// Brings a flow's deadline forward.
    pub fn limit_deadline(&mut self, digest: FlowDigest, latest: Instant) {
        let latest = self.pack_deadline(latest).max(1);
        if let Some(packed) = self.segments[segment_of(digest)].get_mut(digest) {
            packed.deadline = packed.deadline.min(latest);
        }
    }

    /// Notes that a flow's record was copied.
    pub fn mark_copied(&mut self, digest: FlowDigest, mark: CopyMark) {
        if let Some(packed) = self.segments[segment_of(digest)].get_mut(digest) {
            packed.copy_host = mark.host;
            packed.copy_period = mark.period;
        }
    }

    /// The flows of one segment, in ascending order of digest.
    pub fn segment(&self, segment: usize) -> impl Iterator<Item = HeldFlow> + '_ {
        let records = self.segments[segment].iter();
        self.epoch.into_iter().flat_map(move |epoch| {
            records.clone().map(move |packed| HeldFlow {
                digest: packed.digest,
                record: self.unpack(epoch, packed),
                mark: copy_mark(packed),
            })
        })
    }

    /// Forgets the overdue flows of the next segment, so that all are swept once in
    /// [`SEGMENTS`] calls; returns how many were looked at.
    pub fn expire(&mut self, now: Instant) -> usize {
        let present = self.whole_units(now);
        let segment = &mut self.segments[self.cursor];
        let looked_at = segment.len();
        let overdue: Vec<PackedFlow> = segment
            .iter()
            .filter(|packed| packed.deadline <= present)
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
        looked_at
    }

    /// How many flows a binding has.
    pub fn flows_on(&self, binding: FlowBinding) -> u32 {
        self.bindings.flows(binding)
    }

    /// How many flows a service has.
    pub fn service_flows(&self, service: ServiceId) -> u32 {
        self.bindings.service_flows(service)
    }

    /// How many flows are held.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no flow is held.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Bytes that the records and segments take.
    pub fn bytes(&self) -> usize {
        let segments = SEGMENTS * size_of::<FlowSegment>();
        let records: usize = self.segments.iter().map(FlowSegment::bytes).sum();
        segments + records
    }

    fn forget(&mut self, binding: BindingIndex) {
        self.bindings.release(binding);
        self.len -= 1;
    }

    fn unpack(&self, epoch: Instant, packed: &PackedFlow) -> FlowRecord {
        FlowRecord {
            binding: self.bindings.get(packed.binding),
            idle_deadline: epoch + DEADLINE_UNIT * packed.deadline,
        }
    }

    /// Units from the epoch to a deadline, rounded up.
    fn pack_deadline(&self, deadline: Instant) -> u32 {
        self.whole_units(deadline + DEADLINE_UNIT - Duration::from_nanos(1))
    }

    /// Whole units that have passed between the epoch and an instant.
    fn whole_units(&self, at: Instant) -> u32 {
        let since_epoch = self.epoch.map(|epoch| at.saturating_duration_since(epoch));
        let units = since_epoch.unwrap_or_default().as_secs();
        u32::try_from(units).unwrap_or(u32::MAX)
    }
}

fn copy_mark(packed: &PackedFlow) -> Option<CopyMark> {
    (packed.copy_host != NO_HOST).then_some(CopyMark {
        host: packed.copy_host,
        period: packed.copy_period,
    })
}

/// Segments follow the digest's upper half; owners follow its lower half, so that the flows of one
/// owner fill all segments evenly.
fn segment_of(digest: FlowDigest) -> usize {
    (digest >> (FlowDigest::BITS - SEGMENTS.ilog2())) as usize
}
