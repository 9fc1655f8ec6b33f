//! Tests of a store that comes back from a copy some seconds old: what was written since is gone, and its revisions
//! are given out again.

use lagoonproxy_packet::packet_action::DecisionEvent;
use lagoonproxy_packet::state::state_snapshot::PublishedItem;
use lagoonproxy_packet::state::state_snapshot::StateQuery;
use lagoonproxy_packet::state::state_snapshot::StateSnapshot;
use lagoonproxy_packet::upstreams::upstream_entry::EntryState;
use lagoonproxy_packet::upstreams::upstream_entry::UpstreamEntry;
use proptest::prelude::*;

use crate::core_rig::*;

/// The registration of an upstream of the ledger after so many writes.
fn written(number: u8, write_count: u64, state: EntryState) -> UpstreamEntry {
    UpstreamEntry {
        state,
        write_count,
        ..entry(number, "ledger")
    }
}

/// What a copy contains at revision 10: the usual routes, and upstreams 1 and 2 after one write.
fn copied_items() -> Vec<PublishedItem> {
    vec![
        routes_item(1, default_routes(1)),
        upstream_item(1, entry(1, "ledger")),
        upstream_item(1, entry(2, "ledger")),
    ]
}

/// Whether new flows reach an upstream.
fn gets_flows(rig: &mut CoreRig, number: u8) -> bool {
    (1000..1060).any(|flow| rig.open(flow, 0).contains(&number))
}

#[test]
fn test_what_a_restored_store_lost_stands_until_it_is_written_again() {
    // Guards against a draining or former upstream that gets flows again from an older copy, and against the loss of an upstream
    // whose registration the copy lacks.
    struct Case {
        name: &'static str,
        /// What is published after the copy.
        lost: Vec<UpstreamEntry>,
        removed: Option<u8>,
        /// What is published half a second after the return.
        again: Option<UpstreamEntry>,
        /// Whether the store then removes the upstream's registration.
        is_removed_again: bool,
        upstream: u8,
        /// Whether the upstream gets flows right after the return, a second later, and after the grace time.
        expected: [bool; 3],
    }
    let ready = EntryState::Ready;
    let draining = EntryState::Draining;
    let cases = [
        Case {
            name: "drain lost and written again",
            lost: vec![written(1, 5, draining)],
            removed: None,
            again: Some(written(1, 6, draining)),
            is_removed_again: false,
            upstream: 1,
            expected: [false, false, false],
        },
        Case {
            name: "drain lost, never written again",
            lost: vec![written(1, 5, draining)],
            removed: None,
            again: None,
            is_removed_again: false,
            upstream: 1,
            expected: [false, false, true],
        },
        Case {
            name: "drain lost, taken back after the return",
            lost: vec![written(1, 5, draining)],
            removed: None,
            again: Some(written(1, 6, ready)),
            is_removed_again: false,
            upstream: 1,
            expected: [false, true, true],
        },
        Case {
            name: "drain of a later process of the upstream lost",
            lost: vec![UpstreamEntry {
                born: Some(2),
                ..written(1, 1, draining)
            }],
            removed: None,
            again: None,
            is_removed_again: false,
            upstream: 1,
            expected: [false, false, true],
        },
        Case {
            name: "registration lost and written again",
            lost: vec![written(3, 1, ready)],
            removed: None,
            again: Some(written(3, 2, ready)),
            is_removed_again: false,
            upstream: 3,
            expected: [true, true, true],
        },
        Case {
            name: "registration lost, never written again",
            lost: vec![written(3, 1, ready)],
            removed: None,
            again: None,
            is_removed_again: false,
            upstream: 3,
            expected: [true, true, false],
        },
        Case {
            name: "registration and drain lost",
            lost: vec![written(3, 1, ready), written(3, 2, draining)],
            removed: None,
            again: Some(written(3, 3, draining)),
            is_removed_again: false,
            upstream: 3,
            expected: [false, false, false],
        },
        Case {
            name: "registration and drain lost, never written again",
            lost: vec![written(3, 1, ready), written(3, 2, draining)],
            removed: None,
            again: None,
            is_removed_again: false,
            upstream: 3,
            expected: [false, false, false],
        },
        Case {
            name: "deregistration lost, the store removes the registration again",
            lost: Vec::new(),
            removed: Some(1),
            again: None,
            is_removed_again: true,
            upstream: 1,
            expected: [false, false, false],
        },
        Case {
            name: "deregistration lost, but the upstream lives",
            lost: Vec::new(),
            removed: Some(1),
            again: Some(written(1, 9, ready)),
            is_removed_again: false,
            upstream: 1,
            expected: [false, true, true],
        },
        Case {
            name: "deregistration lost, nothing is written again",
            lost: Vec::new(),
            removed: Some(1),
            again: None,
            is_removed_again: false,
            upstream: 1,
            expected: [false, false, true],
        },
        Case {
            name: "nothing of it lost",
            lost: Vec::new(),
            removed: None,
            again: None,
            is_removed_again: false,
            upstream: 1,
            expected: [true, true, true],
        },
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1, 2]);
        for entry in case.lost {
            rig.publish(|revision| upstream_item(revision, entry));
        }
        if let Some(number) = case.removed {
            rig.publish(|revision| removed_item(revision, number));
        }
        rig.restore(10, copied_items());
        let mut seen = vec![gets_flows(&mut rig, case.upstream)];
        rig.pass(500);
        if let Some(entry) = case.again {
            rig.publish(|revision| upstream_item(revision, entry));
        }
        rig.pass(500);
        seen.push(gets_flows(&mut rig, case.upstream));
        rig.pass(1500);
        if case.is_removed_again {
            rig.publish(|revision| removed_item(revision, case.upstream));
        }
        rig.pass(3500);
        seen.push(gets_flows(&mut rig, case.upstream));
        assert_eq!(seen, case.expected, "{}", case.name);
    }
}

