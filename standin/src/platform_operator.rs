//! Serves the operators' API of the platform stand-in: conditional changes of keys, fault
//! injection and counters.
//!
//! lagoonproxy does not use the corresponding API of the real platform, so the two need not match.

use axum::Json;
use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use axum::routing::put;
use lagoonproxy::ids::Version;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::key_store::MAX_VALUE;
use crate::key_store::StoreError;
use crate::platform::Platform;
use crate::platform::PlatformCounters;
use crate::platform::PlatformFaults;

#[derive(Deserialize)]
struct ChangeQuery {
    /// The version that the key must have; zero for a key that must not exist.
    expected: Option<Version>,
}

/// The response to a change of a key.
#[derive(Debug, Serialize, Deserialize)]
pub struct ChangeResponse {
    /// The key's new version; absent if the change is published later.
    pub version: Option<Version>,
}

/// The response to a call that failed.
#[derive(Debug, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// The error message.
    pub error: String,
    /// The current version of the key, after a version conflict.
    pub actual: Option<Version>,
}

/// Returns the routes under `/operator`.
pub fn routes() -> Router<Platform> {
    let values = put(put_value).delete(delete_value);
    Router::new()
        .route("/operator/values/{*key}", values)
        .route("/operator/faults", post(set_faults))
        .route("/operator/counters", get(read_counters))
        .layer(DefaultBodyLimit::max(2 * MAX_VALUE))
}

async fn put_value(
    State(platform): State<Platform>,
    Path(key): Path<String>,
    Query(query): Query<ChangeQuery>,
    Json(value): Json<Value>,
) -> Response {
    change_response(platform.change(&key, Some(value), query.expected))
}

async fn delete_value(
    State(platform): State<Platform>,
    Path(key): Path<String>,
    Query(query): Query<ChangeQuery>,
) -> Response {
    change_response(platform.change(&key, None, query.expected))
}

async fn set_faults(
    State(platform): State<Platform>,
    Json(faults): Json<PlatformFaults>,
) -> Response {
    match platform.set_faults(faults) {
        Ok(()) => Json(faults).into_response(),
        Err(error) => error_response(error),
    }
}

async fn read_counters(State(platform): State<Platform>) -> Json<PlatformCounters> {
    Json(platform.counters())
}

fn change_response(change: Result<Option<Version>, StoreError>) -> Response {
    match change {
        Ok(version) => Json(ChangeResponse { version }).into_response(),
        Err(error) => error_response(error),
    }
}

fn error_response(error: StoreError) -> Response {
    let (status, actual) = match error {
        StoreError::VersionConflict { actual } => (StatusCode::CONFLICT, Some(actual)),
        StoreError::ValueTooLong => (StatusCode::PAYLOAD_TOO_LARGE, None),
        StoreError::HistoryDropped { .. } => (StatusCode::GONE, None),
    };
    let refused = ErrorResponse {
        error: error.to_string(),
        actual,
    };
    (status, Json(refused)).into_response()
}
