//! What a store that comes back from a copy has lost of upstreams and evacuations.
//!
//! It stands until it is written again, for a bounded time: a registration that is not listed, one that is listed in an
//! older state than was applied, and an evacuation.

use std::time::Instant;

use lagoonproxy::ids::ZoneName;

use crate::ids::UpstreamIndex;
use crate::ids::UpstreamName;
use crate::upstreams::upstream_entry::UpstreamEntry;
use crate::upstreams::upstream_record::HeldRegistration;
use crate::upstreams::upstream_record::RegistrationState;
use crate::upstreams::upstream_table::UpstreamTable;

/// What became of a registration that a restored store lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestoredEntry {
    /// It was applied.
    Registered(UpstreamIndex),
    /// It is older than what the upstream wrote last, and is held.
    Held(UpstreamIndex),
}

impl UpstreamTable {
    /// Registers an upstream that a restored store lists, unless it has written something newer that the store
    /// lost: that stands until it writes again, or for the grace time.
    pub fn register_restored(&mut self, now: Instant, entry: &UpstreamEntry) -> RestoredEntry {
        let known = self.by_name(&entry.name);
        match known.filter(|index| self.get(*index).supersedes(entry)) {
            Some(index) => {
                let until = now + self.config.lapse.restored_grace;
                let entry = entry.clone();
                let held = Box::new(HeldRegistration { entry, until });
                self.get_mut(index).held = Some(held);
                RestoredEntry::Held(index)
            }
            None => RestoredEntry::Registered(self.register(now, entry)),
        }
    }

    /// Lets a registration that a restored store does not list stand for the grace time, in which its upstream
    /// writes it again; `None` if it was gone before.
    pub fn lapse_unlisted(&mut self, now: Instant, name: &UpstreamName) -> Option<UpstreamIndex> {
        let until = now + self.config.lapse.restored_grace;
        let index = self.by_name(name)?;
        let record = self.get_mut(index);
        record.held = None;
        let is_draining = match record.registration {
            RegistrationState::Ready => false,
            RegistrationState::Draining => true,
            RegistrationState::Lapsed { is_draining, .. } => is_draining,
            RegistrationState::Deregistered { .. } => return None,
        };
        record.registration = RegistrationState::Lapsed { until, is_draining };
        Some(index)
    }

    /// Gives everything that waits to be written again its whole grace time from now: the store has come back
    /// from a copy once more, and may have lost it again.
    pub fn extend_lapses(&mut self, now: Instant) {
        let deadline = now + self.config.lapse.restored_grace;
        for record in &mut self.records {
            if let RegistrationState::Lapsed { until, .. } = &mut record.registration {
                *until = deadline;
            }
            if let Some(held) = &mut record.held {
                held.until = deadline;
            }
        }
        for evacuation in self.evacuated.values_mut() {
            if let Some(expires_at) = &mut evacuation.expires_at {
                *expires_at = now + self.config.lapse.evacuation_grace;
            }
        }
    }

    /// Lets an evacuation that a restored store does not list stand for the grace time, in which operators
    /// request it again.
    pub fn hold_evacuation(&mut self, now: Instant, zone: &ZoneName) {
        let expires_at = now + self.config.lapse.evacuation_grace;
        if let Some(evacuation) = self.evacuated.get_mut(zone) {
            evacuation.expires_at = Some(expires_at);
        }
    }

    /// Ends the evacuations that the store lost and that were not requested again; returns their zones.
    pub fn expire_evacuations(&mut self, now: Instant) -> Vec<ZoneName> {
        let due = self.evacuated.iter().filter(|(_zone, evacuation)| {
            evacuation
                .expires_at
                .is_some_and(|expires_at| expires_at <= now)
        });
        let expired: Vec<ZoneName> = due.map(|(zone, _evacuation)| zone.clone()).collect();
        for zone in &expired {
            self.restore(now, zone);
        }
        expired
    }
}
