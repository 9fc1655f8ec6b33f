//! Tests of a store that comes back from a copy some seconds old: what was written since is gone, and its revisions
//! are given out again.

use lagoonproxy_packet::upstream_entry::EntryState;
use lagoonproxy_packet::upstream_entry::UpstreamEntry;

use crate::core_rig::*;
use crate::fleet_rig::*;
use crate::fleet_store::StoreCall;

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
        rig.publish(|revision| routes_item(revision, usual_routes(2)));
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
