//! The configuration that operators publish, and the route table built from it.

pub mod route_config;
pub mod route_table;
