//! Upper bound for the comparison: one central queue with complete knowledge and no delay.
//!
//! The queue knows the service time of each request and rejects on arrival those that cannot
//! finish in time. `QueueOrder::Group` is the group decision of Kanavallil (2007) as far as it
//! applies, with one slot per request and no preemption: at each tick the waiting requests are
//! assigned to the free slots together, in order of decreasing bounded slowdown, and the shortest
//! first among equals.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::cluster_plan::ClusterPlan;
use crate::outcome_report::RunMetrics;
use crate::outcome_report::slowdown_of;

/// Order in which the queue is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOrder {
    /// In order of arrival, as soon as a slot becomes free.
    Arrival,
    /// As a group, at each tick of this length.
    Group(Duration),
}

/// A request of the plan; times are offsets from the start.
#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    arrived: Duration,
    service: Duration,
    started: Option<Duration>,
}

/// Runs the plan's first caller class through one queue and returns the results.
pub fn run_single_queue(plan: &ClusterPlan, order: QueueOrder) -> RunMetrics {
    let mut requests = draw_requests(plan);
    let offered = requests.len();
    let free_at = match order {
        QueueOrder::Arrival => serve_in_order(plan, &mut requests),
        QueueOrder::Group(tick) => serve_groups(plan, &mut requests, tick),
    };
    metrics(plan, &requests, offered, &free_at)
}

fn draw_requests(plan: &ClusterPlan) -> Vec<QueuedRequest> {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let class = &plan.classes[0];
    let rate = class.rate(plan.all_slots());
    let mut requests = Vec::new();
    let mut arrived = Duration::ZERO;
    while arrived < plan.length {
        let service = class.shape.draw(&mut random, class.mean);
        requests.push(QueuedRequest {
            arrived,
            service,
            started: None,
        });
        let gap: f64 = random.random_range(f64::EPSILON..1.0);
        arrived += Duration::from_secs_f64(-gap.ln() / rate);
    }
    requests
}

/// Start and end of each run, by slot.
type SlotUse = Vec<Vec<(Duration, Duration)>>;

fn serve_in_order(plan: &ClusterPlan, requests: &mut [QueuedRequest]) -> SlotUse {
    let mut uses: SlotUse = vec![Vec::new(); plan.all_slots() as usize];
    let mut free_at = vec![Duration::ZERO; uses.len()];
    for request in requests {
        let Some((slot, free)) = least(&free_at) else {
            break;
        };
        let start = free.max(request.arrived);
        if start + request.service > request.arrived + plan.request_timeout {
            continue;
        }
        // Using the slot that has been free longest spreads the load evenly.
        request.started = Some(start);
        free_at[slot] = start + request.service;
        uses[slot].push((start, free_at[slot]));
    }
    uses
}

fn least(free_at: &[Duration]) -> Option<(usize, Duration)> {
    let slots = free_at.iter().copied().enumerate();
    slots.min_by_key(|(_slot, free)| *free)
}

fn serve_groups(plan: &ClusterPlan, requests: &mut [QueuedRequest], tick: Duration) -> SlotUse {
    let mut uses: SlotUse = vec![Vec::new(); plan.all_slots() as usize];
    let mut free_at = vec![Duration::ZERO; uses.len()];
    let mut group: Vec<usize> = Vec::new();
    let mut next = 0;
    let mut now = Duration::ZERO;
    while now < plan.length + plan.request_timeout {
        while next < requests.len() && requests[next].arrived <= now {
            group.push(next);
            next += 1;
        }
        group.retain(|index| {
            now + requests[*index].service <= requests[*index].arrived + plan.request_timeout
        });
        group.sort_by(|one, other| {
            let urgency = |index: &usize| {
                let request = requests[*index];
                slowdown_of(now - request.arrived, request.service)
            };
            let by_slowdown = urgency(other).total_cmp(&urgency(one));
            by_slowdown.then(requests[*one].service.cmp(&requests[*other].service))
        });
        for (slot, free) in free_at.iter_mut().enumerate() {
            if *free <= now && !group.is_empty() {
                let index = group.remove(0);
                requests[index].started = Some(now);
                *free = now + requests[index].service;
                uses[slot].push((now, *free));
            }
        }
        now += tick;
    }
    uses
}

fn metrics(
    plan: &ClusterPlan,
    requests: &[QueuedRequest],
    offered: usize,
    uses: &SlotUse,
) -> RunMetrics {
    let begin = Instant::now();
    let counted = requests
        .iter()
        .filter(|request| request.arrived >= plan.warm_up);
    let accepted: Vec<&QueuedRequest> = counted
        .clone()
        .filter(|request| request.started.is_some())
        .collect();
    let wait =
        |request: &&QueuedRequest| request.started.unwrap_or(request.arrived) - request.arrived;
    let slowdowns = accepted
        .iter()
        .map(|request| slowdown_of(wait(request), request.service));
    let per_upstream: Vec<Vec<(Instant, Instant)>> = uses
        .chunks(plan.slots as usize)
        .map(|slots| {
            let runs = slots.iter().flatten();
            runs.map(|(from, to)| (begin + *from, begin + *to))
                .collect()
        })
        .collect();
    let in_time =
        |request: &&&QueuedRequest| wait(request) + request.service <= plan.request_timeout;
    let answered: Vec<&&QueuedRequest> = accepted.iter().filter(in_time).collect();
    let counted = counted.count();
    RunMetrics::new(plan, counted, accepted.iter().map(wait).collect())
        .with_answered(
            plan,
            answered.len(),
            answered.iter().map(|request| request.service).sum(),
        )
        .with_refused(offered.min(counted) - accepted.len())
        .with_slowdown(slowdowns.sum::<f64>() / accepted.len().max(1) as f64)
        .with_imbalance(plan, begin, &per_upstream)
}
