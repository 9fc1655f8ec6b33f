//! The published state: how it is read, merged and passed on.

pub mod read_role;
pub mod start_plan;
pub mod state_snapshot;
pub mod state_source;
pub mod store_feed;
pub mod store_position;
