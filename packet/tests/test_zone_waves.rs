//! Tests of spill between three zones, in virtual time, while the demand of each follows a sine
//! wave of its own phase.

use std::collections::VecDeque;
use std::f64::consts::TAU;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::ids::ZoneName;
use lagoonproxy_packet::load::load_report::service_tag;
use lagoonproxy_packet::load::zone_load::SpilledRequests;
use lagoonproxy_packet::peers::peer_datagram::PeerDatagram;
use lagoonproxy_packet::peers::peer_table::PeerTable;
use lagoonproxy_packet::selection::zone_spill::FULL_SHARE;
use lagoonproxy_packet::selection::zone_spill::LocalLoad;
use lagoonproxy_packet::selection::zone_spill::SpillInput;
use lagoonproxy_packet::selection::zone_spill::ZoneSpill;
use lagoonproxy_packet::selection::zone_spill::ZoneSpillConfig;
use lagoonproxy_packet::upstreams::zone_evacuation::EvacuatedZones;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::test_zone_spill::heartbeat;

/// Number of zones.
const ZONES: usize = 3;

/// Slots of the service in each zone.
const SLOTS: u32 = 200;

/// Interval between ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of ticks that the measured mean covers.
const MEASURED_TICKS: usize = 10;

/// Number of ticks for which a service stays contended.
const CONTENDED_TICKS: usize = 30;

/// Number of half waves that are measured.
const HALF_WAVES: usize = 5;

/// Smallest change of a share against its last extreme that counts as a change of direction.
/// Smaller changes are not reported to operators either.
const MIN_DIRECTION_CHANGE: f64 = 0.05;

/// Demand for one service; all zones have the same demand with different phases.
#[derive(Clone, Copy)]
struct DemandWave {
    name: &'static str,
    /// Mean demand, in requests in progress per slot.
    mean: f64,
    /// Amplitude of the wave, in requests in progress per slot.
    amplitude: f64,
    /// Period of the wave, in seconds.
    period: f64,
    /// Mean duration of a flow, in seconds.
    flow_duration: f64,
}

/// One zone: its aggregator and the requests of its callers.
struct WaveZone {
    spill: ZoneSpill,
    peers: PeerTable,
    /// Requests in progress of the zone's callers, by the zone in which they are processed, without
    /// queueing.
    flows: [f64; ZONES],
    /// The same with queueing, at the last ticks.
    measured: VecDeque<[f64; ZONES]>,
    /// Remaining ticks for which the service stays contended.
    contended_ticks: usize,
    /// Shares of new flows that leave for each zone, by tick.
    shares: Vec<[f64; ZONES]>,
    /// Requests in progress per slot of the zone, by tick, without queueing.
    utilization: Vec<f64>,
    /// Number of ticks at which callers of other zones used more than half of the slots that the
    /// zone's own callers leave free, with a tolerance of one request.
    overfull_ticks: usize,
}

/// Returns the name of a zone.
fn zone_name(zone: usize) -> ZoneName {
    format!("zone-{zone}").into()
}

/// Returns the address of a zone's aggregator.
fn address(zone: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, zone as u8, 1), 7000)
}

impl WaveZone {
    fn new(zone: usize, config: ZoneSpillConfig) -> Self {
        Self {
            spill: ZoneSpill::new(zone_name(zone), config),
            peers: PeerTable::new(address(zone), zone_name(zone), Vec::new()),
            flows: [0.0; ZONES],
            measured: VecDeque::new(),
            contended_ticks: 0,
            shares: Vec::new(),
            utilization: Vec::new(),
            overfull_ticks: 0,
        }
    }

    /// Returns the share of new flows that leaves for a zone.
    fn share(&self, zone: usize) -> f64 {
        let mut shares = self.spill.shares(0).iter();
        let share = shares.find(|share| share.zone == zone_name(zone));
        share.map_or(0.0, |share| f64::from(share.share) / f64::from(FULL_SHARE))
    }

