//! Tests of the load exchange under failures, one failure per test.

use std::time::Duration;

use lagoonproxy_packet::load::load_report::LoadDigest;
use lagoonproxy_packet::load::load_report::LoadReport;
use lagoonproxy_packet::load::load_report::RequestRates;
use lagoonproxy_packet::load::load_report::ServiceDigest;
use lagoonproxy_packet::load::load_report::ServiceReport;
use lagoonproxy_packet::load::load_report::service_tag;
use lagoonproxy_packet::load::load_tracker::LoadExchangeConfig;
use lagoonproxy_packet::load::report_store::ReportStore;
use lagoonproxy_packet::load::request_meter::ClassCounts;
use lagoonproxy_packet::load::request_meter::RequestCounts;
use lagoonproxy_packet::packet_action::DecisionEvent;
use lagoonproxy_packet::peers::peer_datagram::PeerDatagram;
use lagoonproxy_packet::routes::route_config::RequestPriority;
use lagoonproxy_packet::routes::route_table::RequestClass;

use crate::core_rig::*;
use crate::load_rig::*;

/// Flows to four upstreams with two slots each, which result in a pressure of 1.5.
const CONTENDED_FLOWS: [u16; 4] = [6; 4];

/// Returns a contended zone of eight hosts and the index of its aggregator.
fn contended_zone() -> (LoadFleet, usize) {
    let mut fleet = LoadFleet::new(8, &CONTENDED_FLOWS);
    fleet.run_flows(3000);
    assert_eq!(fleet.contended_hosts(), 8);
    let aggregators = fleet.aggregators();
    assert_eq!(aggregators.len(), 1);
    (fleet, aggregators[0])
}

/// Moves a host's flows to other hosts, as the network fabric does.
fn move_flows(fleet: &mut LoadFleet, host: usize) {
    for (flow, step) in fleet.flows.iter_mut().zip((1..8).cycle()) {
        if flow.host == host {
            flow.host = (host + step) % 8;
        }
    }
}

/// Runs the flows until hosts had time to replace the aggregator. The load at a host must never be
/// older than the lifetime of a digest plus the time between two updates.
fn run_until_replaced(fleet: &mut LoadFleet, failed_host: usize) {
    for _step in 0..25 {
        fleet.run_flows(100);
        for host in (0..8).filter(|host| *host != failed_host) {
            let (_reporters, age) = fleet.load_status(host);
            assert!(age <= Duration::from_millis(1300), "host {host}: {age:?}");
        }
    }
    assert!(fleet.contended_hosts() >= 7);
    assert!(fleet.aggregators().iter().any(|host| *host != failed_host));
    for host in (0..8).filter(|host| *host != failed_host) {
        let (reporters, age) = fleet.load_status(host);
        assert!(reporters >= 7, "host {host}: {reporters}");
        assert!(age <= Duration::from_millis(700), "host {host}: {age:?}");
    }
}

/// Guards against hosts that keep an old digest or have none after the aggregator has died.
#[test]
fn test_aggregator_that_dies_is_replaced() {
    let (mut fleet, aggregator) = contended_zone();
    fleet.rig.kill(aggregator);
    move_flows(&mut fleet, aggregator);
    run_until_replaced(&mut fleet, aggregator);
}

/// Guards against hosts that wait for a frozen aggregator, and against an aggregator that disturbs
/// the exchange when it resumes.
#[test]
fn test_aggregator_that_freezes_is_replaced() {
    let (mut fleet, aggregator) = contended_zone();
    fleet.rig.freeze(aggregator, Duration::from_secs(3));
    move_flows(&mut fleet, aggregator);
    run_until_replaced(&mut fleet, aggregator);
    fleet.run_flows(3000);
    for host in 0..8 {
        let (reporters, age) = fleet.load_status(host);
        assert!(reporters >= 7, "host {host}: {reporters}");
        assert!(age <= Duration::from_millis(700), "host {host}: {age:?}");
    }
}

