//! Tests of fleets whose store is restored from a backup: how many hosts list it, and that every
//! host applies its state.

use std::time::Duration;

use lagoonproxy_packet::upstreams::upstream_entry::EntryState;
use lagoonproxy_packet::upstreams::upstream_entry::UpstreamEntry;

use crate::core_rig::*;
use crate::fleet_rig::*;
use crate::fleet_store::StoreBackup;
use crate::fleet_store::StoreCall;

/// Maximum time until every host applies a change.
const IN_FORCE_MILLIS: u64 = 3000;

/// Time after which the platform considers a restored store stable.
const STORE_STABLE_MILLIS: u64 = 4000;

/// Returns the registration of upstream 1, draining.
fn draining_entry() -> UpstreamEntry {
    UpstreamEntry {
        state: EntryState::Draining,
        ..entry(1, "ledger")
    }
}

/// Returns a fleet that has run for 8 s.
fn settled_fleet(zones: u8, hosts_per_zone: u8, seed: u64) -> FleetRig {
    let mut rig = FleetRig::new(&FleetPlan {
        zones,
        hosts_per_zone,
        large_hosts_per_zone: 1,
        seed,
    });
    rig.start_all();
    rig.advance_time(8000);
    rig
}

#[test]
fn test_changes_are_applied_after_a_restore() {
    // Guards against hosts that reject the state of a restored store as older, and against hosts
    // that miss changes with a reused revision.
    struct Case {
        name: &'static str,
        /// Number of changes that the backup lacks.
        lost: u64,
        zones: u8,
        hosts_per_zone: u8,
    }
    let cases = [
        Case {
            name: "new revisions stay below the old one",
            lost: 9,
            zones: 3,
            hosts_per_zone: 3,
        },
        Case {
            name: "the drain gets the old revision",
            lost: 2,
            zones: 3,
            hosts_per_zone: 3,
        },
        Case {
            name: "new revisions pass the old one",
            lost: 1,
            zones: 3,
            hosts_per_zone: 3,
        },
        Case {
            name: "no change lost",
            lost: 0,
            zones: 3,
            hosts_per_zone: 3,
        },
        Case {
            name: "three hundred hosts",
            lost: 2,
            zones: 5,
            hosts_per_zone: 60,
        },
    ];
    for case in cases {
        let mut rig = settled_fleet(case.zones, case.hosts_per_zone, 1);
        let backup = rig.back_up_store();
        for _change in 0..case.lost {
            rig.publish(|revision| upstream_item(revision, entry(1, "ledger")));
        }
        rig.advance_time(2000);
        rig.restore_store(&backup);
        rig.advance_time(STORE_STABLE_MILLIS);
        rig.publish(|revision| routes_item(revision, default_routes(2)));
        rig.publish(|revision| upstream_item(revision, draining_entry()));
        rig.advance_time(IN_FORCE_MILLIS);
        let versions: Vec<u64> = rig
            .hosts
            .iter()
            .filter_map(|host| Some(host.core.snapshot().routes()?.version))
            .collect();
        let behind = versions.iter().filter(|version| **version != 2);
        assert_eq!(behind.count(), 0, "{}: {versions:?}", case.name);
        let still_placing = (0..rig.hosts.len()).filter(|index| rig.places_flows(*index));
        assert_eq!(
            still_placing.count(),
            0,
            "{}: hosts that still place flows",
            case.name
        );
    }
}

#[test]
fn test_few_hosts_list_a_restored_store() {
    // Guards against listings and watches in immediate succession, and against a listing by every
    // host.
    for hosts_per_zone in [3, 60] {
        let mut rig = settled_fleet(5, hosts_per_zone, 2);
        let backup = rig.back_up_store();
        rig.advance_with_changes(2000, 500);
        let before = rig.now;
        rig.restore_store(&backup);
        rig.advance_time(STORE_STABLE_MILLIS);
        let lists = rig.calls_since(before, StoreCall::List);
        let watches = rig.calls_since(before, StoreCall::Watch);
        assert!(
            (1..=10).contains(&lists),
            "{hosts_per_zone}: {lists} lists of five zones"
        );
        assert!(
            watches <= 30,
            "{hosts_per_zone}: {watches} watches of five zones"
        );
    }
}

#[test]
fn test_few_hosts_list_a_store_restored_after_an_outage() {
    // Guards against a listing by every host after an outage in which all of them tried to read.
    let zones = 5;
    let mut rig = settled_fleet(zones, 60, 2);
    let backup = rig.back_up_store();
    rig.advance_with_changes(2000, 500);
    for host in &mut rig.hosts {
        host.served = false;
    }
    rig.cut_watches();
    rig.advance_time(3000);
    rig.restore_store(&backup);
    for host in &mut rig.hosts {
        host.served = true;
    }
    let before = rig.now;
    rig.advance_time(STORE_STABLE_MILLIS);
    let position = rig.position();
    let behind = rig
        .hosts
        .iter()
        .filter(|host| host.core.snapshot().through() != position);
    assert_eq!(behind.count(), 0, "hosts that stay in the earlier era");
    let lists = rig.calls_since(before, StoreCall::List);
    assert!(
        lists <= usize::from(zones) * 9,
        "{lists} lists of {zones} zones"
    );
}

