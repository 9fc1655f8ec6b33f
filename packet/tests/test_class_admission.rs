//! Tests of which SYNs of a contended service are admitted, deferred or refused.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::admission::class_admission::ClassAdmissionConfig;
use lagoonproxy_packet::admission::class_admission::FULL_SHARE;
use lagoonproxy_packet::admission::class_admission::SynDecision;
use lagoonproxy_packet::admission::class_admission::SynQuery;
use lagoonproxy_packet::admission::class_admission::decide_syn;
use lagoonproxy_packet::admission::class_admission::syn_sample;
use lagoonproxy_packet::admission::class_demand::ClassDemand;
use lagoonproxy_packet::admission::class_demand::DemandRank;
use lagoonproxy_packet::load::load_state::ContentionState;
use lagoonproxy_packet::routes::route_config::RequestPriority;
use lagoonproxy_packet::routes::route_table::RequestClass;
use proptest::prelude::*;

const QUEUE_FULL: SynDecision = SynDecision::Defer(ResultCode::QueueFull);
const PRIORITY_REFUSED: SynDecision = SynDecision::Refuse(ResultCode::PriorityRefused);
const FAIR_SHARE: SynDecision = SynDecision::Refuse(ResultCode::FairShareExceeded);
const DEADLINE_PASSED: SynDecision = SynDecision::Refuse(ResultCode::DeadlinePassed);

/// Number of flows over which an admitted share is measured.
const FLOWS: u64 = 2000;

fn contention(pressure: u32) -> ContentionState {
    ContentionState {
        pressure,
        is_contended: true,
        updated_at: None,
    }
}

/// The first SYN of a class at a pressure, with a latency objective of 250 ms and a timeout of 3 s.
fn query(pressure: u32, demand_rank: u8, classes_with_demand: u8) -> SynQuery {
    SynQuery {
        contention: contention(pressure),
        pressure,
        class: RequestClass {
            rank: demand_rank,
            classes: classes_with_demand,
            priority: RequestPriority(u32::from(demand_rank)),
        },
        demand_rank,
        classes_with_demand,
        transmission: 0,
        flow_hash: 1,
        placed_before: false,
        known_unopened: true,
        has_free_slot: false,
        is_heavy_caller: false,
        objective: Some(Duration::from_millis(250)),
        timeout: Some(Duration::from_secs(3)),
    }
}

/// Returns a flow hash with the largest sample value for a transmission number, so that the SYN is
/// admitted only if all SYNs are.
fn hash_with_max_sample(transmission: u32) -> u64 {
    let hash = (0..).find(|hash| syn_sample(*hash, transmission) == FULL_SHARE - 1);
    hash.expect("some hash has the largest sample value")
}

fn evaluate(query: &SynQuery) -> SynDecision {
    decide_syn(&ClassAdmissionConfig::default(), query)
}

/// Returns the share of [`FLOWS`] flows whose SYN is admitted if it is otherwise like `query`, in
/// thousandths.
fn admitted_share(query: SynQuery) -> u64 {
    let admitted = (0..FLOWS).filter(|flow_hash| {
        let query = SynQuery {
            flow_hash: flow_hash.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            ..query
        };
        evaluate(&query) == SynDecision::Admit
    });
    admitted.count() as u64 * 1000 / FLOWS
}

