//! Derivation of the binding of a flow without a record, from the placement tables and the
//! baselines of other hosts.

use std::time::Instant;

use crate::baseline_table::BaselineEnd;
use crate::baseline_table::PreviousBaseline;
use crate::flow_binding::FlowBinding;
use crate::flow_directory::FlowDirectory;
use crate::flow_query::FlowIntent;
use crate::ids::FlowDigest;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::owner_view::OwnerView;
use crate::placement_table::PlacementTable;
use crate::placement_table::TableId;

/// What to do with a flow that has no record on this host.
pub(crate) enum MissDecision {
    /// Place the flow as a new one.
    PlaceNew,
    /// Store the flow with this derived binding.
    Derive(FlowBinding),
    /// Query these hosts, the highest-ranked first.
    Query(Vec<HostId>),
    /// Report that no host knows the binding.
    NotFound,
}

/// Binding of a flow according to the baselines inherited from hosts whose flows this one took
/// over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InheritedPlacement {
    /// No baseline was inherited for the flow.
    None,
    /// The oldest inherited baseline gives this binding.
    At(FlowBinding),
    /// The oldest table of the oldest inherited baseline is no longer kept.
    Unknown,
    /// A newer inherited baseline gives another binding, and its host did not know the oldest one's
    /// tables, so that it may not have copied the flow.
    Conflict,
}

