//! Tests of the evacuation of availability zones, in one core and in a simulated fleet.

use std::time::Duration;

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::packet_action::DecisionEvent;
use lagoonproxy_packet::packet_status::PacketStatus;
use lagoonproxy_packet::state::state_snapshot::PublishedItem;
use lagoonproxy_packet::state::state_snapshot::StateQuery;
use lagoonproxy_packet::upstreams::upstream_entry::EntryState;
use lagoonproxy_packet::upstreams::upstream_entry::UpstreamEntry;

use crate::core_rig::*;
use crate::fleet_rig::*;
use crate::test_peer_table::query;

/// Maximum time from the publication of an evacuation until every host applies it, without
/// failures.
const HEALTHY_BOUND_MILLIS: u64 = 1000;

/// Maximum time while the reader of a zone is replaced.
const READER_BOUND_MILLIS: u64 = 3000;

/// Maximum time during any other failure.
const FAILURE_BOUND_MILLIS: u64 = 5000;

fn entry_in(number: u8, zone: &str) -> UpstreamEntry {
    UpstreamEntry {
        zone: zone.into(),
        ..entry(number, "ledger")
    }
}

/// Returns a core in zone "a" with two upstreams each in zones "a", "b" and "c".
fn three_zones() -> CoreRig {
    let entries = [(1, "a"), (2, "a"), (3, "b"), (4, "b"), (5, "c"), (6, "c")];
    let entries = entries.map(|(number, zone)| entry_in(number, zone));
    CoreRig::with_entries(entries.to_vec())
}

/// Opens 60 flows, with two retransmissions of each SYN. Returns the upstreams that got any of
/// them, in ascending order.
fn used_upstreams(rig: &mut CoreRig) -> Vec<u8> {
    let mut used = Vec::new();
    for flow in 1000..1060 {
        for transmission in 0..3 {
            used.extend(rig.open(flow, transmission));
            rig.advance_time(200);
        }
    }
    used.sort_unstable();
    used.dedup();
    used
}

#[test]
fn test_evacuated_zone_gets_no_new_flow() {
    // Guards against SYNs, hedged SYNs, probes and retransmissions that enter an evacuated zone.
    struct Case {
        name: &'static str,
        evacuated: &'static [&'static str],
        prepare: fn(&mut CoreRig),
        allowed: &'static [u8],
    }
    let nothing = |_rig: &mut CoreRig| {};
    let cases = [
        Case {
            name: "own zone",
            evacuated: &["a"],
            prepare: nothing,
            allowed: &[3, 4, 5, 6],
        },
        Case {
            name: "other zone, own zone without upstreams",
            evacuated: &["b"],
            prepare: |rig| {
                rig.publish(|revision| removed_item(revision, 1));
                rig.publish(|revision| removed_item(revision, 2));
            },
            allowed: &[5, 6],
        },
        Case {
            name: "two zones, third zone saturated",
            evacuated: &["a", "b"],
            prepare: |rig| {
                for flow in 0..40 {
                    let upstream = rig.establish(flow);
                    rig.request(flow, upstream, 0);
                }
            },
            allowed: &[5, 6],
        },
        Case {
            name: "two zones, no upstream of the third responds",
            evacuated: &["a", "b"],
            prepare: |rig| {
                for flow in 0..20 {
                    rig.open(flow, 0);
                    rig.advance_time(210);
                    rig.open(flow, 1);
                    rig.advance_time(410);
                    rig.open(flow, 2);
                }
            },
            allowed: &[5, 6],
        },
        Case {
            name: "upstream registers there later",
            evacuated: &["a"],
            prepare: |rig| {
                rig.publish(|revision| upstream_item(revision, entry_in(7, "a")));
                rig.publish(|revision| upstream_item(revision, entry_in(1, "a")));
            },
            allowed: &[3, 4, 5, 6],
        },
        Case {
            name: "upstream moves there",
            evacuated: &["a"],
            prepare: |rig| rig.publish(|revision| upstream_item(revision, entry_in(3, "a"))),
            allowed: &[4, 5, 6],
        },
        Case {
            name: "store unreachable since the evacuation",
            evacuated: &["a"],
            prepare: |rig| {
                rig.store_unreachable = true;
                rig.advance_time(20_000);
            },
            allowed: &[3, 4, 5, 6],
        },
    ];
    for case in cases {
        let mut rig = three_zones();
        for zone in case.evacuated {
            rig.publish(|revision| evacuation_item(revision, zone));
        }
        (case.prepare)(&mut rig);
        let used = used_upstreams(&mut rig);
        assert!(!used.is_empty(), "{}: no upstream is used", case.name);
        let unexpected = used.iter().filter(|number| !case.allowed.contains(number));
        let unexpected: Vec<_> = unexpected.collect();
        assert!(
            unexpected.is_empty(),
            "{}: flows went to {unexpected:?}",
            case.name
        );
    }
}

