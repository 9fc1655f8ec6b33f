//! The flows of one host, and which upstream each flow of the ownership group is bound to.
//!
//! A flow on the upstream that its service's placement table gives needs no copy: the host that
//! takes it over derives the upstream from the previous owner's baseline, the list of tables that
//! the owner's flows follow. Only exceptions, flows on another upstream, are copied to the host
//! that would take them over. What remains uncertain is queried from the hosts that may hold the
//! flow.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::baseline_table::BaselineTable;
use crate::config_snapshot::ConfigSnapshot;
use crate::flow_binding::FlowBinding;
use crate::flow_derivation::MissDecision;
use crate::flow_handover::CopyUrgency;
use crate::flow_handover::FlowHandover;
use crate::flow_message::FlowMessage;
use crate::flow_message::FlowParties;
use crate::flow_query::FlowIntent;
use crate::flow_query::QueryTable;
use crate::flow_sweep::SweepState;
use crate::flow_table::FlowRecord;
use crate::flow_table::FlowTable;
use crate::ids::FlowDigest;
use crate::ids::Generation;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::owner_view::OwnerView;
use crate::placement_table::TableHistory;
use crate::placement_table::TableId;
use crate::upstream_addresses::UpstreamAddresses;
use crate::upstream_addresses::UpstreamReach;

/// Time after a change of owners in which a retransmitted `Open` may arrive that the previous owner
/// has answered. It covers the callers' retransmissions and the lag between hosts.
const OPEN_AMBIGUITY_PERIOD: Duration = Duration::from_secs(10);
/// Bytes per second for copies and baselines; a host has a few kilobytes per second for control
/// traffic.
const COPY_BYTES_PER_SECOND: u32 = 2_048;
/// Interval at which `Hello` is sent again to a host that has not replied.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);
/// Number of hosts queried first. The previous and the next owner are nearly always among them.
const FIRST_QUERIED_HOSTS: usize = 2;
/// Maximum load of one upstream, in percent of the mean number of a service's flows per upstream,
/// for flows opened on this host. A flow above it is placed on another upstream and becomes an
/// exception.
const MAX_LOAD_PERCENT: u64 = 105;
/// Flows allowed above the limit. With few flows, the percentage alone would make nearly every one
/// an exception.
const LOAD_SLACK_FLOWS: u64 = 4;

/// Settings of a flow directory.
#[derive(Clone, Debug)]
pub struct DirectorySettings {
    /// The host that owns the directory.
    pub host: HostId,
    /// Generation of the host's process; each start has a larger one.
    pub incarnation: Generation,
    /// Time after which an idle flow is removed.
    pub flow_idle: Duration,
    /// Maximum bytes per second for copies and baselines.
    pub copy_rate: u32,
    /// Maximum bytes of copies and baselines sent at once.
    pub copy_burst: u32,
}

impl DirectorySettings {
    /// Returns settings with the default limits for copies.
    pub fn new(host: HostId, incarnation: Generation, flow_idle: Duration) -> Self {
        Self {
            host,
            incarnation,
            flow_idle,
            copy_rate: COPY_BYTES_PER_SECOND,
            copy_burst: COPY_BYTES_PER_SECOND,
        }
    }
}

/// Result of looking a flow up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowLookup {
    /// The flow is bound to this upstream process.
    Found(FlowBinding),
    /// Other hosts are being queried; [`FlowCommand::Settled`] follows.
    Querying,
    /// The flow is not established, or no host knows its upstream.
    NotFound,
    /// Too many queries are open, or the queried hosts are silent. A later lookup may succeed.
    Undetermined,
}

/// A command of the directory to the host core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FlowCommand {
    /// Send a message to a peer.
    Tell {
        /// The receiver.
        host: HostId,
        /// The generations of the sending and receiving process.
        parties: FlowParties,
        /// The message.
        message: FlowMessage,
    },
    /// A query has ended.
    Settled {
        /// The flow.
        digest: FlowDigest,
        /// The result, never [`FlowLookup::Querying`].
        lookup: FlowLookup,
    },
}

