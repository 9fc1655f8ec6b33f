//! Flows that pass through this host, and what their packets show.

pub mod flow_cost;
pub mod flow_evidence;
pub mod flow_load;
pub mod flow_table;
pub mod moving_mean;
pub mod route_habit;
