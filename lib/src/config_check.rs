//! Checks a whole published configuration, for faults that reject it and for warnings.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;

use smol_str::SmolStr;
use snafu::Snafu;

use crate::label_selector::LabelSelector;
use crate::label_syntax;
use crate::label_syntax::LabelError;
use crate::published_config::PublishedConfig;
use crate::published_config::ServiceDoc;
use crate::published_config::UpstreamDoc;
use crate::selector_parser::SelectorError;
use crate::settings_reader::write_faults;

/// A fault that rejects a whole published configuration.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ConfigFault {
    /// Two services or two upstreams have the same number.
    #[snafu(display("{kind} {second}: number {id} belongs to {first} too"))]
    NumberTaken {
        /// `service` or `upstream`.
        kind: &'static str,
        /// The number.
        id: u32,
        /// The first document with it.
        first: SmolStr,
        /// The second document with it.
        second: SmolStr,
    },
    /// Two services or two upstreams have the same name.
    #[snafu(display("{kind} {name}: the name stands here twice"))]
    NameTaken {
        /// `service` or `upstream`.
        kind: &'static str,
        /// The name.
        name: SmolStr,
    },
    /// Two services or two upstreams have the same address.
    #[snafu(display("{kind} {second}: address {address} belongs to {first} too"))]
    AddressTaken {
        /// `service` or `upstream`.
        kind: &'static str,
        /// The address.
        address: SocketAddr,
        /// The first document with it.
        first: SmolStr,
        /// The second document with it.
        second: SmolStr,
    },
    /// A selector cannot be parsed.
    #[snafu(display("service {service}: selector: {source}"))]
    Selector {
        /// The service of the selector.
        service: SmolStr,
        /// The parser's error.
        source: SelectorError,
    },
    /// An upstream has an invalid label.
    #[snafu(display("upstream {upstream}: label: {source}"))]
    Label {
        /// The upstream with the label.
        upstream: SmolStr,
        /// The parser's error.
        source: LabelError,
    },
    /// An upstream has no slots or no connections, so that it could never serve.
    #[snafu(display("upstream {upstream}: {field} must be more than zero"))]
    ZeroCapacity {
        /// The upstream.
        upstream: SmolStr,
        /// The field that is zero.
        field: &'static str,
    },
}

/// All faults of a configuration. Never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigFaults {
    /// The faults.
    pub faults: Vec<ConfigFault>,
}

impl fmt::Display for ConfigFaults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_faults(formatter, &self.faults)
    }
}

impl std::error::Error for ConfigFaults {}

/// A valid part of a configuration that is probably a mistake.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ConfigWarning {
    /// No upstream matches a service's selector.
    #[snafu(display("service {service}: no upstream matches its selector"))]
    ServiceEmpty {
        /// The service.
        service: SmolStr,
    },
    /// An upstream matches the selectors of more than one service.
    #[snafu(display("upstream {upstream}: matches the selectors of {} services: {}", services.len(), services.join(", ")))]
    UpstreamShared {
        /// The upstream.
        upstream: SmolStr,
        /// The services.
        services: Vec<String>,
    },
}

/// All faults of a configuration, those of services first; empty if the configuration is accepted.
pub fn config_faults(config: &PublishedConfig) -> Vec<ConfigFault> {
    let mut faults = Vec::new();
    check_services(&config.services, &mut faults);
    check_upstreams(&config.upstreams, &mut faults);
    faults
}

/// Warnings that an operator should review before publishing a configuration without faults.
pub fn config_warnings(config: &PublishedConfig) -> Vec<ConfigWarning> {
    let selectors: Vec<(&ServiceDoc, LabelSelector)> = config
        .services
        .iter()
        .filter_map(|doc| Some((doc, LabelSelector::parse(&doc.selector).ok()?)))
        .collect();
    let empty = selectors
        .iter()
        .filter(|(_doc, selector)| {
            let mut upstreams = config.upstreams.iter();
            !upstreams.any(|upstream| selector.matches(&upstream.labels))
        })
        .map(|(doc, _selector)| ConfigWarning::ServiceEmpty {
            service: doc.name.clone(),
        });
    let shared = config.upstreams.iter().filter_map(|upstream| {
        let services: Vec<String> = selectors
            .iter()
            .filter(|(_doc, selector)| selector.matches(&upstream.labels))
            .map(|(doc, _selector)| doc.name.to_string())
            .collect();
        (services.len() > 1).then(|| ConfigWarning::UpstreamShared {
            upstream: upstream.name.clone(),
            services,
        })
    });
    empty.chain(shared).collect()
}

fn check_services(docs: &[ServiceDoc], faults: &mut Vec<ConfigFault>) {
    let mut seen = SeenIdentities::new("service");
    for doc in docs {
        seen.check(doc.id, &doc.name, doc.address, faults);
        if let Err(source) = LabelSelector::parse(&doc.selector) {
            faults.push(ConfigFault::Selector {
                service: doc.name.clone(),
                source,
            });
        }
    }
}

fn check_upstreams(docs: &[UpstreamDoc], faults: &mut Vec<ConfigFault>) {
    let mut seen = SeenIdentities::new("upstream");
    for doc in docs {
        seen.check(doc.id, &doc.name, doc.address, faults);
        if let Err(source) = label_syntax::check_labels(&doc.labels) {
            faults.push(ConfigFault::Label {
                upstream: doc.name.clone(),
                source,
            });
        }
        for (field, value) in [("slots", doc.slots), ("connections", doc.connections)] {
            if value == 0 {
                faults.push(ConfigFault::ZeroCapacity {
                    upstream: doc.name.clone(),
                    field,
                });
            }
        }
    }
}

/// The numbers, names and addresses of the documents of one kind that were checked so far.
struct SeenIdentities<'doc> {
    kind: &'static str,
    numbers: HashMap<u32, &'doc SmolStr>,
    addresses: HashMap<SocketAddr, &'doc SmolStr>,
    names: HashSet<&'doc SmolStr>,
}

impl<'doc> SeenIdentities<'doc> {
    fn new(kind: &'static str) -> Self {
        Self {
            kind,
            numbers: HashMap::new(),
            addresses: HashMap::new(),
            names: HashSet::new(),
        }
    }

    fn check(
        &mut self,
        id: u32,
        name: &'doc SmolStr,
        address: SocketAddr,
        faults: &mut Vec<ConfigFault>,
    ) {
        let kind = self.kind;
        if let Some(first) = self.numbers.insert(id, name) {
            faults.push(ConfigFault::NumberTaken {
                kind,
                id,
                first: first.clone(),
                second: name.clone(),
            });
        }
        if !self.names.insert(name) {
            let name = name.clone();
            faults.push(ConfigFault::NameTaken { kind, name });
        }
        if let Some(first) = self.addresses.insert(address, name) {
            faults.push(ConfigFault::AddressTaken {
                kind,
                address,
                first: first.clone(),
                second: name.clone(),
            });
        }
    }
}
