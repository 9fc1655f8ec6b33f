//! Tests of reports and digests: their contents, their length, and arbitrary input.

use lagoonproxy_packet::ids::FlowTag;
use lagoonproxy_packet::load::load_report::LoadDigest;
use lagoonproxy_packet::load::load_report::LoadReport;
use lagoonproxy_packet::load::load_report::RequestRates;
use lagoonproxy_packet::load::load_report::ServiceDigest;
use lagoonproxy_packet::load::load_report::ServiceReport;
use lagoonproxy_packet::load::load_report::service_tag;
use lagoonproxy_packet::load::request_meter::ClassCounts;
use lagoonproxy_packet::load::request_meter::RequestCounts;
use lagoonproxy_packet::peers::peer_datagram::PeerDatagram;
use lagoonproxy_packet::routes::route_config::RequestPriority;
use lagoonproxy_packet::upstreams::upstream_entry::UpstreamEntry;
use lagoonproxy_packet::upstreams::upstream_table::flow_tag;
use proptest::prelude::*;

use crate::core_rig::*;
use crate::load_rig::*;

/// Target number of upstreams of a service.
const UPSTREAM_COUNT: u32 = 5000;

/// Returns a host with `count` upstreams of the `ledger` service.
fn rig_with(count: u32) -> CoreRig {
    let entries = (0..count).map(|number| UpstreamEntry {
        name: format!("many-{number}").into(),
        number: number.into(),
        ..entry(1, "ledger")
    });
    CoreRig::with_entries(entries.collect())
}

fn numbered_tag(number: u32) -> FlowTag {
    flow_tag(&format!("many-{number}").into())
}

/// Returns the last digest that a host sends within 0.3 s, and its encoded length.
fn next_digest(rig: &mut CoreRig) -> (LoadDigest, usize) {
    let sent = datagrams_sent_within(rig, 300);
    let mut digests = sent.iter().filter_map(|sent| match &sent.datagram {
        PeerDatagram::Digest(digest) => Some((digest.clone(), sent)),
        _ => None,
    });
    let (digest, sent) = digests.next_back().expect("the host aggregates");
    let bytes = sent.datagram.encode().expect("encoded").len();
    (digest, bytes)
}

/// Guards against digests that exceed the maximum length of a datagram, and against the loss of the
/// load of upstreams that a digest does not list.
#[test]
fn test_digest_of_many_upstreams_fits_a_datagram() {
    let mut rig = rig_with(UPSTREAM_COUNT);
    receive_heartbeats(&mut rig, 50);
    rig.advance_time(100);
    for host in 0..50 {
        let first = u32::from(host) * 100;
        let upstreams: Vec<(FlowTag, RequestCounts)> = (first..first + 100)
            .map(|number| {
                let answered = 10 + number % 7;
                let counts = RequestCounts {
                    time: answered * (200 + number / 2),
                    answered,
                    shed: number % 3,
                };
                (numbered_tag(number), counts)
            })
            .collect();
        let mut requests = RequestCounts::default();
        for (_tag, counts) in &upstreams {
            requests.add(*counts);
        }
        let counts = ClassCounts {
            asked: 300,
            placed: 280,
            deferred: 300,
            refused: 40,
            answered: 1300,
            shed: 100,
        };
        let report = LoadReport {
            sequence: 1,
            span: 250,
            services: vec![ServiceReport {
                service: service_tag(&"ledger".into()),
                requests,
                classes: (0..4)
                    .map(|class| (RequestPriority(class), counts))
                    .collect(),
                upstreams,
            }],
        };
        rig.core.handle_load_report(rig.now, peer(host), &report);
    }
    let (digest, bytes) = next_digest(&mut rig);
    assert_eq!(rig.core.load().rejections(), 0);
    assert!((1250..=1400).contains(&bytes), "{bytes}");
    assert_eq!(digest.reporters, 50);
    let service = &digest.services[0];
    let count = service.upstreams.len() as u32;
    assert!((60..=110).contains(&count), "{count}");
    assert_eq!(count + service.others, UPSTREAM_COUNT);
    assert_eq!(service.classes.len(), 4);
    let listed: u64 = service
        .upstreams
        .iter()
        .map(|(_tag, rates)| rates.in_progress)
        .sum();
    let sum = (listed + service.rest.in_progress) / (2 * u64::from(UPSTREAM_COUNT));
    assert!(
        sum.abs_diff(service.pressure.into()) <= 1,
        "{sum}, {}",
        service.pressure
    );
    let least = service
        .upstreams
        .iter()
        .map(|(_tag, rates)| rates.in_progress)
        .min();
    let mean = service.rest.in_progress / u64::from(service.others);
    assert!(least > Some(mean), "listed upstreams have the most load");
    rig.advance_time(100);
    let load = |rig: &CoreRig, tag| {
        let upstreams = rig.core.upstreams();
        upstreams
            .get(upstreams.by_tag(tag).expect("known"))
            .load
            .in_progress
    };
    let (tag, rates) = service.upstreams[0];
    let scaled = rates.in_progress * 51 / 50;
    assert_eq!(u64::from(load(&rig, tag)), scaled, "listed upstream");
    assert_eq!(
        u64::from(load(&rig, numbered_tag(0))),
        mean * 51 / 50,
        "upstream that is not listed"
    );
}