#[test]
fn test_open_flows_stay_in_evacuated_zone() {
    // Guards against an evacuation that ends established flows.
    let mut rig = three_zones();
    let upstream = rig.establish(1);
    let first_upstreams = rig.open(2, 0);
    rig.publish(|revision| evacuation_item(revision, ZONE));
    assert_eq!(forwarded(&rig.request(1, upstream, 0)), [upstream]);
    let opened = established_head(2, first_upstreams[0], 0, 1, 0);
    assert_eq!(forwarded(&rig.packet(&opened)), [first_upstreams[0]]);
    for turn in 1..20 {
        rig.advance_time(1000);
        let upstreams = forwarded(&rig.request(1, upstream, turn));
        rig.acknowledge(1, upstream, turn);
        assert_eq!(upstreams, [upstream], "turn {turn}");
    }
    assert!(rig.resets.is_empty(), "{:?}", rig.resets);
}

#[test]
fn test_retransmitted_syn_leaves_evacuated_zone() {
    // Guards against a retransmitted SYN that is sent to the zone that got the first SYN.
    let mut rig = three_zones();
    assert!(rig.open(1, 0)[0] <= 2);
    rig.publish(|revision| evacuation_item(revision, ZONE));
    rig.advance_time(200);
    let retransmission = rig.open(1, 1);
    assert!(
        retransmission.iter().all(|number| *number > 2),
        "{retransmission:?}"
    );
}

#[test]
fn test_late_syn_of_an_open_flow_stays_out_of_evacuated_zone() {
    // Guards against a new flow in the zone for a SYN that arrives late, or after the caller has
    // reused its port.
    let mut rig = three_zones();
    let upstream = rig.establish(1);
    rig.publish(|revision| evacuation_item(revision, ZONE));
    rig.advance_time(6000);
    assert!(rig.open(1, 0).is_empty(), "the SYN");
    assert_eq!(forwarded(&rig.request(1, upstream, 0)), [upstream]);
}

#[test]
fn test_refused_at_once_if_every_zone_is_evacuated() {
    // Guards against callers that wait until their deadlines because no upstream may serve them.
    struct Case {
        name: &'static str,
        evacuated: &'static [&'static str],
        entries: Vec<UpstreamEntry>,
        code: ResultCode,
    }
    let cases = [
        Case {
            name: "every zone",
            evacuated: &["a", "b"],
            entries: vec![entry_in(1, "a"), entry_in(2, "b")],
            code: ResultCode::ZoneEvacuated,
        },
        Case {
            name: "all other upstreams drain",
            evacuated: &["b"],
            entries: vec![
                UpstreamEntry {
                    state: EntryState::Draining,
                    ..entry_in(1, "a")
                },
                entry_in(2, "b"),
            ],
            code: ResultCode::ZoneEvacuated,
        },
        Case {
            name: "only a draining upstream is evacuated",
            evacuated: &["b"],
            entries: vec![UpstreamEntry {
                state: EntryState::Draining,
                ..entry_in(2, "b")
            }],
            code: ResultCode::NoUpstream,
        },
        Case {
            name: "zone without upstreams",
            evacuated: &["nowhere"],
            entries: vec![],
            code: ResultCode::NoUpstream,
        },
    ];
    for case in cases {
        let mut rig = CoreRig::with_entries(case.entries);
        for zone in case.evacuated {
            rig.publish(|revision| evacuation_item(revision, zone));
        }
        let code = reset_code(&rig.packet(&open_head(1, 0)));
        assert_eq!(code, Some(case.code), "{}", case.name);
    }
}

