//! Tests of merging published state, which never regresses whatever the source.

use lagoonproxy_packet::peers::peer_datagram::decode_state;
use lagoonproxy_packet::peers::peer_datagram::encode_state;
use lagoonproxy_packet::state::state_snapshot::ItemContent;
use lagoonproxy_packet::state::state_snapshot::ItemKey;
use lagoonproxy_packet::state::state_snapshot::PublishedItem;
use lagoonproxy_packet::state::state_snapshot::StateQuery;
use lagoonproxy_packet::state::state_snapshot::StateSnapshot;
use lagoonproxy_packet::state::state_snapshot::StateUpdate;
use lagoonproxy_packet::state::store_position::StorePosition;
use proptest::prelude::*;

use crate::core_rig::*;

/// The items and position of a snapshot, for comparison.
fn content(snapshot: &StateSnapshot) -> (Vec<PublishedItem>, StorePosition) {
    let update = snapshot.update_since(&StateQuery::default());
    (update.items, update.through)
}

fn first_state() -> StateUpdate {
    let items = vec![
        routes_item(3, default_routes(7)),
        upstream_item(4, entry(1, "ledger")),
        upstream_item(5, entry(2, "ledger")),
    ];
    whole(10, items)
}

#[test]
fn test_evacuations_are_merged() {
    // Guards against an evacuation that is lost, or that an older state restores.
    struct Case {
        name: &'static str,
        updates: Vec<StateUpdate>,
        evacuated: &'static [&'static str],
    }
    let list_with = |evacuations: Vec<PublishedItem>| {
        let mut items = first_state().items;
        items.extend(evacuations);
        items
    };
    let cases = [
        Case {
            name: "a change",
            updates: vec![changes(10, 11, vec![evacuation_item(11, "b")])],
            evacuated: &["a", "b"],
        },
        Case {
            name: "restored by a change",
            updates: vec![changes(10, 11, vec![restored_item(11, "a")])],
            evacuated: &[],
        },
        Case {
            name: "requested and restored within one watch",
            updates: vec![changes(
                10,
                12,
                vec![evacuation_item(11, "b"), restored_item(12, "b")],
            )],
            evacuated: &["a"],
        },
        Case {
            name: "restored and requested again within one watch",
            updates: vec![changes(
                10,
                12,
                vec![restored_item(11, "a"), evacuation_item(12, "a")],
            )],
            evacuated: &["a"],
        },
        Case {
            name: "an older change after a newer one",
            updates: vec![
                changes(10, 12, vec![restored_item(12, "a")]),
                changes(9, 11, vec![evacuation_item(6, "a")]),
            ],
            evacuated: &[],
        },
        Case {
            name: "a change out of order under a newer revision",
            updates: vec![changes(10, 13, vec![restored_item(5, "a")])],
            evacuated: &["a"],
        },
        Case {
            name: "a whole list without it",
            updates: vec![whole(12, list_with(vec![]))],
            evacuated: &[],
        },
        Case {
            name: "a whole list with its key but without its content",
            updates: vec![whole(
                12,
                list_with(vec![PublishedItem {
                    content: ItemContent::Unchanged,
                    ..evacuation_item(6, "a")
                }]),
            )],
            evacuated: &["a"],
        },
        Case {
            name: "an older whole list without it",
            updates: vec![whole(9, list_with(vec![]))],
            evacuated: &["a"],
        },
        Case {
            name: "changes of other items",
            updates: vec![changes(10, 12, vec![removed_item(12, 1)])],
            evacuated: &["a"],
        },
        Case {
            name: "hundreds of zones",
            updates: vec![changes(
                10,
                500,
                (11..=500)
                    .map(|number| evacuation_item(number, &format!("zone-{number}")))
                    .chain(
                        (11..=500)
                            .map(|number| restored_item(500 + number, &format!("zone-{number}"))),
                    )
                    .collect(),
            )],
            evacuated: &["a"],
        },
    ];
    for case in cases {
        let mut snapshot = StateSnapshot::default();
        snapshot.merge(&whole(10, list_with(vec![evacuation_item(6, "a")])));
        for update in &case.updates {
            snapshot.merge(update);
        }
        let mut peer = StateSnapshot::default();
        peer.merge(&snapshot.update_since(&StateQuery::default()));
        for (holder, snapshot) in [("the receiver", &snapshot), ("a peer", &peer)] {
            let zones: Vec<_> = content(snapshot)
                .0
                .into_iter()
                .filter_map(|item| match item.key {
                    ItemKey::Evacuation(zone) => Some(zone),
                    _ => None,
                })
                .collect();
            assert_eq!(zones, case.evacuated, "{}, {holder}", case.name);
        }
    }
}

