//! Computes which share of a contended service's new flows is spilled to other zones.
//!
//! Demand peaks at different times in different zones: slots are free in one while requests queue
//! in another. Every host of a zone computes the same shares from the same load digest.
//!
//! Shares depend on the demand of this zone's callers, and on the load that other zones would have
//! without it. Neither changes with the shares, so that the control loop does not oscillate
//! although reports are slow.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::flow_hash::rendezvous_weight;
use lagoonproxy::ids::ZoneName;

use crate::ids::ServiceIndex;
use crate::ids::ServiceName;
use crate::ids::ServiceTag;
use crate::load::load_state::REQUEST_LOAD;
use crate::load::load_tracker::AddressedDatagram;
use crate::load::zone_exchange::ZoneExchange;
use crate::load::zone_exchange::ZoneState;
use crate::load::zone_load::SpilledRequests;
use crate::load::zone_load::ZoneLoadEntry;
use crate::load::zone_load::ZoneLoadReport;
use crate::load::zone_load::ZoneServiceEntry;
use crate::load::zone_load::ZoneServiceLoad;
use crate::load::zone_load::slot_pressure_or_max;
use crate::packet_action::DecisionEvent;
use crate::peers::peer_datagram::PeerDatagram;
use crate::peers::peer_table::PeerTable;
use crate::upstreams::zone_evacuation::EvacuatedZones;

/// Share that stands for all new flows.
pub const FULL_SHARE: u32 = 1_000_000;

/// Units of [`FULL_SHARE`] per thousandth. Shares are computed in millionths, and configured and
/// reported in thousandths.
const PER_THOUSANDTH: u32 = FULL_SHARE / 1000;

/// Seed that makes the draw of spilled flows independent of other draws from the same flow hash.
const SPILL_SEED: u64 = 0x7a6f_6e65_7370_696c;

/// Bisection steps in the search for the common pressure. The result is exact to less than a
/// millionth of a request.
const BISECTION_STEPS: usize = 48;

/// Parameters of spilling to other zones. Shares are in thousandths of a service's new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneSpillConfig {
    /// Interval between reports to other zones.
    pub report_interval: Duration,
    /// Number of hosts of each other zone that get a report.
    pub receivers: usize,
    /// Interval at which shares change.
    pub step: Duration,
    /// Maximum increase per step of all shares of a service together.
    pub max_increase: u32,
    /// A share whose reason has ended is reduced by one part in this many per step.
    pub decay_divisor: u32,
    /// Minimum difference in pressure for a zone to be a target, in thousandths.
    pub spill_margin: u32,
    /// Requests in progress per slot, in thousandths, up to which a zone takes flows for which
    /// their own zone has no capacity. A short queue there is preferable to a refusal.
    pub overflow_pressure: u32,
    /// Added to the minimum difference for far zones.
    pub far_margin: u32,
    /// A zone is far if its delay exceeds one part in this many of the latency objective, or is
    /// unknown.
    pub far_divisor: u32,
    /// An existing share ends when the difference falls below one part in this many of the minimum.
    /// Between the two it does not rise, so that noise near the minimum does not move flows.
    pub hold_divisor: u32,
    /// All contended zones together use one part in this many of a target's free slots.
    pub free_slots_divisor: u32,
    /// Maximum sum of the shares of a service.
    pub max_total_share: u32,
    /// Shares do not change by less than this, except to stay within a limit.
    pub min_change: u32,
    /// A share that decays below this is set to zero.
    pub min_share: u32,
    /// Minimum change of a share that is reported as an event.
    pub min_event_change: u32,
    /// Maximum age of a report; older ones exclude their zone.
    pub max_report_age: Duration,
    /// Maximum requests in progress per slot that count as demand, in thousandths. Requests beyond
    /// it wait in queues here and would not wait in a zone with free slots; if they were counted,
    /// too few flows would be spilled.
    pub max_counted_demand: u32,
    /// Number of steps over which the limit for a target relaxes. The free slots jump when another
    /// zone starts or stops spilling to the target, and vary with the noise of load measurements.
    /// Limits tighten at once.
    pub limit_relax_steps: u32,
    /// Number of steps in the moving mean of the demand, which the current demand is compared with.
    pub demand_mean_steps: u32,
    /// Demand counts as falling if it is below its mean by this many thousandths. Shares do not
    /// rise while it falls: the limits for targets relax at that time, and flows would be spilled
    /// that can stay.
    pub falling_demand_threshold: u32,
}

