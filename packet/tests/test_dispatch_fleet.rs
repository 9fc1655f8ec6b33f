//! Tests of hosts of a zone that place flows of a contended service together, in virtual time.

use std::collections::VecDeque;
use std::time::Duration;

use lagoonproxy_packet::dispatch::dispatch_message::DispatchQuery;
use lagoonproxy_packet::dispatch::dispatch_message::DispatchReply;
use lagoonproxy_packet::dispatch::dispatch_message::DispatchVerdict;
use lagoonproxy_packet::dispatch::dispatch_message::RequestEvent;
use lagoonproxy_packet::load::load_report::service_tag;
use lagoonproxy_packet::peers::peer_datagram::MAX_DATAGRAM_BYTES;
use lagoonproxy_packet::peers::peer_datagram::PeerDatagram;
use lagoonproxy_packet::routes::route_config::RequestPriority;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::core_rig::*;
use crate::dispatch_rig::*;

/// Steps that an upstream works on a request.
const SERVICE_STEPS: u64 = 20;

/// Slots of an upstream, as `entry` registers them.
const SLOTS: usize = 2;

/// A time after the end of a test.
const NEVER: u64 = 5000;

/// Bytes of control traffic that a host may send in a second.
const TRAFFIC_BOUND: usize = 25_000;

/// An upstream that works on requests in turn.
#[derive(Default)]
struct QueuedUpstream {
    waiting: VecDeque<PlacedSyn>,
    working: Vec<(u64, PlacedSyn)>,
    /// Sum of the requests in progress over all steps.
    total: u64,
}

/// Serves one-request flows that arrive at random hosts at 0.8 of the slots; the upstreams afterwards.
fn run_steady(rig: &mut DispatchRig, upstreams: u8, steps: u64) -> Vec<QueuedUpstream> {
    let mut random = StdRng::seed_from_u64(7);
    let mut queues: Vec<QueuedUpstream> = Vec::new();
    queues.resize_with(usize::from(upstreams), QueuedUpstream::default);
    let rate = 0.8 * f64::from(upstreams) * SLOTS as f64 / SERVICE_STEPS as f64;
    let (mut flow, mut handled) = (0, 0);
    for step in 0..steps {
        let hosts = rig.cores.len();
        let arrivals = (0..100).filter(|_try| random.random_bool(rate / 100.0));
        for _arrival in 0..arrivals.count() {
            rig.packet(random.random_range(0..hosts), &open_head(flow, 0));
            flow += 1;
        }
        rig.pass(1);
        while let Some(syn) = rig.placed.get(handled).copied() {
            handled += 1;
            rig.request(syn);
            queues[usize::from(syn.upstream) - 1].waiting.push_back(syn);
        }
        for queue in &mut queues {
            let ended = queue.working.extract_if(.., |(end, _syn)| *end <= step);
            ended.for_each(|(_end, syn)| rig.finish(syn));
            while queue.working.len() < SLOTS
                && let Some(syn) = queue.waiting.pop_front()
            {
                queue.working.push((step + SERVICE_STEPS, syn));
            }
            queue.total += (queue.working.len() + queue.waiting.len()) as u64;
        }
    }
    queues
}

/// A query of a less urgent flow.
fn query(flow: u32, may_refuse: bool) -> DispatchQuery {
    DispatchQuery {
        flow,
        service: service_tag(&"ledger".into()),
        priority: RequestPriority(9),
        may_refuse,
        hold_ms: 0,
        excluded: Vec::new(),
    }
}

/// What a host replies to a query.
fn verdict(rig: &mut DispatchRig, host: usize, query: &DispatchQuery) -> DispatchVerdict {
    let now = rig.now;
    match rig.cores[host]
        .handle_query(now, host_address(1), query)
        .datagram
    {
        PeerDatagram::Reply(DispatchReply { verdict, .. }) => verdict,
        other => panic!("{other:?}"),
    }
}

/// Requests placed and not ended, by upstream; all of them in one of `1..=upstreams`.
fn open_requests(rig: &DispatchRig, upstreams: u8) -> Vec<usize> {
    let count = |upstream| {
        rig.placed
            .iter()
            .filter(|syn| syn.upstream == upstream)
            .count()
    };
    (1..=upstreams).map(count).collect()
}

