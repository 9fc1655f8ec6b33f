//! Tests of which hosts read the store in fleets of up to 350 hosts, in virtual time.

use std::time::Duration;

use lagoonproxy::ids::ZoneName;
use lagoonproxy_packet::upstreams::upstream_entry::EntryState;
use lagoonproxy_packet::upstreams::upstream_entry::UpstreamEntry;

use crate::core_rig::*;
use crate::fleet_rig::*;
use crate::fleet_store::StoreCall;

/// Maximum time until every host applies a change, with the second that the store may take to
/// respond.
const IN_FORCE_MILLIS: u64 = 3000;

/// Returns a fleet that has not started, in two zones of the size of those in the largest
/// deployment, with three large hosts each.
fn new_two_zones(seed: u64) -> FleetRig {
    FleetRig::new(&FleetPlan {
        zones: 2,
        hosts_per_zone: 70,
        large_hosts_per_zone: 3,
        seed,
    })
}

/// Returns the fleet of [`new_two_zones`] after it has run for 8 s.
fn running_two_zones(seed: u64) -> FleetRig {
    let mut rig = new_two_zones(seed);
    rig.start_all();
    rig.advance_time(8000);
    rig
}

/// Returns the registration of upstream 1, draining.
fn draining_entry() -> UpstreamEntry {
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
fn test_few_hosts_read_while_a_fleet_starts() {
    // Guards against many readers per zone while hosts do not know each other yet.
    for seed in 1..=2 {
        let mut rig = FleetRig::new(&FleetPlan {
            zones: 4,
            hosts_per_zone: 70,
            large_hosts_per_zone: 3,
            seed,
        });
        rig.start_all();
        let mut before = [1; 4].to_vec();
        for second in 1..=12 {
            rig.advance_with_changes(1000, 200);
            let counts = reader_counts(&rig);
            // Two hosts of a zone may read at one check, but not at two in succession: a larger
            // host then takes over.
            let is_steady =
                |zone: usize| counts[zone] == 1 || counts[zone] == 2 && before[zone] == 1;
            let is_expected = match second {
                ..=3 => counts.iter().all(|count| *count <= 14),
                _ => (0..counts.len()).all(is_steady),
            };
            assert!(is_expected, "seed {seed}, second {second}: {counts:?} read");
            before = counts;
        }
        assert_eq!(reader_counts(&rig), [1; 4], "seed {seed}");
        let before = rig.now;
        rig.advance_with_changes(4000, 200);
        let watches = rig.calls_since(before, StoreCall::Watch);
        assert!(
            watches <= 4 * 4 * 4,
            "{watches} watches of four readers in 4 s"
        );
    }
}

#[test]
fn test_failed_reader_is_replaced_by_few() {
    // Guards against a zone that gets no changes, or all of whose hosts call the store, after its
    // reader has failed.
    struct Case {
        name: &'static str,
        fail: fn(&mut FleetRig, HostIndex),
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
            name: "rejected by the store",
            fail: |rig, reader| rig.hosts[reader].served = false,
        },
        Case {
            name: "partitioned from its zone",
            fail: |rig, reader| rig.isolate([reader]),
        },
        Case {
            name: "rejected by the store with every third host",
            fail: |rig, reader| {
                let members = 0..rig.hosts.len();
                let refused = members.filter(|index| *index == reader || index % 3 == 0);
                for index in refused.collect::<Vec<_>>() {
                    rig.hosts[index].served = false;
                }
            },
        },
    ];
    for case in cases {
        let mut rig = running_two_zones(3);
        let zone: ZoneName = "zone-1".into();
        let first_reader = rig.readers(&zone)[0];
        rig.publish(|revision| upstream_item(revision, entry(1, "ledger")));
        rig.advance_time(200);
        (case.fail)(&mut rig, first_reader);
        let before = rig.now;
        rig.publish(|revision| upstream_item(revision, draining_entry()));
        rig.advance_time(IN_FORCE_MILLIS);
        let unaware = (0..rig.hosts.len()).filter(|index| {
            *index != first_reader && rig.hosts[*index].zone == zone && rig.places_flows(*index)
        });
        assert_eq!(
            unaware.count(),
            0,
            "{}: hosts that still place flows",
            case.name
        );
        let other_readers = rig
            .readers(&zone)
            .into_iter()
            .filter(|index| *index != first_reader);
        assert!((1..=3).contains(&other_readers.count()), "{}", case.name);
        let calls = rig.calls_since(before, StoreCall::Watch);
        assert!(calls <= 30, "{}: {calls} watches", case.name);
        let lists = rig.calls_since(before, StoreCall::List);
        assert_eq!(lists, 0, "{}", case.name);
        rig.advance_time(4000);
        let unaware = rig.hosts[first_reader].alive && rig.places_flows(first_reader);
        assert!(
            !unaware,
            "{}: the previous reader still places flows",
            case.name
        );
    }
}

