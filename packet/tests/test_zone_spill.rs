//! Shares of new flows that leave a contended zone, and the reports between zones that they follow from.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::ids::ZoneName;
use lagoonproxy_packet::ids::ServiceTag;
use lagoonproxy_packet::load::load_report::LoadDigest;
use lagoonproxy_packet::load::load_report::service_tag;
use lagoonproxy_packet::load::load_tracker::AddressedDatagram;
use lagoonproxy_packet::load::zone_load::MAX_DIGEST_LOADS;
use lagoonproxy_packet::load::zone_load::MAX_REQUESTS;
use lagoonproxy_packet::load::zone_load::SpilledRequests;
use lagoonproxy_packet::load::zone_load::ZoneLoadEntry;
use lagoonproxy_packet::load::zone_load::ZoneLoadReport;
use lagoonproxy_packet::load::zone_load::ZoneServiceEntry;
use lagoonproxy_packet::load::zone_load::ZoneServiceLoad;
use lagoonproxy_packet::packet_action::DecisionEvent;
use lagoonproxy_packet::peers::peer_datagram::MAX_DATAGRAM_BYTES;
use lagoonproxy_packet::peers::peer_datagram::PeerDatagram;
use lagoonproxy_packet::peers::peer_heartbeat::PeerHeartbeat;
use lagoonproxy_packet::peers::peer_table::PeerTable;
use lagoonproxy_packet::selection::zone_spill::FULL_SHARE;
use lagoonproxy_packet::selection::zone_spill::LocalLoad;
use lagoonproxy_packet::selection::zone_spill::SpillInput;
use lagoonproxy_packet::selection::zone_spill::ZoneSpill;
use lagoonproxy_packet::selection::zone_spill::ZoneSpillConfig;
use lagoonproxy_packet::state::store_position::StorePosition;
use lagoonproxy_packet::upstreams::zone_evacuation::EvacuatedZones;
use lagoonproxy_packet::upstreams::zone_evacuation::ZoneEvacuation;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::core_rig::*;

/// Slots of the service in each zone of the tables.
const SLOTS: u32 = 100;

/// The interval at which hosts look at their shares.
const LOOK: Duration = Duration::from_millis(100);

/// Thousandths of a share.
const THOUSANDTH: u32 = FULL_SHARE / 1000;

fn tag_of_ledger() -> ServiceTag {
    service_tag(&"ledger".into())
}

/// The load of the ledger in the own zone at a pressure in thousandths.
fn local_at(pressure: u32) -> LocalLoad {
    LocalLoad {
        index: 0,
        name: "ledger".into(),
        tag: tag_of_ledger(),
        slots: SLOTS,
        in_progress: pressure * SLOTS,
        pressure,
        is_contended: pressure >= 750,
        objective: Some(Duration::from_millis(250)),
        sent: Vec::new(),
        responding: ["b", "c", "d"].map(ZoneName::from).to_vec(),
    }
}

fn service_entry(pressure: u32) -> ZoneServiceEntry {
    ZoneServiceEntry {
        service: tag_of_ledger(),
        slots: SLOTS,
        in_progress: pressure * SLOTS,
        sent: 0,
        away: 0,
        pressure,
        is_contended: pressure >= 750,
    }
}

fn zone_entry(zone: &str, pressure: u32) -> ZoneLoadEntry {
    ZoneLoadEntry {
        zone: zone.into(),
        age: Duration::from_millis(100),
        delay: Some(Duration::from_millis(4)),
        services: vec![service_entry(pressure)],
    }
}

fn service_load(pressure: u32) -> ZoneServiceLoad {
    ZoneServiceLoad {
        service: tag_of_ledger(),
        slots: SLOTS,
        in_progress: pressure * SLOTS,
        pressure,
        is_contended: pressure >= 750,
        visits: Vec::new(),
    }
}

/// The hash of a flow by its number.
fn flow_hash(flow: u64) -> u64 {
    flow.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn host(zone: u8, number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, zone, number), 7000)
}

/// One host's spill in virtual time.
struct SpillRig {
    spill: ZoneSpill,
    now: Instant,
    local: LocalLoad,
    evacuated: EvacuatedZones,
    is_aggregator: bool,
    sequence: u64,
    events: Vec<DecisionEvent>,
}

impl SpillRig {
    fn new(local: LocalLoad) -> Self {
        Self::with_config(local, ZoneSpillConfig::default())
    }

    fn with_config(local: LocalLoad, config: ZoneSpillConfig) -> Self {
        Self {
            spill: ZoneSpill::new(ZONE.into(), config),
            // Ages are subtracted from the present time.
            now: Instant::now() + Duration::from_secs(3600),
            local,
            evacuated: EvacuatedZones::new(),
            is_aggregator: false,
            sequence: 0,
            events: Vec::new(),
        }
    }

    fn evacuate(&mut self, zone: &str) {
        let evacuation = ZoneEvacuation {
            revision: 1,
            applied_at: self.now,
            expires_at: None,
        };
        self.evacuated.insert(zone.into(), evacuation);
    }

    fn digest(&mut self, entries: &[ZoneLoadEntry]) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.spill
            .handle_digest(self.now, host(0, 1), sequence, 8, entries);
    }

    fn tick(&mut self) {
        let services = [self.local.clone()];
        let input = SpillInput {
            is_aggregator: self.is_aggregator,
            services: &services,
            evacuated: &self.evacuated,
        };
        self.spill.tick(self.now, input, &mut self.events);
    }

    /// Lets time pass with a digest in each look.
    fn pass(&mut self, millis: u64, entries: &[ZoneLoadEntry]) {
        for _look in 0..millis / 100 {
            self.now += LOOK;
            self.digest(entries);
            self.tick();
        }
    }

    /// Lets time pass without a digest.
    fn pass_deaf(&mut self, millis: u64) {
        for _look in 0..millis / 100 {
            self.now += LOOK;
            self.tick();
        }
    }

    /// Thousandths of new flows that leave for a zone.
    fn share(&self, zone: &str) -> u32 {
        let mut shares = self.spill.shares(0).iter();
        let share = shares.find(|share| share.zone == zone);
        share.map_or(0, |share| share.share / THOUSANDTH)
    }

    fn sum(&self) -> u32 {
        let shares = self.spill.shares(0).iter();
        shares.map(|share| share.share).sum::<u32>() / THOUSANDTH
    }

    /// Thousandths of shares, and their zones, as events said.
    fn reported(&self) -> Vec<(String, u32)> {
        let events = self.events.iter();
        let reported = events.filter_map(|event| match event {
            DecisionEvent::Spill { zone, share, .. } => Some((zone.to_string(), *share)),
            _ => None,
        });
        reported.collect()
    }

    fn due(&mut self, peers: &PeerTable) -> Vec<AddressedDatagram> {
        let services = [self.local.clone()];
        let input = SpillInput {
            is_aggregator: self.is_aggregator,
            services: &services,
            evacuated: &self.evacuated,
        };
        self.spill.due_datagrams(self.now, input, peers)
    }

    fn ask(&mut self, peers: &PeerTable) -> ZoneLoadReport {
        let due = self.due(peers);
        match due.into_iter().map(|addressed| addressed.datagram).next() {
            Some(PeerDatagram::ZoneLoad(report)) => report,
            other => panic!("no report is due: {other:?}"),
        }
    }

    fn rejections(&self) -> usize {
        let events = self.events.iter();
        events
            .filter(|event| matches!(event, DecisionEvent::LoadRejected { .. }))
            .count()
    }
}