#[test]
fn test_restored_zone_gets_flows_again() {
    let mut rig = three_zones();
    rig.publish(|revision| evacuation_item(revision, ZONE));
    rig.publish(|revision| evacuation_item(revision, "b"));
    assert!(rig.establish(1) >= 5);
    rig.publish(|revision| restored_item(revision, ZONE));
    assert!(rig.establish(2) <= 2);
    rig.publish(|revision| evacuation_item(revision, ZONE));
    assert!(rig.establish(3) >= 5);
}

#[test]
fn test_open_flows_of_evacuated_zones_are_counted() {
    // Guards against a status that reports an evacuated zone as empty while flows still use it.
    let mut rig = three_zones();
    for flow in 0..4 {
        rig.establish(flow);
    }
    rig.publish(|revision| evacuation_item(revision, ZONE));
    rig.publish(|revision| evacuation_item(revision, "nowhere"));
    let status = PacketStatus::of(&rig.core, rig.now);
    let zones = status.evacuated.iter();
    let counts: Vec<_> = zones.map(|zone| (zone.zone.as_str(), zone.flows)).collect();
    assert_eq!(counts, [(ZONE, 4), ("nowhere", 0)]);
    rig.advance_time(20_000);
    let status = PacketStatus::of(&rig.core, rig.now);
    assert_eq!(status.evacuated[0].flows, 0, "idle flows end");
}

#[test]
fn test_unknown_zones_are_reported_and_ignored() {
    // Guards against a misspelt zone name that is not reported, and against the effects of hundreds
    // of unknown zones on placement.
    struct Case {
        name: &'static str,
        zone: &'static str,
        known: bool,
    }
    let cases = [
        Case {
            name: "in the settings",
            zone: "b",
            known: true,
        },
        Case {
            name: "only of an upstream",
            zone: "c",
            known: true,
        },
        Case {
            name: "unknown",
            zone: "nowhere",
            known: false,
        },
    ];
    let mut rig = three_zones();
    for case in cases {
        rig.events.clear();
        rig.publish(|revision| evacuation_item(revision, case.zone));
        let known = rig.events.iter().find_map(|event| match event {
            DecisionEvent::Evacuation { known, .. } => Some(*known),
            _ => None,
        });
        assert_eq!(known, Some(case.known), "{}", case.name);
    }
    for number in 0..300 {
        let zone = format!("nowhere-{number}");
        rig.publish(|revision| evacuation_item(revision, &zone));
    }
    assert!(rig.establish(1) <= 2, "the own zone still gets flows");
}

/// Returns a fleet in three zones that has run for 8 s.
fn settled_fleet(hosts_per_zone: u8, seed: u64) -> FleetRig {
    let mut rig = FleetRig::new(&FleetPlan {
        zones: 3,
        hosts_per_zone,
        large_hosts_per_zone: 2,
        seed,
    });
    rig.start_all();
    rig.advance_time(8000);
    rig
}

/// Returns the running hosts on which the zone is not evacuated as expected.
fn outdated_hosts(rig: &FleetRig, zone: &str, evacuated: bool) -> Vec<HostIndex> {
    let hosts = (0..rig.hosts.len()).filter(|index| rig.hosts[*index].alive);
    hosts
        .filter(|index| rig.evacuates(*index, zone) != evacuated)
        .collect()
}

fn evacuate(rig: &mut FleetRig, zone: &str) {
    rig.publish(|revision| evacuation_item(revision, zone));
}

fn restore(rig: &mut FleetRig, zone: &str) {
    rig.publish(|revision| restored_item(revision, zone));
}

/// Advances time by `millis` with a change of a registration every 200 ms.
fn advance_with_registrations(rig: &mut FleetRig, millis: u64) {
    rig.advance_with_changes(millis, 200);
}

