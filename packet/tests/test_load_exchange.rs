//! Tests of the load exchange: conditions of contention, sheds and the load that hosts receive.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::ids::ZoneName;
use lagoonproxy_packet::load::load_report::LoadDigest;
use lagoonproxy_packet::load::load_report::ServiceDigest;
use lagoonproxy_packet::load::load_report::service_tag;
use lagoonproxy_packet::load::load_state::pressure_with_sheds;
use lagoonproxy_packet::load::load_state::shed_share;
use lagoonproxy_packet::load::load_state::slot_pressure;
use lagoonproxy_packet::load::load_tracker::LoadExchangeConfig;
use lagoonproxy_packet::load::request_meter::ClassCounts;
use lagoonproxy_packet::load::request_meter::ClassMeters;
use lagoonproxy_packet::load::request_meter::RequestCounts;
use lagoonproxy_packet::load::request_meter::RequestWindow;
use lagoonproxy_packet::load::shed_detection::is_shed;
use lagoonproxy_packet::packet_action::DecisionEvent;
use lagoonproxy_packet::packet_action::PacketOutput;
use lagoonproxy_packet::policy_config::PolicyConfig;
use lagoonproxy_packet::routes::route_config::RequestPriority;
use lagoonproxy_packet::routes::route_table::RequestClass;
use lagoonproxy_packet::upstreams::upstream_entry::UpstreamEntry;
use lagoonproxy_packet::upstreams::upstream_table::UpstreamTable;

use crate::core_rig::*;
use crate::load_rig::*;

#[test]
fn test_window_keeps_the_last_spans() {
    let mut window = RequestWindow::default();
    for span in 1..=6 {
        for _request in 0..span {
            window.add(RequestCounts::answered(Duration::from_millis(20)));
        }
        window.end_span();
    }
    let counts = window.ended_spans();
    assert_eq!((counts.answered, counts.time), (18, 3600), "spans 3 to 6");
    assert_eq!(
        window.take_unreported().answered,
        21,
        "all requests since the last report"
    );
    assert_eq!(
        window.take_unreported().answered,
        0,
        "each request is reported once"
    );
}

#[test]
fn test_classes_beyond_the_limit_count_as_least_urgent() {
    let mut meters = ClassMeters::default();
    let now = Instant::now();
    let one = ClassCounts {
        asked: 1,
        ..ClassCounts::default()
    };
    for priority in [9, 3, 7, 5, 8, 1, 3, 20] {
        meters.count(now, RequestPriority(priority), &one);
    }
    let held = meters.meters().iter();
    let held: Vec<(u32, u64)> = held
        .map(|meter| (meter.priority.0, meter.totals.asked))
        .collect();
    assert_eq!(held, [(1, 1), (3, 2), (5, 1), (7, 4)]);
}

#[test]
fn test_pressure() {
    struct PressureCase {
        name: &'static str,
        in_progress: u64,
        slots: u32,
        shed: u64,
        arrivals: u64,
        pressure: u32,
    }
    let case = |name, in_progress, slots, shed, arrivals, pressure| PressureCase {
        name,
        in_progress,
        slots,
        shed,
        arrivals,
        pressure,
    };
    let cases = [
        case("no slots", 5000, 0, 0, 10, 0),
        case("half full", 5000, 10, 0, 10, 500),
        case("full", 10_000, 10, 0, 10, 1000),
        case("3 % shed", 5000, 10, 3, 100, 500),
        case("4 % shed", 5000, 10, 4, 100, 2800),
        case("a fifth shed", 5000, 10, 20, 100, 6000),
        case("queues longer than the minimum", 90_000, 10, 20, 100, 9000),
        case("more sheds than arrivals", 5000, 10, 200, 100, 22_000),
        case("no arrivals", 0, 10, 0, 0, 0),
        case("largest load", u64::MAX, 1, 0, 0, u32::MAX),
    ];
    for case in cases {
        let config = LoadExchangeConfig::default();
        let plain = slot_pressure(case.in_progress, case.slots);
        let pressure = pressure_with_sheds(&config, plain, shed_share(case.shed, case.arrivals));
        assert_eq!(pressure, case.pressure, "{}", case.name);
    }
}

