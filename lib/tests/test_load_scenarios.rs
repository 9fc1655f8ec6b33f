//! Tests of the load policy in virtual time, by the results that callers receive.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy::host_core::TICK;
use lagoonproxy::host_event::UpstreamReport;
use lagoonproxy::load_settings::LoadSettings;
use lagoonproxy::service_policy::ServicePolicy;
use lagoonproxy_bench::cluster_plan::CallerClass;
use lagoonproxy_bench::cluster_plan::ClusterPlan;
use lagoonproxy_bench::cluster_plan::FleetState;
use lagoonproxy_bench::cluster_plan::RetryBehavior;
use lagoonproxy_bench::outcome_report::RunMetrics;
use lagoonproxy_bench::outcome_report::quantile;
use lagoonproxy_bench::virtual_cluster::CallerResult;
use lagoonproxy_bench::virtual_cluster::ClusterChange;
use lagoonproxy_bench::virtual_cluster::ClusterRun;
use lagoonproxy_bench::virtual_cluster::RequestRun;
use lagoonproxy_bench::virtual_cluster::VirtualCluster;
use lagoonproxy_bench::virtual_upstream::SaturationBehavior;
use lagoonproxy_bench::work_shape::WorkShape;

const SECOND: Duration = Duration::from_secs(1);

fn plan(classes: Vec<CallerClass>, seconds: u32) -> ClusterPlan {
    ClusterPlan {
        classes,
        length: SECOND * seconds,
        warm_up: SECOND * 5,
        ..ClusterPlan::standard(0.0, WorkShape::Exponential, 7)
    }
}

fn class(name: &'static str, callers: u32, load: f64) -> CallerClass {
    CallerClass {
        name,
        callers,
        ..CallerClass::steady(load, WorkShape::Exponential)
    }
}

fn run(plan: &ClusterPlan, changes: &[(Duration, ClusterChange)]) -> ClusterRun {
    let policy = |host: u32| {
        let seed = plan.seed * 100 + u64::from(host);
        Box::new(ServicePolicy::new(host, seed, LoadSettings::default())) as Box<_>
    };
    let mut cluster = VirtualCluster::new(plan.clone(), SaturationBehavior::Shed, policy);
    for (after, change) in changes {
        cluster.change(*after, change.clone());
    }
    let run = cluster.run();
    assert_eq!(run.faults, Vec::<String>::new());
    run
}

/// Requests of a class that arrived between two times, counted from the start.
fn requests_between(
    run: &ClusterRun,
    class: usize,
    from: Duration,
    to: Duration,
) -> Vec<&RequestRun> {
    let span = run.begin + from..run.begin + to;
    let requests = run.requests.iter();
    requests
        .filter(|job| job.class == class && span.contains(&job.arrived))
        .collect()
}

fn success_rate(requests: &[&RequestRun]) -> f64 {
    let answered = |job: &&&RequestRun| job.result == CallerResult::Answered;
    requests.iter().filter(answered).count() as f64 / requests.len() as f64
}

fn count(requests: &[&RequestRun], result: CallerResult) -> usize {
    requests.iter().filter(|job| job.result == result).count()
}

/// 99th percentile of the time from arrival to response, in seconds.
fn response_p99(requests: &[&RequestRun]) -> f64 {
    let answered = requests
        .iter()
        .filter(|job| job.result == CallerResult::Answered);
    let times = answered.map(|job| job.ended - job.arrived).collect();
    quantile(times, 0.99).as_secs_f64()
}

#[test]
fn test_steady_load_waits_little_and_evenly() {
    // Guards against late responses at 80 % load while slots are free: without shared allocators,
    // hosts know nothing of each other's requests, overload some upstreams and leave others idle.
    let plan = plan(vec![class("all", 100, 0.8)], 65);
    let run = run(&plan, &[]);
    let figures = RunMetrics::from_run(&plan, &run);
    assert!(figures.answered >= 0.99, "{figures:?}");
    assert!(figures.imbalance <= 1.07, "{figures:?}");
    assert!(figures.wait_p99_ms <= 150.0, "{figures:?}");
    assert!(figures.messages_per_job <= 4.0, "{figures:?}");
}

