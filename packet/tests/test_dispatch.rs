//! Tests of the placement of a contended service's flows by a dispatcher.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy_packet::dispatch::dispatch_client::DispatchClient;
use lagoonproxy_packet::dispatch::dispatch_client::QueryState;
use lagoonproxy_packet::dispatch::dispatch_client::REPLY_TIMEOUT;
use lagoonproxy_packet::dispatch::dispatch_message::DispatchVerdict;
use lagoonproxy_packet::dispatch::dispatch_message::MAX_EVENTS_PER_DATAGRAM;
use lagoonproxy_packet::dispatch::dispatch_message::RequestEvent;
use lagoonproxy_packet::dispatch::dispatch_policy::DispatchCandidate;
use lagoonproxy_packet::dispatch::dispatch_policy::DispatchConfig;
use lagoonproxy_packet::dispatch::dispatch_policy::LimitedShare;
use lagoonproxy_packet::dispatch::dispatch_policy::PriorityMix;
use lagoonproxy_packet::dispatch::dispatch_policy::effective_reserve;
use lagoonproxy_packet::dispatch::dispatch_policy::is_limited;
use lagoonproxy_packet::dispatch::dispatch_policy::least_loaded;
use lagoonproxy_packet::dispatch::dispatcher_choice::DispatcherChoice;
use lagoonproxy_packet::dispatch::request_ledger::RequestLedger;
use lagoonproxy_packet::flows::flow_table::FlowKey;
use lagoonproxy_packet::peers::peer_datagram::MAX_DATAGRAM_BYTES;
use lagoonproxy_packet::peers::peer_datagram::PeerDatagram;
use lagoonproxy_packet::routes::route_config::RequestPriority;
use proptest::prelude::*;

use crate::core_rig::*;

const URGENT: RequestPriority = RequestPriority(1);
const NORMAL: RequestPriority = RequestPriority(2);

fn candidate(index: u32, in_progress: u32) -> DispatchCandidate {
    DispatchCandidate {
        index,
        in_progress,
        slots: 2,
        request_load: 1000,
        is_excluded: false,
        weight: u64::from(index),
    }
}

/// Returns whether a flow is limited, given the share of more urgent flows in thousandths.
fn is_limited_by(more_urgent: u32, candidate: &DispatchCandidate) -> bool {
    let config = DispatchConfig::default();
    let reserve = effective_reserve(&config, more_urgent);
    reserve.is_some_and(|reserve| is_limited(&config, reserve, candidate))
}

fn host(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, number), 7720)
}

fn flow_key(number: u16) -> FlowKey {
    FlowKey {
        caller: caller(number),
        service: ledger(),
    }
}

#[test]
fn test_flow_goes_to_the_least_loaded_upstream() {
    struct Case {
        name: &'static str,
        candidates: Vec<DispatchCandidate>,
        selected: Option<u32>,
    }
    let cases = [
        Case {
            name: "no candidates",
            candidates: Vec::new(),
            selected: None,
        },
        Case {
            name: "fewest requests in progress",
            candidates: vec![candidate(1, 3), candidate(2, 1), candidate(3, 2)],
            selected: Some(2),
        },
        Case {
            name: "fewest requests per slot",
            candidates: vec![
                candidate(1, 3),
                DispatchCandidate {
                    slots: 8,
                    ..candidate(2, 6)
                },
            ],
            selected: Some(2),
        },
        Case {
            name: "a request costs more on a warming upstream",
            candidates: vec![
                candidate(1, 1),
                DispatchCandidate {
                    request_load: 1600,
                    ..candidate(2, 1)
                },
            ],
            selected: Some(1),
        },
        Case {
            name: "an idle warming upstream still gets flows",
            candidates: vec![
                candidate(1, 2),
                DispatchCandidate {
                    request_load: 1600,
                    ..candidate(2, 0)
                },
            ],
            selected: Some(2),
        },
        Case {
            name: "an upstream that an earlier SYN went to comes last",
            candidates: vec![
                DispatchCandidate {
                    is_excluded: true,
                    ..candidate(1, 0)
                },
                candidate(2, 9),
            ],
            selected: Some(2),
        },
        Case {
            name: "the highest weight among equals",
            candidates: vec![candidate(1, 1), candidate(7, 1), candidate(3, 1)],
            selected: Some(7),
        },
        Case {
            name: "upstreams with one slot",
            candidates: vec![
                DispatchCandidate {
                    slots: 1,
                    ..candidate(1, 1)
                },
                DispatchCandidate {
                    slots: 1,
                    ..candidate(2, 0)
                },
            ],
            selected: Some(2),
        },
    ];
    for case in cases {
        let selected = least_loaded(case.candidates.into_iter());
        assert_eq!(
            selected.map(|candidate| candidate.index),
            case.selected,
            "{}",
            case.name
        );
    }
}

