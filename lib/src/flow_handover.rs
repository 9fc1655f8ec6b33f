//! Copies of flow records and baselines for the successors of a host's flows, sent within a byte
//! budget until they are confirmed.
//!
//! A successor derives most flows from the sender's baseline; only exceptions are copied. Each peer
//! has at most one message in flight, which is sent again until it is confirmed. Urgent records
//! precede baselines, and those precede deferred records.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::byte_budget::ByteBudget;
use crate::byte_budget::TrafficClass;
use crate::flow_message::FlowMessage;
use crate::flow_message::FlowSequence;
use crate::flow_message::MAX_RECORD_ENTRIES;
use crate::flow_message::MAX_SERVICE_TABLES;
use crate::flow_message::ServiceTables;
use crate::ids::FlowDigest;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::placement_table::TableId;

/// Interval at which an unconfirmed message is sent again; ten times the delay between today's
/// zones.
const RESEND_INTERVAL: Duration = Duration::from_millis(40);
/// Bytes of a datagram besides the record entries: IP and UDP headers, frame, authentication code.
pub const DATAGRAM_OVERHEAD_BYTES: usize = 72;
/// Maximum bytes of one record entry in `postcard`: digest, three short integers, generation, time.
pub const MAX_RECORD_ENTRY_BYTES: usize = 30;
/// Maximum bytes of one service's tables.
const MAX_SERVICE_TABLES_BYTES: usize = 24;

/// How urgently a peer needs a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CopyUrgency {
    /// The peer would derive another upstream now.
    Urgent,
    /// The peer would derive another upstream after the next baseline.
    Deferred,
}

/// Content of one message.
#[derive(Clone, Debug)]
enum Payload {
    Records(Vec<FlowDigest>),
    Baselines(Vec<ServiceTables>),
}

#[derive(Clone, Debug)]
struct InFlight {
    sequence: FlowSequence,
    payload: Payload,
    class: TrafficClass,
    resend_deadline: Instant,
    /// The copy epoch that a confirmation of this message proves.
    copy_epoch: u16,
}

/// What one peer has confirmed, and what remains to be sent to it.
#[derive(Clone, Debug, Default)]
struct PeerQueue {
    urgent: BTreeSet<FlowDigest>,
    deferred: BTreeSet<FlowDigest>,
    baselines: BTreeMap<ServiceId, Vec<TableId>>,
    confirmed_tables: BTreeMap<ServiceId, Vec<TableId>>,
    in_flight: Option<InFlight>,
    /// Incremented when copies that the peer confirmed may be lost or must be renewed.
    copy_epoch: u16,
    /// Incremented when the peer restarts or was unreachable.
    process_epoch: u16,
}

/// A message that is to be sent.
#[derive(Clone, Debug)]
pub enum HandoverBatch {
    /// Records of these flows, which the caller must add.
    Records(FlowSequence, Vec<FlowDigest>),
    /// A complete message, without records.
    Ready(FlowMessage),
}

/// The queues of records and baselines for all peers.
#[derive(Clone, Debug)]
pub struct FlowHandover {
    peers: BTreeMap<HostId, PeerQueue>,
    /// Budget in bytes per second, and bytes sent at once.
    rate: u32,
    burst: u32,
    /// Created at the first call that knows the time.
    budget: Option<ByteBudget>,
    sequence: FlowSequence,
    /// The peer served first in the next tick, so that one long queue does not starve the others.
    cursor: HostId,
}

impl FlowHandover {
    /// Creates a handover that sends `rate` bytes per second and at most `burst` bytes at once.
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

    /// Returns the copy epoch of a peer. A copy confirmed in another epoch does not count.
    pub fn copy_epoch(&self, peer: HostId) -> u16 {
        self.peers.get(&peer).map_or(0, |queue| queue.copy_epoch)
    }

    /// Returns the number of processes seen on a peer. A copy held by one process is not held by
    /// the next.
    pub fn process_epoch(&self, peer: HostId) -> u16 {
        self.peers.get(&peer).map_or(0, |queue| queue.process_epoch)
    }

    /// Returns the tables of a service that a peer has confirmed.
    pub fn confirmed_tables(&self, peer: HostId, service: ServiceId) -> Option<&[TableId]> {
        let queue = self.peers.get(&peer)?;
        queue.confirmed_tables.get(&service).map(Vec::as_slice)
    }

    /// Queues a record to be copied to a peer.
    pub fn queue_copy(&mut self, peer: HostId, digest: FlowDigest, urgency: CopyUrgency) {
        let queue = self.peers.entry(peer).or_default();
        match urgency {
            CopyUrgency::Urgent => {
                queue.deferred.remove(&digest);
                queue.urgent.insert(digest);
            }
            CopyUrgency::Deferred if !queue.urgent.contains(&digest) => {
                queue.deferred.insert(digest);
            }
            CopyUrgency::Deferred => {}
        }
    }