#[test]
fn test_interval_grows_with_large_zones() {
    let config = LoadExchangeConfig::default();
    let cases = [
        (1, 250),
        (24, 250),
        (25, 250),
        (30, 300),
        (48, 480),
        (300, 1000),
    ];
    for (hosts, millis) in cases {
        assert_eq!(config.interval(hosts).as_millis(), millis, "{hosts} hosts");
    }
}

/// Conditions under which a host regards a service of two upstreams with two slots each as
/// contended.
#[test]
fn test_contention_conditions() {
    struct ContentionCase {
        name: &'static str,
        /// Flows with half a request in progress each.
        flows: u16,
        peers: u8,
        short_errors: usize,
        contended: bool,
    }
    let case = |name, flows, peers, short_errors, contended| ContentionCase {
        name,
        flows,
        peers,
        short_errors,
        contended,
    };
    let cases = [
        case("no demand", 0, 0, 0, false),
        case("half of the slots", 4, 0, 0, false),
        case("more than 0.75 of the slots", 8, 0, 0, true),
        case("the same load through each of four hosts", 2, 3, 0, true),
        case("less than that through each of four hosts", 1, 3, 0, false),
        case("two short errors and half of the slots", 4, 0, 2, true),
        case("one short error and half of the slots", 4, 0, 1, false),
        case(
            "two short errors and a quarter of the slots",
            2,
            0,
            2,
            false,
        ),
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1, 2]);
        receive_heartbeats(&mut rig, case.peers);
        let mut flows = flows_to(&[case.flows / 2, case.flows.div_ceil(2)]);
        run_flows(&mut rig, &mut flows, 1600);
        for flow in flows.iter_mut().take(case.short_errors) {
            let heads = [flow.request(), flow.response(ERROR_BYTES), flow.request()];
            for head in heads {
                rig.packet(&head);
            }
            rig.packet(&flow.response(RESPONSE_BYTES));
        }
        run_flows(&mut rig, &mut flows, 400);
        assert_eq!(is_contended(&rig), case.contended, "{}", case.name);
    }
}

#[test]
fn test_contention_ends_after_three_seconds() {
    let mut rig = CoreRig::with_ledger(&[1]);
    let mut flows = flows_to(&[8]);
    run_flows(&mut rig, &mut flows, 2000);
    assert!(is_contended(&rig));
    rig.advance_time(2900);
    assert!(is_contended(&rig), "2.9 s after the last request");
    rig.advance_time(2000);
    assert!(!is_contended(&rig), "4.9 s after the last request");
    let record = rig.core.upstreams().records().next().expect("one upstream");
    assert_eq!(
        record.load,
        Default::default(),
        "no load is set without contention"
    );
    let changes = rig.events.iter().filter_map(|event| match event {
        DecisionEvent::Contention { contended, .. } => Some(*contended),
        _ => None,
    });
    assert_eq!(
        changes.collect::<Vec<bool>>(),
        [true, false],
        "each change is logged once"
    );
}

/// Guards against a service that becomes contended because of a dead upstream: a request that waits
/// for a response until the upstream is replaced contributes 500 ms at most.
#[test]
fn test_long_waits_add_no_load() {
    let mut rig = CoreRig::with_ledger(&[1, 2]);
    let mut flows = flows_to(&[1, 1]);
    for _round in 0..3 {
        run_flows_with(&mut rig, &mut flows, 3020, 3000, RESPONSE_BYTES);
        assert!(!is_contended(&rig));
    }
}

/// Guards against contention of a service that has no upstream in the zone, whose load the zone
/// cannot reduce.
#[test]
fn test_service_without_local_upstreams_is_never_contended() {
    let away = UpstreamEntry {
        zone: "b".into(),
        ..entry(1, "ledger")
    };
    let mut rig = CoreRig::with_entries(vec![away]);
    let mut flows = flows_to(&[12]);
    run_flows(&mut rig, &mut flows, 2000);
    assert!(!is_contended(&rig));
    rig.core
        .handle_digest(rig.now, peer(0), &digest(1, true, 5000));
    rig.advance_time(300);
    assert!(
        !is_contended(&rig),
        "a digest does not make it contended either"
    );
}

/// Returns a digest of the `ledger` service with reports of `reporters` hosts.
fn digest(reporters: u32, is_contended: bool, pressure: u32) -> LoadDigest {
    LoadDigest {
        sequence: 1,
        reporters,
        services: vec![ServiceDigest {
            service: service_tag(&"ledger".into()),
            reporters,
            is_contended,
            pressure,
            ..ServiceDigest::default()
        }],
        zones: Vec::new(),
    }
}

