//! The published state: reading it from the store, merging it and sending it to peers.

pub mod read_role;
pub mod start_plan;
pub mod state_confirmation;
pub mod state_snapshot;
pub mod state_source;
pub mod store_feed;
pub mod store_position;
