//! The walk over a host's flows that finds those its heirs could not derive.
//!
//! It runs after a change of the tables, of the owners or of what a peer knows, a few segments a
//! tick, and ends with a baseline to each heir for whom nothing is left to copy.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::flow_directory::FlowDirectory;
use crate::flow_directory::FlowOrder;
use crate::flow_handover::CopyUrgency;
use crate::flow_handover::HandoverBatch;
use crate::flow_message::FlowMessage;
use crate::flow_message::FlowNote;
use crate::flow_table::CopyMark;
use crate::flow_table::HeldFlow;
use crate::flow_table::SEGMENTS;
use crate::ids::FlowDigest;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::placement_table::PlacementTable;
use crate::placement_table::TableId;

/// Segments walked in a tick: 300,000 flows take 2.6 s, at about 1,200 flows a tick.
const SEGMENTS_A_TICK: usize = 4;
/// How long a record stays after its new owner is known to find the flow without it.
const RELEASE_GRACE: Duration = Duration::from_secs(120);
/// Copies are renewed this often in the time that a silent flow is kept.
const RENEWALS: u32 = 2;

/// How far the walk has come.
#[derive(Clone, Debug, Default)]
pub struct SweepState {
    /// The next segment, or `None` while nothing has changed.
    next: Option<usize>,
    /// For whom and which services this walk has found something that is not copied yet.
    dirty: BTreeSet<(HostId, ServiceId)>,
    /// Whether this walk has made copies flows of this host, which it may have passed already.
    adopted: bool,
    /// Whether the last walk left something to copy, so that another must follow.
    unfinished: bool,
}

impl SweepState {
    /// Begins the walk anew: what was found may have changed.
    pub fn restart(&mut self) {
        self.next = Some(0);
        self.dirty.clear();
        self.adopted = false;
    }

    /// Whether the last walk found everything copied and nothing has changed since.
    pub fn is_clean(&self) -> bool {
        self.next.is_none() && !self.unfinished
    }
}

impl FlowDirectory {
    /// Lets time pass; to be called each tick.
    pub fn tick(&mut self, now: Instant, orders: &mut Vec<FlowOrder>) {
        self.flows.expire(now);
        self.copies.expire(now);
        self.book.expire(now);
        self.greet(now, orders);
        self.renew(now);
        self.walk(now);
        self.end_questions(now, orders);
        self.send_batches(now, orders);
    }

    fn renew(&mut self, now: Instant) {
        let period = self.settings.flow_idle / RENEWALS;
        let deadline = *self.renew_deadline.get_or_insert(now + period);
        if deadline <= now {
            self.renew_deadline = Some(now + period);
            self.handover.renew_copies();
            self.sweep.restart();
        }
    }

    fn walk(&mut self, now: Instant) {
        if self.sweep.next.is_none() && self.sweep.unfinished && self.handover.is_idle() {
            self.sweep.restart();
        }
        let Some(first) = self.sweep.next else {
            return;
        };
        let end = SEGMENTS.min(first + SEGMENTS_A_TICK);
        for segment in first..end {
            self.walk_flows(now, segment);
            self.walk_copies(now, segment);
        }
        self.sweep.next = (end < SEGMENTS).then_some(end);
        if self.sweep.next.is_none() {
            self.end_walk();
        }
    }

    fn walk_flows(&mut self, now: Instant, segment: usize) {
        let held: Vec<HeldFlow> = self.flows.segment(segment).collect();
        for flow in held {
            let Some(heir) = self.view.heir(flow.digest) else {
                continue;
            };
            let binding = flow.record.binding;
            let copied = self.is_copied(heir, flow.mark);
            let found = copied || self.heir_derives(heir, flow.digest, binding);
            if !found {
                self.sweep.dirty.insert((heir, binding.service));
                let urgency = self.urgency(heir, &flow);
                self.handover.copy(heir, flow.digest, urgency);
            } else if self.view.owner(flow.digest) != self.view.host {
                self.release(now, heir, &flow, copied);
            }
        }
    }

    /// Ends this host's part in a flow that its owner holds or derives. An exception becomes a copy,
    /// for this host may be its owner's heir; the others need no record any more.
    ///
    /// A leaving host keeps its records to the end. While it copies, which may take minutes, tables
    /// may change, and those who take its flows over learn of a table that only silent flows follow
    /// when it has gone, not before.
    fn release(&mut self, now: Instant, owner: HostId, flow: &HeldFlow, copied: bool) {
        let service = flow.record.binding.service;
        if copied {
            self.flows.remove(flow.digest);
            self.copies.insert(now, flow.digest, flow.record);
            let mark = CopyMark {
                host: owner,
                period: self.handover.life(owner),
            };
            self.copies.mark_copied(flow.digest, mark);
        } else if self.view.is_eligible() && self.handover.told(owner, service).is_some() {
            self.flows.limit_deadline(flow.digest, now + RELEASE_GRACE);
        }
    }

