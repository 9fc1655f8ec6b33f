//! Tests of the dispatching of a contended service's flows by the hosts of a zone, in virtual time.

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

/// Service time of a request, in steps of a millisecond.
const SERVICE_TIME_STEPS: u64 = 20;

/// Slots of an upstream that `entry` registers.
const SLOTS: usize = 2;

/// A time in milliseconds after the end of the test.
const NEVER: u64 = 5000;

/// Maximum control traffic that a host may send, in bytes per second.
const MAX_CONTROL_BYTES_PER_SECOND: usize = 25_000;

/// A simulated upstream with a first-in, first-out queue.
#[derive(Default)]
struct QueuedUpstream {
    waiting: VecDeque<PlacedSyn>,
    /// Requests in service, each with the step in which it ends.
    in_service: Vec<(u64, PlacedSyn)>,
    /// Number of requests in progress, summed over all steps.
    request_steps: u64,
}

/// Serves flows of one request each, which arrive at random hosts and occupy 0.8 of the slots.
/// Returns the upstreams.
fn serve_steady_load(rig: &mut DispatchRig, upstreams: u8, steps: u64) -> Vec<QueuedUpstream> {
    let mut random = StdRng::seed_from_u64(7);
    let mut queues: Vec<QueuedUpstream> = Vec::new();
    queues.resize_with(usize::from(upstreams), QueuedUpstream::default);
    let rate = 0.8 * f64::from(upstreams) * SLOTS as f64 / SERVICE_TIME_STEPS as f64;
    let (mut flow, mut handled) = (0, 0);
    for step in 0..steps {
        let hosts = rig.cores.len();
        let arrivals = (0..100).filter(|_try| random.random_bool(rate / 100.0));
        for _arrival in 0..arrivals.count() {
            rig.packet(random.random_range(0..hosts), &open_head(flow, 0));
            flow += 1;
        }
        rig.advance_time(1);
        while let Some(syn) = rig.placed.get(handled).copied() {
            handled += 1;
            rig.request(syn);
            queues[usize::from(syn.upstream) - 1].waiting.push_back(syn);
        }
        for queue in &mut queues {
            let ended = queue.in_service.extract_if(.., |(end, _syn)| *end <= step);
            ended.for_each(|(_end, syn)| rig.finish(syn));
            while queue.in_service.len() < SLOTS
                && let Some(syn) = queue.waiting.pop_front()
            {
                queue.in_service.push((step + SERVICE_TIME_STEPS, syn));
            }
            queue.request_steps += (queue.in_service.len() + queue.waiting.len()) as u64;
        }
    }
    queues
}

/// Returns a dispatch query for a less urgent flow.
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

/// Returns a host's decision about a query.
fn verdict_for(rig: &mut DispatchRig, host: usize, query: &DispatchQuery) -> DispatchVerdict {
    let now = rig.now;
    match rig.cores[host]
        .handle_query(now, host_address(1), query)
        .datagram
    {
        PeerDatagram::Reply(DispatchReply { verdict, .. }) => verdict,
        other => panic!("{other:?}"),
    }
}

/// Returns the number of placed requests that have not ended for each upstream.
fn requests_by_upstream(rig: &DispatchRig, upstreams: u8) -> Vec<usize> {
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
            rig.advance_time(2);
            let counts = requests_by_upstream(&rig, 6);
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
        let queues = serve_steady_load(&mut rig, upstreams, 3000);
        let request_steps: Vec<u64> = queues.iter().map(|queue| queue.request_steps).collect();
        let mean = request_steps.iter().sum::<u64>() / request_steps.len() as u64;
        let busiest = *request_steps.iter().max().unwrap();
        assert!(
            busiest * 100 <= mean * 120,
            "{hosts} hosts: busiest {busiest}, mean {mean}"
        );
        let undispatched = rig.placed.iter().filter(|syn| !syn.dispatched).count();
        assert!(
            undispatched * 100 <= rig.placed.len(),
            "{hosts} hosts: {undispatched} flows placed without a dispatcher"
        );
    }
}

#[test]
fn test_uncontended_services_are_not_dispatched() {
    // Guards against parked SYNs and dispatching datagrams while no service is contended.
    for hosts in [1, 8, 30] {
        let mut rig = DispatchRig::new(hosts, 60);
        rig.contended = false;
        rig.advance_time(110);
        for flow in 0..200 {
            let syn = rig.place(usize::from(flow) % hosts, flow).unwrap();
            assert!(!syn.dispatched);
            rig.request(syn);
            rig.advance_time(1);
            rig.finish(syn);
        }
        assert_eq!(rig.park_count, 0, "{hosts} hosts");
        assert!(rig.sent.iter().all(|(count, _bytes)| *count == 0));
    }
}