#[test]
fn test_a_class_is_admitted_by_its_rank_and_the_pressure() {
    // Guards against urgent requests that are deferred as early as others, and against classes that
    // starve.
    struct Case {
        name: &'static str,
        pressure: u32,
        /// Admitted shares by rank, in thousandths.
        expected: &'static [u64],
    }
    let cases = [
        Case {
            name: "barely contended",
            pressure: 1750,
            expected: &[1000, 1000, 1000],
        },
        Case {
            name: "overload by the least urgent class",
            pressure: 2625,
            expected: &[1000, 1000, 550],
        },
        Case {
            name: "overload by all classes",
            pressure: 5875,
            expected: &[1000, 550, 100],
        },
        Case {
            name: "the most urgent class alone exceeds the capacity",
            pressure: 9125,
            expected: &[550, 100, 100],
        },
        Case {
            name: "capacity halved within a second",
            pressure: 12_000,
            expected: &[100, 100, 100],
        },
        Case {
            name: "only class: all priorities equal, or none published",
            pressure: 3500,
            expected: &[550],
        },
        Case {
            name: "only class, barely contended",
            pressure: 2500,
            expected: &[1000],
        },
        Case {
            name: "a service with one slot that has one request in progress and one in the queue",
            pressure: 2000,
            expected: &[1000, 871],
        },
        Case {
            name: "a service with one slot that has one request in progress and two in the queue",
            pressure: 3000,
            expected: &[1000, 357],
        },
    ];
    for case in cases {
        let classes = case.expected.len() as u8;
        for (rank, expected) in (0..classes).zip(case.expected) {
            let share = admitted_share(query(case.pressure, rank, classes));
            let difference = share.abs_diff(*expected);
            let bound = if *expected == 1000 { 0 } else { 40 };
            assert!(
                difference <= bound,
                "{}, rank {rank}: {share} instead of {expected}",
                case.name
            );
        }
    }
}

#[test]
fn test_decisions_outside_the_admitted_share() {
    struct Case {
        name: &'static str,
        query: SynQuery,
        expected: SynDecision,
    }
    let base = query(3500, 1, 2);
    let transmission = |transmission: u32| SynQuery {
        transmission,
        ..base
    };
    let millis = |millis: u64| Some(Duration::from_millis(millis));
    let cases = [
        Case {
            name: "first SYN, and the next comes within the objective",
            query: base,
            expected: QUEUE_FULL,
        },
        Case {
            name: "first SYN, and the next comes after the objective but before the timeout",
            query: SynQuery {
                objective: millis(150),
                ..base
            },
            expected: QUEUE_FULL,
        },
        Case {
            name: "first SYN, and the next comes after the objective and the timeout",
            query: SynQuery {
                objective: millis(150),
                timeout: millis(200),
                ..base
            },
            expected: PRIORITY_REFUSED,
        },
        Case {
            name: "first SYN without an objective or a timeout",
            query: SynQuery {
                objective: None,
                timeout: None,
                ..base
            },
            expected: QUEUE_FULL,
        },
        Case {
            name: "first retransmission, and the last one comes after the objective",
            query: SynQuery {
                objective: millis(500),
                pressure: 9000,
                ..transmission(1)
            },
            expected: PRIORITY_REFUSED,
        },
        Case {
            name: "first retransmission, and the last one comes within the objective",
            query: SynQuery {
                objective: millis(1500),
                pressure: 9000,
                ..transmission(1)
            },
            expected: QUEUE_FULL,
        },
        Case {
            name: "first retransmission without an objective",
            query: SynQuery {
                objective: None,
                pressure: 9000,
                ..transmission(1)
            },
            expected: QUEUE_FULL,
        },
        Case {
            name: "last retransmission",
            query: transmission(2),
            expected: PRIORITY_REFUSED,
        },
        Case {
            name: "a retransmission that callers do not send",
            query: transmission(u32::MAX),
            expected: PRIORITY_REFUSED,
        },
        Case {
            name: "last retransmission of a flow that another host may have opened",
            query: SynQuery {
                known_unopened: false,
                ..transmission(2)
            },
            expected: SynDecision::Admit,
        },
        Case {
            name: "first retransmission of a flow that another host may have opened, while the next is in time",
            query: SynQuery {
                known_unopened: false,
                objective: millis(1500),
                pressure: 9000,
                ..transmission(1)
            },
            expected: QUEUE_FULL,
        },
        Case {
            name: "a flow that this host has placed",
            query: SynQuery {
                placed_before: true,
                known_unopened: false,
                ..transmission(1)
            },
            expected: SynDecision::Admit,
        },
        Case {
            name: "an upstream is known to have a free slot",
            query: SynQuery {
                has_free_slot: true,
                is_heavy_caller: true,
                ..base
            },
            expected: SynDecision::Admit,
        },
        Case {
            name: "older than the timeout, though a slot is free",
            query: SynQuery {
                timeout: millis(500),
                has_free_slot: true,
                ..transmission(2)
            },
            expected: DEADLINE_PASSED,
        },
        Case {
            name: "older than the timeout, and another host may have opened the flow",
            query: SynQuery {
                timeout: millis(500),
                known_unopened: false,
                ..transmission(2)
            },
            expected: SynDecision::Admit,
        },
        Case {
            name: "heavy caller at a pressure at which its class is admitted",
            query: SynQuery {
                pressure: 1750,
                is_heavy_caller: true,
                ..base
            },
            expected: QUEUE_FULL,
        },
        Case {
            name: "last retransmission of a heavy caller at that pressure",
            query: SynQuery {
                pressure: 1750,
                is_heavy_caller: true,
                ..transmission(2)
            },
            expected: FAIR_SHARE,
        },
        Case {
            name: "last retransmission of a heavy caller at a pressure at which others are refused as well",
            query: SynQuery {
                is_heavy_caller: true,
                ..transmission(2)
            },
            expected: PRIORITY_REFUSED,
        },
        Case {
            name: "a caller other than the heavy caller",
            query: SynQuery {
                pressure: 1750,
                ..base
            },
            expected: SynDecision::Admit,
        },
    ];
    for case in cases {
        let query = SynQuery {
            flow_hash: hash_with_max_sample(case.query.transmission),
            ..case.query
        };
        assert_eq!(evaluate(&query), case.expected, "{}", case.name);
    }
}

