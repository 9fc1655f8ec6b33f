//! The callers of a soak run: they open flows, send requests and check the responses.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::rngs::StdRng;
use tokio::time::sleep;

use crate::packet_caller::CallError;
use crate::packet_caller::CallerFlow;
use crate::packet_caller::PacketCaller;
use crate::packet_cluster::POLL_INTERVAL;
use crate::packet_cluster::REQUEST_TIMEOUT;
use crate::packet_cluster::certs;
use crate::packet_cluster::ledger;
use crate::packet_upstream::response_to;
use crate::soak_state::SoakState;
use crate::soak_upstream::numbers_of;

/// Pause of a caller that could not open a flow. Hosts log each refusal, and would drop other lines
/// if callers tried again at once.
const REFUSAL_PAUSE: Duration = Duration::from_millis(200);

/// What a caller does with its flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallerKind {
    /// Sends requests after short pauses.
    Busy,
    /// Holds its flows idle for seconds between some requests.
    Holding,
    /// Holds flows of the added route while there is one.
    AddedRoute,
}

impl CallerKind {
    /// Returns the service of the next flow, or `None` while there is none.
    fn service(self, state: &SoakState, rng: &mut StdRng) -> Option<SocketAddrV4> {
        match self {
            Self::AddedRoute => state.added_route(),
            _ if rng.random_bool(0.8) => Some(ledger()),
            _ => Some(certs()),
        }
    }

    /// Returns the pause before the next request. Some are long enough that the flow is idle.
    fn pause(self, rng: &mut StdRng) -> Duration {
        let millis = match self {
            Self::Busy if rng.random_bool(0.1) => 900,
            Self::Busy => rng.random_range(5..60),
            _ if rng.random_bool(0.4) => rng.random_range(1500..6000),
            _ => rng.random_range(5..300),
        };
        Duration::from_millis(millis)
    }
}

/// Opens flows and sends requests on them until the run is over.
pub(crate) async fn run_caller(
    state: Arc<SoakState>,
    mut caller: PacketCaller,
    kind: CallerKind,
    mut rng: StdRng,
) {
    while !state.is_finished() {
        let Some(service) = kind.service(&state, &mut rng) else {
            sleep(POLL_INTERVAL).await;
            continue;
        };
        match caller.open(service).await {
            Ok(mut flow) => send_requests(&state, &mut caller, &mut flow, kind, &mut rng).await,
            Err(_fault) => {
                state.report().failed += 1;
                sleep(REFUSAL_PAUSE).await;
            }
        }
    }
}

/// Sends up to 11 requests on a flow, with pauses, and checks the responses and resets.
async fn send_requests(
    state: &SoakState,
    caller: &mut PacketCaller,
    flow: &mut CallerFlow,
    kind: CallerKind,
    rng: &mut StdRng,
) {
    // The flow's upstream, and when the last request was sent that it has run.
    let mut served: Option<(u64, Instant)> = None;
    for request_index in 0..rng.random_range(1..12) {
        let data = format!("{} {request_index} {}", flow.service(), rng.random::<u32>());
        let timeout = REQUEST_TIMEOUT.min(Duration::from_secs(3));
        let sent = Instant::now();
        let mut result = caller.request(flow, data.as_bytes(), timeout).await;
        if let Ok(response) = &result {
            state.report().answered += 1;
            let upstream = served.map(|(upstream, _sent)| upstream);
            let responder = find_responder(flow, data.as_bytes(), response);
            if responder.is_none() || upstream.is_some_and(|upstream| Some(upstream) != responder) {
                let text = String::from_utf8_lossy(response).into_owned();
                state.record_violation(&format!(
                    "request `{data}` on a flow of upstream {upstream:?}: response `{text}`"
                ));
            }
            served = responder.map(|upstream| (upstream, sent));
            if state.is_finished() {
                break;
            }
            let held = caller.hold(flow, kind.pause(rng)).await;
            result = held.map(|()| Vec::new());
        }
        if let Err(fault) = result {
            state.report().failed += 1;
            if let (CallError::Reset, Some((upstream, last_request))) = (fault, served) {
                state.check_reset(flow, upstream, last_request);
            }
            return;
        }
    }
    caller.close(flow).await;
}

/// Returns the upstream that sent a response, or `None` if the response is incomplete or not of an
/// upstream of the flow's service.
fn find_responder(flow: &CallerFlow, data: &[u8], response: &[u8]) -> Option<u64> {
    numbers_of(flow.service()).find(|number| response == response_to(data, *number))
}
