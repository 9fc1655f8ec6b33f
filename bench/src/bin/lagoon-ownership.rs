//! Measures ownership changes: how many flows have an undetermined upstream, for how long, and the
//! cost in control messages and processor time.

use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use lagoonproxy::flow_hash::FlowHasher;
use lagoonproxy::flow_query::FlowIntent;
use lagoonproxy::ids::FlowDigest;
use lagoonproxy_bench::flow_group::FlowGroup;
use serde::Serialize;

/// Hosts of the ownership group before the change.
const HOSTS: u32 = 8;
const UPSTREAMS: u32 = 14;
/// Number of flows from which the share of undetermined flows is estimated.
const SAMPLE_SIZE: u64 = 4_000;
/// Maximum virtual time after a change.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(600);

/// Measure ownership changes of flows.
#[derive(FromArgs)]
struct OwnershipArgs {
    /// flows that each host holds before the change
    #[argh(option, default = "20_000")]
    held: u64,
    /// bytes per second that a host may send to copy flow entries
    #[argh(option, default = "2_048")]
    copy_rate: u32,
}

#[derive(Serialize)]
struct OwnershipResult {
    change: &'static str,
    flows_a_host: u64,
    in_doubt_at_once: f64,
    doubt_ends_after_seconds: f64,
    settled_after_seconds: f64,
    control_bytes: usize,
    copied: usize,
    longest_tick_microseconds: u128,
}

fn main() {
    let args: OwnershipArgs = argh::from_env();
    let join: fn(&mut FlowGroup) = |group| group.join(HOSTS + 1);
    let leave: fn(&mut FlowGroup) = |group| group.leave(2);
    let crash: fn(&mut FlowGroup) = |group| group.crash(2);
    for (change, apply) in [("join", join), ("leave", leave), ("crash", crash)] {
        let result = measure(&args, change, apply);
        match serde_json::to_string(&result) {
            Ok(line) => println!("{line}"),
            Err(error) => eprintln!("cannot encode a result: {error}"),
        }
    }
}

fn measure(
    args: &OwnershipArgs,
    change: &'static str,
    apply: fn(&mut FlowGroup),
) -> OwnershipResult {
    let flows = args.held * u64::from(HOSTS);
    let digests = digests(flows);
    let mut group = FlowGroup::start(HOSTS, UPSTREAMS, args.copy_rate);
    for digest in &digests {
        group.lookup(*digest, FlowIntent::Open);
    }
    settle(&mut group);
    let step = (flows / SAMPLE_SIZE).max(1) as usize;
    let sample: Vec<FlowDigest> = digests.iter().copied().step_by(step).collect();
    let before = group.counts;
    let start = group.now;
    apply(&mut group);
    let in_doubt_at_once = share_in_doubt(&group, &sample);
    let mut doubt_end = start;
    let mut longest_tick = Duration::ZERO;
    while group.now < start + MAX_SETTLE_TIME {
        let tick = Instant::now();
        group.step();
        longest_tick = longest_tick.max(tick.elapsed());
        if share_in_doubt(&group, &sample) > 0.0 {
            doubt_end = group.now;
        } else if group.is_settled() {
            break;
        }
    }
    OwnershipResult {
        change,
        flows_a_host: args.held,
        in_doubt_at_once,
        doubt_ends_after_seconds: (doubt_end - start).as_secs_f64(),
        settled_after_seconds: (group.now - start).as_secs_f64(),
        control_bytes: group.counts.control_bytes - before.control_bytes,
        copied: group.counts.copied - before.copied,
        longest_tick_microseconds: longest_tick.as_micros() / u128::from(HOSTS),
    }
}

fn settle(group: &mut FlowGroup) {
    group.run(Duration::from_secs(3));
    while !group.is_settled() {
        group.step();
    }
}

fn share_in_doubt(group: &FlowGroup, sample: &[FlowDigest]) -> f64 {
    let in_doubt = sample.iter().filter(|digest| group.needs_query(**digest));
    in_doubt.count() as f64 / sample.len() as f64
}

fn digests(count: u64) -> Vec<FlowDigest> {
    let hasher = FlowHasher::new([3; 16]);
    let service = ([10, 0, 0, 1], 700).into();
    let caller = ([127, 0, 0, 1], 9_000).into();
    (0..count)
        .map(|flow| hasher.digest(service, caller, flow))
        .collect()
}
