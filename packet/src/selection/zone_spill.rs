//! Which share of a contended service's new flows leaves its zone, and where to.
//!
//! Load pattern: demand peaks at different times in different zones, so that slots are free in one while requests
//! queue in another. Every host of a zone computes the same shares from the same digest. The shares follow from
//! what the zone's callers demand and from the load that other zones would have without it: neither
//! changes with the shares, so that the loop over slow reports does not oscillate.

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
use crate::load::load_view::AddressedDatagram;
use crate::load::service_room::REQUEST_LOAD;
use crate::load::zone_exchange::ZoneExchange;
use crate::load::zone_exchange::ZoneState;
use crate::load::zone_load::ZoneLoadEntry;
use crate::load::zone_load::ZoneLoadReport;
use crate::load::zone_load::ZoneServiceEntry;
use crate::load::zone_load::ZoneServiceLoad;
use crate::load::zone_load::ZoneVisit;
use crate::load::zone_load::pressure_of;
use crate::packet_action::DecisionEvent;
use crate::peers::peer_datagram::PeerDatagram;
use crate::peers::peer_table::PeerTable;
use crate::upstreams::zone_evacuation::EvacuatedZones;

/// All new flows, in the unit of shares.
pub const WHOLE_SHARE: u32 = 1_000_000;

/// Shares are computed in millionths and configured and reported in thousandths.
const MILLIONTHS: u32 = WHOLE_SHARE / 1000;

/// Separates the draw of flows that leave from the other draws of the same flow hash.
const SPILL_SEED: u64 = 0x7a6f_6e65_7370_696c;

/// Halvings in the search for the common pressure; the result is then exact to less than a millionth of a request.
const LEVEL_STEPS: usize = 48;

/// Parameters of spill to other zones. Shares are in thousandths of the new flows of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneSpillConfig {
    /// Interval of reports to other zones.
    pub report_interval: Duration,
    /// Hosts of each other zone that get a report.
    pub receivers: usize,
    /// Interval at which shares change.
    pub step: Duration,
    /// Most by which the shares of a service rise together in a step.
    pub most_rise: u32,
    /// The part of a share that ends in a step once its reason has ended is one in this many.
    pub decay_divisor: u32,
    /// Least difference of pressure, in thousandths, from which a zone is a target.
    pub spill_margin: u32,
    /// Requests in progress for each slot, in thousandths, up to which a zone takes flows that find no room in theirs. A
    /// short queue there is better for them than a refusal.
    pub overflow_pressure: u32,
    /// Increase of that difference for zones that are far.
    pub far_margin: u32,
    /// A zone is far if the delay exceeds one part in this many of the latency objective, or is not known.
    pub far_divisor: u32,
    /// A share that stands ends when the difference is below one part in this many of the least one. Between
    /// the two it does not rise, so that noise around the least difference does not move flows.
    pub end_divisor: u32,
    /// All contended zones together take one part in this many of a target's free slots.
    pub room_divisor: u32,
    /// Most of the shares of a service together.
    pub most_share: u32,
    /// Changes of a share by less are not made unless they are enforced.
    pub least_change: u32,
    /// A share that decays below this is zero.
    pub least_share: u32,
    /// Change of a share from which it is reported as an event.
    pub event_change: u32,
    /// Age above which a report excludes its zone.
    pub report_age: Duration,
    /// Requests in progress for each slot, in thousandths, that count as demand. Those beyond wait in queues here
    /// and would not in a zone with free slots, so that counting them would let too few flows leave.
    pub most_demand: u32,
    /// Steps over which a limit of a target's slots loosens: it jumps when another zone begins or ends to
    /// send flows there, and with the noise of loads. It tightens at once.
    pub limit_steps: u32,
    /// Steps over which the demand is averaged that the present one is compared with.
    pub demand_steps: u32,
    /// Thousandths by which demand is below that average from which it counts as falling. Shares do not rise then:
    /// the limits of targets loosen while a wave falls, and flows would leave that could as well stay.
    pub falling_demand: u32,
}

impl Default for ZoneSpillConfig {
    fn default() -> Self {
        Self {
            report_interval: Duration::from_millis(500),
            receivers: 2,
            step: Duration::from_millis(250),
            most_rise: 50,
            decay_divisor: 5,
            spill_margin: 500,
            overflow_pressure: 2 * REQUEST_LOAD,
            far_margin: 500,
            far_divisor: 10,
            end_divisor: 2,
            room_divisor: 2,
            most_share: 500,
            least_change: 20,
            least_share: 5,
            event_change: 50,
            report_age: Duration::from_secs(2),
            most_demand: 1300,
            limit_steps: 8,
            demand_steps: 8,
            falling_demand: 30,
        }
    }
}

