//! Tests of which SYNs of a contended service are admitted, deferred or refused, judged by what callers get.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::admission::class_admission::ClassAdmissionConfig;
use lagoonproxy_packet::admission::class_admission::SynQuery;
use lagoonproxy_packet::admission::class_admission::SynVerdict;
use lagoonproxy_packet::admission::class_admission::WHOLE_SHARE;
use lagoonproxy_packet::admission::class_admission::judge_syn;
use lagoonproxy_packet::admission::class_admission::syn_draw;
use lagoonproxy_packet::admission::class_demand::ClassDemand;
use lagoonproxy_packet::admission::class_demand::DemandRank;
use lagoonproxy_packet::load::service_room::ServiceRoom;
use lagoonproxy_packet::routes::route_config::RequestPriority;
use lagoonproxy_packet::routes::route_table::RequestClass;
use proptest::prelude::*;

const QUEUE_FULL: SynVerdict = SynVerdict::Defer(ResultCode::QueueFull);
const PRIORITY_REFUSED: SynVerdict = SynVerdict::Refuse(ResultCode::PriorityRefused);
const FAIR_SHARE: SynVerdict = SynVerdict::Refuse(ResultCode::FairShareExceeded);
const DEADLINE_PASSED: SynVerdict = SynVerdict::Refuse(ResultCode::DeadlinePassed);

/// Flows of each load case.
const FLOWS: u64 = 2000;

fn room(pressure: u32) -> ServiceRoom {
    ServiceRoom {
        pressure,
        is_contended: true,
        updated_at: None,
    }
}

/// The first SYN of a class at a pressure, with an objective of 250 ms and a timeout of 3 s.
fn query(pressure: u32, demand_rank: u8, demanding_classes: u8) -> SynQuery {
    SynQuery {
        room: room(pressure),
        pressure,
        class: RequestClass {
            rank: demand_rank,
            classes: demanding_classes,
            priority: RequestPriority(u32::from(demand_rank)),
        },
        demand_rank,
        demanding_classes,
        copy: 0,
        flow_hash: 1,
        placed_before: false,
        deferred_before: true,
        has_free_slot: false,
        is_heavy_caller: false,
        target: Some(Duration::from_millis(250)),
        timeout: Some(Duration::from_secs(3)),
    }
}

/// A flow hash whose draw for a copy is the largest, so that it is admitted only if all are.
fn last_hash(copy: u32) -> u64 {
    let hash = (0..).find(|hash| syn_draw(*hash, copy) == WHOLE_SHARE - 1);
    hash.expect("some hash has it")
}

fn judge(query: &SynQuery) -> SynVerdict {
    judge_syn(&ClassAdmissionConfig::default(), query)
}

/// How many of [`FLOWS`] flows are admitted with a copy that is like `query`, in thousandths.
fn admitted_share(query: SynQuery) -> u64 {
    let admitted = (0..FLOWS).filter(|flow_hash| {
        let query = SynQuery {
            flow_hash: flow_hash.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            ..query
        };
        judge(&query) == SynVerdict::Admit
    });
    admitted.count() as u64 * 1000 / FLOWS
}

#[test]
fn test_a_class_is_admitted_by_its_rank_and_the_pressure() {
    // Guards against urgent requests that are deferred as early as others, and classes that starve.
    struct Case {
        name: &'static str,
        pressure: u32,
        /// Admitted shares by rank, in thousandths.
        expected: &'static [u64],
    }
    let cases = [
        Case {
            name: "contended, but hardly",
            pressure: 1750,
            expected: &[1000, 1000, 1000],
        },
        Case {
            name: "burst of the least urgent class",
            pressure: 2625,
            expected: &[1000, 1000, 550],
        },
        Case {
            name: "burst of all classes",
            pressure: 5875,
            expected: &[1000, 550, 100],
        },
        Case {
            name: "the most urgent class exceeds the room alone",
            pressure: 9125,
            expected: &[550, 100, 100],
        },
        Case {
            name: "room that halved within a second",
            pressure: 12_000,
            expected: &[100, 100, 100],
        },
        Case {
            name: "only class: all priorities equal, or none published",
            pressure: 3500,
            expected: &[550],
        },
        Case {
            name: "only class, hardly contended",
            pressure: 2500,
            expected: &[1000],
        },
        Case {
            name: "a service with one slot that has one request in progress and one in the queue",
            pressure: 2000,
            expected: &[1000, 871],
        },
        Case {
            name: "the same with two in the queue",
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
                "{}, rank {rank}: {share} for {expected}",
                case.name
            );
        }
    }
}

