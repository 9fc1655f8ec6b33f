//! Tests that the platform stand-in implements the protocol that control daemons use.

use std::time::Duration;

use lagoonproxy_standin::key_store::KeyStore;
use lagoonproxy_standin::key_store::MAX_VALUE;
use lagoonproxy_standin::key_store::StoreError;
use lagoonproxy_standin::platform::Platform;
use lagoonproxy_standin::platform::PlatformFaults;
use serde_json::Value;
use serde_json::json;

async fn call(url: &str) -> (u16, Value) {
    let response = reqwest::get(url).await.unwrap();
    let status = response.status().as_u16();
    let body = response.bytes().await.unwrap();
    (status, serde_json::from_slice(&body).unwrap_or_default())
}

async fn start() -> (Platform, String) {
    let platform = Platform::default();
    let address = platform.start().await.unwrap();
    (platform, format!("http://{address}"))
}

struct ChangeCase {
    name: &'static str,
    key: &'static str,
    value: Option<Value>,
    expected: Option<u64>,
    answer: Result<u64, StoreError>,
}

#[test]
fn test_change_checks_expected_versions() {
    let long = Value::String("x".repeat(MAX_VALUE));
    let cases = [
        ChangeCase {
            name: "first value",
            key: "a",
            value: Some(json!(1)),
            expected: Some(0),
            answer: Ok(1),
        },
        ChangeCase {
            name: "keys share one version counter",
            key: "b",
            value: Some(json!(1)),
            expected: None,
            answer: Ok(2),
        },
        ChangeCase {
            name: "version conflict",
            key: "a",
            value: Some(json!(2)),
            expected: Some(2),
            answer: Err(StoreError::VersionConflict { actual: 1 }),
        },
        ChangeCase {
            name: "value above the limit",
            key: "a",
            value: Some(long),
            expected: None,
            answer: Err(StoreError::ValueTooLong),
        },
        ChangeCase {
            name: "deletion",
            key: "a",
            value: None,
            expected: Some(1),
            answer: Ok(3),
        },
    ];
    let mut store = KeyStore::default();
    for case in cases {
        let answer = store.change(case.key, case.value, case.expected);
        assert_eq!(answer, case.answer, "{}", case.name);
    }
    let changes = store.changes_after("", 0).unwrap();
    let seen: Vec<(&str, u64)> = changes
        .iter()
        .map(|c| (c.key.as_str(), c.version))
        .collect();
    assert_eq!(seen, [("b", 2), ("a", 3)]);
    assert_eq!(changes[1].value, None);
}

#[tokio::test]
async fn test_watch_answers_when_a_key_changes() {
    let (platform, url) = start().await;
    platform.publish("services/main/0", &json!([]));
    let watch = tokio::spawn({
        let url = format!("{url}/v1/watch?prefix=services/&after=1&wait_ms=60000");
        async move { call(&url).await }
    });
    while platform.counters().waiting_watches == 0 {
        tokio::task::yield_now().await;
    }
    platform.publish("hosts/zig-a", &json!([]));
    platform.publish("services/main/1", &json!(["x"]));
    let (status, answer) = watch.await.unwrap();
    assert_eq!(status, 200);
    let change = json!({"key": "services/main/1", "version": 3, "value": ["x"]});
    assert_eq!(answer, json!({"revision": 3, "changes": [change]}));
    let counters = platform.counters();
    assert_eq!((counters.calls, counters.watches), (1, 1));
    assert_eq!(counters.waiting_watches, 0);
}

#[tokio::test]
async fn test_watch_before_retained_history_is_rejected() {
    let (platform, url) = start().await;
    let faults = PlatformFaults {
        history_limit: Some(2),
        ..PlatformFaults::default()
    };
    platform.set_faults(faults).unwrap();
    for number in 0..4 {
        platform.publish("a", &number);
    }
    let (status, _none) = call(&format!("{url}/v1/watch?after=1")).await;
    assert_eq!(status, 410);
    let (status, answer) = call(&format!("{url}/v1/watch?after=2")).await;
    assert_eq!((status, &answer["revision"]), (200, &json!(4)));
    let (_status, list) = call(&format!("{url}/v1/keys?prefix=")).await;
    assert_eq!(
        list,
        json!({"revision": 4, "keys": [{"key": "a", "version": 4}]})
    );
    assert_eq!(call(&format!("{url}/v1/values/b")).await.0, 404);
}

#[tokio::test]
async fn test_older_revision_is_served_until_fault_is_cleared() {
    let (platform, url) = start().await;
    for number in 1..=3 {
        platform.publish("a", &number);
    }
    let older = PlatformFaults {
        frozen_at: Some(2),
        ..PlatformFaults::default()
    };
    platform.set_faults(older).unwrap();
    platform.publish("a", &4);
    let (_status, value) = call(&format!("{url}/v1/values/a")).await;
    assert_eq!(value, json!({"key": "a", "version": 2, "value": 2}));
    platform.set_faults(PlatformFaults::default()).unwrap();
    let (_status, value) = call(&format!("{url}/v1/values/a")).await;
    assert_eq!(value, json!({"key": "a", "version": 4, "value": 4}));
}

#[tokio::test]
async fn test_dead_platform_answers_only_after_recovery() {
    let (platform, url) = start().await;
    platform.publish("a", &1);
    let dead = PlatformFaults {
        dead: true,
        ..PlatformFaults::default()
    };
    platform.set_faults(dead).unwrap();
    let mut read = tokio::spawn({
        let url = format!("{url}/v1/values/a");
        async move { call(&url).await }
    });
    while platform.counters().reads == 0 {
        tokio::task::yield_now().await;
    }
    let waited = tokio::time::timeout(Duration::from_millis(50), &mut read).await;
    assert!(waited.is_err(), "a dead platform answered");
    platform.set_faults(PlatformFaults::default()).unwrap();
    assert_eq!(read.await.unwrap().0, 200);
}
