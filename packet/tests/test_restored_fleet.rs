//! Tests of fleets whose store comes back from a copy: who lists it, and that every host follows.

use std::time::Duration;

use lagoonproxy_packet::upstreams::upstream_entry::EntryState;
use lagoonproxy_packet::upstreams::upstream_entry::UpstreamEntry;

use crate::core_rig::*;
use crate::fleet_rig::*;
use crate::fleet_store::StoreCall;
use crate::fleet_store::StoreCopy;

/// Time in which a change has to be in force.
const IN_FORCE_MILLIS: u64 = 3000;

/// Time after which the platform counts a store that came back as stable.
const STABLE_MILLIS: u64 = 4000;

/// The one upstream, draining.
fn draining_entry() -> UpstreamEntry {
    UpstreamEntry {
        state: EntryState::Draining,
        ..entry(1, "ledger")
    }
}

/// A fleet that has been running for some seconds.
fn settled_fleet(zones: u8, hosts_a_zone: u8, seed: u64) -> FleetRig {
    let mut rig = FleetRig::new(&FleetPlan {
        zones,
        hosts_a_zone,
        large_a_zone: 1,
        seed,
    });
    rig.start_all();
    rig.pass(8000);
    rig
}

#[test]
fn test_changes_are_applied_after_the_store_came_back_from_a_copy() {
    // Guards against hosts that reject the state of a restored store as older, and miss what was given a revision again.
    struct Case {
        name: &'static str,
        /// Changes that the copy lacks.
        lost: u64,
        zones: u8,
        hosts_a_zone: u8,
    }
    let cases = [
        Case {
            name: "the counter does not reach the old one",
            lost: 9,
            zones: 3,
            hosts_a_zone: 3,
        },
        Case {
            name: "the counter reaches the old one with the drain",
            lost: 2,
            zones: 3,
            hosts_a_zone: 3,
        },
        Case {
            name: "the counter passes the old one",
            lost: 1,
            zones: 3,
            hosts_a_zone: 3,
        },
        Case {
            name: "nothing was lost",
            lost: 0,
            zones: 3,
            hosts_a_zone: 3,
        },
        Case {
            name: "three hundred hosts",
            lost: 2,
            zones: 5,
            hosts_a_zone: 60,
        },
    ];
    for case in cases {
        let mut rig = settled_fleet(case.zones, case.hosts_a_zone, 1);
        let copy = rig.copy_store();
        for _change in 0..case.lost {
            rig.publish(|revision| upstream_item(revision, entry(1, "ledger")));
        }
        rig.pass(2000);
        rig.restore_store(&copy);
        rig.pass(STABLE_MILLIS);
        rig.publish(|revision| routes_item(revision, default_routes(2)));
        rig.publish(|revision| upstream_item(revision, draining_entry()));
        rig.pass(IN_FORCE_MILLIS);
        let versions: Vec<u64> = rig
            .hosts
            .iter()
            .filter_map(|host| Some(host.core.view().routes()?.version))
            .collect();
        let behind = versions.iter().filter(|version| **version != 2);
        assert_eq!(behind.count(), 0, "{}: {versions:?}", case.name);
        let placing = (0..rig.hosts.len()).filter(|place| rig.places_flows(*place));
        assert_eq!(
            placing.count(),
            0,
            "{}: hosts that miss the drain",
            case.name
        );
    }
}

#[test]
fn test_fleet_does_not_list_a_store_that_came_back() {
    // Guards against listings and watches without a pause, and against a listing by every host.
    for hosts_a_zone in [3, 60] {
        let mut rig = settled_fleet(5, hosts_a_zone, 2);
        let copy = rig.copy_store();
        rig.pass_with_changes(2000, 500);
        let before = rig.now;
        rig.restore_store(&copy);
        rig.pass(STABLE_MILLIS);
        let lists = rig.calls_since(before, StoreCall::List);
        let watches = rig.calls_since(before, StoreCall::Watch);
        assert!(
            (1..=10).contains(&lists),
            "{hosts_a_zone}: {lists} lists of five zones"
        );
        assert!(
            watches <= 30,
            "{hosts_a_zone}: {watches} watches of five zones"
        );
    }
}

#[test]
fn test_few_hosts_list_a_store_that_came_back_after_an_outage() {
    // Guards against a listing by each host of a fleet in which all tried to read while the store was away.
    let zones = 5;
    let mut rig = settled_fleet(zones, 60, 2);
    let copy = rig.copy_store();
    rig.pass_with_changes(2000, 500);
    for host in &mut rig.hosts {
        host.served = false;
    }
    rig.cut_watches();
    rig.pass(3000);
    rig.restore_store(&copy);
    for host in &mut rig.hosts {
        host.served = true;
    }
    let before = rig.now;
    rig.pass(STABLE_MILLIS);
    let position = rig.position();
    let behind = rig
        .hosts
        .iter()
        .filter(|host| host.core.view().through() != position);
    assert_eq!(behind.count(), 0, "hosts in the earlier era");
    let lists = rig.calls_since(before, StoreCall::List);
    assert!(
        lists <= usize::from(zones) * 9,
        "{lists} lists of {zones} zones"
    );
}

