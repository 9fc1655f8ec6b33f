//! Tests of the modules that the load policy is composed of.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy::allocator_map::AllocatorMap;
use lagoonproxy::caller_usage::CallerUsage;
use lagoonproxy::config_snapshot::UpstreamEntry;
use lagoonproxy::load_message::GrantOutcome;
use lagoonproxy::load_settings::LoadSettings;
use lagoonproxy::retry_budget::RetryBudget;
use lagoonproxy::retry_hint::RetryHint;
use lagoonproxy::slot_limit::SlotLimit;
use lagoonproxy::slot_table::PoolMember;
use lagoonproxy::slot_table::SlotTable;
use lagoonproxy::standing_queue::StandingQueue;
use lagoonproxy_bench::cluster_plan::ClusterPlan;
use lagoonproxy_bench::cluster_plan::FleetState;
use lagoonproxy_bench::cluster_plan::SERVICE;
use lagoonproxy_bench::work_shape::WorkShape;

const MILLI: Duration = Duration::from_millis(1);

struct LimitCase {
    name: &'static str,
    /// Number of other requests running at each shed, and the time of the shed in milliseconds.
    sheds: &'static [(u32, u32)],
    /// Times in milliseconds, and the expected limit at each.
    allowed: &'static [(u32, u32)],
}

