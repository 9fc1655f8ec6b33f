//! Tests of the source of a starting host's first state.

use std::net::Ipv4Addr;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy_packet::state::start_plan::StartPlan;
use lagoonproxy_packet::state::store_feed::ListProgress;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// An event during the start of a host, with its time in milliseconds after the start.
enum StartEvent {
    /// A state was requested from a peer.
    Requested(u64),
    /// The peer sent no state.
    Refused(u64),
    /// The listing was too slow and was abandoned.
    Abandoned(u64),
}

#[test]
fn test_when_the_list_is_read() {
    struct Case {
        name: &'static str,
        has_seeds: bool,
        events: &'static [StartEvent],
        /// Earliest and latest time of the listing, in milliseconds after the start.
        list_ms: (u64, u64),
    }
    let cases = [
        Case {
            name: "no seeds",
            has_seeds: false,
            events: &[],
            list_ms: (0, 0),
        },
        Case {
            name: "no reply to the hello",
            has_seeds: true,
            events: &[],
            list_ms: (20, 50),
        },
        Case {
            name: "a peer does not reply",
            has_seeds: true,
            events: &[StartEvent::Requested(10)],
            list_ms: (250, 400),
        },
        Case {
            name: "several peers in turn do not reply",
            has_seeds: true,
            events: &[
                StartEvent::Requested(10),
                StartEvent::Requested(300),
                StartEvent::Requested(600),
            ],
            list_ms: (700, 900),
        },
        Case {
            name: "the peer has no state",
            has_seeds: true,
            events: &[StartEvent::Requested(10), StartEvent::Refused(40)],
            list_ms: (40, 60),
        },
        Case {
            name: "the listing is too slow and no peer is found",
            has_seeds: true,
            events: &[StartEvent::Abandoned(130)],
            list_ms: (700, 1800),
        },
        Case {
            name: "busy peers do not make a host list again early",
            has_seeds: true,
            events: &[
                StartEvent::Abandoned(130),
                StartEvent::Requested(200),
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
            let _waits = plan.list_deferred_until(start, case.has_seeds);
            match event {
                StartEvent::Requested(at) => plan.state_requested(start + millis(*at)),
                StartEvent::Refused(at) => plan.state_refused(start + millis(*at)),
                StartEvent::Abandoned(at) => plan.list_abandoned(start + millis(*at)),
            }
        }
        while let Some(until) = plan.list_deferred_until(list_at, case.has_seeds) {
            list_at = until;
        }
        let waited = list_at - start;
        let (least, most) = case.list_ms;
        let is_in_time = (millis(least)..=millis(most)).contains(&waited);
        assert!(is_in_time, "{}: {waited:?}", case.name);
    }
}

#[test]
fn test_few_hosts_keep_listing() {
    // Guards against a listing that all hosts abandon, or that one host abandons twice.
    let mut keep_listing = 0;
    for number in 0..=255 {
        let mut plan = StartPlan::new(Ipv4Addr::new(10, 1, 0, number));
        keep_listing += usize::from(plan.progress_check_after(true).is_none());
        plan.list_abandoned(Instant::now());
        assert_eq!(
            plan.progress_check_after(true),
            None,
            "it has already abandoned a listing"
        );
    }
    assert!(
        (16..=64).contains(&keep_listing),
        "{keep_listing} of 256 keep listing"
    );
    let without_seeds = StartPlan::new(Ipv4Addr::new(10, 1, 0, 1));
    assert_eq!(
        without_seeds.progress_check_after(false),
        None,
        "no other host could send the state"
    );
}

#[test]
fn test_which_listings_are_too_slow() {
    // Guards against abandoning a listing that would end before a peer is found.
    struct Case {
        name: &'static str,
        progress: ListProgress,
        is_too_slow: bool,
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
            is_too_slow: false,
        },
        Case {
            name: "done in 1.4 s",
            progress: progress(27_000, Some(470_000)),
            is_too_slow: true,
        },
        Case {
            name: "nothing received",
            progress: progress(0, Some(470_000)),
            is_too_slow: true,
        },
        Case {
            name: "unknown size",
            progress: progress(27_000, None),
            is_too_slow: false,
        },
    ];
    for case in cases {
        let is_too_slow = StartPlan::is_list_too_slow(&case.progress);
        assert_eq!(is_too_slow, case.is_too_slow, "{}", case.name);
    }
}
