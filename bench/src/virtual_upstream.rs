//! A simulated upstream: its slots, and how it handles requests when all of them are busy.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::ids::HostId;
use lagoonproxy::ids::UpstreamId;
use lagoonproxy::load_message::SlotRequestId;

/// Handling of a request that arrives when all slots are busy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SaturationBehavior {
    /// The upstream sheds the request, as the users' upstreams do.
    Shed,
    /// The upstream queues the request, as the published policies assume.
    Queue,
    /// Requests arrive only with a reservation, which occupies their slot.
    Reserve,
}

/// An entry in the queue of an upstream.
#[derive(Clone, Copy, Debug)]
pub enum WaitingEntry {
    /// Index of a queued request.
    Request(usize),
    /// Reservation by a host that has a request to send (late binding).
    Reservation(HostId, SlotRequestId),
}

/// A simulated upstream.
#[derive(Clone, Debug)]
pub struct VirtualUpstream {
    /// Number of the upstream.
    pub id: UpstreamId,
    /// Number of its zone.
    pub zone: u32,
    /// Actual slots; the published count may differ.
    pub slots: u32,
    /// Slots that run a request or are reserved.
    pub busy: u32,
    /// Factor by which service times are multiplied.
    pub service_time_factor: f64,
    /// Whether the upstream neither accepts requests nor sends responses.
    pub unresponsive: bool,
    /// Whether the upstream rejects new requests.
    pub draining: bool,
    /// Waiting requests and reservations, the oldest first.
    pub queue: VecDeque<WaitingEntry>,
    /// Start and end of each completed run, from which imbalance is computed.
    pub runs: Vec<(Instant, Instant)>,
    /// Arrival times of requests.
    pub arrivals: Vec<Instant>,
}

impl VirtualUpstream {
    /// Returns an idle upstream.
    pub fn new(id: UpstreamId, zone: u32, slots: u32) -> Self {
        Self {
            id,
            zone,
            slots,
            busy: 0,
            service_time_factor: 1.0,
            unresponsive: false,
            draining: false,
            queue: VecDeque::new(),
            runs: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    /// Returns whether a slot is free.
    pub fn has_room(&self) -> bool {
        self.busy < self.slots
    }

    /// Returns the total time of completed runs between two instants, summed over the slots.
    pub fn used_between(&self, begin: Instant, end: Instant) -> Duration {
        let overlap = |(from, to): &(Instant, Instant)| {
            let last = (*to).min(end);
            last.saturating_duration_since((*from).max(begin))
        };
        self.runs.iter().map(overlap).sum()
    }
}
