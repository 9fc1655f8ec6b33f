//! Tests of dispatchers with processes of `lagoon-packet`.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use lagoonproxy::flow_hash::rendezvous_weight;
use lagoonproxy_packet::load::load_report::service_tag;
use lagoonproxy_packet::state::state_source::address_key;
use lagoonproxy_standin::packet_caller::CallError;
use lagoonproxy_standin::packet_caller::CallerFlow;
use lagoonproxy_standin::packet_caller::PacketCaller;
use lagoonproxy_standin::packet_cluster::*;

use crate::program;

/// Number of callers that keep their flow, and of callers that open a flow for each request.
const LONG_FLOW_CALLERS: usize = 4;
const SHORT_FLOW_CALLERS: usize = 6;

/// Response time of the upstreams. It is below the time after which callers retransmit (200 ms).
const ANSWER_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of attempts of a caller to open a flow for a request.
const MAX_OPEN_ATTEMPTS: usize = 3;

/// Number of requests of each caller that have to be served in each part of the test.
const MIN_SERVED: u64 = 3;

/// Outcomes of the requests of a caller.
#[derive(Debug, Default)]
struct CallerTally {
    served: AtomicU64,
    faults: AtomicU64,
}

async fn open(caller: &mut PacketCaller) -> Result<CallerFlow, CallError> {
    let mut opened = caller.open(ledger()).await;
    for _retry in 1..MAX_OPEN_ATTEMPTS {
        if opened.is_err() {
            opened = caller.open(ledger()).await;
        }
    }
    opened
}

/// Sends requests until `stop` is set or a request fails.
async fn run_caller(
    mut caller: PacketCaller,
    keeps_flow: bool,
    tally: Arc<CallerTally>,
    stop: Arc<AtomicBool>,
) {
    let mut kept = None;
    while !stop.load(Ordering::Relaxed) {
        let opened = match kept.take() {
            Some(flow) => Ok(flow),
            None => open(&mut caller).await,
        };
        let Ok(mut flow) = opened else {
            tally.faults.fetch_add(1, Ordering::Relaxed);
            return;
        };
        let answer = caller.request(&mut flow, b"one", REQUEST_TIMEOUT).await;
        if answer.is_err() {
            tally.faults.fetch_add(1, Ordering::Relaxed);
            return;
        }
        tally.served.fetch_add(1, Ordering::Relaxed);
        match keeps_flow {
            true => kept = Some(flow),
            false => caller.close(&flow).await,
        }
    }
}

/// Waits until every caller has been served [`MIN_SERVED`] more requests. Panics if a request of a
/// caller fails or the callers are not served in time.
async fn wait_for_service(tallies: &[Arc<CallerTally>]) {
    let served = |tally: &Arc<CallerTally>| tally.served.load(Ordering::Relaxed);
    let wanted: Vec<u64> = tallies
        .iter()
        .map(|tally| served(tally) + MIN_SERVED)
        .collect();
    let wait = async {
        while tallies
            .iter()
            .zip(&wanted)
            .any(|(tally, wanted)| served(tally) < *wanted)
        {
            let faults = tallies
                .iter()
                .map(|tally| tally.faults.load(Ordering::Relaxed));
            assert_eq!(faults.sum::<u64>(), 0, "{tallies:?}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let ended = tokio::time::timeout(HANG_TIMEOUT, wait).await;
    assert!(
        ended.is_ok(),
        "some callers are no longer served: {tallies:?}"
    );
}

#[tokio::test]
async fn test_dispatching_host_is_killed_while_a_service_is_contended() {
    // Guards against requests that are not served, and flows that break, when the dispatcher of the
    // service is killed.
    const CONTENDED: &str = "lagoon_packet_service_contended{service=\"ledger\"}";
    let mut cluster = PacketCluster::ready(program(), 3, 2).await;
    for upstream in &cluster.upstreams {
        upstream.set_response_delay(ANSWER_DELAY);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let (mut tallies, mut tasks) = (Vec::new(), Vec::new());
    for number in 0..LONG_FLOW_CALLERS + SHORT_FLOW_CALLERS {
        let (caller, tally) = (cluster.caller().await, Arc::new(CallerTally::default()));
        tallies.push(tally.clone());
        let run = run_caller(caller, number < LONG_FLOW_CALLERS, tally, stop.clone());
        tasks.push(tokio::spawn(run));
    }
    for host in &cluster.hosts {
        host.wait_for_metric(CONTENDED, |contended| contended == 1.0)
            .await;
    }
    wait_for_service(&tallies).await;
    // All hosts have the same capacity, so that only the hash determines the dispatcher.
    let tag = u64::from(service_tag(&"ledger".into()));
    let weight = |place: &usize| {
        let address = cluster.peer_address(*place as u8 + 1);
        rendezvous_weight(tag, address_key(address))
    };
    let dispatcher = (0..cluster.hosts.len()).max_by_key(weight).expect("a host");
    cluster.hosts[dispatcher].kill().await;
    wait_for_service(&tallies).await;
    cluster.wait_for_rotation(2).await;
    wait_for_service(&tallies).await;
    for (_place, host) in cluster
        .hosts
        .iter()
        .enumerate()
        .filter(|(place, _)| *place != dispatcher)
    {
        host.wait_for_metric(CONTENDED, |contended| contended == 1.0)
            .await;
    }
    stop.store(true, Ordering::Relaxed);
    for task in tasks {
        task.await.expect("a caller");
    }
    let faults = tallies
        .iter()
        .map(|tally| tally.faults.load(Ordering::Relaxed));
    assert_eq!(faults.sum::<u64>(), 0, "{tallies:?}");
}
