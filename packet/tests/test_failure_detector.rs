//! Tests of the failure detector: which sequences of responses and unanswered attempts eject an
//! upstream, and which suffice to reset its flows once its registration has ended.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy_packet::health::failure_detector::FailureDetector;
use lagoonproxy_packet::policy_config::DetectorConfig;

use crate::core_rig::caller;

/// An observation of an upstream. Ages are in milliseconds.
#[derive(Clone, Copy)]
enum Observation {
    /// This host sees a response.
    Response,
    /// Another host reports a response of this age.
    PeerResponse(u64),
    /// A request of another caller than before, sent this long ago, is unanswered.
    Unanswered(u64),
    /// A request of caller 1, sent this long ago, is unanswered.
    SameCaller(u64),
    /// A SYN, sent this long ago, is unanswered.
    UnansweredSyn(u64),
    /// Nothing but a tick.
    Tick,
}

#[test]
fn test_ejected_and_unresponsive_upstreams() {
    use Observation::*;
    struct Case {
        name: &'static str,
        observations: &'static [(u64, Observation)],
        ejected: bool,
        unresponsive: bool,
    }
    let cases = [
        Case {
            name: "one lost datagram",
            observations: &[(0, Response), (300, Unanswered(200))],
            ejected: false,
            unresponsive: false,
        },
        Case {
            name: "two attempts without a response",
            observations: &[
                (0, Response),
                (300, Unanswered(200)),
                (310, Unanswered(200)),
            ],
            ejected: true,
            unresponsive: false,
        },
        Case {
            name: "a response between the attempts",
            observations: &[
                (0, Response),
                (300, Unanswered(200)),
                (305, Response),
                (310, Unanswered(200)),
            ],
            ejected: false,
            unresponsive: false,
        },
        Case {
            name: "a response since the attempts were sent",
            observations: &[
                (200, Response),
                (300, Unanswered(200)),
                (310, Unanswered(200)),
                (320, Unanswered(200)),
            ],
            ejected: false,
            unresponsive: false,
        },
        Case {
            name: "three attempts over more than the minimum silence",
            observations: &[
                (0, Response),
                (300, Unanswered(200)),
                (310, Unanswered(200)),
                (2100, Unanswered(200)),
            ],
            ejected: true,
            unresponsive: true,
        },
        Case {
            name: "one attempt over more than the minimum silence",
            observations: &[(0, Response), (2300, Unanswered(2200))],
            ejected: false,
            unresponsive: false,
        },
        Case {
            name: "three attempts just below the minimum silence",
            observations: &[
                (0, Response),
                (300, Unanswered(200)),
                (310, Unanswered(200)),
                (2099, Unanswered(200)),
            ],
            ejected: true,
            unresponsive: false,
        },
        Case {
            name: "three attempts at once, below the minimum silence",
            observations: &[
                (0, Response),
                (300, Unanswered(200)),
                (300, Unanswered(200)),
                (300, Unanswered(200)),
            ],
            ejected: true,
            unresponsive: false,
        },
        Case {
            name: "another host saw a later response",
            observations: &[
                (0, Response),
                (300, Unanswered(200)),
                (310, Unanswered(200)),
                (2200, Unanswered(200)),
                (2210, PeerResponse(50)),
            ],
            ejected: false,
            unresponsive: false,
        },
        Case {
            name: "another host saw an earlier response",
            observations: &[
                (0, Response),
                (300, Unanswered(200)),
                (310, Unanswered(200)),
                (2200, Unanswered(200)),
                (2210, PeerResponse(2150)),
            ],
            ejected: true,
            unresponsive: true,
        },
        Case {
            name: "retransmissions that come too soon",
            observations: &[
                (0, Response),
                (300, Unanswered(1)),
                (310, Unanswered(3)),
                (900, Unanswered(100)),
            ],
            ejected: false,
            unresponsive: false,
        },
        Case {
            name: "expired attempts do not add to a new one",
            observations: &[
                (300, Unanswered(200)),
                (310, Unanswered(200)),
                (320, Unanswered(200)),
                (9000, Unanswered(500)),
            ],
            ejected: true,
            unresponsive: false,
        },
        Case {
            name: "attempts of one caller",
            observations: &[
                (0, Response),
                (300, SameCaller(200)),
                (700, SameCaller(600)),
                (1500, SameCaller(1400)),
                (2100, Tick),
            ],
            ejected: true,
            unresponsive: false,
        },
        Case {
            name: "two attempts over more than the minimum silence",
            observations: &[
                (0, Response),
                (300, Unanswered(200)),
                (2200, Unanswered(2100)),
            ],
            ejected: true,
            unresponsive: false,
        },
        Case {
            name: "SYNs, which a full upstream does not answer",
            observations: &[
                (0, Response),
                (300, UnansweredSyn(200)),
                (310, UnansweredSyn(200)),
                (2200, UnansweredSyn(2100)),
                (2210, Unanswered(2110)),
            ],
            ejected: true,
            unresponsive: false,
        },
        Case {
            name: "a response after the ejection",
            observations: &[
                (300, Unanswered(200)),
                (310, Unanswered(200)),
                (900, Response),
            ],
            ejected: false,
            unresponsive: false,
        },
        Case {
            name: "the end of the ejection time is no response",
            observations: &[(300, Unanswered(200)), (310, Unanswered(200)), (5000, Tick)],
            ejected: true,
            unresponsive: false,
        },
    ];
    for case in cases {
        let start = Instant::now() + Duration::from_secs(10);
        let at = |millis: u64| start + Duration::from_millis(millis);
        let config = DetectorConfig::default();
        let mut detector = FailureDetector::default();
        let mut now = start;
        for (millis, observation) in case.observations {
            now = at(*millis);
            let time_before = |age: u64| now - Duration::from_millis(age);
            match observation {
                Response => {
                    detector.record_response(now);
                }
                PeerResponse(age) => detector.record_peer_response(time_before(*age)),
                Unanswered(age) => {
                    let caller = caller(*millis as u16);
                    detector.request_failed(&config, now, time_before(*age), caller);
                }
                SameCaller(age) => {
                    detector.request_failed(&config, now, time_before(*age), caller(1));
                }
                UnansweredSyn(age) => {
                    detector.attempt_failed(&config, now, time_before(*age));
                }
                Tick => detector.tick(now),
            }
        }
        assert_eq!(
            detector.is_ejected(),
            case.ejected,
            "{}: ejected",
            case.name
        );
        assert_eq!(
            detector.is_unresponsive(&config, now),
            case.unresponsive,
            "{}: unresponsive",
            case.name
        );
    }
}

#[test]
fn test_ejected_upstream_is_probed_at_intervals() {
    // Guards against an ejected upstream that is never probed, or is probed continuously.
    let start = Instant::now();
    let at = |millis: u64| start + Duration::from_millis(millis);
    let config = DetectorConfig::default();
    let mut detector = FailureDetector::default();
    detector.attempt_failed(&config, at(200), at(0));
    detector.attempt_failed(&config, at(200), at(0));
    assert!(
        !detector.wants_probe(at(900)),
        "not during the first second"
    );
    detector.tick(at(1300));
    assert!(detector.wants_probe(at(1300)));
    detector.probe_sent(&config, at(1300));
    assert!(!detector.wants_probe(at(1500)));
    assert!(detector.wants_probe(at(1600)));
    assert!(detector.record_response(at(1650)), "it was ejected");
    assert!(!detector.is_ejected());
}
