//! Stand-ins for what lies outside lagoonproxy, for tests and demonstrations; not shipped.
//!
//! The platform, upstreams, and callers behind a fabric that sprays datagrams over entry hosts.

pub mod answer_content;
pub mod caller;
pub mod demo;
pub mod fabric;
pub mod key_store;
pub mod load_report;
pub mod load_run;
pub mod packet_caller;
pub mod packet_cell;
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
pub mod upstream;
pub mod upstream_core;
