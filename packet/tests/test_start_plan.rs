//! Tests of where a host that starts takes its first state from.

use std::net::Ipv4Addr;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy_packet::state::start_plan::StartPlan;
use lagoonproxy_packet::state::store_feed::ListProgress;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// What happens to a host that starts, and when.
enum StartEvent {
    /// A peer was asked.
    Asked(u64),
    /// The peer had nothing to give.
    Refused(u64),
    /// The list came in slowly and was left.
    Yielded(u64),
}

#[test]
fn test_when_the_list_is_read() {
    struct Case {
        name: &'static str,
        greets: bool,
        events: &'static [StartEvent],
        /// Earliest and latest time of the list after the start.
        list_ms: (u64, u64),
    }
    let cases = [
        Case {
            name: "nobody to greet",
            greets: false,
            events: &[],
            list_ms: (0, 0),
        },
        Case {
            name: "nobody answers a greeting",
            greets: true,
            events: &[],
            list_ms: (20, 50),
        },
        Case {
            name: "a peer is asked and is silent",
            greets: true,
            events: &[StartEvent::Asked(10)],
            list_ms: (250, 400),
        },
        Case {
            name: "one peer after the other is silent",
            greets: true,
            events: &[
                StartEvent::Asked(10),
                StartEvent::Asked(300),
                StartEvent::Asked(600),
            ],
            list_ms: (700, 900),
        },
        Case {
            name: "the peer has nothing",
            greets: true,
            events: &[StartEvent::Asked(10), StartEvent::Refused(40)],
            list_ms: (40, 60),
        },
        Case {
            name: "the list is crowded and nobody is found",
            greets: true,
            events: &[StartEvent::Yielded(130)],
            list_ms: (700, 1800),
        },
        Case {
            name: "peers that serve others do not drive a host back into the crowd",
            greets: true,
            events: &[
                StartEvent::Yielded(130),
                StartEvent::Asked(200),
                StartEvent::Refused(210),
            ],
            list_ms: (700, 1800),
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut plan = StartPlan::new(Ipv4Addr::new(10, 1, 0, 1));
        let mut list_at = start;
        for event in case.events {
            let _waits = plan.waits_until(start, case.greets);
            match event {
                StartEvent::Asked(at) => plan.asked(start + millis(*at)),
                StartEvent::Refused(at) => plan.refused(start + millis(*at)),
                StartEvent::Yielded(at) => plan.yielded(start + millis(*at)),
            }
        }
        while let Some(until) = plan.waits_until(list_at, case.greets) {
            list_at = until;
        }
        let waited = list_at - start;
        let (least, most) = case.list_ms;
        let in_time = (millis(least)..=millis(most)).contains(&waited);
        assert!(in_time, "{}: {waited:?}", case.name);
    }
}

#[test]
fn test_few_stay_in_a_crowd() {
    // Guards against a listing that everybody abandons, or that one host abandons twice.
    let mut stay = 0;
    for number in 0..=255 {
        let mut plan = StartPlan::new(Ipv4Addr::new(10, 1, 0, number));
        stay += usize::from(plan.look_after(true).is_none());
        plan.yielded(Instant::now());
        assert_eq!(plan.look_after(true), None, "it has left once");
    }
    assert!((16..=64).contains(&stay), "{stay} of 256 stay");
    let alone = StartPlan::new(Ipv4Addr::new(10, 1, 0, 1));
    assert_eq!(alone.look_after(false), None, "nobody else could have it");
}

#[test]
fn test_which_lists_are_crowded() {
    // Guards against short listings that are abandoned for a peer that would be slower.
    struct Case {
        name: &'static str,
        progress: ListProgress,
        crowded: bool,
    }
    let progress = |received, total| ListProgress {
        received,
        total,
        elapsed: millis(80),
    };
    let cases = [
        Case {
            name: "done in half a second at this speed",
            progress: progress(37_000, Some(235_000)),
            crowded: false,
        },
        Case {
            name: "done in 1.4 s",
            progress: progress(27_000, Some(470_000)),
            crowded: true,
        },
        Case {
            name: "nothing has come",
            progress: progress(0, Some(470_000)),
            crowded: true,
        },
        Case {
            name: "nobody knows how much is to come",
            progress: progress(27_000, None),
            crowded: false,
        },
    ];
    for case in cases {
        let crowded = StartPlan::is_crowded(&case.progress);
        assert_eq!(crowded, case.crowded, "{}", case.name);
    }
}
