//! The callers of a soak run: they open flows, send requests and check the responses.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use tokio::time::sleep;

use crate::packet_caller::CallError;
use crate::packet_caller::CallerFlow;
use crate::packet_caller::PacketCaller;
use crate::packet_cluster::REQUEST_TIMEOUT;
use crate::packet_cluster::certs;
use crate::packet_cluster::ledger;
use crate::packet_soak::CERT_UPSTREAMS;
use crate::packet_soak::LEDGER_UPSTREAMS;
use crate::packet_upstream::response_to;
use crate::soak_state::SoakState;

/// Opens flows and sends requests on them until the run is over.
pub(crate) async fn run_caller(state: Arc<SoakState>, mut caller: PacketCaller, mut rng: StdRng) {
    while !state.is_finished() {
        let service = if rng.random_bool(0.8) {
            ledger()
        } else {
            certs()
        };
        match caller.open(service).await {
            Ok(mut flow) => send_requests(&state, &mut caller, &mut flow, &mut rng).await,
            Err(_fault) => state.report().failed += 1,
        }
    }
}

/// Sends up to 11 requests on a flow with pauses, some of which are long enough that the flow is
/// idle, and checks the responses.
async fn send_requests(
    state: &SoakState,
    caller: &mut PacketCaller,
    flow: &mut CallerFlow,
    rng: &mut StdRng,
) {
    let mut upstream = None;
    for request_index in 0..rng.random_range(1..12) {
        let data = format!("{} {request_index} {}", flow.service(), rng.random::<u32>());
        let timeout = REQUEST_TIMEOUT.min(Duration::from_secs(3));
        match caller.request(flow, data.as_bytes(), timeout).await {
            Ok(response) => {
                state.report().answered += 1;
                let responder = find_responder(flow, data.as_bytes(), &response);
                if responder.is_none()
                    || upstream.is_some_and(|upstream| Some(upstream) != responder)
                {
                    let text = String::from_utf8_lossy(&response).into_owned();
                    state.record_violation(&format!(
                        "request `{data}` on a flow of upstream {upstream:?}: response `{text}`"
                    ));
                }
                upstream = responder;
            }
            Err(fault) => {
                state.report().failed += 1;
                let is_stable = upstream.is_some_and(|upstream| state.is_stable(upstream));
                if fault == CallError::Reset && is_stable {
                    state.record_violation(&format!(
                        "a flow was reset while its upstream {upstream:?} was stable"
                    ));
                }
                return;
            }
        }
        let pause = if rng.random_bool(0.1) {
            900
        } else {
            rng.random_range(5..60)
        };
        sleep(Duration::from_millis(pause)).await;
    }
    caller.close(flow).await;
}

/// Returns the upstream that sent a response, or `None` if the response is incomplete or not of an
/// upstream of the flow's service.
fn find_responder(flow: &CallerFlow, data: &[u8], response: &[u8]) -> Option<u64> {
    let is_ledger = flow.service() == ledger();
    (1..=u64::from(LEDGER_UPSTREAMS + CERT_UPSTREAMS))
        .filter(|number| (*number <= u64::from(LEDGER_UPSTREAMS)) == is_ledger)
        .find(|number| response == response_to(data, *number))
}
