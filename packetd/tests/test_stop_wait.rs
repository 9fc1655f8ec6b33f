//! Tests of when a stopping host ends, in virtual time.

use std::time::Duration;
use std::time::Instant;

use crate::stop_wait::POLL_INTERVAL;
use crate::stop_wait::StopWait;

#[test]
fn test_stopping_host_ends_once_no_packets_arrive() {
    // Guards against a host that ends while packets for it are still in its socket, because it had
    // no processor time to read them.
    struct Case {
        name: &'static str,
        last_packet_ms: u64,
        stalled_ms: std::ops::Range<u64>,
        end_ms: std::ops::RangeInclusive<u64>,
    }
    let case = |name, last_packet_ms, stalled_ms, end_ms| Case {
        name,
        last_packet_ms,
        stalled_ms,
        end_ms,
    };
    let cases = [
        case("no packets", 0, 0..0, 1500..=1550),
        case("packets for two seconds", 2000, 0..0, 2300..=2350),
        case("packets until the end", 10_000, 0..0, 5000..=5050),
        case("stall", 1390, 1400..1800, 2100..=2150),
        case("stall in a quiet time", 1250, 1300..1550, 1850..=1900),
        case("stall of ten seconds", 1390, 1400..11_400, 11_400..=11_450),
    ];
    for case in cases {
        let start = Instant::now();
        let mut wait = StopWait::new(start, Duration::from_secs(6));
        let mut elapsed = Duration::ZERO;
        loop {
            elapsed += POLL_INTERVAL;
            let millis = elapsed.as_millis() as u64;
            if case.stalled_ms.contains(&millis) {
                continue;
            }
            let last_packet = Duration::from_millis(case.last_packet_ms).min(elapsed);
            if wait.may_end(start + elapsed, start + last_packet) {
                break;
            }
        }
        let end_ms = elapsed.as_millis() as u64;
        assert!(
            case.end_ms.contains(&end_ms),
            "{}: ends after {end_ms} ms",
            case.name
        );
    }
}
