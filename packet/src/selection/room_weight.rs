//! Weighs the upstreams of a contended service by the room that they have.

use crate::upstreams::upstream_record::UpstreamRecord;

/// Parameters of selection while a service is contended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoomWeightConfig {}

/// Requests in progress at an upstream, in parts of [`crate::load::service_room::REQUEST_LOAD`]: as last learned, and
/// what this host has placed since.
pub fn known_in_progress(record: &UpstreamRecord) -> u32 {
    record.load.in_progress
}
