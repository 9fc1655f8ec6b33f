//! Tests of where new flows go, each with its load.

use std::collections::BTreeMap;
use std::time::Duration;

use lagoonproxy_packet::upstream_entry::UpstreamEntry;

use crate::core_rig::*;

fn far_entry(number: u8) -> UpstreamEntry {
    let mut far = entry(number, "ledger");
    far.zone = "b".into();
    far
}

#[test]
fn test_long_flows_are_spread_evenly() {
    // A hundred long flows come to five upstreams. By hash alone the busiest has 1.6 times the
    // mean, and its requests wait behind one another.
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
        near: &'static [u8],
        far: &'static [u8],
        expected: &'static [u8],
    }
    let cases = [
        Case {
            name: "near ones take all",
            near: &[1, 2],
            far: &[3],
            expected: &[1, 2],
        },
        Case {
            name: "nobody near",
            near: &[],
            far: &[3, 4],
            expected: &[3, 4],
        },
    ];
    for case in cases {
        let near = case.near.iter().map(|number| entry(*number, "ledger"));
        let far = case.far.iter().map(|number| far_entry(*number));
        let mut rig = CoreRig::with_entries(near.chain(far).collect());
        let mut used: Vec<u8> = (0..30).map(|flow| rig.establish(flow)).collect();
        used.sort_unstable();
        used.dedup();
        assert_eq!(used, case.expected, "{}", case.name);
    }
}

#[test]
fn test_copies_of_an_opening_packet_go_elsewhere() {
    // The first upstream does not answer an opening packet. A copy that went there again would
    // wait again; three copies are all that a caller sends.
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
fn test_unproved_upstream_is_raced() {
    // All hosts come back at once and know nobody's answers; some registrations are of dead
    // upstreams. A flow that is sent to one of them alone waits 200 ms for its caller's copy.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    assert_eq!(rig.open(1, 0).len(), 2, "nobody has proved to be alive");
    for flow in 10..14 {
        rig.establish(flow);
    }
    assert_eq!(rig.open(2, 0).len(), 1, "both have");
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
    // Callers give up before their flows open. If those counted on, the upstream would look loaded
    // for ever and the others would carry its part.
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
