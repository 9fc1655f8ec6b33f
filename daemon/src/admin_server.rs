//! HTTP server for a daemon's metrics, health and status.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use serde_json::Value;
use tokio::net::TcpListener;

/// Source of the data that the admin server serves.
pub trait AdminSource: Send + Sync {
    /// Returns all metrics in the Prometheus text format.
    fn metrics_text(&self) -> String;

    /// Returns why the daemon cannot serve at present; `None` if it can.
    fn unready_reason(&self) -> Option<String>;

    /// Returns the status as `lagoonctl` reads it.
    fn status(&self) -> Value;
}

/// Serves `/metrics`, `/healthz`, `/readyz` and `/v1/status` until the task is aborted.
///
/// `/healthz` responds as long as the process runs. `/readyz` responds with 503 and the reason
/// while the daemon cannot serve.
pub async fn serve_admin(listener: TcpListener, source: Arc<dyn AdminSource>) {
    let router = Router::new()
        .route("/metrics", get(read_metrics))
        .route("/healthz", get(read_health))
        .route("/readyz", get(read_readiness))
        .route("/v1/status", get(read_status))
        .with_state(source);
    if let Err(error) = axum::serve(listener, router).await {
        log::error!("admin server failed: {error}");
    }
}

/// Binds the admin listener.
pub async fn bind_admin(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

async fn read_metrics(State(source): State<Arc<dyn AdminSource>>) -> String {
    source.metrics_text()
}

async fn read_health() -> &'static str {
    "alive\n"
}

async fn read_readiness(State(source): State<Arc<dyn AdminSource>>) -> (StatusCode, String) {
    match source.unready_reason() {
        None => (StatusCode::OK, "ready\n".to_owned()),
        Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
    }
}

async fn read_status(State(source): State<Arc<dyn AdminSource>>) -> Json<Value> {
    Json(source.status())
}
