//! The operators' side of the platform stand-in, which the real platform does not share with us:
//! publishing with an expected version, faults, and counters.

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
    /// The version that the key must have; zero for a key that must not be there.
    expected: Option<Version>,
}

/// The answer to a change.
#[derive(Debug, Serialize, Deserialize)]
pub struct ChangeAnswer {
    /// The key's version now; absent when the change is published later.
    pub version: Option<Version>,
}

/// The answer to a call that was refused.
#[derive(Debug, Serialize, Deserialize)]
pub struct RefusedCall {
    /// Why, in words.
    pub error: String,
    /// After a lost race of operators, the version that the key has.
    pub actual: Option<Version>,
}

/// The routes under `/operator`.
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
    answer_change(platform.change(&key, Some(value), query.expected))
}

async fn delete_value(
    State(platform): State<Platform>,
    Path(key): Path<String>,
    Query(query): Query<ChangeQuery>,
) -> Response {
    answer_change(platform.change(&key, None, query.expected))
}

async fn set_faults(
    State(platform): State<Platform>,
    Json(faults): Json<PlatformFaults>,
) -> Response {
    match platform.set_faults(faults) {
        Ok(()) => Json(faults).into_response(),
        Err(error) => refuse(error),
    }
}

async fn read_counters(State(platform): State<Platform>) -> Json<PlatformCounters> {
    Json(platform.counters())
}

fn answer_change(change: Result<Option<Version>, StoreError>) -> Response {
    match change {
        Ok(version) => Json(ChangeAnswer { version }).into_response(),
        Err(error) => refuse(error),
    }
}

fn refuse(error: StoreError) -> Response {
    let (status, actual) = match error {
        StoreError::VersionConflict { actual } => (StatusCode::CONFLICT, Some(actual)),
        StoreError::ValueTooLong => (StatusCode::PAYLOAD_TOO_LARGE, None),
        StoreError::HistoryGone { .. } => (StatusCode::GONE, None),
    };
    let refused = RefusedCall {
        error: error.to_string(),
        actual,
    };
    (status, Json(refused)).into_response()
}