#[test]
fn test_slot_limit_learns_from_sheds() {
    let cases = [
        LimitCase {
            name: "no shed",
            sheds: &[],
            allowed: &[(0, 4)],
        },
        LimitCase {
            name: "the limit is raised by one after a pause",
            sheds: &[(2, 0)],
            allowed: &[(0, 2), (99, 2), (100, 3), (300, 4)],
        },
        LimitCase {
            name: "the pause doubles when the probe fails",
            sheds: &[(2, 0), (2, 110)],
            allowed: &[(120, 2), (300, 2), (320, 3)],
        },
        LimitCase {
            name: "closed for the time that the upstream states when no other request runs",
            sheds: &[(0, 0)],
            allowed: &[(0, 0), (49, 0), (50, 1)],
        },
        LimitCase {
            name: "closed for twice as long the second time",
            sheds: &[(0, 0), (0, 60)],
            allowed: &[(150, 0), (170, 2)],
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut limit = SlotLimit::new(4);
        let mut sheds = case.sheds.iter().copied().peekable();
        for millis in 0..400 {
            let now = start + MILLI * millis;
            limit.tick(now, MILLI * 100);
            while let Some((others, _at)) = sheds.next_if(|(_others, at)| *at == millis) {
                limit.record_shed(now, others, MILLI * 50, MILLI * 100);
            }
            let expected = case.allowed.iter().find(|(at, _allowed)| *at == millis);
            if let Some((_at, allowed)) = expected {
                assert_eq!(limit.allowed(), *allowed, "{} at {millis} ms", case.name);
            }
        }
    }
}

#[test]
fn test_retry_budget_allows_a_fraction() {
    let mut budget = RetryBudget::new(0.1, 10.0);
    let mut spent = 0;
    for _request in 0..1_000 {
        budget.earn();
        spent += u32::from(budget.spend());
    }
    assert!((100..=111).contains(&spent), "{spent}");
}

#[test]
fn test_retry_hints_have_jitter() {
    // Callers that are refused at the same moment must not return at the same moment, because they
    // would be refused again.
    let mut hint = RetryHint::new(5, MILLI * 50, MILLI * 10_000);
    let mut hints: Vec<Duration> = (0..100).map(|_refusal| hint.after(MILLI * 200)).collect();
    hints.sort_unstable();
    assert!(hints[0] >= MILLI * 200 && hints[99] <= MILLI * 400);
    assert!(hints[90] - hints[10] >= MILLI * 100);
    assert!(hint.after(Duration::ZERO) >= MILLI * 50);
    assert!(hint.after(MILLI * 60_000) <= MILLI * 20_000);
}

#[test]
fn test_standing_queue_needs_an_interval_each_way() {
    let start = Instant::now();
    let (target, interval) = (MILLI * 100, MILLI * 500);
    let mut queue = StandingQueue::default();
    // Times in milliseconds, waits in milliseconds, and whether the bound then applies.
    let steps = [
        (0, 150, false),
        (300, 20, false),
        (400, 150, false),
        (899, 150, false),
        (900, 150, true),
        (1_000, 10, true),
        (1_400, 60, true),
        (1_500, 10, true),
        (2_000, 10, false),
    ];
    for (at, wait, is_bound) in steps {
        queue.record_wait(start + MILLI * at, MILLI * wait, target, interval);
        let bound = queue.max_wait(target);
        assert_eq!(bound == target, is_bound, "at {at} ms");
    }
}

#[test]
fn test_caller_usage_detects_hot_callers() {
    struct UsageCase {
        /// Milliseconds for which each caller's requests held slots in each round.
        held: &'static [u32],
        hot: &'static [u32],
    }
    let cases = [
        UsageCase {
            held: &[500],
            hot: &[],
        },
        UsageCase {
            held: &[50, 50],
            hot: &[],
        },
        UsageCase {
            held: &[50, 500],
            hot: &[1],
        },
        UsageCase {
            held: &[50, 60, 40, 45, 50, 500, 55, 50],
            hot: &[5],
        },
        UsageCase {
            held: &[50, 60, 40, 45, 50, 70, 55, 50],
            hot: &[],
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut usage = CallerUsage::default();
        for round in 0..600 {
            let now = start + MILLI * 1_000 * round;
            for (caller, held) in case.held.iter().enumerate() {
                usage.learn(now, caller as u32, MILLI * *held);
            }
            usage.sweep(now);
        }
        let callers = 0..case.held.len() as u32;
        let hot: Vec<u32> = callers.filter(|caller| usage.is_hot(*caller)).collect();
        assert_eq!(hot, case.hot, "{:?}", case.held);
        assert_eq!(usage.has_hot(), !case.hot.is_empty());
    }
}

#[test]
fn test_hosts_agree_on_allocators_in_the_upstreams_zone() {
    // Hosts that compute different allocators from the same lists grant the same slot twice, and
    // the upstream sheds one of the requests.
    let plan = ClusterPlan::standard(0.0, WorkShape::Fixed, 1);
    let config = plan.config(1, &FleetState::default());
    let hosts = plan.host_view(&[]);
    let service = &config.services[&SERVICE];
    let map = |host| AllocatorMap::new(host, service, &config, &hosts, 4);
    for id in 0..plan.upstreams {
        let entry = &config.upstreams[&id];
        let allocators: Vec<_> = (0..plan.hosts)
            .map(|host| map(host).allocator_of(id, entry))
            .collect();
        assert!(
            allocators
                .iter()
                .all(|allocator| *allocator == allocators[0])
        );
        let allocator = allocators[0].unwrap();
        assert_eq!(plan.zone(allocator), plan.zone(id));
        assert!(map(allocator).is_allocator(allocator));
    }
    for host in 0..plan.hosts {
        let own = map(host).own_allocator().unwrap();
        assert_eq!(plan.zone(own), plan.zone(host));
    }
}

#[test]
fn test_zone_without_hosts_has_allocators_elsewhere() {
    let plan = ClusterPlan::standard(0.0, WorkShape::Fixed, 1);
    let config = plan.config(1, &FleetState::default());
    let hosts = plan.host_view(&[0, 3, 6]);
    let map = AllocatorMap::new(1, &config.services[&SERVICE], &config, &hosts, 16);
    let allocator = map.allocator_of(0, &config.upstreams[&0]).unwrap();
    assert!(![0, 3, 6].contains(&allocator));
}

fn table_of(entries: &[UpstreamEntry], now: Instant, is_new: bool) -> SlotTable {
    let mut table = SlotTable::new(LoadSettings::default().into());
    let members = entries.iter().map(|entry| PoolMember { entry, is_new });
    table.configure(now, members);
    table
}

fn entries() -> Vec<UpstreamEntry> {
    let plan = ClusterPlan::standard(0.0, WorkShape::Fixed, 1);
    let config = plan.config(1, &FleetState::default());
    (0..plan.upstreams)
        .map(|id| config.upstreams[&id].clone())
        .collect()
}

#[test]
fn test_ejection_stops_at_its_bound() {
    // Every upstream seems to lose requests because this host is cut off. If all were ejected,
    // nothing would be served when the connection returns.
    let now = Instant::now();
    let mut table = table_of(&entries(), now, false);
    let full = table.open_slots();
    for _round in 0..200 {
        let Some(id) = table.least_used() else { break };
        let slot = table.take(now, id, MILLI).unwrap();
        table.give_back(now, slot, GrantOutcome::Lost, MILLI);
    }
    let ejected = full - table.open_slots();
    assert!((2..=8).contains(&ejected), "{ejected} of {full} slots");
    table.tick(now + MILLI * 1_001);
    assert!(table.open_slots() > full - ejected);
}

#[test]
fn test_cold_upstreams_open_step_by_step_unless_most_are_cold() {
    let now = Instant::now();
    let entries = entries();
    let mut table = table_of(&entries[..10], now, false);
    let members = entries.iter().map(|entry| PoolMember {
        entry,
        is_new: entry.id >= 10,
    });
    table.configure(now, members);
    assert_eq!(table.open_slots(), 24);
    table.tick(now + MILLI * 10_001);
    assert_eq!(table.open_slots(), 28);
    assert_eq!(table_of(&entries, now, true).open_slots(), 28);
}

#[test]
fn test_new_upstream_does_not_get_every_request() {
    // A newly added upstream has the lowest usage. It must not get every request until it has
    // caught up with hours of the others' usage.
    let now = Instant::now();
    let entries = entries();
    let mut table = table_of(&entries[..3], now, false);
    let use_slots = |table: &mut SlotTable, from: u32, rounds: u32| {
        let mut uses = [0; 4];
        for round in 0..rounds {
            let at = now + MILLI * 100 * (from + round);
            let id = table.least_used().unwrap();
            uses[id as usize] += 1;
            let slot = table.take(at, id, MILLI * 100).unwrap();
            table.give_back(at + MILLI * 100, slot, GrantOutcome::Answered, MILLI * 100);
        }
        uses
    };
    use_slots(&mut table, 0, 300);
    let members = entries[..4].iter().map(|entry| PoolMember {
        entry,
        is_new: entry.id == 3,
    });
    table.configure(now + MILLI * 30_000, members);
    let uses = use_slots(&mut table, 300, 100);
    assert!(uses.iter().all(|uses| (20..=30).contains(uses)), "{uses:?}");
}
