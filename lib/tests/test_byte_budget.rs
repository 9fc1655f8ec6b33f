//! Tests of the byte budget under a burst.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy::byte_budget::ByteBudget;
use lagoonproxy::byte_budget::TrafficClass;

const RATE: u32 = 10_000;
const BURST: u32 = 20_000;

/// A host that was disconnected pulls the whole configuration while changes arrive continuously.
/// Without the bucket the sender would fill its link. In a minute it may send at most a minute of
/// the rate, the burst and one more message.
#[test]
fn test_budget_bounds_bytes_over_time() {
    let start = Instant::now();
    let mut budget = ByteBudget::new(start, RATE, BURST);
    for tick in 0..6_000 {
        let now = start + Duration::from_millis(10) * tick;
        for class in [TrafficClass::Repair, TrafficClass::Change] {
            for _message in 0..100 {
                if !budget.allows(now, class) {
                    break;
                }
                budget.spend(class, 4_000);
            }
        }
    }
    let sent = budget.sent(TrafficClass::Repair) + budget.sent(TrafficClass::Change);
    assert!(
        sent <= 60 * u64::from(RATE) + u64::from(BURST) + 4_000,
        "{sent}"
    );
    assert!(sent >= 50 * u64::from(RATE), "{sent}");
}

/// The classes that may still be sent after a part of the bucket is used.
struct ReserveCase {
    used: usize,
    removal: bool,
    change: bool,
    repair: bool,
}

/// A resynchronisation has used most of the bucket when an upstream is drained. The drain must not
/// wait.
#[test]
fn test_budget_keeps_a_reserve_for_more_urgent_classes() {
    let cases = [
        ReserveCase {
            used: 0,
            removal: true,
            change: true,
            repair: true,
        },
        ReserveCase {
            used: 12_000,
            removal: true,
            change: true,
            repair: false,
        },
        ReserveCase {
            used: 16_000,
            removal: true,
            change: false,
            repair: false,
        },
        ReserveCase {
            used: 20_000,
            removal: false,
            change: false,
            repair: false,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut budget = ByteBudget::new(now, RATE, BURST);
        budget.spend(TrafficClass::Repair, case.used);
        let allowed = [
            TrafficClass::Removal,
            TrafficClass::Change,
            TrafficClass::Repair,
        ]
        .map(|class| budget.allows(now, class));
        assert_eq!(allowed, [case.removal, case.change, case.repair]);
        assert!(budget.allows(now, TrafficClass::Announce));
    }
}
