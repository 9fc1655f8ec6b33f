//! Stands in for the platform: a key-value store that operators change and hosts read and watch.
//!
//! It implements `docs/technical/platform-protocol.md`, counts each call, and can be made stale,
//! slow or unresponsive. [`crate::platform_operator`] serves the operators' API.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use lagoonproxy::ids::PlatformEra;
use lagoonproxy::ids::Version;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::key_store::KeyChange;
use crate::key_store::KeyStore;
use crate::key_store::StoreError;
use crate::platform_operator;

/// Maximum time that a watch waits for a change.
const MAX_WATCH: Duration = Duration::from_secs(60);
/// Prefix of the keys that hold the list of entry hosts, which may lag.
const HOSTS_PREFIX: &str = "hosts/";

/// Injected faults of the platform; a call of an operator replaces all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Readers see the state of the time at which this was set.
    pub stale: bool,
    /// Readers see the state of this revision, as after a restart from an older state.
    pub frozen_at: Option<Version>,
    /// Delay in milliseconds of the response to each call of a reader.
    pub delay_ms: u64,
    /// Calls of readers get no response until this is cleared.
    pub dead: bool,
    /// Delay in milliseconds until changes under `hosts/` are published.
    pub hosts_lag_ms: u64,
    /// Number of changes that are retained for watches from now on, if given.
    pub history_limit: Option<usize>,
}

/// Counts the calls of readers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounters {
    /// The latest revision.
    pub revision: Version,
    /// Calls that list keys.
    pub lists: u64,
    /// Calls that read a value.
    pub reads: u64,
    /// Calls that watch.
    pub watches: u64,
    /// Watches that are waiting for a change.
    pub waiting_watches: u64,
    /// Calls of all kinds.
    pub calls: u64,
}

/// The kind of a counted call.
#[derive(Clone, Copy, Debug)]
enum CallKind {
    List,
    Read,
    Watch,
}

/// The state that clones of a [`Platform`] share.
#[derive(Default)]
struct PlatformState {
    store: KeyStore,
    /// How often the platform was restored from a backup.
    era: PlatformEra,
    /// The store that readers see in place of `store` while the platform is stale or frozen.
    stale_copy: Option<KeyStore>,
    faults: PlatformFaults,
    counters: PlatformCounters,
}

/// A platform stand-in; clones share its state.
#[derive(Clone)]
pub struct Platform {
    state: Arc<Mutex<PlatformState>>,
    /// Wakes waiting calls after each change of keys or faults.
    changed: watch::Sender<u64>,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            changed: watch::Sender::new(0),
        }
    }
}

impl Platform {
    /// Sets a key, or deletes it if `value` is `None`, and returns its new version.
    ///
    /// Returns `Ok(None)` if the list of hosts lags and the change is published later. Returns an
    /// error if the value is too long or the key's version is not `expected`.
    pub fn change(
        &self,
        key: &str,
        value: Option<Value>,
        expected: Option<Version>,
    ) -> Result<Option<Version>, StoreError> {
        let lag = Duration::from_millis(self.faults().hosts_lag_ms);
        if key.starts_with(HOSTS_PREFIX) && !lag.is_zero() {
            let platform = self.clone();
            let key = key.to_owned();
            tokio::spawn(async move {
                tokio::time::sleep(lag).await;
                if let Err(error) = platform.change_now(&key, value, expected) {
                    log::error!("cannot change key {key}: {error}");
                }
            });
            return Ok(None);
        }
        self.change_now(key, value, expected).map(Some)
    }

    /// Returns the version of a key, zero if it does not exist.
    pub fn version_of(&self, key: &str) -> Version {
        let state = self.lock();
        state.store.get(key).map_or(0, |change| change.version)
    }

    /// Publishes a value without an expected version; an error is only logged.
    pub fn publish<T: Serialize>(&self, key: &str, value: &T) {
        let value = serde_json::to_value(value).unwrap_or_default();
        if let Err(error) = self.change(key, Some(value), None) {
            log::error!("cannot change key {key}: {error}");
        }
    }

    fn change_now(
        &self,
        key: &str,
        value: Option<Value>,
        expected: Option<Version>,
    ) -> Result<Version, StoreError> {
        let version = self.lock().store.change(key, value, expected)?;
        self.notify_watches();
        Ok(version)
    }

    /// Replaces the injected faults; returns an error if the history does not reach back to
    /// `frozen_at`.
    pub fn set_faults(&self, faults: PlatformFaults) -> Result<(), StoreError> {
        let mut state = self.lock();
        let stale_copy = match faults.frozen_at {
            Some(revision) => Some(state.store.snapshot_at(revision)?),
            None if !faults.stale => None,
            None if state.faults.stale => state.stale_copy.take(),
            None => Some(state.store.clone()),
        };
        if let Some(limit) = faults.history_limit {
            state.store.set_history_limit(limit);
        }
        state.stale_copy = stale_copy;
        state.faults = faults;
        drop(state);
        self.notify_watches();
        Ok(())
    }

    /// Restores the store as of a revision, as from a backup. Later changes are lost, and their
    /// revisions are assigned again.
    ///
    /// Returns an error if the history does not reach back to the revision.
    pub fn restore(&self, revision: Version) -> Result<(), StoreError> {
        let mut state = self.lock();
        state.store = state.store.snapshot_at(revision)?;
        state.era += 1;
        drop(state);
        self.notify_watches();
        Ok(())
    }