#[test]
fn test_flows_outlive_the_loss_of_their_upstreams_registration() {
    // Guards against resets of idle flows at upstreams whose registration a restored store does not list yet.
    for state in [EntryState::Ready, EntryState::Draining] {
        let mut rig = CoreRig::with_ledger(&[]);
        rig.publish(|revision| upstream_item(revision, written(3, 1, EntryState::Ready)));
        let flows: Vec<u16> = (0..4).collect();
        for flow in &flows {
            assert_eq!(rig.establish(*flow), 3);
        }
        rig.publish(|revision| upstream_item(revision, written(3, 2, state)));
        rig.pass(8000);
        rig.restore(10, copied_items());
        rig.pass(3000);
        rig.publish(|revision| upstream_item(revision, written(3, 3, state)));
        rig.pass(6000);
        assert_eq!(rig.resets, Vec::new(), "{state:?}");
        for flow in &flows {
            assert_eq!(forwarded(&rig.request(*flow, 3, 0)), [3], "{state:?}");
        }
    }
}

#[test]
fn test_older_configuration_of_a_copy_stays_out_of_force() {
    // Guards against routes that come back older when the store does.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    rig.publish(|revision| routes_item(revision, routes(9, &[(certs(), "certs")])));
    rig.restore(10, copied_items());
    let version = |rig: &CoreRig| rig.core.view().routes().map(|routes| routes.version);
    assert_eq!(version(&rig), Some(9));
    assert!(rig.open(1, 0).is_empty(), "the dropped route is back");
    let regressed = rig
        .events
        .contains(&DecisionEvent::RoutesRegressed { version: 1 });
    assert!(regressed, "no event says so");
    rig.publish(|revision| routes_item(revision, default_routes(10)));
    assert_eq!(version(&rig), Some(10));
}

#[test]
fn test_evacuations_after_the_store_came_back_from_a_copy() {
    // Guards against an evacuated zone that gets flows before its lost evacuation is requested again, and against one
    // that never gets any again.
    struct Case {
        name: &'static str,
        lost: Vec<PublishedItem>,
        copied: bool,
        again: Vec<PublishedItem>,
        /// Whether the zone is evacuated right after the return, a second later, and after half a minute.
        expected: [bool; 3],
    }
    let requested = || evacuation_item(11, "b");
    let cases = [
        Case {
            name: "request lost and made again",
            lost: vec![requested()],
            copied: false,
            again: vec![requested()],
            expected: [true, true, true],
        },
        Case {
            name: "request lost, never made again",
            lost: vec![requested()],
            copied: false,
            again: vec![],
            expected: [true, true, false],
        },
        Case {
            name: "request lost, made again and ended",
            lost: vec![requested()],
            copied: false,
            again: vec![requested(), restored_item(12, "b")],
            expected: [true, false, false],
        },
        Case {
            name: "end lost and made again",
            lost: vec![restored_item(11, "b")],
            copied: true,
            again: vec![restored_item(11, "b")],
            expected: [true, false, false],
        },
        Case {
            name: "nothing lost",
            lost: vec![],
            copied: true,
            again: vec![],
            expected: [true, true, true],
        },
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1, 2]);
        let copied = || evacuation_item(5, "b");
        if case.copied {
            let mut items = copied_items();
            items.push(copied());
            rig.merge(&whole(10, items));
        }
        for item in case.lost {
            rig.publish(|_revision| item);
        }
        let mut items = copied_items();
        items.extend(case.copied.then(copied));
        rig.restore(10, items);
        let evacuated = |rig: &CoreRig| rig.core.upstreams().evacuated().contains_key("b");
        let mut seen = vec![evacuated(&rig)];
        rig.pass(1000);
        for item in case.again {
            rig.publish(|_revision| item);
        }
        seen.push(evacuated(&rig));
        rig.pass(30_000);
        seen.push(evacuated(&rig));
        assert_eq!(seen, case.expected, "{}", case.name);
    }
}