#[test]
fn test_contention_by_digest() {
    struct DigestCase {
        name: &'static str,
        digest: LoadDigest,
        wait: u64,
        contended: bool,
        pressure: u32,
    }
    let case = |name, digest, wait, contended, pressure| DigestCase {
        name,
        digest,
        wait,
        contended,
        pressure,
    };
    let cases = [
        case("marked", digest(8, true, 900), 200, true, 900),
        case("not marked", digest(8, false, 700), 200, false, 700),
        case(
            "from half of the hosts",
            digest(4, true, 900),
            200,
            true,
            1800,
        ),
        case("from one host of eight", digest(1, true, 900), 200, true, 0),
        case("older than a second", digest(8, true, 900), 1500, true, 0),
        case(
            "ended more than three seconds ago",
            digest(8, true, 900),
            5000,
            false,
            0,
        ),
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1, 2]);
        receive_heartbeats(&mut rig, 7);
        rig.advance_time(300);
        rig.core.handle_digest(rig.now, peer(0), &case.digest);
        rig.advance_time(case.wait);
        let contention = rig.core.load().contention(rig.now, 0);
        let found = (contention.is_contended, contention.pressure);
        assert_eq!(found, (case.contended, case.pressure), "{}", case.name);
    }
}

/// Guards against sheds that eject busy upstreams, and against failures that are counted as sheds.
/// Upstream 1 responds to each request of four of its flows with a short error.
#[test]
fn test_sheds_and_failures() {
    struct ShedCase {
        name: &'static str,
        /// Numbers of flows to upstreams 1 and 2, which have equal slots.
        flows: [u16; 2],
        /// Milliseconds from a request to its short error.
        response_ms: u64,
        bytes: u32,
        is_shed: bool,
        is_failing: bool,
    }
    let case = |name, flows, response_ms, bytes, is_shed, is_failing| ShedCase {
        name,
        flows,
        response_ms,
        bytes,
        is_shed,
        is_failing,
    };
    let cases = [
        case("service not contended", [2, 0], 5, ERROR_BYTES, false, true),
        case("full upstream", [7, 0], 5, ERROR_BYTES, true, false),
        case("full service", [2, 12], 5, ERROR_BYTES, true, false),
        case(
            "full service, after the wait in the queue",
            [2, 12],
            140,
            ERROR_BYTES,
            true,
            false,
        ),
        case(
            "late error of a full service",
            [2, 12],
            500,
            ERROR_BYTES,
            false,
            true,
        ),
        case(
            "response of usual size",
            [2, 12],
            5,
            RESPONSE_BYTES,
            false,
            false,
        ),
        case(
            "free upstream of a contended service",
            [1, 6],
            5,
            ERROR_BYTES,
            false,
            true,
        ),
    ];
    for case in cases {
        let mut rig = CoreRig::with_ledger(&[1, 2]);
        let mut flows = flows_to(&case.flows);
        run_flows(&mut rig, &mut flows, 2000);
        let mut failing: Vec<LoadFlow> = (900..904)
            .map(|number| LoadFlow::new(number, 1, 0))
            .collect();
        for _cycle in 0..20 {
            for flow in &mut failing {
                rig.packet(&flow.request());
            }
            rig.advance_time(case.response_ms);
            for flow in &mut failing {
                rig.packet(&flow.response(case.bytes));
            }
            run_flows(&mut rig, &mut flows, 40);
        }
        let status = rig.core.load().status(rig.now, 0).expect("known");
        let record = rig.core.upstreams().get(0);
        let failures = rig.core.flow_tracker().failures();
        assert_eq!(status.sheds > 0, case.is_shed, "{}", case.name);
        assert_eq!(
            record.outlier_detector.is_failing(),
            case.is_failing,
            "{}",
            case.name
        );
        assert_eq!(failures > 0, case.is_failing, "{}", case.name);
    }
}

