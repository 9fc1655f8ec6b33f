//! Takeovers of requests between hosts, each test with one failure.

use std::sync::Arc;
use std::time::Duration;

use lagoonproxy::flow_hash::FlowHasher;
use lagoonproxy::group_heartbeat::HeartbeatEcho;
use lagoonproxy::host_event::HostEvent;
use lagoonproxy::record_query::RecordQuery;
use lagoonproxy::result_code::ResultCode;
use lagoonproxy::wire_frame::PeerBody;
use lagoonproxy::wire_frame::PeerFrame;

use crate::fake_group::FAULTLESS_LINKS;
use crate::fake_group::FLOW_KEY;
use crate::fake_group::FLOWS;
use crate::fake_group::FakeGroup;
use crate::fake_group::LinkFaults;
use crate::fake_group::STEP;
use crate::fake_group::flow_caller;
use crate::world::host_view;
use crate::world::ledger_address;

const WARM_UP_MS: u64 = 5_000;

fn run(group: &mut FakeGroup, millis: u64) {
    for _step in 0..millis / STEP {
        group.step();
        group.check(0);
    }
}

fn started_group(hosts: u32) -> FakeGroup {
    let mut group = FakeGroup::new(1, hosts);
    run(&mut group, WARM_UP_MS);
    group
}

#[test]
fn test_takeover_list_replacing_many_waits_for_old_majority() {
    // Guards against two hosts each running a copy of a request. A partition separates hosts 1 to 3
    // from the others, which receive a list with hosts 6 and 7 in place of 1 and 2. They are a
    // majority of the new list, while hosts 1 to 3 are still a majority of the old one.
    let mut group = started_group(5);
    group.partitioned = vec![1, 2, 3];
    let members = [3, 4, 5, 6, 7];
    let mut view = (*host_view(&members)).clone();
    view.version = 2;
    let view = Arc::new(view);
    group.add_host(6, &view);
    group.add_host(7, &view);
    group.learn_hosts(3, &view);
    group.learn_hosts(4, &view);
    run(&mut group, 10_000);
    let accepting_hosts: Vec<_> = (0..FLOWS)
        .flat_map(|flow| group.accepting_hosts(flow))
        .collect();
    assert!(
        accepting_hosts.iter().all(|id| *id <= 3),
        "{accepting_hosts:?}"
    );
    assert_eq!(
        accepting_hosts.len() as u64,
        FLOWS,
        "the old majority must keep its leases"
    );
}

#[test]
fn test_takeover_new_processes_do_not_outvote_silent_members() {
    // Guards against two hosts each running a copy of a request. Hosts 1 and 2 are partitioned off
    // and continue as a majority of three. On the other side, host 3 restarts without its state and
    // hosts 4 and 5 join. These three are a majority of the new list of five and have never known
    // another member set.
    let mut group = started_group(3);
    group.partitioned = vec![1, 2];
    let mut view = (*host_view(&[1, 2, 3, 4, 5])).clone();
    view.version = 2;
    let view = Arc::new(view);
    group.add_host(4, &view);
    group.add_host(5, &view);
    group.start(2);
    group.learn_hosts(2, &view);
    run(&mut group, 40_000);
    let accepting_hosts: Vec<_> = (0..FLOWS)
        .flat_map(|flow| group.accepting_hosts(flow))
        .collect();
    assert!(
        accepting_hosts.iter().all(|id| *id <= 2),
        "{accepting_hosts:?}"
    );
    assert_eq!(
        accepting_hosts.len() as u64,
        FLOWS,
        "the old majority must keep its leases"
    );
}

#[test]
fn test_takeover_forward_sent_late_is_not_new() {
    // Guards against a request that runs twice. Host 1 decides to forward a copy of it and stalls
    // before sending. Another copy runs, and its owner restarts without its records. Host 1 resumes
    // and sends the copy with the age that it had when it was read.
    for flow in 0..FLOWS {
        let mut group = started_group(3);
        let owner = group.accepting_hosts(flow)[0] as usize - 1;
        for index in (0..group.hosts.len()).filter(|index| *index != owner) {
            group.hosts[index].next_send_delay = Some(8_000);
        }
        group.request(flow, 20_000, false, None);
        run(&mut group, 1_000);
        group.start(owner);
        run(&mut group, 15_000);
        assert_eq!(group.requests[&1].runs, 1);
    }
}

