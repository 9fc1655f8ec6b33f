//! Tests of planned changes to hosts, upstreams, routes and settings, with processes of
//! `lagoon-packet`.

use std::time::Duration;

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_standin::packet_caller::CallFault;
use lagoonproxy_standin::packet_store::StoreMood;
use lagoonproxy_standin::packet_upstream::answer_to;
use tokio::process::Command;

use lagoonproxy_standin::packet_cell::*;

use crate::program;

#[tokio::test]
async fn test_requests_are_answered_and_spread() {
    let mut cell = PacketCell::ready(program(), 2, 3).await;
    let mut caller = cell.caller().await;
    for number in 0..20 {
        let mut flow = caller.open(ledger()).await.expect("a flow");
        for turn in 0..3 {
            let data = format!("request {number}.{turn}");
            let answer = caller
                .request(&mut flow, data.as_bytes(), REQUEST_LIMIT)
                .await
                .expect("an answer");
            let whole = (1..=3).any(|number| answer == answer_to(data.as_bytes(), number));
            assert!(whole, "{}", String::from_utf8_lossy(&answer));
        }
        caller.close(&flow).await;
    }
    let tallies: Vec<_> = cell
        .upstreams
        .iter()
        .map(|upstream| upstream.tally())
        .collect();
    assert_eq!(tallies.iter().map(|tally| tally.requests).sum::<u64>(), 60);
    assert!(
        tallies
            .iter()
            .all(|tally| tally.forged + tally.not_meant + tally.unknown == 0)
    );
    assert!(
        tallies.iter().all(|tally| tally.requests > 0),
        "an upstream gets no requests: {tallies:?}"
    );
    assert_eq!(
        caller.open(certs()).await.err(),
        Some(CallFault::Reset),
        "the service has no upstream"
    );
}

