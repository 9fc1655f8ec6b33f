//! Handling of flow messages from peers.

use std::time::Instant;

use crate::baseline_table::BaselineEnd;
use crate::flow_derivation::InheritedPlacement;
use crate::flow_directory::FlowCommand;
use crate::flow_directory::FlowDirectory;
use crate::flow_directory::FlowLookup;
use crate::flow_message::FlowMessage;
use crate::flow_message::FlowParties;
use crate::flow_message::FlowRecordEntry;
use crate::flow_message::FlowReply;
use crate::flow_message::FlowSequence;
use crate::flow_message::MAX_TABLE_MEMBERS;
use crate::flow_message::ServiceTables;
use crate::flow_query::FlowIntent;
use crate::flow_query::FlowQuery;
use crate::flow_query::QueryProgress;
use crate::flow_table::CopyMark;
use crate::flow_table::FlowRecord;
use crate::ids::FlowDigest;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::owner_view::OwnerView;
use crate::placement_table::PlacementTable;
use crate::placement_table::TableId;
use crate::placement_table::TableMember;

impl FlowDirectory {
    /// Handles a message from a peer.
    ///
    /// A message to an earlier generation of this host is dropped, because this process never held
    /// the state that it confirms or builds on. A message from an earlier generation of the peer is
    /// dropped as well.
    pub fn handle_message(
        &mut self,
        now: Instant,
        sender: HostId,
        parties: FlowParties,
        message: &FlowMessage,
        commands: &mut Vec<FlowCommand>,
    ) {
        let known = self.baselines.incarnation(sender);
        if known.is_some_and(|known| parties.from < known) {
            return;
        }
        if self.baselines.observe_process(sender, parties.from) {
            self.retire_baselines(now, sender);
            self.handover.restart_peer(sender);
            self.hello_acked.remove(&sender);
            self.sweep.restart();
        }
        if *message == FlowMessage::Hello {
            // The sender may be a known process that had lost contact with this host.
            self.handover.restart_peer(sender);
            self.sweep.restart();
            let holds =
                !self.flows.is_empty() || !self.copies.is_empty() || self.baselines.has_previous();
            self.send_message(sender, FlowMessage::HelloBack { holds }, commands);
            return;
        }
        if parties.to != Some(self.settings.incarnation) {
            return;
        }
        match message {
            FlowMessage::Records { sequence, entries } => {
                for entry in entries {
                    self.handle_record(now, sender, entry);
                }
                self.confirm(sender, *sequence, commands);
            }
            FlowMessage::Baselines { sequence, tables } => {
                self.handle_baselines(now, sender, tables);
                self.confirm(sender, *sequence, commands);
            }
            FlowMessage::Confirm {
                sequence,
                tables_pending,
            } => {
                self.handle_confirm(sender, *sequence);
                if *tables_pending {
                    self.peers_with_pending_tables.insert(sender);
                } else {
                    self.peers_with_pending_tables.remove(&sender);
                }
            }
            FlowMessage::Ask {
                digest,
                service,
                established,
            } => {
                let flow = FlowDigest::from_le_bytes(*digest);
                let message = FlowMessage::Tell {
                    digest: *digest,
                    reply: self.build_reply(now, flow, *service, *established),
                };
                self.send_message(sender, message, commands);
            }
            FlowMessage::Tell { digest, reply } => {
                let flow = FlowDigest::from_le_bytes(*digest);
                self.handle_reply(now, sender, flow, reply, commands);
            }
            FlowMessage::WantTable { service, table } => {
                self.send_table(sender, *service, *table, commands);
            }
            FlowMessage::Table { service, members } => {
                self.handle_table(*service, members);
            }
            FlowMessage::HelloBack { holds } => {
                self.hello_acked.insert(sender);
                if *holds {
                    self.record_previous_owner(now, sender);
                }
            }
            FlowMessage::Hello => {}
        }
    }

    pub(crate) fn send_message(
        &self,
        host: HostId,
        message: FlowMessage,
        commands: &mut Vec<FlowCommand>,
    ) {
        let parties = FlowParties {
            from: self.settings.incarnation,
            to: self.baselines.incarnation(host),
        };
        commands.push(FlowCommand::Tell {
            host,
            parties,
            message,
        });
    }

    pub(crate) fn send_query(
        &self,
        digest: FlowDigest,
        service: ServiceId,
        intent: FlowIntent,
        hosts: &[HostId],
        commands: &mut Vec<FlowCommand>,
    ) {
        for host in hosts {
            let message = FlowMessage::Ask {
                digest: digest.to_le_bytes(),
                service,
                established: intent == FlowIntent::Established,
            };
            self.send_message(*host, message, commands);
        }
    }

