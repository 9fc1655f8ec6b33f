//! Calls the platform's store as directed by the core.

use std::rc::Rc;
use std::time::Instant;

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::state::start_plan::StartPlan;
use lagoonproxy_packet::state::state_snapshot::StateUpdate;
use lagoonproxy_packet::state::store_feed::FeedStep;
use lagoonproxy_packet::state::store_feed::StoreFault;
use lagoonproxy_platform::store_client::ProgressCheck;
use lagoonproxy_platform::store_client::StoreClient;

use crate::host_state::HostState;

/// Lists and watches the store whenever the core directs it. Never returns. If the settings change
/// the address of the store, a new client is created before the next call.
pub async fn read_store(state: Rc<HostState>) {
    let mut address = state.settings.borrow().store_address;
    let mut client = StoreClient::new(address);
    loop {
        let configured = state.settings.borrow().store_address;
        if configured != address {
            address = configured;
            client = StoreClient::new(address);
        }
        let called_at = Instant::now();
        let step = state.core.borrow_mut().store_step(called_at);
        match step {
            FeedStep::Wait { until } => tokio::time::sleep_until(until.into()).await,
            FeedStep::List {
                after,
                progress_check_after,
                deadline,
            } => {
                let check = progress_check_after.map(|progress_check_after| ProgressCheck {
                    progress_check_after,
                    should_abandon: StartPlan::is_list_too_slow,
                });
                let page = client.list(after.as_deref(), deadline, check).await;
                let update = page.and_then(|page| {
                    let mut core = state.core.borrow_mut();
                    core.store_listed(page)
                });
                apply_result(&state, called_at, update);
            }
            FeedStep::Watch {
                after,
                wait,
                deadline,
            } => {
                let batch = client.watch(after.revision, wait, deadline).await;
                let update = batch.and_then(|batch| {
                    let mut core = state.core.borrow_mut();
                    core.store_changed(Instant::now(), batch).map(Some)
                });
                apply_result(&state, called_at, update);
            }
        }
    }
}

/// Applies the result of a call to the store. The update is `None` after a page that is not the
/// last. Only the first of several failed calls in a row is logged.
fn apply_result(
    state: &HostState,
    called_at: Instant,
    update: Result<Option<StateUpdate>, StoreFault>,
) {
    let now = Instant::now();
    match update {
        Ok(update) => {
            state.metrics.count_store_call(ResultCode::Success);
            let responded_at = state.store_responded_at.replace(Some(now));
            let silent_time = responded_at.map(|at| now.duration_since(at));
            if let Some(silent_time) = silent_time {
                state.metrics.observe_response_gap(silent_time);
            }
            if state.store_lost.take() {
                let offered = update.as_ref().map(|update| update.through);
                let offered = offered.map(|offered| offered.to_string());
                let silent_ms = silent_time.map(|time| time.as_millis() as u64);
                log::info!(offered = offered.unwrap_or_default(), silent_ms; "store regained");
            }
            if let Some(update) = update {
                state.merge_and_forward(update);
            }
        }
        Err(fault) => {
            let code = fault_code(&fault);
            state.metrics.count_store_call(code);
            if !state.store_lost.replace(true) {
                let call_ms = now.duration_since(called_at).as_millis() as u64;
                let responded_at = state.store_responded_at.get();
                let silent_ms = responded_at.map(|at| now.duration_since(at).as_millis() as u64);
                log::warn!(code = code.number(), call_ms, silent_ms; "store lost: {fault}");
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
