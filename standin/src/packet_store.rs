//! The store of the users' platform: read and watched by hosts, written by tests.
//!
//! Each host gets a port of its own, so that the store can turn one away and serve the others.

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

/// Most items of a page; small, so that tests meet several pages.
const PAGE_ITEMS: usize = 3;

/// How the store treats one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMood {
    /// It answers.
    #[default]
    Serve,
    /// It refuses with this status.
    Refuse(u16),
    /// It accepts calls and never answers.
    Silent,
}

#[derive(Clone, Debug, Default)]
struct Content {
    /// How often the store came back from a copy.
    era: u64,
    revision: u64,
    /// Values in base64, with the revision of their last change.
    items: BTreeMap<String, (String, u64)>,
    /// Every change: key, value or nothing, revision.
    history: Vec<(String, Option<String>, u64)>,
    /// Changes up to this revision are forgotten.
    dropped: u64,
    calls: u64,
}

#[derive(Debug)]
struct Shared {
    content: Mutex<Content>,
    changed: watch::Sender<u64>,
}

/// The store.
#[derive(Clone, Debug)]
pub struct PacketStore {
    shared: Arc<Shared>,
}

/// The keys and the counter of the store at one moment.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    content: Content,
}

/// A write that the store has lost.
#[derive(Clone, Debug)]
pub struct LostWrite {
    key: String,
    /// In base64; `None` if the key was removed.
    value: Option<String>,
}

/// The store as one host meets it.
#[derive(Clone, Debug)]
pub struct StorePort {
    /// Where it answers.
    pub address: SocketAddrV4,
    mood: watch::Sender<StoreMood>,
}

#[derive(Clone)]
struct PortState {
    shared: Arc<Shared>,
    mood: watch::Receiver<StoreMood>,
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
    /// Whether a watch cannot go on from this revision.
    fn lacks(&self, after: u64) -> bool {
        after < self.dropped || after > self.revision
    }
}

impl Shared {
    fn content(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StorePort {
    /// Changes how the store treats this host, from now and for calls that wait.
    pub fn set_mood(&self, mood: StoreMood) {
        self.mood.send_replace(mood);
    }
}

impl PacketStore {
    /// Opens a port for one host.
    pub async fn open_port(&self, mood: StoreMood) -> std::io::Result<StorePort> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let SocketAddr::V4(address) = listener.local_addr()? else {
            return Err(std::io::Error::other("not IPv4"));
        };
        let (sender, receiver) = watch::channel(mood);
        let state = PortState {
            shared: self.shared.clone(),
            mood: receiver,
        };
        let router = Router::new()
            .route("/v1/kv-range", get(range))
            .route("/v1/kv-watch", get(watch_changes))
            .layer(map_response_with_state(self.shared.clone(), add_era))
            .with_state(state);
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(StorePort {
            address,
            mood: sender,
        })
    }

    /// Writes a value.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().as_bytes());
    }

    /// Writes a value that may be anything.
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

    /// Forgets the history: watches that begin earlier get 410.
    pub fn drop_history(&self) {
        let mut content = self.shared.content();
        content.dropped = content.revision;
        content.history.clear();
    }

    /// The present content, to come back from.
    pub fn copy(&self) -> StoreCopy {
        let content = self.shared.content().clone();
        StoreCopy { content }
    }

    /// Comes back from a copy: what was written since is gone, and its revisions are given out again. Returns the lost
    /// writes, in their order.
    pub fn restore(&self, copy: &StoreCopy) -> Vec<LostWrite> {
        let mut content = self.shared.content();
        let history = content.history.iter();
        let lost = history
            .filter(|(_key, _value, revision)| *revision > copy.content.revision)
            .map(|(key, value, _revision)| LostWrite {
                key: key.clone(),
                value: value.clone(),
            })
            .collect();
        *content = Content {
            era: content.era + 1,
            calls: content.calls,
            ..copy.content.clone()
        };
        self.shared.changed.send_replace(content.revision);
        lost
    }

