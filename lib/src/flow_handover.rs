//! What a host tells the heirs of its flows, within a byte budget, until they confirm it.
//!
//! An heir derives most flows from the sender's baseline; only exceptions are copied. One message a
//! peer is under way at a time and is sent again until it is confirmed, urgent records first.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::byte_budget::ByteBudget;
use crate::byte_budget::TrafficClass;
use crate::flow_message::FlowMessage;
use crate::flow_message::FlowSequence;
use crate::flow_message::MAX_NOTES;
use crate::flow_message::MAX_TABLES;
use crate::flow_message::TableNote;
use crate::ids::FlowDigest;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::placement_table::TableId;

/// When an unconfirmed message is sent again; ten times the delay between zones of today.
const RESEND_AFTER: Duration = Duration::from_millis(40);
/// Bytes of a datagram that are no note: IP and UDP headers, frame, code.
pub const DATAGRAM_OVERHEAD: usize = 72;
/// Most bytes of one note in `postcard`: digest, three short numbers, incarnation, time.
pub const NOTE_LEN: usize = 30;
/// Most bytes of one service's tables.
const TABLE_LEN: usize = 24;

/// How urgently a peer needs a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CopyUrgency {
    /// The peer would derive another upstream now.
    Now,
    /// The peer would derive another upstream after the next baseline.
    Later,
}

/// What one message carries.
#[derive(Clone, Debug)]
enum Cargo {
    Records(Vec<FlowDigest>),
    Baselines(Vec<TableNote>),
}

#[derive(Clone, Debug)]
struct InFlight {
    sequence: FlowSequence,
    cargo: Cargo,
    class: TrafficClass,
    resend_deadline: Instant,
    /// The copying epoch that a confirmation proves.
    epoch: u16,
}

/// What one peer has been told and is still to be told.
#[derive(Clone, Debug, Default)]
struct PeerQueue {
    urgent: BTreeSet<FlowDigest>,
    later: BTreeSet<FlowDigest>,
    baselines: BTreeMap<ServiceId, Vec<TableId>>,
    told: BTreeMap<ServiceId, Vec<TableId>>,
    in_flight: Option<InFlight>,
    /// Grows whenever copies that the peer confirmed may be lost or are to be renewed.
    epoch: u16,
    /// Grows whenever the peer is another process or was away.
    life: u16,
}

/// A batch that is to be sent.
#[derive(Clone, Debug)]
pub enum HandoverBatch {
    /// Records of these flows.
    Records(FlowSequence, Vec<FlowDigest>),
    /// A message without records.
    Ready(FlowMessage),
}

/// The outgoing side of a host's hand-over.
#[derive(Clone, Debug)]
pub struct FlowHandover {
    peers: BTreeMap<HostId, PeerQueue>,
    /// Bytes a second, and bytes at once.
    rate: u32,
    burst: u32,
    /// Made when time is first known.
    budget: Option<ByteBudget>,
    sequence: FlowSequence,
    /// The peer served first in the next tick, so that one long queue does not starve the others.
    cursor: HostId,
}

impl FlowHandover {
    /// Makes one that sends `rate` bytes a second, and saves up `burst`.
    pub fn new(rate: u32, burst: u32) -> Self {
        Self {
            peers: BTreeMap::new(),
            rate,
            burst,
            budget: None,
            sequence: 0,
            cursor: 0,
        }
    }

    /// The copying epoch of a peer; a copy confirmed in another one does not count.
    pub fn epoch(&self, peer: HostId) -> u16 {
        self.peers.get(&peer).map_or(0, |queue| queue.epoch)
    }

    /// Counts the processes met on a peer; what one of them held says nothing of the next.
    pub fn life(&self, peer: HostId) -> u16 {
        self.peers.get(&peer).map_or(0, |queue| queue.life)
    }

    /// The tables that a peer has confirmed for a service.
    pub fn told(&self, peer: HostId, service: ServiceId) -> Option<&[TableId]> {
        let queue = self.peers.get(&peer)?;
        queue.told.get(&service).map(Vec::as_slice)
    }

    /// Asks for a record to be copied to a peer.
    pub fn copy(&mut self, peer: HostId, digest: FlowDigest, urgency: CopyUrgency) {
        let queue = self.peers.entry(peer).or_default();
        match urgency {
            CopyUrgency::Now => {
                queue.later.remove(&digest);
                queue.urgent.insert(digest);
            }
            CopyUrgency::Later if !queue.urgent.contains(&digest) => {
                queue.later.insert(digest);
            }
            CopyUrgency::Later => {}
        }
    }

    /// Asks for a peer to be told the tables of a service, unless it knows them.
    pub fn announce(&mut self, peer: HostId, service: ServiceId, tables: Vec<TableId>) {
        let queue = self.peers.entry(peer).or_default();
        if queue.told.get(&service) != Some(&tables) {
            queue.baselines.insert(service, tables);
        }
    }

