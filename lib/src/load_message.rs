//! What the load policies of entry hosts tell each other.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::UpstreamId;

/// A message between the policies of two hosts; it may be lost, repeated or late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadMessage {
    /// How many of an upstream's slots the sender knows to be busy.
    Busy {
        /// The upstream.
        upstream: UpstreamId,
        /// Its busy slots.
        slots: u32,
    },
}