/// The load of one service in the host's own zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LocalLoad {
    /// Place of the service.
    pub index: ServiceIndex,
    /// Its name.
    pub name: ServiceName,
    /// Its short form.
    pub tag: ServiceTag,
    /// Slots of its upstreams in the zone that take flows.
    pub slots: u32,
    /// Requests of the zone's callers in progress there, in thousandths.
    pub in_progress: u32,
    /// Requests in progress for each slot, in thousandths, raised while upstreams shed.
    pub pressure: u32,
    /// Whether it is contended here.
    pub is_contended: bool,
    /// The shortest latency objective of its routes, if operators publish one.
    pub objective: Option<Duration>,
    /// What the zone's callers have in progress in other zones; none of zero. Read on the aggregator only.
    pub sent: Vec<ZoneVisit>,
    /// The other zones that have an upstream of it that takes flows and responds.
    pub responding: Vec<ZoneName>,
}

/// What the shares are decided from, beside the reports of other zones.
#[derive(Clone, Copy, Debug)]
pub struct SpillInput<'a> {
    /// Whether this host aggregates the load of its zone.
    pub is_aggregator: bool,
    /// The services that are contended here, and those of which flows leave.
    pub services: &'a [LocalLoad],
    /// The evacuated zones.
    pub evacuated: &'a EvacuatedZones,
}

/// The share of a service's new flows that leaves for one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneShare {
    /// The zone.
    pub zone: ZoneName,
    /// In parts of [`WHOLE_SHARE`].
    pub share: u32,
    /// Thousandths, as the last event said.
    reported: u32,
    remote_pressure: u32,
}

/// What leaves of one service.
#[derive(Debug)]
struct ServiceSpill {
    /// Ordered by zone, so that every host draws alike. The sum of shares is at most that of the parameters.
    shares: Vec<ZoneShare>,
    next_step: Instant,
    /// Zones with room for flows that find none here, and how many requests they have room for, in parts of
    /// [`REQUEST_LOAD`]; none is 0.
    open_zones: Vec<(ZoneName, u32)>,
    demand_pressure: u32,
    /// Moving mean of the demand, in thousandths of a request; 0 before the first step.
    mean_demand: u32,
    /// By target, the most requests that this zone may have there, in thousandths.
    limits: BTreeMap<ZoneName, f64>,
}

/// Another zone as a target of one service.
#[derive(Clone, Copy, Debug)]
struct SpillTarget<'a> {
    zone: &'a ZoneName,
    slots: f64,
    /// Requests there that this zone has not sent.
    base: f64,
    /// Most requests that this zone may have there.
    most: f64,
    /// Pressure there, without what this zone has sent.
    pressure: u32,
    /// Whether its share may rise.
    may_rise: bool,
    /// Whether its share may stand; if not, it decays.
    may_stand: bool,
}