    /// Returns the load of the zone, as the mean of the last second.
    fn local_load(&mut self, own: usize) -> LocalLoad {
        let mean = |zone: usize| {
            let sum: f64 = self.measured.iter().map(|measured| measured[zone]).sum();
            (sum / self.measured.len() as f64 * 1000.0) as u32
        };
        let others = (0..ZONES).filter(|zone| *zone != own);
        let sent = others.clone().map(|zone| SpilledRequests {
            zone: zone_name(zone),
            in_progress: mean(zone),
        });
        let sent: Vec<SpilledRequests> = sent
            .filter(|spilled_requests| spilled_requests.in_progress > 0)
            .collect();
        let in_progress = mean(own);
        let demand = sent.iter().fold(in_progress, |sum, spilled_requests| {
            sum + spilled_requests.in_progress
        });
        self.contended_ticks = match demand / SLOTS >= 750 {
            true => CONTENDED_TICKS,
            false => self.contended_ticks.saturating_sub(1),
        };
        LocalLoad {
            index: 0,
            name: "ledger".into(),
            tag: service_tag(&"ledger".into()),
            slots: SLOTS,
            in_progress,
            pressure: in_progress / SLOTS,
            is_contended: self.contended_ticks > 0,
            objective: Some(Duration::from_millis(250)),
            sent,
            responding: others.map(zone_name).collect(),
        }
    }
}

/// Runs three and a half waves; returns the zones with their measurements since the second wave.
fn run_waves(plan: DemandWave, config: ZoneSpillConfig, seed: u64) -> [WaveZone; ZONES] {
    let mut zones: [WaveZone; ZONES] = std::array::from_fn(|zone| WaveZone::new(zone, config));
    let mut random = StdRng::seed_from_u64(seed);
    let evacuated = EvacuatedZones::new();
    let start = Instant::now();
    let tick_seconds = TICK_INTERVAL.as_secs_f64();
    for tick_index in 0..(3.5 * plan.period / tick_seconds) as u32 {
        let now = start + TICK_INTERVAL * tick_index;
        let seconds = f64::from(tick_index) * tick_seconds;
        for (zone_index, zone) in zones.iter_mut().enumerate() {
            let phase = seconds / plan.period + zone_index as f64 / ZONES as f64;
            let demand = (plan.mean + plan.amplitude * (TAU * phase).sin()) * f64::from(SLOTS);
            let spilled: f64 = (0..ZONES).map(|other| zone.share(other)).sum();
            for other in 0..ZONES {
                let share = if other == zone_index {
                    1.0 - spilled
                } else {
                    zone.share(other)
                };
                let equilibrium = demand * share;
                zone.flows[other] +=
                    (equilibrium - zone.flows[other]) * tick_seconds / plan.flow_duration;
            }
        }
        // Above a utilization of 0.8 requests queue, so that more of them are in progress.
        let queueing: [f64; ZONES] = std::array::from_fn(|zone_index| {
            let sum: f64 = zones.iter().map(|zone| zone.flows[zone_index]).sum();
            1.0 + (2.0 * (sum / f64::from(SLOTS) - 0.8)).clamp(0.0, 2.0)
        });
        let mut totals = [0.0; ZONES];
        for zone in &mut zones {
            let measured = std::array::from_fn(|other| {
                zone.flows[other] * queueing[other] * random.random_range(0.9..1.1)
            });
            zone.measured.push_back(measured);
            zone.measured.truncate(MEASURED_TICKS + 1);
            if zone.measured.len() > MEASURED_TICKS {
                zone.measured.pop_front();
            }
            for (total, flows) in totals.iter_mut().zip(zone.flows) {
                *total += flows;
            }
        }
        let loads: Vec<LocalLoad> = zones
            .iter_mut()
            .enumerate()
            .map(|(zone_index, zone)| zone.local_load(zone_index))
            .collect();
        for zone_index in 0..ZONES {
            let services = std::slice::from_ref(&loads[zone_index]);
            let input = SpillInput {
                is_aggregator: true,
                services,
                evacuated: &evacuated,
            };
            for other in (0..ZONES).filter(|other| *other != zone_index) {
                zones[zone_index].peers.merge_heartbeat(
                    now,
                    address(other),
                    heartbeat(&zone_name(other), 500, true),
                );
            }
            let zone = &mut zones[zone_index];
            zone.spill.tick(now, input, &mut Vec::new());
            for addressed in zone.spill.due_datagrams(now, input, &zone.peers) {
                let PeerDatagram::ZoneLoad(report) = addressed.datagram else {
                    panic!("expected a zone load report");
                };
                for other in (0..ZONES).filter(|other| addressed.targets.contains(&address(*other)))
                {
                    let arrived = now + Duration::from_millis(4);
                    assert!(zones[other].spill.handle_report(
                        arrived,
                        address(zone_index),
                        &report
                    ));
                    let reply = zones[other].spill.reply_to(&report, &loads[other..=other]);
                    let replied = arrived + Duration::from_millis(4);
                    zones[zone_index]
                        .spill
                        .handle_report(replied, address(other), &reply);
                }
            }
            if seconds >= plan.period {
                let sent: f64 = (0..ZONES)
                    .filter(|other| *other != zone_index)
                    .map(|other| zones[other].flows[zone_index])
                    .sum();
                let zone = &mut zones[zone_index];
                zone.shares
                    .push(std::array::from_fn(|other| zone.share(other)));
                zone.utilization.push(totals[zone_index] / f64::from(SLOTS));
                let free = f64::from(SLOTS) - zone.flows[zone_index];
                zone.overfull_ticks += usize::from(sent > free.max(0.0) / 2.0 + 1.0);
            }
        }
    }
    zones
}