#[test]
fn test_callers_that_have_waited_are_admitted_first() {
    // Guards against retransmissions that wait behind the first SYNs of later callers in a burst
    // after an outage.
    struct Case {
        name: &'static str,
        transmission: u32,
        target_ms: Option<u64>,
        expected: u64,
    }
    let cases = [
        Case {
            name: "first SYN",
            transmission: 0,
            target_ms: Some(1500),
            expected: 100,
        },
        Case {
            name: "first retransmission",
            transmission: 1,
            target_ms: Some(1500),
            expected: 486,
        },
        Case {
            name: "last retransmission",
            transmission: 2,
            target_ms: Some(1500),
            expected: 871,
        },
        Case {
            name: "last retransmission without an objective",
            transmission: 2,
            target_ms: None,
            expected: 871,
        },
        Case {
            name: "last retransmission, after the objective",
            transmission: 2,
            target_ms: Some(600),
            expected: 100,
        },
    ];
    for case in cases {
        let query = SynQuery {
            transmission: case.transmission,
            objective: case.target_ms.map(Duration::from_millis),
            ..query(3500, 1, 2)
        };
        let share = admitted_share(query);
        assert!(
            share.abs_diff(case.expected) <= 40,
            "{}: {share}",
            case.name
        );
    }
}

#[test]
fn test_only_classes_with_demand_have_a_rank() {
    // Guards against an unused class that moves the ramps of the other classes.
    struct Case {
        name: &'static str,
        /// Rank of each class, and milliseconds since its last demand.
        demands: &'static [(u8, u64)],
        rank: u8,
        expected: (u8, u8),
    }
    let cases = [
        Case {
            name: "the only class with demand",
            demands: &[(2, 0)],
            rank: 2,
            expected: (0, 1),
        },
        Case {
            name: "a more urgent class",
            demands: &[(0, 2999), (2, 0)],
            rank: 2,
            expected: (1, 2),
        },
        Case {
            name: "a more urgent class whose demand has ended",
            demands: &[(0, 3000), (2, 0)],
            rank: 2,
            expected: (0, 1),
        },
        Case {
            name: "less urgent classes",
            demands: &[(1, 0), (2, 10), (3, 20)],
            rank: 1,
            expected: (0, 3),
        },
        Case {
            name: "a class that has not been recorded counts itself",
            demands: &[(0, 0)],
            rank: 1,
            expected: (1, 2),
        },
        Case {
            name: "ranks beyond the last are the last",
            demands: &[(0, 0), (9, 0)],
            rank: 200,
            expected: (1, 2),
        },
    ];
    let start = Instant::now();
    let now = start + Duration::from_secs(10);
    for case in cases {
        let mut demand = ClassDemand::default();
        for (rank, age) in case.demands {
            demand.record(now - Duration::from_millis(*age), 5, *rank);
            demand.record(now, 6, 0);
        }
        let (rank, classes) = case.expected;
        let found = demand.rank(now, 5, case.rank, Duration::from_secs(3));
        assert_eq!(found, DemandRank { rank, classes }, "{}", case.name);
    }
}