#[test]
fn test_both_halves_of_a_partitioned_zone_have_a_reader() {
    // Guards against a side of a partitioned zone without a reader, and against two readers after
    // the partition.
    let mut rig = running_two_zones(4);
    let zone: ZoneName = "zone-1".into();
    let isolated = 0..35;
    rig.isolate(isolated.clone());
    rig.advance_time(IN_FORCE_MILLIS);
    rig.publish(|revision| upstream_item(revision, draining_entry()));
    rig.advance_time(IN_FORCE_MILLIS);
    let unaware = (0..rig.hosts.len()).filter(|index| rig.places_flows(*index));
    assert_eq!(unaware.count(), 0, "hosts that still place flows");
    let readers = rig.readers(&zone);
    let isolated_readers = readers
        .iter()
        .filter(|index| isolated.contains(*index))
        .count();
    assert!(
        isolated_readers >= 1 && readers.len() > isolated_readers,
        "{readers:?}"
    );
    rig.isolate([]);
    rig.advance_time(3000);
    assert_eq!(rig.readers(&zone).len(), 1);
}

#[test]
fn test_restarted_hosts_do_not_list_the_store() {
    // Guards against a listing of the store by each restarted host although a peer has the state.
    let mut rig = running_two_zones(5);
    let before = rig.now;
    for index in (0..rig.hosts.len()).step_by(3) {
        rig.kill(index);
        rig.advance_time(100);
        rig.start(index, Duration::ZERO);
        rig.advance_time(100);
    }
    rig.advance_time(1000);
    assert!(rig.hosts.iter().all(|host| host.core.is_ready()));
    let lists = rig.calls_since(before, StoreCall::List);
    assert!(lists <= 3, "{lists} lists of 47 hosts");
}

#[test]
fn test_host_with_stale_state_catches_up() {
    // Guards against a new host that keeps the stale state of the one peer that it reaches.
    let mut rig = running_two_zones(6);
    let (stale, fresh) = (0, 69);
    rig.kill(fresh);
    rig.isolate([stale, fresh]);
    rig.hosts[stale].served = false;
    rig.advance_with_changes(4000, 500);
    let changed = rig.position();
    rig.start(fresh, Duration::ZERO);
    rig.advance_time(200);
    assert!(rig.hosts[fresh].core.is_ready(), "with its peer's state");
    assert!(rig.hosts[fresh].core.snapshot().through() < changed);
    rig.advance_time(IN_FORCE_MILLIS);
    assert_eq!(rig.hosts[fresh].core.snapshot().through(), changed);
}

#[test]
fn test_starting_fleet_gets_its_state_from_few_readers() {
    // Guards against a fleet that starts at once and all of whose hosts list the store: they share
    // its link, and all become ready late.
    struct Case {
        name: &'static str,
        list_bytes: f64,
        half_ms: u64,
        all_ms: u64,
    }
    let cases = [
        Case {
            name: "long list",
            list_bytes: 460_000.0,
            half_ms: 800,
            all_ms: 1200,
        },
        Case {
            name: "short list",
            list_bytes: 235_000.0,
            half_ms: 800,
            all_ms: 1000,
        },
    ];
    for case in cases {
        let mut rig = FleetRig::new(&FleetPlan {
            zones: 5,
            hosts_per_zone: 70,
            large_hosts_per_zone: 3,
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
            rig.advance_time(100);
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
fn test_hosts_without_state_do_not_exchange_heartbeats_endlessly() {
    // Guards against two hosts without state that reply to each other's heartbeats endlessly.
    let mut rig = FleetRig::new(&FleetPlan {
        zones: 2,
        hosts_per_zone: 1,
        large_hosts_per_zone: 0,
        seed: 7,
    });
    for host in &mut rig.hosts {
        host.served = false;
    }
    rig.start_all();
    rig.advance_time(5000);
    assert!(
        rig.sent <= 300,
        "{} datagrams of two hosts in 5 s",
        rig.sent
    );
}
