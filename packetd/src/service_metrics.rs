//! Metrics by service, class and zone.
//!
//! The number of labels is bounded: a scrape removes those of services without a route.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::sync::atomic::AtomicU64;

use lagoonproxy::ids::ZoneName;
use lagoonproxy_packet::ids::ClassRank;
use lagoonproxy_packet::ids::ServiceName;
use lagoonproxy_packet::packet_action::DecisionEvent;
use lagoonproxy_packet::packet_status::ServiceStatus;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

type ValueGauge = Gauge<u64, AtomicU64>;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, EncodeLabelSet)]
struct ClassLabels {
    service: String,
    class: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, EncodeLabelSet)]
struct SpillLabels {
    service: String,
    zone: String,
}

/// The metrics of all services.
#[derive(Default)]
pub struct ServiceMetrics {
    /// SYNs deferred by their class.
    deferred: Family<ClassLabels, Counter>,
    /// New flows refused by their class.
    refused: Family<ClassLabels, Counter>,
    /// 1 for contended services, otherwise 0.
    contended: Family<ServiceLabels, ValueGauge>,
    /// Requests in progress per slot in the zone, in thousandths.
    pressure: Family<ServiceLabels, ValueGauge>,
    /// Share of new flows placed in another zone, in thousandths.
    spill: Family<SpillLabels, ValueGauge>,
    /// The labels in use by `deferred` and `refused`.
    class_labels: RefCell<BTreeSet<ClassLabels>>,
    /// The labels in use by `spill`.
    spill_labels: RefCell<BTreeSet<SpillLabels>>,
}

impl ServiceMetrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        let counters = [
            (
                "class_deferred",
                "Opening packets left to the next copy by their class",
                &self.deferred,
            ),
            (
                "class_refused",
                "New flows refused by their class",
                &self.refused,
            ),
        ];
        for (name, help, family) in counters {
            registry.register(name, help, family.clone());
        }
        let gauges = [
            (
                "service_contended",
                "1 if decisions for the service regard its load",
                &self.contended,
            ),
            (
                "service_pressure",
                "Requests in progress for each slot in the zone, in thousandths",
                &self.pressure,
            ),
        ];
        for (name, help, family) in gauges {
            registry.register(name, help, family.clone());
        }
        registry.register(
            "spill_share",
            "Share of new flows that leaves for another zone, in thousandths",
            self.spill.clone(),
        );
    }

    /// Records an event of a service. Events of other kinds are ignored.
    pub fn record(&self, event: &DecisionEvent) {
        match event {
            DecisionEvent::ClassLimited {
                service_name,
                class,
                deferred,
                ..
            } => self.count_limited(service_name, class.rank, *deferred),
            DecisionEvent::Spill {
                service,
                zone,
                share,
                ..
            } => self.set_spill(service, zone, *share),
            _ => {}
        }
    }

    /// Counts a flow that was deferred or refused by its class.
    fn count_limited(&self, service: &ServiceName, rank: ClassRank, deferred: bool) {
        let labels = ClassLabels {
            service: service.to_string(),
            class: rank.into(),
        };
        let family = if deferred {
            &self.deferred
        } else {
            &self.refused
        };
        family.get_or_create(&labels).inc();
        self.class_labels.borrow_mut().insert(labels);
    }

    /// Records the share of a service's new flows that are placed in a zone, in thousandths.
    fn set_spill(&self, service: &ServiceName, zone: &ZoneName, share: u32) {
        let labels = SpillLabels {
            service: service.to_string(),
            zone: zone.to_string(),
        };
        self.spill.get_or_create(&labels).set(share.into());
        self.spill_labels.borrow_mut().insert(labels);
    }

    /// Sets the gauges of the services that have a route, and removes the labels of all others.
    pub fn update(&self, statuses: &[ServiceStatus]) {
        self.contended.clear();
        self.pressure.clear();
        let mut routed: BTreeSet<&str> = BTreeSet::new();
        for status in statuses {
            routed.insert(status.name.as_str());
            let labels = ServiceLabels {
                service: status.name.to_string(),
            };
            let contended = self.contended.get_or_create(&labels);
            contended.set(status.contended.into());
            let pressure = self.pressure.get_or_create(&labels);
            pressure.set(status.pressure.into());
        }
        self.class_labels.borrow_mut().retain(|labels| {
            let is_routed = routed.contains(labels.service.as_str());
            if !is_routed {
                self.deferred.remove(labels);
                self.refused.remove(labels);
            }
            is_routed
        });
        self.spill_labels.borrow_mut().retain(|labels| {
            let is_routed = routed.contains(labels.service.as_str());
            if !is_routed {
                self.spill.remove(labels);
            }
            is_routed
        });
    }
}
