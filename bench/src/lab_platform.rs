//! An in-memory platform for the control plane experiment, with watches, outages and call counts.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::control_event::CallId;
use lagoonproxy::control_event::PlatformRequest;
use lagoonproxy::control_event::PlatformResponse;
use lagoonproxy::control_event::PublishedKey;
use lagoonproxy::ids::ConfigKey;
use lagoonproxy::ids::HostId;
use lagoonproxy::ids::Version;
use serde_json::Value;

/// Calls per second that the platform can answer.
const CALLS_PER_SECOND: u32 = 2_000;
/// Bytes of the headers of an HTTP request and its response.
const CALL_OVERHEAD_BYTES: usize = 300;

/// The keys with their versions; `None` after a deletion.
type LabKeys = BTreeMap<ConfigKey, (Version, Option<Value>)>;

/// A watch that waits for a change until its deadline.
struct WaitingWatch {
    host: HostId,
    call: CallId,
    prefix: ConfigKey,
    after: Version,
    deadline: Instant,
}

/// A response in transit to a host.
pub struct LabAnswer {
    /// Host that made the call.
    pub host: HostId,
    /// Identifier of the call.
    pub call: CallId,
    /// Content of the response.
    pub answer: PlatformResponse,
    /// Bytes of the call and its response.
    pub bytes: usize,
    /// Time at which the platform sends the response.
    pub sent: Instant,
}

/// The published keys, the waiting watches and the number of calls.
#[derive(Default)]
pub struct LabPlatform {
    keys: LabKeys,
    revision: Version,
    watches: Vec<WaitingWatch>,
    copy: Option<(LabKeys, Version)>,
    busy_until: Option<Instant>,
    /// Whether the platform is unreachable.
    pub away: bool,
    /// Number of calls received.
    pub calls: u64,
}

impl LabPlatform {
    /// Returns the revision of the last change.
    pub fn revision(&self) -> Version {
        self.revision
    }

    /// Publishes a value and returns its revision. Waiting watches are answered by the next
    /// [`Self::due_watches`].
    pub fn publish(&mut self, key: &str, value: Value) -> Version {
        self.revision += 1;
        self.keys.insert(key.into(), (self.revision, Some(value)));
        self.revision
    }

    /// Saves the current state as a backup.
    pub fn save_backup(&mut self) {
        self.copy = Some((self.keys.clone(), self.revision));
    }

    /// Restarts the platform from the backup, if there is one, and drops waiting watches.
    pub fn restore_backup(&mut self) {
        if let Some((keys, revision)) = self.copy.take() {
            self.keys = keys;
            self.revision = revision;
        }
        self.watches.clear();
    }

    /// Handles a call that arrives now. Returns `None` for a watch without changes, which
    /// [`Self::due_watches`] answers later.
    pub fn call(
        &mut self,
        now: Instant,
        host: HostId,
        call: CallId,
        request: PlatformRequest,
    ) -> Option<LabAnswer> {
        self.calls += 1;
        if self.away {
            return Some(LabAnswer {
                host,
                call,
                answer: PlatformResponse::Unreachable,
                bytes: CALL_OVERHEAD_BYTES,
                sent: now,
            });
        }
        let answer = match request {
            PlatformRequest::List { prefix } => self.list(&prefix),
            PlatformRequest::Value { key } => PlatformResponse::Value(self.value(&key)),
            PlatformRequest::Watch {
                prefix,
                after,
                wait,
            } => {
                let changes = self.changes(&prefix, after);
                if changes.is_empty() && wait > Duration::ZERO {
                    self.watches.push(WaitingWatch {
                        host,
                        call,
                        prefix,
                        after,
                        deadline: now + wait,
                    });
                    return None;
                }
                PlatformResponse::Changes {
                    revision: self.revision,
                    changes,
                }
            }
        };
        Some(self.send(now, host, call, answer))
    }

    /// Returns the responses to watches that have a change or whose deadline has passed.
    pub fn due_watches(&mut self, now: Instant) -> Vec<LabAnswer> {
        if self.away {
            return Vec::new();
        }
        let watches = std::mem::take(&mut self.watches);
        let mut answers = Vec::new();
        for watch in watches {
            let changes = self.changes(&watch.prefix, watch.after);
            if changes.is_empty() && now < watch.deadline {
                self.watches.push(watch);
                continue;
            }
            let answer = PlatformResponse::Changes {
                revision: self.revision,
                changes,
            };
            answers.push(self.send(now, watch.host, watch.call, answer));
        }
        answers
    }

    /// Returns the response to a call. Calls are answered one after another at the rate of
    /// [`CALLS_PER_SECOND`].
    fn send(
        &mut self,
        now: Instant,
        host: HostId,
        call: CallId,
        answer: PlatformResponse,
    ) -> LabAnswer {
        let begin = self.busy_until.map_or(now, |busy| busy.max(now));
        let sent = begin + Duration::from_secs(1) / CALLS_PER_SECOND;
        self.busy_until = Some(sent);
        LabAnswer {
            host,
            call,
            bytes: CALL_OVERHEAD_BYTES + answer_bytes(&answer),
            answer,
            sent,
        }
    }

    fn list(&self, prefix: &str) -> PlatformResponse {
        let keys = self
            .keys
            .iter()
            .filter(|(key, (_, value))| key.starts_with(prefix) && value.is_some());
        PlatformResponse::Keys {
            revision: self.revision,
            keys: keys.map(|(key, held)| (key.clone(), held.0)).collect(),
        }
    }

    fn value(&self, key: &ConfigKey) -> Option<PublishedKey> {
        let (version, value) = self.keys.get(key)?;
        value.as_ref()?;
        Some(PublishedKey {
            key: key.clone(),
            version: *version,
            value: value.clone(),
        })
    }

    /// Returns the latest value of each key under a prefix that changed after a revision.
    pub fn changes(&self, prefix: &str, after: Version) -> Vec<PublishedKey> {
        let changed =
            |key: &ConfigKey, version: Version| key.starts_with(prefix) && version > after;
        self.keys
            .iter()
            .filter(|(key, (version, _value))| changed(key, *version))
            .map(|(key, (version, value))| PublishedKey {
                key: key.clone(),
                version: *version,
                value: value.clone(),
            })
            .collect()
    }
}

fn answer_bytes(answer: &PlatformResponse) -> usize {
    match answer {
        PlatformResponse::Keys { keys, .. } => keys.iter().map(|(key, _)| key.len() + 30).sum(),
        PlatformResponse::Value(Some(published)) => published_bytes(published),
        PlatformResponse::Changes { changes, .. } => changes.iter().map(published_bytes).sum(),
        PlatformResponse::Value(None)
        | PlatformResponse::HistoryDropped
        | PlatformResponse::Unreachable => 0,
    }
}

fn published_bytes(published: &PublishedKey) -> usize {
    let value = published.value.as_ref();
    40 + published.key.len() + value.map_or(0, |value| value.to_string().len())
}
