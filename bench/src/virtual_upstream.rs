//! The fake of an upstream: slots, and what it does when they are full.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::ids::HostId;
use lagoonproxy::ids::UpstreamId;
use lagoonproxy::load_message::SlotRequestId;

/// What an upstream does with a job that finds its slots full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FullHabit {
    /// It sheds the job, as the users' upstreams do.
    Shed,
    /// It queues the job, as the published policies assume.
    Queue,
    /// Jobs come only under a reservation, which holds their slot.
    Reserve,
}

/// Something that waits at an upstream.
#[derive(Clone, Copy, Debug)]
pub enum WaitingEntry {
    /// A whole job, by index.
    Job(usize),
    /// A host that has a job (late binding).
    Reservation(HostId, SlotRequestId),
}

/// One upstream.
#[derive(Clone, Debug)]
pub struct VirtualUpstream {
    /// Its number.
    pub id: UpstreamId,
    /// Its zone.
    pub zone: u32,
    /// Slots that it really has.
    pub slots: u32,
    /// Slots in use or reserved.
    pub busy: u32,
    /// Service times are multiplied by this.
    pub pace: f64,
    /// Whether it neither takes nor answers anything.
    pub mute: bool,
    /// Whether it refuses new work.
    pub draining: bool,
    /// What waits.
    pub queue: VecDeque<WaitingEntry>,
    /// Times at which jobs ran, for imbalance.
    pub runs: Vec<(Instant, Instant)>,
    /// When work arrived.
    pub arrivals: Vec<Instant>,
}

impl VirtualUpstream {
    /// An idle upstream.
    pub fn new(id: UpstreamId, zone: u32, slots: u32) -> Self {
        Self {
            id,
            zone,
            slots,
            busy: 0,
            pace: 1.0,
            mute: false,
            draining: false,
            queue: VecDeque::new(),
            runs: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    /// Whether a job could start now.
    pub fn has_room(&self) -> bool {
        self.busy < self.slots
    }

    /// Time in use between two instants.
    pub fn used_between(&self, begin: Instant, end: Instant) -> Duration {
        let overlap = |(from, to): &(Instant, Instant)| {
            let last = (*to).min(end);
            last.saturating_duration_since((*from).max(begin))
        };
        self.runs.iter().map(overlap).sum()
    }
}