/// A reply of a zone to a report.
fn reply_to(asked: &ZoneLoadReport, zone: &str, pressure: u32) -> ZoneLoadReport {
    ZoneLoadReport {
        zone: zone.into(),
        sequence: asked.sequence,
        wants_reply: false,
        services: vec![service_load(pressure)],
    }
}

/// A heartbeat of a host.
pub fn heartbeat(zone: &str, capacity: u32, ready: bool) -> PeerHeartbeat {
    PeerHeartbeat {
        zone: zone.into(),
        reads: false,
        capacity,
        ready,
        seeks: false,
        through: StorePosition::UNREAD,
        version: None,
        reader: None,
        named: Vec::new(),
        others: Vec::new(),
        reports: None,
    }
}

/// Hosts of zones that were heard now: two large ones, and a small one.
fn peers_of(now: Instant, own: SocketAddrV4, zone: &str, others: &[(&str, u8)]) -> PeerTable {
    let mut peers = PeerTable::new(own, zone.into(), Vec::new());
    for (zone, place) in others {
        for (number, capacity) in [(1, 84), (2, 500), (3, 500)] {
            peers.heard(now, host(*place, number), heartbeat(zone, capacity, true));
        }
    }
    peers
}

#[test]
fn test_share_that_leaves() {
    // Guards against flows that stay where requests queue, and against flows that leave for zones without room.
    struct Case {
        name: &'static str,
        local: LocalLoad,
        zones: Vec<ZoneLoadEntry>,
        config: ZoneSpillConfig,
        evacuated: Option<&'static str>,
        /// Least and most thousandths for zones b and c.
        expected: [(u32, u32); 2],
    }
    const NONE: (u32, u32) = (0, 0);
    let usual = || Case {
        name: "",
        local: local_at(1300),
        zones: vec![zone_entry("b", 500), zone_entry("c", 500)],
        config: ZoneSpillConfig::default(),
        evacuated: None,
        expected: [NONE; 2],
    };
    let margin = |spill_margin| ZoneSpillConfig {
        spill_margin,
        ..ZoneSpillConfig::default()
    };
    let delayed = |delay: Option<u64>| {
        vec![ZoneLoadEntry {
            delay: delay.map(Duration::from_millis),
            ..zone_entry("b", 500)
        }]
    };
    // Half of the 50 free slots of a zone is 25 of 130 requests. Those beyond 1.3 for each slot wait in queues.
    let half_of_free = (170, 193);
    let cases = [
        Case {
            name: "one zone at 1.3 and two at 0.5",
            expected: [half_of_free; 2],
            ..usual()
        },
        Case {
            name: "two full zones and one with room: half of its slots for both",
            zones: vec![zone_entry("b", 1300), zone_entry("c", 500)],
            expected: [NONE, (76, 97)],
            ..usual()
        },
        Case {
            name: "a contended zone does not divide the room of a busier one",
            zones: vec![zone_entry("b", 760), zone_entry("c", 770)],
            // A quarter of 24 free slots, and half of 23, of 130 requests.
            expected: [(26, 46), (68, 88)],
            ..usual()
        },
        Case {
            name: "what a contended zone has sent away counts as its demand",
            zones: vec![
                ZoneLoadEntry {
                    services: vec![ZoneServiceEntry {
                        is_contended: true,
                        away: 30_000,
                        ..service_entry(400)
                    }],
                    ..zone_entry("b", 400)
                },
                zone_entry("c", 500),
            ],
            expected: [(210, 231), (76, 97)],
            ..usual()
        },
        Case {
            name: "all zones are full",
            zones: vec![zone_entry("b", 1300), zone_entry("c", 1400)],
            ..usual()
        },
        Case {
            name: "the others have no free slot, though their pressure is lower",
            local: local_at(2500),
            zones: vec![zone_entry("b", 1000), zone_entry("c", 1200)],
            ..usual()
        },
        Case {
            name: "the difference is below the margin",
            local: local_at(990),
            ..usual()
        },
        Case {
            name: "the service is calm here",
            local: LocalLoad {
                is_contended: false,
                ..local_at(1300)
            },
            ..usual()
        },
        Case {
            name: "a zone is evacuated",
            evacuated: Some("b"),
            expected: [NONE, half_of_free],
            ..usual()
        },
        Case {
            name: "a zone's upstreams do not respond to this zone",
            local: LocalLoad {
                responding: vec!["c".into()],
                ..local_at(1300)
            },
            expected: [NONE, half_of_free],
            ..usual()
        },
        Case {
            name: "a zone's upstreams do not respond to their own zone",
            zones: vec![
                ZoneLoadEntry {
                    services: vec![ZoneServiceEntry {
                        slots: 0,
                        in_progress: 0,
                        pressure: 0,
                        ..service_entry(0)
                    }],
                    ..zone_entry("b", 0)
                },
                zone_entry("c", 500),
            ],
            expected: [NONE, half_of_free],
            ..usual()
        },
        Case {
            name: "a zone's report is old",
            zones: vec![
                ZoneLoadEntry {
                    age: Duration::from_millis(2100),
                    ..zone_entry("b", 500)
                },
                zone_entry("c", 500),
            ],
            expected: [NONE, half_of_free],
            ..usual()
        },
        Case {
            name: "a zone sheds, though few requests are in progress",
            zones: vec![
                ZoneLoadEntry {
                    services: vec![ZoneServiceEntry {
                        pressure: 2600,
                        ..service_entry(500)
                    }],
                    ..zone_entry("b", 500)
                },
                zone_entry("c", 500),
            ],
            expected: [NONE, half_of_free],
            ..usual()
        },
        Case {
            name: "a delay of 24 ms is within a tenth of 250 ms",
            zones: delayed(Some(24)),
            expected: [half_of_free, NONE],
            ..usual()
        },
        Case {
            name: "a delay of 26 ms is not, and the difference is 0.8",
            zones: delayed(Some(26)),
            ..usual()
        },
        Case {
            name: "the same with a difference of 1.1",
            local: local_at(1600),
            zones: delayed(Some(26)),
            expected: [half_of_free, NONE],
            ..usual()
        },
        Case {
            name: "the same with an objective of a second",
            local: LocalLoad {
                objective: Some(Duration::from_secs(1)),
                ..local_at(1300)
            },
            zones: delayed(Some(26)),
            expected: [half_of_free, NONE],
            ..usual()
        },
        Case {
            name: "a delay that was never measured counts as long",
            zones: delayed(None),
            ..usual()
        },
        Case {
            name: "no objective is published",
            local: LocalLoad {
                objective: None,
                ..local_at(1300)
            },
            zones: delayed(Some(500)),
            expected: [half_of_free, NONE],
            ..usual()
        },
        Case {
            name: "a raised margin",
            config: margin(900),
            ..usual()
        },
        Case {
            name: "a raised margin that is exceeded",
            local: local_at(1500),
            config: margin(900),
            expected: [half_of_free; 2],
            ..usual()
        },
        Case {
            name: "a raised margin is raised by 0.5 for a long delay",
            local: local_at(1800),
            zones: delayed(Some(26)),
            config: margin(900),
            ..usual()
        },
        Case {
            name: "a large zone with room takes half of the flows at most",
            zones: vec![ZoneLoadEntry {
                services: vec![ZoneServiceEntry {
                    slots: 10_000,
                    ..service_entry(0)
                }],
                ..zone_entry("b", 0)
            }],
            expected: [(480, 500), NONE],
            ..usual()
        },
    ];
    for case in cases {
        let mut rig = SpillRig::with_config(case.local, case.config);
        if let Some(zone) = case.evacuated {
            rig.evacuate(zone);
        }
        rig.pass(6000, &case.zones);
        for (zone, (least, most)) in ["b", "c"].into_iter().zip(case.expected) {
            let share = rig.share(zone);
            assert!(
                (least..=most).contains(&share),
                "{}: {share} for {zone}",
                case.name
            );
        }
    }
}