#[test]
fn test_evacuation_reaches_every_host_in_time() {
    // Guards against hosts that continue to place flows in an evacuated zone.
    struct Case {
        name: &'static str,
        hosts_per_zone: u8,
        fail: fn(&mut FleetRig),
        bound: u64,
    }
    let cases = [
        Case {
            name: "no failure",
            hosts_per_zone: 100,
            fail: |_rig| {},
            bound: HEALTHY_BOUND_MILLIS,
        },
        Case {
            name: "one reader is killed",
            hosts_per_zone: 100,
            fail: |rig| {
                let reader = rig.readers("zone-1")[0];
                rig.kill(reader);
            },
            bound: READER_BOUND_MILLIS,
        },
        Case {
            name: "every reader is killed",
            hosts_per_zone: 30,
            fail: |rig| {
                for zone in rig.zones() {
                    for reader in rig.readers(&zone) {
                        rig.kill(reader);
                    }
                }
            },
            bound: READER_BOUND_MILLIS,
        },
        Case {
            name: "every 17th host is rejected by the store",
            hosts_per_zone: 30,
            fail: |rig| {
                for index in (0..rig.hosts.len()).step_by(17) {
                    rig.hosts[index].served = false;
                }
            },
            bound: READER_BOUND_MILLIS,
        },
        Case {
            name: "the readers and a third of the hosts are rejected by the store",
            hosts_per_zone: 30,
            fail: |rig| {
                let zones = rig.zones();
                let readers: Vec<_> = zones.iter().flat_map(|zone| rig.readers(zone)).collect();
                for index in 0..rig.hosts.len() {
                    rig.hosts[index].served = index % 3 != 0 && !readers.contains(&index);
                }
            },
            bound: FAILURE_BOUND_MILLIS,
        },
        Case {
            name: "store drops its history",
            hosts_per_zone: 30,
            fail: |rig| rig.drop_history(),
            bound: READER_BOUND_MILLIS,
        },
    ];
    for case in cases {
        let mut rig = settled_fleet(case.hosts_per_zone, 11);
        (case.fail)(&mut rig);
        evacuate(&mut rig, "zone-2");
        advance_with_registrations(&mut rig, case.bound);
        let outdated = outdated_hosts(&rig, "zone-2", true);
        assert!(
            outdated.is_empty(),
            "{}: {outdated:?} still place flows",
            case.name
        );
        restore(&mut rig, "zone-2");
        advance_with_registrations(&mut rig, case.bound.max(READER_BOUND_MILLIS));
        let outdated = outdated_hosts(&rig, "zone-2", false);
        assert!(
            outdated.is_empty(),
            "{}: {outdated:?} still evacuate it",
            case.name
        );
    }
}

#[test]
fn test_frozen_reader_delays_no_evacuation() {
    // Guards against a zone that waits for its stalled reader.
    let mut rig = settled_fleet(30, 12);
    let reader = rig.readers("zone-1")[0];
    rig.freeze(reader, Duration::from_secs(8));
    evacuate(&mut rig, "zone-3");
    advance_with_registrations(&mut rig, FAILURE_BOUND_MILLIS);
    let outdated = outdated_hosts(&rig, "zone-3", true);
    assert_eq!(outdated, [reader], "only the frozen host may be outdated");
}

#[test]
fn test_zones_evacuated_in_turn_with_overlap() {
    let mut rig = settled_fleet(30, 13);
    struct Step {
        evacuates: bool,
        zone: &'static str,
        expected: [bool; 3],
    }
    let step = |evacuates, zone, expected| Step {
        evacuates,
        zone,
        expected,
    };
    let steps = [
        step(true, "zone-1", [true, false, false]),
        step(true, "zone-2", [true, true, false]),
        step(false, "zone-1", [false, true, false]),
        step(true, "zone-3", [false, true, true]),
        step(false, "zone-3", [false, true, false]),
        step(false, "zone-2", [false, false, false]),
    ];
    for Step {
        evacuates,
        zone,
        expected,
    } in steps
    {
        match evacuates {
            true => evacuate(&mut rig, zone),
            false => restore(&mut rig, zone),
        }
        advance_with_registrations(&mut rig, HEALTHY_BOUND_MILLIS);
        for (number, evacuated) in expected.into_iter().enumerate() {
            let name = format!("zone-{}", number + 1);
            let outdated = outdated_hosts(&rig, &name, evacuated);
            assert!(outdated.is_empty(), "{zone}, then {name}: {outdated:?}");
        }
    }
}

#[test]
fn test_evacuation_cancelled_at_once_ends_on_every_host() {
    // Guards against hosts that receive the evacuation after its end and apply it.
    let mut rig = settled_fleet(30, 14);
    for _round in 0..5 {
        evacuate(&mut rig, "zone-1");
        rig.advance_time(20);
        restore(&mut rig, "zone-1");
        advance_with_registrations(&mut rig, 200);
    }
    advance_with_registrations(&mut rig, HEALTHY_BOUND_MILLIS);
    let outdated = outdated_hosts(&rig, "zone-1", false);
    assert!(outdated.is_empty(), "{outdated:?} still evacuate it");
}