/// What is known of other zones, and what leaves for them.
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
    /// A host of `zone` that knows nothing of others.
    pub fn new(zone: ZoneName, config: ZoneSpillConfig) -> Self {
        Self {
            exchange: ZoneExchange::new(zone.clone(), config.report_age),
            zone,
            config,
            services: BTreeMap::new(),
            next_report: None,
        }
    }

    /// Discards what was heard before a stall of this process, and lets no flow leave.
    pub fn reset(&mut self) {
        *self = Self::new(self.zone.clone(), self.config);
    }

    /// The zone that a new flow leaves for; `None` if it stays.
    pub fn target(&self, service: ServiceIndex, flow_hash: u64) -> Option<&ZoneName> {
        let spill = self.services.get(&service)?;
        let point = rendezvous_weight(flow_hash, SPILL_SEED) % u64::from(WHOLE_SHARE);
        let mut end = 0;
        let share = spill.shares.iter().find(|share| {
            end += u64::from(share.share);
            point < end
        });
        share.map(|share| &share.zone)
    }

    /// The zone for a new flow that finds no room in its own, drawn by the room of other zones; `None` if none has any.
    pub fn overflow_target(&self, service: ServiceIndex, flow_hash: u64) -> Option<&ZoneName> {
        let open = &self.services.get(&service)?.open_zones;
        let sum: u64 = open.iter().map(|(_zone, free)| u64::from(*free)).sum();
        let point = rendezvous_weight(flow_hash, SPILL_SEED).checked_rem(sum)?;
        let mut end = 0;
        let drawn = open.iter().find(|(_zone, free)| {
            end += u64::from(*free);
            point < end
        });
        drawn.map(|(zone, _free)| zone)
    }

    /// The shares of a service that leave, by zone.
    pub fn shares(&self, service: ServiceIndex) -> &[ZoneShare] {
        let spill = self.services.get(&service);
        spill.map_or(&[], |spill| spill.shares.as_slice())
    }

    /// The services of which flows leave.
    pub fn spilling(&self) -> impl Iterator<Item = ServiceIndex> {
        let spilling = self.services.iter();
        spilling
            .filter(|(_index, spill)| !spill.shares.is_empty())
            .map(|(index, _spill)| *index)
    }

    /// Pressure that a service would have if none of its flows left, in thousandths; 0 if none leaves.
    pub fn demand_pressure(&self, service: ServiceIndex) -> u32 {
        let spill = self.services.get(&service);
        spill.map_or(0, |spill| spill.demand_pressure)
    }

    /// Updates the shares that leave. To be called several times a second.
    pub fn tick(&mut self, now: Instant, input: SpillInput<'_>, events: &mut Vec<DecisionEvent>) {
        let rejected = self.exchange.tick(now);
        events.extend(
            rejected
                .into_iter()
                .map(|peer| DecisionEvent::LoadRejected { peer }),
        );
        let zones = match input.services {
            [] => Vec::new(),
            services => {
                self.exchange
                    .zones(now, input.is_aggregator, &sent_requests(services.iter()))
            }
        };
        for local in input.services {
            let config = self.config;
            let spill = self
                .services
                .entry(local.index)
                .or_insert_with(|| ServiceSpill {
                    shares: Vec::new(),
                    next_step: now,
                    open_zones: Vec::new(),
                    demand_pressure: 0,
                    mean_demand: 0,
                    limits: BTreeMap::new(),
                });
            spill.update(now, &config, local, &self.zone, &zones, input.evacuated);
            spill.open_zones = open_zones(&config, local, &self.zone, &zones, input.evacuated);
            spill.record(&config, local, events);
        }
        self.services.retain(|index, spill| {
            let is_known = input.services.iter().any(|local| local.index == *index);
            is_known && !spill.is_idle()
        });
    }

    /// The reports to send to other zones now; none while no service is contended here.
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
            sequence: self.exchange.ask(now),
            wants_reply: true,
            services: input.services.iter().map(service_load).collect(),
        };
        vec![AddressedDatagram {
            datagram: PeerDatagram::ZoneLoad(report.fitted()),
            targets,
        }]
    }

    /// Merges another zone's report; true if it asks for this zone's.
    pub fn heard(&mut self, now: Instant, from: SocketAddrV4, report: &ZoneLoadReport) -> bool {
        self.exchange.heard(now, from, report)
    }

    /// The reply to another zone's report, with the services that it asks about and those contended here.
    pub fn reply(&self, asked: &ZoneLoadReport, services: &[LocalLoad]) -> ZoneLoadReport {
        let is_asked = |local: &&LocalLoad| {
            let mut loads = asked.services.iter();
            local.is_contended || loads.any(|load| load.service == local.tag)
        };
        let report = ZoneLoadReport {
            zone: self.zone.clone(),
            sequence: asked.sequence,
            wants_reply: false,
            services: services.iter().filter(is_asked).map(service_load).collect(),
        };
        report.fitted()
    }

    /// What a digest of this host contains about other zones, of the services with the most pressure if there are many.
    pub fn entries(&self, now: Instant, services: &[LocalLoad]) -> Vec<ZoneLoadEntry> {
        let mut services: Vec<&LocalLoad> = services.iter().collect();
        services.sort_by_key(|local| Reverse(local.pressure));
        self.exchange.entries(now, &sent_requests(services))
    }

    /// Merges what a digest of the own zone contains about others.
    pub fn heard_digest(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        sequence: u64,
        reporters: u32,
        entries: &[ZoneLoadEntry],
    ) {
        self.exchange
            .heard_digest(now, from, sequence, reporters, entries);
    }
}

impl ServiceSpill {
    /// Whether nothing leaves and nothing is remembered.
    fn is_idle(&self) -> bool {
        self.shares.is_empty() && self.limits.is_empty() && self.open_zones.is_empty()
    }