/// Guards against reports that exceed the maximum length of a datagram, with requests at 900
/// upstreams of 60 services.
#[test]
fn test_report_of_many_upstreams_fits_a_datagram() {
    let entries = (0..900_u32).map(|number| UpstreamEntry {
        name: format!("many-{number}").into(),
        number: number.into(),
        ..entry(1, &format!("service-{}", number % 60))
    });
    let mut rig = CoreRig::with_entries(entries.collect());
    let addresses = (0..60_u8).map(|number| {
        let address = std::net::SocketAddrV4::new([198, 18, 1, number].into(), 443);
        (address, format!("service-{number}"))
    });
    let addresses: Vec<_> = addresses.collect();
    let names: Vec<_> = addresses
        .iter()
        .map(|(address, name)| (*address, name.as_str()))
        .collect();
    let config = routes(2, &names);
    rig.publish(|revision| routes_item(revision, config));
    let mut longest = 0;
    let mut reports = 0;
    let mut flows: Vec<LoadFlow> = (0..1800)
        .map(|number| LoadFlow::new(number, 0, 0))
        .collect();
    for round in 0..60 {
        // A peer with more capacity is selected as the aggregator, so that this host sends reports.
        if round % 10 == 0 {
            receive_heartbeat(&mut rig, 9, 900);
        }
        for is_request in [true, false] {
            for flow in &mut flows {
                let number = u32::from(flow.number) % 900;
                let mut head = match is_request {
                    true => flow.request(),
                    false => flow.response(RESPONSE_BYTES),
                };
                head.tag = numbered_tag(number);
                head.service = addresses[number as usize % 60].0;
                rig.packet(&head);
            }
            rig.advance_time(if is_request { 90 } else { 10 });
        }
        for sent in rig.core.due_load_datagrams(rig.now) {
            if let PeerDatagram::Load(report) = &sent.datagram {
                reports += 1;
                longest = longest.max(sent.datagram.encode().expect("encoded").len());
                assert!(report.is_valid(&Default::default()));
            }
        }
    }
    assert!(reports > 3, "{reports}");
    assert!((1200..=1400).contains(&longest), "{longest}");
}

fn request_counts() -> impl Strategy<Value = RequestCounts> {
    let narrow = (0..20_000_u32, 0..200_u32, 0..20_u32);
    let wide = (any::<u32>(), any::<u32>(), any::<u32>());
    prop_oneof![4 => narrow, 1 => wide].prop_map(|(time, answered, shed)| RequestCounts {
        time,
        answered,
        shed,
    })
}

fn class_counts() -> impl Strategy<Value = (RequestPriority, ClassCounts)> {
    let count = || prop_oneof![0..100_u64, any::<u64>()];
    (0..6_u32, count(), count(), count()).prop_map(|(priority, asked, placed, answered)| {
        let counts = ClassCounts {
            asked,
            placed,
            answered,
            ..ClassCounts::default()
        };
        (RequestPriority(priority), counts)
    })
}

fn service() -> impl Strategy<Value = u32> {
    let known = [service_tag(&"ledger".into()), service_tag(&"certs".into())];
    prop_oneof![3 => prop::sample::select(known.to_vec()), 1 => any::<u32>()]
}

fn upstream() -> impl Strategy<Value = FlowTag> {
    prop_oneof![3 => (1..4_u8).prop_map(tag), 1 => any::<u32>()]
}