/// The flows of one host and its state about the flows of other hosts.
pub struct FlowDirectory {
    pub(crate) settings: DirectorySettings,
    pub(crate) view: OwnerView,
    /// Flows that this host serves, or served until their owner changed.
    pub(crate) flows: FlowTable,
    /// Exceptions that other hosts have copied to this host.
    pub(crate) copies: FlowTable,
    pub(crate) tables: TableHistory,
    pub(crate) addresses: UpstreamAddresses,
    pub(crate) baselines: BaselineTable,
    pub(crate) handover: FlowHandover,
    pub(crate) sweep: SweepState,
    pub(crate) queries: QueryTable,
    /// Time until which an `Open` may be a retransmission that a previous owner has answered.
    pub(crate) open_ambiguity_deadline: Option<Instant>,
    pub(crate) renew_deadline: Option<Instant>,
    /// Reachable hosts that have answered `Hello`, and therefore know that this process has lost
    /// what they sent before.
    pub(crate) hello_acked: BTreeSet<HostId>,
    hello_deadline: Option<Instant>,
    /// Peers that have reported tables which they have not announced to this host yet.
    pub(crate) peers_with_pending_tables: BTreeSet<HostId>,
    /// Tables that peers follow and this host does not have.
    pub(crate) missing_tables: BTreeSet<(ServiceId, TableId)>,
    /// Hosts that owned this host's flows before it joined, in ascending order.
    pub(crate) previous_owners: Vec<HostId>,
    /// Time until which newly seen hosts count as previous owners.
    pub(crate) join_deadline: Option<Instant>,
    /// Time at which the last flow taken over by joining expires if no frame of it arrives.
    pub(crate) inherited_deadline: Option<Instant>,
}

impl FlowDirectory {
    /// Creates an empty directory.
    pub fn new(settings: DirectorySettings) -> Self {
        let handover = FlowHandover::new(settings.copy_rate, settings.copy_burst);
        Self {
            view: OwnerView {
                host: settings.host,
                ..OwnerView::default()
            },
            settings,
            flows: FlowTable::default(),
            copies: FlowTable::default(),
            tables: TableHistory::default(),
            addresses: UpstreamAddresses::default(),
            baselines: BaselineTable::default(),
            handover,
            sweep: SweepState::default(),
            queries: QueryTable::default(),
            open_ambiguity_deadline: None,
            renew_deadline: None,
            hello_acked: BTreeSet::new(),
            hello_deadline: None,
            peers_with_pending_tables: BTreeSet::new(),
            missing_tables: BTreeSet::new(),
            previous_owners: Vec::new(),
            join_deadline: None,
            inherited_deadline: None,
        }
    }

    /// Applies a configuration.
    pub fn configure(&mut self, config: &ConfigSnapshot) {
        if !self.tables.configure(config).is_empty() {
            self.sweep.restart();
        }
        self.addresses.configure(config);
    }

    /// Applies a view of the ownership group.
    pub fn set_view(&mut self, now: Instant, view: OwnerView, commands: &mut Vec<FlowCommand>) {
        if view == self.view {
            return;
        }
        let previous = std::mem::replace(&mut self.view, view);
        self.start_join_period(now);
        if previous.eligible != self.view.eligible {
            self.open_ambiguity_deadline = Some(now + OPEN_AMBIGUITY_PERIOD);
        }
        for host in &previous.reachable {
            if self.view.reachable.binary_search(host).is_err() {
                self.handle_peer_loss(now, *host, commands);
            }
        }
        self.hello_deadline = None;
        self.send_hellos(now, commands);
        self.sweep.restart();
    }

    /// Sends `Hello` to hosts that have not replied to it, which tells them that this process has
    /// lost what they sent before. Asks peers with unannounced tables for their current state.
    pub(crate) fn send_hellos(&mut self, now: Instant, commands: &mut Vec<FlowCommand>) {
        if self.hello_deadline.is_some_and(|deadline| now < deadline) {
            return;
        }
        self.hello_deadline = Some(now + HELLO_INTERVAL);
        for host in &self.view.reachable {
            if !self.hello_acked.contains(host) {
                self.send_message(*host, FlowMessage::Hello, commands);
            } else if self.peers_with_pending_tables.contains(host) {
                // An empty message is confirmed like any other, and the confirmation reports
                // whether tables are pending.
                let message = FlowMessage::Baselines {
                    sequence: 0,
                    tables: Vec::new(),
                };
                self.send_message(*host, message, commands);
            }
        }
        self.request_missing_tables(commands);
    }