#[test]
fn test_encoded_state_is_compact() {
    // Guards against links between zones that are saturated by state transfers when many hosts
    // start together.
    let items = (0..=255).map(|number| upstream_item(4, entry(number, "ledger")));
    let update = whole(10, items.collect());
    let bytes = encode_state(&update).expect("bytes");
    assert_eq!(decode_state(&bytes).as_ref(), Ok(&update));
    assert!(bytes.len() <= 256 * 64, "{} bytes", bytes.len());
}

#[test]
fn test_merge_cases() {
    struct Case {
        name: &'static str,
        update: StateUpdate,
        through: u64,
        version: u64,
        upstreams: &'static [u8],
    }
    let cases = [
        Case {
            name: "changes that continue",
            update: changes(
                10,
                12,
                vec![upstream_item(11, entry(3, "ledger")), removed_item(12, 1)],
            ),
            through: 12,
            version: 7,
            upstreams: &[2, 3],
        },
        Case {
            name: "changes that were already merged, and newer ones",
            update: changes(
                4,
                11,
                vec![upstream_item(5, entry(2, "ledger")), removed_item(11, 2)],
            ),
            through: 11,
            version: 7,
            upstreams: &[1],
        },
        Case {
            name: "changes after a gap",
            update: changes(20, 21, vec![removed_item(21, 1)]),
            through: 10,
            version: 7,
            upstreams: &[1, 2],
        },
        Case {
            name: "an older whole state",
            update: whole(6, vec![routes_item(2, default_routes(6))]),
            through: 10,
            version: 7,
            upstreams: &[1, 2],
        },
        Case {
            name: "a newer list without one of the upstreams",
            update: whole(
                15,
                vec![
                    routes_item(3, default_routes(7)),
                    upstream_item(4, entry(1, "ledger")),
                ],
            ),
            through: 15,
            version: 7,
            upstreams: &[1],
        },
        Case {
            name: "older routes under a newer revision",
            update: changes(10, 11, vec![routes_item(11, default_routes(2))]),
            through: 11,
            version: 7,
            upstreams: &[1, 2],
        },
        Case {
            name: "routes removed",
            update: changes(
                10,
                11,
                vec![PublishedItem {
                    key: ItemKey::Routes,
                    position: at(11),
                    content: ItemContent::Removed,
                }],
            ),
            through: 11,
            version: 7,
            upstreams: &[1, 2],
        },
        Case {
            name: "an entry that has become undecodable",
            update: changes(
                10,
                11,
                vec![PublishedItem {
                    key: ItemKey::Upstream(upstream_name(1)),
                    position: at(11),
                    content: ItemContent::Unreadable,
                }],
            ),
            through: 11,
            version: 7,
            upstreams: &[2],
        },
    ];
    for case in cases {
        let mut snapshot = StateSnapshot::default();
        snapshot.merge(&first_state());
        snapshot.merge(&case.update);
        assert_eq!(snapshot.through(), at(case.through), "{}", case.name);
        let version = snapshot.routes().map(|routes| routes.version);
        assert_eq!(version, Some(case.version), "{}", case.name);
        let names: Vec<_> = content(&snapshot)
            .0
            .into_iter()
            .filter_map(|item| match item.content {
                ItemContent::Upstream(entry) => Some(entry.number as u8),
                _ => None,
            })
            .collect();
        assert_eq!(names, case.upstreams, "{}", case.name);
    }
}

/// A history of the store, in which each change gets the next revision.
fn history() -> impl Strategy<Value = Vec<PublishedItem>> {
    let change = (0..6_u8, any::<bool>());
    prop::collection::vec(change, 1..40).prop_map(|changes| {
        let items = changes
            .into_iter()
            .enumerate()
            .map(|(index, (number, put))| {
                let revision = index as u64 + 1;
                match (number, put) {
                    (0, _) => routes_item(revision, default_routes(revision)),
                    (number, true) => upstream_item(revision, entry(number, "ledger")),
                    (number, false) => removed_item(revision, number),
                }
            });
        items.collect()
    })
}

