//! Stand-in for the store of the users' platform: hosts list and watch it, tests write to it.
//!
//! Each host gets a port of its own, so that the store can fail for one host and serve the others.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use axum::Router;
use axum::extract::Query;
use axum::extract::State;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::middleware::map_response_with_state;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;

/// Maximum number of items per page. It is small so that lists in tests span several pages.
const MAX_PAGE_ITEMS: usize = 3;

/// How the store responds to one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreBehaviour {
    /// Requests are served.
    #[default]
    Serve,
    /// Requests fail with this HTTP status.
    Refuse(u16),
    /// Requests are accepted and get no response until the behaviour changes.
    Silent,
    /// Responses are lost. Requests that wait, or that arrive meanwhile, get none at all; those that
    /// arrive after the behaviour has changed are served.
    Lost,
}

#[derive(Clone, Debug, Default)]
struct Content {
    /// Number of restores from a backup.
    era: u64,
    revision: u64,
    /// Values in base64 with the revision of their last write, by key.
    items: BTreeMap<String, (String, u64)>,
    /// Every write: key, value in base64 (`None` if the key was removed), revision.
    history: Vec<(String, Option<String>, u64)>,
    /// Watches do not get writes up to this revision. They stay in `history`, from which a
    /// restore determines the lost writes.
    compacted: u64,
    calls: u64,
}

#[derive(Debug)]
struct Shared {
    content: Mutex<Content>,
    changed: watch::Sender<u64>,
}

/// The store. Clones share its content.
#[derive(Clone, Debug)]
pub struct PacketStore {
    shared: Arc<Shared>,
}

/// A backup of the store: its keys, history and revision at one point in time.
#[derive(Clone, Debug)]
pub struct StoreBackup {
    content: Content,
}

/// A write that a restore from a backup has undone.
#[derive(Clone, Debug)]
pub struct LostWrite {
    key: String,
    /// In base64; `None` if the key was removed.
    value: Option<String>,
}

/// The port of the store for one host.
#[derive(Clone, Debug)]
pub struct StorePort {
    /// Address at which the store serves this host.
    pub address: SocketAddrV4,
    behaviour: watch::Sender<StoreBehaviour>,
}

#[derive(Clone)]
struct PortState {
    shared: Arc<Shared>,
    behaviour: watch::Receiver<StoreBehaviour>,
}

impl Default for PacketStore {
    fn default() -> Self {
        let content = Content {
            revision: 100,
            ..Content::default()
        };
        let (changed, _receiver) = watch::channel(100);
        Self {
            shared: Arc::new(Shared {
                content: Mutex::new(content),
                changed,
            }),
        }
    }
}

impl Content {
    /// Whether a watch cannot resume after this revision, because the history was dropped or the
    /// store was restored to an older revision.
    fn cannot_resume(&self, after: u64) -> bool {
        after < self.compacted || after > self.revision
    }
}

impl Shared {
    fn content(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StorePort {
    /// Sets the behaviour for this host. It also applies to pending requests.
    pub fn set_behaviour(&self, behaviour: StoreBehaviour) {
        self.behaviour.send_replace(behaviour);
    }
}

impl PacketStore {
    /// Opens a port for one host.
    pub async fn open_port(&self, behaviour: StoreBehaviour) -> std::io::Result<StorePort> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let SocketAddr::V4(address) = listener.local_addr()? else {
            return Err(std::io::Error::other("not IPv4"));
        };
        let (sender, receiver) = watch::channel(behaviour);
        let state = PortState {
            shared: self.shared.clone(),
            behaviour: receiver,
        };
        let router = Router::new()
            .route("/v1/kv-range", get(list_keys))
            .route("/v1/kv-watch", get(watch_changes))
            .layer(map_response_with_state(self.shared.clone(), add_era_header))
            .with_state(state);
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(StorePort {
            address,
            behaviour: sender,
        })
    }

    /// Writes a JSON value.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().as_bytes());
    }

    /// Writes a value of arbitrary bytes.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.write(key, Some(base64_text(value)));
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.write(key, None);
    }

    /// Writes a value in base64, or removes the key.
    fn write(&self, key: &str, value: Option<String>) {
        let mut content = self.shared.content();
        content.revision += 1;
        let revision = content.revision;
        match &value {
            Some(value) => drop(
                content
                    .items
                    .insert(key.to_owned(), (value.clone(), revision)),
            ),
            None => drop(content.items.remove(key)),
        }
        content.history.push((key.to_owned(), value, revision));
        self.shared.changed.send_replace(revision);
    }

    /// Drops the history: watches that resume at an earlier revision get status 410.
    pub fn drop_history(&self) {
        let mut content = self.shared.content();
        content.compacted = content.revision;
    }

    /// Returns a backup of the present content.
    pub fn copy(&self) -> StoreBackup {
        let content = self.shared.content().clone();
        StoreBackup { content }
    }

    /// Restores the content from a backup and begins a new era. Later writes are lost, and their
    /// revisions are used again. Returns the lost writes in their order.
    pub fn restore(&self, backup: &StoreBackup) -> Vec<LostWrite> {
        let mut content = self.shared.content();
        let history = content.history.iter();
        let lost = history
            .filter(|(_key, _value, revision)| *revision > backup.content.revision)
            .map(|(key, value, _revision)| LostWrite {
                key: key.clone(),
                value: value.clone(),
            })
            .collect();
        *content = Content {
            era: content.era + 1,
            calls: content.calls,
            ..backup.content.clone()
        };
        self.shared.changed.send_replace(content.revision);
        lost
    }

    /// Repeats lost writes, as the clients that made them do. They get new revisions.
    pub fn rewrite_lost(&self, lost: Vec<LostWrite>) {
        for write in lost {
            self.write(&write.key, write.value);
        }
    }

    /// Returns the revision of the last write.
    pub fn revision(&self) -> u64 {
        self.shared.content().revision
    }

    /// Returns the number of requests of all hosts, failed ones included.
    pub fn calls(&self) -> u64 {
        self.shared.content().calls
    }
}

