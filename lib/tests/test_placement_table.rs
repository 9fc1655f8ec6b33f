//! Tests that placement tables spread flows evenly and that a change moves few flows.

use lagoonproxy::ids::UpstreamId;
use lagoonproxy::placement_table::MAX_KEPT_TABLES;
use lagoonproxy::placement_table::PlacementTable;
use lagoonproxy::placement_table::TableHistory;
use lagoonproxy::placement_table::TableMember;

use crate::world::flow_digest;

const FLOWS: u64 = 20_000;

fn member(upstream: UpstreamId) -> TableMember {
    TableMember {
        upstream,
        incarnation: 0,
    }
}

fn table(upstreams: impl Iterator<Item = UpstreamId>) -> PlacementTable {
    PlacementTable::of_members(1, upstreams.map(member).collect())
}

fn places(table: &PlacementTable) -> Vec<Option<UpstreamId>> {
    (0..FLOWS)
        .map(|flow| table.place(flow_digest(flow)))
        .map(|place| place.map(|binding| binding.upstream))
        .collect()
}

#[test]
fn test_table_is_even_and_moves_only_what_it_must() {
    let before = table(0..14);
    let after = table((0..14).filter(|upstream| *upstream != 5));
    let mut counts = [0_u64; 14];
    let mut moved = 0;
    for (old, new) in places(&before).into_iter().zip(places(&after)) {
        let old = old.unwrap();
        counts[old as usize] += 1;
        moved += u64::from(Some(old) != new);
        assert!(old == 5 || Some(old) == new, "a flow of {old} moved");
    }
    let mean = FLOWS / 14;
    let busiest = counts.iter().max().unwrap();
    assert!(busiest * 100 <= mean * 108, "{counts:?}");
    assert_eq!(moved, counts[5]);
}

#[test]
fn test_another_incarnation_is_another_member() {
    let before = table(0..3);
    let mut members: Vec<TableMember> = (0..3).map(member).collect();
    members[1].incarnation = 1;
    let after = PlacementTable::of_members(1, members);
    assert_ne!(before.id(), after.id());
    for flow in 0..FLOWS {
        let old = before.place(flow_digest(flow)).unwrap();
        let new = after.place(flow_digest(flow)).unwrap();
        assert!(old == new || old.upstream == 1 || new.upstream == 1);
        assert!(new.upstream != 1 || new.incarnation == 1);
    }
}

#[test]
fn test_history_keeps_recent_tables_once() {
    let mut history = TableHistory::default();
    for last in 1..40 {
        assert!(history.put_in_force(table(0..last)));
        assert!(!history.put_in_force(table(0..last)));
    }
    assert_eq!(history.kept(1).count(), MAX_KEPT_TABLES);
    assert!(history.find(1, table(0..30).id()).is_some());
    assert!(history.find(1, table(0..2).id()).is_none());
    assert!(history.put_in_force(table(0..30)));
    assert_eq!(
        history.newest(1).map(PlacementTable::id),
        Some(table(0..30).id())
    );
    assert_eq!(history.kept(1).count(), MAX_KEPT_TABLES);
}

#[test]
fn test_empty_table_places_nothing() {
    assert_eq!(table(0..0).place(flow_digest(1)), None);
}