impl Default for ZoneSpillConfig {
    fn default() -> Self {
        Self {
            report_interval: Duration::from_millis(500),
            receivers: 2,
            step: Duration::from_millis(250),
            max_increase: 50,
            decay_divisor: 5,
            spill_margin: 500,
            overflow_pressure: 2 * REQUEST_LOAD,
            far_margin: 500,
            far_divisor: 10,
            hold_divisor: 2,
            free_slots_divisor: 2,
            max_total_share: 500,
            min_change: 20,
            min_share: 5,
            min_event_change: 50,
            max_report_age: Duration::from_secs(2),
            max_counted_demand: 1300,
            limit_relax_steps: 8,
            demand_mean_steps: 8,
            falling_demand_threshold: 30,
        }
    }
}

/// Load of one service in the host's own zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LocalLoad {
    /// Index of the service.
    pub index: ServiceIndex,
    /// Name of the service.
    pub name: ServiceName,
    /// Tag of the service.
    pub tag: ServiceTag,
    /// Slots of its upstreams in this zone that take flows.
    pub slots: u32,
    /// Requests in progress there from callers of this zone, in thousandths.
    pub in_progress: u32,
    /// Requests in progress per slot, in thousandths; raised while upstreams shed.
    pub pressure: u32,
    /// Whether the service is contended in this zone.
    pub is_contended: bool,
    /// The shortest latency objective of its routes, if operators publish one.
    pub objective: Option<Duration>,
    /// Requests in progress in other zones from callers of this zone; zones without any are left
    /// out. Read only by the aggregator.
    pub sent: Vec<SpilledRequests>,
    /// The other zones with an upstream of the service that takes flows and responds.
    pub responding: Vec<ZoneName>,
}

/// Input of the spill computation besides the reports of other zones.
#[derive(Clone, Copy, Debug)]
pub struct SpillInput<'a> {
    /// Whether this host aggregates the load of its zone.
    pub is_aggregator: bool,
    /// The services that are contended in this zone or have flows spilled to other zones.
    pub services: &'a [LocalLoad],
    /// The evacuated zones.
    pub evacuated: &'a EvacuatedZones,
}

/// Share of a service's new flows that is spilled to one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneShare {
    /// The zone that the flows are spilled to.
    pub zone: ZoneName,
    /// The share, in parts of [`FULL_SHARE`].
    pub share: u32,
    /// The share reported by the last event, in thousandths.
    reported_share: u32,
    remote_pressure: u32,
}

/// Spill state of one service.
#[derive(Debug)]
struct ServiceSpill {
    /// Sorted by zone, so that all hosts draw alike. Their sum is at most `max_total_share`.
    shares: Vec<ZoneShare>,
    next_step: Instant,
    /// Zones with capacity for flows that this zone has none for, with the number of requests that
    /// they can accept, in parts of [`REQUEST_LOAD`]; always above 0.
    overflow_zones: Vec<(ZoneName, u32)>,
    demand_pressure: u32,
    /// Moving mean of the demand, in thousandths of a request; 0 before the first step.
    mean_demand: u32,
    /// Maximum number of requests that this zone may have in each target zone, in thousandths.
    limits: BTreeMap<ZoneName, f64>,
}

/// Another zone as a spill target of one service.
#[derive(Clone, Copy, Debug)]
struct SpillTarget<'a> {
    zone: &'a ZoneName,
    slots: f64,
    /// Requests in progress there that this zone has not sent, in thousandths.
    base_requests: f64,
    /// Maximum number of requests that this zone may have there, in thousandths.
    max_requests: f64,
    /// Pressure there without the requests that this zone has sent, in thousandths.
    pressure: u32,
    /// Whether the share of the zone may rise.
    may_increase: bool,
    /// Whether an existing share of the zone may stay; otherwise it decays.
    may_keep: bool,
}