    /// Makes lost writes again, as their writers do.
    pub fn write_again(&self, lost: Vec<LostWrite>) {
        for write in lost {
            self.write(&write.key, write.value);
        }
    }

    /// Calls of all hosts, refused ones included.
    pub fn calls(&self) -> u64 {
        self.shared.content().calls
    }
}

type Words = Query<HashMap<String, String>>;

/// Header with the era, in every answer.
const ERA_HEADER: &str = "store-era";

/// States the present era in an answer that has none yet: a refusal.
async fn add_era(State(shared): State<Arc<Shared>>, mut response: Response) -> Response {
    let era = HeaderValue::from(shared.content().era);
    response.headers_mut().entry(ERA_HEADER).or_insert(era);
    response
}

/// An answer from this content, in its era.
fn answer(content: &Content, body: Value) -> Response {
    let era = HeaderValue::from(content.era);
    ([(ERA_HEADER, era)], axum::Json(body)).into_response()
}

/// Waits out the mood; `Some` if the call ends with that.
async fn moody(state: &PortState) -> Option<Response> {
    state.shared.content().calls += 1;
    let mut mood = state.mood.clone();
    loop {
        let present = *mood.borrow_and_update();
        match present {
            StoreMood::Serve => return None,
            StoreMood::Refuse(status) => return Some(refusal(status)),
            StoreMood::Silent => mood.changed().await.ok()?,
        }
    }
}

fn refusal(status: u16) -> Response {
    StatusCode::from_u16(status)
        .unwrap_or(StatusCode::SERVICE_UNAVAILABLE)
        .into_response()
}

async fn range(State(state): State<PortState>, Query(words): Words) -> Response {
    if let Some(response) = moody(&state).await {
        return response;
    }
    let prefix = words.get("Prefix").cloned().unwrap_or_default();
    let after = words.get("after").cloned().unwrap_or_default();
    let content = state.shared.content();
    let matching = content
        .items
        .iter()
        .filter(|(key, _item)| key.starts_with(&prefix) && **key > after);
    let items: Vec<Value> = matching
        .clone()
        .take(PAGE_ITEMS)
        .map(|(key, (value, revision))| item(key, value, *revision))
        .collect();
    let truncated = matching.count() > PAGE_ITEMS;
    let body = json!({"items": items, "Truncated": truncated, "CurrentRev": content.revision});
    answer(&content, body)
}

async fn watch_changes(State(state): State<PortState>, Query(words): Words) -> Response {
    if let Some(response) = moody(&state).await {
        return response;
    }
    let number = |name: &str| {
        words
            .get(name)
            .and_then(|text| text.parse::<u64>().ok())
            .unwrap_or_default()
    };
    let after = number("after");
    let wait = Duration::from_millis(number("WaitMs"));
    let era = {
        let content = state.shared.content();
        if content.lacks(after) {
            return refusal(410);
        }
        content.era
    };
    let mut changed = state.shared.changed.subscribe();
    let mut mood = state.mood.clone();
    tokio::select! {
        _ = timeout(wait, changed.wait_for(|revision| *revision > after)) => {}
        _ = mood.wait_for(|mood| *mood != StoreMood::Serve) => {}
    }
    if let Some(response) = moody(&state).await {
        return response;
    }
    let content = state.shared.content();
    if content.lacks(after) || content.era != era {
        return refusal(410);
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
    answer(&content, body)
}

fn item(key: &str, value: &str, revision: u64) -> Value {
    json!({"Key": key, "Value": value, "Revision": revision, "Created": revision, "Lease": 0})
}

/// Base64 with padding, written apart from the library that the adapter uses.
fn base64_text(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            if place <= chunk.len() {
                let index = (bits >> (18 - 6 * place)) & 63;
                text.push(char::from(LETTERS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
