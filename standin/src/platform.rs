//! Stand-in for the platform: operators publish, everybody else reads and watches.
//!
//! It speaks `docs/technical/platform-protocol.md`, counts each call, and can be made stale, slow
//! or dead. [`crate::platform_operator`] has the operators' side.

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

/// Longest time that a watch waits, whatever it asks for.
const MAX_WATCH: Duration = Duration::from_secs(60);
/// Prefix of the keys that hold the lagging list of entry hosts.
const HOSTS_PREFIX: &str = "hosts/";

/// How the platform misbehaves; an operator's call replaces them all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Readers see the copy of the moment at which this was set.
    pub stale: bool,
    /// Readers see the copy of this revision, as after a restart from an older one.
    pub frozen_at: Option<Version>,
    /// Each read is answered this many milliseconds late.
    pub delay_ms: u64,
    /// No read is answered until this is cleared.
    pub dead: bool,
    /// Changes under `hosts/` are published this many milliseconds late.
    pub hosts_lag_ms: u64,
    /// Changes kept for watches from now on, if given.
    pub history_limit: Option<usize>,
}

/// What was asked of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounters {
    /// The newest revision.
    pub revision: Version,
    /// Calls that list keys.
    pub lists: u64,
    /// Calls that read a value.
    pub reads: u64,
    /// Calls that watch.
    pub watches: u64,
    /// Watches that wait at present.
    pub waiting_watches: u64,
    /// Calls of all kinds.
    pub calls: u64,
}

/// A kind of call, for counting.
#[derive(Clone, Copy, Debug)]
enum CallKind {
    List,
    Read,
    Watch,
}

/// What the platform holds.
#[derive(Default)]
struct PlatformState {
    store: KeyStore,
    /// How often the platform has come back from a copy.
    era: PlatformEra,
    /// What readers see in place of `store` while the platform is stale.
    copy: Option<KeyStore>,
    faults: PlatformFaults,
    counters: PlatformCounters,
}

/// A platform; clones share what it holds.
#[derive(Clone)]
pub struct Platform {
    state: Arc<Mutex<PlatformState>>,
    /// Wakes waiting watches at each change of keys or faults.
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
    /// Sets or, with `None`, deletes a key. `Ok(None)` when the list of hosts lags and the change
    /// is published later.
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
                    log::error!("{key}: {error}");
                }
            });
            return Ok(None);
        }
        self.change_now(key, value, expected).map(Some)
    }

    /// The version of a key, zero if it is not there.
    pub fn version_of(&self, key: &str) -> Version {
        let state = self.lock();
        state.store.get(key).map_or(0, |change| change.version)
    }

    /// Publishes a value that is known to be valid.
    pub fn publish<T: Serialize>(&self, key: &str, value: &T) {
        let value = serde_json::to_value(value).unwrap_or_default();
        if let Err(error) = self.change(key, Some(value), None) {
            log::error!("{key}: {error}");
        }
    }

    fn change_now(
        &self,
        key: &str,
        value: Option<Value>,
        expected: Option<Version>,
    ) -> Result<Version, StoreError> {
        let version = self.lock().store.change(key, value, expected)?;
        self.wake();
        Ok(version)
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlatformFaults) -> Result<(), StoreError> {
        let mut state = self.lock();
        let copy = match faults.frozen_at {
            Some(revision) => Some(state.store.copy_at(revision)?),
            None if !faults.stale => None,
            None if state.faults.stale => state.copy.take(),
            None => Some(state.store.clone()),
        };
        if let Some(limit) = faults.history_limit {
            state.store.limit_history(limit);
        }
        state.copy = copy;
        state.faults = faults;
        drop(state);
        self.wake();
        Ok(())
    }

    /// Comes back from the copy of a revision: later changes are lost, and their revisions given out again.
    pub fn restore(&self, revision: Version) -> Result<(), StoreError> {
        let mut state = self.lock();
        state.store = state.store.copy_at(revision)?;
        state.era += 1;
        drop(state);
        self.wake();
        Ok(())
    }

    /// The faults in force.
    pub fn faults(&self) -> PlatformFaults {
        self.lock().faults
    }

    /// What was asked so far.
    pub fn counters(&self) -> PlatformCounters {
        let state = self.lock();
        PlatformCounters {
            revision: state.store.revision(),
            ..state.counters
        }
    }

    /// Serves on a port that the system chooses.
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

    /// Calls `read` on what readers see at present.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&KeyStore) -> T) -> EraAnswer<T> {
        let state = self.lock();
        EraAnswer {
            era: state.era,
            answer: read(state.copy.as_ref().unwrap_or(&state.store)),
        }
    }

    /// Counts a call and waits out the faults that concern it.
    async fn admit(&self, kind: CallKind) {
        self.count(kind);
        let delay = Duration::from_millis(self.faults().delay_ms);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        self.wait_until_alive().await;
    }

    async fn wait_until_alive(&self) {
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

    fn wake(&self) {
        self.changed.send_modify(|generation| *generation += 1);
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Counts a watch as waiting for as long as it lives, also when its reader hangs up.
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

/// An answer and the era in which it was given.
#[derive(Serialize)]
pub(crate) struct EraAnswer<T> {
    #[serde(skip_serializing_if = "is_first")]
    era: PlatformEra,
    #[serde(flatten)]
    answer: T,
}

/// A platform that has never come back from a copy states no era.
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
struct WatchAnswer {
    revision: Version,
    changes: Vec<KeyChange>,
}

async fn list_keys(State(platform): State<Platform>, Query(query): Query<ListQuery>) -> Response {
    platform.admit(CallKind::List).await;
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
    platform.admit(CallKind::Read).await;
    let EraAnswer { era, answer } = platform.read(|store| store.get(&key).cloned());
    match answer {
        Some(answer) => Json(EraAnswer { era, answer }).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn watch_keys(State(platform): State<Platform>, Query(query): Query<WatchQuery>) -> Response {
    let wait = MAX_WATCH.min(Duration::from_millis(query.wait_ms));
    let deadline = tokio::time::Instant::now() + wait;
    platform.admit(CallKind::Watch).await;
    let _waiting = WaitingWatch::new(&platform);
    let mut changed = platform.changed.subscribe();
    loop {
        platform.wait_until_alive().await;
        let in_time = tokio::time::Instant::now() < deadline;
        let EraAnswer { era, answer } = platform.read(|store| {
            let changes = store.changes_after(&query.prefix, query.after)?;
            Ok::<_, StoreError>(WatchAnswer {
                revision: store.revision(),
                changes,
            })
        });
        match answer {
            Err(_gone) => return StatusCode::GONE.into_response(),
            Ok(answer) if !answer.changes.is_empty() || !in_time => {
                return Json(EraAnswer { era, answer }).into_response();
            }
            Ok(_nothing) => {}
        }
        let _timed_out = tokio::time::timeout_at(deadline, changed.changed()).await;
    }
}
