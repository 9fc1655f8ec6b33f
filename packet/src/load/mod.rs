//! Measures the load of services and upstreams and exchanges it between hosts and zones.
//!
//! - The pressure of a service is the number of its requests in progress per slot of its upstreams.
//! - A service is contended while its callers need about as much capacity as its upstreams have, or
//!   more. Hosts exchange load and take it into account for contended services only.
//! - A shed is a request that a busy upstream rejects with a short error without executing it.
//! - The aggregator of a zone receives the load reports of its hosts and sends a digest to them.

pub mod aggregator_choice;
pub mod load_report;
pub mod load_state;
pub mod load_tracker;
pub mod report_store;
pub mod request_meter;
pub mod service_tracker;
pub mod shed_detection;
pub mod zone_exchange;
pub mod zone_load;