#[test]
fn test_hosts_of_two_eras_converge_once_connected() {
    // Guards against a partitioned zone that keeps the state of an earlier era because its revision
    // is larger.
    let mut rig = settled_fleet(3, 4, 3);
    let backup = rig.back_up_store();
    for _change in 0..20 {
        rig.publish(|revision| upstream_item(revision, entry(1, "ledger")));
    }
    rig.advance_time(1000);
    let isolated: Vec<HostIndex> = (8..12).collect();
    rig.isolate(isolated.clone());
    for index in &isolated {
        rig.hosts[*index].served = false;
    }
    rig.restore_store(&backup);
    rig.publish(|revision| upstream_item(revision, draining_entry()));
    rig.advance_time(10_000);
    let still_placing = (0..rig.hosts.len()).filter(|index| rig.places_flows(*index));
    assert_eq!(
        still_placing.collect::<Vec<_>>(),
        isolated,
        "the partitioned zone continues with the state that it has"
    );
    rig.isolate([]);
    rig.advance_time(IN_FORCE_MILLIS);
    let still_placing = (0..rig.hosts.len()).filter(|index| rig.places_flows(*index));
    assert_eq!(
        still_placing.count(),
        0,
        "hosts that stay in the earlier era"
    );
    let position = rig.position();
    let behind = rig
        .hosts
        .iter()
        .filter(|host| host.core.snapshot().through() != position);
    assert_eq!(behind.count(), 0);
}

#[test]
fn test_lost_configuration_reaches_hosts_that_list_the_store() {
    // Guards against hosts at the same position with different configurations: those that were
    // running keep the newer one, which the backup lacks.
    let mut rig = settled_fleet(3, 3, 4);
    let backup = rig.back_up_store();
    rig.publish(|revision| routes_item(revision, default_routes(9)));
    rig.advance_time(1000);
    let restarted = 8;
    rig.kill(restarted);
    rig.restore_store(&backup);
    rig.isolate([restarted]);
    rig.start(restarted, Duration::ZERO);
    rig.advance_time(STORE_STABLE_MILLIS);
    let version = |rig: &FleetRig, index: HostIndex| {
        let routes = rig.hosts[index].core.snapshot().routes();
        routes.map(|routes| routes.version)
    };
    assert_eq!(
        version(&rig, restarted),
        Some(1),
        "it has read the restored store"
    );
    rig.isolate([]);
    rig.advance_time(IN_FORCE_MILLIS);
    for index in 0..rig.hosts.len() {
        assert_eq!(version(&rig, index), Some(9), "host {index}");
    }
}

#[test]
fn test_fleet_follows_a_restore_during_failures() {
    // Guards against hosts that stay in an earlier era when the store is restored twice, while
    // hosts restart, or while readers are replaced.
    struct Case {
        name: &'static str,
        disturb: fn(&mut FleetRig, &StoreBackup),
    }
    let cases = [
        Case {
            name: "twice within a second",
            disturb: |rig, backup| {
                rig.restore_store(backup);
                rig.publish(|revision| upstream_item(revision, entry(1, "ledger")));
                rig.advance_time(700);
                rig.restore_store(backup);
            },
        },
        Case {
            name: "after an outage",
            disturb: |rig, backup| {
                for host in &mut rig.hosts {
                    host.served = false;
                }
                rig.cut_watches();
                rig.advance_time(2500);
                rig.restore_store(backup);
                for host in &mut rig.hosts {
                    host.served = true;
                }
            },
        },
        Case {
            name: "while half of the hosts restart",
            disturb: |rig, backup| {
                for index in (0..rig.hosts.len()).step_by(2) {
                    rig.kill(index);
                    rig.start(index, Duration::from_millis(300));
                }
                rig.advance_time(310);
                rig.restore_store(backup);
            },
        },
        Case {
            name: "just after all hosts have restarted",
            disturb: |rig, backup| {
                for index in 0..rig.hosts.len() {
                    rig.kill(index);
                    rig.start(index, Duration::from_millis(100));
                }
                rig.advance_time(140);
                rig.restore_store(backup);
            },
        },
        Case {
            name: "while every reader is killed",
            disturb: |rig, backup| {
                for zone in rig.zones() {
                    for reader in rig.readers(&zone) {
                        rig.kill(reader);
                        rig.start(reader, Duration::from_secs(2));
                    }
                }
                rig.restore_store(backup);
            },
        },
        Case {
            name: "while the store rejects a third of the hosts",
            disturb: |rig, backup| {
                for index in (0..rig.hosts.len()).step_by(3) {
                    rig.hosts[index].served = false;
                }
                rig.restore_store(backup);
            },
        },
    ];
    for case in cases {
        for seed in 1..=3 {
            let mut rig = settled_fleet(3, 12, seed);
            let backup = rig.back_up_store();
            rig.advance_with_changes(2000, 250);
            (case.disturb)(&mut rig, &backup);
            rig.advance_time(STORE_STABLE_MILLIS);
            rig.publish(|revision| routes_item(revision, default_routes(2)));
            rig.publish(|revision| upstream_item(revision, draining_entry()));
            rig.advance_time(IN_FORCE_MILLIS);
            let position = rig.position();
            let behind = rig
                .hosts
                .iter()
                .filter(|host| host.core.snapshot().through() != position);
            assert_eq!(behind.count(), 0, "{}, seed {seed}", case.name);
            let still_placing = (0..rig.hosts.len()).filter(|index| rig.places_flows(*index));
            assert_eq!(still_placing.count(), 0, "{}, seed {seed}", case.name);
        }
    }
}
