//! Tests of the outlier detector: which request outcomes eject an upstream, and for how long.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy_packet::health::outlier_detector::OutcomeCounts;
use lagoonproxy_packet::health::outlier_detector::OutlierDetector;
use lagoonproxy_packet::health::outlier_detector::ResponseSizeMean;
use lagoonproxy_packet::policy_config::OutlierConfig;

#[test]
fn test_share_of_failed_requests_ejects() {
    struct Case {
        name: &'static str,
        served: u32,
        failed: u32,
        elsewhere: OutcomeCounts,
        failing: bool,
    }
    let none = OutcomeCounts::default();
    let cases = [
        Case {
            name: "all requests served",
            served: 40,
            failed: 0,
            elsewhere: none,
            failing: false,
        },
        Case {
            name: "two failures are below the minimum",
            served: 0,
            failed: 2,
            elsewhere: none,
            failing: false,
        },
        Case {
            name: "no request served",
            served: 0,
            failed: 3,
            elsewhere: none,
            failing: true,
        },
        Case {
            name: "two in five requests fail",
            served: 12,
            failed: 8,
            elsewhere: none,
            failing: true,
        },
        Case {
            name: "a tenth of the requests shed",
            served: 27,
            failed: 3,
            elsewhere: none,
            failing: false,
        },
        Case {
            name: "enough failures in the zone, too few through this host",
            served: 0,
            failed: 1,
            elsewhere: OutcomeCounts {
                served: 1,
                failed: 4,
            },
            failing: true,
        },
        Case {
            name: "requests through other hosts of the zone are served",
            served: 0,
            failed: 3,
            elsewhere: OutcomeCounts {
                served: 30,
                failed: 0,
            },
            failing: false,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut record = OutlierDetector::default();
        (0..case.served).for_each(|_request| record.record_served(now));
        (0..case.failed).for_each(|_request| record.record_error(now));
        record.add_peer_counts(case.elsewhere);
        assert_eq!(
            record.evaluate(&OutlierConfig::default(), now),
            case.failing,
            "{}: state change",
            case.name
        );
        assert_eq!(record.is_failing(), case.failing, "{}", case.name);
    }
}

#[test]
fn test_requests_served_before_a_timeout_do_not_count() {
    // Guards against earlier successes that hide an upstream that no longer responds.
    struct Case {
        name: &'static str,
        served_at: u64,
        failing: bool,
    }
    let cases = [
        Case {
            name: "no request served since the others were sent",
            served_at: 90,
            failing: true,
        },
        Case {
            name: "other requests served since then",
            served_at: 300,
            failing: false,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let at = |millis| start + Duration::from_millis(millis);
        let mut record = OutlierDetector::default();
        (0..60).for_each(|_request| record.record_served(at(case.served_at)));
        (0..3).for_each(|_request| record.record_timeout(at(600), at(100)));
        record.evaluate(&OutlierConfig::default(), at(600));
        assert_eq!(record.is_failing(), case.failing, "{}", case.name);
    }
}

#[test]
fn test_ejection_ends_with_served_requests_or_after_its_time() {
    // Guards against an upstream without flows that stays ejected forever.
    struct Case {
        name: &'static str,
        served_after: Option<u64>,
        latest_return: u64,
    }
    let cases = [
        Case {
            name: "a request is served after the window of the failures",
            served_after: Some(2100),
            latest_return: 2100,
        },
        Case {
            name: "no requests",
            served_after: None,
            latest_return: 7000,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut record = OutlierDetector::default();
        (0..4).for_each(|_request| record.record_error(start));
        let mut returned_at = None;
        for millis in (0..10_000).step_by(100) {
            let now = start + Duration::from_millis(millis);
            if case.served_after == Some(millis) {
                record.record_served(now);
            }
            record.evaluate(&OutlierConfig::default(), now);
            if !record.is_failing() {
                returned_at = returned_at.or(Some(millis));
            }
        }
        let returned_at = returned_at.expect(case.name);
        let earliest = case.served_after.unwrap_or(5000);
        assert!(
            (earliest..=case.latest_return).contains(&returned_at),
            "{}: {returned_at}",
            case.name
        );
    }
}

#[test]
fn test_short_responses_are_detected_by_the_usual_size() {
    struct Case {
        name: &'static str,
        usual_sizes: &'static [u16],
        last_size: u16,
        short: bool,
    }
    let cases = [
        Case {
            name: "an error page among longer responses",
            usual_sizes: &[1200, 2400, 3600, 700],
            last_size: 160,
            short: true,
        },
        Case {
            name: "shorter than usual, but not enough",
            usual_sizes: &[700, 800, 500, 900],
            last_size: 300,
            short: false,
        },
        Case {
            name: "short responses are usual",
            usual_sizes: &[150, 160],
            last_size: 150,
            short: false,
        },
        Case {
            name: "size at the upper bound",
            usual_sizes: &[u16::MAX],
            last_size: u16::MAX,
            short: false,
        },
    ];
    for case in cases {
        let mut mean = ResponseSizeMean::default();
        assert!(
            !mean.record(&OutlierConfig::default(), case.last_size),
            "{}: no earlier responses",
            case.name
        );
        for bytes in case.usual_sizes.iter().cycle().take(200) {
            assert!(
                !mean.record(&OutlierConfig::default(), *bytes),
                "{}: {bytes}",
                case.name
            );
        }
        assert_eq!(
            mean.record(&OutlierConfig::default(), case.last_size),
            case.short,
            "{}",
            case.name
        );
    }
}