/// Returns how often a share changes between rising and falling.
fn direction_changes(shares: impl Iterator<Item = f64>) -> usize {
    let (mut direction_changes, mut rises, mut extreme) = (0, true, 0.0);
    for share in shares {
        let is_further = match rises {
            true => share > extreme,
            false => share < extreme,
        };
        if is_further {
            extreme = share;
        } else if (share - extreme).abs() > MIN_DIRECTION_CHANGE {
            direction_changes += 1;
            rises = !rises;
            extreme = share;
        }
    }
    direction_changes
}

/// Returns the largest difference between the utilizations of two zones at each tick, in ascending
/// order.
fn spreads(zones: &[WaveZone]) -> Vec<f64> {
    let ticks = 0..zones[0].utilization.len();
    let mut spreads: Vec<f64> = ticks
        .map(|tick_index| {
            let all = zones.iter().map(|zone| zone.utilization[tick_index]);
            let max = all.clone().fold(f64::MIN, f64::max);
            max - all.fold(f64::MAX, f64::min)
        })
        .collect();
    spreads.sort_by(f64::total_cmp);
    spreads
}

/// Returns the maximum utilization of all zones and ticks.
fn max_utilization(zones: &[WaveZone]) -> f64 {
    let all = zones.iter().flat_map(|zone| &zone.utilization);
    all.copied().fold(f64::MIN, f64::max)
}

/// Returns the 95th percentile of the spread over all ticks.
fn p95_spread(zones: &[WaveZone]) -> f64 {
    let spreads = spreads(zones);
    spreads[(spreads.len() - 1) * 95 / 100]
}

/// Returns the total share of new flows that leaves the zone, by tick.
fn total_shares(zone: &WaveZone) -> impl Iterator<Item = f64> {
    zone.shares.iter().map(|shares| shares.iter().sum())
}

/// Returns waves in which the zones together always have free capacity.
fn waves_with_free_capacity() -> [DemandWave; 4] {
    let plan = |name, mean, amplitude, period, flow_duration| DemandWave {
        name,
        mean,
        amplitude,
        period,
        flow_duration,
    };
    [
        plan("waves of 30 s", 0.8, 0.5, 30.0, 1.5),
        plan("waves of 20 s, flows of 3 s", 0.8, 0.5, 20.0, 3.0),
        plan("flows of one request", 0.8, 0.5, 30.0, 0.1),
        plan("waves of 60 s, flows of 6 s", 0.75, 0.6, 60.0, 6.0),
    ]
}

