//! Whole-document reads of the platform stand-in, until the control daemon reads keys.

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::routing::get;
use lagoonproxy::published_config::PublishedConfig;
use lagoonproxy::published_config::PublishedHosts;
use serde::de::DeserializeOwned;

use crate::key_store::KeyStore;
use crate::platform::CallKind;
use crate::platform::Platform;

/// The routes of the whole documents.
pub fn routes() -> Router<Platform> {
    Router::new()
        .route("/v1/config", get(read_config))
        .route("/v1/hosts", get(read_hosts))
}

async fn read_config(State(platform): State<Platform>) -> Json<PublishedConfig> {
    platform.count(CallKind::Read);
    Json(platform.read(|store| PublishedConfig {
        version: store.revision(),
        services: join(store, "services/"),
        upstreams: join(store, "upstreams/"),
    }))
}

async fn read_hosts(State(platform): State<Platform>) -> Json<PublishedHosts> {
    platform.count(CallKind::Read);
    Json(platform.read(|store| PublishedHosts {
        version: store.revision(),
        hosts: join(store, "hosts/"),
    }))
}

fn join<T: DeserializeOwned>(store: &KeyStore, prefix: &str) -> Vec<T> {
    let values = store
        .list(prefix)
        .filter_map(|change| change.value.as_deref());
    values
        .filter_map(|value| serde_json::from_value::<Vec<T>>(value.clone()).ok())
        .flatten()
        .collect()
}