proptest! {
    /// A peer that merges deltas, in any steps and also from a host that is behind, ends with the
    /// same state as the reader.
    #[test]
    fn test_deltas_lead_to_the_same_state(
        items in history(),
        cuts in prop::collection::vec(0..40_usize, 0..6),
    ) {
        let mut reader = StateSnapshot::default();
        let mut peer = StateSnapshot::default();
        let mut late = StateSnapshot::default();
        reader.merge(&whole(0, Vec::new()));
        for (index, item) in items.iter().enumerate() {
            let revision = index as u64;
            reader.merge(&changes(revision, revision + 1, vec![item.clone()]));
            if cuts.contains(&index) {
                late.merge(&reader.update_since(&late.query()));
            }
            if index % 3 == 0 {
                peer.merge(&late.update_since(&peer.query()));
                peer.merge(&reader.update_since(&peer.query()));
            }
        }
        peer.merge(&reader.update_since(&peer.query()));
        late.merge(&reader.update_since(&late.query()));
        prop_assert_eq!(content(&peer), content(&reader));
        prop_assert_eq!(content(&late), content(&reader));
    }

    /// A reader whose position the store has dropped reads the whole list again, and misses items
    /// that were added and removed in between. Peers at positions before, inside and after that gap
    /// get a delta or the whole state, and end with the same state.
    #[test]
    fn test_deltas_after_relisting(
        items in history(),
        missed in prop::collection::vec(any::<bool>(), 40),
        cuts in prop::collection::vec(0..40_usize, 0..8),
    ) {
        let mut current = StateSnapshot::default();
        let mut reader = StateSnapshot::default();
        let mut peer = StateSnapshot::default();
        let mut distant = StateSnapshot::default();
        for snapshot in [&mut current, &mut reader, &mut peer, &mut distant] {
            snapshot.merge(&whole(1, Vec::new()));
        }
        for (index, item) in items.iter().enumerate() {
            let after = current.through().revision;
            let item = PublishedItem { position: at(after + 1), ..item.clone() };
            current.merge(&changes(after, after + 1, vec![item.clone()]));
            let misses = missed[index];
            if !misses && !reader.merge(&changes(after, after + 1, vec![item])).is_stale {
                continue;
            }
            if !misses {
                reader.merge(&current.update_since(&StateQuery::default()));
            }
            if cuts.contains(&index) {
                peer.merge(&reader.update_since(&peer.query()));
                distant.merge(&current.update_since(&distant.query()));
            }
        }
        reader.merge(&current.update_since(&StateQuery::default()));
        peer.merge(&reader.update_since(&peer.query()));
        distant.merge(&reader.update_since(&distant.query()));
        prop_assert_eq!(content(&reader), content(&current));
        prop_assert_eq!(content(&peer), content(&current));
        prop_assert_eq!(content(&distant), content(&current));
    }
}

#[test]
fn test_relisted_state_is_sent_as_a_delta() {
    // Guards against sending whole states to a zone whose reader has listed the store again.
    let mut reader = StateSnapshot::default();
    reader.merge(&first_state());
    let mut peer = StateSnapshot::default();
    peer.merge(&reader.update_since(&StateQuery::default()));
    let items = vec![
        routes_item(3, default_routes(7)),
        upstream_item(5, entry(2, "ledger")),
        upstream_item(14, entry(3, "ledger")),
    ];
    reader.merge(&whole(20, items));
    let update = reader.update_since(&peer.query());
    assert!(!update.whole);
    assert_eq!(update.items.len(), 2, "one new item, one removed item");
    peer.merge(&update);
    assert_eq!(content(&peer), content(&reader));
}

#[test]
fn test_delta_for_another_position_is_rejected() {
    // Guards against an upstream that stays registered because it was added and removed while the
    // sender listed the store again.
    let mut reader = StateSnapshot::default();
    let mut peer = StateSnapshot::default();
    for snapshot in [&mut reader, &mut peer] {
        snapshot.merge(&first_state());
    }
    let query = peer.query();
    peer.merge(&changes(
        10,
        11,
        vec![upstream_item(11, entry(3, "ledger"))],
    ));
    reader.merge(&whole(12, first_state().items));
    let delta = reader.update_since(&query);
    assert!(!delta.whole);
    assert!(peer.merge(&delta).is_stale, "the peer is at 11, not at 10");
    peer.merge(&reader.update_since(&peer.query()));
    assert_eq!(content(&peer), content(&reader));
}