/// Spill state of all services, and the load reports of other zones.
#[derive(Debug)]
pub struct ZoneSpill {
    zone: ZoneName,
    config: ZoneSpillConfig,
    exchange: ZoneExchange,
    services: BTreeMap<ServiceIndex, ServiceSpill>,
    /// When the next report is due; `None` while no service is contended.
    next_report: Option<Instant>,
}

impl ZoneSpill {
    /// Creates the state of a host in `zone` without any reports of other zones.
    pub fn new(zone: ZoneName, config: ZoneSpillConfig) -> Self {
        Self {
            exchange: ZoneExchange::new(zone.clone(), config.max_report_age),
            zone,
            config,
            services: BTreeMap::new(),
            next_report: None,
        }
    }

    /// Discards all reports and shares after a stall of this process, so that no flow is spilled.
    pub fn reset(&mut self) {
        *self = Self::new(self.zone.clone(), self.config);
    }

    /// Returns the zone that a new flow is spilled to, or `None` if it stays in its zone.
    pub fn target(&self, service: ServiceIndex, flow_hash: u64) -> Option<&ZoneName> {
        let spill = self.services.get(&service)?;
        let point = rendezvous_weight(flow_hash, SPILL_SEED) % u64::from(FULL_SHARE);
        let mut end = 0;
        let share = spill.shares.iter().find(|share| {
            end += u64::from(share.share);
            point < end
        });
        share.map(|share| &share.zone)
    }

    /// Draws a zone for a new flow that its own zone has no capacity for, weighted by free
    /// capacity. Returns `None` if no zone has any.
    pub fn overflow_target(&self, service: ServiceIndex, flow_hash: u64) -> Option<&ZoneName> {
        let overflow = &self.services.get(&service)?.overflow_zones;
        let sum: u64 = overflow
            .iter()
            .map(|(_zone, capacity)| u64::from(*capacity))
            .sum();
        let point = rendezvous_weight(flow_hash, SPILL_SEED).checked_rem(sum)?;
        let mut end = 0;
        let drawn = overflow.iter().find(|(_zone, capacity)| {
            end += u64::from(*capacity);
            point < end
        });
        drawn.map(|(zone, _capacity)| zone)
    }

    /// Returns the shares of a service by zone.
    pub fn shares(&self, service: ServiceIndex) -> &[ZoneShare] {
        let spill = self.services.get(&service);
        spill.map_or(&[], |spill| spill.shares.as_slice())
    }

    /// Returns the services with flows spilled to other zones.
    pub fn spilling_services(&self) -> impl Iterator<Item = ServiceIndex> {
        let spilling_services = self.services.iter();
        spilling_services
            .filter(|(_index, spill)| !spill.shares.is_empty())
            .map(|(index, _spill)| *index)
    }

    /// Returns the pressure that a service would have if none of its flows were spilled, in
    /// thousandths, or 0 if none is.
    pub fn demand_pressure(&self, service: ServiceIndex) -> u32 {
        let spill = self.services.get(&service);
        spill.map_or(0, |spill| spill.demand_pressure)
    }

    /// Updates the shares. Has to be called several times a second.
    pub fn tick(&mut self, now: Instant, input: SpillInput<'_>, events: &mut Vec<DecisionEvent>) {
        let rejected = self.exchange.tick(now);
        events.extend(
            rejected
                .into_iter()
                .map(|peer| DecisionEvent::LoadRejected { peer }),
        );
        let zones = match input.services {
            [] => Vec::new(),
            services => self.exchange.zones(
                now,
                input.is_aggregator,
                &requests_by_service(services.iter()),
            ),
        };
        for local in input.services {
            let config = self.config;
            let spill = self
                .services
                .entry(local.index)
                .or_insert_with(|| ServiceSpill {
                    shares: Vec::new(),
                    next_step: now,
                    overflow_zones: Vec::new(),
                    demand_pressure: 0,
                    mean_demand: 0,
                    limits: BTreeMap::new(),
                });
            spill.update(now, &config, local, &self.zone, &zones, input.evacuated);
            spill.overflow_zones =
                overflow_zones(&config, local, &self.zone, &zones, input.evacuated);
            spill.record_changes(&config, local, events);
        }
        self.services.retain(|index, spill| {
            let is_known = input.services.iter().any(|local| local.index == *index);
            is_known && !spill.is_idle()
        });
    }

