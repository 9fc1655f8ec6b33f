//! Experiments and benchmarks of the decisions; not shipped.

pub mod flow_cell;
pub mod placement_scheme;
