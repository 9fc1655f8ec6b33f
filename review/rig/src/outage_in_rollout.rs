//! The store is down for a second while upstreams come and go. Just after that, the operator drops
//! a route.

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
use crate::cluster::dropped;

/// `ConfigApplyMs` and `StableWindowMs` in the settings.
const CONFIG_BOUND: Duration = Duration::from_millis(3000);
const STABLE_WINDOW: Duration = Duration::from_millis(4000);
/// Time for which all machines run undisturbed before.
const CALM: Duration = Duration::from_secs(10);
const OUTAGE: Duration = Duration::from_millis(1000);

pub async fn run(has_trouble: bool) -> CaseResult<bool> {
    let record = Record::new();
    let mut cluster = Cluster::start(vec!["zig-a", "zig-b", "bign"], &[3, 3, 2], 7).await?;
    record.line("8 hosts in 3 zones are in rotation, 7 upstreams are registered");
    cluster.publish_routes(2, true);
    record.line(format!("version 2 adds a route for {}", dropped()));
    let attempts = callers::start(&mut cluster, dropped()).await?;
    sleep(CALM).await;

    let written_from = Instant::now();
    cluster.register(6, "draining");
    record.line("i-7 is draining");
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
    // The machines are in touch once the store has been undisturbed for the stable window.
    let bound = (acked + CONFIG_BOUND).max(ends + STABLE_WINDOW);
    sleep_until((acked + Duration::from_secs(8)).into()).await;

    let attempts = std::mem::take(&mut *attempts.lock().unwrap());
    callers::write_attempts(&record, &cluster, &attempts, written_from);
    let late = attempts
        .iter()
        .filter(|attempt| matches!(attempt.outcome, Outcome::Answered(_)) && attempt.sent > bound);
    let late: Vec<String> = late.map(|attempt| format!("{:x}", attempt.id)).collect();
    let bound_ms = (bound - acked).as_millis();
    record.line(format!(
        "requests run on the dropped route whose first SYN was sent later than {bound_ms} ms after the acknowledgement, with all machines in touch: {} ({})",
        late.len(),
        late.join(" ")
    ));
    Ok(late.is_empty())
}
