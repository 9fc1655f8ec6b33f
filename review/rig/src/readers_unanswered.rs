//! The store stops answering the machine of each zone that reads it, and serves the others. An
//! upstream then reports that it drains.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy_standin::packet_store::StoreBehaviour;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::callers;
use crate::callers::Outcome;
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
/// Machines that it does not answer: a third of nine, below the share of 0.35 of the site file.
const MAX_REJECTED: usize = 3;
/// The upstream that drains.
const DRAINING: usize = 0;

pub async fn run(has_trouble: bool) -> CaseResult<bool> {
    let record = Record::new();
    let mut cluster = Cluster::start(vec!["zig-a", "zig-b", "bign"], &[3, 3, 3], 6).await?;
    record.line("9 hosts in 3 zones are in rotation, 6 upstreams are registered");
    let attempts = callers::start(&mut cluster, ledger()).await?;
    sleep(CALM).await;
    let written_from = Instant::now();
    cluster.publish_routes(3, false);
    record.line("the operator writes version 3, which changes no route");
    sleep(Duration::from_millis(700)).await;

    let readers = cluster.readers().await?;
    let rejected: Vec<usize> = match has_trouble {
        true => readers.into_iter().take(MAX_REJECTED).collect(),
        false => Vec::new(),
    };
    let ends = Instant::now() + UNANSWERED;
    for index in &rejected {
        let host = &cluster.hosts[*index];
        host.store.set_behaviour(StoreBehaviour::Silent);
        record.line(format!("the store answers {} no more", host.name));
    }
    sleep(Duration::from_millis(300)).await;
    cluster.register(DRAINING, "draining");
    let acked = Instant::now();
    let number = cluster.upstreams[DRAINING].number;
    record.line(format!(
        "i-{number:x} is draining: acknowledged by the store"
    ));
    sleep_until(ends.into()).await;
    for index in &rejected {
        let host = &cluster.hosts[*index];
        host.store.set_behaviour(StoreBehaviour::Serve);
    }
    record.line("the store answers all machines");

    let attempts = std::mem::take(&mut *attempts.lock().unwrap());
    callers::write_attempts(&record, &cluster, &attempts, written_from);
    // Only requests that passed through machines that the store answers count.
    let is_in_touch = |host: Option<std::net::SocketAddrV4>| {
        let is_rejected = |index: &usize| Some(cluster.hosts[*index].packets) == host;
        !rejected.iter().any(is_rejected)
    };
    let late = attempts.iter().filter(|attempt| {
        let is_draining = matches!(attempt.outcome, Outcome::Answered(by) if by == number);
        is_draining && attempt.sent > acked + DRAIN_BOUND && is_in_touch(attempt.host)
    });
    let late: Vec<String> = late.map(|attempt| format!("{:x}", attempt.id)).collect();
    let bound_ms = DRAIN_BOUND.as_millis();
    record.line(format!(
        "requests run by i-{number:x} whose first SYN was sent later than {bound_ms} ms after the acknowledgement, through hosts that the store answers: {} ({})",
        late.len(),
        late.join(" ")
    ));
    Ok(late.is_empty())
}
