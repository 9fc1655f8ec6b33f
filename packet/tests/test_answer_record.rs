//! Tests of what makes an upstream failing, and of how long.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy_packet::health::answer_record::AnswerCounts;
use lagoonproxy_packet::health::answer_record::AnswerRecord;
use lagoonproxy_packet::health::answer_record::AnswerSize;
use lagoonproxy_packet::policy_config::OutlierConfig;

#[test]
fn test_share_of_failed_requests_decides() {
    struct Case {
        name: &'static str,
        served: u32,
        failed: u32,
        elsewhere: AnswerCounts,
        failing: bool,
    }
    let none = AnswerCounts::default();
    let cases = [
        Case {
            name: "serves all",
            served: 40,
            failed: 0,
            elsewhere: none,
            failing: false,
        },
        Case {
            name: "two lost packets are no failure",
            served: 0,
            failed: 2,
            elsewhere: none,
            failing: false,
        },
        Case {
            name: "serves nobody",
            served: 0,
            failed: 3,
            elsewhere: none,
            failing: true,
        },
        Case {
            name: "fails two of five",
            served: 12,
            failed: 8,
            elsewhere: none,
            failing: true,
        },
        Case {
            name: "sheds a tenth",
            served: 27,
            failed: 3,
            elsewhere: none,
            failing: false,
        },
        Case {
            name: "the zone has seen enough, this host alone has not",
            served: 0,
            failed: 1,
            elsewhere: AnswerCounts {
                served: 1,
                failed: 4,
            },
            failing: true,
        },
        Case {
            name: "it serves the others of the zone",
            served: 0,
            failed: 3,
            elsewhere: AnswerCounts {
                served: 30,
                failed: 0,
            },
            failing: false,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut record = AnswerRecord::default();
        (0..case.served).for_each(|_request| record.served(now));
        (0..case.failed).for_each(|_request| record.erred(now));
        record.add_elsewhere(case.elsewhere);
        assert_eq!(
            record.evaluate(&OutlierConfig::default(), now),
            case.failing,
            "{}: changes",
            case.name
        );
        assert_eq!(record.is_failing(), case.failing, "{}", case.name);
    }
}

#[test]
fn test_upstream_that_stopped_answering_is_judged_by_what_came_after() {
    // Guards against earlier successes that hide an upstream that hangs now.
    struct Case {
        name: &'static str,
        served_at: u64,
        failing: bool,
    }
    let cases = [
        Case {
            name: "nothing was served after the requests were sent",
            served_at: 90,
            failing: true,
        },
        Case {
            name: "others are served meanwhile",
            served_at: 300,
            failing: false,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let at = |millis| start + Duration::from_millis(millis);
        let mut record = AnswerRecord::default();
        (0..60).for_each(|_request| record.served(at(case.served_at)));
        (0..3).for_each(|_request| record.unanswered(at(600), at(100)));
        record.evaluate(&OutlierConfig::default(), at(600));
        assert_eq!(record.is_failing(), case.failing, "{}", case.name);
    }
}

#[test]
fn test_failing_ends_with_answers_or_in_time() {
    // Guards against an upstream without flows that stays ejected for good.
    struct Case {
        name: &'static str,
        served_after: Option<u64>,
        back_after: u64,
    }
    let cases = [
        Case {
            name: "a flow is answered once the failed ones are past",
            served_after: Some(2100),
            back_after: 2100,
        },
        Case {
            name: "nobody asks it",
            served_after: None,
            back_after: 7000,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut record = AnswerRecord::default();
        (0..4).for_each(|_request| record.erred(start));
        let mut back = None;
        for millis in (0..10_000).step_by(100) {
            let now = start + Duration::from_millis(millis);
            if case.served_after == Some(millis) {
                record.served(now);
            }
            record.evaluate(&OutlierConfig::default(), now);
            if !record.is_failing() {
                back = back.or(Some(millis));
            }
        }
        let back = back.expect(case.name);
        let early = case.served_after.unwrap_or(5000);
        assert!(
            (early..=case.back_after).contains(&back),
            "{}: {back}",
            case.name
        );
    }
}

#[test]
fn test_short_answers_are_told_by_their_route() {
    struct Case {
        name: &'static str,
        usual: &'static [u16],
        answer: u16,
        short: bool,
    }
    let cases = [
        Case {
            name: "an error page among lists",
            usual: &[1200, 2400, 3600, 700],
            answer: 160,
            short: true,
        },
        Case {
            name: "a receipt among receipts",
            usual: &[700, 800, 500, 900],
            answer: 300,
            short: false,
        },
        Case {
            name: "short answers are usual here",
            usual: &[150, 160],
            answer: 150,
            short: false,
        },
        Case {
            name: "longer than can be told",
            usual: &[u16::MAX],
            answer: u16::MAX,
            short: false,
        },
    ];
    for case in cases {
        let mut size = AnswerSize::default();
        assert!(
            !size.learn(&OutlierConfig::default(), case.answer),
            "{}: nothing to compare",
            case.name
        );
        for bytes in case.usual.iter().cycle().take(200) {
            assert!(
                !size.learn(&OutlierConfig::default(), *bytes),
                "{}: {bytes}",
                case.name
            );
        }
        assert_eq!(
            size.learn(&OutlierConfig::default(), case.answer),
            case.short,
            "{}",
            case.name
        );
    }
}