/// Guards against hosts that wait for an unreachable aggregator, and against an isolated host that
/// continues to use load received before the partition.
#[test]
fn test_aggregator_that_is_cut_off_is_replaced() {
    let (mut fleet, aggregator) = contended_zone();
    fleet.rig.isolate([aggregator]);
    run_until_replaced(&mut fleet, aggregator);
    let (reporters, age) = fleet.load_status(aggregator);
    assert_eq!(reporters, 1, "the isolated host uses its own counts");
    assert!(age <= Duration::from_millis(700), "{age:?}");
}

/// Guards against the loss of other zones affecting the exchange within a zone.
#[test]
fn test_exchange_continues_without_other_zones() {
    let mut fleet = LoadFleet::with_zones(2, 8, &CONTENDED_FLOWS);
    fleet.rig.isolate(8..16);
    fleet.run_flows(4000);
    for host in 0..8 {
        assert_eq!(fleet.load_status(host).0, 8, "host {host}");
    }
    assert_eq!(fleet.contended_hosts(), 8, "hosts of this zone");
}

/// Guards against hosts that use the load of a part of the zone while two hosts aggregate.
#[test]
fn test_digest_with_more_reporters_is_used() {
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    receive_heartbeats(&mut rig, 7);
    rig.advance_time(300);
    let mut smaller = ledger_digest(1, 3, 900);
    rig.core
        .handle_digest(rig.now, peer(0), &ledger_digest(1, 5, 800));
    rig.advance_time(100);
    rig.core.handle_digest(rig.now, peer(1), &smaller);
    rig.advance_time(300);
    assert_eq!(rig.core.load().contention(rig.now, 0).pressure, 800 * 8 / 5);
    rig.advance_time(500);
    smaller.sequence = 2;
    rig.core.handle_digest(rig.now, peer(1), &smaller);
    rig.advance_time(300);
    let pressure = rig.core.load().contention(rig.now, 0).pressure;
    assert_eq!(
        pressure,
        900 * 8 / 3,
        "the larger digest is older than a second"
    );
}

/// Guards against hosts that know no others yet, each of which aggregates its own reports and sends
/// a digest, displacing the digest of the zone.
#[test]
fn test_small_digests_do_not_block_larger_one() {
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    receive_heartbeats(&mut rig, 7);
    rig.advance_time(300);
    for sender in 0..20 {
        rig.core
            .handle_digest(rig.now, peer(sender), &ledger_digest(1, 1, 3000));
    }
    rig.core
        .handle_digest(rig.now, peer(20), &ledger_digest(1, 8, 900));
    rig.advance_time(100);
    assert_eq!(rig.core.load().contention(rig.now, 0).pressure, 900);
}

/// Guards against a host that joins the exchange late after its start.
#[test]
fn test_host_that_has_just_started_learns_the_load() {
    let (mut fleet, aggregator) = contended_zone();
    let host = (aggregator + 1) % 8;
    fleet.rig.kill(host);
    fleet.run_flows(200);
    fleet.rig.start(host, Duration::ZERO);
    fleet.run_flows(1500);
    assert_eq!(fleet.contended_hosts(), 8);
    let (reporters, age) = fleet.load_status(host);
    assert!(reporters >= 7, "{reporters}");
    assert!(age <= Duration::from_millis(700), "{age:?}");
}

/// Guards against decisions from load received before a host was frozen, and against restarted
/// sequences after it, which would make other hosts ignore its digests.
#[test]
fn test_frozen_host_discards_old_load() {
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    receive_heartbeats(&mut rig, 3);
    let mut flows = flows_to(&[6, 6]);
    run_flows(&mut rig, &mut flows, 2000);
    rig.core
        .handle_digest(rig.now, peer(0), &ledger_digest(9, 4, 2000));
    rig.advance_time(300);
    let before = digest_sequence(&mut rig);
    assert!(is_contended(&rig));
    rig.now += Duration::from_secs(2);
    rig.advance_time(300);
    let contention = rig.core.load().contention(rig.now, 0);
    assert!(!contention.is_contended);
    assert_eq!(contention.pressure, 0);
    let records = rig.core.upstreams().records();
    assert!(
        records
            .map(|record| record.load)
            .all(|load| load == Default::default())
    );
    run_flows(&mut rig, &mut flows, 2000);
    assert!(is_contended(&rig), "from requests after the freeze");
    assert!(digest_sequence(&mut rig) > before);
}

