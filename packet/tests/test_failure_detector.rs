//! Tests of telling a dark upstream from one that was unlucky.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy_packet::health::failure_detector::FailureDetector;
use lagoonproxy_packet::policy_config::DetectorConfig;

use crate::core_rig::caller;

/// Something that happens to an upstream, in milliseconds.
#[derive(Clone, Copy)]
enum Happening {
    /// It proves to be alive.
    Sign,
    /// It proved to be alive to another host, so long ago.
    Elsewhere(u64),
    /// An attempt of some caller that was sent so long ago has had no answer.
    Failed(u64),
    /// The same, always of one caller.
    Same(u64),
    /// Nothing, but the time passes on.
    Tick,
}

#[test]
fn test_silence_cases() {
    use Happening::*;
    struct Case {
        name: &'static str,
        happenings: &'static [(u64, Happening)],
        avoided: bool,
        dark: bool,
    }
    let cases = [
        Case {
            name: "one lost datagram",
            happenings: &[(0, Sign), (300, Failed(200))],
            avoided: false,
            dark: false,
        },
        Case {
            name: "two attempts, nothing heard",
            happenings: &[(0, Sign), (300, Failed(200)), (310, Failed(200))],
            avoided: true,
            dark: false,
        },
        Case {
            name: "an answer between the attempts",
            happenings: &[
                (0, Sign),
                (300, Failed(200)),
                (305, Sign),
                (310, Failed(200)),
            ],
            avoided: false,
            dark: false,
        },
        Case {
            name: "an answer since the attempt was sent",
            happenings: &[
                (200, Sign),
                (300, Failed(200)),
                (310, Failed(200)),
                (320, Failed(200)),
            ],
            avoided: false,
            dark: false,
        },
        Case {
            name: "three attempts for long",
            happenings: &[
                (0, Sign),
                (300, Failed(200)),
                (310, Failed(200)),
                (500, Failed(200)),
            ],
            avoided: true,
            dark: true,
        },
        Case {
            name: "three attempts at once are not long",
            happenings: &[
                (0, Sign),
                (300, Failed(200)),
                (300, Failed(200)),
                (300, Failed(200)),
            ],
            avoided: true,
            dark: false,
        },
        Case {
            name: "another host heard it since",
            happenings: &[
                (0, Sign),
                (300, Failed(200)),
                (310, Failed(200)),
                (500, Failed(200)),
                (510, Elsewhere(50)),
            ],
            avoided: false,
            dark: false,
        },
        Case {
            name: "another host heard it before",
            happenings: &[
                (0, Sign),
                (300, Failed(200)),
                (310, Failed(200)),
                (500, Failed(200)),
                (510, Elsewhere(450)),
            ],
            avoided: true,
            dark: true,
        },
        Case {
            name: "copies that come too soon",
            happenings: &[
                (0, Sign),
                (300, Failed(1)),
                (310, Failed(3)),
                (900, Failed(100)),
            ],
            avoided: false,
            dark: false,
        },
        Case {
            name: "old attempts do not add up with a new one",
            happenings: &[
                (300, Failed(200)),
                (310, Failed(200)),
                (320, Failed(200)),
                (9000, Failed(500)),
            ],
            avoided: true,
            dark: false,
        },
        Case {
            name: "one caller alone",
            happenings: &[
                (0, Sign),
                (300, Same(200)),
                (700, Same(600)),
                (1500, Same(1400)),
            ],
            avoided: true,
            dark: false,
        },
        Case {
            name: "it answers again",
            happenings: &[(300, Failed(200)), (310, Failed(200)), (900, Sign)],
            avoided: false,
            dark: false,
        },
        Case {
            name: "time alone proves nothing",
            happenings: &[(300, Failed(200)), (310, Failed(200)), (5000, Tick)],
            avoided: true,
            dark: false,
        },
    ];
    for case in cases {
        let start = Instant::now() + Duration::from_secs(10);
        let at = |millis: u64| start + Duration::from_millis(millis);
        let config = DetectorConfig::default();
        let mut detector = FailureDetector::default();
        let mut now = start;
        for (millis, happening) in case.happenings {
            now = at(*millis);
            let before = |ago: u64| now - Duration::from_millis(ago);
            match happening {
                Sign => {
                    detector.record_response(now);
                }
                Elsewhere(ago) => detector.remote_response(before(*ago)),
                Failed(ago) => {
                    detector.attempt_failed(&config, now, before(*ago), caller(*millis as u16));
                }
                Same(ago) => {
                    detector.attempt_failed(&config, now, before(*ago), caller(1));
                }
                Tick => detector.tick(now),
            }
        }
        assert_eq!(
            detector.is_ejected(),
            case.avoided,
            "{}: avoided",
            case.name
        );
        assert_eq!(
            detector.is_dead(&config, now),
            case.dark,
            "{}: dark",
            case.name
        );
    }
}

#[test]
fn test_avoided_upstream_is_tried_with_pauses() {
    // Guards against an ejected upstream that is never probed, or probed all the time.
    let start = Instant::now();
    let at = |millis: u64| start + Duration::from_millis(millis);
    let config = DetectorConfig::default();
    let mut detector = FailureDetector::default();
    detector.attempt_failed(&config, at(200), at(0), caller(1));
    detector.attempt_failed(&config, at(200), at(0), caller(1));
    assert!(
        !detector.wants_probe(at(900)),
        "not while the first second runs"
    );
    detector.tick(at(1300));
    assert!(detector.wants_probe(at(1300)));
    detector.probe_sent(&config, at(1300));
    assert!(!detector.wants_probe(at(1500)));
    assert!(detector.wants_probe(at(1600)));
    assert!(detector.record_response(at(1650)), "it had been avoided");
    assert!(!detector.is_ejected());
}
