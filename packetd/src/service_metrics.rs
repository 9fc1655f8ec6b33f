//! Counters and gauges by service, class and zone.
//!
//! Labels are bounded: a scrape shows services with routes only, and removes what was counted for others.

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

/// The metrics of services.
#[derive(Default)]
pub struct ServiceMetrics {
    deferred: Family<ClassLabels, Counter>,
    refused: Family<ClassLabels, Counter>,
    contended: Family<ServiceLabels, ValueGauge>,
    pressure: Family<ServiceLabels, ValueGauge>,
    spill: Family<SpillLabels, ValueGauge>,
    /// The labels that `deferred` and `refused` have.
    classes: RefCell<BTreeSet<ClassLabels>>,
    /// The labels that `spill` has.
    zones: RefCell<BTreeSet<SpillLabels>>,
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

    /// Counts what an event says of a service.
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
        self.classes.borrow_mut().insert(labels);
    }

    /// Records the share of a service's new flows that leaves for a zone, in thousandths.
    fn set_spill(&self, service: &ServiceName, zone: &ZoneName, share: u32) {
        let labels = SpillLabels {
            service: service.to_string(),
            zone: zone.to_string(),
        };
        self.spill.get_or_create(&labels).set(share.into());
        self.zones.borrow_mut().insert(labels);
    }

    /// Sets the gauges to the present state, and removes what concerns services that have no route.
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
        self.classes.borrow_mut().retain(|labels| {
            let is_routed = routed.contains(labels.service.as_str());
            if !is_routed {
                self.deferred.remove(labels);
                self.refused.remove(labels);
            }
            is_routed
        });
        self.zones.borrow_mut().retain(|labels| {
            let is_routed = routed.contains(labels.service.as_str());
            if !is_routed {
                self.spill.remove(labels);
            }
            is_routed
        });
    }
}
