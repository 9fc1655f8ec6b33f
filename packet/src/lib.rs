//! The decisions of an entry host that forwards packets, without sockets, clocks or threads.
//!
//! The fabric may deliver each packet of a flow to a different entry host, and upstreams respond
//! to callers directly. [`packet_core`] is the public interface: it takes packets, published state
//! and ticks, and returns actions and events.

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
