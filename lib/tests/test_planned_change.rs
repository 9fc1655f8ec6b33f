//! Tests that every request is answered during planned changes of the hosts.

use std::sync::Arc;

use lagoonproxy::config_snapshot::HostView;

use crate::fake_group::FAULTLESS_LINKS;
use crate::fake_group::FLOWS;
use crate::fake_group::FakeGroup;
use crate::fake_group::LinkFaults;
use crate::fake_group::STEP;
use crate::world::host_view;

const HOSTS: u32 = 5;
const WARM_UP_MS: u64 = 5_000;
/// Request timeout in milliseconds; longer than the lease votes need to change over.
const REQUEST_TIMEOUT_MS: u64 = 8_000;

struct ChangeCase {
    name: &'static str,
    faults: LinkFaults,
    /// Applies the change to the group, given the milliseconds since the start of the change.
    change: fn(&mut FakeGroup, u64),
}

fn leave(group: &mut FakeGroup, time: u64) {
    if time == 500 {
        group.drain(1);
    }
    if group.hosts[1].drained && group.hosts[1].core.is_some() {
        group.crash(1);
        publish(group, &[1, 3, 4, 5], 2, 900);
    }
}

fn leave_twice(group: &mut FakeGroup, time: u64) {
    if time == 500 {
        group.drain(1);
        group.drain(2);
    }
}

fn join(group: &mut FakeGroup, time: u64) {
    if time == 500 {
        let members = [1, 2, 3, 4, 5, 6];
        let view = publish(group, &members, 2, 900);
        group.add_host(6, &view);
    }
}

fn join_known_at_once(group: &mut FakeGroup, time: u64) {
    if time == 500 {
        let members = [1, 2, 3, 4, 5, 6];
        let view = publish(group, &members, 2, 0);
        group.add_host(6, &view);
    }
}

fn restart(group: &mut FakeGroup, time: u64) {
    if time == 500 {
        group.drain(3);
    }
    if group.hosts[3].drained {
        group.start(3);
    }
}

/// Publishes a host list that hosts receive one after the other within `lag` milliseconds.
fn publish(group: &mut FakeGroup, members: &[u32], version: u64, lag: u64) -> Arc<HostView> {
    let mut view = (*host_view(members)).clone();
    view.version = version;
    let view = Arc::new(view);
    for index in 0..group.hosts.len() {
        let step = lag / group.hosts.len() as u64;
        group
            .pending_lists
            .push((group.time + step * index as u64, index, Arc::clone(&view)));
    }
    view
}

#[test]
fn test_request_planned_change_loses_none() {
    // A request ends with an unknown outcome during a rolling restart: the new owner of its flow
    // cannot tell whether the host that left had run it.
    let lossy = LinkFaults {
        loss: 0.05,
        upstream_loss: 0.0,
        duplication: 0.05,
        delay: 40,
    };
    let overtaking = LinkFaults {
        duplication: 0.5,
        delay: 300,
        ..FAULTLESS_LINKS
    };
    let cases = [
        ChangeCase {
            name: "one host leaves, lossy links",
            faults: LinkFaults { loss: 0.1, ..lossy },
            change: leave,
        },
        ChangeCase {
            name: "one host leaves, copies overtake",
            faults: overtaking,
            change: leave,
        },
        ChangeCase {
            name: "none",
            faults: FAULTLESS_LINKS,
            change: |_cell, _time| {},
        },
        ChangeCase {
            name: "one host leaves",
            faults: FAULTLESS_LINKS,
            change: leave,
        },
        ChangeCase {
            name: "two hosts leave at once, lossy links",
            faults: lossy,
            change: leave_twice,
        },
        ChangeCase {
            name: "a host joins",
            faults: FAULTLESS_LINKS,
            change: join,
        },
        ChangeCase {
            name: "a host joins, known at once",
            faults: FAULTLESS_LINKS,
            change: join_known_at_once,
        },
        ChangeCase {
            name: "a host restarts",
            faults: FAULTLESS_LINKS,
            change: restart,
        },
    ];
    for case in cases {
        for seed in 0..8 {
            check_case(&case, seed);
        }
    }
}

fn check_case(case: &ChangeCase, seed: u64) {
    let mut group = FakeGroup::new(seed, HOSTS);
    while group.time < WARM_UP_MS {
        group.step();
    }
    group.faults = case.faults;
    for time in (0..12_000).step_by(STEP as usize) {
        if time % 60 == 0 {
            group.request(time / 60 % FLOWS, REQUEST_TIMEOUT_MS, false, None);
        }
        (case.change)(&mut group, time);
        group.step();
        group.check(seed);
    }
    group.faults = FAULTLESS_LINKS;
    for _step in 0..REQUEST_TIMEOUT_MS / STEP {
        group.step();
        group.check(seed);
    }
    let open: Vec<_> = group
        .requests
        .iter()
        .filter(|(_number, request)| !request.answered || !request.refusals.is_empty())
        .map(|(number, request)| (*number, request.codes.clone(), request.runs))
        .collect();
    assert!(open.is_empty(), "{}, seed {seed}: {open:?}", case.name);
}