#[test]
fn test_slow_upstream_gets_fewer_flows_but_some() {
    // Guards against a slow upstream that gets as many new flows as the others, or never gets any.
    let mut ledger = RequestLedger::default();
    let now = Instant::now();
    let mut placed = [0_u32; 40];
    // One flow arrives per millisecond. A request takes 60 ms, or 300 ms on the first upstream.
    let mut ends: Vec<(u64, u32)> = Vec::new();
    for millis in 0..2000_u64 {
        ends.retain(|(end, flow)| {
            let keep = *end > millis;
            if !keep {
                ledger.record_end(*flow);
            }
            keep
        });
        let flow = millis as u32;
        let candidates = (0..40).map(|index| DispatchCandidate {
            weight: (u64::from(index) * 7919 + millis * 104_729) % 1009,
            ..candidate(index, ledger.in_progress(index))
        });
        let selected = least_loaded(candidates).unwrap();
        ledger.record_request(now, flow, selected.index);
        placed[selected.index as usize] += 1;
        let request_millis = if selected.index == 0 { 300 } else { 60 };
        ends.push((millis + request_millis, flow));
    }
    let mean_of_others: u32 = placed[1..].iter().sum::<u32>() / 39;
    assert!(
        placed[0] * 100 < mean_of_others * 35,
        "{} of {mean_of_others}",
        placed[0]
    );
    assert!(placed[0] > 0);
}

#[test]
fn test_urgent_flows_keep_a_reserve() {
    struct Case {
        name: &'static str,
        more_urgent: u32,
        in_progress: u32,
        limited: bool,
    }
    let cases = [
        Case {
            name: "a slot is free",
            more_urgent: 1000,
            in_progress: 1,
            limited: false,
        },
        Case {
            name: "a short queue",
            more_urgent: 500,
            in_progress: 6,
            limited: false,
        },
        Case {
            name: "half of the flows are more urgent, and the queue is long",
            more_urgent: 500,
            in_progress: 9,
            limited: true,
        },
        Case {
            name: "few flows are more urgent: the reserve is small",
            more_urgent: 20,
            in_progress: 9,
            limited: false,
        },
        Case {
            name: "no flow is more urgent",
            more_urgent: 0,
            in_progress: 200,
            limited: false,
        },
    ];
    for case in cases {
        let candidate = candidate(1, case.in_progress);
        let limited = is_limited_by(case.more_urgent, &candidate);
        assert_eq!(limited, case.limited, "{}", case.name);
    }
}

#[test]
fn test_priority_mix_follows_recent_flows() {
    struct Case {
        name: &'static str,
        recorded: Vec<(RequestPriority, usize)>,
        priority: RequestPriority,
        more_urgent: std::ops::RangeInclusive<u32>,
    }
    let cases = [
        Case {
            name: "no flows",
            recorded: vec![],
            priority: NORMAL,
            more_urgent: 0..=0,
        },
        Case {
            name: "all priorities equal",
            recorded: vec![(NORMAL, 100)],
            priority: NORMAL,
            more_urgent: 0..=0,
        },
        Case {
            name: "a quarter is urgent",
            recorded: vec![(URGENT, 25), (NORMAL, 75)],
            priority: NORMAL,
            more_urgent: 250..=250,
        },
        Case {
            name: "no flow is more urgent than the most urgent class",
            recorded: vec![(URGENT, 25), (NORMAL, 75)],
            priority: URGENT,
            more_urgent: 0..=0,
        },
        Case {
            name: "a past burst loses its weight",
            recorded: vec![(URGENT, 400), (NORMAL, 4000)],
            priority: NORMAL,
            more_urgent: 0..=10,
        },
        Case {
            name: "more priorities than are counted separately",
            recorded: (0..100).map(|level| (RequestPriority(level), 1)).collect(),
            priority: RequestPriority::LEAST_URGENT,
            more_urgent: 1000..=1000,
        },
    ];
    for case in cases {
        let mut mix = PriorityMix::default();
        for (priority, count) in case.recorded {
            (0..count).for_each(|_flow| mix.record(priority));
        }
        let more_urgent = mix.more_urgent(case.priority);
        assert!(
            case.more_urgent.contains(&more_urgent),
            "{}: {more_urgent}",
            case.name
        );
    }
}

