//! The availability zones that operators evacuate.
//!
//! An evacuated zone gets no new flows, not even when all other upstreams are saturated or the
//! panic threshold applies. Its open flows continue. An evacuation lasts until the published state
//! no longer lists it, also while the store is unreachable. If a restored store has lost it, it
//! lasts for a grace time.

use std::collections::BTreeMap;
use std::time::Instant;

use lagoonproxy::ids::ZoneName;

use crate::ids::Revision;

/// Evacuation of one zone, as applied by this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneEvacuation {
    /// Store revision of the request.
    pub revision: Revision,
    /// When this host stopped placing new flows in the zone.
    pub applied_at: Instant,
    /// End of the grace time if a restored store has lost the request; `None` otherwise.
    pub expires_at: Option<Instant>,
}

/// The evacuated zones by name, including zones without upstreams.
pub type EvacuatedZones = BTreeMap<ZoneName, ZoneEvacuation>;
