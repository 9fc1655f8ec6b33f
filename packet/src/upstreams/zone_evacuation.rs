//! The availability zones that operators evacuate.
//!
//! An evacuated zone gets no new flow, whatever else is known of upstreams: neither saturation nor a
//! panic threshold brings it back. Its open flows go on. It holds until the published state no longer
//! lists it, also while the store cannot be read; if the store has lost it, for some time longer.

use std::collections::BTreeMap;
use std::time::Instant;

use lagoonproxy::ids::ZoneName;

use crate::ids::Revision;

/// One zone's evacuation, as this host has applied it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneEvacuation {
    /// The store's revision of the request.
    pub revision: Revision,
    /// When this host stopped placing flows there.
    pub applied_at: Instant,
    /// When it ends unless it is requested again, if the store has lost the request.
    pub expires_at: Option<Instant>,
}

/// The evacuated zones by name, also those that hold no upstream.
pub type EvacuatedZones = BTreeMap<ZoneName, ZoneEvacuation>;
