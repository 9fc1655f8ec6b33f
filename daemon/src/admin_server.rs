//! What operators and their tools read from a daemon over HTTP: metrics, health and status.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use serde_json::Value;
use tokio::net::TcpListener;

/// What a daemon shows of itself.
pub trait AdminSource: Send + Sync {
    /// Every metric in the text format of Prometheus.
    fn metrics_text(&self) -> String;

    /// Why it cannot serve at present, or `None` when it can.
    fn unready_reason(&self) -> Option<String>;

    /// Its status, for `lagoonctl`.
    fn status(&self) -> Value;
}

/// Serves `/metrics`, `/healthz`, `/readyz` and `/v1/status` until the task is aborted.
///
/// `/healthz` answers as long as the process runs; `/readyz` answers 503 with the reason while the
/// daemon cannot serve.
pub async fn serve_admin(listener: TcpListener, source: Arc<dyn AdminSource>) {
    let router = Router::new()
        .route("/metrics", get(read_metrics))
        .route("/healthz", get(read_health))
        .route("/readyz", get(read_readiness))
        .route("/v1/status", get(read_status))
        .with_state(source);
    if let Err(error) = axum::serve(listener, router).await {
        log::error!("the admin server ended: {error}");
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
