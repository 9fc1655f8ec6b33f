//! Tests how configuration changes spread between control cores over simulated links in virtual
//! time.

use std::time::Duration;

use lagoonproxy::ids::HostId;
use lagoonproxy_bench::control_lab::ControlLab;
use lagoonproxy_bench::lab_config::LabSize;

/// Maximum time until a change is active on all hosts.
const MAX_ACTIVATION_TIME: Duration = Duration::from_secs(5);
const MINUTE: Duration = Duration::from_secs(60);

fn started(size: LabSize) -> ControlLab {
    let mut lab = ControlLab::start(size);
    let version = lab.platform.revision();
    let took = lab.run_until(MINUTE, |lab| lab.in_force(version));
    assert!(took.is_some(), "the first configuration is in force");
    lab.run_for(Duration::from_secs(10));
    lab
}

fn one_zone(hosts: u32) -> LabSize {
    LabSize {
        hosts,
        zones: 1,
        ..LabSize::today()
    }
}

fn change(lab: &mut ControlLab) -> Option<Duration> {
    let version = lab.config.change_one(&mut lab.platform);
    lab.run_until(MINUTE, |lab| lab.in_force(version))
}

fn no_host_reverted(lab: &ControlLab) -> bool {
    lab.hosts.iter().all(|host| !host.reverted)
}

fn readers(lab: &ControlLab) -> Vec<HostId> {
    let reading = |host: &HostId| {
        let host = &lab.hosts[*host as usize];
        host.up && host.core.status().reading
    };
    (0..lab.config.size.hosts).filter(reading).collect()
}

/// Both readers of a zone fail together with their rack, and an operator drains an upstream in the
/// same second. Unless hosts replace readers by rank, the zone receives no more changes.
#[test]
fn test_change_is_in_force_though_every_reader_dies() {
    let mut lab = started(one_zone(24));
    let dead = readers(&lab);
    assert_eq!(dead.len(), 2);
    dead.iter().for_each(|host| lab.kill(*host));
    let took = change(&mut lab);
    assert!(
        took.is_some_and(|took| took <= MAX_ACTIVATION_TIME),
        "{took:?}"
    );
    lab.run_for(MINUTE);
    assert_eq!(readers(&lab).len(), 2, "no more read than before");
}

/// Both readers of a zone lose the platform but remain linked to all hosts. If every heartbeat
/// counted as that of a working reader, no host would replace them.
#[test]
fn test_readers_cut_from_the_platform_are_replaced() {
    let mut lab = started(one_zone(24));
    for host in readers(&lab) {
        lab.hosts[host as usize].is_platform_cut = true;
    }
    // The outstanding watches have to end without a response first.
    lab.run_for(MINUTE);
    let took = change(&mut lab);
    assert!(
        took.is_some_and(|took| took <= MAX_ACTIVATION_TIME),
        "{took:?}"
    );
}

/// The platform is restored from a backup, and operators continue from that state. Hosts that adopt
/// the older state revert active changes; hosts that ignore the platform from then on miss later
/// changes.
#[test]
fn test_platform_with_older_copy_reverts_nobody() {
    let mut lab = started(LabSize::today());
    lab.platform.save_backup();
    (0..4).for_each(|_| assert!(change(&mut lab).is_some()));
    lab.platform.away = true;
    lab.run_for(MINUTE * 10);
    lab.platform.restore_backup();
    lab.platform.away = false;
    lab.run_for(MINUTE * 2);
    (0..6).for_each(|_| {
        lab.config.change_one(&mut lab.platform);
    });
    let version = lab.platform.revision();
    let took = lab.run_until(MINUTE * 2, |lab| lab.in_force(version));
    assert!(took.is_some());
    assert!(no_host_reverted(&lab));
}

/// A host restarts during a platform outage. It has to obtain the configuration from its peers.
#[test]
fn test_restarted_host_learns_from_peers_while_the_platform_is_away() {
    let mut lab = started(one_zone(8));
    let version = lab.hosts[7].version;
    lab.platform.away = true;
    lab.kill(7);
    lab.run_for(MINUTE);
    lab.restart(7);
    // The host has no list of hosts; its peers find it in theirs and connect to it.
    let took = lab.run_until(MINUTE, |lab| lab.hosts[7].version >= version);
    assert!(took.is_some());
}

/// A zone is cut off from the platform and the other zones for ten minutes. It keeps its
/// configuration meanwhile and has to catch up once the paths are restored.
#[test]
fn test_zone_catches_up_after_a_cut() {
    let mut lab = started(LabSize {
        hosts: 12,
        ..LabSize::today()
    });
    lab.cut_paths(|left, right| (left % 3 == 0) != (right % 3 == 0));
    lab.hosts
        .iter_mut()
        .filter(|host| host.zone == 0)
        .for_each(|host| host.is_platform_cut = true);
    let before = lab.hosts[0].version;
    for _change in 0..100 {
        lab.config.change_one(&mut lab.platform);
        lab.run_for(Duration::from_secs(6));
    }
    assert_eq!(lab.hosts[0].version, before);
    // The platform stays unreachable, so that the zone catches up over links to the other zones.
    lab.cut.clear();
    let version = lab.platform.revision();
    let took = lab.run_until(MINUTE, |lab| lab.in_force(version));
    assert!(took.is_some());
    assert!(no_host_reverted(&lab));
}

/// A host loses the platform and all paths except the one to a host that is not among its preferred
/// peers. With bounded fan-out it must not keep trying only the preferred ones.
#[test]
fn test_host_with_one_path_left_finds_it() {
    let mut lab = started(one_zone(24));
    let isolated = 23;
    lab.hosts[isolated as usize].is_platform_cut = true;
    lab.cut_paths(|left, right| left == isolated && right != 0);
    lab.run_for(MINUTE);
    let took = change(&mut lab);
    assert!(
        took.is_some_and(|took| took <= MAX_ACTIVATION_TIME),
        "{took:?}"
    );
}

/// A zone with ten times as many hosts must not make more platform calls; it would if every host
/// watched the platform.
#[test]
fn test_platform_calls_do_not_grow_with_the_hosts() {
    let calls = [8, 80].map(|hosts| {
        let mut lab = started(one_zone(hosts));
        let before = lab.platform.calls;
        for _change in 0..10 {
            assert!(change(&mut lab).is_some());
            lab.run_for(Duration::from_secs(2));
        }
        lab.platform.calls - before
    });
    assert!(calls[1] <= calls[0] + calls[0] / 10, "{calls:?}");
}

/// A host restarts without state during a platform outage, and its peers hold a large
/// configuration. Without the byte budget they would send it as fast as the link allows.
#[test]
fn test_resynchronisation_keeps_to_the_byte_budget() {
    let size = LabSize {
        upstreams: 2_000,
        services: 20,
        upstream_shard: 32,
        send_rate: 1_000,
        ..one_zone(8)
    };
    let mut lab = started(size);
    lab.platform.away = true;
    lab.kill(7);
    lab.run_for(MINUTE * 2);
    let sent = |lab: &ControlLab, host: usize| lab.hosts[host].core.relay().counts().bytes_sent;
    let before: Vec<u64> = (0..7).map(|host| sent(&lab, host)).collect();
    lab.restart(7);
    lab.run_for(MINUTE);
    // The budget of 60 s, 30 s of saved budget, and one part by which the budget may be overdrawn.
    let bound = 60_000 + 30_000 + 6_000;
    let grown = (0..7).map(|host| sent(&lab, host) - before[host]);
    let most = grown.max().unwrap_or(0);
    assert!((30_000..bound).contains(&most), "{most} bytes");
}