    /// Updates the shares. What is excluded or exceeds its limit ends at once; all else changes by steps.
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
        let visits = zones.iter().find(|state| state.zone == *zone);
        let visits = visits.and_then(entry_of);
        let visits = visits.map_or(0, |entry| entry.in_progress);
        let remote = zones.iter().filter(|state| state.zone != *zone);
        let remote: Vec<(&ZoneState, ZoneServiceEntry)> = remote
            .filter_map(|state| Some((state, entry_of(state)?)))
            .collect();
        let sent = remote.iter().map(|(_state, entry)| entry.sent);
        let sent = sent.fold(0, u32::saturating_add);
        let most = local.slots.saturating_mul(config.most_demand);
        let demand = local.in_progress.min(most).saturating_add(sent);
        let in_progress = local
            .in_progress
            .saturating_add(sent)
            .saturating_add(visits);
        self.demand_pressure = match local.slots {
            0 => 0,
            slots => local.pressure.max(pressure_of(in_progress, slots)),
        };
        let total = demand.saturating_add(visits);
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
        self.limit(config, local, &mut targets, is_step);
        for share in &mut self.shares {
            match targets.iter().find(|target| *target.zone == share.zone) {
                Some(target) => {
                    share.share = share.share.min(share_of(target.most, demand));
                    share.remote_pressure = target.pressure;
                }
                None => share.share = 0,
            }
        }
        if is_step {
            self.next_step = now + config.step;
            self.average_demand(config, demand);
            self.step(config, local, &targets, demand, total);
        }
    }

    /// Tightens the limits of targets at once, and loosens them by steps.
    fn limit(
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
                .or_insert(target.most);
            if target.most < *limit {
                *limit = target.most;
            } else if is_step {
                *limit += (target.most - *limit) / f64::from(config.limit_steps.max(1));
            }
            target.most = *limit;
        }
    }

    fn average_demand(&mut self, config: &ZoneSpillConfig, demand: u32) {
        if self.mean_demand == 0 {
            self.mean_demand = demand;
            return;
        }
        let steps = u64::from(config.demand_steps.max(1));
        let sum = u64::from(self.mean_demand) * (steps - 1) + u64::from(demand);
        self.mean_demand = (sum / steps) as u32;
    }

    /// Moves the shares by one step towards those that even out the pressure.
    fn step(
        &mut self,
        config: &ZoneSpillConfig,
        local: &LocalLoad,
        targets: &[SpillTarget<'_>],
        demand: u32,
        total: u32,
    ) {
        let is_held = |target: &&SpillTarget<'_>| {
            let mut shares = self.shares.iter();
            let stands = shares.any(|share| share.zone == *target.zone && share.share > 0);
            target.may_rise || (target.may_stand && stands)
        };
        let has_room = local.slots > 0 && local.is_contended;
        let targets = targets.iter().filter(|_target| has_room);
        let targets: Vec<SpillTarget<'_>> = targets.filter(is_held).copied().collect();
        let wanted = wanted_shares(config, &targets, demand, total, local.slots);
        for share in &mut self.shares {
            let wanted = wanted.iter().find(|(zone, _share)| **zone == share.zone);
            let wanted = wanted.map_or(0, |(_zone, share)| *share);
            if wanted + config.least_change * MILLIONTHS < share.share || wanted == 0 {
                share.share = (share.share - share.share / config.decay_divisor).max(wanted);
            }
            if share.share < config.least_share * MILLIONTHS {
                share.share = 0;
            }
        }
        let least = u64::from(self.mean_demand)
            * u64::from(1000u32.saturating_sub(config.falling_demand))
            / 1000;
        let is_falling = u64::from(demand) < least;
        let mut rises = Vec::new();
        for (target, (zone, wanted)) in targets.iter().zip(wanted) {
            let held = self.shares.iter().find(|share| share.zone == *zone);
            let rise = wanted.saturating_sub(held.map_or(0, |share| share.share));
            let least = config.least_change * MILLIONTHS;
            if target.may_rise && !is_falling && rise > least {
                // Ends short of the limit, so that noise of the limit does not cut the share at once.
                rises.push((target, rise - least / 2));
            }
        }
        let stands: u32 = self.shares.iter().map(|share| share.share).sum();
        let room = (config.most_share * MILLIONTHS).saturating_sub(stands);
        let most = room.min(config.most_rise * MILLIONTHS);
        let sum: u32 = rises.iter().map(|(_target, rise)| *rise).sum();
        for (target, rise) in rises {
            let part = u64::from(rise) * u64::from(most.min(sum)) / u64::from(sum);
            self.share_mut(target).share += part as u32;
        }
    }

    /// The share of a zone, which is added if there is none.
    fn share_mut(&mut self, target: &SpillTarget<'_>) -> &mut ZoneShare {
        let place = self
            .shares
            .binary_search_by(|share| share.zone.cmp(target.zone));
        let place = place.unwrap_or_else(|place| {
            let share = ZoneShare {
                zone: target.zone.clone(),
                share: 0,
                reported: 0,
                remote_pressure: target.pressure,
            };
            self.shares.insert(place, share);
            place
        });
        &mut self.shares[place]
    }

    /// Records shares that have changed by enough, and removes those that are zero.
    fn record(
        &mut self,
        config: &ZoneSpillConfig,
        local: &LocalLoad,
        events: &mut Vec<DecisionEvent>,
    ) {
        for share in &mut self.shares {
            let thousandths = share.share / MILLIONTHS;
            let has_ended = share.share == 0 && share.reported > 0;
            if !has_ended && thousandths.abs_diff(share.reported) < config.event_change {
                continue;
            }
            share.reported = thousandths;
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

/// Whether a contended zone may send flows to the target, or still does: its demand exceeds that of the target's own
/// callers. Other contended zones do not divide the target's free slots, which would stay unused.
fn may_compete(other: &ZoneServiceEntry, target: &ZoneServiceEntry) -> bool {
    let demand = other.in_progress.saturating_add(other.away);
    let pressure = other.pressure.max(pressure_of(demand, other.slots));
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
    let base = entry.in_progress.saturating_sub(entry.sent);
    let pressure = entry.pressure.max(pressure_of(base, entry.slots));
    let is_far = local.objective.is_some_and(|objective| {
        let most = objective / config.far_divisor;
        state.delay.is_none_or(|delay| delay > most)
    });
    let far = if is_far { config.far_margin } else { 0 };
    let margin = config.spill_margin.saturating_add(far);
    let difference = local_pressure.saturating_sub(pressure);
    let slots = f64::from(entry.slots);
    let free = slots * f64::from(REQUEST_LOAD) - f64::from(base);
    SpillTarget {
        zone: &state.zone,
        slots,
        base: f64::from(base),
        most: free.max(0.0) / f64::from(config.room_divisor) / f64::from(sending_zones),
        pressure,
        may_rise: difference >= margin,
        may_stand: difference >= margin / config.end_divisor,
    }
}

/// The share for each target, in its order, at which the pressure of this zone and of the targets is the same,
/// as far as the limits of targets and of the sum allow.
fn wanted_shares<'a>(
    config: &ZoneSpillConfig,
    targets: &[SpillTarget<'a>],
    demand: u32,
    total: u32,
    slots: u32,
) -> Vec<(&'a ZoneName, u32)> {
    let (slots, total) = (f64::from(slots), f64::from(total));
    let moved = |target: &SpillTarget<'_>, level: f64| {
        (target.slots * level - target.base).clamp(0.0, target.most)
    };
    let (mut low, mut high) = (0.0, if slots > 0.0 { total / slots } else { 0.0 });
    for _step in 0..LEVEL_STEPS {
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
    let most = u64::from(config.most_share * MILLIONTHS);
    let limited = |share: u32| match sum > most {
        true => (u64::from(share) * most / sum) as u32,
        false => share,
    };
    let shares = shares.into_iter();
    shares.map(|(zone, share)| (zone, limited(share))).collect()
}

/// Requests in progress, in thousandths, as a part of the demand; the whole if there is no demand.
fn share_of(requests: f64, demand: u32) -> u32 {
    if demand == 0 {
        return WHOLE_SHARE;
    }
    let share = requests / f64::from(demand) * f64::from(WHOLE_SHARE);
    share.clamp(0.0, f64::from(WHOLE_SHARE)) as u32
}

/// The other zones that have room for flows of a service that find none here.
fn open_zones(
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
    let free = usable.filter_map(|state| {
        let mut services = state.services.iter();
        let entry = services.find(|entry| entry.service == local.tag)?;
        let most = entry.slots.saturating_mul(config.overflow_pressure);
        let room = most.saturating_sub(entry.in_progress);
        let is_open = room > 0 && entry.pressure < config.overflow_pressure;
        is_open.then(|| (state.zone.clone(), room))
    });
    free.collect()
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

fn sent_requests<'a>(
    services: impl IntoIterator<Item = &'a LocalLoad>,
) -> Vec<(ServiceTag, &'a [ZoneVisit])> {
    let sent = services.into_iter();
    sent.map(|local| (local.tag, local.sent.as_slice()))
        .collect()
}
