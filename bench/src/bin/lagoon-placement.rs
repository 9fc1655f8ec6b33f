//! Compares flow placement schemes under the same changes: broken flows, control bytes and
//! forwarded frames.

use std::process::ExitCode;

use argh::FromArgs;
use lagoonproxy::flow_hash::FlowHasher;
use lagoonproxy::flow_query::FlowIntent;
use lagoonproxy::ids::FlowDigest;
use lagoonproxy::ids::HostId;
use lagoonproxy::ids::UpstreamId;
use lagoonproxy_bench::placement_scheme::FlowDirectoryScheme;
use lagoonproxy_bench::placement_scheme::HostMemoryScheme;
use lagoonproxy_bench::placement_scheme::MaglevScheme;
use lagoonproxy_bench::placement_scheme::ModuloScheme;
use lagoonproxy_bench::placement_scheme::PlacementChange;
use lagoonproxy_bench::placement_scheme::PlacementScheme;
use lagoonproxy_bench::placement_scheme::PlacementState;
use lagoonproxy_bench::placement_scheme::RendezvousScheme;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;

/// Ticks of 10 ms after each group of changes of a scenario.
const CHANGE_TICKS: usize = 300;
/// Maximum ticks that a leaving host may take to hand over its flows.
const LEAVE_TICKS: usize = 12_000;

/// Compare flow placement schemes under the same changes.
#[derive(FromArgs)]
struct PlacementArgs {
    /// flows opened before the changes
    #[argh(option, default = "200_000")]
    flows: u64,
    /// number of entry hosts
    #[argh(option, default = "8")]
    hosts: u32,
    /// number of upstreams
    #[argh(option, default = "14")]
    upstreams: u32,
    /// bytes per second that a host may send to copy flow entries
    #[argh(option, default = "2_048")]
    copy_rate: u32,
    /// seed of the choice of hosts and flows for each frame
    #[argh(option, default = "1")]
    seed: u64,
    /// only run lagoonproxy's own scheme, and fail if a bound is exceeded
    #[argh(switch)]
    check: bool,
    /// print JSON lines instead of a table
    #[argh(switch)]
    json: bool,
}

/// A scenario: groups of changes, of which those of one group happen at the same time.
struct Scenario {
    name: &'static str,
    groups: Vec<Vec<PlacementChange>>,
    /// Maximum broken flows per thousand that lagoonproxy's own scheme may have.
    bound: f64,
}

#[derive(Serialize)]
struct PlacementResult {
    scenario: &'static str,
    scheme: &'static str,
    flows: u64,
    broken: u64,
    copied: usize,
    control_bytes_a_host: usize,
    seconds: f64,
    control_bytes_a_second_a_host: usize,
    questions: usize,
    question_bytes: usize,
    forwarded_percent: usize,
}

