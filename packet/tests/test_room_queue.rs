//! Selection in calm, by free room and by expected wait at the queues of a busy service.

use lagoonproxy_packet::selection::room_weight::RoomMeasure;

use crate::queue_rig::QueueCase;
use crate::queue_rig::QueueCounts;
use crate::queue_rig::run_queues;

const RULES: [Option<RoomMeasure>; 3] = [
    None,
    Some(RoomMeasure::FreeRoom),
    Some(RoomMeasure::ExpectedWait),
];

fn busiest_share(counts: &QueueCounts) -> f64 {
    let sum: u32 = counts.arrivals.iter().sum();
    let busiest = counts.arrivals.iter().max().copied().unwrap_or_default();
    f64::from(busiest) * counts.arrivals.len() as f64 / f64::from(sum.max(1))
}

fn slow_share(counts: &QueueCounts) -> f64 {
    let others: u32 = counts.flows[1..].iter().sum();
    f64::from(counts.flows[0]) * (counts.flows.len() - 1) as f64 / f64::from(others.max(1))
}

fn report(case: QueueCase, counts: &QueueCounts) {
    let sum: u32 = counts.arrivals.iter().sum();
    println!(
        "{:?} {} requests, {:.2}, slow: {}: shed {:.3}, response {:.1} ms, busiest {:.2}, slow share {:.2}",
        case.measure,
        case.requests,
        case.utilization,
        case.is_one_slow,
        f64::from(counts.sheds) / f64::from(sum),
        counts.response.0.as_secs_f64() * 1000.0 / f64::from(counts.response.1),
        busiest_share(counts),
        slow_share(counts),
    );
}

#[test]
fn test_explore() {
    use RoomMeasure::*;
    let rules = [
        (None, 100, 2500),
        (Some(FreeRoom), 0, 2500),
        (Some(FreeRoom), 6, 2500),
        (Some(FreeRoom), 10, 2500),
        (Some(FreeRoom), 6, 4000),
        (Some(FreeRoom), 10, 4000),
        (Some(ExpectedWait), 0, 2500),
        (Some(ExpectedWait), 6, 2500),
        (Some(ExpectedWait), 10, 2500),
    ];
    for seed in [1, 2] {
        for is_one_slow in [false, true] {
            for requests in [1, 20] {
                for utilization in [0.6, 0.8, 0.95] {
                    println!();
                    for (measure, follow, target) in rules {
                        let seconds = if is_one_slow { (5, 8) } else { (5, 15) };
                        let case = QueueCase {
                            measure,
                            follow,
                            target,
                            utilization,
                            requests,
                            is_one_slow,
                            seconds,
                            seed: 1,
                        };
                        print!("{follow} {target} ");
                        report(case, &run_queues(case));
                    }
                }
            }
        }
    }
}
