//! Reads the platform's store as the feed asks, for as long as the process lives.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::store_feed::ANSWER_LIMIT;
use lagoonproxy_packet::store_feed::FeedStep;
use lagoonproxy_packet::store_feed::StoreFault;
use lagoonproxy_packet::store_feed::StoreFeed;
use lagoonproxy_packet::store_feed::WATCH_WAIT;
use lagoonproxy_platform::store_client::StoreClient;

use crate::host_state::HostState;

/// How often a host that leaves the reading to another looks whether that still reads.
const ROLE_PAUSE: Duration = Duration::from_millis(100);

/// Reads the store, as long as this is the host that does so for its zone.
pub async fn read_store(state: Rc<HostState>) {
    let mut feed = StoreFeed::default();
    let mut address = state.settings.borrow().store_address;
    let mut client = StoreClient::new(address);
    loop {
        let configured = state.settings.borrow().store_address;
        if configured != address {
            address = configured;
            client = StoreClient::new(address);
        }
        if feed.is_listed() && !state.core.borrow_mut().should_read(Instant::now()) {
            tokio::time::sleep(ROLE_PAUSE).await;
            continue;
        }
        let failures = feed.failures();
        feed.skip_to(state.core.borrow().view().through());
        let outcome = match feed.next_step(Instant::now()) {
            FeedStep::Wait { until } => {
                tokio::time::sleep_until(until.into()).await;
                continue;
            }
            FeedStep::List { after } => {
                let page = client.list(after.as_deref(), ANSWER_LIMIT).await;
                page.map(|page| feed.listed(page))
            }
            FeedStep::Watch { after } => {
                let batch = client.watch(after, WATCH_WAIT, ANSWER_LIMIT).await;
                batch.map(|batch| Some(feed.changed(Instant::now(), batch)))
            }
        };
        match outcome {
            Ok(update) => {
                state.metrics.count_store_call(ResultCode::Success);
                if failures > 0 {
                    log::info!(failures; "store regained");
                }
                state.core.borrow_mut().store_answered(Instant::now());
                if let Some(update) = update {
                    state.join_and_pass_on(update);
                }
            }
            Err(fault) => {
                let code = fault_code(&fault);
                state.metrics.count_store_call(code);
                if failures == 0 {
                    log::warn!(code = code.number(); "store lost: {fault}");
                }
                state.core.borrow_mut().store_lost();
                feed.failed(Instant::now(), &fault);
            }
        }
    }
}

fn fault_code(fault: &StoreFault) -> ResultCode {
    match fault {
        StoreFault::Unreachable { .. } | StoreFault::TimedOut => ResultCode::PlatformUnreachable,
        StoreFault::Refused { .. } => ResultCode::PlatformRefused,
        StoreFault::HistoryDropped => ResultCode::PlatformHistoryDropped,
        StoreFault::Malformed { .. } => ResultCode::PlatformMalformed,
    }
}
