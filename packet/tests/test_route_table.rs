//! Tests of the ranks of priority classes, and of how routes appear in events and in the status.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use lagoonproxy_packet::packet_action::DecisionEvent;
use lagoonproxy_packet::packet_status::ClassStatus;
use lagoonproxy_packet::packet_status::PacketStatus;
use lagoonproxy_packet::packet_status::RouteStatus;
use lagoonproxy_packet::packet_status::ServiceStatus;
use lagoonproxy_packet::packet_status::service_statuses;
use lagoonproxy_packet::policy_config::PolicyConfig;
use lagoonproxy_packet::routes::route_config::FieldFault;
use lagoonproxy_packet::routes::route_config::FieldFaultReason;
use lagoonproxy_packet::routes::route_config::RequestKind;
use lagoonproxy_packet::routes::route_config::RequestPriority;
use lagoonproxy_packet::routes::route_config::RouteConfig;
use lagoonproxy_packet::routes::route_config::ServiceShare;
use lagoonproxy_packet::routes::route_table::MAX_CLASSES;
use lagoonproxy_packet::routes::route_table::RouteTable;
use lagoonproxy_packet::upstreams::upstream_table::UpstreamTable;

use crate::core_rig::CoreRig;
use crate::core_rig::ZONE;
use crate::core_rig::default_routes;
use crate::core_rig::entry;
use crate::core_rig::routes;
use crate::core_rig::routes_item;
use crate::core_rig::settings;

/// A route: its priority, and its services with their weights.
type RouteCase = (Option<u32>, &'static [(&'static str, u32)]);

/// Rank and number of classes; `None` if the route does not lead to the service.
type ClassCase = Option<(u8, u8)>;

/// Returns the address of the route with this index.
fn address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8000 + index as u16)
}

/// Returns a configuration with these routes.
fn config(cases: &[RouteCase]) -> RouteConfig {
    let addresses: Vec<_> = (0..cases.len()).map(|index| (address(index), "")).collect();
    let mut config = routes(1, &addresses);
    for (route, (priority, shares)) in config.routes.iter_mut().zip(cases) {
        route.priority = priority.map_or(RequestPriority::LEAST_URGENT, RequestPriority);
        let shares = shares.iter().map(|(service, weight)| ServiceShare {
            service: (*service).into(),
            weight: *weight,
        });
        route.shares = shares.collect();
    }
    config
}

/// Creates a table without upstreams.
fn upstream_table() -> UpstreamTable {
    UpstreamTable::new(
        ZONE.into(),
        settings().max_flow_age,
        PolicyConfig::default(),
    )
}

/// Returns the rank and the number of classes of a route at a service; `None` if the route does not
/// lead to the service.
fn class_of(
    table: &RouteTable,
    upstreams: &mut UpstreamTable,
    index: usize,
    service: &str,
) -> Option<(u8, u8)> {
    let service = upstreams.service(&service.into());
    let class = table.class(address(index), service)?;
    Some((class.rank, class.classes))
}

#[test]
fn test_classes_are_ranked_by_service() {
    struct Case {
        name: &'static str,
        routes: &'static [RouteCase],
        /// Index of the route, name of the service, and class of the route at the service.
        classes: &'static [(usize, &'static str, ClassCase)],
    }
    let cases = [
        Case {
            name: "two priorities",
            routes: &[(Some(7), &[("s", 1)]), (Some(2), &[("s", 1)])],
            classes: &[(0, "s", Some((1, 2))), (1, "s", Some((0, 2)))],
        },
        Case {
            name: "all routes of the same priority",
            routes: &[(Some(5), &[("s", 1)]), (Some(5), &[("s", 1)])],
            classes: &[(0, "s", Some((0, 1))), (1, "s", Some((0, 1)))],
        },
        Case {
            name: "no priority",
            routes: &[(None, &[("s", 1)])],
            classes: &[(0, "s", Some((0, 1)))],
        },
        Case {
            name: "no priority ranks after any priority",
            routes: &[(None, &[("s", 1)]), (Some(9), &[("s", 1)])],
            classes: &[(0, "s", Some((1, 2))), (1, "s", Some((0, 2)))],
        },
        Case {
            name: "the least urgent of five priorities share the last rank",
            routes: &[
                (Some(0), &[("s", 1)]),
                (Some(1), &[("s", 1)]),
                (Some(2), &[("s", 1)]),
                (Some(3), &[("s", 1)]),
                (Some(4), &[("s", 1)]),
            ],
            classes: &[
                (0, "s", Some((0, 4))),
                (1, "s", Some((1, 4))),
                (2, "s", Some((2, 4))),
                (3, "s", Some((3, 4))),
                (4, "s", Some((3, 4))),
            ],
        },
        Case {
            name: "an unused route takes a rank",
            routes: &[(Some(3), &[("s", 1)]), (Some(0), &[("s", 1)])],
            classes: &[(0, "s", Some((1, 2)))],
        },
        Case {
            name: "a route with two services has a rank at each",
            routes: &[
                (Some(1), &[("s", 90), ("t", 10)]),
                (Some(0), &[("s", 1)]),
                (Some(2), &[("t", 1)]),
            ],
            classes: &[
                (0, "s", Some((1, 2))),
                (0, "t", Some((0, 2))),
                (1, "t", None),
                (2, "t", Some((1, 2))),
            ],
        },
        Case {
            name: "a share without weight adds no class",
            routes: &[(Some(0), &[("s", 0), ("t", 1)]), (Some(1), &[("s", 1)])],
            classes: &[
                (0, "s", None),
                (0, "t", Some((0, 1))),
                (1, "s", Some((0, 1))),
            ],
        },
    ];
    for case in cases {
        let mut upstreams = upstream_table();
        let table = RouteTable::new(&config(case.routes), &mut upstreams);
        for (index, service, expected) in case.classes {
            let class = class_of(&table, &mut upstreams, *index, service);
            assert_eq!(class, *expected, "{}: {index} at {service}", case.name);
            let ranks = class.map_or(0, |(rank, _classes)| usize::from(rank));
            assert!(ranks < MAX_CLASSES, "{}", case.name);
        }
    }
}

