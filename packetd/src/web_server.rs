//! Answers whether the host takes packets, and serves its metrics.

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
use lagoonproxy_platform::ready_call::READY_PATH;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::host_state::HostState;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Path of the state for operators' tools.
const STATUS_PATH: &str = "/v1/status";

/// How long a connection is kept: the fabric asks twice a second and may keep one for long; one
/// that has gone silent must not stay for ever.
const CONNECTION_LIFE: Duration = Duration::from_secs(60);

/// Pause after a connection that could not be taken, for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Serves connections of one listener for as long as the process lives.
pub async fn serve(state: Rc<HostState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                tokio::task::spawn_local(serve_connection(state.clone(), stream));
            }
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Listens; says in the log why if that fails.
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
        async move { Ok::<_, Infallible>(answer(&state, &request)) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Ok(Err(error)) = timeout(CONNECTION_LIFE, connection).await {
        log::debug!("connection ended: {error}");
    }
}

fn answer(state: &HostState, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    if request.method() != Method::GET {
        return with_status(StatusCode::METHOD_NOT_ALLOWED);
    }
    match request.uri().path() {
        READY_PATH if state.is_ready() => with_status(StatusCode::OK),
        READY_PATH => with_status(StatusCode::SERVICE_UNAVAILABLE),
        METRICS_PATH => {
            let text = state.metrics.text(&state.core.borrow(), Instant::now());
            Response::new(Full::from(text))
        }
        STATUS_PATH => match serde_json::to_vec(&state.status()) {
            Ok(body) => Response::new(Full::from(body)),
            Err(error) => {
                log::error!("the status cannot be written: {error}");
                with_status(StatusCode::INTERNAL_SERVER_ERROR)
            }
        },
        _ => with_status(StatusCode::NOT_FOUND),
    }
}

fn with_status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