    /// Records a host whose flows this host takes over by joining.
    ///
    /// Such a flow may be idle for an hour. Meanwhile the tables change, and its previous owner
    /// removes it because it was told that this host derives it. After that, only the baseline that
    /// the previous owner announced when this host joined determines the flow's upstream.
    pub(crate) fn record_previous_owner(&mut self, now: Instant, host: HostId) {
        let is_new = self.join_deadline.is_some_and(|end| now < end);
        if let Err(index) = self.previous_owners.binary_search(&host)
            && is_new
        {
            self.previous_owners.insert(index, host);
        }
    }

    fn start_join_period(&mut self, now: Instant) {
        self.join_deadline
            .get_or_insert(now + OPEN_AMBIGUITY_PERIOD);
        let inherited = self
            .inherited_deadline
            .get_or_insert(now + self.settings.flow_idle);
        if *inherited <= now {
            self.previous_owners.clear();
        }
    }

    /// Looks a flow up and extends its idle deadline. Opens a query if other hosts may hold the
    /// flow.
    pub fn lookup(
        &mut self,
        now: Instant,
        digest: FlowDigest,
        service: ServiceId,
        intent: FlowIntent,
        commands: &mut Vec<FlowCommand>,
    ) -> FlowLookup {
        if let Some(record) = self.touch_or_promote(now, digest) {
            return FlowLookup::Found(record.binding);
        }
        if self.queries.contains(digest) {
            return FlowLookup::Querying;
        }
        match self.decide_miss(now, digest, service, intent) {
            MissDecision::PlaceNew => self.place(now, digest, service),
            MissDecision::Derive(binding) => self.bind_flow(now, digest, binding),
            MissDecision::NotFound => FlowLookup::NotFound,
            MissDecision::Query(_hosts) if self.queries.is_full() => FlowLookup::Undetermined,
            MissDecision::Query(mut hosts) => {
                let fallback_hosts = hosts.split_off(hosts.len().min(FIRST_QUERIED_HOSTS));
                let fallback_hosts = match intent {
                    FlowIntent::Open => Vec::new(),
                    FlowIntent::Established => fallback_hosts,
                };
                self.queries
                    .open(now, digest, service, intent, &hosts, &fallback_hosts);
                self.send_query(digest, service, intent, &hosts, commands);
                FlowLookup::Querying
            }
        }
    }

    /// Returns this host's record of a flow, without a query or any change of state.
    pub fn peek(&self, now: Instant, digest: FlowDigest) -> Option<FlowRecord> {
        let own = self.flows.get(now, digest);
        own.or_else(|| self.copies.get(now, digest))
    }

    /// Returns whether a frame of an established flow would have to wait for replies of other
    /// hosts.
    pub fn needs_query(&self, now: Instant, digest: FlowDigest, service: ServiceId) -> bool {
        let intent = FlowIntent::Established;
        self.peek(now, digest).is_none()
            && matches!(
                self.decide_miss(now, digest, service, intent),
                MissDecision::Query(_)
            )
    }

    /// Removes a flow and returns its binding.
    pub fn close(&mut self, digest: FlowDigest) -> Option<FlowBinding> {
        let copy = self.copies.remove(digest);
        let record = self.flows.remove(digest).or(copy)?;
        Some(record.binding)
    }

    /// Returns the address to which frames of a binding's flows are sent.
    pub fn reach(&self, binding: FlowBinding) -> UpstreamReach {
        self.process_reach(binding.upstream, binding.incarnation)
    }

    /// Returns the address at which an upstream process is reached.
    pub fn process_reach(&self, upstream: UpstreamId, incarnation: Generation) -> UpstreamReach {
        self.addresses.reach(upstream, incarnation)
    }

    /// Returns the binding of a flow that this host has a record of, expired or not.
    pub fn binding(&self, digest: FlowDigest) -> Option<FlowBinding> {
        self.flows.binding(digest)
    }

    /// Returns the number of flows, without copies.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether there are no flows, apart from copies.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Returns the number of copies held for other hosts.
    pub fn copies(&self) -> usize {
        self.copies.len()
    }

    /// Returns whether every flow of this host can be taken over without contacting it.
    pub fn is_handed_over(&self) -> bool {
        let alone = self
            .view
            .eligible
            .iter()
            .all(|host| *host == self.view.host);
        let has_all_tables = self
            .view
            .reachable
            .iter()
            .all(|host| !self.peers_with_pending_tables.contains(host));
        alone || (self.sweep.is_clean() && self.handover.is_idle() && has_all_tables)
    }