#[test]
fn test_share_rises_and_decays_by_steps() {
    // Guards against all hosts of a zone that move many flows at once.
    let zones = [zone_entry("b", 500), zone_entry("c", 500)];
    let mut rig = SpillRig::new(local_at(1300));
    rig.pass(200, &zones);
    assert_eq!(rig.sum(), 50, "the first step");
    for _step in 0..4 {
        let before = rig.sum();
        rig.pass(300, &zones);
        assert!((1..=50).contains(&(rig.sum() - before)), "{}", rig.sum());
    }
    rig.pass(4000, &zones);
    let full = rig.sum();
    rig.local = local_at(500);
    rig.pass(300, &zones);
    let after = rig.sum();
    assert!(
        (full * 4 / 5 - 2..=full * 4 / 5).contains(&after),
        "{full}, {after}"
    );
    rig.pass(6000, &zones);
    assert_eq!(rig.sum(), 0);
}

#[test]
fn test_zone_that_becomes_no_target_gets_no_flow_at_once() {
    // Guards against flows for a zone that has just failed, for as long as a share would decay.
    struct Case {
        name: &'static str,
        fail: fn(&mut SpillRig),
    }
    let rest = || [zone_entry("c", 500)];
    let cases = [
        Case {
            name: "it is evacuated",
            fail: |rig| {
                rig.evacuate("b");
                rig.tick();
            },
        },
        Case {
            name: "its upstreams stop responding",
            fail: |rig| {
                rig.local.responding = vec!["c".into()];
                rig.tick();
            },
        },
        Case {
            name: "it is cut off",
            fail: |rig| {
                let late = |millis| ZoneLoadEntry {
                    age: Duration::from_millis(millis),
                    ..zone_entry("b", 500)
                };
                for age in (100..=2000).step_by(100) {
                    rig.pass(100, &[late(age), zone_entry("c", 500)]);
                }
                assert!(rig.share("b") > 0, "it may still return");
                rig.pass(100, &[late(2100), zone_entry("c", 500)]);
            },
        },
    ];
    for case in cases {
        let mut rig = SpillRig::new(local_at(1300));
        rig.pass(5000, &[zone_entry("b", 500), zone_entry("c", 500)]);
        assert!(rig.share("b") > 100);
        (case.fail)(&mut rig);
        assert_eq!(rig.share("b"), 0, "{}", case.name);
        assert!((0..1000).all(|flow| {
            let target = rig.spill.target(0, flow_hash(flow));
            target.is_none_or(|zone| zone != "b")
        }));
        let last = rig
            .reported()
            .into_iter()
            .rfind(|(zone, _share)| zone == "b");
        assert_eq!(last, Some(("b".into(), 0)), "{}", case.name);
        // It returns: its share starts anew.
        rig.evacuated.clear();
        rig.local.responding = vec!["b".into(), "c".into()];
        rig.pass(300, &rest());
        let before = rig.sum();
        rig.pass(300, &[zone_entry("b", 500), zone_entry("c", 500)]);
        assert!(rig.share("b") <= 50, "{}: {}", case.name, rig.share("b"));
        assert!(rig.sum() <= before + 50, "{}", case.name);
    }
}

#[test]
fn test_sum_of_shares_is_bounded_while_zones_come() {
    // Guards against a share that rises beside one that is not yet worth lowering.
    let large = |zone: &str, slots| ZoneLoadEntry {
        services: vec![ZoneServiceEntry {
            slots,
            ..service_entry(0)
        }],
        ..zone_entry(zone, 0)
    };
    let mut rig = SpillRig::new(local_at(1300));
    rig.pass(6000, &[large("b", 10_000)]);
    assert!(rig.sum() >= 480);
    for _look in 0..40 {
        rig.pass(100, &[large("b", 10_000), large("c", 500)]);
        let shares = rig.spill.shares(0).iter();
        let sum: u32 = shares.map(|share| share.share).sum();
        assert!(sum <= FULL_SHARE / 2, "{sum}");
    }
}

#[test]
fn test_events_of_spill() {
    // Guards against log lines for each small change, and against an end that nobody is told.
    let zones = [zone_entry("b", 500), zone_entry("c", 500)];
    let mut rig = SpillRig::new(local_at(1300));
    rig.pass(5000, &zones);
    let raised = rig.reported();
    let steps: Vec<u32> = raised
        .iter()
        .filter(|(zone, _share)| zone == "b")
        .map(|(_zone, share)| *share)
        .collect();
    assert!((2..=4).contains(&steps.len()), "{steps:?}");
    assert!(
        steps.windows(2).all(|pair| pair[1] >= pair[0] + 50),
        "{steps:?}"
    );
    rig.local = local_at(300);
    rig.pass(8000, &zones);
    let last = rig
        .reported()
        .into_iter()
        .rfind(|(zone, _share)| zone == "b");
    assert_eq!(last, Some(("b".into(), 0)));
    let count = rig.reported().len();
    rig.pass(2000, &zones);
    assert_eq!(rig.reported().len(), count, "nothing changes");
}

