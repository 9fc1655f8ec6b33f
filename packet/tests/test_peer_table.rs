//! Tests of knowing the other hosts.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy_packet::peers::peer_datagram::DatagramFault;
use lagoonproxy_packet::peers::peer_datagram::MOST_DATAGRAM;
use lagoonproxy_packet::peers::peer_datagram::PeerDatagram;
use lagoonproxy_packet::peers::peer_heartbeat::MOST_NAMED;
use lagoonproxy_packet::peers::peer_heartbeat::MOST_OTHERS;
use lagoonproxy_packet::peers::peer_heartbeat::MOST_REPORTS;
use lagoonproxy_packet::peers::peer_heartbeat::PeerHeartbeat;
use lagoonproxy_packet::peers::peer_heartbeat::UpstreamReport;
use lagoonproxy_packet::peers::peer_table::PeerTable;
use lagoonproxy_packet::state::state_source::ReadState;
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

/// What a host asks with that holds the usual configuration.
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
    // Guards against hosts that never learn of each other from few seeds.
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
    let mut most = 0;
    for _round in 0..20 {
        now += Duration::from_millis(500);
        for sender in 0..hosts.len() {
            let from = address(sender as u8 + 1);
            let round = hosts[sender]
                .round(now, false, false)
                .expect("a round is due");
            let targets: Vec<SocketAddrV4> = round.targets().collect();
            most = most.max(targets.len());
            let mut word = heartbeat(ZONE, 1);
            word.named = hosts[sender].some_of(now, &ZONE.into());
            for target in targets {
                let index = usize::from(target.ip().octets()[3]) - 1;
                if index < hosts.len() {
                    let heard = hosts[index].heard(now, from, word.clone());
                    if heard.is_new {
                        let mut reply = heartbeat(ZONE, 1);
                        reply.named = hosts[index].some_of(now, &ZONE.into());
                        hosts[sender].heard(now, target, reply);
                    }
                }
            }
        }
    }
    for host in &hosts {
        assert_eq!(host.local_hosts(now), 40);
    }
    assert!(most <= 13, "{most} heartbeats in a round");
}

#[test]
fn test_silent_peers_are_gone() {
    let mut now = Instant::now();
    let mut table = table(&[]);
    table.heard(now, address(2), heartbeat(ZONE, 1));
    table.heard(now, address(3), heartbeat("b", 1));
    assert_eq!((table.local_hosts(now), table.alive_hosts(now)), (2, 2));
    now += Duration::from_secs(4);
    assert_eq!((table.local_hosts(now), table.alive_hosts(now)), (1, 0));
}

#[test]
fn test_whom_to_ask_for_state() {
    struct Case {
        name: &'static str,
        peers: &'static [(u8, &'static str, u64)],
        own: u64,
        state: ReadState,
        wait_ms: u64,
        expected: Option<u8>,
    }
    let cases = [
        Case {
            name: "a fresh host asks at once",
            peers: &[(2, ZONE, 5)],
            own: 0,
            state: ReadState::Empty,
            wait_ms: 0,
            expected: Some(2),
        },
        Case {
            name: "a fresh host that is reading the list waits for its end",
            peers: &[(2, ZONE, 5)],
            own: 0,
            state: ReadState::Listing,
            wait_ms: 900,
            expected: None,
        },
        Case {
            name: "but not for good",
            peers: &[(2, ZONE, 5)],
            own: 0,
            state: ReadState::Listing,
            wait_ms: 1100,
            expected: Some(2),
        },
        Case {
            name: "who follows a reader waits for its word",
            peers: &[(2, ZONE, 6)],
            own: 5,
            state: ReadState::Following,
            wait_ms: 200,
            expected: None,
        },
        Case {
            name: "and asks when it does not come",
            peers: &[(2, ZONE, 6)],
            own: 5,
            state: ReadState::Following,
            wait_ms: 400,
            expected: Some(2),
        },
        Case {
            name: "nobody knows more",
            peers: &[(2, ZONE, 5)],
            own: 5,
            state: ReadState::Reading,
            wait_ms: 2000,
            expected: None,
        },
        Case {
            name: "one who reads for itself waits a little",
            peers: &[(2, ZONE, 6)],
            own: 5,
            state: ReadState::Reading,
            wait_ms: 300,
            expected: None,
        },
        Case {
            name: "and then asks",
            peers: &[(2, ZONE, 6)],
            own: 5,
            state: ReadState::Reading,
            wait_ms: 800,
            expected: Some(2),
        },
        Case {
            name: "the own zone first",
            peers: &[(2, "b", 6), (3, ZONE, 6), (4, "b", 6)],
            own: 5,
            state: ReadState::Reading,
            wait_ms: 800,
            expected: Some(3),
        },
        Case {
            name: "a whole state from the own zone",
            peers: &[(2, "b", 9), (3, ZONE, 6)],
            own: 0,
            state: ReadState::Empty,
            wait_ms: 0,
            expected: Some(3),
        },
        Case {
            name: "who knows most first",
            peers: &[(2, "b", 9), (3, ZONE, 6)],
            own: 5,
            state: ReadState::Reading,
            wait_ms: 800,
            expected: Some(2),
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut table = table(&[]);
        for (number, zone, through) in case.peers {
            table.heard(start, address(*number), heartbeat(zone, *through));
        }
        let first = table.source(start, &query(case.own), case.state);
        let now = start + Duration::from_millis(case.wait_ms);
        let asked = if case.wait_ms == 0 {
            first
        } else {
            table.source(now, &query(case.own), case.state)
        };
        assert_eq!(asked, case.expected.map(address), "{}", case.name);
        assert_eq!(
            table.source(now, &query(case.own), case.state),
            None,
            "{}: not twice at once",
            case.name
        );
    }
}

