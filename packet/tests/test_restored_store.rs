//! Tests of a store that is restored from a backup some seconds old: later changes are lost, and
//! their revisions are reused.

use lagoonproxy_packet::packet_action::DecisionEvent;
use lagoonproxy_packet::state::state_snapshot::PublishedItem;
use lagoonproxy_packet::state::state_snapshot::StateQuery;
use lagoonproxy_packet::state::state_snapshot::StateSnapshot;
use lagoonproxy_packet::upstreams::upstream_entry::EntryState;
use lagoonproxy_packet::upstreams::upstream_entry::UpstreamEntry;
use proptest::prelude::*;

use crate::core_rig::*;

/// Returns the registration of an upstream of the ledger after `write_count` writes.
fn entry_after_writes(number: u8, write_count: u64, state: EntryState) -> UpstreamEntry {
    UpstreamEntry {
        state,
        write_count,
        ..entry(number, "ledger")
    }
}

/// Returns the content of a backup at revision 10: the default routes, and the registrations of
/// upstreams 1 and 2 after one write.
fn backup_items() -> Vec<PublishedItem> {
    vec![
        routes_item(1, default_routes(1)),
        upstream_item(1, entry(1, "ledger")),
        upstream_item(1, entry(2, "ledger")),
    ]
}

/// Returns whether an upstream gets any of 60 new flows.
fn gets_flows(rig: &mut CoreRig, number: u8) -> bool {
    (1000..1060).any(|flow| rig.open(flow, 0).contains(&number))
}

