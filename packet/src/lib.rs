//! The decisions of an entry host that forwards packets: no sockets, clocks or threads.
//!
//! A fabric hands any packet of a flow to any entry host, and upstreams answer callers directly.
//! [`packet_core`] is the public interface: packets, published state and ticks in, actions and events out.

pub mod answer_record;
mod core_events;
pub mod core_peers;
mod core_reading;
mod core_warmup;
pub mod failure_detector;
pub mod flow_evidence;
pub mod flow_load;
pub mod flow_table;
pub mod host_settings;
pub mod ids;
pub mod opening_admission;
pub mod packet_action;
pub mod packet_core;
pub mod packet_head;
pub mod packet_status;
pub mod peer_datagram;
pub mod peer_heartbeat;
mod peer_record;
pub mod peer_rounds;
pub mod peer_table;
pub mod policy_config;
pub mod read_role;
pub mod restored_upstreams;
pub mod route_config;
pub mod route_habit;
pub mod route_table;
pub mod start_plan;
pub mod state_snapshot;
pub mod state_source;
pub mod store_feed;
pub mod store_position;
pub mod upstream_entry;
pub mod upstream_record;
pub mod upstream_selection;
pub mod upstream_table;
pub mod warmup_admission;
pub mod zone_evacuation;