#[test]
fn test_hosts_together_send_off_what_is_meant() {
    // Guards against hosts that each send off the whole share, or draw the same flows as another choice does.
    let zones = [zone_entry("b", 500), zone_entry("c", 500)];
    let mut hosts: Vec<SpillRig> = (0..30).map(|_host| SpillRig::new(local_at(1300))).collect();
    for rig in &mut hosts {
        rig.pass(6000, &zones);
    }
    let mut random = StdRng::seed_from_u64(7);
    let flows = 120_000;
    let mut left = [0u32; 2];
    let mut left_of_half = 0;
    for flow in 0..flows {
        let hash: u64 = random.random();
        let rig = &hosts[flow % hosts.len()];
        let target = rig.spill.target(0, hash);
        left[0] += u32::from(target.is_some_and(|zone| zone == "b"));
        left[1] += u32::from(target.is_some_and(|zone| zone == "c"));
        left_of_half += u32::from(target.is_some() && hash % 1_000_000 < 500_000);
        assert_eq!(
            target,
            hosts[0].spill.target(0, hash),
            "every host draws alike"
        );
    }
    for (zone, left) in ["b", "c"].into_iter().zip(left) {
        let mean = f64::from(hosts[0].share(zone)) / 1000.0 * flows as f64;
        // A share is cut to whole thousandths here.
        let bound = 4.0 * mean.sqrt() + flows as f64 / 1000.0;
        assert!(
            (f64::from(left) - mean).abs() < bound,
            "{zone}: {left} of {mean}"
        );
    }
    let half = f64::from(left[0] + left[1]) / 2.0;
    let bound = 4.0 * half.sqrt();
    assert!(
        (f64::from(left_of_half) - half).abs() < bound,
        "the draw follows that of the route"
    );
}

#[test]
fn test_two_contended_zones_share_the_room_of_the_third() {
    // Guards against zones that each take all of what is free, and overload the third together.
    let free = f64::from(SLOTS) * 0.6;
    let mut sent = 0.0;
    for (own, other) in [("a", "b"), ("b", "a")] {
        let config = ZoneSpillConfig::default();
        let mut rig = SpillRig::new(LocalLoad {
            responding: vec![other.into(), "c".into()],
            ..local_at(1300)
        });
        rig.spill = ZoneSpill::new(own.into(), config);
        rig.pass(6000, &[zone_entry(other, 1300), zone_entry("c", 400)]);
        assert!(rig.share("c") > 0);
        sent += f64::from(rig.share("c")) / 1000.0 * 1.3 * f64::from(SLOTS);
    }
    assert!(
        sent <= free / 2.0 + 0.01,
        "{sent} requests into {free} slots"
    );
}

#[test]
fn test_requests_that_were_sent_do_not_end_their_own_reason() {
    // Guards against shares that swing: what has left makes the pressures alike, which is no reason to end.
    let mut rig = SpillRig::new(local_at(1300));
    rig.pass(5000, &[zone_entry("b", 500)]);
    let share = rig.share("b");
    assert!(share > 170);
    let sent = 25_000;
    rig.local.in_progress -= sent;
    rig.local.pressure = rig.local.in_progress / SLOTS;
    let mut evened = zone_entry("b", 500);
    evened.services[0].in_progress += sent;
    evened.services[0].sent = sent;
    rig.pass(5000, &[evened]);
    assert_eq!(rig.share("b"), share);
    assert_eq!(rig.spill.demand_pressure(0), 1300);
}

#[test]
fn test_only_aggregators_of_contended_zones_ask() {
    // Guards against datagrams in calm, and against one from each host of a zone.
    struct Case {
        name: &'static str,
        is_aggregator: bool,
        pressure: u32,
        reports: usize,
    }
    let cases = [
        Case {
            name: "an aggregator of a contended zone",
            is_aggregator: true,
            pressure: 1300,
            reports: 6,
        },
        Case {
            name: "another host",
            is_aggregator: false,
            pressure: 1300,
            reports: 0,
        },
        Case {
            name: "calm",
            is_aggregator: true,
            pressure: 600,
            reports: 0,
        },
    ];
    for case in cases {
        let mut rig = SpillRig::new(local_at(case.pressure));
        rig.is_aggregator = case.is_aggregator;
        let peers = peers_of(rig.now, host(0, 9), ZONE, &[("b", 1), ("c", 2), (ZONE, 3)]);
        let mut due = Vec::new();
        for _look in 0..30 {
            due.extend(rig.due(&peers));
            rig.now += LOOK;
        }
        assert_eq!(due.len(), case.reports, "{}", case.name);
        for addressed in due {
            let targets = [host(1, 2), host(1, 3), host(2, 2), host(2, 3)];
            assert_eq!(addressed.targets, targets, "{}", case.name);
        }
    }
}

#[test]
fn test_hosts_that_take_no_packets_are_not_asked() {
    // Guards against reports to hosts that are about to stop, while others could answer.
    let now = Instant::now();
    let mut peers = peers_of(now, host(0, 9), ZONE, &[("b", 1)]);
    peers.heard(now, host(1, 2), heartbeat("b", 500, false));
    assert_eq!(peers.largest_remote(now, 2), [host(1, 3), host(1, 1)]);
}

/// An aggregator that has asked zone b and has its answers for some seconds.
fn settled_aggregator() -> SpillRig {
    let mut rig = SpillRig::new(local_at(1300));
    rig.is_aggregator = true;
    exchange(&mut rig, 8, |rig, asked| {
        for number in [2, 3] {
            rig.spill
                .heard(rig.now, host(1, number), &reply_to(asked, "b", 500));
        }
    });
    assert!(rig.share("b") > 100, "{}", rig.share("b"));
    rig
}

/// Lets the aggregator ask the hosts of zone b so many times, with replies 4 ms later.
fn exchange(
    rig: &mut SpillRig,
    rounds: usize,
    mut reply: impl FnMut(&mut SpillRig, &ZoneLoadReport),
) {
    for _round in 0..rounds {
        let peers = peers_of(rig.now, host(0, 9), ZONE, &[("b", 1)]);
        let asked = rig.ask(&peers);
        rig.now += Duration::from_millis(4);
        reply(rig, &asked);
        rig.tick();
        rig.now += Duration::from_millis(246);
        rig.tick();
        rig.now += Duration::from_millis(250);
        rig.tick();
    }
}

