//! The periodic sweep over a host's flows that finds those whose binding the successor could not
//! derive.
//!
//! A sweep starts after a change of the placement tables, of the owners or of what a peer knows. It
//! processes a few segments per tick. At its end, the host announces its baseline to each successor
//! that has no flow left to copy.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::flow_directory::FlowCommand;
use crate::flow_directory::FlowDirectory;
use crate::flow_handover::CopyUrgency;
use crate::flow_handover::HandoverBatch;
use crate::flow_message::FlowMessage;
use crate::flow_message::FlowRecordEntry;
use crate::flow_table::CopyMark;
use crate::flow_table::HeldFlow;
use crate::flow_table::SEGMENTS;
use crate::ids::FlowDigest;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::placement_table::PlacementTable;
use crate::placement_table::TableId;

/// Segments swept per tick. A sweep of 300,000 flows takes 2.6 s, at about 1,200 flows per tick.
const SEGMENTS_PER_TICK: usize = 4;
/// Time for which a record is kept after its new owner is known to derive the flow without it.
const RELEASE_GRACE: Duration = Duration::from_secs(120);
/// Number of times that copies are renewed within the idle timeout of a flow.
const RENEWALS_PER_IDLE_TIMEOUT: u32 = 2;

/// Progress of the current sweep.
#[derive(Clone, Debug, Default)]
pub struct SweepState {
    /// The next segment, or `None` if nothing has changed since the last sweep.
    next: Option<usize>,
    /// Hosts and services for which this sweep found flows that are not copied yet.
    uncopied: BTreeSet<(HostId, ServiceId)>,
    /// Whether this sweep moved copies into the host's own flows, in segments that it may have
    /// passed.
    promoted_copies: bool,
    /// Whether the last sweep left flows to copy, so that another sweep must follow.
    unfinished: bool,
}

impl SweepState {
    /// Restarts the sweep because earlier results may be outdated.
    pub fn restart(&mut self) {
        self.next = Some(0);
        self.uncopied.clear();
        self.promoted_copies = false;
    }

    /// Returns whether the last sweep found every flow covered and nothing has changed since.
    pub fn is_clean(&self) -> bool {
        self.next.is_none() && !self.unfinished
    }
}

impl FlowDirectory {
    /// Expires records and runs the periodic work. Must be called on each tick.
    pub fn tick(&mut self, now: Instant, commands: &mut Vec<FlowCommand>) {
        self.flows.expire(now);
        self.copies.expire(now);
        self.baselines.expire(now);
        self.send_hellos(now, commands);
        self.renew_copies_when_due(now);
        self.sweep_next_segments(now);
        self.process_query_timers(now, commands);
        self.send_batches(now, commands);
    }

    fn renew_copies_when_due(&mut self, now: Instant) {
        let interval = self.settings.flow_idle / RENEWALS_PER_IDLE_TIMEOUT;
        let deadline = *self.renew_deadline.get_or_insert(now + interval);
        if deadline <= now {
            self.renew_deadline = Some(now + interval);
            self.handover.renew_copies();
            self.sweep.restart();
        }
    }

    fn sweep_next_segments(&mut self, now: Instant) {
        if self.sweep.next.is_none() && self.sweep.unfinished && self.handover.is_idle() {
            self.sweep.restart();
        }
        let Some(first) = self.sweep.next else {
            return;
        };
        let end = SEGMENTS.min(first + SEGMENTS_PER_TICK);
        for segment in first..end {
            self.sweep_flows(now, segment);
            self.sweep_copies(now, segment);
        }
        self.sweep.next = (end < SEGMENTS).then_some(end);
        if self.sweep.next.is_none() {
            self.finish_sweep();
        }
    }

    fn sweep_flows(&mut self, now: Instant, segment: usize) {
        let segment_flows: Vec<HeldFlow> = self.flows.segment(segment).collect();
        for flow in segment_flows {
            let Some(successor) = self.view.successor(flow.digest) else {
                continue;
            };
            let binding = flow.record.binding;
            let copied = self.is_copied(successor, flow.mark);
            let is_covered = copied || self.successor_derives(successor, flow.digest, binding);
            if !is_covered {
                self.sweep.uncopied.insert((successor, binding.service));
                let urgency = self.urgency(successor, &flow);
                self.handover.queue_copy(successor, flow.digest, urgency);
            } else if self.view.owner(flow.digest) != self.view.host {
                self.release(now, successor, &flow, copied);
            }
        }
    }

    /// Gives up the record of a flow that its owner holds or derives.
    ///
    /// A copied flow is kept as a copy, because this host may be the owner's successor. Other flows
    /// need no record any more.
    ///
    /// A leaving host keeps its records until it stops. Copying may take minutes, in which the
    /// tables may change, and the hosts that take its flows over learn of a table that only idle
    /// flows follow only once the host has stopped.
    fn release(&mut self, now: Instant, owner: HostId, flow: &HeldFlow, copied: bool) {
        let service = flow.record.binding.service;
        if copied {
            self.flows.remove(flow.digest);
            self.copies.insert(now, flow.digest, flow.record);
            let mark = CopyMark {
                host: owner,
                epoch: self.handover.process_epoch(owner),
            };
            self.copies.mark_copied(flow.digest, mark);
        } else if self.view.is_eligible()
            && self.handover.confirmed_tables(owner, service).is_some()
        {
            self.flows.limit_deadline(flow.digest, now + RELEASE_GRACE);
        }
    }

