//! A platform in memory for the control experiment: keys, versions, watches, faults, counts.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::control_event::CallId;
use lagoonproxy::control_event::PlatformAnswer;
use lagoonproxy::control_event::PlatformRequest;
use lagoonproxy::control_event::PublishedKey;
use lagoonproxy::ids::ConfigKey;
use lagoonproxy::ids::HostId;
use lagoonproxy::ids::Version;
use serde_json::Value;

/// Calls that the platform answers in a second.
const CALLS_PER_SECOND: u32 = 2_000;
/// Headers of an HTTP answer and the request that it is for.
const CALL_OVERHEAD: usize = 300;

/// The keys with their versions; `None` after a deletion.
type LabKeys = BTreeMap<ConfigKey, (Version, Option<Value>)>;

/// A watch that has no change yet.
struct WaitingWatch {
    host: HostId,
    call: CallId,
    prefix: ConfigKey,
    after: Version,
    deadline: Instant,
}

/// An answer under way to a host.
pub struct LabAnswer {
    /// The host that called.
    pub host: HostId,
    /// The call.
    pub call: CallId,
    /// The answer.
    pub answer: PlatformAnswer,
    /// Bytes of the call and its answer.
    pub bytes: usize,
    /// When the platform sends it.
    pub sent: Instant,
}

/// What was published, and how often it was read.
#[derive(Default)]
pub struct LabPlatform {
    keys: LabKeys,
    revision: Version,
    watches: Vec<WaitingWatch>,
    copy: Option<(LabKeys, Version)>,
    busy_until: Option<Instant>,
    /// Whether it answers nobody.
    pub away: bool,
    /// Calls received.
    pub calls: u64,
}

impl LabPlatform {
    /// The revision of the last change.
    pub fn revision(&self) -> Version {
        self.revision
    }

    /// Publishes a value; waiting watches are answered by the next [`Self::due_watches`].
    pub fn publish(&mut self, key: &str, value: Value) -> Version {
        self.revision += 1;
        self.keys.insert(key.into(), (self.revision, Some(value)));
        self.revision
    }

    /// Remembers the present state as a copy.
    pub fn take_copy(&mut self) {
        self.copy = Some((self.keys.clone(), self.revision));
    }

    /// Restarts with the copy.
    pub fn restore_copy(&mut self) {
        if let Some((keys, revision)) = self.copy.take() {
            self.keys = keys;
            self.revision = revision;
        }
        self.watches.clear();
    }

    /// Takes a call that arrives now; a watch without changes is answered later.
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
                answer: PlatformAnswer::Unreachable,
                bytes: CALL_OVERHEAD,
                sent: now,
            });
        }
        let answer = match request {
            PlatformRequest::List { prefix } => self.list(&prefix),
            PlatformRequest::Value { key } => PlatformAnswer::Value(self.value(&key)),
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
                PlatformAnswer::Changes {
                    revision: self.revision,
                    changes,
                }
            }
        };
        Some(self.send(now, host, call, answer))
    }

    /// Answers the watches that have a change or whose time is over.
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
            let answer = PlatformAnswer::Changes {
                revision: self.revision,
                changes,
            };
            answers.push(self.send(now, watch.host, watch.call, answer));
        }
        answers
    }

    /// Calls queue when there are more than the platform answers.
    fn send(
        &mut self,
        now: Instant,
        host: HostId,
        call: CallId,
        answer: PlatformAnswer,
    ) -> LabAnswer {
        let begin = self.busy_until.map_or(now, |busy| busy.max(now));
        let sent = begin + Duration::from_secs(1) / CALLS_PER_SECOND;
        self.busy_until = Some(sent);
        LabAnswer {
            host,
            call,
            bytes: CALL_OVERHEAD + answer_bytes(&answer),
            answer,
            sent,
        }
    }

    fn list(&self, prefix: &str) -> PlatformAnswer {
        let keys = self
            .keys
            .iter()
            .filter(|(key, (_, value))| key.starts_with(prefix) && value.is_some());
        PlatformAnswer::Keys {
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

    /// The latest value of each key under a prefix that changed after a revision.
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

fn answer_bytes(answer: &PlatformAnswer) -> usize {
    match answer {
        PlatformAnswer::Keys { keys, .. } => keys.iter().map(|(key, _)| key.len() + 30).sum(),
        PlatformAnswer::Value(Some(published)) => published_bytes(published),
        PlatformAnswer::Changes { changes, .. } => changes.iter().map(published_bytes).sum(),
        PlatformAnswer::Value(None) | PlatformAnswer::HistoryGone | PlatformAnswer::Unreachable => {
            0
        }
    }
}

fn published_bytes(published: &PublishedKey) -> usize {
    let value = published.value.as_ref();
    40 + published.key.len() + value.map_or(0, |value| value.to_string().len())
}