#[test]
fn test_new_configuration_changes_ranks() {
    // Guards against ranks that are kept from the previous configuration.
    let mut upstreams = upstream_table();
    let before: &[RouteCase] = &[(Some(0), &[("s", 1)]), (Some(1), &[("s", 1)])];
    let after: &[RouteCase] = &[(Some(4), &[("s", 1)]), (Some(1), &[("s", 1)])];
    let table = RouteTable::new(&config(before), &mut upstreams);
    assert_eq!(class_of(&table, &mut upstreams, 0, "s"), Some((0, 2)));
    let table = RouteTable::new(&config(after), &mut upstreams);
    assert_eq!(class_of(&table, &mut upstreams, 0, "s"), Some((1, 2)));
    assert_eq!(class_of(&table, &mut upstreams, 1, "s"), Some((0, 2)));
}

/// Returns the fault of an invalid priority.
fn field_fault() -> FieldFault {
    FieldFault {
        field: "Priority".into(),
        reason: FieldFaultReason::Invalid,
        owner: "r-1".into(),
        value: "-1".into(),
        count: 2,
    }
}

#[test]
fn test_invalid_fields_are_reported_once_per_configuration() {
    // Guards against a fault that is not reported, and against one that is reported again with each
    // list of the store.
    let faulty = |version| RouteConfig {
        field_faults: vec![field_fault()],
        ..default_routes(version)
    };
    let mut rig = CoreRig::with_ledger(&[1]);
    rig.publish(|revision| routes_item(revision, faulty(2)));
    rig.publish(|revision| routes_item(revision, faulty(2)));
    rig.publish(|revision| routes_item(revision, faulty(3)));
    rig.publish(|revision| routes_item(revision, default_routes(4)));
    let reported = rig.events.iter().filter_map(|event| match event {
        DecisionEvent::RouteFieldIgnored { version, fault } => Some((*version, fault.clone())),
        _ => None,
    });
    let reported: Vec<(u64, FieldFault)> = reported.collect();
    assert_eq!(reported, [(2, field_fault()), (3, field_fault())]);
}

#[test]
fn test_status_contains_the_routes_in_force() {
    let mut config = config(&[(Some(2), &[("s", 90), ("t", 10)]), (None, &[("t", 1)])]);
    config.routes[0].kind = RequestKind::Idempotent;
    config.routes[0].timeout = Some(Duration::from_secs(2));
    config.routes[1].target = None;
    config.version = 2;
    let mut rig = CoreRig::with_ledger(&[1]);
    rig.publish(|revision| routes_item(revision, config.clone()));
    let status = PacketStatus::of(&rig.core, rig.now);
    let first = RouteStatus {
        address: address(0),
        priority: Some(2),
        kind: RequestKind::Idempotent,
        timeout: Some(Duration::from_secs(2)),
        target: Some(Duration::from_millis(150)),
        services: config.routes[0].shares.clone(),
    };
    let second = RouteStatus {
        address: address(1),
        priority: None,
        kind: RequestKind::Unknown,
        timeout: None,
        target: None,
        services: config.routes[1].shares.clone(),
    };
    assert_eq!(status.routes, [first, second]);
}

#[test]
fn test_status_contains_only_services_with_routes() {
    // Guards against metric labels of services without routes, and against classes that differ from
    // those used for admission.
    let mut config = config(&[
        (Some(4), &[("t", 1), ("unused", 0)]),
        (Some(1), &[("s", 90), ("t", 10)]),
        (Some(2), &[("t", 1)]),
        (Some(3), &[("t", 1)]),
        (None, &[("t", 1)]),
    ]);
    config.version = 2;
    let mut rig = CoreRig::with_entries(vec![
        entry(1, "s"),
        entry(2, "unrouted"),
        entry(3, "unused"),
    ]);
    rig.publish(|revision| routes_item(revision, config.clone()));
    let status = |name: &str, classes: &[&[Option<u32>]]| ServiceStatus {
        name: name.into(),
        contended: false,
        pressure: 0,
        measured_ago: None,
        classes: classes
            .iter()
            .zip(0..)
            .map(|(priorities, rank)| ClassStatus {
                rank,
                priorities: priorities.to_vec(),
            })
            .collect(),
    };
    let last: &[Option<u32>] = &[Some(4), None];
    let expected = [
        status("s", &[&[Some(1)]]),
        status("t", &[&[Some(1)], &[Some(2)], &[Some(3)], last]),
    ];
    assert_eq!(service_statuses(&rig.core, rig.now), expected);
    assert_eq!(PacketStatus::of(&rig.core, rig.now).services, expected);
    let mut upstreams = upstream_table();
    let table = RouteTable::new(&config, &mut upstreams);
    let ranks: Vec<Option<(u8, u8)>> = (0..5)
        .map(|index| class_of(&table, &mut upstreams, index, "t"))
        .collect();
    let expected = [3, 0, 1, 2, 3].map(|rank| Some((rank, 4)));
    assert_eq!(ranks, expected);
}