fn entries_of(rig: &SpillRig) -> Vec<ZoneLoadEntry> {
    rig.spill.entries(rig.now, std::slice::from_ref(&rig.local))
}

#[test]
fn test_aggregator_means_the_answers_and_measures_the_delay() {
    let mut rig = SpillRig::new(local_at(1300));
    rig.is_aggregator = true;
    let peers = peers_of(rig.now, host(0, 9), ZONE, &[("b", 1)]);
    let asked = rig.ask(&peers);
    rig.now += Duration::from_millis(4);
    rig.spill
        .heard(rig.now, host(1, 2), &reply_to(&asked, "b", 400));
    rig.now += Duration::from_millis(4);
    rig.spill
        .heard(rig.now, host(1, 3), &reply_to(&asked, "b", 600));
    rig.now += Duration::from_millis(100);
    let entries = entries_of(&rig);
    assert_eq!(entries.len(), 1);
    assert_eq!(entries[0].age, Duration::from_millis(100));
    assert_eq!(entries[0].delay, Some(Duration::from_millis(6)));
    assert_eq!(entries[0].services, [service_entry(500)]);
}

#[test]
fn test_digest_tells_of_the_most_loaded_services() {
    // Guards against digests that grow with the number of services, and leave out the one that needs spill most.
    let mut rig = SpillRig::new(local_at(1300));
    rig.is_aggregator = true;
    let services: Vec<LocalLoad> = (0..100)
        .map(|number| LocalLoad {
            index: number,
            tag: number,
            pressure: 800 + number,
            ..local_at(1300)
        })
        .collect();
    let input = SpillInput {
        is_aggregator: true,
        services: &services,
        evacuated: &rig.evacuated,
    };
    let peers = peers_of(rig.now, host(0, 9), ZONE, &[("b", 1)]);
    let due = rig.spill.due_datagrams(rig.now, input, &peers);
    let PeerDatagram::ZoneLoad(asked) = &due[0].datagram else {
        panic!("not a zone's load");
    };
    let answer = ZoneLoadReport {
        services: (0..100)
            .map(|service| ZoneServiceLoad {
                service,
                ..service_load(500)
            })
            .collect(),
        ..reply_to(asked, "b", 500)
    };
    rig.spill.heard(rig.now, host(1, 2), &answer);
    let entries = rig.spill.entries(rig.now, &services);
    let told: usize = entries.iter().map(|entry| entry.services.len()).sum();
    assert!((1..=MAX_DIGEST_LOADS).contains(&told), "{told}");
    assert_eq!(entries[0].services[0].service, 99);
}

#[test]
fn test_answer_of_a_host_that_fell_silent_soon_counts_no_more() {
    // Guards against a mean of what is and what was two seconds ago.
    let mut rig = settled_aggregator();
    for expected in [900, 1300, 1300] {
        exchange(&mut rig, 1, |rig, asked| {
            rig.spill
                .heard(rig.now, host(1, 3), &reply_to(asked, "b", 1300));
        });
        assert_eq!(entries_of(&rig)[0].services[0].pressure, expected);
    }
}

#[test]
fn test_requests_of_all_zones_in_a_zone_are_added_up() {
    // Guards against a zone whose hosts see its own callers only, while two others fill its slots.
    let mut rig = SpillRig::new(local_at(1300));
    rig.is_aggregator = true;
    rig.local.sent = vec![SpilledRequests {
        zone: "b".into(),
        in_progress: 10_000,
    }];
    let peers = peers_of(rig.now, host(0, 9), ZONE, &[("b", 1), ("c", 2)]);
    let asked = rig.ask(&peers);
    let mut from_c = reply_to(&asked, "c", 1200);
    from_c.services[0].visits = vec![
        SpilledRequests {
            zone: "b".into(),
            in_progress: 7000,
        },
        SpilledRequests {
            zone: ZONE.into(),
            in_progress: 3000,
        },
    ];
    rig.spill
        .heard(rig.now, host(1, 2), &reply_to(&asked, "b", 500));
    rig.spill.heard(rig.now, host(2, 2), &from_c);
    let entries = entries_of(&rig);
    let counts = entries
        .iter()
        .map(|entry| (entry.zone.as_str(), entry.services[0]))
        .map(|(zone, service)| (zone, service.in_progress, service.sent, service.away));
    let counts: Vec<_> = counts.collect();
    assert_eq!(
        counts,
        [
            ("b", 67_000, 10_000, 0),
            ("c", 120_000, 0, 10_000),
            (ZONE, 3000, 0, 0)
        ]
    );
}

#[test]
fn test_lost_replies() {
    // Guards against a zone that is given up for one lost datagram, or kept when it answers no more.
    struct Case {
        name: &'static str,
        /// The hosts of zone b whose replies come.
        replies: &'static [u8],
        rounds: usize,
        stands: bool,
    }
    let cases = [
        Case {
            name: "one of two hosts is not heard",
            replies: &[3],
            rounds: 10,
            stands: true,
        },
        Case {
            name: "no reply for a second and a half",
            replies: &[],
            rounds: 3,
            stands: true,
        },
        Case {
            name: "no reply for more than two seconds",
            replies: &[],
            rounds: 5,
            stands: false,
        },
    ];
    for case in cases {
        let mut rig = settled_aggregator();
        let before = rig.share("b");
        exchange(&mut rig, case.rounds, |rig, asked| {
            for number in case.replies {
                rig.spill
                    .heard(rig.now, host(1, *number), &reply_to(asked, "b", 500));
            }
        });
        let expected = if case.stands { before } else { 0 };
        assert_eq!(rig.share("b"), expected, "{}", case.name);
        exchange(&mut rig, 8, |rig, asked| {
            rig.spill
                .heard(rig.now, host(1, 2), &reply_to(asked, "b", 500));
        });
        assert_eq!(rig.share("b"), before, "{}: answered again", case.name);
    }
}

