//! Tests of upstream selection for new flows.

use std::collections::BTreeMap;
use std::time::Duration;

use lagoonproxy_packet::upstreams::upstream_entry::UpstreamEntry;

use crate::core_rig::*;

fn remote_entry(number: u8) -> UpstreamEntry {
    let mut remote = entry(number, "ledger");
    remote.zone = "b".into();
    remote
}

#[test]
fn test_long_flows_are_spread_evenly() {
    // Guards against the imbalance of placement by hash alone.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4, 5]);
    let mut counts: BTreeMap<u8, u32> = BTreeMap::new();
    for flow in 0..100 {
        *counts.entry(rig.establish(flow)).or_default() += 1;
        rig.advance_time(10);
    }
    assert_eq!(counts.values().copied().collect::<Vec<_>>(), [20; 5]);
}

#[test]
fn test_own_zone_is_preferred() {
    struct Case {
        name: &'static str,
        local: &'static [u8],
        remote: &'static [u8],
        expected: &'static [u8],
    }
    let cases = [
        Case {
            name: "local upstreams take all flows",
            local: &[1, 2],
            remote: &[3],
            expected: &[1, 2],
        },
        Case {
            name: "no local upstream",
            local: &[],
            remote: &[3, 4],
            expected: &[3, 4],
        },
    ];
    for case in cases {
        let local = case.local.iter().map(|number| entry(*number, "ledger"));
        let remote = case.remote.iter().map(|number| remote_entry(*number));
        let mut rig = CoreRig::with_entries(local.chain(remote).collect());
        let mut used: Vec<u8> = (0..30).map(|flow| rig.establish(flow)).collect();
        used.sort_unstable();
        used.dedup();
        assert_eq!(used, case.expected, "{}", case.name);
    }
}

#[test]
fn test_saturated_zone_sends_flows_to_other_zones() {
    // Guards against flows that stay in a saturated zone, or leave one that is not saturated.
    struct Case {
        name: &'static str,
        waiting: u16,
        answered: bool,
        is_elsewhere: bool,
    }
    let cases = [
        Case {
            name: "many flows, no requests",
            waiting: 0,
            answered: false,
            is_elsewhere: false,
        },
        Case {
            name: "a short queue",
            waiting: 5,
            answered: false,
            is_elsewhere: false,
        },
        Case {
            name: "three requests per slot",
            waiting: 6,
            answered: false,
            is_elsewhere: true,
        },
        Case {
            name: "the same after the responses",
            waiting: 6,
            answered: true,
            is_elsewhere: false,
        },
    ];
    for case in cases {
        let entries = vec![entry(1, "ledger"), remote_entry(2), remote_entry(3)];
        let mut rig = CoreRig::with_entries(entries);
        let flows: Vec<u8> = (0..40).map(|flow| rig.establish(flow)).collect();
        assert_eq!(flows, [1; 40], "{}: idle flows stay in the zone", case.name);
        for flow in 0..case.waiting {
            rig.request(flow, 1, 0);
        }
        if case.answered {
            for flow in 0..case.waiting {
                rig.acknowledge(flow, 1, 0);
            }
        }
        let is_elsewhere = rig.open(100, 0)[0] != 1;
        assert_eq!(is_elsewhere, case.is_elsewhere, "{}", case.name);
    }
}

#[test]
fn test_dead_zone_is_below_the_panic_threshold() {
    // Guards against a panic threshold that counts the upstreams of one zone only.
    let local = [1, 2, 3, 4].map(|number| entry(number, "ledger"));
    let remote = [5, 6, 7, 8, 9, 10].map(remote_entry);
    let mut rig = CoreRig::with_entries(local.into_iter().chain(remote).collect());
    let flows: Vec<(u16, u8)> = (0..40).map(|flow| (flow, rig.establish(flow))).collect();
    rig.advance_time(1000);
    for _attempt in 0..3 {
        for (flow, upstream) in &flows {
            rig.request(*flow, *upstream, 0);
            if *upstream == 4 {
                rig.acknowledge(*flow, 4, 0);
            }
        }
        rig.advance_time(200);
    }
    for flow in 100..140 {
        let first = rig.open(flow, 0)[0];
        assert!(
            !(1..=3).contains(&first),
            "a new flow on {first}, which is dead"
        );
    }
}

