//! Compares load balancing policies under load, in virtual time.

use std::io::Write;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use lagoonproxy::load_policy::LoadPolicy;
use lagoonproxy::load_settings::LoadSettings;
use lagoonproxy::service_policy::ServicePolicy;
use lagoonproxy_bench::choice_cost::measure_choice;
use lagoonproxy_bench::cluster_plan::ClusterPlan;
use lagoonproxy_bench::dispatch_check::BoundCheck;
use lagoonproxy_bench::dispatch_check::check_bounds;
use lagoonproxy_bench::late_binding_policy::LateBindingPolicy;
use lagoonproxy_bench::outcome_report::RunMetrics;
use lagoonproxy_bench::probing_policy::ProbingPolicy;
use lagoonproxy_bench::random_policy::RandomPolicy;
use lagoonproxy_bench::single_queue::QueueOrder;
use lagoonproxy_bench::single_queue::run_single_queue;
use lagoonproxy_bench::two_choice_policy::TwoChoicePolicy;
use lagoonproxy_bench::virtual_cluster::VirtualCluster;
use lagoonproxy_bench::virtual_upstream::SaturationBehavior;
use lagoonproxy_bench::work_shape::WorkShape;
use serde::Serialize;

/// Compare load balancing policies under load, in virtual time.
#[derive(FromArgs)]
struct DispatchArgs {
    /// policies to compare, separated by commas
    #[argh(option, default = "CANDIDATES.to_owned()")]
    candidates: String,
    /// offered loads in percent of all slots, separated by commas
    #[argh(option, default = "\"50,80,95,120,200\".to_owned()")]
    loads: String,
    /// service time distributions, separated by commas: exponential, pareto, fixed
    #[argh(option, default = "\"exponential,pareto\".to_owned()")]
    shapes: String,
    /// mean service time in milliseconds
    #[argh(option, default = "100")]
    mean_ms: u64,
    /// seconds of virtual time, of which 10 are a warm-up that is not measured
    #[argh(option, default = "310")]
    seconds: u64,
    /// fraction of requests that are bound to an upstream
    #[argh(option, default = "0.0")]
    pinned: f64,
    /// fraction of messages between hosts that are lost
    #[argh(option, default = "0.0")]
    loss: f64,
    /// seed of the random numbers
    #[argh(option, default = "1")]
    seed: u64,
    /// slots per allocator
    #[argh(option, default = "LoadSettings::default().pool_slots")]
    pool_slots: u32,
    /// number of zones
    #[argh(option, default = "3")]
    zones: u32,
    /// milliseconds of waiting that a request must save to be sent to another zone
    #[argh(
        option,
        default = "LoadSettings::default().spill_cost.as_millis() as u64"
    )]
    spill_cost_ms: u64,
    /// print JSON lines instead of a table
    #[argh(switch)]
    json: bool,
    /// only check the regression bounds
    #[argh(switch)]
    check: bool,
    /// only measure the time of a choice among this many upstreams
    #[argh(option)]
    choices: Option<u32>,
}

const CANDIDATES: &str = "random,two-choices,probing,late-binding,keepers,group,single-queue";

#[derive(Serialize)]
struct DispatchLine<'a> {
    candidate: &'a str,
    shape: &'a str,
    load: f64,
    #[serde(flatten)]
    figures: RunMetrics,
}