#[tokio::test]
async fn test_rolling_restart_loses_no_request() {
    // Guards against a host that exits while the fabric still sends packets to it.
    let mut cell = PacketCell::ready(program(), 3, 3).await;
    let mut caller = cell.caller().await;
    let load = tokio::spawn(async move {
        let mut flow = caller.open(ledger()).await.expect("a flow");
        let mut slowest = Duration::ZERO;
        for turn in 0..900 {
            if turn % 9 == 0 {
                flow = caller.open(ledger()).await.expect("a flow");
            }
            let started = std::time::Instant::now();
            caller
                .request(&mut flow, b"post", REQUEST_LIMIT)
                .await
                .expect("an answer");
            slowest = slowest.max(started.elapsed());
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        slowest
    });
    for place in 0..3 {
        cell.hosts[place].signal("TERM").await;
        assert!(cell.hosts[place].ended().await.success());
        cell.hosts[place].start_again();
        cell.wait_for_rotation(3).await;
    }
    load.await.expect("every request is answered");
}

#[tokio::test]
async fn test_drained_upstream_gets_no_new_flows() {
    let mut cell = PacketCell::ready(program(), 1, 2).await;
    let mut caller = cell.caller().await;
    cell.register(&cell.upstreams[0], "ledger", "draining");
    cell.hosts[0]
        .wait_for_metric("lagoon_packet_through", |through| through >= 104.0)
        .await;
    let before = cell.upstreams[0].tally().openings;
    for _flow in 0..20 {
        caller.open(ledger()).await.expect("a flow");
    }
    assert_eq!(cell.upstreams[0].tally().openings, before);
}

#[tokio::test]
async fn test_evacuated_zone_keeps_its_flows_and_gets_no_new_ones() {
    // Guards against an evacuation that is not applied, or that ends flows.
    let mut cell = PacketCell::ready(program(), 2, 3).await;
    cell.move_upstream(2);
    let mut caller = cell.caller().await;
    let mut flow = caller.open(ledger()).await.expect("a flow");
    cell.evacuate_local();
    for host in &cell.hosts {
        host.wait_for_metric("lagoon_packet_evacuated_zones", |zones| zones == 1.0)
            .await;
    }
    let local = |cell: &PacketCell| -> u64 {
        let local = cell.upstreams[..2].iter();
        local.map(|upstream| upstream.tally().openings).sum()
    };
    let before = local(&cell);
    for _flow in 0..20 {
        caller.open(ledger()).await.expect("a flow");
    }
    assert_eq!(local(&cell), before, "new flows were placed in the zone");
    caller
        .request(&mut flow, b"goes on", REQUEST_LIMIT)
        .await
        .expect("an answer");
    cell.store.remove(&registration_key(&cell.upstreams[2]));
    let refused = "lagoon_packet_results_total{code=\"217\"";
    for host in 0..cell.hosts.len() {
        while cell.hosts[host].metric(refused).await == 0.0 {
            let _refused = caller.open(ledger()).await;
        }
    }
    cell.restore_local();
    for host in &cell.hosts {
        host.wait_for_metric("lagoon_packet_evacuated_zones", |zones| zones == 0.0)
            .await;
    }
    caller.open(ledger()).await.expect("a flow");
    assert!(local(&cell) > before);
}

#[tokio::test]
async fn test_address_goes_to_another_service() {
    // Guards against packets of an old flow that are accepted by the new owner of an upstream's
    // address.
    let mut cell = PacketCell::ready(program(), 1, 1).await;
    let mut caller = cell.caller().await;
    let mut flow = caller.open(ledger()).await.expect("a flow");
    caller
        .request(&mut flow, b"first", REQUEST_LIMIT)
        .await
        .expect("an answer");
    let old = cell.upstreams.remove(0);
    let key = registration_key(&old);
    old.end().await;
    let successor = cell.start_upstream(9, 1).await;
    cell.store.remove(&key);
    cell.register(&successor, "certs", "ready");
    cell.hosts[0]
        .wait_for_metric("lagoon_packet_through", |through| through >= 104.0)
        .await;
    let answer = caller
        .request(&mut flow, b"second", Duration::from_secs(1))
        .await;
    assert!(answer.is_err(), "nobody may answer for the old upstream");
    let tally = successor.tally();
    assert_eq!(
        (tally.openings, tally.requests, tally.unknown),
        (0, 0, 0),
        "the new owner accepted packets of the old flow"
    );
}

#[tokio::test]
async fn test_routes_never_go_back() {
    let mut cell = PacketCell::ready(program(), 1, 1).await;
    let mut caller = cell.caller().await;
    cell.publish_routes(9, &[(certs(), "certs")]);
    cell.hosts[0]
        .wait_for_metric("lagoon_packet_routes_version", |version| version == 9.0)
        .await;
    assert_eq!(caller.open(ledger()).await.err(), Some(CallFault::Reset));
    cell.publish_routes(5, &[(ledger(), "ledger")]);
    cell.hosts[0]
        .wait_for_metric("lagoon_packet_through", |through| through >= 104.0)
        .await;
    assert_eq!(
        caller.open(ledger()).await.err(),
        Some(CallFault::Reset),
        "older routes are in force"
    );
}

#[tokio::test]
async fn test_settings_change_with_and_without_a_signal() {
    // Guards against settings that are not reloaded, and against a SIGHUP that ends the process.
    for with_signal in [true, false] {
        let mut cell = PacketCell::with_upstreams(program(), 1).await;
        cell.start_host(StoreMood::Refuse(503)).await;
        let moved = cell.store.open_port(StoreMood::Serve).await.unwrap();
        cell.write_settings(1, &moved);
        if with_signal {
            cell.hosts[0].listens().await;
            cell.hosts[0].signal("HUP").await;
        }
        cell.wait_for_rotation(1).await;
        cell.hosts[0].signal("TERM").await;
        assert!(
            cell.hosts[0].ended().await.success(),
            "with a signal: {with_signal}"
        );
    }
}

#[tokio::test]
async fn test_settings_changed_with_unchanged_modification_time() {
    // Guards against a change that is not detected because the modification time of the file is the
    // same as before.
    let mut cell = PacketCell::with_upstreams(program(), 1).await;
    cell.start_host(StoreMood::Refuse(503)).await;
    let path = cell.hosts[0].settings_path().to_owned();
    let written = std::fs::metadata(&path).unwrap().modified().unwrap();
    cell.hosts[0].listens().await;
    let moved = cell.store.open_port(StoreMood::Serve).await.unwrap();
    cell.write_settings(1, &moved);
    let file = std::fs::File::options().write(true).open(&path).unwrap();
    file.set_modified(written).unwrap();
    cell.wait_for_rotation(1).await;
}

#[tokio::test]
async fn test_settings_incomplete_at_start() {
    // Guards against a process that exits because the settings file is being written when it
    // starts.
    let mut cell = PacketCell::ready(program(), 1, 1).await;
    let path = cell.hosts[0].settings_path().to_owned();
    let whole = std::fs::read(&path).unwrap();
    cell.hosts[0].kill().await;
    cell.wait_for_rotation(0).await;
    std::fs::write(&path, "").unwrap();
    cell.hosts[0].start_again();
    tokio::time::sleep(Duration::from_millis(150)).await;
    std::fs::write(&path, whole).unwrap();
    cell.wait_for_rotation(1).await;
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