#[test]
fn test_shed_conditions() {
    struct ConditionCase {
        name: &'static str,
        contended: bool,
        in_progress: u32,
        pressure: u32,
        is_shed: bool,
    }
    let case = |name, contended, in_progress, pressure, is_shed| ConditionCase {
        name,
        contended,
        in_progress,
        pressure,
        is_shed,
    };
    let cases = [
        case("not contended", false, 9000, 9000, false),
        case("free upstream", true, 1999, 999, false),
        case("full upstream", true, 2000, 0, true),
        case("full service", true, 0, 1000, true),
    ];
    for case in cases {
        let zone = ZoneName::from(ZONE);
        let config = PolicyConfig::default();
        let mut table = UpstreamTable::new(zone, Duration::from_secs(60), config);
        let index = table.register(Instant::now(), &entry(1, "ledger"));
        table.get_mut(index).load.in_progress = case.in_progress;
        table.set_contended(0, case.contended);
        table.set_pressure(0, case.pressure);
        assert_eq!(is_shed(&table, index), case.is_shed, "{}", case.name);
    }
}

/// Guards against sheds that lower the usual size of responses until they are no longer recognized
/// as short errors.
#[test]
fn test_sheds_do_not_become_the_usual_size() {
    let mut rig = CoreRig::with_ledger(&[1]);
    let mut flows = flows_to(&[8]);
    run_flows(&mut rig, &mut flows, 2000);
    run_flows_with(&mut rig, &mut flows, 2000, 5, ERROR_BYTES);
    let sheds = rig.core.load().status(rig.now, 0).expect("known").sheds;
    assert!(sheds >= 8 * 78, "{sheds} sheds of 640 requests");
}

/// The rank of a class counts only classes with recent demand.
#[test]
fn test_active_classes() {
    let mut rig = CoreRig::with_ledger(&[1]);
    let mut config = default_routes(2);
    config.routes[0].priority = RequestPriority(4);
    let mut urgent = config.routes[0].clone();
    urgent.address = certs();
    urgent.priority = RequestPriority(1);
    config.routes[1] = urgent;
    rig.publish(|revision| routes_item(revision, config));
    rig.advance_time(300);
    let class = RequestClass {
        rank: 1,
        classes: 2,
        priority: RequestPriority(4),
    };
    let active = |rig: &CoreRig| {
        let class = rig.core.load().active_class(rig.now, 0, class);
        (class.rank, class.classes)
    };
    rig.open(1, 0);
    assert_eq!(active(&rig), (0, 1), "no flow of the urgent route");
    let mut head = open_head(2, 0);
    head.service = certs();
    rig.packet(&head);
    assert_eq!(active(&rig), (1, 2), "one flow of the urgent route");
    rig.advance_time(3100);
    assert_eq!(active(&rig), (0, 1), "no flow of the urgent route for 3 s");
}

/// Guards against heap allocations per packet while a service is contended.
#[test]
fn test_packets_of_open_flows_allocate_nothing_while_contended() {
    let mut rig = CoreRig::with_ledger(&[1]);
    let mut flows = flows_to(&[20]);
    run_flows(&mut rig, &mut flows, 2000);
    assert!(is_contended(&rig));
    let mut output = PacketOutput::default();
    let mut allocations = 0;
    for (round, bytes) in [RESPONSE_BYTES, ERROR_BYTES, RESPONSE_BYTES]
        .into_iter()
        .enumerate()
    {
        let heads: Vec<_> = flows
            .iter_mut()
            .flat_map(|flow| [flow.request(), flow.response(bytes)])
            .collect();
        let counted = allocation_counter::measure(|| {
            for head in &heads {
                output.clear();
                rig.core.handle_packet(rig.now, head, &mut output);
            }
        });
        allocations += counted.count_total * u64::from(round > 0);
    }
    assert_eq!(allocations, 0, "after the output buffer has grown");
    let status = rig.core.load().status(rig.now, 0).expect("known");
    assert_eq!(status.sheds, 20, "one shed per flow");
}