/// Returns the highest sequence of the next digests of an aggregating host.
fn digest_sequence(rig: &mut CoreRig) -> u64 {
    receive_heartbeats(rig, 3);
    let sent = datagrams_sent_within(rig, 500);
    let digests = sent.iter().filter_map(|sent| match &sent.datagram {
        PeerDatagram::Digest(digest) => Some(digest.sequence),
        _ => None,
    });
    digests.max().expect("the host aggregates")
}

/// Guards against requests that are counted twice, and against lost reports that lower the load.
#[test]
fn test_reports_that_are_lost_repeated_or_reordered() {
    struct ArrivalCase {
        name: &'static str,
        /// Sequences of the reports in the order of arrival.
        arrivals: &'static [u64],
        answered: u64,
    }
    let case = |name, arrivals, answered| ArrivalCase {
        name,
        arrivals,
        answered,
    };
    let cases = [
        case("all", &[1, 2, 3, 4], 100_000),
        case("lost", &[1, 4], 100_000),
        case("repeated", &[1, 2, 2, 2, 3, 4], 100_000),
        case("reordered", &[1, 3, 2, 4], 106_667),
        case("none", &[], 0),
    ];
    let rig = CoreRig::with_ledger(&[1]);
    let config = LoadExchangeConfig::default();
    for case in cases {
        let mut store = ReportStore::default();
        for sequence in case.arrivals {
            let answered = 10 * u32::try_from(*sequence).expect("small");
            let report = ledger_report(*sequence, answered, 2000);
            store.insert(rig.now, peer(0), &report);
        }
        let digest = store.digest(&config, 1, 1, rig.core.upstreams());
        let answered: u64 = digest
            .services
            .iter()
            .map(|service| service.rest.answered)
            .sum();
        assert_eq!(answered, case.answered, "{}", case.name);
    }
}

/// Guards against a second aggregator after each lost datagram: with 48 hosts a digest or a
/// heartbeat is lost every few seconds.
#[test]
fn test_lost_datagrams_cause_no_second_aggregator() {
    let mut fleet = LoadFleet::new(48, &[8; 14]);
    fleet.rig.advance_time(2000);
    fleet.run_flows(3000);
    let aggregators = fleet.aggregators();
    assert_eq!(aggregators.len(), 1);
    for _second in 0..10 {
        fleet.run_flows(1000);
        assert_eq!(fleet.aggregators(), aggregators);
    }
}

/// Guards against excluding a healthy aggregator after the loss of a single digest. With 60 hosts
/// the interval is 600 ms, and the digest after the lost one arrives one poll late.
#[test]
fn test_aggregator_is_kept_after_one_lost_digest() {
    for phase in 0..6 {
        let mut rig = CoreRig::with_ledger(&[1, 2]);
        let mut flows = flows_to(&[1, 1]);
        let mut targets = Vec::new();
        for step in 0..60_u64 {
            receive_heartbeats(&mut rig, 58);
            receive_heartbeat(&mut rig, 60, 900);
            run_flows(&mut rig, &mut flows, 80);
            rig.advance_time(20);
            let is_lost = step == 36 + phase || step == 42 + phase;
            let is_late = step == 43 + phase;
            if step % 6 == phase && !is_lost || is_late {
                let digest = ledger_digest(step + 1, 60, 900);
                rig.core.handle_digest(rig.now, peer(60), &digest);
            }
            let due = rig.core.due_load_datagrams(rig.now);
            targets.extend(due.into_iter().flat_map(|due| due.targets));
        }
        assert!(targets.len() > 6, "{}", targets.len());
        assert!(
            targets.iter().all(|target| *target == peer(60)),
            "{targets:?}"
        );
    }
}

/// Guards against old digests that replace newer ones.
#[test]
fn test_digests_that_are_repeated_or_reordered() {
    let mut rig = CoreRig::with_ledger(&[1]);
    rig.advance_time(300);
    rig.core
        .handle_digest(rig.now, peer(0), &ledger_digest(2, 1, 600));
    rig.advance_time(500);
    rig.core
        .handle_digest(rig.now, peer(0), &ledger_digest(1, 1, 500));
    rig.core
        .handle_digest(rig.now, peer(0), &ledger_digest(2, 1, 400));
    rig.advance_time(100);
    assert_eq!(rig.core.load().contention(rig.now, 0).pressure, 600);
    rig.advance_time(500);
    assert_eq!(
        rig.core.load().contention(rig.now, 0).pressure,
        0,
        "a second after the first digest"
    );
}

