//! The decisions of lagoonproxy, a layer-4 load balancer: no sockets, no clocks, no threads.
//!
//! A host's whole decision logic is driven through one door, [`host_core::HostCore`]: events and
//! the present time go in, actions come out. The daemons are thin shells around it.

pub mod answer_buffer;
pub mod baseline_book;
pub mod byte_budget;
pub mod cell_heartbeat;
pub mod claim;
pub mod config_check;
pub mod config_snapshot;
pub mod daemon_settings;
pub mod expiry_system;
pub mod flow_binding;
pub mod flow_directory;
pub mod flow_exchange;
pub mod flow_handover;
pub mod flow_hash;
pub mod flow_message;
pub mod flow_question;
pub mod flow_segment;
pub mod flow_sweep;
pub mod flow_system;
pub mod flow_table;
pub mod host_action;
pub mod host_core;
pub mod host_event;
pub mod host_status;
pub mod ids;
pub mod label_selector;
pub mod label_syntax;
pub mod least_busy_policy;
pub mod load_message;
pub mod load_policy;
pub mod membership;
pub mod owner_rank;
pub mod owner_view;
pub mod parked_frames;
pub mod placement_table;
pub mod published_config;
pub mod record_query;
pub mod request_system;
pub mod request_table;
pub mod result_code;
pub mod selector_parser;
pub mod settings_reader;
pub mod shared_key;
pub mod takeover_system;
pub mod unit_text;
pub mod upstream_addresses;
pub mod upstream_system;
pub mod wire_frame;
