//! HTTP server for the readiness check, the metrics and the status.

use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use lagoonproxy_platform::readiness_check::READY_PATH;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::host_state::HostState;

/// Path of the metrics, in the text format of Prometheus.
const METRICS_PATH: &str = "/metrics";

/// Path of the status in JSON, for operators' tools.
const STATUS_PATH: &str = "/v1/status";

/// Time after which a connection is closed, so that those of vanished clients do not accumulate.
/// The fabric sends two requests per second and may keep its connection open.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(60);

/// Delay after a connection could not be accepted, since file descriptors may have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves the connections of a listener. Never returns.
pub async fn serve(state: Rc<HostState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                tokio::task::spawn_local(serve_connection(state.clone(), stream));
            }
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Listens on an address. Returns `None`, and logs the error, if that fails.
pub async fn listen(address: SocketAddrV4) -> Option<TcpListener> {
    match TcpListener::bind(address).await {
        Ok(listener) => Some(listener),
        Err(error) => {
            log::error!("cannot listen on {address}: {error}");
            None
        }
    }
}

async fn serve_connection(state: Rc<HostState>, stream: TcpStream) {
    let service = service_fn(move |request| {
        let state = state.clone();
        async move { Ok::<_, Infallible>(respond(&state, &request)) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Ok(Err(error)) = timeout(CONNECTION_LIFETIME, connection).await {
        log::debug!("connection failed: {error}");
    }
}

/// Returns the response to a request.
fn respond(state: &HostState, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    if request.method() != Method::GET {
        return empty_response(StatusCode::METHOD_NOT_ALLOWED);
    }
    match request.uri().path() {
        READY_PATH if state.is_ready() => empty_response(StatusCode::OK),
        READY_PATH => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        METRICS_PATH => {
            let text = state.metrics.text(&state.core.borrow(), Instant::now());
            Response::new(Full::from(text))
        }
        STATUS_PATH => match serde_json::to_vec(&state.status()) {
            Ok(body) => Response::new(Full::from(body)),
            Err(error) => {
                log::error!("cannot encode the status: {error}");
                empty_response(StatusCode::INTERNAL_SERVER_ERROR)
            }
        },
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