#[test]
fn test_takeover_copy_under_way_is_not_new() {
    // Guards against a request that runs twice. Its owner runs it and announces that it is leaving.
    // A copy that was in transit at that time reaches the next owner and seems to have been sent
    // after the change.
    for seed in 0..20 {
        let mut group = FakeGroup::new(seed, 3);
        run(&mut group, WARM_UP_MS);
        group.faults = LinkFaults {
            duplication: 0.9,
            delay: 900,
            ..FAULTLESS_LINKS
        };
        for request in 0..60 {
            group.request(request % FLOWS, 3_000, false, None);
            run(&mut group, STEP);
        }
        group.faults.delay = 20;
        group.drain(seed as usize % 3);
        run(&mut group, 3_000);
    }
}

#[test]
fn test_takeover_promise_is_kept() {
    // Guards against a request that runs twice. A host replies to a peer that it has no record of
    // the request. The peer accepts the request, runs it and crashes. The host then receives
    // another copy and must not treat it as a new request.
    let mut group = started_group(3);
    let owner = group.accepting_hosts(0)[0] as usize - 1;
    let peer = (owner + 1) % 3;
    let hasher = FlowHasher::new(FLOW_KEY);
    let echo = HeartbeatEcho {
        incarnation: 1,
        number: group.hosts[owner].last_heartbeat,
    };
    let query = RecordQuery {
        number: 7,
        flow: hasher.digest(ledger_address(), flow_caller(0), 0),
        request: 1,
        echo: Some(echo),
        age: Duration::from_millis(100),
        remaining: Duration::from_secs(5),
        member_set: group.hosts[owner].member_set,
    };
    let frame = PeerFrame {
        sender: group.hosts[peer].id,
        hops: 1,
        body: PeerBody::Query(query),
    };
    group.feed(owner, HostEvent::PeerFrame(frame));
    group.crash(peer);
    group.request(0, 3_000, false, None);
    run(&mut group, 5_000);
    let request = &group.requests[&1];
    assert_eq!(request.runs, 0);
    assert_eq!(request.codes, vec![ResultCode::OutcomeUnknown]);
}

#[test]
fn test_takeover_from_leaving_host_needs_no_silence() {
    // Guards against requests that wait for more than a second at each planned restart. The next
    // host in rank must not wait for a majority to vote a lease expired when its holder has
    // announced that it is leaving.
    let mut group = started_group(5);
    for index in 0..3 {
        group.drain(index);
        run(&mut group, 700);
        for flow in 0..FLOWS {
            assert_eq!(
                group.accepting_hosts(flow).len(),
                1,
                "flow {flow} after host index {index} left"
            );
        }
    }
}

#[test]
fn test_takeover_crash_leaves_one_acting() {
    // Guards against requests that are refused long after a crash because no host takes over the
    // flows of the crashed host.
    let mut group = started_group(5);
    group.crash(0);
    group.crash(3);
    run(&mut group, 2_500);
    for flow in 0..FLOWS {
        assert_eq!(group.accepting_hosts(flow).len(), 1, "flow {flow}");
    }
}

#[test]
fn test_takeover_woken_host_earns_its_claim_anew() {
    // Guards against a host that stalls for less than the lease duration and then accepts requests
    // on outdated state.
    let mut group = started_group(3);
    let owner = group.accepting_hosts(0)[0] as usize - 1;
    group.hosts[owner].frozen_until = group.time + 400;
    run(&mut group, 400 + STEP);
    assert!(
        group.accepting_hosts(0).is_empty(),
        "no heartbeat was echoed since the stall"
    );
    run(&mut group, 1_000);
    assert_eq!(group.accepting_hosts(0).len(), 1);
}

#[test]
fn test_heartbeats_of_eight_hosts_stay_in_budget() {
    let mut group = started_group(8);
    let before = group.heartbeat_bytes;
    run(&mut group, 10_000);
    let bytes_a_second = (group.heartbeat_bytes - before) / 10;
    println!("heartbeats of one of eight hosts: {bytes_a_second} B/s");
    assert!(bytes_a_second < 1_500, "{bytes_a_second} B/s");
}