#[test]
fn test_replies_that_are_not_of_now() {
    // Guards against loads and ages from replies that come twice, out of order, late or unasked.
    struct Case {
        name: &'static str,
        hear: fn(&mut SpillRig, &[ZoneLoadReport]),
        /// Pressure and age in milliseconds that the aggregator then tells of zone b.
        expected: Option<(u32, u64)>,
    }
    let cases = [
        Case {
            name: "in order",
            hear: |rig, asked| {
                rig.spill
                    .heard(rig.now, host(1, 2), &reply_to(&asked[0], "b", 400));
                rig.spill
                    .heard(rig.now, host(1, 2), &reply_to(&asked[1], "b", 600));
            },
            expected: Some((600, 0)),
        },
        Case {
            name: "out of order",
            hear: |rig, asked| {
                rig.spill
                    .heard(rig.now, host(1, 2), &reply_to(&asked[1], "b", 600));
                rig.spill
                    .heard(rig.now, host(1, 2), &reply_to(&asked[0], "b", 400));
            },
            expected: Some((600, 0)),
        },
        Case {
            name: "twice",
            hear: |rig, asked| {
                let reply = reply_to(&asked[1], "b", 600);
                rig.spill.heard(rig.now, host(1, 2), &reply);
                rig.now += Duration::from_millis(300);
                rig.spill.heard(rig.now, host(1, 2), &reply);
            },
            expected: Some((600, 300)),
        },
        Case {
            name: "after a stall of two seconds",
            hear: |rig, asked| {
                rig.now += Duration::from_millis(2100);
                rig.spill
                    .heard(rig.now, host(1, 2), &reply_to(&asked[1], "b", 600));
            },
            expected: None,
        },
        Case {
            name: "unasked",
            hear: |rig, asked| {
                let stray = ZoneLoadReport {
                    sequence: asked[1].sequence + 1,
                    ..reply_to(&asked[1], "b", 600)
                };
                rig.spill.heard(rig.now, host(1, 2), &stray);
            },
            expected: None,
        },
        Case {
            name: "from the own zone",
            hear: |rig, asked| {
                rig.spill
                    .heard(rig.now, host(0, 2), &reply_to(&asked[1], ZONE, 600));
            },
            expected: None,
        },
        Case {
            name: "of a zone without a name",
            hear: |rig, asked| {
                rig.spill
                    .heard(rig.now, host(0, 2), &reply_to(&asked[1], "", 600));
            },
            expected: None,
        },
    ];
    for case in cases {
        let mut rig = SpillRig::new(local_at(1300));
        rig.is_aggregator = true;
        let peers = peers_of(rig.now, host(0, 9), ZONE, &[("b", 1)]);
        let first = rig.ask(&peers);
        rig.now += Duration::from_millis(500);
        let asked = [first, rig.ask(&peers)];
        (case.hear)(&mut rig, &asked);
        let entries = entries_of(&rig);
        let told = entries
            .first()
            .map(|entry| (entry.services[0].pressure, entry.age.as_millis() as u64));
        assert_eq!(told, case.expected, "{}", case.name);
    }
}

#[test]
fn test_restarted_host_of_another_zone_is_heard_again() {
    // Guards against reports that are ignored because the sender's process counts from one again.
    let mut rig = settled_aggregator();
    let unasked = |sequence, pressure| ZoneLoadReport {
        zone: "b".into(),
        sequence,
        wants_reply: true,
        services: vec![service_load(pressure)],
    };
    assert!(rig.spill.heard(rig.now, host(1, 7), &unasked(900, 600)));
    for sequence in 1..=25 {
        rig.now += LOOK;
        rig.spill
            .heard(rig.now, host(1, 7), &unasked(sequence, 700));
        rig.tick();
    }
    assert_eq!(entries_of(&rig)[0].services[0].pressure, 700);
}

#[test]
fn test_aggregator_that_changes() {
    // Guards against shares that break off, or reports that become young again, when an aggregator dies.
    let mut before = settled_aggregator();
    let mut after = SpillRig::new(local_at(1300));
    after.now = before.now;
    for _look in 0..40 {
        exchange(&mut before, 1, |rig, asked| {
            rig.spill
                .heard(rig.now, host(1, 2), &reply_to(asked, "b", 500));
        });
        after.now = before.now;
        after.digest(&entries_of(&before));
        after.tick();
    }
    let share = after.share("b");
    assert_eq!(share, before.share("b"), "both hosts decide alike");
    let age = entries_of(&before)[0].age;
    after.is_aggregator = true;
    after.pass_deaf(1000);
    assert_eq!(after.share("b"), share);
    assert_eq!(entries_of(&after)[0].age, age + Duration::from_secs(1));
    let peers = peers_of(after.now, host(0, 9), ZONE, &[("b", 1)]);
    let asked = after.ask(&peers);
    after
        .spill
        .heard(after.now, host(1, 3), &reply_to(&asked, "b", 500));
    after.pass_deaf(1900);
    assert_eq!(after.share("b"), share, "its own answers");
    after.pass_deaf(300);
    assert_eq!(after.share("b"), 0, "no answer for two seconds");
}

#[test]
fn test_zone_cut_in_two_halves() {
    // Guards against a half that goes on with reports that it cannot renew, and one that stops though it can.
    let mut reaching = settled_aggregator();
    let mut cut_off = settled_aggregator();
    let share = reaching.share("b");
    for round in 0..6 {
        exchange(&mut reaching, 1, |rig, asked| {
            rig.spill
                .heard(rig.now, host(1, 2), &reply_to(asked, "b", 500));
        });
        exchange(&mut cut_off, 1, |_rig, _asked| {});
        assert_eq!(reaching.share("b"), share, "round {round}");
        let expected = if round < 3 { share } else { 0 };
        assert_eq!(cut_off.share("b"), expected, "round {round}");
    }
}

#[test]
fn test_digests_of_two_aggregators() {
    // Guards against shares that follow now one half of the reports and now the other.
    let told = |pressure| [zone_entry("b", pressure)];
    let mut rig = SpillRig::new(local_at(1300));
    let (many, few) = (host(0, 1), host(0, 2));
    for sequence in 1..40 {
        rig.now += LOOK;
        rig.spill
            .handle_digest(rig.now, many, sequence, 6, &told(500));
        rig.spill
            .handle_digest(rig.now, few, sequence, 2, &told(1300));
        rig.tick();
    }
    let share = rig.share("b");
    assert!(share > 100);
    rig.spill.handle_digest(rig.now, many, 12, 6, &told(1300));
    rig.pass_deaf(500);
    assert_eq!(rig.share("b"), share, "an older digest");
    for sequence in 40..100 {
        rig.now += LOOK;
        rig.spill
            .handle_digest(rig.now, few, sequence, 2, &told(1300));
        rig.tick();
    }
    assert_eq!(rig.share("b"), 0, "the other aggregator is gone");
}

#[test]
fn test_host_that_was_frozen_lets_no_flow_leave() {
    // Guards against shares from before a stall.
    let mut rig = SpillRig::new(local_at(1300));
    rig.pass(5000, &[zone_entry("b", 500)]);
    rig.spill.reset();
    assert_eq!(rig.sum(), 0);
    rig.pass_deaf(1000);
    assert_eq!(rig.sum(), 0);
}