#[test]
fn test_state_lost_in_a_restore_stays_until_rewritten() {
    // Guards against a draining or deregistered upstream that gets flows again because the backup
    // is older, and against the loss of an upstream whose registration the backup lacks.
    struct Case {
        name: &'static str,
        /// Registrations that are published after the backup.
        lost: Vec<UpstreamEntry>,
        removed: Option<u8>,
        /// Registration that is published half a second after the restore.
        rewritten: Option<UpstreamEntry>,
        /// Whether the store then removes the upstream's registration again.
        is_removed_again: bool,
        upstream: u8,
        /// Whether the upstream gets flows right after the restore, a second later, and after the
        /// grace time.
        expected: [bool; 3],
    }
    let ready = EntryState::Ready;
    let draining = EntryState::Draining;
    let cases = [
        Case {
            name: "drain lost and rewritten",
            lost: vec![entry_after_writes(1, 5, draining)],
            removed: None,
            rewritten: Some(entry_after_writes(1, 6, draining)),
            is_removed_again: false,
            upstream: 1,
            expected: [false, false, false],
        },
        Case {
            name: "drain lost, never rewritten",
            lost: vec![entry_after_writes(1, 5, draining)],
            removed: None,
            rewritten: None,
            is_removed_again: false,
            upstream: 1,
            expected: [false, false, true],
        },
        Case {
            name: "drain lost, cancelled after the restore",
            lost: vec![entry_after_writes(1, 5, draining)],
            removed: None,
            rewritten: Some(entry_after_writes(1, 6, ready)),
            is_removed_again: false,
            upstream: 1,
            expected: [false, true, true],
        },
        Case {
            name: "drain of a later process of the upstream lost",
            lost: vec![UpstreamEntry {
                born: Some(2),
                ..entry_after_writes(1, 1, draining)
            }],
            removed: None,
            rewritten: None,
            is_removed_again: false,
            upstream: 1,
            expected: [false, false, true],
        },
        Case {
            name: "registration lost and rewritten",
            lost: vec![entry_after_writes(3, 1, ready)],
            removed: None,
            rewritten: Some(entry_after_writes(3, 2, ready)),
            is_removed_again: false,
            upstream: 3,
            expected: [true, true, true],
        },
        Case {
            name: "registration lost, never rewritten",
            lost: vec![entry_after_writes(3, 1, ready)],
            removed: None,
            rewritten: None,
            is_removed_again: false,
            upstream: 3,
            expected: [true, true, false],
        },
        Case {
            name: "registration and drain lost, drain rewritten",
            lost: vec![
                entry_after_writes(3, 1, ready),
                entry_after_writes(3, 2, draining),
            ],
            removed: None,
            rewritten: Some(entry_after_writes(3, 3, draining)),
            is_removed_again: false,
            upstream: 3,
            expected: [false, false, false],
        },
        Case {
            name: "registration and drain lost, never rewritten",
            lost: vec![
                entry_after_writes(3, 1, ready),
                entry_after_writes(3, 2, draining),
            ],
            removed: None,
            rewritten: None,
            is_removed_again: false,
            upstream: 3,
            expected: [false, false, false],
        },
        Case {
            name: "deregistration lost, registration removed again by the store",
            lost: Vec::new(),
            removed: Some(1),
            rewritten: None,
            is_removed_again: true,
            upstream: 1,
            expected: [false, false, false],
        },
        Case {
            name: "deregistration lost, upstream registers again",
            lost: Vec::new(),
            removed: Some(1),
            rewritten: Some(entry_after_writes(1, 9, ready)),
            is_removed_again: false,
            upstream: 1,
            expected: [false, true, true],
        },
        Case {
            name: "deregistration lost, nothing rewritten",
            lost: Vec::new(),
            removed: Some(1),
            rewritten: None,
            is_removed_again: false,
            upstream: 1,
            expected: [false, false, true],
        },
        Case {
            name: "nothing of the upstream lost",
            lost: Vec::new(),
            removed: None,
            rewritten: None,
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
        rig.restore(10, backup_items());
        let mut observed = vec![gets_flows(&mut rig, case.upstream)];
        rig.advance_time(500);
        if let Some(entry) = case.rewritten {
            rig.publish(|revision| upstream_item(revision, entry));
        }
        rig.advance_time(500);
        observed.push(gets_flows(&mut rig, case.upstream));
        rig.advance_time(1500);
        if case.is_removed_again {
            rig.publish(|revision| removed_item(revision, case.upstream));
        }
        rig.advance_time(3500);
        observed.push(gets_flows(&mut rig, case.upstream));
        assert_eq!(observed, case.expected, "{}", case.name);
    }
}

#[test]
fn test_flows_survive_the_loss_of_their_upstreams_registration() {
    // Guards against resets of idle flows at upstreams whose registration a restored store does not
    // list yet.
    for state in [EntryState::Ready, EntryState::Draining] {
        let mut rig = CoreRig::with_ledger(&[]);
        rig.publish(|revision| {
            upstream_item(revision, entry_after_writes(3, 1, EntryState::Ready))
        });
        let flows: Vec<u16> = (0..4).collect();
        for flow in &flows {
            assert_eq!(rig.establish(*flow), 3);
        }
        rig.publish(|revision| upstream_item(revision, entry_after_writes(3, 2, state)));
        rig.advance_time(8000);
        rig.restore(10, backup_items());
        rig.advance_time(3000);
        rig.publish(|revision| upstream_item(revision, entry_after_writes(3, 3, state)));
        rig.advance_time(6000);
        assert_eq!(rig.resets, Vec::new(), "{state:?}");
        for flow in &flows {
            assert_eq!(forwarded(&rig.request(*flow, 3, 0)), [3], "{state:?}");
        }
    }
}

#[test]
fn test_older_configuration_of_a_backup_is_not_applied() {
    // Guards against older routes that replace newer ones when the store is restored.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    rig.publish(|revision| routes_item(revision, routes(9, &[(certs(), "certs")])));
    rig.restore(10, backup_items());
    let version = |rig: &CoreRig| rig.core.snapshot().routes().map(|routes| routes.version);
    assert_eq!(version(&rig), Some(9));
    assert!(
        rig.open(1, 0).is_empty(),
        "the removed route is in use again"
    );
    let regressed = rig
        .events
        .contains(&DecisionEvent::RoutesRegressed { version: 1 });
    assert!(regressed, "no event reports the older routes");
    rig.publish(|revision| routes_item(revision, default_routes(10)));
    assert_eq!(version(&rig), Some(10));
}

#[test]
fn test_evacuations_after_a_restore() {
    // Guards against an evacuated zone that gets flows before its lost evacuation is requested
    // again, and against one that stays evacuated permanently although it is not requested again.
    struct Case {
        name: &'static str,
        lost: Vec<PublishedItem>,
        in_backup: bool,
        rewritten: Vec<PublishedItem>,
        /// Whether the zone is evacuated right after the restore, a second later, and after half a
        /// minute.
        expected: [bool; 3],
    }
    let requested = || evacuation_item(11, "b");
    let cases = [
        Case {
            name: "evacuation lost and requested again",
            lost: vec![requested()],
            in_backup: false,
            rewritten: vec![requested()],
            expected: [true, true, true],
        },
        Case {
            name: "evacuation lost, never requested again",
            lost: vec![requested()],
            in_backup: false,
            rewritten: vec![],
            expected: [true, true, false],
        },
        Case {
            name: "evacuation lost, requested again and ended",
            lost: vec![requested()],
            in_backup: false,
            rewritten: vec![requested(), restored_item(12, "b")],
            expected: [true, false, false],
        },
        Case {
            name: "end of the evacuation lost and requested again",
            lost: vec![restored_item(11, "b")],
            in_backup: true,
            rewritten: vec![restored_item(11, "b")],
            expected: [true, false, false],
        },
        Case {
            name: "nothing lost",
            lost: vec![],
            in_backup: true,
            rewritten: vec![],
            expected: [true, true, true],
        },
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1, 2]);
        let evacuation = || evacuation_item(5, "b");
        if case.in_backup {
            let mut items = backup_items();
            items.push(evacuation());
            rig.merge(&whole(10, items));
        }
        for item in case.lost {
            rig.publish(|_revision| item);
        }
        let mut items = backup_items();
        items.extend(case.in_backup.then(evacuation));
        rig.restore(10, items);
        let evacuated = |rig: &CoreRig| rig.core.upstreams().evacuated().contains_key("b");
        let mut observed = vec![evacuated(&rig)];
        rig.advance_time(1000);
        for item in case.rewritten {
            rig.publish(|_revision| item);
        }
        observed.push(evacuated(&rig));
        rig.advance_time(30_000);
        observed.push(evacuated(&rig));
        assert_eq!(observed, case.expected, "{}", case.name);
    }
}