#[test]
fn test_limited_share_separates_short_bursts_from_long_ones() {
    let max_share = DispatchConfig::default().max_deferred_share;
    let mut share = LimitedShare::default();
    (0..10).for_each(|_flow| share.record(true));
    assert!(share.share() < max_share, "ten flows are a short burst");
    (0..100).for_each(|_flow| share.record(true));
    assert!(
        share.share() > max_share,
        "a hundred flows are a long burst"
    );
    (0..200).for_each(|_flow| share.record(false));
    assert!(share.share() < max_share, "the burst has ended");
}

#[test]
fn test_ledger_counts_each_request_once() {
    let now = Instant::now();
    let mut ledger = RequestLedger::default();
    ledger.record_placement(now, 1, 0);
    assert_eq!(ledger.in_progress(0), 1, "a placed flow counts at once");
    ledger.record_request(now, 1, 0);
    assert_eq!(
        ledger.in_progress(0),
        1,
        "the flow and its request count once"
    );
    ledger.record_request(now, 1, 2);
    assert_eq!((ledger.in_progress(0), ledger.in_progress(2)), (0, 1));
    ledger.record_end(1);
    ledger.record_end(1);
    assert_eq!(ledger.in_progress(2), 0);
    assert!(ledger.is_empty());
}

#[test]
fn test_requests_without_a_reported_end_expire() {
    // Guards against upstreams that look full permanently after the host that reported their
    // requests has failed.
    let now = Instant::now();
    let mut ledger = RequestLedger::default();
    ledger.record_request(now, 1, 0);
    ledger.expire_requests(now + Duration::from_millis(1900));
    assert_eq!(ledger.in_progress(0), 1);
    ledger.expire_requests(now + Duration::from_millis(2100));
    assert_eq!(ledger.in_progress(0), 0);
}

#[test]
fn test_placed_flows_without_a_request_expire() {
    // Guards against upstreams that look full because callers opened flows and sent no request.
    let now = Instant::now();
    let mut ledger = RequestLedger::default();
    ledger.record_placement(now, 1, 0);
    ledger.record_placement(now, 2, 0);
    ledger.record_request(now, 2, 0);
    ledger.expire_placements(now + Duration::from_millis(40));
    assert_eq!(
        ledger.in_progress(0),
        1,
        "the flow with a request still counts"
    );
}

#[test]
fn test_host_decides_without_a_reply() {
    // Guards against SYNs that wait for a dispatcher that has failed.
    let now = Instant::now();
    let mut client = DispatchClient::default();
    assert!(client.start_query(now, flow_key(1), 7, host(9)));
    assert_eq!(client.take_state(now, 7), QueryState::Waiting);
    let timed_out_at = now + REPLY_TIMEOUT;
    assert_eq!(
        client.take_state(timed_out_at, 7),
        QueryState::TimedOut(host(9))
    );
    assert_eq!(client.take_state(timed_out_at, 7), QueryState::Absent);
}

#[test]
fn test_reply_of_another_host_is_ignored() {
    // Guards against a late reply of a former dispatcher for a flow that another one places.
    let now = Instant::now();
    let mut client = DispatchClient::default();
    client.start_query(now, flow_key(1), 7, host(9));
    let verdict = DispatchVerdict::Place(5);
    assert_eq!(client.handle_reply(now, host(8), 7, verdict), None);
    assert_eq!(
        client.handle_reply(now, host(9), 7, verdict),
        Some((flow_key(1), now))
    );
    assert_eq!(client.take_state(now, 7), QueryState::Replied(verdict));
}