#[test]
fn test_flows_of_all_hosts_go_to_the_least_loaded_upstream() {
    for hosts in [1, 8, 30] {
        let mut rig = DispatchRig::new(hosts, 6);
        rig.warm_up();
        for flow in 0..60 {
            let syn = rig.place(usize::from(flow) % hosts, flow).unwrap();
            assert!(syn.dispatched, "{hosts} hosts, flow {flow}");
            rig.request(syn);
            rig.pass(2);
            let counts = open_requests(&rig, 6);
            let spread = counts.iter().max().unwrap() - counts.iter().min().unwrap();
            assert!(spread <= 1, "{hosts} hosts, flow {flow}: {counts:?}");
        }
    }
}

#[test]
fn test_busiest_upstream_is_close_to_the_mean() {
    for (hosts, upstreams) in [(1, 8), (8, 8), (30, 30)] {
        let mut rig = DispatchRig::new(hosts, upstreams);
        rig.warm_up();
        let queues = run_steady(&mut rig, upstreams, 3000);
        let totals: Vec<u64> = queues.iter().map(|queue| queue.total).collect();
        let mean = totals.iter().sum::<u64>() / totals.len() as u64;
        let busiest = *totals.iter().max().unwrap();
        assert!(
            busiest * 100 <= mean * 120,
            "{hosts} hosts: {busiest} of {mean}"
        );
        let alone = rig.placed.iter().filter(|syn| !syn.dispatched).count();
        assert!(
            alone * 100 <= rig.placed.len(),
            "{hosts} hosts: {alone} alone"
        );
    }
}

#[test]
fn test_nothing_is_parked_or_sent_in_calm() {
    // Guards against dispatching that costs time or traffic while no service is contended.
    for hosts in [1, 8, 30] {
        let mut rig = DispatchRig::new(hosts, 60);
        rig.contended = false;
        rig.pass(110);
        for flow in 0..200 {
            let syn = rig.place(usize::from(flow) % hosts, flow).unwrap();
            assert!(!syn.dispatched);
            rig.request(syn);
            rig.pass(1);
            rig.finish(syn);
        }
        assert_eq!(rig.park_count, 0, "{hosts} hosts");
        assert!(rig.sent.iter().all(|(count, _bytes)| *count == 0));
    }
}

#[test]
fn test_host_alone_dispatches_for_itself() {
    // Guards against a host without peers that waits for replies.
    let mut rig = DispatchRig::new(1, 6);
    rig.warm_up();
    assert!(rig.place(0, 1).unwrap().dispatched);
    assert_eq!((rig.park_count, rig.sent[0]), (0, (0, 0)));
}

#[test]
fn test_traffic_of_a_large_zone_is_bounded() {
    // Guards against datagrams that are too long, or too many of one host.
    let mut rig = DispatchRig::new(300, 100);
    rig.warm_up();
    rig.sent.fill((0, 0));
    run_steady(&mut rig, 100, 1000);
    assert!(rig.longest <= MAX_DATAGRAM_BYTES, "{}", rig.longest);
    let busiest = rig.sent[1..].iter().map(|(_count, bytes)| *bytes).max();
    assert!(busiest <= Some(TRAFFIC_BOUND), "{busiest:?} bytes");
}

#[test]
fn test_dispatcher_is_killed() {
    // Guards against flows that get no upstream, and a zone that does without a dispatcher, after one has died.
    let mut rig = DispatchRig::new(8, 6);
    rig.warm_up();
    rig.kill(0);
    for flow in 0..100 {
        let host = usize::from(flow) % 7 + 1;
        let syn = rig.place(host, flow).expect("an upstream");
        rig.request(syn);
        rig.pass(30);
        rig.finish(syn);
    }
    let last = &rig.placed[80..];
    assert!(last.iter().all(|syn| syn.dispatched), "by the next one");
    assert!(rig.resets.is_empty());
}

#[test]
fn test_dispatcher_is_frozen() {
    // Guards against a dispatcher that places flows by the counts from before it stood still.
    let mut rig = DispatchRig::new(8, 6);
    rig.warm_up();
    assert_ne!(
        verdict(&mut rig, 0, &query(1, false)),
        DispatchVerdict::Unknown
    );
    rig.stopped[0] = Some(rig.now + Duration::from_secs(1));
    for flow in 0..20 {
        let host = usize::from(flow) % 7 + 1;
        let syn = rig.place(host, flow).expect("an upstream");
        rig.request(syn);
        rig.finish(syn);
    }
    rig.now += Duration::from_secs(1);
    assert_eq!(
        verdict(&mut rig, 0, &query(2, false)),
        DispatchVerdict::Unknown
    );
}