#[test]
fn test_retransmitted_syn_goes_to_another_upstream() {
    // Guards against SYN retransmissions to an upstream that has not responded to an earlier SYN.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4, 5, 6]);
    let mut used = Vec::new();
    for attempt in 0..3 {
        let next = rig.open(1, attempt);
        assert!(
            next.iter().all(|number| !used.contains(number)),
            "attempt {attempt}"
        );
        used.extend(next);
        rig.advance_time(200 + 200 * u64::from(attempt));
    }
}

#[test]
fn test_syn_is_hedged() {
    // Guards against a delay by a lost SYN, and against a hedge that waits in a queue.
    struct Case {
        name: &'static str,
        responded: bool,
        second_busy: bool,
        expected: usize,
    }
    let cases = [
        Case {
            name: "no upstream has responded yet",
            responded: false,
            second_busy: false,
            expected: 2,
        },
        Case {
            name: "both have responded",
            responded: true,
            second_busy: false,
            expected: 2,
        },
        Case {
            name: "both have responded, and the second has no free slot",
            responded: true,
            second_busy: true,
            expected: 1,
        },
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1, 2]);
        let flows: Vec<(u16, u8)> = match case.responded {
            true => (10..16).map(|flow| (flow, rig.establish(flow))).collect(),
            false => Vec::new(),
        };
        if case.second_busy {
            let on_second = flows.iter().filter(|(_flow, at)| *at == 2);
            for (flow, upstream) in on_second.take(2) {
                rig.request(*flow, *upstream, 0);
            }
        }
        let mut sent_to = rig.open(1, 0);
        assert_eq!(sent_to.len(), case.expected, "{}", case.name);
        sent_to.dedup();
        assert_eq!(
            sent_to.len(),
            case.expected,
            "{}: the same upstream twice",
            case.name
        );
    }
}

#[test]
fn test_saturated_upstream_is_skipped() {
    // Guards against a slow upstream that attracts new flows because it has few.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    let flows: Vec<(u16, u8)> = (0..60).map(|flow| (flow, rig.establish(flow))).collect();
    let on_first = flows.iter().filter(|(_flow, at)| *at == 1);
    for (flow, upstream) in on_first.take(6) {
        rig.request(*flow, *upstream, 0);
    }
    for (flow, _upstream) in flows.iter().filter(|(_flow, at)| *at == 1).skip(6) {
        let mut end = established_head(*flow, 1, 0, 1, 0);
        end.last = true;
        rig.packet(&end);
    }
    assert!(
        (100..103).all(|flow| rig.open(flow, 0)[0] == 2),
        "the saturated upstream gets a flow"
    );
}

#[test]
fn test_warming_upstream_gets_fewer_flows() {
    // Guards against a new upstream that gets every new flow because it has none, while it is slow
    // after its start.
    let mut warming = entry(2, "ledger");
    warming.warmup_left = Duration::from_secs(2);
    let mut rig = CoreRig::with_entries(vec![entry(1, "ledger"), warming]);
    let on_warming = (0..26).filter(|flow| rig.establish(*flow) == 2).count();
    assert!(
        (9..=11).contains(&on_warming),
        "expected 10 of 26 flows at 1.6 times the load per flow, got {on_warming}"
    );
}

#[test]
fn test_unopened_flows_expire() {
    // Guards against flows that never opened but count as load permanently.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    for flow in 0..20 {
        rig.open(flow, 0);
    }
    rig.advance_time(3000);
    let flows: u32 = rig
        .core
        .upstreams()
        .records()
        .map(|record| record.flows)
        .sum();
    assert_eq!(flows, 0);
}
