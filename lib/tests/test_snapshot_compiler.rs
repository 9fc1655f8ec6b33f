//! Tests that compiling changes gives the same snapshot as compiling everything.

use std::sync::Arc;

use lagoonproxy::config_snapshot::ConfigSnapshot;
use lagoonproxy::config_store::ConfigStore;
use lagoonproxy::config_value::KeyValue;
use lagoonproxy::published_config::PublishedConfig;
use lagoonproxy::published_config::ServiceDoc;
use lagoonproxy::snapshot_compiler::SnapshotCompiler;
use proptest::prelude::*;
use serde_json::Value;
use serde_json::json;

use crate::world::ledger_config;

const SERVICES: &str = "services/main/0";
const SHARDS: [&str; 2] = ["upstreams/zig-a/0", "upstreams/zig-a/1"];

fn service(id: u32, address: u8, selector: &str) -> ServiceDoc {
    ServiceDoc {
        id,
        name: format!("service-{id}").into(),
        address: ([10, 0, 0, address], 700).into(),
        selector: selector.to_owned(),
    }
}

fn publish(store: &mut ConfigStore, key: &str, version: u64, json: &Value) {
    let value = Arc::new(KeyValue::parse(key, json));
    store.join(&key.into(), version, Some(value));
    store.complete(version);
}

/// A change: an upstream gets a label in a shard, or is removed if there is no such shard, and the
/// services get other addresses.
#[derive(Clone, Debug)]
struct RandomChange {
    upstream: u32,
    label: u32,
    shard: usize,
    service_address: u8,
}

fn random_change() -> impl Strategy<Value = RandomChange> {
    (0_u32..12, 0_u32..4, 0_usize..3, 1_u8..4).prop_map(
        |(upstream, label, shard, service_address)| RandomChange {
            upstream,
            label,
            shard,
            service_address,
        },
    )
}

proptest! {
    /// Guards against a stale match: upstreams move between shards and services, and services
    /// exchange addresses. A service must not keep an upstream that was relabelled for another.
    #[test]
    fn test_compile_changes_equals_compile_all(
        changes in prop::collection::vec(random_change(), 1..40),
    ) {
        let mut store = ConfigStore::default();
        let mut compiler = SnapshotCompiler::default();
        let mut shards = [Vec::new(), Vec::new()];
        let mut version = 1;
        for change in changes {
            let mut doc = ledger_config(1, 13).upstreams[change.upstream as usize].clone();
            doc.labels.insert("service".into(), format!("s{}", change.label).into());
            shards.iter_mut().for_each(|shard| shard.retain(|held: &lagoonproxy::published_config::UpstreamDoc| held.id != doc.id));
            if let Some(shard) = shards.get_mut(change.shard) {
                shard.push(doc);
            }
            let services = vec![
                service(1, change.service_address, "service=s1"),
                service(2, change.service_address % 3 + 1, "service=s2"),
            ];
            for (key, docs) in SHARDS.iter().zip(&shards) {
                version += 1;
                publish(&mut store, key, version, &json!(docs));
            }
            version += 1;
            publish(&mut store, SERVICES, version, &json!(services));
            let compiled = compiler.compile(&store, version).unwrap();
            let whole = PublishedConfig { version, services, upstreams: shards.concat() };
            prop_assert_eq!(&*compiled, &whole.compile().unwrap());
        }
    }
}

/// A published state that has to be rejected whole.
struct RefusedCase {
    name: &'static str,
    key: &'static str,
    json: Value,
    expected_text: &'static str,
}

fn refused_cases() -> Vec<RefusedCase> {
    let twice = json!([service(1, 1, "a=b"), service(2, 1, "a=b")]);
    let mut taken = ledger_config(1, 1).upstreams.remove(0);
    (taken.id, taken.name) = (9, "ledger-9".into());
    let mut idle = ledger_config(1, 9).upstreams.remove(8);
    idle.slots = 0;
    vec![
        RefusedCase {
            name: "address of two services",
            key: SERVICES,
            json: twice,
            expected_text: "service-2",
        },
        RefusedCase {
            name: "selector that cannot be parsed",
            key: SERVICES,
            json: json!([service(1, 1, "service ! ledger")]),
            expected_text: "service-1: selector",
        },
        RefusedCase {
            name: "address of two upstreams",
            key: SHARDS[1],
            json: json!([taken]),
            expected_text: "ledger-0",
        },
        RefusedCase {
            name: "upstream without slots",
            key: SHARDS[1],
            json: json!([idle]),
            expected_text: "slots",
        },
        RefusedCase {
            name: "not a list",
            key: SERVICES,
            json: json!({"id": 1}),
            expected_text: SERVICES,
        },
        RefusedCase {
            name: "unknown field",
            key: SHARDS[1],
            json: json!([{"id": 1, "colour": "red"}]),
            expected_text: SHARDS[1],
        },
        RefusedCase {
            name: "number under two keys",
            key: SHARDS[1],
            json: json!(ledger_config(1, 1).upstreams),
            expected_text: "number 0",
        },
    ]
}

/// Guards against putting a state in force that nobody published: an operator publishes a faulty
/// value beside valid ones, then corrects it. The fault must reject the whole state, and the
/// correction must be accepted.
#[test]
fn test_compile_refuses_faults_whole_and_recovers() {
    for case in refused_cases() {
        let mut store = ConfigStore::default();
        let mut compiler = SnapshotCompiler::default();
        publish(
            &mut store,
            SERVICES,
            1,
            &json!([service(1, 1, "service=ledger")]),
        );
        publish(
            &mut store,
            SHARDS[0],
            2,
            &json!(ledger_config(1, 2).upstreams),
        );
        let good: Arc<ConfigSnapshot> = compiler.compile(&store, 2).unwrap();
        publish(&mut store, case.key, 3, &case.json);
        let fault = compiler.compile(&store, 3).unwrap_err().to_string();
        assert!(fault.contains(case.expected_text), "{}: {fault}", case.name);
        let mended = if case.key == SERVICES {
            json!([service(1, 1, "service=ledger")])
        } else {
            json!([])
        };
        publish(&mut store, case.key, 4, &mended);
        let again = compiler.compile(&store, 2).unwrap();
        assert_eq!(*again, *good, "{}", case.name);
    }
}
