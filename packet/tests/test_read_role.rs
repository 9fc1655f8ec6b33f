//! Tests of which host reads the store: cores of one zone exchange heartbeats in virtual time.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy_packet::core_peers::AddressedHeartbeat;
use lagoonproxy_packet::packet_action::PacketOutput;
use lagoonproxy_packet::packet_core::PacketCore;
use lagoonproxy_packet::policy_config::PolicyConfig;
use lagoonproxy_packet::state::store_feed::StoreFault;

use crate::core_rig::*;

/// One host of the zone.
struct ZoneHost {
    address: SocketAddrV4,
    core: PacketCore,
    /// The host runs, and its packets arrive.
    alive: bool,
    /// The store responds to this host.
    store_reachable: bool,
    reads: bool,
}

/// The hosts of a zone, which tick every 100 ms.
struct ZoneRig {
    hosts: Vec<ZoneHost>,
    now: Instant,
}

impl ZoneRig {
    /// Hosts with these capacities, in thousandths of a core, that all start now.
    fn start(capacities: &[u32]) -> Self {
        let now = Instant::now();
        let hosts = capacities.iter().enumerate().map(|(index, capacity)| {
            let address = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, index as u8 + 1), 7720);
            let mut settings = settings();
            settings.peer_address = address;
            settings.capacity = *capacity;
            settings.seed_peers = vec![SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 1), 7720)];
            let mut core = PacketCore::new(&settings, PolicyConfig::default());
            let items = vec![
                routes_item(1, default_routes(1)),
                upstream_item(1, entry(1, "ledger")),
            ];
            core.merge(now, &whole(1, items), &mut PacketOutput::default());
            ZoneHost {
                address,
                core,
                alive: true,
                store_reachable: true,
                reads: false,
            }
        });
        Self {
            hosts: hosts.collect(),
            now,
        }
    }

    fn advance_time(&mut self, millis: u64) {
        for _tick in 0..millis / 100 {
            self.now += Duration::from_millis(100);
            for index in 0..self.hosts.len() {
                self.tick(index);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        if !host.alive {
            return;
        }
        host.core.tick(now, &mut PacketOutput::default());
        host.reads = host.core.reads();
        if host.reads && host.store_reachable {
            host.core.store_confirmed(now);
        } else if host.reads {
            host.core
                .store_failed(now, &StoreFault::Refused { status: 503 });
        }
        let from = host.address;
        let heartbeats = host.core.due_heartbeats(now, false);
        self.deliver(from, &heartbeats);
    }

    /// Delivers heartbeats, and the replies to them.
    fn deliver(&mut self, from: SocketAddrV4, heartbeats: &[AddressedHeartbeat]) {
        let now = self.now;
        let addressed = heartbeats.iter().flat_map(|addressed| {
            addressed
                .targets
                .iter()
                .map(|target| (&addressed.heartbeat, *target))
        });
        for (heartbeat, target) in addressed {
            let to = self.hosts.iter().position(|host| host.address == target);
            let Some(to) = to.filter(|to| self.hosts[*to].alive) else {
                continue;
            };
            let replies = self.hosts[to]
                .core
                .handle_heartbeat(now, from, heartbeat.clone(), false);
            self.deliver(target, &replies.heartbeats);
        }
    }

    /// The live hosts that read the store.
    fn readers(&self) -> Vec<usize> {
        let hosts = self.hosts.iter().enumerate();
        let reading = hosts.filter(|(_index, host)| host.alive && host.reads);
        reading.map(|(index, _host)| index).collect()
    }
}

#[test]
fn test_the_largest_host_reads_alone() {
    for count in [1, 2, 3, 25, 60] {
        let mut capacities = vec![38; count];
        capacities[count / 2] = 500;
        let mut rig = ZoneRig::start(&capacities);
        rig.advance_time(10_000);
        assert_eq!(rig.readers(), [count / 2], "of {count}");
    }
}

#[test]
fn test_reader_is_replaced_in_time() {
    // Guards against a zone that has no reader for longer than a change may take to be in force.
    struct Case {
        name: &'static str,
        fail: fn(&mut ZoneHost),
        within_ms: u64,
    }
    let cases = [
        Case {
            name: "killed",
            fail: |host| host.alive = false,
            within_ms: 2000,
        },
        Case {
            name: "no response from the store",
            fail: |host| host.store_reachable = false,
            within_ms: 1200,
        },
    ];
    for case in cases {
        let mut rig = ZoneRig::start(&[250, 250, 250, 250, 250, 250, 250, 250]);
        rig.advance_time(5000);
        let first_readers = rig.readers();
        assert_eq!(first_readers.len(), 1, "{}", case.name);
        (case.fail)(&mut rig.hosts[first_readers[0]]);
        rig.advance_time(case.within_ms);
        let others = rig
            .readers()
            .into_iter()
            .filter(|reader| *reader != first_readers[0]);
        assert!(
            (1..=2).contains(&others.count()),
            "{}: {:?}",
            case.name,
            rig.readers()
        );
        rig.advance_time(3000);
        let others = rig
            .readers()
            .into_iter()
            .filter(|reader| *reader != first_readers[0]);
        assert_eq!(others.count(), 1, "{}: only one reader remains", case.name);
    }
}

#[test]
fn test_former_reader_takes_over_again() {
    let mut rig = ZoneRig::start(&[38, 500, 38]);
    rig.advance_time(5000);
    rig.hosts[1].alive = false;
    rig.advance_time(5000);
    assert_eq!(rig.readers().len(), 1);
    rig.hosts[1].alive = true;
    rig.advance_time(5000);
    assert_eq!(rig.readers(), [1], "the largest host reads again");
}

#[test]
fn test_unavailable_store_is_called_by_few_readers() {
    // Guards against a store outage in which every host of the zone calls the store.
    let mut rig = ZoneRig::start(&[38; 60]);
    rig.advance_time(5000);
    for host in &mut rig.hosts {
        host.store_reachable = false;
    }
    rig.advance_time(10_000);
    assert!(rig.readers().len() <= 16, "{} readers", rig.readers().len());
}
