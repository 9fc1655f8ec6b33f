//! The upstreams that a host knows, their registrations, and evacuated zones.

pub mod restored_upstreams;
pub mod upstream_entry;
pub mod upstream_record;
pub mod upstream_table;
pub mod zone_evacuation;