/// Guards against a host with wrong counts that distorts the load of its zone.
#[test]
fn test_implausible_reports_are_rejected() {
    struct ReportCase {
        name: &'static str,
        report: LoadReport,
        valid: bool,
    }
    let changed = |change: fn(&mut LoadReport)| {
        let mut report = ledger_report(1, 10, 2000);
        change(&mut report);
        report
    };
    let case = |name, change: fn(&mut LoadReport), valid| ReportCase {
        name,
        report: changed(change),
        valid,
    };
    let cases = [
        case("usual", |_report| {}, true),
        case("empty interval", |report| report.span = 0, false),
        case(
            "interval of a day",
            |report| report.span = 86_400_000,
            false,
        ),
        case(
            "500 ms per request",
            |report| requests(report).time = 50_000,
            true,
        ),
        case(
            "501 ms per request",
            |report| requests(report).time = 50_100,
            false,
        ),
        case(
            "request time without requests",
            |report| requests(report).answered = 0,
            false,
        ),
        case(
            "65,000 requests in progress",
            |report| set_requests(report, 162_500_000, 32_500),
            true,
        ),
        case(
            "66,000 requests in progress",
            |report| set_requests(report, 165_000_000, 33_000),
            false,
        ),
        case(
            "upstreams with more requests than their service",
            |report| {
                let requests = report.services[0].requests;
                report.services[0].upstreams = vec![(1, requests), (2, requests)];
            },
            false,
        ),
        case(
            "an upstream with request time and no requests",
            |report| {
                let counts = RequestCounts {
                    time: 2000,
                    ..RequestCounts::default()
                };
                report.services[0].upstreams = vec![(1, counts)];
            },
            false,
        ),
        case(
            "too many upstreams",
            |report| report.services[0].upstreams = vec![Default::default(); 111],
            false,
        ),
        case(
            "too many classes",
            |report| {
                let class = (RequestPriority(1), ClassCounts::default());
                report.services[0].classes = vec![class; 5];
            },
            false,
        ),
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1]);
        rig.core.handle_load_report(rig.now, peer(0), &case.report);
        rig.advance_time(100);
        let reports = rejected(&rig);
        assert_eq!(reports, usize::from(!case.valid), "{}", case.name);
        assert_eq!(rig.core.load().is_aggregator(), case.valid, "{}", case.name);
        assert_eq!(
            rig.core.load().rejections(),
            u64::from(!case.valid),
            "{}",
            case.name
        );
    }
}

/// Guards against an aggregator with wrong sums that makes all hosts of a zone refuse callers.
#[test]
fn test_implausible_digests_are_rejected() {
    struct DigestCase {
        name: &'static str,
        change: fn(&mut LoadDigest),
        valid: bool,
    }
    let case = |name, change, valid| DigestCase {
        name,
        change,
        valid,
    };
    let cases = [
        case("usual", |_digest| {}, true),
        case("no reporters", |digest| digest.reporters = 0, false),
        case(
            "a million reporters",
            |digest| digest.reporters = 1_000_000,
            false,
        ),
        case(
            "a service with more reporters than hosts",
            |digest| digest.services[0].reporters = 9,
            false,
        ),
        case(
            "66,000 requests in progress",
            |digest| digest.services[0].rest = rates(66_000_000, 132_000_000),
            false,
        ),
        case(
            "65,000 requests in progress",
            |digest| digest.services[0].rest = rates(65_000_000, 130_000_000),
            true,
        ),
        case(
            "over 500 ms per request",
            |digest| digest.services[0].upstreams = vec![(1, rates(5010, 10_000))],
            false,
        ),
        case(
            "more sheds than arrivals",
            |digest| digest.services[0].shed_share = 1001,
            false,
        ),
        case(
            "excessive pressure",
            |digest| digest.services[0].pressure = u32::MAX,
            false,
        ),
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1]);
        let mut digest = ledger_digest(1, 4, 900);
        (case.change)(&mut digest);
        rig.core.handle_digest(rig.now, peer(0), &digest);
        rig.advance_time(300);
        assert_eq!(rejected(&rig), usize::from(!case.valid), "{}", case.name);
        assert_eq!(is_contended(&rig), case.valid, "{}", case.name);
    }
}