fn main() -> ExitCode {
    let args: DispatchArgs = argh::from_env();
    if args.check {
        return run_checks();
    }
    if let Some(count) = args.choices {
        let cost = measure_choice(count);
        println!("{count} upstreams: {cost:.0?} ns");
        return ExitCode::SUCCESS;
    }
    match compare(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run_checks() -> ExitCode {
    let checks = check_bounds();
    for check in &checks {
        let outcome = if check.is_within_bound() {
            "kept"
        } else {
            "BROKEN"
        };
        let BoundCheck { name, value, most } = check;
        println!("{outcome}: {name}: {value:.4}, at most {most}");
    }
    match checks.iter().all(BoundCheck::is_within_bound) {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

fn compare(args: &DispatchArgs) -> Result<(), String> {
    let mut out = std::io::stdout().lock();
    if !args.json {
        print_header(&mut out).map_err(|error| error.to_string())?;
    }
    for shape in args.shapes.split(',') {
        for load in args.loads.split(',') {
            let load: f64 = load
                .parse()
                .map_err(|_error| format!("invalid load {load}: expected a percentage"))?;
            let plan = cluster_plan(args, load / 100.0, shape)?;
            for candidate in args.candidates.split(',') {
                let line = DispatchLine {
                    candidate,
                    shape,
                    load,
                    figures: run_candidate(args, &plan, candidate)?,
                };
                print_line(&mut out, args.json, &line).map_err(|error| error.to_string())?;
            }
        }
    }
    Ok(())
}

fn cluster_plan(args: &DispatchArgs, load: f64, shape: &str) -> Result<ClusterPlan, String> {
    let shape = match shape {
        "exponential" => WorkShape::Exponential,
        "pareto" => WorkShape::Pareto,
        "fixed" => WorkShape::Fixed,
        _ => {
            return Err(format!(
                "unknown shape {shape}: expected exponential, pareto or fixed"
            ));
        }
    };
    let mut plan = ClusterPlan::standard(load, shape, args.seed);
    plan.length = Duration::from_secs(args.seconds);
    plan.loss = args.loss;
    plan.zones = args.zones;
    for class in &mut plan.classes {
        class.mean = Duration::from_millis(args.mean_ms);
        class.pinned_share = args.pinned;
    }
    Ok(plan)
}

fn run_candidate(
    args: &DispatchArgs,
    plan: &ClusterPlan,
    candidate: &str,
) -> Result<RunMetrics, String> {
    let settings = LoadSettings {
        pool_slots: args.pool_slots,
        first_service_time: Duration::from_millis(args.mean_ms),
        spill_cost: Duration::from_millis(args.spill_cost_ms),
        ..LoadSettings::default()
    };
    let seed = args.seed;
    let run = |retry_behavior, make: &dyn Fn(u64) -> Box<dyn LoadPolicy>| {
        let seed_of = |host| seed.wrapping_mul(1_000) + u64::from(host);
        let cluster = VirtualCluster::new(plan.clone(), retry_behavior, |host| make(seed_of(host)));
        let run = cluster.run();
        match run.faults.first() {
            Some(fault) => Err(format!("{candidate}: {} faults, {fault}", run.faults.len())),
            None => Ok(RunMetrics::from_run(plan, &run)),
        }
    };
    let queue = SaturationBehavior::Queue;
    match candidate {
        "random" => run(queue, &|seed| Box::new(RandomPolicy::new(seed))),
        "two-choices" => run(queue, &|seed| Box::new(TwoChoicePolicy::new(seed))),
        "probing" => run(queue, &|seed| Box::new(ProbingPolicy::new(seed))),
        "late-binding" => run(SaturationBehavior::Reserve, &|seed| {
            Box::new(LateBindingPolicy::new(seed))
        }),
        "keepers" => run(SaturationBehavior::Shed, &|seed| {
            let host = (seed % 1_000) as u32;
            Box::new(ServicePolicy::new(host, seed, settings.clone()))
        }),
        "group" => {
            let tick = lagoonproxy::host_core::TICK;
            Ok(run_single_queue(plan, QueueOrder::Group(tick)))
        }
        "single-queue" => Ok(run_single_queue(plan, QueueOrder::Arrival)),
        _ => Err(format!(
            "unknown candidate {candidate}: expected one of {CANDIDATES}"
        )),
    }
}

fn print_header(out: &mut impl Write) -> std::io::Result<()> {
    writeln!(
        out,
        "| shape | load % | candidate | goodput | answered | refused | missed in queue | \
         missed running | wait p50 ms | wait p99 ms | slowdown | imbalance | messages/job | \
         B/host/s | sends/job |"
    )?;
    writeln!(out, "|{}", "---|".repeat(15))
}

fn print_line(out: &mut impl Write, json: bool, line: &DispatchLine<'_>) -> std::io::Result<()> {
    if json {
        let text = serde_json::to_string(line).map_err(std::io::Error::other)?;
        return writeln!(out, "{text}");
    }
    let f = &line.figures;
    writeln!(
        out,
        "| {} | {} | {} | {:.3} | {:.3} | {:.3} | {:.4} | {:.4} | {:.1} | {:.1} | {:.2} | {:.3} \
         | {:.2} | {:.0} | {:.3} |",
        line.shape,
        line.load,
        line.candidate,
        f.goodput,
        f.answered,
        f.refused,
        f.missed_waiting,
        f.missed_running,
        f.wait_p50_ms,
        f.wait_p99_ms,
        f.slowdown,
        f.imbalance,
        f.messages_per_job,
        f.bytes_per_host_second,
        f.sends_per_job
    )
}