fn main() -> ExitCode {
    let args: PlacementArgs = argh::from_env();
    let mut failed = false;
    if !args.json {
        print_header();
    }
    for scenario in scenarios(&args) {
        for mut scheme in schemes(&args) {
            let result = measure(&args, &scenario, scheme.as_mut());
            let own_scheme = result.scheme == "table and exceptions";
            let allowed = (result.flows as f64 * scenario.bound / 1_000.0) as u64;
            failed |= own_scheme && result.broken > allowed;
            print_result(&args, &result);
        }
    }
    if args.check && failed {
        eprintln!("the number of broken flows exceeds a bound");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn schemes(args: &PlacementArgs) -> Vec<Box<dyn PlacementScheme>> {
    let directory = FlowDirectoryScheme::start(args.hosts, args.upstreams, args.copy_rate);
    let own_scheme: Box<dyn PlacementScheme> = Box::new(directory);
    if args.check {
        return vec![own_scheme];
    }
    vec![
        Box::new(ModuloScheme),
        Box::<HostMemoryScheme>::default(),
        Box::new(RendezvousScheme),
        Box::<MaglevScheme>::default(),
        own_scheme,
    ]
}

fn scenarios(args: &PlacementArgs) -> Vec<Scenario> {
    let all: Vec<UpstreamId> = (0..args.upstreams).collect();
    let last = args.upstreams;
    let without = |removed: &[UpstreamId]| -> Vec<UpstreamId> {
        all.iter()
            .copied()
            .filter(|id| !removed.contains(id))
            .collect()
    };
    let more: Vec<UpstreamId> = (0..=last).collect();
    let drain = upstreams(&all, &[3]);
    let drain_four = upstreams(&all, &[1, 3, 5, 7]);
    let add = upstreams(&more, &[]);
    let selector = upstreams(&without(&[2, 9]), &[]);
    let restored = upstreams(&all, &[]);
    let new_host = args.hosts + 1;
    let leave = PlacementChange::Leave(2);
    let join = PlacementChange::Join(new_host);
    let planned = |name, groups| Scenario {
        name,
        groups,
        bound: 0.0,
    };
    vec![
        planned("upstream drains", vec![vec![drain.clone()]]),
        planned("four upstreams drain", vec![vec![drain_four.clone()]]),
        planned("upstream added", vec![vec![add.clone()]]),
        planned("selector drops two", vec![vec![selector.clone()]]),
        planned("host joins", vec![vec![join.clone()]]),
        planned("host leaves", vec![vec![leave.clone()]]),
        planned(
            "all at once",
            vec![vec![drain_four.clone(), leave.clone(), join.clone()]],
        ),
        planned(
            "repeated",
            vec![
                vec![drain.clone()],
                vec![leave, selector],
                vec![add.clone(), join],
                vec![PlacementChange::Join(2), restored.clone()],
                vec![PlacementChange::Leave(3), drain],
                vec![PlacementChange::Leave(2), restored],
            ],
        ),
        Scenario {
            name: "host crashes",
            groups: vec![vec![PlacementChange::Crash(4)]],
            bound: 1.0,
        },
        Scenario {
            name: "crash amid a drain of four",
            groups: vec![vec![drain_four], vec![PlacementChange::Crash(4)]],
            bound: 1.0,
        },
        Scenario {
            name: "crash with an added upstream",
            groups: vec![vec![add, PlacementChange::Crash(4)]],
            bound: 1.0,
        },
    ]
}

fn upstreams(matching: &[UpstreamId], draining: &[UpstreamId]) -> PlacementChange {
    PlacementChange::Upstreams {
        matching: matching.to_vec(),
        draining: draining.to_vec(),
    }
}

struct PlacementRun<'a> {
    scheme: &'a mut dyn PlacementScheme,
    world: PlacementState,
    random: StdRng,
    places: Vec<(FlowDigest, Option<UpstreamId>)>,
    broken: Vec<bool>,
    ticks: usize,
}

fn measure(
    args: &PlacementArgs,
    scenario: &Scenario,
    scheme: &mut dyn PlacementScheme,
) -> PlacementResult {
    let world = PlacementState {
        hosts: (1..=args.hosts).collect(),
        active: (0..args.upstreams).collect(),
    };
    let mut run = PlacementRun {
        scheme,
        world,
        random: StdRng::seed_from_u64(args.seed),
        places: Vec::new(),
        broken: Vec::new(),
        ticks: 0,
    };
    run.open(args.flows);
    run.advance(1_000);
    let before = run.scheme.counts();
    let started = run.scheme.elapsed();
    run.ticks = 0;
    for concurrent_changes in &scenario.groups {
        run.apply(concurrent_changes);
        run.advance(CHANGE_TICKS);
    }
    run.check_all();
    let after = run.scheme.counts();
    let hosts = run.world.hosts.len();
    let control_bytes = (after.control_bytes - before.control_bytes) / hosts;
    let elapsed = run.scheme.elapsed().zip(started);
    let seconds = match elapsed {
        Some((end, start)) => (end - start).as_secs_f64(),
        None => run.ticks as f64 / 100.0,
    };
    PlacementResult {
        scenario: scenario.name,
        scheme: run.scheme.name(),
        flows: args.flows,
        broken: run.broken.iter().filter(|broken| **broken).count() as u64,
        copied: after.copied - before.copied,
        control_bytes_a_host: control_bytes,
        seconds,
        control_bytes_a_second_a_host: (control_bytes as f64 / seconds) as usize,
        questions: after.questions - before.questions,
        question_bytes: after.question_bytes - before.question_bytes,
        forwarded_percent: run.scheme.forwarded_percent(hosts),
    }
}

impl PlacementRun<'_> {
    fn open(&mut self, flows: u64) {
        let hasher = FlowHasher::new([3; 16]);
        let service = ([10, 0, 0, 1], 700).into();
        let caller = ([127, 0, 0, 1], 9_000).into();
        for flow in 0..flows {
            let digest = hasher.digest(service, caller, flow);
            let host = self.any_host();
            let place = self
                .scheme
                .frame(&self.world, host, digest, FlowIntent::Open);
            self.places.push((digest, place));
        }
        self.broken = vec![false; self.places.len()];
    }

    fn apply(&mut self, concurrent_changes: &[PlacementChange]) {
        let mut leaving = Vec::new();
        for change in concurrent_changes {
            self.update_world(change, &mut leaving);
            self.scheme.change(&self.world, change);
        }
        for _tick in 0..LEAVE_TICKS {
            if leaving.is_empty() || self.scheme.can_stop() {
                break;
            }
            self.advance(1);
        }
    }

    fn update_world(&mut self, change: &PlacementChange, leaving: &mut Vec<HostId>) {
        match change {
            PlacementChange::Upstreams { matching, draining } => {
                let mut active = matching.clone();
                active.retain(|id| !draining.contains(id));
                self.world.active = active;
            }
            PlacementChange::Join(host) => self.world.hosts.push(*host),
            PlacementChange::Crash(host) => self.world.hosts.retain(|other| other != host),
            PlacementChange::Leave(host) => {
                self.world.hosts.retain(|other| other != host);
                leaving.push(*host);
            }
        }
    }

    /// Advances by `ticks` ticks, and in each sends a frame on one of every 5,000 flows.
    fn advance(&mut self, ticks: usize) {
        for _tick in 0..ticks {
            self.scheme.step();
            self.ticks += 1;
            for _frame in 0..self.places.len() / 5_000 {
                let index = self.random.random_range(0..self.places.len());
                self.send_frame(index);
            }
        }
    }

    fn check_all(&mut self) {
        for index in 0..self.places.len() {
            self.send_frame(index);
        }
    }

    fn send_frame(&mut self, index: usize) {
        let host = self.any_host();
        let (digest, place) = self.places[index];
        let now = self
            .scheme
            .frame(&self.world, host, digest, FlowIntent::Established);
        if now != place {
            self.broken[index] = true;
        }
    }

    fn any_host(&mut self) -> HostId {
        let index = self.random.random_range(0..self.world.hosts.len());
        self.world.hosts[index]
    }
}

fn print_header() {
    println!(
        "{:<30} {:<22} {:>8} {:>8} {:>9} {:>8} {:>8} {:>9} {:>6}",
        "scenario", "scheme", "broken", "copied", "B/host", "s", "B/s/host", "questions", "hop %"
    );
}

fn print_result(args: &PlacementArgs, result: &PlacementResult) {
    if args.json {
        match serde_json::to_string(result) {
            Ok(line) => println!("{line}"),
            Err(error) => eprintln!("cannot encode a result: {error}"),
        }
        return;
    }
    println!(
        "{:<30} {:<22} {:>8} {:>8} {:>9} {:>8.1} {:>8} {:>9} {:>6}",
        result.scenario,
        result.scheme,
        result.broken,
        result.copied,
        result.control_bytes_a_host,
        result.seconds,
        result.control_bytes_a_second_a_host,
        result.questions,
        result.forwarded_percent
    );
}
