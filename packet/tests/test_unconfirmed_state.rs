//! Tests of fleets whose store does not respond, or loses its responses, while the state changes.

use std::cmp::Reverse;
use std::time::Duration;

use lagoonproxy::flow_hash::rendezvous_weight;
use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::policy_config::LapseConfig;
use lagoonproxy_packet::state::state_source::address_key;
use lagoonproxy_packet::upstreams::upstream_entry::EntryState;
use lagoonproxy_packet::upstreams::upstream_entry::UpstreamEntry;
use xxhash_rust::xxh3::xxh3_64;

use crate::core_rig::*;
use crate::fleet_rig::*;

/// Time after its acknowledgement in which a change is in force on hosts that are not disrupted.
const IN_FORCE_MILLIS: u64 = 3000;

/// Time after a disruption of the store from which its hosts no longer count as disrupted.
const STABLE_MILLIS: u64 = 4000;

/// Number of the only upstream of a fleet.
const UPSTREAM: u8 = 1;

/// Returns a fleet of three zones that has run for 8 s. The last host of each zone is not started.
fn running_fleet(hosts_per_zone: u8, seed: u64) -> FleetRig {
    let mut rig = FleetRig::new(&FleetPlan {
        zones: 3,
        hosts_per_zone,
        large_hosts_per_zone: 0,
        seed,
    });
    rig.start_all();
    for host in last_hosts(&rig) {
        rig.kill(host);
    }
    rig.advance_time(8000);
    rig
}

/// Returns the last host of each zone.
fn last_hosts(rig: &FleetRig) -> Vec<HostIndex> {
    let hosts_per_zone = rig.hosts.len() / rig.zones().len();
    let last = (0..rig.hosts.len()).skip(hosts_per_zone - 1);
    last.step_by(hosts_per_zone).collect()
}

/// Returns the readers of all zones.
fn all_readers(rig: &FleetRig) -> Vec<HostIndex> {
    let zones = rig.zones();
    zones.iter().flat_map(|zone| rig.readers(zone)).collect()
}

/// Returns the running hosts that the store answers and that still place flows.
fn unaware_hosts(rig: &FleetRig) -> Vec<HostIndex> {
    let is_unaware = |index: &HostIndex| {
        let host = &rig.hosts[*index];
        host.alive && host.answered && rig.places_flows(*index)
    };
    (0..rig.hosts.len()).filter(is_unaware).collect()
}

fn publish_drain(rig: &mut FleetRig) {
    rig.publish(|revision| {
        let drain = UpstreamEntry {
            state: EntryState::Draining,
            ..entry(UPSTREAM, "ledger")
        };
        upstream_item(revision, drain)
    });
}

#[test]
fn test_added_hosts_keep_flows_of_upstreams_that_register_again() {
    // Guards against resets of open flows by hosts that start while the registrations of all
    // upstreams are missing, and whose readers then hear nothing of the store.
    struct Case {
        name: &'static str,
        silent_ms: u64,
        register_after_ms: u64,
    }
    let case = |name, silent_ms, register_after_ms| Case {
        name,
        silent_ms,
        register_after_ms,
    };
    let cases = [
        case("short second outage", 700, 100),
        case("registers late", 700, 1700),
        case("longer second outage", 2600, 100),
        case("long second outage", 6600, 1700),
    ];
    for case in cases {
        let mut rig = running_fleet(4, 11);
        for host in &mut rig.hosts {
            host.served = false;
        }
        rig.advance_time(2600);
        for host in &mut rig.hosts {
            host.served = true;
        }
        rig.publish(|revision| removed_item(revision, UPSTREAM));
        let removed = rig.position();
        let is_known = |host: &FleetHost| host.core.snapshot().through() == removed;
        while !rig.hosts.iter().any(is_known) {
            rig.advance_time(10);
        }
        rig.lose_responses(Duration::from_millis(case.silent_ms));
        let added = last_hosts(&rig);
        for host in &added {
            rig.start(*host, Duration::ZERO);
        }
        rig.advance_time(case.silent_ms + case.register_after_ms);
        rig.publish(|revision| upstream_item(revision, entry(UPSTREAM, "ledger")));
        for step in 0..80 {
            rig.advance_time(100);
            for host in &added {
                let reset = rig.send_in_flow(*host, 1, UPSTREAM);
                assert_eq!(reset, None, "{}: in step {step} at {host}", case.name);
            }
        }
    }
}

