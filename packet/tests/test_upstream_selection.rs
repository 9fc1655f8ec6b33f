//! Tests of where new flows go, each with its load.

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
    // Guards against imbalance of placement by hash alone.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4, 5]);
    let mut counts: BTreeMap<u8, u32> = BTreeMap::new();
    for flow in 0..100 {
        *counts.entry(rig.establish(flow)).or_default() += 1;
        rig.pass(10);
    }
    assert_eq!(counts.values().copied().collect::<Vec<_>>(), [20; 5]);
}

#[test]
fn test_own_zone_first() {
    struct Case {
        name: &'static str,
        local: &'static [u8],
        remote: &'static [u8],
        expected: &'static [u8],
    }
    let cases = [
        Case {
            name: "local ones take all",
            local: &[1, 2],
            remote: &[3],
            expected: &[1, 2],
        },
        Case {
            name: "no local one",
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
fn test_full_zone_sends_flows_elsewhere() {
    // Guards against flows that stay in a saturated zone, or leave one that is not.
    struct Case {
        name: &'static str,
        waiting: u16,
        answered: bool,
        left: bool,
    }
    let cases = [
        Case {
            name: "many flows, no requests",
            waiting: 0,
            answered: false,
            left: false,
        },
        Case {
            name: "a queue that is soon done",
            waiting: 5,
            answered: false,
            left: false,
        },
        Case {
            name: "three requests a slot",
            waiting: 6,
            answered: false,
            left: true,
        },
        Case {
            name: "the same a moment later",
            waiting: 6,
            answered: true,
            left: false,
        },
    ];
    for case in cases {
        let entries = vec![entry(1, "ledger"), remote_entry(2), remote_entry(3)];
        let mut rig = CoreRig::with_entries(entries);
        let flows: Vec<u8> = (0..40).map(|flow| rig.establish(flow)).collect();
        assert_eq!(flows, [1; 40], "{}: idle flows stay", case.name);
        for flow in 0..case.waiting {
            rig.request(flow, 1, 0);
        }
        if case.answered {
            for flow in 0..case.waiting {
                rig.acknowledge(flow, 1, 0);
            }
        }
        let left = rig.open(100, 0)[0] != 1;
        assert_eq!(left, case.left, "{}", case.name);
    }
}

#[test]
fn test_dark_zone_is_no_panic() {
    // Guards against a panic threshold that counts one zone only.
    let local = [1, 2, 3, 4].map(|number| entry(number, "ledger"));
    let remote = [5, 6, 7, 8, 9, 10].map(remote_entry);
    let mut rig = CoreRig::with_entries(local.into_iter().chain(remote).collect());
    let flows: Vec<(u16, u8)> = (0..40).map(|flow| (flow, rig.establish(flow))).collect();
    rig.pass(1000);
    for _copy in 0..3 {
        for (flow, upstream) in &flows {
            rig.request(*flow, *upstream, 0);
            if *upstream == 4 {
                rig.acknowledge(*flow, 4, 0);
            }
        }
        rig.pass(200);
    }
    for flow in 100..140 {
        let first = rig.open(flow, 0)[0];
        assert!(
            !(1..=3).contains(&first),
            "a new flow at {first}, which is dark"
        );
    }
}

#[test]
fn test_copies_of_an_opening_packet_go_elsewhere() {
    // Guards against retransmitted SYNs that go to the upstream that left the first unanswered.
    let mut rig = CoreRig::with_ledger(&[1, 2, 3, 4, 5, 6]);
    let mut used = Vec::new();
    for copy in 0..3 {
        let next = rig.open(1, copy);
        assert!(
            next.iter().all(|number| !used.contains(number)),
            "copy {copy}"
        );
        used.extend(next);
        rig.pass(200 + 200 * u64::from(copy));
    }
}

#[test]
fn test_opening_packet_is_hedged() {
    // Guards against a lost SYN, and a hedge that waits in a queue.
    struct Case {
        name: &'static str,
        proved: bool,
        second_busy: bool,
        expected: usize,
    }
    let cases = [
        Case {
            name: "nobody has proved to be alive",
            proved: false,
            second_busy: false,
            expected: 2,
        },
        Case {
            name: "both have",
            proved: true,
            second_busy: false,
            expected: 2,
        },
        Case {
            name: "both have, and the second has no free slot",
            proved: true,
            second_busy: true,
            expected: 1,
        },
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1, 2]);
        let flows: Vec<(u16, u8)> = match case.proved {
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
        assert_eq!(sent_to.len(), case.expected, "{}: twice to one", case.name);
    }
}

#[test]
fn test_saturated_upstream_is_skipped() {
    // Guards against a slow upstream with few flows that draws new ones.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    let flows: Vec<(u16, u8)> = (0..60).map(|flow| (flow, rig.establish(flow))).collect();
    let on_first = flows.iter().filter(|(_flow, at)| *at == 1);
    for (flow, upstream) in on_first.take(6) {
        rig.request(*flow, *upstream, 0);
    }
    for (flow, _upstream) in flows.iter().filter(|(_flow, at)| *at == 1).skip(6) {
        let mut end = carry_head(*flow, 1, 0, 1, 0);
        end.last = true;
        rig.packet(&end);
    }
    assert!(
        (100..103).all(|flow| rig.open(flow, 0)[0] == 2),
        "the full one gets more"
    );
}

#[test]
fn test_cold_upstream_gets_fewer_flows() {
    // A new upstream has no flows and would get every new one, while it is slow after its start.
    let mut cold = entry(2, "ledger");
    cold.warmup_left = Duration::from_secs(2);
    let mut rig = CoreRig::with_entries(vec![entry(1, "ledger"), cold]);
    let on_cold = (0..26).filter(|flow| rig.establish(*flow) == 2).count();
    assert!(
        (9..=11).contains(&on_cold),
        "10 of 26 flows at 1.6 times the time, got {on_cold}"
    );
}

#[test]
fn test_lost_opening_flows_do_not_count_for_ever() {
    // Guards against flows that never opened and count as load for good.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    for flow in 0..20 {
        rig.open(flow, 0);
    }
    rig.pass(3000);
    let flows: u32 = rig
        .core
        .upstreams()
        .records()
        .map(|record| record.flows)
        .sum();
    assert_eq!(flows, 0);
}