    /// Retransmits queries without a reply and ends those that have reached their deadline.
    pub(crate) fn process_query_timers(&mut self, now: Instant, commands: &mut Vec<FlowCommand>) {
        for digest in self.queries.timed_out(now) {
            let Some(query) = self.queries.close(digest) else {
                continue;
            };
            // A silent host may hold the flow, so an established flow is neither derived nor ended.
            let lookup = match query.intent {
                FlowIntent::Open => self.place(now, digest, query.service),
                FlowIntent::Established => FlowLookup::Undetermined,
            };
            commands.push(FlowCommand::Settled { digest, lookup });
        }
        for (digest, query) in self.queries.due_retransmissions(now) {
            let silent: Vec<HostId> = query.pending_hosts.into_iter().collect();
            self.send_query(digest, query.service, query.intent, &silent, commands);
        }
    }

    pub(crate) fn handle_denial(
        &mut self,
        now: Instant,
        host: HostId,
        digest: FlowDigest,
        commands: &mut Vec<FlowCommand>,
    ) {
        match self.queries.add_denial(now, digest, host) {
            QueryProgress::Waiting => {}
            QueryProgress::SendTo(hosts) => {
                if let Some(query) = self.queries.get(digest) {
                    let (service, intent) = (query.service, query.intent);
                    self.send_query(digest, service, intent, &hosts, commands);
                }
            }
            QueryProgress::NoHolder => {
                if let Some(query) = self.queries.close(digest) {
                    let lookup = self.resolve_query(now, digest, &query);
                    commands.push(FlowCommand::Settled { digest, lookup });
                }
            }
        }
    }

    fn handle_reply(
        &mut self,
        now: Instant,
        sender: HostId,
        digest: FlowDigest,
        reply: &FlowReply,
        commands: &mut Vec<FlowCommand>,
    ) {
        let entry = match reply {
            FlowReply::Holds(entry) => entry,
            FlowReply::Derives(entry) => {
                self.learn_address(entry);
                let is_better = |host, other| OwnerView::ranks_before(digest, host, other);
                self.queries
                    .add_derived(digest, sender, entry.binding(), is_better);
                return self.handle_denial(now, sender, digest, commands);
            }
            FlowReply::Unknown => return self.handle_denial(now, sender, digest, commands),
        };
        if self.queries.close(digest).is_none() {
            return;
        }
        self.learn_address(entry);
        let lookup = match self.touch_or_promote(now, digest) {
            Some(record) => FlowLookup::Found(record.binding),
            None => self.bind_flow(now, digest, entry.binding()),
        };
        commands.push(FlowCommand::Settled { digest, lookup });
    }

    /// Determines the result for a flow of which no reachable host has a record.
    fn resolve_query(&mut self, now: Instant, digest: FlowDigest, query: &FlowQuery) -> FlowLookup {
        if let Some(record) = self.touch_or_promote(now, digest) {
            return FlowLookup::Found(record.binding);
        }
        let service = query.service;
        let derived = query.derived;
        match (query.intent, self.inherited_placement(digest, service)) {
            (FlowIntent::Open, InheritedPlacement::At(binding)) if self.is_member(binding) => {
                self.bind_flow(now, digest, binding)
            }
            (FlowIntent::Open, _) => self.place(now, digest, service),
            (FlowIntent::Established, InheritedPlacement::At(binding)) => {
                self.bind_flow(now, digest, binding)
            }
            (FlowIntent::Established, InheritedPlacement::Conflict) => FlowLookup::NotFound,
            (FlowIntent::Established, _) => match derived {
                Some((_host, binding)) => self.bind_flow(now, digest, binding),
                None => FlowLookup::NotFound,
            },
        }
    }

    fn build_reply(
        &self,
        now: Instant,
        digest: FlowDigest,
        service: ServiceId,
        established: bool,
    ) -> FlowReply {
        if let Some(record) = self.peek(now, digest) {
            return FlowReply::Holds(self.record_entry(now, digest, &record));
        }
        let derived = established.then(|| self.derive_without_record(now, digest, service));
        let Some(binding) = derived.flatten() else {
            return FlowReply::Unknown;
        };
        let record = FlowRecord {
            binding,
            idle_deadline: now + self.settings.flow_idle,
        };
        FlowReply::Derives(self.record_entry(now, digest, &record))
    }

