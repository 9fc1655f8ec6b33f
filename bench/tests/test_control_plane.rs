//! Real control cores over links in memory, in virtual time: who learns what, when, from whom.

use std::time::Duration;

use lagoonproxy::ids::HostId;
use lagoonproxy_bench::control_lab::ControlLab;
use lagoonproxy_bench::lab_config::LabSize;

/// Within this a change has to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(5);
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

/// A rack goes, and with it both readers of the zone; an operator drains an upstream in the same
/// second. Without replacement by rank the zone would learn of nothing any more.
#[test]
fn test_change_is_in_force_though_every_reader_dies() {
    let mut lab = started(one_zone(24));
    let dead = readers(&lab);
    assert_eq!(dead.len(), 2);
    dead.iter().for_each(|host| lab.kill(*host));
    let took = change(&mut lab);
    assert!(took.is_some_and(|took| took <= IN_FORCE), "{took:?}");
    lab.run_for(MINUTE);
    assert_eq!(readers(&lab).len(), 2, "no more read than before");
}

/// Both readers of a zone lose their way to the platform, but live on and are linked to everybody.
/// If any beat counted, nobody would replace them.
#[test]
fn test_readers_cut_from_the_platform_are_replaced() {
    let mut lab = started(one_zone(24));
    for host in readers(&lab) {
        lab.hosts[host as usize].platform_cut = true;
    }
    // The watches in flight end without an answer first.
    lab.run_for(MINUTE);
    let took = change(&mut lab);
    assert!(took.is_some_and(|took| took <= IN_FORCE), "{took:?}");
}

/// The platform is restored from a backup, and operators go on from there. Hosts that followed it
/// back would undo what was in force; hosts that never listened again would miss what comes later.
#[test]
fn test_platform_with_older_copy_reverts_nobody() {
    let mut lab = started(LabSize::today());
    lab.platform.take_copy();
    (0..4).for_each(|_| assert!(change(&mut lab).is_some()));
    lab.platform.away = true;
    lab.run_for(MINUTE * 10);
    lab.platform.restore_copy();
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

/// A host that was restarted meets a platform that is away and neighbours that are not. It serves
/// what they hold.
#[test]
fn test_restarted_host_learns_from_peers_while_the_platform_is_away() {
    let mut lab = started(one_zone(8));
    let version = lab.hosts[7].version;
    lab.platform.away = true;
    lab.kill(7);
    lab.run_for(MINUTE);
    lab.restart(7);
    // It knows no list of hosts; its neighbours find it in theirs.
    let took = lab.run_until(MINUTE, |lab| lab.hosts[7].version >= version);
    assert!(took.is_some());
}

/// A zone is cut off from the platform and the other zones for ten minutes. It goes on with what it
/// has, and after the cut it has what the others have.
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
        .for_each(|host| host.platform_cut = true);
    let before = lab.hosts[0].version;
    for _change in 0..100 {
        lab.config.change_one(&mut lab.platform);
        lab.run_for(Duration::from_secs(6));
    }
    assert_eq!(lab.hosts[0].version, before);
    // The platform stays out of reach: the zone learns over its links to the other zones.
    lab.cut.clear();
    let version = lab.platform.revision();
    let took = lab.run_until(MINUTE, |lab| lab.in_force(version));
    assert!(took.is_some());
    assert!(no_host_reverted(&lab));
}

/// A host loses the platform and every path but the one to a host that it does not prefer. Bounded
/// fan-out must not mean that it goes on trying the others only.
#[test]
fn test_host_with_one_path_left_finds_it() {
    let mut lab = started(one_zone(24));
    let lonely = 23;
    lab.hosts[lonely as usize].platform_cut = true;
    lab.cut_paths(|left, right| left == lonely && right != 0);
    lab.run_for(MINUTE);
    let took = change(&mut lab);
    assert!(took.is_some_and(|took| took <= IN_FORCE), "{took:?}");
}

/// The fleet grows tenfold. If each host watched the platform, its calls would grow with it.
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

/// A host comes back with nothing while the platform is away, and its neighbours hold a large
/// configuration. Without the budget they would send it as fast as the link carries it.
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
    // The rate over a minute, thirty seconds of it saved up, and one part in debt.
    let bound = 60_000 + 30_000 + 6_000;
    let grown = (0..7).map(|host| sent(&lab, host) - before[host]);
    let most = grown.max().unwrap_or(0);
    assert!((30_000..bound).contains(&most), "{most} bytes");
}