impl FlowDirectory {
    /// Returns whether a successor that takes the flow over would derive `binding` now and after
    /// the next baseline.
    ///
    /// The binding must also agree with the tables that the successor keeps for flows of hosts that
    /// are gone. An idle flow of such a host and a flow opened later could not be told apart;
    /// therefore the later one is copied.
    pub(crate) fn successor_derives(
        &self,
        successor: HostId,
        digest: FlowDigest,
        binding: FlowBinding,
    ) -> bool {
        let newest = self.tables.newest(binding.service);
        if newest.and_then(|table| table.place(digest)) != Some(binding) {
            return false;
        }
        let confirmed_tables = self.handover.confirmed_tables(successor, binding.service);
        let announced = self.baselines.current(successor, binding.service);
        let own = self.baseline(binding.service);
        let mut sets = [confirmed_tables, announced, Some(own.as_slice())]
            .into_iter()
            .flatten();
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
            // The newest table is skipped because evaluating a table with many members again is
            // expensive.
            let table = self.tables.find(service, *id);
            Some(*id) == newest || table.is_some_and(|table| table.place(digest) == place)
        })
    }

    /// Decides how to handle a flow without a record.
    ///
    /// An established flow must not be placed again while another host holds its record, or its
    /// frames would reach two upstreams. Therefore it is derived only if every host that may hold
    /// it has announced a baseline whose tables agree on this flow. Otherwise all hosts are
    /// queried.
    pub(crate) fn decide_miss(
        &self,
        now: Instant,
        digest: FlowDigest,
        service: ServiceId,
        intent: FlowIntent,
    ) -> MissDecision {
        let is_ambiguous = self
            .open_ambiguity_deadline
            .is_some_and(|deadline| now < deadline);
        if intent == FlowIntent::Open && !is_ambiguous {
            return MissDecision::PlaceNew;
        }
        let newest = self.tables.newest(service);
        let place = newest.and_then(|table| table.place(digest));
        let hosts = self.view.ranked_peers(digest);
        // Exceptions are copied only to the owner and its successor. A host that serves a frame
        // because views differ, or because it holds the lease, must query the others.
        let is_owner = self.view.owner(digest) == self.settings.host;
        let inherited = self.inherited_placement(digest, service);
        let is_derivable = inherited == InheritedPlacement::None
            || Some(inherited) == place.map(InheritedPlacement::At);
        let confirms_placement =
            |host: &HostId| self.confirms_placement(*host, digest, service, place);
        if hosts.is_empty() || is_owner && is_derivable && hosts.iter().all(confirms_placement) {
            return self.decide_without_query(intent, inherited, place);
        }
        // All hosts are queried, not only those without a matching baseline, because the holder
        // usually ranks first.
        MissDecision::Query(hosts)
    }

    /// Returns whether a host has announced tables that all place the flow at `place`.
    fn confirms_placement(
        &self,
        host: HostId,
        digest: FlowDigest,
        service: ServiceId,
        place: Option<FlowBinding>,
    ) -> bool {
        let baseline = self.baselines.current(host, service);
        baseline.is_some_and(|announced| self.tables_agree(service, announced, digest, place))
    }

    /// Returns the binding that this host derives for an established flow without a record on any
    /// host.
    ///
    /// An exception always has a record on a live host, so that a flow without any record follows a
    /// table. A host that has just started does not know yet which table. A host that knows of a
    /// table that places the flow elsewhere leaves the derivation to the hosts that keep that
    /// table.
    pub(crate) fn derive_without_record(
        &self,
        now: Instant,
        digest: FlowDigest,
        service: ServiceId,
    ) -> Option<FlowBinding> {
        match self.inherited_placement(digest, service) {
            InheritedPlacement::At(binding) => Some(binding),
            InheritedPlacement::Unknown | InheritedPlacement::Conflict => None,
            InheritedPlacement::None => {
                let join_period_over = self.join_deadline.is_some_and(|end| end <= now);
                let place = self.tables.newest(service)?.place(digest);
                let contradicts = |host: &HostId| {
                    let announced = self.baselines.current(*host, service);
                    announced.is_some_and(|announced| {
                        !self.tables_agree(service, announced, digest, place)
                    })
                };
                let is_certain = join_period_over && !self.view.reachable.iter().any(contradicts);
                place.filter(|_binding| is_certain)
            }
        }
    }

    fn decide_without_query(
        &self,
        intent: FlowIntent,
        inherited: InheritedPlacement,
        place: Option<FlowBinding>,
    ) -> MissDecision {
        match (intent, inherited) {
            (FlowIntent::Open, InheritedPlacement::At(binding)) if self.is_member(binding) => {
                MissDecision::Derive(binding)
            }
            (FlowIntent::Open, _) => MissDecision::PlaceNew,
            (FlowIntent::Established, InheritedPlacement::At(binding)) => {
                MissDecision::Derive(binding)
            }
            (
                FlowIntent::Established,
                InheritedPlacement::Unknown | InheritedPlacement::Conflict,
            ) => MissDecision::NotFound,
            (FlowIntent::Established, InheritedPlacement::None) => {
                place.map_or(MissDecision::NotFound, MissDecision::Derive)
            }
        }
    }

    /// Returns whether an upstream takes new flows.
    pub(crate) fn is_member(&self, binding: FlowBinding) -> bool {
        let table = self.tables.newest(binding.service);
        table.is_some_and(|table| {
            table.members().iter().any(|member| {
                member.upstream == binding.upstream && member.incarnation == binding.incarnation
            })
        })
    }

    /// Returns the binding of a flow according to the baselines of hosts from which this one took
    /// flows over, because they are gone or because this one joined.
    ///
    /// The oldest table of the oldest process decides. A flow that was opened after that process
    /// was gone, and placed elsewhere, was copied according to [`Self::successor_derives`].
    /// Therefore a flow without a copy is older.
    pub(crate) fn inherited_placement(
        &self,
        digest: FlowDigest,
        service: ServiceId,
    ) -> InheritedPlacement {
        let previous_owner = OwnerView::highest_ranked(digest, &self.previous_owners);
        let inherits = |previous: &&PreviousBaseline| {
            let is_ahead = self.view.is_ahead(digest, previous.host);
            match previous.end {
                BaselineEnd::HostGone => is_ahead || previous_owner == Some(previous.host),
                BaselineEnd::Replaced => !is_ahead && previous_owner == Some(previous.host),
            }
        };
        let mut inherited = self.baselines.previous(service).filter(inherits);
        let Some(oldest) = inherited.next() else {
            return InheritedPlacement::None;
        };
        let last = oldest.tables.last();
        let table = last.and_then(|id| self.tables.find(service, *id));
        let Some(binding) = table.and_then(|table| table.place(digest)) else {
            return InheritedPlacement::Unknown;
        };
        let agrees = |previous: &PreviousBaseline| {
            previous.knew_all_tables
                || self.tables_agree(service, &previous.tables, digest, Some(binding))
        };
        if inherited.all(agrees) {
            InheritedPlacement::At(binding)
        } else {
            InheritedPlacement::Conflict
        }
    }
}
