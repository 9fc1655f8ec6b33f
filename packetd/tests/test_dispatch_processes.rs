//! Tests of dispatching with the real program.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use lagoonproxy::flow_hash::rendezvous_weight;
use lagoonproxy_packet::load::load_report::service_tag;
use lagoonproxy_packet::state::state_source::address_key;
use lagoonproxy_standin::packet_caller::CallFault;
use lagoonproxy_standin::packet_caller::CallerFlow;
use lagoonproxy_standin::packet_caller::PacketCaller;
use lagoonproxy_standin::packet_cell::*;

use crate::program;

/// Callers that keep their flow, and callers that open one for each request.
const KEEPERS: usize = 4;
const OPENERS: usize = 6;

/// Time to an answer: shorter than that after which callers send again (200 ms).
const ANSWER_DELAY: Duration = Duration::from_millis(100);

/// Flows that a caller opens for one request at most.
const MOST_TRIES: usize = 3;

/// Requests of each caller that have to be served in each part of the test.
const SERVED_EACH: u64 = 3;

/// What a caller has met.
#[derive(Debug, Default)]
struct CallerTally {
    served: AtomicU64,
    faults: AtomicU64,
}

async fn open(caller: &mut PacketCaller) -> Result<CallerFlow, CallFault> {
    let mut opened = caller.open(ledger()).await;
    for _retry in 1..MOST_TRIES {
        if opened.is_err() {
            opened = caller.open(ledger()).await;
        }
    }
    opened
}

/// Sends requests until it is told to stop.
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
        let answer = caller.request(&mut flow, b"one", REQUEST_LIMIT).await;
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

/// Waits until every caller has been served some more requests, or one has met a fault.
async fn wait_for_service(tallies: &[Arc<CallerTally>]) {
    let served = |tally: &Arc<CallerTally>| tally.served.load(Ordering::Relaxed);
    let wanted: Vec<u64> = tallies
        .iter()
        .map(|tally| served(tally) + SERVED_EACH)
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
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    };
    let ended = tokio::time::timeout(HANG_LIMIT, wait).await;
    assert!(ended.is_ok(), "some are served no more: {tallies:?}");
}

#[tokio::test]
async fn test_dispatching_host_is_killed_while_a_service_is_contended() {
    // Guards against callers that are not served, and flows that break, when the dispatcher of their service dies.
    const CONTENDED: &str = "lagoon_packet_service_contended{service=\"ledger\"}";
    let mut cell = PacketCell::ready(program(), 3, 2).await;
    for upstream in &cell.upstreams {
        upstream.set_answer_delay(ANSWER_DELAY);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let (mut tallies, mut tasks) = (Vec::new(), Vec::new());
    for number in 0..KEEPERS + OPENERS {
        let (caller, tally) = (cell.caller().await, Arc::new(CallerTally::default()));
        tallies.push(tally.clone());
        let run = run_caller(caller, number < KEEPERS, tally, stop.clone());
        tasks.push(tokio::spawn(run));
    }
    for host in &cell.hosts {
        host.wait_for_metric(CONTENDED, |contended| contended == 1.0)
            .await;
    }
    wait_for_service(&tallies).await;
    // All hosts have the same capacity, so that the hash alone selects the dispatcher.
    let tag = u64::from(service_tag(&"ledger".into()));
    let weight = |place: &usize| {
        let address = cell.peer_address(*place as u8 + 1);
        rendezvous_weight(tag, address_key(address))
    };
    let dispatcher = (0..cell.hosts.len()).max_by_key(weight).expect("a host");
    cell.hosts[dispatcher].kill().await;
    wait_for_service(&tallies).await;
    cell.wait_for_rotation(2).await;
    wait_for_service(&tallies).await;
    for (_place, host) in cell
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
