//! Measures a change of owners: until when flows are in doubt, how many, and what it costs.

use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use lagoonproxy::flow_hash::FlowHasher;
use lagoonproxy::flow_query::FlowIntent;
use lagoonproxy::ids::FlowDigest;
use lagoonproxy_bench::flow_cell::FlowCell;
use serde::Serialize;

/// Hosts of the cell before the change.
const HOSTS: u32 = 8;
const UPSTREAMS: u32 = 14;
/// Flows of which the share in doubt is estimated.
const SAMPLE: u64 = 4_000;
/// Longest virtual time that a change may take.
const LONGEST: Duration = Duration::from_secs(600);

/// Measure a change of owners.
#[derive(FromArgs)]
struct OwnershipArgs {
    /// flows that each host holds before the change
    #[argh(option, default = "20_000")]
    held: u64,
    /// bytes a second that a host may send for copies
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
    let join: fn(&mut FlowCell) = |cell| cell.join(HOSTS + 1);
    let leave: fn(&mut FlowCell) = |cell| cell.leave(2);
    let crash: fn(&mut FlowCell) = |cell| cell.crash(2);
    for (change, apply) in [("join", join), ("leave", leave), ("crash", crash)] {
        let result = measure(&args, change, apply);
        match serde_json::to_string(&result) {
            Ok(line) => println!("{line}"),
            Err(error) => eprintln!("cannot encode: {error}"),
        }
    }
}

fn measure(
    args: &OwnershipArgs,
    change: &'static str,
    apply: fn(&mut FlowCell),
) -> OwnershipResult {
    let flows = args.held * u64::from(HOSTS);
    let digests = digests(flows);
    let mut cell = FlowCell::start(HOSTS, UPSTREAMS, args.copy_rate);
    for digest in &digests {
        cell.lookup(*digest, FlowIntent::Open);
    }
    settle(&mut cell);
    let step = (flows / SAMPLE).max(1) as usize;
    let sample: Vec<FlowDigest> = digests.iter().copied().step_by(step).collect();
    let before = cell.counts;
    let start = cell.now;
    apply(&mut cell);
    let in_doubt_at_once = share_in_doubt(&cell, &sample);
    let mut doubt_end = start;
    let mut longest_tick = Duration::ZERO;
    while cell.now < start + LONGEST {
        let tick = Instant::now();
        cell.step();
        longest_tick = longest_tick.max(tick.elapsed());
        if share_in_doubt(&cell, &sample) > 0.0 {
            doubt_end = cell.now;
        } else if cell.is_settled() {
            break;
        }
    }
    OwnershipResult {
        change,
        flows_a_host: args.held,
        in_doubt_at_once,
        doubt_ends_after_seconds: (doubt_end - start).as_secs_f64(),
        settled_after_seconds: (cell.now - start).as_secs_f64(),
        control_bytes: cell.counts.control_bytes - before.control_bytes,
        copied: cell.counts.copied - before.copied,
        longest_tick_microseconds: longest_tick.as_micros() / u128::from(HOSTS),
    }
}

fn settle(cell: &mut FlowCell) {
    cell.run(Duration::from_secs(3));
    while !cell.is_settled() {
        cell.step();
    }
}

fn share_in_doubt(cell: &FlowCell, sample: &[FlowDigest]) -> f64 {
    let in_doubt = sample.iter().filter(|digest| cell.needs_query(**digest));
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
