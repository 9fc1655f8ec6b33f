//! Tests of who reads the store in a fleet of hundreds, in virtual time.

use std::time::Duration;

use lagoonproxy::ids::ZoneName;
use lagoonproxy_packet::upstreams::upstream_entry::EntryState;
use lagoonproxy_packet::upstreams::upstream_entry::UpstreamEntry;

use crate::core_rig::*;
use crate::fleet_rig::*;
use crate::fleet_store::StoreCall;

/// The time in which a change has to be in force, with the second that a store may take to answer.
const IN_FORCE_MILLIS: u64 = 3000;

/// Two zones as large as those of the largest deployment, with three large hosts each.
fn two_zones(seed: u64) -> FleetRig {
    FleetRig::new(&FleetPlan {
        zones: 2,
        hosts_a_zone: 70,
        large_a_zone: 3,
        seed,
    })
}

/// The same, that has been running for some seconds.
fn settled_zones(seed: u64) -> FleetRig {
    let mut rig = two_zones(seed);
    rig.start_all();
    rig.pass(8000);
    rig
}

/// The one upstream, as it says that it is leaving.
fn drained_entry() -> UpstreamEntry {
    UpstreamEntry {
        state: EntryState::Draining,
        ..entry(1, "ledger")
    }
}

fn reader_counts(rig: &FleetRig) -> Vec<usize> {
    let zones = rig.zones();
    zones.iter().map(|zone| rig.readers(zone).len()).collect()
}

#[test]
fn test_few_hosts_read_in_a_fleet_that_starts() {
    // Guards against many watchers a zone while hosts do not know each other yet.
    for seed in 1..=2 {
        let mut rig = FleetRig::new(&FleetPlan {
            zones: 4,
            hosts_a_zone: 70,
            large_a_zone: 3,
            seed,
        });
        rig.start_all();
        let mut before = [1; 4].to_vec();
        for second in 1..=12 {
            rig.pass_with_changes(1000, 200);
            let counts = reader_counts(&rig);
            // Two read for a moment when a larger host takes over, and for no longer.
            let settled = |zone: usize| counts[zone] == 1 || counts[zone] == 2 && before[zone] == 1;
            let held = match second {
                ..=3 => counts.iter().all(|count| *count <= 14),
                _ => (0..counts.len()).all(settled),
            };
            assert!(held, "seed {seed}, second {second}: {counts:?} read");
            before = counts;
        }
        assert_eq!(reader_counts(&rig), [1; 4], "seed {seed}");
        let before = rig.now;
        rig.pass_with_changes(4000, 200);
        let watches = rig.calls_since(before, StoreCall::Watch);
        assert!(
            watches <= 4 * 4 * 4,
            "{watches} watches of four readers in 4 s"
        );
    }
}

#[test]
fn test_lost_reader_is_replaced_by_few() {
    // Guards against a zone that learns of no change, or all of whose hosts call the store, when
    // its watcher fails.
    struct Case {
        name: &'static str,
        fail: fn(&mut FleetRig, HostPlace),
    }
    let cases = [
        Case {
            name: "killed",
            fail: |rig, reader| rig.kill(reader),
        },
        Case {
            name: "frozen for a while",
            fail: |rig, reader| rig.freeze(reader, Duration::from_secs(5)),
        },
        Case {
            name: "turned away by the store",
            fail: |rig, reader| rig.hosts[reader].served = false,
        },
        Case {
            name: "cut off from its zone",
            fail: |rig, reader| rig.part([reader]),
        },
        Case {
            name: "turned away with every third host",
            fail: |rig, reader| {
                let members = 0..rig.hosts.len();
                let refused = members.filter(|place| *place == reader || place % 3 == 0);
                for place in refused.collect::<Vec<_>>() {
                    rig.hosts[place].served = false;
                }
            },
        },
    ];
    for case in cases {
        let mut rig = settled_zones(3);
        let zone: ZoneName = "zone-1".into();
        let first = rig.readers(&zone)[0];
        rig.publish(|revision| upstream_item(revision, entry(1, "ledger")));
        rig.pass(200);
        (case.fail)(&mut rig, first);
        let before = rig.now;
        rig.publish(|revision| upstream_item(revision, drained_entry()));
        rig.pass(IN_FORCE_MILLIS);
        let unaware = (0..rig.hosts.len()).filter(|place| {
            *place != first && rig.hosts[*place].zone == zone && rig.places_flows(*place)
        });
        assert_eq!(unaware.count(), 0, "{}: hosts that miss it", case.name);
        let others = rig
            .readers(&zone)
            .into_iter()
            .filter(|place| *place != first);
        assert!((1..=3).contains(&others.count()), "{}", case.name);
        let calls = rig.calls_since(before, StoreCall::Watch);
        assert!(calls <= 30, "{}: {calls} watches", case.name);
        let listed = rig.calls_since(before, StoreCall::List);
        assert_eq!(listed, 0, "{}", case.name);
        rig.pass(4000);
        let unaware = rig.hosts[first].alive && rig.places_flows(first);
        assert!(!unaware, "{}: the former reader misses it", case.name);
    }
}