#[test]
fn test_single_host_dispatches_without_peers() {
    // Guards against a host without peers that waits for replies.
    let mut rig = DispatchRig::new(1, 6);
    rig.warm_up();
    assert!(rig.place(0, 1).unwrap().dispatched);
    assert_eq!((rig.park_count, rig.sent[0]), (0, (0, 0)));
}

#[test]
fn test_traffic_of_a_large_zone_is_bounded() {
    // Guards against datagrams above the maximum size, and against a host that sends too many.
    let mut rig = DispatchRig::new(300, 100);
    rig.warm_up();
    rig.sent.fill((0, 0));
    serve_steady_load(&mut rig, 100, 1000);
    assert!(rig.longest <= MAX_DATAGRAM_BYTES, "{}", rig.longest);
    let busiest = rig.sent[1..].iter().map(|(_count, bytes)| *bytes).max();
    assert!(
        busiest <= Some(MAX_CONTROL_BYTES_PER_SECOND),
        "{busiest:?} bytes"
    );
}

#[test]
fn test_dispatcher_is_killed() {
    // Guards against flows without an upstream, and against a zone that stays without a dispatcher,
    // after the dispatcher was killed.
    let mut rig = DispatchRig::new(8, 6);
    rig.warm_up();
    rig.kill(0);
    for flow in 0..100 {
        let host = usize::from(flow) % 7 + 1;
        let syn = rig.place(host, flow).expect("an upstream");
        rig.request(syn);
        rig.advance_time(30);
        rig.finish(syn);
    }
    let last = &rig.placed[80..];
    assert!(
        last.iter().all(|syn| syn.dispatched),
        "the next dispatcher places them"
    );
    assert!(rig.resets.is_empty());
}

#[test]
fn test_dispatcher_is_frozen() {
    // Guards against a dispatcher that places flows by request counts from before its stall.
    let mut rig = DispatchRig::new(8, 6);
    rig.warm_up();
    assert_ne!(
        verdict_for(&mut rig, 0, &query(1, false)),
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
        verdict_for(&mut rig, 0, &query(2, false)),
        DispatchVerdict::Unknown
    );
}

#[test]
fn test_two_concurrent_dispatchers() {
    // Guards against flows without an upstream while a partition makes hosts use two dispatchers.
    let mut rig = DispatchRig::new(8, 6);
    rig.can_reach = |from, to| from != 0 && to != 0 || from < 4 && to < 4;
    rig.warm_up();
    let queues = serve_steady_load(&mut rig, 6, 1000);
    assert!(rig.resets.is_empty());
    let dispatched = rig.placed.iter().filter(|syn| syn.dispatched).count();
    assert!(
        dispatched * 10 >= rig.placed.len() * 9,
        "{dispatched} of {}",
        rig.placed.len()
    );
    assert!(queues.iter().all(|queue| queue.request_steps > 0));
}

#[test]
fn test_new_dispatcher_does_not_place_flows_yet() {
    // Guards against a new dispatcher that considers all upstreams idle because no request has been
    // reported to it yet.
    let mut rig = DispatchRig::new(8, 6);
    rig.advance_time(110);
    let began = [RequestEvent::Began {
        flow: 1,
        upstream: tag(1),
    }];
    let now = rig.now;
    rig.cores[0].handle_request_events(now, &began);
    rig.advance_time(290);
    assert_eq!(
        verdict_for(&mut rig, 0, &query(2, false)),
        DispatchVerdict::Unknown
    );
    rig.advance_time(10);
    assert_ne!(
        verdict_for(&mut rig, 0, &query(2, false)),
        DispatchVerdict::Unknown
    );
}

#[test]
fn test_lost_request_events() {
    // Guards against upstreams that count as loaded permanently after the events that end their
    // requests were lost.
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
        rig.advance_time(2);
        if syn.upstream == 1 {
            rig.finish(syn);
        }
    }
    // The dispatcher counts equal load on both upstreams, but the first one is idle.
    rig.should_drop = Box::new(|_datagram| false);
    rig.placed.retain(|syn| syn.upstream == 2);
    rig.advance_time(1500);
    for syn in rig.placed.clone() {
        // Flows of the second upstream continue: their next requests are reported again.
        rig.packet(1, &established_head(syn.flow, 2, 100, 501, 0));
        rig.packet(1, &established_head(syn.flow, 2, 100, 501, 100));
    }
    rig.advance_time(700);
    for flow in 100..103 {
        let syn = rig.place(1, flow).unwrap();
        rig.request(syn);
        assert_eq!((syn.dispatched, syn.upstream), (true, 1), "flow {flow}");
    }
}

