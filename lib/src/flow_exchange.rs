//! What a host does with its peers' messages on flows.

use std::time::Instant;

use crate::baseline_book::BaselineEnd;
use crate::flow_directory::FlowDirectory;
use crate::flow_directory::FlowLookup;
use crate::flow_directory::FlowOrder;
use crate::flow_directory::LegacyPlace;
use crate::flow_message::FlowAnswer;
use crate::flow_message::FlowMessage;
use crate::flow_message::FlowNote;
use crate::flow_message::FlowParties;
use crate::flow_message::FlowSequence;
use crate::flow_message::MAX_MEMBERS;
use crate::flow_message::TableNote;
use crate::flow_question::FlowIntent;
use crate::flow_question::FlowQuestion;
use crate::flow_question::QuestionStep;
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
    /// Takes a peer's message.
    ///
    /// One that was meant for a former process of this host is dropped: this one never held what
    /// it confirms or builds on. One from a former process of the peer is dropped as well.
    pub fn take_message(
        &mut self,
        now: Instant,
        sender: HostId,
        parties: FlowParties,
        message: &FlowMessage,
        orders: &mut Vec<FlowOrder>,
    ) {
        let known = self.book.incarnation(sender);
        if known.is_some_and(|known| parties.from < known) {
            return;
        }
        if self.book.meet(sender, parties.from) {
            self.bury(now, sender);
            self.handover.restart_peer(sender);
            self.greeted.remove(&sender);
            self.sweep.restart();
        }
        if *message == FlowMessage::Hello {
            // It may be the same process that had lost sight of this host.
            self.handover.restart_peer(sender);
            self.sweep.restart();
            let holds = !self.flows.is_empty() || !self.copies.is_empty() || self.book.has_former();
            self.tell(sender, FlowMessage::HelloBack { holds }, orders);
            return;
        }
        if parties.to != Some(self.settings.incarnation) {
            return;
        }
        match message {
            FlowMessage::Records { sequence, notes } => {
                for note in notes {
                    self.take_note(now, sender, note);
                }
                self.confirm(sender, *sequence, orders);
            }
            FlowMessage::Baselines { sequence, tables } => {
                self.learn_baselines(now, sender, tables);
                self.confirm(sender, *sequence, orders);
            }
            FlowMessage::Confirm { sequence, unsaid } => {
                self.take_confirm(sender, *sequence);
                if *unsaid {
                    self.unheard.insert(sender);
                } else {
                    self.unheard.remove(&sender);
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
                    answer: self.answer(now, flow, *service, *established),
                };
                self.tell(sender, message, orders);
            }
            FlowMessage::Tell { digest, answer } => {
                let flow = FlowDigest::from_le_bytes(*digest);
                self.take_answer(now, sender, flow, answer, orders);
            }
            FlowMessage::WantTable { service, table } => {
                self.send_table(sender, *service, *table, orders);
            }
            FlowMessage::Table { service, members } => {
                self.take_table(*service, members);
            }
            FlowMessage::HelloBack { holds } => {
                self.greeted.insert(sender);
                if *holds {
                    self.meet_elder(now, sender);
                }
            }
            FlowMessage::Hello => {}
        }
    }

    pub(crate) fn tell(&self, host: HostId, message: FlowMessage, orders: &mut Vec<FlowOrder>) {
        let parties = FlowParties {
            from: self.settings.incarnation,
            to: self.book.incarnation(host),
        };
        orders.push(FlowOrder::Tell {
            host,
            parties,
            message,
        });
    }

    pub(crate) fn ask(
        &self,
        digest: FlowDigest,
        service: ServiceId,
        intent: FlowIntent,
        hosts: &[HostId],
        orders: &mut Vec<FlowOrder>,
    ) {
        for host in hosts {
            let message = FlowMessage::Ask {
                digest: digest.to_le_bytes(),
                service,
                established: intent == FlowIntent::Established,
            };
            self.tell(*host, message, orders);
        }
    }

    /// Repeats the questions whose answers are overdue and ends those that stay unanswered.
    pub(crate) fn end_questions(&mut self, now: Instant, orders: &mut Vec<FlowOrder>) {
        for digest in self.questions.overdue(now) {
            let Some(question) = self.questions.close(digest) else {
                continue;
            };
            // A silent host may hold the flow, so an opened one is neither derived nor ended.
            let lookup = match question.intent {
                FlowIntent::Open => self.place(now, digest, question.service),
                FlowIntent::Established => FlowLookup::Unsure,
            };
            orders.push(FlowOrder::Settled { digest, lookup });
        }
        for (digest, question) in self.questions.repeats(now) {
            let silent: Vec<HostId> = question.waiting.into_iter().collect();
            self.ask(digest, question.service, question.intent, &silent, orders);
        }
    }

    pub(crate) fn take_denial(
        &mut self,
        now: Instant,
        host: HostId,
        digest: FlowDigest,
        orders: &mut Vec<FlowOrder>,
    ) {
        match self.questions.denied(now, digest, host) {
            QuestionStep::Waiting => {}
            QuestionStep::Ask(hosts) => {
                if let Some(question) = self.questions.get(digest) {
                    let (service, intent) = (question.service, question.intent);
                    self.ask(digest, service, intent, &hosts, orders);
                }
            }
            QuestionStep::Nobody => {
                if let Some(question) = self.questions.close(digest) {
                    let lookup = self.settle(now, digest, &question);
                    orders.push(FlowOrder::Settled { digest, lookup });
                }
            }
        }
    }

    fn take_answer(
        &mut self,
        now: Instant,
        sender: HostId,
        digest: FlowDigest,
        answer: &FlowAnswer,
        orders: &mut Vec<FlowOrder>,
    ) {
        let note = match answer {
            FlowAnswer::Holds(note) => note,
            FlowAnswer::Derives(note) => {
                self.learn_address(note);
                let is_better = |host, other| OwnerView::ranks_before(digest, host, other);
                self.questions
                    .derived(digest, sender, note.binding(), is_better);
                return self.take_denial(now, sender, digest, orders);
            }
            FlowAnswer::Unknown => return self.take_denial(now, sender, digest, orders),
        };
        if self.questions.close(digest).is_none() {
            return;
        }
        self.learn_address(note);
        let lookup = match self.held(now, digest) {
            Some(record) => FlowLookup::Found(record.binding),
            None => self.adopt(now, digest, note.binding()),
        };
        orders.push(FlowOrder::Settled { digest, lookup });
    }

    /// Settles a flow of which no host that could be asked has a record.
    fn settle(&mut self, now: Instant, digest: FlowDigest, question: &FlowQuestion) -> FlowLookup {
        if let Some(record) = self.held(now, digest) {
            return FlowLookup::Found(record.binding);
        }
        let service = question.service;
        let derived = question.derived;
        match (question.intent, self.legacy_place(digest, service)) {
            (FlowIntent::Open, LegacyPlace::At(binding)) if self.is_member(binding) => {
                self.adopt(now, digest, binding)
            }
            (FlowIntent::Open, _) => self.place(now, digest, service),
            (FlowIntent::Established, LegacyPlace::At(binding)) => self.adopt(now, digest, binding),
            (FlowIntent::Established, LegacyPlace::Conflict) => FlowLookup::Absent,
            (FlowIntent::Established, _) => match derived {
                Some((_host, binding)) => self.adopt(now, digest, binding),
                None => FlowLookup::Absent,
            },
        }
    }

    fn answer(
        &self,
        now: Instant,
        digest: FlowDigest,
        service: ServiceId,
        established: bool,
    ) -> FlowAnswer {
        if let Some(record) = self.peek(now, digest) {
            return FlowAnswer::Holds(self.note(now, digest, &record));
        }
        let derived = established.then(|| self.derive_unheld(now, digest, service));
        let Some(binding) = derived.flatten() else {
            return FlowAnswer::Unknown;
        };
        let record = FlowRecord {
            binding,
            idle_deadline: now + self.settings.flow_idle,
        };
        FlowAnswer::Derives(self.note(now, digest, &record))
    }

    /// Keeps a copied record, or serves the flow if this host owns it by now.
    ///
    /// Two hosts with different views may both have opened one flow; its owner's record stays.
    fn take_note(&mut self, now: Instant, sender: HostId, note: &FlowNote) {
        let digest = note.flow();
        self.learn_address(note);
        let record = note.record(now, self.settings.flow_idle);
        if self.view.owner(digest) == self.settings.host {
            // A record that was about to be released is kept on: the sender relies on it now.
            let kept = self.flows.touch(now, digest, record.idle_deadline);
            if kept.is_none() {
                self.flows.insert(now, digest, record);
                self.sweep.restart();
            }
            return;
        }
        let copy = FlowRecord {
            // The owner renews the copy in half this time, however long it was silent when copied.
            idle_deadline: record
                .idle_deadline
                .max(now + self.settings.flow_idle * 3 / 4),
            ..record
        };
        self.flows.remove(digest);
        self.copies.insert(now, digest, copy);
        let mark = CopyMark {
            host: sender,
            period: self.handover.life(sender),
        };
        self.copies.mark_copied(digest, mark);
    }

    pub(crate) fn note(&self, now: Instant, digest: FlowDigest, record: &FlowRecord) -> FlowNote {
        let binding = record.binding;
        FlowNote {
            former_address: self
                .addresses
                .former_address(binding.upstream, binding.incarnation),
            ..FlowNote::new(now, digest, record)
        }
    }

    fn learn_address(&mut self, note: &FlowNote) {
        if let Some(address) = note.former_address {
            self.addresses
                .learn(note.upstream, note.incarnation, address);
        }
    }

    fn take_confirm(&mut self, sender: HostId, sequence: FlowSequence) {
        let (digests, epoch) = self.handover.confirm(sender, sequence);
        let of_flow = CopyMark {
            host: sender,
            period: epoch,
        };
        let of_copy = CopyMark {
            host: sender,
            period: self.handover.life(sender),
        };
        for digest in digests {
            self.flows.mark_copied(digest, of_flow);
            self.copies.mark_copied(digest, of_copy);
        }
    }

    fn learn_baselines(&mut self, now: Instant, sender: HostId, tables: &[TableNote]) {
        for note in tables {
            let known = self.book.present(sender, note.service);
            if known == Some(&note.tables) {
                continue;
            }
            for table in &note.tables {
                if self.tables.find(note.service, *table).is_none() {
                    self.wanted.insert((note.service, *table));
                }
            }
            let former = self.book.learn(sender, note.service, &note.tables);
            let inherited = self.inherited_deadline.filter(|deadline| now < *deadline);
            let is_lost = |tables: &Vec<_>| tables.iter().any(|id| !note.tables.contains(id));
            if let Some((tables, deadline)) = former.filter(is_lost).zip(inherited) {
                let end = BaselineEnd::Replaced;
                self.book
                    .keep(sender, note.service, end, tables, true, deadline);
            }
            self.sweep.restart();
        }
    }

    /// Asks again for the tables that peers follow and this host has never seen, because it joined
    /// or heard of a configuration later.
    pub(crate) fn want_tables(&mut self, orders: &mut Vec<FlowOrder>) {
        let tables = &self.tables;
        self.wanted
            .retain(|(service, table)| tables.find(*service, *table).is_none());
        for (service, table) in &self.wanted {
            for host in &self.view.reachable {
                let message = FlowMessage::WantTable {
                    service: *service,
                    table: *table,
                };
                self.tell(*host, message, orders);
            }
        }
    }

    fn send_table(
        &self,
        sender: HostId,
        service: ServiceId,
        table: TableId,
        orders: &mut Vec<FlowOrder>,
    ) {
        let Some(table) = self.tables.find(service, table) else {
            return;
        };
        let members = table.members().to_vec();
        if members.len() <= MAX_MEMBERS {
            self.tell(sender, FlowMessage::Table { service, members }, orders);
        }
    }

    fn take_table(&mut self, service: ServiceId, members: &[TableMember]) {
        let table = PlacementTable::of_members(service, members.to_vec());
        if self.wanted.remove(&(service, table.id())) {
            self.tables.remember(table);
            self.sweep.restart();
        }
    }

    fn confirm(&self, sender: HostId, sequence: FlowSequence, orders: &mut Vec<FlowOrder>) {
        // A host that leaves before its table has arrived here would take it along.
        let unsaid = self.has_unsaid(sender) || !self.wanted.is_empty();
        self.tell(sender, FlowMessage::Confirm { sequence, unsaid }, orders);
    }
}