type Parameters = Query<HashMap<String, String>>;

/// HTTP header with the era, part of every response.
const ERA_HEADER: &str = "store-era";

/// Adds the current era to responses without one, which are error responses.
async fn add_era_header(State(shared): State<Arc<Shared>>, mut response: Response) -> Response {
    let era = HeaderValue::from(shared.content().era);
    response.headers_mut().entry(ERA_HEADER).or_insert(era);
    response
}

/// Returns a response with this body and the era of this content.
fn respond(content: &Content, body: Value) -> Response {
    let era = HeaderValue::from(content.era);
    ([(ERA_HEADER, era)], axum::Json(body)).into_response()
}

/// Counts a request and applies the behaviour of its port: returns `None` once the request may be
/// served, or the response that ends it.
async fn apply_behaviour(state: &PortState) -> Option<Response> {
    state.shared.content().calls += 1;
    let mut behaviour = state.behaviour.clone();
    loop {
        let current = *behaviour.borrow_and_update();
        match current {
            StoreBehaviour::Serve => return None,
            StoreBehaviour::Refuse(status) => return Some(error_response(status)),
            StoreBehaviour::Silent => behaviour.changed().await.ok()?,
            StoreBehaviour::Lost => std::future::pending().await,
        }
    }
}

fn error_response(status: u16) -> Response {
    StatusCode::from_u16(status)
        .unwrap_or(StatusCode::SERVICE_UNAVAILABLE)
        .into_response()
}

async fn list_keys(State(state): State<PortState>, Query(parameters): Parameters) -> Response {
    if let Some(response) = apply_behaviour(&state).await {
        return response;
    }
    let prefix = parameters.get("Prefix").cloned().unwrap_or_default();
    let after = parameters.get("after").cloned().unwrap_or_default();
    let content = state.shared.content();
    let matching = content
        .items
        .iter()
        .filter(|(key, _item)| key.starts_with(&prefix) && **key > after);
    let items: Vec<Value> = matching
        .clone()
        .take(MAX_PAGE_ITEMS)
        .map(|(key, (value, revision))| item(key, value, *revision))
        .collect();
    let truncated = matching.count() > MAX_PAGE_ITEMS;
    let body = json!({"items": items, "Truncated": truncated, "CurrentRev": content.revision});
    respond(&content, body)
}

async fn watch_changes(State(state): State<PortState>, Query(parameters): Parameters) -> Response {
    if let Some(response) = apply_behaviour(&state).await {
        return response;
    }
    let number = |name: &str| {
        parameters
            .get(name)
            .and_then(|text| text.parse::<u64>().ok())
            .unwrap_or_default()
    };
    let after = number("after");
    let wait = Duration::from_millis(number("WaitMs"));
    let era = {
        let content = state.shared.content();
        if content.cannot_resume(after) {
            return error_response(410);
        }
        content.era
    };
    let mut changed = state.shared.changed.subscribe();
    let mut behaviour = state.behaviour.clone();
    tokio::select! {
        _ = timeout(wait, changed.wait_for(|revision| *revision > after)) => {}
        _ = behaviour.wait_for(|behaviour| *behaviour != StoreBehaviour::Serve) => {}
    }
    if let Some(response) = apply_behaviour(&state).await {
        return response;
    }
    let content = state.shared.content();
    if content.cannot_resume(after) || content.era != era {
        return error_response(410);
    }
    let newer = content
        .history
        .iter()
        .filter(|(_key, _value, revision)| *revision > after);
    let events: Vec<Value> = newer
        .map(|(key, value, revision)| match value {
            Some(value) => item(key, value, *revision),
            None => json!({"Key": key, "Revision": revision, "Deleted": true}),
        })
        .collect();
    let body = json!({"events": events, "CurrentRev": content.revision});
    respond(&content, body)
}

fn item(key: &str, value: &str, revision: u64) -> Value {
    json!({"Key": key, "Value": value, "Revision": revision, "Created": revision, "Lease": 0})
}

/// Encodes bytes as base64 with padding, independently of the library that the adapter uses.
fn base64_text(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for position in 0..4 {
            if position <= chunk.len() {
                let index = (bits >> (18 - 6 * position)) & 63;
                text.push(char::from(ALPHABET[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
