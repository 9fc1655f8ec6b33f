//! Tests of the control core of one host; the test simulates the platform and the peers.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy::config_store::ConfigStore;
use lagoonproxy::config_value::KeyValue;
use lagoonproxy::control_core::CONTROL_TICK;
use lagoonproxy::control_core::ControlCore;
use lagoonproxy::control_core::ControlIdentity;
use lagoonproxy::control_event::CallId;
use lagoonproxy::control_event::ControlAction;
use lagoonproxy::control_event::ControlEvent;
use lagoonproxy::control_event::PlatformRequest;
use lagoonproxy::control_event::PlatformResponse;
use lagoonproxy::control_event::PublishedKey;
use lagoonproxy::ids::HostId;
use lagoonproxy::ids::Version;
use lagoonproxy::relay_message::Announcement;
use lagoonproxy::relay_message::RelayMessage;
use lagoonproxy::result_code::ResultCode;
use serde_json::json;

use crate::world::host_view;
use crate::world::ledger_config;

/// A control core and the actions that it has requested.
struct TestHost {
    core: ControlCore,
    now: Instant,
    calls: Vec<(CallId, PlatformRequest)>,
    versions: Vec<Version>,
    /// Each delivered host list: its version and the host numbers in it.
    host_lists: Vec<(Version, Vec<HostId>)>,
    codes: Vec<ResultCode>,
    sent: Vec<(HostId, RelayMessage)>,
    refused: Vec<String>,
}

impl TestHost {
    fn new(host: HostId) -> Self {
        let now = Instant::now();
        let identity = ControlIdentity {
            host,
            zone: "zig-a".into(),
            prefixes: vec!["".into()],
            send_rate: 10_000,
            read_rate: 10_000,
            first_heartbeat: 1,
            seed: 7,
        };
        Self {
            core: ControlCore::new(now, identity),
            now,
            calls: Vec::new(),
            versions: Vec::new(),
            host_lists: Vec::new(),
            codes: Vec::new(),
            sent: Vec::new(),
            refused: Vec::new(),
        }
    }

    fn handle(&mut self, event: ControlEvent) {
        let mut actions = Vec::new();
        self.core.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                ControlAction::CallPlatform { call, request } => self.calls.push((call, request)),
                ControlAction::Config(snapshot) => self.versions.push(snapshot.version),
                ControlAction::Count(code) => self.codes.push(code),
                ControlAction::Refused { fault, .. } => self.refused.push(fault),
                ControlAction::SendPeer { host, bytes, .. } => {
                    self.sent
                        .push((host, RelayMessage::decode(&bytes).unwrap()));
                }
                ControlAction::Connect { .. } | ControlAction::Disconnect(_) => {}
                ControlAction::Hosts(view) => {
                    let numbers = view.published.iter().map(|entry| entry.id).collect();
                    self.host_lists.push((view.version, numbers));
                }
            }
        }
    }

    fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += CONTROL_TICK;
            self.handle(ControlEvent::Tick);
        }
    }

    fn answer(&mut self, answer: PlatformResponse) {
        let (call, _request) = self.calls.pop().expect("a call is open");
        self.handle(ControlEvent::PlatformResponse {
            call,
            answer,
            bytes: 100,
        });
    }

    /// Responds to all platform calls of a starting host.
    fn start(&mut self) {
        self.run_for(CONTROL_TICK);
        let keys = published(1);
        self.answer(PlatformResponse::Keys {
            revision: 10,
            keys: keys.iter().map(|k| (k.key.clone(), k.version)).collect(),
        });
        for _call in 0..200 {
            self.run_for(CONTROL_TICK);
            let Some((_, PlatformRequest::Value { key })) = self.calls.last() else {
                continue;
            };
            let value = keys.iter().find(|published| published.key == *key).cloned();
            self.answer(PlatformResponse::Value(value));
        }
    }

    fn announce(&mut self, host: HostId, through: Version) {
        let announcement = Announcement {
            through,
            digest: 1,
            reader_heartbeats: Vec::new(),
        };
        let bytes = RelayMessage::Announce(announcement).encode().unwrap();
        self.handle(ControlEvent::PeerMessage { host, bytes });
    }
}

/// Services, upstreams and hosts; `slots` distinguishes versions of the upstreams.
fn published(slots: u32) -> Vec<PublishedKey> {
    let mut config = ledger_config(1, 3);
    config
        .upstreams
        .iter_mut()
        .for_each(|doc| doc.slots = slots);
    let key = |key: &str, version, value| PublishedKey {
        key: key.into(),
        version,
        value: Some(value),
    };
    vec![
        key("hosts/zig-a", 8, json!(host_view(&[1, 2, 3]).published)),
        key("services/main/0", 9, json!(config.services)),
        key("upstreams/zig-a/0", 10, json!(config.upstreams)),
    ]
}

fn changed_upstreams(version: Version) -> PublishedKey {
    PublishedKey {
        version,
        ..published(version as u32).remove(2)
    }
}