fn any_query() -> impl Strategy<Value = SynQuery> {
    let millis = || proptest::option::of(1u64..4000);
    let flags = any::<[bool; 4]>();
    let class = (1u8..=4).prop_flat_map(|classes| (0..classes, Just(classes)));
    let flow = (0u32..30_000, 0u32..4, any::<u64>());
    (flow, class, flags, millis(), millis()).prop_map(
        |((pressure, transmission, flow_hash), (rank, classes), flags, objective, timeout)| {
            SynQuery {
                transmission,
                flow_hash,
                placed_before: flags[0],
                known_unopened: flags[1],
                has_free_slot: flags[2],
                is_heavy_caller: flags[3],
                objective: objective.map(Duration::from_millis),
                timeout: timeout.map(Duration::from_millis),
                ..query(pressure, rank, classes)
            }
        },
    )
}

proptest! {
    /// Guards against a reset of a flow that may be open.
    #[test]
    fn test_no_flow_that_may_be_open_is_refused(query in any_query()) {
        let may_be_open = query.placed_before || !query.known_unopened;
        let refused = matches!(evaluate(&query), SynDecision::Refuse(_));
        prop_assert!(!(may_be_open && refused));
    }

    /// Guards against callers that are deferred or refused while a slot is free.
    #[test]
    fn test_no_syn_waits_while_a_slot_is_free(query in any_query()) {
        let query = SynQuery { has_free_slot: true, timeout: None, ..query };
        prop_assert_eq!(evaluate(&query), SynDecision::Admit);
    }

    /// Guards against a class that is never admitted at some pressure and rank.
    #[test]
    fn test_no_class_starves(query in any_query()) {
        let admitted = (0..200u64).filter(|turn| {
            let query = SynQuery { flow_hash: query.flow_hash ^ turn, timeout: None, ..query };
            evaluate(&query) == SynDecision::Admit
        });
        prop_assert!(admitted.count() >= 5);
    }

    /// Guards against a less urgent class that is admitted where a more urgent one is not.
    #[test]
    fn test_more_urgent_classes_are_admitted_first(query in any_query()) {
        prop_assume!(query.demand_rank > 0 && evaluate(&query) == SynDecision::Admit);
        let urgent = SynQuery { demand_rank: query.demand_rank - 1, ..query };
        prop_assert_eq!(evaluate(&urgent), SynDecision::Admit);
    }

    /// Guards against deferral of the last transmission, after which the caller sends no other SYN
    /// and cannot tell the deferral from a lost packet.
    #[test]
    fn test_last_retransmissions_are_never_deferred(query in any_query()) {
        let decision = evaluate(&query);
        prop_assert!(query.transmission < 2 || !matches!(decision, SynDecision::Defer(_)));
    }
}

#[test]
fn test_sample_value_is_the_same_on_every_host() {
    // Guards against a sample value that depends on the process or the build, since hosts of two
    // versions would then decide differently.
    let samples: Vec<u32> = (0..3)
        .map(|transmission| syn_sample(0x0123_4567, transmission))
        .collect();
    assert_eq!(samples, [337, 671, 318]);
    let mean = (0..10_000).map(|hash| syn_sample(hash, 0)).sum::<u32>() / 10_000;
    assert!((485..=515).contains(&mean), "{mean}");
}