    /// Sweeps the copies of one segment. A copy whose owner is gone becomes a flow of this host. A
    /// copy whose owner is a process that never received it is sent to that process, which would
    /// otherwise derive a wrong upstream.
    fn sweep_copies(&mut self, now: Instant, segment: usize) {
        let segment_flows: Vec<HeldFlow> = self.copies.segment(segment).collect();
        for flow in segment_flows {
            let owner = self.view.owner(flow.digest);
            if owner == self.view.host {
                self.copies.remove(flow.digest);
                if self.flows.get(now, flow.digest).is_none() {
                    self.flows.insert(now, flow.digest, flow.record);
                    self.sweep.promoted_copies = true;
                }
                continue;
            }
            let mark = CopyMark {
                host: owner,
                epoch: self.handover.process_epoch(owner),
            };
            if flow.mark != Some(mark) {
                let service = flow.record.binding.service;
                self.sweep.uncopied.insert((owner, service));
                self.handover
                    .queue_copy(owner, flow.digest, CopyUrgency::Urgent);
            }
        }
    }

    fn is_copied(&self, successor: HostId, mark: Option<CopyMark>) -> bool {
        mark == Some(CopyMark {
            host: successor,
            epoch: self.handover.copy_epoch(successor),
        })
    }

    /// Returns how urgently a record must be copied. Records for which the successor would derive
    /// another upstream now precede those for which only the next baseline would.
    fn urgency(&self, successor: HostId, flow: &HeldFlow) -> CopyUrgency {
        let binding = flow.record.binding;
        let confirmed_tables = self.handover.confirmed_tables(successor, binding.service);
        let derives = confirmed_tables.is_some_and(|tables| {
            tables.iter().all(|id| {
                let table = self.tables.find(binding.service, *id);
                table.is_some_and(|table| table.place(flow.digest) == Some(binding))
            })
        });
        if derives {
            CopyUrgency::Deferred
        } else {
            CopyUrgency::Urgent
        }
    }

    fn finish_sweep(&mut self) {
        // Leaving hosts are included because they must copy the flows that these tables place
        // elsewhere.
        let peers = self.view.reachable.clone();
        for successor in peers {
            let services: Vec<ServiceId> = self.tables.services().collect();
            for service in services {
                if !self.sweep.uncopied.contains(&(successor, service)) {
                    let tables = self.baseline(service);
                    self.handover.queue_tables(successor, service, tables);
                }
            }
        }
        self.sweep.unfinished = !self.sweep.uncopied.is_empty() || self.sweep.promoted_copies;
        self.sweep.uncopied.clear();
    }

    /// Returns the tables that flows held here may follow, newest first: the table in force, then
    /// the tables of hosts that are gone and whose idle flows this host answers for.
    pub(crate) fn baseline(&self, service: ServiceId) -> Vec<TableId> {
        let newest = self.tables.newest(service).map(PlacementTable::id);
        // A host that took flows over by joining also answers for the idle ones, and therefore for
        // the tables that their previous owners still keep.
        let previous_owners = self.previous_owners.iter();
        let inherited = previous_owners
            .filter_map(|previous_owner| self.baselines.current(*previous_owner, service));
        let previous = self.baselines.previous(service);
        let sets = previous.map(|previous| previous.tables.as_slice());
        let mut oldest_first: Vec<TableId> = Vec::new();
        for id in sets.chain(inherited).flat_map(|tables| tables.iter().rev()) {
            // Only the first occurrence is kept, so that the order, and with it the announced
            // baseline, stays stable when the same tables are announced repeatedly.
            if Some(*id) != newest && !oldest_first.contains(id) {
                oldest_first.push(*id);
            }
        }
        let newest_first = oldest_first.into_iter().rev();
        newest.into_iter().chain(newest_first).collect()
    }

    fn send_batches(&mut self, now: Instant, commands: &mut Vec<FlowCommand>) {
        for (host, batch) in self.handover.due(now) {
            let message = match batch {
                HandoverBatch::Records(sequence, digests) => FlowMessage::Records {
                    sequence,
                    entries: self.record_entries(now, &digests),
                },
                HandoverBatch::Ready(message) => message,
            };
            self.send_message(host, message, commands);
        }
    }

    fn record_entries(&self, now: Instant, digests: &[FlowDigest]) -> Vec<FlowRecordEntry> {
        let entry = |digest: &FlowDigest| {
            let record = self.peek(now, *digest)?;
            Some(self.record_entry(now, *digest, &record))
        };
        digests.iter().filter_map(entry).collect()
    }
}