    /// Queues the tables of a service for a peer, unless the peer has confirmed them.
    pub fn queue_tables(&mut self, peer: HostId, service: ServiceId, tables: Vec<TableId>) {
        let queue = self.peers.entry(peer).or_default();
        if queue.confirmed_tables.get(&service) != Some(&tables) {
            queue.baselines.insert(service, tables);
        }
    }

    /// Discards everything that a peer has confirmed, because it has restarted or was unreachable.
    pub fn restart_peer(&mut self, peer: HostId) {
        let queue = self.peers.entry(peer).or_default();
        *queue = PeerQueue {
            copy_epoch: queue.copy_epoch.wrapping_add(1),
            process_epoch: queue.process_epoch.wrapping_add(1),
            ..PeerQueue::default()
        };
    }

    /// Starts a new copy epoch with every peer, so that exceptions are copied again before the
    /// copies expire.
    pub fn renew_copies(&mut self) {
        for queue in self.peers.values_mut() {
            queue.copy_epoch = queue.copy_epoch.wrapping_add(1);
        }
    }

    /// Returns whether every queued record and baseline has been confirmed.
    pub fn is_idle(&self) -> bool {
        self.peers.values().all(|queue| {
            queue.urgent.is_empty()
                && queue.deferred.is_empty()
                && queue.baselines.is_empty()
                && queue.in_flight.is_none()
        })
    }

    /// Handles a confirmation. Returns the flows whose copies it proves, and their copy epoch.
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
        match in_flight.payload {
            Payload::Records(digests) => (digests, in_flight.copy_epoch),
            Payload::Baselines(entries) => {
                for entry in entries {
                    queue.confirmed_tables.insert(entry.service, entry.tables);
                }
                (Vec::new(), 0)
            }
        }
    }

    /// Returns the messages that may be sent now: due retransmissions and new messages.
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
            budget.spend(in_flight.class, in_flight.payload.len());
            self.sequence = self.sequence.max(in_flight.sequence);
            in_flight.resend_deadline = now + RESEND_INTERVAL;
            batches.push((peer, in_flight.batch()));
        }
        batches
    }
}

impl PeerQueue {
    fn next_payload(&mut self) -> Option<Payload> {
        if !self.urgent.is_empty() {
            return Some(Payload::Records(take_records(&mut self.urgent)));
        }
        if !self.baselines.is_empty() {
            let mut entries = Vec::new();
            while entries.len() < MAX_SERVICE_TABLES
                && let Some((service, tables)) = self.baselines.pop_first()
            {
                entries.push(ServiceTables { service, tables });
            }
            return Some(Payload::Baselines(entries));
        }
        if self.deferred.is_empty() {
            return None;
        }
        Some(Payload::Records(take_records(&mut self.deferred)))
    }

    /// Returns whether a message is due. Puts the next one in flight if there is none.
    fn prepare(&mut self, now: Instant, sequence: FlowSequence) -> bool {
        if let Some(in_flight) = &self.in_flight {
            return in_flight.resend_deadline <= now;
        }
        let class = if self.urgent.is_empty() {
            TrafficClass::Change
        } else {
            TrafficClass::Removal
        };
        let Some(payload) = self.next_payload() else {
            return false;
        };
        self.in_flight = Some(InFlight {
            sequence,
            payload,
            class,
            resend_deadline: now,
            copy_epoch: self.copy_epoch,
        });
        true
    }
}

impl Payload {
    fn len(&self) -> usize {
        DATAGRAM_OVERHEAD_BYTES
            + match self {
                Self::Records(digests) => digests.len() * MAX_RECORD_ENTRY_BYTES,
                Self::Baselines(entries) => entries.len() * MAX_SERVICE_TABLES_BYTES,
            }
    }
}

impl InFlight {
    fn batch(&self) -> HandoverBatch {
        let sequence = self.sequence;
        match &self.payload {
            Payload::Records(digests) => HandoverBatch::Records(sequence, digests.clone()),
            Payload::Baselines(tables) => HandoverBatch::Ready(FlowMessage::Baselines {
                sequence,
                tables: tables.clone(),
            }),
        }
    }
}

fn take_records(digests: &mut BTreeSet<FlowDigest>) -> Vec<FlowDigest> {
    let mut taken = Vec::new();
    while taken.len() < MAX_RECORD_ENTRIES
        && let Some(digest) = digests.pop_first()
    {
        taken.push(digest);
    }
    taken
}