    /// Returns the reports to be sent to other zones now. Sends none while no service is contended
    /// in this zone.
    pub fn due_datagrams(
        &mut self,
        now: Instant,
        input: SpillInput<'_>,
        peers: &PeerTable,
    ) -> Vec<AddressedDatagram> {
        let mut contended = input.services.iter().filter(|local| local.is_contended);
        if !input.is_aggregator || contended.next().is_none() {
            self.next_report = None;
            return Vec::new();
        }
        if self.next_report.is_some_and(|due| now < due) {
            return Vec::new();
        }
        self.next_report = Some(now + self.config.report_interval);
        let targets = peers.largest_remote(now, self.config.receivers);
        if targets.is_empty() {
            return Vec::new();
        }
        let report = ZoneLoadReport {
            zone: self.zone.clone(),
            sequence: self.exchange.start_query(now),
            wants_reply: true,
            services: input.services.iter().map(service_load).collect(),
        };
        vec![AddressedDatagram {
            datagram: PeerDatagram::ZoneLoad(report.truncated_to_fit()),
            targets,
        }]
    }

    /// Merges the report of another zone. Returns whether it requests a reply.
    pub fn handle_report(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        report: &ZoneLoadReport,
    ) -> bool {
        self.exchange.handle_report(now, from, report)
    }

    /// Returns the reply to the report of another zone, with the services that the report contains
    /// and those that are contended here.
    pub fn reply_to(&self, query: &ZoneLoadReport, services: &[LocalLoad]) -> ZoneLoadReport {
        let is_wanted = |local: &&LocalLoad| {
            let mut loads = query.services.iter();
            local.is_contended || loads.any(|load| load.service == local.tag)
        };
        let report = ZoneLoadReport {
            zone: self.zone.clone(),
            sequence: query.sequence,
            wants_reply: false,
            services: services
                .iter()
                .filter(is_wanted)
                .map(service_load)
                .collect(),
        };
        report.truncated_to_fit()
    }

    /// Returns what the digest of this host says about other zones. Services with the most pressure
    /// come first and are kept if there are too many.
    pub fn entries(&self, now: Instant, services: &[LocalLoad]) -> Vec<ZoneLoadEntry> {
        let mut services: Vec<&LocalLoad> = services.iter().collect();
        services.sort_by_key(|local| Reverse(local.pressure));
        self.exchange.entries(now, &requests_by_service(services))
    }

    /// Merges what a digest of this host's own zone says about other zones.
    pub fn handle_digest(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        sequence: u64,
        reporters: u32,
        entries: &[ZoneLoadEntry],
    ) {
        self.exchange
            .handle_digest(now, from, sequence, reporters, entries);
    }
}

impl ServiceSpill {
    /// Returns whether the service has no shares, limits or overflow zones.
    fn is_idle(&self) -> bool {
        self.shares.is_empty() && self.limits.is_empty() && self.overflow_zones.is_empty()
    }

