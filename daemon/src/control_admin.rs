//! The control daemon's metrics and last status for operators.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;

use lagoonproxy::byte_budget::TrafficClass;
use lagoonproxy::control_core::ControlCore;
use lagoonproxy::control_core::ControlStatus;
use lagoonproxy::result_code::ResultCode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use serde_json::Value;

use crate::admin_server::AdminSource;
use crate::daemon_metrics::encode_registry;

/// Labels of a counter by result code.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabels {
    code: u16,
    reason: String,
}

/// Labels of a gauge by message class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabels {
    class: &'static str,
}

type NumberGauge = Gauge<u64, AtomicU64>;

/// Metrics and status, shared by the daemon's event loop and the admin server.
pub struct ControlAdmin {
    registry: Registry,
    results: Family<ResultLabels, Counter>,
    sent_bytes: Family<ClassLabels, NumberGauge>,
    gauges: Vec<(ControlGauge, NumberGauge)>,
    status: Mutex<Option<ControlStatus>>,
}

/// A gauge: its name, its help text and the function that reads its value.
struct ControlGauge {
    name: &'static str,
    help: &'static str,
    read: fn(&ControlCore, &ControlStatus) -> u64,
}

const GAUGES: [ControlGauge; 13] = [
    ControlGauge {
        name: "config_version",
        help: "Configuration handed to the entry daemon",
        read: |_core, status| status.version,
    },
    ControlGauge {
        name: "config_through",
        help: "Revision up to which every change is held",
        read: |_core, status| status.through,
    },
    ControlGauge {
        name: "control_ready",
        help: "1 once a configuration was handed over",
        read: |_core, status| u64::from(status.ready),
    },
    ControlGauge {
        name: "control_reading",
        help: "1 while this host reads the platform for its zone",
        read: |_core, status| u64::from(status.reading),
    },
    ControlGauge {
        name: "platform_in_touch",
        help: "1 while the platform's last answer was good",
        read: |_core, status| u64::from(status.platform_in_touch),
    },
    ControlGauge {
        name: "platform_stale",
        help: "1 while the platform's last answer was older than what is held",
        read: |_core, status| u64::from(status.platform_stale),
    },
    ControlGauge {
        name: "platform_calls",
        help: "Calls made on the platform",
        read: |core, _status| core.feed().calls(),
    },
    ControlGauge {
        name: "platform_read_bytes",
        help: "Bytes exchanged with the platform",
        read: |core, _status| core.feed().bytes_read(),
    },
    ControlGauge {
        name: "control_links",
        help: "Links to other hosts",
        read: |_core, status| status.links as u64,
    },
    ControlGauge {
        name: "control_received_bytes",
        help: "Bytes received from other hosts",
        read: |core, _status| core.relay().counts().bytes_received,
    },
    ControlGauge {
        name: "control_held_back",
        help: "Messages that waited for the byte budget",
        read: |core, _status| core.relay().budget().held_back(),
    },
    ControlGauge {
        name: "config_mixed",
        help: "States handed over although some keys were ahead of others",
        read: |_core, status| status.mixed,
    },
    ControlGauge {
        name: "config_refused",
        help: "Published states refused whole",
        read: |_core, status| status.refused,
    },
];

impl Default for ControlAdmin {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("lagoon");
        let results = Family::default();
        let sent_bytes = Family::default();
        registry.register("results", "Results, by reason", results.clone());
        registry.register(
            "control_sent_bytes",
            "Bytes sent to other hosts, by what they were for",
            sent_bytes.clone(),
        );
        let mut gauges = Vec::new();
        for control_gauge in GAUGES {
            let gauge = NumberGauge::default();
            registry.register(control_gauge.name, control_gauge.help, gauge.clone());
            gauges.push((control_gauge, gauge));
        }
        Self {
            registry,
            results,
            sent_bytes,
            gauges,
            status: Mutex::default(),
        }
    }
}

impl ControlAdmin {
    /// Counts a result code.
    pub fn count_result(&self, code: ResultCode) {
        let labels = ResultLabels {
            code: code.number(),
            reason: format!("{code:?}"),
        };
        self.results.get_or_create(&labels).inc();
    }

    /// Updates the gauges and the status from the core.
    pub fn update(&self, core: &ControlCore) {
        let status = core.status();
        for (control_gauge, gauge) in &self.gauges {
            gauge.set((control_gauge.read)(core, &status));
        }
        for class in TrafficClass::ALL {
            let labels = ClassLabels {
                class: class_name(class),
            };
            let sent = core.relay().budget().sent(class);
            self.sent_bytes.get_or_create(&labels).set(sent);
        }
        *self.lock() = Some(status);
    }

    fn lock(&self) -> MutexGuard<'_, Option<ControlStatus>> {
        self.status
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

fn class_name(class: TrafficClass) -> &'static str {
    match class {
        TrafficClass::Announce => "announce",
        TrafficClass::Removal => "removal",
        TrafficClass::Change => "change",
        TrafficClass::Repair => "repair",
    }
}

impl AdminSource for ControlAdmin {
    fn metrics_text(&self) -> String {
        encode_registry(&self.registry)
    }

    fn unready_reason(&self) -> Option<String> {
        let ready = self.lock().as_ref().is_some_and(|status| status.ready);
        let reason = "neither the platform nor enough peers have given a configuration";
        (!ready).then(|| reason.to_owned())
    }

    fn status(&self) -> Value {
        serde_json::to_value(&*self.lock()).unwrap_or_default()
    }
}
