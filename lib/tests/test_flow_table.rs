//! Tests that the flow table behaves as a map, and that its memory and the work per call are
//! bounded.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::flow_binding::FlowBinding;
use lagoonproxy::flow_table::FlowRecord;
use lagoonproxy::flow_table::FlowTable;
use lagoonproxy::flow_table::SEGMENTS;
use lagoonproxy::ids::FlowDigest;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prop_assert_eq;
use proptest::proptest;

use crate::world::flow_digest;

fn record(upstream: u32, idle_deadline: Instant) -> FlowRecord {
    FlowRecord {
        binding: FlowBinding {
            service: 1,
            upstream,
            incarnation: 0,
        },
        idle_deadline,
    }
}

#[test]
fn test_table_memory_and_pause_are_bounded_while_it_grows() {
    // Flows stall each time a conventional hash table doubles, because one insertion moves every
    // record. Here an insertion moves at most one segment, which holds about a thousandth of the
    // records.
    let now = Instant::now();
    let mut table = FlowTable::default();
    let deadline = now + Duration::from_secs(60);
    for flow in 0..200_000 {
        let moved = table.insert(now, flow_digest(flow), record(flow as u32 % 14, deadline));
        let mean = table.len() / SEGMENTS;
        assert!(moved <= 3 * mean + 40, "{moved} moved of {}", table.len());
        if flow >= 20_000 && flow % 1_000 == 0 {
            let bytes = table.bytes();
            let len = table.len();
            assert!(bytes <= 64 * len, "{bytes} bytes for {len} flows");
        }
    }
    assert_eq!(table.len(), 200_000);
}

#[test]
fn test_table_expires_a_segment_at_a_time() {
    let now = Instant::now();
    let mut table = FlowTable::default();
    for flow in 0..50_000 {
        let idle = Duration::from_secs(10 + flow % 2);
        table.insert(now, flow_digest(flow), record(1, now + idle));
    }
    let full = table.bytes();
    let later = now + Duration::from_secs(10);
    assert_eq!(table.get(later, flow_digest(0)), None);
    assert!(table.get(later, flow_digest(1)).is_some());
    for _tick in 0..SEGMENTS {
        let examined = table.expire(later);
        assert!(examined <= 3 * 50_000 / SEGMENTS, "{examined} in a tick");
    }
    assert_eq!(table.len(), 25_000);
    for _tick in 0..SEGMENTS {
        table.expire(later + Duration::from_secs(1));
    }
    assert!(table.is_empty());
    assert!(table.bytes() * 4 < full, "memory is given back");
}

#[test]
fn test_touch_moves_the_deadline_forward_only() {
    let now = Instant::now();
    let mut table = FlowTable::default();
    let digest = flow_digest(1);
    table.insert(now, digest, record(1, now + Duration::from_secs(10)));
    let later = now + Duration::from_secs(9);
    assert!(table.touch(later, digest, later).is_some());
    assert!(table.get(later, digest).is_some());
    let extended = later + Duration::from_secs(10);
    assert!(table.touch(later, digest, extended).is_some());
    let end = extended - Duration::from_millis(1);
    assert!(table.get(end, digest).is_some());
    assert_eq!(table.touch(extended, digest, extended), None);
}

/// Returns one of a few adjacent digests in two segments, so that records collide.
fn colliding_digest(number: u16) -> FlowDigest {
    let segment = FlowDigest::from(number & 1) << 127;
    segment | (FlowDigest::from(number >> 1) << 90) | FlowDigest::from(number)
}

proptest! {
    #[test]
    fn test_table_is_a_map(steps in vec((any::<bool>(), 0_u16..600), 0..2_000)) {
        let now = Instant::now();
        let deadline = now + Duration::from_secs(60);
        let mut table = FlowTable::default();
        let mut model: BTreeMap<FlowDigest, u32> = BTreeMap::new();
        for (index, (insert, number)) in steps.into_iter().enumerate() {
            let digest = colliding_digest(number);
            let upstream = index as u32 % 5;
            if insert {
                table.insert(now, digest, record(upstream, deadline));
                model.insert(digest, upstream);
            } else {
                let removed = table.remove(digest).map(|record| record.binding.upstream);
                prop_assert_eq!(removed, model.remove(&digest));
            }
            prop_assert_eq!(table.len(), model.len());
        }
        for number in 0..600 {
            let is_covered = table.get(now, colliding_digest(number));
            let upstream = is_covered.map(|record| record.binding.upstream);
            prop_assert_eq!(upstream, model.get(&colliding_digest(number)).copied());
        }
        let visited: Vec<FlowDigest> = (0..SEGMENTS)
            .flat_map(|segment| table.segment(segment).collect::<Vec<_>>())
            .map(|flow| flow.digest)
            .collect();
        prop_assert_eq!(visited, model.keys().copied().collect::<Vec<_>>());
        for upstream in 0..5 {
            let count = model.values().filter(|other| **other == upstream).count();
            let binding = record(upstream, now).binding;
            prop_assert_eq!(table.flows_on(binding) as usize, count);
        }
    }
}
