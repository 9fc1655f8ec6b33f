//! Flows that pass through this host, and what their packets reveal about upstreams.

pub mod flow_cost;
pub mod flow_load;
pub mod flow_table;
pub mod flow_tracker;
pub mod moving_mean;
pub mod route_stats;
