//! The operators' configuration and its lookup.

pub mod route_config;
pub mod route_table;
