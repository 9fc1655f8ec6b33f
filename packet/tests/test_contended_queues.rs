//! Compares selection for a contended service, by free capacity and by expected wait, with
//! selection for one that is not contended, on the queues of a busy service.

use lagoonproxy_packet::selection::load_weight::WeightMethod;

use crate::queue_rig::QueueCase;
use crate::queue_rig::QueueCounts;
use crate::queue_rig::run_queues;

/// Requests per flow: a single one, and many.
const REQUESTS: [u32; 2] = [1, 20];

const UTILIZATIONS: [f64; 3] = [0.6, 0.8, 0.95];

fn busiest_share(counts: &QueueCounts) -> f64 {
    let sum: u32 = counts.arrivals.iter().sum();
    let busiest = counts.arrivals.iter().max().copied().unwrap_or_default();
    f64::from(busiest) * counts.arrivals.len() as f64 / f64::from(sum.max(1))
}

fn shed_share(counts: &QueueCounts) -> f64 {
    let sum: u32 = counts.arrivals.iter().sum();
    f64::from(counts.sheds) / f64::from(sum.max(1))
}

fn mean_response(counts: &QueueCounts) -> f64 {
    counts.response.0.as_secs_f64() / f64::from(counts.response.1.max(1))
}

fn queue_case(requests: u32, utilization: f64, method: Option<WeightMethod>) -> QueueCase {
    QueueCase {
        method,
        utilization,
        requests,
        is_one_slow: false,
        seconds: (3, 13),
        seed: 1,
    }
}

/// Runs `test` for each number of requests per flow and each utilization.
fn for_each_load(test: impl Fn(u32, f64)) {
    for requests in REQUESTS {
        for utilization in UTILIZATIONS {
            test(requests, utilization);
        }
    }
}

#[test]
fn test_weighted_selection_serves_more_than_uncontended_selection() {
    // Guards against hosts that follow the same digest, overfill the upstream that was empty, and
    // shed more requests.
    for_each_load(|requests, utilization| {
        let [uncontended, free_capacity, expected_wait] = [
            None,
            Some(WeightMethod::FreeCapacity),
            Some(WeightMethod::ExpectedWait),
        ]
        .map(|method| run_queues(queue_case(requests, utilization, method)));
        let name = format!("{requests} requests at {utilization}");
        for counts in [&uncontended, &free_capacity, &expected_wait] {
            println!(
                "{name}: shed {:.3}, response {:.1} ms, busiest {:.2}",
                shed_share(counts),
                mean_response(counts) * 1000.0,
                busiest_share(counts)
            );
        }
        for counts in [&free_capacity, &expected_wait] {
            assert!(
                shed_share(counts) < shed_share(&uncontended),
                "{name}: shed share is not lower"
            );
            assert!(
                mean_response(counts) < mean_response(&uncontended),
                "{name}: mean response time is not shorter"
            );
        }
    });
}

#[test]
fn test_equal_upstreams_are_balanced_under_load() {
    // Guards against a busiest upstream with more than 1.20 times the mean load.
    for_each_load(|requests, utilization| {
        let case = QueueCase {
            seconds: (3, 33),
            ..queue_case(requests, utilization, Some(WeightMethod::default()))
        };
        let share = busiest_share(&run_queues(case));
        println!("{requests} requests at {utilization}: busiest {share:.2}");
        assert!(
            share <= 1.2,
            "{requests} requests at {utilization}: {share}"
        );
    });
}

#[test]
fn test_slow_upstream_gets_less_within_a_second() {
    // Guards against new flows on an upstream that became five times slower a second ago. There are
    // few flows of 20 requests, so the runs of several seeds are added up.
    for requests in REQUESTS {
        for utilization in UTILIZATIONS {
            let (mut slow, mut others) = (0, 0);
            for seed in 1..=6 {
                let case = QueueCase {
                    is_one_slow: true,
                    seconds: (3, 5),
                    seed,
                    ..queue_case(requests, utilization, Some(WeightMethod::default()))
                };
                let counts = run_queues(case);
                slow += counts.flows[0];
                others += counts.flows[1..].iter().sum::<u32>();
            }
            let share = f64::from(slow) * 39.0 / f64::from(others);
            println!("{requests} requests at {utilization}: slow share {share:.2}");
            assert!(
                share < 0.35,
                "{requests} requests at {utilization}: {share}"
            );
        }
    }
}

#[test]
fn test_slow_upstream_still_gets_flows() {
    // Guards against an upstream that never gets flows again because nothing shows that it has
    // recovered.
    for requests in REQUESTS {
        let case = QueueCase {
            is_one_slow: true,
            seconds: (3, 18),
            ..queue_case(requests, 0.8, Some(WeightMethod::default()))
        };
        let flows = run_queues(case).flows[0];
        assert!(flows > 0, "{requests} requests: no flows");
    }
}
