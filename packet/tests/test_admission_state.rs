//! Tests of the state of admission by class: deferred flows, heavy callers, admission pressure and
//! the budget of hedges.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::admission::admission_pressure::AdmissionPressure;
use lagoonproxy_packet::admission::admission_state::AdmissionState;
use lagoonproxy_packet::admission::admission_state::SynArrival;
use lagoonproxy_packet::admission::caller_share::CallerShares;
use lagoonproxy_packet::admission::caller_share::MAX_TRACKED_CLASSES;
use lagoonproxy_packet::admission::caller_share::SHARE_WINDOW;
use lagoonproxy_packet::admission::class_admission::ClassAdmissionConfig;
use lagoonproxy_packet::admission::class_admission::FULL_SHARE;
use lagoonproxy_packet::admission::class_admission::SynDecision;
use lagoonproxy_packet::admission::class_admission::syn_sample;
use lagoonproxy_packet::admission::deferred_syns::DeferredSyns;
use lagoonproxy_packet::admission::deferred_syns::MAX_DEFERRED;
use lagoonproxy_packet::flows::flow_table::FlowKey;
use lagoonproxy_packet::load::load_state::ContentionState;
use lagoonproxy_packet::routes::route_config::RequestPriority;
use lagoonproxy_packet::routes::route_table::RequestClass;
use lagoonproxy_packet::selection::upstream_selection::SelectionQuery;
use lagoonproxy_packet::selection::upstream_selection::select_upstream;

use crate::core_rig::*;

const QUEUE_FULL: SynDecision = SynDecision::Defer(ResultCode::QueueFull);
const PRIORITY_REFUSED: SynDecision = SynDecision::Refuse(ResultCode::PriorityRefused);

fn key(number: u16) -> FlowKey {
    FlowKey {
        caller: caller(number),
        service: ledger(),
    }
}

/// A SYN of a service far above its capacity, with sample values above the minimum share.
fn syn(number: u16, transmission: u32) -> SynArrival {
    let is_high =
        |hash: &u64| (0..3).all(|transmission| syn_sample(*hash, transmission) >= FULL_SHARE / 2);
    SynArrival {
        key: key(number),
        flow_hash: (0..)
            .find(is_high)
            .expect("some hash has high sample values"),
        service: 0,
        contention: ContentionState {
            pressure: 30_000,
            is_contended: true,
            updated_at: None,
        },
        class: RequestClass {
            rank: 0,
            classes: 1,
            priority: RequestPriority::LEAST_URGENT,
        },
        transmission,
        placed_before: false,
        has_free_slot: false,
        objective: Some(Duration::from_secs(1)),
        timeout: Some(Duration::from_secs(3)),
    }
}

enum Step {
    /// A SYN with this transmission number arrives and gets this decision.
    Syn(u32, SynDecision),
    /// A SYN with this transmission number arrives while a slot is free.
    Placed(u32),
    /// So many milliseconds pass, followed by a tick.
    Elapse(u64),
    /// The process was stalled.
    Stall,
    /// First SYNs of other flows are deferred until the table is full.
    Fill,
}