#[test]
fn test_both_halves_of_a_parted_zone_are_read_for() {
    // Guards against a part of a partitioned zone without a watcher, and two watchers once it has
    // healed.
    let mut rig = settled_zones(4);
    let zone: ZoneName = "zone-1".into();
    let half = 0..35;
    rig.part(half.clone());
    rig.pass(IN_FORCE_MILLIS);
    rig.publish(|revision| upstream_item(revision, drained_entry()));
    rig.pass(IN_FORCE_MILLIS);
    let unaware = (0..rig.hosts.len()).filter(|place| rig.places_flows(*place));
    assert_eq!(unaware.count(), 0, "hosts that miss a drain");
    let readers = rig.readers(&zone);
    let within = readers.iter().filter(|place| half.contains(*place)).count();
    assert!(within >= 1 && readers.len() > within, "{readers:?}");
    rig.part([]);
    rig.pass(3000);
    assert_eq!(rig.readers(&zone).len(), 1);
}

#[test]
fn test_hosts_that_are_replaced_read_no_list() {
    // Guards against a listing of the store for each restart although a peer has the state.
    let mut rig = settled_zones(5);
    let before = rig.now;
    for place in (0..rig.hosts.len()).step_by(3) {
        rig.kill(place);
        rig.pass(100);
        rig.start(place, Duration::ZERO);
        rig.pass(100);
    }
    rig.pass(1000);
    assert!(rig.hosts.iter().all(|host| host.core.is_ready()));
    let lists = rig.calls_since(before, StoreCall::List);
    assert!(lists <= 3, "{lists} lists of 47 hosts");
}

#[test]
fn test_host_with_an_old_state_catches_up() {
    // Guards against a new host that stays with the stale state of the one peer it knows.
    let mut rig = settled_zones(6);
    let (stale, fresh) = (0, 69);
    rig.kill(fresh);
    rig.part([stale, fresh]);
    rig.hosts[stale].served = false;
    rig.pass_with_changes(4000, 500);
    let changed = rig.position();
    rig.start(fresh, Duration::ZERO);
    rig.pass(200);
    assert!(rig.hosts[fresh].core.is_ready(), "by its peer's state");
    assert!(rig.hosts[fresh].core.view().through() < changed);
    rig.pass(IN_FORCE_MILLIS);
    assert_eq!(rig.hosts[fresh].core.view().through(), changed);
}

#[test]
fn test_fleet_that_returns_shares_what_few_have_read() {
    // Guards against a fleet that starts at once and shares the store's link, so that all are late.
    struct Case {
        name: &'static str,
        list_bytes: f64,
        half_ms: u64,
        all_ms: u64,
    }
    let cases = [
        Case {
            name: "a long list",
            list_bytes: 460_000.0,
            half_ms: 800,
            all_ms: 1200,
        },
        Case {
            name: "a short list",
            list_bytes: 235_000.0,
            half_ms: 800,
            all_ms: 1000,
        },
    ];
    for case in cases {
        let mut rig = FleetRig::new(&FleetPlan {
            zones: 5,
            hosts_a_zone: 70,
            large_a_zone: 3,
            seed: 1,
        });
        rig.list_bytes = case.list_bytes;
        rig.start_all();
        let ready = |rig: &FleetRig| {
            let hosts = rig.hosts.iter();
            hosts.filter(|host| host.core.is_ready()).count()
        };
        let mut curve = Vec::new();
        for _tenth in 0..14 {
            rig.pass(100);
            curve.push(ready(&rig));
        }
        let after = |millis: u64| curve[millis as usize / 100 - 1];
        assert!(after(case.half_ms) >= 175, "{}: {curve:?}", case.name);
        assert_eq!(after(case.all_ms), 350, "{}: {curve:?}", case.name);
        let sent = rig.sent / rig.hosts.len();
        assert!(sent <= 200, "{}: {sent} datagrams a host", case.name);
    }
}

#[test]
fn test_hosts_that_seek_do_not_answer_each_other_without_end() {
    // Guards against hellos and replies without end between two hosts that have no state.
    let mut rig = FleetRig::new(&FleetPlan {
        zones: 2,
        hosts_a_zone: 1,
        large_a_zone: 0,
        seed: 7,
    });
    for host in &mut rig.hosts {
        host.served = false;
    }
    rig.start_all();
    rig.pass(5000);
    assert!(
        rig.sent <= 300,
        "{} datagrams of two hosts in 5 s",
        rig.sent
    );
}