#[test]
fn test_two_hosts_dispatch() {
    // Guards against flows that get no upstream while hosts disagree on the dispatcher.
    let mut rig = DispatchRig::new(8, 6);
    rig.can_reach = |from, to| from != 0 && to != 0 || from < 4 && to < 4;
    rig.warm_up();
    let queues = run_steady(&mut rig, 6, 1000);
    assert!(rig.resets.is_empty());
    let dispatched = rig.placed.iter().filter(|syn| syn.dispatched).count();
    assert!(
        dispatched * 10 >= rig.placed.len() * 9,
        "{dispatched} of {}",
        rig.placed.len()
    );
    assert!(queues.iter().all(|queue| queue.total > 0));
}

#[test]
fn test_dispatcher_has_just_started() {
    // Guards against a dispatcher that takes all upstreams for empty because it has heard of no request yet.
    let mut rig = DispatchRig::new(8, 6);
    rig.pass(110);
    let began = [RequestEvent::Began {
        flow: 1,
        upstream: tag(1),
    }];
    let now = rig.now;
    rig.cores[0].handle_request_events(now, &began);
    rig.pass(290);
    assert_eq!(
        verdict(&mut rig, 0, &query(2, false)),
        DispatchVerdict::Unknown
    );
    rig.pass(10);
    assert_ne!(
        verdict(&mut rig, 0, &query(2, false)),
        DispatchVerdict::Unknown
    );
}

#[test]
fn test_events_are_lost() {
    // Guards against upstreams that look full for good after the ends of their requests were lost.
    let mut rig = DispatchRig::new(8, 2);
    rig.warm_up();
    rig.should_drop = Box::new(|datagram| match datagram {
        PeerDatagram::Requests(events) => {
            let ends = |event: &RequestEvent| matches!(event, RequestEvent::Ended { .. });
            events.iter().any(ends)
        }
        _ => false,
    });
    for flow in 0..10 {
        let syn = rig.place(1, flow).unwrap();
        rig.request(syn);
        rig.pass(2);
        if syn.upstream == 1 {
            rig.finish(syn);
        }
    }
    // By the counts both are equally loaded; in truth the first is empty.
    rig.should_drop = Box::new(|_datagram| false);
    rig.placed.retain(|syn| syn.upstream == 2);
    rig.pass(1500);
    for syn in rig.placed.clone() {
        // Those of the second go on: their next requests are reported again.
        rig.packet(1, &established_head(syn.flow, 2, 100, 501, 0));
        rig.packet(1, &established_head(syn.flow, 2, 100, 501, 100));
    }
    rig.pass(700);
    for flow in 100..103 {
        let syn = rig.place(1, flow).unwrap();
        rig.request(syn);
        assert_eq!((syn.dispatched, syn.upstream), (true, 1), "flow {flow}");
    }
}

#[test]
fn test_replies_are_lost() {
    // Guards against SYNs that wait longer than the timeout, or again and again, when replies are lost.
    let mut rig = DispatchRig::new(8, 6);
    rig.warm_up();
    rig.should_drop = Box::new(|datagram| matches!(datagram, PeerDatagram::Reply(_)));
    let before = rig.park_count;
    for flow in 0..3 {
        let start = rig.now;
        let syn = rig.place(1, flow).expect("an upstream");
        assert!(!syn.dispatched);
        assert!(rig.now - start <= Duration::from_millis(11));
    }
    assert_eq!(rig.park_count - before, 3);
    rig.pass(110);
    let syn = rig.place(1, 10).expect("an upstream");
    assert!(
        !syn.dispatched,
        "the next one has not heard of requests yet"
    );
}

#[test]
fn test_late_replies_count_as_lost() {
    // Guards against a zone whose every SYN waits for an overloaded dispatcher that replies too late each time.
    let mut rig = DispatchRig::new(8, 6);
    rig.warm_up();
    rig.reply_delay = Duration::from_millis(15);
    for flow in 0..5 {
        rig.place(1, flow).expect("an upstream");
        rig.pass(30);
    }
    rig.pass(110);
    let before = rig.sent[0].0;
    rig.place(1, 10).expect("an upstream");
    rig.pass(20);
    assert_eq!(rig.sent[0].0, before, "it is not asked any more");
}

#[test]
fn test_zone_is_cut_off() {
    // Guards against dispatching that needs another zone: every datagram goes to a host of the own zone.
    let mut rig = DispatchRig::new(8, 6);
    rig.warm_up();
    // `send` of the rig, which knows only this zone, fails at any other target.
    run_steady(&mut rig, 6, 500);
    assert!(rig.placed.iter().all(|syn| syn.dispatched));
}