#[test]
fn test_what_a_caller_gets_that_is_not_drawn() {
    struct Case {
        name: &'static str,
        query: SynQuery,
        expected: SynVerdict,
    }
    let base = query(3500, 1, 2);
    let copy = |copy: u32| SynQuery { copy, ..base };
    let millis = |millis: u64| Some(Duration::from_millis(millis));
    let cases = [
        Case {
            name: "first copy, and the next comes within the objective",
            query: base,
            expected: QUEUE_FULL,
        },
        Case {
            name: "first copy, and the next comes after the objective but before the timeout",
            query: SynQuery {
                target: millis(150),
                ..base
            },
            expected: QUEUE_FULL,
        },
        Case {
            name: "first copy, and the next comes after the objective and the timeout",
            query: SynQuery {
                target: millis(150),
                timeout: millis(200),
                ..base
            },
            expected: PRIORITY_REFUSED,
        },
        Case {
            name: "first copy without an objective or a timeout",
            query: SynQuery {
                target: None,
                timeout: None,
                ..base
            },
            expected: QUEUE_FULL,
        },
        Case {
            name: "second copy, and the last comes after the objective",
            query: SynQuery {
                target: millis(500),
                pressure: 9000,
                ..copy(1)
            },
            expected: PRIORITY_REFUSED,
        },
        Case {
            name: "second copy, and the last comes within the objective",
            query: SynQuery {
                target: millis(1500),
                pressure: 9000,
                ..copy(1)
            },
            expected: QUEUE_FULL,
        },
        Case {
            name: "second copy without an objective",
            query: SynQuery {
                target: None,
                pressure: 9000,
                ..copy(1)
            },
            expected: QUEUE_FULL,
        },
        Case {
            name: "last copy",
            query: copy(2),
            expected: PRIORITY_REFUSED,
        },
        Case {
            name: "a copy that callers do not send",
            query: copy(u32::MAX),
            expected: PRIORITY_REFUSED,
        },
        Case {
            name: "last copy of a flow that another host may have opened",
            query: SynQuery {
                deferred_before: false,
                ..copy(2)
            },
            expected: SynVerdict::Admit,
        },
        Case {
            name: "second copy of a flow that another host may have opened, while the next is in time",
            query: SynQuery {
                deferred_before: false,
                target: millis(1500),
                pressure: 9000,
                ..copy(1)
            },
            expected: QUEUE_FULL,
        },
        Case {
            name: "a flow that this host has placed",
            query: SynQuery {
                placed_before: true,
                deferred_before: false,
                ..copy(1)
            },
            expected: SynVerdict::Admit,
        },
        Case {
            name: "a free slot is known",
            query: SynQuery {
                has_free_slot: true,
                is_heavy_caller: true,
                ..base
            },
            expected: SynVerdict::Admit,
        },
        Case {
            name: "older than the timeout, though a slot is free",
            query: SynQuery {
                timeout: millis(500),
                has_free_slot: true,
                ..copy(2)
            },
            expected: DEADLINE_PASSED,
        },
        Case {
            name: "older than the timeout, and another host may have opened the flow",
            query: SynQuery {
                timeout: millis(500),
                deferred_before: false,
                ..copy(2)
            },
            expected: SynVerdict::Admit,
        },
        Case {
            name: "hot caller at a pressure at which its class is admitted",
            query: SynQuery {
                pressure: 1750,
                is_heavy_caller: true,
                ..base
            },
            expected: QUEUE_FULL,
        },
        Case {
            name: "last copy of a hot caller at that pressure",
            query: SynQuery {
                pressure: 1750,
                is_heavy_caller: true,
                ..copy(2)
            },
            expected: FAIR_SHARE,
        },
        Case {
            name: "last copy of a hot caller at a pressure at which others are refused as well",
            query: SynQuery {
                is_heavy_caller: true,
                ..copy(2)
            },
            expected: PRIORITY_REFUSED,
        },
        Case {
            name: "others beside the hot caller",
            query: SynQuery {
                pressure: 1750,
                ..base
            },
            expected: SynVerdict::Admit,
        },
    ];
    for case in cases {
        let query = SynQuery {
            flow_hash: last_hash(case.query.copy),
            ..case.query
        };
        assert_eq!(judge(&query), case.expected, "{}", case.name);
    }
}