#[test]
fn test_only_flows_that_are_not_open_are_refused() {
    // Guards against a reset of a flow that another host, or this one before a stall, has opened.
    struct Case {
        name: &'static str,
        steps: &'static [Step],
    }
    let cases = [
        Case {
            name: "deferred twice by this host",
            steps: &[
                Step::Syn(0, QUEUE_FULL),
                Step::Elapse(200),
                Step::Syn(1, QUEUE_FULL),
                Step::Elapse(400),
                Step::Syn(2, PRIORITY_REFUSED),
            ],
        },
        Case {
            name: "the first SYN went to another host",
            steps: &[
                Step::Syn(1, QUEUE_FULL),
                Step::Elapse(400),
                Step::Syn(2, SynDecision::Admit),
            ],
        },
        Case {
            name: "the first retransmission went to another host",
            steps: &[
                Step::Syn(0, QUEUE_FULL),
                Step::Elapse(600),
                Step::Syn(2, SynDecision::Admit),
            ],
        },
        Case {
            name: "the first retransmission was placed by this host, which no longer tracks the flow",
            steps: &[
                Step::Syn(0, QUEUE_FULL),
                Step::Elapse(200),
                Step::Placed(1),
                Step::Elapse(400),
                Step::Syn(2, SynDecision::Admit),
            ],
        },
        Case {
            name: "the network duplicated the first SYN, and the duplicate arrived after the first retransmission",
            steps: &[
                Step::Syn(0, QUEUE_FULL),
                Step::Syn(1, QUEUE_FULL),
                Step::Syn(0, QUEUE_FULL),
                Step::Elapse(400),
                Step::Syn(2, SynDecision::Admit),
            ],
        },
        Case {
            name: "the SYNs were deferred longer ago than callers wait",
            steps: &[
                Step::Syn(0, QUEUE_FULL),
                Step::Syn(1, QUEUE_FULL),
                Step::Elapse(1600),
                Step::Syn(2, SynDecision::Admit),
            ],
        },
        Case {
            name: "a stall between the SYNs",
            steps: &[
                Step::Syn(0, QUEUE_FULL),
                Step::Syn(1, QUEUE_FULL),
                Step::Stall,
                Step::Syn(2, SynDecision::Admit),
            ],
        },
        Case {
            name: "SYNs queued in the socket during a stall",
            steps: &[
                Step::Stall,
                Step::Syn(0, QUEUE_FULL),
                Step::Syn(1, QUEUE_FULL),
                Step::Syn(2, SynDecision::Admit),
                Step::Elapse(1600),
                Step::Syn(0, QUEUE_FULL),
                Step::Syn(1, QUEUE_FULL),
                Step::Syn(2, PRIORITY_REFUSED),
            ],
        },
        Case {
            name: "the table of deferred flows is full",
            steps: &[
                Step::Fill,
                Step::Syn(0, QUEUE_FULL),
                Step::Syn(1, QUEUE_FULL),
                Step::Syn(2, SynDecision::Admit),
            ],
        },
    ];
    for case in cases {
        let mut state = AdmissionState::new(ClassAdmissionConfig::default());
        let mut now = Instant::now();
        for step in case.steps {
            match step {
                Step::Syn(transmission, expected) => {
                    let decision = state.evaluate(now, &syn(1, *transmission)).1;
                    assert_eq!(
                        decision, *expected,
                        "{}, transmission {transmission}",
                        case.name
                    );
                }
                Step::Placed(transmission) => {
                    let mut syn = syn(1, *transmission);
                    syn.has_free_slot = true;
                    assert_eq!(state.evaluate(now, &syn).1, SynDecision::Admit);
                }
                Step::Elapse(millis) => {
                    now += Duration::from_millis(*millis);
                    state.tick(now);
                }
                Step::Stall => state.handle_stall(now),
                Step::Fill => {
                    for number in 100..100 + MAX_DEFERRED as u16 {
                        state.evaluate(now, &syn(number, 0));
                    }
                }
            }
        }
    }
}

#[test]
fn test_deferred_flows_are_bounded() {
    // Guards against unbounded memory use in a burst.
    let mut deferred = DeferredSyns::default();
    let now = Instant::now();
    for number in 0..10_000 {
        deferred.record(now, key(number), 0);
    }
    assert_eq!(deferred.len(), MAX_DEFERRED);
    deferred.tick(now + Duration::from_secs(2));
    assert!(deferred.is_empty());
}

