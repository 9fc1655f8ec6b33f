//! Test doubles of the systems around lagoonproxy, for tests and demonstrations; not shipped.
//!
//! They stand in for the platform, the upstreams, the callers, and the network fabric that spreads
//! the callers' datagrams over the entry hosts.

pub mod answer_content;
pub mod caller;
pub mod demo;
pub mod fabric;
pub mod key_store;
pub mod load_report;
pub mod load_run;
pub mod packet_caller;
pub mod packet_cluster;
pub mod packet_soak;
pub mod packet_store;
pub mod packet_upstream;
pub mod packet_wire;
pub mod peer_proxy;
pub mod platform;
pub mod platform_operator;
pub mod ready_wait;
pub mod relay_bench;
pub mod run_records;
pub mod service_time;
mod soak_caller;
mod soak_check;
mod soak_fault;
mod soak_log;
mod soak_schedule;
pub mod soak_state;
mod soak_upstream;
pub mod upstream;
pub mod upstream_core;
