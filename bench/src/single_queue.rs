//! The upper bound: one queue that knows everything at once, without any delay.
//!
//! It knows each job's service time, and refuses when it arrives what cannot finish in time. The
//! second order of service is the group decision of the related paper (Kanavallil, 2007, as far
//! as it carries over: one slot a job, no preemption): at each tick the waiting group is assigned
//! to the free slots at once, largest bounded slowdown first, shortest first among equals.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::cluster_plan::ClusterPlan;
use crate::outcome_report::RunFigures;
use crate::outcome_report::slowdown_of;

/// Order in which the queue is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOrder {
    /// In order of arrival, whenever a slot becomes free.
    Arrival,
    /// As a group, each tick.
    Group(Duration),
}

#[derive(Clone, Copy, Debug)]
struct QueuedJob {
    arrived: Duration,
    service: Duration,
    started: Option<Duration>,
}

/// Runs the plan's first class through one queue.
pub fn run_single_queue(plan: &ClusterPlan, order: QueueOrder) -> RunFigures {
    let mut jobs = draw_jobs(plan);
    let offered = jobs.len();
    let free_at = match order {
        QueueOrder::Arrival => serve_in_order(plan, &mut jobs),
        QueueOrder::Group(tick) => serve_groups(plan, &mut jobs, tick),
    };
    figures(plan, &jobs, offered, &free_at)
}

fn draw_jobs(plan: &ClusterPlan) -> Vec<QueuedJob> {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let class = &plan.classes[0];
    let rate = class.rate(plan.all_slots());
    let mut jobs = Vec::new();
    let mut arrived = Duration::ZERO;
    while arrived < plan.length {
        let service = class.shape.draw(&mut random, class.mean);
        jobs.push(QueuedJob {
            arrived,
            service,
            started: None,
        });
        let gap: f64 = random.random_range(f64::EPSILON..1.0);
        arrived += Duration::from_secs_f64(-gap.ln() / rate);
    }
    jobs
}

/// Time in use of each slot.
type SlotUse = Vec<Vec<(Duration, Duration)>>;

fn serve_in_order(plan: &ClusterPlan, jobs: &mut [QueuedJob]) -> SlotUse {
    let mut uses: SlotUse = vec![Vec::new(); plan.all_slots() as usize];
    let mut free_at = vec![Duration::ZERO; uses.len()];
    for job in jobs {
        let Some((slot, free)) = least(&free_at) else {
            break;
        };
        let start = free.max(job.arrived);
        if start + job.service > job.arrived + plan.patience {
            continue;
        }
        // Among free slots the one that was free longest is used, which evens out use.
        job.started = Some(start);
        free_at[slot] = start + job.service;
        uses[slot].push((start, free_at[slot]));
    }
    uses
}

fn least(free_at: &[Duration]) -> Option<(usize, Duration)> {
    let slots = free_at.iter().copied().enumerate();
    slots.min_by_key(|(_slot, free)| *free)
}

fn serve_groups(plan: &ClusterPlan, jobs: &mut [QueuedJob], tick: Duration) -> SlotUse {
    let mut uses: SlotUse = vec![Vec::new(); plan.all_slots() as usize];
    let mut free_at = vec![Duration::ZERO; uses.len()];
    let mut group: Vec<usize> = Vec::new();
    let mut next = 0;
    let mut now = Duration::ZERO;
    while now < plan.length + plan.patience {
        while next < jobs.len() && jobs[next].arrived <= now {
            group.push(next);
            next += 1;
        }
        group.retain(|index| now + jobs[*index].service <= jobs[*index].arrived + plan.patience);
        group.sort_by(|one, other| {
            let urgency = |index: &usize| {
                let job = jobs[*index];
                slowdown_of(now - job.arrived, job.service)
            };
            let by_slowdown = urgency(other).total_cmp(&urgency(one));
            by_slowdown.then(jobs[*one].service.cmp(&jobs[*other].service))
        });
        for (slot, free) in free_at.iter_mut().enumerate() {
            if *free <= now && !group.is_empty() {
                let index = group.remove(0);
                jobs[index].started = Some(now);
                *free = now + jobs[index].service;
                uses[slot].push((now, *free));
            }
        }
        now += tick;
    }
    uses
}

fn figures(plan: &ClusterPlan, jobs: &[QueuedJob], offered: usize, uses: &SlotUse) -> RunFigures {
    let begin = Instant::now();
    let counted = jobs.iter().filter(|job| job.arrived >= plan.warm_up);
    let accepted: Vec<&QueuedJob> = counted
        .clone()
        .filter(|job| job.started.is_some())
        .collect();
    let wait = |job: &&QueuedJob| job.started.unwrap_or(job.arrived) - job.arrived;
    let slowdowns = accepted
        .iter()
        .map(|job| slowdown_of(wait(job), job.service));
    let per_upstream: Vec<Vec<(Instant, Instant)>> = uses
        .chunks(plan.slots as usize)
        .map(|slots| {
            let runs = slots.iter().flatten();
            runs.map(|(from, to)| (begin + *from, begin + *to))
                .collect()
        })
        .collect();
    let in_time = |job: &&&QueuedJob| wait(job) + job.service <= plan.patience;
    let answered: Vec<&&QueuedJob> = accepted.iter().filter(in_time).collect();
    let counted = counted.count();
    RunFigures::new(plan, counted, accepted.iter().map(wait).collect())
        .with_answered(
            plan,
            answered.len(),
            answered.iter().map(|job| job.service).sum(),
        )
        .with_refused(offered.min(counted) - accepted.len())
        .with_slowdown(slowdowns.sum::<f64>() / accepted.len().max(1) as f64)
        .with_imbalance(plan, begin, &per_upstream)
}