    /// Updates the shares. Shares of excluded zones, and shares above their limit, are reduced at
    /// once; other changes are made in steps.
    fn update(
        &mut self,
        now: Instant,
        config: &ZoneSpillConfig,
        local: &LocalLoad,
        zone: &ZoneName,
        zones: &[ZoneState],
        evacuated: &EvacuatedZones,
    ) {
        let entry_of = |state: &ZoneState| {
            let mut services = state.services.iter();
            services.find(|entry| entry.service == local.tag).copied()
        };
        let inbound_requests = zones.iter().find(|state| state.zone == *zone);
        let inbound_requests = inbound_requests.and_then(entry_of);
        let inbound_requests = inbound_requests.map_or(0, |entry| entry.in_progress);
        let remote = zones.iter().filter(|state| state.zone != *zone);
        let remote: Vec<(&ZoneState, ZoneServiceEntry)> = remote
            .filter_map(|state| Some((state, entry_of(state)?)))
            .collect();
        let sent = remote.iter().map(|(_state, entry)| entry.sent);
        let sent = sent.fold(0, u32::saturating_add);
        let max_demand = local.slots.saturating_mul(config.max_counted_demand);
        let demand = local.in_progress.min(max_demand).saturating_add(sent);
        let in_progress = local
            .in_progress
            .saturating_add(sent)
            .saturating_add(inbound_requests);
        self.demand_pressure = match local.slots {
            0 => 0,
            slots => local.pressure.max(slot_pressure_or_max(in_progress, slots)),
        };
        let total = demand.saturating_add(inbound_requests);
        let is_usable = |(state, entry): &&(&ZoneState, ZoneServiceEntry)| {
            let is_evacuated = evacuated.contains_key(&state.zone) || evacuated.contains_key(zone);
            !is_evacuated && entry.slots > 0 && local.responding.contains(&state.zone)
        };
        let usable = remote.iter().filter(is_usable);
        let mut targets: Vec<SpillTarget<'_>> = usable
            .map(|(state, entry)| {
                let others = remote
                    .iter()
                    .filter(|(other, _entry)| other.zone != state.zone);
                let competing = others.filter(|(_other, other)| may_compete(other, entry));
                let zones = competing.count() as u32 + 1;
                spill_target(config, local, state, entry, self.demand_pressure, zones)
            })
            .collect();
        let is_step = now >= self.next_step;
        self.apply_limits(config, local, &mut targets, is_step);
        for share in &mut self.shares {
            match targets.iter().find(|target| *target.zone == share.zone) {
                Some(target) => {
                    share.share = share.share.min(share_of(target.max_requests, demand));
                    share.remote_pressure = target.pressure;
                }
                None => share.share = 0,
            }
        }
        if is_step {
            self.next_step = now + config.step;
            self.update_mean_demand(config, demand);
            self.step_shares(config, local, &targets, demand, total);
        }
    }

