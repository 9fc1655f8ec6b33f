//! The store stops answering the machine of each zone that reads it, and serves the others. An
//! upstream then reports that it drains.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy_standin::packet_store::StoreBehaviour;

use crate::cluster::CaseResult;
use crate::cluster::Cluster;
use crate::cluster::Record;
use crate::cluster::ledger;

/// `DrainMs` in the settings.
const DRAIN_BOUND: Duration = Duration::from_millis(3000);
/// Time for which all machines run undisturbed before: `StableWindowMs` and more.
const CALM: Duration = Duration::from_secs(10);
/// Time for which the store does not answer some machines, as in the site file.
const UNANSWERED: Duration = Duration::from_secs(9);
/// The upstream that drains.
const DRAINING: usize = 0;

/// A served request.
struct Served {
    /// When the caller sent the first SYN of its flow.
    sent: Instant,
    host: std::net::SocketAddrV4,
    upstream: u64,
}

pub async fn run(folder: &str, has_trouble: bool) -> CaseResult<bool> {
    let mut record = Record::create(folder)?;
    let mut cluster = Cluster::start(vec!["zig-a", "zig-b", "bign"], &[3, 3, 2], 6).await?;
    record.line("8 hosts in 3 zones are in rotation, 6 upstreams are registered");
    let served = Arc::new(Mutex::new(Vec::new()));
    for zone in 0..cluster.zones.len() {
        for _caller in 0..3 {
            let mut caller = cluster.caller(zone).await?;
            let fabric = cluster.fabrics[zone].clone();
            let served = served.clone();
            tokio::spawn(async move {
                loop {
                    let sent = Instant::now();
                    if let Ok(mut flow) = caller.open(ledger()).await {
                        let host = fabric.select_host((flow.source(), flow.service()));
                        let response = caller
                            .request(&mut flow, b"one", Duration::from_secs(2))
                            .await;
                        caller.close(&flow).await;
                        let text =
                            response.map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
                        let number = text.ok().and_then(|text| {
                            u64::from_str_radix(text.rsplit(' ').next()?, 16).ok()
                        });
                        if let (Some(host), Some(upstream)) = (host, number) {
                            let mut served = served.lock().unwrap();
                            served.push(Served {
                                sent,
                                host,
                                upstream,
                            });
                        }
                    }
                    tokio::time::sleep(Duration::from_millis(25)).await;
                }
            });
        }
    }
    tokio::time::sleep(CALM).await;
    cluster.publish_routes(3, false);
    record.line("the operator writes version 3, which changes no route");
    tokio::time::sleep(Duration::from_millis(700)).await;

    let readers = cluster.readers().await?;
    let rejected: Vec<usize> = if has_trouble {
        readers.into_iter().take(3).collect()
    } else {
        Vec::new()
    };
    let ends = Instant::now() + UNANSWERED;
    for index in &rejected {
        let host = &cluster.hosts[*index];
        host.store.set_behaviour(StoreBehaviour::Silent);
        record.line(format!("the store answers {} no more", host.name));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.register(DRAINING, "draining");
    let acked = Instant::now();
    let number = cluster.upstreams[DRAINING].number;
    record.line(format!(
        "i-{number:x} is draining: acknowledged by the store"
    ));
    tokio::time::sleep_until(ends.into()).await;
    for index in &rejected {
        cluster.hosts[*index]
            .store
            .set_behaviour(StoreBehaviour::Serve);
    }
    record.line("the store answers all machines");

    let served = served.lock().unwrap();
    let after = served.iter().filter(|request| request.sent > acked);
    let late: Vec<_> = served
        .iter()
        .filter(|request| request.upstream == number && request.sent > acked + DRAIN_BOUND)
        .filter(|request| {
            rejected
                .iter()
                .all(|index| cluster.hosts[*index].packets != request.host)
        })
        .collect();
    record.line(format!(
        "served requests: {}, of them sent after the acknowledgement: {}",
        served.len(),
        after.count()
    ));
    for request in late.iter().take(20) {
        let host = cluster
            .hosts
            .iter()
            .find(|host| host.packets == request.host);
        let name = host.map(|host| host.name.as_str()).unwrap_or_default();
        let zone = host
            .map(|host| cluster.zones[host.zone])
            .unwrap_or_default();
        let late_ms = (request.sent - acked).as_millis();
        record.line(format!("run by i-{number:x}: a request whose first SYN was sent {late_ms} ms after the acknowledgement, through {name} ({zone}), which the store answers"));
    }
    record.line(format!(
        "requests run later than {} ms: {}",
        DRAIN_BOUND.as_millis(),
        late.len()
    ));
    Ok(late.is_empty())
}
