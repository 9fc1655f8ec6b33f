//! Selection of upstreams and zones for new flows.

pub mod load_weight;
pub mod upstream_selection;
pub mod zone_spill;
