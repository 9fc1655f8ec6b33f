//! The store is down twice in quick succession, registrations expire meanwhile, and hosts are added
//! just after the first time.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy_standin::packet_caller::CallError;
use tokio::time::sleep;
use tokio::time::sleep_until;

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

pub async fn run(folder: &str, has_trouble: bool) -> CaseResult<bool> {
    let mut record = Record::create(folder)?;
    let mut cluster = Cluster::start(vec!["zig-a", "zig-b", "bign"], &[3, 3, 2], 6).await?;
    record.line("8 hosts in 3 zones are in rotation, 6 upstreams are registered");
    sleep(CALM).await;
    let mut callers = Vec::new();
    for zone in 0..cluster.zones.len() {
        for _caller in 0..CALLERS_PER_ZONE {
            callers.push((zone, cluster.caller(zone).await?, Vec::new()));
        }
    }
    for (_zone, caller, flows) in &mut callers {
        for _flow in 0..FLOWS_PER_CALLER {
            let mut flow = caller
                .open(ledger())
                .await
                .map_err(|_| "a flow did not open")?;
            let answer = caller
                .request(&mut flow, b"one", Duration::from_secs(2))
                .await;
            let answer = answer.map_err(|_| "a first request was not served")?;
            flows.push((flow, String::from_utf8_lossy(&answer).into_owned()));
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
    let mut tasks = Vec::new();
    for (zone, mut caller, flows) in callers {
        let fabric = cluster.fabrics[zone].clone();
        tasks.push(tokio::spawn(async move {
            let mut results = Vec::new();
            for (mut flow, first) in flows {
                let host = fabric.select_host((flow.source(), flow.service()));
                let result = caller
                    .request(&mut flow, b"two", Duration::from_millis(500))
                    .await;
                results.push((flow.source(), first, host, result));
            }
            results
        }));
    }
    let (mut served, mut silent, mut reset) = (0, 0, 0);
    for task in tasks {
        for (source, first, host, result) in task.await? {
            match result {
                Ok(_response) => served += 1,
                Err(CallError::Timeout) => silent += 1,
                Err(CallError::Reset) => {
                    reset += 1;
                    let host = cluster
                        .hosts
                        .iter()
                        .position(|other| Some(other.packets) == host);
                    let name = host
                        .map(|index| cluster.hosts[index].name.as_str())
                        .unwrap_or_default();
                    let added = if host.is_some_and(|index| index >= 8) {
                        "added"
                    } else {
                        "of before"
                    };
                    record.line(format!("the flow from {source}, opened at the upstream that answered \"{first}\", is reset by {name}, {added}"));
                }
            }
        }
    }
    let unknown: u64 = cluster
        .upstreams
        .iter()
        .map(|upstream| upstream.tally().unknown)
        .sum();
    record.line(format!(
        "served: {served}, no answer: {silent}, reset: {reset}; resets by upstreams: {unknown}"
    ));
    Ok(reset == 0 || unknown > 0)
}