    /// Tightens the limits for targets at once, and relaxes them in steps.
    fn apply_limits(
        &mut self,
        config: &ZoneSpillConfig,
        local: &LocalLoad,
        targets: &mut [SpillTarget<'_>],
        is_step: bool,
    ) {
        self.limits.retain(|zone, _limit| {
            let mut targets = targets.iter();
            local.is_contended && targets.any(|target| target.zone == zone)
        });
        for target in targets.iter_mut().filter(|_target| local.is_contended) {
            let limit = self
                .limits
                .entry(target.zone.clone())
                .or_insert(target.max_requests);
            if target.max_requests < *limit {
                *limit = target.max_requests;
            } else if is_step {
                *limit +=
                    (target.max_requests - *limit) / f64::from(config.limit_relax_steps.max(1));
            }
            target.max_requests = *limit;
        }
    }

    fn update_mean_demand(&mut self, config: &ZoneSpillConfig, demand: u32) {
        if self.mean_demand == 0 {
            self.mean_demand = demand;
            return;
        }
        let steps = u64::from(config.demand_mean_steps.max(1));
        let sum = u64::from(self.mean_demand) * (steps - 1) + u64::from(demand);
        self.mean_demand = (sum / steps) as u32;
    }

    /// Moves the shares one step towards those that equalize the pressure.
    fn step_shares(
        &mut self,
        config: &ZoneSpillConfig,
        local: &LocalLoad,
        targets: &[SpillTarget<'_>],
        demand: u32,
        total: u32,
    ) {
        let is_eligible = |target: &&SpillTarget<'_>| {
            let mut shares = self.shares.iter();
            let has_share = shares.any(|share| share.zone == *target.zone && share.share > 0);
            target.may_increase || (target.may_keep && has_share)
        };
        let may_spill = local.slots > 0 && local.is_contended;
        let targets = targets.iter().filter(|_target| may_spill);
        let targets: Vec<SpillTarget<'_>> = targets.filter(is_eligible).copied().collect();
        let balanced = balanced_shares(config, &targets, demand, total, local.slots);
        for share in &mut self.shares {
            let target_share = balanced.iter().find(|(zone, _share)| **zone == share.zone);
            let target_share = target_share.map_or(0, |(_zone, share)| *share);
            if target_share + config.min_change * PER_THOUSANDTH < share.share || target_share == 0
            {
                share.share = (share.share - share.share / config.decay_divisor).max(target_share);
            }
            if share.share < config.min_share * PER_THOUSANDTH {
                share.share = 0;
            }
        }
        let min_demand = u64::from(self.mean_demand)
            * u64::from(1000u32.saturating_sub(config.falling_demand_threshold))
            / 1000;
        let is_falling = u64::from(demand) < min_demand;
        let mut increases = Vec::new();
        for (target, (zone, target_share)) in targets.iter().zip(balanced) {
            let current = self.shares.iter().find(|share| share.zone == *zone);
            let increase = target_share.saturating_sub(current.map_or(0, |share| share.share));
            let min_increase = config.min_change * PER_THOUSANDTH;
            if target.may_increase && !is_falling && increase > min_increase {
                // Stops short of the limit, so that noise in the limit does not cut the share at
                // once.
                increases.push((target, increase - min_increase / 2));
            }
        }
        let current_sum: u32 = self.shares.iter().map(|share| share.share).sum();
        let remaining = (config.max_total_share * PER_THOUSANDTH).saturating_sub(current_sum);
        let max_sum = remaining.min(config.max_increase * PER_THOUSANDTH);
        let sum: u32 = increases.iter().map(|(_target, increase)| *increase).sum();
        for (target, increase) in increases {
            let increment = u64::from(increase) * u64::from(max_sum.min(sum)) / u64::from(sum);
            self.share_mut(target).share += increment as u32;
        }
    }

    /// Returns the share of a zone, adding it if there is none.
    fn share_mut(&mut self, target: &SpillTarget<'_>) -> &mut ZoneShare {
        let position = self
            .shares
            .binary_search_by(|share| share.zone.cmp(target.zone));
        let position = position.unwrap_or_else(|position| {
            let share = ZoneShare {
                zone: target.zone.clone(),
                share: 0,
                reported_share: 0,
                remote_pressure: target.pressure,
            };
            self.shares.insert(position, share);
            position
        });
        &mut self.shares[position]
    }

    /// Emits an event for each share that has changed by at least `min_event_change` or has ended,
    /// and removes the shares that are zero.
    fn record_changes(
        &mut self,
        config: &ZoneSpillConfig,
        local: &LocalLoad,
        events: &mut Vec<DecisionEvent>,
    ) {
        for share in &mut self.shares {
            let thousandths = share.share / PER_THOUSANDTH;
            let has_ended = share.share == 0 && share.reported_share > 0;
            if !has_ended && thousandths.abs_diff(share.reported_share) < config.min_event_change {
                continue;
            }
            share.reported_share = thousandths;
            events.push(DecisionEvent::Spill {
                service: local.name.clone(),
                zone: share.zone.clone(),
                share: thousandths,
                local_pressure: local.pressure,
                remote_pressure: share.remote_pressure,
            });
        }
        self.shares.retain(|share| share.share > 0);
    }
}

/// Returns whether a contended zone may spill to the target or still does: its demand exceeds that
/// of the target's own callers. Counting other contended zones would leave a part of the target's
/// free slots unused.
fn may_compete(other: &ZoneServiceEntry, target: &ZoneServiceEntry) -> bool {
    let demand = other.in_progress.saturating_add(other.away);
    let pressure = other
        .pressure
        .max(slot_pressure_or_max(demand, other.slots));
    other.is_contended && pressure >= target.pressure
}

fn spill_target<'a>(
    config: &ZoneSpillConfig,
    local: &LocalLoad,
    state: &'a ZoneState,
    entry: &ZoneServiceEntry,
    local_pressure: u32,
    sending_zones: u32,
) -> SpillTarget<'a> {
    let base_requests = entry.in_progress.saturating_sub(entry.sent);
    let pressure = entry
        .pressure
        .max(slot_pressure_or_max(base_requests, entry.slots));
    let is_far = local.objective.is_some_and(|objective| {
        let max_delay = objective / config.far_divisor;
        state.delay.is_none_or(|delay| delay > max_delay)
    });
    let added_margin = if is_far { config.far_margin } else { 0 };
    let margin = config.spill_margin.saturating_add(added_margin);
    let difference = local_pressure.saturating_sub(pressure);
    let slots = f64::from(entry.slots);
    let free_capacity = slots * f64::from(REQUEST_LOAD) - f64::from(base_requests);
    SpillTarget {
        zone: &state.zone,
        slots,
        base_requests: f64::from(base_requests),
        max_requests: free_capacity.max(0.0)
            / f64::from(config.free_slots_divisor)
            / f64::from(sending_zones),
        pressure,
        may_increase: difference >= margin,
        may_keep: difference >= margin / config.hold_divisor,
    }
}

