//! Experiments and benchmarks; not shipped.

pub mod control_lab;
pub mod lab_config;
pub mod lab_platform;
pub mod lab_scenario;
