//! Tests of the metrics by service, class and zone, and of the services in a host's status.

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::ids::ClassRank;
use lagoonproxy_packet::load::load_state::ContentionState;
use lagoonproxy_packet::packet_action::DecisionEvent;
use lagoonproxy_packet::packet_status::ServiceStatus;
use lagoonproxy_packet::routes::route_config::RequestPriority;
use lagoonproxy_packet::routes::route_table::RequestClass;
use lagoonproxy_standin::packet_cluster::PacketCluster;
use lagoonproxy_standin::packet_cluster::ledger;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

use crate::program;
use crate::service_metrics::ServiceMetrics;

fn status(name: &str, contended: bool, pressure: u32) -> ServiceStatus {
    ServiceStatus {
        name: name.into(),
        contended,
        pressure,
        measured_ago: None,
        classes: Vec::new(),
    }
}

/// Returns the event of a flow that was deferred or refused by its class.
fn limited(service_name: &str, rank: ClassRank, deferred: bool) -> DecisionEvent {
    DecisionEvent::ClassLimited {
        caller: ledger(),
        service: ledger(),
        service_name: service_name.into(),
        transmission: 0,
        class: RequestClass {
            rank,
            classes: 4,
            priority: RequestPriority(9),
        },
        code: ResultCode::PriorityRefused,
        deferred,
        upstream: "i-1".into(),
        in_progress: 0,
        contention: ContentionState::default(),
        age: None,
        version: 1,
    }
}

fn spill(service: &str, share: u32) -> DecisionEvent {
    DecisionEvent::Spill {
        service: service.into(),
        zone: "b".into(),
        share,
        local_pressure: 3000,
        remote_pressure: 1000,
    }
}

/// Returns the sample lines of a scrape, sorted.
fn values(registry: &Registry) -> Vec<String> {
    let mut text = String::new();
    encode(&mut text, registry).expect("text");
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let mut values: Vec<String> = lines.map(str::to_owned).collect();
    values.sort();
    values
}

#[test]
fn test_metrics_are_by_service_class_and_zone() {
    let metrics = ServiceMetrics::default();
    let mut registry = Registry::default();
    metrics.register(&mut registry);
    for deferred in [true, true, false] {
        metrics.record(&limited("ledger", 1, deferred));
    }
    metrics.record(&limited("certs", 3, false));
    metrics.record(&spill("ledger", 50));
    metrics.record(&spill("ledger", 100));
    metrics.update(&[status("certs", false, 0), status("ledger", true, 2750)]);
    let expected = [
        r#"class_deferred_total{service="ledger",class="1"} 2"#,
        r#"class_refused_total{service="certs",class="3"} 1"#,
        r#"class_refused_total{service="ledger",class="1"} 1"#,
        r#"service_contended{service="certs"} 0"#,
        r#"service_contended{service="ledger"} 1"#,
        r#"service_pressure{service="certs"} 0"#,
        r#"service_pressure{service="ledger"} 2750"#,
        r#"spill_share{service="ledger",zone="b"} 100"#,
    ];
    assert_eq!(values(&registry), expected);
}

#[test]
fn test_services_without_routes_are_removed_from_metrics() {
    // Guards against a number of labels that grows with every service that has ever had a route.
    let metrics = ServiceMetrics::default();
    let mut registry = Registry::default();
    metrics.register(&mut registry);
    for number in 0..1000 {
        let service = format!("service-{number}");
        metrics.record(&limited(&service, 0, true));
        metrics.record(&spill(&service, 50));
        metrics.update(&[status(&service, true, 1000)]);
    }
    let expected = [
        r#"class_deferred_total{service="service-999",class="0"} 1"#,
        r#"service_contended{service="service-999"} 1"#,
        r#"service_pressure{service="service-999"} 1000"#,
        r#"spill_share{service="service-999",zone="b"} 50"#,
    ];
    assert_eq!(values(&registry), expected);
}

#[tokio::test]
async fn test_status_and_metrics_list_routed_services() {
    // Guards against gauges that are registered and never set.
    let cluster = PacketCluster::ready(program(), 1, 1).await;
    let calm = "lagoon_packet_service_contended{service=\"ledger\"} 0";
    cluster.hosts[0]
        .wait_for_metric("lagoon_packet_routes_version", |version| version > 0.0)
        .await;
    let text = cluster.hosts[0].page("/metrics").await;
    assert!(text.contains(calm), "{text}");
    assert!(
        !text.contains("lagoon_packet_class_"),
        "no flow was limited: {text}"
    );
    let text = cluster.hosts[0].page("/v1/status").await;
    let status: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(status["services"][0]["contended"], false, "{text}");
}

#[tokio::test]
async fn test_invalid_fields_reach_the_metrics_of_every_host() {
    // Guards against invalid fields that are counted only on the host that reads the store.
    let cluster = PacketCluster::ready(program(), 2, 1).await;
    let before: Vec<f64> = invalid_fields(&cluster).await;
    let config = br#"{"Version":9,"Routes":[{"Name":"r","Hostname":"198.18.0.1","Prefix":"/443/","RouteType":"safe","TimeoutMs":1500,"Priority":-1,"Service":"ledger"}],"Services":[{"Name":"ledger","MaxConnections":0}],"Limits":{"IdleTimeoutMs":15000}}"#;
    cluster.store.put_bytes("op/config", config);
    for host in &cluster.hosts {
        host.wait_for_metric("lagoon_packet_routes_version", |version| version == 9.0)
            .await;
    }
    let counted: Vec<f64> = invalid_fields(&cluster).await;
    let new: Vec<f64> = counted
        .iter()
        .zip(before)
        .map(|(now, then)| now - then)
        .collect();
    assert_eq!(new, [2.0, 2.0]);
    let text = cluster.hosts[1].page("/v1/status").await;
    let status: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let route = &status["routes"][0];
    assert_eq!(
        (&route["priority"], &route["timeout"]),
        (&serde_json::Value::Null, &1500.into())
    );
}

async fn invalid_fields(cluster: &PacketCluster) -> Vec<f64> {
    let mut counts = Vec::new();
    for host in &cluster.hosts {
        counts.push(host.metric("lagoon_packet_invalid_fields_total").await);
    }
    counts
}
