//! What zones tell each other about the load of contended services.

use lagoonproxy::ids::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// The load of one zone's services.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneLoadReport {
    /// The sender's zone.
    pub zone: ZoneName,
    /// Whether the sender asks for the receiver's report.
    pub wants_reply: bool,
}