fn join(source: &mut ConfigStore, published: PublishedKey) {
    let json = published.value.unwrap();
    let value = KeyValue::parse(&published.key, &json).into();
    source.join(&published.key, published.version, Some(value));
}

#[test]
fn test_start_waits_for_all_listed_keys() {
    let mut host = TestHost::new(1);
    host.start();
    assert_eq!(host.versions, [10]);
    assert!(host.core.status().ready);
}

/// The platform was restored from a backup that is an hour old. Hosts that applied it would bring
/// back upstreams that operators have removed since. Its responses are rejected until their version
/// is newer.
#[test]
fn test_platform_with_older_copy_is_refused() {
    let mut host = TestHost::new(1);
    host.start();
    host.answer(PlatformResponse::Changes {
        revision: 12,
        changes: vec![changed_upstreams(12)],
    });
    host.run_for(Duration::from_secs(1));
    assert_eq!(host.versions, [10, 12]);
    host.answer(PlatformResponse::Changes {
        revision: 11,
        changes: vec![changed_upstreams(11)],
    });
    host.run_for(Duration::from_secs(2));
    assert_eq!(host.versions, [10, 12]);
    assert_eq!(host.codes, [ResultCode::PlatformStale]);
    assert!(host.core.status().platform_stale);
    host.answer(PlatformResponse::Changes {
        revision: 13,
        changes: vec![changed_upstreams(13)],
    });
    host.run_for(Duration::from_secs(1));
    assert_eq!(host.versions, [10, 12, 13]);
}

/// A host starts while neither the platform nor a peer responds. If it served without
/// configuration, callers could reach upstreams of another service.
#[test]
fn test_start_without_platform_and_peers_stays_without_configuration() {
    let mut host = TestHost::new(1);
    for _second in 0..120 {
        host.run_for(Duration::from_secs(1));
        while !host.calls.is_empty() {
            host.answer(PlatformResponse::Unreachable);
        }
    }
    assert!(host.versions.is_empty());
    assert!(!host.core.status().ready);
    let calls = host.codes.len();
    assert!((5..15).contains(&calls), "{calls} calls in two minutes");
}

/// A host starts while the platform is unreachable. One of its peers was frozen for an hour and
/// another is up to date. With the state of the first peer that replies, the host could apply the
/// old state.
#[test]
fn test_start_without_platform_takes_the_newest_of_several_peers() {
    let mut source = TestHost::new(2);
    source.start();
    let mut host = TestHost::new(1);
    host.run_for(CONTROL_TICK);
    host.answer(PlatformResponse::Unreachable);
    for (peer, through) in [(2, 10), (3, 4)] {
        host.handle(ControlEvent::PeerUp(peer));
        host.announce(peer, through);
    }
    assert!(host.versions.is_empty());
    let updates = source.core.store().updates_after(0, &Default::default());
    let bytes = RelayMessage::Updates {
        updates,
        through: 10,
    };
    let bytes = bytes.encode().unwrap();
    host.handle(ControlEvent::PeerMessage { host: 2, bytes });
    host.run_for(Duration::from_secs(1));
    assert!(host.versions.is_empty(), "two peers are not several");
    for _second in 0..5 {
        // Peers that send no announcements would not count as reachable.
        host.announce(2, 10);
        host.announce(3, 4);
        host.run_for(Duration::from_secs(1));
    }
    assert_eq!(host.versions, [10]);
}

/// A replica of the platform that lags has no value of a listed key yet, or an older one. A host
/// that took the key for deleted would count its state as whole, and hosts that count majorities
/// over different parts of the host list could each accept the same request.
#[test]
fn test_listed_key_that_a_replica_lacks_is_read_again() {
    struct Case {
        name: &'static str,
        first_value: Option<PublishedKey>,
        is_deleted: bool,
        host_list: (Version, Vec<HostId>),
    }
    let older = PublishedKey {
        version: 5,
        value: Some(json!(host_view(&[1]).published)),
        ..published(1).remove(0)
    };
    let rest = PublishedKey {
        key: "hosts/zig-b".into(),
        version: 7,
        value: Some(json!(host_view(&[4]).published)),
    };
    let cases = [
        Case {
            name: "no value yet",
            first_value: None,
            is_deleted: false,
            host_list: (8, vec![1, 2, 3, 4]),
        },
        Case {
            name: "an older value",
            first_value: Some(older),
            is_deleted: false,
            host_list: (8, vec![1, 2, 3, 4]),
        },
        Case {
            name: "deleted after it was listed",
            first_value: None,
            is_deleted: true,
            host_list: (7, vec![4]),
        },
    ];
    for case in cases {
        let mut host = TestHost::new(1);
        let mut keys = published(1);
        keys.push(rest.clone());
        let late = keys[0].key.clone();
        let mut first_value = Some(case.first_value);
        let mut revision = 10;
        for _call in 0..400 {
            host.run_for(CONTROL_TICK);
            match host.calls.last().cloned() {
                Some((_call, PlatformRequest::List { .. })) => {
                    host.answer(PlatformResponse::Keys {
                        revision,
                        keys: keys.iter().map(|k| (k.key.clone(), k.version)).collect(),
                    });
                }
                Some((_call, PlatformRequest::Value { key })) => {
                    let current = keys.iter().find(|published| published.key == key);
                    let value = match first_value.take_if(|_value| key == late) {
                        Some(first_value) => {
                            if case.is_deleted {
                                revision = 11;
                            }
                            first_value
                        }
                        None => current.cloned(),
                    };
                    host.answer(PlatformResponse::Value(value));
                    if case.is_deleted && revision == 11 {
                        keys.retain(|published| published.key != late);
                    }
                }
                _ => {}
            }
        }
        assert_eq!(host.host_lists, [case.host_list], "{}", case.name);
        assert!(host.core.status().ready, "{}", case.name);
    }
}