#[test]
fn test_restarted_hosts_know_the_evacuation_before_they_are_ready() {
    // Guards against hosts that accept callers' packets before they apply the evacuation.
    let mut rig = settled_fleet(30, 15);
    evacuate(&mut rig, "zone-2");
    advance_with_registrations(&mut rig, 500);
    for index in 0..rig.hosts.len() {
        rig.kill(index);
    }
    rig.advance_time(1000);
    rig.start_all();
    for _step in 0..200 {
        rig.advance_time(20);
        let early = (0..rig.hosts.len())
            .filter(|index| rig.hosts[*index].core.is_ready())
            .find(|index| !rig.evacuates(*index, "zone-2"));
        assert_eq!(early, None, "ready without the evacuation");
    }
    let outdated = outdated_hosts(&rig, "zone-2", true);
    assert!(outdated.is_empty(), "{outdated:?} do not evacuate it");
}

#[test]
fn test_partitioned_zone_learns_of_its_evacuation() {
    // Guards against a zone that is partitioned from the others, but not from the store, and misses
    // its own evacuation.
    let mut rig = settled_fleet(30, 16);
    let members = (0..rig.hosts.len()).filter(|index| rig.hosts[*index].zone == "zone-3");
    let members: Vec<HostIndex> = members.collect();
    rig.isolate(members);
    evacuate(&mut rig, "zone-3");
    advance_with_registrations(&mut rig, READER_BOUND_MILLIS);
    let outdated = outdated_hosts(&rig, "zone-3", true);
    assert!(outdated.is_empty(), "{outdated:?} still place flows");
    rig.isolate([]);
    restore(&mut rig, "zone-3");
    advance_with_registrations(&mut rig, READER_BOUND_MILLIS);
    let outdated = outdated_hosts(&rig, "zone-3", false);
    assert!(outdated.is_empty(), "{outdated:?} still evacuate it");
}

#[test]
fn test_partitioned_peer_does_not_renew_an_ended_evacuation() {
    // Guards against hosts that were partitioned and spread an evacuation that has ended.
    let mut rig = settled_fleet(30, 17);
    evacuate(&mut rig, "zone-1");
    advance_with_registrations(&mut rig, HEALTHY_BOUND_MILLIS);
    let isolated: Vec<HostIndex> = (0..5).collect();
    for index in &isolated {
        rig.hosts[*index].served = false;
    }
    rig.isolate(isolated.clone());
    restore(&mut rig, "zone-1");
    advance_with_registrations(&mut rig, HEALTHY_BOUND_MILLIS);
    rig.isolate([]);
    for index in &isolated {
        rig.hosts[*index].served = true;
    }
    advance_with_registrations(&mut rig, READER_BOUND_MILLIS);
    let outdated = outdated_hosts(&rig, "zone-1", false);
    assert!(outdated.is_empty(), "{outdated:?} still evacuate it");
}

#[test]
fn test_whole_state_names_a_known_evacuation() {
    // Guards against a whole state in which an evacuation that the receiver knows, and that is
    // named without its content, counts as changed or unreadable.
    let mut snapshot = lagoonproxy_packet::state::state_snapshot::StateSnapshot::default();
    let items: Vec<PublishedItem> = vec![
        routes_item(1, default_routes(1)),
        evacuation_item(3, "b"),
        upstream_item(4, entry(1, "ledger")),
    ];
    snapshot.merge(&whole(10, items));
    let mut behind = snapshot.clone();
    // The snapshot lacks the changes between these lists, so that its update is whole.
    snapshot.merge(&whole(
        400,
        snapshot.update_since(&StateQuery::default()).items,
    ));
    snapshot.merge(&whole(
        800,
        snapshot.update_since(&StateQuery::default()).items,
    ));
    let update = snapshot.update_since(&query(10));
    assert!(update.whole);
    let outcome = behind.merge(&update);
    assert_eq!((outcome.changes.len(), outcome.unreadable), (0, 0));
}
