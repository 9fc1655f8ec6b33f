//! Experiments and benchmarks; not shipped.

pub mod control_lab;
pub mod lab_check;
pub mod lab_config;
pub mod lab_platform;
pub mod lab_plot;
pub mod lab_scenario;
mod lab_table;
