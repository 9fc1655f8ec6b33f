//! Where a flow without a record lives, derived from placement tables and from what other hosts
//! have said of their flows, and whether that is certain.

use std::time::Instant;

use crate::baseline_book::BaselineEnd;
use crate::baseline_book::FormerBaseline;
use crate::flow_binding::FlowBinding;
use crate::flow_directory::FlowDirectory;
use crate::flow_question::FlowIntent;
use crate::ids::FlowDigest;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::owner_view::OwnerView;
use crate::placement_table::PlacementTable;
use crate::placement_table::TableId;

/// What follows from the tables, baselines and former hosts that a host knows.
pub(crate) enum FlowJudgement {
    Place,
    Derive(FlowBinding),
    Ask(Vec<HostId>),
    Nowhere,
}

/// What the baselines of hosts that are gone say of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LegacyPlace {
    /// No host that is gone ranked ahead.
    None,
    /// The oldest of them places it here.
    At(FlowBinding),
    /// The table that the oldest follows is not kept.
    Unknown,
    /// A younger one places it elsewhere, and did not know of the oldest, so that it may not have
    /// copied the flow.
    Conflict,
}

impl FlowDirectory {
    /// Whether a host that takes the flow over would derive the same upstream now and after the
    /// next baseline.
    ///
    /// It must agree with the tables that the heir keeps for flows of hosts that are gone too: a
    /// silent flow of theirs and one opened later could not be told apart, so the later is copied.
    pub(crate) fn heir_derives(
        &self,
        heir: HostId,
        digest: FlowDigest,
        binding: FlowBinding,
    ) -> bool {
        let newest = self.tables.newest(binding.service);
        if newest.and_then(|table| table.place(digest)) != Some(binding) {
            return false;
        }
        let told = self.handover.told(heir, binding.service);
        let heard = self.book.present(heir, binding.service);
        let own = self.baseline(binding.service);
        let mut sets = [told, heard, Some(own.as_slice())].into_iter().flatten();
        sets.all(|tables| self.tables_agree(binding.service, tables, digest, Some(binding)))
    }

    pub(crate) fn tables_agree(
        &self,
        service: ServiceId,
        tables: &[TableId],
        digest: FlowDigest,
        place: Option<FlowBinding>,
    ) -> bool {
        let newest = self.tables.newest(service).map(PlacementTable::id);
        tables.iter().all(|id| {
            // The common case needs no second evaluation of a table with many members.
            let table = self.tables.find(service, *id);
            Some(*id) == newest || table.is_some_and(|table| table.place(digest) == place)
        })
    }

    /// Decides what a missing record means.
    ///
    /// A flow that was opened must not be placed anew while another host holds its record: its
    /// frames would reach two upstreams. So a flow is derived only if every host that may hold it
    /// has said that its flows follow tables which agree for this one; all others are asked for.
    pub(crate) fn judge(
        &self,
        now: Instant,
        digest: FlowDigest,
        service: ServiceId,
        intent: FlowIntent,
    ) -> FlowJudgement {
        let in_doubt = self
            .open_doubt_deadline
            .is_some_and(|deadline| now < deadline);
        if intent == FlowIntent::Open && !in_doubt {
            return FlowJudgement::Place;
        }
        let newest = self.tables.newest(service);
        let place = newest.and_then(|table| table.place(digest));
        let hosts = self.view.ranked_peers(digest);
        // Exceptions are copied to the owner and its heir alone; a host that serves a frame because
        // views differ, or because it holds the claim, has to ask.
        let is_owner = self.view.owner(digest) == self.settings.host;
        let legacy = self.legacy_place(digest, service);
        let is_derivable =
            legacy == LegacyPlace::None || Some(legacy) == place.map(LegacyPlace::At);
        let vouches = |host: &HostId| self.vouches(*host, digest, service, place);
        if hosts.is_empty() || is_owner && is_derivable && hosts.iter().all(vouches) {
            return self.unasked(intent, legacy, place);
        }
        // All are asked, not only those in doubt: the one that holds it mostly ranks first.
        FlowJudgement::Ask(hosts)
    }