#[test]
fn test_change_after_lost_responses_is_in_force_in_time() {
    // Guards against readers that wait for the response to a watch that was lost, and whose zones
    // take the state from before it for current.
    struct Case {
        outages_ms: &'static [u64],
        pause_ms: u64,
    }
    let case = |outages_ms, pause_ms| Case {
        outages_ms,
        pause_ms,
    };
    let cases = [
        case(&[200], 0),
        case(&[700], 0),
        case(&[1000], 0),
        case(&[2600], 0),
        case(&[4500], 0),
        case(&[6600], 0),
        case(&[2600, 700], 200),
        case(&[700, 1000, 200], 600),
        case(&[1000, 4500], 1500),
    ];
    for (number, case) in cases.iter().enumerate() {
        for phase_ms in [0, 300, 700, 1300] {
            let mut rig = running_fleet(4, number as u64);
            rig.advance_time(phase_ms);
            for outage_ms in case.outages_ms {
                rig.publish(|revision| upstream_item(revision, entry(UPSTREAM, "ledger")));
                rig.advance_time(case.pause_ms);
                rig.lose_responses(Duration::from_millis(*outage_ms));
                rig.advance_time(*outage_ms);
            }
            rig.advance_time(50);
            publish_drain(&mut rig);
            rig.advance_time(IN_FORCE_MILLIS.max(STABLE_MILLIS - 50));
            let unaware = unaware_hosts(&rig);
            assert!(
                unaware.is_empty(),
                "outages of {:?} ms, phase {phase_ms}: {unaware:?} still place flows",
                case.outages_ms
            );
        }
    }
}

#[test]
fn test_drain_is_in_force_while_readers_get_no_response() {
    // Guards against readers that the store leaves without a response, and whose zones learn
    // nothing of a drain although the store answers their other hosts.
    struct Case {
        name: &'static str,
        hosts_per_zone: u8,
        next_readers: usize,
        drain_after_ms: u64,
    }
    let case = |name, hosts_per_zone, next_readers, drain_after_ms| Case {
        name,
        hosts_per_zone,
        next_readers,
        drain_after_ms,
    };
    let cases = [
        case("small zones", 4, 0, 20),
        case("small zones, drain later", 4, 0, 400),
        case("the next reader as well", 5, 1, 20),
        case("larger zones", 36, 0, 20),
        case("larger zones, two more", 36, 2, 20),
    ];
    for (number, case) in cases.iter().enumerate() {
        for phase_ms in [0, 250, 600] {
            let mut rig = running_fleet(case.hosts_per_zone, 30 + number as u64);
            rig.advance_time(phase_ms);
            // A reader starts its next watch just before the store falls silent.
            rig.publish(|revision| upstream_item(revision, entry(UPSTREAM, "ledger")));
            rig.advance_time(350);
            for host in all_readers(&rig) {
                rig.ignore_calls_of(host);
            }
            ignore_next_readers(&mut rig, case.next_readers);
            rig.advance_time(case.drain_after_ms);
            publish_drain(&mut rig);
            rig.advance_time(IN_FORCE_MILLIS);
            let unaware = unaware_hosts(&rig);
            assert!(
                unaware.is_empty(),
                "{}, phase {phase_ms}: {unaware:?} still place flows",
                case.name
            );
        }
    }
}

#[test]
fn test_slow_or_briefly_lost_store_switches_no_reader() {
    // Guards against readers that are replaced although the store responds to them, only slowly, or
    // again after a moment, and against many calls to a store that is slower than that.
    struct Case {
        name: &'static str,
        delay_ms: u64,
        lost_ms: u64,
        switches: bool,
    }
    let case = |name, delay_ms, lost_ms, switches| Case {
        name,
        delay_ms,
        lost_ms,
        switches,
    };
    let cases = [
        case("slow", 360, 0, false),
        case("slower than a watch's timeout", 900, 0, true),
        case("lost for a moment", 8, 100, false),
        case("lost for longer", 8, 700, false),
        case("slow, lost for a moment", 360, 100, false),
    ];
    const SECONDS: usize = 20;
    const MAX_CALLS_PER_ZONE_AND_SECOND: usize = 4;
    for (number, case) in cases.iter().enumerate() {
        let mut rig = running_fleet(20, 60 + number as u64);
        let readers = all_readers(&rig);
        let before = rig.calls.len();
        rig.store_delay = Duration::from_millis(case.delay_ms);
        let mut switched = Vec::new();
        for step in 0..SECONDS * 10 {
            if step % 50 == 0 {
                rig.publish(|revision| upstream_item(revision, entry(UPSTREAM, "ledger")));
                rig.lose_responses(Duration::from_millis(case.lost_ms));
            }
            rig.advance_time(100);
            let current = all_readers(&rig);
            switched.extend((current != readers).then_some(current));
        }
        assert_eq!(
            switched.is_empty(),
            !case.switches,
            "{}: {switched:?}",
            case.name
        );
        let calls = rig.calls.len() - before;
        let max_calls = SECONDS * MAX_CALLS_PER_ZONE_AND_SECOND * rig.zones().len();
        assert!(calls <= max_calls, "{}: {calls} calls", case.name);
    }
}

