//! What hosts of a zone send each other about load while a service is contended.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ServiceTag;
use crate::load::zone_load::ZoneLoadEntry;

/// What one host saw since its last report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Grows with each report of the sender's process.
    pub sequence: u64,
    /// The contended services.
    pub services: Vec<ServiceTag>,
}

/// What all hosts of a zone saw in the last second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// Grows with each digest of the sender's process.
    pub sequence: u64,
    /// Hosts whose reports it contains.
    pub reporters: u32,
    /// The load of zones, for spill; empty if no zone has reported.
    pub zones: Vec<ZoneLoadEntry>,
}
