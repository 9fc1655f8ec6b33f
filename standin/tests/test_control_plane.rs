//! Tests control daemons with the platform stand-in and with each other, over loopback.

use std::net::SocketAddr;
use std::time::Duration;

use lagoonproxy::config_snapshot::HostEntry;
use lagoonproxy::daemon_settings::ControlSettings;
use lagoonproxy::daemon_settings::DEFAULT_REGION;
use lagoonproxy::ids::HostId;
use lagoonproxy::key_version::compose_version;
use lagoonproxy::published_config::ServiceDoc;
use lagoonproxy::shared_key::SharedKey;
use lagoonproxy_daemon::control_daemon::ControlDaemon;
use lagoonproxy_standin::platform::Platform;
use lagoonproxy_standin::platform::PlatformFaults;
use serde_json::Value;
use tokio::task::JoinHandle;

/// Maximum time to wait for an event; events normally take far less.
const TIMEOUT: Duration = Duration::from_secs(60);
const KEY: [u8; 16] = [7; 16];

/// A running control daemon; its task is aborted when it is dropped.
struct TestDaemon {
    entry: HostEntry,
    admin: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for TestDaemon {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl TestDaemon {
    async fn start(host: HostId, platform: SocketAddr, key: [u8; 16], seeds: &[&Self]) -> Self {
        let any_port: SocketAddr = ([127, 0, 0, 1], 0).into();
        let daemon = ControlDaemon::bind(&ControlSettings {
            host,
            zone: "zig-a".into(),
            region: DEFAULT_REGION.into(),
            control_address: any_port,
            platform_address: platform,
            admin_address: Some(any_port),
            shared_key: SharedKey::new(key),
            byte_budget: 3_000,
            read_budget: 12_000,
            zones: Vec::new(),
            seed_peers: seeds
                .iter()
                .map(|seed| seed.entry.control_address)
                .collect(),
        })
        .await
        .unwrap();
        let entry = HostEntry {
            id: host,
            zone: "zig-a".into(),
            cell: 0,
            peer_address: any_port,
            control_address: daemon.address().unwrap(),
            leaving: false,
        };
        let admin = daemon.admin_address().unwrap();
        let task = tokio::spawn(async move {
            daemon.run(std::future::pending()).await.unwrap();
        });
        Self { entry, admin, task }
    }

    async fn status(&self) -> Value {
        let url = format!("http://{}/v1/status", self.admin);
        let response = reqwest::get(url).await.unwrap();
        serde_json::from_slice(&response.bytes().await.unwrap()).unwrap()
    }

    async fn wait_for(&self, what: &str, done: impl Fn(&Value) -> bool) {
        let waiting = async {
            while !done(&self.status().await) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let waited = tokio::time::timeout(TIMEOUT, waiting).await;
        assert!(waited.is_ok(), "{what}: {}", self.status().await);
    }
}

fn publish_service(platform: &Platform, selector: &str) {
    let service = ServiceDoc {
        id: 1,
        name: "ledger".into(),
        address: ([10, 0, 0, 1], 700).into(),
        selector: selector.to_owned(),
    };
    platform.publish("services/main/0", &[service]);
}

/// The platform fails permanently after two hosts have read it, and a third host starts. It must
/// get the configuration from the two, whose addresses are in its settings. A host with another
/// shared key must get nothing.
#[tokio::test(flavor = "multi_thread")]
async fn test_host_without_platform_learns_from_peers_with_its_key() {
    let platform = Platform::default();
    let address = platform.start().await.unwrap();
    let first = TestDaemon::start(1, address, KEY, &[]).await;
    let second = TestDaemon::start(2, address, KEY, &[]).await;
    publish_service(&platform, "service=ledger");
    let entries = [&first, &second].map(|daemon| daemon.entry.clone());
    platform.publish("hosts/zig-a", &entries);
    for daemon in [&first, &second] {
        daemon
            .wait_for("reads the platform", |status| status["version"] == 2)
            .await;
    }
    platform
        .set_faults(PlatformFaults {
            dead: true,
            ..PlatformFaults::default()
        })
        .unwrap();
    let foreign_host = TestDaemon::start(4, address, [8; 16], &[&first, &second]).await;
    let third = TestDaemon::start(3, address, KEY, &[&first, &second]).await;
    third
        .wait_for("gets the configuration from peers", |status| {
            status["version"] == 2
        })
        .await;
    let status = foreign_host.status().await;
    assert_eq!(status["links"], 0);
    assert_eq!(status["ready"], false);
}

/// One of two hosts cannot reach the platform. Changes of a selector must reach it through the
/// other host. Both hosts must reject an invalid selector and keep the configuration in force.
#[tokio::test(flavor = "multi_thread")]
async fn test_change_reaches_host_without_platform_through_peer() {
    let platform = Platform::default();
    let address = platform.start().await.unwrap();
    let nowhere = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let first = TestDaemon::start(1, address, KEY, &[]).await;
    let partitioned = TestDaemon::start(2, nowhere.local_addr().unwrap(), KEY, &[&first]).await;
    let entries = [&first, &partitioned].map(|daemon| daemon.entry.clone());
    platform.publish("hosts/zig-a", &entries);
    publish_service(&platform, "service=ledger");
    partitioned
        .wait_for("gets the first selector", |status| status["version"] == 2)
        .await;
    publish_service(&platform, "service=ledger,tier=a");
    partitioned
        .wait_for("gets the changed selector", |status| status["version"] == 3)
        .await;
    publish_service(&platform, "service ! ledger");
    for daemon in [&first, &partitioned] {
        daemon
            .wait_for("rejects the invalid selector", |status| {
                status["refused"] == 1
            })
            .await;
        assert_eq!(daemon.status().await["version"], 3);
    }
}

/// The platform is restored from a backup that lacks the last changes, and assigns their revisions
/// again. Guards against a reader that continues from a revision that was assigned twice.
#[tokio::test(flavor = "multi_thread")]
async fn test_changes_after_a_restore_are_applied() {
    let platform = Platform::default();
    let address = platform.start().await.unwrap();
    let first = TestDaemon::start(1, address, KEY, &[]).await;
    platform.publish("hosts/zig-a", &vec![first.entry.clone()]);
    publish_service(&platform, "service=ledger");
    for tier in 3..=6 {
        publish_service(&platform, &format!("service=ledger,tier={tier}"));
    }
    first
        .wait_for("reads the platform", |status| status["version"] == 6)
        .await;
    platform.restore(2).unwrap();
    publish_service(&platform, "service=ledger,tier=again");
    first
        .wait_for("reads the change after the restore", |status| {
            status["version"] == compose_version(1, 3).unwrap()
        })
        .await;
}
