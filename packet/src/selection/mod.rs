//! Selection of upstreams for new flows.

pub mod room_weight;
pub mod upstream_selection;
pub mod zone_spill;