    /// Whether a host has said that its flows follow tables that place this one at `place`.
    fn vouches(
        &self,
        host: HostId,
        digest: FlowDigest,
        service: ServiceId,
        place: Option<FlowBinding>,
    ) -> bool {
        let baseline = self.book.present(host, service);
        baseline.is_some_and(|told| self.tables_agree(service, told, digest, place))
    }

    /// Where this host would derive an opened flow of which nobody holds a record.
    ///
    /// Exceptions always have a record at a host that lives, so that a flow without any follows a
    /// table. A host that has just started does not know yet which, and one that has heard of a
    /// table that places the flow elsewhere leaves it to those who keep that table.
    pub(crate) fn derive_unheld(
        &self,
        now: Instant,
        digest: FlowDigest,
        service: ServiceId,
    ) -> Option<FlowBinding> {
        match self.legacy_place(digest, service) {
            LegacyPlace::At(binding) => Some(binding),
            LegacyPlace::Unknown | LegacyPlace::Conflict => None,
            LegacyPlace::None => {
                let has_met_all = self.meeting_deadline.is_some_and(|end| end <= now);
                let place = self.tables.newest(service)?.place(digest);
                let contradicts = |host: &HostId| {
                    let told = self.book.present(*host, service);
                    told.is_some_and(|told| !self.tables_agree(service, told, digest, place))
                };
                let is_certain = has_met_all && !self.view.reachable.iter().any(contradicts);
                place.filter(|_binding| is_certain)
            }
        }
    }

    fn unasked(
        &self,
        intent: FlowIntent,
        legacy: LegacyPlace,
        place: Option<FlowBinding>,
    ) -> FlowJudgement {
        match (intent, legacy) {
            (FlowIntent::Open, LegacyPlace::At(binding)) if self.is_member(binding) => {
                FlowJudgement::Derive(binding)
            }
            (FlowIntent::Open, _) => FlowJudgement::Place,
            (FlowIntent::Established, LegacyPlace::At(binding)) => FlowJudgement::Derive(binding),
            (FlowIntent::Established, LegacyPlace::Unknown | LegacyPlace::Conflict) => {
                FlowJudgement::Nowhere
            }
            (FlowIntent::Established, LegacyPlace::None) => {
                place.map_or(FlowJudgement::Nowhere, FlowJudgement::Derive)
            }
        }
    }

    /// Whether an upstream takes new flows.
    pub(crate) fn is_member(&self, binding: FlowBinding) -> bool {
        let table = self.tables.newest(binding.service);
        table.is_some_and(|table| {
            table.members().iter().any(|member| {
                member.upstream == binding.upstream && member.incarnation == binding.incarnation
            })
        })
    }

    /// Where hosts from which this one took flows over, by their end or by joining, say that a
    /// flow lived.
    ///
    /// The oldest table of the oldest process decides: a flow opened after that process was gone,
    /// and placed elsewhere, was copied by the rule of [`Self::heir_derives`], so that one without
    /// a copy is the older.
    pub(crate) fn legacy_place(&self, digest: FlowDigest, service: ServiceId) -> LegacyPlace {
        let elder = OwnerView::first_of(digest, &self.elders);
        let inherits = |former: &&FormerBaseline| {
            let is_ahead = self.view.is_ahead(digest, former.host);
            match former.end {
                BaselineEnd::HostGone => is_ahead || elder == Some(former.host),
                BaselineEnd::Replaced => !is_ahead && elder == Some(former.host),
            }
        };
        let mut inherited = self.book.former(service).filter(inherits);
        let Some(oldest) = inherited.next() else {
            return LegacyPlace::None;
        };
        let last = oldest.tables.last();
        let table = last.and_then(|id| self.tables.find(service, *id));
        let Some(binding) = table.and_then(|table| table.place(digest)) else {
            return LegacyPlace::Unknown;
        };
        let agrees = |former: &FormerBaseline| {
            former.informed || self.tables_agree(service, &former.tables, digest, Some(binding))
        };
        if inherited.all(agrees) {
            LegacyPlace::At(binding)
        } else {
            LegacyPlace::Conflict
        }
    }
}
