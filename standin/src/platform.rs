//! Stand-in for the platform: operators publish, everybody else reads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::routing::get;
use lagoonproxy::published_config::PublishedConfig;
use lagoonproxy::published_config::PublishedHosts;
use tokio::net::TcpListener;

/// What the platform holds.
#[derive(Default)]
struct PlatformState {
    config: PublishedConfig,
    hosts: PublishedHosts,
    calls: u64,
}

/// A platform that serves until it is dropped.
#[derive(Clone, Default)]
pub struct Platform {
    state: Arc<Mutex<PlatformState>>,
}

impl Platform {
    /// Publishes a configuration.
    pub fn publish_config(&self, config: PublishedConfig) {
        self.lock().config = config;
    }

    /// Publishes the list of hosts.
    pub fn publish_hosts(&self, hosts: PublishedHosts) {
        self.lock().hosts = hosts;
    }

    /// How many calls were answered.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Serves on a port that the system chooses.
    pub async fn start(&self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let router = Router::new()
            .route("/v1/config", get(read_config))
            .route("/v1/hosts", get(read_hosts))
            .with_state(self.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(address)
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

async fn read_config(State(platform): State<Platform>) -> Json<PublishedConfig> {
    let mut state = platform.lock();
    state.calls += 1;
    Json(state.config.clone())
}

async fn read_hosts(State(platform): State<Platform>) -> Json<PublishedHosts> {
    let mut state = platform.lock();
    state.calls += 1;
    Json(state.hosts.clone())
}