#[test]
fn test_second_restore_restarts_the_grace_time() {
    // Guards against upstreams whose grace time still runs from the first restore when the store
    // loses their registrations a second time.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    rig.publish(|revision| upstream_item(revision, entry_after_writes(3, 1, EntryState::Ready)));
    rig.publish(|revision| upstream_item(revision, entry_after_writes(1, 5, EntryState::Draining)));
    rig.restore(10, backup_items());
    rig.advance_time(4000);
    rig.restore(10, backup_items());
    rig.advance_time(4000);
    assert!(
        gets_flows(&mut rig, 3),
        "the unlisted upstream gets no flows"
    );
    assert!(!gets_flows(&mut rig, 1), "the draining upstream gets flows");
}

/// An event in the history of a store and of the hosts that read it.
#[derive(Clone, Debug)]
enum HistoryStep {
    /// An upstream writes its registration, or the registration is removed. Number 5 stands for an
    /// evacuation.
    Write { number: u8, exists: bool },
    /// The store is restored from the backup of this many steps ago.
    Restore { age: usize },
    /// A host lists the store.
    List { host: usize },
    /// A host gets the changes that it lacks from another host.
    Query { host: usize, source: usize },
    /// A host lists the store and forwards the changes to another host.
    Forward { host: usize, follower: usize },
}

fn history_step() -> impl Strategy<Value = HistoryStep> {
    prop_oneof![
        4 => (1..6_u8, any::<bool>())
            .prop_map(|(number, exists)| HistoryStep::Write { number, exists }),
        1 => (1..6_usize).prop_map(|age| HistoryStep::Restore { age }),
        3 => (0..4_usize).prop_map(|host| HistoryStep::List { host }),
        3 => (0..4_usize, 0..4_usize)
            .prop_map(|(host, source)| HistoryStep::Query { host, source }),
        2 => (0..4_usize, 0..4_usize)
            .prop_map(|(host, follower)| HistoryStep::Forward { host, follower }),
    ]
}

/// Returns the items of a snapshot without their positions, which may be of different eras.
fn held_entries(snapshot: &StateSnapshot) -> Vec<PublishedItem> {
    let mut items = snapshot.update_since(&StateQuery::default()).items;
    for item in &mut items {
        item.position = at(0);
    }
    items
}

proptest! {
    /// Hosts that list the store, query each other and forward deltas hold the store's content once
    /// they are at its position, after any number of restores.
    #[test]
    fn test_hosts_at_the_position_of_the_store_hold_its_content(
        steps in prop::collection::vec(history_step(), 1..80),
    ) {
        let mut store = StateSnapshot::default();
        store.merge(&whole(10, vec![routes_item(1, default_routes(1))]));
        let mut backups = vec![(10, store.clone())];
        let (mut era, mut revision) = (0, 10);
        let mut hosts = vec![StateSnapshot::default(); 4];
        for (write, step) in steps.into_iter().enumerate() {
            match step {
                HistoryStep::Write { number, exists } => {
                    let after = revision;
                    revision += 1;
                    let entry = entry_after_writes(number, write as u64, EntryState::Ready);
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
                    let backup = &backups[backups.len().saturating_sub(age)];
                    revision = backup.0;
                    let items = backup.1.update_since(&StateQuery::default()).items;
                    store = StateSnapshot::default();
                    store.merge(&whole(revision, items).moved_to(era));
                }
                HistoryStep::List { host } => {
                    hosts[host].merge(&store.update_since(&StateQuery::default()));
                }
                HistoryStep::Query { host, source } => {
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
            backups.push((revision, store.clone()));
            for (place, host) in hosts.iter().enumerate() {
                if host.through() == store.through() {
                    prop_assert_eq!(held_entries(host), held_entries(&store), "host {}", place);
                }
            }
        }
    }
}
