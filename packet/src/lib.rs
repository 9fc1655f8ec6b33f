//! The decisions of an entry host that forwards packets: no sockets, clocks or threads.
//!
//! A fabric hands any packet of a flow to any entry host, and upstreams answer callers directly.
//! [`packet_core`] is the public interface: packets, published state and ticks in, actions and events out.

pub mod admission;
mod core_dispatch;
mod core_dispatcher;
mod core_events;
mod core_load;
pub mod core_peers;
mod core_reading;
mod core_spill;
mod core_warmup;
pub mod dispatch;
pub mod flows;
pub mod health;
pub mod host_settings;
pub mod ids;
pub mod load;
pub mod packet_action;
pub mod packet_core;
pub mod packet_head;
pub mod packet_status;
pub mod peers;
pub mod policy_config;
pub mod routes;
pub mod selection;
pub mod state;
pub mod upstreams;
