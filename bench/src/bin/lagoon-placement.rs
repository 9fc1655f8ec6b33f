//! Compares ways to place flows over the same changes: flows broken, control bytes, hops.

use std::process::ExitCode;

use argh::FromArgs;
use lagoonproxy::flow_hash::FlowHasher;
use lagoonproxy::flow_query::FlowIntent;
use lagoonproxy::ids::FlowDigest;
use lagoonproxy::ids::HostId;
use lagoonproxy::ids::UpstreamId;
use lagoonproxy_bench::placement_scheme::DirectoryScheme;
use lagoonproxy_bench::placement_scheme::MemoryScheme;
use lagoonproxy_bench::placement_scheme::ModuloScheme;
use lagoonproxy_bench::placement_scheme::PlacementChange;
use lagoonproxy_bench::placement_scheme::PlacementScheme;
use lagoonproxy_bench::placement_scheme::RendezvousScheme;
use lagoonproxy_bench::placement_scheme::SchemeWorld;
use lagoonproxy_bench::placement_scheme::SlotScheme;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;

/// Ticks of 10 ms between two changes of a scenario that come one after the other.
const CHANGE_TICKS: usize = 300;
/// Ticks that a leaving host may take to hand over.
const LEAVE_TICKS: usize = 12_000;

/// Compare ways to place flows over the same changes.
#[derive(FromArgs)]
struct PlacementArgs {
    /// flows opened before the changes
    #[argh(option, default = "200_000")]
    flows: u64,
    /// entry hosts
    #[argh(option, default = "8")]
    hosts: u32,
    /// upstreams
    #[argh(option, default = "14")]
    upstreams: u32,
    /// bytes a second that a host may send for copies
    #[argh(option, default = "2_048")]
    copy_rate: u32,
    /// seed of which host gets a frame, and of which flows speak when
    #[argh(option, default = "1")]
    seed: u64,
    /// only the product's way, with a failing exit code if a bound is passed
    #[argh(switch)]
    check: bool,
    /// JSON lines instead of a table
    #[argh(switch)]
    json: bool,
}

/// One scenario: groups of changes; those of a group come at once.
struct Scenario {
    name: &'static str,
    groups: Vec<Vec<PlacementChange>>,
    /// Most broken flows in a thousand that the product may have.
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
            let product = result.scheme == "table and exceptions";
            let allowed = (result.flows as f64 * scenario.bound / 1_000.0) as u64;
            failed |= product && result.broken > allowed;
            print_result(&args, &result);
        }
    }
    if args.check && failed {
        eprintln!("a bound on broken flows is passed");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn schemes(args: &PlacementArgs) -> Vec<Box<dyn PlacementScheme>> {
    let directory = DirectoryScheme::start(args.hosts, args.upstreams, args.copy_rate);
    let product: Box<dyn PlacementScheme> = Box::new(directory);
    if args.check {
        return vec![product];
    }
    vec![
        Box::new(ModuloScheme),
        Box::<MemoryScheme>::default(),
        Box::new(RendezvousScheme),
        Box::<SlotScheme>::default(),
        product,
    ]
}

fn scenarios(args: &PlacementArgs) -> Vec<Scenario> {
    let all: Vec<UpstreamId> = (0..args.upstreams).collect();
    let last = args.upstreams;
    let without = |gone: &[UpstreamId]| -> Vec<UpstreamId> {
        all.iter()
            .copied()
            .filter(|id| !gone.contains(id))
            .collect()
    };
    let more: Vec<UpstreamId> = (0..=last).collect();
    let drain = upstreams(&all, &[3]);
    let many = upstreams(&all, &[1, 3, 5, 7]);
    let add = upstreams(&more, &[]);
    let selector = upstreams(&without(&[2, 9]), &[]);
    let back = upstreams(&all, &[]);
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
        planned("four upstreams drain", vec![vec![many.clone()]]),
        planned("upstream added", vec![vec![add.clone()]]),
        planned("selector drops two", vec![vec![selector.clone()]]),
        planned("host joins", vec![vec![join.clone()]]),
        planned("host leaves", vec![vec![leave.clone()]]),
        planned(
            "all at once",
            vec![vec![many.clone(), leave.clone(), join.clone()]],
        ),
        planned(
            "repeated",
            vec![
                vec![drain.clone()],
                vec![leave, selector],
                vec![add.clone(), join],
                vec![PlacementChange::Join(2), back.clone()],
                vec![PlacementChange::Leave(3), drain],
                vec![PlacementChange::Leave(2), back],
            ],
        ),
        Scenario {
            name: "host crashes",
            groups: vec![vec![PlacementChange::Crash(4)]],
            bound: 1.0,
        },
        Scenario {
            name: "crash amid a drain of four",
            groups: vec![vec![many], vec![PlacementChange::Crash(4)]],
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
    world: SchemeWorld,
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
    let world = SchemeWorld {
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
    run.pass(1_000);
    let before = run.scheme.counts();
    let started = run.scheme.elapsed();
    run.ticks = 0;
    for group in &scenario.groups {
        run.apply(group);
        run.pass(CHANGE_TICKS);
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

    fn apply(&mut self, group: &[PlacementChange]) {
        let mut leaving = Vec::new();
        for change in group {
            self.note(change, &mut leaving);
            self.scheme.change(&self.world, change);
        }
        for _tick in 0..LEAVE_TICKS {
            if leaving.is_empty() || self.scheme.may_end() {
                break;
            }
            self.pass(1);
        }
    }

    fn note(&mut self, change: &PlacementChange, leaving: &mut Vec<HostId>) {
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

    /// Lets ticks pass, in each of which one flow in 5,000 speaks.
    fn pass(&mut self, ticks: usize) {
        for _tick in 0..ticks {
            self.scheme.step();
            self.ticks += 1;
            for _frame in 0..self.places.len() / 5_000 {
                let index = self.random.random_range(0..self.places.len());
                self.speak(index);
            }
        }
    }

    fn check_all(&mut self) {
        for index in 0..self.places.len() {
            self.speak(index);
        }
    }

    fn speak(&mut self, index: usize) {
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
            Err(error) => eprintln!("cannot encode: {error}"),
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