#[test]
fn test_burst_is_queued_and_served() {
    // Four times the capacity arrives for one second. Every queued request must be answered, the
    // others are refused at once, and the burst has no effect from six seconds after its end.
    let burst = CallerClass {
        active: (SECOND * 20, SECOND * 21),
        ..class("burst", 100, 3.5)
    };
    let plan = plan(vec![class("steady", 100, 0.5), burst], 40);
    let run = run(&plan, &[]);
    let all: Vec<&RequestRun> = run.requests.iter().collect();
    assert_eq!(count(&all, CallerResult::MissedWaiting), 0);
    assert!(count(&all, CallerResult::MissedRunning) <= 1);
    let burst = requests_between(&run, 1, Duration::ZERO, SECOND * 40);
    assert!(success_rate(&burst) >= 0.5, "{}", success_rate(&burst));
    let after = requests_between(&run, 0, SECOND * 27, SECOND * 40);
    assert!(success_rate(&after) >= 0.999, "{}", success_rate(&after));
}

#[test]
fn test_hot_caller_does_not_affect_others() {
    // One caller sends ten times its share to a full service. The other callers must be neither
    // refused nor delayed, although its requests would fill a plain queue.
    let hot = class("hot", 1, 0.4);
    let plan = plan(vec![class("ordinary", 19, 0.76), hot], 65);
    let run = run(&plan, &[]);
    let ordinary = requests_between(&run, 0, SECOND * 5, SECOND * 65);
    assert!(
        success_rate(&ordinary) >= 0.99,
        "{}",
        success_rate(&ordinary)
    );
    let hot = requests_between(&run, 1, SECOND * 5, SECOND * 65);
    assert!(success_rate(&hot) <= 0.8, "{}", success_rate(&hot));
}

#[test]
fn test_flood_of_one_caller_leaves_queue_places() {
    // A caller without previous usage sends three times the capacity for two seconds. Its slot
    // usage does not show this yet; if its requests took all places in the queue, the other callers
    // would wait for seconds.
    let flood = CallerClass {
        active: (SECOND * 10, SECOND * 12),
        ..class("flood", 1, 3.0)
    };
    let plan = plan(vec![class("ordinary", 50, 0.5), flood], 20);
    let run = run(&plan, &[]);
    let ordinary = requests_between(&run, 0, SECOND * 10, SECOND * 14);
    let response = response_p99(&ordinary);
    assert!(response <= 1.0, "response p99 {response} s");
    assert!(
        success_rate(&ordinary) >= 0.97,
        "{}",
        success_rate(&ordinary)
    );
}

#[test]
fn test_hot_key_affects_only_its_upstream() {
    // Pinned flows send three times what their one upstream can serve. Requests that may run
    // elsewhere must not be affected, as they would be if pinned requests took the queue's places.
    let hot = CallerClass {
        pinned: Some(3),
        ..class("hot key", 5, 3.0 / 14.0)
    };
    let plan = plan(vec![class("ordinary", 100, 0.6), hot], 65);
    let run = run(&plan, &[]);
    let ordinary = requests_between(&run, 0, SECOND * 5, SECOND * 65);
    assert!(
        success_rate(&ordinary) >= 0.99,
        "{}",
        success_rate(&ordinary)
    );
    let hot = requests_between(&run, 1, SECOND * 5, SECOND * 65);
    let served = success_rate(&hot) * 3.0;
    assert!(
        served >= 0.7,
        "the pinned upstream served {served} of its capacity"
    );
}

#[test]
fn test_slow_upstream_is_avoided() {
    // One upstream takes eight times as long as the others. It must receive few requests, and no
    // slot of another upstream may wait for it.
    let plan = plan(vec![class("all", 100, 0.2)], 65);
    let usual = run(&plan, &[]);
    let slowed = run(
        &plan,
        &[(SECOND * 2, ClusterChange::ServiceTimeFactor(4, 8.0))],
    );
    let span = (SECOND * 15, SECOND * 65);
    let before = requests_between(&usual, 0, span.0, span.1);
    let after = requests_between(&slowed, 0, span.0, span.1);
    let ratio = response_p99(&after) / response_p99(&before);
    assert!(ratio <= 1.4, "response p99 grew {ratio} times");
    assert!(success_rate(&after) >= 0.995, "{}", success_rate(&after));
    let from = slowed.begin + SECOND * 15;
    let late = |at: &&Instant| **at >= from;
    let sent = slowed.upstreams[4].arrivals.iter().filter(late).count();
    let share = sent as f64 / (after.len() as f64 / 14.0);
    assert!(
        share <= 0.05,
        "the slow upstream received {share} of an even share"
    );
}

struct MisreportCase {
    name: &'static str,
    changes: Vec<(Duration, ClusterChange)>,
    /// Maximum number of sends per request; a request that is shed is sent again.
    max_sends: f64,
    min_success: f64,
}

