//! Runs the whole path in one process and prints what the callers received.

use std::process::ExitCode;
use std::time::Instant;

use argh::FromArgs;
use bytes::Bytes;
use lagoonproxy_standin::caller::CallOutcome;
use lagoonproxy_standin::caller::Caller;
use lagoonproxy_standin::demo::CALL_BUDGET;
use lagoonproxy_standin::demo::Demo;
use lagoonproxy_standin::demo::DemoService;
use lagoonproxy_standin::upstream::expected_answer;

const ZONES: [&str; 3] = ["zig-a", "zig-b", "bign"];

/// Starts a platform, entry hosts and upstreams on loopback, and sends requests.
#[derive(FromArgs)]
struct DemoArgs {
    /// requests to send
    #[argh(option, default = "10_000")]
    requests: u64,
    /// entry hosts to start
    #[argh(option, default = "8")]
    hosts: u32,
    /// callers that send at the same time
    #[argh(option, default = "50")]
    callers: u64,
}

/// What the callers received.
#[derive(Clone, Copy, Debug, Default)]
struct CallTally {
    whole: u64,
    wrong: u64,
    refused: u64,
    lost: u64,
}

#[tokio::main]
async fn main() -> Result<ExitCode, Box<dyn std::error::Error>> {
    let args: DemoArgs = argh::from_env();
    let services = demo_services();
    let demo = Demo::start(args.hosts, &ZONES, &services).await?;
    let share = args.requests.div_ceil(args.callers);
    let mut tasks = Vec::new();
    for number in 0..args.callers {
        let caller = Caller::bind(demo.caller_addresses.clone(), number).await?;
        let service = services[number as usize % services.len()];
        tasks.push(tokio::spawn(call_many(caller, service, share)));
    }
    let mut tally = CallTally::default();
    for task in tasks {
        let part = task.await??;
        tally.whole += part.whole;
        tally.wrong += part.wrong;
        tally.refused += part.refused;
        tally.lost += part.lost;
    }
    println!("answers: whole {} wrong {}", tally.whole, tally.wrong);
    println!("refused {} lost {}", tally.refused, tally.lost);
    let served = tally.wrong == 0 && tally.lost == 0 && tally.refused == 0;
    Ok(if served {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

async fn call_many(
    mut caller: Caller,
    service: DemoService,
    requests: u64,
) -> std::io::Result<CallTally> {
    let flow = 1;
    let mut tally = CallTally::default();
    let opened = caller
        .open(service.address, flow, Instant::now() + CALL_BUDGET)
        .await?;
    if !opened {
        tally.lost = requests;
        return Ok(tally);
    }
    for request in 1..=requests {
        let payload = Bytes::from(format!("{} {request} ", service.name).repeat(60));
        let outcome = caller
            .call(service.address, flow, request, &payload, CALL_BUDGET)
            .await?;
        match outcome {
            CallOutcome::Answered(answer) if answer == expected_answer(service.name, &payload) => {
                tally.whole += 1;
            }
            CallOutcome::Answered(_) => tally.wrong += 1,
            CallOutcome::Refused(_) => tally.refused += 1,
            CallOutcome::TimedOut => tally.lost += 1,
        }
    }
    Ok(tally)
}

fn demo_services() -> [DemoService; 2] {
    [
        DemoService {
            id: 1,
            name: "ledger",
            address: ([10, 0, 0, 1], 700).into(),
            upstreams: 14,
        },
        DemoService {
            id: 2,
            name: "certdocs",
            address: ([10, 0, 0, 2], 443).into(),
            upstreams: 4,
        },
    ]
}