/// Guards against load that hosts derive from their own few flows alone. The load of each upstream
/// at each host deviates by at most 10 % from the actual one, which is half a request per flow.
#[test]
fn test_every_host_knows_the_load_of_the_zone() {
    for hosts in [8, 30] {
        let counts = [2, 4, 6, 8, 10, 12, 14, 16, 18, 20];
        let mut fleet = LoadFleet::new(hosts, &counts);
        fleet.run_flows(4000);
        assert_eq!(fleet.contended_hosts(), usize::from(hosts), "{hosts} hosts");
        for host in 0..usize::from(hosts) {
            let (reporters, age) = fleet.load_status(host);
            assert!(reporters + 1 >= u32::from(hosts), "{reporters} of {hosts}");
            assert!(age < Duration::from_secs(1), "{hosts} hosts: {age:?}");
            for (known, flows) in fleet.loads(host).into_iter().zip(counts) {
                let truth = 500 * u32::from(flows);
                let off = known.abs_diff(truth);
                assert!(
                    off * 10 <= truth,
                    "{hosts} hosts: {known} instead of {truth}"
                );
            }
        }
        assert_eq!(fleet.aggregators().len(), 1, "{hosts} hosts");
        let loads = fleet.rig.hosts.iter().map(|host| host.core.load());
        let rejections: u64 = loads.map(|load| load.rejections()).sum();
        assert_eq!(rejections, 0, "hosts send only valid datagrams");
        let longest = fleet.rig.load_sent.iter().map(|(_at, _host, bytes)| *bytes);
        assert!(longest.max().expect("datagrams were sent") <= 1400);
    }
}

/// Guards against an exchange that fails or exceeds its bandwidth at the target size of a zone,
/// where its interval is one second.
#[test]
fn test_exchange_of_a_large_zone() {
    let counts = [40; 20];
    let mut fleet = LoadFleet::new(300, &counts);
    fleet.rig.advance_time(26_000);
    fleet.run_flows(5000);
    assert_eq!(fleet.contended_hosts(), 300);
    let (reporters, _age) = fleet.load_status(299);
    assert!(reporters >= 270, "{reporters}");
    let since = fleet.rig.now - Duration::from_secs(2);
    let recent = fleet
        .rig
        .load_sent
        .iter()
        .filter(|(at, _host, _bytes)| *at > since);
    let mut by_host = BTreeMap::new();
    for (_at, host, bytes) in recent {
        *by_host.entry(*host).or_insert(0) += bytes / 2;
    }
    let aggregators = fleet.aggregators();
    println!(
        "bytes per second of the aggregators {aggregators:?}: {:?}",
        by_host.get(&aggregators[0])
    );
    // Hosts of a zone this large may differ in which hosts they regard as alive.
    assert!(aggregators.len() <= 2);
    for (host, bytes) in by_host {
        assert!(
            bytes <= 25_000 || aggregators.contains(&host),
            "host {host}: {bytes}"
        );
    }
}

/// Guards against hosts that keep a service contended by reporting alone: the load falls to half of
/// the slots, and each host has one flow.
#[test]
fn test_contention_of_a_zone_ends_with_its_load() {
    let mut fleet = LoadFleet::new(8, &[6; 4]);
    fleet.run_flows(3000);
    assert_eq!(fleet.contended_hosts(), 8);
    fleet.flows.truncate(8);
    for (host, flow) in fleet.flows.iter_mut().enumerate() {
        flow.host = host;
    }
    fleet.run_flows(5500);
    assert_eq!(fleet.contended_hosts(), 0);
    let sent = fleet.rig.load_sent.len();
    fleet.run_flows(2000);
    assert_eq!(
        fleet.rig.load_sent.len(),
        sent,
        "nothing is sent after the contention"
    );
}

/// Guards against contention by two short errors that are more than a second apart.
#[test]
fn test_short_errors_far_apart_do_not_count_together() {
    for (pause, contended) in [(600, true), (1400, false)] {
        let mut rig = CoreRig::with_ledger(&[1, 2]);
        let mut flows = flows_to(&[2, 2]);
        run_flows(&mut rig, &mut flows, 1600);
        for _error in 0..2 {
            rig.packet(&flows[0].request());
            rig.packet(&flows[0].response(ERROR_BYTES));
            run_flows(&mut rig, &mut flows, pause);
        }
        assert_eq!(is_contended(&rig), contended, "{pause} ms apart");
    }
}

/// Guards against load datagrams while no service is contended.
#[test]
fn test_nothing_is_sent_without_contention() {
    let mut fleet = LoadFleet::new(8, &[1; 20]);
    fleet.rig.hosts[0].core.due_load_datagrams(fleet.rig.now);
    fleet.run_flows(3000);
    assert_eq!(fleet.contended_hosts(), 0);
    assert!(fleet.rig.load_sent.is_empty());
}