/// Guards against hosts with another configuration that demote the classes of this one: priorities
/// that no route of this host has count as the least urgent.
#[test]
fn test_priorities_of_another_configuration() {
    let mut rig = CoreRig::with_ledger(&[1]);
    let mut config = default_routes(2);
    config.routes[0].priority = RequestPriority(4);
    let mut other = config.routes[0].clone();
    other.address = certs();
    other.priority = RequestPriority(8);
    config.routes[1] = other;
    rig.publish(|revision| routes_item(revision, config));
    rig.advance_time(300);
    let mut head = open_head(1, 0);
    head.service = certs();
    rig.packet(&head);
    let mut digest = ledger_digest(1, 1, 900);
    let asked = ClassCounts {
        asked: 5,
        ..ClassCounts::default()
    };
    digest.services[0].classes = vec![(RequestPriority(1), asked), (RequestPriority(2), asked)];
    rig.core.handle_digest(rig.now, peer(0), &digest);
    rig.advance_time(100);
    let class = |rank, classes, priority| RequestClass {
        rank,
        classes,
        priority: RequestPriority(priority),
    };
    let load = rig.core.load();
    let active = |rank, priority| load.active_class(rig.now, 0, class(rank, 2, priority));
    assert_eq!(
        active(0, 4),
        class(0, 2, 4),
        "the unknown priorities count as the least urgent class"
    );
    assert_eq!(
        active(1, 8),
        class(0, 1, 8),
        "no more urgent class is active"
    );
}

/// Guards against a report whose upstreams exceed its sum, which would make all hosts reject the
/// digest that contains it.
#[test]
fn test_inconsistent_report_does_not_invalidate_digest() {
    let mut rig = CoreRig::with_ledger(&[1]);
    receive_heartbeats(&mut rig, 1);
    rig.advance_time(100);
    let mut report = ledger_report(1, 10, 2000);
    let counts = RequestCounts {
        answered: 10,
        ..RequestCounts::default()
    };
    report.services[0].upstreams = vec![(tag(1), counts)];
    rig.core.handle_load_report(rig.now, peer(0), &report);
    let sent = datagrams_sent_within(&mut rig, 300);
    assert!(!sent.is_empty());
    assert_eq!(rig.core.load().rejections(), 0);
}

fn ledger_report(sequence: u64, answered: u32, time: u32) -> LoadReport {
    let requests = RequestCounts {
        time,
        answered,
        shed: 0,
    };
    LoadReport {
        sequence,
        span: 250,
        services: vec![ServiceReport {
            service: service_tag(&"ledger".into()),
            requests,
            ..ServiceReport::default()
        }],
    }
}

fn ledger_digest(sequence: u64, reporters: u32, pressure: u32) -> LoadDigest {
    LoadDigest {
        sequence,
        reporters,
        services: vec![ServiceDigest {
            service: service_tag(&"ledger".into()),
            reporters,
            is_contended: true,
            pressure,
            ..ServiceDigest::default()
        }],
        zones: Vec::new(),
    }
}

fn rates(in_progress: u64, answered: u64) -> RequestRates {
    RequestRates {
        in_progress,
        answered,
        shed: 0,
    }
}

fn requests(report: &mut LoadReport) -> &mut RequestCounts {
    &mut report.services[0].requests
}

fn set_requests(report: &mut LoadReport, time: u32, answered: u32) {
    let requests = requests(report);
    requests.time = time;
    requests.answered = answered;
}

fn rejected(rig: &CoreRig) -> usize {
    let events = rig.events.iter();
    events
        .filter(
            |event| matches!(event, DecisionEvent::LoadRejected { peer: from } if *from == peer(0)),
        )
        .count()
}
