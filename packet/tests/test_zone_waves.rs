//! Three zones whose demand follows waves with opposed phases, with spill between them, in virtual time.

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

const ZONES: usize = 3;
const SLOTS: u32 = 200;
const LOOK: Duration = Duration::from_millis(100);

/// Looks that a measured mean covers.
const MEASURED_LOOKS: usize = 10;

/// Looks for which a service stays contended.
const CONTENDED_LOOKS: usize = 30;

/// Half waves that are measured.
const HALF_WAVES: usize = 5;

/// Smaller movements of a share are not a change of its direction; operators are not told of them either.
const LEAST_TURN: f64 = 0.05;

/// Demand of one service, alike in all zones but for the phase.
#[derive(Clone, Copy)]
struct WavePlan {
    name: &'static str,
    /// Requests in progress that callers demand, for each slot: the mean, and the height of the wave.
    mean: f64,
    height: f64,
    /// Seconds of a whole wave, and of a flow's life.
    period: f64,
    flow_life: f64,
}

/// One zone: its aggregator, and the requests of its callers.
struct WaveZone {
    spill: ZoneSpill,
    peers: PeerTable,
    /// Requests in progress by the zone they are in, without queueing.
    flows: [f64; ZONES],
    /// The same with queueing, at the last looks.
    measured: VecDeque<[f64; ZONES]>,
    contended_looks: usize,
    /// Shares of new flows, by look.
    shares: Vec<[f64; ZONES]>,
    utilization: Vec<f64>,
    /// Looks at which other zones had more than half of the free slots, and a request.
    overfull: usize,
}

fn zone_name(zone: usize) -> ZoneName {
    format!("zone-{zone}").into()
}

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
            contended_looks: 0,
            shares: Vec::new(),
            utilization: Vec::new(),
            overfull: 0,
        }
    }

    /// The share of new flows that leaves for a zone.
    fn share(&self, zone: usize) -> f64 {
        let mut shares = self.spill.shares(0).iter();
        let share = shares.find(|share| share.zone == zone_name(zone));
        share.map_or(0.0, |share| f64::from(share.share) / f64::from(FULL_SHARE))
    }

    /// What the zone's digest says: the mean of the last second.
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
        let sent: Vec<SpilledRequests> = sent.filter(|visit| visit.in_progress > 0).collect();
        let in_progress = mean(own);
        let demand = sent
            .iter()
            .fold(in_progress, |sum, visit| sum + visit.in_progress);
        self.contended_looks = match demand / SLOTS >= 750 {
            true => CONTENDED_LOOKS,
            false => self.contended_looks.saturating_sub(1),
        };
        LocalLoad {
            index: 0,
            name: "ledger".into(),
            tag: service_tag(&"ledger".into()),
            slots: SLOTS,
            in_progress,
            pressure: in_progress / SLOTS,
            is_contended: self.contended_looks > 0,
            objective: Some(Duration::from_millis(250)),
            sent,
            responding: others.map(zone_name).collect(),
        }
    }
}

