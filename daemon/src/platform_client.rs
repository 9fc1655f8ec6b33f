//! Carries out calls on the platform over HTTP, as `docs/technical/platform-protocol.md` has them.

use std::net::SocketAddr;
use std::time::Duration;

use lagoonproxy::control_event::PlatformAnswer;
use lagoonproxy::control_event::PlatformRequest;
use lagoonproxy::control_event::PublishedKey;
use lagoonproxy::ids::ConfigKey;
use lagoonproxy::ids::PlatformEra;
use lagoonproxy::ids::Version;
use lagoonproxy::key_version::compose_version;
use lagoonproxy::key_version::split_version;
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
    #[serde(default)]
    era: PlatformEra,
    revision: Version,
    keys: Vec<ListedKey>,
}

#[derive(Deserialize)]
struct ListedKey {
    key: ConfigKey,
    version: Version,
}

#[derive(Deserialize)]
struct ValueAnswer {
    #[serde(default)]
    era: PlatformEra,
    #[serde(flatten)]
    change: KeyChange,
}

#[derive(Deserialize)]
struct KeyChange {
    key: ConfigKey,
    version: Version,
    value: Option<Value>,
}

#[derive(Deserialize)]
struct WatchAnswer {
    #[serde(default)]
    era: PlatformEra,
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
                    .append_pair("after", &split_version(*after).1.to_string())
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
            let keys = list.keys.into_iter().map(|listed| {
                let version = compose_version(list.era, listed.version)?;
                Some((listed.key, version))
            });
            Some(PlatformAnswer::Keys {
                revision: compose_version(list.era, list.revision)?,
                keys: keys.collect::<Option<_>>()?,
            })
        }
        (PlatformRequest::Value { .. }, StatusCode::OK) => {
            let ValueAnswer { era, change } = read_json(body)?;
            Some(PlatformAnswer::Value(Some(published(era, change)?)))
        }
        (PlatformRequest::Value { .. }, StatusCode::NOT_FOUND) => Some(PlatformAnswer::Value(None)),
        (PlatformRequest::Watch { after, .. }, StatusCode::OK) => {
            let answer: WatchAnswer = read_json(body)?;
            let (watched_era, _revision) = split_version(*after);
            if answer.era > watched_era {
                return Some(PlatformAnswer::HistoryGone);
            }
            let changes = answer.changes.into_iter();
            let changes = changes.map(|change| published(answer.era, change));
            Some(PlatformAnswer::Changes {
                revision: compose_version(answer.era, answer.revision)?,
                changes: changes.collect::<Option<_>>()?,
            })
        }
        (PlatformRequest::Watch { .. }, StatusCode::GONE) => Some(PlatformAnswer::HistoryGone),
        _ => None,
    }
}

fn read_json<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

fn published(era: PlatformEra, change: KeyChange) -> Option<PublishedKey> {
    Some(PublishedKey {
        key: change.key,
        version: compose_version(era, change.version)?,
        value: change.value,
    })
}
