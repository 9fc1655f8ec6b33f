//! Reads the platform's store as the core asks, for as long as the process lives.

use std::rc::Rc;
use std::time::Instant;

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::state::start_plan::StartPlan;
use lagoonproxy_packet::state::state_snapshot::StateUpdate;
use lagoonproxy_packet::state::store_feed::ANSWER_TIMEOUT;
use lagoonproxy_packet::state::store_feed::FeedStep;
use lagoonproxy_packet::state::store_feed::StoreFault;
use lagoonproxy_platform::store_client::BodyCheck;
use lagoonproxy_platform::store_client::StoreClient;

use crate::host_state::HostState;

/// Reads the store, as far as this host is to do so.
pub async fn read_store(state: Rc<HostState>) {
    let mut address = state.settings.borrow().store_address;
    let mut client = StoreClient::new(address);
    loop {
        let configured = state.settings.borrow().store_address;
        if configured != address {
            address = configured;
            client = StoreClient::new(address);
        }
        let step = state.core.borrow_mut().store_step(Instant::now());
        match step {
            FeedStep::Wait { until } => tokio::time::sleep_until(until.into()).await,
            FeedStep::List {
                after,
                progress_check_after,
            } => {
                let check = progress_check_after.map(|progress_check_after| BodyCheck {
                    progress_check_after,
                    leaves: StartPlan::is_list_too_slow,
                });
                let page = client.list(after.as_deref(), ANSWER_TIMEOUT, check).await;
                let update = page.and_then(|page| {
                    let mut core = state.core.borrow_mut();
                    core.store_listed(Instant::now(), page)
                });
                take_in(&state, update);
            }
            FeedStep::Watch { after, wait } => {
                let batch = client.watch(after.revision, wait, ANSWER_TIMEOUT).await;
                let update = batch.and_then(|batch| {
                    let mut core = state.core.borrow_mut();
                    core.store_changed(Instant::now(), batch).map(Some)
                });
                take_in(&state, update);
            }
        }
    }
}

/// Applies the result of a call; `None` for a page that is not the last.
fn take_in(state: &HostState, update: Result<Option<StateUpdate>, StoreFault>) {
    match update {
        Ok(update) => {
            state.metrics.count_store_call(ResultCode::Success);
            if state.store_lost.take() {
                let offered = update.as_ref().map(|update| update.through);
                let offered = offered.map(|offered| offered.to_string());
                log::info!(offered = offered.unwrap_or_default(); "store regained");
            }
            if let Some(update) = update {
                state.merge_and_forward(update);
            }
        }
        Err(fault) => {
            let code = fault_code(&fault);
            state.metrics.count_store_call(code);
            if !state.store_lost.replace(true) {
                log::warn!(code = code.number(); "store lost: {fault}");
            }
            let mut core = state.core.borrow_mut();
            core.store_failed(Instant::now(), &fault);
        }
    }
}

fn fault_code(fault: &StoreFault) -> ResultCode {
    match fault {
        StoreFault::Unreachable { .. } | StoreFault::TimedOut => ResultCode::PlatformUnreachable,
        StoreFault::ListTooSlow => ResultCode::PlatformCrowded,
        StoreFault::Refused { .. } => ResultCode::PlatformRefused,
        StoreFault::HistoryDropped => ResultCode::PlatformHistoryDropped,
        StoreFault::EraChanged { .. } => ResultCode::PlatformRestored,
        StoreFault::Regressed { .. } => ResultCode::PlatformStale,
        StoreFault::Malformed { .. } => ResultCode::PlatformMalformed,
    }
}
