//! Takeovers of requests between hosts, one failure at a time.

use std::sync::Arc;
use std::time::Duration;

use lagoonproxy::cell_heartbeat::HeartbeatEcho;
use lagoonproxy::flow_hash::FlowHasher;
use lagoonproxy::host_event::HostEvent;
use lagoonproxy::record_query::RecordQuery;
use lagoonproxy::result_code::ResultCode;
use lagoonproxy::wire_frame::PeerBody;
use lagoonproxy::wire_frame::PeerFrame;

use crate::fake_cell::CALM_LINKS;
use crate::fake_cell::FLOW_KEY;
use crate::fake_cell::FLOWS;
use crate::fake_cell::FakeCell;
use crate::fake_cell::LinkFaults;
use crate::fake_cell::STEP;
use crate::fake_cell::caller_of;
use crate::world::host_view;
use crate::world::ledger_address;

const WARM_UP: u64 = 5_000;

fn run(cell: &mut FakeCell, millis: u64) {
    for _step in 0..millis / STEP {
        cell.step();
        cell.check(0);
    }
}

fn warm_cell(hosts: u32) -> FakeCell {
    let mut cell = FakeCell::new(1, hosts);
    run(&mut cell, WARM_UP);
    cell
}

#[test]
fn test_takeover_list_replacing_many_waits_for_old_majority() {
    // Two hosts run the two copies of one transfer. A cut separates hosts 1 to 3 from the others;
    // the others read a list in which 6 and 7 replace 1 and 2, and are a majority of it, while 1 to
    // 3 still are one of the old list.
    let mut cell = warm_cell(5);
    cell.cut_off = vec![1, 2, 3];
    let members = [3, 4, 5, 6, 7];
    let mut view = (*host_view(&members)).clone();
    view.version = 2;
    let view = Arc::new(view);
    cell.add_host(6, &view);
    cell.add_host(7, &view);
    cell.learn_hosts(3, &view);
    cell.learn_hosts(4, &view);
    run(&mut cell, 10_000);
    let acting: Vec<_> = (0..FLOWS).flat_map(|flow| cell.acting(flow)).collect();
    assert!(acting.iter().all(|id| *id <= 3), "{acting:?}");
    assert_eq!(acting.len() as u64, FLOWS, "the old majority goes on");
}

#[test]
fn test_takeover_new_processes_do_not_outvote_silent_members() {
    // Two hosts run the two copies of one transfer. Hosts 1 and 2 are cut off and go on as a majority
    // of three; behind the cut, host 3 restarts without memory and 4 and 5 join, and the three are a
    // majority of the new list of five and have never heard of another set.
    let mut cell = warm_cell(3);
    cell.cut_off = vec![1, 2];
    let mut view = (*host_view(&[1, 2, 3, 4, 5])).clone();
    view.version = 2;
    let view = Arc::new(view);
    cell.add_host(4, &view);
    cell.add_host(5, &view);
    cell.start(2);
    cell.learn_hosts(2, &view);
    run(&mut cell, 40_000);
    let acting: Vec<_> = (0..FLOWS).flat_map(|flow| cell.acting(flow)).collect();
    assert!(acting.iter().all(|id| *id <= 2), "{acting:?}");
    assert_eq!(acting.len() as u64, FLOWS, "the old majority goes on");
}

#[test]
fn test_takeover_forward_sent_late_is_not_new() {
    // A transfer stands twice in the ledger. Host 1 decides to forward its first copy and freezes
    // before it sends; another copy runs; its owner restarts and forgets; host 1 wakes, and the
    // copy says that it is as young as when it was read.
    for flow in 0..FLOWS {
        let mut cell = warm_cell(3);
        let owner = cell.acting(flow)[0] as usize - 1;
        for index in (0..cell.hosts.len()).filter(|index| *index != owner) {
            cell.hosts[index].hold_next = Some(8_000);
        }
        cell.request(flow, 20_000, false, None);
        run(&mut cell, 1_000);
        cell.start(owner);
        run(&mut cell, 15_000);
        assert_eq!(cell.requests[&1].runs, 1);
    }
}