    pub(crate) fn touch_or_promote(
        &mut self,
        now: Instant,
        digest: FlowDigest,
    ) -> Option<FlowRecord> {
        let deadline = now + self.settings.flow_idle;
        if let Some(record) = self.flows.touch(now, digest, deadline) {
            return Some(record);
        }
        let copy = self.copies.get(now, digest)?;
        self.copies.remove(digest);
        self.store_flow(now, digest, copy.binding);
        Some(copy)
    }

    /// Stores a flow of this host and queues a copy if its successor could not derive it.
    pub(crate) fn store_flow(&mut self, now: Instant, digest: FlowDigest, binding: FlowBinding) {
        let record = FlowRecord {
            binding,
            idle_deadline: now + self.settings.flow_idle,
        };
        self.flows.insert(now, digest, record);
        if let Some(successor) = self.view.successor(digest)
            && !self.successor_derives(successor, digest, binding)
        {
            self.handover
                .queue_copy(successor, digest, CopyUrgency::Urgent);
        }
    }

    /// Places a new flow by the table in force, or on another upstream if that one is above the
    /// load limit.
    pub(crate) fn place(
        &mut self,
        now: Instant,
        digest: FlowDigest,
        service: ServiceId,
    ) -> FlowLookup {
        let Some(table) = self.tables.newest(service) else {
            return FlowLookup::NotFound;
        };
        let members = table.members().len() as u64;
        let flows = u64::from(self.flows.service_flows(service)) + 1;
        let bound = (flows * MAX_LOAD_PERCENT).div_ceil(100 * members.max(1)) + LOAD_SLACK_FLOWS;
        let is_below_limit = |binding: FlowBinding| u64::from(self.flows.flows_on(binding)) < bound;
        let preferred = table.place(digest);
        let chosen = preferred
            .filter(|binding| is_below_limit(*binding))
            .or_else(|| {
                table.place_where(digest, |member| {
                    is_below_limit(FlowBinding {
                        service,
                        upstream: member.upstream,
                        incarnation: member.incarnation,
                    })
                })
            });
        match chosen.or(preferred) {
            Some(binding) => self.bind_flow(now, digest, binding),
            None => FlowLookup::NotFound,
        }
    }

    pub(crate) fn bind_flow(
        &mut self,
        now: Instant,
        digest: FlowDigest,
        binding: FlowBinding,
    ) -> FlowLookup {
        self.store_flow(now, digest, binding);
        FlowLookup::Found(binding)
    }

    /// Retains the baselines of a peer for the flows that it leaves behind.
    pub(crate) fn retire_baselines(&mut self, now: Instant, host: HostId) {
        let services: Vec<ServiceId> = self.tables.services().collect();
        let knew_all_tables: BTreeSet<ServiceId> = services
            .into_iter()
            .filter(|service| self.knows_all_tables(host, *service))
            .collect();
        let deadline = now + self.settings.flow_idle;
        self.baselines
            .retire_baselines(host, deadline, |service| knew_all_tables.contains(&service));
    }

    /// Returns whether a peer knows every table that flows held here may follow, because this host
    /// announced the table or because the peer follows it itself.
    fn knows_all_tables(&self, host: HostId, service: ServiceId) -> bool {
        let confirmed_tables = self
            .handover
            .confirmed_tables(host, service)
            .unwrap_or_default();
        let current = self.baselines.current(host, service).unwrap_or_default();
        let own = self.baseline(service);
        own.iter()
            .all(|id| confirmed_tables.contains(id) || current.contains(id))
    }

    /// Returns whether a peer lacks a table that flows held here may follow.
    pub(crate) fn has_unsent_tables(&self, host: HostId) -> bool {
        self.tables
            .services()
            .any(|service| !self.knows_all_tables(host, service))
    }

    /// Retains the baselines of an unreachable peer for the flows that it leaves behind, and stops
    /// waiting for its replies.
    fn handle_peer_loss(&mut self, now: Instant, host: HostId, commands: &mut Vec<FlowCommand>) {
        self.retire_baselines(now, host);
        self.handover.restart_peer(host);
        self.hello_acked.remove(&host);
        self.peers_with_pending_tables.remove(&host);
        for digest in self.queries.flows() {
            self.handle_denial(now, host, digest, commands);
        }
    }
}