#[test]
fn test_wrong_upstream_reports_have_little_effect() {
    // An upstream's published slots or its endpoints contradict its behavior. Hosts must rely on
    // what they observe; otherwise callers are refused and requests are retried for as long as this
    // lasts.
    let report = |upstream, healthy, busy_slots| {
        ClusterChange::Report(UpstreamReport {
            upstream,
            healthy,
            busy_slots,
            connections: 0,
        })
    };
    let cases = [
        MisreportCase {
            name: "has one slot, but reports two idle ones",
            changes: vec![
                (SECOND, ClusterChange::Slots(2, 1)),
                (SECOND * 6, report(2, true, 0)),
            ],
            max_sends: 1.02,
            min_success: 0.995,
        },
        MisreportCase {
            name: "works, but reports that it is full and unhealthy",
            changes: vec![
                (SECOND, report(2, false, 2)),
                (SECOND * 6, report(2, false, 2)),
            ],
            max_sends: 1.0,
            min_success: 0.995,
        },
        MisreportCase {
            name: "sheds everything, but reports that it is healthy",
            changes: vec![
                (SECOND, ClusterChange::Slots(2, 0)),
                (SECOND * 6, report(2, true, 0)),
            ],
            max_sends: 1.02,
            min_success: 0.995,
        },
        MisreportCase {
            name: "is dead, but reports that it is healthy",
            changes: vec![
                (SECOND, ClusterChange::Unresponsive(2, true)),
                (SECOND * 6, report(2, true, 0)),
            ],
            max_sends: 1.0,
            min_success: 0.995,
        },
    ];
    let plan = plan(vec![class("all", 100, 0.6)], 45);
    for case in cases {
        let run = run(&plan, &case.changes);
        let figures = RunMetrics::from_run(&plan, &run);
        let name = case.name;
        assert!(
            figures.sends_per_job <= case.max_sends,
            "{name}: {figures:?}"
        );
        assert!(figures.answered >= case.min_success, "{name}: {figures:?}");
    }
}

#[test]
fn test_long_requests_among_short() {
    // One request in twenty takes fifty times as long. The 99th percentile of the short requests
    // may at most double. All requests together are 54 % of the capacity; at 80 % the bound does
    // not hold (docs/design/dispatch.md).
    let short = CallerClass {
        shape: WorkShape::Fixed,
        ..class("short", 100, 0.15)
    };
    let long = CallerClass {
        mean: short.mean * 50,
        ..class("long", 20, 0.15 / 0.95 * 0.05 * 50.0)
    };
    let with_long_timeout = |classes| ClusterPlan {
        request_timeout: SECOND * 60,
        ..plan(classes, 185)
    };
    let alone = run(&with_long_timeout(vec![short.clone()]), &[]);
    let mixed = run(&with_long_timeout(vec![short, long]), &[]);
    let span = (SECOND * 20, SECOND * 180);
    let before = response_p99(&requests_between(&alone, 0, span.0, span.1));
    let after = response_p99(&requests_between(&mixed, 0, span.0, span.1));
    assert!(after <= 2.0 * before, "from {before} s to {after} s");
    let shorts = requests_between(&mixed, 0, span.0, span.1);
    assert!(success_rate(&shorts) >= 0.99, "{}", success_rate(&shorts));
}

#[test]
fn test_sustained_overload_keeps_slots_busy() {
    // Twice the capacity arrives for a minute. The slots must stay busy with requests whose callers
    // still wait, queued requests must be served, and their wait must stay far below the deadline.
    let plan = plan(vec![class("all", 100, 2.0)], 65);
    let run = run(&plan, &[]);
    let figures = RunMetrics::from_run(&plan, &run);
    assert!(figures.goodput >= 0.95, "{figures:?}");
    assert!(figures.missed_waiting <= 0.01, "{figures:?}");
    assert!(figures.wait_p50_ms <= 200.0, "{figures:?}");
}

#[test]
fn test_many_upstreams_drain_at_once() {
    // Half of the upstreams drain at the same moment, and hosts learn of it up to 2.1 s apart.
    // After that no new request may reach any of them, and callers must not be affected.
    let drained = FleetState {
        draining: (0..7).collect(),
        ..FleetState::default()
    };
    let apart = Duration::from_millis(300);
    let plan = plan(vec![class("all", 100, 0.35)], 40);
    let change = (SECOND * 10, ClusterChange::Publish(drained, apart));
    let run = run(&plan, &[change]);
    let known = run.begin + SECOND * 10 + apart * 7;
    // The longest trip to an upstream after the last decision under the old configuration.
    let last = known + TICK;
    for upstream in &run.upstreams[..7] {
        let late: Vec<&Instant> = upstream.arrivals.iter().filter(|at| **at > last).collect();
        assert!(late.is_empty(), "upstream {}: {}", upstream.id, late.len());
    }
    let requests = requests_between(&run, 0, SECOND * 5, SECOND * 40);
    assert!(
        success_rate(&requests) >= 0.99,
        "{}",
        success_rate(&requests)
    );
}