#[test]
fn test_takeover_copy_under_way_is_not_new() {
    // A transfer stands twice in the ledger. Its owner runs it and announces that it leaves; a copy
    // that was under way meanwhile reaches the next owner, and seems to be sent after the change.
    for seed in 0..20 {
        let mut cell = FakeCell::new(seed, 3);
        run(&mut cell, WARM_UP);
        cell.faults = LinkFaults {
            duplication: 0.9,
            delay: 900,
            ..CALM_LINKS
        };
        for request in 0..60 {
            cell.request(request % FLOWS, 3_000, false, None);
            run(&mut cell, STEP);
        }
        cell.faults.delay = 20;
        cell.drain(seed as usize % 3);
        run(&mut cell, 3_000);
    }
}

#[test]
fn test_takeover_promise_is_kept() {
    // A transfer stands twice in the ledger. A host tells a peer that it has no record of it; the
    // peer takes it on, runs it and dies; the host then takes a copy for the first it sees.
    let mut cell = warm_cell(3);
    let owner = cell.acting(0)[0] as usize - 1;
    let peer = (owner + 1) % 3;
    let hasher = FlowHasher::new(FLOW_KEY);
    let echo = HeartbeatEcho {
        incarnation: 1,
        number: cell.hosts[owner].last_heartbeat,
    };
    let query = RecordQuery {
        number: 7,
        flow: hasher.digest(ledger_address(), caller_of(0), 0),
        request: 1,
        echo: Some(echo),
        age: Duration::from_millis(100),
        remaining: Duration::from_secs(5),
        member_set: cell.hosts[owner].member_set,
    };
    let frame = PeerFrame {
        sender: cell.hosts[peer].id,
        hops: 1,
        body: PeerBody::Query(query),
    };
    cell.feed(owner, HostEvent::PeerFrame(frame));
    cell.crash(peer);
    cell.request(0, 3_000, false, None);
    run(&mut cell, 5_000);
    let request = &cell.requests[&1];
    assert_eq!(request.runs, 0);
    assert_eq!(request.codes, vec![ResultCode::OutcomeUnknown]);
}

#[test]
fn test_takeover_from_leaving_host_needs_no_silence() {
    // Renewals stall for more than a second at each planned restart: the next host in rank waits
    // for the majority to fence a host that has itself said that it does not act any more.
    let mut cell = warm_cell(5);
    for index in 0..3 {
        cell.drain(index);
        run(&mut cell, 700);
        for flow in 0..FLOWS {
            assert_eq!(cell.acting(flow).len(), 1, "flow {flow}, {index} left");
        }
    }
}

#[test]
fn test_takeover_crash_leaves_one_acting() {
    // Renewals are refused long after a crash: nobody takes the dead host's flows over.
    let mut cell = warm_cell(5);
    cell.crash(0);
    cell.crash(3);
    run(&mut cell, 2_500);
    for flow in 0..FLOWS {
        assert_eq!(cell.acting(flow).len(), 1, "flow {flow}");
    }
}

#[test]
fn test_takeover_woken_host_earns_its_claim_anew() {
    // A host is frozen for less than a claim lasts and acts at once on waking, on what it believed.
    let mut cell = warm_cell(3);
    let owner = cell.acting(0)[0] as usize - 1;
    cell.hosts[owner].frozen_until = cell.time + 400;
    run(&mut cell, 400 + STEP);
    assert!(cell.acting(0).is_empty(), "no heartbeat was echoed since");
    run(&mut cell, 1_000);
    assert_eq!(cell.acting(0).len(), 1);
}

#[test]
fn test_heartbeats_of_eight_hosts_stay_in_budget() {
    let mut cell = warm_cell(8);
    let before = cell.heartbeat_bytes;
    run(&mut cell, 10_000);
    let bytes_a_second = (cell.heartbeat_bytes - before) / 10;
    println!("heartbeats of one of eight hosts: {bytes_a_second} B/s");
    assert!(bytes_a_second < 1_500, "{bytes_a_second} B/s");
}