/// An operator publishes a value that cannot be parsed. Hosts that skipped only that value would
/// serve without its upstreams.
#[test]
fn test_invalid_value_leaves_the_last_accepted_in_force() {
    let mut host = TestHost::new(1);
    host.start();
    let broken = PublishedKey {
        value: Some(json!("oops")),
        ..changed_upstreams(11)
    };
    host.answer(PlatformResponse::Changes {
        revision: 11,
        changes: vec![broken],
    });
    host.run_for(Duration::from_secs(5));
    assert_eq!(host.versions, [10]);
    assert_eq!(host.refused.len(), 1);
    assert!(host.refused[0].contains("upstreams/zig-a/0"));
    host.answer(PlatformResponse::Changes {
        revision: 12,
        changes: vec![changed_upstreams(12)],
    });
    host.run_for(Duration::from_secs(1));
    assert_eq!(host.versions, [10, 12]);
}

/// Of three changed keys, the one with a drain has arrived and the byte budget holds back the
/// others. The drain must not wait for the additions, and the whole state must still replace the
/// partial one.
#[test]
fn test_partial_state_is_delivered_after_timeout_and_replaced() {
    let mut host = TestHost::new(3);
    host.start();
    host.handle(ControlEvent::PeerUp(2));
    host.announce(2, 14);
    let mut source = TestHost::new(2).core.store().clone();
    published(1)
        .into_iter()
        .for_each(|key| join(&mut source, key));
    source.complete(10);
    join(&mut source, changed_upstreams(12));
    let part = RelayMessage::Updates {
        updates: source.updates_after(10, &Default::default()),
        through: 0,
    };
    host.handle(ControlEvent::PeerMessage {
        host: 2,
        bytes: part.encode().unwrap(),
    });
    host.run_for(Duration::from_secs(1));
    assert_eq!(host.versions, [10], "partial state before the timeout");
    host.run_for(Duration::from_secs(2));
    assert_eq!(host.versions, [10, 11]);
    let mut service = published(1).remove(1);
    service.version = 14;
    join(&mut source, service);
    let rest = RelayMessage::Updates {
        updates: source.updates_after(12, &Default::default()),
        through: 14,
    };
    host.announce(2, 14);
    host.run_for(Duration::from_secs(1));
    host.handle(ControlEvent::PeerMessage {
        host: 2,
        bytes: rest.encode().unwrap(),
    });
    host.run_for(Duration::from_secs(1));
    assert_eq!(host.versions, [10, 11, 14]);
}

/// The host lists of two zones change at once, and the part with the larger version arrives first.
/// An entry host that counts majorities over that part alone could accept requests at the same time
/// as the others. When the other part arrives, the newest version is the same as before, so the
/// entry host would never adopt the whole list and would wait for its lease forever.
#[test]
fn test_host_list_is_delivered_whole() {
    let mut host = TestHost::new(3);
    host.start();
    assert_eq!(host.host_lists, [(8, vec![1, 2, 3])]);
    host.handle(ControlEvent::PeerUp(2));
    host.announce(2, 12);
    let mut source = TestHost::new(2).core.store().clone();
    published(1)
        .into_iter()
        .for_each(|key| join(&mut source, key));
    source.complete(10);
    let part = |key: &str, version, numbers: &[HostId]| PublishedKey {
        key: key.into(),
        version,
        value: Some(json!(host_view(numbers).published)),
    };
    join(&mut source, part("hosts/bign", 12, &[6, 7]));
    let newest = RelayMessage::Updates {
        updates: source.updates_after(10, &Default::default()),
        through: 0,
    };
    host.handle(ControlEvent::PeerMessage {
        host: 2,
        bytes: newest.encode().unwrap(),
    });
    host.run_for(Duration::from_secs(3));
    assert_eq!(host.host_lists.len(), 1, "partial host list");
    join(&mut source, part("hosts/zig-b", 11, &[4, 5]));
    let rest = RelayMessage::Updates {
        updates: source.updates_after(10, &Default::default()),
        through: 12,
    };
    host.announce(2, 12);
    host.handle(ControlEvent::PeerMessage {
        host: 2,
        bytes: rest.encode().unwrap(),
    });
    host.run_for(Duration::from_secs(1));
    assert_eq!(host.host_lists[1..], [(12, vec![1, 2, 3, 4, 5, 6, 7])]);
}
