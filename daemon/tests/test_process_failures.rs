//! Unplanned failures of the real processes under load, checked by what callers receive.

use lagoonproxy::config_snapshot::UpstreamState;
use lagoonproxy_standin::load_report::LoadReport;
use lagoonproxy_standin::platform::PlatformFaults;

use crate::process_cluster::JOBS;
use crate::process_cluster::ProcessCluster;
use crate::process_cluster::ZONES;
use crate::process_host::POLL_INTERVAL;

/// Asserts what holds under any failure.
fn assert_safe(report: &LoadReport) {
    assert_eq!(report.jobs(), JOBS, "{report}");
    assert_eq!(report.double_runs, 0, "{report}");
    assert_eq!(report.false_not_run, 0, "{report}");
    assert_eq!(report.foreign_runs, 0, "{report}");
    assert_eq!(report.total(|tally| tally.foreign), 0, "{report}");
    assert_eq!(report.total(|tally| tally.truncated), 0, "{report}");
    assert_eq!(report.total(|tally| tally.lost), 0, "{report}");
}

/// An entry host is killed while non-idempotent requests are in progress on it, and the published
/// host list still contains it for a while. Each request runs at most once, its caller gets an
/// outcome, and the callers of the other hosts are served.
#[tokio::test(flavor = "multi_thread")]
async fn test_host_is_killed_under_load() {
    let mut cluster = ProcessCluster::start(4).await;
    let load = cluster.start_load().await;
    load.wait_for_ended(JOBS / 4).await;
    cluster.hosts[1].kill().await;
    load.wait_for_ended(JOBS / 2).await;
    cluster.spray_over(|host| host.id != 2);
    cluster.publish_without(2);
    let report = cluster.verify(load).await;
    assert_safe(&report);
}

/// An entry host is frozen with requests in progress, its peers take its flows over, and it resumes
/// with outdated state. Requests that it sent before or sends now do not run twice.
#[tokio::test(flavor = "multi_thread")]
async fn test_frozen_host_resumes_after_takeover() {
    let cluster = ProcessCluster::start(4).await;
    let load = cluster.start_load().await;
    load.wait_for_ended(JOBS / 4).await;
    cluster.hosts[2].freeze().await;
    load.wait_for_ended(JOBS / 2).await;
    cluster.hosts[2].thaw().await;
    let report = cluster.verify(load).await;
    assert_safe(&report);
}

/// One availability zone is partitioned from the two others for a while. Copies of the same
/// requests reach both sides before and after. No non-idempotent request runs twice, and each
/// caller gets an outcome.
#[tokio::test(flavor = "multi_thread")]
async fn test_zone_is_cut_off_and_returns() {
    let cluster = ProcessCluster::start(6).await;
    let load = cluster.start_load().await;
    load.wait_for_ended(JOBS / 4).await;
    cluster.fabric.cut(ZONES[2], ZONES[0]);
    cluster.fabric.cut(ZONES[2], ZONES[1]);
    load.wait_for_ended(JOBS / 2).await;
    cluster.fabric.heal();
    let report = cluster.verify(load).await;
    assert_safe(&report);
}

/// The platform is unreachable from before the load until its end. Callers are not affected.
#[tokio::test(flavor = "multi_thread")]
async fn test_platform_is_unreachable() {
    let cluster = ProcessCluster::start(3).await;
    let unreachable = PlatformFaults {
        dead: true,
        ..PlatformFaults::default()
    };
    cluster.platform.set_faults(unreachable).unwrap();
    let load = cluster.start_load().await;
    let report = cluster.verify(load).await;
    assert_safe(&report);
    assert_eq!(report.total(|tally| tally.whole), JOBS, "{report}");
    assert_eq!(report.broken_flows, 0, "{report}");
}

/// An operator has drained an upstream. The platform is restored from an older backup in which the
/// upstream is active, and a control daemon restarts and reads the platform first. No host applies
/// the older configuration: no flow is opened on the upstream.
#[tokio::test(flavor = "multi_thread")]
async fn test_platform_is_restored_from_an_older_backup() {
    let mut cluster = ProcessCluster::start(3).await;
    let older = cluster.platform.counters().revision;
    cluster.upstreams[0].doc.state = UpstreamState::Draining;
    cluster.publish_upstreams();
    let newer = cluster.platform.counters().revision;
    cluster.wait_until_in_force(newer).await;
    let stale = PlatformFaults {
        frozen_at: Some(older),
        ..PlatformFaults::default()
    };
    cluster.platform.set_faults(stale).unwrap();
    let calls = cluster.platform.counters().calls;
    cluster.hosts[0].restart_control().await;
    while cluster.platform.counters().calls == calls {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let load = cluster.start_load().await;
    let report = cluster.verify(load).await;
    assert_safe(&report);
    let drained = cluster.upstreams[0].handle.records();
    assert_eq!(drained.totals.opened, 0, "{report}");
    assert_eq!(drained.totals.started, 0, "{report}");
    for host in &cluster.hosts {
        host.wait_for(|status| status.config_version >= Some(newer))
            .await;
    }
}
