//! The store is down for a second while upstreams come and go. Just after that, the operator drops
//! a route.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::cluster::CaseResult;
use crate::cluster::Cluster;
use crate::cluster::Record;
use crate::cluster::dropped;

/// `ConfigApplyMs` and `StableWindowMs` in the settings.
const CONFIG_BOUND: Duration = Duration::from_millis(3000);
const STABLE_WINDOW: Duration = Duration::from_millis(4000);
/// Time for which all machines run undisturbed before.
const CALM: Duration = Duration::from_secs(10);
const OUTAGE: Duration = Duration::from_millis(1000);

/// A served request on the dropped route.
struct Served {
    /// When the caller sent the first SYN of its flow.
    sent: Instant,
    host: std::net::SocketAddrV4,
    response: String,
}

pub async fn run(folder: &str, has_trouble: bool) -> CaseResult<bool> {
    let mut record = Record::create(folder)?;
    let mut cluster = Cluster::start(vec!["zig-a", "zig-b", "bign"], &[3, 3, 2], 7).await?;
    record.line("8 hosts in 3 zones are in rotation, 7 upstreams are registered");
    cluster.publish_routes(2, true);
    record.line(format!("version 2 adds a route for {}", dropped()));
    let served = Arc::new(Mutex::new(Vec::new()));
    for zone in 0..cluster.zones.len() {
        for _caller in 0..3 {
            let mut caller = cluster.caller(zone).await?;
            let fabric = cluster.fabrics[zone].clone();
            let served = served.clone();
            tokio::spawn(async move {
                loop {
                    let sent = Instant::now();
                    if let Ok(mut flow) = caller.open(dropped()).await {
                        let host = fabric.select_host((flow.source(), flow.service()));
                        let response = caller
                            .request(&mut flow, b"one", Duration::from_secs(2))
                            .await;
                        caller.close(&flow).await;
                        if let (Some(host), Ok(response)) = (host, response) {
                            let response = String::from_utf8_lossy(&response).into_owned();
                            let mut served = served.lock().unwrap();
                            served.push(Served {
                                sent,
                                host,
                                response,
                            });
                        }
                    }
                    sleep(Duration::from_millis(25)).await;
                }
            });
        }
    }
    sleep(CALM).await;

    cluster.register(6, "draining");
    record.line("an upstream drains");
    sleep(Duration::from_millis(200)).await;
    let ends = Instant::now() + OUTAGE;
    if has_trouble {
        cluster.silent.store(true, Ordering::Relaxed);
        record.line("the store is down");
    }
    sleep_until(ends.into()).await;
    cluster.silent.store(false, Ordering::Relaxed);
    record.line("the store is up");
    sleep(Duration::from_millis(200)).await;
    cluster.publish_routes(3, false);
    let acked = Instant::now();
    record.line("version 3 drops the route: acknowledged by the store");
    let bound = (acked + CONFIG_BOUND).max(ends + STABLE_WINDOW);
    sleep_until((acked + Duration::from_secs(8)).into()).await;

    let served = served.lock().unwrap();
    let late: Vec<_> = served
        .iter()
        .filter(|request| request.sent > bound)
        .collect();
    record.line(format!(
        "requests served on the route: {}, of them sent after the acknowledgement: {}",
        served.len(),
        served.iter().filter(|request| request.sent > acked).count()
    ));
    for request in late.iter().take(20) {
        let host = cluster
            .hosts
            .iter()
            .find(|host| host.packets == request.host);
        let name = host.map(|host| host.name.as_str()).unwrap_or_default();
        let late_ms = (request.sent - acked).as_millis();
        let response = &request.response;
        record.line(format!("answered \"{response}\": a request whose first SYN was sent {late_ms} ms after the acknowledgement, through {name}"));
    }
    let bound_ms = (bound - acked).as_millis();
    record.line(format!(
        "requests run that were sent later than {bound_ms} ms after the acknowledgement, with all machines in touch: {}",
        late.len()
    ));
    Ok(late.is_empty())
}