#[test]
fn test_events_fit_into_datagrams() {
    let mut client = DispatchClient::default();
    for flow in 0..1000 {
        let event = RequestEvent::Began {
            flow: u32::MAX - flow,
            upstream: u32::MAX,
        };
        client.queue_event(host(9), event);
    }
    let batches = client.take_events();
    assert_eq!(
        batches
            .iter()
            .map(|(_to, batch)| batch.len())
            .sum::<usize>(),
        1000
    );
    for (_target, batch) in batches {
        assert!(batch.len() <= MAX_EVENTS_PER_DATAGRAM);
        let bytes = PeerDatagram::Requests(batch).encode().unwrap();
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
    }
    assert!(!client.has_events());
}

#[test]
fn test_unresponsive_dispatcher_is_skipped() {
    // Guards against a zone in which every new flow waits for a dispatcher that is frozen or
    // unreachable.
    let now = Instant::now();
    let mut choice = DispatcherChoice::default();
    assert!(!choice.record_timeout(now, host(9)));
    choice.record_reply(host(9));
    assert!(
        !choice.record_timeout(now, host(9)),
        "a reply resets the count"
    );
    assert!(!choice.record_timeout(now, host(9)));
    assert!(
        choice.record_timeout(now, host(9)),
        "the third consecutive timeout"
    );
}

#[test]
fn test_former_dispatchers_do_not_hide_an_unresponsive_one() {
    // Guards against a failed dispatcher that is queried forever because the table is full of hosts
    // that left the zone.
    let now = Instant::now();
    let mut choice = DispatcherChoice::default();
    (10..30).for_each(|number| _ = choice.record_timeout(now, host(number)));
    assert!(!choice.record_timeout(now, host(9)));
    assert!(!choice.record_timeout(now, host(9)));
    assert!(choice.record_timeout(now, host(9)));
}

proptest! {
    #[test]
    fn test_counts_equal_the_requests_in_progress(
        steps in prop::collection::vec((0_u8..4, 0_u32..20, 0_u32..5, 0_u64..200), 0..200)
    ) {
        let mut ledger = RequestLedger::default();
        let mut now = Instant::now();
        for (step, flow, upstream, millis) in steps {
            now += Duration::from_millis(millis);
            match step {
                0 => ledger.record_request(now, flow, upstream),
                1 => ledger.record_placement(now, flow, upstream),
                2 => ledger.record_end(flow),
                _ => ledger.expire_requests(now),
            }
            let total: u32 = (0..5).map(|upstream| ledger.in_progress(upstream)).sum();
            prop_assert!(total <= 20);
            prop_assert_eq!(total == 0, ledger.is_empty());
        }
        ledger.expire_requests(now + Duration::from_secs(3));
        prop_assert!(ledger.is_empty());
    }

    #[test]
    fn test_no_flow_is_limited_while_a_slot_is_free(
        more_urgent in 0_u32..2000, slots in 1_u32..32, busy in 0_u32..32
    ) {
        let in_progress = busy % slots;
        let candidate = DispatchCandidate { slots, in_progress, ..candidate(1, 0) };
        prop_assert!(!is_limited_by(more_urgent, &candidate));
    }

    #[test]
    fn test_a_less_urgent_flow_never_gets_more_room(
        counts in prop::collection::vec(0_u32..50, 4), in_progress in 0_u32..20
    ) {
        let mut mix = PriorityMix::default();
        for (level, count) in counts.iter().enumerate() {
            (0..*count).for_each(|_flow| mix.record(RequestPriority(level as u32)));
        }
        let candidate = candidate(1, in_progress);
        let limits: Vec<bool> = (0..4)
            .map(|level| {
                let more_urgent = mix.more_urgent(RequestPriority(level));
                is_limited_by(more_urgent, &candidate)
            })
            .collect();
        prop_assert!(limits.is_sorted());
    }
}
