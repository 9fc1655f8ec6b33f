//! HTTP client of the platform. `docs/technical/platform-protocol.md` specifies the protocol.

use std::net::SocketAddr;
use std::time::Duration;

use lagoonproxy::control_event::PlatformRequest;
use lagoonproxy::control_event::PlatformResponse;
use lagoonproxy::control_event::PublishedKey;
use lagoonproxy::ids::ConfigKey;
use lagoonproxy::ids::PlatformEra;
use lagoonproxy::ids::Version;
use lagoonproxy::key_version::compose_version;
use lagoonproxy::key_version::split_version;
use lagoonproxy::platform_feed::CALL_TIMEOUT_MARGIN;
use reqwest::StatusCode;
use reqwest::Url;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Bytes counted for the headers of a call and its response, in addition to the body.
const CALL_OVERHEAD_BYTES: usize = 300;

/// The result of a call.
pub struct CallResult {
    /// The platform's response.
    pub response: PlatformResponse,
    /// Bytes of the call and its response.
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
struct ValueResponse {
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
struct WatchResponse {
    #[serde(default)]
    era: PlatformEra,
    revision: Version,
    changes: Vec<KeyChange>,
}

impl PlatformClient {
    /// Creates a client without a connection.
    pub fn new(address: SocketAddr) -> Self {
        let client = reqwest::Client::new();
        Self { address, client }
    }

    /// Makes a call. Every failure gives [`PlatformResponse::Unreachable`].
    pub async fn call(&self, request: &PlatformRequest) -> CallResult {
        match self.try_call(request).await {
            Some(end) => end,
            None => CallResult {
                response: PlatformResponse::Unreachable,
                bytes: CALL_OVERHEAD_BYTES,
            },
        }
    }

    async fn try_call(&self, request: &PlatformRequest) -> Option<CallResult> {
        let url = self.url(request)?;
        let timeout = CALL_TIMEOUT_MARGIN + watch_wait(request);
        let response = self.client.get(url).timeout(timeout).send().await.ok()?;
        let status = response.status();
        let body = response.bytes().await.ok()?;
        Some(CallResult {
            response: parse_response(request, status, &body)?,
            bytes: CALL_OVERHEAD_BYTES + body.len(),
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

fn watch_wait(request: &PlatformRequest) -> Duration {
    match request {
        PlatformRequest::Watch { wait, .. } => *wait,
        PlatformRequest::List { .. } | PlatformRequest::Value { .. } => Duration::ZERO,
    }
}

fn parse_response(
    request: &PlatformRequest,
    status: StatusCode,
    body: &[u8],
) -> Option<PlatformResponse> {
    match (request, status) {
        (PlatformRequest::List { .. }, StatusCode::OK) => {
            let list: KeyList = parse_json(body)?;
            let keys = list.keys.into_iter().map(|listed| {
                let version = compose_version(list.era, listed.version)?;
                Some((listed.key, version))
            });
            Some(PlatformResponse::Keys {
                revision: compose_version(list.era, list.revision)?,
                keys: keys.collect::<Option<_>>()?,
            })
        }
        (PlatformRequest::Value { .. }, StatusCode::OK) => {
            let ValueResponse { era, change } = parse_json(body)?;
            Some(PlatformResponse::Value(Some(published_key(era, change)?)))
        }
        (PlatformRequest::Value { .. }, StatusCode::NOT_FOUND) => {
            Some(PlatformResponse::Value(None))
        }
        (PlatformRequest::Watch { after, .. }, StatusCode::OK) => {
            let response: WatchResponse = parse_json(body)?;
            let (watched_era, _revision) = split_version(*after);
            if response.era > watched_era {
                return Some(PlatformResponse::HistoryDropped);
            }
            let changes = response.changes.into_iter();
            let changes = changes.map(|change| published_key(response.era, change));
            Some(PlatformResponse::Changes {
                revision: compose_version(response.era, response.revision)?,
                changes: changes.collect::<Option<_>>()?,
            })
        }
        (PlatformRequest::Watch { .. }, StatusCode::GONE) => Some(PlatformResponse::HistoryDropped),
        _ => None,
    }
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

fn published_key(era: PlatformEra, change: KeyChange) -> Option<PublishedKey> {
    Some(PublishedKey {
        key: change.key,
        version: compose_version(era, change.version)?,
        value: change.value,
    })
}
