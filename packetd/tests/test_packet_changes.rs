//! Tests of planned changes to hosts, upstreams, routes and settings, with processes of
//! `lagoon-packet`.

use std::time::Duration;

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_standin::packet_caller::CallError;
use lagoonproxy_standin::packet_store::StoreBehaviour;
use lagoonproxy_standin::packet_upstream::response_to;
use tokio::process::Command;

use lagoonproxy_standin::packet_cluster::*;

use crate::program;

#[tokio::test]
async fn test_requests_are_answered_and_spread() {
    let mut cluster = PacketCluster::ready(program(), 2, 3).await;
    let mut caller = cluster.caller().await;
    for number in 0..20 {
        let mut flow = caller.open(ledger()).await.expect("a flow");
        for turn in 0..3 {
            let data = format!("request {number}.{turn}");
            let answer = caller
                .request(&mut flow, data.as_bytes(), REQUEST_TIMEOUT)
                .await
                .expect("an answer");
            let whole = (1..=3).any(|number| answer == response_to(data.as_bytes(), number));
            assert!(whole, "{}", String::from_utf8_lossy(&answer));
        }
        caller.close(&flow).await;
    }
    let tallies: Vec<_> = cluster
        .upstreams
        .iter()
        .map(|upstream| upstream.tally())
        .collect();
    assert_eq!(tallies.iter().map(|tally| tally.requests).sum::<u64>(), 60);
    assert!(
        tallies
            .iter()
            .all(|tally| tally.forged + tally.misdelivered + tally.unknown == 0)
    );
    assert!(
        tallies.iter().all(|tally| tally.requests > 0),
        "an upstream gets no requests: {tallies:?}"
    );
    assert_eq!(
        caller.open(certs()).await.err(),
        Some(CallError::Reset),
        "the service has no upstream"
    );
}

