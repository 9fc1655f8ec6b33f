//! The store is down twice in quick succession, registrations expire meanwhile, and hosts are added
//! just after the first time.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::callers;
use crate::callers::Outcome;
use crate::cluster::CaseResult;
use crate::cluster::Cluster;
use crate::cluster::Record;
use crate::cluster::ledger;

/// Time for which all machines run undisturbed before: `StableWindowMs` and more.
const CALM: Duration = Duration::from_secs(8);
/// The first outage, longer than three heartbeat intervals of 770 ms.
const FIRST_OUTAGE: Duration = Duration::from_millis(2600);
/// Time between the outages, and length of the second one.
const PAUSE: Duration = Duration::from_millis(200);
const SECOND_OUTAGE: Duration = Duration::from_millis(700);
const CALLERS_PER_ZONE: usize = 4;
const FLOWS_PER_CALLER: usize = 10;

pub async fn run(has_trouble: bool) -> CaseResult<bool> {
    let record = Record::new();
    let mut cluster = Cluster::start(vec!["zig-a", "zig-b", "bign"], &[3, 3, 2], 6).await?;
    record.line("8 hosts in 3 zones are in rotation, 6 upstreams are registered");
    sleep(CALM).await;
    let mut callers = Vec::new();
    for zone in 0..cluster.zones.len() {
        for _caller in 0..CALLERS_PER_ZONE {
            callers.push((zone, cluster.caller(zone).await?, Vec::new()));
        }
    }
    let written_from = Instant::now();
    let mut attempts = Vec::new();
    for (zone, caller, flows) in &mut callers {
        let fabric = cluster.fabrics[*zone].clone();
        for _flow in 0..FLOWS_PER_CALLER {
            let sent = Instant::now();
            let flow = caller.open(ledger()).await;
            let mut flow = flow.map_err(|_error| "a flow did not open")?;
            let timeout = Duration::from_secs(2);
            let attempt = callers::call(caller, &fabric, &mut flow, sent, timeout).await;
            if !matches!(attempt.outcome, Outcome::Answered(_)) {
                return Err("a first request was not served".into());
            }
            attempts.push(attempt);
            flows.push(flow);
        }
    }
    record.line(format!(
        "{} flows are open, each has served a request",
        callers.len() * FLOWS_PER_CALLER
    ));
    cluster.publish_routes(3, false);
    record.line("the operator writes version 3, which changes no route");
    sleep(Duration::from_millis(500)).await;

    let end = Instant::now() + FIRST_OUTAGE;
    if has_trouble {
        cluster.silent.store(true, Ordering::Relaxed);
        record.line("the store is down");
    }
    sleep_until((end - Duration::from_millis(50)).into()).await;
    for zone in 0..cluster.zones.len() {
        cluster.start_host(zone).await?;
    }
    record.line("a host is added in each zone");
    sleep_until(end.into()).await;
    cluster.silent.store(false, Ordering::Relaxed);
    if has_trouble {
        for index in 0..cluster.upstreams.len() {
            cluster.expire(index);
        }
        record.line("the store is back, and all registrations have expired");
    }
    sleep(PAUSE).await;
    if has_trouble {
        cluster.silent.store(true, Ordering::Relaxed);
        record.line("the store is down again");
    }
    sleep(SECOND_OUTAGE).await;
    cluster.silent.store(false, Ordering::Relaxed);
    for index in 0..cluster.upstreams.len() {
        sleep(Duration::from_millis(120)).await;
        cluster.register(index, "ready");
    }
    record.line("the store is back, and all upstreams have registered again");

    // The machines are in touch 4 s after the second outage.
    sleep_until((end + Duration::from_millis(5500)).into()).await;
    record.line("each caller sends a request on each of its open flows");
    let asked = Instant::now();
    let mut tasks = Vec::new();
    for (zone, mut caller, flows) in callers {
        let fabric = cluster.fabrics[zone].clone();
        tasks.push(tokio::spawn(async move {
            let mut attempts = Vec::new();
            for mut flow in flows {
                let (sent, timeout) = (Instant::now(), Duration::from_millis(500));
                let attempt = callers::call(&mut caller, &fabric, &mut flow, sent, timeout).await;
                attempts.push(attempt);
            }
            attempts
        }));
    }
    for task in tasks {
        attempts.extend(task.await?);
    }
    callers::write_attempts(&record, &cluster, &attempts, written_from);
    let (mut served, mut silent, mut reset) = (0, 0, 0);
    for attempt in attempts.iter().filter(|attempt| attempt.sent >= asked) {
        match attempt.outcome {
            Outcome::Answered(_) => served += 1,
            Outcome::NoAnswer => silent += 1,
            Outcome::Reset => reset += 1,
        }
    }
    // An upstream resets a flow only upon a packet of a flow that it does not hold.
    let upstreams = cluster.upstreams.iter();
    let by_upstreams: u64 = upstreams.map(|upstream| upstream.tally().unknown).sum();
    record.line(format!(
        "open flows: served {served}, no answer {silent}, reset {reset}; resets by upstreams: {by_upstreams}"
    ));
    if by_upstreams > 0 {
        return Err("an upstream reset a flow".into());
    }
    Ok(reset == 0)
}