    /// Stores a copied record, or serves the flow if this host owns it now.
    ///
    /// Two hosts with different views may both have opened a flow; the owner's record takes
    /// precedence.
    fn handle_record(&mut self, now: Instant, sender: HostId, entry: &FlowRecordEntry) {
        let digest = entry.flow();
        self.learn_address(entry);
        let record = entry.record(now, self.settings.flow_idle);
        if self.view.owner(digest) == self.settings.host {
            // The deadline of a record that was to be released is extended, because the sender
            // relies on it now.
            let kept = self.flows.touch(now, digest, record.idle_deadline);
            if kept.is_none() {
                self.flows.insert(now, digest, record);
                self.sweep.restart();
            }
            return;
        }
        let copy = FlowRecord {
            // The owner renews the copy within half the idle timeout, however long the flow was
            // idle when it was copied.
            idle_deadline: record
                .idle_deadline
                .max(now + self.settings.flow_idle * 3 / 4),
            ..record
        };
        self.flows.remove(digest);
        self.copies.insert(now, digest, copy);
        let mark = CopyMark {
            host: sender,
            epoch: self.handover.process_epoch(sender),
        };
        self.copies.mark_copied(digest, mark);
    }

    pub(crate) fn record_entry(
        &self,
        now: Instant,
        digest: FlowDigest,
        record: &FlowRecord,
    ) -> FlowRecordEntry {
        let binding = record.binding;
        FlowRecordEntry {
            former_address: self
                .addresses
                .former_address(binding.upstream, binding.incarnation),
            ..FlowRecordEntry::new(now, digest, record)
        }
    }

    fn learn_address(&mut self, entry: &FlowRecordEntry) {
        if let Some(address) = entry.former_address {
            self.addresses
                .learn(entry.upstream, entry.incarnation, address);
        }
    }

    fn handle_confirm(&mut self, sender: HostId, sequence: FlowSequence) {
        let (digests, epoch) = self.handover.confirm(sender, sequence);
        let mark_for_flows = CopyMark {
            host: sender,
            epoch,
        };
        let mark_for_copies = CopyMark {
            host: sender,
            epoch: self.handover.process_epoch(sender),
        };
        for digest in digests {
            self.flows.mark_copied(digest, mark_for_flows);
            self.copies.mark_copied(digest, mark_for_copies);
        }
    }

    fn handle_baselines(&mut self, now: Instant, sender: HostId, tables: &[ServiceTables]) {
        for entry in tables {
            let known = self.baselines.current(sender, entry.service);
            if known == Some(&entry.tables) {
                continue;
            }
            for table in &entry.tables {
                if self.tables.find(entry.service, *table).is_none() {
                    self.missing_tables.insert((entry.service, *table));
                }
            }
            let previous = self.baselines.update(sender, entry.service, &entry.tables);
            let inherited = self.inherited_deadline.filter(|deadline| now < *deadline);
            let is_lost = |tables: &Vec<_>| tables.iter().any(|id| !entry.tables.contains(id));
            if let Some((tables, deadline)) = previous.filter(is_lost).zip(inherited) {
                let end = BaselineEnd::Replaced;
                self.baselines
                    .retain_previous(sender, entry.service, end, tables, true, deadline);
            }
            self.sweep.restart();
        }
    }

    /// Requests again the tables that peers follow and this host does not have, because it joined
    /// or received a configuration later than they did.
    pub(crate) fn request_missing_tables(&mut self, commands: &mut Vec<FlowCommand>) {
        let tables = &self.tables;
        self.missing_tables
            .retain(|(service, table)| tables.find(*service, *table).is_none());
        for (service, table) in &self.missing_tables {
            for host in &self.view.reachable {
                let message = FlowMessage::WantTable {
                    service: *service,
                    table: *table,
                };
                self.send_message(*host, message, commands);
            }
        }
    }

    fn send_table(
        &self,
        sender: HostId,
        service: ServiceId,
        table: TableId,
        commands: &mut Vec<FlowCommand>,
    ) {
        let Some(table) = self.tables.find(service, table) else {
            return;
        };
        let members = table.members().to_vec();
        if members.len() <= MAX_TABLE_MEMBERS {
            self.send_message(sender, FlowMessage::Table { service, members }, commands);
        }
    }

    fn handle_table(&mut self, service: ServiceId, members: &[TableMember]) {
        let table = PlacementTable::of_members(service, members.to_vec());
        if self.missing_tables.remove(&(service, table.id())) {
            self.tables.insert_older(table);
            self.sweep.restart();
        }
    }

    fn confirm(&self, sender: HostId, sequence: FlowSequence, commands: &mut Vec<FlowCommand>) {
        // A host that leaves before this host has received its table would take the table with it.
        let tables_pending = self.has_unsent_tables(sender) || !self.missing_tables.is_empty();
        self.send_message(
            sender,
            FlowMessage::Confirm {
                sequence,
                tables_pending,
            },
            commands,
        );
    }
}