#[test]
fn test_syn_that_is_handed_in_late_is_not_parked_again() {
    // Guards against a SYN that a host without processor time keeps several times over.
    let mut rig = DispatchRig::new(8, 6);
    rig.warm_up();
    rig.should_drop = Box::new(|datagram| matches!(datagram, PeerDatagram::Reply(_)));
    rig.resume_delay = Duration::from_millis(150);
    let before = rig.park_count;
    rig.packet(1, &open_head(1, 0));
    rig.pass(170);
    assert_eq!((rig.park_count - before, rig.placed.len()), (1, 1));
}

#[test]
fn test_duplicate_of_a_parked_syn_is_not_placed() {
    // Guards against a flow that is opened at two upstreams, one of which nobody uses.
    let mut rig = DispatchRig::new(8, 6);
    rig.warm_up();
    rig.packet(1, &open_head(1, 0));
    rig.packet(1, &open_head(1, 0));
    rig.pass(20);
    assert_eq!(rig.placed.len(), 1);
    assert!(rig.placed[0].dispatched);
}

#[test]
fn test_parked_syn_counts_a_silent_upstream_once() {
    // Guards against a sound upstream that is ejected after half of the evidence, because each parked SYN counts twice.
    let mut rig = DispatchRig::new(8, 6);
    rig.warm_up();
    rig.packet(1, &open_head(1, 0));
    rig.pass(200);
    let before = rig.park_count;
    rig.packet(1, &open_head(1, 1));
    rig.pass(20);
    assert_eq!(rig.park_count - before, 1);
    let records = rig.cores[1].upstreams().records();
    assert_eq!(
        records.map(|record| record.silence.attempts()).sum::<u32>(),
        1
    );
}

/// The replies that a host has queued for a flow.
fn queued_verdicts(rig: &mut DispatchRig, host: usize, flow: u32) -> Vec<DispatchVerdict> {
    let datagrams = rig.cores[host].take_dispatch_datagrams();
    let replies = datagrams.into_iter().filter_map(|due| match due.datagram {
        PeerDatagram::Reply(reply) if reply.flow == flow => Some(reply.verdict),
        _ => None,
    });
    replies.collect()
}

/// A dispatcher whose upstreams are full, and which keeps a reserve for urgent flows.
fn full_dispatcher() -> DispatchRig {
    let mut rig = DispatchRig::new(2, 2);
    rig.warm_up();
    fill_upstreams(&mut rig);
    rig
}

#[test]
fn test_waiting_flow_is_placed_when_requests_end() {
    // Guards against flows that are refused though requests end within a part of their objective.
    let mut rig = full_dispatcher();
    let waiting = DispatchQuery {
        hold_ms: 100,
        ..query(1, true)
    };
    assert_eq!(verdict(&mut rig, 0, &waiting), DispatchVerdict::Wait);
    assert_eq!(queued_verdicts(&mut rig, 0, 1), []);
    let now = rig.now;
    for flow in (1000..1100).chain(2000..2100) {
        rig.cores[0].handle_request_events(now, &[RequestEvent::Ended { flow }]);
    }
    let verdicts = queued_verdicts(&mut rig, 0, 1);
    assert!(
        matches!(verdicts[..], [DispatchVerdict::Place(_)]),
        "{verdicts:?}"
    );
}

#[test]
fn test_flow_that_waited_in_a_short_rush_is_deferred() {
    // Guards against one waiting flow that is looked at with each event, and so passes for a rush that lasts.
    let mut rig = full_dispatcher();
    let waiting = DispatchQuery {
        hold_ms: 100,
        ..query(1, true)
    };
    assert_eq!(verdict(&mut rig, 0, &waiting), DispatchVerdict::Wait);
    let now = rig.now;
    for _event in 0..500 {
        rig.cores[0].handle_request_events(now, &[RequestEvent::Ended { flow: 1 }]);
    }
    rig.pass(120);
    let later = rig.now;
    rig.cores[0].handle_request_events(later, &[RequestEvent::Ended { flow: 1 }]);
    let replied = queued_verdicts(&mut rig, 0, 1);
    assert_eq!(replied, [DispatchVerdict::Defer]);
}