#[test]
fn test_hosts_that_miss_the_same_ask_different_peers() {
    // Guards against one peer that serves a state to a whole zone.
    let now = Instant::now();
    let mut asked: Vec<SocketAddrV4> = Vec::new();
    for own in 100..170 {
        let mut table = PeerTable::new(address(own), ZONE.into(), Vec::new());
        for number in 1..=20 {
            table.heard(now, address(number), heartbeat(ZONE, 9));
        }
        asked.extend(table.source(now, &query(0), ReadState::Empty));
    }
    let busiest = (1..=20)
        .map(|number| {
            asked
                .iter()
                .filter(|host| **host == address(number))
                .count()
        })
        .max();
    assert_eq!(asked.len(), 70);
    assert!(busiest <= Some(10), "{busiest:?} of 70 at one");
}

/// A heartbeat that says of the first upstream that it has 30 flows and answers.
fn loaded_word() -> PeerHeartbeat {
    let mut word = heartbeat(ZONE, 10);
    word.reports = Some(vec![UpstreamReport {
        tag: tag(1),
        flows: 30,
        heard_ago: Some(Duration::ZERO),
        answers: Default::default(),
    }]);
    word
}

#[test]
fn test_sign_of_life_leaves_the_last_reports() {
    // Guards against short heartbeats that drop reports, or make old ones look new.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    let word = loaded_word();
    rig.core.heard(rig.now, address(2), word.clone(), false);
    let heard_at = rig.now;
    rig.pass(500);
    rig.core
        .heard(rig.now, address(2), word.short_heartbeat(), false);
    rig.pass(100);
    let upstreams = rig.core.upstreams();
    let index = upstreams.by_tag(tag(1)).expect("known");
    let record = upstreams.get(index);
    assert_eq!(record.flows_elsewhere, 30);
    assert_eq!(record.silence.last_response(), Some(heard_at));
}

#[test]
fn test_reports_count_once_and_end_with_their_host() {
    // Guards against a new host that sends every flow to an upstream that others have filled.
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    for _beat in 0..3 {
        rig.core.heard(rig.now, address(2), loaded_word(), false);
    }
    rig.pass(100);
    assert!(
        (0..20).all(|flow| rig.establish(flow) == 2),
        "the other has 30"
    );
    rig.pass(10_000);
    rig.core
        .heard(rig.now, address(3), heartbeat(ZONE, 10), false);
    rig.pass(100);
    let elsewhere: u32 = rig
        .core
        .upstreams()
        .records()
        .map(|record| record.flows_elsewhere)
        .sum();
    assert_eq!(elsewhere, 0, "the reporting host is gone");
}

#[test]
fn test_datagrams_are_read_as_they_were_written() {
    let mut word = heartbeat("b", 77);
    word.named = vec![address(7)];
    word.reports = Some(vec![UpstreamReport {
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
    for datagram in [PeerDatagram::Heartbeat(word), PeerDatagram::Change(change)] {
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
fn test_largest_beat_fits_into_a_datagram() {
    // A heartbeat that is cut up on the way is lost when any part is.
    let mut word = heartbeat("a-zone-with-a-long-name", u64::MAX);
    word.reader = Some(address(7));
    word.named = vec![address(7); MOST_NAMED];
    word.others = vec![address(7); MOST_OTHERS];
    let report = UpstreamReport {
        tag: u32::MAX,
        flows: 300,
        heard_ago: Some(Duration::from_secs(9)),
        answers: Default::default(),
    };
    word.reports = Some(vec![report; MOST_REPORTS]);
    let bytes = PeerDatagram::Heartbeat(word).encode().expect("encodes");
    assert!(bytes.len() <= MOST_DATAGRAM, "{} bytes", bytes.len());
}

proptest! {
    #[test]
    fn test_any_bytes_are_no_fault(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _datagram = PeerDatagram::decode(&bytes);
    }
}
