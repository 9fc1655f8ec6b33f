//! What hosts know of the load of services and upstreams, and how they share it.

pub mod load_report;
pub mod load_view;
pub mod service_room;
pub mod zone_exchange;
pub mod zone_load;
