//! Tests of the peer table: discovery, liveness, reports and the choice of state sources.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy_packet::peers::peer_datagram::DatagramFault;
use lagoonproxy_packet::peers::peer_datagram::MAX_DATAGRAM_BYTES;
use lagoonproxy_packet::peers::peer_datagram::PeerDatagram;
use lagoonproxy_packet::peers::peer_heartbeat::MAX_NAMED_LOCAL;
use lagoonproxy_packet::peers::peer_heartbeat::MAX_NAMED_REMOTE;
use lagoonproxy_packet::peers::peer_heartbeat::MAX_UPSTREAM_REPORTS;
use lagoonproxy_packet::peers::peer_heartbeat::PeerHeartbeat;
use lagoonproxy_packet::peers::peer_heartbeat::UpstreamReport;
use lagoonproxy_packet::peers::peer_table::PeerTable;
use lagoonproxy_packet::state::state_source::SyncState;
use proptest::prelude::*;

use lagoonproxy_packet::state::state_snapshot::StateQuery;

use crate::core_rig::*;

pub fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, number), 7720)
}

pub fn heartbeat(zone: &str, through: u64) -> PeerHeartbeat {
    PeerHeartbeat {
        zone: zone.into(),
        ready: true,
        reads: false,
        confirmation: None,
        capacity: 250,
        through: at(through),
        version: Some(1),
        seeks: false,
        reader: None,
        named: Vec::new(),
        others: Vec::new(),
        reports: Some(Vec::new()),
    }
}

/// The query of a host that holds the default configuration.
pub fn query(through: u64) -> StateQuery {
    StateQuery {
        after: at(through),
        version: Some(1),
    }
}

fn table(seeds: &[u8]) -> PeerTable {
    let seeds = seeds.iter().map(|number| address(*number)).collect();
    PeerTable::new(address(1), ZONE.into(), seeds)
}

#[test]
fn test_hosts_find_each_other_through_seeds() {
    // Guards against hosts that never discover each other from a few seeds.
    let mut now = Instant::now();
    let mut hosts: Vec<PeerTable> = (1..=40)
        .map(|number| {
            PeerTable::new(
                address(number),
                ZONE.into(),
                vec![address(1), address(2), address(99)],
            )
        })
        .collect();
    let mut max_targets = 0;
    for _round in 0..20 {
        now += Duration::from_millis(500);
        for sender in 0..hosts.len() {
            let from = address(sender as u8 + 1);
            let round = hosts[sender]
                .due_round(now, false, false)
                .expect("a round is due");
            let targets: Vec<SocketAddrV4> = round.targets().collect();
            max_targets = max_targets.max(targets.len());
            let mut message = heartbeat(ZONE, 1);
            message.named = hosts[sender].sample_peers_in(now, &ZONE.into());
            for target in targets {
                let index = usize::from(target.ip().octets()[3]) - 1;
                if index < hosts.len() {
                    let outcome = hosts[index].merge_heartbeat(now, from, message.clone());
                    if outcome.is_new {
                        let mut reply = heartbeat(ZONE, 1);
                        reply.named = hosts[index].sample_peers_in(now, &ZONE.into());
                        hosts[sender].merge_heartbeat(now, target, reply);
                    }
                }
            }
        }
    }
    for host in &hosts {
        assert_eq!(host.local_hosts(now), 40);
    }
    assert!(max_targets <= 13, "{max_targets} heartbeats in a round");
}

#[test]
fn test_silent_peers_count_as_down() {
    let mut now = Instant::now();
    let mut table = table(&[]);
    table.merge_heartbeat(now, address(2), heartbeat(ZONE, 1));
    table.merge_heartbeat(now, address(3), heartbeat("b", 1));
    assert_eq!((table.local_hosts(now), table.live_hosts(now)), (2, 2));
    now += Duration::from_secs(4);
    assert_eq!((table.local_hosts(now), table.live_hosts(now)), (1, 0));
}