#[test]
fn test_flows_of_unknown_upstreams_are_reset_while_changes_come() {
    // Guards against callers of a dead upstream that wait until their timeout because each change of
    // the store counts as an interruption.
    for (number, pause_ms) in [100, 700, 900, 1000, 1300, 2500].into_iter().enumerate() {
        let mut rig = running_fleet(4, 80 + number as u64);
        rig.store_delay = Duration::from_millis(360);
        rig.advance_with_changes(10_000, pause_ms);
        let hosts = (0..rig.hosts.len()).filter(|host| rig.hosts[*host].alive);
        for host in hosts.collect::<Vec<_>>() {
            let reset = rig.send_in_flow(host, 1, UPSTREAM + 1);
            let expected = Some(ResultCode::FlowUnknown);
            assert_eq!(reset, expected, "a change every {pause_ms} ms, host {host}");
        }
    }
}

#[test]
fn test_grace_times_do_not_end_while_the_store_is_silent() {
    // Guards against upstreams that get no new flows, and evacuated zones that get some, because a
    // grace time ended while the store could not tell that they were written again.
    struct Case {
        name: &'static str,
        publish: fn(&mut CoreRig),
        is_kept: fn(&mut CoreRig) -> bool,
        grace: Duration,
    }
    let LapseConfig {
        grace,
        restored_grace,
        evacuation_grace,
        ..
    } = LapseConfig::default();
    let cases = [
        Case {
            name: "registration removed",
            publish: |rig| rig.publish(|revision| removed_item(revision, UPSTREAM)),
            is_kept: |rig| gets_flows(rig, UPSTREAM),
            grace,
        },
        Case {
            name: "registration lost in a restore",
            publish: |rig| {
                let items = vec![
                    routes_item(5, default_routes(1)),
                    evacuation_item(5, "b"),
                    upstream_item(5, entry(2, "ledger")),
                ];
                rig.restore(5, items);
            },
            is_kept: |rig| gets_flows(rig, UPSTREAM),
            grace: restored_grace,
        },
        Case {
            name: "evacuation lost in a restore",
            publish: |rig| {
                let entries = [entry(UPSTREAM, "ledger"), entry(2, "ledger")];
                let mut items = vec![routes_item(5, default_routes(1))];
                items.extend(entries.map(|entry| upstream_item(5, entry)));
                rig.restore(5, items);
            },
            is_kept: |rig| rig.core.upstreams().evacuated().contains_key("b"),
            grace: evacuation_grace,
        },
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[UPSTREAM, 2]);
        rig.publish(|revision| evacuation_item(revision, "b"));
        let flow = (0..10)
            .find(|flow| rig.establish(*flow) == UPSTREAM)
            .expect("a flow at the upstream");
        rig.advance_time(6000);
        rig.request(flow, UPSTREAM, 0);
        rig.advance_time(20);
        rig.acknowledge(flow, UPSTREAM, 0);
        (case.publish)(&mut rig);
        rig.store_unreachable = true;
        rig.advance_time(case.grace.as_millis() as u64 + 3000);
        assert!((case.is_kept)(&mut rig), "{}: while silent", case.name);
        rig.store_unreachable = false;
        rig.advance_time(200);
        assert!(!(case.is_kept)(&mut rig), "{}: confirmed", case.name);
    }
}

/// Returns whether any of 40 new flows is placed at an upstream.
fn gets_flows(rig: &mut CoreRig, upstream: u8) -> bool {
    (100..140).any(|flow| rig.open(flow, 0).contains(&upstream))
}

/// Stops answering the calls of the hosts that replace the readers of their zones, `count` in
/// succession.
fn ignore_next_readers(rig: &mut FleetRig, count: usize) {
    for zone in rig.zones() {
        let members = (0..rig.hosts.len()).filter(|host| {
            let host = &rig.hosts[*host];
            host.alive && host.answered && host.zone == zone
        });
        let mut ranked: Vec<HostIndex> = members.collect();
        let zone_key = xxh3_64(zone.as_bytes());
        ranked.sort_by_key(|host| {
            let key = address_key(rig.hosts[*host].address);
            Reverse(rendezvous_weight(zone_key, key))
        });
        for host in ranked.into_iter().take(count) {
            rig.ignore_calls_of(host);
        }
    }
}