/// Runs three waves and a half; returns the zones with what they measured from the second wave on.
fn run_waves(plan: WavePlan, config: ZoneSpillConfig, seed: u64) -> [WaveZone; ZONES] {
    let mut zones: [WaveZone; ZONES] = std::array::from_fn(|zone| WaveZone::new(zone, config));
    let mut random = StdRng::seed_from_u64(seed);
    let evacuated = EvacuatedZones::new();
    let start = Instant::now();
    let step = LOOK.as_secs_f64();
    for look in 0..(3.5 * plan.period / step) as u32 {
        let now = start + LOOK * look;
        let seconds = f64::from(look) * step;
        for (place, zone) in zones.iter_mut().enumerate() {
            let phase = seconds / plan.period + place as f64 / ZONES as f64;
            let demand = (plan.mean + plan.height * (TAU * phase).sin()) * f64::from(SLOTS);
            let away: f64 = (0..ZONES).map(|other| zone.share(other)).sum();
            for other in 0..ZONES {
                let share = if other == place {
                    1.0 - away
                } else {
                    zone.share(other)
                };
                let settled = demand * share;
                zone.flows[other] += (settled - zone.flows[other]) * step / plan.flow_life;
            }
        }
        // Requests queue from a utilization of 0.8 on, so that more of them are in progress.
        let queueing: [f64; ZONES] = std::array::from_fn(|place| {
            let sum: f64 = zones.iter().map(|zone| zone.flows[place]).sum();
            1.0 + (2.0 * (sum / f64::from(SLOTS) - 0.8)).clamp(0.0, 2.0)
        });
        let mut totals = [0.0; ZONES];
        for zone in &mut zones {
            let measured = std::array::from_fn(|other| {
                zone.flows[other] * queueing[other] * random.random_range(0.9..1.1)
            });
            zone.measured.push_back(measured);
            zone.measured.truncate(MEASURED_LOOKS + 1);
            if zone.measured.len() > MEASURED_LOOKS {
                zone.measured.pop_front();
            }
            for (total, flows) in totals.iter_mut().zip(zone.flows) {
                *total += flows;
            }
        }
        let loads: Vec<LocalLoad> = zones
            .iter_mut()
            .enumerate()
            .map(|(place, zone)| zone.local_load(place))
            .collect();
        for place in 0..ZONES {
            let services = std::slice::from_ref(&loads[place]);
            let input = SpillInput {
                is_aggregator: true,
                services,
                evacuated: &evacuated,
            };
            for other in (0..ZONES).filter(|other| *other != place) {
                zones[place].peers.heard(
                    now,
                    address(other),
                    heartbeat(&zone_name(other), 500, true),
                );
            }
            let zone = &mut zones[place];
            zone.spill.tick(now, input, &mut Vec::new());
            for addressed in zone.spill.due_datagrams(now, input, &zone.peers) {
                let PeerDatagram::ZoneLoad(report) = addressed.datagram else {
                    panic!("not a zone's load");
                };
                for other in (0..ZONES).filter(|other| addressed.targets.contains(&address(*other)))
                {
                    let arrived = now + Duration::from_millis(4);
                    assert!(zones[other].spill.heard(arrived, address(place), &report));
                    let reply = zones[other].spill.reply(&report, &loads[other..=other]);
                    let replied = arrived + Duration::from_millis(4);
                    zones[place].spill.heard(replied, address(other), &reply);
                }
            }
            if seconds >= plan.period {
                let sent: f64 = (0..ZONES)
                    .filter(|other| *other != place)
                    .map(|other| zones[other].flows[place])
                    .sum();
                let zone = &mut zones[place];
                zone.shares
                    .push(std::array::from_fn(|other| zone.share(other)));
                zone.utilization.push(totals[place] / f64::from(SLOTS));
                let free = f64::from(SLOTS) - zone.flows[place];
                zone.overfull += usize::from(sent > free.max(0.0) / 2.0 + 1.0);
            }
        }
    }
    zones
}

/// How often a share turns from rise to fall or back.
fn turns(shares: impl Iterator<Item = f64>) -> usize {
    let (mut turns, mut rises, mut extreme) = (0, true, 0.0);
    for share in shares {
        let is_further = match rises {
            true => share > extreme,
            false => share < extreme,
        };
        if is_further {
            extreme = share;
        } else if (share - extreme).abs() > LEAST_TURN {
            turns += 1;
            rises = !rises;
            extreme = share;
        }
    }
    turns
}

/// The largest difference of two zones' utilization at each look, in ascending order.
fn spreads(zones: &[WaveZone]) -> Vec<f64> {
    let looks = 0..zones[0].utilization.len();
    let mut spreads: Vec<f64> = looks
        .map(|look| {
            let all = zones.iter().map(|zone| zone.utilization[look]);
            let most = all.clone().fold(f64::MIN, f64::max);
            most - all.fold(f64::MAX, f64::min)
        })
        .collect();
    spreads.sort_by(f64::total_cmp);
    spreads
}

fn busiest(zones: &[WaveZone]) -> f64 {
    let all = zones.iter().flat_map(|zone| &zone.utilization);
    all.copied().fold(f64::MIN, f64::max)
}

/// The spread that is not exceeded in 95 of 100 looks.
fn usual_spread(zones: &[WaveZone]) -> f64 {
    let spreads = spreads(zones);
    spreads[(spreads.len() - 1) * 95 / 100]
}

fn share_sums(zone: &WaveZone) -> impl Iterator<Item = f64> {
    zone.shares.iter().map(|shares| shares.iter().sum())
}