#[test]
fn test_data_of_a_flow_whose_syn_is_parked_is_forwarded() {
    // Guards against a flow that another host has opened, and that breaks or moves when its parked SYN is handed in.
    let mut rig = DispatchRig::new(8, 6);
    rig.warm_up();
    rig.packet(1, &open_head(1, 0));
    let data = established_head(1, 3, 0, 1, 100);
    rig.packet(1, &data);
    rig.pass(20);
    assert_eq!(
        rig.placed
            .iter()
            .map(|syn| syn.upstream)
            .collect::<Vec<_>>(),
        [3]
    );
    assert!(rig.resets.is_empty());
}

#[test]
fn test_upstreams_of_another_service_teach_a_dispatcher_nothing() {
    // Guards against a dispatcher that has learned one service and takes the upstreams of another for empty.
    let mut rig = DispatchRig::new(2, 2);
    rig.warm_up();
    let now = rig.now;
    let update = changes(10, 11, vec![upstream_item(11, entry(9, "certs"))]);
    let mut output = Default::default();
    rig.cores[0].merge(now, &update, &mut output);
    let other = DispatchQuery {
        service: service_tag(&"certs".into()),
        ..query(1, false)
    };
    assert_eq!(verdict(&mut rig, 0, &other), DispatchVerdict::Unknown);
}

#[test]
fn test_flow_that_goes_on_at_once_stays_counted() {
    // Guards against busy flows that vanish from the counts because each acknowledgement carries the next request.
    let mut rig = DispatchRig::new(2, 2);
    rig.warm_up();
    let busy = rig.place(1, 1).unwrap();
    for turn in 0..30 {
        let (seq, ack) = (turn * 100, 1 + turn * 500);
        rig.packet(1, &established_head(1, busy.upstream, seq, ack, 100));
        rig.pass(100);
    }
    for flow in 100..110 {
        let syn = rig.place(1, flow).unwrap();
        assert_eq!((syn.dispatched, syn.upstream), (true, 3 - busy.upstream));
        rig.request(syn);
        rig.finish(syn);
        rig.pass(10);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]
    #[test]
    fn test_no_reset_of_a_flow_that_may_be_open(
        repeat_after in prop_oneof![Just(NEVER), 0_u64..150], later in prop::array::uniform2(1_usize..3),
        reply_delay in 1_u64..30, lost_until in prop_oneof![Just(0), 0_u64..40], resume_delay in 0_u64..350,
    ) {
        // Guards against the reset of a flow one of whose SYNs, through this host or another, has been forwarded.
        let mut rig = DispatchRig::new(3, 2);
        rig.warm_up();
        fill_dispatcher(&mut rig);
        rig.reply_delay = Duration::from_millis(reply_delay);
        rig.resume_delay = Duration::from_millis(resume_delay);
        // The network may deliver the first SYN twice.
        let copies = [(0, 1, 0), (repeat_after, 1, 0), (200, later[0], 1), (600, later[1], 2)];
        let mut may_be_open = false;
        for millis in 0..1100 {
            rig.should_drop = Box::new(move |datagram| {
                millis < lost_until && matches!(datagram, PeerDatagram::Reply(_))
            });
            let due = copies.iter().filter(|(at, ..)| *at == millis);
            for (_at, host, copy) in due {
                // A caller that was reset sends nothing more.
                if rig.resets.is_empty() || *copy == 0 {
                    rig.packet(*host, &open_head(1, *copy));
                }
            }
            prop_assert!(!may_be_open || rig.resets.is_empty(), "after {millis} ms");
            may_be_open |= !rig.placed.is_empty() && rig.resets.is_empty();
            rig.pass(1);
        }
    }
}

/// Lets the dispatcher count full upstreams, and keep a reserve for urgent flows.
fn fill_upstreams(rig: &mut DispatchRig) {
    let now = rig.now;
    for flow in 1000..1100 {
        let upstream = tag(1 + (flow % 2) as u8);
        rig.cores[0].handle_request_events(now, &[RequestEvent::Began { flow, upstream }]);
    }
    for flow in 2000..2100 {
        let urgent = DispatchQuery {
            priority: RequestPriority(0),
            ..query(flow, false)
        };
        verdict(rig, 0, &urgent);
    }
}

/// Lets the dispatcher count more requests than it places less urgent flows at, in a rush that lasts.
fn fill_dispatcher(rig: &mut DispatchRig) {
    fill_upstreams(rig);
    for flow in 3000..3100 {
        verdict(rig, 0, &query(flow, true));
    }
    assert_eq!(verdict(rig, 0, &query(1, true)), DispatchVerdict::Refuse);
}
