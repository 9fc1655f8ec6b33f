//! Tests of spilling to other zones: the shares of new flows that a contended service sends there,
//! and the load reports between zones that determine them.

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

/// Slots of the service in each zone.
const SLOTS: u32 = 100;

/// Interval at which hosts compute their shares.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Units of [`FULL_SHARE`] per thousandth.
const THOUSANDTH: u32 = FULL_SHARE / 1000;

fn ledger_tag() -> ServiceTag {
    service_tag(&"ledger".into())
}

/// Returns the ledger's load in the own zone at a pressure in thousandths.
fn local_load(pressure: u32) -> LocalLoad {
    LocalLoad {
        index: 0,
        name: "ledger".into(),
        tag: ledger_tag(),
        slots: SLOTS,
        in_progress: pressure * SLOTS,
        pressure,
        is_contended: pressure >= 750,
        objective: Some(Duration::from_millis(250)),
        sent: Vec::new(),
        responding: ["b", "c", "d"].map(ZoneName::from).to_vec(),
    }
}

/// Returns the ledger's load as a digest contains it.
fn service_entry(pressure: u32) -> ZoneServiceEntry {
    ZoneServiceEntry {
        service: ledger_tag(),
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

/// Returns the ledger's load as a report of its zone contains it.
fn service_load(pressure: u32) -> ZoneServiceLoad {
    ZoneServiceLoad {
        service: ledger_tag(),
        slots: SLOTS,
        in_progress: pressure * SLOTS,
        pressure,
        is_contended: pressure >= 750,
        visits: Vec::new(),
    }
}

/// Returns the hash of a flow.
fn flow_hash(flow: u64) -> u64 {
    flow.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn host(zone: u8, number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, zone, number), 7000)
}

/// Simulates one host's spilling in virtual time.
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
            // Ages of reports are subtracted from this time.
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

    /// Advances time by `millis` with a digest in each tick.
    fn advance_with_digests(&mut self, millis: u64, entries: &[ZoneLoadEntry]) {
        for _tick in 0..millis / 100 {
            self.now += TICK_INTERVAL;
            self.digest(entries);
            self.tick();
        }
    }

    /// Advances time by `millis` without digests.
    fn advance_without_digests(&mut self, millis: u64) {
        for _tick in 0..millis / 100 {
            self.now += TICK_INTERVAL;
            self.tick();
        }
    }

    /// Returns the share of new flows that are spilled to a zone, in thousandths.
    fn share(&self, zone: &str) -> u32 {
        let mut shares = self.spill.shares(0).iter();
        let share = shares.find(|share| share.zone == zone);
        share.map_or(0, |share| share.share / THOUSANDTH)
    }

    /// Returns the share of new flows that are spilled to any zone, in thousandths.
    fn total_share(&self) -> u32 {
        let shares = self.spill.shares(0).iter();
        shares.map(|share| share.share).sum::<u32>() / THOUSANDTH
    }

    /// Returns the zones and shares, in thousandths, of all spill events.
    fn reported(&self) -> Vec<(String, u32)> {
        let events = self.events.iter();
        let reported = events.filter_map(|event| match event {
            DecisionEvent::Spill { zone, share, .. } => Some((zone.to_string(), *share)),
            _ => None,
        });
        reported.collect()
    }

    fn due_datagrams(&mut self, peers: &PeerTable) -> Vec<AddressedDatagram> {
        let services = [self.local.clone()];
        let input = SpillInput {
            is_aggregator: self.is_aggregator,
            services: &services,
            evacuated: &self.evacuated,
        };
        self.spill.due_datagrams(self.now, input, peers)
    }

    /// Returns the report that is due, which requests replies.
    fn due_query(&mut self, peers: &PeerTable) -> ZoneLoadReport {
        let due = self.due_datagrams(peers);
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

/// Returns a zone's reply to a report.
fn reply_to(query: &ZoneLoadReport, zone: &str, pressure: u32) -> ZoneLoadReport {
    ZoneLoadReport {
        zone: zone.into(),
        sequence: query.sequence,
        wants_reply: false,
        services: vec![service_load(pressure)],
    }
}

/// Returns a host's heartbeat.
pub fn heartbeat(zone: &str, capacity: u32, ready: bool) -> PeerHeartbeat {
    PeerHeartbeat {
        zone: zone.into(),
        reads: false,
        confirmation: None,
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

/// Returns the peer table of a host that has just received heartbeats of a small host and two large
/// ones in each zone of `others`.
fn peers_of(now: Instant, own: SocketAddrV4, zone: &str, others: &[(&str, u8)]) -> PeerTable {
    let mut peers = PeerTable::new(own, zone.into(), Vec::new());
    for (zone, zone_number) in others {
        for (number, capacity) in [(1, 84), (2, 500), (3, 500)] {
            peers.merge_heartbeat(
                now,
                host(*zone_number, number),
                heartbeat(zone, capacity, true),
            );
        }
    }
    peers
}

#[test]
fn test_spilled_share() {
    // Guards against flows that stay in a zone where requests queue, and against flows that are
    // spilled to zones without free capacity.
    struct Case {
        name: &'static str,
        local: LocalLoad,
        zones: Vec<ZoneLoadEntry>,
        config: ZoneSpillConfig,
        evacuated: Option<&'static str>,
        /// Minimum and maximum shares in thousandths for zones b and c.
        expected: [(u32, u32); 2],
    }
    const NONE: (u32, u32) = (0, 0);
    let usual = || Case {
        name: "",
        local: local_load(1300),
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
    // Half of a zone's 50 free slots is 25 of 130 requests. Requests beyond 1.3 per slot wait in
    // queues and do not count as demand.
    let half_of_free_slots = (170, 193);
    let cases = [
        Case {
            name: "one zone at 1.3 and two at 0.5",
            expected: [half_of_free_slots; 2],
            ..usual()
        },
        Case {
            name: "two saturated zones share half of the free slots of the third",
            zones: vec![zone_entry("b", 1300), zone_entry("c", 500)],
            expected: [NONE, (76, 97)],
            ..usual()
        },
        Case {
            name: "a contended zone gets no part of the free capacity of a busier one",
            zones: vec![zone_entry("b", 760), zone_entry("c", 770)],
            // A quarter of 24 free slots, and half of 23, as shares of 130 requests.
            expected: [(26, 46), (68, 88)],
            ..usual()
        },
        Case {
            name: "requests that a contended zone has spilled count as its demand",
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
            name: "all zones are saturated",
            zones: vec![zone_entry("b", 1300), zone_entry("c", 1400)],
            ..usual()
        },
        Case {
            name: "the others have no free slot, although their pressure is lower",
            local: local_load(2500),
            zones: vec![zone_entry("b", 1000), zone_entry("c", 1200)],
            ..usual()
        },
        Case {
            name: "the difference in pressure is below the margin",
            local: local_load(990),
            ..usual()
        },
        Case {
            name: "the service is not contended in the own zone",
            local: LocalLoad {
                is_contended: false,
                ..local_load(1300)
            },
            ..usual()
        },
        Case {
            name: "a zone is evacuated",
            evacuated: Some("b"),
            expected: [NONE, half_of_free_slots],
            ..usual()
        },
        Case {
            name: "a zone's upstreams do not respond to this zone",
            local: LocalLoad {
                responding: vec!["c".into()],
                ..local_load(1300)
            },
            expected: [NONE, half_of_free_slots],
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
            expected: [NONE, half_of_free_slots],
            ..usual()
        },
        Case {
            name: "a zone's report is outdated",
            zones: vec![
                ZoneLoadEntry {
                    age: Duration::from_millis(2100),
                    ..zone_entry("b", 500)
                },
                zone_entry("c", 500),
            ],
            expected: [NONE, half_of_free_slots],
            ..usual()
        },
        Case {
            name: "a zone sheds, although few requests are in progress",
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
            expected: [NONE, half_of_free_slots],
            ..usual()
        },
        Case {
            name: "a delay of 24 ms is within a tenth of the objective of 250 ms",
            zones: delayed(Some(24)),
            expected: [half_of_free_slots, NONE],
            ..usual()
        },
        Case {
            name: "a delay of 26 ms is not, and the pressures differ by 0.8",
            zones: delayed(Some(26)),
            ..usual()
        },
        Case {
            name: "a delay of 26 ms, and the pressures differ by 1.1",
            local: local_load(1600),
            zones: delayed(Some(26)),
            expected: [half_of_free_slots, NONE],
            ..usual()
        },
        Case {
            name: "a delay of 26 ms, and the objective is a second",
            local: LocalLoad {
                objective: Some(Duration::from_secs(1)),
                ..local_load(1300)
            },
            zones: delayed(Some(26)),
            expected: [half_of_free_slots, NONE],
            ..usual()
        },
        Case {
            name: "an unknown delay counts as long",
            zones: delayed(None),
            ..usual()
        },
        Case {
            name: "no objective is published",
            local: LocalLoad {
                objective: None,
                ..local_load(1300)
            },
            zones: delayed(Some(500)),
            expected: [half_of_free_slots, NONE],
            ..usual()
        },
        Case {
            name: "a larger margin that is not reached",
            config: margin(900),
            ..usual()
        },
        Case {
            name: "a larger margin that is exceeded",
            local: local_load(1500),
            config: margin(900),
            expected: [half_of_free_slots; 2],
            ..usual()
        },
        Case {
            name: "a long delay adds 0.5 to a larger margin",
            local: local_load(1800),
            zones: delayed(Some(26)),
            config: margin(900),
            ..usual()
        },
        Case {
            name: "a large zone with free capacity gets at most half of the flows",
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
        rig.advance_with_digests(6000, &case.zones);
        for (zone, (min, max)) in ["b", "c"].into_iter().zip(case.expected) {
            let share = rig.share(zone);
            assert!(
                (min..=max).contains(&share),
                "{}: {share} for {zone}",
                case.name
            );
        }
    }
}

#[test]
fn test_share_rises_and_decays_by_steps() {
    // Guards against sudden shifts of many flows by all hosts of a zone.
    let zones = [zone_entry("b", 500), zone_entry("c", 500)];
    let mut rig = SpillRig::new(local_load(1300));
    rig.advance_with_digests(200, &zones);
    assert_eq!(rig.total_share(), 50, "the first step");
    for _step in 0..4 {
        let before = rig.total_share();
        rig.advance_with_digests(300, &zones);
        assert!(
            (1..=50).contains(&(rig.total_share() - before)),
            "{}",
            rig.total_share()
        );
    }
    rig.advance_with_digests(4000, &zones);
    let full = rig.total_share();
    rig.local = local_load(500);
    rig.advance_with_digests(300, &zones);
    let after = rig.total_share();
    assert!(
        (full * 4 / 5 - 2..=full * 4 / 5).contains(&after),
        "{full}, {after}"
    );
    rig.advance_with_digests(6000, &zones);
    assert_eq!(rig.total_share(), 0);
}

#[test]
fn test_ineligible_zone_loses_its_share_at_once() {
    // Guards against flows that are spilled to a failed zone while its share decays.
    struct Case {
        name: &'static str,
        fail: fn(&mut SpillRig),
    }
    let remaining = || [zone_entry("c", 500)];
    let cases = [
        Case {
            name: "the zone is evacuated",
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
            name: "the zone's reports become outdated",
            fail: |rig| {
                let late = |millis| ZoneLoadEntry {
                    age: Duration::from_millis(millis),
                    ..zone_entry("b", 500)
                };
                for age in (100..=2000).step_by(100) {
                    rig.advance_with_digests(100, &[late(age), zone_entry("c", 500)]);
                }
                assert!(rig.share("b") > 0, "the last report is still used");
                rig.advance_with_digests(100, &[late(2100), zone_entry("c", 500)]);
            },
        },
    ];
    for case in cases {
        let mut rig = SpillRig::new(local_load(1300));
        rig.advance_with_digests(5000, &[zone_entry("b", 500), zone_entry("c", 500)]);
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
        // When the zone is eligible again, its share rises from zero.
        rig.evacuated.clear();
        rig.local.responding = vec!["b".into(), "c".into()];
        rig.advance_with_digests(300, &remaining());
        let before = rig.total_share();
        rig.advance_with_digests(300, &[zone_entry("b", 500), zone_entry("c", 500)]);
        assert!(rig.share("b") <= 50, "{}: {}", case.name, rig.share("b"));
        assert!(rig.total_share() <= before + 50, "{}", case.name);
    }
}

#[test]
fn test_total_share_is_bounded_while_zones_join() {
    // Guards against a total above its limit when one zone's share rises while the decrease of
    // another's is still too small to be applied.
    let large = |zone: &str, slots| ZoneLoadEntry {
        services: vec![ZoneServiceEntry {
            slots,
            ..service_entry(0)
        }],
        ..zone_entry(zone, 0)
    };
    let mut rig = SpillRig::new(local_load(1300));
    rig.advance_with_digests(6000, &[large("b", 10_000)]);
    assert!(rig.total_share() >= 480);
    for _tick in 0..40 {
        rig.advance_with_digests(100, &[large("b", 10_000), large("c", 500)]);
        let shares = rig.spill.shares(0).iter();
        let sum: u32 = shares.map(|share| share.share).sum();
        assert!(sum <= FULL_SHARE / 2, "{sum}");
    }
}

#[test]
fn test_spill_events() {
    // Guards against an event for each small change, and against the end of spilling without an
    // event.
    let zones = [zone_entry("b", 500), zone_entry("c", 500)];
    let mut rig = SpillRig::new(local_load(1300));
    rig.advance_with_digests(5000, &zones);
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
    rig.local = local_load(300);
    rig.advance_with_digests(8000, &zones);
    let last = rig
        .reported()
        .into_iter()
        .rfind(|(zone, _share)| zone == "b");
    assert_eq!(last, Some(("b".into(), 0)));
    let count = rig.reported().len();
    rig.advance_with_digests(2000, &zones);
    assert_eq!(rig.reported().len(), count, "no event without a change");
}

#[test]
fn test_hosts_together_spill_the_intended_share() {
    // Guards against hosts that together spill more than the share, and against a draw of flows
    // that correlates with another draw from the same hash.
    let zones = [zone_entry("b", 500), zone_entry("c", 500)];
    let mut hosts: Vec<SpillRig> = (0..30)
        .map(|_host| SpillRig::new(local_load(1300)))
        .collect();
    for rig in &mut hosts {
        rig.advance_with_digests(6000, &zones);
    }
    let mut random = StdRng::seed_from_u64(7);
    let flows = 120_000;
    let mut spilled = [0u32; 2];
    let mut spilled_of_lower_half = 0;
    for flow in 0..flows {
        let hash: u64 = random.random();
        let rig = &hosts[flow % hosts.len()];
        let target = rig.spill.target(0, hash);
        spilled[0] += u32::from(target.is_some_and(|zone| zone == "b"));
        spilled[1] += u32::from(target.is_some_and(|zone| zone == "c"));
        spilled_of_lower_half += u32::from(target.is_some() && hash % 1_000_000 < 500_000);
        assert_eq!(
            target,
            hosts[0].spill.target(0, hash),
            "all hosts draw the same flows"
        );
    }
    for (zone, spilled) in ["b", "c"].into_iter().zip(spilled) {
        let mean = f64::from(hosts[0].share(zone)) / 1000.0 * flows as f64;
        // `share` rounds down to thousandths.
        let bound = 4.0 * mean.sqrt() + flows as f64 / 1000.0;
        assert!(
            (f64::from(spilled) - mean).abs() < bound,
            "{zone}: {spilled}, expected {mean}"
        );
    }
    let half = f64::from(spilled[0] + spilled[1]) / 2.0;
    let bound = 4.0 * half.sqrt();
    assert!(
        (f64::from(spilled_of_lower_half) - half).abs() < bound,
        "the draw correlates with that of the route"
    );
}

#[test]
fn test_two_contended_zones_share_free_capacity_of_a_third() {
    // Guards against two zones that each use all free slots of a third and overload it together.
    let free = f64::from(SLOTS) * 0.6;
    let mut sent = 0.0;
    for (own, other) in [("a", "b"), ("b", "a")] {
        let config = ZoneSpillConfig::default();
        let mut rig = SpillRig::new(LocalLoad {
            responding: vec![other.into(), "c".into()],
            ..local_load(1300)
        });
        rig.spill = ZoneSpill::new(own.into(), config);
        rig.advance_with_digests(6000, &[zone_entry(other, 1300), zone_entry("c", 400)]);
        assert!(rig.share("c") > 0);
        sent += f64::from(rig.share("c")) / 1000.0 * 1.3 * f64::from(SLOTS);
    }
    assert!(
        sent <= free / 2.0 + 0.01,
        "{sent} requests into {free} slots"
    );
}

#[test]
fn test_spilled_requests_do_not_end_the_spill() {
    // Guards against oscillating shares: spilled requests even out the pressures of the zones,
    // which must not end the spill.
    let mut rig = SpillRig::new(local_load(1300));
    rig.advance_with_digests(5000, &[zone_entry("b", 500)]);
    let share = rig.share("b");
    assert!(share > 170);
    let sent = 25_000;
    rig.local.in_progress -= sent;
    rig.local.pressure = rig.local.in_progress / SLOTS;
    let mut balanced = zone_entry("b", 500);
    balanced.services[0].in_progress += sent;
    balanced.services[0].sent = sent;
    rig.advance_with_digests(5000, &[balanced]);
    assert_eq!(rig.share("b"), share);
    assert_eq!(rig.spill.demand_pressure(0), 1300);
}

#[test]
fn test_only_aggregators_of_contended_zones_send_queries() {
    // Guards against queries while the service is not contended, and from every host of a zone.
    struct Case {
        name: &'static str,
        is_aggregator: bool,
        pressure: u32,
        queries: usize,
    }
    let cases = [
        Case {
            name: "an aggregator of a contended zone",
            is_aggregator: true,
            pressure: 1300,
            queries: 6,
        },
        Case {
            name: "another host",
            is_aggregator: false,
            pressure: 1300,
            queries: 0,
        },
        Case {
            name: "an aggregator of an uncontended zone",
            is_aggregator: true,
            pressure: 600,
            queries: 0,
        },
    ];
    for case in cases {
        let mut rig = SpillRig::new(local_load(case.pressure));
        rig.is_aggregator = case.is_aggregator;
        let peers = peers_of(rig.now, host(0, 9), ZONE, &[("b", 1), ("c", 2), (ZONE, 3)]);
        let mut due = Vec::new();
        for _tick in 0..30 {
            due.extend(rig.due_datagrams(&peers));
            rig.now += TICK_INTERVAL;
        }
        assert_eq!(due.len(), case.queries, "{}", case.name);
        for addressed in due {
            let targets = [host(1, 2), host(1, 3), host(2, 2), host(2, 3)];
            assert_eq!(addressed.targets, targets, "{}", case.name);
        }
    }
}

#[test]
fn test_unready_hosts_get_no_queries() {
    // Guards against queries to hosts that are about to stop, while others could reply.
    let now = Instant::now();
    let mut peers = peers_of(now, host(0, 9), ZONE, &[("b", 1)]);
    peers.merge_heartbeat(now, host(1, 2), heartbeat("b", 500, false));
    assert_eq!(peers.largest_remote(now, 2), [host(1, 3), host(1, 1)]);
}

/// Returns an aggregator that has exchanged reports with zone b for 4 s and spills flows to it.
fn spilling_aggregator() -> SpillRig {
    let mut rig = SpillRig::new(local_load(1300));
    rig.is_aggregator = true;
    exchange_reports(&mut rig, 8, |rig, query| {
        for number in [2, 3] {
            rig.spill
                .handle_report(rig.now, host(1, number), &reply_to(query, "b", 500));
        }
    });
    assert!(rig.share("b") > 100, "{}", rig.share("b"));
    rig
}

/// Lets the aggregator query the hosts of zone b every 500 ms, `rounds` times. `reply` delivers the
/// replies 4 ms after each query.
fn exchange_reports(
    rig: &mut SpillRig,
    rounds: usize,
    mut reply: impl FnMut(&mut SpillRig, &ZoneLoadReport),
) {
    for _round in 0..rounds {
        let peers = peers_of(rig.now, host(0, 9), ZONE, &[("b", 1)]);
        let query = rig.due_query(&peers);
        rig.now += Duration::from_millis(4);
        reply(rig, &query);
        rig.tick();
        rig.now += Duration::from_millis(246);
        rig.tick();
        rig.now += Duration::from_millis(250);
        rig.tick();
    }
}

/// Returns the zones of the digest that the host would send.
fn entries_of(rig: &SpillRig) -> Vec<ZoneLoadEntry> {
    rig.spill.entries(rig.now, std::slice::from_ref(&rig.local))
}

#[test]
fn test_aggregator_averages_replies_and_measures_delay() {
    let mut rig = SpillRig::new(local_load(1300));
    rig.is_aggregator = true;
    let peers = peers_of(rig.now, host(0, 9), ZONE, &[("b", 1)]);
    let query = rig.due_query(&peers);
    rig.now += Duration::from_millis(4);
    rig.spill
        .handle_report(rig.now, host(1, 2), &reply_to(&query, "b", 400));
    rig.now += Duration::from_millis(4);
    rig.spill
        .handle_report(rig.now, host(1, 3), &reply_to(&query, "b", 600));
    rig.now += Duration::from_millis(100);
    let entries = entries_of(&rig);
    assert_eq!(entries.len(), 1);
    assert_eq!(entries[0].age, Duration::from_millis(100));
    assert_eq!(entries[0].delay, Some(Duration::from_millis(6)));
    assert_eq!(entries[0].services, [service_entry(500)]);
}

#[test]
fn test_digest_lists_the_most_loaded_services() {
    // Guards against digests that grow with the number of services, and against digests without the
    // most loaded service.
    let mut rig = SpillRig::new(local_load(1300));
    rig.is_aggregator = true;
    let services: Vec<LocalLoad> = (0..100)
        .map(|number| LocalLoad {
            index: number,
            tag: number,
            pressure: 800 + number,
            ..local_load(1300)
        })
        .collect();
    let input = SpillInput {
        is_aggregator: true,
        services: &services,
        evacuated: &rig.evacuated,
    };
    let peers = peers_of(rig.now, host(0, 9), ZONE, &[("b", 1)]);
    let due = rig.spill.due_datagrams(rig.now, input, &peers);
    let PeerDatagram::ZoneLoad(query) = &due[0].datagram else {
        panic!("not a zone's load");
    };
    let reply = ZoneLoadReport {
        services: (0..100)
            .map(|service| ZoneServiceLoad {
                service,
                ..service_load(500)
            })
            .collect(),
        ..reply_to(query, "b", 500)
    };
    rig.spill.handle_report(rig.now, host(1, 2), &reply);
    let entries = rig.spill.entries(rig.now, &services);
    let count: usize = entries.iter().map(|entry| entry.services.len()).sum();
    assert!((1..=MAX_DIGEST_LOADS).contains(&count), "{count}");
    assert_eq!(entries[0].services[0].service, 99);
}

#[test]
fn test_reply_of_a_silent_host_expires() {
    // Guards against a mean that includes load from two seconds ago, of a host that no longer
    // replies.
    let mut rig = spilling_aggregator();
    for expected in [900, 1300, 1300] {
        exchange_reports(&mut rig, 1, |rig, query| {
            rig.spill
                .handle_report(rig.now, host(1, 3), &reply_to(query, "b", 1300));
        });
        assert_eq!(entries_of(&rig)[0].services[0].pressure, expected);
    }
}

#[test]
fn test_spilled_requests_of_all_zones_are_summed() {
    // Guards against a load of a zone that omits the requests spilled to it from two other zones.
    let mut rig = SpillRig::new(local_load(1300));
    rig.is_aggregator = true;
    rig.local.sent = vec![SpilledRequests {
        zone: "b".into(),
        in_progress: 10_000,
    }];
    let peers = peers_of(rig.now, host(0, 9), ZONE, &[("b", 1), ("c", 2)]);
    let query = rig.due_query(&peers);
    let mut reply_of_c = reply_to(&query, "c", 1200);
    reply_of_c.services[0].visits = vec![
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
        .handle_report(rig.now, host(1, 2), &reply_to(&query, "b", 500));
    rig.spill.handle_report(rig.now, host(2, 2), &reply_of_c);
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
    // Guards against a zone that loses its share because of one lost datagram, and against one that
    // keeps its share although it no longer replies.
    struct Case {
        name: &'static str,
        /// Hosts of zone b whose replies arrive.
        replies: &'static [u8],
        rounds: usize,
        keeps_share: bool,
    }
    let cases = [
        Case {
            name: "no reply of one of two hosts",
            replies: &[3],
            rounds: 10,
            keeps_share: true,
        },
        Case {
            name: "no reply for a second and a half",
            replies: &[],
            rounds: 3,
            keeps_share: true,
        },
        Case {
            name: "no reply for more than two seconds",
            replies: &[],
            rounds: 5,
            keeps_share: false,
        },
    ];
    for case in cases {
        let mut rig = spilling_aggregator();
        let before = rig.share("b");
        exchange_reports(&mut rig, case.rounds, |rig, query| {
            for number in case.replies {
                rig.spill
                    .handle_report(rig.now, host(1, *number), &reply_to(query, "b", 500));
            }
        });
        let expected = if case.keeps_share { before } else { 0 };
        assert_eq!(rig.share("b"), expected, "{}", case.name);
        exchange_reports(&mut rig, 8, |rig, query| {
            rig.spill
                .handle_report(rig.now, host(1, 2), &reply_to(query, "b", 500));
        });
        assert_eq!(
            rig.share("b"),
            before,
            "{}: replies arrive again",
            case.name
        );
    }
}

#[test]
fn test_outdated_replies_are_ignored() {
    // Guards against loads and ages from replies that are duplicated, out of order, late or without
    // a query.
    struct Case {
        name: &'static str,
        deliver: fn(&mut SpillRig, &[ZoneLoadReport]),
        /// Pressure, and age in milliseconds, of zone b in the aggregator's digest.
        expected: Option<(u32, u64)>,
    }
    let cases = [
        Case {
            name: "in order",
            deliver: |rig, queries| {
                rig.spill
                    .handle_report(rig.now, host(1, 2), &reply_to(&queries[0], "b", 400));
                rig.spill
                    .handle_report(rig.now, host(1, 2), &reply_to(&queries[1], "b", 600));
            },
            expected: Some((600, 0)),
        },
        Case {
            name: "out of order",
            deliver: |rig, queries| {
                rig.spill
                    .handle_report(rig.now, host(1, 2), &reply_to(&queries[1], "b", 600));
                rig.spill
                    .handle_report(rig.now, host(1, 2), &reply_to(&queries[0], "b", 400));
            },
            expected: Some((600, 0)),
        },
        Case {
            name: "duplicated",
            deliver: |rig, queries| {
                let reply = reply_to(&queries[1], "b", 600);
                rig.spill.handle_report(rig.now, host(1, 2), &reply);
                rig.now += Duration::from_millis(300);
                rig.spill.handle_report(rig.now, host(1, 2), &reply);
            },
            expected: Some((600, 300)),
        },
        Case {
            name: "after 2.1 seconds",
            deliver: |rig, queries| {
                rig.now += Duration::from_millis(2100);
                rig.spill
                    .handle_report(rig.now, host(1, 2), &reply_to(&queries[1], "b", 600));
            },
            expected: None,
        },
        Case {
            name: "without a query",
            deliver: |rig, queries| {
                let unmatched = ZoneLoadReport {
                    sequence: queries[1].sequence + 1,
                    ..reply_to(&queries[1], "b", 600)
                };
                rig.spill.handle_report(rig.now, host(1, 2), &unmatched);
            },
            expected: None,
        },
        Case {
            name: "from the own zone",
            deliver: |rig, queries| {
                rig.spill
                    .handle_report(rig.now, host(0, 2), &reply_to(&queries[1], ZONE, 600));
            },
            expected: None,
        },
        Case {
            name: "from a zone without a name",
            deliver: |rig, queries| {
                rig.spill
                    .handle_report(rig.now, host(0, 2), &reply_to(&queries[1], "", 600));
            },
            expected: None,
        },
    ];
    for case in cases {
        let mut rig = SpillRig::new(local_load(1300));
        rig.is_aggregator = true;
        let peers = peers_of(rig.now, host(0, 9), ZONE, &[("b", 1)]);
        let first = rig.due_query(&peers);
        rig.now += Duration::from_millis(500);
        let queries = [first, rig.due_query(&peers)];
        (case.deliver)(&mut rig, &queries);
        let entries = entries_of(&rig);
        let reported = entries
            .first()
            .map(|entry| (entry.services[0].pressure, entry.age.as_millis() as u64));
        assert_eq!(reported, case.expected, "{}", case.name);
    }
}

#[test]
fn test_reports_of_a_restarted_remote_host_are_accepted() {
    // Guards against reports that are ignored permanently because the sender's sequence starts at 1
    // again after a restart.
    let mut rig = spilling_aggregator();
    let remote_query = |sequence, pressure| ZoneLoadReport {
        zone: "b".into(),
        sequence,
        wants_reply: true,
        services: vec![service_load(pressure)],
    };
    assert!(
        rig.spill
            .handle_report(rig.now, host(1, 7), &remote_query(900, 600))
    );
    for sequence in 1..=25 {
        rig.now += TICK_INTERVAL;
        rig.spill
            .handle_report(rig.now, host(1, 7), &remote_query(sequence, 700));
        rig.tick();
    }
    assert_eq!(entries_of(&rig)[0].services[0].pressure, 700);
}

#[test]
fn test_change_of_aggregator_keeps_shares() {
    // Guards against shares that drop to zero, and against ages of reports that start at zero
    // again, when an aggregator fails and another host takes over.
    let mut previous = spilling_aggregator();
    let mut next = SpillRig::new(local_load(1300));
    next.now = previous.now;
    for _tick in 0..40 {
        exchange_reports(&mut previous, 1, |rig, query| {
            rig.spill
                .handle_report(rig.now, host(1, 2), &reply_to(query, "b", 500));
        });
        next.now = previous.now;
        next.digest(&entries_of(&previous));
        next.tick();
    }
    let share = next.share("b");
    assert_eq!(
        share,
        previous.share("b"),
        "both hosts compute the same share"
    );
    let age = entries_of(&previous)[0].age;
    next.is_aggregator = true;
    next.advance_without_digests(1000);
    assert_eq!(next.share("b"), share);
    assert_eq!(entries_of(&next)[0].age, age + Duration::from_secs(1));
    let peers = peers_of(next.now, host(0, 9), ZONE, &[("b", 1)]);
    let query = next.due_query(&peers);
    next.spill
        .handle_report(next.now, host(1, 3), &reply_to(&query, "b", 500));
    next.advance_without_digests(1900);
    assert_eq!(next.share("b"), share, "replies to its own queries");
    next.advance_without_digests(300);
    assert_eq!(next.share("b"), 0, "no reply for two seconds");
}

#[test]
fn test_half_of_a_zone_without_replies_ends_spill() {
    // Guards against a half of a partitioned zone that spills flows by reports that it cannot
    // renew, and against one that stops spilling although it still gets replies.
    let mut connected = spilling_aggregator();
    let mut disconnected = spilling_aggregator();
    let share = connected.share("b");
    for round in 0..6 {
        exchange_reports(&mut connected, 1, |rig, query| {
            rig.spill
                .handle_report(rig.now, host(1, 2), &reply_to(query, "b", 500));
        });
        exchange_reports(&mut disconnected, 1, |_rig, _query| {});
        assert_eq!(connected.share("b"), share, "round {round}");
        let expected = if round < 3 { share } else { 0 };
        assert_eq!(disconnected.share("b"), expected, "round {round}");
    }
}

#[test]
fn test_digests_of_two_aggregators() {
    // Guards against shares that alternate between the digests of two aggregators.
    let entries = |pressure| [zone_entry("b", pressure)];
    let mut rig = SpillRig::new(local_load(1300));
    let (more_reporters, fewer_reporters) = (host(0, 1), host(0, 2));
    for sequence in 1..40 {
        rig.now += TICK_INTERVAL;
        rig.spill
            .handle_digest(rig.now, more_reporters, sequence, 6, &entries(500));
        rig.spill
            .handle_digest(rig.now, fewer_reporters, sequence, 2, &entries(1300));
        rig.tick();
    }
    let share = rig.share("b");
    assert!(share > 100);
    rig.spill
        .handle_digest(rig.now, more_reporters, 12, 6, &entries(1300));
    rig.advance_without_digests(500);
    assert_eq!(rig.share("b"), share, "an older digest is ignored");
    for sequence in 40..100 {
        rig.now += TICK_INTERVAL;
        rig.spill
            .handle_digest(rig.now, fewer_reporters, sequence, 2, &entries(1300));
        rig.tick();
    }
    assert_eq!(
        rig.share("b"),
        0,
        "the digests of the other aggregator have ended"
    );
}

#[test]
fn test_reset_after_a_stall_ends_spill() {
    // Guards against spilling after a stall by shares from before it.
    let mut rig = SpillRig::new(local_load(1300));
    rig.advance_with_digests(5000, &[zone_entry("b", 500)]);
    rig.spill.reset();
    assert_eq!(rig.total_share(), 0);
    rig.advance_without_digests(1000);
    assert_eq!(rig.total_share(), 0);
}

#[test]
fn test_invalid_reports_are_rejected_whole() {
    // Guards against one faulty host whose reports shift the flows of other zones.
    struct Case {
        name: &'static str,
        change: fn(&mut ZoneLoadReport),
        valid: bool,
    }
    let max_in_progress = MAX_REQUESTS as u32 * 1000;
    assert_eq!(max_in_progress, 65_535_000);
    let cases = [
        Case {
            name: "the maximum number of requests",
            change: |report| report.services[0].in_progress = 65_535_000,
            valid: true,
        },
        Case {
            name: "a thousandth of a request above the maximum",
            change: |report| report.services[0].in_progress = 65_535_001,
            valid: false,
        },
        Case {
            name: "above the maximum in two services together",
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
            name: "above the maximum in other zones",
            change: |report| {
                report.services[0].visits = vec![SpilledRequests {
                    zone: "c".into(),
                    in_progress: u32::MAX,
                }];
            },
            valid: false,
        },
        Case {
            name: "a pressure above the maximum",
            change: |report| report.services[0].pressure = u32::MAX,
            valid: false,
        },
        Case {
            name: "a duplicate service",
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
        let mut rig = SpillRig::new(local_load(1300));
        rig.is_aggregator = true;
        let peers = peers_of(rig.now, host(0, 9), ZONE, &[("b", 1)]);
        let query = rig.due_query(&peers);
        let mut report = ZoneLoadReport {
            wants_reply: true,
            ..reply_to(&query, "b", 500)
        };
        (case.change)(&mut report);
        let is_replied_to = rig.spill.handle_report(rig.now, host(1, 2), &report);
        rig.tick();
        assert_eq!(is_replied_to, case.valid, "{}", case.name);
        assert_eq!(!entries_of(&rig).is_empty(), case.valid, "{}", case.name);
        assert_eq!(rig.rejections(), usize::from(!case.valid), "{}", case.name);
        let mut entry = zone_entry("b", 500);
        entry.services[0].sent = entry.services[0].in_progress + 1;
        rig.digest(&[entry]);
        rig.tick();
        let mut entry = zone_entry("b", 500);
        entry.services[0].away = u32::MAX;
        rig.digest(&[entry]);
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
fn test_uncontended_host_replies_to_queries() {
    // Guards against zones whose free capacity stays unknown because hosts send reports only while
    // the service is contended.
    let mut rig = CoreRig::with_entries(vec![
        entry(1, "ledger"),
        entry(2, "ledger"),
        entry(3, "certs"),
    ]);
    for flow in 0..3 {
        rig.open(flow, 0);
    }
    let query = ZoneLoadReport {
        zone: "b".into(),
        sequence: 41,
        wants_reply: true,
        services: vec![service_load(1300)],
    };
    let sender = host(1, 2);
    let own_reply = rig.core.handle_zone_load(rig.now, sender, &query);
    let own_reply = own_reply.expect("a reply");
    assert_eq!(own_reply.targets, [sender]);
    let PeerDatagram::ZoneLoad(report) = own_reply.datagram else {
        panic!("not a zone's load");
    };
    assert_eq!((report.zone.as_str(), report.sequence), (ZONE, 41));
    assert!(!report.wants_reply);
    assert_eq!(report.services.len(), 1, "only the services of the query");
    let load = &report.services[0];
    assert_eq!((load.service, load.slots), (ledger_tag(), 4));
    assert!(load.in_progress >= 3000, "{load:?}");
    assert_eq!(load.pressure, load.in_progress / 4);
    assert!(!load.is_contended);
    let reply = ZoneLoadReport {
        wants_reply: false,
        ..query
    };
    assert_eq!(rig.core.handle_zone_load(rig.now, sender, &reply), None);
}

#[test]
fn test_uncontended_core_sends_no_queries_and_reports_invalid_counts() {
    let mut rig = CoreRig::with_ledger(&[1, 2, 3]);
    rig.core
        .handle_heartbeat(rig.now, host(1, 2), heartbeat("b", 500, true), false);
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
        rig.advance_time(100);
        assert_eq!(rig.core.due_load_datagrams(rig.now), []);
    }
    assert!(rig.core.spill().shares(0).is_empty());
    let is_rejection = |event: &&DecisionEvent| matches!(event, DecisionEvent::LoadRejected { peer } if *peer == host(1, 2));
    assert_eq!(rig.events.iter().filter(is_rejection).count(), 1);
}

#[test]
fn test_zone_report_and_digest_sizes() {
    // Guards against reports that use too much of a small host's link, or that do not fit into a
    // datagram.
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
    println!("report of 5 services: {usual} bytes; {rate} bytes/s sent");
    assert!(
        rate < 5000,
        "a fifth of the 25 KB/s of a host's control traffic"
    );
    let truncated_to_fit = with_services(300, &["zone-2", "zone-3"]).truncated_to_fit();
    assert!(truncated_to_fit.services.len() > 20);
    let mut pressures = truncated_to_fit.services.iter().map(|load| load.pressure);
    assert!(
        pressures.all(|pressure| pressure > 1200),
        "the most loaded services are kept"
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
    assert!(
        added <= MAX_DATAGRAM_BYTES / 2,
        "half of the digest remains for upstreams"
    );
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
            service: ledger_tag() ^ load.0,
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

/// Load and state of the zones at one tick.
#[derive(Clone, Debug)]
struct TickCase {
    pressure: u32,
    contended: bool,
    sent: u32,
    /// Pressure in thousandths, age in milliseconds, and slots of zones b and c.
    zones: [(u32, u64, u32); 2],
    evacuated: [bool; 2],
    responding: [bool; 2],
}

fn tick_case() -> impl Strategy<Value = TickCase> {
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
            |(pressure, contended, sent, zones, evacuated, silent)| TickCase {
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
    fn test_shares_stay_within_bounds(ticks in prop::collection::vec(tick_case(), 1..60)) {
        // Guards against shares outside their limits for any sequence of reports.
        let mut rig = SpillRig::new(local_load(1300));
        let mut sums = vec![0u32; 1];
        for tick_case in ticks {
            rig.now += TICK_INTERVAL;
            rig.local = LocalLoad {
                is_contended: tick_case.contended,
                ..local_load(tick_case.pressure)
            };
            rig.evacuated.clear();
            rig.local.responding.clear();
            let mut entries = Vec::new();
            for (index, zone) in ["b", "c"].into_iter().enumerate() {
                let (pressure, age, slots) = tick_case.zones[index];
                let mut entry = zone_entry(zone, pressure);
                entry.age = Duration::from_millis(age);
                entry.services[0].slots = slots;
                entry.services[0].sent = tick_case.sent.min(entry.services[0].in_progress);
                entries.push(entry);
                if tick_case.evacuated[index] {
                    rig.evacuate(zone);
                }
                if tick_case.responding[index] {
                    rig.local.responding.push(zone.into());
                }
            }
            rig.digest(&entries);
            rig.tick();
            let shares = rig.spill.shares(0);
            let sum: u32 = shares.iter().map(|share| share.share).sum();
            prop_assert!(sum <= FULL_SHARE / 2);
            // Three ticks cover 200 ms, in which shares change by at most one step.
            let before = sums[sums.len().saturating_sub(2)..].iter().max().copied();
            prop_assert!(sum <= before.unwrap_or(0) + FULL_SHARE / 20, "{sums:?}, {sum}");
            sums.push(sum);
            for (index, zone) in ["b", "c"].into_iter().enumerate() {
                let (_pressure, age, slots) = tick_case.zones[index];
                let is_excluded = tick_case.evacuated[index] || !tick_case.responding[index];
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
        // Guards against a report that crashes the host that receives it.
        let mut rig = SpillRig::new(local_load(1300));
        rig.is_aggregator = true;
        let peers = peers_of(rig.now, host(0, 9), ZONE, &[("b", 1)]);
        let mut core = CoreRig::with_ledger(&[1, 2]);
        for (report, from, millis) in reports {
            rig.now += Duration::from_millis(millis);
            rig.due_datagrams(&peers);
            rig.spill.handle_report(rig.now, host(1, from % 8), &report);
            rig.tick();
            let entries = entries_of(&rig);
            prop_assert!(entries.len() <= MAX_DIGEST_LOADS);
            rig.digest(&entries);
            prop_assert!(rig.total_share() <= 500);
            core.core.handle_zone_load(core.now, host(1, from % 8), &report);
        }
    }

    #[test]
    fn test_arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        // Guards against a malformed datagram that crashes the host that receives it.
        let mut datagram = vec![7, 5];
        datagram.extend(bytes);
        if let Ok(PeerDatagram::ZoneLoad(report)) = PeerDatagram::decode(&datagram) {
            let mut rig = SpillRig::new(local_load(1300));
            rig.spill.handle_report(rig.now, host(1, 2), &report);
            rig.tick();
        }
    }
}