#[test]
fn test_choice_of_state_source() {
    struct Case {
        name: &'static str,
        peers: &'static [(u8, &'static str, u64)],
        own: u64,
        state: SyncState,
        wait_ms: u64,
        expected: Option<u8>,
    }
    let cases = [
        Case {
            name: "a new host requests a state at once",
            peers: &[(2, ZONE, 5)],
            own: 0,
            state: SyncState::Empty,
            wait_ms: 0,
            expected: Some(2),
        },
        Case {
            name: "a new host that lists the store waits for the end of the list",
            peers: &[(2, ZONE, 5)],
            own: 0,
            state: SyncState::Listing,
            wait_ms: 900,
            expected: None,
        },
        Case {
            name: "a new host whose list takes too long",
            peers: &[(2, ZONE, 5)],
            own: 0,
            state: SyncState::Listing,
            wait_ms: 1100,
            expected: Some(2),
        },
        Case {
            name: "a follower waits for changes from the reader",
            peers: &[(2, ZONE, 6)],
            own: 5,
            state: SyncState::Following,
            wait_ms: 200,
            expected: None,
        },
        Case {
            name: "a follower whose changes do not arrive",
            peers: &[(2, ZONE, 6)],
            own: 5,
            state: SyncState::Following,
            wait_ms: 400,
            expected: Some(2),
        },
        Case {
            name: "no peer is ahead",
            peers: &[(2, ZONE, 5)],
            own: 5,
            state: SyncState::Reading,
            wait_ms: 2000,
            expected: None,
        },
        Case {
            name: "a reader waits for its own watch",
            peers: &[(2, ZONE, 6)],
            own: 5,
            state: SyncState::Reading,
            wait_ms: 300,
            expected: None,
        },
        Case {
            name: "a reader that stays behind",
            peers: &[(2, ZONE, 6)],
            own: 5,
            state: SyncState::Reading,
            wait_ms: 800,
            expected: Some(2),
        },
        Case {
            name: "the own zone is preferred among equals",
            peers: &[(2, "b", 6), (3, ZONE, 6), (4, "b", 6)],
            own: 5,
            state: SyncState::Reading,
            wait_ms: 800,
            expected: Some(3),
        },
        Case {
            name: "a whole state is requested from the own zone",
            peers: &[(2, "b", 9), (3, ZONE, 6)],
            own: 0,
            state: SyncState::Empty,
            wait_ms: 0,
            expected: Some(3),
        },
        Case {
            name: "the most advanced peer is preferred",
            peers: &[(2, "b", 9), (3, ZONE, 6)],
            own: 5,
            state: SyncState::Reading,
            wait_ms: 800,
            expected: Some(2),
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut table = table(&[]);
        for (number, zone, through) in case.peers {
            table.merge_heartbeat(start, address(*number), heartbeat(zone, *through));
        }
        let first = table.state_source(start, &query(case.own), case.state);
        let now = start + Duration::from_millis(case.wait_ms);
        let chosen = if case.wait_ms == 0 {
            first
        } else {
            table.state_source(now, &query(case.own), case.state)
        };
        assert_eq!(chosen, case.expected.map(address), "{}", case.name);
        assert_eq!(
            table.state_source(now, &query(case.own), case.state),
            None,
            "{}: no second request at once",
            case.name
        );
    }
}

#[test]
fn test_state_requests_are_spread_over_peers() {
    // Guards against one peer that sends its state to a whole zone.
    let now = Instant::now();
    let mut chosen: Vec<SocketAddrV4> = Vec::new();
    for own in 100..170 {
        let mut table = PeerTable::new(address(own), ZONE.into(), Vec::new());
        for number in 1..=20 {
            table.merge_heartbeat(now, address(number), heartbeat(ZONE, 9));
        }
        chosen.extend(table.state_source(now, &query(0), SyncState::Empty));
    }
    let busiest = (1..=20)
        .map(|number| {
            chosen
                .iter()
                .filter(|host| **host == address(number))
                .count()
        })
        .max();
    assert_eq!(chosen.len(), 70);
    assert!(busiest <= Some(10), "{busiest:?} of 70 at one peer");
}