#[test]
fn test_callers_with_far_more_flows_are_heavy() {
    // Guards against ordinary callers that are classified as heavy by chance, and against heavy
    // callers that are not detected.
    struct Case {
        name: &'static str,
        callers: u32,
        flows: u32,
        heavy_flows: u32,
        is_heavy: bool,
    }
    let cases = [
        Case {
            name: "ten times the flows of 19 others",
            callers: 19,
            flows: 4,
            heavy_flows: 40,
            is_heavy: true,
        },
        Case {
            name: "three times those of 99 others",
            callers: 99,
            flows: 4,
            heavy_flows: 12,
            is_heavy: false,
        },
        Case {
            name: "one flow, among many callers with one flow each",
            callers: 500,
            flows: 1,
            heavy_flows: 1,
            is_heavy: false,
        },
        Case {
            name: "one of two callers",
            callers: 1,
            flows: 1,
            heavy_flows: 3,
            is_heavy: false,
        },
        Case {
            name: "the only caller",
            callers: 0,
            flows: 0,
            heavy_flows: 100,
            is_heavy: false,
        },
    ];
    for case in cases {
        let mut shares = CallerShares::default();
        let start = Instant::now();
        let address = |number: u32| Ipv4Addr::from_bits(0x6440_0000 + number);
        for number in 1..=case.callers {
            for flow in 0..case.flows {
                let at = start + Duration::from_millis(u64::from(flow) * 900);
                shares.record_flow(at, 3, 1, address(number));
            }
        }
        for _flow in 0..case.heavy_flows {
            shares.record_flow(start + Duration::from_secs(4), 3, 1, address(0));
        }
        let heavy = |shares: &CallerShares, rank| shares.is_heavy(3, rank, address(0));
        assert_eq!(heavy(&shares, 1), case.is_heavy, "{}", case.name);
        assert!(!shares.is_heavy(3, 1, address(1)), "{}", case.name);
        assert!(!heavy(&shares, 0), "{}: another class", case.name);
        shares.tick(start + SHARE_WINDOW);
        assert_eq!(
            heavy(&shares, 1),
            case.is_heavy,
            "{}: next window",
            case.name
        );
        shares.tick(start + SHARE_WINDOW * 2);
        assert!(!heavy(&shares, 1), "{}: two windows later", case.name);
    }
}

#[test]
fn test_callers_of_few_classes_are_tracked() {
    // Guards against unbounded memory use on a host with many contended classes.
    let mut shares = CallerShares::default();
    let now = Instant::now();
    let tracked = MAX_TRACKED_CLASSES as u32;
    for service in 0..=tracked {
        for number in 0..20 {
            let flows = if number == 0 { 50 } else { 1 };
            for _flow in 0..flows {
                shares.record_flow(now, service, 0, Ipv4Addr::from_bits(number));
            }
        }
    }
    let heavy_caller = Ipv4Addr::from_bits(0);
    assert!(shares.is_heavy(tracked - 1, 0, heavy_caller));
    assert!(!shares.is_heavy(tracked, 0, heavy_caller));
}

#[test]
fn test_hedges_stay_within_their_budget() {
    // Guards against hedges that use up the capacity of a contended service.
    let mut state = AdmissionState::new(ClassAdmissionConfig::default());
    let now = Instant::now();
    let spent = |state: &mut AdmissionState| (0..100).filter(|_| state.spend_hedge()).count();
    assert_eq!(spent(&mut state), 10, "the burst");
    for number in 0..50 {
        let mut syn = syn(number, 0);
        syn.has_free_slot = true;
        state.evaluate(now, &syn);
    }
    assert!((4..=5).contains(&spent(&mut state)), "one per ten flows");
    for number in 100..200 {
        state.evaluate(now, &syn(number, 0));
    }
    assert_eq!(spent(&mut state), 0, "deferred flows add no hedges");
}

#[test]
fn test_hedges_to_healthy_upstreams_stop_under_contention() {
    struct Case {
        name: &'static str,
        is_proven: bool,
        is_contended: bool,
        is_hedged: bool,
    }
    let cases = [
        Case {
            name: "healthy upstreams, not contended",
            is_proven: true,
            is_contended: false,
            is_hedged: true,
        },
        Case {
            name: "healthy upstreams, contended",
            is_proven: true,
            is_contended: true,
            is_hedged: false,
        },
        Case {
            name: "unproven upstreams, contended",
            is_proven: false,
            is_contended: true,
            is_hedged: true,
        },
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1, 2]);
        for flow in 0..if case.is_proven { 6 } else { 0 } {
            rig.establish(flow);
        }
        let upstreams = rig.core.upstreams();
        let query = SelectionQuery {
            now: rig.now,
            service: upstreams.records().next().expect("two upstreams").service,
            flow_hash: 1,
            local_hosts: 1,
            tried: &[],
            contention: ContentionState {
                is_contended: case.is_contended,
                ..Default::default()
            },
            spill_zone: None,
        };
        let selection = select_upstream(upstreams, query).expect("two upstreams");
        assert_eq!(selection.second.is_some(), case.is_hedged, "{}", case.name);
    }
}