/// Waves in which there is room in the mean of the zones at any time.
fn waves_with_room() -> [WavePlan; 4] {
    let plan = |name, mean, height, period, flow_life| WavePlan {
        name,
        mean,
        height,
        period,
        flow_life,
    };
    [
        plan("waves of 30 s", 0.8, 0.5, 30.0, 1.5),
        plan("waves of 20 s, flows of 3 s", 0.8, 0.5, 20.0, 3.0),
        plan("flows of one request", 0.8, 0.5, 30.0, 0.1),
        plan("waves of 60 s, flows of 6 s", 0.75, 0.6, 60.0, 6.0),
    ]
}

#[test]
fn test_pressures_even_out_while_there_is_room() {
    // Guards against a zone that is full while slots are free in another.
    let no_spill = ZoneSpillConfig {
        max_total_share: 0,
        ..ZoneSpillConfig::default()
    };
    for (plan, seed) in waves_with_room().into_iter().zip(1..) {
        let alone = run_waves(plan, no_spill, seed);
        let zones = run_waves(plan, ZoneSpillConfig::default(), seed);
        let (before, after) = (usual_spread(&alone), usual_spread(&zones));
        let (most_before, most_after) = (busiest(&alone), busiest(&zones));
        let name = plan.name;
        println!("{name}: spread {before:.2}, {after:.2}; most {most_before:.2}, {most_after:.2}");
        // The margin, and a fifth of it for the age of reports and the limit of half of the free slots.
        assert!(after <= 0.6, "{name}: {after}");
        assert!(after < before, "{name}: {after}, {before}");
        assert!(
            most_after < most_before - 0.05,
            "{name}: {most_after}, {most_before}"
        );
    }
}

#[test]
fn test_flows_return_as_the_wave_falls() {
    // Guards against zones that go on sending flows away when they have room themselves.
    for (plan, seed) in waves_with_room().into_iter().zip(1..) {
        let zones = run_waves(plan, ZoneSpillConfig::default(), seed);
        let looks = (plan.period / LOOK.as_secs_f64()) as usize;
        for (place, zone) in zones.iter().enumerate() {
            let sums: Vec<f64> = share_sums(zone).collect();
            for wave in sums.chunks_exact(looks) {
                assert!(wave.contains(&0.0), "{}: zone {place}", plan.name);
                assert!(
                    wave.iter().any(|sum| *sum > 0.05),
                    "{}: zone {place}",
                    plan.name
                );
            }
        }
    }
}

#[test]
fn test_shares_do_not_oscillate() {
    // Guards against shares that chase reports that are older than their last step.
    for (plan, seed) in waves_with_room().into_iter().zip(1..) {
        let zones = run_waves(plan, ZoneSpillConfig::default(), seed);
        for (place, zone) in zones.iter().enumerate() {
            let name = plan.name;
            for other in 0..ZONES {
                let turns = turns(zone.shares.iter().map(|shares| shares[other]));
                assert!(
                    turns <= HALF_WAVES,
                    "{name}: zone {place} to {other}: {turns}"
                );
            }
            // What is measured begins within a half wave, so that it touches one more of them.
            let turns = turns(share_sums(zone));
            assert!(turns <= HALF_WAVES + 1, "{name}: zone {place}: {turns}");
        }
    }
}

#[test]
fn test_requests_of_other_zones_take_half_of_the_free_slots_at_most() {
    // Guards against contended zones that fill a third one together. Flows are short, so that those that have left
    // are not there any more when the target's own demand rises.
    let plan = WavePlan {
        name: "flows of one request",
        mean: 0.8,
        height: 0.5,
        period: 30.0,
        flow_life: 0.1,
    };
    for seed in 1..4 {
        let zones = run_waves(plan, ZoneSpillConfig::default(), seed);
        let overfull: Vec<usize> = zones.iter().map(|zone| zone.overfull).collect();
        assert_eq!(overfull, [0; ZONES]);
    }
}

#[test]
fn test_no_flow_leaves_where_no_zone_has_room() {
    // Guards against full zones that exchange flows.
    let plan = WavePlan {
        name: "full",
        mean: 1.4,
        height: 0.1,
        period: 30.0,
        flow_life: 1.5,
    };
    for zone in run_waves(plan, ZoneSpillConfig::default(), 1) {
        assert!(share_sums(&zone).all(|sum| sum == 0.0));
    }
}
