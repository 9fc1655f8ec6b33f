//! Metrics of the packet path, in the text format of Prometheus.

use std::sync::atomic::AtomicU64;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::packet_core::PacketCore;
use lagoonproxy_packet::packet_status::service_statuses;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::service_metrics::ServiceMetrics;

/// Upper bounds of the histogram buckets in seconds. They cover the duration of a request, the time
/// after which a caller retransmits (0.2 s), and callers' timeouts.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.04, 0.08, 0.12, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4,
];

/// Labels of a counter by result code.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabels {
    code: u16,
    /// Name of the code.
    reason: String,
}

/// Labels of the counter of resets of open flows.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResetLabels {
    code: u16,
    /// State of the upstream's registration; empty if the upstream is not known.
    registration: &'static str,
}

/// The metrics of an entry host. Fields have the names under which they are exported.
pub struct HostMetrics {
    registry: Registry,
    /// Packets received from callers.
    pub received: Counter,
    /// Packets forwarded to upstreams.
    pub forwarded: Counter,
    /// Packets and datagrams that the socket did not accept.
    pub unsent: Counter,
    /// SYNs placed, including retransmissions.
    pub placed: Counter,
    /// Of these, hedged SYNs, which were sent to two upstreams.
    pub hedged: Counter,
    /// Of these, SYNs whose upstream the dispatcher of their service selected.
    pub dispatched: Counter,
    /// SYNs that were dropped, so that their callers retransmit them.
    pub deferred: Counter,
    /// Requests that callers retransmitted.
    pub repeated: Counter,
    /// Time from a request to the caller's first acknowledgement of the response, in seconds.
    pub answer_seconds: Histogram,
    /// Ejections of upstreams that did not respond.
    pub avoided: Counter,
    /// Ejections of upstreams whose requests failed.
    pub failing: Counter,
    /// Published items that could not be decoded.
    pub unreadable: Counter,
    /// Missing or invalid fields of routes and services.
    pub invalid_fields: Counter,
    /// Invalid load reports of peers.
    pub rejected_load_reports: Counter,
    /// The metrics of services.
    pub services: ServiceMetrics,
    /// State updates that were older than the state of this host, or did not continue it.
    pub rejected_updates: Counter,
    /// Packets that were not forwarded, and faults of peers, by result code.
    results: Family<ResultLabels, Counter>,
    /// Resets of open flows.
    open_flow_resets: Family<ResetLabels, Counter>,
    /// Calls to the store, by result code.
    store_calls: Family<ResultLabels, Counter>,
    /// Time between two responses of the store to this host, in seconds.
    store_response_gap_seconds: Histogram,
    routes_version: Gauge<u64, AtomicU64>,
    store_era: Gauge<u64, AtomicU64>,
    through: Gauge<u64, AtomicU64>,
    flows: Gauge<u64, AtomicU64>,
    reads: Gauge<u64, AtomicU64>,
    peers: Gauge<u64, AtomicU64>,
    evacuated_zones: Gauge<u64, AtomicU64>,
    evacuated_flows: Gauge<u64, AtomicU64>,
}