/// Returns the share of each target, in the order of `targets`, at which this zone and the targets
/// have the same pressure, as far as the limits allow.
fn balanced_shares<'a>(
    config: &ZoneSpillConfig,
    targets: &[SpillTarget<'a>],
    demand: u32,
    total: u32,
    slots: u32,
) -> Vec<(&'a ZoneName, u32)> {
    let (slots, total) = (f64::from(slots), f64::from(total));
    let moved = |target: &SpillTarget<'_>, level: f64| {
        (target.slots * level - target.base_requests).clamp(0.0, target.max_requests)
    };
    let (mut low, mut high) = (0.0, if slots > 0.0 { total / slots } else { 0.0 });
    for _step in 0..BISECTION_STEPS {
        let level = (low + high) / 2.0;
        let placed: f64 = targets.iter().map(|target| moved(target, level)).sum();
        if slots * level + placed < total {
            low = level;
        } else {
            high = level;
        }
    }
    let shares = targets
        .iter()
        .map(|target| (target.zone, share_of(moved(target, low), demand)));
    let shares: Vec<(&ZoneName, u32)> = shares.collect();
    let sum: u64 = shares.iter().map(|(_zone, share)| u64::from(*share)).sum();
    let max_sum = u64::from(config.max_total_share * PER_THOUSANDTH);
    let scaled_down = |share: u32| match sum > max_sum {
        true => (u64::from(share) * max_sum / sum) as u32,
        false => share,
    };
    let shares = shares.into_iter();
    shares
        .map(|(zone, share)| (zone, scaled_down(share)))
        .collect()
}

/// Returns `requests`, in thousandths, as a share of the demand; [`FULL_SHARE`] if there is no
/// demand.
fn share_of(requests: f64, demand: u32) -> u32 {
    if demand == 0 {
        return FULL_SHARE;
    }
    let share = requests / f64::from(demand) * f64::from(FULL_SHARE);
    share.clamp(0.0, f64::from(FULL_SHARE)) as u32
}

/// Returns the other zones with capacity for flows of a service that this zone has none for.
fn overflow_zones(
    config: &ZoneSpillConfig,
    local: &LocalLoad,
    own_zone: &ZoneName,
    zones: &[ZoneState],
    evacuated: &EvacuatedZones,
) -> Vec<(ZoneName, u32)> {
    let usable = zones.iter().filter(|state| {
        let responds = local.responding.contains(&state.zone);
        state.zone != *own_zone && responds && !evacuated.contains_key(&state.zone)
    });
    let overflow = usable.filter_map(|state| {
        let mut services = state.services.iter();
        let entry = services.find(|entry| entry.service == local.tag)?;
        let max_requests = entry.slots.saturating_mul(config.overflow_pressure);
        let free_requests = max_requests.saturating_sub(entry.in_progress);
        let has_capacity = free_requests > 0 && entry.pressure < config.overflow_pressure;
        has_capacity.then(|| (state.zone.clone(), free_requests))
    });
    overflow.collect()
}

fn service_load(local: &LocalLoad) -> ZoneServiceLoad {
    ZoneServiceLoad {
        service: local.tag,
        slots: local.slots,
        in_progress: local.in_progress,
        pressure: local.pressure,
        is_contended: local.is_contended,
        visits: local.sent.clone(),
    }
}

fn requests_by_service<'a>(
    services: impl IntoIterator<Item = &'a LocalLoad>,
) -> Vec<(ServiceTag, &'a [SpilledRequests])> {
    let sent = services.into_iter();
    sent.map(|local| (local.tag, local.sent.as_slice()))
        .collect()
}