    /// Returns the current faults.
    pub fn faults(&self) -> PlatformFaults {
        self.lock().faults
    }

    /// Returns the number of calls so far.
    pub fn counters(&self) -> PlatformCounters {
        let state = self.lock();
        PlatformCounters {
            revision: state.store.revision(),
            ..state.counters
        }
    }

    /// Starts serving on a port that the system chooses, and returns the address.
    pub async fn start(&self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let platform = self.clone();
        tokio::spawn(async move { platform.serve(listener).await });
        Ok(address)
    }

    /// Serves until the task is aborted.
    pub async fn serve(self, listener: TcpListener) -> std::io::Result<()> {
        let router = Router::new()
            .route("/v1/keys", get(list_keys))
            .route("/v1/values/{*key}", get(read_value))
            .route("/v1/watch", get(watch_keys))
            .merge(platform_operator::routes())
            .with_state(self);
        axum::serve(listener, router).await
    }

    /// Calls `read` on the store that readers see.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&KeyStore) -> T) -> EraResponse<T> {
        let state = self.lock();
        EraResponse {
            era: state.era,
            answer: read(state.stale_copy.as_ref().unwrap_or(&state.store)),
        }
    }

    /// Counts a call, and delays it as the injected faults demand.
    async fn begin_call(&self, kind: CallKind) {
        self.count(kind);
        let delay = Duration::from_millis(self.faults().delay_ms);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        self.wait_until_responsive().await;
    }

    async fn wait_until_responsive(&self) {
        let mut changed = self.changed.subscribe();
        while self.faults().dead {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    fn count(&self, kind: CallKind) {
        let counters = &mut self.lock().counters;
        counters.calls += 1;
        match kind {
            CallKind::List => counters.lists += 1,
            CallKind::Read => counters.reads += 1,
            CallKind::Watch => counters.watches += 1,
        }
    }

    fn notify_watches(&self) {
        self.changed.send_modify(|generation| *generation += 1);
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Counts a watch as waiting until it is dropped, which also happens when its reader disconnects.
struct WaitingWatch<'a> {
    platform: &'a Platform,
}

impl<'a> WaitingWatch<'a> {
    fn new(platform: &'a Platform) -> Self {
        platform.lock().counters.waiting_watches += 1;
        Self { platform }
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.platform.lock().counters.waiting_watches -= 1;
    }
}

/// A response with the era of the store that it was read from.
#[derive(Serialize)]
pub(crate) struct EraResponse<T> {
    #[serde(skip_serializing_if = "is_first")]
    era: PlatformEra,
    #[serde(flatten)]
    answer: T,
}

/// Returns whether the platform was never restored, in which case responses have no era.
fn is_first(era: &PlatformEra) -> bool {
    *era == 0
}

#[derive(Deserialize)]
struct ListQuery {
    #[serde(default)]
    prefix: SmolStr,
}

#[derive(Serialize)]
struct KeyVersion {
    key: SmolStr,
    version: Version,
}

#[derive(Serialize)]
struct KeyList {
    revision: Version,
    keys: Vec<KeyVersion>,
}

#[derive(Deserialize)]
struct WatchQuery {
    #[serde(default)]
    prefix: SmolStr,
    after: Version,
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Serialize)]
struct WatchResponse {
    revision: Version,
    changes: Vec<KeyChange>,
}

async fn list_keys(State(platform): State<Platform>, Query(query): Query<ListQuery>) -> Response {
    platform.begin_call(CallKind::List).await;
    let list = platform.read(|store| KeyList {
        revision: store.revision(),
        keys: store
            .list(&query.prefix)
            .map(|change| KeyVersion {
                key: change.key.clone(),
                version: change.version,
            })
            .collect(),
    });
    Json(list).into_response()
}

async fn read_value(State(platform): State<Platform>, Path(key): Path<String>) -> Response {
    platform.begin_call(CallKind::Read).await;
    let EraResponse { era, answer } = platform.read(|store| store.get(&key).cloned());
    match answer {
        Some(answer) => Json(EraResponse { era, answer }).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn watch_keys(State(platform): State<Platform>, Query(query): Query<WatchQuery>) -> Response {
    let wait = MAX_WATCH.min(Duration::from_millis(query.wait_ms));
    let deadline = tokio::time::Instant::now() + wait;
    platform.begin_call(CallKind::Watch).await;
    let _waiting = WaitingWatch::new(&platform);
    let mut changed = platform.changed.subscribe();
    loop {
        platform.wait_until_responsive().await;
        let in_time = tokio::time::Instant::now() < deadline;
        let EraResponse { era, answer } = platform.read(|store| {
            let changes = store.changes_after(&query.prefix, query.after)?;
            Ok::<_, StoreError>(WatchResponse {
                revision: store.revision(),
                changes,
            })
        });
        match answer {
            Err(_history_dropped) => return StatusCode::GONE.into_response(),
            Ok(answer) if !answer.changes.is_empty() || !in_time => {
                return Json(EraResponse { era, answer }).into_response();
            }
            Ok(_no_changes) => {}
        }
        let _timed_out = tokio::time::timeout_at(deadline, changed.changed()).await;
    }
}
