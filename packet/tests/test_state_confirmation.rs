//! Tests of which time counts as confirmed by the store.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy_packet::state::state_confirmation::ConfirmedSpan;
use lagoonproxy_packet::state::state_confirmation::StateConfirmation;

/// What happens to a host, with its time in milliseconds.
#[derive(Clone, Copy)]
enum ConfirmationEvent {
    /// It obtains its first state, or wakes up from a stall.
    Restart,
    /// The store responds, as of this time.
    Confirm,
    /// A call fails.
    Fail,
    /// It gets the span of its reader that starts at this time and ends now.
    Follow { since_ms: u64 },
}

#[test]
fn test_confirmed_time() {
    // Guards against a time that counts as confirmed though the store did not respond in it, or did
    // so for another state.
    use ConfirmationEvent::Confirm;
    use ConfirmationEvent::Fail;
    use ConfirmationEvent::Follow;
    use ConfirmationEvent::Restart;
    struct Case {
        name: &'static str,
        events: &'static [(u64, ConfirmationEvent)],
        /// The time at which the question is asked.
        now_ms: u64,
        /// The longest time in seconds that counts as confirmed; `None` if the state is not current.
        confirmed_s: Option<u64>,
    }
    let cases = [
        Case {
            name: "no state",
            events: &[(1000, Confirm), (2000, Confirm)],
            now_ms: 2000,
            confirmed_s: None,
        },
        Case {
            name: "no response",
            events: &[(1000, Restart)],
            now_ms: 9000,
            confirmed_s: None,
        },
        Case {
            name: "one response",
            events: &[(1000, Restart), (1000, Confirm)],
            now_ms: 5000,
            confirmed_s: Some(0),
        },
        Case {
            name: "responses without a gap",
            events: &[
                (1000, Restart),
                (2000, Confirm),
                (3500, Confirm),
                (5000, Confirm),
            ],
            now_ms: 6000,
            confirmed_s: Some(3),
        },
        Case {
            name: "responses with a gap",
            events: &[
                (1000, Restart),
                (2000, Confirm),
                (4500, Confirm),
                (5500, Confirm),
            ],
            now_ms: 6000,
            confirmed_s: Some(1),
        },
        Case {
            name: "a failed call between responses",
            events: &[
                (1000, Restart),
                (2000, Confirm),
                (2500, Fail),
                (3000, Confirm),
            ],
            now_ms: 3000,
            confirmed_s: Some(0),
        },
        Case {
            name: "a call that was sent before a stall",
            events: &[(5000, Restart), (4000, Confirm)],
            now_ms: 5000,
            confirmed_s: None,
        },
        Case {
            name: "long ago",
            events: &[(1000, Restart), (2000, Confirm)],
            now_ms: 8000,
            confirmed_s: None,
        },
        Case {
            name: "the reader's span",
            events: &[(1000, Restart), (8000, Follow { since_ms: 2000 })],
            now_ms: 8000,
            confirmed_s: Some(6),
        },
        Case {
            name: "the reader's span before the own state",
            events: &[(5000, Restart), (8000, Follow { since_ms: 2000 })],
            now_ms: 8000,
            confirmed_s: Some(3),
        },
        Case {
            name: "a reader whose span has started anew",
            events: &[
                (1000, Restart),
                (8000, Follow { since_ms: 2000 }),
                (9000, Follow { since_ms: 8500 }),
            ],
            now_ms: 9000,
            confirmed_s: Some(0),
        },
    ];
    for case in cases {
        let start = Instant::now();
        let at = |millis| start + Duration::from_millis(millis);
        let mut confirmation = StateConfirmation::default();
        for (millis, event) in case.events {
            match event {
                Restart => confirmation.restart(at(*millis)),
                Confirm => confirmation.confirm(at(*millis)),
                Fail => confirmation.interrupt(),
                Follow { since_ms } => confirmation.follow(ConfirmedSpan {
                    since: at(*since_ms),
                    confirmed_at: at(*millis),
                }),
            }
        }
        let now = at(case.now_ms);
        let longest = (0..30)
            .rev()
            .find(|seconds| confirmation.is_confirmed_for(now, Duration::from_secs(*seconds)));
        assert_eq!(longest, case.confirmed_s, "{}", case.name);
    }
}

#[test]
fn test_report_never_lengthens_a_span() {
    // Guards against a follower that takes a time for confirmed that its reader does not.
    let now = Instant::now() + Duration::from_secs(1000);
    for (since_s, confirmed_s) in [(0, 0), (5, 1), (900, 1), (900, 30)] {
        let span = ConfirmedSpan {
            since: now - Duration::from_secs(since_s),
            confirmed_at: now - Duration::from_secs(confirmed_s),
        };
        let later = now + Duration::from_millis(3);
        let received = span.report(now).span(later).expect("a plausible span");
        assert!(
            received.length() <= span.length(),
            "{since_s}, {confirmed_s}"
        );
        assert_eq!(received.confirmed_at, span.confirmed_at + (later - now));
    }
}