#[test]
fn test_callers_that_have_waited_go_first() {
    // Guards against a rush after a return in which copies wait behind the first SYNs of later callers.
    struct Case {
        name: &'static str,
        copy: u32,
        target_ms: Option<u64>,
        expected: u64,
    }
    let cases = [
        Case {
            name: "first copy",
            copy: 0,
            target_ms: Some(1500),
            expected: 100,
        },
        Case {
            name: "second copy",
            copy: 1,
            target_ms: Some(1500),
            expected: 486,
        },
        Case {
            name: "last copy",
            copy: 2,
            target_ms: Some(1500),
            expected: 871,
        },
        Case {
            name: "last copy without an objective",
            copy: 2,
            target_ms: None,
            expected: 871,
        },
        Case {
            name: "last copy that is late",
            copy: 2,
            target_ms: Some(600),
            expected: 100,
        },
    ];
    for case in cases {
        let query = SynQuery {
            copy: case.copy,
            target: case.target_ms.map(Duration::from_millis),
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
    // Guards against an unused priority that moves the ramps of the others.
    struct Case {
        name: &'static str,
        /// Rank and milliseconds since the last demand of each class.
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
        |((pressure, copy, flow_hash), (rank, classes), flags, target, timeout)| SynQuery {
            copy,
            flow_hash,
            placed_before: flags[0],
            deferred_before: flags[1],
            has_free_slot: flags[2],
            is_heavy_caller: flags[3],
            target: target.map(Duration::from_millis),
            timeout: timeout.map(Duration::from_millis),
            ..query(pressure, rank, classes)
        },
    )
}

proptest! {
    /// Guards against a reset of a flow that may be open.
    #[test]
    fn test_no_flow_that_may_be_open_is_refused(query in any_query()) {
        let may_be_open = query.placed_before || !query.deferred_before;
        let refused = matches!(judge(&query), SynVerdict::Refuse(_));
        prop_assert!(!(may_be_open && refused));
    }

    /// Guards against callers that wait or are refused while a slot is idle.
    #[test]
    fn test_nobody_waits_while_a_slot_is_free(query in any_query()) {
        let query = SynQuery { has_free_slot: true, timeout: None, ..query };
        prop_assert_eq!(judge(&query), SynVerdict::Admit);
    }

    /// Guards against a class that is never admitted, whatever the pressure and its rank.
    #[test]
    fn test_no_class_starves(query in any_query()) {
        let admitted = (0..200u64).filter(|turn| {
            let query = SynQuery { flow_hash: query.flow_hash ^ turn, timeout: None, ..query };
            judge(&query) == SynVerdict::Admit
        });
        prop_assert!(admitted.count() >= 5);
    }

    /// Guards against a less urgent class that is admitted where a more urgent one is not.
    #[test]
    fn test_more_urgent_classes_are_admitted_first(query in any_query()) {
        prop_assume!(query.demand_rank > 0 && judge(&query) == SynVerdict::Admit);
        let urgent = SynQuery { demand_rank: query.demand_rank - 1, ..query };
        prop_assert_eq!(judge(&urgent), SynVerdict::Admit);
    }

    /// Guards against refusals that callers cannot tell from a lost packet, and deferrals without a next copy.
    #[test]
    fn test_only_copies_that_have_a_next_one_are_deferred(query in any_query()) {
        let verdict = judge(&query);
        prop_assert!(query.copy < 2 || !matches!(verdict, SynVerdict::Defer(_)));
    }
}

#[test]
fn test_the_draw_is_the_same_on_every_host() {
    // Guards against a draw that depends on the process or the build: hosts of two versions would differ.
    let draws: Vec<u32> = (0..3).map(|copy| syn_draw(0x0123_4567, copy)).collect();
    assert_eq!(draws, [337, 671, 318]);
    let mean = (0..10_000).map(|hash| syn_draw(hash, 0)).sum::<u32>() / 10_000;
    assert!((485..=515).contains(&mean), "{mean}");
}