#[test]
fn test_hosts_in_two_eras_agree_once_they_hear_each_other() {
    // Guards against a partitioned zone that keeps the state of an earlier era because its revision is larger.
    let mut rig = settled_fleet(3, 4, 3);
    let copy = rig.copy_store();
    for _change in 0..20 {
        rig.publish(|revision| upstream_item(revision, entry(1, "ledger")));
    }
    rig.pass(1000);
    let cut: Vec<HostPlace> = (8..12).collect();
    rig.part(cut.clone());
    for place in &cut {
        rig.hosts[*place].served = false;
    }
    rig.restore_store(&copy);
    rig.publish(|revision| upstream_item(revision, draining_entry()));
    rig.pass(10_000);
    let placing = (0..rig.hosts.len()).filter(|place| rig.places_flows(*place));
    assert_eq!(
        placing.collect::<Vec<_>>(),
        cut,
        "the zone serves what it can"
    );
    rig.part([]);
    rig.pass(IN_FORCE_MILLIS);
    let placing = (0..rig.hosts.len()).filter(|place| rig.places_flows(*place));
    assert_eq!(placing.count(), 0, "hosts that stay in the earlier era");
    let position = rig.position();
    let behind = rig
        .hosts
        .iter()
        .filter(|host| host.core.view().through() != position);
    assert_eq!(behind.count(), 0);
}

#[test]
fn test_configuration_that_the_store_lost_reaches_hosts_that_list_the_store() {
    // Guards against hosts at one position with different configurations.
    let mut rig = settled_fleet(3, 3, 4);
    let copy = rig.copy_store();
    rig.publish(|revision| routes_item(revision, default_routes(9)));
    rig.pass(1000);
    let fresh = 8;
    rig.kill(fresh);
    rig.restore_store(&copy);
    rig.part([fresh]);
    rig.start(fresh, Duration::ZERO);
    rig.pass(STABLE_MILLIS);
    let version = |rig: &FleetRig, place: HostPlace| {
        let routes = rig.hosts[place].core.view().routes();
        routes.map(|routes| routes.version)
    };
    assert_eq!(version(&rig, fresh), Some(1), "it has read the copy");
    rig.part([]);
    rig.pass(IN_FORCE_MILLIS);
    for place in 0..rig.hosts.len() {
        assert_eq!(version(&rig, place), Some(9), "host {place}");
    }
}

#[test]
fn test_fleet_follows_a_store_that_comes_back_in_bad_moments() {
    // Guards against hosts that stay in an earlier era when the store comes back twice, while hosts restart, or while readers
    // are replaced.
    struct Case {
        name: &'static str,
        disturb: fn(&mut FleetRig, &StoreCopy),
    }
    let cases = [
        Case {
            name: "twice within a second",
            disturb: |rig, copy| {
                rig.restore_store(copy);
                rig.publish(|revision| upstream_item(revision, entry(1, "ledger")));
                rig.pass(700);
                rig.restore_store(copy);
            },
        },
        Case {
            name: "after an outage",
            disturb: |rig, copy| {
                for host in &mut rig.hosts {
                    host.served = false;
                }
                rig.cut_watches();
                rig.pass(2500);
                rig.restore_store(copy);
                for host in &mut rig.hosts {
                    host.served = true;
                }
            },
        },
        Case {
            name: "while half of the hosts restart",
            disturb: |rig, copy| {
                for place in (0..rig.hosts.len()).step_by(2) {
                    rig.kill(place);
                    rig.start(place, Duration::from_millis(300));
                }
                rig.pass(310);
                rig.restore_store(copy);
            },
        },
        Case {
            name: "when all hosts have just started",
            disturb: |rig, copy| {
                for place in 0..rig.hosts.len() {
                    rig.kill(place);
                    rig.start(place, Duration::from_millis(100));
                }
                rig.pass(140);
                rig.restore_store(copy);
            },
        },
        Case {
            name: "with every reader killed",
            disturb: |rig, copy| {
                for zone in rig.zones() {
                    for reader in rig.readers(&zone) {
                        rig.kill(reader);
                        rig.start(reader, Duration::from_secs(2));
                    }
                }
                rig.restore_store(copy);
            },
        },
        Case {
            name: "with a third of the hosts refused",
            disturb: |rig, copy| {
                for place in (0..rig.hosts.len()).step_by(3) {
                    rig.hosts[place].served = false;
                }
                rig.restore_store(copy);
            },
        },
    ];
    for case in cases {
        for seed in 1..=3 {
            let mut rig = settled_fleet(3, 12, seed);
            let copy = rig.copy_store();
            rig.pass_with_changes(2000, 250);
            (case.disturb)(&mut rig, &copy);
            rig.pass(STABLE_MILLIS);
            rig.publish(|revision| routes_item(revision, default_routes(2)));
            rig.publish(|revision| upstream_item(revision, draining_entry()));
            rig.pass(IN_FORCE_MILLIS);
            let position = rig.position();
            let behind = rig
                .hosts
                .iter()
                .filter(|host| host.core.view().through() != position);
            assert_eq!(behind.count(), 0, "{}, seed {seed}", case.name);
            let placing = (0..rig.hosts.len()).filter(|place| rig.places_flows(*place));
            assert_eq!(placing.count(), 0, "{}, seed {seed}", case.name);
        }
    }
}
