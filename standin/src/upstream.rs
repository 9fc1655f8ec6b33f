//! Runs an upstream stand-in: [`crate::upstream_core`] on a UDP socket, with HTTP endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::routing::post;
use lagoonproxy::wire_frame;
use lagoonproxy::wire_frame::MAX_DATAGRAM;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;

use crate::run_records::RunEntry;
use crate::run_records::RunRecords;
use crate::run_records::RunTotals;
use crate::upstream_core::UpstreamBehaviour;
use crate::upstream_core::UpstreamCore;
use crate::upstream_core::UpstreamLoad;
use crate::upstream_core::UpstreamReply;
use crate::upstream_core::UpstreamSettings;

/// Maximum time that an idle upstream sleeps without a datagram.
const MAX_SLEEP: Duration = Duration::from_secs(60);

/// The response of `GET /standin/runs`.
#[derive(Debug, Serialize, Deserialize)]
pub struct RunReport {
    /// Totals over all requests and flows.
    pub totals: RunTotals,
    /// The runs of each request that was started.
    pub requests: Vec<RunEntry>,
}

/// A handle on an upstream for tests; clones refer to the same upstream.
#[derive(Clone)]
pub struct UpstreamHandle {
    core: Arc<Mutex<UpstreamCore>>,
}

/// An upstream whose sockets are bound.
pub struct Upstream {
    handle: UpstreamHandle,
    socket: UdpSocket,
    listener: TcpListener,
}

impl UpstreamHandle {
    /// Replaces the upstream's behaviour.
    pub fn set_behaviour(&self, behaviour: UpstreamBehaviour) {
        self.lock().set_behaviour(behaviour);
    }

    /// Returns a copy of the upstream's run records.
    pub fn records(&self) -> RunRecords {
        self.lock().records().clone()
    }

    fn lock(&self) -> MutexGuard<'_, UpstreamCore> {
        self.core
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Upstream {
    /// Binds the addresses of the settings.
    pub async fn bind(settings: UpstreamSettings) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(settings.address).await?;
        let listener = TcpListener::bind(settings.health_address).await?;
        let core = UpstreamCore::new(settings, Instant::now());
        Ok(Self {
            handle: UpstreamHandle {
                core: Arc::new(Mutex::new(core)),
            },
            socket,
            listener,
        })
    }

    /// Returns the address on which datagrams are received.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Returns the address of the HTTP endpoints.
    pub fn health_address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns a handle on the upstream.
    pub fn handle(&self) -> UpstreamHandle {
        self.handle.clone()
    }

    /// Serves datagrams and endpoints until the task is aborted or a socket fails.
    pub async fn run(self) -> std::io::Result<()> {
        let router = Router::new()
            .route("/health", get(read_health))
            .route("/load", get(read_load))
            .route("/standin/runs", get(read_runs))
            .route("/standin/behaviour", post(set_behaviour))
            .with_state(self.handle.clone());
        let endpoints = async { axum::serve(self.listener, router).await };
        let datagrams = serve_datagrams(&self.socket, &self.handle);
        tokio::try_join!(endpoints, datagrams)?;
        Ok(())
    }
}

async fn serve_datagrams(socket: &UdpSocket, handle: &UpstreamHandle) -> std::io::Result<()> {
    let mut buffer = [0; MAX_DATAGRAM + 1];
    let mut replies = Vec::new();
    loop {
        let next = handle.lock().next_deadline();
        let deadline = next.unwrap_or_else(|| Instant::now() + MAX_SLEEP);
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                let Ok((len, host)) = received else {
                    continue;
                };
                if let Ok(frame) = wire_frame::decode_upstream(&buffer[..len]) {
                    handle.lock().handle_frame(Instant::now(), host, frame, &mut replies);
                }
            }
            () = tokio::time::sleep_until(deadline.into()) => {}
        }
        handle.lock().advance(Instant::now(), &mut replies);
        for reply in replies.drain(..) {
            send(socket, &reply).await;
        }
    }
}

async fn send(socket: &UdpSocket, reply: &UpstreamReply) {
    match wire_frame::encode_upstream(&reply.frame) {
        Ok(bytes) => {
            let _lost = socket.send_to(&bytes, reply.host).await;
        }
        Err(code) => log::error!("cannot encode a reply to a host: {code:?}"),
    }
}

async fn read_health(State(upstream): State<UpstreamHandle>) -> StatusCode {
    if upstream.lock().reports_healthy() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn read_load(State(upstream): State<UpstreamHandle>) -> Json<UpstreamLoad> {
    Json(upstream.lock().reported_load(Instant::now()))
}

async fn read_runs(State(upstream): State<UpstreamHandle>) -> Json<RunReport> {
    let records = upstream.records();
    Json(RunReport {
        totals: records.totals,
        requests: records.entries().collect(),
    })
}

async fn set_behaviour(
    State(upstream): State<UpstreamHandle>,
    Json(behaviour): Json<UpstreamBehaviour>,
) -> StatusCode {
    upstream.set_behaviour(behaviour);
    StatusCode::OK
}