#[tokio::test]
async fn test_rolling_restart_loses_no_request() {
    // Guards against a host that exits while the fabric still sends packets to it.
    let mut cluster = PacketCluster::ready(program(), 3, 3).await;
    let mut caller = cluster.caller().await;
    let load = tokio::spawn(async move {
        let mut flow = caller.open(ledger()).await.expect("a flow");
        let mut slowest = Duration::ZERO;
        for turn in 0..900 {
            if turn % 9 == 0 {
                flow = caller.open(ledger()).await.expect("a flow");
            }
            let started = std::time::Instant::now();
            caller
                .request(&mut flow, b"post", REQUEST_TIMEOUT)
                .await
                .expect("an answer");
            slowest = slowest.max(started.elapsed());
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        slowest
    });
    for place in 0..3 {
        cluster.hosts[place].signal("TERM").await;
        assert!(cluster.hosts[place].ended().await.success());
        cluster.hosts[place].restart_process();
        cluster.wait_for_rotation(3).await;
    }
    load.await.expect("every request is answered");
}

#[tokio::test]
async fn test_drained_upstream_gets_no_new_flows() {
    let mut cluster = PacketCluster::ready(program(), 1, 2).await;
    let mut caller = cluster.caller().await;
    cluster.register(&cluster.upstreams[0], "ledger", "draining");
    cluster.hosts[0]
        .wait_for_metric("lagoon_packet_through", |through| through >= 104.0)
        .await;
    let before = cluster.upstreams[0].tally().syns;
    for _flow in 0..20 {
        caller.open(ledger()).await.expect("a flow");
    }
    assert_eq!(cluster.upstreams[0].tally().syns, before);
}

#[tokio::test]
async fn test_evacuated_zone_keeps_its_flows_and_gets_no_new_ones() {
    // Guards against an evacuation that is not applied, or that ends flows.
    let mut cluster = PacketCluster::ready(program(), 2, 3).await;
    cluster.move_to_remote_zone(2);
    let mut caller = cluster.caller().await;
    let mut flow = caller.open(ledger()).await.expect("a flow");
    cluster.evacuate_local_zone();
    for host in &cluster.hosts {
        host.wait_for_metric("lagoon_packet_evacuated_zones", |zones| zones == 1.0)
            .await;
    }
    let local = |cluster: &PacketCluster| -> u64 {
        let local = cluster.upstreams[..2].iter();
        local.map(|upstream| upstream.tally().syns).sum()
    };
    let before = local(&cluster);
    for _flow in 0..20 {
        caller.open(ledger()).await.expect("a flow");
    }
    assert_eq!(local(&cluster), before, "new flows were placed in the zone");
    caller
        .request(&mut flow, b"goes on", REQUEST_TIMEOUT)
        .await
        .expect("an answer");
    cluster
        .store
        .remove(&registration_key(&cluster.upstreams[2]));
    let refused = "lagoon_packet_results_total{code=\"217\"";
    for host in 0..cluster.hosts.len() {
        while cluster.hosts[host].metric(refused).await == 0.0 {
            let _refused = caller.open(ledger()).await;
        }
    }
    cluster.restore_local_zone();
    for host in &cluster.hosts {
        host.wait_for_metric("lagoon_packet_evacuated_zones", |zones| zones == 0.0)
            .await;
    }
    caller.open(ledger()).await.expect("a flow");
    assert!(local(&cluster) > before);
}

#[tokio::test]
async fn test_address_goes_to_another_service() {
    // Guards against packets of an old flow that are accepted by the new owner of an upstream's
    // address.
    let mut cluster = PacketCluster::ready(program(), 1, 1).await;
    let mut caller = cluster.caller().await;
    let mut flow = caller.open(ledger()).await.expect("a flow");
    caller
        .request(&mut flow, b"first", REQUEST_TIMEOUT)
        .await
        .expect("an answer");
    let old = cluster.upstreams.remove(0);
    let key = registration_key(&old);
    old.end().await;
    let successor = cluster.start_upstream(9, 1).await;
    cluster.store.remove(&key);
    cluster.register(&successor, "certs", "ready");
    cluster.hosts[0]
        .wait_for_metric("lagoon_packet_through", |through| through >= 104.0)
        .await;
    let answer = caller
        .request(&mut flow, b"second", Duration::from_secs(1))
        .await;
    assert!(answer.is_err(), "nobody may answer for the old upstream");
    let tally = successor.tally();
    assert_eq!(
        (tally.syns, tally.requests, tally.unknown),
        (0, 0, 0),
        "the new owner accepted packets of the old flow"
    );
}

#[tokio::test]
async fn test_routes_never_go_back() {
    let mut cluster = PacketCluster::ready(program(), 1, 1).await;
    let mut caller = cluster.caller().await;
    cluster.publish_routes(9, &[(certs(), "certs")]);
    cluster.hosts[0]
        .wait_for_metric("lagoon_packet_routes_version", |version| version == 9.0)
        .await;
    assert_eq!(caller.open(ledger()).await.err(), Some(CallError::Reset));
    cluster.publish_routes(5, &[(ledger(), "ledger")]);
    cluster.hosts[0]
        .wait_for_metric("lagoon_packet_through", |through| through >= 104.0)
        .await;
    assert_eq!(
        caller.open(ledger()).await.err(),
        Some(CallError::Reset),
        "older routes are in force"
    );
}

#[tokio::test]
async fn test_settings_change_with_and_without_a_signal() {
    // Guards against settings that are not reloaded, and against a SIGHUP that ends the process.
    for with_signal in [true, false] {
        let mut cluster = PacketCluster::with_upstreams(program(), 1).await;
        cluster.start_host(StoreBehaviour::Refuse(503)).await;
        let moved = cluster
            .store
            .open_port(StoreBehaviour::Serve)
            .await
            .unwrap();
        cluster.write_settings(1, &moved);
        if with_signal {
            cluster.hosts[0].wait_until_listening().await;
            cluster.hosts[0].signal("HUP").await;
        }
        cluster.wait_for_rotation(1).await;
        cluster.hosts[0].signal("TERM").await;
        assert!(
            cluster.hosts[0].ended().await.success(),
            "with a signal: {with_signal}"
        );
    }
}

#[tokio::test]
async fn test_settings_changed_with_unchanged_modification_time() {
    // Guards against a change that is not detected because the modification time of the file is the
    // same as before.
    let mut cluster = PacketCluster::with_upstreams(program(), 1).await;
    cluster.start_host(StoreBehaviour::Refuse(503)).await;
    let path = cluster.hosts[0].settings_path().to_owned();
    let written = std::fs::metadata(&path).unwrap().modified().unwrap();
    cluster.hosts[0].wait_until_listening().await;
    let moved = cluster
        .store
        .open_port(StoreBehaviour::Serve)
        .await
        .unwrap();
    cluster.write_settings(1, &moved);
    let file = std::fs::File::options().write(true).open(&path).unwrap();
    file.set_modified(written).unwrap();
    cluster.wait_for_rotation(1).await;
}

#[tokio::test]
async fn test_settings_incomplete_at_start() {
    // Guards against a process that exits because the settings file is being written when it
    // starts.
    let mut cluster = PacketCluster::ready(program(), 1, 1).await;
    let path = cluster.hosts[0].settings_path().to_owned();
    let whole = std::fs::read(&path).unwrap();
    cluster.hosts[0].kill().await;
    cluster.wait_for_rotation(0).await;
    std::fs::write(&path, "").unwrap();
    cluster.hosts[0].restart_process();
    tokio::time::sleep(Duration::from_millis(150)).await;
    std::fs::write(&path, whole).unwrap();
    cluster.wait_for_rotation(1).await;
}

#[tokio::test]
async fn test_faulty_settings_are_refused() {
    let path = std::env::temp_dir().join(format!("packet-faulty-{}.json", std::process::id()));
    std::fs::write(&path, "{\"NodeName\": 7}").unwrap();
    for extra in [&["--check"][..], &[]] {
        let program = env!("CARGO_BIN_EXE_lagoon-packet");
        let output = Command::new(program)
            .arg("--settings")
            .arg(&path)
            .args(extra)
            .output()
            .await
            .unwrap();
        let code = i32::from(ResultCode::SettingsInvalid.number());
        assert_eq!(output.status.code(), Some(code));
        assert!(
            !output.stdout.is_empty() || !output.stderr.is_empty(),
            "the fault is not reported"
        );
    }
    std::fs::remove_file(path).unwrap();
}
