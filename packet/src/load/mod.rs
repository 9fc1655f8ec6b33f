//! What hosts know of the load of services and upstreams, and how they share it.

pub mod aggregator_choice;
pub mod load_report;
pub mod load_view;
pub mod report_store;
pub mod request_meter;
pub mod service_load;
pub mod service_room;
pub mod shed_detection;
pub mod zone_exchange;
pub mod zone_load;