fn report() -> impl Strategy<Value = LoadReport> {
    let part = (
        service(),
        request_counts(),
        prop::collection::vec(class_counts(), 0..6),
        prop::collection::vec((upstream(), request_counts()), 0..4),
    );
    let part = part.prop_map(|(service, requests, classes, upstreams)| ServiceReport {
        service,
        requests,
        classes,
        upstreams,
    });
    let span = prop_oneof![4 => Just(250), 1 => any::<u32>()];
    (any::<u64>(), span, prop::collection::vec(part, 0..3)).prop_map(
        |(sequence, span, services)| LoadReport {
            sequence,
            span,
            services,
        },
    )
}

fn request_rates() -> impl Strategy<Value = RequestRates> {
    let narrow = (0..20_000_u64, 0..90_000_u64, 0..20_u64);
    let wide = (any::<u64>(), any::<u64>(), any::<u64>());
    prop_oneof![4 => narrow, 1 => wide].prop_map(|(in_progress, answered, shed)| RequestRates {
        in_progress,
        answered,
        shed,
    })
}

fn digest() -> impl Strategy<Value = LoadDigest> {
    let part = (
        service(),
        prop_oneof![0..4_u32, any::<u32>()],
        any::<bool>(),
        prop_oneof![0..9000_u32, any::<u32>()],
        prop_oneof![0..1100_u32, any::<u32>()],
        prop::collection::vec((upstream(), request_rates()), 0..4),
        prop_oneof![0..4_u32, any::<u32>()],
        request_rates(),
    );
    let part = part.prop_map(|part| ServiceDigest {
        service: part.0,
        reporters: part.1,
        is_contended: part.2,
        pressure: part.3,
        shed_share: part.4,
        classes: Vec::new(),
        upstreams: part.5,
        others: part.6,
        rest: part.7,
    });
    let reporters = prop_oneof![0..4_u32, any::<u32>()];
    (any::<u64>(), reporters, prop::collection::vec(part, 0..3)).prop_map(
        |(sequence, reporters, services)| LoadDigest {
            sequence,
            reporters,
            services,
            zones: Vec::new(),
        },
    )
}

/// Returns whether a report contains impossible counts according to the specification.
fn is_implausible(report: &LoadReport) -> bool {
    let sums = report.services.iter().map(|service| service.requests);
    let time: f64 = sums
        .clone()
        .map(|counts| f64::from(counts.time) / 10.0)
        .sum();
    let listed = report
        .services
        .iter()
        .flat_map(|service| &service.upstreams);
    let mut counts = sums.chain(listed.map(|(_tag, counts)| *counts));
    let too_slow = counts.any(|counts| u64::from(counts.time) > 5000 * u64::from(counts.answered));
    report.span == 0 || too_slow || time / f64::from(report.span) > 65_535.0
}

proptest! {
    /// Arbitrary input causes no panic, impossible reports are rejected, and all datagrams that the
    /// host then sends are valid and not too long.
    #[test]
    fn test_arbitrary_reports_and_digests_are_handled(
        reports in prop::collection::vec((0..4_u8, report()), 0..8),
        digests in prop::collection::vec((0..6_u8, digest()), 0..8),
    ) {
        let mut rig = CoreRig::with_ledger(&[1, 2, 3]);
        receive_heartbeats(&mut rig, 4);
        rig.advance_time(300);
        for (from, report) in &reports {
            let before = rig.core.load().rejections();
            rig.core.handle_load_report(rig.now, peer(*from), report);
            let rejected = rig.core.load().rejections() > before;
            prop_assert!(rejected || !is_implausible(report));
        }
        for (from, digest) in &digests {
            rig.core.handle_digest(rig.now, peer(*from), digest);
        }
        for sent in datagrams_sent_within(&mut rig, 600) {
            let bytes = sent.datagram.encode().expect("encoded");
            prop_assert!(bytes.len() <= 1400);
            prop_assert_eq!(PeerDatagram::decode(&bytes), Ok(sent.datagram));
        }
        rig.advance_time(6000);
    }

    /// Arbitrary bytes are either decoded or rejected.
    #[test]
    fn test_arbitrary_bytes_are_decoded_or_rejected(variant in 3..6_u8, bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let datagram: Vec<u8> = [7, variant].into_iter().chain(bytes).collect();
        let mut rig = CoreRig::with_ledger(&[1]);
        match PeerDatagram::decode(&datagram) {
            Ok(PeerDatagram::Load(report)) => rig.core.handle_load_report(rig.now, peer(0), &report),
            Ok(PeerDatagram::Digest(digest)) => rig.core.handle_digest(rig.now, peer(0), &digest),
            Ok(_) | Err(_) => {}
        }
        rig.advance_time(300);
    }
}