impl Default for HostMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("lagoon_packet"),
            received: Counter::default(),
            forwarded: Counter::default(),
            unsent: Counter::default(),
            placed: Counter::default(),
            hedged: Counter::default(),
            dispatched: Counter::default(),
            deferred: Counter::default(),
            repeated: Counter::default(),
            answer_seconds: Histogram::new(LATENCY_BUCKETS),
            avoided: Counter::default(),
            failing: Counter::default(),
            unreadable: Counter::default(),
            invalid_fields: Counter::default(),
            rejected_load_reports: Counter::default(),
            services: ServiceMetrics::default(),
            rejected_updates: Counter::default(),
            results: Family::default(),
            open_flow_resets: Family::default(),
            store_calls: Family::default(),
            store_response_gap_seconds: Histogram::new(LATENCY_BUCKETS),
            routes_version: Gauge::default(),
            store_era: Gauge::default(),
            through: Gauge::default(),
            flows: Gauge::default(),
            reads: Gauge::default(),
            peers: Gauge::default(),
            evacuated_zones: Gauge::default(),
            evacuated_flows: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl HostMetrics {
    /// Registers the metrics under their exported names.
    fn register(&mut self) {
        let registry = &mut self.registry;
        let counters = [
            ("received", "Packets received from callers", &self.received),
            ("forwarded", "Packets sent on to upstreams", &self.forwarded),
            ("unsent", "Packets that the network refused", &self.unsent),
            ("placed", "New flows placed, with copies", &self.placed),
            ("hedged", "New flows sent to two upstreams", &self.hedged),
            (
                "dispatched",
                "New flows placed by the dispatcher of their service",
                &self.dispatched,
            ),
            (
                "deferred",
                "Copies of opening packets left to the next",
                &self.deferred,
            ),
            ("repeated", "Requests sent again by callers", &self.repeated),
            ("avoided", "Upstreams avoided for silence", &self.avoided),
            (
                "failing",
                "Upstreams avoided for failing their requests",
                &self.failing,
            ),
            ("unreadable", "Published items unusable", &self.unreadable),
            (
                "invalid_fields",
                "Fields of routes and services unusable",
                &self.invalid_fields,
            ),
            (
                "rejected_load_reports",
                "Reports on load that held counts that cannot be",
                &self.rejected_load_reports,
            ),
            (
                "rejected_updates",
                "Updates older than the state, or not continuing it",
                &self.rejected_updates,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        let families = [
            ("results", "Packets not forwarded, by reason", &self.results),
            ("store_calls", "Calls of the store", &self.store_calls),
        ];
        for (name, help, family) in families {
            registry.register(name, help, family.clone());
        }
        registry.register(
            "open_flow_resets",
            "Open flows reset, by reason and registration of the upstream",
            self.open_flow_resets.clone(),
        );
        let gauges = [
            ("routes_version", "Routes in force", &self.routes_version),
            (
                "store_era",
                "How often the store has come back from a copy",
                &self.store_era,
            ),
            (
                "through",
                "Revision read up to, within the era",
                &self.through,
            ),
            ("flows", "Flows watched", &self.flows),
            (
                "reads",
                "1 if this host reads the store for its zone",
                &self.reads,
            ),
            ("peers", "Other hosts heard of late", &self.peers),
            (
                "evacuated_zones",
                "Zones that get no new flows",
                &self.evacuated_zones,
            ),
            (
                "evacuated_flows",
                "Open flows to upstreams of evacuated zones",
                &self.evacuated_flows,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        self.services.register(registry);
        registry.register(
            "answer_seconds",
            "From a request to its answer's first acknowledgement",
            self.answer_seconds.clone(),
        );
        registry.register(
            "store_response_gap_seconds",
            "Between two answers of the store to this host",
            self.store_response_gap_seconds.clone(),
        );
    }

    /// Counts a packet that was not forwarded, or a fault of a peer, by its result code.
    pub fn count_result(&self, code: ResultCode) {
        self.results.get_or_create(&result_labels(code)).inc();
    }

    /// Counts a reset of an open flow by its result code and the state of its upstream's
    /// registration.
    pub fn count_open_flow_reset(&self, code: ResultCode, registration: &'static str) {
        let labels = ResetLabels {
            code: code.number(),
            registration,
        };
        self.open_flow_resets.get_or_create(&labels).inc();
    }

    /// Counts a call to the store by its result code.
    pub fn count_store_call(&self, code: ResultCode) {
        self.store_calls.get_or_create(&result_labels(code)).inc();
    }

    /// Records the time between two responses of the store to this host.
    pub fn observe_response_gap(&self, gap: Duration) {
        self.store_response_gap_seconds.observe(gap.as_secs_f64());
    }

    /// Sets the gauges to the state of the core, and returns all metrics as text.
    pub fn text(&self, core: &PacketCore, now: Instant) -> String {
        let routes = core.snapshot().routes();
        self.routes_version
            .set(routes.map_or(0, |routes| routes.version));
        let through = core.snapshot().through();
        self.store_era.set(through.era);
        self.through.set(through.revision);
        self.reads.set(u64::from(core.reads()));
        self.peers.set(core.peers().live_hosts(now) as u64);
        self.flows.set(core.flow_tracker().open_flows() as u64);
        let upstreams = core.upstreams();
        let flows = upstreams.evacuated_flows();
        self.evacuated_zones.set(flows.len() as u64);
        self.evacuated_flows.set(flows.values().sum::<u32>().into());
        self.services.update(&service_statuses(core, now));
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::error!("cannot encode metrics: {error}");
        }
        text
    }
}

fn result_labels(code: ResultCode) -> ResultLabels {
    ResultLabels {
        code: code.number(),
        reason: format!("{code:?}"),
    }
}