#[test]
fn test_absurd_reports_are_rejected_whole() {
    // Guards against one faulty host that moves the flows of other zones.
    struct Case {
        name: &'static str,
        change: fn(&mut ZoneLoadReport),
        valid: bool,
    }
    let most = MAX_REQUESTS as u32 * 1000;
    assert_eq!(most, 65_535_000);
    let cases = [
        Case {
            name: "as many requests as are valid",
            change: |report| report.services[0].in_progress = 65_535_000,
            valid: true,
        },
        Case {
            name: "one more",
            change: |report| report.services[0].in_progress = 65_535_001,
            valid: false,
        },
        Case {
            name: "too many over two services",
            change: |report| {
                report.services[0].in_progress = 40_000_000;
                let second = ZoneServiceLoad {
                    service: 1,
                    ..report.services[0].clone()
                };
                report.services.push(second);
            },
            valid: false,
        },
        Case {
            name: "too many in other zones",
            change: |report| {
                report.services[0].visits = vec![SpilledRequests {
                    zone: "c".into(),
                    in_progress: u32::MAX,
                }];
            },
            valid: false,
        },
        Case {
            name: "an absurd pressure",
            change: |report| report.services[0].pressure = u32::MAX,
            valid: false,
        },
        Case {
            name: "a service twice",
            change: |report| report.services.push(service_load(300)),
            valid: false,
        },
        Case {
            name: "no zone",
            change: |report| report.zone = ZoneName::default(),
            valid: false,
        },
    ];
    for case in cases {
        let mut rig = SpillRig::new(local_at(1300));
        rig.is_aggregator = true;
        let peers = peers_of(rig.now, host(0, 9), ZONE, &[("b", 1)]);
        let asked = rig.ask(&peers);
        let mut report = ZoneLoadReport {
            wants_reply: true,
            ..reply_to(&asked, "b", 500)
        };
        (case.change)(&mut report);
        let is_answered = rig.spill.heard(rig.now, host(1, 2), &report);
        rig.tick();
        assert_eq!(is_answered, case.valid, "{}", case.name);
        assert_eq!(!entries_of(&rig).is_empty(), case.valid, "{}", case.name);
        assert_eq!(rig.rejections(), usize::from(!case.valid), "{}", case.name);
        let mut told = zone_entry("b", 500);
        told.services[0].sent = told.services[0].in_progress + 1;
        rig.digest(&[told]);
        rig.tick();
        let mut told = zone_entry("b", 500);
        told.services[0].away = u32::MAX;
        rig.digest(&[told]);
        rig.tick();
        assert_eq!(
            rig.rejections(),
            usize::from(!case.valid) + 2,
            "{}",
            case.name
        );
    }
}

#[test]
fn test_host_answers_the_sender_also_in_calm() {
    // Guards against zones with room that nobody knows of, because hosts report only while contended.
    let mut rig = CoreRig::with_entries(vec![
        entry(1, "ledger"),
        entry(2, "ledger"),
        entry(3, "certs"),
    ]);
    for flow in 0..3 {
        rig.open(flow, 0);
    }
    let asked = ZoneLoadReport {
        zone: "b".into(),
        sequence: 41,
        wants_reply: true,
        services: vec![service_load(1300)],
    };
    let sender = host(1, 2);
    let answer = rig.core.handle_zone_load(rig.now, sender, &asked);
    let answer = answer.expect("an answer");
    assert_eq!(answer.targets, [sender]);
    let PeerDatagram::ZoneLoad(report) = answer.datagram else {
        panic!("not a zone's load");
    };
    assert_eq!((report.zone.as_str(), report.sequence), (ZONE, 41));
    assert!(!report.wants_reply);
    assert_eq!(report.services.len(), 1, "what was asked for");
    let load = &report.services[0];
    assert_eq!((load.service, load.slots), (tag_of_ledger(), 4));
    assert!(load.in_progress >= 3000, "{load:?}");
    assert_eq!(load.pressure, load.in_progress / 4);
    assert!(!load.is_contended);
    let reply = ZoneLoadReport {
        wants_reply: false,
        ..asked
    };
    assert_eq!(rig.core.handle_zone_load(rig.now, sender, &reply), None);
}

#[test]
fn test_core_sends_nothing_in_calm_and_reports_absurd_counts() {
    let mut rig = CoreRig::with_ledger(&[1, 2, 3]);
    rig.core
        .heard(rig.now, host(1, 2), heartbeat("b", 500, true), false);
    let mut absurd = ZoneLoadReport {
        zone: "b".into(),
        sequence: 1,
        wants_reply: true,
        services: vec![service_load(500)],
    };
    absurd.services[0].in_progress = u32::MAX;
    assert_eq!(
        rig.core.handle_zone_load(rig.now, host(1, 2), &absurd),
        None
    );
    let digest = LoadDigest {
        zones: vec![zone_entry("b", 100)],
        ..LoadDigest::default()
    };
    rig.core.handle_digest(rig.now, host(0, 2), &digest);
    rig.events.clear();
    for flow in 0..50 {
        rig.open(flow, 0);
        rig.pass(100);
        assert_eq!(rig.core.due_load_datagrams(rig.now), []);
    }
    assert!(rig.core.spill().shares(0).is_empty());
    let is_rejection = |event: &&DecisionEvent| matches!(event, DecisionEvent::LoadRejected { peer } if *peer == host(1, 2));
    assert_eq!(rig.events.iter().filter(is_rejection).count(), 1);
}

#[test]
fn test_bytes_between_zones() {
    // Guards against reports that take a small host's link, or do not fit into a datagram.
    let with_services = |count: u32, zones: &[&str]| ZoneLoadReport {
        zone: "zone-1".into(),
        sequence: 100_000,
        wants_reply: true,
        services: (0..count)
            .map(|number| ZoneServiceLoad {
                service: u32::MAX - number,
                in_progress: 200_000,
                pressure: 1000 + number,
                visits: zones
                    .iter()
                    .map(|zone| SpilledRequests {
                        zone: (*zone).into(),
                        in_progress: 30_000,
                    })
                    .collect(),
                ..service_load(1300)
            })
            .collect(),
    };
    let length = |report: ZoneLoadReport| {
        let bytes = PeerDatagram::ZoneLoad(report).encode();
        bytes.map_or(usize::MAX, |bytes| bytes.len())
    };
    let usual = length(with_services(5, &["zone-2", "zone-3"]));
    // Two reports a second to two hosts of each of two other zones.
    let rate = usual * 2 * 2 * 2;
    println!("report of 5 services: {usual} bytes; {rate} bytes a second sent");
    assert!(
        rate < 5000,
        "a fifth of the 25 KB/s of a host's control traffic"
    );
    let truncated_to_fit = with_services(300, &["zone-2", "zone-3"]).truncated_to_fit();
    assert!(truncated_to_fit.services.len() > 20);
    let mut pressures = truncated_to_fit.services.iter().map(|load| load.pressure);
    assert!(
        pressures.all(|pressure| pressure > 1200),
        "the most loaded stay"
    );
    assert!(length(truncated_to_fit) <= MAX_DATAGRAM_BYTES);

    let entry = |zone: &str, services: usize| ZoneLoadEntry {
        zone: zone.into(),
        age: Duration::from_millis(400),
        delay: Some(Duration::from_micros(7800)),
        services: vec![service_entry(1300); services],
    };
    let digest = |zones: Vec<ZoneLoadEntry>| {
        let digest = LoadDigest {
            zones,
            ..LoadDigest::default()
        };
        let bytes = PeerDatagram::Digest(digest).encode();
        bytes.map_or(usize::MAX, |bytes| bytes.len())
    };
    let added = |services: usize| {
        let zones = ["zone-1", "zone-2", "zone-3"];
        let entries = zones.map(|zone| entry(zone, services)).to_vec();
        digest(entries) - digest(Vec::new())
    };
    println!(
        "three zones in a digest: {} bytes for one service, {} for five",
        added(1),
        added(5)
    );
    let added = added(MAX_DIGEST_LOADS / 3);
    println!("zones in a digest: at most {added} bytes of {MAX_DATAGRAM_BYTES}");
    assert!(added <= MAX_DATAGRAM_BYTES / 2, "half stays for upstreams");
}