/// A heartbeat which reports that the first upstream is alive and has 30 flows.
fn heartbeat_with_report() -> PeerHeartbeat {
    let mut message = heartbeat(ZONE, 10);
    message.reports = Some(vec![UpstreamReport {
        tag: tag(1),
        flows: 30,
        heard_ago: Some(Duration::ZERO),
        answers: Default::default(),
    }]);
    message
}

#[test]
fn test_short_heartbeat_keeps_last_reports() {
    // Guards against short heartbeats that remove the last reports, or make them appear recent.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    let message = heartbeat_with_report();
    rig.core
        .handle_heartbeat(rig.now, address(2), message.clone(), false);
    let heard_at = rig.now;
    rig.advance_time(500);
    rig.core
        .handle_heartbeat(rig.now, address(2), message.short_heartbeat(), false);
    rig.advance_time(100);
    let upstreams = rig.core.upstreams();
    let index = upstreams.by_tag(tag(1)).expect("known");
    let record = upstreams.get(index);
    assert_eq!(record.peer_flows, 30);
    assert_eq!(record.failure_detector.last_response(), Some(heard_at));
}

#[test]
fn test_reports_count_once_until_their_host_is_down() {
    // Guards against a new host that places every flow on an upstream that already has many flows
    // through other hosts.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    for _heartbeat in 0..3 {
        rig.core
            .handle_heartbeat(rig.now, address(2), heartbeat_with_report(), false);
    }
    rig.advance_time(100);
    assert!(
        (0..20).all(|flow| rig.establish(flow) == 2),
        "the other upstream has 30 flows"
    );
    rig.advance_time(10_000);
    rig.core
        .handle_heartbeat(rig.now, address(3), heartbeat(ZONE, 10), false);
    rig.advance_time(100);
    let elsewhere: u32 = rig
        .core
        .upstreams()
        .records()
        .map(|record| record.peer_flows)
        .sum();
    assert_eq!(elsewhere, 0, "the reporting host is down");
}

#[test]
fn test_datagram_round_trip() {
    let mut message = heartbeat("b", 77);
    message.named = vec![address(7)];
    message.reports = Some(vec![UpstreamReport {
        tag: 5,
        flows: 3,
        heard_ago: None,
        answers: Default::default(),
    }]);
    let change = changes(
        7,
        9,
        vec![upstream_item(8, entry(1, "ledger")), removed_item(9, 2)],
    );
    for datagram in [
        PeerDatagram::Heartbeat(message),
        PeerDatagram::Change(change),
    ] {
        let bytes = datagram.encode().expect("encodes");
        assert_eq!(PeerDatagram::decode(&bytes), Ok(datagram));
    }
    assert_eq!(PeerDatagram::decode(&[]), Err(DatagramFault::Foreign));
    assert_eq!(
        PeerDatagram::decode(&[9, 1, 2]),
        Err(DatagramFault::Foreign)
    );
}

#[test]
fn test_largest_heartbeat_fits_into_a_datagram() {
    // A fragmented heartbeat would be lost with any of its fragments.
    let mut message = heartbeat("a-zone-with-a-long-name", u64::MAX);
    message.reader = Some(address(7));
    message.named = vec![address(7); MAX_NAMED_LOCAL];
    message.others = vec![address(7); MAX_NAMED_REMOTE];
    let report = UpstreamReport {
        tag: u32::MAX,
        flows: 300,
        heard_ago: Some(Duration::from_secs(9)),
        answers: Default::default(),
    };
    message.reports = Some(vec![report; MAX_UPSTREAM_REPORTS]);
    let bytes = PeerDatagram::Heartbeat(message).encode().expect("encodes");
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
}

proptest! {
    #[test]
    fn test_arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _datagram = PeerDatagram::decode(&bytes);
    }
}