#[test]
fn test_admission_pressure_follows_the_capacity() {
    // Guards against admitted shares that follow the mean pressure of the last second and
    // overshoot.
    struct Case {
        name: &'static str,
        /// First SYNs per second.
        offered: u32,
        /// Service pressure in each quarter of a second.
        service_pressures: &'static [u32],
        /// Admitted share of the only class at the end.
        expected: std::ops::RangeInclusive<u32>,
    }
    let cases = [
        Case {
            name: "no flows counted: service pressure",
            offered: 0,
            service_pressures: &[3500],
            expected: 550..=550,
        },
        Case {
            name: "slots are free",
            offered: 400,
            service_pressures: &[800],
            expected: 1000..=1000,
        },
        Case {
            name: "requests wait, but none is shed",
            offered: 400,
            service_pressures: &[1900],
            expected: 1000..=1000,
        },
        Case {
            name: "a tenth of the requests is shed",
            offered: 400,
            service_pressures: &[4000],
            expected: 870..=890,
        },
        Case {
            name: "a tenth of the requests is shed, with few flows",
            offered: 4,
            service_pressures: &[4000],
            expected: 860..=900,
        },
        Case {
            name: "half of the requests is shed: the rate at most halves",
            offered: 400,
            service_pressures: &[12_000],
            expected: 480..=520,
        },
        Case {
            name: "the admitted rate does not jump as soon as the pressure falls",
            offered: 400,
            service_pressures: &[12_000, 12_000, 1800, 1800, 1800, 1800],
            expected: 400..=700,
        },
        Case {
            name: "slots are free again",
            offered: 400,
            service_pressures: &[12_000, 12_000, 12_000, 400],
            expected: 1000..=1000,
        },
    ];
    let config = ClassAdmissionConfig::default();
    for case in cases {
        let mut pressure = AdmissionPressure::default();
        let mut now = Instant::now();
        let second = Duration::from_secs(1);
        for _syn in 0..case.offered * 2 {
            pressure.record(now, 0, 0);
            now += second / case.offered;
        }
        let mut share = 0;
        for service_pressure in case.service_pressures {
            let ramp = config.only_class;
            let derived = pressure.derive(now, *service_pressure, &config, |_rank| ramp);
            share = ramp.share(derived, config.minimum_share);
            for _syn in 0..case.offered / 4 {
                pressure.record(now, 0, 0);
                now += second / case.offered;
            }
        }
        assert!(case.expected.contains(&share), "{}: {share}", case.name);
    }
}

#[test]
fn test_one_heavy_caller_does_not_delay_the_others() {
    // Guards against a caller that opens ten times as many flows as others and gets ten times the
    // capacity.
    let mut state = AdmissionState::new(ClassAdmissionConfig::default());
    let now = Instant::now();
    let mut admitted = [0; 2];
    for turn in 0..4000u32 {
        let is_heavy_caller = turn % 2 == 0;
        let number = if is_heavy_caller {
            0
        } else {
            1 + turn / 2 % 40
        };
        let mut syn = syn(0, 0);
        let address = Ipv4Addr::from_bits(0x6440_0000 + number);
        syn.key.caller = SocketAddrV4::new(address, turn as u16);
        syn.flow_hash = u64::from(turn).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        syn.contention.pressure = 2500;
        let decision = state.evaluate(now, &syn).1;
        admitted[usize::from(is_heavy_caller)] += u32::from(decision == SynDecision::Admit);
    }
    assert_eq!(admitted[0], 2000, "other callers");
    assert!(admitted[1] < 1000, "heavy caller: {}", admitted[1]);
}