#[test]
fn test_cold_fleet_after_zone_loss() {
    // A zone's upstreams are lost and replaced by cold ones, which run their first requests four
    // times as slowly. Requests must neither be refused because of limited slots nor overload the
    // new upstreams.
    let lost: Vec<u32> = (0..14).filter(|id| id % 3 == 0).collect();
    let gone = FleetState {
        gone: lost.clone(),
        ..FleetState::default()
    };
    let back = FleetState {
        restarted: lost.clone(),
        ..FleetState::default()
    };
    let mut changes = vec![
        (SECOND * 10, ClusterChange::Publish(gone, Duration::ZERO)),
        (SECOND * 20, ClusterChange::Publish(back, Duration::ZERO)),
    ];
    for id in lost {
        changes.push((SECOND * 19, ClusterChange::ServiceTimeFactor(id, 4.0)));
        changes.push((SECOND * 26, ClusterChange::ServiceTimeFactor(id, 1.0)));
    }
    let plan = plan(vec![class("all", 100, 0.5)], 45);
    let run = run(&plan, &changes);
    let during = requests_between(&run, 0, SECOND * 8, SECOND * 30);
    assert!(success_rate(&during) >= 0.98, "{}", success_rate(&during));
    let after = requests_between(&run, 0, SECOND * 32, SECOND * 45);
    assert!(success_rate(&after) >= 0.999, "{}", success_rate(&after));
}

#[test]
fn test_retry_storm_ends_with_its_cause() {
    // Every upstream sheds everything for three seconds. Refused callers retry every 100 ms, or
    // when they are told to. The retries of the policy must stay within a tenth of the requests,
    // and the overload must end with its cause.
    for retry_behavior in [
        RetryBehavior::FixedDelay(Duration::from_millis(100), 50),
        RetryBehavior::RetryAfter(50),
    ] {
        let plan = ClusterPlan {
            retry_behavior,
            ..plan(vec![class("all", 100, 0.7)], 40)
        };
        let mut changes = Vec::new();
        for id in 0..plan.upstreams {
            changes.push((SECOND * 10, ClusterChange::Slots(id, 0)));
            changes.push((SECOND * 13, ClusterChange::Slots(id, plan.slots)));
        }
        let run = run(&plan, &changes);
        let requests = run.requests.len() as f64;
        let retries: u32 = run
            .requests
            .iter()
            .map(|job| job.sends.saturating_sub(1))
            .sum();
        assert!(
            f64::from(retries) <= 0.1 * requests + 80.0,
            "{retry_behavior:?}: {retries}"
        );
        // The work of three seconds at 70 % load takes seven seconds of the remaining 30 % to
        // serve.
        let after = requests_between(&run, 0, SECOND * 22, SECOND * 40);
        assert!(
            success_rate(&after) >= 0.99,
            "{retry_behavior:?}: {}",
            success_rate(&after)
        );
    }
}

#[test]
fn test_allocator_dies_and_messages_are_lost() {
    // The host that allocates a zone's slots dies, and one message in fifty is lost. Requests of
    // other hosts must not wait for its reply until their deadline, and slots must not stay taken
    // by the dead host.
    for host in 0..8 {
        let plan = ClusterPlan {
            loss: 0.02,
            ..plan(vec![class("all", 100, 0.6)], 25)
        };
        let death = (SECOND * 10, ClusterChange::Kill(host, SECOND * 3));
        let run = run(&plan, &[death]);
        let during = requests_between(&run, 0, SECOND * 10 + TICK, SECOND * 13);
        assert!(
            success_rate(&during) >= 0.9,
            "host {host}: {}",
            success_rate(&during)
        );
        let response = response_p99(&during);
        assert!(response <= 1.5, "host {host}: response p99 {response} s");
        let after = requests_between(&run, 0, SECOND * 15, SECOND * 25);
        assert!(
            success_rate(&after) >= 0.995,
            "host {host}: {}",
            success_rate(&after)
        );
    }
}

#[test]
fn test_same_seed_same_outcome() {
    let plan = plan(vec![class("all", 20, 1.2)], 15);
    let outcome = |run: ClusterRun| -> Vec<(CallerResult, Duration)> {
        let requests = run.requests.iter();
        requests
            .map(|job| (job.result, job.ended - run.begin))
            .collect()
    };
    assert_eq!(outcome(run(&plan, &[])), outcome(run(&plan, &[])));
}
