//! Carries out calls on the platform over HTTP, as `docs/technical/platform-protocol.md` has them.

use std::net::SocketAddr;
use std::time::Duration;

use lagoonproxy::control_event::PlatformAnswer;
use lagoonproxy::control_event::PlatformRequest;
use lagoonproxy::control_event::PublishedKey;
use lagoonproxy::ids::ConfigKey;
use lagoonproxy::ids::Version;
use lagoonproxy::platform_feed::CALL_PATIENCE;
use reqwest::StatusCode;
use reqwest::Url;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Headers of a call and its answer, counted beside the body.
const CALL_OVERHEAD: usize = 300;

/// What came of a call.
pub struct CallEnd {
    /// The answer.
    pub answer: PlatformAnswer,
    /// Bytes of the call and its answer.
    pub bytes: usize,
}

/// A client of the platform; clones share its connections.
#[derive(Clone)]
pub struct PlatformClient {
    address: SocketAddr,
    client: reqwest::Client,
}

#[derive(Deserialize)]
struct KeyList {
    revision: Version,
    keys: Vec<ListedKey>,
}

#[derive(Deserialize)]
struct ListedKey {
    key: ConfigKey,
    version: Version,
}

#[derive(Deserialize)]
struct KeyChange {
    key: ConfigKey,
    version: Version,
    value: Option<Value>,
}

#[derive(Deserialize)]
struct WatchAnswer {
    revision: Version,
    changes: Vec<KeyChange>,
}

impl PlatformClient {
    /// Makes a client that has no connection yet.
    pub fn new(address: SocketAddr) -> Self {
        let client = reqwest::Client::new();
        Self { address, client }
    }

    /// Makes a call; whatever goes wrong is an unreachable platform.
    pub async fn call(&self, request: &PlatformRequest) -> CallEnd {
        match self.try_call(request).await {
            Some(end) => end,
            None => CallEnd {
                answer: PlatformAnswer::Unreachable,
                bytes: CALL_OVERHEAD,
            },
        }
    }

    async fn try_call(&self, request: &PlatformRequest) -> Option<CallEnd> {
        let url = self.url(request)?;
        let patience = CALL_PATIENCE + request_wait(request);
        let response = self.client.get(url).timeout(patience).send().await.ok()?;
        let status = response.status();
        let body = response.bytes().await.ok()?;
        Some(CallEnd {
            answer: read_answer(request, status, &body)?,
            bytes: CALL_OVERHEAD + body.len(),
        })
    }

    fn url(&self, request: &PlatformRequest) -> Option<Url> {
        let mut url = Url::parse(&format!("http://{}/v1/", self.address)).ok()?;
        match request {
            PlatformRequest::List { prefix } => {
                url.set_path("v1/keys");
                url.query_pairs_mut().append_pair("prefix", prefix);
            }
            PlatformRequest::Value { key } => url.set_path(&format!("v1/values/{key}")),
            PlatformRequest::Watch {
                prefix,
                after,
                wait,
            } => {
                url.set_path("v1/watch");
                url.query_pairs_mut()
                    .append_pair("prefix", prefix)
                    .append_pair("after", &after.to_string())
                    .append_pair("wait_ms", &wait.as_millis().to_string());
            }
        }
        Some(url)
    }
}

fn request_wait(request: &PlatformRequest) -> Duration {
    match request {
        PlatformRequest::Watch { wait, .. } => *wait,
        PlatformRequest::List { .. } | PlatformRequest::Value { .. } => Duration::ZERO,
    }
}

fn read_answer(
    request: &PlatformRequest,
    status: StatusCode,
    body: &[u8],
) -> Option<PlatformAnswer> {
    match (request, status) {
        (PlatformRequest::List { .. }, StatusCode::OK) => {
            let list: KeyList = read_json(body)?;
            let keys = list
                .keys
                .into_iter()
                .map(|listed| (listed.key, listed.version));
            Some(PlatformAnswer::Keys {
                revision: list.revision,
                keys: keys.collect(),
            })
        }
        (PlatformRequest::Value { .. }, StatusCode::OK) => {
            let change: KeyChange = read_json(body)?;
            Some(PlatformAnswer::Value(Some(published(change))))
        }
        (PlatformRequest::Value { .. }, StatusCode::NOT_FOUND) => Some(PlatformAnswer::Value(None)),
        (PlatformRequest::Watch { .. }, StatusCode::OK) => {
            let answer: WatchAnswer = read_json(body)?;
            Some(PlatformAnswer::Changes {
                revision: answer.revision,
                changes: answer.changes.into_iter().map(published).collect(),
            })
        }
        (PlatformRequest::Watch { .. }, StatusCode::GONE) => Some(PlatformAnswer::HistoryGone),
        _ => None,
    }
}

fn read_json<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

fn published(change: KeyChange) -> PublishedKey {
    PublishedKey {
        key: change.key,
        version: change.version,
        value: change.value,
    }
}