#[test]
fn test_replies_are_lost() {
    // Guards against SYNs that wait longer than the timeout when replies are lost, and against a
    // host that keeps querying the same dispatcher.
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
    rig.advance_time(110);
    let syn = rig.place(1, 10).expect("an upstream");
    assert!(
        !syn.dispatched,
        "no request has been reported to the next dispatcher yet"
    );
}

#[test]
fn test_late_replies_count_as_lost() {
    // Guards against a zone in which every SYN waits for the timeout because an overloaded
    // dispatcher replies too late each time.
    let mut rig = DispatchRig::new(8, 6);
    rig.warm_up();
    rig.reply_delay = Duration::from_millis(15);
    for flow in 0..5 {
        rig.place(1, flow).expect("an upstream");
        rig.advance_time(30);
    }
    rig.advance_time(110);
    let before = rig.sent[0].0;
    rig.place(1, 10).expect("an upstream");
    rig.advance_time(20);
    assert_eq!(rig.sent[0].0, before, "it gets no more queries");
}

#[test]
fn test_dispatching_stays_within_the_zone() {
    // Guards against dispatching datagrams to hosts of other zones, which a partition may separate.
    let mut rig = DispatchRig::new(8, 6);
    rig.warm_up();
    // The rig knows only the hosts of this zone: its `send` fails for any other target.
    serve_steady_load(&mut rig, 6, 500);
    assert!(rig.placed.iter().all(|syn| syn.dispatched));
}

#[test]
fn test_syn_resumed_late_is_not_parked_again() {
    // Guards against a SYN that is parked again each time when a host without processor time
    // resumes it late.
    let mut rig = DispatchRig::new(8, 6);
    rig.warm_up();
    rig.should_drop = Box::new(|datagram| matches!(datagram, PeerDatagram::Reply(_)));
    rig.resume_delay = Duration::from_millis(150);
    let before = rig.park_count;
    rig.packet(1, &open_head(1, 0));
    rig.advance_time(170);
    assert_eq!((rig.park_count - before, rig.placed.len()), (1, 1));
}

#[test]
fn test_duplicate_of_a_parked_syn_is_not_placed() {
    // Guards against a flow that a duplicate of its SYN opens at a second upstream.
    let mut rig = DispatchRig::new(8, 6);
    rig.warm_up();
    rig.packet(1, &open_head(1, 0));
    rig.packet(1, &open_head(1, 0));
    rig.advance_time(20);
    assert_eq!(rig.placed.len(), 1);
    assert!(rig.placed[0].dispatched);
}

#[test]
fn test_parked_syn_counts_a_silent_upstream_once() {
    // Guards against a healthy upstream that is ejected after half as many unanswered SYNs because
    // each parked SYN counts twice.
    let mut rig = DispatchRig::new(8, 6);
    rig.warm_up();
    rig.packet(1, &open_head(1, 0));
    rig.advance_time(200);
    let before = rig.park_count;
    rig.packet(1, &open_head(1, 1));
    rig.advance_time(20);
    assert_eq!(rig.park_count - before, 1);
    let records = rig.cores[1].upstreams().records();
    assert_eq!(
        records
            .map(|record| record.failure_detector.attempts())
            .sum::<u32>(),
        1
    );
}

/// Returns the decisions about a flow in the replies that a host has queued.
fn queued_verdicts(rig: &mut DispatchRig, host: usize, flow: u32) -> Vec<DispatchVerdict> {
    let datagrams = rig.cores[host].take_dispatch_datagrams();
    let replies = datagrams.into_iter().filter_map(|due| match due.datagram {
        PeerDatagram::Reply(reply) if reply.flow == flow => Some(reply.verdict),
        _ => None,
    });
    replies.collect()
}

/// Returns a rig whose dispatcher counts saturated upstreams and keeps a reserve for urgent flows.
fn saturated_dispatcher() -> DispatchRig {
    let mut rig = DispatchRig::new(2, 2);
    rig.warm_up();
    saturate_upstreams(&mut rig);
    rig
}

