//! The decisions of lagoonproxy, a layer-4 load balancer: no sockets, no clocks, no threads.
//!
//! A host's whole decision logic is driven through one door, [`host_core::HostCore`]: events and
//! the present time go in, actions come out. The daemons are thin shells around it.

pub mod answer_buffer;
pub mod byte_budget;
pub mod config_check;
mod config_force;
pub mod config_relay;
pub mod config_scope;
pub mod config_snapshot;
pub mod config_store;
pub mod config_value;
pub mod control_core;
pub mod control_event;
pub mod daemon_settings;
pub mod expiry_system;
pub mod flow_hash;
pub mod flow_system;
pub mod flow_table;
pub mod host_action;
pub mod host_core;
pub mod host_event;
pub mod host_status;
pub mod ids;
pub mod key_fetch;
pub mod label_selector;
pub mod label_syntax;
pub mod least_busy_policy;
pub mod load_message;
pub mod load_policy;
pub mod owner_rank;
pub mod peer_proof;
pub mod platform_feed;
pub mod published_config;
pub mod reader_duty;
pub mod reader_rank;
mod relay_link;
pub mod relay_message;
pub mod request_system;
pub mod request_table;
pub mod result_code;
pub mod selector_parser;
pub mod settings_reader;
pub mod shared_key;
pub mod snapshot_compiler;
pub mod unit_text;
pub mod upstream_system;
pub mod wire_frame;
