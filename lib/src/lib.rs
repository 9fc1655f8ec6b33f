//! The decisions of lagoonproxy, a layer-4 load balancer: no sockets, no clocks, no threads.
//!
//! A host's whole decision logic is driven through one door, [`host_core::HostCore`]: events and
//! the present time go in, actions come out. The daemons are thin shells around it.

pub mod answer_buffer;
pub mod caller_usage;
pub mod choice_tree;
pub mod config_check;
pub mod config_snapshot;
pub mod daemon_settings;
pub mod expiry_system;
pub mod fair_queue;
pub mod flow_hash;
pub mod flow_system;
pub mod flow_table;
pub mod home_map;
pub mod host_action;
pub mod host_core;
pub mod host_event;
pub mod host_status;
pub mod ids;
pub mod job_table;
pub mod label_selector;
pub mod label_syntax;
pub mod least_busy_policy;
pub mod load_message;
pub mod load_policy;
pub mod load_settings;
pub mod outlier_record;
pub mod owner_rank;
pub mod pool_admission;
pub mod pool_lending;
pub mod pool_upstream;
pub mod published_config;
pub mod request_system;
pub mod request_table;
pub mod result_code;
pub mod retry_budget;
pub mod retry_hint;
pub mod selector_parser;
pub mod service_estimate;
pub mod service_messages;
pub mod service_policy;
pub mod service_tick;
pub mod settings_reader;
pub mod shared_key;
pub mod slot_limit;
pub mod slot_pool;
pub mod slot_table;
pub mod spill_desk;
pub mod standing_queue;
pub mod unit_text;
pub mod upstream_system;
pub mod warm_ramp;
pub mod wire_frame;