    /// Forgets everything a peer was told: it is another process now, or was away.
    pub fn restart_peer(&mut self, peer: HostId) {
        let queue = self.peers.entry(peer).or_default();
        *queue = PeerQueue {
            epoch: queue.epoch.wrapping_add(1),
            life: queue.life.wrapping_add(1),
            ..PeerQueue::default()
        };
    }

    /// Starts a new copying epoch with every peer, so that exceptions are copied anew before the
    /// copies fall idle.
    pub fn renew_copies(&mut self) {
        for queue in self.peers.values_mut() {
            queue.epoch = queue.epoch.wrapping_add(1);
        }
    }

    /// Whether every record and baseline asked for has been confirmed.
    pub fn is_idle(&self) -> bool {
        self.peers.values().all(|queue| {
            queue.urgent.is_empty()
                && queue.later.is_empty()
                && queue.baselines.is_empty()
                && queue.in_flight.is_none()
        })
    }

    /// Takes a confirmation in; returns the flows whose copies it proves, with the epoch.
    pub fn confirm(&mut self, peer: HostId, sequence: FlowSequence) -> (Vec<FlowDigest>, u16) {
        let Some(queue) = self.peers.get_mut(&peer) else {
            return (Vec::new(), 0);
        };
        let Some(in_flight) = queue
            .in_flight
            .take_if(|in_flight| in_flight.sequence == sequence)
        else {
            return (Vec::new(), 0);
        };
        match in_flight.cargo {
            Cargo::Records(digests) => (digests, in_flight.epoch),
            Cargo::Baselines(notes) => {
                for note in notes {
                    queue.told.insert(note.service, note.tables);
                }
                (Vec::new(), 0)
            }
        }
    }

    /// The batches that may be sent now: repeats that are due, then what waits.
    pub fn due(&mut self, now: Instant) -> Vec<(HostId, HandoverBatch)> {
        let mut batches = Vec::new();
        let (rate, burst) = (self.rate, self.burst);
        let budget = self
            .budget
            .get_or_insert_with(|| ByteBudget::new(now, rate, burst));
        let cursor = self.cursor;
        let after = self.peers.range(cursor..).map(|(peer, _queue)| *peer);
        let before = self.peers.range(..cursor).map(|(peer, _queue)| *peer);
        let order: Vec<HostId> = after.chain(before).collect();
        for peer in order {
            let Some(queue) = self.peers.get_mut(&peer) else {
                continue;
            };
            if !queue.prepare(now, self.sequence + 1) {
                continue;
            }
            let Some(in_flight) = &mut queue.in_flight else {
                continue;
            };
            if !budget.allows(now, in_flight.class) {
                self.cursor = peer;
                break;
            }
            budget.spend(in_flight.class, in_flight.cargo.len());
            self.sequence = self.sequence.max(in_flight.sequence);
            in_flight.resend_deadline = now + RESEND_AFTER;
            batches.push((peer, in_flight.batch()));
        }
        batches
    }
}

impl PeerQueue {
    fn next_cargo(&mut self) -> Option<Cargo> {
        if !self.urgent.is_empty() {
            return Some(Cargo::Records(take_some(&mut self.urgent)));
        }
        if !self.baselines.is_empty() {
            let mut notes = Vec::new();
            while notes.len() < MAX_TABLES
                && let Some((service, tables)) = self.baselines.pop_first()
            {
                notes.push(TableNote { service, tables });
            }
            return Some(Cargo::Baselines(notes));
        }
        if self.later.is_empty() {
            return None;
        }
        Some(Cargo::Records(take_some(&mut self.later)))
    }

    /// Whether a message is due; puts the next one in flight if none is.
    fn prepare(&mut self, now: Instant, sequence: FlowSequence) -> bool {
        if let Some(in_flight) = &self.in_flight {
            return in_flight.resend_deadline <= now;
        }
        let class = if self.urgent.is_empty() {
            TrafficClass::Change
        } else {
            TrafficClass::Removal
        };
        let Some(cargo) = self.next_cargo() else {
            return false;
        };
        self.in_flight = Some(InFlight {
            sequence,
            cargo,
            class,
            resend_deadline: now,
            epoch: self.epoch,
        });
        true
    }
}

impl Cargo {
    fn len(&self) -> usize {
        DATAGRAM_OVERHEAD
            + match self {
                Self::Records(digests) => digests.len() * NOTE_LEN,
                Self::Baselines(notes) => notes.len() * TABLE_LEN,
            }
    }
}

impl InFlight {
    fn batch(&self) -> HandoverBatch {
        let sequence = self.sequence;
        match &self.cargo {
            Cargo::Records(digests) => HandoverBatch::Records(sequence, digests.clone()),
            Cargo::Baselines(tables) => HandoverBatch::Ready(FlowMessage::Baselines {
                sequence,
                tables: tables.clone(),
            }),
        }
    }
}

fn take_some(digests: &mut BTreeSet<FlowDigest>) -> Vec<FlowDigest> {
    let mut taken = Vec::new();
    while taken.len() < MAX_NOTES
        && let Some(digest) = digests.pop_first()
    {
        taken.push(digest);
    }
    taken
}