#[test]
fn test_spill_balances_utilization_while_capacity_is_free() {
    // Guards against a zone that is saturated while another has free slots.
    let no_spill = ZoneSpillConfig {
        max_total_share: 0,
        ..ZoneSpillConfig::default()
    };
    for (plan, seed) in waves_with_free_capacity().into_iter().zip(1..) {
        let alone = run_waves(plan, no_spill, seed);
        let zones = run_waves(plan, ZoneSpillConfig::default(), seed);
        let (before, after) = (p95_spread(&alone), p95_spread(&zones));
        let (max_before, max_after) = (max_utilization(&alone), max_utilization(&zones));
        let name = plan.name;
        println!("{name}: spread {before:.2}, {after:.2}; maximum {max_before:.2}, {max_after:.2}");
        // The bound is the spill margin and a fifth of it, since reports are delayed and spill is
        // limited to half of the free slots.
        assert!(after <= 0.6, "{name}: {after}");
        assert!(after < before, "{name}: {after}, {before}");
        assert!(
            max_after < max_before - 0.05,
            "{name}: {max_after}, {max_before}"
        );
    }
}

#[test]
fn test_spill_ends_when_demand_falls() {
    // Guards against zones that keep spilling flows although they have free capacity themselves.
    for (plan, seed) in waves_with_free_capacity().into_iter().zip(1..) {
        let zones = run_waves(plan, ZoneSpillConfig::default(), seed);
        let ticks = (plan.period / TICK_INTERVAL.as_secs_f64()) as usize;
        for (zone_index, zone) in zones.iter().enumerate() {
            let sums: Vec<f64> = total_shares(zone).collect();
            for wave in sums.chunks_exact(ticks) {
                assert!(wave.contains(&0.0), "{}: zone {zone_index}", plan.name);
                assert!(
                    wave.iter().any(|sum| *sum > 0.05),
                    "{}: zone {zone_index}",
                    plan.name
                );
            }
        }
    }
}

#[test]
fn test_shares_do_not_oscillate() {
    // Guards against shares that are adjusted to reports from before their last adjustment.
    for (plan, seed) in waves_with_free_capacity().into_iter().zip(1..) {
        let zones = run_waves(plan, ZoneSpillConfig::default(), seed);
        for (zone_index, zone) in zones.iter().enumerate() {
            let name = plan.name;
            for other in 0..ZONES {
                let direction_changes =
                    direction_changes(zone.shares.iter().map(|shares| shares[other]));
                assert!(
                    direction_changes <= HALF_WAVES,
                    "{name}: zone {zone_index} to {other}: {direction_changes}"
                );
            }
            // The measurement begins within a half wave and therefore touches one more half wave.
            let direction_changes = direction_changes(total_shares(zone));
            assert!(
                direction_changes <= HALF_WAVES + 1,
                "{name}: zone {zone_index}: {direction_changes}"
            );
        }
    }
}

#[test]
fn test_spilled_requests_take_at_most_half_of_the_free_slots() {
    // Guards against two contended zones that together fill the third one. Flows are short, so that
    // spilled flows have ended by the time that the demand of the target zone itself rises.
    let plan = DemandWave {
        name: "flows of one request",
        mean: 0.8,
        amplitude: 0.5,
        period: 30.0,
        flow_duration: 0.1,
    };
    for seed in 1..4 {
        let zones = run_waves(plan, ZoneSpillConfig::default(), seed);
        let overfull_ticks: Vec<usize> = zones.iter().map(|zone| zone.overfull_ticks).collect();
        assert_eq!(overfull_ticks, [0; ZONES]);
    }
}

#[test]
fn test_no_flow_leaves_if_all_zones_are_saturated() {
    // Guards against saturated zones that exchange flows.
    let plan = DemandWave {
        name: "all zones saturated",
        mean: 1.4,
        amplitude: 0.1,
        period: 30.0,
        flow_duration: 1.5,
    };
    for zone in run_waves(plan, ZoneSpillConfig::default(), 1) {
        assert!(total_shares(&zone).all(|sum| sum == 0.0));
    }
}