#[test]
fn test_second_return_gives_upstreams_the_whole_time_again() {
    // Guards against upstreams that are dropped when the store loses their registrations twice in a row.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    rig.publish(|revision| upstream_item(revision, written(3, 1, EntryState::Ready)));
    rig.publish(|revision| upstream_item(revision, written(1, 5, EntryState::Draining)));
    rig.restore(10, copied_items());
    rig.pass(4000);
    rig.restore(10, copied_items());
    rig.pass(4000);
    assert!(gets_flows(&mut rig, 3), "the lost upstream is out of use");
    assert!(!gets_flows(&mut rig, 1), "the draining upstream gets flows");
}

/// A step in the history of a store, and of the hosts that read it.
#[derive(Clone, Debug)]
enum HistoryStep {
    /// An upstream writes, or its registration is removed; number 5 is an evacuation.
    Write { number: u8, exists: bool },
    /// The store comes back from the copy of this many steps ago.
    Restore { age: usize },
    /// A host lists the store.
    List { host: usize },
    /// A host gets what it is missing from another.
    Ask { host: usize, source: usize },
    /// A host lists the store and hands another what it hands its zone.
    Forward { host: usize, follower: usize },
}

fn history_step() -> impl Strategy<Value = HistoryStep> {
    prop_oneof![
        4 => (1..6_u8, any::<bool>()).prop_map(|(number, exists)| HistoryStep::Write { number, exists }),
        1 => (1..6_usize).prop_map(|age| HistoryStep::Restore { age }),
        3 => (0..4_usize).prop_map(|host| HistoryStep::List { host }),
        3 => (0..4_usize, 0..4_usize).prop_map(|(host, source)| HistoryStep::Ask { host, source }),
        2 => (0..4_usize, 0..4_usize)
            .prop_map(|(host, follower)| HistoryStep::Forward { host, follower }),
    ]
}

/// What a snapshot holds, without the positions, which may be of different eras.
fn held_entries(view: &StateSnapshot) -> Vec<PublishedItem> {
    let mut items = view.update_since(&StateQuery::default()).items;
    for item in &mut items {
        item.position = at(0);
    }
    items
}

proptest! {
    /// Hosts that list the store, ask each other and hand on deltas hold the store's content once they are at its position,
    /// through any number of returns.
    #[test]
    fn test_hosts_at_the_position_of_the_store_hold_its_content(
        steps in prop::collection::vec(history_step(), 1..80),
    ) {
        let mut store = StateSnapshot::default();
        store.merge(&whole(10, vec![routes_item(1, default_routes(1))]));
        let mut copies = vec![(10, store.clone())];
        let (mut era, mut revision) = (0, 10);
        let mut hosts = vec![StateSnapshot::default(); 4];
        for (write, step) in steps.into_iter().enumerate() {
            match step {
                HistoryStep::Write { number, exists } => {
                    let after = revision;
                    revision += 1;
                    let entry = written(number, write as u64, EntryState::Ready);
                    let item = match (number, exists) {
                        (5, true) => evacuation_item(revision, "b"),
                        (5, false) => restored_item(revision, "b"),
                        (_, true) => upstream_item(revision, entry),
                        (_, false) => removed_item(revision, number),
                    };
                    store.merge(&changes(after, revision, vec![item]).moved_to(era));
                }
                HistoryStep::Restore { age } => {
                    era += 1;
                    let copied = &copies[copies.len().saturating_sub(age)];
                    revision = copied.0;
                    let items = copied.1.update_since(&StateQuery::default()).items;
                    store = StateSnapshot::default();
                    store.merge(&whole(revision, items).moved_to(era));
                }
                HistoryStep::List { host } => {
                    hosts[host].merge(&store.update_since(&StateQuery::default()));
                }
                HistoryStep::Ask { host, source } => {
                    let update = hosts[source].update_since(&hosts[host].query());
                    hosts[host].merge(&update);
                }
                HistoryStep::Forward { host, follower } => {
                    let before = hosts[host].query();
                    hosts[host].merge(&store.update_since(&StateQuery::default()));
                    let update = hosts[host].update_since(&before);
                    hosts[follower].merge(&update);
                }
            }
            copies.push((revision, store.clone()));
            for (place, host) in hosts.iter().enumerate() {
                if host.through() == store.through() {
                    prop_assert_eq!(held_entries(host), held_entries(&store), "host {}", place);
                }
            }
        }
    }
}