fn arbitrary_report() -> impl Strategy<Value = ZoneLoadReport> {
    let zones = || prop::sample::select(vec!["", "a", "b", "c"]);
    let visits = prop::collection::vec((zones(), any::<u32>()), 0..3);
    let load = (
        0u32..3,
        any::<u32>(),
        any::<u32>(),
        any::<u32>(),
        any::<bool>(),
        visits,
    );
    let loads = prop::collection::vec(load, 0..4);
    (zones(), 0u64..6, any::<bool>(), loads).prop_map(|(zone, sequence, wants_reply, loads)| {
        let services = loads.into_iter().map(|load| ZoneServiceLoad {
            service: tag_of_ledger() ^ load.0,
            slots: load.1,
            in_progress: load.2 >> 8,
            pressure: load.3 >> 8,
            is_contended: load.4,
            visits: load
                .5
                .into_iter()
                .map(|(zone, count)| SpilledRequests {
                    zone: zone.into(),
                    in_progress: count >> 8,
                })
                .collect(),
        });
        ZoneLoadReport {
            zone: zone.into(),
            sequence,
            wants_reply,
            services: services.collect(),
        }
    })
}

/// What one look of a host finds.
#[derive(Clone, Debug)]
struct LookCase {
    pressure: u32,
    contended: bool,
    sent: u32,
    /// Pressure, age in milliseconds, and slots of zones b and c.
    zones: [(u32, u64, u32); 2],
    evacuated: [bool; 2],
    responding: [bool; 2],
}

fn look_case() -> impl Strategy<Value = LookCase> {
    let zone = || {
        (
            0u32..3000,
            0u64..3000,
            prop::sample::select(vec![0u32, 1, 100, 5000]),
        )
    };
    let flags = || [prop::bool::weighted(0.1), prop::bool::weighted(0.1)];
    (
        0u32..4000,
        prop::bool::weighted(0.9),
        0u32..50_000,
        [zone(), zone()],
        flags(),
        flags(),
    )
        .prop_map(
            |(pressure, contended, sent, zones, evacuated, silent)| LookCase {
                pressure,
                contended,
                sent,
                zones,
                evacuated,
                responding: silent.map(|is_silent| !is_silent),
            },
        )
}

proptest! {
    #[test]
    fn test_bounds_of_shares(looks in prop::collection::vec(look_case(), 1..60)) {
        // Guards against shares beyond their bounds, whatever zones report and in whatever order.
        let mut rig = SpillRig::new(local_at(1300));
        let mut sums = vec![0u32; 1];
        for look in looks {
            rig.now += LOOK;
            rig.local = LocalLoad { is_contended: look.contended, ..local_at(look.pressure) };
            rig.evacuated.clear();
            rig.local.responding.clear();
            let mut entries = Vec::new();
            for (place, zone) in ["b", "c"].into_iter().enumerate() {
                let (pressure, age, slots) = look.zones[place];
                let mut entry = zone_entry(zone, pressure);
                entry.age = Duration::from_millis(age);
                entry.services[0].slots = slots;
                entry.services[0].sent = look.sent.min(entry.services[0].in_progress);
                entries.push(entry);
                if look.evacuated[place] {
                    rig.evacuate(zone);
                }
                if look.responding[place] {
                    rig.local.responding.push(zone.into());
                }
            }
            rig.digest(&entries);
            rig.tick();
            let shares = rig.spill.shares(0);
            let sum: u32 = shares.iter().map(|share| share.share).sum();
            prop_assert!(sum <= FULL_SHARE / 2);
            // Three looks cover 200 ms, in which at most one step is made.
            let before = sums[sums.len().saturating_sub(2)..].iter().max().copied();
            prop_assert!(sum <= before.unwrap_or(0) + FULL_SHARE / 20, "{sums:?}, {sum}");
            sums.push(sum);
            for (place, zone) in ["b", "c"].into_iter().enumerate() {
                let (_pressure, age, slots) = look.zones[place];
                let is_excluded = look.evacuated[place] || !look.responding[place];
                if is_excluded || age > 2000 || slots == 0 {
                    prop_assert_eq!(rig.share(zone), 0);
                }
            }
        }
    }

    #[test]
    fn test_arbitrary_reports_do_not_panic(
        reports in prop::collection::vec((arbitrary_report(), any::<u8>(), 0u64..900), 0..40),
    ) {
        // Guards against a host that is stopped by what another one sends.
        let mut rig = SpillRig::new(local_at(1300));
        rig.is_aggregator = true;
        let peers = peers_of(rig.now, host(0, 9), ZONE, &[("b", 1)]);
        let mut core = CoreRig::with_ledger(&[1, 2]);
        for (report, from, millis) in reports {
            rig.now += Duration::from_millis(millis);
            rig.due(&peers);
            rig.spill.heard(rig.now, host(1, from % 8), &report);
            rig.tick();
            let entries = entries_of(&rig);
            prop_assert!(entries.len() <= MAX_DIGEST_LOADS);
            rig.digest(&entries);
            prop_assert!(rig.sum() <= 500);
            core.core.handle_zone_load(core.now, host(1, from % 8), &report);
        }
    }

    #[test]
    fn test_arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        // Guards against a host that is stopped by a datagram that is not of a peer.
        let mut datagram = vec![7, 5];
        datagram.extend(bytes);
        if let Ok(PeerDatagram::ZoneLoad(report)) = PeerDatagram::decode(&datagram) {
            let mut rig = SpillRig::new(local_at(1300));
            rig.spill.heard(rig.now, host(1, 2), &report);
            rig.tick();
        }
    }
}
