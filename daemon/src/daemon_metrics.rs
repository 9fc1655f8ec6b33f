//! Counters and gauges of the entry daemon in the Prometheus text format.

use std::sync::atomic::AtomicU64;

use lagoonproxy::host_status::HostStatus;
use lagoonproxy::result_code::ResultCode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Labels of a counter by result code.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabels {
    code: u16,
    reason: String,
}

/// Labels of a counter by link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LinkLabels {
    link: &'static str,
}

/// The links of an entry host, by the other side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramLink {
    /// Callers.
    Caller,
    /// Other entry hosts.
    Peer,
    /// Upstreams.
    Upstream,
}

/// Byte counters of one link.
struct LinkCounters {
    received: Counter,
    sent: Counter,
}

impl DatagramLink {
    /// All links in order of discriminant.
    const ALL: [Self; 3] = [Self::Caller, Self::Peer, Self::Upstream];

    fn label(self) -> LinkLabels {
        let link = match self {
            Self::Caller => "caller",
            Self::Peer => "peer",
            Self::Upstream => "upstream",
        };
        LinkLabels { link }
    }
}

/// The metrics of an entry daemon.
pub struct EntryMetrics {
    registry: Registry,
    results: Family<ResultLabels, Counter>,
    retries: Family<ResultLabels, Counter>,
    received_bytes: Family<LinkLabels, Counter>,
    sent_bytes: Family<LinkLabels, Counter>,
    /// The counters of the two families above, indexed by link. A lookup in a family would take a
    /// lock for each datagram.
    link_counters: [LinkCounters; DatagramLink::ALL.len()],
    config_version: Gauge<u64, AtomicU64>,
    hosts_alive: Gauge<u64, AtomicU64>,
    flows: Gauge<u64, AtomicU64>,
    requests: Gauge<u64, AtomicU64>,
    draining: Gauge<u64, AtomicU64>,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let received_bytes = Family::<LinkLabels, Counter>::default();
        let sent_bytes = Family::<LinkLabels, Counter>::default();
        let link_counters = DatagramLink::ALL.map(|link| LinkCounters {
            received: received_bytes.get_or_create_owned(&link.label()),
            sent: sent_bytes.get_or_create_owned(&link.label()),
        });
        let mut metrics = Self {
            registry: Registry::with_prefix("lagoon"),
            results: Family::default(),
            retries: Family::default(),
            received_bytes,
            sent_bytes,
            link_counters,
            config_version: Gauge::default(),
            hosts_alive: Gauge::default(),
            flows: Gauge::default(),
            requests: Gauge::default(),
            draining: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl EntryMetrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        let counters = [
            (
                "results",
                "Refusals and dropped datagrams, by reason",
                &self.results,
            ),
            (
                "retries",
                "Further attempts of requests, by reason",
                &self.retries,
            ),
        ];
        for (name, help, family) in counters {
            registry.register(name, help, family.clone());
        }
        let links = [
            (
                "received_bytes",
                "Bytes received, by link",
                &self.received_bytes,
            ),
            ("sent_bytes", "Bytes sent, by link", &self.sent_bytes),
        ];
        for (name, help, family) in links {
            registry.register(name, help, family.clone());
        }
        let gauges = [
            (
                "config_version",
                "Configuration in force",
                &self.config_version,
            ),
            (
                "hosts_alive",
                "Entry hosts believed alive",
                &self.hosts_alive,
            ),
            ("flows", "Flows owned", &self.flows),
            ("requests", "Requests without an outcome", &self.requests),
            ("draining", "1 while the host drains", &self.draining),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }

    /// Counts a rejected request or a dropped datagram.
    pub fn count_result(&self, code: ResultCode) {
        self.results.get_or_create(&result_labels(code)).inc();
    }

    /// Counts a further attempt of a request.
    pub fn count_retry(&self, code: ResultCode) {
        self.retries.get_or_create(&result_labels(code)).inc();
    }

    /// Counts the bytes of a received datagram.
    pub fn count_received(&self, link: DatagramLink, bytes: usize) {
        let counter = &self.link_counters[link as usize].received;
        counter.inc_by(bytes as u64);
    }

    /// Counts the bytes of a sent datagram.
    pub fn count_sent(&self, link: DatagramLink, bytes: usize) {
        let counter = &self.link_counters[link as usize].sent;
        counter.inc_by(bytes as u64);
    }

    /// Sets the gauges from a status.
    pub fn update(&self, status: &HostStatus) {
        self.config_version.set(status.config_version.unwrap_or(0));
        self.hosts_alive.set(status.hosts_alive as u64);
        self.flows.set(status.flows as u64);
        self.requests.set(status.requests as u64);
        self.draining.set(u64::from(status.draining));
    }

    /// Returns all metrics as text.
    pub fn text(&self) -> String {
        encode_registry(&self.registry)
    }
}

/// Returns the metrics of a registry as text. Writing to a string does not fail, so no error is
/// expected.
pub fn encode_registry(registry: &Registry) -> String {
    let mut text = String::new();
    if let Err(error) = encode(&mut text, registry) {
        log::error!("cannot encode metrics: {error}");
    }
    text
}

fn result_labels(code: ResultCode) -> ResultLabels {
    ResultLabels {
        code: code.number(),
        reason: format!("{code:?}"),
    }
}
