//! Tests of evacuated availability zones.

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

/// Time from a request's acknowledgement until every host applies it, with all of them in touch.
const CALM_MILLIS: u64 = 1000;

/// The same while the zone's watcher of the store is replaced.
const REPLACED_MILLIS: u64 = 3000;

/// The bound of the service for every other failure.
const BOUND_MILLIS: u64 = 5000;

fn entry_in(number: u8, zone: &str) -> UpstreamEntry {
    UpstreamEntry {
        zone: zone.into(),
        ..entry(number, "ledger")
    }
}

/// Two upstreams in the host's zone "a", two each in "b" and "c".
fn three_zones() -> CoreRig {
    let entries = [(1, "a"), (2, "a"), (3, "b"), (4, "b"), (5, "c"), (6, "c")];
    let entries = entries.map(|(number, zone)| entry_in(number, zone));
    CoreRig::with_entries(entries.to_vec())
}

/// Opens many flows with all copies of their SYNs; every upstream that got any of them, in order.
fn used_upstreams(rig: &mut CoreRig) -> Vec<u8> {
    let mut used = Vec::new();
    for flow in 1000..1060 {
        for copy in 0..3 {
            used.extend(rig.open(flow, copy));
            rig.pass(200);
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
            name: "the own zone",
            evacuated: &["a"],
            prepare: nothing,
            allowed: &[3, 4, 5, 6],
        },
        Case {
            name: "another zone, the own one gone",
            evacuated: &["b"],
            prepare: |rig| {
                rig.publish(|revision| removed_item(revision, 1));
                rig.publish(|revision| removed_item(revision, 2));
            },
            allowed: &[5, 6],
        },
        Case {
            name: "two zones, the third saturated",
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
            name: "two zones, nobody of the third answers",
            evacuated: &["a", "b"],
            prepare: |rig| {
                for flow in 0..20 {
                    rig.open(flow, 0);
                    rig.pass(210);
                    rig.open(flow, 1);
                    rig.pass(410);
                    rig.open(flow, 2);
                }
            },
            allowed: &[5, 6],
        },
        Case {
            name: "an upstream that registers there later",
            evacuated: &["a"],
            prepare: |rig| {
                rig.publish(|revision| upstream_item(revision, entry_in(7, "a")));
                rig.publish(|revision| upstream_item(revision, entry_in(1, "a")));
            },
            allowed: &[3, 4, 5, 6],
        },
        Case {
            name: "an upstream that moves there",
            evacuated: &["a"],
            prepare: |rig| rig.publish(|revision| upstream_item(revision, entry_in(3, "a"))),
            allowed: &[4, 5, 6],
        },
        Case {
            name: "the store cannot be read since",
            evacuated: &["a"],
            prepare: |rig| {
                rig.store_unreachable = true;
                rig.pass(20_000);
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
        assert!(!used.is_empty(), "{}: nobody is used", case.name);
        let strays = used.iter().filter(|number| !case.allowed.contains(number));
        let strays: Vec<_> = strays.collect();
        assert!(strays.is_empty(), "{}: flows went to {strays:?}", case.name);
    }
}

#[test]
fn test_open_flows_stay_in_evacuated_zone() {
    // Guards against an evacuation that ends sessions in progress.
    let mut rig = three_zones();
    let upstream = rig.establish(1);
    let placed = rig.open(2, 0);
    rig.publish(|revision| evacuation_item(revision, ZONE));
    assert_eq!(forwarded(&rig.request(1, upstream, 0)), [upstream]);
    let opened = established_head(2, placed[0], 0, 1, 0);
    assert_eq!(forwarded(&rig.packet(&opened)), [placed[0]]);
    for turn in 1..20 {
        rig.pass(1000);
        let carried = forwarded(&rig.request(1, upstream, turn));
        rig.acknowledge(1, upstream, turn);
        assert_eq!(carried, [upstream], "turn {turn}");
    }
    assert!(rig.resets.is_empty(), "{:?}", rig.resets);
}

#[test]
fn test_copies_of_unplaced_flow_leave_evacuated_zone() {
    // Guards against a retransmitted SYN that follows the first copy into the zone.
    let mut rig = three_zones();
    assert!(rig.open(1, 0)[0] <= 2);
    rig.publish(|revision| evacuation_item(revision, ZONE));
    rig.pass(200);
    let copies = rig.open(1, 1);
    assert!(copies.iter().all(|number| *number > 2), "{copies:?}");
}

#[test]
fn test_late_syn_of_an_open_flow_stays_out_of_evacuated_zone() {
    // Guards against a SYN that was under way for long, or a caller's port that is used again.
    let mut rig = three_zones();
    let upstream = rig.establish(1);
    rig.publish(|revision| evacuation_item(revision, ZONE));
    rig.pass(6000);
    assert!(rig.open(1, 0).is_empty(), "the SYN");
    assert_eq!(forwarded(&rig.request(1, upstream, 0)), [upstream]);
}

#[test]
fn test_refused_at_once_if_every_zone_is_evacuated() {
    // Guards against callers that wait for their deadlines where nobody may serve them.
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
            name: "the rest drains",
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
            name: "only a draining one is evacuated",
            evacuated: &["b"],
            entries: vec![UpstreamEntry {
                state: EntryState::Draining,
                ..entry_in(2, "b")
            }],
            code: ResultCode::NoUpstream,
        },
        Case {
            name: "a zone without upstreams",
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
    // Guards against operators who take a zone for empty while callers still use it.
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
    rig.pass(20_000);
    let status = PacketStatus::of(&rig.core, rig.now);
    assert_eq!(status.evacuated[0].flows, 0, "idle flows end");
}

#[test]
fn test_unknown_zones_are_reported_and_harm_nobody() {
    // Guards against a misspelt zone that nobody notices, and against hundreds of them.
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
            name: "of an upstream only",
            zone: "c",
            known: true,
        },
        Case {
            name: "of nobody",
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
    assert!(rig.establish(1) <= 2, "the own zone is as it was");
}

/// Three zones that have been running for some seconds.
fn settled_fleet(hosts_a_zone: u8, seed: u64) -> FleetRig {
    let mut rig = FleetRig::new(&FleetPlan {
        zones: 3,
        hosts_a_zone,
        large_a_zone: 2,
        seed,
    });
    rig.start_all();
    rig.pass(8000);
    rig
}

/// Hosts that live and do not hold the zone's evacuation as wanted.
fn hosts_without(rig: &FleetRig, zone: &str, evacuated: bool) -> Vec<HostPlace> {
    let hosts = (0..rig.hosts.len()).filter(|place| rig.hosts[*place].alive);
    hosts
        .filter(|place| rig.evacuates(*place, zone) != evacuated)
        .collect()
}

fn evacuate(rig: &mut FleetRig, zone: &str) {
    rig.publish(|revision| evacuation_item(revision, zone));
}

fn restore(rig: &mut FleetRig, zone: &str) {
    rig.publish(|revision| restored_item(revision, zone));
}

/// Keeps the fleet busy with registrations of upstreams while time passes.
fn pass_busy(rig: &mut FleetRig, millis: u64) {
    rig.pass_with_changes(millis, 200);
}

#[test]
fn test_evacuation_reaches_every_host_in_time() {
    // Guards against hosts that go on sending flows into an evacuated zone.
    struct Case {
        name: &'static str,
        hosts_a_zone: u8,
        fail: fn(&mut FleetRig),
        bound: u64,
    }
    let cases = [
        Case {
            name: "calm",
            hosts_a_zone: 100,
            fail: |_rig| {},
            bound: CALM_MILLIS,
        },
        Case {
            name: "a watcher is killed",
            hosts_a_zone: 100,
            fail: |rig| {
                let reader = rig.readers("zone-1")[0];
                rig.kill(reader);
            },
            bound: REPLACED_MILLIS,
        },
        Case {
            name: "every watcher is killed",
            hosts_a_zone: 30,
            fail: |rig| {
                for zone in rig.zones() {
                    for reader in rig.readers(&zone) {
                        rig.kill(reader);
                    }
                }
            },
            bound: REPLACED_MILLIS,
        },
        Case {
            name: "single hosts are partitioned from the store",
            hosts_a_zone: 30,
            fail: |rig| {
                for place in (0..rig.hosts.len()).step_by(17) {
                    rig.hosts[place].served = false;
                }
            },
            bound: REPLACED_MILLIS,
        },
        Case {
            name: "the store rejects a third of the hosts, watchers among them",
            hosts_a_zone: 30,
            fail: |rig| {
                let zones = rig.zones();
                let readers: Vec<_> = zones.iter().flat_map(|zone| rig.readers(zone)).collect();
                for place in 0..rig.hosts.len() {
                    rig.hosts[place].served = place % 3 != 0 && !readers.contains(&place);
                }
            },
            bound: BOUND_MILLIS,
        },
        Case {
            name: "the store drops its history",
            hosts_a_zone: 30,
            fail: |rig| rig.drop_history(),
            bound: REPLACED_MILLIS,
        },
    ];
    for case in cases {
        let mut rig = settled_fleet(case.hosts_a_zone, 11);
        (case.fail)(&mut rig);
        evacuate(&mut rig, "zone-2");
        pass_busy(&mut rig, case.bound);
        let missing = hosts_without(&rig, "zone-2", true);
        assert!(missing.is_empty(), "{}: {missing:?} go on", case.name);
        restore(&mut rig, "zone-2");
        pass_busy(&mut rig, case.bound.max(REPLACED_MILLIS));
        let missing = hosts_without(&rig, "zone-2", false);
        assert!(missing.is_empty(), "{}: {missing:?} hold it", case.name);
    }
}

#[test]
fn test_frozen_watcher_delays_no_evacuation() {
    // Guards against a zone that waits for a watcher that stands still.
    let mut rig = settled_fleet(30, 12);
    let reader = rig.readers("zone-1")[0];
    rig.freeze(reader, Duration::from_secs(8));
    evacuate(&mut rig, "zone-3");
    pass_busy(&mut rig, BOUND_MILLIS);
    let missing = hosts_without(&rig, "zone-3", true);
    assert_eq!(missing, [reader], "only the frozen host may lack it");
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
        pass_busy(&mut rig, CALM_MILLIS);
        for (number, evacuated) in expected.into_iter().enumerate() {
            let name = format!("zone-{}", number + 1);
            let missing = hosts_without(&rig, &name, evacuated);
            assert!(missing.is_empty(), "{zone}, then {name}: {missing:?}");
        }
    }
}

#[test]
fn test_evacuation_taken_back_at_once_is_over_everywhere() {
    // Guards against hosts that learn of the request after its end.
    let mut rig = settled_fleet(30, 14);
    for _round in 0..5 {
        evacuate(&mut rig, "zone-1");
        rig.pass(20);
        restore(&mut rig, "zone-1");
        pass_busy(&mut rig, 200);
    }
    pass_busy(&mut rig, CALM_MILLIS);
    let missing = hosts_without(&rig, "zone-1", false);
    assert!(missing.is_empty(), "{missing:?} hold it");
}

#[test]
fn test_restarted_hosts_know_the_evacuation_before_they_are_ready() {
    // Guards against hosts that take callers' packets without the evacuation in force.
    let mut rig = settled_fleet(30, 15);
    evacuate(&mut rig, "zone-2");
    pass_busy(&mut rig, 500);
    for place in 0..rig.hosts.len() {
        rig.kill(place);
    }
    rig.pass(1000);
    rig.start_all();
    for _step in 0..200 {
        rig.pass(20);
        let early = (0..rig.hosts.len())
            .filter(|place| rig.hosts[*place].core.is_ready())
            .find(|place| !rig.evacuates(*place, "zone-2"));
        assert_eq!(early, None, "ready without the evacuation");
    }
    let missing = hosts_without(&rig, "zone-2", true);
    assert!(missing.is_empty(), "{missing:?} have no state");
}

#[test]
fn test_partitioned_zone_learns_of_its_evacuation() {
    // Guards against a zone that is cut off from the others, but not from the store.
    let mut rig = settled_fleet(30, 16);
    let members = (0..rig.hosts.len()).filter(|place| rig.hosts[*place].zone == "zone-3");
    let members: Vec<HostPlace> = members.collect();
    rig.part(members);
    evacuate(&mut rig, "zone-3");
    pass_busy(&mut rig, REPLACED_MILLIS);
    let missing = hosts_without(&rig, "zone-3", true);
    assert!(missing.is_empty(), "{missing:?} go on");
    rig.part([]);
    restore(&mut rig, "zone-3");
    pass_busy(&mut rig, REPLACED_MILLIS);
    let missing = hosts_without(&rig, "zone-3", false);
    assert!(missing.is_empty(), "{missing:?} hold it");
}

#[test]
fn test_late_peer_does_not_bring_an_evacuation_back() {
    // Guards against hosts that were cut off and bring back an evacuation that has ended.
    let mut rig = settled_fleet(30, 17);
    evacuate(&mut rig, "zone-1");
    pass_busy(&mut rig, CALM_MILLIS);
    let parted: Vec<HostPlace> = (0..5).collect();
    for place in &parted {
        rig.hosts[*place].served = false;
    }
    rig.part(parted.clone());
    restore(&mut rig, "zone-1");
    pass_busy(&mut rig, CALM_MILLIS);
    rig.part([]);
    for place in &parted {
        rig.hosts[*place].served = true;
    }
    pass_busy(&mut rig, REPLACED_MILLIS);
    let missing = hosts_without(&rig, "zone-1", false);
    assert!(missing.is_empty(), "{missing:?} hold it");
}

#[test]
fn test_evacuation_in_a_list_that_a_peer_shortens() {
    // Guards against a full state from a peer in which what is known is only named.
    let mut view = lagoonproxy_packet::state::state_snapshot::StateSnapshot::default();
    let items: Vec<PublishedItem> = vec![
        routes_item(1, default_routes(1)),
        evacuation_item(3, "b"),
        upstream_item(4, entry(1, "ledger")),
    ];
    view.merge(&whole(10, items));
    let mut behind = view.clone();
    // The history between is not known, so that everything is listed again.
    view.merge(&whole(400, view.update_since(&StateQuery::default()).items));
    view.merge(&whole(800, view.update_since(&StateQuery::default()).items));
    let update = view.update_since(&query(10));
    assert!(update.whole);
    let outcome = behind.merge(&update);
    assert_eq!((outcome.changes.len(), outcome.unreadable), (0, 0));
}