#[test]
fn test_waiting_flow_is_placed_when_requests_end() {
    // Guards against flows that are refused although requests end within the time that the flows
    // may wait.
    let mut rig = saturated_dispatcher();
    let waiting = DispatchQuery {
        hold_ms: 100,
        ..query(1, true)
    };
    assert_eq!(verdict_for(&mut rig, 0, &waiting), DispatchVerdict::Wait);
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
fn test_flow_that_waited_in_a_short_burst_is_deferred() {
    // Guards against one waiting flow that counts as continuing overload because it is evaluated
    // with each event.
    let mut rig = saturated_dispatcher();
    let waiting = DispatchQuery {
        hold_ms: 100,
        ..query(1, true)
    };
    assert_eq!(verdict_for(&mut rig, 0, &waiting), DispatchVerdict::Wait);
    let now = rig.now;
    for _event in 0..500 {
        rig.cores[0].handle_request_events(now, &[RequestEvent::Ended { flow: 1 }]);
    }
    rig.advance_time(120);
    let later = rig.now;
    rig.cores[0].handle_request_events(later, &[RequestEvent::Ended { flow: 1 }]);
    let replied = queued_verdicts(&mut rig, 0, 1);
    assert_eq!(replied, [DispatchVerdict::Defer]);
}

#[test]
fn test_data_of_a_flow_whose_syn_is_parked_is_forwarded() {
    // Guards against a flow that another host has opened, and that is reset or gets a second
    // upstream when its parked SYN is resumed.
    let mut rig = DispatchRig::new(8, 6);
    rig.warm_up();
    rig.packet(1, &open_head(1, 0));
    let data = established_head(1, 3, 0, 1, 100);
    rig.packet(1, &data);
    rig.advance_time(20);
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
fn test_dispatcher_learns_each_service_separately() {
    // Guards against a dispatcher that has learned the requests of one service and considers the
    // upstreams of another idle.
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
    assert_eq!(verdict_for(&mut rig, 0, &other), DispatchVerdict::Unknown);
}

#[test]
fn test_flow_with_consecutive_requests_stays_counted() {
    // Guards against busy flows that are no longer counted because each of their acknowledgements
    // carries the next request.
    let mut rig = DispatchRig::new(2, 2);
    rig.warm_up();
    let busy = rig.place(1, 1).unwrap();
    for turn in 0..30 {
        let (seq, ack) = (turn * 100, 1 + turn * 500);
        rig.packet(1, &established_head(1, busy.upstream, seq, ack, 100));
        rig.advance_time(100);
    }
    for flow in 100..110 {
        let syn = rig.place(1, flow).unwrap();
        assert_eq!((syn.dispatched, syn.upstream), (true, 3 - busy.upstream));
        rig.request(syn);
        rig.finish(syn);
        rig.advance_time(10);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]
    #[test]
    fn test_no_reset_of_a_flow_that_may_be_open(
        repeat_after in prop_oneof![Just(NEVER), 0_u64..150],
        later in prop::array::uniform2(1_usize..3),
        reply_delay in 1_u64..30,
        lost_until in prop_oneof![Just(0), 0_u64..40],
        resume_delay in 0_u64..350,
    ) {
        // Guards against the reset of a flow after this host or another one has forwarded one of
        // its SYNs.
        let mut rig = DispatchRig::new(3, 2);
        rig.warm_up();
        saturate_dispatcher(&mut rig);
        rig.reply_delay = Duration::from_millis(reply_delay);
        rig.resume_delay = Duration::from_millis(resume_delay);
        // Time in milliseconds, host and transmission of each SYN. The network may deliver the
        // first SYN twice.
        let transmissions = [
            (0, 1, 0),
            (repeat_after, 1, 0),
            (200, later[0], 1),
            (600, later[1], 2),
        ];
        let mut may_be_open = false;
        for millis in 0..1100 {
            rig.should_drop = Box::new(move |datagram| {
                millis < lost_until && matches!(datagram, PeerDatagram::Reply(_))
            });
            let due = transmissions.iter().filter(|(at, ..)| *at == millis);
            for (_at, host, transmission) in due {
                // A caller whose flow was reset does not retransmit.
                if rig.resets.is_empty() || *transmission == 0 {
                    rig.packet(*host, &open_head(1, *transmission));
                }
            }
            prop_assert!(!may_be_open || rig.resets.is_empty(), "after {millis} ms");
            may_be_open |= !rig.placed.is_empty() && rig.resets.is_empty();
            rig.advance_time(1);
        }
    }
}

/// Reports requests that saturate the upstreams, and urgent flows for which the dispatcher then
/// keeps a reserve.
fn saturate_upstreams(rig: &mut DispatchRig) {
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
        verdict_for(rig, 0, &urgent);
    }
}

/// Saturates the upstreams and queries 100 less urgent flows. The dispatcher refuses such flows
/// afterwards.
fn saturate_dispatcher(rig: &mut DispatchRig) {
    saturate_upstreams(rig);
    for flow in 3000..3100 {
        verdict_for(rig, 0, &query(flow, true));
    }
    assert_eq!(
        verdict_for(rig, 0, &query(1, true)),
        DispatchVerdict::Refuse
    );
}
