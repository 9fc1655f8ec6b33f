//! Unplanned failures of the real programs while the load runs, judged by what callers received.

use lagoonproxy::config_snapshot::UpstreamState;
use lagoonproxy_standin::load_report::LoadReport;
use lagoonproxy_standin::platform::PlatformFaults;

use crate::process_cluster::JOBS;
use crate::process_cluster::ProcessCluster;
use crate::process_cluster::ZONES;
use crate::process_host::LOOK_PAUSE;

/// What may never happen, whatever fails.
fn assert_safe(report: &LoadReport) {
    assert_eq!(report.jobs(), JOBS, "{report}");
    assert_eq!(report.double_runs, 0, "{report}");
    assert_eq!(report.false_not_run, 0, "{report}");
    assert_eq!(report.foreign_runs, 0, "{report}");
    assert_eq!(report.total(|tally| tally.foreign), 0, "{report}");
    assert_eq!(report.total(|tally| tally.truncated), 0, "{report}");
    assert_eq!(report.total(|tally| tally.lost), 0, "{report}");
}

/// An inspector's transfer is in progress on an entry host when the host's machine is lost; the
/// platform's list names the dead host for a while. The transfer runs at most once, its caller is
/// told an outcome, and the callers of the hosts that live are served.
#[tokio::test(flavor = "multi_thread")]
async fn test_host_is_killed_under_load() {
    let mut cluster = ProcessCluster::start(4).await;
    let load = cluster.start_load().await;
    load.wait_for_ended(JOBS / 4).await;
    cluster.hosts[1].kill().await;
    load.wait_for_ended(JOBS / 2).await;
    cluster.spray_over(|host| host.id != 2);
    cluster.publish_without(2);
    let report = cluster.judge(load).await;
    assert_safe(&report);
}

/// An entry host is paused with requests in progress, its peers take its flows over, and it wakes
/// believing the world is as it left it. What it had already sent, or sends now, does not run twice.
#[tokio::test(flavor = "multi_thread")]
async fn test_host_is_frozen_and_wakes_late() {
    let cluster = ProcessCluster::start(4).await;
    let load = cluster.start_load().await;
    load.wait_for_ended(JOBS / 4).await;
    cluster.hosts[2].freeze().await;
    load.wait_for_ended(JOBS / 2).await;
    cluster.hosts[2].thaw().await;
    let report = cluster.judge(load).await;
    assert_safe(&report);
}

/// One availability zone is cut from the two others for a while. Its callers reach its hosts only,
/// the others' theirs; both sides receive copies of the same requests before and after. Nothing
/// runs twice that may not, and each caller is told an outcome.
#[tokio::test(flavor = "multi_thread")]
async fn test_zone_is_cut_off_and_returns() {
    let cluster = ProcessCluster::start(6).await;
    let load = cluster.start_load().await;
    load.wait_for_ended(JOBS / 4).await;
    cluster.fabric.cut(ZONES[2], ZONES[0]);
    cluster.fabric.cut(ZONES[2], ZONES[1]);
    load.wait_for_ended(JOBS / 2).await;
    cluster.fabric.heal();
    let report = cluster.judge(load).await;
    assert_safe(&report);
}

/// The platform answers nobody from before the load to its end. Callers notice nothing.
#[tokio::test(flavor = "multi_thread")]
async fn test_platform_is_away() {
    let cluster = ProcessCluster::start(3).await;
    let away = PlatformFaults {
        dead: true,
        ..PlatformFaults::default()
    };
    cluster.platform.set_faults(away).unwrap();
    let load = cluster.start_load().await;
    let report = cluster.judge(load).await;
    assert_safe(&report);
    assert_eq!(report.total(|tally| tally.whole), JOBS, "{report}");
    assert_eq!(report.broken_flows, 0, "{report}");
}

/// An operator drains an upstream, and the change is in force. The platform restarts from an older
/// copy in which the upstream is active, and a control daemon restarts and reads that copy first. No
/// host goes back to it: no flow is opened there.
#[tokio::test(flavor = "multi_thread")]
async fn test_platform_is_back_with_an_older_copy() {
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
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    let load = cluster.start_load().await;
    let report = cluster.judge(load).await;
    assert_safe(&report);
    let drained = cluster.upstreams[0].handle.records();
    assert_eq!(drained.totals.opened, 0, "{report}");
    assert_eq!(drained.totals.started, 0, "{report}");
    for host in &cluster.hosts {
        host.wait_for(|status| status.config_version >= Some(newer))
            .await;
    }
}