    /// A copy whose owner is gone becomes this host's flow; one whose owner is a process that
    /// never had it goes to that process, which would otherwise derive it wrongly.
    fn walk_copies(&mut self, now: Instant, segment: usize) {
        let held: Vec<HeldFlow> = self.copies.segment(segment).collect();
        for flow in held {
            let owner = self.view.owner(flow.digest);
            if owner == self.view.host {
                self.copies.remove(flow.digest);
                if self.flows.get(now, flow.digest).is_none() {
                    self.flows.insert(now, flow.digest, flow.record);
                    self.sweep.adopted = true;
                }
                continue;
            }
            let mark = CopyMark {
                host: owner,
                period: self.handover.life(owner),
            };
            if flow.mark != Some(mark) {
                let service = flow.record.binding.service;
                self.sweep.dirty.insert((owner, service));
                self.handover.copy(owner, flow.digest, CopyUrgency::Now);
            }
        }
    }

    fn is_copied(&self, heir: HostId, mark: Option<CopyMark>) -> bool {
        mark == Some(CopyMark {
            host: heir,
            period: self.handover.epoch(heir),
        })
    }

    /// A record whose heir would derive another upstream now goes before one that differs only
    /// from the next baseline.
    fn urgency(&self, heir: HostId, flow: &HeldFlow) -> CopyUrgency {
        let binding = flow.record.binding;
        let told = self.handover.told(heir, binding.service);
        let derives = told.is_some_and(|tables| {
            tables.iter().all(|id| {
                let table = self.tables.find(binding.service, *id);
                table.is_some_and(|table| table.place(flow.digest) == Some(binding))
            })
        });
        if derives {
            CopyUrgency::Later
        } else {
            CopyUrgency::Now
        }
    }

    fn end_walk(&mut self) {
        // A leaving host is told as well: it must copy what these tables place elsewhere.
        let peers = self.view.reachable.clone();
        for heir in peers {
            let services: Vec<ServiceId> = self.tables.services().collect();
            for service in services {
                if !self.sweep.dirty.contains(&(heir, service)) {
                    let tables = self.baseline(service);
                    self.handover.announce(heir, service, tables);
                }
            }
        }
        self.sweep.unfinished = !self.sweep.dirty.is_empty() || self.sweep.adopted;
        self.sweep.dirty.clear();
    }

    /// The tables that flows held here may follow: the one in force, then those of hosts that are
    /// gone, whose silent flows this host answers for.
    pub(crate) fn baseline(&self, service: ServiceId) -> Vec<TableId> {
        let newest = self.tables.newest(service).map(PlacementTable::id);
        // A host that took flows over by joining answers for the silent ones among them, and so for
        // whatever its elders still keep.
        let elders = self.elders.iter();
        let inherited = elders.filter_map(|elder| self.book.present(*elder, service));
        let former = self.book.former(service);
        let sets = former.map(|former| former.tables.as_slice());
        let mut oldest_first: Vec<TableId> = Vec::new();
        for id in sets.chain(inherited).flat_map(|tables| tables.iter().rev()) {
            // The first place counts, so that the order, and with it what peers are told, settles
            // however often the same tables come again.
            if Some(*id) != newest && !oldest_first.contains(id) {
                oldest_first.push(*id);
            }
        }
        let newest_first = oldest_first.into_iter().rev();
        newest.into_iter().chain(newest_first).collect()
    }

    fn send_batches(&mut self, now: Instant, orders: &mut Vec<FlowOrder>) {
        for (host, batch) in self.handover.due(now) {
            let message = match batch {
                HandoverBatch::Records(sequence, digests) => FlowMessage::Records {
                    sequence,
                    notes: self.notes(now, &digests),
                },
                HandoverBatch::Ready(message) => message,
            };
            self.tell(host, message, orders);
        }
    }

    fn notes(&self, now: Instant, digests: &[FlowDigest]) -> Vec<FlowNote> {
        let note = |digest: &FlowDigest| {
            let record = self.peek(now, *digest)?;
            Some(self.note(now, *digest, &record))
        };
        digests.iter().filter_map(note).collect()
    }
}
